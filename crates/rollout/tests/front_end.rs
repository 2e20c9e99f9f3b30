//! Rollouts at a front end, without sockets: evidence, local rollback, steps and prewarming.

mod kit;

use kit::{NEW, OLD, Simulation, attributes, deployment, plan};
use orchidtally_rollout::coordinator::{Command, CoordinatorState};
use orchidtally_rollout::frontend::{FrontEndInfo, InvocationOutcome, may_migrate};
use orchidtally_rollout::plan::Gate;
use orchidtally_rollout::split::position;
use orchidtally_rollout::{Coordinator, Phase, PublishedState, TrafficSplit};

#[test]
fn errors_of_a_single_shared_key_do_not_roll_back() {
    let mut simulation = Simulation::new(1);
    let mut long = plan("key: 'customer',");
    long.steps[0].min_duration = 1_000.0;
    simulation.start(long);
    simulation.run_second();
    simulation.run_second();
    let function = simulation.function.clone();
    // One key on the new version fails on every invocation; many other keys never fail.
    let failing_key = (0..).map(|n| format!("c{n}")).find(|k| {
        let run = simulation.coordinator.published().rollouts["misting"].run;
        position(run, k) < 0.1
    });
    let failing_key = failing_key.unwrap();
    for n in 0..2_000 {
        let key = if n % 10 == 0 {
            failing_key.clone()
        } else {
            format!("k{n}")
        };
        let resolved = simulation.traffic_splits[0]
            .resolve(&function, None, 0, 1, &attributes(&key))
            .unwrap();
        let assignment = resolved
            .assignment
            .unwrap_or_else(|| panic!("{}", simulation.reason()));
        let outcome = if key == failing_key {
            InvocationOutcome::Errored
        } else {
            InvocationOutcome::Succeeded {
                latency: 0.02,
                warm: true,
            }
        };
        simulation.traffic_splits[0].record_outcome(
            &assignment,
            outcome,
            outcome == InvocationOutcome::Errored,
        );
        if n % 100 == 0 {
            simulation.rate = 0;
            simulation.run_second();
        }
    }
    assert_eq!(
        simulation.phase(),
        Phase::Shifting,
        "{}",
        simulation.reason()
    );
    let errors =
        simulation.coordinator.state().runs["misting"].total_counts[1].events[Gate::Errors.index()];
    assert_eq!(
        errors, 3,
        "events of one key count at most 3 times in a step"
    );
}

#[test]
fn an_isolated_front_end_holds_the_step_or_rolls_back_but_never_advances() {
    let mut simulation = Simulation::new(2);
    simulation.start(plan(""));
    simulation.run_until(4, |_| false);
    simulation.coordinator_reachable = false;
    simulation.run_until(40, |_| false);
    let function = simulation.function.clone();
    let new_version_count = |simulation: &mut Simulation| {
        (0..1_000)
            .filter(|n| {
                let name = format!("probe-{n}");
                let r = simulation.traffic_splits[0]
                    .resolve(&function, None, 0, 1, &attributes(&name))
                    .unwrap();
                &*r.version.digest == NEW
            })
            .count()
    };
    assert!(
        (50..200).contains(&new_version_count(&mut simulation)),
        "the step with a share of 0.1 is held"
    );
    simulation.errors = [0.02, 0.5];
    simulation.run_until(40, |_| false);
    assert_eq!(
        new_version_count(&mut simulation),
        0,
        "the front end rolls back by its own evidence"
    );
    simulation.coordinator_reachable = true;
    simulation.run_second();
    simulation.run_second();
    assert_eq!(simulation.phase(), Phase::RolledBack);
    let reason = simulation.coordinator.state().runs["misting"]
        .local_rollback
        .clone()
        .unwrap();
    assert_eq!(reason, "'errors' is worse by its own evidence");
}

#[test]
fn invocations_that_may_migrate_to_the_old_version() {
    assert!(may_migrate(true, true) && may_migrate(true, false) && may_migrate(false, false));
    assert!(
        !may_migrate(false, true),
        "a non-idempotent invocation that may have run does not migrate"
    );
}

#[test]
fn failures_of_a_faulty_executor_do_not_count_against_a_version() {
    let mut simulation = Simulation::new(1);
    simulation.start(plan(""));
    simulation.run_second();
    let (old, new) = (
        simulation.function.versions[0].key,
        simulation.function.versions[1].key,
    );
    let traffic_split = &mut simulation.traffic_splits[0];
    // Resets count up to 3 times for each executor.
    let counted = |traffic_split: &mut TrafficSplit, executor| {
        (0..10)
            .filter(|_| traffic_split.record_dispatch_failure(1.0, executor, new, true))
            .count()
    };
    assert_eq!(
        (counted(traffic_split, 1), counted(traffic_split, 2)),
        (3, 3)
    );
    // Error answers all count, until two failures of other versions are recorded at the executor.
    assert!((0..10).all(|_| traffic_split.record_dispatch_failure(1.0, 3, new, false)));
    traffic_split.record_dispatch_failure(1.0, 3, 77, false);
    assert!(
        traffic_split.record_dispatch_failure(1.0, 3, new, false),
        "a single failure of another version does not indicate a faulty executor"
    );
    traffic_split.record_dispatch_failure(1.0, 3, old, false);
    assert!(!traffic_split.record_dispatch_failure(1.0, 3, new, false));
    assert!(
        traffic_split.record_dispatch_failure(9.0, 3, new, false),
        "earlier failures have expired"
    );
    assert!(
        !traffic_split.record_dispatch_failure(9.0, 4, 77, false),
        "failures of a function without a rollout do not count"
    );
}

