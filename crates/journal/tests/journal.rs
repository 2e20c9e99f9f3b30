//! The journal against a plain list, with files cut and damaged at any byte.

use orchidtally_journal::{GroupCommit, Journal, Recovered, inspect};
use proptest::prelude::*;
use std::fs;
use std::path::PathBuf;

fn directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("journal-{name}"));
    let _ = fs::remove_dir_all(&path);
    path
}

/// The one file of entries in a directory.
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
    /// Killed in the middle of an append: so many bytes of it stand.
    Torn(Vec<u8>),
}

fn step() -> impl Strategy<Value = Step> {
    let bytes = || proptest::collection::vec(any::<u8>(), 0..40);
    prop_oneof![
        5 => bytes().prop_map(Step::Append),
        1 => bytes().prop_map(Step::Snapshot),
        1 => Just(Step::Reopen),
        1 => proptest::collection::vec(any::<u8>(), 1..7).prop_map(Step::Torn),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 25, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn what_was_appended_is_found_again(steps in proptest::collection::vec(step(), 1..40)) {
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
                Step::Torn(bytes) => {
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
fn cut_at_any_byte_it_opens_at_the_last_whole_entry_and_goes_on() {
    let at = directory("cut");
    let (mut journal, _) = Journal::open(&at).unwrap();
    let written: Vec<Vec<u8>> = (1..5).map(|n| vec![n; 3 * usize::from(n)]).collect();
    let mut ends = vec![8];
    for entry in &written {
        journal.append(entry).unwrap();
        ends.push(8 + journal.length() as usize);
    }
    drop(journal);
    let whole = fs::read(log(&at)).unwrap();
    assert_eq!(whole.len(), *ends.last().unwrap());
    for length in 0..whole.len() {
        fs::write(log(&at), &whole[..length]).unwrap();
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
    // A byte that is wrong in the middle is damage and not an append that was cut short: it is named.
    for at_byte in [ends[1] + 9, ends[0] + 1, ends[2] + 5] {
        let mut damaged = whole.clone();
        damaged[at_byte] ^= 1;
        fs::write(log(&at), &damaged).unwrap();
        let fault = Journal::open(&at).unwrap_err().to_string();
        let start = ends.iter().rfind(|&&e| e <= at_byte).unwrap();
        assert!(
            fault.contains(&format!("damaged at byte {start}: complete records follow")),
            "{fault}"
        );
        assert!(inspect(&at).is_err());
        assert_eq!(fs::read(log(&at)).unwrap(), damaged, "nothing is cut off");
    }
}

#[test]
fn entries_that_share_a_sync_stand_or_fall_together() {
    let at = directory("batch");
    let (mut journal, _) = Journal::open(&at).unwrap();
    journal.append(b"first").unwrap();
    let before = 8 + journal.length() as usize;
    journal
        .append_all(&[b"a".to_vec(), vec![], b"ccc".to_vec()])
        .unwrap();
    drop(journal);
    let whole = fs::read(log(&at)).unwrap();
    assert_eq!(
        inspect(&at).unwrap().entries,
        [&b"first"[..], b"a", b"", b"ccc"]
    );
    for length in before..whole.len() {
        fs::write(log(&at), &whole[..length]).unwrap();
        assert_eq!(inspect(&at).unwrap().entries, [b"first"], "cut at {length}");
    }
}

#[test]
fn a_group_tells_each_once_and_keeps_the_order_of_one_sender() {
    let at = directory("group");
    let (journal, _) = Journal::open(&at).unwrap();
    let group = std::sync::Arc::new(GroupCommit::new(journal, 64));
    let (tell, told) = std::sync::mpsc::channel();
    let senders: Vec<_> = (0..4u8)
        .map(|sender| {
            let (group, tell) = (group.clone(), tell.clone());
            std::thread::spawn(move || {
                for n in 0..100u8 {
                    let tell = tell.clone();
                    let report = move |done: std::io::Result<()>| {
                        tell.send((sender, n, done.is_ok())).unwrap()
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
    drop((journal, tell));
    let mut told: Vec<_> = told.iter().collect();
    assert!(told.iter().all(|t| t.2));
    told.sort_unstable();
    told.dedup();
    assert_eq!(told.len(), 400, "each was told");
    let found = inspect(&at).unwrap().entries;
    assert_eq!(found.len(), 400);
    for sender in 0..4u8 {
        let own: Vec<u8> = found
            .iter()
            .filter(|e| e[0] == sender)
            .map(|e| e[1])
            .collect();
        assert!(own.is_sorted(), "in its order");
    }
}

#[test]
fn a_kill_between_the_steps_of_a_snapshot_leaves_the_old_state_or_the_new() {
    let at = directory("killed");
    let (mut journal, _) = Journal::open(&at).unwrap();
    journal.snapshot(b"old").unwrap();
    journal.append(b"entry").unwrap();
    drop(journal);
    // Killed while the next snapshot was being written, and after its file of entries was made.
    fs::write(at.join("next-snapshot"), b"orchjrn2 half").unwrap();
    fs::write(at.join("log-2"), b"orchjrn2").unwrap();
    let (mut journal, found) = Journal::open(&at).unwrap();
    assert_eq!(
        (found.snapshot.unwrap(), found.entries),
        (b"old".to_vec(), vec![b"entry".to_vec()])
    );
    journal.snapshot(b"new").unwrap();
    drop(journal);
    // Killed before the old files were removed.
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
fn after_an_entry_that_was_not_kept_none_is_until_all_is_replaced() {
    let at = directory("failed");
    let (mut journal, _) = Journal::open(&at).unwrap();
    journal.append(b"before").unwrap();
    journal.simulate_sync_failure();
    let group = GroupCommit::new(journal, 64);
    let (tell, told) = std::sync::mpsc::channel();
    let append = |entry: &[u8]| {
        let tell = tell.clone();
        group
            .append(entry.to_vec(), move |kept| tell.send(kept.is_ok()).unwrap())
            .unwrap();
        told.recv().unwrap()
    };
    assert_eq!([append(b"a"), append(b"b")], [false, false]);
    let tell_replaced = tell.clone();
    group
        .snapshot(b"all".to_vec(), move |done| {
            tell_replaced.send(done.is_ok()).unwrap()
        })
        .unwrap();
    assert!(told.recv().unwrap());
    assert!(append(b"after"));
    drop(group.close().unwrap());
    let found = inspect(&at).unwrap();
    assert_eq!(
        (found.snapshot.as_deref(), found.entries),
        (Some(&b"all"[..]), vec![b"after".to_vec()])
    );
}
