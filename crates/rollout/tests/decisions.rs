//! The decisions of a rollout, tried without sockets: split, evidence, rules of the coordinator, the front end's
//! part, and plans that can't be kept.

use orchidtally_deployment::{Deployment, Function};
use orchidtally_rollout::coordinator::{Command, Kept, Refused};
use orchidtally_rollout::evidence::Tracked;
use orchidtally_rollout::frontend::{Came, Place, may_move};
use orchidtally_rollout::plan::Gate;
use orchidtally_rollout::reckoning::reckon;
use orchidtally_rollout::sequential::{Events, Stakes};
use orchidtally_rollout::split::{Who, is_new, place, share};
use orchidtally_rollout::{Arm, Coordinator, Epoch, Phase, Plan, Published, Shares};
use proptest::prelude::*;

const OLD: &str = "1111111111111111111111111111111111111111111111111111111111111111";
const NEW: &str = "2222222222222222222222222222222222222222222222222222222222222222";

fn deployment() -> Deployment {
    let text = format!(
        r#"{{
            locations: ["north", "south"],
            frontEnds: {{ count: 4 }},
            triggerTypes: [
                {{ name: "look", effect: "idempotent", objective: "1s", timeout: "3s" }},
                {{ name: "act", effect: "nonIdempotent", objective: "1s", timeout: "3s" }},
            ],
            customers: [{{ name: "trial", share: 10 }}, {{ name: "other", share: 10 }}],
            functions: [{{
                name: "mist", lanes: 4, work: "50ms",
                versions: [{{ digest: "sha256:{OLD}" }}, {{ digest: "sha256:{NEW}", lanes: 2 }}],
                aliases: {{ stable: "sha256:{OLD}", next: "sha256:{NEW}" }},
            }}],
            executors: {{ list: [{{ address: "127.0.0.1:7001" }}] }},
        }}"#
    );
    Deployment::read(&text).unwrap_or_else(|f| panic!("{f:?}"))
}

fn plan_text(more: &str) -> String {
    format!(
        r#"{{ name: "misting", function: "mist", to: "next", loadsPerSecond: 0.5, holdback: 0, keepFrom: "5s", {more}
            steps: [
                {{ share: 0.1, leastTime: "5s", leastEvidence: 50 }},
                {{ share: 0.5, leastTime: "5s", leastEvidence: 50 }},
                {{ share: 1, leastTime: "5s", leastEvidence: 50 }},
            ] }}"#
    )
}

fn plan(more: &str) -> Plan {
    Plan::read(&plan_text(more), &deployment()).unwrap_or_else(|f| panic!("{f:?}"))
}

fn who(key: &str) -> Who<'_> {
    Who { customer: "other", location: "north", key }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Beside it stands the plain model: the set of keys that any step so far gave the new version.
    #[test]
    fn whoever_is_on_the_new_version_stays_there(
        run: u64,
        steps in proptest::collection::vec((0.001..1.0f64, any::<bool>(), any::<bool>()), 1..6),
        keys in proptest::collection::vec("[a-z]{1,8}", 1..30),
    ) {
        let mut plan = plan("");
        let step = plan.steps[0].clone();
        plan.steps = steps.iter().map(|&(share, trial, north)| orchidtally_rollout::plan::Step {
            share,
            customers: if trial { vec!["trial".into()] } else { vec![] },
            locations: if north { vec!["north".into()] } else { vec![] },
            ..step.clone()
        }).collect();
        for (n, key) in keys.iter().enumerate() {
            let customer = if n % 2 == 0 { "trial" } else { "other" };
            let location = if n % 3 == 0 { "north" } else { "south" };
            let who = Who { customer, location, key };
            let mut ever = false;
            for step in 0..plan.steps.len() {
                let s = &plan.steps[step];
                let meant = (s.customers.is_empty() || customer == "trial") && (s.locations.is_empty() || location == "north");
                ever |= meant && place(run, key) < s.share;
                prop_assert_eq!(is_new(&plan, run, step, &who), ever);
                prop_assert!(share(&plan, step, &who) <= 1.0);
            }
        }
    }

    /// The stakes as one number for each odds equal those played by themselves from each beginning on.
    #[test]
    fn stakes_are_what_all_beginnings_come_to(slots in proptest::collection::vec((0.01..0.99f64, 0u64..4, 0u64..4, any::<bool>()), 1..40)) {
        let mut stakes = Stakes::default();
        let mut plain: Vec<(f64, [f64; 6])> = vec![];
        for &(p, new, old, begins) in &slots {
            if begins {
                stakes.begin();
                let n = plain.len() as f64 + 1.0;
                plain.push((1.0 / (n * (n + 1.0)), [1.0; 6]));
            }
            stakes.note(Events { p, new, all: new + old });
            for (_, product) in &mut plain {
                for (product, odds) in product.iter_mut().zip([1.25, 1.5, 2.0, 3.0, 5.0, 10.0f64]) {
                    let bet = odds * p / (odds * p + 1.0 - p);
                    *product *= (bet / p).powi(new as i32) * ((1.0 - bet) / (1.0 - p)).powi(old as i32);
                }
            }
        }
        let played: f64 = plain.iter().map(|(w, e)| w * e.iter().sum::<f64>() / 6.0).sum();
        let expected = played + 1.0 - plain.iter().map(|(w, _)| w).sum::<f64>();
        prop_assert!((stakes.evidence() / expected - 1.0).abs() < 1e-9, "{} {}", stakes.evidence(), expected);
    }
}

