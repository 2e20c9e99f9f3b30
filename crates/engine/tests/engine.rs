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
    errored: Vec<(u32, Cause, bool)>,
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
    fn taken(&mut self, inv: u32) {
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
    fn throttled(&mut self, inv: u32, _: f64, _: bool) {
        self.answer(inv);
    }
    fn errored(&mut self, inv: u32, cause: Cause, may_have_run: bool) {
        self.answer(inv);
        self.errored.push((inv, cause, may_have_run));
    }
    fn hold(&mut self, to: ExecutorId, function: u64, _: u8) {
        self.holds.push((to, function));
    }
    fn ask(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn probe(&mut self, _: ExecutorId) {}
    fn watch_roster(&mut self) {}
}

fn policy(second_copies: bool) -> PolicyConfig {
    let ty = |effect| TriggerType {
        objective: 1.0,
        stretch: 0.0,
        timeout: 4.0,
        billed_value: 1.0,
        late_share: 0.2,
        effect,
        group: Group::All,
        window: 2.0,
    };
    PolicyConfig {
        trigger_types: vec![ty(Effect::Idempotent), ty(Effect::NonIdempotent)],
        front_ends: 1.0,
        max_dispatches: 4,
        second_copies,
        cancel: true,
        max_retry_after: 1.0,
        cold: 5.0,
        cold_from: 0.2,
        overload_factor: 2.0,
        fall: 1.0,
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
    let row = |x| RosterRow {
        executor: executor(x),
        zone: 0,
        kind: 0,
        cell: 0,
        standing: Standing::Ready,
        weight: 1.0,
        since: f64::NEG_INFINITY,
    };
    engine.roster(
        10.0,
        RosterKind::Full,
        &[row(1), row(2), row(3), row(4)],
        ear,
    );
    engine
}

fn offer(trigger_type: usize, timeout_at: f64) -> Offer {
    Offer {
        trigger_type,
        customer: 0,
        function: 1,
        repeat: false,
        moved: false,
        timeout_at,
        work: None,
        lanes: 2.0,
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
        const ENDINGS: [Ending; 6] = [
            Ending::Ok,
            Ending::Error,
            Ending::Full,
            Ending::Reset,
            Ending::ConnectFailed,
            Ending::Ok,
        ];
        for (what, a, b, later) in steps {
            match what {
                0..=2 => {
                    let timeout_at = now + 0.1 + later * 5.0;
                    let inv = e.take(now, &offer(a % 2, timeout_at), &mut ear).unwrap();
                    prop_assert_eq!(inv as usize, timeouts.len());
                    timeouts.push(timeout_at);
                }
                3..=5 if !ear.out.is_empty() => {
                    let (inv, n, _) = ear.out[a % ear.out.len()];
                    // Also for dispatches that ended, were cancelled, or whose invocation is over.
                    e.ended(
                        now,
                        inv,
                        n,
                        ENDINGS[b % ENDINGS.len()],
                        NOTHING_TOLD,
                        &mut ear,
                    );
                }
                6 if !timeouts.is_empty() => {
                    let inv = (a % timeouts.len()) as u32;
                    if !ear.answered.contains(&inv) {
                        left.push(inv);
                    }
                    e.withdrawn(now, inv, &mut ear);
                }
                _ => {}
            }
            let until = now + later;
            while e.due_at() <= until {
                now = e.due_at().max(now);
                e.turn(now, &mut ear);
            }
            now = until;
            let overdue = (0..timeouts.len() as u32).find(|i| {
                timeouts[*i as usize] < now && !ear.answered.contains(i) && !left.contains(i)
            });
            prop_assert_eq!(overdue, None, "not answered by its timeout");
        }
        prop_assert_eq!(e.tally().overdue, 0, "the module answers in time by itself");
        let t = e.tally();
        prop_assert_eq!(
            t.taken,
            t.succeeded + t.throttled + t.errored + t.withdrawn + e.open() as u64
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
        let inv = e.take(10.0, &offer(1, 12.0), &mut ear).unwrap();
        assert_eq!(ear.out.len(), 1);
        if !answer_first {
            e.turn(12.0, &mut ear);
        }
        e.ended(12.0, inv, 0, Ending::Ok, NOTHING_TOLD, &mut ear);
        e.turn(12.1, &mut ear);
        assert_eq!(ear.answered, vec![inv]);
        let expected = if answer_first {
            vec![]
        } else {
            vec![(inv, Cause::TimedOut, true)]
        };
        assert_eq!(ear.errored, expected);
        assert_eq!(e.open(), 0);
    }
}

#[test]
fn of_two_copies_that_succeed_the_first_answers_and_the_other_is_cancelled() {
    let mut ear = Ear::default();
    let mut e = engine(true, &mut ear);
    // Warms two executors, so that a copy has somewhere to go.
    for n in 0..6 {
        let inv = e.take(10.0, &offer(0, 14.0), &mut ear).unwrap();
        assert_eq!(inv, n);
    }
    for (inv, n, _) in ear.out.clone() {
        e.ended(10.2, inv, n, Ending::Ok, NOTHING_TOLD, &mut ear);
    }
    while ear.answered.len() < 6 {
        let &(inv, n, _) = ear
            .out
            .iter()
            .rfind(|o| !ear.answered.contains(&o.0))
            .expect("all were sent");
        e.ended(10.3, inv, n, Ending::Ok, NOTHING_TOLD, &mut ear);
    }
    let inv = e.take(11.0, &offer(0, 14.0), &mut ear).unwrap();
    let mut now = 11.0;
    while ear.out.iter().filter(|o| o.0 == inv).count() < 2 && now < 13.5 {
        now = e.due_at();
        e.turn(now, &mut ear);
    }
    let copies: Vec<_> = ear.out.iter().filter(|o| o.0 == inv).copied().collect();
    assert_eq!(
        copies.len(),
        2,
        "a silent executor's work gets a second copy"
    );
    assert_ne!(copies[0].2, copies[1].2);
    e.ended(now, inv, 1, Ending::Ok, NOTHING_TOLD, &mut ear);
    assert_eq!(ear.cancelled, vec![(inv, 0)]);
    e.ended(now, inv, 0, Ending::Ok, NOTHING_TOLD, &mut ear);
    assert_eq!(ear.answered.iter().filter(|&&i| i == inv).count(), 1);
}

#[test]
fn what_is_past_the_bound_is_refused_and_forgotten() {
    let mut ear = Ear::default();
    let mut e = engine(false, &mut ear);
    for n in 0..200_000 {
        let taken = e.take(10.0, &offer(0, 13.0), &mut ear);
        assert_eq!(taken.is_ok(), n < 1_000);
    }
    assert_eq!((e.open(), e.tally().refused), (1_000, 199_000));
    let mut now = 10.0;
    while e.open() > 0 {
        now = e.due_at();
        e.turn(now, &mut ear);
    }
    assert!(now <= 13.0, "all were answered by {now}");
    assert_eq!(ear.answered.len(), 1_000);
    e.leave();
    assert_eq!(
        e.take(now, &offer(0, now + 1.0), &mut ear),
        Err(Refused::Leaving)
    );
}

#[test]
fn only_proofs_count_as_never_run() {
    let table = [
        (Transport::Answered(Ending::Ok), false),
        (Transport::Answered(Ending::Error), false),
        (Transport::Answered(Ending::Full), true),
        (Transport::Answered(Ending::Miss), true),
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
        let told = matches!(ending(seen), Ending::Reset | Ending::ConnectFailed);
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
        .take(100.0, &offer(0, 104.0), &mut ear)
        .expect("there is room");
    assert!(engine.uses_trigger_type(0) && !engine.uses_trigger_type(1));
    assert_eq!(
        engine.set_trigger_type(100.0, 0, ty.clone()),
        Err(ConfigRefused::InUse { index: 0 })
    );
    assert_eq!(engine.set_trigger_type(100.0, 2, ty.clone()), Ok(()));
    assert_eq!(
        engine.set_trigger_type(100.0, 4, ty.clone()),
        Err(ConfigRefused::OutOfOrder { index: 4, next: 3 })
    );
    engine.withdrawn(100.1, inv, &mut ear);
    // Its dispatch, if there was one, was cancelled and told so to the module.
    engine.turn(110.0, &mut ear);
    assert!(
        !engine.uses_trigger_type(0),
        "nothing is out and the client is gone"
    );
    assert_eq!(engine.set_trigger_type(110.0, 0, ty), Ok(()));
    assert_eq!(
        engine.set_quotas(110.0, vec![-1.0]),
        Err(ConfigRefused::NoQuota { customer: 0 })
    );
    assert_eq!(engine.set_quotas(110.0, vec![1.0]), Ok(()));
}
