//! Scenarios of platform front ends whose connections to executors are reset, cut in the middle of a line, stalled or
//! slow to be established.
//!
//! A request that is stalled on its way to an executor was sent before the stall. The tests that hold requests back
//! therefore leave out the rules that depend on the time of arrival (3 and 5), and check those that depend on what
//! runs.

mod scenario;

use orchidtally_invariants::Verdict;
use orchidtally_test_servers::fault_proxy::FaultProxy;
use scenario::*;
use std::rc::Rc;

const EXECUTORS: usize = 6;
/// Seconds between two faults.
const FAULT_INTERVAL: f64 = 0.25;
/// The number of the rule on draining executors.
const DRAIN_RULE: u8 = 3;
/// The number of the rule on load commands.
const LOAD_COMMAND_RULE: u8 = 5;

/// The fault proxies in front of an executor.
fn links(fleet: &Fleet, x: usize) -> Vec<Rc<FaultProxy>> {
    fleet.executors[x].proxies.borrow().clone()
}

/// Asserts that connections went through the fault proxies; otherwise the scenario would test nothing.
fn assert_proxies_used(fleet: &Fleet) {
    let taken: u64 = (0..EXECUTORS)
        .flat_map(|x| links(fleet, x))
        .map(|link| link.accepted_connections.get())
        .sum();
    assert!(taken > 0, "no connection went through a fault proxy");
}

/// Asserts that no rule is broken, apart from those in `excluded`.
fn assert_rules_hold_except(
    name: &str,
    (verdict, succeeded): (Verdict, f64),
    excluded: &[u8],
    least: f64,
) {
    let checked_rules = verdict
        .rules
        .iter()
        .filter(|rule| !excluded.contains(&rule.rule));
    let violations: Vec<&String> = checked_rules.flat_map(|rule| &rule.examples).collect();
    assert!(violations.is_empty(), "{name}: {violations:#?}");
    assert!(
        verdict.rules[0].checked > 50 && verdict.rules[1].checked > 50,
        "{name}: {verdict:?}"
    );
    assert!(succeeded >= least, "{name}: {succeeded} succeeded");
}

#[test]
fn repeated_connection_resets_break_no_rule() {
    let outcome = run_scenario_with_setup("links-reset", 2, 4.0, Fleet::link, |fleet| async move {
        for n in 0..10 {
            fleet.environment.sleep(FAULT_INTERVAL).await;
            links(&fleet, n % EXECUTORS)
                .iter()
                .for_each(|link| link.reset());
        }
        assert_proxies_used(&fleet);
    });
    assert_rules_hold("links-reset", outcome, 0.8);
}

#[test]
fn connections_reset_within_a_line_break_no_rule() {
    let outcome = run_scenario_with_setup("links-half", 2, 4.0, Fleet::link, |fleet| async move {
        for n in 0..10 {
            fleet.environment.sleep(FAULT_INTERVAL).await;
            let bytes = 40 + 70 * n;
            links(&fleet, n % EXECUTORS)
                .iter()
                .for_each(|link| link.reset_after.set(Some(bytes)));
        }
        assert_proxies_used(&fleet);
    });
    assert_rules_hold("links-half", outcome, 0.8);
}

#[test]
fn responses_held_back_and_released_together_break_no_rule() {
    let outcome =
        run_scenario_with_setup("links-answers", 2, 4.0, Fleet::link, |fleet| async move {
            for n in 0..6 {
                fleet.environment.sleep(2.0 * FAULT_INTERVAL).await;
                let until = fleet.environment.now() + 0.4;
                links(&fleet, n % EXECUTORS)
                    .iter()
                    .for_each(|link| link.stalls_responses.activate_until(until));
            }
            assert_proxies_used(&fleet);
        });
    assert_rules_hold("links-answers", outcome, 0.8);
}

#[test]
fn requests_released_after_a_stall_run_nothing_twice() {
    let outcome =
        run_scenario_with_setup("links-requests", 2, 4.0, Fleet::link, |fleet| async move {
            for n in 0..4 {
                fleet.environment.sleep(3.0 * FAULT_INTERVAL).await;
                let until = fleet.environment.now() + 0.6;
                links(&fleet, n % EXECUTORS)
                    .iter()
                    .for_each(|link| link.stalls_requests.activate_until(until));
            }
            assert_proxies_used(&fleet);
        });
    assert_rules_hold_except(
        "links-requests",
        outcome,
        &[DRAIN_RULE, LOAD_COMMAND_RULE],
        0.7,
    );
}

#[test]
fn slow_connection_setup_breaks_no_rule() {
    let set_up = |fleet: &Fleet| {
        fleet.link();
        (0..EXECUTORS)
            .flat_map(|x| links(fleet, x))
            .for_each(|link| link.connect_delay.set(0.2));
    };
    let outcome = run_scenario_with_setup("links-dial", 2, 4.0, set_up, |fleet| async move {
        fleet.environment.sleep(1.5).await;
        (0..EXECUTORS)
            .flat_map(|x| links(&fleet, x))
            .for_each(|link| link.reset());
        assert_proxies_used(&fleet);
    });
    assert_rules_hold_except("links-dial", outcome, &[DRAIN_RULE, LOAD_COMMAND_RULE], 0.7);
}
