//! The load of many front ends and of many changes: rates and delays, in simulated time.

mod kit;

use kit::fleet::Fleet;
use kit::{delete, function, put};
use orchidtally_config_sync::{SyncSettings, Verdict};

const IN_FORCE_LIMIT: f64 = 18.0;
/// Budget of a front end for control traffic, in bytes a second.
const BYTES_PER_SECOND: usize = 12_000;

fn loaded_fleet(count: usize, functions: usize) -> Fleet {
    let mut fleet = Fleet::new(count, SyncSettings::default());
    let changes: Vec<_> = (0..functions)
        .map(|n| put(&format!("functions/f{n}"), function("a", "refuse", true)))
        .collect();
    for chunk in changes.chunks(100) {
        fleet.write(chunk);
    }
    let revision = fleet.store.revision;
    assert!(
        fleet
            .run_until_applied(revision, 2_000.0, |_| true)
            .is_some(),
        "the fleet didn't load"
    );
    fleet.run(10.0);
    fleet
}

/// 180 front ends of a region reconnect at the same time after three minutes and a compaction.
#[test]
fn front_ends_that_reconnect_together_stay_within_the_rate_limit() {
    let mut fleet = loaded_fleet(180, 1_000);
    for front_end in &mut fleet.front_ends {
        front_end.partition = None;
    }
    // They also connect at the same time, so that only the core spreads their reads.
    for front_end in &mut fleet.front_ends {
        front_end.max_reconnect_delay = 0.0;
    }
    fleet.run(180.0);
    fleet.write(&[
        put("functions/f1", function("b", "refuse", true)),
        delete("functions/f2"),
    ]);
    fleet.write(&[put("functions/f3", function("c", "refuse", true))]);
    let revision = fleet.write(&[put("functions/f4", function("d", "refuse", false))]);
    fleet.store.touch();
    fleet.store.compact(fleet.store.revision);
    for front_end in &mut fleet.front_ends {
        front_end.partition = Some(0);
    }
    let reconnected_at = fleet.now.ceil();
    let took = fleet.run_until_applied(revision, IN_FORCE_LIMIT, |_| true);
    fleet.run(IN_FORCE_LIMIT);
    let peak = fleet.peak_bytes(reconnected_at);
    let fleet_peak = fleet.fleet_peak_bytes(reconnected_at, fleet.now);
    let read = |f: &kit::front_end::FrontEnd| {
        f.traffic
            .reads_by_second
            .range(reconnected_at as u64..)
            .map(|(_, bytes)| *bytes)
            .sum::<usize>()
    };
    let all: usize = fleet.front_ends.iter().map(read).sum();
    println!(
        "in force after {took:?} s; peak {peak} B/s of one, {fleet_peak} B/s of all, {} bytes read by one",
        all / 180
    );
    assert!(took.is_some_and(|took| took <= IN_FORCE_LIMIT), "{took:?}");
    assert!(peak <= BYTES_PER_SECOND, "{peak}");
    // Without the slow start, all of them would read within the same second.
    assert!(fleet_peak < 180 * BYTES_PER_SECOND / 2, "{fleet_peak}");
    assert_eq!(
        fleet
            .front_ends
            .iter()
            .filter(|f| f.traffic.scans > 400)
            .count(),
        0
    );
    for front_end in &fleet.front_ends {
        assert_eq!(
            front_end.core.admits(fleet.now, "functions/f2"),
            Verdict::Unknown
        );
        assert_eq!(
            front_end.core.admits(fleet.now, "functions/f4"),
            Verdict::RefuseNotAllowed
        );
        assert_eq!(
            front_end.core.admits(fleet.now, "functions/f5"),
            Verdict::Serve
        );
    }
}

