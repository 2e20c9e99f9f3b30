//! Faults between a writer and the front ends, in simulated time.

mod kit;

use kit::fleet::Fleet;
use kit::loaded::{IN_FORCE_LIMIT, digest_of, loaded_fleet};
use kit::{delete, function, put};
use orchidtally_config_sync::Verdict;

/// A transaction whose fragments take longer to arrive than the watch timeout: the front end waits for it, and doesn't
/// request it repeatedly.
#[test]
fn a_transaction_that_arrives_slowly_is_not_requested_again() {
    let mut fleet = loaded_fleet(5, 120);
    for front_end in &mut fleet.front_ends {
        front_end.fragment_size = 1;
    }
    let changes: Vec<_> = (0..90)
        .map(|n| put(&format!("functions/f{n}"), function("b", "serve", true)))
        .collect();
    let bytes: usize = changes
        .iter()
        .map(|change| change.document.as_ref().map_or(0, Vec::len))
        .sum();
    let started_at = fleet.now;
    let revision = fleet.write(&changes);
    let took = fleet.run_until_applied(revision, IN_FORCE_LIMIT, |_| true);
    let received = |f: &kit::front_end::FrontEnd| {
        f.traffic
            .by_second
            .range(started_at as u64..)
            .map(|(_, bytes)| *bytes)
            .sum::<usize>()
    };
    let most = fleet.front_ends.iter().map(received).max().unwrap_or(0);
    println!("in force after {took:?} s, {most} bytes at one front end, {bytes} of documents");
    assert!(
        took.is_some_and(|took| took > 8.0 && took < 12.0),
        "{took:?}"
    );
    assert!(
        most < 2 * bytes,
        "{most} bytes at one front end, {bytes} of documents"
    );
}

/// Two of five members crash while front ends have received a part of a transaction: no front end shows a part of it,
/// and all have it in force in time.
#[test]
fn two_members_crash_in_the_middle_of_a_transaction() {
    let mut fleet = loaded_fleet(20, 60);
    for front_end in &mut fleet.front_ends {
        front_end.fragment_size = 5;
    }
    let keys: Vec<String> = (0..40).map(|n| format!("functions/f{n}")).collect();
    let changes: Vec<_> = keys
        .iter()
        .map(|key| put(key, function("b", "serve", true)))
        .collect();
    let revision = fleet.write(&changes);
    let written_at = fleet.now;
    let assert_atomic = |fleet: &Fleet| {
        for index in 0..20 {
            let digests: Vec<String> = keys
                .iter()
                .map(|key| digest_of(fleet, index, key))
                .collect();
            assert!(
                digests.iter().all(|d| *d == digests[0]),
                "front end {index} shows a part of the transaction: {digests:?}"
            );
        }
    };
    fleet.run_with(0.2, assert_atomic);
    let at_crashing_members = fleet.front_ends.iter().filter(|f| f.member < 2).count();
    let applied_early = fleet
        .front_ends
        .iter()
        .filter(|f| f.core.applied_revision() >= revision)
        .count();
    assert!(
        at_crashing_members > 0 && applied_early == 0,
        "the members have to crash in the middle of the transaction: {at_crashing_members} {applied_early}"
    );
    fleet.store.members[0].is_alive = false;
    fleet.store.members[1].is_alive = false;
    let mut all_at = None;
    fleet.run_with(IN_FORCE_LIMIT, |fleet| {
        assert_atomic(fleet);
        let all = fleet
            .front_ends
            .iter()
            .all(|f| f.core.applied_revision() >= revision);
        if all && all_at.is_none() {
            all_at = Some(fleet.now - written_at);
        }
    });
    println!("in force at all 20 front ends after {all_at:?} s");
    assert!(all_at.is_some_and(|at| at <= IN_FORCE_LIMIT), "{all_at:?}");
    assert_eq!(fleet.serving("functions/guarded"), 20);
}

/// A region is partitioned together with its member of the store for three minutes, while a permission is revoked.
#[test]
fn a_region_is_partitioned_while_a_permission_is_revoked() {
    let mut fleet = loaded_fleet(9, 30);
    // The region's front ends stay connected to the region's own member, which has lost its quorum.
    fleet.store.members[4].partition = 1;
    for front_end in fleet.front_ends.iter_mut().filter(|f| f.region == 2) {
        front_end.partition = Some(1);
        front_end.member = 4;
    }
    fleet.run(0.5);
    let revision = fleet.write(&[put("functions/guarded", function("a", "refuse", false))]);
    let written_at = fleet.now;
    let took = fleet.run_until_applied(revision, IN_FORCE_LIMIT, |f| f.region != 2);
    assert!(took.is_some(), "the other regions don't have it in time");
    assert_eq!(
        fleet.serving("functions/guarded"),
        3,
        "the region doesn't know of the revocation yet"
    );
    let mut last_served = 0.0f64;
    fleet.run_with(180.0, |fleet| {
        if fleet.serving("functions/guarded") > 0 {
            last_served = fleet.now - written_at;
        }
    });
    println!("served last {last_served:.2} s after the revocation");
    assert!(last_served <= IN_FORCE_LIMIT, "{last_served}");
    assert_eq!(
        fleet.serving("functions/f1"),
        9,
        "other functions are still served"
    );
    // The partition ends.
    fleet.store.members[4].partition = 0;
    for front_end in &mut fleet.front_ends {
        front_end.partition = Some(0);
    }
    let recovered_after = fleet.run_until_applied(revision, IN_FORCE_LIMIT, |_| true);
    println!("in force {recovered_after:?} s after the end of the partition");
    assert!(recovered_after.is_some());
    for front_end in &fleet.front_ends {
        assert_eq!(
            front_end.core.admits(fleet.now, "functions/guarded"),
            Verdict::RefuseNotAllowed
        );
    }
}

