//! The open invocations: accepted, and without a final answer or with a dispatch still in flight.

use super::{ExecutorIndex, FunctionIndex, InvocationIndex};
use crate::interface::{Actions, ConfigError, DispatchStatus, Invocation};
use std::collections::HashMap;
use std::ops::Index;

/// A dispatch in flight.
#[derive(Clone, Copy)]
pub struct InFlightDispatch {
    /// Its number among the dispatches of its invocation.
    pub dispatch: u8,
    /// Where it was sent.
    pub executor: ExecutorIndex,
    /// When it was sent, in seconds.
    pub sent_at: f64,
    /// It is the placement of its function.
    pub is_placement: bool,
    /// It was cancelled, and its end is awaited.
    pub is_cancelled: bool,
}

/// A dispatch that may have run.
#[derive(Clone, Copy)]
pub struct PossibleExecution {
    /// Where it was sent.
    pub executor: ExecutorIndex,
    /// When it was sent, in seconds.
    pub sent_at: f64,
}

/// What an invocation is worth when capacity is short.
#[derive(Clone, Copy)]
pub struct Priority {
    /// Billed value of a unit of work, within the latency objective.
    pub weight: f64,
    /// Its customer has used up its quota.
    pub is_over_quota: bool,
}

/// An open invocation. Times are in seconds.
pub struct OpenInvocation {
    id: u32,
    trigger_type: usize,
    function: FunctionIndex,
    priority: Priority,
    arrived_at: f64,
    /// From its arrival to the end of the latency objective or to the client's timeout, whichever is first.
    time_budget: f64,
    timeout_at: f64,
    dispatch_count: u8,
    pub(super) in_flight: Vec<InFlightDispatch>,
    /// The earliest ended dispatch that may have run.
    possible_execution: Option<PossibleExecution>,
    pub(super) is_answered: bool,
    is_streaming: bool,
}

impl OpenInvocation {
    /// An invocation that arrives now.
    pub fn new(
        invocation: &Invocation,
        function: FunctionIndex,
        priority: Priority,
        now: f64,
        time_budget: f64,
    ) -> OpenInvocation {
        OpenInvocation {
            id: invocation.id,
            trigger_type: invocation.trigger_type,
            function,
            priority,
            arrived_at: now,
            time_budget,
            timeout_at: invocation.timeout_at,
            dispatch_count: 0,
            in_flight: vec![],
            possible_execution: None,
            is_answered: false,
            is_streaming: false,
        }
    }

    /// Identifier given by the caller.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Index of its trigger type.
    pub fn trigger_type(&self) -> usize {
        self.trigger_type
    }

    /// The function that it invokes.
    pub fn function(&self) -> FunctionIndex {
        self.function
    }

    /// What it is worth when capacity is short.
    pub fn priority(&self) -> Priority {
        self.priority
    }

    /// When it arrived.
    pub fn arrived_at(&self) -> f64 {
        self.arrived_at
    }

    /// Seconds from its arrival to the end of the latency objective or to the client's timeout, whichever is first.
    pub fn time_budget(&self) -> f64 {
        self.time_budget
    }

    /// When its latency objective ends, or the client's timeout if that is first.
    pub fn objective_ends_at(&self) -> f64 {
        self.arrived_at + self.time_budget
    }

    /// When the client gives up.
    pub fn timeout_at(&self) -> f64 {
        self.timeout_at
    }

    /// Number of dispatches made so far.
    pub fn dispatch_count(&self) -> u8 {
        self.dispatch_count
    }

    /// Its dispatches in flight.
    pub fn in_flight(&self) -> &[InFlightDispatch] {
        &self.in_flight
    }

    /// Its dispatches in flight but for one, by its number.
    pub fn in_flight_except(
        &self,
        excepted: Option<u8>,
    ) -> impl Iterator<Item = &InFlightDispatch> {
        self.in_flight
            .iter()
            .filter(move |dispatch| Some(dispatch.dispatch) != excepted)
    }

    /// The earliest ended dispatch that may have run.
    pub fn possible_execution(&self) -> Option<PossibleExecution> {
        self.possible_execution
    }

    /// Whether it has had its final answer.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Whether its response has started.
    pub fn is_streaming(&self) -> bool {
        self.is_streaming
    }

    /// The first dispatch that may have run, in flight or ended, but for one that has not been sent yet.
    pub fn first_possible_execution(&self, unsent: Option<u8>) -> Option<PossibleExecution> {
        self.in_flight_except(unsent)
            .map(|dispatch| PossibleExecution {
                executor: dispatch.executor,
                sent_at: dispatch.sent_at,
            })
            .chain(self.possible_execution)
            .min_by(|one, other| one.sent_at.total_cmp(&other.sent_at))
    }

    /// Adds a dispatch in flight.
    pub(super) fn add_dispatch(&mut self, executor: ExecutorIndex, now: f64, is_placement: bool) {
        self.in_flight.push(InFlightDispatch {
            dispatch: self.dispatch_count,
            executor,
            sent_at: now,
            is_placement,
            is_cancelled: false,
        });
        self.dispatch_count += 1;
    }

