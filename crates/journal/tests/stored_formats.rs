//! Guards the file format of the journal: a new build has to read the files of an older one, and to write the same
//! bytes. The directory in `stored_formats` was written by the build of version 0.2.0.

use orchidtally_journal::{Journal, Recovered, inspect};
use std::fs;
use std::path::{Path, PathBuf};

/// The state that the snapshot holds.
const STATE: &[u8] = br#"{"state":"as of the snapshot"}"#;
/// The names of the files that a directory with one snapshot holds, without its lock.
const FILE_NAMES: [&str; 2] = ["log-1", "snapshot-1"];

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored_formats")
}

fn empty_directory(name: &str) -> PathBuf {
    let directory =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("stored-formats-{name}"));
    let _ = fs::remove_dir_all(&directory);
    directory
}

/// Entries in groups that share a record.
fn groups() -> Vec<Vec<Vec<u8>>> {
    vec![
        vec![br#"{"entry":"alone"}"#.to_vec()],
        vec![b"first of two".to_vec(), b"second of two".to_vec()],
        vec![(0..=255).collect()],
        vec![vec![]],
    ]
}

fn expected() -> Recovered {
    Recovered {
        snapshot: Some(STATE.to_vec()),
        entries: groups().concat(),
        truncated_bytes: 0,
    }
}

/// Writes a directory: an entry that the snapshot replaces, the snapshot, and entries since.
fn write_directory(directory: &Path) {
    let (mut journal, found) = Journal::open(directory).unwrap();
    assert_eq!(found, Recovered::default());
    journal.append(b"replaced by the snapshot").unwrap();
    journal.snapshot(STATE).unwrap();
    for group in groups() {
        journal.append_all(&group).unwrap();
    }
}

fn copy_fixture(directory: &Path) {
    fs::create_dir_all(directory).unwrap();
    for name in FILE_NAMES {
        fs::copy(fixture().join(name), directory.join(name)).unwrap();
    }
}

#[test]
fn a_directory_of_an_earlier_build_is_readable() {
    assert_eq!(inspect(&fixture()).unwrap(), expected());
}

#[test]
fn a_directory_of_an_earlier_build_accepts_appends() {
    let directory = empty_directory("goes-on");
    copy_fixture(&directory);
    let (mut journal, found) = Journal::open(&directory).unwrap();
    assert_eq!(found, expected());
    journal.append(b"one more").unwrap();
    drop(journal);
    let grown = fs::read(directory.join("log-1")).unwrap();
    let before = fs::read(fixture().join("log-1")).unwrap();
    assert_eq!(
        grown[..before.len()],
        before,
        "earlier entries stay unchanged"
    );
    let found = inspect(&directory).unwrap();
    assert_eq!(found.entries.last().unwrap(), b"one more");
}

#[test]
fn the_same_entries_give_the_same_files() {
    let directory = empty_directory("written");
    write_directory(&directory);
    let mut names: Vec<String> = fs::read_dir(&directory)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().to_string_lossy().into_owned())
        .collect();
    names.sort();
    assert_eq!(names, ["lock", "log-1", "snapshot-1"]);
    for name in FILE_NAMES {
        let written = fs::read(directory.join(name)).unwrap();
        let committed = fs::read(fixture().join(name)).unwrap();
        assert_eq!(written, committed, "{name}");
    }
}

#[test]
fn a_file_begins_with_the_name_and_the_version_of_the_format() {
    for name in FILE_NAMES {
        let committed = fs::read(fixture().join(name)).unwrap();
        assert_eq!(&committed[..8], b"orchjrn2", "{name}");
    }
}
