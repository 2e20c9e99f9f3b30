//! The endpoint view of a platform front end when the resolver's answers contradict each other or are outdated. Nothing
//! new may reach an executor later than the drain grace after an answer that lists it as draining was sent.

mod scenario;

use orchidtally_invariants::EndpointState;
use orchidtally_test_servers::platform::AnswerFault;
use scenario::*;

/// Guards against a drain that is never noticed: an answer carried the serial of a drain with the rows from before it,
/// and the front end then ignored the correct answers because their serial was the same
/// (docs/incidents/2026-12-02-drain-after-restart.md).
#[test]
fn an_outdated_list_with_a_new_serial_is_corrected_by_the_next_answer() {
    let outcome = run_scenario("old-rows", 1, 4.0, |fleet| async move {
        fleet.environment.sleep(0.5).await;
        fleet
            .resolver
            .answer_fault
            .set(Some((AnswerFault::PreviousRows, 1.0)));
        fleet.set_endpoint_state(0, EndpointState::Draining);
        fleet.environment.sleep(0.3).await;
        fleet.resolver.answer_fault.set(None);
    });
    assert!(outcome.0.rules[2].checked > 0, "{:?}", outcome.0);
    assert_rules_hold("old-rows", outcome, 0.95);
}

/// Guards against a deletion that a restart forgets: the initial list reported an executor as deleted, and three outdated
/// answers made it ready (docs/incidents/2026-12-04-deleted-at-start.md).
#[test]
fn an_executor_that_the_initial_list_reports_as_deleted_gets_nothing_from_a_resolver_that_lags() {
    let outcome = run_scenario("deleted-at-start", 1, 7.5, |fleet| async move {
        fleet.environment.sleep(0.5).await;
        fleet.set_endpoint_state(0, EndpointState::Draining);
        fleet.environment.sleep(0.5).await;
        fleet.set_endpoint_state(0, EndpointState::Gone);
        fleet.environment.sleep(0.5).await;
        fleet.kill(0);
        // About eleven answers, fewer than end a withdrawal, for longer than the drain grace. The executor is ready on the
        // list before both changes.
        fleet
            .resolver
            .answer_fault
            .set(Some((AnswerFault::OutdatedList(2), 1.0)));
        fleet.start(0).await;
        fleet.environment.sleep(2.2).await;
        fleet.resolver.answer_fault.set(None);
    });
    assert!(outcome.0.rules[2].checked > 0, "{:?}", outcome.0);
    assert_rules_hold("deleted-at-start", outcome, 0.9);
}

/// Guards against a drain that a switch to another resolver forgets: the new one lags, and has the executor as ready.
#[test]
fn a_drain_that_the_previous_resolver_reported_counts_after_a_switch_to_one_that_lags() {
    let outcome = run_scenario("drained-before-switch", 1, 5.5, |fleet| async move {
        // A front end gets no SIGHUP in its first second.
        fleet.environment.sleep(1.1).await;
        fleet.set_endpoint_state(0, EndpointState::Draining);
        fleet.environment.sleep(0.5).await;
        fleet
            .resolver
            .answer_fault
            .set(Some((AnswerFault::OutdatedList(1), 1.0)));
        let new_address = fleet.resolver.open(0).unwrap();
        fleet.resolver_addresses.borrow_mut()[0] = new_address;
        fleet.resolver.answer_only_at(new_address);
        fleet.write_settings(0);
        fleet.signal(0, "HUP");
        fleet.environment.sleep(2.4).await;
        fleet.resolver.answer_fault.set(None);
    });
    assert!(outcome.0.rules[2].checked > 0, "{:?}", outcome.0);
    assert_rules_hold("drained-before-switch", outcome, 0.9);
}

