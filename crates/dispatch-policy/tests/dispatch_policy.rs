//! The policy checked against the reference model in random scenarios, and its behavior at a single front end.

mod reference_model;

use orchidtally_dispatch_policy::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reference_model::{Harness, RecordedAction, policy, warm_harness};

/// An event: its kind, two parameters, and the seconds that pass after it.
type Step = (u8, usize, usize, f64);

const STATUSES: [DispatchStatus; 9] = [
    DispatchStatus::Ok,
    DispatchStatus::Error,
    DispatchStatus::Full,
    DispatchStatus::TimedOut,
    DispatchStatus::ConnectFailed,
    DispatchStatus::Reset,
    DispatchStatus::Ok,
    DispatchStatus::NotLoaded,
    DispatchStatus::Ok,
];

fn run_steps(policy: PolicyConfig, steps: &[Step]) {
    let mut harness = Harness::new(policy, 6);
    for &(kind, a, b, pause) in steps {
        match kind {
            0..=3 => {
                harness.invoke(b % 3, a as u64 % 5, 0.3 + pause * 20.0);
            }
            4..=6 => {
                let in_flight: Vec<(u32, usize)> = harness
                    .model
                    .accepted
                    .iter()
                    .filter_map(|accepted| Some((accepted.invocation.id, accepted.in_flight()?)))
                    .collect();
                if let Some(&(invocation, dispatch)) = in_flight.get(a % in_flight.len().max(1)) {
                    harness.finish(invocation, dispatch, STATUSES[b % STATUSES.len()]);
                }
            }
            7 => harness.finish_loads(STATUSES[b % STATUSES.len()]),
            8 => {
                let state = [
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Gone,
                    EndpointState::Ready,
                ][b % 4];
                let started_at = if b >= 4 {
                    harness.model.now - pause
                } else {
                    f64::NEG_INFINITY
                };
                harness.update_endpoint(a % 6, state, started_at);
            }
            9 => _ = harness.prewarm(a as u64 % 5, b % 3),
            _ => {
                harness.model.executors[a % 6].cell = b as u16 % 4;
                harness.update_endpoint(a % 6, EndpointState::Ready, f64::NEG_INFINITY);
            }
        }
        harness.advance(pause);
    }
    harness.assert_all_answered();
}

#[test]
fn policy_obeys_the_reference_model_in_random_scenarios() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let step = (0u8..11, 0usize..60, 0usize..72, 0.0f64..0.25);
    let scenario = (any::<[bool; 4]>(), prop::collection::vec(step, 1..250));
    let outcome = runner.run(
        &scenario,
        |(
            [
                allows_hedging,
                allows_load_commands,
                has_load_budget,
                rejects_unloaded,
            ],
            steps,
        )| {
            let policy = PolicyConfig {
                allows_hedging,
                allows_load_commands,
                rejects_unloaded,
                load_budget_window: if has_load_budget { 5.0 } else { 0.0 },
                ..policy()
            };
            run_steps(policy, &steps);
            Ok(())
        },
    );
    outcome.unwrap();
}

#[test]
fn full_results_start_a_backoff() {
    let (mut harness, executor) = warm_harness(policy(), 1);
    let invocation = harness.invoke(0, 1, 5.0);
    harness.finish(invocation, 1 - 1, DispatchStatus::Full);
    harness.advance(0.05);
    assert_eq!(
        harness.dispatches_to(executor),
        2,
        "nothing is sent during the backoff"
    );
    harness.advance(0.1);
    assert_eq!(harness.dispatches_to(executor), 3);
}

#[test]
fn slow_answers_never_reject_everything_for_good() {
    let (mut harness, executor) = warm_harness(policy(), 1);
    for _ in 0..60 {
        let (invocation, now) = (harness.invoke(0, 1, 5.0), harness.model.now);
        let dispatch = (harness.model.accepted[invocation as usize]
            .dispatches
            .len()
            .max(1)
            - 1) as u8;
        harness.model.accepted[invocation as usize].dispatches[0].status = Some(DispatchStatus::Ok);
        harness.model.accepted[invocation as usize].answered_at = Some(now);
        let (executor, replica_state) =
            (reference_model::executor_id(executor), ReplicaState::Warm);
        let status = DispatchStatus::Ok;
        let result = DispatchResult {
            invocation,
            dispatch,
            executor,
            status,
            duration: 4.0,
            is_answered: true,
            replica_state,
            function_concurrency: 0,
            load_report: &[],
        };
        harness
            .dispatcher
            .on_dispatch_result(now, &result, &mut harness.model);
    }
    let invocation = harness.invoke(0, 1, 5.0);
    assert!(
        matches!(harness.model.actions.last(), Some(&RecordedAction::Dispatch(i, _)) if i == invocation)
    );
}

