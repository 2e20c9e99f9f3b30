//! How old the view of executors is, and what may be done at which age. The constraints ask it of every dispatch and
//! load command, when it is decided and again as its bytes are sent.

use crate::random::SeededRandom;
use crate::state::Executor;

/// Seconds for which a view counts as fresh where no drain grace is configured.
const DEFAULT_FRESH_FOR: f64 = 1.0;
/// Seconds after which whatever a silent source of the endpoint list would have announced counts as announced, by the
/// platform's protocol.
const UNKNOWN_AFTER: f64 = 4.5;
/// Seconds after which a source that answers, but with older answers only, counts as late: what it has announced was
/// announced long ago. Less may be a few lost answers; a silent source is known to be silent by then.
const LATE_AFTER: f64 = 2.6;
/// Rejections in a row after which an executor is taken to drain, while the view is ageing.
///
/// Failure mode: an executor drains while the source of the endpoint list can't announce it.
/// Risk: an executor that is only crowded gets no work until a list comes.
const MAX_REJECTIONS_AGEING: usize = 4;
/// The same while nothing is known any more.
const MAX_REJECTIONS_UNKNOWN: usize = 1;
/// Mean seconds from a failed subscription to the endpoint list to the next one.
const MEAN_SUBSCRIPTION_RETRY_DELAY: f64 = 1.0;

/// The delay of the next subscription after a failed one, in seconds: half to one and a half of the mean.
pub(super) fn subscription_retry_delay(random: &mut SeededRandom) -> f64 {
    MEAN_SUBSCRIPTION_RETRY_DELAY * (0.5 + random.next_f64())
}

/// How far a view can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Staleness {
    /// Whatever is missing was announced within the drain grace, if at all.
    Fresh,
    /// Nothing new was heard for a while; what is missing most likely was not announced to anybody.
    Ageing,
    /// What is missing counts as announced.
    Unknown,
    /// The process stalled and has heard nothing since: it can't even know whether there is something to hear.
    Suspended,
}

/// When the view of executors was last true.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointView {
    /// Seconds for which work may go to an executor after its draining was announced; 0 if that is not announced.
    drain_grace: f64,
    /// When the request was sent that the view answers, in seconds; `None` where the list is pushed, and its source
    /// watches the connection.
    confirmed_at: Option<f64>,
    /// When the process resumed after a stall, until a request sent after it is answered or known to be lost.
    resumed_at: Option<f64>,
    /// The source of the list is known to be silent.
    is_source_silent: bool,
}

impl EndpointView {
    /// A view that was never confirmed.
    pub(super) fn new(drain_grace: f64) -> EndpointView {
        EndpointView {
            drain_grace,
            confirmed_at: None,
            resumed_at: None,
            is_source_silent: false,
        }
    }

    /// A request for the list sent at a time was answered: the view was true then.
    pub(super) fn record_confirmation(&mut self, requested_at: f64) {
        let last = self.confirmed_at.unwrap_or(requested_at);
        self.confirmed_at = Some(last.max(requested_at));
        self.is_source_silent = false;
        self.end_suspension(requested_at);
    }

    /// A request for the list sent at a time is not answered.
    pub(super) fn record_unanswered_request(&mut self, requested_at: f64) {
        self.is_source_silent = true;
        self.end_suspension(requested_at);
    }

    /// What became of a request sent at a time is known.
    fn end_suspension(&mut self, requested_at: f64) {
        self.resumed_at
            .take_if(|resumed_at| requested_at >= *resumed_at);
    }

    /// The process stalled until now.
    pub(super) fn on_process_stall(&mut self, now: f64) {
        self.resumed_at = self.confirmed_at.and(Some(now));
    }

    /// The list was received, or can't be had. That nobody answers is known from requests sent while the process ran.
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

    /// Whether every executor that the view says is ready may get work.
    pub(super) fn is_fresh(&self, now: f64) -> bool {
        self.staleness(now) == Staleness::Fresh
    }

    /// Whether an executor may get work: the view says that it is ready, and it was not seen to drain as far as the
    /// view can be relied on. A process that stalled sends nothing until it has heard again.
    ///
    /// Failure mode: a stalled process resumes and decides by a list from before the stall.
    /// Risk: work is delayed by the time of one answer, or of finding out that none comes.
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
