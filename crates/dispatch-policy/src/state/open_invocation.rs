//! The record of one open invocation and its dispatches.

use super::{ExecutorIndex, FunctionIndex};
use crate::interface::{Actions, DispatchStatus, Invocation};

/// A dispatch in flight.
#[derive(Clone, Copy)]
pub struct InFlightDispatch {
    /// Its number among the dispatches of its invocation, from 0.
    pub dispatch: u8,
    /// The executor that it was sent to.
    pub executor: ExecutorIndex,
    /// When it was sent, in seconds.
    pub sent_at: f64,
    /// Whether it is the placement of its function.
    pub is_placement: bool,
    /// Whether it was cancelled; its result is still outstanding.
    pub is_cancelled: bool,
}

/// A dispatch that may have run.
#[derive(Clone, Copy)]
pub struct PossibleExecution {
    /// The executor that it was sent to.
    pub executor: ExecutorIndex,
    /// When it was sent, in seconds.
    pub sent_at: f64,
}

/// The priority of an invocation when capacity is short.
#[derive(Clone, Copy)]
pub struct Priority {
    /// Billed value of a unit of work if the invocation is answered within its latency objective.
    pub weight: f64,
    /// Whether its customer has used up its quota.
    pub is_over_quota: bool,
}

/// An open invocation. Times are in seconds.
pub struct OpenInvocation {
    id: u32,
    trigger_type: usize,
    function: FunctionIndex,
    priority: Priority,
    arrived_at: f64,
    /// Time from its arrival to the end of the latency objective or to the client's timeout, whichever is first.
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
    /// Creates an invocation that arrives at `now`.
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

    /// Returns the identifier given by the caller.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Returns the index of its trigger type.
    pub fn trigger_type(&self) -> usize {
        self.trigger_type
    }

    /// Returns the function that it invokes.
    pub fn function(&self) -> FunctionIndex {
        self.function
    }

    /// Returns its priority when capacity is short.
    pub fn priority(&self) -> Priority {
        self.priority
    }

    /// Returns when it arrived.
    pub fn arrived_at(&self) -> f64 {
        self.arrived_at
    }

    /// Returns the time from its arrival to the end of the latency objective or to the client's timeout, whichever is
    /// first.
    pub fn time_budget(&self) -> f64 {
        self.time_budget
    }

    /// Returns when its latency objective ends, or the client's timeout if that is first.
    pub fn objective_ends_at(&self) -> f64 {
        self.arrived_at + self.time_budget
    }

    /// Returns when the client gives up.
    pub fn timeout_at(&self) -> f64 {
        self.timeout_at
    }

    /// Returns the number of dispatches so far.
    pub fn dispatch_count(&self) -> u8 {
        self.dispatch_count
    }

    /// Returns its dispatches in flight.
    pub fn in_flight(&self) -> &[InFlightDispatch] {
        &self.in_flight
    }

    /// Returns its dispatches in flight, without the one with the number `except`.
    pub fn in_flight_except(&self, except: Option<u8>) -> impl Iterator<Item = &InFlightDispatch> {
        self.in_flight
            .iter()
            .filter(move |dispatch| Some(dispatch.dispatch) != except)
    }

    /// Returns the earliest ended dispatch that may have run.
    pub fn possible_execution(&self) -> Option<PossibleExecution> {
        self.possible_execution
    }

    /// Returns whether it has its final answer.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Returns whether its response has started.
    pub fn is_streaming(&self) -> bool {
        self.is_streaming
    }

    /// Returns the earliest dispatch that may have run, in flight or ended. `unsent` is the number of a dispatch that
    /// has not been sent yet and is left out.
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

    /// Removes a dispatch that ended from those in flight.
    pub(super) fn remove_dispatch(&mut self, dispatch: u8) -> Option<InFlightDispatch> {
        let position = self
            .in_flight
            .iter()
            .position(|in_flight| in_flight.dispatch == dispatch)?;
        Some(self.in_flight.remove(position))
    }

    /// Records that an ended dispatch may have run, unless its status excludes that or an earlier dispatch may have
    /// run.
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

    /// Lowers the timeout to `at` if it is later.
    pub(super) fn cap_timeout(&mut self, at: f64) {
        self.timeout_at = self.timeout_at.min(at);
    }

    /// Records that the response has started.
    pub fn start_streaming(&mut self) {
        self.is_streaming = true;
    }

    /// Records that it has its final answer.
    pub(super) fn set_answered(&mut self) {
        self.is_answered = true;
    }

    /// Returns whether it has its final answer and nothing in flight.
    pub(super) fn is_complete(&self) -> bool {
        self.is_answered && self.in_flight.is_empty()
    }

    /// Cancels its dispatches in flight, except for the one with the number `except`.
    pub fn cancel_dispatches(&mut self, except: Option<u8>, actions: &mut dyn Actions) {
        for dispatch in &mut self.in_flight {
            if !dispatch.is_cancelled && Some(dispatch.dispatch) != except {
                dispatch.is_cancelled = true;
                actions.cancel(self.id, dispatch.dispatch);
            }
        }
    }
}