    /// Takes a dispatch that ended off those in flight.
    pub(super) fn remove_dispatch(&mut self, dispatch: u8) -> Option<InFlightDispatch> {
        let position = self
            .in_flight
            .iter()
            .position(|in_flight| in_flight.dispatch == dispatch)?;
        Some(self.in_flight.remove(position))
    }

    /// Notes that an ended dispatch may have run, if its status allows it and no earlier one may have.
    pub fn record_possible_execution(&mut self, ended: &InFlightDispatch, status: DispatchStatus) {
        let is_first = self
            .possible_execution
            .is_none_or(|earlier| earlier.sent_at > ended.sent_at);
        if !status.never_ran() && is_first {
            self.possible_execution = Some(PossibleExecution {
                executor: ended.executor,
                sent_at: ended.sent_at,
            });
        }
    }

    /// Notes that the response has started.
    pub fn start_streaming(&mut self) {
        self.is_streaming = true;
    }

    /// Cancels the dispatches in flight but for one, by its number.
    pub fn cancel_dispatches(&mut self, excepted: Option<u8>, actions: &mut dyn Actions) {
        for dispatch in &mut self.in_flight {
            if !dispatch.is_cancelled && Some(dispatch.dispatch) != excepted {
                dispatch.is_cancelled = true;
                actions.cancel(self.id, dispatch.dispatch);
            }
        }
    }
}

/// The open invocations, by their dense indices.
#[derive(Default)]
pub struct InvocationTable {
    invocations: Vec<OpenInvocation>,
    by_id: HashMap<u32, InvocationIndex>,
    free: Vec<InvocationIndex>,
}

impl Index<InvocationIndex> for InvocationTable {
    type Output = OpenInvocation;

    fn index(&self, invocation: InvocationIndex) -> &OpenInvocation {
        &self.invocations[invocation.position()]
    }
}

impl InvocationTable {
    /// Slots of invocations, the free ones included.
    pub fn len(&self) -> usize {
        self.invocations.len()
    }

    /// Whether there is no slot.
    pub fn is_empty(&self) -> bool {
        self.invocations.is_empty()
    }

    /// The open invocation with an identifier.
    pub fn find(&self, id: u32) -> Option<InvocationIndex> {
        self.by_id.get(&id).copied()
    }

    /// The invocation for changes of its own.
    pub fn get_mut(&mut self, invocation: InvocationIndex) -> &mut OpenInvocation {
        &mut self.invocations[invocation.position()]
    }

    /// A dispatch in flight that is not cancelled, with its invocation, by identifier and number.
    pub fn find_dispatch(
        &self,
        id: u32,
        dispatch: u8,
    ) -> Option<(InvocationIndex, InFlightDispatch)> {
        let invocation = self.find(id)?;
        let found = self[invocation]
            .in_flight
            .iter()
            .find(|in_flight| !in_flight.is_cancelled && in_flight.dispatch == dispatch);
        found.map(|dispatch| (invocation, *dispatch))
    }

    /// Checks that no open invocation is of a trigger type.
    ///
    /// # Errors
    /// `InUse` if one is.
    pub fn check_unused(&self, trigger_type: usize) -> Result<(), ConfigError> {
        let mut open = self.by_id.values();
        if open.any(|&invocation| self[invocation].trigger_type == trigger_type) {
            Err(ConfigError::InUse {
                index: trigger_type,
            })
        } else {
            Ok(())
        }
    }

    /// Whether an invocation without a final answer may have run at an executor.
    pub fn may_have_run_at(&self, executor: ExecutorIndex) -> bool {
        self.invocations.iter().any(|invocation| {
            !invocation.is_answered
                && invocation
                    .possible_execution
                    .is_some_and(|execution| execution.executor == executor)
        })
    }

    /// Has no invocation wait past a moment.
    pub fn cap_timeouts(&mut self, at: f64) {
        for invocation in &mut self.invocations {
            invocation.timeout_at = invocation.timeout_at.min(at);
        }
    }

    pub(super) fn insert(&mut self, invocation: OpenInvocation) -> InvocationIndex {
        let index = self
            .free
            .pop()
            .unwrap_or_else(|| InvocationIndex::new(self.invocations.len()));
        self.by_id.insert(invocation.id, index);
        if index.position() == self.invocations.len() {
            self.invocations.push(invocation);
        } else {
            self.invocations[index.position()] = invocation;
        }
        index
    }

    /// Releases an invocation that has its final answer and nothing in flight; tells whether it did.
    pub(super) fn release(&mut self, index: InvocationIndex) -> bool {
        let invocation = &self.invocations[index.position()];
        let is_over = invocation.is_answered && invocation.in_flight.is_empty();
        if !is_over || self.by_id.remove(&invocation.id).is_none() {
            return false;
        }
        self.free.push(index);
        true
    }
}