/// A front end is paused for 30 s while a permission is revoked. It resumes with its old view, and is asked for a
/// verdict before it has received anything.
#[test]
fn a_paused_front_end_resumes_with_an_old_view() {
    let mut fleet = loaded_fleet(3, 30);
    let admitted = fleet.front_ends[0].core.view();
    // An answer to a barrier is in flight for the whole pause.
    while !fleet.front_ends[0].is_barrier_in_flight() {
        fleet.run(0.05);
    }
    fleet.front_ends[0].is_paused = true;
    fleet.run(1.0);
    let revision = fleet.write(&[put("functions/guarded", function("a", "refuse", false))]);
    fleet.run(30.0);
    let core = &fleet.front_ends[0].core;
    assert!(
        core.view().get("functions/guarded").is_some(),
        "it still has the old view"
    );
    let verdict = core.admits(fleet.now, "functions/guarded");
    assert!(
        matches!(verdict, Verdict::RefuseStale { .. }),
        "{verdict:?}"
    );
    let verdict = core.still_admitted(fleet.now, &admitted, "functions/guarded");
    assert!(
        matches!(verdict, Verdict::RefuseStale { .. }),
        "{verdict:?}"
    );
    assert_eq!(core.admits(fleet.now, "functions/f1"), Verdict::Serve);
    // The answer that was in flight during the pause doesn't make the old view fresh.
    let now = fleet.now;
    fleet.front_ends[0].receive_barrier(now);
    let verdict = fleet.front_ends[0].core.admits(now, "functions/guarded");
    assert!(
        matches!(verdict, Verdict::RefuseStale { age } if age > 30.0),
        "{verdict:?}"
    );
    fleet.front_ends[0].is_paused = false;
    let mut served = false;
    fleet.run_with(IN_FORCE_LIMIT, |fleet| {
        served |= fleet.front_ends[0]
            .core
            .admits(fleet.now, "functions/guarded")
            == Verdict::Serve;
    });
    assert!(!served, "it was served after the revocation");
    assert!(fleet.front_ends[0].core.applied_revision() >= revision);
}

/// A change is followed by its own revocation before some front ends have received it: no front end ever serves it,
/// however the changes arrive.
#[test]
fn a_change_that_is_revoked_at_once_is_never_served() {
    let mut fleet = loaded_fleet(6, 30);
    // Two front ends are disconnected, and two are paused.
    for index in 0..2 {
        fleet.front_ends[index].partition = None;
        fleet.front_ends[index + 2].is_paused = true;
    }
    fleet.run(1.0);
    fleet.write(&[put("functions/guest", function("g", "serve", true))]);
    let revision = fleet.write(&[put("functions/guest", function("g", "serve", false))]);
    let mut served = 0;
    let count_serving =
        |fleet: &Fleet, served: &mut usize| *served += fleet.serving("functions/guest");
    fleet.run_with(5.0, |fleet| count_serving(fleet, &mut served));
    for index in 0..2 {
        fleet.front_ends[index].partition = Some(0);
        fleet.front_ends[index + 2].is_paused = false;
    }
    fleet.run_with(IN_FORCE_LIMIT, |fleet| count_serving(fleet, &mut served));
    assert!(
        fleet
            .front_ends
            .iter()
            .all(|f| f.core.applied_revision() >= revision)
    );
    for front_end in &fleet.front_ends {
        assert_eq!(
            front_end.core.admits(fleet.now, "functions/guest"),
            Verdict::RefuseNotAllowed
        );
    }
    assert_eq!(
        served, 0,
        "the change was used although its revocation arrived together with it"
    );
}

/// A grant is in a rejected transaction, and is revoked before that transaction is repaired: the repair must not put
/// the grant into force.
#[test]
fn a_rejected_grant_is_not_restored_after_its_revocation() {
    let mut fleet = loaded_fleet(2, 10);
    fleet.write_unchecked(&[
        put("functions/guest", function("g", "serve", true)),
        put("functions/f1", br#"{"spec":{}}"#.to_vec()),
    ]);
    fleet.run(2.0);
    assert_eq!(
        fleet.front_ends[0]
            .core
            .admits(fleet.now, "functions/guest"),
        Verdict::Unknown
    );
    fleet.write(&[delete("functions/guest")]);
    fleet.run(2.0);
    fleet.write(&[put("functions/f1", function("z", "serve", true))]);
    fleet.run(5.0);
    for index in 0..2 {
        let core = &fleet.front_ends[index].core;
        assert_eq!(core.admits(fleet.now, "functions/guest"), Verdict::Unknown);
        assert!(core.rejections().is_empty());
        assert_eq!(digest_of(&fleet, index, "functions/f1"), "z");
    }
}
