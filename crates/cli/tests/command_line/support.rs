//! Runs the `orchidtally` binary and reads its output.

use std::path::PathBuf;
use std::process::{Command, Output};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_orchidtally");

pub fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Writes a file in the tests' temporary directory.
pub fn write_file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

/// Parses the last line of the output, which is the verdict as JSON.
pub fn verdict(output: &Output) -> serde_json::Value {
    let stdout = text(&output.stdout);
    let last_line = stdout
        .lines()
        .last()
        .unwrap_or_else(|| panic!("nothing printed: {}", text(&output.stderr)));
    serde_json::from_str(last_line).unwrap()
}

/// The numbers of the rules that a verdict reports as broken.
pub fn broken_rules(verdict: &serde_json::Value) -> Vec<u64> {
    let rules = verdict["rules"].as_array().unwrap();
    assert_eq!(rules.len(), 5);
    rules
        .iter()
        .filter(|r| r["broken"] != 0)
        .map(|r| r["rule"].as_u64().unwrap())
        .collect()
}
