//! Executors that were reported as draining or gone, and when they are ready again.

mod support;

use orchidtally_dispatch_policy::interface::EndpointState;
use orchidtally_platform_discovery::*;
use support::*;

/// A host of an initial list.
fn host(n: u32, health: &str, started_ms: u64) -> serde_json::Value {
    serde_json::json!({"host": format!("s-{n}"), "dial": format!("10.1.0.{}:4100", n % 256), "site": "east", "class": "std",
        "block": 1, "health": health, "share": 4, "born_ms": started_ms})
}

/// An update of an initial list.
fn update(is_complete: bool, hosts: &[serde_json::Value]) -> serde_json::Value {
    serde_json::json!({"endpoints": {"whole": is_complete, "hosts": hosts}})
}

/// A view that starts with updates, of which the last one has the serial `serial`.
fn started_with(serial: u32, updates: &[serde_json::Value]) -> PolledView {
    let mut locations = LocationTable::new(vec!["east".into()], vec!["std".into()]);
    let list = serde_json::json!({"index": serial, "updates": updates});
    let initial = initial_endpoints(&list, &mut locations).expect("a valid list");
    PolledView::from_initial(&initial)
}

/// Applies fifteen answers with an older list on which all executors are ready, one fewer than end a withdrawal.
fn assert_withdrawn_while_the_resolver_lags(polled: &mut PolledView, expected: &[u32]) {
    for answer in 1..16 {
        polled.apply(&list(1, 3, &[]));
        assert_eq!(polled.ready(), expected, "older answer {answer}");
    }
}

/// Guards against a deletion that a restart forgets: an executor that the initial list reported as gone was ready after
/// three answers with an older list, in place of sixteen (docs/incidents/2026-12-04-deleted-at-start.md).
#[test]
fn an_executor_that_the_initial_list_reports_as_gone_is_withdrawn() {
    let complete = update(
        true,
        &[
            host(0, "SERVING", 0),
            host(1, "SERVING", 0),
            host(2, "SERVING", 0),
        ],
    );
    let draining = update(false, &[host(0, "DRAINING", 0)]);
    let deleted = update(false, &[host(0, "DELETED", 0)]);
    let without_it = update(true, &[host(1, "SERVING", 0), host(2, "SERVING", 0)]);
    let only_deleted = update(
        true,
        &[
            host(0, "DELETED", 0),
            host(1, "SERVING", 0),
            host(2, "SERVING", 0),
        ],
    );
    let forms = [
        vec![complete.clone(), draining.clone(), deleted.clone()],
        vec![complete.clone(), deleted],
        vec![complete.clone(), without_it.clone()],
        vec![complete, draining, without_it],
        vec![only_deleted],
    ];
    for updates in forms {
        // At once, and after answers with the list of the start.
        for answers in [0, 8] {
            let mut polled = started_with(3, &updates);
            for _ in 0..answers {
                let mut current = list(3, 3, &[]);
                current.endpoints.remove(0);
                polled.apply(&current);
            }
            assert_withdrawn_while_the_resolver_lags(&mut polled, &[1, 2]);
        }
    }
}

/// Guards against a drain that the start leaves out: no index is left for the executor's zone on the initial list, and an
/// older list has the executor in another zone.
#[test]
fn an_executor_in_a_zone_without_index_that_the_initial_list_reports_as_draining_is_withdrawn() {
    let mut zones: Vec<String> = (0..256).map(|n| format!("zone-{n}")).collect();
    zones[0] = "east".into();
    let mut locations = LocationTable::new(zones, vec!["std".into()]);
    let mut elsewhere = host(0, "DRAINING", 0);
    elsewhere["site"] = "elsewhere".into();
    let hosts = [elsewhere, host(1, "SERVING", 0), host(2, "SERVING", 0)];
    let list = serde_json::json!({"index": 3, "updates": [update(true, &hosts)]});
    let initial = initial_endpoints(&list, &mut locations).expect("a valid list");
    assert_eq!((initial.endpoints.len(), initial.withdrawn.len()), (2, 1));
    assert_withdrawn_while_the_resolver_lags(&mut PolledView::from_initial(&initial), &[1, 2]);
}

/// Guards against an executor that starves because it was reported as gone before it came back.
#[test]
fn an_executor_that_comes_back_after_a_deletion_in_the_initial_list_is_ready() {
    let complete = update(true, &[host(0, "SERVING", 0), host(1, "SERVING", 0)]);
    let deleted = update(false, &[host(0, "DELETED", 0)]);
    for restarted_ms in [0, 9_000] {
        let back = update(false, &[host(0, "SERVING", restarted_ms)]);
        let polled = started_with(3, &[complete.clone(), deleted.clone(), back]);
        assert_eq!(polled.ready(), [0, 1], "a later update: {restarted_ms}");
    }
    // A newer list: with the same start after three answers, with a later one at once.
    let mut polled = started_with(2, &[complete.clone(), deleted.clone()]);
    for expected in [&[1][..], &[1], &[0, 1]] {
        polled.apply(&list(3, 2, &[]));
        assert_eq!(polled.ready(), expected);
    }
    let ended = polled.view.ended_withdrawals();
    assert_eq!(ended.len(), 1);
    let (withdrawn_by, ended_by) = (ended[0].withdrawn_by, ended[0].ended_by);
    assert_eq!(withdrawn_by.origin, ReportOrigin::InitialList);
    assert_eq!((withdrawn_by.serial, ended_by.serial), (2, 3));
    assert_eq!((ended[0].name.as_str(), ended[0].confirmations), ("s-0", 3));
    let mut polled = started_with(2, &[complete, deleted]);
    let mut restarted = list(3, 2, &[]);
    restarted.endpoints[0].endpoint.started_at = 9.0;
    polled.apply(&restarted);
    assert_eq!(polled.ready(), [0, 1]);
}

