//! What front ends read that come back behind a compaction, and how long it takes them, in simulated time.

mod kit;

use kit::fleet::Fleet;
use kit::front_end::FrontEnd;
use kit::{delete, function, put};
use orchidtally_config_sync::keys::group_of;
use orchidtally_config_sync::writer::{EntryChange, Operation};
use orchidtally_config_sync::{SyncSettings, Verdict};

/// Functions of the planned size.
const FUNCTIONS: usize = 21_000;
/// Within what time a front end that comes back has to have everything in force, in seconds.
const LIMIT: f64 = 18.0;
/// What a front end may spend on control, in bytes a second.
const BYTES_PER_SECOND: f64 = 12_000.0;

fn name(number: usize) -> String {
    format!("functions/f{number}")
}

/// Front ends without a connection that start from a snapshot of so many functions, at the usual settings.
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
    for some in changes.chunks(100) {
        fleet.write(some);
    }
    let revision = fleet.store.revision;
    assert!(
        fleet.run_until_applied(revision, 60.0, |_| true).is_some(),
        "the snapshot's reader didn't load"
    );
    fleet.run(1.0);
    let snapshot = fleet.front_ends[0]
        .disk
        .last()
        .expect("it has written a snapshot")
        .clone();
    let now = fleet.now;
    fleet.front_ends = (0..count)
        .map(|number| {
            let mut front_end =
                FrontEnd::new(SyncSettings::default(), number as u64, number % 3, now);
            front_end.disk = vec![snapshot.clone()];
            front_end.restart(SyncSettings::default(), number as u64, now);
            front_end.side = None;
            front_end
        })
        .collect();
    fleet
}

/// Writes changes that all front ends miss, and compacts them away.
fn miss(fleet: &mut Fleet, changes: &[EntryChange]) -> i64 {
    let mut revision = 0;
    for some in changes.chunks(50) {
        revision = fleet.write(some);
    }
    fleet.store.touch();
    fleet.store.compact(fleet.store.revision);
    revision
}

/// Lets all front ends reach the store again: the seconds until the revision is in force at all of them.
fn come_back(fleet: &mut Fleet, revision: i64, latency: f64) -> Option<f64> {
    for front_end in &mut fleet.front_ends {
        front_end.side = Some(0);
        front_end.latency = latency;
    }
    let came_at = fleet.now;
    let took = fleet.run_until_applied(revision, 100.0, |_| true);
    let traffic = &fleet.front_ends[0].traffic;
    println!(
        "{latency} s one way: in force after {took:?} s, peak {} B/s, read {:?}",
        fleet.peak_bytes(came_at),
        traffic.reads_by_kind
    );
    took
}

/// The most bytes a second that any front end had on its wires, both ways, in any five seconds from a time on.
fn busiest(fleet: &Fleet, from: f64) -> f64 {
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

/// Changes that were missed take their bytes over the pace, however far away the store is: 340 are in force in time.
#[test]
fn a_missed_burst_is_read_at_the_pace_over_any_distance() {
    for (count, latency) in [(30, 0.03), (30, 0.15), (340, 0.03), (340, 0.15)] {
        let mut fleet = start_from_snapshot(6, FUNCTIONS);
        let changes: Vec<_> = (0..count)
            .map(|n| put(&name(n * 7), function("b", "refuse", false)))
            .collect();
        let revision = miss(&mut fleet, &changes);
        let came_at = fleet.now;
        println!("{count} changes");
        let took = come_back(&mut fleet, revision, latency);
        assert!(took.is_some_and(|took| took <= LIMIT), "{took:?}");
        let busiest = busiest(&fleet, came_at);
        println!("{busiest} bytes a second in the busiest five");
        assert!(busiest <= BYTES_PER_SECOND, "{busiest}");
        for front_end in &fleet.front_ends {
            assert_eq!(
                front_end.core.admits(fleet.now, &name(7)),
                Verdict::RefuseNotAllowed
            );
            assert_eq!(front_end.traffic.reads_by_kind.get("bucket"), None);
        }
    }
}

/// What was deleted meanwhile is told by digests and asked for by its key: the keys of whole buckets aren't read.
#[test]
fn missed_deletions_are_found_without_reading_buckets() {
    for (count, latency) in [(1, 0.15), (30, 0.03), (30, 0.15), (400, 0.03), (400, 0.15)] {
        let mut fleet = start_from_snapshot(3, FUNCTIONS);
        let mut changes: Vec<_> = (0..count).map(|n| delete(&name(100 + n * 7))).collect();
        changes.extend((0..4).map(|n| put(&name(20_000 + n), function("b", "refuse", false))));
        let revision = miss(&mut fleet, &changes);
        let came_at = fleet.now;
        println!("{count} deletions");
        let took = come_back(&mut fleet, revision, latency);
        assert!(took.is_some_and(|took| took <= LIMIT), "{took:?}");
        assert!(busiest(&fleet, came_at) <= BYTES_PER_SECOND);
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

/// Entries that a writer put past their digests look deleted by those, and so do all where a digest is gone.
#[test]
fn entries_that_digests_do_not_tell_of_are_not_taken_for_deleted() {
    let mut fleet = start_from_snapshot(3, 60);
    fleet
        .front_ends
        .iter_mut()
        .for_each(|front_end| front_end.side = Some(0));
    // Beside another in its bucket, and in a bucket of its own.
    let shared_bucket = kit::key(&name(3)).bucket();
    let is_beside = |name: &String| kit::key(name).bucket() == shared_bucket;
    let beside = (0..)
        .map(|n| format!("functions/beside-{n}"))
        .find(is_beside)
        .expect("some are");
    let beside_key = fleet.keyspace.entry(&kit::key(&beside));
    let past_digests = fleet.keyspace.entry(&kit::key("functions/past-digests"));
    let value = function("a", "refuse", true);
    let put_past = [beside_key, past_digests].map(|key| Operation::Put {
        key,
        value: value.clone(),
    });
    fleet.store.commit(&put_past).expect("a quorum takes it");
    fleet.run(20.0);
    assert_eq!(fleet.serving("functions/past-digests"), 3);
    fleet
        .front_ends
        .iter_mut()
        .for_each(|front_end| front_end.side = None);
    fleet.run(20.0);
    let lost_group = group_of(kit::key(&name(5)).bucket());
    let lost = Operation::Delete {
        key: fleet.keyspace.digest(lost_group),
    };
    let revision = miss(
        &mut fleet,
        &[
            delete(&name(7)),
            put(&name(8), function("b", "refuse", false)),
        ],
    );
    fleet.store.commit(&[lost]).expect("a quorum takes it");
    fleet.store.compact(fleet.store.revision);
    assert!(come_back(&mut fleet, revision, 0.03).is_some_and(|took| took <= LIMIT));
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
    for kept in ["functions/past-digests", &beside, &name(5), &name(3)] {
        assert_eq!(fleet.serving(kept), 3, "{kept}");
    }
}
