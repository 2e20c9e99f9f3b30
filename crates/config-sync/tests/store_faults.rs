//! Faults of the store and its members, in simulated time: partitions, stuck watches, rollbacks and compaction.

mod kit;

use kit::fleet::Fleet;
use kit::loaded::{IN_FORCE_LIMIT, digest_of, loaded_fleet};
use kit::{delete, function, put};
use orchidtally_config_sync::{ReportedState, Verdict};

/// A member without its quorum keeps sending watch progress at an old revision, which must not make the view fresh.
#[test]
fn progress_of_a_partitioned_member_proves_no_freshness() {
    let mut fleet = loaded_fleet(1, 5);
    fleet.store.members[4].partition = 1;
    let front_end = &mut fleet.front_ends[0];
    (front_end.partition, front_end.member) = (Some(1), 4);
    let header = fleet.store.header(4);
    let partitioned_at = fleet.now;
    fleet.run_with(60.0, |_| {});
    for second in 0..30 {
        fleet.front_ends[0]
            .core
            .on_watch_progress(partitioned_at + 60.0 + f64::from(second), header);
    }
    let core = &fleet.front_ends[0].core;
    assert!(
        core.fresh_as_of() <= partitioned_at,
        "{} after {partitioned_at}",
        core.fresh_as_of()
    );
    let verdict = core.admits(partitioned_at + 90.0, "functions/guarded");
    assert!(
        matches!(verdict, Verdict::RefuseStale { age } if age >= 90.0),
        "{verdict:?}"
    );
}

/// The watches of a member stall although it answers linearizable reads: front ends switch to another member.
#[test]
fn a_stalled_watch_is_opened_at_another_member() {
    let mut fleet = loaded_fleet(6, 10);
    for front_end in &mut fleet.front_ends {
        front_end.member = 2;
    }
    fleet.store.members[2].is_stuck = true;
    let revision = fleet.write(&[put("functions/guarded", function("a", "refuse", false))]);
    let took = fleet.run_until_applied(revision, IN_FORCE_LIMIT, |_| true);
    println!("in force after {took:?} s");
    assert!(took.is_some());
    assert!(fleet.front_ends.iter().all(|f| f.member != 2));
}

/// The store is rolled back to an older revision: no front end follows it before the operator raises the generation.
#[test]
fn a_rolled_back_store_is_not_followed_until_the_generation_is_raised() {
    let mut fleet = loaded_fleet(6, 30);
    let scans = |fleet: &Fleet| {
        fleet
            .front_ends
            .iter()
            .map(|f| f.traffic.scans)
            .sum::<usize>()
    };
    let scans_before = scans(&fleet);
    let rollback_revision = fleet.store.revision;
    let revision = fleet.write(&[
        put("functions/guarded", function("a", "refuse", false)),
        put("functions/f1", function("b", "serve", true)),
    ]);
    assert!(
        fleet
            .run_until_applied(revision, IN_FORCE_LIMIT, |_| true)
            .is_some()
    );
    fleet.run(5.0);
    fleet.store.roll_back(rollback_revision);
    let rolled_back_at = fleet.now;
    for front_end in &mut fleet.front_ends {
        front_end.disconnect(rolled_back_at);
    }
    fleet.run_with(120.0, |fleet| {
        for index in 0..6 {
            assert_eq!(
                digest_of(fleet, index, "functions/f1"),
                "b",
                "front end {index} was rolled back"
            );
            assert_ne!(
                fleet.front_ends[index]
                    .core
                    .admits(fleet.now, "functions/guarded"),
                Verdict::Serve
            );
        }
    });
    for front_end in &fleet.front_ends {
        assert_eq!(front_end.core.state(), ReportedState::StoreRolledBack);
        assert_eq!(
            front_end.report.as_ref().map(|r| r.state),
            Some(ReportedState::StoreRolledBack)
        );
        assert!(front_end.core.fresh_as_of() <= rolled_back_at);
    }
    // The store is followed once the operator raises the generation.
    fleet.set_generation(2);
    let raised_at = fleet.now;
    let mut recovered_after = None;
    fleet.run_with(IN_FORCE_LIMIT, |fleet| {
        let follows = |f: &kit::front_end::FrontEnd| {
            f.core.state() == ReportedState::Following && f.core.view().generation() == 2
        };
        if recovered_after.is_none() && fleet.front_ends.iter().all(follows) {
            recovered_after = Some(fleet.now - raised_at);
        }
    });
    println!("followed {recovered_after:?} s after the generation was raised");
    assert!(recovered_after.is_some());
    for index in 0..6 {
        assert_eq!(digest_of(&fleet, index, "functions/f1"), "a");
    }
    assert_eq!(
        scans(&fleet),
        scans_before,
        "no front end scans all entries again"
    );
}

