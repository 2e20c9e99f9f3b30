//! The record of one executor: its entry in the endpoint list and what this front end observed of it.

use super::{Backoff, ExecutorIndex, InvocationIndex};
use crate::interface::{DispatchStatus, Endpoint, ExecutorId};
use std::collections::VecDeque;

/// A dispatch in flight at an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExecutorDispatch {
    /// The invocation that was dispatched.
    pub invocation: InvocationIndex,
    /// When it was dispatched, in seconds.
    pub sent_at: f64,
}

/// The expected work of one dispatch.
#[derive(Clone, Copy)]
pub(super) struct SentWork {
    pub(super) sent_at: f64,
    /// Expected work, in seconds.
    pub(super) work: f64,
}

/// An executor's latest report of how many invocations wait there.
#[derive(Clone, Copy)]
pub(super) struct BacklogReport {
    pub(super) invocations: f64,
    /// When it was reported, in seconds; minus infinity if there was no report.
    pub(super) reported_at: f64,
}

impl BacklogReport {
    /// The value for an executor without a report.
    pub(super) const NONE: BacklogReport = BacklogReport {
        invocations: 0.0,
        reported_at: f64::NEG_INFINITY,
    };
}

/// The latency of one result, relative to the baseline latency.
#[derive(Clone, Copy)]
pub(super) struct LatencySample {
    pub(super) recorded_at: f64,
    /// A multiple of the baseline latency; infinity for a failure.
    pub(super) latency: f64,
}

/// The state of outlier detection for one executor.
#[derive(Default)]
pub(super) struct OutlierStats {
    /// The latest samples, oldest first.
    pub(super) samples: VecDeque<LatencySample>,
    pub(super) is_ejected: bool,
    /// Whether the executor is in the table's list of executors with enough samples.
    pub(super) is_candidate: bool,
    /// The earliest time of the next trial dispatch to an ejected executor, in seconds.
    pub(super) next_trial_at: f64,
}

/// An executor. Only the [`ExecutorTable`](super::ExecutorTable) changes it, so that its indices stay consistent.
pub struct Executor {
    id: ExecutorId,
    zone: u8,
    kind: u8,
    cell: u16,
    pub(super) is_ready: bool,
    pub(super) weight: f64,
    pub(super) started_at: f64,
    pub(super) in_flight: Vec<ExecutorDispatch>,
    pub(super) last_response_at: f64,
    pub(super) last_failure_at: f64,
    /// Number of consecutive `Full` results.
    pub(super) consecutive_rejections: usize,
    /// True only if nothing is in flight and no backoff is under way. May be false for an idle executor.
    pub(super) is_idle: bool,
    pub(super) full_backoff: Backoff,
    pub(super) backlog: BacklogReport,
    pub(super) outlier: OutlierStats,
    pub(super) recent_work: VecDeque<SentWork>,
    /// When it left the endpoint list: infinity while it is listed, minus infinity if the slot is free.
    pub(super) removed_at: f64,
}

impl Executor {
    /// Creates the record of an executor of which only the address, zone, kind and cell are known.
    pub(super) fn new(endpoint: &Endpoint) -> Executor {
        Executor {
            id: endpoint.executor,
            zone: endpoint.zone,
            kind: endpoint.kind,
            cell: endpoint.cell,
            is_ready: false,
            weight: 1.0,
            started_at: f64::NEG_INFINITY,
            in_flight: vec![],
            last_response_at: f64::NEG_INFINITY,
            last_failure_at: f64::NEG_INFINITY,
            consecutive_rejections: 0,
            is_idle: true,
            full_backoff: Backoff::default(),
            backlog: BacklogReport::NONE,
            outlier: OutlierStats::default(),
            recent_work: VecDeque::new(),
            removed_at: f64::INFINITY,
        }
    }

    /// Returns whether an endpoint has the executor's zone, kind and cell. An endpoint with the same address for which
    /// this is false belongs to another executor.
    pub(super) fn matches_location(&self, endpoint: &Endpoint) -> bool {
        (self.zone, self.kind, self.cell) == (endpoint.zone, endpoint.kind, endpoint.cell)
    }

    /// Returns its address and port.
    pub fn id(&self) -> ExecutorId {
        self.id
    }

    /// Returns its zone.
    pub fn zone(&self) -> u8 {
        self.zone
    }

    /// Returns its hardware kind.
    pub fn kind(&self) -> usize {
        self.kind.into()
    }

    /// Returns its cell.
    pub fn cell(&self) -> u16 {
        self.cell
    }

    /// Returns whether the endpoint list has it as ready.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Returns its capacity relative to other executors.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns when it last started, in seconds.
    pub fn started_at(&self) -> f64 {
        self.started_at
    }

    /// Returns this front end's dispatches in flight there.
    pub fn in_flight(&self) -> &[ExecutorDispatch] {
        &self.in_flight
    }

