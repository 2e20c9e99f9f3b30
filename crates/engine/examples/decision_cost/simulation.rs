//! Executors in simulated time: they carry out what the engine decides, and a digest of it is kept.

use crate::scenario::Day;
use orchidtally_dispatch_policy::interface::{DispatchStatus, ExecutorId, ReplicaState};
use orchidtally_dispatch_policy::random::{SeededRandom, rendezvous_hash};
use orchidtally_dispatch_policy::state::Ordered;
use orchidtally_engine::{Engine, FailureReason, Host, ResponseMetadata};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const ANSWER_TIME: f64 = 0.05;
pub const LOAD_TIME: f64 = 0.3;
pub const KEEP_ALIVE: f64 = 60.0;

pub enum Event {
    DispatchEnds {
        invocation: u32,
        dispatch: u8,
        executor: usize,
        function: u64,
        status: DispatchStatus,
        replica_state: ReplicaState,
    },
    LoadEnds {
        to: ExecutorId,
        function: u64,
        status: DispatchStatus,
    },
}

/// Performs what is decided, and keeps a digest of it.
pub struct Simulation {
    pub day: Day,
    pub now: f64,
    pub digest: u64,
    pub decisions: u64,
    next: u64,
    due: BinaryHeap<Reverse<(Ordered, u64)>>,
    pub events: BTreeMap<u64, Event>,
    pub functions: BTreeMap<u32, u64>,
    pub admitting: u64,
    /// When each copy stands and was last used.
    copies: BTreeMap<(usize, u64), (f64, f64)>,
    pub random: SeededRandom,
    pub loads: u64,
    pub succeeded: u64,
    pub failed_invocations: u64,
}

impl Simulation {
    pub fn new(day: Day, now: f64, seed: u64) -> Simulation {
        Simulation {
            day,
            now,
            digest: 0xcbf2_9ce4_8422_2325,
            decisions: 0,
            next: 0,
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            functions: BTreeMap::new(),
            admitting: 0,
            copies: BTreeMap::new(),
            random: SeededRandom::new(seed),
            loads: 0,
            succeeded: 0,
            failed_invocations: 0,
        }
    }

    /// When the next event is due, in seconds; infinity if there is none.
    pub fn next_event_at(&self) -> f64 {
        self.due
            .peek()
            .map_or(f64::INFINITY, |Reverse((at, _))| at.0)
    }

    /// Takes the next event.
    pub fn pop_event(&mut self) -> Option<Event> {
        let Reverse((_, key)) = self.due.pop()?;
        self.events.remove(&key)
    }

    /// Ends a dispatch or a load, and reports it to the engine.
    pub fn play(&mut self, event: Event, engine: &mut Engine) {
        let now = self.now;
        match event {
            Event::DispatchEnds {
                invocation,
                dispatch,
                executor,
                function,
                status,
                replica_state,
            } => {
                self.use_copy(executor, function);
                let metadata = ResponseMetadata {
                    replica_state,
                    function_concurrency: 0,
                    load_report: &[self.reported_backlog(executor)],
                };
                engine.on_dispatch_result(now, invocation, dispatch, status, metadata, self);
            }
            Event::LoadEnds {
                to,
                function,
                status,
            } => engine.on_load_result(now, to, function, status, self),
        }
    }

    /// Invocations of other front ends that an executor reports waiting.
    fn reported_backlog(&self, executor: usize) -> f32 {
        if self.day == Day::Calm {
            return 0.0;
        }
        let load = rendezvous_hash(executor as u64, (self.now / 3.0) as u64) % 8;
        load.saturating_sub(4) as f32
    }

    fn note_decision(&mut self, values: &[u64]) {
        self.decisions += 1;
        for value in values {
            self.digest = (self.digest ^ value)
                .wrapping_mul(0x0100_0000_01b3)
                .rotate_left(23);
        }
    }

    /// Schedules an event.
    fn at(&mut self, at: f64, event: Event) {
        self.next += 1;
        self.due.push(Reverse((Ordered(at), self.next)));
        self.events.insert(self.next, event);
    }

    /// When a copy stands at an executor, and whether that is now.
    fn use_copy(&mut self, executor: usize, function: u64) -> (f64, bool) {
        let now = self.now;
        let copy = self
            .copies
            .entry((executor, function))
            .or_insert((0.0, f64::NEG_INFINITY));
        if copy.1 + KEEP_ALIVE < now {
            *copy = (now + LOAD_TIME, now);
            self.loads += 1;
        }
        copy.1 = copy.0.max(now);
        (copy.1, copy.0 <= now)
    }
}

fn number(ExecutorId(address, _): ExecutorId) -> u64 {
    match address {
        std::net::IpAddr::V4(a) => u64::from(u32::from(a)),
        std::net::IpAddr::V6(_) => 0,
    }
}

fn index(id: ExecutorId) -> usize {
    (number(id) & 0xffff) as usize
}

impl Host for Simulation {
    fn admitted(&mut self, invocation: u32) {
        self.functions.insert(invocation, self.admitting);
    }
    fn dispatch(&mut self, invocation: u32, dispatch: u8, to: ExecutorId, within: f64) {
        self.note_decision(&[
            1,
            invocation.into(),
            dispatch.into(),
            number(to),
            within.to_bits(),
        ]);
        let (executor, function) = (index(to), self.functions[&invocation]);
        let drawn = if self.day == Day::Faults {
            self.random.next_f64()
        } else {
            1.0
        };
        let status = match drawn {
            d if d < 0.004 => DispatchStatus::Error,
            d if d < 0.007 => DispatchStatus::Full,
            d if d < 0.009 => DispatchStatus::Reset,
            d if d < 0.011 => DispatchStatus::ConnectFailed,
            _ => DispatchStatus::Ok,
        };
        // Some hang.
        if self.day == Day::Faults
            && rendezvous_hash(executor as u64, (self.now / 20.0) as u64).is_multiple_of(97)
        {
            return;
        }
        let (stands_at, warm) = self.use_copy(executor, function);
        let replica_state = if warm {
            ReplicaState::Warm
        } else {
            ReplicaState::ColdStart
        };
        let at = stands_at + ANSWER_TIME * (0.5 + self.random.next_f64());
        self.at(
            at,
            Event::DispatchEnds {
                invocation,
                dispatch,
                executor,
                function,
                status,
                replica_state,
            },
        );
    }
    fn cancel(&mut self, invocation: u32, dispatch: u8) {
        self.note_decision(&[2, invocation.into(), dispatch.into()]);
    }
    fn succeeded(&mut self, _: u32, _: u8) {
        self.succeeded += 1;
    }
    fn rejected(&mut self, invocation: u32, retry_after: f64, _: bool) {
        self.note_decision(&[3, invocation.into(), retry_after.to_bits()]);
        self.failed_invocations += 1;
    }
    fn failed(&mut self, invocation: u32, _: FailureReason, _: bool) {
        self.note_decision(&[4, invocation.into()]);
        self.failed_invocations += 1;
    }
    fn load(&mut self, to: ExecutorId, function: u64, copies: u8) {
        self.note_decision(&[5, number(to), function, copies.into()]);
        let (stands_at, _) = self.use_copy(index(to), function);
        let failed = self.day == Day::Faults && self.random.next_f64() < 0.01;
        let status = if failed {
            DispatchStatus::ConnectFailed
        } else {
            DispatchStatus::Ok
        };
        self.at(
            stands_at,
            Event::LoadEnds {
                to,
                function,
                status,
            },
        );
    }
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}
