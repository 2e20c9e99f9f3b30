//! Large fleets: many front ends, functions and executors with little traffic each.

mod reference_model;

use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_dispatch_policy::random::SeededRandom;
use reference_model::policy;
use std::collections::HashMap;

/// Records dispatches, the number of rejections and errors, and the timer.
#[derive(Default)]
struct Recorder {
    now: f64,
    /// Invocation and executor.
    dispatches: Vec<(u32, ExecutorId)>,
    unserved: u32,
    timer_at: f64,
}

impl Actions for Recorder {
    fn dispatch(&mut self, invocation: u32, executor: ExecutorId, _: f64) {
        self.dispatches.push((invocation, executor));
    }
    fn reject(&mut self, _: u32, _: f64, _: bool) {
        self.unserved += 1;
    }
    fn fail(&mut self, _: u32) {
        self.unserved += 1;
    }
    fn cancel(&mut self, _: u32, _: u8) {}
    fn load(&mut self, _: ExecutorId, _: u64, _: u8) {}
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn set_timer(&mut self, delay: f64, _: u64) {
        self.timer_at = self.now + delay;
    }
    fn subscribe_to_endpoints(&mut self) {}
}

/// Returns the largest sizes of the tables of executors, functions and invocations while each round uses new
/// executors, functions and invocations.
fn max_table_sizes(rounds: u32, executors: u32, invocations: u32, step: f64) -> [usize; 3] {
    let mut recorder = Recorder::default();
    let mut dispatcher = Dispatcher::new(
        PolicyConfig {
            allows_load_commands: false,
            ..policy()
        },
        7,
        100.0,
        &mut recorder,
    );
    let mut largest = [0; 3];
    for round in 0..rounds {
        let now = 100.0 + step * f64::from(round);
        let address = |n| ExecutorId(std::net::Ipv4Addr::from(0x0b00_0000 + n).into(), 7000);
        let endpoint = |n| Endpoint {
            executor: address(executors * round + n),
            ..reference_model::endpoint(0)
        };
        let endpoints: Vec<Endpoint> = (0..executors).map(endpoint).collect();
        dispatcher.on_endpoint_update(now, EndpointUpdateKind::Full, &endpoints, &mut recorder);
        for id in invocations * round..invocations * (round + 1) {
            let invocation = Invocation {
                id,
                function: u64::from(id),
                ..reference_model::invocation(now + 1.0)
            };
            dispatcher.on_invocation(now, &invocation, &mut recorder);
        }
        for (invocation, executor) in std::mem::take(&mut recorder.dispatches) {
            dispatcher.on_dispatch_result(
                now,
                &DispatchResult {
                    invocation,
                    executor,
                    ..reference_model::successful_result()
                },
                &mut recorder,
            );
        }
        (1..=20)
            .for_each(|n| dispatcher.on_timer(now + f64::from(n) / 20.0 * step, 0, &mut recorder));
        let sizes = dispatcher.table_sizes();
        (0..3).for_each(|n| {
            largest[n] = largest[n].max([sizes.executors, sizes.functions, sizes.invocations][n])
        });
    }
    largest
}

#[test]
fn table_sizes_stay_bounded_with_new_identifiers() {
    let all = max_table_sizes(1_000, 100, 100, 2.0);
    // Entries are kept for two minutes, and functions for up to 64 further sweeps, here one per round. 100,000 of each
    // were added.
    assert!(
        (6_000..=6_300).contains(&all[0]) && all[1] <= 13_000 && (50..=200).contains(&all[2]),
        "{all:?}"
    );
    // 950 new functions per second for two minutes would take 40 MB or more, so unused functions are removed earlier.
    let many = max_table_sizes(1_200, 10, 95, 0.1)[1];
    assert!((16_384..=30_000).contains(&many), "{many} of 114,000");
}

/// An invocation of a front end in an idle fleet.
struct Accepted {
    function: u64,
    arrived_at: f64,
    dispatches: u8,
}

/// A front end of an idle fleet.
struct FrontEnd {
    dispatcher: Dispatcher,
    recorder: Recorder,
    /// By identifier.
    accepted: Vec<Accepted>,
}

/// A result that is delivered at `due_at`.
struct PendingResult {
    due_at: f64,
    front_end: usize,
    invocation: u32,
    dispatch: u8,
    executor: ExecutorId,
    latency: f64,
    replica_state: ReplicaState,
}

/// Executors that answer every dispatch, and the front ends that share them.
struct IdleFleet {
    now: f64,
    front_ends: Vec<FrontEnd>,
    random: SeededRandom,
    /// When the replica of each function at an executor is loaded.
    loaded_at: HashMap<(ExecutorId, u64), f64>,
    pending: Vec<PendingResult>,
    /// Number of invocations after the first ten seconds that were answered within the objective.
    in_time: u32,
}

impl IdleFleet {
    const EXECUTORS: usize = 36;
    const FUNCTIONS: f64 = 20.0;
    const LOAD_TIME: f64 = 1.0;
    const SERVICE_TIME: f64 = 0.25;
    const START: f64 = 100.0;
    const COUNTED_FROM: f64 = 110.0;