/// The store is rolled back and passes the front ends' revision again before they reconnect. Revisions alone don't show
/// this, but digests do.
#[test]
fn a_rollback_is_detected_after_the_store_has_passed_the_known_revision() {
    let mut fleet = loaded_fleet(6, 30);
    let rollback_revision = fleet.store.revision;
    let revision = fleet.write(&[put("functions/guarded", function("a", "refuse", false))]);
    assert!(
        fleet
            .run_until_applied(revision, IN_FORCE_LIMIT, |_| true)
            .is_some()
    );
    fleet.run(5.0);
    for front_end in &mut fleet.front_ends {
        front_end.partition = None;
    }
    fleet.run(1.0);
    let last = fleet.store.revision;
    fleet.store.roll_back(rollback_revision);
    while fleet.store.revision < last + 50 {
        fleet.store.touch();
    }
    fleet.write(&[put("functions/f2", function("c", "serve", true))]);
    for front_end in &mut fleet.front_ends {
        front_end.partition = Some(0);
    }
    fleet.run_with(60.0, |fleet| {
        for index in 0..6 {
            assert_eq!(
                digest_of(fleet, index, "functions/f2"),
                "a",
                "front end {index} mixes two histories of the store"
            );
            assert_ne!(
                fleet.front_ends[index]
                    .core
                    .admits(fleet.now, "functions/guarded"),
                Verdict::Serve
            );
        }
    });
    for front_end in &fleet.front_ends {
        assert_eq!(front_end.core.state(), ReportedState::StoreRolledBack);
    }
    fleet.set_generation(2);
    fleet.run(IN_FORCE_LIMIT);
    assert!(
        fleet
            .front_ends
            .iter()
            .all(|f| f.core.state() == ReportedState::Following)
    );
    assert_eq!(digest_of(&fleet, 0, "functions/f2"), "c");
}

/// All watches are compacted while front ends are disconnected, and a missed change is a deletion: front ends read the
/// changed entries and the bucket of the deleted one, not everything.
#[test]
fn front_ends_catch_up_after_a_compaction_without_a_scan() {
    let mut fleet = loaded_fleet(12, 400);
    for front_end in &mut fleet.front_ends {
        front_end.partition = None;
    }
    fleet.run(3.0);
    fleet.write(&[put("functions/f7", function("b", "serve", true))]);
    fleet.write(&[
        delete("functions/f8"),
        put("functions/new", function("n", "serve", true)),
    ]);
    let revision = fleet.write(&[put("functions/guarded", function("a", "refuse", false))]);
    fleet.store.touch();
    fleet.store.compact(fleet.store.revision);
    let scans: usize = fleet.front_ends.iter().map(|f| f.traffic.scans).sum();
    let reconnected_at = fleet.now;
    for front_end in &mut fleet.front_ends {
        front_end.partition = Some(0);
    }
    let took = fleet.run_until_applied(revision, IN_FORCE_LIMIT, |_| true);
    println!("in force after {took:?} s");
    assert!(took.is_some());
    for (index, front_end) in fleet.front_ends.iter().enumerate() {
        assert_eq!(digest_of(&fleet, index, "functions/f7"), "b");
        assert_eq!(
            front_end.core.admits(fleet.now, "functions/f8"),
            Verdict::Unknown
        );
        assert_eq!(
            front_end.core.admits(fleet.now, "functions/guarded"),
            Verdict::RefuseNotAllowed
        );
        let read: usize = front_end
            .traffic
            .reads_by_second
            .range(reconnected_at as u64..)
            .map(|(_, b)| *b)
            .sum();
        assert!(read < 20_000, "front end {index} read {read} bytes");
    }
    let scans_after: usize = fleet.front_ends.iter().map(|f| f.traffic.scans).sum();
    assert_eq!(scans, scans_after, "no front end scans all entries");
}
