//! The journal compared with a list of entries, and its recovery from truncated and damaged files.

use orchidtally_journal::{GroupCommit, Journal, Recovered, inspect};
use proptest::prelude::*;
use std::fs;
use std::path::PathBuf;

fn directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("journal-{name}"));
    let _ = fs::remove_dir_all(&path);
    path
}

/// The path of the only log in a directory.
fn log(directory: &PathBuf) -> PathBuf {
    let names = fs::read_dir(directory).unwrap().map(|e| e.unwrap().path());
    let mut logs: Vec<_> = names
        .filter(|p| p.file_name().unwrap().to_string_lossy().starts_with("log-"))
        .collect();
    assert_eq!(logs.len(), 1);
    logs.pop().unwrap()
}

#[derive(Clone, Debug)]
enum Step {
    Append(Vec<u8>),
    Snapshot(Vec<u8>),
    Reopen,
    /// Reopen after an append that was interrupted after these bytes.
    InterruptedAppend(Vec<u8>),
}

fn step() -> impl Strategy<Value = Step> {
    let bytes = || proptest::collection::vec(any::<u8>(), 0..40);
    prop_oneof![
        5 => bytes().prop_map(Step::Append),
        1 => bytes().prop_map(Step::Snapshot),
        1 => Just(Step::Reopen),
        1 => proptest::collection::vec(any::<u8>(), 1..7).prop_map(Step::InterruptedAppend),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 25, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn reopening_returns_the_appended_entries(steps in proptest::collection::vec(step(), 1..40)) {
        let at = directory("model");
        let (mut journal, _) = Journal::open(&at).unwrap();
        let mut model = Recovered::default();
        for step in steps {
            let truncated_bytes = match step {
                Step::Append(bytes) => {
                    journal.append(&bytes).unwrap();
                    model.entries.push(bytes);
                    continue;
                }
                Step::Snapshot(bytes) => {
                    journal.snapshot(&bytes).unwrap();
                    prop_assert_eq!(journal.length(), 0);
                    model = Recovered { snapshot: Some(bytes), ..Recovered::default() };
                    continue;
                }
                Step::Reopen => 0,
                Step::InterruptedAppend(bytes) => {
                    let mut file = fs::OpenOptions::new().append(true).open(log(&at)).unwrap();
                    std::io::Write::write_all(&mut file, &bytes).unwrap();
                    bytes.len() as u64
                }
            };
            drop(journal);
            let (again, found) = Journal::open(&at).unwrap();
            journal = again;
            prop_assert_eq!(found, Recovered { snapshot: model.snapshot.clone(), entries: model.entries.clone(), truncated_bytes });
        }
    }
}

#[test]
fn a_truncated_log_opens_at_the_last_complete_entry_and_accepts_appends() {
    let at = directory("cut");
    let (mut journal, _) = Journal::open(&at).unwrap();
    let written: Vec<Vec<u8>> = (1..5).map(|n| vec![n; 3 * usize::from(n)]).collect();
    let mut ends = vec![8];
    for entry in &written {
        journal.append(entry).unwrap();
        ends.push(8 + journal.length() as usize);
    }
    drop(journal);
    let intact = fs::read(log(&at)).unwrap();
    assert_eq!(intact.len(), *ends.last().unwrap());
    for length in 0..intact.len() {
        fs::write(log(&at), &intact[..length]).unwrap();
        let (mut journal, found) = Journal::open(&at).unwrap();
        let expected = ends
            .iter()
            .filter(|&&e| e <= length)
            .count()
            .saturating_sub(1);
        assert_eq!(found.entries, written[..expected], "cut at {length}");
        journal.append(b"after").unwrap();
        drop(journal);
        let (_, found) = Journal::open(&at).unwrap();
        assert_eq!(
            (found.entries.len(), found.truncated_bytes),
            (expected + 1, 0)
        );
    }
    // A wrong byte before complete records is damage, not an interrupted append: opening fails and names its position.
    for at_byte in [ends[1] + 9, ends[0] + 1, ends[2] + 5] {
        let mut damaged = intact.clone();
        damaged[at_byte] ^= 1;
        fs::write(log(&at), &damaged).unwrap();
        let fault = Journal::open(&at).unwrap_err().to_string();
        let start = ends.iter().rfind(|&&e| e <= at_byte).unwrap();
        assert!(
            fault.contains(&format!("damaged at byte {start}: complete records follow")),
            "{fault}"
        );
        assert!(inspect(&at).is_err());
        assert_eq!(
            fs::read(log(&at)).unwrap(),
            damaged,
            "a damaged log is not truncated"
        );
    }
}

#[test]
fn entries_that_share_a_sync_are_recovered_all_or_none() {
    let at = directory("batch");
    let (mut journal, _) = Journal::open(&at).unwrap();
    journal.append(b"first").unwrap();
    let before = 8 + journal.length() as usize;
    journal
        .append_all(&[b"a".to_vec(), vec![], b"ccc".to_vec()])
        .unwrap();
    drop(journal);
    let intact = fs::read(log(&at)).unwrap();
    assert_eq!(
        inspect(&at).unwrap().entries,
        [&b"first"[..], b"a", b"", b"ccc"]
    );
    for length in before..intact.len() {
        fs::write(log(&at), &intact[..length]).unwrap();
        assert_eq!(inspect(&at).unwrap().entries, [b"first"], "cut at {length}");
    }
}

#[test]
fn group_commit_calls_each_callback_once_and_keeps_the_order_of_a_sender() {
    let at = directory("group");
    let (journal, _) = Journal::open(&at).unwrap();
    let group = std::sync::Arc::new(GroupCommit::new(journal, 64));
    let (result_sender, results) = std::sync::mpsc::channel();
    let senders: Vec<_> = (0..4u8)
        .map(|sender| {
            let (group, result_sender) = (group.clone(), result_sender.clone());
            std::thread::spawn(move || {
                for n in 0..100u8 {
                    let result_sender = result_sender.clone();
                    let report = move |done: std::io::Result<()>| {
                        result_sender.send((sender, n, done.is_ok())).unwrap()
                    };
                    while group.append(vec![sender, n], report.clone()).is_err() {
                        std::thread::yield_now();
                    }
                }
            })
        })
        .collect();
    senders.into_iter().for_each(|s| s.join().unwrap());
    let journal = std::sync::Arc::into_inner(group).unwrap().close().unwrap();
    drop((journal, result_sender));
    let mut results: Vec<_> = results.iter().collect();
    assert!(results.iter().all(|t| t.2));
    results.sort_unstable();
    results.dedup();
    assert_eq!(results.len(), 400, "each callback is called once");
    let found = inspect(&at).unwrap().entries;
    assert_eq!(found.len(), 400);
    for sender in 0..4u8 {
        let own: Vec<u8> = found
            .iter()
            .filter(|e| e[0] == sender)
            .map(|e| e[1])
            .collect();
        assert!(own.is_sorted(), "entries of a sender keep their order");
    }
}

#[test]
fn a_crash_during_a_snapshot_leaves_the_old_state_or_the_new_one() {
    let at = directory("killed");
    let (mut journal, _) = Journal::open(&at).unwrap();
    journal.snapshot(b"old").unwrap();
    journal.append(b"entry").unwrap();
    drop(journal);
    // A crash while the next snapshot is written, and one after its log is created.
    fs::write(at.join("next-snapshot"), b"orchjrn2 half").unwrap();
    fs::write(at.join("log-2"), b"orchjrn2").unwrap();
    let (mut journal, found) = Journal::open(&at).unwrap();
    assert_eq!(
        (found.snapshot.unwrap(), found.entries),
        (b"old".to_vec(), vec![b"entry".to_vec()])
    );
    journal.snapshot(b"new").unwrap();
    drop(journal);
    // A crash before the old files are removed.
    fs::write(at.join("log-1"), b"orchjrn2 and more").unwrap();
    let (journal, found) = Journal::open(&at).unwrap();
    assert_eq!(
        (
            found.snapshot.unwrap(),
            found.entries.len(),
            found.truncated_bytes
        ),
        (b"new".to_vec(), 0, 0)
    );
    assert!(!at.join("log-1").exists());
    let second = Journal::open(&at).unwrap_err();
    assert!(
        second.to_string().contains("another process has it open"),
        "{second}"
    );
    drop(journal);
    fs::write(at.join("snapshot-2"), b"orchjrn2 damaged").unwrap();
    let damaged = Journal::open(&at).unwrap_err();
    assert!(
        damaged.to_string().contains("the snapshot is damaged"),
        "{damaged}"
    );
}

#[test]
fn after_a_failed_append_all_appends_fail_until_a_snapshot() {
    let at = directory("failed");
    let (mut journal, _) = Journal::open(&at).unwrap();
    journal.append(b"before").unwrap();
    journal.simulate_sync_failure();
    let group = GroupCommit::new(journal, 64);
    let (result_sender, results) = std::sync::mpsc::channel();
    let append = |entry: &[u8]| {
        let result_sender = result_sender.clone();
        group
            .append(entry.to_vec(), move |result| {
                result_sender.send(result.is_ok()).unwrap()
            })
            .unwrap();
        results.recv().unwrap()
    };
    assert_eq!([append(b"a"), append(b"b")], [false, false]);
    let snapshot_sender = result_sender.clone();
    group
        .snapshot(b"all".to_vec(), move |done| {
            snapshot_sender.send(done.is_ok()).unwrap()
        })
        .unwrap();
    assert!(results.recv().unwrap());
    assert!(append(b"after"));
    drop(group.close().unwrap());
    let found = inspect(&at).unwrap();
    assert_eq!(
        (found.snapshot.as_deref(), found.entries),
        (Some(&b"all"[..]), vec![b"after".to_vec()])
    );
}
