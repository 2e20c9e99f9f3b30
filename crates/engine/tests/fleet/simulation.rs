//! The simulation of a scenario: one clock, one stream of arrivals, all front ends and executors.

use super::host::FrontEndHost;
use super::world::{Event, Executor, Job, World};
use super::{
    CONCURRENCY, LOAD_TIME, PolicyFactory, Scenario, TRANSIT, TrueLoads, WORK, endpoints, id,
    policy,
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
/// Timers later than this after the last arrival are not played.
const DRAIN_TIME: f64 = 10.0;

struct FrontEnd {
    engine: Engine,
    host: FrontEndHost,
    /// When its timers are next run; infinity if that is not scheduled.
    timers_due: f64,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy_factory: &'a PolicyFactory,
    true_loads: TrueLoads,
    world: Rc<RefCell<World>>,
    arrivals: SeededRandom,
    ids: Vec<ExecutorId>,
    front_ends: Vec<FrontEnd>,
    replaced_at: Option<f64>,
    restarted_at: Option<f64>,
}

/// Simulates a scenario and returns what the world saw.
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
    world.records.retain(|record| record.at() < scenario.length);
    world
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy_factory: &'a PolicyFactory) -> Simulation<'a> {
        let true_loads: TrueLoads = Rc::new(RefCell::new(vec![0; scenario.executors]));
        let mut world = World {
            now: 0.0,
            next: 0,
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            executors: (0..scenario.executors)
                .map(|_| Executor::default())
                .collect(),
            true_loads: true_loads.clone(),
            random: SeededRandom::new(scenario.seed),
            records: vec![],
            succeeded: 0,
            in_time: 0,
            failed: 0,
        };
        (0..scenario.executors).for_each(|executor| world.start_executor(executor));
        Simulation {
            scenario,
            policy_factory,
            true_loads,
            world: Rc::new(RefCell::new(world)),
            arrivals: SeededRandom::new(scenario.seed ^ 0x5eed),
            ids: (0..scenario.executors)
                .map(|executor| id(executor, 0))
                .collect(),
            front_ends: vec![],
            replaced_at: scenario.replaced_at,
            restarted_at: scenario.restarted_at,
        }
    }

    fn schedule_arrivals(&mut self) {
        let scenario = self.scenario;
        let rate = scenario.load * scenario.executors as f64 * f64::from(CONCURRENCY) / WORK;
        let mut at = 0.0;
        while at < scenario.length {
            at += -(1.0 - self.arrivals.next_f64()).ln() / rate;
            // A few functions are invoked often.
            let function = (scenario.functions as f64).powf(self.arrivals.next_f64()) as u64;
            let arrival = Event::InvocationArrives(function);
            self.world.borrow_mut().at(at, arrival);
        }
    }

    fn start_front_end(&self, front_end: usize, incarnation: u32) -> FrontEnd {
        let policy = policy(self.scenario.front_ends, front_end);
        let seed = self.scenario.seed.wrapping_mul(1_000_003)
            + front_end as u64 * 64
            + u64::from(incarnation);
        let mut host = FrontEndHost {
            front_end,
            incarnation,
            world: self.world.clone(),
            functions: BTreeMap::new(),
            admitting: (0, 0.0),
            ids: self.ids.clone(),
        };
        let now = self.world.borrow().now;
        let mut engine = match (self.policy_factory)(&policy, seed, &self.true_loads) {
            Some(baseline) => Engine::with_baseline(baseline, MAX_OPEN, now),
            None => Engine::new(policy, MAX_OPEN, seed, now, &mut host),
        };
        let endpoints = endpoints(&self.ids);
        engine.on_endpoint_update(now, EndpointUpdateKind::Full, &endpoints, &mut host);
        FrontEnd {
            engine,
            host,
            timers_due: f64::INFINITY,
        }
    }

    /// Plays the next event; returns whether there was one.
    fn step(&mut self) -> bool {
        let (now, event) = {
            let mut world = self.world.borrow_mut();
            let Some(Reverse((at, key))) = world.due.pop() else {
                return false;
            };
            world.now = at.0;
            (at.0, world.events.remove(&key))
        };
        if self.replaced_at.take_if(|at| now >= *at).is_some() {
            self.replace_executors(now);
        }
        if self.restarted_at.take_if(|at| now >= *at).is_some() {
            self.restart_front_ends();
        }
        if let Some(front_end) = event.and_then(|event| self.play(now, event)) {
            self.schedule_timers(now, front_end);
        }
        true
    }

    /// A third of the executors are replaced by cold ones.
    fn replace_executors(&mut self, now: f64) {
        for executor in 0..self.scenario.executors / 3 {
            self.world.borrow_mut().start_executor(executor);
            self.ids[executor] = id(executor, 1);
        }
        let endpoints = endpoints(&self.ids);
        for FrontEnd { engine, host, .. } in &mut self.front_ends {
            host.ids = self.ids.clone();
            engine.on_endpoint_update(now, EndpointUpdateKind::Full, &endpoints, host);
        }
    }

    /// Seven in ten front ends start over.
    fn restart_front_ends(&mut self) {
        for front_end in 0..self.scenario.front_ends * 7 / 10 {
            self.front_ends[front_end] = self.start_front_end(front_end, 1);
        }
    }

    /// Plays an event; returns the front end whose deadlines it may have changed.
    fn play(&mut self, now: f64, event: Event) -> Option<usize> {
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
                    world.start_waiting(executor);
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
                let due = &mut self.front_ends[front_end];
                due.timers_due = f64::INFINITY;
                due.engine.run_due_timers(now, &mut due.host);
                Some(front_end)
            }
        }
    }

    /// An invocation arrives at a front end drawn at random.
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
        // One that was replaced meanwhile accepts no connection.
        let response = Event::ResponseArrives {
            job: Job {
                replica_state: ReplicaState::Unknown,
                ..job
            },
            status: DispatchStatus::ConnectFailed,
            waiting: 0.0,
        };
        world.at(now + TRANSIT, response);
    }

    fn end_execution(&mut self, now: f64, executor: usize, job: Job) {
        let mut world = self.world.borrow_mut();
        let record = &mut world.executors[executor];
        record.running.retain(|running| !running.is_same(&job));
        if let Some(copy) = record.copies.get_mut(&job.function) {
            copy.1 = now;
        }
        world.true_loads.borrow_mut()[executor] -= 1;
        world
            .records
            .push(invariants::TrafficRecord::DispatchEnded {
                at: now,
                executor,
                invocation: job.name(),
                number: job.dispatch.into(),
                outcome: invariants::DispatchOutcome::Succeeded,
            });
        world.respond(executor, &job, DispatchStatus::Ok);
        world.start_waiting(executor);
    }

    /// Schedules the front end's timers, unless that is done for an earlier moment.
    fn schedule_timers(&mut self, now: f64, front_end: usize) {
        let FrontEnd {
            engine, timers_due, ..
        } = &mut self.front_ends[front_end];
        let at = engine.next_deadline();
        let is_played = at.is_finite() && at < self.scenario.length + DRAIN_TIME;
        if is_played && (*timers_due <= now || at < *timers_due) {
            *timers_due = at;
            let timers = Event::TimersDue(front_end);
            self.world.borrow_mut().at(at.max(now), timers);
        }
    }
}
