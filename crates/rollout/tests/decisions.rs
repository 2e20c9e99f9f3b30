//! The decisions of a rollout, without sockets: the rules of the coordinator and the front end's part.

mod kit;

use kit::{NEW, OLD, World, deployment, plan, who};
use orchidtally_rollout::coordinator::{Command, CoordinatorState};
use orchidtally_rollout::frontend::{AnswerOutcome, FrontEndLocation, may_move};
use orchidtally_rollout::plan::Gate;
use orchidtally_rollout::split::place;
use orchidtally_rollout::{Coordinator, Epoch, Phase, Published, TrafficSplit};

#[test]
fn a_version_as_good_as_the_old_one_goes_to_all_and_its_alias_moves() {
    let mut w = World::new(4);
    w.start(plan(""));
    let took = w
        .until(300, |w| w.phase() == Phase::Finished)
        .unwrap_or_else(|| panic!("{}", w.reason()));
    assert!(took > 15, "the steps take their least time: {took} s");
    assert_eq!(w.coordinator.published().aliases["mist"]["stable"], NEW);
    let function = w.function.clone();
    let resolved = w.shares[0]
        .resolve(&function, None, 0, 1, &who("x"))
        .unwrap();
    assert_eq!((&*resolved.version.digest, resolved.invoked), (NEW, None));
    let named = w.shares[0]
        .resolve(&function, Some(OLD), 0, 1, &who("x"))
        .unwrap();
    assert_eq!(&*named.version.digest, OLD, "a digest names what it names");
    assert!(
        w.shares[0]
            .resolve(&function, Some("nothing"), 0, 1, &who("x"))
            .is_none()
    );
}

