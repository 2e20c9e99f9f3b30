//! The engine gives exactly one final answer per invocation, by its timeout, for any order of results, deadlines and
//! cancellations.

use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Records the engine's actions and checks each when it is taken.
#[derive(Default)]
struct RecordingHost {
    dispatches: Vec<(u32, u8, ExecutorId)>,
    answered: Vec<u32>,
    failures: Vec<(u32, FailureReason, bool)>,
    cancelled: Vec<(u32, u8)>,
    load_commands: Vec<(ExecutorId, u64)>,
}

impl RecordingHost {
    fn record_answer(&mut self, invocation: u32) {
        assert!(
            !self.answered.contains(&invocation),
            "{invocation} was answered twice"
        );
        self.answered.push(invocation);
    }
}

impl Host for RecordingHost {
    fn admitted(&mut self, invocation: u32) {
        assert!(
            !self.answered.contains(&invocation),
            "the id was used before"
        );
    }
    fn dispatch(&mut self, invocation: u32, dispatch: u8, executor: ExecutorId, timeout: f64) {
        assert!(
            timeout > 0.0 && !self.answered.contains(&invocation),
            "{invocation} was dispatched after its answer"
        );
        assert!(
            !self
                .dispatches
                .iter()
                .any(|sent| (sent.0, sent.1) == (invocation, dispatch)),
            "the dispatch number was used before"
        );
        self.dispatches.push((invocation, dispatch, executor));
    }
    fn cancel(&mut self, invocation: u32, dispatch: u8) {
        self.cancelled.push((invocation, dispatch));
    }
    fn succeeded(&mut self, invocation: u32, _: u8) {
        self.record_answer(invocation);
    }
    fn rejected(&mut self, invocation: u32, _: f64, _: bool) {
        self.record_answer(invocation);
    }
    fn failed(&mut self, invocation: u32, reason: FailureReason, may_have_run: bool) {
        self.record_answer(invocation);
        self.failures.push((invocation, reason, may_have_run));
    }
    fn load(&mut self, executor: ExecutorId, function: u64, _: u8) {
        self.load_commands.push((executor, function));
    }
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}

fn config(allows_hedging: bool) -> PolicyConfig {
    let make_type = |idempotency| TriggerType {
        latency_objective: 1.0,
        objective_work_factor: 0.0,
        client_timeout: 4.0,
        billed_value: 1.0,
        late_value_fraction: 0.2,
        idempotency,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 2.0,
    };
    PolicyConfig {
        trigger_types: vec![
            make_type(Idempotency::Idempotent),
            make_type(Idempotency::NonIdempotent),
        ],
        front_ends: 1.0,
        max_dispatches: 4,
        allows_hedging,
        allows_cancellation: true,
        max_retry_after: 1.0,
        slow_start_duration: 5.0,
        slow_start_initial_weight: 0.2,
        overload_factor: 2.0,
        overload_window: 1.0,
        ..PolicyConfig::default()
    }
}

fn executor_id(number: u8) -> ExecutorId {
    ExecutorId(
        std::net::Ipv6Addr::new(0xfd00, 0, 0, 0, 0, 0, 0, number.into()).into(),
        7000,
    )
}

fn engine(allows_hedging: bool, host: &mut RecordingHost) -> Engine {
    let mut engine = Engine::new(config(allows_hedging), 1_000, 5, 10.0, host);
    let endpoint = |number| Endpoint {
        executor: executor_id(number),
        zone: 0,
        kind: 0,
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: f64::NEG_INFINITY,
    };
    engine.on_endpoint_update(
        10.0,
        EndpointUpdateKind::Full,
        &[endpoint(1), endpoint(2), endpoint(3), endpoint(4)],
        host,
    );
    engine
}

fn request(trigger_type: usize, timeout_at: f64) -> InvocationRequest {
    InvocationRequest {
        trigger_type,
        customer: 0,
        function: 1,
        is_retry: false,
        is_migrated: false,
        timeout_at,
        expected_work: None,
        concurrency: 2.0,
        load_time: None,
    }
}

