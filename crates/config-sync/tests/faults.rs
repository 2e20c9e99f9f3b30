//! Faults between a writer and its front ends, in simulated time.

mod kit;

use kit::fleet::Fleet;
use kit::loaded::{LIMIT, digest_of, loaded};
use kit::{delete, function, put};
use orchidtally_config_sync::Verdict;

/// A transaction that takes longer to arrive than a watch may be silent is waited for, and not asked for again and again.
#[test]
fn a_transaction_that_arrives_slowly_is_waited_for() {
    let mut fleet = loaded(5, 120);
    for front_end in &mut fleet.front_ends {
        front_end.fragment = 1;
    }
    let changes: Vec<_> = (0..90)
        .map(|n| put(&format!("functions/f{n}"), function("b", "serve", true)))
        .collect();
    let bytes: usize = changes
        .iter()
        .map(|change| change.document.as_ref().map_or(0, Vec::len))
        .sum();
    let began = fleet.now;
    let revision = fleet.write(&changes);
    let took = fleet.run_until_applied(revision, LIMIT, |_| true);
    let received = |f: &kit::front_end::FrontEnd| {
        f.traffic
            .by_second
            .range(began as u64..)
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

/// Two of five members die when front ends have a part of a transaction: nobody shows a part of it, and all have it
/// in time.
#[test]
fn two_members_die_in_the_middle_of_a_change() {
    let mut fleet = loaded(20, 60);
    for front_end in &mut fleet.front_ends {
        front_end.fragment = 5;
    }
    let keys: Vec<String> = (0..40).map(|n| format!("functions/f{n}")).collect();
    let changes: Vec<_> = keys
        .iter()
        .map(|key| put(key, function("b", "serve", true)))
        .collect();
    let revision = fleet.write(&changes);
    let written_at = fleet.now;
    let mixed = |fleet: &Fleet| {
        for index in 0..20 {
            let digests: Vec<String> = keys
                .iter()
                .map(|key| digest_of(fleet, index, key))
                .collect();
            assert!(
                digests.iter().all(|d| *d == digests[0]),
                "front end {index} shows a part: {digests:?}"
            );
        }
    };
    fleet.run_with(0.2, mixed);
    let on_dead = fleet.front_ends.iter().filter(|f| f.member < 2).count();
    let early = fleet
        .front_ends
        .iter()
        .filter(|f| f.core.applied_revision() >= revision)
        .count();
    assert!(
        on_dead > 0 && early == 0,
        "the members have to die in the middle: {on_dead} {early}"
    );
    fleet.store.members[0].is_alive = false;
    fleet.store.members[1].is_alive = false;
    let mut all_at = None;
    fleet.run_with(LIMIT, |fleet| {
        mixed(fleet);
        let all = fleet
            .front_ends
            .iter()
            .all(|f| f.core.applied_revision() >= revision);
        if all && all_at.is_none() {
            all_at = Some(fleet.now - written_at);
        }
    });
    println!("in force at all 20 front ends after {all_at:?} s");
    assert!(all_at.is_some_and(|at| at <= LIMIT), "{all_at:?}");
    assert_eq!(fleet.serving("functions/guarded"), 20);
}

/// A region with its member of the store is cut off for three minutes while a permission is taken away.
#[test]
fn a_region_is_cut_off_while_a_permission_is_taken_away() {
    let mut fleet = loaded(9, 30);
    // The region's front ends stay connected to the region's own member, which answers without its quorum.
    fleet.store.members[4].side = 1;
    for front_end in fleet.front_ends.iter_mut().filter(|f| f.region == 2) {
        front_end.side = Some(1);
        front_end.member = 4;
    }
    fleet.run(0.5);
    let revision = fleet.write(&[put("functions/guarded", function("a", "refuse", false))]);
    let written_at = fleet.now;
    let took = fleet.run_until_applied(revision, LIMIT, |f| f.region != 2);
    assert!(took.is_some(), "the others don't have it in time");
    assert_eq!(
        fleet.serving("functions/guarded"),
        3,
        "the region can't know yet"
    );
    let mut last_served = 0.0f64;
    fleet.run_with(180.0, |fleet| {
        if fleet.serving("functions/guarded") > 0 {
            last_served = fleet.now - written_at;
        }
    });
    println!("served last {last_served:.2} s after it was taken away");
    assert!(last_served <= LIMIT, "{last_served}");
    assert_eq!(fleet.serving("functions/f1"), 9, "all else is served on");
    // The region heals.
    fleet.store.members[4].side = 0;
    for front_end in &mut fleet.front_ends {
        front_end.side = Some(0);
    }
    let healed = fleet.run_until_applied(revision, LIMIT, |_| true);
    println!("in force after {healed:?} s of the healed region");
    assert!(healed.is_some());
    for front_end in &fleet.front_ends {
        assert_eq!(
            front_end.core.admits(fleet.now, "functions/guarded"),
            Verdict::RefuseNotAllowed
        );
    }
}

/// A front end is paused for 30 s, meanwhile a permission is taken away; it wakes with its old view and is asked
/// before it has read anything.
#[test]
fn a_paused_front_end_wakes_with_an_old_view() {
    let mut fleet = loaded(3, 30);
    let admitted = fleet.front_ends[0].core.view();
    // The answer to a barrier waits for it all the time.
    while !fleet.front_ends[0].waits_for_barrier() {
        fleet.run(0.05);
    }
    fleet.front_ends[0].is_paused = true;
    fleet.run(1.0);
    let revision = fleet.write(&[put("functions/guarded", function("a", "refuse", false))]);
    fleet.run(30.0);
    let core = &fleet.front_ends[0].core;
    assert!(
        core.view().get("functions/guarded").is_some(),
        "it still holds the old view"
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
    // The answer that waited for it while it was paused doesn't make its old view fresh.
    let now = fleet.now;
    fleet.front_ends[0].receive_barrier(now);
    let verdict = fleet.front_ends[0].core.admits(now, "functions/guarded");
    assert!(
        matches!(verdict, Verdict::RefuseStale { age } if age > 30.0),
        "{verdict:?}"
    );
    fleet.front_ends[0].is_paused = false;
    let mut served = false;
    fleet.run_with(LIMIT, |fleet| {
        served |= fleet.front_ends[0]
            .core
            .admits(fleet.now, "functions/guarded")
            == Verdict::Serve;
    });
    assert!(!served, "it was served after it was taken away");
    assert!(fleet.front_ends[0].core.applied_revision() >= revision);
}

/// The store was set back and has gone on past the front ends' revision before they come back: the revisions alone
/// Compaction overtakes every watcher, with a deletion among what they missed: they read what changed and the bucket
/// A change is overtaken by its own revocation, in whatever way it comes: nobody is ever served by it.
#[test]
fn a_change_is_overtaken_by_its_own_revocation() {
    let mut fleet = loaded(6, 30);
    // Two front ends are away, two are paused.
    for index in 0..2 {
        fleet.front_ends[index].side = None;
        fleet.front_ends[index + 2].is_paused = true;
    }
    fleet.run(1.0);
    fleet.write(&[put("functions/guest", function("g", "serve", true))]);
    let revision = fleet.write(&[put("functions/guest", function("g", "serve", false))]);
    let mut served = 0;
    let look = |fleet: &Fleet, served: &mut usize| *served += fleet.serving("functions/guest");
    fleet.run_with(5.0, |fleet| look(fleet, &mut served));
    for index in 0..2 {
        fleet.front_ends[index].side = Some(0);
        fleet.front_ends[index + 2].is_paused = false;
    }
    fleet.run_with(LIMIT, |fleet| look(fleet, &mut served));
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
        "the change and its revocation came together, and it was used"
    );
}

/// The grant's transaction was rejected; its revocation heals it, and nothing of the grant comes back.
#[test]
fn a_rejected_change_is_overtaken_by_its_revocation() {
    let mut fleet = loaded(2, 10);
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