#[test]
fn a_worse_version_is_taken_back_and_a_trouble_of_both_is_not() {
    let mut worse = World::new(4);
    worse.errors = [0.02, 0.3];
    worse.start(plan(""));
    let took = worse
        .until(120, |w| w.phase() == Phase::TakenBack)
        .expect("it is found out");
    assert!(
        took < 30 && worse.reason().contains("'errors' is worse"),
        "{took}: {}",
        worse.reason()
    );
    let function = worse.function.clone();
    let after = worse.shares.iter_mut().all(|s| {
        &*s.resolve(&function, None, 0, 1, &who("x"))
            .unwrap()
            .version
            .digest
            == OLD
    });
    assert!(after);

    let mut slow = World::new(4);
    slow.latency = [0.02, 0.04];
    slow.start(plan(""));
    assert!(
        slow.until(120, |w| w.phase() == Phase::TakenBack).is_some(),
        "{}",
        slow.reason()
    );
    assert!(slow.reason().contains("slow"), "{}", slow.reason());

    // For one trigger type, one customer, one location alone; in the slow tail only.
    let parts: [fn(usize, usize, usize) -> bool; 3] =
        [|t, _, _| t == 1, |_, c, _| c == 1, |_, _, fe| fe % 2 == 1];
    for only in parts {
        let mut part = World::new(4);
        (part.errors, part.only) = ([0.02, 0.3], only);
        part.start(plan(""));
        assert!(
            part.until(120, |w| w.phase() == Phase::TakenBack).is_some(),
            "{}",
            part.reason()
        );
    }
    let mut tail = World::new(4);
    tail.tail = 0.06;
    tail.start(plan(""));
    assert!(
        tail.until(120, |w| w.phase() == Phase::TakenBack).is_some(),
        "{}",
        tail.reason()
    );
    assert!(
        tail.reason().contains("'slowTail'") || tail.reason().contains("'slow'"),
        "{}",
        tail.reason()
    );

    let mut both = World::new(4);
    both.start(plan(""));
    both.until(8, |_| false);
    (both.errors, both.latency) = ([0.5; 2], [0.2; 2]);
    assert!(
        both.until(200, |w| w.phase() == Phase::TakenBack).is_none(),
        "{}",
        both.reason()
    );

    // Good until everyone but what is held back is on it.
    let mut last = World::new(4);
    let mut held = plan("");
    (held.holdback, held.keep_from) = (0.05, 300.0);
    last.start(held);
    assert!(
        last.until(100, |w| w.phase() == Phase::Keeping).is_some(),
        "{}",
        last.reason()
    );
    last.errors[1] = 0.4;
    let took = last
        .until(120, |w| w.phase() == Phase::TakenBack)
        .expect("it is found out");
    assert!(took < 60, "{took} s");

    // Good for a minute, then it is not.
    let mut late = World::new(4);
    let mut long = plan("");
    long.steps[0].least_time = 1_000.0;
    late.start(long);
    late.until(60, |_| false);
    assert_eq!(late.phase(), Phase::Shifting);
    late.errors[1] = 0.3;
    let took = late
        .until(120, |w| w.phase() == Phase::TakenBack)
        .expect("it is found out");
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
        let key = if n % 10 == 0 {
            bad.clone()
        } else {
            format!("k{n}")
        };
        let resolved = w.shares[0]
            .resolve(&function, None, 0, 1, &who(&key))
            .unwrap();
        let invoked = resolved.invoked.unwrap_or_else(|| panic!("{}", w.reason()));
        let outcome = if key == bad {
            AnswerOutcome::Errored
        } else {
            AnswerOutcome::Succeeded {
                took: 0.02,
                warm: true,
            }
        };
        w.shares[0].answered(&invoked, outcome, outcome == AnswerOutcome::Errored);
        if n % 100 == 0 {
            w.rate = 0;
            w.second();
        }
    }
    assert_eq!(w.phase(), Phase::Shifting, "{}", w.reason());
    let errors = w.coordinator.state().runs["misting"].whole[1].events[Gate::Errors.index()];
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
                let r = w.shares[0]
                    .resolve(&function, None, 0, 1, &who(&name))
                    .unwrap();
                &*r.version.digest == NEW
            })
            .count()
    };
    assert!(
        (50..200).contains(&on(&mut w)),
        "the step of a tenth is held"
    );
    w.errors = [0.02, 0.5];
    w.until(40, |_| false);
    assert_eq!(on(&mut w), 0, "by its own evidence it went back");
    w.reached = true;
    w.second();
    w.second();
    assert_eq!(w.phase(), Phase::TakenBack);
    let why = w.coordinator.state().runs["misting"]
        .took_back
        .clone()
        .unwrap();
    assert_eq!(why, "'errors' is worse by its own evidence");
}

#[test]
fn the_higher_term_wins_and_an_older_state_is_never_taken() {
    let mut w = World::new(1);
    w.start(plan(""));
    w.until(12, |_| false);
    let old = w.coordinator.published().clone();
    // Killed between writing and publishing: what it kept says the same under the next term.
    let kept: CoordinatorState =
        serde_json::from_slice(&serde_json::to_vec(w.coordinator.state()).unwrap()).unwrap();
    let next = Coordinator::new(kept, 1, w.now);
    assert_eq!(next.published().epoch.term, old.epoch.term + 1);
    assert_eq!(next.published().rollouts, old.rollouts);
    assert_eq!(
        next.state().runs["misting"].step,
        w.coordinator.state().runs["misting"].step
    );
    w.coordinator.heard_of(next.published().epoch);
    assert_eq!(w.coordinator.superseded(), Some(next.published().epoch));
    let turned_down = w
        .order(Command::Pause {
            name: "misting".into(),
        })
        .unwrap_err();
    assert!(turned_down.to_string().contains("has taken over"));
    let function = w.function.clone();
    let newer = next.published().clone();
    w.shares[0].adopt(w.now, newer.clone(), |_| Some(function.clone()));
    w.shares[0].adopt(
        w.now,
        Published {
            epoch: Epoch { term: 1, drawn: 0 },
            number: 999,
            ..Published::default()
        },
        |_| None,
    );
    assert_eq!(w.shares[0].published(), &newer);
}