#[test]
fn each_invocation_gets_one_answer_by_its_timeout_in_any_race() {
    let runner_config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(
        runner_config,
        TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]),
    );
    let step = (0u8..8, any::<usize>(), any::<usize>(), 0.0f64..0.4);
    let inputs = (any::<bool>(), prop::collection::vec(step, 1..150));
    let outcome = runner.run(&inputs, |(allows_hedging, steps)| {
        let mut host = RecordingHost::default();
        let mut engine = engine(allows_hedging, &mut host);
        let (mut now, mut timeouts, mut cancelled_by_client) = (10.0, vec![], vec![]);
        const STATUSES: [DispatchStatus; 6] = [
            DispatchStatus::Ok,
            DispatchStatus::Error,
            DispatchStatus::Full,
            DispatchStatus::Reset,
            DispatchStatus::ConnectFailed,
            DispatchStatus::Ok,
        ];
        for (action, a, b, delay) in steps {
            match action {
                0..=2 => {
                    let timeout_at = now + 0.1 + delay * 5.0;
                    let invocation = engine
                        .admit(now, &request(a % 2, timeout_at), &mut host)
                        .unwrap();
                    prop_assert_eq!(invocation as usize, timeouts.len());
                    timeouts.push(timeout_at);
                }
                3..=5 if !host.dispatches.is_empty() => {
                    let (invocation, n, _) = host.dispatches[a % host.dispatches.len()];
                    // The dispatch may have ended, been cancelled, or belong to an answered invocation.
                    engine.on_dispatch_result(
                        now,
                        invocation,
                        n,
                        STATUSES[b % STATUSES.len()],
                        NO_METADATA,
                        &mut host,
                    );
                }
                6 if !timeouts.is_empty() => {
                    let invocation = (a % timeouts.len()) as u32;
                    if !host.answered.contains(&invocation) {
                        cancelled_by_client.push(invocation);
                    }
                    engine.on_client_cancel(now, invocation, &mut host);
                }
                _ => {}
            }
            let until = now + delay;
            while engine.next_deadline() <= until {
                now = engine.next_deadline().max(now);
                engine.run_due_timers(now, &mut host);
            }
            now = until;
            let overdue = (0..timeouts.len() as u32).find(|i| {
                timeouts[*i as usize] < now
                    && !host.answered.contains(i)
                    && !cancelled_by_client.contains(i)
            });
            prop_assert_eq!(overdue, None, "not answered by its timeout");
        }
        prop_assert_eq!(
            engine.counters().overdue,
            0,
            "the policy answers in time by itself"
        );
        let counters = engine.counters();
        prop_assert_eq!(
            counters.admitted,
            counters.succeeded
                + counters.rejected
                + counters.failed
                + counters.cancelled_by_client
                + engine.open_invocations() as u64
        );
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn a_result_and_a_timeout_at_the_same_time_give_one_answer() {
    for answer_first in [true, false] {
        let mut host = RecordingHost::default();
        let mut engine = engine(false, &mut host);
        let invocation = engine.admit(10.0, &request(1, 12.0), &mut host).unwrap();
        assert_eq!(host.dispatches.len(), 1);
        if !answer_first {
            engine.run_due_timers(12.0, &mut host);
        }
        engine.on_dispatch_result(
            12.0,
            invocation,
            0,
            DispatchStatus::Ok,
            NO_METADATA,
            &mut host,
        );
        engine.run_due_timers(12.1, &mut host);
        assert_eq!(host.answered, vec![invocation]);
        let expected = if answer_first {
            vec![]
        } else {
            vec![(invocation, FailureReason::TimedOut, true)]
        };
        assert_eq!(host.failures, expected);
        assert_eq!(engine.open_invocations(), 0);
    }
}

#[test]
fn of_two_hedged_dispatches_the_first_success_answers_and_the_other_is_cancelled() {
    let mut host = RecordingHost::default();
    let mut engine = engine(true, &mut host);
    // Warms two executors, so that a hedged dispatch has a second executor to go to.
    for n in 0..6 {
        let invocation = engine.admit(10.0, &request(0, 14.0), &mut host).unwrap();
        assert_eq!(invocation, n);
    }
    for (invocation, n, _) in host.dispatches.clone() {
        engine.on_dispatch_result(
            10.2,
            invocation,
            n,
            DispatchStatus::Ok,
            NO_METADATA,
            &mut host,
        );
    }
    while host.answered.len() < 6 {
        let &(invocation, n, _) = host
            .dispatches
            .iter()
            .rfind(|dispatch| !host.answered.contains(&dispatch.0))
            .expect("every open invocation was dispatched");
        engine.on_dispatch_result(
            10.3,
            invocation,
            n,
            DispatchStatus::Ok,
            NO_METADATA,
            &mut host,
        );
    }
    let invocation = engine.admit(11.0, &request(0, 14.0), &mut host).unwrap();
    let mut now = 11.0;
    while host
        .dispatches
        .iter()
        .filter(|dispatch| dispatch.0 == invocation)
        .count()
        < 2
        && now < 13.5
    {
        now = engine.next_deadline();
        engine.run_due_timers(now, &mut host);
    }
    let dispatches: Vec<_> = host
        .dispatches
        .iter()
        .filter(|dispatch| dispatch.0 == invocation)
        .copied()
        .collect();
    assert_eq!(
        dispatches.len(),
        2,
        "an unresponsive executor's invocation is dispatched a second time"
    );
    assert_ne!(dispatches[0].2, dispatches[1].2);
    engine.on_dispatch_result(
        now,
        invocation,
        1,
        DispatchStatus::Ok,
        NO_METADATA,
        &mut host,
    );
    assert_eq!(host.cancelled, vec![(invocation, 0)]);
    engine.on_dispatch_result(
        now,
        invocation,
        0,
        DispatchStatus::Ok,
        NO_METADATA,
        &mut host,
    );
    assert_eq!(
        host.answered.iter().filter(|&&i| i == invocation).count(),
        1
    );
}

#[test]
fn invocations_over_the_limit_are_refused_and_not_stored() {
    let mut host = RecordingHost::default();
    let mut engine = engine(false, &mut host);
    for n in 0..200_000 {
        let admitted = engine.admit(10.0, &request(0, 13.0), &mut host);
        assert_eq!(admitted.is_ok(), n < 1_000);
    }
    assert_eq!(
        (engine.open_invocations(), engine.counters().not_admitted),
        (1_000, 199_000)
    );
    let mut now = 10.0;
    while engine.open_invocations() > 0 {
        now = engine.next_deadline();
        engine.run_due_timers(now, &mut host);
    }
    assert!(now <= 13.0, "the last answer came at {now}");
    assert_eq!(host.answered.len(), 1_000);
    engine.start_draining();
    assert_eq!(
        engine.admit(now, &request(0, now + 1.0), &mut host),
        Err(AdmissionError::ShuttingDown)
    );
}

/// The engine passes changes of trigger types and quotas to the policy, except for trigger types in use.
#[test]
fn a_trigger_type_can_only_be_replaced_while_no_invocation_uses_it() {
    let mut host = RecordingHost::default();
    let mut engine = engine(false, &mut host);
    let trigger_type = config(false).trigger_types[1].clone();
    let invocation = engine
        .admit(100.0, &request(0, 104.0), &mut host)
        .expect("the limit is not reached");
    assert!(engine.uses_trigger_type(0) && !engine.uses_trigger_type(1));
    assert_eq!(
        engine.set_trigger_type(100.0, 0, trigger_type.clone()),
        Err(ConfigError::InUse { index: 0 })
    );
    assert_eq!(
        engine.set_trigger_type(100.0, 2, trigger_type.clone()),
        Ok(())
    );
    assert_eq!(
        engine.set_trigger_type(100.0, 4, trigger_type.clone()),
        Err(ConfigError::OutOfOrder { index: 4, next: 3 })
    );
    engine.on_client_cancel(100.1, invocation, &mut host);
    // The cancellation of its dispatch, if there was one, was reported to the policy.
    engine.run_due_timers(110.0, &mut host);
    assert!(
        !engine.uses_trigger_type(0),
        "no dispatch is in flight and the client has cancelled"
    );
    assert_eq!(engine.set_trigger_type(110.0, 0, trigger_type), Ok(()));
    assert_eq!(
        engine.set_quotas(110.0, vec![-1.0]),
        Err(ConfigError::InvalidQuota { customer: 0 })
    );
    assert_eq!(engine.set_quotas(110.0, vec![1.0]), Ok(()));
}