    /// Returns the number of this front end's dispatches in flight there.
    pub fn in_flight_count(&self) -> f64 {
        self.in_flight.len() as f64
    }

    /// Returns when it last ended a dispatch itself, in seconds.
    pub fn last_response_at(&self) -> f64 {
        self.last_response_at
    }

    /// Returns when a connection to it last broke or could not be made, in seconds.
    pub fn last_failure_at(&self) -> f64 {
        self.last_failure_at
    }

    /// Returns the number of consecutive dispatches and load commands that it rejected as `Full`.
    pub fn consecutive_rejections(&self) -> usize {
        self.consecutive_rejections
    }

    /// Returns true only if nothing is in flight there and no backoff is under way; may return false for an idle
    /// executor. An idle executor has capacity under any concurrency limit of at least one.
    pub fn is_idle(&self) -> bool {
        self.is_idle
    }

    /// Returns when its backoff after a `Full` result ends, in seconds.
    pub fn backoff_until(&self) -> f64 {
        self.full_backoff.until()
    }

    /// Returns whether outlier detection has ejected it.
    pub fn is_ejected(&self) -> bool {
        self.outlier.is_ejected
    }

    /// Returns the earliest time of the next trial dispatch while it is ejected, in seconds.
    pub fn next_trial_at(&self) -> f64 {
        self.outlier.next_trial_at
    }

    /// Returns the expected work, in seconds, of the dispatches sent to it after a time. Entries older than the
    /// `work_lifetime` given to [`ExecutorTable::record_dispatch`](super::ExecutorTable::record_dispatch) are missing.
    pub fn work_sent_since(&self, since: f64) -> f64 {
        self.recent_work
            .iter()
            .filter(|sent| sent.sent_at > since)
            .map(|sent| sent.work)
            .sum()
    }

    /// Returns the dispatches in flight that were sent after its last response.
    pub fn unanswered_dispatches(&self) -> impl Iterator<Item = ExecutorDispatch> + '_ {
        self.in_flight
            .iter()
            .copied()
            .filter(|dispatch| dispatch.sent_at > self.last_response_at)
    }

    /// Updates the time of the last response if the status shows that the executor itself ended the dispatch.
    pub(super) fn record_response(&mut self, status: DispatchStatus, now: f64) {
        match status {
            DispatchStatus::TimedOut
            | DispatchStatus::Cancelled
            | DispatchStatus::ConnectFailed
            | DispatchStatus::Reset => {}
            DispatchStatus::Ok
            | DispatchStatus::Error
            | DispatchStatus::Full
            | DispatchStatus::NeverSent
            | DispatchStatus::NotLoaded => self.last_response_at = now,
        }
    }

    /// Counts consecutive `Full` results; a success resets the count.
    pub(super) fn count_rejection(&mut self, status: DispatchStatus) {
        match status {
            DispatchStatus::Full => self.consecutive_rejections += 1,
            DispatchStatus::Ok => self.consecutive_rejections = 0,
            _ => {}
        }
    }
}

/// The load by which executors are compared. For several executors, each field has the best value among them, so that
/// none of them is less loaded than the estimate.
#[derive(Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// This front end's dispatches in flight.
    pub in_flight: f64,
    /// Number of invocations that the executor reported as waiting.
    pub backlog: f64,
    /// The earliest report of the executors, in seconds.
    pub earliest_report_at: f64,
    /// The latest report of the executors, in seconds.
    pub latest_report_at: f64,
    /// Capacity relative to other executors.
    pub weight: f64,
    /// Whether one of the executors is in the front end's own zone.
    pub is_local: bool,
}

impl LoadEstimate {
    /// The estimate for an empty set of executors.
    pub(super) const NONE: LoadEstimate = LoadEstimate {
        in_flight: f64::INFINITY,
        backlog: f64::INFINITY,
        earliest_report_at: f64::INFINITY,
        latest_report_at: f64::NEG_INFINITY,
        weight: 0.0,
        is_local: false,
    };

    /// Combines two estimates: each field gets the better value.
    pub(super) fn best(&self, other: &LoadEstimate) -> LoadEstimate {
        LoadEstimate {
            in_flight: self.in_flight.min(other.in_flight),
            backlog: self.backlog.min(other.backlog),
            earliest_report_at: self.earliest_report_at.min(other.earliest_report_at),
            latest_report_at: self.latest_report_at.max(other.latest_report_at),
            weight: self.weight.max(other.weight),
            is_local: self.is_local || other.is_local,
        }
    }
}

/// Replaces the entry at an index, or appends it if the index is one past the end.
pub(super) fn set_or_push(executors: &mut Vec<Executor>, index: ExecutorIndex, executor: Executor) {
    if index.position() == executors.len() {
        executors.push(executor);
    } else {
        executors[index.position()] = executor;
    }
}
