//! The engine under any order of endings, deadlines and departures, its clock, and its table of proofs.

use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::clock::Clock;
use orchidtally_engine::evidence::{Transport, ending};
use orchidtally_engine::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Hears what is performed and judges it as it comes.
#[derive(Default)]
struct Ear {
    out: Vec<(u32, u8, ExecutorId)>,
    answered: Vec<u32>,
    errored: Vec<(u32, FailureReason, bool)>,
    cancelled: Vec<(u32, u8)>,
    holds: Vec<(ExecutorId, u64)>,
}

impl Ear {
    fn answer(&mut self, inv: u32) {
        assert!(!self.answered.contains(&inv), "{inv} was answered twice");
        self.answered.push(inv);
    }
}

impl Host for Ear {
    fn admitted(&mut self, inv: u32) {
        assert!(!self.answered.contains(&inv), "an id used twice");
    }
    fn dispatch(&mut self, inv: u32, dispatch: u8, to: ExecutorId, within: f64) {
        assert!(
            within > 0.0 && !self.answered.contains(&inv),
            "{inv} dispatched after its answer"
        );
        assert!(
            !self.out.iter().any(|o| (o.0, o.1) == (inv, dispatch)),
            "a dispatch number used twice"
        );
        self.out.push((inv, dispatch, to));
    }
    fn cancel(&mut self, inv: u32, dispatch: u8) {
        self.cancelled.push((inv, dispatch));
    }
    fn succeeded(&mut self, inv: u32, _: u8) {
        self.answer(inv);
    }
    fn rejected(&mut self, inv: u32, _: f64, _: bool) {
        self.answer(inv);
    }
    fn failed(&mut self, inv: u32, cause: FailureReason, may_have_run: bool) {
        self.answer(inv);
        self.errored.push((inv, cause, may_have_run));
    }
    fn load(&mut self, to: ExecutorId, function: u64, _: u8) {
        self.holds.push((to, function));
    }
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}

fn policy(second_copies: bool) -> PolicyConfig {
    let ty = |effect| TriggerType {
        latency_objective: 1.0,
        objective_work_factor: 0.0,
        client_timeout: 4.0,
        billed_value: 1.0,
        late_value_fraction: 0.2,
        idempotency: effect,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 2.0,
    };
    PolicyConfig {
        trigger_types: vec![ty(Idempotency::Idempotent), ty(Idempotency::NonIdempotent)],
        front_ends: 1.0,
        max_dispatches: 4,
        allows_hedging: second_copies,
        allows_cancellation: true,
        max_retry_after: 1.0,
        slow_start_duration: 5.0,
        slow_start_initial_weight: 0.2,
        overload_factor: 2.0,
        overload_window: 1.0,
        ..PolicyConfig::default()
    }
}

fn executor(x: u8) -> ExecutorId {
    ExecutorId(
        std::net::Ipv6Addr::new(0xfd00, 0, 0, 0, 0, 0, 0, x.into()).into(),
        7000,
    )
}

fn engine(second_copies: bool, ear: &mut Ear) -> Engine {
    let mut engine = Engine::new(policy(second_copies), 1_000, 5, 10.0, ear);
    let row = |x| Endpoint {
        executor: executor(x),
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
        &[row(1), row(2), row(3), row(4)],
        ear,
    );
    engine
}

