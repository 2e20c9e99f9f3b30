//! Staleness of the view of executors, and the work that it permits. The constraints check it for every dispatch and
//! load command, when it is decided and again when its bytes are sent.

use crate::random::SeededRandom;
use crate::state::Executor;

/// Seconds for which a view is fresh if no drain grace is configured.
const DEFAULT_FRESH_FOR: f64 = 1.0;
/// Age of the view in seconds above which, by the platform's protocol, every change that a silent source of the
/// endpoint list would have announced counts as announced.
const UNKNOWN_AFTER: f64 = 4.5;
/// Age of the view in seconds above which a source that still responds, but only with outdated answers, counts as
/// delayed: its announcements were made long ago. A lower age may be caused by a few lost answers. A source that has
/// stopped responding is known to be silent before this age.
const LATE_AFTER: f64 = 2.6;
/// Consecutive rejections after which an executor is assumed to be draining while the view is ageing.
///
/// Failure mode: an executor drains while the source of the endpoint list cannot announce it.
/// Risk: an executor that is only overloaded receives no work until an endpoint list arrives.
const MAX_REJECTIONS_AGEING: usize = 4;
/// Consecutive rejections with the same effect while the state of the executors is unknown.
const MAX_REJECTIONS_UNKNOWN: usize = 1;
/// Mean delay in seconds between a failed subscription to the endpoint list and the next attempt.
const MEAN_SUBSCRIPTION_RETRY_DELAY: f64 = 1.0;

/// Returns the delay in seconds before the next subscription after a failed one: 0.5 to 1.5 times the mean.
pub(super) fn subscription_retry_delay(random: &mut SeededRandom) -> f64 {
    MEAN_SUBSCRIPTION_RETRY_DELAY * (0.5 + random.next_f64())
}

/// How far a view can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Staleness {
    /// Changes missing from the view were announced within the drain grace, if at all.
    Fresh,
    /// The view has not been confirmed for a while. Missing changes have most likely not been announced to any front
    /// end.
    Ageing,
    /// Missing changes count as announced.
    Unknown,
    /// The process stalled and has received nothing since, so it cannot know whether changes were announced.
    Suspended,
}

/// Time at which the view of executors was last known to be current.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointView {
    /// Seconds for which an executor may receive work after its draining was announced; 0 if draining is not announced.
    drain_grace: f64,
    /// When the latest answered request for the list was sent, in seconds; `None` if the list is pushed and its source
    /// monitors the connection.
    confirmed_at: Option<f64>,
    /// When the process resumed after a stall; `None` once a request sent after that is answered or known to be
    /// unanswered.
    resumed_at: Option<f64>,
    /// Whether the source of the list is known to be silent.
    is_source_silent: bool,
}

impl EndpointView {
    /// Creates a view that was never confirmed.
    pub(super) fn new(drain_grace: f64) -> EndpointView {
        EndpointView {
            drain_grace,
            confirmed_at: None,
            resumed_at: None,
            is_source_silent: false,
        }
    }

    /// Records that a request for the list sent at `requested_at` was answered: the view was current at that time.
    pub(super) fn record_confirmation(&mut self, requested_at: f64) {
        let last = self.confirmed_at.unwrap_or(requested_at);
        self.confirmed_at = Some(last.max(requested_at));
        self.is_source_silent = false;
        self.end_suspension(requested_at);
    }

    /// Records that a request for the list sent at `requested_at` has no answer.
    pub(super) fn record_unanswered_request(&mut self, requested_at: f64) {
        self.is_source_silent = true;
        self.end_suspension(requested_at);
    }

    /// Ends the suspension if the request whose outcome is now known was sent after the stall.
    fn end_suspension(&mut self, requested_at: f64) {
        self.resumed_at
            .take_if(|resumed_at| requested_at >= *resumed_at);
    }

    /// Records that the process was stalled until `now`.
    pub(super) fn on_process_stall(&mut self, now: f64) {
        self.resumed_at = self.confirmed_at.and(Some(now));
    }

    /// Records that the list was received or that the subscription failed. A failure also ends a suspension, because it
    /// follows from requests that were sent while the process ran.
    pub(super) fn on_endpoint_update(&mut self, has_failed: bool) {
        self.is_source_silent = has_failed;
        if has_failed {
            self.resumed_at = None;
        }
    }

    fn staleness(&self, now: f64) -> Staleness {
        let Some(confirmed_at) = self.confirmed_at else {
            return if self.is_source_silent {
                Staleness::Ageing
            } else {
                Staleness::Fresh
            };
        };
        let age = now - confirmed_at;
        let fresh_for = if self.drain_grace > 0.0 {
            self.drain_grace
        } else {
            DEFAULT_FRESH_FOR
        };
        if age <= fresh_for {
            Staleness::Fresh
        } else if self.resumed_at.is_some() {
            Staleness::Suspended
        } else if age > UNKNOWN_AFTER || !self.is_source_silent && age > LATE_AFTER {
            Staleness::Unknown
        } else {
            Staleness::Ageing
        }
    }

    /// Whether every executor that is ready according to the view may receive work.
    pub(super) fn is_fresh(&self, now: f64) -> bool {
        self.staleness(now) == Staleness::Fresh
    }

    /// Whether an executor may receive work: the view lists it as ready, and it has not rejected so many dispatches in
    /// a row that it is assumed to be draining, given the staleness of the view. After a stall, the process sends
    /// nothing until the outcome of a new request is known.
    ///
    /// Failure mode: a stalled process resumes and makes decisions from a list that predates the stall.
    /// Risk: work is delayed until an answer arrives or is known to be missing.
    pub(super) fn accepts_work(&self, executor: &Executor, now: f64) -> bool {
        let rejections = executor.consecutive_rejections();
        executor.is_ready()
            && match self.staleness(now) {
                Staleness::Fresh => true,
                Staleness::Ageing => rejections < MAX_REJECTIONS_AGEING,
                Staleness::Unknown => rejections < MAX_REJECTIONS_UNKNOWN,
                Staleness::Suspended => false,
            }
    }
}
