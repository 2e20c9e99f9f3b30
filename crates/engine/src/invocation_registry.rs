//! The open invocations of an engine, their dispatches and their deadlines.

use crate::Counters;
use orchidtally_dispatch_policy::interface::{DispatchStatus, ExecutorId};
use orchidtally_dispatch_policy::state::Ordered;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// Obsolete deadlines are removed once the heap holds more entries than this plus [`DEADLINES_PER_INVOCATION`] for each
/// open invocation.
const MIN_DEADLINES_TO_PRUNE: usize = 1_024;
const DEADLINES_PER_INVOCATION: usize = 4;

/// A dispatch that was passed to the host, or that ended because it was too late to send it.
pub(crate) struct SentDispatch {
    pub(crate) executor: ExecutorId,
    pub(crate) sent_at: f64,
    /// The final status; `None` while the dispatch is in flight.
    pub(crate) status: Option<DispatchStatus>,
}

impl SentDispatch {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.status.is_none()
    }
}

/// An invocation that has no final answer yet or still has a dispatch in flight.
pub(crate) struct OpenInvocation {
    pub(crate) timeout_at: f64,
    pub(crate) trigger_type: usize,
    pub(crate) dispatches: Vec<SentDispatch>,
    /// The dispatch whose response streams to the client.
    pub(crate) streaming_dispatch: Option<u8>,
    pub(crate) is_answered: bool,
}

impl OpenInvocation {
    pub(crate) fn dispatch(&self, number: u8) -> Option<&SentDispatch> {
        self.dispatches.get(usize::from(number))
    }

    /// Returns a dispatch by number if it is in flight.
    pub(crate) fn in_flight_mut(&mut self, number: u8) -> Option<&mut SentDispatch> {
        self.dispatches
            .get_mut(usize::from(number))
            .filter(|dispatch| dispatch.is_in_flight())
    }

    pub(crate) fn is_in_flight(&self, number: u8) -> bool {
        self.dispatch(number)
            .is_some_and(SentDispatch::is_in_flight)
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.dispatches
            .iter()
            .any(|dispatch| dispatch.status.is_none_or(|status| !status.never_ran()))
    }

    fn is_complete(&self) -> bool {
        self.is_answered && !self.dispatches.iter().any(SentDispatch::is_in_flight)
    }
}

/// A deadline of a dispatch or an invocation. Deadlines are ordered by time, then invocation, then dispatch.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Deadline {
    pub(crate) at: Ordered,
    pub(crate) invocation: u32,
    /// The dispatch that times out; `None` for the check that the policy has answered the invocation.
    pub(crate) dispatch: Option<u8>,
}

/// The state of an engine except for the policy. It is a separate struct so that the policy can be called while its
/// `Actions` borrow the registry.
#[derive(Default)]
pub(crate) struct InvocationRegistry {
    /// The time of the latest input, which never decreases.
    pub(crate) now: f64,
    pub(crate) invocations: HashMap<u32, OpenInvocation>,
    /// The number of invocations without a final answer.
    pub(crate) unanswered: usize,
    pub(crate) deadlines: BinaryHeap<Reverse<Deadline>>,
    pub(crate) policy_timer_at: Option<f64>,
    /// Dispatches that were ended by the policy's own actions. The engine reports them to the policy after the current
    /// call.
    pub(crate) ended_locally: VecDeque<(u32, u8)>,
    pub(crate) counters: Counters,
}

impl InvocationRegistry {
    pub(crate) fn new(now: f64) -> InvocationRegistry {
        InvocationRegistry {
            now,
            ..InvocationRegistry::default()
        }
    }

    /// Advances the time to `now` unless it is already later, and returns it.
    pub(crate) fn advance_to(&mut self, now: f64) -> f64 {
        self.now = now.max(self.now);
        self.now
    }

    pub(crate) fn add_deadline(&mut self, at: f64, invocation: u32, dispatch: Option<u8>) {
        self.deadlines.push(Reverse(Deadline {
            at: Ordered(at),
            invocation,
            dispatch,
        }));
    }

    /// Marks an invocation as answered or cancelled by its client, and returns it; `None` if it is not open or already
    /// marked.
    pub(crate) fn mark_answered(&mut self, invocation: u32) -> Option<&OpenInvocation> {
        let open = self
            .invocations
            .get_mut(&invocation)
            .filter(|open| !open.is_answered)?;
        open.is_answered = true;
        self.unanswered -= 1;
        Some(open)
    }

    /// Removes an invocation that is answered and has no dispatch in flight.
    pub(crate) fn remove_if_complete(&mut self, invocation: u32) {
        let open = self.invocations.get(&invocation);
        if open.is_some_and(OpenInvocation::is_complete) {
            self.invocations.remove(&invocation);
        }
    }

    /// Removes the deadlines of ended dispatches and answered invocations once the heap exceeds its limit.
    pub(crate) fn prune_deadlines(&mut self) {
        let limit = MIN_DEADLINES_TO_PRUNE + DEADLINES_PER_INVOCATION * self.invocations.len();
        if self.deadlines.len() <= limit {
            return;
        }
        let invocations = &self.invocations;
        self.deadlines.retain(|Reverse(deadline)| {
            let Some(open) = invocations.get(&deadline.invocation) else {
                return false;
            };
            match deadline.dispatch {
                Some(dispatch) => open.is_in_flight(dispatch),
                None => !open.is_answered,
            }
        });
    }
}