fn offer(trigger_type: usize, timeout_at: f64) -> InvocationRequest {
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
fn each_invocation_gets_one_answer_in_time_whatever_races() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let step = (0u8..8, any::<usize>(), any::<usize>(), 0.0f64..0.4);
    let day = (any::<bool>(), prop::collection::vec(step, 1..150));
    let outcome = runner.run(&day, |(second_copies, steps)| {
        let mut ear = Ear::default();
        let mut e = engine(second_copies, &mut ear);
        let (mut now, mut timeouts, mut left) = (10.0, vec![], vec![]);
        const ENDINGS: [DispatchStatus; 6] = [
            DispatchStatus::Ok,
            DispatchStatus::Error,
            DispatchStatus::Full,
            DispatchStatus::Reset,
            DispatchStatus::ConnectFailed,
            DispatchStatus::Ok,
        ];
        for (what, a, b, later) in steps {
            match what {
                0..=2 => {
                    let timeout_at = now + 0.1 + later * 5.0;
                    let inv = e.admit(now, &offer(a % 2, timeout_at), &mut ear).unwrap();
                    prop_assert_eq!(inv as usize, timeouts.len());
                    timeouts.push(timeout_at);
                }
                3..=5 if !ear.out.is_empty() => {
                    let (inv, n, _) = ear.out[a % ear.out.len()];
                    // Also for dispatches that ended, were cancelled, or whose invocation is over.
                    e.on_dispatch_result(
                        now,
                        inv,
                        n,
                        ENDINGS[b % ENDINGS.len()],
                        NO_METADATA,
                        &mut ear,
                    );
                }
                6 if !timeouts.is_empty() => {
                    let inv = (a % timeouts.len()) as u32;
                    if !ear.answered.contains(&inv) {
                        left.push(inv);
                    }
                    e.on_client_cancel(now, inv, &mut ear);
                }
                _ => {}
            }
            let until = now + later;
            while e.next_deadline() <= until {
                now = e.next_deadline().max(now);
                e.run_due_timers(now, &mut ear);
            }
            now = until;
            let overdue = (0..timeouts.len() as u32).find(|i| {
                timeouts[*i as usize] < now && !ear.answered.contains(i) && !left.contains(i)
            });
            prop_assert_eq!(overdue, None, "not answered by its timeout");
        }
        prop_assert_eq!(
            e.counters().overdue,
            0,
            "the module answers in time by itself"
        );
        let t = e.counters();
        prop_assert_eq!(
            t.admitted,
            t.succeeded
                + t.rejected
                + t.failed
                + t.cancelled_by_client
                + e.open_invocations() as u64
        );
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn an_answer_and_the_timeout_in_one_turn_give_one_answer() {
    for answer_first in [true, false] {
        let mut ear = Ear::default();
        let mut e = engine(false, &mut ear);
        let inv = e.admit(10.0, &offer(1, 12.0), &mut ear).unwrap();
        assert_eq!(ear.out.len(), 1);
        if !answer_first {
            e.run_due_timers(12.0, &mut ear);
        }
        e.on_dispatch_result(12.0, inv, 0, DispatchStatus::Ok, NO_METADATA, &mut ear);
        e.run_due_timers(12.1, &mut ear);
        assert_eq!(ear.answered, vec![inv]);
        let expected = if answer_first {
            vec![]
        } else {
            vec![(inv, FailureReason::TimedOut, true)]
        };
        assert_eq!(ear.errored, expected);
        assert_eq!(e.open_invocations(), 0);
    }
}

#[test]
fn of_two_copies_that_succeed_the_first_answers_and_the_other_is_cancelled() {
    let mut ear = Ear::default();
    let mut e = engine(true, &mut ear);
    // Warms two executors, so that a copy has somewhere to go.
    for n in 0..6 {
        let inv = e.admit(10.0, &offer(0, 14.0), &mut ear).unwrap();
        assert_eq!(inv, n);
    }
    for (inv, n, _) in ear.out.clone() {
        e.on_dispatch_result(10.2, inv, n, DispatchStatus::Ok, NO_METADATA, &mut ear);
    }
    while ear.answered.len() < 6 {
        let &(inv, n, _) = ear
            .out
            .iter()
            .rfind(|o| !ear.answered.contains(&o.0))
            .expect("all were sent");
        e.on_dispatch_result(10.3, inv, n, DispatchStatus::Ok, NO_METADATA, &mut ear);
    }
    let inv = e.admit(11.0, &offer(0, 14.0), &mut ear).unwrap();
    let mut now = 11.0;
    while ear.out.iter().filter(|o| o.0 == inv).count() < 2 && now < 13.5 {
        now = e.next_deadline();
        e.run_due_timers(now, &mut ear);
    }
    let copies: Vec<_> = ear.out.iter().filter(|o| o.0 == inv).copied().collect();
    assert_eq!(
        copies.len(),
        2,
        "a silent executor's work gets a second copy"
    );
    assert_ne!(copies[0].2, copies[1].2);
    e.on_dispatch_result(now, inv, 1, DispatchStatus::Ok, NO_METADATA, &mut ear);
    assert_eq!(ear.cancelled, vec![(inv, 0)]);
    e.on_dispatch_result(now, inv, 0, DispatchStatus::Ok, NO_METADATA, &mut ear);
    assert_eq!(ear.answered.iter().filter(|&&i| i == inv).count(), 1);
}

#[test]
fn what_is_past_the_bound_is_refused_and_forgotten() {
    let mut ear = Ear::default();
    let mut e = engine(false, &mut ear);
    for n in 0..200_000 {
        let taken = e.admit(10.0, &offer(0, 13.0), &mut ear);
        assert_eq!(taken.is_ok(), n < 1_000);
    }
    assert_eq!(
        (e.open_invocations(), e.counters().not_admitted),
        (1_000, 199_000)
    );
    let mut now = 10.0;
    while e.open_invocations() > 0 {
        now = e.next_deadline();
        e.run_due_timers(now, &mut ear);
    }
    assert!(now <= 13.0, "all were answered by {now}");
    assert_eq!(ear.answered.len(), 1_000);
    e.start_draining();
    assert_eq!(
        e.admit(now, &offer(0, now + 1.0), &mut ear),
        Err(AdmissionError::ShuttingDown)
    );
}

#[test]
fn only_proofs_count_as_never_run() {
    let table = [
        (Transport::Answered(DispatchStatus::Ok), false),
        (Transport::Answered(DispatchStatus::Error), false),
        (Transport::Answered(DispatchStatus::Full), true),
        (Transport::Answered(DispatchStatus::Miss), true),
        (Transport::NoConnection, true),
        (Transport::Saturated, true),
        (Transport::Unwritten, true),
        (Transport::Refused, true),
        (Transport::AboveLast, true),
        (Transport::Reset, false),
        (Transport::Broken, false),
        (Transport::Malformed, false),
        (Transport::Cut, false),
        (Transport::TimedOut, false),
        (Transport::Withheld, true),
    ];
    for (seen, never_ran) in table {
        assert_eq!(ending(seen).never_ran(), never_ran, "{seen:?}");
        // Only these say that the executor may have just started anew, cold: one whose answer was spoilt, or
        // that has other connections standing, is there.
        let may_be_new = [
            Transport::NoConnection,
            Transport::Unwritten,
            Transport::Reset,
            Transport::Broken,
        ];
        let told = matches!(
            ending(seen),
            DispatchStatus::Reset | DispatchStatus::ConnectFailed
        );
        assert_eq!(told, may_be_new.contains(&seen), "{seen:?}");
    }
}

#[test]
fn a_wall_clock_stepped_by_a_minute_neither_steps_nor_stops_the_time() {
    for step in [-60.0, 60.0] {
        let mut clock = Clock::new(100.0, 1_000_000.0);
        let mut last = clock.read(100.0);
        for n in 1..=6_000 {
            let monotonic = 100.0 + f64::from(n) * 0.1;
            if n % 50 == 0 {
                clock.anchor(monotonic, 1_000_000.0 + f64::from(n) * 0.1 + step);
            }
            let now = clock.read(monotonic);
            assert!(now > last && now - last < 0.100_1, "{} after {last}", now);
            last = now;
        }
        assert!(
            (last - 1_000_600.0).abs() < 0.31,
            "put right by half a thousandth: {last}"
        );
        assert!(clock.astray().abs() > 59.0);
    }
}

/// A change of trigger types and shares goes through to what decides; the engine tells what is in use.
#[test]
fn trigger_types_change_only_while_no_invocation_is_of_them() {
    let mut ear = Ear::default();
    let mut engine = engine(false, &mut ear);
    let ty = policy(false).trigger_types[1].clone();
    let inv = engine
        .admit(100.0, &offer(0, 104.0), &mut ear)
        .expect("there is room");
    assert!(engine.uses_trigger_type(0) && !engine.uses_trigger_type(1));
    assert_eq!(
        engine.set_trigger_type(100.0, 0, ty.clone()),
        Err(ConfigError::InUse { index: 0 })
    );
    assert_eq!(engine.set_trigger_type(100.0, 2, ty.clone()), Ok(()));
    assert_eq!(
        engine.set_trigger_type(100.0, 4, ty.clone()),
        Err(ConfigError::OutOfOrder { index: 4, next: 3 })
    );
    engine.on_client_cancel(100.1, inv, &mut ear);
    // Its dispatch, if there was one, was cancelled and told so to the module.
    engine.run_due_timers(110.0, &mut ear);
    assert!(
        !engine.uses_trigger_type(0),
        "nothing is out and the client is gone"
    );
    assert_eq!(engine.set_trigger_type(110.0, 0, ty), Ok(()));
    assert_eq!(
        engine.set_quotas(110.0, vec![-1.0]),
        Err(ConfigError::InvalidQuota { customer: 0 })
    );
    assert_eq!(engine.set_quotas(110.0, vec![1.0]), Ok(()));
}