/// A first load continues through compactions and broken connections: entries that were read aren't read again.
#[test]
fn a_first_load_is_not_restarted() {
    let mut fleet = Fleet::new(2, SyncSettings::default());
    let changes: Vec<_> = (0..800)
        .map(|n| put(&format!("functions/f{n}"), function("a", "serve", true)))
        .collect();
    for chunk in changes.chunks(100) {
        fleet.write(chunk);
    }
    let total: usize = fleet
        .store
        .read_all()
        .iter()
        .map(|(key, value)| key.len() + value.value.len())
        .sum();
    for round in 0..12 {
        fleet.run(5.0);
        fleet.write(&[put(
            &format!("functions/f{round}"),
            function("b", "serve", true),
        )]);
        fleet.write(&[delete(&format!("functions/f{}", 700 + round))]);
        fleet.store.touch();
        fleet.store.compact(fleet.store.revision);
        if round == 6 {
            let now = fleet.now;
            fleet.front_ends.iter_mut().for_each(|f| f.disconnect(now));
        }
    }
    let revision = fleet.store.revision;
    assert!(fleet.run_until_applied(revision, 120.0, |_| true).is_some());
    for front_end in &fleet.front_ends {
        let read: usize = front_end.traffic.reads_by_second.values().sum();
        println!("{read} bytes read of {total}");
        assert!(read < 2 * total, "{read} bytes read of {total}");
        let view = front_end.core.view();
        assert_eq!(view.len(), 788);
        assert_eq!(
            front_end.core.admits(fleet.now, "functions/f705"),
            Verdict::Unknown
        );
    }
}

/// A burst of 500 changes within a second is in force within a second, and causes at most three reports.
#[test]
fn a_burst_of_changes_is_in_force_in_time() {
    let mut fleet = loaded_fleet(20, 600);
    let reports = |fleet: &Fleet| -> Vec<u64> {
        fleet
            .front_ends
            .iter()
            .map(|f| f.report.as_ref().map_or(0, |report| report.sequence))
            .collect()
    };
    let reports_before = reports(&fleet);
    let written_at = fleet.now;
    let mut revision = 0;
    for round in 0..20 {
        for n in 0..25 {
            let name = format!("functions/f{}", round * 25 + n);
            revision = fleet.write(&[put(&name, function("b", "refuse", true))]);
        }
        fleet.run(0.05);
    }
    let started_at = fleet.now;
    let took = fleet.run_until_applied(revision, IN_FORCE_LIMIT, |_| true);
    println!(
        "in force {took:?} s after the last of {:.2} s",
        started_at - written_at
    );
    assert!(took.is_some_and(|took| took < 1.0), "{took:?}");
    let peak = fleet.peak_bytes(written_at);
    let bytes: usize = fleet.front_ends[0]
        .traffic
        .by_second
        .range(written_at as u64..)
        .map(|(_, b)| *b)
        .sum();
    println!("peak {peak} B/s, {bytes} bytes in all at one front end");
    fleet.run(10.0);
    for (before, after) in reports_before.iter().zip(reports(&fleet)) {
        assert!(
            after - before <= 3,
            "500 changes made {} reports",
            after - before
        );
    }
    for front_end in &fleet.front_ends {
        assert!(front_end.report.as_ref().unwrap().applied_revision >= revision);
        assert_eq!(front_end.traffic.bucket_reads, 0);
    }
}

/// More changes arrive than the backlog takes: the front end drops them, and reads the entries within the rate limit.
#[test]
fn a_full_backlog_is_dropped_and_read_within_the_rate_limit() {
    let settings = SyncSettings {
        max_pending_changes: 50,
        ..SyncSettings::default()
    };
    let mut fleet = Fleet::new(3, settings);
    let changes: Vec<_> = (0..300)
        .map(|n| put(&format!("functions/f{n}"), function("a", "serve", true)))
        .collect();
    fleet.write(&changes);
    fleet.run(60.0);
    let changes: Vec<_> = (0..200)
        .map(|n| put(&format!("functions/f{n}"), function("b", "serve", true)))
        .collect();
    let revision = fleet.write(&changes);
    let started_at = fleet.now;
    let took = fleet.run_until_applied(revision, 60.0, |_| true);
    println!("200 changes past a backlog of 50 took {took:?} s");
    assert!(took.is_some());
    assert!(fleet.peak_bytes(started_at + 2.0) <= BYTES_PER_SECOND);
    fleet.run(5.0);
    for front_end in &fleet.front_ends {
        assert!(
            front_end
                .core
                .view()
                .iter()
                .filter(|(_, record)| record.mod_revision == revision)
                .count()
                == 200
        );
    }
}