/// Once a resolver fault is over, answers that it left behind must not delay a drain any further.
#[test]
fn serial_jumps_and_invalid_rows_hide_no_drain() {
    let answer_faults = [
        AnswerFault::SerialJump(1),
        AnswerFault::SerialJump(1_000),
        AnswerFault::SerialJump(u32::MAX / 2),
        AnswerFault::UnreadableText,
        AnswerFault::WrongState,
        AnswerFault::Duplicated,
    ];
    for answer_fault in answer_faults {
        let name = format!("hides-{answer_fault:?}");
        let outcome = run_scenario(&name, 1, 3.5, |fleet| async move {
            fleet.environment.sleep(0.5).await;
            fleet.resolver.answer_fault.set(Some((answer_fault, 1.0)));
            fleet.environment.sleep(0.3).await;
            // Unreadable rows and duplicated answers may continue for good.
            let continues = matches!(
                answer_fault,
                AnswerFault::UnreadableText | AnswerFault::Duplicated
            );
            fleet
                .resolver
                .answer_fault
                .set(Some((answer_fault, 1.0)).filter(|_| continues));
            fleet.set_endpoint_state(0, EndpointState::Draining);
            fleet.executors[0].draining.set(true);
        });
        assert!(outcome.0.rules[2].checked > 0, "{:?}", outcome.0);
        assert_rules_hold(&name, outcome, 0.95);
    }
}

/// Guards against dispatches on an outdated endpoint list: after a pause (SIGSTOP) the process resumes with clients'
/// bytes in its sockets and the list from before the pause.
#[test]
fn a_paused_front_end_dispatches_nothing_before_a_new_resolver_answer() {
    for outage in [0.0, 1.0] {
        let name = format!("stopped-{outage}");
        let outcome = run_scenario(&name, 1, 7.0, |fleet| async move {
            fleet.environment.sleep(1.0).await;
            fleet.signal(0, "STOP");
            fleet.environment.sleep(0.1).await;
            // A change while the process is paused counts as announced by the time limit.
            fleet.set_endpoint_state(0, EndpointState::Draining);
            fleet.resolver.initial_list(0);
            fleet.environment.sleep(2.4).await;
            if outage > 0.0 {
                fleet.resolver.stop_answering(outage, 4.5, 1);
            }
            fleet.signal(0, "CONT");
        });
        assert!(outcome.0.rules[2].checked > 0, "{:?}", outcome.0);
        assert_rules_hold(&name, outcome, 0.5);
    }
}

/// Every answer is three seconds late, so a change was announced three seconds before the front end receives it. No
/// front end can keep the drain grace then. It stops dispatching to the draining executor when the answer arrives;
/// until then the executor rejects what it gets.
#[test]
fn answers_that_are_all_seconds_late_are_applied() {
    let (verdict, succeeded) = run_scenario("seconds-late", 1, 9.0, |fleet| async move {
        fleet
            .resolver
            .answer_fault
            .set(Some((AnswerFault::DelayedBy(3_000), 1.0)));
        fleet.environment.sleep(4.0).await;
        fleet.set_endpoint_state(0, EndpointState::Draining);
        fleet.executors[0].draining.set(true);
    });
    println!("{:#?}", verdict.rules[2]);
    assert!(verdict.rules[2].violations <= 2, "{:#?}", verdict.rules[2]);
    assert!(succeeded >= 0.95, "{succeeded}");
}

/// Guards against a lost reload: the settings file was incomplete at SIGHUP, and stayed so for longer than the front
/// end retries at short intervals.
#[test]
fn a_settings_file_completed_long_after_sighup_is_applied() {
    let outcome = run_scenario("whole-late", 1, 13.0, |fleet| async move {
        fleet.environment.sleep(0.3).await;
        std::fs::write(fleet.settings_path(0), "{ half").unwrap();
        fleet.signal(0, "HUP");
        fleet.environment.sleep(5.0).await;
        let new_address = fleet.resolver.open(0).unwrap();
        fleet.resolver_addresses.borrow_mut()[0] = new_address;
        fleet.resolver.answer_only_at(new_address);
        fleet.write_settings(0);
        fleet.environment.sleep(4.2).await;
        fleet.set_endpoint_state(0, EndpointState::Draining);
    });
    assert!(outcome.0.rules[2].checked > 0, "{:?}", outcome.0);
    assert_rules_hold("whole-late", outcome, 0.95);
}
