//! The rules of the coordinator, without sockets.

mod kit;

use kit::{NEW, OLD, Simulation, attributes, plan};
use orchidtally_rollout::coordinator::{Command, CoordinatorState};
use orchidtally_rollout::{Coordinator, Epoch, Phase, PublishedState};

#[test]
fn a_version_without_regressions_gets_all_traffic_and_its_alias_moves() {
    let mut simulation = Simulation::new(4);
    simulation.start(plan(""));
    let elapsed = simulation
        .run_until(300, |simulation| simulation.phase() == Phase::Finished)
        .unwrap_or_else(|| panic!("{}", simulation.reason()));
    assert!(
        elapsed > 15,
        "each step lasts its shortest duration: {elapsed} s"
    );
    assert_eq!(
        simulation.coordinator.published().aliases["mist"]["stable"],
        NEW
    );
    let function = simulation.function.clone();
    let resolved = simulation.traffic_splits[0]
        .resolve(&function, None, 0, 1, &attributes("x"))
        .unwrap();
    assert_eq!(
        (&*resolved.version.digest, resolved.assignment),
        (NEW, None)
    );
    let named = simulation.traffic_splits[0]
        .resolve(&function, Some(OLD), 0, 1, &attributes("x"))
        .unwrap();
    assert_eq!(&*named.version.digest, OLD, "a digest selects its version");
    assert!(
        simulation.traffic_splits[0]
            .resolve(&function, Some("nothing"), 0, 1, &attributes("x"))
            .is_none()
    );
}

#[test]
fn a_worse_version_is_rolled_back_but_not_if_both_degrade() {
    let mut worse = Simulation::new(4);
    worse.errors = [0.02, 0.3];
    worse.start(plan(""));
    let elapsed = worse
        .run_until(120, |simulation| simulation.phase() == Phase::RolledBack)
        .expect("the regression is detected");
    assert!(
        elapsed < 30 && worse.reason().contains("'errors' is worse"),
        "{elapsed}: {}",
        worse.reason()
    );
    let function = worse.function.clone();
    let after = worse.traffic_splits.iter_mut().all(|s| {
        &*s.resolve(&function, None, 0, 1, &attributes("x"))
            .unwrap()
            .version
            .digest
            == OLD
    });
    assert!(after);

    let mut slow = Simulation::new(4);
    slow.latency = [0.02, 0.04];
    slow.start(plan(""));
    assert!(
        slow.run_until(120, |simulation| simulation.phase() == Phase::RolledBack)
            .is_some(),
        "{}",
        slow.reason()
    );
    assert!(slow.reason().contains("slow"), "{}", slow.reason());

    // A regression of one trigger type, one customer or one location alone, and one in the slow tail only.
    let parts: [fn(usize, usize, usize) -> bool; 3] =
        [|t, _, _| t == 1, |_, c, _| c == 1, |_, _, fe| fe % 2 == 1];
    for only in parts {
        let mut part = Simulation::new(4);
        (part.errors, part.is_affected) = ([0.02, 0.3], only);
        part.start(plan(""));
        assert!(
            part.run_until(120, |simulation| simulation.phase() == Phase::RolledBack)
                .is_some(),
            "{}",
            part.reason()
        );
    }
    let mut tail = Simulation::new(4);
    tail.slow_fraction = 0.06;
    tail.start(plan(""));
    assert!(
        tail.run_until(120, |simulation| simulation.phase() == Phase::RolledBack)
            .is_some(),
        "{}",
        tail.reason()
    );
    assert!(
        tail.reason().contains("'slowTail'") || tail.reason().contains("'slow'"),
        "{}",
        tail.reason()
    );

    let mut both = Simulation::new(4);
    both.start(plan(""));
    both.run_until(8, |_| false);
    (both.errors, both.latency) = ([0.5; 2], [0.2; 2]);
    assert!(
        both.run_until(200, |simulation| simulation.phase() == Phase::RolledBack)
            .is_none(),
        "{}",
        both.reason()
    );

    // A regression that begins after the last step, while only the holdback is on the old version.
    let mut last = Simulation::new(4);
    let mut held = plan("");
    (held.holdback, held.old_version_retention) = (0.05, 300.0);
    last.start(held);
    assert!(
        last.run_until(100, |simulation| simulation.phase() == Phase::RetainingOld)
            .is_some(),
        "{}",
        last.reason()
    );
    last.errors[1] = 0.4;
    let elapsed = last
        .run_until(120, |simulation| simulation.phase() == Phase::RolledBack)
        .expect("the regression is detected");
    assert!(elapsed < 60, "{elapsed} s");

    // A regression that begins a minute after the start.
    let mut late = Simulation::new(4);
    let mut long = plan("");
    long.steps[0].min_duration = 1_000.0;
    late.start(long);
    late.run_until(60, |_| false);
    assert_eq!(late.phase(), Phase::Shifting);
    late.errors[1] = 0.3;
    let elapsed = late
        .run_until(120, |simulation| simulation.phase() == Phase::RolledBack)
        .expect("the regression is detected");
    assert!(elapsed < 30, "{elapsed} s");
}

