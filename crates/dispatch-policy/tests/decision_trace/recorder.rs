//! Actions of the module, hashed as they come and kept for the play to carry out.

use orchidtally_dispatch_policy::interface::{Actions, ExecutorId};
use std::net::IpAddr;
use xxhash_rust::xxh3::Xxh3;

/// How many actions of each kind there were.
#[derive(Clone, Copy, Debug, Default)]
pub struct ActionCounts {
    pub dispatches: u64,
    pub cancels: u64,
    pub rejections: u64,
    pub errors: u64,
    pub load_commands: u64,
    pub wake_ups: u64,
    pub subscriptions: u64,
}

impl ActionCounts {
    pub fn add(&mut self, other: &ActionCounts) {
        self.dispatches += other.dispatches;
        self.cancels += other.cancels;
        self.rejections += other.rejections;
        self.errors += other.errors;
        self.load_commands += other.load_commands;
        self.wake_ups += other.wake_ups;
        self.subscriptions += other.subscriptions;
    }
}

/// An action that the play has to carry out.
#[derive(Clone, Copy, Debug)]
pub enum Pending {
    Dispatch {
        invocation: u32,
        to: ExecutorId,
        time_out: f64,
    },
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
    Wake {
        delay: f64,
    },
    Subscribe,
}

/// Hashes every action with the time at which it was taken.
#[derive(Default)]
pub struct Recorder {
    pub now: f64,
    pub counts: ActionCounts,
    pub pending: Vec<Pending>,
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

    /// Hashes a number that the module answered with.
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
    fn dispatch(&mut self, inv: u32, to: ExecutorId, time_out: f64) {
        self.begin(1);
        self.note(0, inv.into());
        self.note_executor(to);
        self.note(0, time_out.to_bits());
        self.counts.dispatches += 1;
        self.pending.push(Pending::Dispatch {
            invocation: inv,
            to,
            time_out,
        });
    }

    fn reject(&mut self, inv: u32, retry_after: f64, past_share: bool) {
        self.begin(2);
        self.note(0, inv.into());
        self.note(u8::from(past_share), retry_after.to_bits());
        self.counts.rejections += 1;
        self.pending.push(Pending::Final { invocation: inv });
    }

    fn fail(&mut self, inv: u32) {
        self.begin(3);
        self.note(0, inv.into());
        self.counts.errors += 1;
        self.pending.push(Pending::Final { invocation: inv });
    }

    fn cancel(&mut self, inv: u32, dispatch: u8) {
        self.begin(4);
        self.note(dispatch, inv.into());
        self.counts.cancels += 1;
        self.pending.push(Pending::Cancel {
            invocation: inv,
            dispatch,
        });
    }

    fn load(&mut self, to: ExecutorId, function: u64, copies: u8) {
        self.begin(5);
        self.note_executor(to);
        self.note(copies, function);
        self.counts.load_commands += 1;
        self.pending.push(Pending::Load { to, function });
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
        self.counts.wake_ups += 1;
        self.pending.push(Pending::Wake { delay });
    }

    fn subscribe_to_endpoints(&mut self) {
        self.begin(10);
        self.counts.subscriptions += 1;
        self.pending.push(Pending::Subscribe);
    }
}