#[test]
fn the_split_gives_each_step_its_share_and_each_run_another_few() {
    let plan = plan("");
    let keys: Vec<String> = (0..20_000).map(|n| format!("key-{n}")).collect();
    let on = |run, step| keys.iter().filter(|k| is_new(&plan, run, step, &who(k))).count() as f64 / 20_000.0;
    assert!((on(1, 0) - 0.1).abs() < 0.01 && (on(1, 1) - 0.5).abs() < 0.015);
    assert_eq!(on(1, 2), 1.0);
    let both = keys.iter().filter(|k| is_new(&plan, 1, 0, &who(k)) && is_new(&plan, 2, 0, &who(k))).count();
    assert!((100..300).contains(&both), "{both} of 20000 are first in both runs, 200 by random");
}

#[test]
fn an_expectation_that_never_grows_where_the_versions_are_alike() {
    // Exactly, over all outcomes of a few events.
    for p in [0.05, 0.3, 0.9] {
        let mut mean = 0.0;
        for outcome in 0..1u32 << 8 {
            let mut stakes = Stakes::default();
            let mut random = 1.0;
            for n in 0..8 {
                if n % 3 == 0 {
                    stakes.begin();
                }
                let new = outcome >> n & 1;
                random *= if new == 1 { p } else { 1.0 - p };
                stakes.note(Events { p, new: u64::from(new), all: 1 });
            }
            mean += random * stakes.evidence();
        }
        assert!((mean - 1.0).abs() < 1e-9, "{mean} at a share of {p}");
    }
}

#[test]
fn a_quantile_is_tracked() {
    let mut q = Tracked::default();
    for n in 0..5_000u32 {
        q.note(0.9, f64::from(n.wrapping_mul(7_919) % 1_000));
    }
    let at = q.known().unwrap();
    assert!((820.0..980.0).contains(&at), "{at}");
}

