//! Runs the program and reads what it prints.

use std::path::PathBuf;
use std::process::{Command, Output};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_orchidtally");

pub fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

pub fn file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

/// Its last line as JSON.
pub fn verdict(output: &Output) -> serde_json::Value {
    let out = text(&output.stdout);
    let last = out
        .lines()
        .last()
        .unwrap_or_else(|| panic!("nothing printed: {}", text(&output.stderr)));
    serde_json::from_str(last).unwrap()
}

pub fn broken(verdict: &serde_json::Value) -> Vec<u64> {
    let rules = verdict["rules"].as_array().unwrap();
    assert_eq!(rules.len(), 5);
    rules
        .iter()
        .filter(|r| r["broken"] != 0)
        .map(|r| r["rule"].as_u64().unwrap())
        .collect()
}