#[test]
fn load_failures_of_all_versions_do_not_roll_back() {
    for (others_fail, rolls_back) in [(true, false), (false, true)] {
        let mut simulation = Simulation::new(2);
        let mut long = plan("");
        long.steps[0].min_duration = 1_000.0;
        simulation.start(long);
        let new = simulation.function.versions[1].key;
        for _ in 0..40 {
            for traffic_split in &mut simulation.traffic_splits {
                traffic_split.record_load_result(new, false, false);
                (0..4).for_each(|_| traffic_split.record_load_result(77, !others_fail, false));
            }
            simulation.run_second();
        }
        assert_eq!(
            simulation.phase() == Phase::RolledBack,
            rolls_back,
            "{}",
            simulation.reason()
        );
    }
}

#[test]
fn a_front_end_two_steps_behind_applies_its_known_step_and_catches_up() {
    let mut simulation = Simulation::new(2);
    let mut long = plan("");
    long.steps.iter_mut().for_each(|s| s.min_duration = 4.0);
    simulation.start(long);
    simulation.run_until(3, |_| false);
    let behind = simulation.coordinator.published().clone();
    simulation.run_until(14, |simulation| {
        simulation.coordinator.published().rollouts["misting"].step == 2
    });
    assert_eq!(
        simulation.coordinator.published().rollouts["misting"].step,
        2,
        "{}",
        simulation.reason()
    );
    let function = simulation.function.clone();
    let info = FrontEndInfo {
        index: 1,
        count: 2,
        location: 0,
        sends_load_commands: false,
        keep_alive: 8.0,
    };
    let mut late = TrafficSplit::new(info, simulation.now);
    let mut new_version_keys = |state: &PublishedState| {
        let function = function.clone();
        late.adopt(simulation.now, state.clone(), |_| Some(function.clone()));
        late.tick(simulation.now);
        let is_new = |n: &u32| {
            let r = late
                .resolve(&function, None, 0, 1, &attributes(&n.to_string()))
                .unwrap();
            &*r.version.digest == NEW
        };
        (0..500).filter(is_new).collect::<Vec<u32>>()
    };
    let (first, last) = (
        new_version_keys(&behind),
        new_version_keys(simulation.coordinator.published()),
    );
    assert!(
        (20..100).contains(&first.len()) && last.len() == 500,
        "{} {}",
        first.len(),
        last.len()
    );
    assert_eq!(
        new_version_keys(&behind).len(),
        500,
        "an older state is not adopted"
    );
}

#[test]
fn a_hot_function_waits_for_the_replicas_that_its_share_needs() {
    let d = deployment();
    // A share of 0.1 of 200 invocations a second at 50 ms occupies one lane, and a replica has two lanes with a planned
    // utilization of 0.7: 1 replica. A share of 0.5 occupies 5 lanes: 4 replicas.
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
    let info = FrontEndInfo {
        index: 0,
        count: 4,
        location: 0,
        sends_load_commands: true,
        keep_alive: 10.0,
    };
    let mut traffic_split = TrafficSplit::new(info, 0.0);
    let mut requested = vec![];
    for step in 0..2 {
        let mut published = coordinator.published().clone();
        for r in published.rollouts.values_mut() {
            (r.phase, r.step, r.revision) = (Phase::Shifting, step, step as u64 + 10);
        }
        published.revision += step as u64 + 1;
        traffic_split.adopt(100.0 * step as f64, published, |name| d.function(name));
        let now = 100.0 * step as f64 + 50.0;
        let new_version_count = |traffic_split: &mut TrafficSplit| {
            traffic_split.tick(now);
            let f = d.function("mist").unwrap();
            (0..400)
                .filter(|n| {
                    let r = traffic_split
                        .resolve(&f, None, 0, 1, &attributes(&n.to_string()))
                        .unwrap();
                    r.version.digest.as_ref() == NEW
                })
                .count()
        };
        let before = new_version_count(&mut traffic_split);
        let command = traffic_split
            .prewarm_commands(now)
            .into_iter()
            .find(|a| a.is_new)
            .unwrap();
        requested.push(command.replicas);
        if command.replicas > 1 {
            traffic_split.on_prewarm_result(&command, command.replicas - 1, true);
            assert!(
                new_version_count(&mut traffic_split) <= before + 20,
                "one replica less is not enough"
            );
        }
        traffic_split.on_prewarm_result(&command, command.replicas, true);
        traffic_split.adopt(now, coordinator.published().clone(), |name| {
            d.function(name)
        });
        assert!(new_version_count(&mut traffic_split) > before + 20);
    }
    assert_eq!(requested, [1, 4]);
}