#[test]
fn plans_that_cannot_be_kept_are_refused_with_the_reckoning() {
    let d = deployment();
    let faults = |text: &str| match Plan::read(text, &d) {
        Ok(_) => panic!("taken: {text}"),
        Err(faults) => faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"),
    };
    let fast = faults(&plan_text("").replace("loadsPerSecond: 0.5", "loadsPerSecond: 5"));
    assert!(
        fast.contains("loadsPerSecond: 5 a second can't be kept") && fast.contains("0.80 a second in all"),
        "{fast}"
    );
    let rare = plan_text("rate: 0.01,").replace("leastEvidence: 50 }", "leastEvidence: 50, longest: '1h' }");
    let rare = faults(&rare);
    assert!(rare.contains("50 answers at 0.001 a second take 50000 s"), "{rare}");
    let wrong = faults(
        "{ name: 'a b', function: 'mist', to: 'stable', key: 'colour', stepz: 1,
           steps: [{ share: 0.5, customers: ['nobody'] }, { share: 0.2 }], gates: { errors: { action: 'of' } } }",
    );
    for part in [
        "1:9: name: 1 to 64 of",
        "to: 'stable' and 'stable' are the same version",
        "key: 'colour' is none of",
        "stepz: unknown key, is 'steps' meant?",
        "no customer 'nobody'",
        "the last step has to be a share of 1",
        "gates.errors.action: 'of' is none of",
    ] {
        assert!(wrong.contains(part), "{part} is not in:\n{wrong}");
    }
    let steps = reckon(&plan("rate: 100,"), &d);
    // 100 a second of 50 ms over 2 lanes filled to 0.7.
    assert_eq!(steps.iter().map(|s| s.copies).collect::<Vec<_>>(), [1, 2, 4]);
    assert_eq!(steps.iter().map(|s| s.orders).collect::<Vec<_>>(), [4, 4, 8]);
    assert_eq!(steps[2].loading, 16.0);
}

/// A coordinator and some front ends over simulated time; a version has a chance of errors and a latency.
struct World {
    now: f64,
    coordinator: Coordinator,
    shares: Vec<Shares>,
    function: Function,
    seed: u64,
    rate: u32,
    errors: [f64; 2],
    latency: [f64; 2],
    /// Of the new version's invocations only these have its errors: by trigger type, customer, front end.
    only: fn(usize, usize, usize) -> bool,
    /// Of the new version's, those that take ten times longer.
    tail: f64,
    reached: bool,
    names: u32,
}

impl World {
    fn new(count: u32) -> World {
        let place =
            |index| Place { index, count, location: (index % 2) as u16, orders: false, keep_alive: 8.0 };
        World {
            now: 1_000.0,
            coordinator: Coordinator::new(Kept::default(), 7, 1_000.0),
            shares: (0..count).map(|n| Shares::new(place(n), 1_000.0)).collect(),
            function: deployment().function("mist").unwrap(),
            seed: 1,
            rate: 100,
            errors: [0.02; 2],
            latency: [0.02; 2],
            only: |_, _, _| true,
            tail: 0.0,
            reached: true,
            names: 0,
        }
    }

