//! Faults of the store and its members, in simulated time: partitions, stuck watches, rollbacks and compaction.

mod kit;

use kit::fleet::Fleet;
use kit::loaded::{LIMIT, digest_of, loaded};
use kit::{delete, function, put};
use orchidtally_config_sync::{ReportedState, Verdict};

/// Watch progress of a member without its quorum proves nothing.
#[test]
fn progress_of_a_member_that_is_cut_off_keeps_nothing_fresh() {
    let mut fleet = loaded(1, 5);
    fleet.store.members[4].side = 1;
    let front_end = &mut fleet.front_ends[0];
    (front_end.side, front_end.member) = (Some(1), 4);
    let header = fleet.store.header(4);
    let cut_at = fleet.now;
    fleet.run_with(60.0, |_| {});
    for second in 0..30 {
        fleet.front_ends[0]
            .core
            .watch_progress(cut_at + 60.0 + f64::from(second), header);
    }
    let core = &fleet.front_ends[0].core;
    assert!(
        core.fresh_as_of() <= cut_at,
        "{} after {cut_at}",
        core.fresh_as_of()
    );
    let verdict = core.admits(cut_at + 90.0, "functions/guarded");
    assert!(
        matches!(verdict, Verdict::RefuseStale { age } if age >= 90.0),
        "{verdict:?}"
    );
}

/// A member answers linearizable reads, but its watches stand still: front ends take another one.
#[test]
fn a_watch_that_stands_still_is_opened_elsewhere() {
    let mut fleet = loaded(6, 10);
    for front_end in &mut fleet.front_ends {
        front_end.member = 2;
    }
    fleet.store.members[2].is_stuck = true;
    let revision = fleet.write(&[put("functions/guarded", function("a", "refuse", false))]);
    let took = fleet.run_until_applied(revision, LIMIT, |_| true);
    println!("in force after {took:?} s");
    assert!(took.is_some());
    assert!(fleet.front_ends.iter().all(|f| f.member != 2));
}

/// The store comes back at an older revision: nobody follows it before the operator says so.
#[test]
fn the_store_comes_back_at_an_older_revision() {
    let mut fleet = loaded(6, 30);
    let scans = |fleet: &Fleet| {
        fleet
            .front_ends
            .iter()
            .map(|f| f.traffic.scans)
            .sum::<usize>()
    };
    let scans_before = scans(&fleet);
    let back_to = fleet.store.revision;
    let revision = fleet.write(&[
        put("functions/guarded", function("a", "refuse", false)),
        put("functions/f1", function("b", "serve", true)),
    ]);
    assert!(fleet.run_until_applied(revision, LIMIT, |_| true).is_some());
    fleet.run(5.0);
    fleet.store.set_back(back_to);
    let set_back_at = fleet.now;
    for front_end in &mut fleet.front_ends {
        front_end.disconnect(set_back_at);
    }
    fleet.run_with(120.0, |fleet| {
        for index in 0..6 {
            assert_eq!(
                digest_of(fleet, index, "functions/f1"),
                "b",
                "front end {index} was taken back"
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
        assert!(front_end.core.fresh_as_of() <= set_back_at);
    }
    // The operator restores the generation key with a higher number: then the store is followed.
    fleet.set_generation(2);
    let raised_at = fleet.now;
    let mut healed = None;
    fleet.run_with(LIMIT, |fleet| {
        let follows = |f: &kit::front_end::FrontEnd| {
            f.core.state() == ReportedState::Following && f.core.view().generation() == 2
        };
        if healed.is_none() && fleet.front_ends.iter().all(follows) {
            healed = Some(fleet.now - raised_at);
        }
    });
    println!("followed {healed:?} s after the generation was raised");
    assert!(healed.is_some());
    for index in 0..6 {
        assert_eq!(digest_of(&fleet, index, "functions/f1"), "a");
    }
    assert_eq!(scans(&fleet), scans_before, "nothing is read whole again");
}

/// don't tell.
#[test]
fn a_store_that_was_set_back_and_has_caught_up_is_found() {
    let mut fleet = loaded(6, 30);
    let back_to = fleet.store.revision;
    let revision = fleet.write(&[put("functions/guarded", function("a", "refuse", false))]);
    assert!(fleet.run_until_applied(revision, LIMIT, |_| true).is_some());
    fleet.run(5.0);
    for front_end in &mut fleet.front_ends {
        front_end.side = None;
    }
    fleet.run(1.0);
    let last = fleet.store.revision;
    fleet.store.set_back(back_to);
    while fleet.store.revision < last + 50 {
        fleet.store.touch();
    }
    fleet.write(&[put("functions/f2", function("c", "serve", true))]);
    for front_end in &mut fleet.front_ends {
        front_end.side = Some(0);
    }
    fleet.run_with(60.0, |fleet| {
        for index in 0..6 {
            assert_eq!(
                digest_of(fleet, index, "functions/f2"),
                "a",
                "front end {index} mixes two histories"
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
    fleet.run(LIMIT);
    assert!(
        fleet
            .front_ends
            .iter()
            .all(|f| f.core.state() == ReportedState::Following)
    );
    assert_eq!(digest_of(&fleet, 0, "functions/f2"), "c");
}

/// of what was deleted, not everything.
#[test]
fn compaction_overtakes_every_watcher() {
    let mut fleet = loaded(12, 400);
    for front_end in &mut fleet.front_ends {
        front_end.side = None;
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
    let healed_at = fleet.now;
    for front_end in &mut fleet.front_ends {
        front_end.side = Some(0);
    }
    let took = fleet.run_until_applied(revision, LIMIT, |_| true);
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
            .range(healed_at as u64..)
            .map(|(_, b)| *b)
            .sum();
        assert!(read < 20_000, "front end {index} read {read} bytes");
    }
    let scans_after: usize = fleet.front_ends.iter().map(|f| f.traffic.scans).sum();
    assert_eq!(scans, scans_after, "nothing is read whole");
}
