//! How much front ends read, and how long it takes, when they reconnect after a compaction, in simulated time.

mod kit;

use kit::fleet::Fleet;
use kit::front_end::FrontEnd;
use kit::{delete, function, put};
use orchidtally_config_sync::keys::group_of;
use orchidtally_config_sync::writer::{EntryChange, Operation};
use orchidtally_config_sync::{SyncSettings, Verdict};

/// The planned number of functions.
const FUNCTIONS: usize = 21_000;
/// Time within which a front end that reconnects has to have everything in force, in seconds.
const IN_FORCE_LIMIT: f64 = 18.0;
/// Budget of a front end for control traffic, in bytes a second.
const BYTES_PER_SECOND: f64 = 12_000.0;

fn name(number: usize) -> String {
    format!("functions/f{number}")
}

/// Disconnected front ends that start from a snapshot of so many functions, with the default settings.
fn start_from_snapshot(count: usize, functions: usize) -> Fleet {
    let unpaced = SyncSettings {
        read_bytes_per_second: 1e9,
        read_burst: 1e9,
        page_bytes: 1e6,
        spread: 0.0,
        snapshot_interval: 0.1,
        ..SyncSettings::default()
    };
    let mut fleet = Fleet::new(1, unpaced);
    let changes: Vec<EntryChange> = (0..functions)
        .map(|n| put(&name(n), function("a", "refuse", true)))
        .collect();
    for chunk in changes.chunks(100) {
        fleet.write(chunk);
    }
    let revision = fleet.store.revision;
    assert!(
        fleet.run_until_applied(revision, 60.0, |_| true).is_some(),
        "the front end that writes the snapshot didn't load"
    );
    fleet.run(1.0);
    let snapshot = fleet.front_ends[0]
        .snapshots
        .last()
        .expect("the front end has written a snapshot")
        .clone();
    let now = fleet.now;
    fleet.front_ends = (0..count)
        .map(|number| {
            let mut front_end =
                FrontEnd::new(SyncSettings::default(), number as u64, number % 3, now);
            front_end.snapshots = vec![snapshot.clone()];
            front_end.restart(SyncSettings::default(), number as u64, now);
            front_end.partition = None;
            front_end
        })
        .collect();
    fleet
}

/// Writes changes that all front ends miss, and compacts the store past them.
fn write_unseen(fleet: &mut Fleet, changes: &[EntryChange]) -> i64 {
    let mut revision = 0;
    for chunk in changes.chunks(50) {
        revision = fleet.write(chunk);
    }
    fleet.store.touch();
    fleet.store.compact(fleet.store.revision);
    revision
}

/// Lets all front ends reach the store again. Returns the seconds until the revision is in force at all of them.
fn reconnect(fleet: &mut Fleet, revision: i64, latency: f64) -> Option<f64> {
    for front_end in &mut fleet.front_ends {
        front_end.partition = Some(0);
        front_end.latency = latency;
    }
    let reconnected_at = fleet.now;
    let took = fleet.run_until_applied(revision, 100.0, |_| true);
    let traffic = &fleet.front_ends[0].traffic;
    println!(
        "{latency} s one way: in force after {took:?} s, peak {} B/s, read {:?}",
        fleet.peak_bytes(reconnected_at),
        traffic.reads_by_kind
    );
    took
}

/// The highest traffic of any front end in bytes a second, in both directions, averaged over any five seconds from a
/// time on.
fn peak_bytes_per_second(fleet: &Fleet, from: f64) -> f64 {
    const WINDOW: usize = 5;
    let of = |front_end: &FrontEnd| {
        let seconds: Vec<usize> = (from as u64..=fleet.now as u64)
            .map(|second| {
                front_end
                    .traffic
                    .by_second
                    .get(&second)
                    .copied()
                    .unwrap_or(0)
            })
            .collect();
        seconds
            .windows(WINDOW)
            .map(|window| window.iter().sum::<usize>())
            .max()
            .unwrap_or(0)
    };
    fleet.front_ends.iter().map(of).max().unwrap_or(0) as f64 / WINDOW as f64
}

/// Missed changes are read within the rate limit, and the rate limit rather than the latency determines the time: 340
/// changes are in force in time at any latency.
#[test]
fn a_missed_burst_is_read_within_the_rate_limit_at_any_latency() {
    for (count, latency) in [(30, 0.03), (30, 0.15), (340, 0.03), (340, 0.15)] {
        let mut fleet = start_from_snapshot(6, FUNCTIONS);
        let changes: Vec<_> = (0..count)
            .map(|n| put(&name(n * 7), function("b", "refuse", false)))
            .collect();
        let revision = write_unseen(&mut fleet, &changes);
        let reconnected_at = fleet.now;
        println!("{count} changes");
        let took = reconnect(&mut fleet, revision, latency);
        assert!(took.is_some_and(|took| took <= IN_FORCE_LIMIT), "{took:?}");
        let peak_bytes_per_second = peak_bytes_per_second(&fleet, reconnected_at);
        println!("{peak_bytes_per_second} bytes a second in the busiest five seconds");
        assert!(
            peak_bytes_per_second <= BYTES_PER_SECOND,
            "{peak_bytes_per_second}"
        );
        for front_end in &fleet.front_ends {
            assert_eq!(
                front_end.core.admits(fleet.now, &name(7)),
                Verdict::RefuseNotAllowed
            );
            assert_eq!(front_end.traffic.reads_by_kind.get("bucket"), None);
        }
    }
}

