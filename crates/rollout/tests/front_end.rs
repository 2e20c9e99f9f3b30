//! The part of a rollout at a front end, without sockets: evidence, local rollback, steps and prewarming.

mod kit;

use kit::{NEW, OLD, World, deployment, plan, who};
use orchidtally_rollout::coordinator::{Command, CoordinatorState};
use orchidtally_rollout::frontend::{FrontEndInfo, InvocationOutcome, may_migrate};
use orchidtally_rollout::plan::Gate;
use orchidtally_rollout::split::position;
use orchidtally_rollout::{Coordinator, Phase, PublishedState, TrafficSplit};

#[test]
fn one_customers_own_trouble_does_not_decide_where_keys_are_shared() {
    let mut world = World::new(1);
    let mut long = plan("key: 'customer',");
    long.steps[0].min_duration = 1_000.0;
    world.start(long);
    world.second();
    world.second();
    let function = world.function.clone();
    // A key that is on the new version, and errs whatever it runs; and many others that do not.
    let bad = (0..).map(|n| format!("c{n}")).find(|k| {
        let run = world.coordinator.published().rollouts["misting"].run;
        position(run, k) < 0.1
    });
    let bad = bad.unwrap();
    for n in 0..2_000 {
        let key = if n % 10 == 0 {
            bad.clone()
        } else {
            format!("k{n}")
        };
        let resolved = world.shares[0]
            .resolve(&function, None, 0, 1, &who(&key))
            .unwrap();
        let invoked = resolved
            .assignment
            .unwrap_or_else(|| panic!("{}", world.reason()));
        let outcome = if key == bad {
            InvocationOutcome::Errored
        } else {
            InvocationOutcome::Succeeded {
                latency: 0.02,
                warm: true,
            }
        };
        world.shares[0].record_outcome(&invoked, outcome, outcome == InvocationOutcome::Errored);
        if n % 100 == 0 {
            world.rate = 0;
            world.second();
        }
    }
    assert_eq!(world.phase(), Phase::Shifting, "{}", world.reason());
    let errors =
        world.coordinator.state().runs["misting"].total_counts[1].events[Gate::Errors.index()];
    assert_eq!(errors, 3, "a key counts so often in a step");
}

#[test]
fn a_front_end_by_itself_holds_the_step_and_takes_back_but_never_advances() {
    let mut world = World::new(2);
    world.start(plan(""));
    world.until(4, |_| false);
    world.reached = false;
    world.until(40, |_| false);
    let function = world.function.clone();
    let on = |world: &mut World| {
        (0..1_000)
            .filter(|n| {
                let name = format!("probe-{n}");
                let r = world.shares[0]
                    .resolve(&function, None, 0, 1, &who(&name))
                    .unwrap();
                &*r.version.digest == NEW
            })
            .count()
    };
    assert!(
        (50..200).contains(&on(&mut world)),
        "the step of a tenth is held"
    );
    world.errors = [0.02, 0.5];
    world.until(40, |_| false);
    assert_eq!(on(&mut world), 0, "by its own evidence it went back");
    world.reached = true;
    world.second();
    world.second();
    assert_eq!(world.phase(), Phase::RolledBack);
    let why = world.coordinator.state().runs["misting"]
        .local_rollback
        .clone()
        .unwrap();
    assert_eq!(why, "'errors' is worse by its own evidence");
}

#[test]
fn what_may_move_to_the_old_version() {
    assert!(may_migrate(true, true) && may_migrate(true, false) && may_migrate(false, false));
    assert!(
        !may_migrate(false, true),
        "what may have run and is not idempotent ends where it is"
    );
}

