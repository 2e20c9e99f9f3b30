//! The output and exit codes of the commands are an interface: the help of every command, the checks of the examples,
//! and the output on journals. The expected texts are in `command_line_texts`.
//!
//! After an intended change, `UPDATE_FIXTURES=1 cargo test -p orchidtally-cli --test command_line_texts` rewrites them.

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

/// Runs a command. Returns the command with its output and its exit code.
fn transcript(folder: &Path, arguments: &[&str]) -> String {
    let output = run(folder, arguments);
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    let code = output
        .status
        .code()
        .expect("the command exits without a signal");
    format!(
        "$ orchidtally {}\n{}--- standard error\n{}--- exit code {code}\n\n",
        arguments.join(" "),
        text(&output.stdout),
        text(&output.stderr),
    )
}

/// Compares a text with the committed fixture of this name.
fn assert_matches_fixture(name: &str, text: &str) {
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

fn temporary_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
}

fn empty_folder(name: &str) -> PathBuf {
    let folder = temporary_folder().join(format!("command-line-texts-{name}"));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// The sub-commands that a help text lists, without `help` itself.
fn sub_commands(help: &str) -> Vec<String> {
    let listed = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let listed = listed.take_while(|line| !line.is_empty());
    // A command is indented by two spaces; further lines of its description are indented more.
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
    let mut pending = VecDeque::from([vec![]]);
    let mut commands: Vec<String> = vec![];
    while let Some(command) = pending.pop_front() {
        let mut arguments: Vec<&str> = command.iter().map(String::as_str).collect();
        arguments.push("--help");
        texts += &transcript(&temporary_folder(), &arguments);
        let help = String::from_utf8(run(&temporary_folder(), &arguments).stdout).unwrap();
        for name in sub_commands(&help) {
            pending.push_back([command.clone(), vec![name]].concat());
        }
        commands.push(command.join(" "));
    }
    assert_matches_fixture("help.txt", &texts);
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
        .map(|command| transcript(&temporary_folder(), &[command, "-h"]))
        .collect();
    assert_matches_fixture("short_help.txt", &texts);
}

#[test]
fn checks_of_the_examples_print_the_same_text() {
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
    assert_matches_fixture("examples.txt", &texts);
}

#[test]
fn invalid_input_gives_the_same_messages_and_exit_codes() {
    let folder = empty_folder("bad-input");
    let invalid = r#"{
  listen: "nowhere",
  triggerTypes: [{ name: "a", effect: "twice", timeout: "1s", objective: "2s" }],
  functions: [{ name: "f", lanes: 0 }, { name: "f" }],
  safty: {},
}"#;
    fs::write(folder.join("bad.json5"), invalid).unwrap();
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
    assert_matches_fixture("bad_input.txt", &texts);
}

/// Checks and shows a journal with these entries, compacts it, and shows and compacts it again.
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
fn journal_commands_print_the_same_text() {
    assert_matches_fixture("journal_ledger.txt", &journal_transcript("ledger", LEDGER));
    assert_matches_fixture(
        "journal_promises.txt",
        &journal_transcript("promises", PROMISES),
    );
    assert_matches_fixture(
        "journal_coordinator.txt",
        &journal_transcript("coordinator", COORDINATOR_STATE),
    );
    assert_matches_fixture(
        "journal_unknown.txt",
        &journal_transcript("unknown", "no record of any kind\n"),
    );
    assert_matches_fixture(
        "journal_absent.txt",
        &transcript(&empty_folder("absent"), &["journal", "check", "absent"]),
    );
}