    fn new(front_ends: u32) -> IdleFleet {
        let endpoints: Vec<Endpoint> = (0..Self::EXECUTORS)
            .map(reference_model::endpoint)
            .collect();
        let front_end = |index: u32| {
            let config = PolicyConfig {
                front_ends: front_ends.into(),
                front_end_index: index.into(),
                allows_load_commands: false,
                ..policy()
            };
            let mut recorder = Recorder {
                now: Self::START,
                ..Recorder::default()
            };
            let mut dispatcher = Dispatcher::new(config, index.into(), Self::START, &mut recorder);
            dispatcher.on_endpoint_update(
                Self::START,
                EndpointUpdateKind::Full,
                &endpoints,
                &mut recorder,
            );
            FrontEnd {
                dispatcher,
                recorder,
                accepted: vec![],
            }
        };
        IdleFleet {
            now: Self::START,
            front_ends: (0..front_ends).map(front_end).collect(),
            random: SeededRandom::new(5),
            loaded_at: HashMap::new(),
            pending: vec![],
            in_time: 0,
        }
    }

    /// Invokes a function at a front end. Both are drawn with a probability inversely proportional to their rank.
    fn invoke(&mut self) {
        let count = self.front_ends.len();
        let front_end = ((count as f64).powf(self.random.next_f64()) as usize - 1).min(count - 1);
        let function = Self::FUNCTIONS.powf(self.random.next_f64()) as u64;
        let FrontEnd {
            dispatcher,
            recorder,
            accepted,
        } = &mut self.front_ends[front_end];
        let invocation = Invocation {
            id: accepted.len() as u32,
            function,
            load_time: Some(Self::LOAD_TIME),
            ..reference_model::invocation(self.now + 5.0)
        };
        accepted.push(Accepted {
            function,
            arrived_at: self.now,
            dispatches: 0,
        });
        recorder.now = self.now;
        dispatcher.on_invocation(self.now, &invocation, recorder);
        self.run_dispatches(front_end);
    }

    /// Delivers the results that are due.
    fn deliver_due_results(&mut self) {
        let due: Vec<PendingResult> = self
            .pending
            .extract_if(.., |result| result.due_at <= self.now)
            .collect();
        let mut changed = vec![];
        for result in due {
            let FrontEnd {
                dispatcher,
                recorder,
                accepted,
            } = &mut self.front_ends[result.front_end];
            recorder.now = self.now;
            let dispatch_result = DispatchResult {
                invocation: result.invocation,
                dispatch: result.dispatch,
                executor: result.executor,
                duration: result.latency,
                replica_state: result.replica_state,
                ..reference_model::successful_result()
            };
            dispatcher.on_dispatch_result(self.now, &dispatch_result, recorder);
            let arrived_at = accepted[result.invocation as usize].arrived_at;
            let is_in_time = arrived_at >= Self::COUNTED_FROM && self.now - arrived_at <= 1.0;
            self.in_time += u32::from(is_in_time);
            changed.push(result.front_end);
        }
        for front_end in changed {
            self.run_dispatches(front_end);
        }
    }

    /// Fires the timers that are due.
    fn fire_timers(&mut self) {
        for front_end in 0..self.front_ends.len() {
            let FrontEnd {
                dispatcher,
                recorder,
                ..
            } = &mut self.front_ends[front_end];
            if recorder.timer_at > 0.0 && recorder.timer_at <= self.now {
                recorder.now = self.now;
                recorder.timer_at = 0.0;
                dispatcher.on_timer(self.now, 0, recorder);
                self.run_dispatches(front_end);
            }
        }
    }

    /// Schedules the results of a front end's new dispatches.
    fn run_dispatches(&mut self, front_end: usize) {
        let FrontEnd {
            recorder, accepted, ..
        } = &mut self.front_ends[front_end];
        for (invocation, executor) in std::mem::take(&mut recorder.dispatches) {
            let accepted = &mut accepted[invocation as usize];
            let new_load = self.now + Self::LOAD_TIME;
            let loaded_at = *self
                .loaded_at
                .entry((executor, accepted.function))
                .or_insert(new_load);
            let replica_state = if loaded_at <= self.now {
                ReplicaState::Warm
            } else if loaded_at == new_load {
                ReplicaState::ColdStart
            } else {
                ReplicaState::JoinedLoad
            };
            let latency = (loaded_at - self.now).max(0.0) + Self::SERVICE_TIME;
            self.pending.push(PendingResult {
                due_at: self.now + latency,
                front_end,
                invocation,
                dispatch: accepted.dispatches,
                executor,
                latency,
                replica_state,
            });
            accepted.dispatches += 1;
        }
    }
}

/// Runs an idle fleet under 60 invocations per second in total, distributed unevenly over the front ends. Returns the
/// fraction answered within the objective after the first ten seconds, and the number of loads.
fn run_idle_fleet(front_ends: u32) -> (f64, usize) {
    let mut fleet = IdleFleet::new(front_ends);
    let mut accepted = 0;
    for step in 0..4_000 {
        fleet.now = IdleFleet::START + f64::from(step) * 0.01;
        if step % 5 < 3 {
            fleet.invoke();
            accepted += u32::from(step >= 1_000);
        }
        fleet.deliver_due_results();
        fleet.fire_timers();
    }
    // The 15 invocations of the last quarter of a second have not been answered yet.
    let served = f64::from(fleet.in_time) / f64::from(accepted - 15);
    (served, fleet.loaded_at.len())
}

#[test]
fn idle_fleet_serves_sparse_and_uneven_traffic_of_many_front_ends() {
    for front_ends in [1, 30, 350] {
        let (served, loads) = run_idle_fleet(front_ends);
        assert!(served > 0.95, "{served} served at {front_ends} front ends");
        assert!(
            loads <= 140,
            "{loads} loads of 20 functions at {front_ends} front ends"
        );
    }
}
