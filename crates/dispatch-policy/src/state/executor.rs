//! The record of one executor: what the endpoint list says of it, and what this front end saw of it.

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

/// Work that was sent to an executor.
#[derive(Clone, Copy)]
pub(super) struct SentWork {
    pub(super) sent_at: f64,
    /// Expected seconds.
    pub(super) work: f64,
}

/// The invocations that an executor reported waiting.
#[derive(Clone, Copy)]
pub(super) struct BacklogReport {
    pub(super) invocations: f64,
    /// When it was reported, in seconds; minus infinity for never.
    pub(super) reported_at: f64,
}

impl BacklogReport {
    /// No report yet.
    pub(super) const NONE: BacklogReport = BacklogReport {
        invocations: 0.0,
        reported_at: f64::NEG_INFINITY,
    };
}

/// How long a result took, relative to the baseline latency.
#[derive(Clone, Copy)]
pub(super) struct LatencySample {
    pub(super) recorded_at: f64,
    /// In baseline latencies; infinity for a failure.
    pub(super) latency: f64,
}

/// What outlier detection knows of an executor.
#[derive(Default)]
pub(super) struct OutlierStats {
    /// The latest results, in the order in which they came.
    pub(super) samples: VecDeque<LatencySample>,
    pub(super) is_ejected: bool,
    /// Whether it stands in the table's list of executors with enough samples.
    pub(super) is_candidate: bool,
    /// While it is ejected, no trial dispatch is made before, in seconds.
    pub(super) next_trial_at: f64,
}

/// An executor. The [`ExecutorTable`](super::ExecutorTable) changes it and keeps its indices in step.
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
    /// Results `Full` in a row.
    pub(super) consecutive_rejections: usize,
    /// Nothing is in flight, and no backoff can be under way.
    pub(super) is_idle: bool,
    pub(super) full_backoff: Backoff,
    pub(super) backlog: BacklogReport,
    pub(super) outlier: OutlierStats,
    pub(super) recent_work: VecDeque<SentWork>,
    /// Since when it is in no endpoint list: infinity while it is in one, minus infinity where the slot is free.
    pub(super) removed_at: f64,
}

impl Executor {
    /// An executor of which nothing but its place is known.
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

    /// Whether an endpoint of the same address is this executor, and not another one in its stead.
    pub(super) fn is_at(&self, endpoint: &Endpoint) -> bool {
        (self.zone, self.kind, self.cell) == (endpoint.zone, endpoint.kind, endpoint.cell)
    }

    /// Address and port.
    pub fn id(&self) -> ExecutorId {
        self.id
    }

    /// Its zone.
    pub fn zone(&self) -> u8 {
        self.zone
    }

    /// Its hardware kind.
    pub fn kind(&self) -> usize {
        self.kind.into()
    }

    /// Its cell.
    pub fn cell(&self) -> u16 {
        self.cell
    }

    /// Whether the endpoint list says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Its capacity relative to others.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// When it last started, in seconds.
    pub fn started_at(&self) -> f64 {
        self.started_at
    }

    /// This front end's dispatches in flight there.
    pub fn in_flight(&self) -> &[ExecutorDispatch] {
        &self.in_flight
    }

    /// The number of this front end's dispatches in flight there.
    pub fn in_flight_count(&self) -> f64 {
        self.in_flight.len() as f64
    }

    /// When it last answered itself, in seconds.
    pub fn last_response_at(&self) -> f64 {
        self.last_response_at
    }

    /// When a connection to it last broke or could not be made, in seconds.
    pub fn last_failure_at(&self) -> f64 {
        self.last_failure_at
    }

    /// Dispatches and load commands in a row that it rejected as `Full`.
    pub fn consecutive_rejections(&self) -> usize {
        self.consecutive_rejections
    }

    /// Whether it surely has nothing in flight and no backoff: it has capacity wherever it may have one
    /// dispatch at a time.
    pub fn is_idle(&self) -> bool {
        self.is_idle
    }

    /// Until when it takes no dispatch after a result `Full`, in seconds.
    pub fn backoff_until(&self) -> f64 {
        self.full_backoff.until()
    }

    /// Whether outlier detection has ejected it.
    pub fn is_ejected(&self) -> bool {
        self.outlier.is_ejected
    }

    /// No trial dispatch is made before while it is ejected, in seconds.
    pub fn next_trial_at(&self) -> f64 {
        self.outlier.next_trial_at
    }

    /// Work sent to it after a moment, in seconds, as far as it is still kept.
    pub fn work_sent_since(&self, since: f64) -> f64 {
        self.recent_work
            .iter()
            .filter(|sent| sent.sent_at > since)
            .map(|sent| sent.work)
            .sum()
    }

    /// Dispatches in flight since after it was last heard.
    pub fn unanswered_dispatches(&self) -> impl Iterator<Item = ExecutorDispatch> + '_ {
        self.in_flight
            .iter()
            .copied()
            .filter(|dispatch| dispatch.sent_at > self.last_response_at)
    }

    /// Notes that the executor itself ended a dispatch, if the status says so.
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
            | DispatchStatus::Miss => self.last_response_at = now,
        }
    }

    /// Counts rejections in a row.
    pub(super) fn count_rejection(&mut self, status: DispatchStatus) {
        match status {
            DispatchStatus::Full => self.consecutive_rejections += 1,
            DispatchStatus::Ok => self.consecutive_rejections = 0,
            _ => {}
        }
    }
}

/// The load by which executors are compared; of several executors, the best of each, so that none of them is less
/// loaded than this.
#[derive(Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// This front end's dispatches in flight.
    pub in_flight: f64,
    /// Invocations reported waiting.
    pub backlog: f64,
    /// The first time at which one of them reported, in seconds.
    pub earliest_report_at: f64,
    /// The last time at which one of them reported, in seconds.
    pub latest_report_at: f64,
    /// Capacity relative to others.
    pub weight: f64,
    /// Whether it is in the front end's own zone.
    pub is_local: bool,
}

impl LoadEstimate {
    /// The load of no executor.
    pub(super) const NONE: LoadEstimate = LoadEstimate {
        in_flight: f64::INFINITY,
        backlog: f64::INFINITY,
        earliest_report_at: f64::INFINITY,
        latest_report_at: f64::NEG_INFINITY,
        weight: 0.0,
        is_local: false,
    };

    /// The best of both.
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

/// Sets the entry at a position, or appends it at the next one.
pub(super) fn put_at(executors: &mut Vec<Executor>, index: ExecutorIndex, executor: Executor) {
    if index.position() == executors.len() {
        executors.push(executor);
    } else {
        executors[index.position()] = executor;
    }
}
