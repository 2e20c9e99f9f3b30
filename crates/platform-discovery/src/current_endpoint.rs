//! An executor of the view: how lists update it, and when it started.

use crate::DiscoveredEndpoint;
use orchidtally_dispatch_policy::interface::EndpointState;

/// The maximum time in seconds from an executor's start until it is listed: the executor has to become ready, and the
/// resolver reports a change within 1.5 s.
///
/// Failure mode: executors that take long to become ready (2 to 3 s were observed) would count as started only when
/// they are listed.
/// Risk: start times are wrong by up to this much if the wall clock is ahead by no more than this.
const MAX_LISTING_DELAY: f64 = 4.0;

/// An executor of the view.
#[derive(Clone, Debug)]
pub(crate) struct CurrentEndpoint {
    /// The endpoint as it was listed.
    pub(crate) listed: DiscoveredEndpoint,
    /// The latest time at which the executor can have started, on the caller's clock.
    pub(crate) started_at: f64,
    /// The endpoint on the last list if it differs in more than the state. It is used once the next list repeats it.
    pub(crate) unconfirmed: Option<DiscoveredEndpoint>,
}

impl CurrentEndpoint {
    /// Creates an endpoint as a list has it.
    pub(crate) fn new(listed: DiscoveredEndpoint, started_at: f64) -> CurrentEndpoint {
        CurrentEndpoint {
            listed,
            started_at,
            unconfirmed: None,
        }
    }

    /// Returns the endpoint updated from a later list that has it with the same start time. The state changes at once,
    /// other attributes only when two consecutive lists agree on them.
    ///
    /// Failure mode: because of one damaged record, the executor would be contacted at a wrong address, found
    /// unreachable and considered broken.
    /// Risk: a change of the executor's address takes effect 0.2 s later.
    pub(crate) fn updated(&self, reported: &DiscoveredEndpoint) -> CurrentEndpoint {
        let mut listed = self.listed.clone();
        listed.endpoint.state = reported.endpoint.state;
        if listed == *reported {
            return CurrentEndpoint::new(listed, self.started_at);
        }
        // All candidates get the same state, so that the state is not part of the comparison.
        let mut differing = reported.clone();
        differing.endpoint.state = EndpointState::Ready;
        if self.unconfirmed.as_ref() == Some(&differing) {
            return CurrentEndpoint::new(reported.clone(), self.started_at);
        }
        CurrentEndpoint {
            listed,
            started_at: self.started_at,
            unconfirmed: Some(differing),
        }
    }

    /// Whether the executor was listed as ready.
    pub(crate) fn is_ready(&self) -> bool {
        self.listed.endpoint.state == EndpointState::Ready
    }
}

/// Estimates when an executor started whose reported start time is `reported`. It was last known to be absent from the
/// list at `absent_at`, and was first listed at `listed_at`.
///
/// Start times are taken from the wall clocks of other machines, and the wall clock of this machine may have been
/// stepped. The true start is between `absent_at` and `listed_at` or at most `MAX_LISTING_DELAY` before. If the reported
/// one is not, the executor counts as started at `listed_at`.
/// Failure mode: an executor that has just started would get the load of a warm one.
/// Risk: an executor may get too little load for a while.
pub(crate) fn plausible_start(reported: f64, absent_at: f64, listed_at: f64) -> f64 {
    let is_plausible = (absent_at - MAX_LISTING_DELAY..=listed_at).contains(&reported);
    if reported == f64::NEG_INFINITY || is_plausible {
        reported
    } else {
        listed_at
    }
}
