//! Executors in simulated time, and what happens when.

use super::{KEEP, LANES, LOAD_TIME, ROOM, TRANSIT, Truth, WORK};
use orchidtally_dispatch_policy::interface::{CopyState, DispatchStatus};
use orchidtally_dispatch_policy::random::SeededRandom;
use orchidtally_dispatch_policy::state::Ordered;
use orchidtally_invariants as invariants;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

pub enum What {
    Arrives(u64),
    Reaches {
        fe: usize,
        life: u32,
        inv: u32,
        n: u8,
        x: usize,
        function: u64,
    },
    Loaded {
        x: usize,
        life: u32,
    },
    Ends {
        x: usize,
        life: u32,
        job: Job,
    },
    Answers {
        fe: usize,
        life: u32,
        inv: u32,
        n: u8,
        ending: DispatchStatus,
        found: CopyState,
        crowd: u32,
        waiting: f32,
    },
    Turns(usize),
}

#[derive(Clone, Copy)]
pub struct Job {
    pub fe: usize,
    pub life: u32,
    pub inv: u32,
    pub n: u8,
    pub function: u64,
    pub found: CopyState,
    pub crowd: u32,
}

#[derive(Default)]
pub struct Executor {
    pub life: u32,
    pub running: Vec<Job>,
    pub waiting: VecDeque<Job>,
    /// When each copy stands, and when it was last used.
    pub copies: BTreeMap<u64, (f64, f64)>,
}

pub struct World {
    pub now: f64,
    pub next: u64,
    pub due: BinaryHeap<Reverse<(Ordered, u64)>>,
    pub what: BTreeMap<u64, What>,
    pub executors: Vec<Executor>,
    pub truth: Truth,
    pub random: SeededRandom,
    pub records: Vec<invariants::TrafficRecord>,
    pub succeeded: u64,
    pub in_time: u64,
    pub given_up: u64,
}

impl World {
    pub fn at(&mut self, at: f64, what: What) {
        self.next += 1;
        self.due.push(Reverse((Ordered(at), self.next)));
        self.what.insert(self.next, what);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.random.unit()).ln() * mean
    }

    /// Starts an executor, cold; what the one before had in hand is reset.
    pub fn stands(&mut self, x: usize) {
        let lost: Vec<Job> = self.executors[x]
            .waiting
            .iter()
            .chain(&self.executors[x].running)
            .copied()
            .collect();
        lost.iter()
            .for_each(|job| self.answer(x, job, DispatchStatus::Reset));
        let life = self.executors[x].life + 1;
        self.executors[x] = Executor {
            life,
            ..Executor::default()
        };
        self.truth.borrow_mut()[x] = 0;
        self.records.push(invariants::TrafficRecord::Stands {
            at: self.now,
            executor: x,
            lanes: LANES,
        });
    }

    pub fn reaches(&mut self, x: usize, job: Job) {
        let (at, now) = (self.now, self.now);
        let e = &self.executors[x];
        if e.waiting.len() >= ROOM {
            return self.answer(x, &job, DispatchStatus::Full);
        }
        self.records.push(invariants::TrafficRecord::Reached {
            at,
            executor: x,
            front_end: job.fe as u32,
            life: job.life.into(),
            invocation: format!("{}-{}", job.fe, job.inv),
            number: job.n.into(),
            token: String::new(),
            trigger_type: "look".into(),
        });
        self.truth.borrow_mut()[x] += 1;
        let e = &mut self.executors[x];
        let held = e.waiting.iter().chain(&e.running);
        let crowd = held.filter(|w| w.function == job.function).count() as u32;
        let stale = e
            .copies
            .get(&job.function)
            .is_some_and(|c| c.1 + KEEP < now);
        if stale {
            e.copies.remove(&job.function);
        }
        let stands_at = e.copies.get(&job.function).map(|c| c.0);
        let found = match stands_at {
            None => CopyState::ColdLoad,
            Some(at) if at > now => CopyState::JoinedLoad,
            Some(_) => CopyState::Warm,
        };
        let stands_at = stands_at.unwrap_or(now + LOAD_TIME);
        e.copies
            .insert(job.function, (stands_at, now.max(stands_at)));
        e.waiting.push_back(Job {
            found,
            crowd,
            ..job
        });
        let life = e.life;
        if found == CopyState::ColdLoad {
            let name = format!("{}", job.function);
            if stale {
                self.records.push(invariants::TrafficRecord::Unloads {
                    at,
                    executor: x,
                    function: name.clone(),
                });
            }
            self.records.push(invariants::TrafficRecord::Loads {
                at,
                executor: x,
                function: name,
            });
            self.at(stands_at, What::Loaded { x, life });
        }
        self.start(x);
    }

    /// Begins what can run: the first that wait whose copies stand.
    pub fn start(&mut self, x: usize) {
        while self.executors[x].running.len() < LANES as usize {
            let now = self.now;
            let e = &mut self.executors[x];
            let ready = |w: &Job| e.copies.get(&w.function).is_some_and(|c| c.0 <= now);
            let Some(n) = e.waiting.iter().position(ready) else {
                return;
            };
            let Some(job) = e.waiting.remove(n) else {
                return;
            };
            e.running.push(job);
            let life = e.life;
            let work = self.exponential(WORK);
            self.at(now + work, What::Ends { x, life, job });
        }
    }

    pub fn answer(&mut self, x: usize, job: &Job, ending: DispatchStatus) {
        let waiting = self.executors[x].waiting.len() as f32;
        let Job {
            fe,
            life,
            inv,
            n,
            found,
            crowd,
            ..
        } = *job;
        self.at(
            self.now + TRANSIT,
            What::Answers {
                fe,
                life,
                inv,
                n,
                ending,
                found,
                crowd,
                waiting,
            },
        );
    }
}
