//! The executors in simulated time, and the event queue.

use super::{
    CONCURRENCY, KEEP_ALIVE, LOAD_TIME, MEAN_EXECUTION_TIME, QUEUE_LIMIT, TRANSIT_TIME, TrueLoads,
};
use orchidtally_dispatch_policy::interface::{DispatchStatus, ReplicaState};
use orchidtally_dispatch_policy::random::SeededRandom;
use orchidtally_dispatch_policy::state::Ordered;
use orchidtally_invariants as invariants;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

pub enum Event {
    InvocationArrives(u64),
    DispatchArrives {
        executor: usize,
        job: Job,
    },
    LoadEnds {
        executor: usize,
        incarnation: u32,
    },
    ExecutionEnds {
        executor: usize,
        incarnation: u32,
        job: Job,
    },
    ResponseArrives {
        job: Job,
        status: DispatchStatus,
        /// The number of waiting invocations that the executor reports.
        waiting: f32,
    },
    TimersDue(usize),
}

/// A dispatch at an executor.
#[derive(Clone, Copy)]
pub struct Job {
    pub front_end: usize,
    pub incarnation: u32,
    pub invocation: u32,
    pub dispatch: u8,
    pub function: u64,
    pub replica_state: ReplicaState,
    pub function_concurrency: u32,
}

impl Job {
    /// The invocation's identifier in the records.
    pub fn invocation_name(&self) -> String {
        format!("{}-{}", self.front_end, self.invocation)
    }

    /// Whether both values represent the same dispatch.
    pub fn is_same_dispatch(&self, other: &Job) -> bool {
        (self.front_end, self.invocation, self.dispatch)
            == (other.front_end, other.invocation, other.dispatch)
    }
}

#[derive(Default)]
pub struct Executor {
    pub incarnation: u32,
    pub running: Vec<Job>,
    pub waiting: VecDeque<Job>,
    /// By function, the time at which the replica is loaded and the time of its last use.
    pub replicas: BTreeMap<u64, (f64, f64)>,
}

/// The state of the simulated fleet.
pub struct World {
    pub now: f64,
    pub next_key: u64,
    pub event_queue: BinaryHeap<Reverse<(Ordered, u64)>>,
    pub events: BTreeMap<u64, Event>,
    pub executors: Vec<Executor>,
    pub true_loads: TrueLoads,
    pub random: SeededRandom,
    pub records: Vec<invariants::TrafficRecord>,
    pub succeeded: u64,
    pub within_objective: u64,
    pub failed: u64,
}

impl World {
    pub fn schedule(&mut self, at: f64, event: Event) {
        self.next_key += 1;
        self.event_queue.push(Reverse((Ordered(at), self.next_key)));
        self.events.insert(self.next_key, event);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.random.next_f64()).ln() * mean
    }

    /// Starts a new, cold incarnation of an executor. The dispatches of the previous incarnation end with a reset.
    pub fn start_executor(&mut self, executor: usize) {
        let aborted: Vec<Job> = self.executors[executor]
            .waiting
            .iter()
            .chain(&self.executors[executor].running)
            .copied()
            .collect();
        aborted
            .iter()
            .for_each(|job| self.respond(executor, job, DispatchStatus::Reset));
        let incarnation = self.executors[executor].incarnation + 1;
        self.executors[executor] = Executor {
            incarnation,
            ..Executor::default()
        };
        self.true_loads.borrow_mut()[executor] = 0;
        self.records.push(invariants::TrafficRecord::ExecutorReady {
            at: self.now,
            executor,
            concurrency: CONCURRENCY,
        });
    }

    pub fn dispatch_arrives(&mut self, executor: usize, job: Job) {
        let (at, now) = (self.now, self.now);
        let state = &self.executors[executor];
        if state.waiting.len() >= QUEUE_LIMIT {
            return self.respond(executor, &job, DispatchStatus::Full);
        }
        self.records
            .push(invariants::TrafficRecord::DispatchArrived {
                at,
                executor,
                front_end: job.front_end as u32,
                incarnation: job.incarnation.into(),
                invocation: job.invocation_name(),
                number: job.dispatch.into(),
                idempotency_key: String::new(),
                trigger_type: "look".into(),
            });
        self.true_loads.borrow_mut()[executor] += 1;
        let state = &mut self.executors[executor];
        let present = state.waiting.iter().chain(&state.running);
        let function_concurrency = present
            .filter(|other| other.function == job.function)
            .count() as u32;
        let is_expired = state
            .replicas
            .get(&job.function)
            .is_some_and(|replica| replica.1 + KEEP_ALIVE < now);
        if is_expired {
            state.replicas.remove(&job.function);
        }
        let loaded_at = state.replicas.get(&job.function).map(|replica| replica.0);
        let replica_state = match loaded_at {
            None => ReplicaState::ColdStart,
            Some(at) if at > now => ReplicaState::JoinedLoad,
            Some(_) => ReplicaState::Warm,
        };
        let loaded_at = loaded_at.unwrap_or(now + LOAD_TIME);
        state
            .replicas
            .insert(job.function, (loaded_at, now.max(loaded_at)));
        state.waiting.push_back(Job {
            replica_state,
            function_concurrency,
            ..job
        });
        let incarnation = state.incarnation;
        if replica_state == ReplicaState::ColdStart {
            let name = format!("{}", job.function);
            if is_expired {
                self.records
                    .push(invariants::TrafficRecord::ReplicaUnloaded {
                        at,
                        executor,
                        function: name.clone(),
                    });
            }
            self.records.push(invariants::TrafficRecord::LoadStarted {
                at,
                executor,
                function: name,
            });
            self.schedule(
                loaded_at,
                Event::LoadEnds {
                    executor,
                    incarnation,
                },
            );
        }
        self.start_ready_jobs(executor);
    }

    /// Starts waiting jobs whose replica is loaded, in the order of their arrival, up to the executor's concurrency.
    pub fn start_ready_jobs(&mut self, executor: usize) {
        while self.executors[executor].running.len() < CONCURRENCY as usize {
            let now = self.now;
            let state = &mut self.executors[executor];
            let ready = |job: &Job| {
                state
                    .replicas
                    .get(&job.function)
                    .is_some_and(|replica| replica.0 <= now)
            };
            let Some(position) = state.waiting.iter().position(ready) else {
                return;
            };
            let Some(job) = state.waiting.remove(position) else {
                return;
            };
            state.running.push(job);
            let incarnation = state.incarnation;
            let execution_time = self.exponential(MEAN_EXECUTION_TIME);
            self.schedule(
                now + execution_time,
                Event::ExecutionEnds {
                    executor,
                    incarnation,
                    job,
                },
            );
        }
    }

    pub fn respond(&mut self, executor: usize, job: &Job, status: DispatchStatus) {
        let waiting = self.executors[executor].waiting.len() as f32;
        let response = Event::ResponseArrives {
            job: *job,
            status,
            waiting,
        };
        self.schedule(self.now + TRANSIT_TIME, response);
    }
}
