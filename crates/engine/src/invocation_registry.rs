//! What is open, and the module's answers performed on it.

use crate::evidence;
use crate::{Counters, FailureReason, Host};
use orchidtally_dispatch_policy::interface::*;
use orchidtally_dispatch_policy::state::Ordered;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

pub(crate) struct SentDispatch {
    pub(crate) executor: ExecutorId,
    pub(crate) sent_at: f64,
    pub(crate) status: Option<DispatchStatus>,
}

pub(crate) struct OpenInvocation {
    pub(crate) timeout_at: f64,
    pub(crate) trigger_type: usize,
    pub(crate) dispatches: Vec<SentDispatch>,
    /// The dispatch whose answer has begun to stream to the client.
    pub(crate) streaming_dispatch: Option<u8>,
    pub(crate) is_answered: bool,
}

impl OpenInvocation {
    pub(crate) fn may_have_run(&self) -> bool {
        self.dispatches
            .iter()
            .any(|s| s.status.is_none_or(|e| !e.never_ran()))
    }

    pub(crate) fn is_over(&self) -> bool {
        self.is_answered && self.dispatches.iter().all(|s| s.status.is_some())
    }
}

/// Everything but the module, so that the module can be called with it as its `Actions`.
#[derive(Default)]
pub(crate) struct InvocationRegistry {
    pub(crate) now: f64,
    pub(crate) invocations: HashMap<u32, OpenInvocation>,
    /// Invocations without a final answer.
    pub(crate) unanswered: usize,
    /// Time-outs of dispatches, and the engine's own last look at each invocation (`None`).
    pub(crate) deadlines: BinaryHeap<Reverse<(Ordered, u32, Option<u8>)>>,
    pub(crate) policy_timer_at: Option<f64>,
    /// Dispatches that ended by what the module itself asked for; it hears of them after the present call.
    pub(crate) ended_locally: VecDeque<(u32, u8)>,
    pub(crate) counters: Counters,
}

impl InvocationRegistry {
    pub(crate) fn close(&mut self, inv: u32) -> Option<&OpenInvocation> {
        let open = self.invocations.get_mut(&inv).filter(|o| !o.is_answered)?;
        open.is_answered = true;
        self.unanswered -= 1;
        Some(open)
    }

    pub(crate) fn remove_if_complete(&mut self, inv: u32) {
        if self
            .invocations
            .get(&inv)
            .is_some_and(OpenInvocation::is_over)
        {
            self.invocations.remove(&inv);
        }
    }

    /// Drops deadlines of what has ended, once they are the most of the heap.
    pub(crate) fn prune_deadlines(&mut self) {
        if self.deadlines.len() > 1_024 + 4 * self.invocations.len() {
            let open = &self.invocations;
            self.deadlines.retain(|Reverse((_, inv, n))| {
                open.get(inv).is_some_and(|o| match n {
                    Some(n) => o
                        .dispatches
                        .get(usize::from(*n))
                        .is_some_and(|s| s.status.is_none()),
                    None => !o.is_answered,
                })
            });
        }
    }
}

/// The module's answers, performed on the spot.
pub(crate) struct ActionExecutor<'a> {
    pub(crate) registry: &'a mut InvocationRegistry,
    pub(crate) host: &'a mut dyn Host,
}

impl Actions for ActionExecutor<'_> {
    fn dispatch(&mut self, inv: u32, to: ExecutorId, time_out: f64) {
        let desk = &mut *self.registry;
        let Some(open) = desk.invocations.get_mut(&inv) else {
            return;
        };
        let n = open.dispatches.len() as u8;
        let time_out_at = (desk.now + time_out.max(0.0)).min(open.timeout_at);
        open.dispatches.push(SentDispatch {
            executor: to,
            sent_at: desk.now,
            status: None,
        });
        if open.is_answered || open.streaming_dispatch.is_some() || time_out_at <= desk.now {
            open.dispatches[usize::from(n)].status =
                Some(evidence::ending(evidence::Transport::Withheld));
            desk.ended_locally.push_back((inv, n));
            return;
        }
        desk.counters.dispatches += 1;
        desk.deadlines
            .push(Reverse((Ordered(time_out_at), inv, Some(n))));
        self.host.dispatch(inv, n, to, time_out_at - desk.now);
    }

    fn reject(&mut self, inv: u32, retry_after: f64, past_share: bool) {
        if self.registry.close(inv).is_some() {
            self.registry.counters.rejected += 1;
            self.host.rejected(inv, retry_after, past_share);
        }
    }

    fn fail(&mut self, inv: u32) {
        let Some(open) = self.registry.close(inv) else {
            return;
        };
        let may_have_run = open.may_have_run();
        let timed_out = open
            .dispatches
            .last()
            .is_some_and(|s| s.status == Some(DispatchStatus::TimedOut));
        let cause = if timed_out || open.dispatches.is_empty() {
            FailureReason::TimedOut
        } else {
            FailureReason::Failed
        };
        self.registry.counters.failed += 1;
        self.host.failed(inv, cause, may_have_run);
    }

    fn cancel(&mut self, inv: u32, dispatch: u8) {
        let Some(open) = self.registry.invocations.get_mut(&inv) else {
            return;
        };
        if open.streaming_dispatch == Some(dispatch) {
            return;
        }
        let Some(sent) = open
            .dispatches
            .get_mut(usize::from(dispatch))
            .filter(|s| s.status.is_none())
        else {
            return;
        };
        sent.status = Some(DispatchStatus::Cancelled);
        self.registry.ended_locally.push_back((inv, dispatch));
        self.host.cancel(inv, dispatch);
    }

    fn load(&mut self, to: ExecutorId, function: u64, copies: u8) {
        self.registry.counters.load_commands += u64::from(copies > 0);
        self.host.load(to, function, copies);
    }

    fn query_replicas(&mut self, to: ExecutorId, function: u64) {
        self.host.query_replicas(to, function);
    }

    fn unload(&mut self, to: ExecutorId, function: u64) {
        self.host.unload(to, function);
    }

    fn health_check(&mut self, to: ExecutorId) {
        self.host.health_check(to);
    }

    fn set_timer(&mut self, delay: f64, _mark: u64) {
        let at = self.registry.now + delay;
        self.registry.policy_timer_at =
            Some(self.registry.policy_timer_at.map_or(at, |w| w.min(at)));
    }

    fn subscribe_to_endpoints(&mut self) {
        self.host.subscribe_to_endpoints();
    }
}
