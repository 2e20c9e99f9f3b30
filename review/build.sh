#!/usr/bin/env bash
# Builds the stand-ins of the cases from the packages that the program's own build has fetched. Run it from anywhere,
# after `cargo build --release`.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
