//! What the commands print and how they end is an interface: help of every command, checks of the examples, and what
//! is told of a journal. The texts in `command_line_texts` were printed by the build of version 0.2.0.
//!
//! After a wanted change `UPDATE_FIXTURES=1 cargo test -p orchidtally-cli --test command_line_texts` writes them anew.

use orchidtally_journal::Journal;
use std::collections::VecDeque;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_orchidtally");
const LEDGER: &str = include_str!("../../mqtt-triggers/tests/stored_formats/ledger.jsonl");
const PROMISES: &str = include_str!("../../mqtt-triggers/tests/stored_formats/promises.jsonl");
const COORDINATOR_STATE: &str =
    include_str!("../../rollout/tests/stored_formats/coordinator_state.json");

fn run(folder: &Path, arguments: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(arguments)
        .current_dir(folder)
        .env_remove("LB_CONFIG")
        .output()
        .unwrap()
}

/// A command with all that it printed and its exit code, as a shell would show them.
fn transcript(folder: &Path, arguments: &[&str]) -> String {
    let output = run(folder, arguments);
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    let code = output.status.code().expect("it ended by itself");
    format!(
        "$ orchidtally {}\n{}--- standard error\n{}--- exit code {code}\n\n",
        arguments.join(" "),
        text(&output.stdout),
        text(&output.stderr),
    )
}

/// Compares a text with the committed one of this name.
fn check(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/command_line_texts")
        .join(name);
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        fs::write(&path, text).unwrap();
    }
    let committed =
        fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    for (number, (now, before)) in text.lines().zip(committed.lines()).enumerate() {
        assert_eq!(now, before, "line {} of {name}", number + 1);
    }
    assert_eq!(text, committed, "{name}");
}

fn here() -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
}

fn empty_folder(name: &str) -> PathBuf {
    let folder = here().join(format!("command-line-texts-{name}"));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// The sub-commands that a help text lists, without `help` itself.
fn sub_commands(help: &str) -> Vec<String> {
    let listed = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let listed = listed.take_while(|line| !line.is_empty());
    // A command is indented by two; what is told of it may go on in lines that are indented further.
    let names = listed
        .filter_map(|line| line.strip_prefix("  "))
        .filter(|line| !line.starts_with(' '));
    let names = names
        .filter_map(|line| line.split_whitespace().next())
        .map(str::to_owned);
    names.filter(|name| name != "help").collect()
}

#[test]
fn each_command_prints_its_help() {
    let mut texts = String::new();
    let mut waiting = VecDeque::from([vec![]]);
    let mut commands: Vec<String> = vec![];
    while let Some(command) = waiting.pop_front() {
        let mut arguments: Vec<&str> = command.iter().map(String::as_str).collect();
        arguments.push("--help");
        texts += &transcript(&here(), &arguments);
        let help = String::from_utf8(run(&here(), &arguments).stdout).unwrap();
        for name in sub_commands(&help) {
            waiting.push_back([command.clone(), vec![name]].concat());
        }
        commands.push(command.join(" "));
    }
    check("help.txt", &texts);
    for name in [
        "serve",
        "check",
        "invoke",
        "rehearse",
        "measure",
        "rollout start",
        "roster drain",
        "journal show",
    ] {
        assert!(
            commands.iter().any(|command| command == name),
            "{name} is missing: {commands:?}"
        );
    }
}

#[test]
fn each_command_prints_its_short_help() {
    let commands = [
        "serve", "check", "invoke", "rehearse", "rollout", "roster", "journal", "measure",
    ];
    let texts: String = commands
        .iter()
        .map(|command| transcript(&here(), &[command, "-h"]))
        .collect();
    check("short_help.txt", &texts);
}

#[test]
fn examples_are_checked_with_the_same_words() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/deployments");
    let mut names: Vec<String> = fs::read_dir(&folder)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().to_string_lossy().into_owned())
        .collect();
    names.sort();
    assert_eq!(names.len(), 5, "{names:?}");
    let texts: String = names
        .iter()
        .map(|name| transcript(&folder, &["check", name]))
        .collect();
    check("examples.txt", &texts);
}

#[test]
fn bad_input_is_told_with_the_same_words_and_codes() {
    let folder = empty_folder("bad-input");
    let bad = r#"{
  listen: "nowhere",
  triggerTypes: [{ name: "a", effect: "twice", timeout: "1s", objective: "2s" }],
  functions: [{ name: "f", lanes: 0 }, { name: "f" }],
  safty: {},
}"#;
    fs::write(folder.join("bad.json5"), bad).unwrap();
    fs::write(
        folder.join("bad-day.json5"),
        "{ length: '5s', troubles: [{ kind: 'crsh', at: '1s', for: '1s' }] }",
    )
    .unwrap();
    let commands: [&[&str]; 10] = [
        &["--version"],
        &["check", "bad.json5"],
        &["check", "absent.json5"],
        &["check"],
        &["serve", "--deployment", "bad.json5"],
        &["serve", "--platform"],
        &["rehearse", "bad-day.json5"],
        &["rehearse", "--inject-violation", "6"],
        &["no-such-command"],
        &["--log", "a=b=c", "check", "bad.json5"],
    ];
    let texts: String = commands
        .iter()
        .map(|arguments| transcript(&folder, arguments))
        .collect();
    check("bad_input.txt", &texts);
}

/// Checks and shows a journal of these entries, folds them, and shows it again.
fn journal_transcript(name: &str, entries: &str) -> String {
    let folder = empty_folder(name);
    let (mut journal, _) = Journal::open(&folder.join("state")).unwrap();
    for entry in entries.lines() {
        journal.append(entry.as_bytes()).unwrap();
    }
    drop(journal);
    let commands = ["check", "show", "compact", "show", "compact"];
    commands
        .iter()
        .map(|command| transcript(&folder, &["journal", command, "state"]))
        .collect()
}

#[test]
fn journals_are_checked_shown_and_compacted_with_the_same_words() {
    check("journal_ledger.txt", &journal_transcript("ledger", LEDGER));
    check(
        "journal_promises.txt",
        &journal_transcript("promises", PROMISES),
    );
    check(
        "journal_coordinator.txt",
        &journal_transcript("coordinator", COORDINATOR_STATE),
    );
    check(
        "journal_unknown.txt",
        &journal_transcript("unknown", "no record of any kind\n"),
    );
    check(
        "journal_absent.txt",
        &transcript(&empty_folder("absent"), &["journal", "check", "absent"]),
    );
}