#[test]
fn the_higher_term_wins_and_older_states_are_not_adopted() {
    let mut simulation = Simulation::new(1);
    simulation.start(plan(""));
    simulation.run_until(12, |_| false);
    let old = simulation.coordinator.published().clone();
    // A crash between persisting and publishing: after the restart, the same state is published under the next term.
    let persisted: CoordinatorState =
        serde_json::from_slice(&serde_json::to_vec(simulation.coordinator.state()).unwrap())
            .unwrap();
    let next = Coordinator::new(persisted, 1, simulation.now);
    assert_eq!(next.published().epoch.term, old.epoch.term + 1);
    assert_eq!(next.published().rollouts, old.rollouts);
    assert_eq!(
        next.state().runs["misting"].step_counts,
        simulation.coordinator.state().runs["misting"].step_counts
    );
    simulation.coordinator.observe_epoch(next.published().epoch);
    assert_eq!(
        simulation.coordinator.superseded(),
        Some(next.published().epoch)
    );
    let error = simulation
        .command(Command::Pause {
            name: "misting".into(),
        })
        .unwrap_err();
    assert!(error.to_string().contains("has taken over"));
    let function = simulation.function.clone();
    let newer = next.published().clone();
    simulation.traffic_splits[0].adopt(simulation.now, newer.clone(), |_| Some(function.clone()));
    simulation.traffic_splits[0].adopt(
        simulation.now,
        PublishedState {
            epoch: Epoch { term: 1, nonce: 0 },
            revision: 999,
            ..PublishedState::default()
        },
        |_| None,
    );
    assert_eq!(simulation.traffic_splits[0].published(), &newer);
}

#[test]
fn commands_that_are_not_possible_are_rejected() {
    let mut simulation = Simulation::new(1);
    let name = || "misting".to_string();
    let none = simulation
        .command(Command::RollBack {
            name: name(),
            reason: String::new(),
        })
        .unwrap_err();
    assert_eq!(none.to_string(), "there is no rollout 'misting'");
    simulation.start(plan(""));
    let twice = Command::Start {
        plan: Box::new(plan("")),
        from: OLD.into(),
        to: NEW.into(),
    };
    assert!(
        simulation
            .command(twice.clone())
            .unwrap_err()
            .to_string()
            .contains("is in progress")
    );
    assert!(
        simulation
            .command(Command::Resume { name: name() })
            .unwrap_err()
            .to_string()
            .contains("not paused")
    );
    assert!(
        simulation
            .command(Command::Finish { name: name() })
            .unwrap_err()
            .to_string()
            .contains("after its last step")
    );
    simulation.command(Command::Pause { name: name() }).unwrap();
    let step = simulation.coordinator.published().rollouts["misting"].step;
    simulation.run_until(60, |_| false);
    assert_eq!(
        (
            simulation.phase(),
            simulation.coordinator.published().rollouts["misting"].step
        ),
        (Phase::Paused, step)
    );
    // A worse version is rolled back even while the rollout is paused.
    simulation.errors = [0.02, 0.5];
    assert!(
        simulation
            .run_until(60, |simulation| simulation.phase() == Phase::RolledBack)
            .is_some()
    );
    // A restart of the rollout is another run, whose evidence starts at zero.
    let before = simulation.coordinator.published().rollouts["misting"].run;
    simulation.errors = [0.02; 2];
    simulation.command(twice).unwrap();
    assert_ne!(
        simulation.coordinator.published().rollouts["misting"].run,
        before
    );
    assert_eq!(
        simulation.coordinator.state().runs["misting"].total_counts[1].answers,
        0
    );
    assert!(
        simulation.coordinator.state().runs["misting"].history.len() >= 5,
        "the history includes the earlier run"
    );
}

#[test]
fn a_rollback_before_the_first_step_sends_no_traffic_to_the_new_version() {
    let mut simulation = Simulation::new(2);
    simulation.start(plan(""));
    simulation
        .command(Command::RollBack {
            name: "misting".into(),
            reason: "withdrawn".into(),
        })
        .unwrap();
    simulation.run_until(5, |_| false);
    assert_eq!(
        (
            simulation.phase(),
            simulation.coordinator.state().runs["misting"].total_counts[1].answers
        ),
        (Phase::RolledBack, 0)
    );
}

#[test]
fn a_rarely_invoked_function_holds_its_step_until_it_has_enough_samples() {
    let mut simulation = Simulation::new(1);
    simulation.rate = 1;
    simulation.start(plan(""));
    simulation.run_until(200, |_| false);
    assert_eq!(
        simulation.coordinator.published().rollouts["misting"].step,
        0
    );
    assert!(
        simulation
            .reason()
            .contains("of 50 answers of the new version have been recorded"),
        "{}",
        simulation.reason()
    );
    let step = simulation.run_until(3_000, |simulation| {
        simulation.coordinator.published().rollouts["misting"].step == 1
    });
    assert!(
        step.is_some(),
        "0.1 invocations a second reach 50 samples eventually: {}",
        simulation.reason()
    );
}