#[test]
fn commands_that_make_no_sense_are_turned_down() {
    let mut w = World::new(1);
    let name = || "misting".to_string();
    let none = w
        .order(Command::Back {
            name: name(),
            why: String::new(),
        })
        .unwrap_err();
    assert_eq!(none.to_string(), "there is no rollout 'misting'");
    w.start(plan(""));
    let twice = Command::Start {
        plan: Box::new(plan("")),
        from: OLD.into(),
        to: NEW.into(),
    };
    assert!(
        w.order(twice.clone())
            .unwrap_err()
            .to_string()
            .contains("is on")
    );
    assert!(
        w.order(Command::Resume { name: name() })
            .unwrap_err()
            .to_string()
            .contains("not paused")
    );
    assert!(
        w.order(Command::Finish { name: name() })
            .unwrap_err()
            .to_string()
            .contains("after its last step")
    );
    w.order(Command::Pause { name: name() }).unwrap();
    let step = w.coordinator.published().rollouts["misting"].step;
    w.until(60, |_| false);
    assert_eq!(
        (
            w.phase(),
            w.coordinator.published().rollouts["misting"].step
        ),
        (Phase::Paused, step)
    );
    // While it is paused a version that is worse is taken back all the same.
    w.errors = [0.02, 0.5];
    assert!(w.until(60, |w| w.phase() == Phase::TakenBack).is_some());
    // Started again at once it is another run, with evidence of its own.
    let before = w.coordinator.published().rollouts["misting"].run;
    w.errors = [0.02; 2];
    w.order(twice).unwrap();
    assert_ne!(w.coordinator.published().rollouts["misting"].run, before);
    assert_eq!(w.coordinator.state().runs["misting"].whole[1].answers, 0);
    assert!(
        w.coordinator.state().runs["misting"].history.len() >= 5,
        "the history goes on"
    );
}

#[test]
fn what_may_move_to_the_old_version() {
    assert!(may_move(true, true) && may_move(true, false) && may_move(false, false));
    assert!(
        !may_move(false, true),
        "what may have run and is not idempotent ends where it is"
    );
}

#[test]
fn a_bad_executor_is_not_the_versions_fault() {
    let mut w = World::new(1);
    w.start(plan(""));
    w.second();
    let (old, new) = (w.function.versions[0].key, w.function.versions[1].key);
    let shares = &mut w.shares[0];
    // It breaks off: that counts a few times, and at another executor again.
    let counted = |shares: &mut TrafficSplit, executor| {
        (0..10)
            .filter(|_| shares.dispatch_failed(1.0, executor, new, true))
            .count()
    };
    assert_eq!((counted(shares, 1), counted(shares, 2)), (3, 3));
    // It answers with errors: each counts, until others are seen to fail there as well.
    assert!((0..10).all(|_| shares.dispatch_failed(1.0, 3, new, false)));
    shares.dispatch_failed(1.0, 3, 77, false);
    assert!(
        shares.dispatch_failed(1.0, 3, new, false),
        "one other may be another version's own trouble"
    );
    shares.dispatch_failed(1.0, 3, old, false);
    assert!(!shares.dispatch_failed(1.0, 3, new, false));
    assert!(
        shares.dispatch_failed(9.0, 3, new, false),
        "that was long ago"
    );
    assert!(
        !shares.dispatch_failed(9.0, 4, 77, false),
        "a function without a rollout has nothing to count"
    );
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
    w.until(14, |w| {
        w.coordinator.published().rollouts["misting"].step == 2
    });
    assert_eq!(
        w.coordinator.published().rollouts["misting"].step,
        2,
        "{}",
        w.reason()
    );
    let function = w.function.clone();
    let place = FrontEndLocation {
        index: 1,
        count: 2,
        location: 0,
        orders: false,
        keep_alive: 8.0,
    };
    let mut late = TrafficSplit::new(place, w.now);
    let mut on = |state: &Published| {
        let function = function.clone();
        late.adopt(w.now, state.clone(), |_| Some(function.clone()));
        late.tick(w.now);
        let is_new = |n: &u32| {
            let r = late
                .resolve(&function, None, 0, 1, &who(&n.to_string()))
                .unwrap();
            &*r.version.digest == NEW
        };
        (0..500).filter(is_new).collect::<Vec<u32>>()
    };
    let (first, last) = (on(&behind), on(w.coordinator.published()));
    assert!(
        (20..100).contains(&first.len()) && last.len() == 500,
        "{} {}",
        first.len(),
        last.len()
    );
    assert_eq!(on(&behind).len(), 500, "an older state is not taken again");
}

