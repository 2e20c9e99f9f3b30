//! The real program over connections that are reset, cut in the middle of a line, stalled and late.
//!
//! What is stalled on its way to an executor has left the front end before: for that the rules are judged that go by
//! what is done, and not those that go by when it arrives.

mod day;

use day::*;
use orchidtally_invariants::Verdict;
use orchidtally_test_servers::fault_proxy::FaultProxy;
use std::rc::Rc;

const EXECUTORS: usize = 6;
/// Seconds between two faults of a day.
const BETWEEN: f64 = 0.25;
/// Number of a rule.
const DRAINS: u8 = 3;
const ORDERS: u8 = 5;

/// The links of an executor.
fn links(day: &Day, x: usize) -> Vec<Rc<FaultProxy>> {
    day.executors[x].proxies.borrow().clone()
}

/// That the links were used: else a day would prove nothing.
fn assert_used(day: &Day) {
    let taken: u64 = (0..EXECUTORS)
        .flat_map(|x| links(day, x))
        .map(|link| link.taken.get())
        .sum();
    assert!(taken > 0, "no connection went over a link");
}

/// That no rule is broken but those named.
fn kept_but(name: &str, (verdict, succeeded): (Verdict, f64), unjudged: &[u8], least: f64) {
    let judged = verdict
        .rules
        .iter()
        .filter(|rule| !unjudged.contains(&rule.rule));
    let breaches: Vec<&String> = judged.flat_map(|rule| &rule.examples).collect();
    assert!(breaches.is_empty(), "{name}: {breaches:#?}");
    assert!(
        verdict.rules[0].checked > 50 && verdict.rules[1].checked > 50,
        "{name}: {verdict:?}"
    );
    assert!(succeeded >= least, "{name}: {succeeded} succeeded");
}

#[test]
fn connections_that_are_reset_over_and_over_break_no_rule() {
    let day = play_prepared("links-reset", 2, 4.0, Day::link, |day| async move {
        for n in 0..10 {
            day.stage.sleep(BETWEEN).await;
            links(&day, n % EXECUTORS)
                .iter()
                .for_each(|link| link.reset());
        }
        assert_used(&day);
    });
    kept("links-reset", day, 0.8);
}

#[test]
fn lines_that_are_cut_in_two_break_no_rule() {
    let day = play_prepared("links-half", 2, 4.0, Day::link, |day| async move {
        for n in 0..10 {
            day.stage.sleep(BETWEEN).await;
            let bytes = 40 + 70 * n;
            links(&day, n % EXECUTORS)
                .iter()
                .for_each(|link| link.reset_after.set(Some(bytes)));
        }
        assert_used(&day);
    });
    kept("links-half", day, 0.8);
}

#[test]
fn answers_that_come_late_and_together_break_no_rule() {
    let day = play_prepared("links-answers", 2, 4.0, Day::link, |day| async move {
        for n in 0..6 {
            day.stage.sleep(2.0 * BETWEEN).await;
            let until = day.stage.now() + 0.4;
            links(&day, n % EXECUTORS)
                .iter()
                .for_each(|link| link.stalls_answers.set(until));
        }
        assert_used(&day);
    });
    kept("links-answers", day, 0.8);
}

#[test]
fn requests_that_are_released_after_a_stall_run_nothing_twice() {
    let day = play_prepared("links-requests", 2, 4.0, Day::link, |day| async move {
        for n in 0..4 {
            day.stage.sleep(3.0 * BETWEEN).await;
            let until = day.stage.now() + 0.6;
            links(&day, n % EXECUTORS)
                .iter()
                .for_each(|link| link.stalls_requests.set(until));
        }
        assert_used(&day);
    });
    kept_but("links-requests", day, &[DRAINS, ORDERS], 0.7);
}

#[test]
fn connections_that_are_late_to_be_made_break_no_rule() {
    let late = |day: &Day| {
        day.link();
        (0..EXECUTORS)
            .flat_map(|x| links(day, x))
            .for_each(|link| link.dial_delay.set(0.2));
    };
    let day = play_prepared("links-dial", 2, 4.0, late, |day| async move {
        day.stage.sleep(1.5).await;
        (0..EXECUTORS)
            .flat_map(|x| links(&day, x))
            .for_each(|link| link.reset());
        assert_used(&day);
    });
    kept_but("links-dial", day, &[DRAINS, ORDERS], 0.7);
}
