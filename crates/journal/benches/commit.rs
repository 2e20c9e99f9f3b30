//! Measures entries a second with a sync each and with 64 in flight that share syncs, and the time to open a journal by
//! its size.
//!
//! `cargo bench -p orchidtally-journal --bench commit`

use orchidtally_journal::{GroupCommit, Journal};
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;
use std::time::Instant;

const ENTRIES: usize = 4_000;
const IN_FLIGHT: usize = 64;
const BYTES: usize = 300;

fn directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("bench-{name}"));
    // Removes the directory of an earlier run.
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn open(directory: &Path) -> Journal {
    Journal::open(directory).unwrap_or_else(|e| panic!("{e}")).0
}

fn measure_single_appends() -> f64 {
    let mut journal = open(&directory("single"));
    let started = Instant::now();
    for _ in 0..ENTRIES {
        journal
            .append(&[7; BYTES])
            .unwrap_or_else(|e| panic!("{e}"));
    }
    ENTRIES as f64 / started.elapsed().as_secs_f64()
}

fn measure_group_commit() -> (f64, f64) {
    let group = GroupCommit::new(open(&directory("group")), IN_FLIGHT);
    let (sender, results) = channel();
    let (mut sent, mut done, mut longest) = (0, 0, 0.0f64);
    let started = Instant::now();
    while done < ENTRIES {
        while sent < ENTRIES && sent - done < IN_FLIGHT {
            let (sender, at) = (sender.clone(), Instant::now());
            let report = move |r: std::io::Result<()>| {
                // The receiver lives until all results have arrived.
                let _ = sender.send((r.is_ok(), at.elapsed().as_secs_f64()));
            };
            if group.append(vec![7; BYTES], report).is_err() {
                break;
            }
            sent += 1;
        }
        let (succeeded, took) = results.recv().unwrap_or((false, 0.0));
        assert!(succeeded, "an append failed");
        longest = longest.max(took);
        done += 1;
    }
    (ENTRIES as f64 / started.elapsed().as_secs_f64(), longest)
}

fn main() {
    let mut ratios: Vec<f64> = vec![];
    for _ in 0..3 {
        let (single, (grouped, longest)) = (measure_single_appends(), measure_group_commit());
        ratios.push(grouped / single);
        println!(
            "a sync each {single:>8.0} a second; {IN_FLIGHT} in flight that share syncs {grouped:>8.0} a second, {:.1} times; \
             longest wait {:.1} ms",
            grouped / single,
            1e3 * longest
        );
    }
    ratios.sort_by(f64::total_cmp);
    println!("middle of three: {:.1} times", ratios[1]);
    for megabytes in [1, 8, 64] {
        let at = directory("recovery");
        let mut journal = open(&at);
        let batch = vec![vec![7u8; BYTES]; 1_000];
        while journal.length() < megabytes * 1_000_000 {
            journal.append_all(&batch).unwrap_or_else(|e| panic!("{e}"));
        }
        let bytes = journal.length();
        drop(journal);
        let started = Instant::now();
        drop(open(&at));
        println!(
            "opened {:.1} MB in {:.1} ms",
            bytes as f64 / 1e6,
            1e3 * started.elapsed().as_secs_f64()
        );
    }
}