#[test]
fn a_rollout_withdrawn_before_its_first_step_gives_nobody_the_new_version() {
    let mut w = World::new(2);
    w.start(plan(""));
    w.order(Command::Back {
        name: "misting".into(),
        why: "withdrawn".into(),
    })
    .unwrap();
    w.until(5, |_| false);
    assert_eq!(
        (
            w.phase(),
            w.coordinator.state().runs["misting"].whole[1].answers
        ),
        (Phase::TakenBack, 0)
    );
}

#[test]
fn a_rare_function_holds_its_step_until_the_evidence_is_in() {
    let mut w = World::new(1);
    w.rate = 1;
    w.start(plan(""));
    w.until(200, |_| false);
    assert_eq!(w.coordinator.published().rollouts["misting"].step, 0);
    assert!(
        w.reason()
            .contains("of 50 answers of the new version are in"),
        "{}",
        w.reason()
    );
    let step = w.until(3_000, |w| {
        w.coordinator.published().rollouts["misting"].step == 1
    });
    assert!(
        step.is_some(),
        "a tenth of one a second brings 50 in the end: {}",
        w.reason()
    );
}

#[test]
fn a_hot_function_waits_for_as_many_copies_as_its_share_fills() {
    let d = deployment();
    // A tenth of 200 a second at 50 ms is one lane all the time, of the two that a copy has filled to 0.7: 1 copy;
    // half of it is 5 lanes: 4 copies.
    let plan = plan("rate: 200,");
    let mut coordinator = Coordinator::new(CoordinatorState::default(), 1, 0.0);
    let start = Command::Start {
        plan: Box::new(plan),
        from: OLD.into(),
        to: NEW.into(),
    };
    coordinator
        .command(0.0, &start, 7)
        .unwrap_or_else(|r| panic!("{r}"));
    let place = FrontEndLocation {
        index: 0,
        count: 4,
        location: 0,
        orders: true,
        keep_alive: 10.0,
    };
    let mut shares = TrafficSplit::new(place, 0.0);
    let mut wished = vec![];
    for step in 0..2 {
        let mut published = coordinator.published().clone();
        for r in published.rollouts.values_mut() {
            (r.phase, r.step, r.number) = (Phase::Shifting, step, step as u64 + 10);
        }
        published.number += step as u64 + 1;
        shares.adopt(100.0 * step as f64, published, |name| d.function(name));
        let now = 100.0 * step as f64 + 50.0;
        let given = |shares: &mut TrafficSplit| {
            shares.tick(now);
            let f = d.function("mist").unwrap();
            (0..400)
                .filter(|n| {
                    let r = shares
                        .resolve(&f, None, 0, 1, &who(&n.to_string()))
                        .unwrap();
                    r.version.digest.as_ref() == NEW
                })
                .count()
        };
        let before = given(&mut shares);
        let ahead = shares.ahead(now).into_iter().find(|a| a.is_new).unwrap();
        wished.push(ahead.copies);
        if ahead.copies > 1 {
            shares.prepared(&ahead, ahead.copies - 1, true);
            assert!(
                given(&mut shares) <= before + 20,
                "one copy less than that is not enough"
            );
        }
        shares.prepared(&ahead, ahead.copies, true);
        shares.adopt(now, coordinator.published().clone(), |name| {
            d.function(name)
        });
        assert!(given(&mut shares) > before + 20);
    }
    assert_eq!(wished, [1, 4]);
}