    fn unit(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    fn order(&mut self, command: Command) -> Result<(), Refused> {
        self.coordinator.command(self.now, &command, u64::from(self.names) + 99)
    }

    fn start(&mut self, plan: Plan) {
        let command = Command::Start { plan: Box::new(plan), from: OLD.into(), to: NEW.into() };
        self.order(command).unwrap();
    }

    fn second(&mut self) {
        for n in 0..self.rate {
            let fe = n as usize % self.shares.len();
            let (ty, customer) = ((n / 3 % 2) as usize, (n / 5 % 2) as usize);
            self.names += 1;
            let name = self.names.to_string();
            let function = self.function.clone();
            let resolved = self.shares[fe].resolve(&function, None, ty, customer, &who(&name)).unwrap();
            let Some(invoked) = resolved.invoked else { continue };
            let arm = usize::from(invoked.arm == Arm::New);
            let (error, spread) = (self.unit(), 0.5 + self.unit());
            let meant = (self.only)(ty, customer, fe);
            let random = if meant { self.errors[arm] } else { self.errors[0] };
            let slow = if arm == 1 && self.unit() < self.tail { 10.0 } else { 1.0 };
            let took = self.latency[arm] * spread * slow;
            let came = if error < random { Came::Errored } else { Came::Succeeded { took, warm: true } };
            self.shares[fe].came(&invoked, came, came == Came::Errored);
        }
        self.now += 1.0;
        for fe in 0..self.shares.len() {
            self.shares[fe].turn(self.now);
            if !self.reached {
                continue;
            }
            let told = self.shares[fe].tell(fe as u64 + 1);
            self.coordinator.evidence(self.now, &told);
            // Told again, as after a lost answer, it counts once.
            self.coordinator.evidence(self.now, &told);
        }
        self.coordinator.turn(self.now);
        if self.reached {
            let (now, published, function) =
                (self.now, self.coordinator.published().clone(), self.function.clone());
            for shares in &mut self.shares {
                shares.adopt(now, published.clone(), |_| Some(function.clone()));
                shares.turn(now);
            }
        }
    }

    fn until(&mut self, seconds: u32, done: impl Fn(&World) -> bool) -> Option<u32> {
        (0..seconds).find(|_| {
            self.second();
            done(self)
        })
    }

    fn phase(&self) -> Phase {
        self.coordinator.published().rollouts["misting"].phase
    }

    fn reason(&self) -> String {
        self.coordinator.published().rollouts["misting"].reason.clone()
    }
}

#[test]
fn a_version_as_good_as_the_old_one_goes_to_all_and_its_alias_moves() {
    let mut w = World::new(4);
    w.start(plan(""));
    let took = w.until(300, |w| w.phase() == Phase::Finished).unwrap_or_else(|| panic!("{}", w.reason()));
    assert!(took > 15, "the steps take their least time: {took} s");
    assert_eq!(w.coordinator.published().aliases["mist"]["stable"], NEW);
    let function = w.function.clone();
    let resolved = w.shares[0].resolve(&function, None, 0, 1, &who("x")).unwrap();
    assert_eq!((&*resolved.version.digest, resolved.invoked), (NEW, None));
    let named = w.shares[0].resolve(&function, Some(OLD), 0, 1, &who("x")).unwrap();
    assert_eq!(&*named.version.digest, OLD, "a digest names what it names");
    assert!(w.shares[0].resolve(&function, Some("nothing"), 0, 1, &who("x")).is_none());
}

#[test]
fn a_worse_version_is_taken_back_and_a_trouble_of_both_is_not() {
    let mut worse = World::new(4);
    worse.errors = [0.02, 0.3];
    worse.start(plan(""));
    let took = worse.until(120, |w| w.phase() == Phase::TakenBack).expect("it is found out");
    assert!(took < 30 && worse.reason().contains("'errors' is worse"), "{took}: {}", worse.reason());
    let function = worse.function.clone();
    let after = worse
        .shares
        .iter_mut()
        .all(|s| &*s.resolve(&function, None, 0, 1, &who("x")).unwrap().version.digest == OLD);
    assert!(after);

    let mut slow = World::new(4);
    slow.latency = [0.02, 0.04];
    slow.start(plan(""));
    assert!(slow.until(120, |w| w.phase() == Phase::TakenBack).is_some(), "{}", slow.reason());
    assert!(slow.reason().contains("slow"), "{}", slow.reason());

    // For one trigger type, one customer, one location alone; in the slow tail only.
    let parts: [fn(usize, usize, usize) -> bool; 3] =
        [|t, _, _| t == 1, |_, c, _| c == 1, |_, _, fe| fe % 2 == 1];
    for only in parts {
        let mut part = World::new(4);
        (part.errors, part.only) = ([0.02, 0.3], only);
        part.start(plan(""));
        assert!(part.until(120, |w| w.phase() == Phase::TakenBack).is_some(), "{}", part.reason());
    }
    let mut tail = World::new(4);
    tail.tail = 0.06;
    tail.start(plan(""));
    assert!(tail.until(120, |w| w.phase() == Phase::TakenBack).is_some(), "{}", tail.reason());
    assert!(tail.reason().contains("'slowTail'") || tail.reason().contains("'slow'"), "{}", tail.reason());

    let mut both = World::new(4);
    both.start(plan(""));
    both.until(8, |_| false);
    (both.errors, both.latency) = ([0.5; 2], [0.2; 2]);
    assert!(both.until(200, |w| w.phase() == Phase::TakenBack).is_none(), "{}", both.reason());

    // Good until everyone but what is held back is on it.
    let mut last = World::new(4);
    let mut held = plan("");
    (held.holdback, held.keep_from) = (0.05, 300.0);
    last.start(held);
    assert!(last.until(100, |w| w.phase() == Phase::Keeping).is_some(), "{}", last.reason());
    last.errors[1] = 0.4;
    let took = last.until(120, |w| w.phase() == Phase::TakenBack).expect("it is found out");
    assert!(took < 60, "{took} s");

    // Good for a minute, then it is not.
    let mut late = World::new(4);
    let mut long = plan("");
    long.steps[0].least_time = 1_000.0;
    late.start(long);
    late.until(60, |_| false);
    assert_eq!(late.phase(), Phase::Shifting);
    late.errors[1] = 0.3;
    let took = late.until(120, |w| w.phase() == Phase::TakenBack).expect("it is found out");
    assert!(took < 30, "{took} s");
}

#[test]
fn one_customers_own_trouble_does_not_decide_where_keys_are_shared() {
    let mut w = World::new(1);
    let mut long = plan("key: 'customer',");
    long.steps[0].least_time = 1_000.0;
    w.start(long);
    w.second();
    w.second();
    let function = w.function.clone();
    // A key that is on the new version, and errs whatever it runs; and many others that do not.
    let bad = (0..).map(|n| format!("c{n}")).find(|k| {
        let run = w.coordinator.published().rollouts["misting"].run;
        place(run, k) < 0.1
    });
    let bad = bad.unwrap();
    for n in 0..2_000 {
        let key = if n % 10 == 0 { bad.clone() } else { format!("k{n}") };
        let resolved = w.shares[0].resolve(&function, None, 0, 1, &who(&key)).unwrap();
        let invoked = resolved.invoked.unwrap_or_else(|| panic!("{}", w.reason()));
        let came = if key == bad { Came::Errored } else { Came::Succeeded { took: 0.02, warm: true } };
        w.shares[0].came(&invoked, came, came == Came::Errored);
        if n % 100 == 0 {
            w.rate = 0;
            w.second();
        }
    }
    assert_eq!(w.phase(), Phase::Shifting, "{}", w.reason());
    let errors = w.coordinator.kept().runs["misting"].whole[1].events[Gate::Errors.index()];
    assert_eq!(errors, 3, "a key counts so often in a step");
}

#[test]
fn a_front_end_by_itself_holds_the_step_and_takes_back_but_never_advances() {
    let mut w = World::new(2);
    w.start(plan(""));
    w.until(4, |_| false);
    w.reached = false;
    w.until(40, |_| false);
    let function = w.function.clone();
    let on = |w: &mut World| {
        (0..1_000)
            .filter(|n| {
                let name = format!("probe-{n}");
                let r = w.shares[0].resolve(&function, None, 0, 1, &who(&name)).unwrap();
                &*r.version.digest == NEW
            })
            .count()
    };
    assert!((50..200).contains(&on(&mut w)), "the step of a tenth is held");
    w.errors = [0.02, 0.5];
    w.until(40, |_| false);
    assert_eq!(on(&mut w), 0, "by its own evidence it went back");
    w.reached = true;
    w.second();
    w.second();
    assert_eq!(w.phase(), Phase::TakenBack);
    let why = w.coordinator.kept().runs["misting"].took_back.clone().unwrap();
    assert_eq!(why, "'errors' is worse by its own evidence");
}

#[test]
fn the_higher_term_wins_and_an_older_state_is_never_taken() {
    let mut w = World::new(1);
    w.start(plan(""));
    w.until(12, |_| false);
    let old = w.coordinator.published().clone();
    // Killed between writing and publishing: what it kept says the same under the next term.
    let kept: Kept = serde_json::from_slice(&serde_json::to_vec(w.coordinator.kept()).unwrap()).unwrap();
    let next = Coordinator::new(kept, 1, w.now);
    assert_eq!(next.published().epoch.term, old.epoch.term + 1);
    assert_eq!(next.published().rollouts, old.rollouts);
    assert_eq!(next.kept().runs["misting"].step, w.coordinator.kept().runs["misting"].step);
    w.coordinator.heard_of(next.published().epoch);
    assert_eq!(w.coordinator.superseded(), Some(next.published().epoch));
    let turned_down = w.order(Command::Pause { name: "misting".into() }).unwrap_err();
    assert!(turned_down.0.contains("has taken over"));
    let function = w.function.clone();
    let newer = next.published().clone();
    w.shares[0].adopt(w.now, newer.clone(), |_| Some(function.clone()));
    w.shares[0].adopt(
        w.now,
        Published { epoch: Epoch { term: 1, drawn: 0 }, number: 999, ..Published::default() },
        |_| None,
    );
    assert_eq!(w.shares[0].published(), &newer);
}

#[test]
fn commands_that_make_no_sense_are_turned_down() {
    let mut w = World::new(1);
    let name = || "misting".to_string();
    let none = w.order(Command::Back { name: name(), why: String::new() }).unwrap_err();
    assert_eq!(none.0, "there is no rollout 'misting'");
    w.start(plan(""));
    let twice = Command::Start { plan: Box::new(plan("")), from: OLD.into(), to: NEW.into() };
    assert!(w.order(twice.clone()).unwrap_err().0.contains("is on"));
    assert!(w.order(Command::Resume { name: name() }).unwrap_err().0.contains("not paused"));
    assert!(w.order(Command::Finish { name: name() }).unwrap_err().0.contains("after its last step"));
    w.order(Command::Pause { name: name() }).unwrap();
    let step = w.coordinator.published().rollouts["misting"].step;
    w.until(60, |_| false);
    assert_eq!((w.phase(), w.coordinator.published().rollouts["misting"].step), (Phase::Paused, step));
    // While it is paused a version that is worse is taken back all the same.
    w.errors = [0.02, 0.5];
    assert!(w.until(60, |w| w.phase() == Phase::TakenBack).is_some());
    // Started again at once it is another run, with evidence of its own.
    let before = w.coordinator.published().rollouts["misting"].run;
    w.errors = [0.02; 2];
    w.order(twice).unwrap();
    assert_ne!(w.coordinator.published().rollouts["misting"].run, before);
    assert_eq!(w.coordinator.kept().runs["misting"].whole[1].answers, 0);
    assert!(w.coordinator.kept().runs["misting"].history.len() >= 5, "the history goes on");
}

#[test]
fn what_may_move_to_the_old_version() {
    assert!(may_move(true, true) && may_move(true, false) && may_move(false, false));
    assert!(!may_move(false, true), "what may have run and is not idempotent ends where it is");
}

#[test]
fn a_bad_executor_is_not_the_versions_fault() {
    let mut w = World::new(1);
    w.start(plan(""));
    w.second();
    let (old, new) = (w.function.versions[0].key, w.function.versions[1].key);
    let shares = &mut w.shares[0];
    // It breaks off: that counts a few times, and at another executor again.
    let counted = |shares: &mut Shares, executor| {
        (0..10).filter(|_| shares.dispatch_failed(1.0, executor, new, true)).count()
    };
    assert_eq!((counted(shares, 1), counted(shares, 2)), (3, 3));
    // It answers with errors: each counts, until others are seen to fail there as well.
    assert!((0..10).all(|_| shares.dispatch_failed(1.0, 3, new, false)));
    shares.dispatch_failed(1.0, 3, 77, false);
    assert!(shares.dispatch_failed(1.0, 3, new, false), "one other may be another version's own trouble");
    shares.dispatch_failed(1.0, 3, old, false);
    assert!(!shares.dispatch_failed(1.0, 3, new, false));
    assert!(shares.dispatch_failed(9.0, 3, new, false), "that was long ago");
    assert!(!shares.dispatch_failed(9.0, 4, 77, false), "a function without a rollout has nothing to count");
}

#[test]
fn a_store_that_refuses_all_blames_no_version() {
    for (others_fail, blamed) in [(true, false), (false, true)] {
        let mut w = World::new(2);
        let mut long = plan("");
        long.steps[0].least_time = 1_000.0;
        w.start(long);
        let new = w.function.versions[1].key;
        for _ in 0..40 {
            for shares in &mut w.shares {
                shares.load_ended(new, false, false);
                (0..4).for_each(|_| shares.load_ended(77, !others_fail, false));
            }
            w.second();
        }
        assert_eq!(w.phase() == Phase::TakenBack, blamed, "{}", w.reason());
    }
}

#[test]
fn a_front_end_two_steps_behind_goes_by_its_own_step_and_catches_up() {
    let mut w = World::new(2);
    let mut long = plan("");
    long.steps.iter_mut().for_each(|s| s.least_time = 4.0);
    w.start(long);
    w.until(3, |_| false);
    let behind = w.coordinator.published().clone();
    w.until(14, |w| w.coordinator.published().rollouts["misting"].step == 2);
    assert_eq!(w.coordinator.published().rollouts["misting"].step, 2, "{}", w.reason());
    let function = w.function.clone();
    let place = Place { index: 1, count: 2, location: 0, orders: false, keep_alive: 8.0 };
    let mut late = Shares::new(place, w.now);
    let mut on = |state: &Published| {
        let function = function.clone();
        late.adopt(w.now, state.clone(), |_| Some(function.clone()));
        late.turn(w.now);
        let is_new = |n: &u32| {
            let r = late.resolve(&function, None, 0, 1, &who(&n.to_string())).unwrap();
            &*r.version.digest == NEW
        };
        (0..500).filter(is_new).collect::<Vec<u32>>()
    };
    let (first, last) = (on(&behind), on(w.coordinator.published()));
    assert!((20..100).contains(&first.len()) && last.len() == 500, "{} {}", first.len(), last.len());
    assert_eq!(on(&behind).len(), 500, "an older state is not taken again");
}

#[test]
fn a_rollout_withdrawn_before_its_first_step_gives_nobody_the_new_version() {
    let mut w = World::new(2);
    w.start(plan(""));
    w.order(Command::Back { name: "misting".into(), why: "withdrawn".into() }).unwrap();
    w.until(5, |_| false);
    assert_eq!((w.phase(), w.coordinator.kept().runs["misting"].whole[1].answers), (Phase::TakenBack, 0));
}

#[test]
fn a_rare_function_holds_its_step_until_the_evidence_is_in() {
    let mut w = World::new(1);
    w.rate = 1;
    w.start(plan(""));
    w.until(200, |_| false);
    assert_eq!(w.coordinator.published().rollouts["misting"].step, 0);
    assert!(w.reason().contains("of 50 answers of the new version are in"), "{}", w.reason());
    let step = w.until(3_000, |w| w.coordinator.published().rollouts["misting"].step == 1);
    assert!(step.is_some(), "a tenth of one a second brings 50 in the end: {}", w.reason());
}

#[test]
fn a_hot_function_waits_for_as_many_copies_as_its_share_fills() {
    let d = deployment();
    // A tenth of 200 a second at 50 ms is one lane all the time, of the two that a copy has filled to 0.7: 1 copy;
    // half of it is 5 lanes: 4 copies.
    let plan = plan("rate: 200,");
    let mut coordinator = Coordinator::new(Kept::default(), 1, 0.0);
    let start = Command::Start { plan: Box::new(plan), from: OLD.into(), to: NEW.into() };
    coordinator.command(0.0, &start, 7).unwrap_or_else(|r| panic!("{}", r.0));
    let place = Place { index: 0, count: 4, location: 0, orders: true, keep_alive: 10.0 };
    let mut shares = Shares::new(place, 0.0);
    let mut wished = vec![];
    for step in 0..2 {
        let mut published = coordinator.published().clone();
        for r in published.rollouts.values_mut() {
            (r.phase, r.step, r.number) = (Phase::Shifting, step, step as u64 + 10);
        }
        published.number += step as u64 + 1;
        shares.adopt(100.0 * step as f64, published, |name| d.function(name));
        let now = 100.0 * step as f64 + 50.0;
        let given = |shares: &mut Shares| {
            shares.turn(now);
            let f = d.function("mist").unwrap();
            (0..400)
                .filter(|n| {
                    let r = shares.resolve(&f, None, 0, 1, &who(&n.to_string())).unwrap();
                    r.version.digest.as_ref() == NEW
                })
                .count()
        };
        let before = given(&mut shares);
        let ahead = shares.ahead(now).into_iter().find(|a| a.is_new).unwrap();
        wished.push(ahead.copies);
        if ahead.copies > 1 {
            shares.prepared(&ahead, ahead.copies - 1, true);
            assert!(given(&mut shares) <= before + 20, "one copy less than that is not enough");
        }
        shares.prepared(&ahead, ahead.copies, true);
        shares.adopt(now, coordinator.published().clone(), |name| d.function(name));
        assert!(given(&mut shares) > before + 20);
    }
    assert_eq!(wished, [1, 4]);
}
