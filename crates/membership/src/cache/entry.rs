//! A cached entry of an executor.

use crate::EntryChange;
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState};

/// Suffix of the key by which an operator drains the executor whose key precedes it.
const OPERATOR_DRAIN_SUFFIX: &[u8] = b"/drain";

#[derive(Clone, Debug)]
pub(super) struct CachedEntry {
    /// The endpoint as reported to the dispatch policy.
    pub(super) endpoint: Endpoint,
    /// The endpoint as the executor registered it, without an operator's drain.
    pub(super) registered: Endpoint,
    /// Revision at which the entry was created.
    pub(super) created: i64,
    /// Revision at which the entry was last modified.
    pub(super) modified: i64,
    /// The endpoint that a restored store had, if it is considered as draining all the same.
    pub(super) overridden: Option<Endpoint>,
    /// Since when the store no longer has the entry, if it is retained all the same.
    pub(super) retained_since: Option<f64>,
}

impl CachedEntry {
    pub(super) fn is_retained(&self) -> bool {
        self.retained_since.is_some()
    }

    /// Whether an entry of the store is the one that is considered as draining although it says ready.
    pub(super) fn is_overridden(&self, entry: &EntryChange, endpoint: &Endpoint) -> bool {
        self.created == entry.created
            && self.modified == entry.modified
            && self.overridden.as_ref() == Some(endpoint)
    }

    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }
}

/// The executor's key, if `key` is an operator's drain of it.
pub(super) fn drained_executor_key(key: &[u8]) -> Option<&[u8]> {
    key.strip_suffix(OPERATOR_DRAIN_SUFFIX)
}

/// The endpoint in another state.
pub(super) fn with_state(endpoint: &Endpoint, state: EndpointState) -> Endpoint {
    Endpoint {
        state,
        ..endpoint.clone()
    }
}
