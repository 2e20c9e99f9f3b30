//! The record of one open invocation, with its dispatches.

use super::{ExecutorIndex, FunctionIndex};
use crate::interface::{Actions, DispatchStatus, Invocation};

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
    in_flight: Vec<InFlightDispatch>,
    /// The earliest ended dispatch that may have run.
    possible_execution: Option<PossibleExecution>,
    is_answered: bool,
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

    /// Has the invocation wait no longer than to a moment.
    pub(super) fn cap_timeout(&mut self, at: f64) {
        self.timeout_at = self.timeout_at.min(at);
    }

    /// Notes that the response has started.
    pub fn start_streaming(&mut self) {
        self.is_streaming = true;
    }

    /// Notes that it has its final answer.
    pub(super) fn set_answered(&mut self) {
        self.is_answered = true;
    }

    /// Whether it has its final answer and nothing in flight.
    pub(super) fn is_over(&self) -> bool {
        self.is_answered && self.in_flight.is_empty()
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