#[test]
fn a_bad_executor_is_not_the_versions_fault() {
    let mut world = World::new(1);
    world.start(plan(""));
    world.second();
    let (old, new) = (
        world.function.versions[0].key,
        world.function.versions[1].key,
    );
    let shares = &mut world.shares[0];
    // It breaks off: that counts a few times, and at another executor again.
    let counted = |shares: &mut TrafficSplit, executor| {
        (0..10)
            .filter(|_| shares.record_dispatch_failure(1.0, executor, new, true))
            .count()
    };
    assert_eq!((counted(shares, 1), counted(shares, 2)), (3, 3));
    // It answers with errors: each counts, until others are seen to fail there as well.
    assert!((0..10).all(|_| shares.record_dispatch_failure(1.0, 3, new, false)));
    shares.record_dispatch_failure(1.0, 3, 77, false);
    assert!(
        shares.record_dispatch_failure(1.0, 3, new, false),
        "one other may be another version's own trouble"
    );
    shares.record_dispatch_failure(1.0, 3, old, false);
    assert!(!shares.record_dispatch_failure(1.0, 3, new, false));
    assert!(
        shares.record_dispatch_failure(9.0, 3, new, false),
        "that was long ago"
    );
    assert!(
        !shares.record_dispatch_failure(9.0, 4, 77, false),
        "a function without a rollout has nothing to count"
    );
}

#[test]
fn a_store_that_refuses_all_blames_no_version() {
    for (others_fail, blamed) in [(true, false), (false, true)] {
        let mut world = World::new(2);
        let mut long = plan("");
        long.steps[0].min_duration = 1_000.0;
        world.start(long);
        let new = world.function.versions[1].key;
        for _ in 0..40 {
            for shares in &mut world.shares {
                shares.record_load_result(new, false, false);
                (0..4).for_each(|_| shares.record_load_result(77, !others_fail, false));
            }
            world.second();
        }
        assert_eq!(
            world.phase() == Phase::RolledBack,
            blamed,
            "{}",
            world.reason()
        );
    }
}

#[test]
fn a_front_end_two_steps_behind_goes_by_its_own_step_and_catches_up() {
    let mut world = World::new(2);
    let mut long = plan("");
    long.steps.iter_mut().for_each(|s| s.min_duration = 4.0);
    world.start(long);
    world.until(3, |_| false);
    let behind = world.coordinator.published().clone();
    world.until(14, |world| {
        world.coordinator.published().rollouts["misting"].step == 2
    });
    assert_eq!(
        world.coordinator.published().rollouts["misting"].step,
        2,
        "{}",
        world.reason()
    );
    let function = world.function.clone();
    let place = FrontEndInfo {
        index: 1,
        count: 2,
        location: 0,
        sends_load_commands: false,
        keep_alive: 8.0,
    };
    let mut late = TrafficSplit::new(place, world.now);
    let mut on = |state: &PublishedState| {
        let function = function.clone();
        late.adopt(world.now, state.clone(), |_| Some(function.clone()));
        late.tick(world.now);
        let is_new = |n: &u32| {
            let r = late
                .resolve(&function, None, 0, 1, &who(&n.to_string()))
                .unwrap();
            &*r.version.digest == NEW
        };
        (0..500).filter(is_new).collect::<Vec<u32>>()
    };
    let (first, last) = (on(&behind), on(world.coordinator.published()));
    assert!(
        (20..100).contains(&first.len()) && last.len() == 500,
        "{} {}",
        first.len(),
        last.len()
    );
    assert_eq!(on(&behind).len(), 500, "an older state is not taken again");
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
    let place = FrontEndInfo {
        index: 0,
        count: 4,
        location: 0,
        sends_load_commands: true,
        keep_alive: 10.0,
    };
    let mut shares = TrafficSplit::new(place, 0.0);
    let mut wished = vec![];
    for step in 0..2 {
        let mut published = coordinator.published().clone();
        for r in published.rollouts.values_mut() {
            (r.phase, r.step, r.revision) = (Phase::Shifting, step, step as u64 + 10);
        }
        published.revision += step as u64 + 1;
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
        let ahead = shares
            .prewarm_commands(now)
            .into_iter()
            .find(|a| a.is_new)
            .unwrap();
        wished.push(ahead.replicas);
        if ahead.replicas > 1 {
            shares.on_prewarm_result(&ahead, ahead.replicas - 1, true);
            assert!(
                given(&mut shares) <= before + 20,
                "one copy less than that is not enough"
            );
        }
        shares.on_prewarm_result(&ahead, ahead.replicas, true);
        shares.adopt(now, coordinator.published().clone(), |name| {
            d.function(name)
        });
        assert!(given(&mut shares) > before + 20);
    }
    assert_eq!(wished, [1, 4]);
}
