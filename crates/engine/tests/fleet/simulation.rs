//! The simulation of a scenario: one clock, one stream of arrivals, all front ends and executors.

use super::host::FrontEndHost;
use super::world::{Event, Executor, Job, World};
use super::{
    CONCURRENCY, LOAD_TIME, MEAN_EXECUTION_TIME, PolicyFactory, Scenario, TRANSIT_TIME, TrueLoads,
    endpoints, executor_id, policy_config,
};
use orchidtally_dispatch_policy::interface::{
    DispatchStatus, EndpointUpdateKind, ExecutorId, ReplicaState,
};
use orchidtally_dispatch_policy::random::SeededRandom;
use orchidtally_engine::{Engine, InvocationRequest, ResponseMetadata};
use orchidtally_invariants as invariants;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

const MAX_OPEN: usize = 100_000;
const CLIENT_TIMEOUT: f64 = 6.0;
/// The time in seconds after the last arrival for which timers still run.
const DRAIN_TIME: f64 = 10.0;

struct FrontEnd {
    engine: Engine,
    host: FrontEndHost,
    /// The time for which its next timer run is scheduled; infinity if none is.
    timers_due: f64,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy_factory: &'a PolicyFactory,
    true_loads: TrueLoads,
    world: Rc<RefCell<World>>,
    arrivals: SeededRandom,
    executor_ids: Vec<ExecutorId>,
    front_ends: Vec<FrontEnd>,
    executors_replaced_at: Option<f64>,
    front_ends_restarted_at: Option<f64>,
}

