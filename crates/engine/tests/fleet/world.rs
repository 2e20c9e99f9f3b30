//! Executors in simulated time, and the queue of events.

use super::{CONCURRENCY, IDLE_TIME, LOAD_TIME, QUEUE_LIMIT, TRANSIT, TrueLoads, WORK};
use orchidtally_dispatch_policy::interface::{CopyState, DispatchStatus};
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
        /// Invocations that the executor reports waiting.
        waiting: f32,
    },
    TimersDue(usize),
}

#[derive(Clone, Copy)]
pub struct Job {
    pub front_end: usize,
    pub incarnation: u32,
    pub invocation: u32,
    pub dispatch: u8,
    pub function: u64,
    pub copy_state: CopyState,
    pub function_concurrency: u32,
}

impl Job {
    /// The invocation's name in the records.
    pub fn name(&self) -> String {
        format!("{}-{}", self.front_end, self.invocation)
    }

    /// Whether another value stands for the same dispatch.
    pub fn is_same(&self, other: &Job) -> bool {
        (self.front_end, self.invocation, self.dispatch)
            == (other.front_end, other.invocation, other.dispatch)
    }
}

#[derive(Default)]
pub struct Executor {
    pub incarnation: u32,
    pub running: Vec<Job>,
    pub waiting: VecDeque<Job>,
    /// When each copy stands, and when it was last used.
    pub copies: BTreeMap<u64, (f64, f64)>,
}

pub struct World {
    pub now: f64,
    pub next: u64,
    pub due: BinaryHeap<Reverse<(Ordered, u64)>>,
    pub events: BTreeMap<u64, Event>,
    pub executors: Vec<Executor>,
    pub true_loads: TrueLoads,
    pub random: SeededRandom,
    pub records: Vec<invariants::TrafficRecord>,
    pub succeeded: u64,
    pub in_time: u64,
    pub failed: u64,
}

impl World {
    pub fn at(&mut self, at: f64, event: Event) {
        self.next += 1;
        self.due.push(Reverse((Ordered(at), self.next)));
        self.events.insert(self.next, event);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.random.unit()).ln() * mean
    }

    /// Starts an executor, cold; what the one before had in hand is reset.
    pub fn start_executor(&mut self, executor: usize) {
        let abandoned: Vec<Job> = self.executors[executor]
            .waiting
            .iter()
            .chain(&self.executors[executor].running)
            .copied()
            .collect();
        abandoned
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
        let record = &self.executors[executor];
        if record.waiting.len() >= QUEUE_LIMIT {
            return self.respond(executor, &job, DispatchStatus::Full);
        }
        self.records
            .push(invariants::TrafficRecord::DispatchArrived {
                at,
                executor,
                front_end: job.front_end as u32,
                incarnation: job.incarnation.into(),
                invocation: job.name(),
                number: job.dispatch.into(),
                idempotency_key: String::new(),
                trigger_type: "look".into(),
            });
        self.true_loads.borrow_mut()[executor] += 1;
        let record = &mut self.executors[executor];
        let present = record.waiting.iter().chain(&record.running);
        let function_concurrency = present
            .filter(|other| other.function == job.function)
            .count() as u32;
        let is_expired = record
            .copies
            .get(&job.function)
            .is_some_and(|c| c.1 + IDLE_TIME < now);
        if is_expired {
            record.copies.remove(&job.function);
        }
        let stands_at = record.copies.get(&job.function).map(|c| c.0);
        let copy_state = match stands_at {
            None => CopyState::ColdLoad,
            Some(at) if at > now => CopyState::JoinedLoad,
            Some(_) => CopyState::Warm,
        };
        let stands_at = stands_at.unwrap_or(now + LOAD_TIME);
        record
            .copies
            .insert(job.function, (stands_at, now.max(stands_at)));
        record.waiting.push_back(Job {
            copy_state,
            function_concurrency,
            ..job
        });
        let incarnation = record.incarnation;
        if copy_state == CopyState::ColdLoad {
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
            self.at(
                stands_at,
                Event::LoadEnds {
                    executor,
                    incarnation,
                },
            );
        }
        self.start_waiting(executor);
    }

    /// Begins what can run: the first that wait whose copies stand.
    pub fn start_waiting(&mut self, executor: usize) {
        while self.executors[executor].running.len() < CONCURRENCY as usize {
            let now = self.now;
            let record = &mut self.executors[executor];
            let ready = |job: &Job| record.copies.get(&job.function).is_some_and(|c| c.0 <= now);
            let Some(position) = record.waiting.iter().position(ready) else {
                return;
            };
            let Some(job) = record.waiting.remove(position) else {
                return;
            };
            record.running.push(job);
            let incarnation = record.incarnation;
            let work = self.exponential(WORK);
            self.at(
                now + work,
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
        self.at(self.now + TRANSIT, response);
    }
}