/// Digests show which entries were deleted, and each is confirmed by its key: the keys of whole buckets aren't read.
#[test]
fn missed_deletions_are_found_without_reading_buckets() {
    for (count, latency) in [(1, 0.15), (30, 0.03), (30, 0.15), (400, 0.03), (400, 0.15)] {
        let mut fleet = start_from_snapshot(3, FUNCTIONS);
        let mut changes: Vec<_> = (0..count).map(|n| delete(&name(100 + n * 7))).collect();
        changes.extend((0..4).map(|n| put(&name(20_000 + n), function("b", "refuse", false))));
        let revision = write_unseen(&mut fleet, &changes);
        let reconnected_at = fleet.now;
        println!("{count} deletions");
        let took = reconnect(&mut fleet, revision, latency);
        assert!(took.is_some_and(|took| took <= IN_FORCE_LIMIT), "{took:?}");
        assert!(peak_bytes_per_second(&fleet, reconnected_at) <= BYTES_PER_SECOND);
        fleet.run(4.0);
        for front_end in &fleet.front_ends {
            assert_eq!(front_end.core.view().len(), FUNCTIONS - count);
            assert_eq!(
                front_end.core.admits(fleet.now, &name(100)),
                Verdict::Unknown
            );
            assert_eq!(
                front_end.core.admits(fleet.now, &name(20_000)),
                Verdict::RefuseNotAllowed
            );
            let bucket_reads = front_end.traffic.bucket_reads;
            assert!(bucket_reads <= count / 50, "{bucket_reads} of {count}");
        }
    }
}

/// Entries that a writer put without updating the digests look deleted, and so do all entries of a deleted digest. None
/// of them may be removed from the view.
#[test]
fn entries_without_a_digest_are_not_removed() {
    let mut fleet = start_from_snapshot(3, 60);
    fleet
        .front_ends
        .iter_mut()
        .for_each(|front_end| front_end.partition = Some(0));
    // One such entry shares a bucket with another, and one is alone in its bucket.
    let shared_bucket = kit::key(&name(3)).bucket();
    let is_in_same_bucket = |name: &String| kit::key(name).bucket() == shared_bucket;
    let same_bucket = (0..)
        .map(|n| format!("functions/beside-{n}"))
        .find(is_in_same_bucket)
        .expect("some names hash to the bucket");
    let same_bucket_key = fleet.keyspace.entry(&kit::key(&same_bucket));
    let without_digest = fleet.keyspace.entry(&kit::key("functions/past-digests"));
    let value = function("a", "refuse", true);
    let put_without_digest = [same_bucket_key, without_digest].map(|key| Operation::Put {
        key,
        value: value.clone(),
    });
    fleet
        .store
        .commit(&put_without_digest)
        .expect("the write is committed");
    fleet.run(20.0);
    assert_eq!(fleet.serving("functions/past-digests"), 3);
    fleet
        .front_ends
        .iter_mut()
        .for_each(|front_end| front_end.partition = None);
    fleet.run(20.0);
    let lost_group = group_of(kit::key(&name(5)).bucket());
    let lost = Operation::Delete {
        key: fleet.keyspace.digest(lost_group),
    };
    let revision = write_unseen(
        &mut fleet,
        &[
            delete(&name(7)),
            put(&name(8), function("b", "refuse", false)),
        ],
    );
    fleet.store.commit(&[lost]).expect("the write is committed");
    fleet.store.compact(fleet.store.revision);
    assert!(reconnect(&mut fleet, revision, 0.03).is_some_and(|took| took <= IN_FORCE_LIMIT));
    fleet.run(5.0);
    for front_end in &fleet.front_ends {
        assert_eq!(front_end.core.view().len(), 61);
        assert_eq!(front_end.core.admits(fleet.now, &name(7)), Verdict::Unknown);
        assert!(
            front_end
                .report
                .as_ref()
                .is_some_and(|report| report.digest_faults >= 3)
        );
    }
    for entry in ["functions/past-digests", &same_bucket, &name(5), &name(3)] {
        assert_eq!(fleet.serving(entry), 3, "{entry}");
    }
}