/// A list that lags has an older serial than the view. It changes nothing as long as current lists arrive in between.
#[test]
fn a_list_that_lags_reverts_nothing() {
    let mut polled = PolledView::new(&list(3, 3, &[1]));
    for _ in 0..20 {
        assert_eq!(
            polled.apply(&list(2, 3, &[])),
            ListOutcome::Older { changed: false }
        );
        assert_eq!(
            polled.apply(&list(2, 2, &[])),
            ListOutcome::Older { changed: false }
        );
        assert_eq!(polled.apply(&list(3, 3, &[1])), ListOutcome::Confirmed);
        assert_eq!(polled.ready(), [0, 2]);
    }
    // If only the older list arrives, the view adopts it. A withdrawn executor remains withdrawn for longer than a
    // resolver lags.
    for _ in 0..8 {
        polled.apply(&list(2, 3, &[]));
    }
    assert_eq!((polled.view.serial(), polled.ready()), (2, vec![0, 2]));
}

#[test]
fn a_withdrawn_executor_is_ready_again_after_three_lists_or_with_a_later_start() {
    let mut polled = PolledView::new(&list(1, 2, &[]));
    polled.apply(&list(2, 2, &[0]));
    for expected in [&[1][..], &[1], &[0, 1]] {
        polled.apply(&list(3, 2, &[]));
        assert_eq!(polled.ready(), expected);
    }
    polled.apply(&list(4, 1, &[]));
    let mut restarted = list(5, 2, &[]);
    restarted.endpoints[1].endpoint.started_at = 9.0;
    polled.apply(&restarted);
    assert_eq!(polled.ready(), [0, 1]);
}

/// Guards against a drain that one damaged answer ends. The executor restarts while it is withdrawn and is listed as
/// draining with its new start time, so that an answer with this start time is no sign of a further restart.
#[test]
fn one_damaged_answer_ends_no_drain_after_a_restart_that_was_listed_as_draining() {
    let mut polled = PolledView::new(&list(1, 2, &[]));
    polled.apply(&list(2, 2, &[1]));
    let mut draining = list(3, 2, &[1]);
    draining.endpoints[1].endpoint.started_at = 9.0;
    polled.apply(&draining);
    let mut damaged = list(3, 2, &[]);
    damaged.endpoints[1].endpoint.started_at = 9.0;
    polled.apply(&damaged);
    assert_eq!(polled.ready(), [0]);
}

#[test]
fn one_damaged_state_is_corrected_by_the_answers_after_it() {
    let mut polled = PolledView::new(&list(1, 2, &[]));
    polled.apply(&list(1, 2, &[0]));
    assert_eq!(polled.ready(), [1]);
    for _ in 0..3 {
        polled.apply(&list(1, 2, &[]));
    }
    assert_eq!(polled.ready(), [0, 1]);
    polled.apply(&list(2, 2, &[0]));
    polled.apply(&list(2, 2, &[]));
    polled.apply(&list(2, 2, &[0]));
    assert_eq!(
        polled.ready(),
        [1],
        "one damaged answer makes no executor ready"
    );
}

/// Guards against a drain that one damaged answer ends: the first list that had the executor reported it as draining.
#[test]
fn an_executor_that_is_first_listed_as_draining_is_withdrawn() {
    let mut polled = PolledView::new(&list(1, 2, &[]));
    polled.apply(&list(2, 3, &[2]));
    polled.apply(&list(2, 3, &[]));
    assert_eq!(polled.ready(), [0, 1]);
}

/// Guards against a drain that is forgotten because the view lacks the executor: an answer that was overtaken, or that
/// has an older serial, reported it, and three outdated answers after it made the executor ready.
#[test]
fn a_drain_on_a_list_that_does_not_replace_the_view_counts_for_an_executor_that_the_view_lacks() {
    let mut older = PolledView::new(&list(5, 2, &[]));
    older.apply(&list(4, 3, &[2]));
    let mut overtaken = PolledView::new(&list(5, 2, &[]));
    overtaken.apply(&list(5, 2, &[]));
    overtaken.view.apply_list(0.3, 0.1, &list(5, 3, &[2]));
    for mut polled in [older, overtaken] {
        for answer in 1..16 {
            polled.apply(&list(3, 3, &[]));
            assert_eq!(polled.ready(), [0, 1], "older answer {answer}");
        }
    }
}