/// The store exceeds the limits of the front end: the last good view stays in force, and the front end reports this.
#[test]
fn a_store_that_is_too_large_keeps_the_last_good_view_in_force() {
    let settings = SyncSettings {
        max_entries: 100,
        ..SyncSettings::default()
    };
    let mut fleet = Fleet::new(1, settings);
    let changes: Vec<_> = (0..90)
        .map(|n| put(&format!("functions/f{n}"), function("a", "serve", true)))
        .collect();
    fleet.write(&changes);
    fleet.run(60.0);
    let more: Vec<_> = (90..120)
        .map(|n| put(&format!("functions/f{n}"), function("a", "serve", true)))
        .collect();
    fleet.write(&more);
    fleet.run(100.0);
    let core = &fleet.front_ends[0].core;
    assert_eq!(core.view().len(), 90);
    assert_eq!(
        core.state(),
        orchidtally_config_sync::ReportedState::StoreTooLarge
    );
    let fewer: Vec<_> = (80..120)
        .map(|n| delete(&format!("functions/f{n}")))
        .collect();
    fleet.write(&fewer);
    fleet.run(60.0);
    let core = &fleet.front_ends[0].core;
    assert_eq!(
        core.state(),
        orchidtally_config_sync::ReportedState::Following
    );
    assert_eq!(core.view().len(), 80);
}

/// The first load of the planned number of functions, and the catch-up of front ends that were disconnected for three
/// minutes and a compaction: both stay within the budget, and the catch-up within the time limit.
#[test]
fn the_planned_size_catches_up_in_time() {
    let mut fleet = Fleet::new(3, SyncSettings::default());
    let changes: Vec<_> = (0..21_000)
        .map(|n| put(&format!("functions/f{n}"), function("a", "refuse", true)))
        .collect();
    for chunk in changes.chunks(100) {
        fleet.write(chunk);
    }
    let started_at = fleet.now;
    let revision = fleet.store.revision;
    let loaded = fleet.run_until_applied(revision, 3_000.0, |_| true);
    let loaded_bytes: usize = fleet.front_ends[0].traffic.by_second.values().sum();
    println!("first load of 21,000 functions: {loaded:?} s, {loaded_bytes} bytes");
    assert!(loaded.is_some());
    assert!(
        fleet.peak_bytes(started_at) <= BYTES_PER_SECOND,
        "{}",
        fleet.peak_bytes(started_at)
    );
    for deletions in [1, 3, 8, 30] {
        for front_end in &mut fleet.front_ends {
            front_end.partition = None;
        }
        fleet.run(180.0);
        let changed = deletions * 100;
        let mut changes: Vec<_> = (0..deletions)
            .map(|n| delete(&format!("functions/f{}", changed + n)))
            .collect();
        changes.extend((200..204).map(|n| {
            put(
                &format!("functions/f{}", changed + n),
                function("b", "refuse", false),
            )
        }));
        let revision = fleet.write(&changes);
        fleet.store.touch();
        fleet.store.compact(fleet.store.revision);
        for front_end in &mut fleet.front_ends {
            front_end.partition = Some(0);
        }
        let reconnected_at = fleet.now;
        let caught_up_after = fleet.run_until_applied(revision, 60.0, |_| true);
        let read = |f: &kit::front_end::FrontEnd| {
            f.traffic
                .reads_by_second
                .range(reconnected_at as u64..)
                .map(|(_, bytes)| *bytes)
                .sum::<usize>()
        };
        let most = fleet.front_ends.iter().map(read).max();
        println!(
            "4 changes and {deletions} deletions: in force after {caught_up_after:?} s, {most:?} bytes read"
        );
        assert!(
            caught_up_after.is_some_and(|caught_up_after| caught_up_after <= IN_FORCE_LIMIT),
            "{deletions} deletions: {caught_up_after:?}"
        );
        assert!(
            fleet.peak_bytes(reconnected_at) <= BYTES_PER_SECOND,
            "{}",
            fleet.peak_bytes(reconnected_at)
        );
        fleet.run(20.0);
    }
}
