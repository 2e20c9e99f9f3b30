//! The cache of the executors in the store, maintained from its lists and watches.
//!
//! The cache guarantees that the dispatch policy is never given an older state of an executor after a newer one, that
//! no deletion is missed, and that a faulty store (stalled, emptied or restored from a backup) doesn't remove
//! executors that still respond.

mod drain_history;
mod entry;
mod mass_expiry;
mod updates;

use crate::{EntryError, NextRequest, StoreRevision};
use drain_history::DrainHistory;
use entry::{CachedEntry, with_state};
use mass_expiry::MassExpiryDetector;
use orchidtally_dispatch_policy::interface::{
    Endpoint, EndpointState, EndpointUpdateKind, ExecutorId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// The longest time between two lists, in seconds.
pub const LIST_INTERVAL: f64 = 300.0;
/// A retained executor is removed this long after it last responded, or after its entry disappeared, in seconds.
const RETENTION_AFTER_EXPIRY: f64 = 10.0;
/// Time for which the responses of executors are remembered, in seconds.
const RESPONSE_MEMORY: f64 = 10.0 * RETENTION_AFTER_EXPIRY;
/// Maximum number of unreadable entries whose errors are remembered.
const MAX_REMEMBERED_ERRORS: usize = 1_000;

/// Parses the key and value of an executor's entry.
pub type EntryParser<'r> = dyn Fn(&[u8], &[u8]) -> Result<Endpoint, EntryError> + 'r;

/// An update of the endpoint list for the dispatch policy.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Whether `endpoints` replaces the whole list or only changes it.
    pub kind: EndpointUpdateKind,
    /// The endpoints, in the order in which they have to be applied.
    pub endpoints: Vec<Endpoint>,
}

impl EndpointUpdate {
    /// A change of some endpoints; `None` if there are none.
    fn delta(endpoints: Vec<Endpoint>) -> Option<EndpointUpdate> {
        if endpoints.is_empty() {
            return None;
        }
        Some(EndpointUpdate {
            kind: EndpointUpdateKind::Delta,
            endpoints,
        })
    }
}

/// How many executors the cache has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExecutorCounts {
    /// All executors that are considered alive.
    pub known: usize,
    /// Those of them that the store no longer has, retained because too many disappeared together.
    pub retained: usize,
}

/// The cached entries of the store, and the request that it has to be sent next.
#[derive(Debug, Default)]
pub struct EndpointCache {
    /// The revision up to which the cache has followed the store.
    revision: Option<StoreRevision>,
    /// Whether a first list has been applied.
    has_list: bool,
    /// Whether a list has to precede the next watch.
    needs_list: bool,
    entries: BTreeMap<Vec<u8>, CachedEntry>,
    /// Keys of executors that an operator has drained.
    operator_drains: BTreeSet<Vec<u8>>,
    mass_expiry: MassExpiryDetector,
    /// When executors last responded.
    last_response_by_address: BTreeMap<(IpAddr, u16), f64>,
    entry_errors: BTreeMap<Vec<u8>, EntryError>,
    drain_history: DrainHistory,
    /// When the store last responded.
    last_response_at: f64,
    last_list_at: f64,
    relists: u64,
    store_rollbacks: u64,
}

fn address(executor: &ExecutorId) -> (IpAddr, u16) {
    (executor.0, executor.1)
}

impl EndpointCache {
    /// Creates an empty cache. The age of the store's last response counts from `now`.
    pub fn new(now: f64) -> EndpointCache {
        EndpointCache {
            last_response_at: now,
            ..EndpointCache::default()
        }
    }

    /// The request that has to be sent to the store next.
    pub fn next_request(&self) -> NextRequest {
        match self.revision {
            Some(known) if !self.needs_list => NextRequest::Watch(known.revision + 1),
            _ => NextRequest::List,
        }
    }

    /// Seconds since the store last responded.
    pub fn response_age(&self, now: f64) -> f64 {
        now - self.last_response_at
    }

