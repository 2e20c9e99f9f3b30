#!/usr/bin/env bash
# Builds the stand-ins and drivers of the second review's cases (6 to 10) from the packages that the program's own build
# has fetched. Run it from anywhere, after `cargo build --release`.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