/// Guards against a drain that is forgotten because only the state of a new executor could be read.
#[test]
fn a_drain_counts_for_an_executor_that_the_view_lacks_if_only_its_state_can_be_read() {
    let mut polled = PolledView::new(&list(1, 2, &[]));
    let partial = PartialEndpointList {
        serial: 2,
        endpoints: list(2, 2, &[]).endpoints,
        state_only: vec![EndpointStateOnly {
            name: "s-2".into(),
            state: EndpointState::Draining,
        }],
        locations: LocationTable::default(),
    };
    polled.now += POLL_INTERVAL;
    polled
        .view
        .apply_partial_list(polled.now, polled.now, &partial);
    // Its start time could not be read, so no start time is a sign of a restart.
    let mut ready = list(2, 3, &[]);
    ready.endpoints[2].endpoint.started_at = 9.0;
    for expected in [&[0, 1][..], &[0, 1], &[0, 1, 2]] {
        polled.apply(&ready);
        assert_eq!(polled.ready(), expected);
    }
}

/// Guards against a drain that ends at once because its record had the start time from before a restart.
#[test]
fn a_drain_with_an_earlier_start_time_than_in_the_view_ends_after_three_answers() {
    let with_start = |mut list: EndpointList, started_at| {
        list.endpoints[1].endpoint.started_at = started_at;
        list
    };
    let ready = with_start(list(3, 2, &[]), 9.0);
    let mut polled = PolledView::new(&with_start(list(1, 2, &[]), 9.0));
    polled.apply(&with_start(list(2, 2, &[1]), 5.0));
    for expected in [&[0][..], &[0], &[0, 1]] {
        polled.apply(&ready);
        assert_eq!(polled.ready(), expected);
    }
}

/// Guards against a withdrawal that keeps the serial of its first report: the drain was cancelled and reported anew
/// between two answers, and a list from in between made the executor ready.
#[test]
fn a_list_from_before_the_last_report_of_a_drain_makes_no_executor_ready() {
    let mut polled = PolledView::new(&list(1, 2, &[]));
    polled.apply(&list(2, 2, &[1]));
    polled.apply(&list(4, 2, &[1]));
    for answer in 1..16 {
        polled.apply(&list(3, 2, &[]));
        assert_eq!(polled.ready(), [0], "older answer {answer}");
    }
    // An older report of the drain does not make the last one older.
    polled.apply(&list(4, 2, &[1]));
    polled.apply(&list(2, 2, &[1]));
    for answer in 1..16 {
        polled.apply(&list(3, 2, &[]));
        assert_eq!(polled.ready(), [0], "older answer {answer} after a report");
    }
}

/// Guards against a resolver that stands still and then answers all waiting queries at once from an older list: each
/// answer counted as a confirmation, whatever the time between them.
#[test]
fn answers_that_arrive_together_count_as_one_confirmation() {
    let mut polled = PolledView::new(&list(3, 2, &[1]));
    let mut queries = 0.0;
    let mut apply_at = |polled: &mut PolledView, now: f64, serial: u32| {
        queries += 0.15;
        polled.view.apply_list(now, queries, &list(serial, 2, &[]));
    };
    // Two standstills, each followed by twenty answers.
    for now in [6.0, 9.0] {
        for _ in 0..20 {
            apply_at(&mut polled, now, 1);
        }
        assert_eq!(polled.ready(), [0], "at {now}");
    }
    // The same from a newer list, in which the state may be damaged.
    for _ in 0..3 {
        apply_at(&mut polled, 12.0, 4);
    }
    polled.view.apply_list(12.0, 9.0, &list(4, 2, &[1]));
    for _ in 0..3 {
        apply_at(&mut polled, 12.2, 4);
        assert_eq!(polled.ready(), [0]);
    }
}

/// A list without the executors from 0 to `first`, exclusive.
fn list_from(serial: u32, first: u32, count: u32) -> EndpointList {
    let mut list = list(serial, count, &[]);
    list.endpoints.drain(..first as usize);
    list
}

/// Guards against withdrawals that a large release drives out: six in ten of 3,200 executors are replaced, three times
/// within a minute, and then the resolver lags.
#[test]
fn replacing_a_large_fleet_again_and_again_drives_out_no_withdrawal() {
    let (fleet, replaced) = (3_200, 1_920);
    let mut polled = PolledView::new(&list_from(1, 0, fleet));
    for release in 1..4 {
        polled.now += 20.0;
        let first = release * replaced;
        polled.apply(&list_from(1 + release, first, first + fleet));
    }
    for _ in 1..16 {
        polled.apply(&list_from(1, 0, fleet));
        let replaced = polled.ready().into_iter().filter(|&n| n < fleet);
        assert_eq!(replaced.count(), 0);
    }
}

/// Guards against recent deletions that many earlier ones of the same initial list drive out.
#[test]
fn the_latest_deletions_of_a_long_initial_list_are_kept() {
    let deletions: Vec<serde_json::Value> = (0..40_000)
        .rev()
        .map(|n| update(false, &[host(n, "DELETED", 0)]))
        .collect();
    let mut polled = started_with(40_000, &deletions);
    assert_withdrawn_while_the_resolver_lags(&mut polled, &[]);
}