/// Simulates a scenario and returns the final state with the recorded traffic.
pub fn simulate(scenario: &Scenario, policy_factory: &PolicyFactory) -> World {
    let mut simulation = Simulation::new(scenario, policy_factory);
    simulation.schedule_arrivals();
    for front_end in 0..scenario.front_ends {
        let started = simulation.start_front_end(front_end, 0);
        simulation.front_ends.push(started);
    }
    while simulation.step() {}
    let world = simulation.world.clone();
    drop(simulation);
    let mut world = Rc::into_inner(world)
        .expect("no front end is left")
        .into_inner();
    world
        .records
        .retain(|record| record.at() < scenario.duration);
    world
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy_factory: &'a PolicyFactory) -> Simulation<'a> {
        let true_loads: TrueLoads = Rc::new(RefCell::new(vec![0; scenario.executors]));
        let mut world = World {
            now: 0.0,
            next_key: 0,
            event_queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            executors: (0..scenario.executors)
                .map(|_| Executor::default())
                .collect(),
            true_loads: true_loads.clone(),
            random: SeededRandom::new(scenario.seed),
            records: vec![],
            succeeded: 0,
            within_objective: 0,
            failed: 0,
        };
        (0..scenario.executors).for_each(|executor| world.start_executor(executor));
        Simulation {
            scenario,
            policy_factory,
            true_loads,
            world: Rc::new(RefCell::new(world)),
            arrivals: SeededRandom::new(scenario.seed ^ 0x5eed),
            executor_ids: (0..scenario.executors)
                .map(|executor| executor_id(executor, 0))
                .collect(),
            front_ends: vec![],
            executors_replaced_at: scenario.executors_replaced_at,
            front_ends_restarted_at: scenario.front_ends_restarted_at,
        }
    }

    fn schedule_arrivals(&mut self) {
        let scenario = self.scenario;
        let rate = scenario.load * scenario.executors as f64 * f64::from(CONCURRENCY)
            / MEAN_EXECUTION_TIME;
        let mut at = 0.0;
        while at < scenario.duration {
            at += -(1.0 - self.arrivals.next_f64()).ln() / rate;
            // The log-uniform distribution makes a few functions popular.
            let function = (scenario.functions as f64).powf(self.arrivals.next_f64()) as u64;
            let arrival = Event::InvocationArrives(function);
            self.world.borrow_mut().schedule(at, arrival);
        }
    }

    fn start_front_end(&self, front_end: usize, incarnation: u32) -> FrontEnd {
        let config = policy_config(self.scenario.front_ends, front_end);
        let seed = self.scenario.seed.wrapping_mul(1_000_003)
            + front_end as u64 * 64
            + u64::from(incarnation);
        let mut host = FrontEndHost {
            front_end,
            incarnation,
            world: self.world.clone(),
            functions: BTreeMap::new(),
            admitting: (0, 0.0),
            executor_ids: self.executor_ids.clone(),
        };
        let now = self.world.borrow().now;
        let mut engine = match (self.policy_factory)(&config, seed, &self.true_loads) {
            Some(baseline) => Engine::with_baseline(baseline, MAX_OPEN, now),
            None => Engine::new(config, MAX_OPEN, seed, now, &mut host),
        };
        let endpoints = endpoints(&self.executor_ids);
        engine.on_endpoint_update(now, EndpointUpdateKind::Full, &endpoints, &mut host);
        FrontEnd {
            engine,
            host,
            timers_due: f64::INFINITY,
        }
    }

    /// Handles the next event; returns whether there was one.
    fn step(&mut self) -> bool {
        let (now, event) = {
            let mut world = self.world.borrow_mut();
            let Some(Reverse((at, key))) = world.event_queue.pop() else {
                return false;
            };
            world.now = at.0;
            (at.0, world.events.remove(&key))
        };
        if self
            .executors_replaced_at
            .take_if(|at| now >= *at)
            .is_some()
        {
            self.replace_executors(now);
        }
        if self
            .front_ends_restarted_at
            .take_if(|at| now >= *at)
            .is_some()
        {
            self.restart_front_ends();
        }
        if let Some(front_end) = event.and_then(|event| self.handle_event(now, event)) {
            self.schedule_timers(now, front_end);
        }
        true
    }

    /// Replaces a third of the executors by cold ones.
    fn replace_executors(&mut self, now: f64) {
        for executor in 0..self.scenario.executors / 3 {
            self.world.borrow_mut().start_executor(executor);
            self.executor_ids[executor] = executor_id(executor, 1);
        }
        let endpoints = endpoints(&self.executor_ids);
        for FrontEnd { engine, host, .. } in &mut self.front_ends {
            host.executor_ids = self.executor_ids.clone();
            engine.on_endpoint_update(now, EndpointUpdateKind::Full, &endpoints, host);
        }
    }

    /// Restarts 70 % of the front ends.
    fn restart_front_ends(&mut self) {
        for front_end in 0..self.scenario.front_ends * 7 / 10 {
            self.front_ends[front_end] = self.start_front_end(front_end, 1);
        }
    }

    /// Handles an event; returns the front end whose deadlines it may have changed.
    fn handle_event(&mut self, now: f64, event: Event) -> Option<usize> {
        match event {
            Event::InvocationArrives(function) => Some(self.admit(now, function)),
            Event::DispatchArrives { executor, job } => {
                self.dispatch_arrives(now, executor, job);
                None
            }
            Event::LoadEnds {
                executor,
                incarnation,
            } => {
                let mut world = self.world.borrow_mut();
                if world.executors[executor].incarnation == incarnation {
                    world.start_ready_jobs(executor);
                }
                None
            }
            Event::ExecutionEnds {
                executor,
                incarnation,
                job,
            } => {
                let is_current = self.world.borrow().executors[executor].incarnation == incarnation;
                if is_current {
                    self.end_execution(now, executor, job);
                }
                None
            }
            Event::ResponseArrives {
                job,
                status,
                waiting,
            } => {
                let FrontEnd { engine, host, .. } = &mut self.front_ends[job.front_end];
                if host.incarnation == job.incarnation {
                    let metadata = ResponseMetadata {
                        replica_state: job.replica_state,
                        function_concurrency: job.function_concurrency,
                        load_report: &[waiting],
                    };
                    let (invocation, dispatch) = (job.invocation, job.dispatch);
                    engine.on_dispatch_result(now, invocation, dispatch, status, metadata, host);
                }
                Some(job.front_end)
            }
            Event::TimersDue(front_end) => {
                let state = &mut self.front_ends[front_end];
                state.timers_due = f64::INFINITY;
                state.engine.run_due_timers(now, &mut state.host);
                Some(front_end)
            }
        }
    }

    /// Admits an invocation at a random front end, and returns its index.
    fn admit(&mut self, now: f64, function: u64) -> usize {
        let front_end = (self.arrivals.next_f64() * self.scenario.front_ends as f64) as usize;
        let FrontEnd { engine, host, .. } = &mut self.front_ends[front_end];
        host.admitting = (function, now);
        let request = InvocationRequest {
            trigger_type: 0,
            customer: 0,
            function,
            is_retry: false,
            is_migrated: false,
            timeout_at: now + CLIENT_TIMEOUT,
            expected_work: None,
            concurrency: f64::from(CONCURRENCY),
            load_time: Some(LOAD_TIME),
        };
        let _ = engine.admit(now, &request, host);
        front_end
    }

    fn dispatch_arrives(&mut self, now: f64, executor: usize, job: Job) {
        let mut world = self.world.borrow_mut();
        if executor < self.scenario.executors {
            world.dispatch_arrives(executor, job);
            return;
        }
        // An executor that was replaced in the meantime accepts no connection.
        let response = Event::ResponseArrives {
            job: Job {
                replica_state: ReplicaState::Unknown,
                ..job
            },
            status: DispatchStatus::ConnectFailed,
            waiting: 0.0,
        };
        world.schedule(now + TRANSIT_TIME, response);
    }

    fn end_execution(&mut self, now: f64, executor: usize, job: Job) {
        let mut world = self.world.borrow_mut();
        let state = &mut world.executors[executor];
        state
            .running
            .retain(|running| !running.is_same_dispatch(&job));
        if let Some(replica) = state.replicas.get_mut(&job.function) {
            replica.1 = now;
        }
        world.true_loads.borrow_mut()[executor] -= 1;
        world
            .records
            .push(invariants::TrafficRecord::DispatchEnded {
                at: now,
                executor,
                invocation: job.invocation_name(),
                number: job.dispatch.into(),
                outcome: invariants::DispatchOutcome::Succeeded,
            });
        world.respond(executor, &job, DispatchStatus::Ok);
        world.start_ready_jobs(executor);
    }

    /// Schedules the next timer run of a front end, unless an earlier one is scheduled already.
    fn schedule_timers(&mut self, now: f64, front_end: usize) {
        let FrontEnd {
            engine, timers_due, ..
        } = &mut self.front_ends[front_end];
        let at = engine.next_deadline();
        let is_in_simulated_time = at.is_finite() && at < self.scenario.duration + DRAIN_TIME;
        if is_in_simulated_time && (*timers_due <= now || at < *timers_due) {
            *timers_due = at;
            let timers = Event::TimersDue(front_end);
            self.world.borrow_mut().schedule(at.max(now), timers);
        }
    }
}
