//! What is open, and the module's answers performed on it.

use crate::evidence;
use crate::{Cause, Host, Tally};
use orchidtally_dispatch_policy::interface::*;
use orchidtally_dispatch_policy::state::Ordered;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

pub(crate) struct Sent {
    pub(crate) to: ExecutorId,
    pub(crate) at: f64,
    pub(crate) ending: Option<Ending>,
}

pub(crate) struct Open {
    pub(crate) timeout_at: f64,
    pub(crate) trigger_type: usize,
    pub(crate) sent: Vec<Sent>,
    /// The dispatch whose answer has begun to stream to the client.
    pub(crate) streaming: Option<u8>,
    pub(crate) closed: bool,
}

impl Open {
    pub(crate) fn may_have_run(&self) -> bool {
        self.sent
            .iter()
            .any(|s| s.ending.is_none_or(|e| !e.never_ran()))
    }

    pub(crate) fn is_over(&self) -> bool {
        self.closed && self.sent.iter().all(|s| s.ending.is_some())
    }
}

/// Everything but the module, so that the module can be called with it as its `Actions`.
#[derive(Default)]
pub(crate) struct Desk {
    pub(crate) now: f64,
    pub(crate) open: HashMap<u32, Open>,
    /// Invocations without a final answer.
    pub(crate) waiting: usize,
    /// Time-outs of dispatches, and the engine's own last look at each invocation (`None`).
    pub(crate) deadlines: BinaryHeap<Reverse<(Ordered, u32, Option<u8>)>>,
    pub(crate) wake_at: Option<f64>,
    /// Dispatches that ended by what the module itself asked for; it hears of them after the present call.
    pub(crate) ended: VecDeque<(u32, u8)>,
    pub(crate) tally: Tally,
}

impl Desk {
    pub(crate) fn close(&mut self, inv: u32) -> Option<&Open> {
        let open = self.open.get_mut(&inv).filter(|o| !o.closed)?;
        open.closed = true;
        self.waiting -= 1;
        Some(open)
    }

    pub(crate) fn tidy(&mut self, inv: u32) {
        if self.open.get(&inv).is_some_and(Open::is_over) {
            self.open.remove(&inv);
        }
    }

    /// Drops deadlines of what has ended, once they are the most of the heap.
    pub(crate) fn prune(&mut self) {
        if self.deadlines.len() > 1_024 + 4 * self.open.len() {
            let open = &self.open;
            self.deadlines.retain(|Reverse((_, inv, n))| {
                open.get(inv).is_some_and(|o| match n {
                    Some(n) => o
                        .sent
                        .get(usize::from(*n))
                        .is_some_and(|s| s.ending.is_none()),
                    None => !o.closed,
                })
            });
        }
    }
}

/// The module's answers, performed on the spot.
pub(crate) struct Speaker<'a> {
    pub(crate) desk: &'a mut Desk,
    pub(crate) host: &'a mut dyn Host,
}

impl Actions for Speaker<'_> {
    fn dispatch(&mut self, inv: u32, to: ExecutorId, time_out: f64) {
        let desk = &mut *self.desk;
        let Some(open) = desk.open.get_mut(&inv) else {
            return;
        };
        let n = open.sent.len() as u8;
        let time_out_at = (desk.now + time_out.max(0.0)).min(open.timeout_at);
        open.sent.push(Sent {
            to,
            at: desk.now,
            ending: None,
        });
        if open.closed || open.streaming.is_some() || time_out_at <= desk.now {
            open.sent[usize::from(n)].ending =
                Some(evidence::ending(evidence::Transport::Withheld));
            desk.ended.push_back((inv, n));
            return;
        }
        desk.tally.dispatches += 1;
        desk.deadlines
            .push(Reverse((Ordered(time_out_at), inv, Some(n))));
        self.host.dispatch(inv, n, to, time_out_at - desk.now);
    }

    fn throttle(&mut self, inv: u32, retry_after: f64, past_share: bool) {
        if self.desk.close(inv).is_some() {
            self.desk.tally.throttled += 1;
            self.host.throttled(inv, retry_after, past_share);
        }
    }

    fn error(&mut self, inv: u32) {
        let Some(open) = self.desk.close(inv) else {
            return;
        };
        let may_have_run = open.may_have_run();
        let timed_out = open
            .sent
            .last()
            .is_some_and(|s| s.ending == Some(Ending::TimedOut));
        let cause = if timed_out || open.sent.is_empty() {
            Cause::TimedOut
        } else {
            Cause::Failed
        };
        self.desk.tally.errored += 1;
        self.host.errored(inv, cause, may_have_run);
    }

    fn cancel(&mut self, inv: u32, dispatch: u8) {
        let Some(open) = self.desk.open.get_mut(&inv) else {
            return;
        };
        if open.streaming == Some(dispatch) {
            return;
        }
        let Some(sent) = open
            .sent
            .get_mut(usize::from(dispatch))
            .filter(|s| s.ending.is_none())
        else {
            return;
        };
        sent.ending = Some(Ending::Cancelled);
        self.desk.ended.push_back((inv, dispatch));
        self.host.cancel(inv, dispatch);
    }

    fn hold(&mut self, to: ExecutorId, function: u64, copies: u8) {
        self.desk.tally.orders += u64::from(copies > 0);
        self.host.hold(to, function, copies);
    }

    fn ask(&mut self, to: ExecutorId, function: u64) {
        self.host.ask(to, function);
    }

    fn unload(&mut self, to: ExecutorId, function: u64) {
        self.host.unload(to, function);
    }

    fn probe(&mut self, to: ExecutorId) {
        self.host.probe(to);
    }

    fn wake(&mut self, delay: f64, _mark: u64) {
        let at = self.desk.now + delay;
        self.desk.wake_at = Some(self.desk.wake_at.map_or(at, |w| w.min(at)));
    }

    fn watch_roster(&mut self) {
        self.host.watch_roster();
    }
}
