//! The rules of the coordinator, without sockets.

mod kit;

use kit::{NEW, OLD, World, plan, who};
use orchidtally_rollout::coordinator::{Command, CoordinatorState};
use orchidtally_rollout::{Coordinator, Epoch, Phase, PublishedState};

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
    assert_eq!(
        (&*resolved.version.digest, resolved.assignment),
        (NEW, None)
    );
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
        .until(120, |w| w.phase() == Phase::RolledBack)
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
        slow.until(120, |w| w.phase() == Phase::RolledBack)
            .is_some(),
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
            part.until(120, |w| w.phase() == Phase::RolledBack)
                .is_some(),
            "{}",
            part.reason()
        );
    }
    let mut tail = World::new(4);
    tail.tail = 0.06;
    tail.start(plan(""));
    assert!(
        tail.until(120, |w| w.phase() == Phase::RolledBack)
            .is_some(),
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
        both.until(200, |w| w.phase() == Phase::RolledBack)
            .is_none(),
        "{}",
        both.reason()
    );

    // Good until everyone but what is held back is on it.
    let mut last = World::new(4);
    let mut held = plan("");
    (held.holdback, held.old_version_retention) = (0.05, 300.0);
    last.start(held);
    assert!(
        last.until(100, |w| w.phase() == Phase::RetainingOld)
            .is_some(),
        "{}",
        last.reason()
    );
    last.errors[1] = 0.4;
    let took = last
        .until(120, |w| w.phase() == Phase::RolledBack)
        .expect("it is found out");
    assert!(took < 60, "{took} s");

    // Good for a minute, then it is not.
    let mut late = World::new(4);
    let mut long = plan("");
    long.steps[0].min_duration = 1_000.0;
    late.start(long);
    late.until(60, |_| false);
    assert_eq!(late.phase(), Phase::Shifting);
    late.errors[1] = 0.3;
    let took = late
        .until(120, |w| w.phase() == Phase::RolledBack)
        .expect("it is found out");
    assert!(took < 30, "{took} s");
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
        next.state().runs["misting"].step_counts,
        w.coordinator.state().runs["misting"].step_counts
    );
    w.coordinator.observe_epoch(next.published().epoch);
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
        PublishedState {
            epoch: Epoch { term: 1, nonce: 0 },
            revision: 999,
            ..PublishedState::default()
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
        .order(Command::RollBack {
            name: name(),
            reason: String::new(),
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
            .contains("is in progress")
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
    assert!(w.until(60, |w| w.phase() == Phase::RolledBack).is_some());
    // Started again at once it is another run, with evidence of its own.
    let before = w.coordinator.published().rollouts["misting"].run;
    w.errors = [0.02; 2];
    w.order(twice).unwrap();
    assert_ne!(w.coordinator.published().rollouts["misting"].run, before);
    assert_eq!(
        w.coordinator.state().runs["misting"].total_counts[1].answers,
        0
    );
    assert!(
        w.coordinator.state().runs["misting"].history.len() >= 5,
        "the history goes on"
    );
}

#[test]
fn a_rollout_withdrawn_before_its_first_step_gives_nobody_the_new_version() {
    let mut w = World::new(2);
    w.start(plan(""));
    w.order(Command::RollBack {
        name: "misting".into(),
        reason: "withdrawn".into(),
    })
    .unwrap();
    w.until(5, |_| false);
    assert_eq!(
        (
            w.phase(),
            w.coordinator.state().runs["misting"].total_counts[1].answers
        ),
        (Phase::RolledBack, 0)
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
            .contains("of 50 answers of the new version have been recorded"),
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
