//! The programs that the tests run.

#![allow(dead_code)] // Each test file uses a part of it.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::OnceLock;

/// The program that is tested.
pub const SCALE: &str = env!("CARGO_BIN_EXE_orchidtally-scale");

/// The gateway's program, beside the one that is tested. It belongs to another package: a test of the workspace has built
/// it, and where only this package is tested it is built here once.
pub fn gateway() -> &'static Path {
    static GATEWAY: OnceLock<PathBuf> = OnceLock::new();
    GATEWAY.get_or_init(|| {
        let program = Path::new(SCALE).with_file_name("orchidtally");
        if !program.is_file() {
            build_gateway();
        }
        assert!(program.is_file(), "{} is not there", program.display());
        program
    })
}

fn build_gateway() {
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--locked", "--package", "orchidtally-cli"]);
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    build.current_dir(env!("CARGO_MANIFEST_DIR"));
    assert!(
        build.status().expect("cargo starts").success(),
        "the gateway's program can't be built"
    );
}

/// Runs the program to its end, with the gateway's program beside it.
pub fn run(arguments: &[&str]) -> Output {
    gateway();
    Command::new(SCALE)
        .args(arguments)
        .output()
        .expect("the program starts")
}