#[test]
fn restart_drops_the_warm_replicas_of_an_executor() {
    let (mut harness, executor) = warm_harness(policy(), 4);
    let now = harness.model.now;
    harness.update_endpoint(executor, EndpointState::Ready, now);
    harness.invoke(0, 1, 5.0);
    assert!(
        matches!(harness.model.actions.last(), Some(RecordedAction::Load(..))),
        "the replica there is gone"
    );
}

#[test]
fn streams_and_unexpected_inputs_are_tolerated() {
    let (mut harness, _) = warm_harness(policy(), 2);
    let invocation = harness.invoke(0, 1, 5.0);
    harness
        .dispatcher
        .on_response_started(harness.model.now, invocation, 0, &mut harness.model);
    harness.advance(2.0);
    assert_eq!(
        harness.model.accepted[invocation as usize].dispatches.len(),
        1
    );
    harness.finish(invocation, 0, DispatchStatus::Ok);
    harness
        .dispatcher
        .on_client_cancel(harness.model.now, invocation, &mut harness.model);
    harness
        .dispatcher
        .on_client_cancel(harness.model.now, 999, &mut harness.model);
    harness.dispatcher.on_endpoint_update(
        harness.model.now,
        EndpointUpdateKind::Failed,
        &[],
        &mut harness.model,
    );
    harness.dispatcher.on_load_result(
        harness.model.now,
        reference_model::executor_id(9),
        77,
        DispatchStatus::Ok,
        &mut harness.model,
    );
    let past = harness.invoke(2, 1, 0.0);
    assert!(
        harness.model.accepted[past as usize].answered_at.is_some(),
        "a client timeout already past is answered at once"
    );
    let mut empty = Harness::new(policy(), 0);
    empty.invoke(0, 1, 1.0);
    empty.assert_all_answered();
}

#[test]
fn early_client_timeout_ejects_none_and_an_idle_front_end_sets_no_timer() {
    let (mut harness, executor) = warm_harness(policy(), 4);
    harness.invoke(0, 1, 0.2);
    harness.advance(1.0);
    assert!(
        harness.model.timers.is_empty(),
        "no timer with nothing waiting or in flight"
    );
    harness.invoke(0, 1, 5.0);
    assert!(
        matches!(harness.model.actions.last(), Some(&RecordedAction::Dispatch(_, to)) if to == executor)
    );
}

#[test]
fn function_with_most_waiting_is_served_first() {
    let mut harness = Harness::new(
        PolicyConfig {
            load_budget_floor: 1.0,
            load_budget_fraction: 0.0,
            ..policy()
        },
        4,
    );
    harness.invoke(0, 1, 5.0);
    for function in [2, 3, 3, 3, 4] {
        harness.invoke(0, function, 5.0);
    }
    // Only one load command is granted in a window, and the first function has it; the executors reject the rest.
    let sent = harness.model.accepted[1..]
        .iter()
        .filter(|accepted| !accepted.dispatches.is_empty());
    let rejected: Vec<u32> = sent.map(|accepted| accepted.invocation.id).collect();
    for invocation in rejected {
        harness.finish(invocation, 0, DispatchStatus::Full);
    }
    harness.model.actions.clear();
    harness.advance(5.1);
    let first = harness.model.actions.iter().find(|action| {
        matches!(
            action,
            RecordedAction::Load(..) | RecordedAction::Dispatch(..)
        )
    });
    assert!(
        matches!(first, Some(RecordedAction::Dispatch(invocation, _)) if (2..5).contains(invocation)),
        "{first:?}"
    );
}