    /// Entries that can't be read, by key. The last readable value of each stays in use.
    pub fn entry_errors(&self) -> impl Iterator<Item = (&[u8], &EntryError)> {
        self.entry_errors
            .iter()
            .map(|(key, error)| (key.as_slice(), error))
    }

    /// The revision up to which the store has been followed; 0 before the first list.
    pub fn revision(&self) -> i64 {
        self.revision.map_or(0, |known| known.revision)
    }

    /// Lists that were applied after the first one.
    pub fn relists(&self) -> u64 {
        self.relists
    }

    /// How often a list showed that the store was restored to an earlier revision, or that it is another cluster.
    pub fn store_rollbacks(&self) -> u64 {
        self.store_rollbacks
    }

    /// How many executors are cached.
    pub fn executor_counts(&self) -> ExecutorCounts {
        let entries = self.entries.values();
        ExecutorCounts {
            known: self.entries.len(),
            retained: entries.filter(|entry| entry.is_retained()).count(),
        }
    }

    /// All cached endpoints, by key.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().map(|entry| &entry.endpoint)
    }

    /// Handles that the revision from which a watch should start is compacted: a list is needed.
    pub fn on_compaction(&mut self) {
        self.needs_list = true;
    }

    /// Handles a progress notification: nothing has changed up to `revision`.
    pub fn on_progress(&mut self, now: f64, revision: StoreRevision) {
        self.last_response_at = now;
        // Failure mode: the store was restored from a backup and has since passed the known revision.
        // Risk: without regular lists no revision would show that entries differ.
        self.needs_list |= now - self.last_list_at > LIST_INTERVAL;
        match &mut self.revision {
            Some(known)
                if known.cluster == revision.cluster && known.revision <= revision.revision =>
            {
                known.revision = revision.revision;
            }
            // Another cluster, or one that was restored: its list is needed before its events.
            _ => self.needs_list = true,
        }
    }

    /// Records that an executor responded to a dispatch or a command.
    pub fn record_response(&mut self, now: f64, executor: &ExecutorId) {
        self.last_response_by_address.insert(address(executor), now);
    }

    /// Handles a failed connection to an executor. An executor that is only retained, because the store no longer has
    /// it, is removed.
    pub fn on_connection_failure(&mut self, executor: &ExecutorId) -> Option<EndpointUpdate> {
        let (key, _) = self
            .entries
            .iter()
            .find(|(_, entry)| entry.endpoint.executor == *executor && entry.is_retained())?;
        let key = key.clone();
        let entry = self.entries.remove(&key)?;
        EndpointUpdate::delta(vec![with_state(&entry.endpoint, EndpointState::Gone)])
    }

    /// Removes retained executors that haven't responded for long enough. Removes none while the store itself is
    /// silent.
    pub fn remove_expired(&mut self, now: f64) -> Option<EndpointUpdate> {
        let is_store_silent = self.response_age(now) > RETENTION_AFTER_EXPIRY;
        let expired: Vec<Vec<u8>> = self
            .entries
            .iter()
            .filter(|(_, entry)| !is_store_silent && self.is_expired(now, entry))
            .map(|(key, _)| key.clone())
            .collect();
        let gone = expired
            .iter()
            .filter_map(|key| self.entries.remove(key))
            .map(|entry| with_state(&entry.endpoint, EndpointState::Gone))
            .collect();
        self.last_response_by_address
            .retain(|_, at| now - *at < RESPONSE_MEMORY);
        EndpointUpdate::delta(gone)
    }

    fn is_expired(&self, now: f64, entry: &CachedEntry) -> bool {
        let Some(retained_since) = entry.retained_since else {
            return false;
        };
        let last_response = self
            .last_response_by_address
            .get(&address(&entry.endpoint.executor))
            .copied()
            .unwrap_or(f64::NEG_INFINITY);
        now > retained_since.max(last_response) + RETENTION_AFTER_EXPIRY
    }
}
