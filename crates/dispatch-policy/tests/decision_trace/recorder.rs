//! Hashes the policy's actions as they are taken and keeps them for the simulation to perform.

use orchidtally_dispatch_policy::interface::{Actions, ExecutorId};
use std::net::IpAddr;
use xxhash_rust::xxh3::Xxh3;

/// Number of actions of each kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct ActionCounts {
    pub dispatches: u64,
    pub cancels: u64,
    pub rejections: u64,
    pub errors: u64,
    pub load_commands: u64,
    pub timers: u64,
    pub subscriptions: u64,
}

impl ActionCounts {
    pub fn add(&mut self, other: &ActionCounts) {
        self.dispatches += other.dispatches;
        self.cancels += other.cancels;
        self.rejections += other.rejections;
        self.errors += other.errors;
        self.load_commands += other.load_commands;
        self.timers += other.timers;
        self.subscriptions += other.subscriptions;
    }
}

/// An action that the simulation has to perform.
#[derive(Clone, Copy, Debug)]
pub enum PendingAction {
    Dispatch {
        invocation: u32,
        to: ExecutorId,
        timeout: f64,
    },
    /// A rejection or an error.
    Final {
        invocation: u32,
    },
    Cancel {
        invocation: u32,
        dispatch: u8,
    },
    Load {
        to: ExecutorId,
        function: u64,
    },
    SetTimer {
        delay: f64,
    },
    Subscribe,
}

/// Hashes every action with the time at which it is taken.
#[derive(Default)]
pub struct Recorder {
    pub now: f64,
    pub counts: ActionCounts,
    pub pending: Vec<PendingAction>,
    hash: Xxh3,
}

impl Recorder {
    pub fn new(now: f64) -> Recorder {
        Recorder {
            now,
            ..Recorder::default()
        }
    }

    pub fn digest(&self) -> u64 {
        self.hash.digest()
    }

    /// Hashes a value that the policy returned.
    pub fn note(&mut self, kind: u8, value: u64) {
        self.hash.update(&[kind]);
        self.hash.update(&value.to_le_bytes());
    }

    fn begin(&mut self, kind: u8) {
        self.note(kind, self.now.to_bits());
    }

    fn note_executor(&mut self, ExecutorId(address, port): ExecutorId) {
        match address {
            IpAddr::V4(address) => self.hash.update(&address.octets()),
            IpAddr::V6(address) => self.hash.update(&address.octets()),
        }
        self.hash.update(&port.to_le_bytes());
    }
}

impl Actions for Recorder {
    fn dispatch(&mut self, invocation: u32, to: ExecutorId, timeout: f64) {
        self.begin(1);
        self.note(0, invocation.into());
        self.note_executor(to);
        self.note(0, timeout.to_bits());
        self.counts.dispatches += 1;
        self.pending.push(PendingAction::Dispatch {
            invocation,
            to,
            timeout,
        });
    }

    fn reject(&mut self, invocation: u32, retry_after: f64, over_quota: bool) {
        self.begin(2);
        self.note(0, invocation.into());
        self.note(u8::from(over_quota), retry_after.to_bits());
        self.counts.rejections += 1;
        self.pending.push(PendingAction::Final { invocation });
    }

    fn fail(&mut self, invocation: u32) {
        self.begin(3);
        self.note(0, invocation.into());
        self.counts.errors += 1;
        self.pending.push(PendingAction::Final { invocation });
    }

    fn cancel(&mut self, invocation: u32, dispatch: u8) {
        self.begin(4);
        self.note(dispatch, invocation.into());
        self.counts.cancels += 1;
        self.pending.push(PendingAction::Cancel {
            invocation,
            dispatch,
        });
    }

    fn load(&mut self, to: ExecutorId, function: u64, replicas: u8) {
        self.begin(5);
        self.note_executor(to);
        self.note(replicas, function);
        self.counts.load_commands += 1;
        self.pending.push(PendingAction::Load { to, function });
    }

    fn query_replicas(&mut self, to: ExecutorId, function: u64) {
        self.begin(6);
        self.note_executor(to);
        self.note(0, function);
    }

    fn unload(&mut self, to: ExecutorId, function: u64) {
        self.begin(7);
        self.note_executor(to);
        self.note(0, function);
    }

    fn health_check(&mut self, to: ExecutorId) {
        self.begin(8);
        self.note_executor(to);
    }

    fn set_timer(&mut self, delay: f64, mark: u64) {
        self.begin(9);
        self.note(0, delay.to_bits());
        self.note(0, mark);
        self.counts.timers += 1;
        self.pending.push(PendingAction::SetTimer { delay });
    }

    fn subscribe_to_endpoints(&mut self) {
        self.begin(10);
        self.counts.subscriptions += 1;
        self.pending.push(PendingAction::Subscribe);
    }
}
