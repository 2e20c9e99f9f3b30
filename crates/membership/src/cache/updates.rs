//! How lists and watch events change the cache.

use super::entry::{CachedEntry, drained_executor_key, with_state};
use super::{EndpointCache, EndpointUpdate, EntryParser, MAX_REMEMBERED_ERRORS};
use crate::{EntryChange, StoreRevision};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState, EndpointUpdateKind};
use std::collections::BTreeSet;

impl EndpointCache {
    /// Applies a list of all entries, complete at one revision. `parse` parses the entries.
    ///
    /// The first list gives a full update, later ones the difference, or `None` if there is none.
    pub fn apply_list(
        &mut self,
        now: f64,
        revision: StoreRevision,
        list: &[EntryChange],
        parse: &EntryParser,
    ) -> Option<EndpointUpdate> {
        self.last_response_at = now;
        self.relists += u64::from(self.has_list);
        let is_rollback = self.revision.is_some_and(|known| {
            known.cluster != revision.cluster || known.revision > revision.revision
        });
        self.store_rollbacks += u64::from(is_rollback);
        self.revision = Some(revision);
        self.needs_list = false;
        self.last_list_at = now;
        self.operator_drains = list
            .iter()
            .filter_map(|entry| drained_executor_key(entry.key))
            .map(<[u8]>::to_vec)
            .collect();

        let mut changed = vec![];
        for entry in list {
            if drained_executor_key(entry.key).is_none() {
                self.apply_listed_entry(entry, is_rollback, parse, &mut changed);
            }
        }
        self.apply_operator_drains_to_retained(&mut changed);
        let missing = self.keys_missing_from(list);
        self.remove(now, missing, is_rollback, &mut changed);
        if !std::mem::replace(&mut self.has_list, true) {
            return Some(EndpointUpdate {
                kind: EndpointUpdateKind::Full,
                endpoints: self.endpoints().cloned().collect(),
            });
        }
        EndpointUpdate::delta(changed)
    }

    fn apply_listed_entry(
        &mut self,
        entry: &EntryChange,
        is_rollback: bool,
        parse: &EntryParser,
        changed: &mut Vec<Endpoint>,
    ) {
        let Some(endpoint) = self.parse_entry(entry, parse) else {
            return;
        };
        let was_drained = self.drain_history.contains(entry.key, &endpoint);
        if is_rollback && endpoint.state == EndpointState::Ready && was_drained {
            self.insert_as_draining(entry, endpoint, changed);
            return;
        }
        let is_superseded = self.entries.get(entry.key).is_some_and(|known| {
            known.is_overridden(entry, &endpoint)
                || known.created == entry.created && known.modified > entry.modified
        });
        if is_rollback || !is_superseded {
            self.insert(entry, endpoint, changed);
        }
    }

    /// Inserts an entry of a restored store as draining, until the store has another entry.
    fn insert_as_draining(
        &mut self,
        entry: &EntryChange,
        endpoint: Endpoint,
        changed: &mut Vec<Endpoint>,
    ) {
        let draining = with_state(&endpoint, EndpointState::Draining);
        self.insert(entry, draining, changed);
        if let Some(cached) = self.entries.get_mut(entry.key) {
            cached.overridden = Some(endpoint);
        }
    }

    fn keys_missing_from(&self, list: &[EntryChange]) -> Vec<Vec<u8>> {
        let listed: BTreeSet<&[u8]> = list.iter().map(|entry| entry.key).collect();
        self.entries
            .keys()
            .filter(|key| !listed.contains(key.as_slice()))
            .cloned()
            .collect()
    }

    /// Applies the events of a watch response at `revision`. Events that were applied before are skipped. `parse`
    /// parses the entries. `None` if no endpoint changed.
    pub fn apply_events(
        &mut self,
        now: f64,
        revision: StoreRevision,
        events: &[EntryChange],
        parse: &EntryParser,
    ) -> Option<EndpointUpdate> {
        let known = self
            .revision
            .filter(|known| known.cluster == revision.cluster);
        let Some(known) = known else {
            self.needs_list = true;
            return None;
        };
        self.last_response_at = now;
        let mut changed = vec![];
        let mut removed = vec![];
        for event in events {
            if event.modified <= known.revision {
                continue;
            }
            if let Some(executor_key) = drained_executor_key(event.key) {
                self.apply_operator_drain(executor_key, event.value.is_some(), &mut changed);
                continue;
            }
            if event.value.is_none() {
                removed.push(event.key.to_vec());
                continue;
            }
            // An entry that is deleted and created again within one response belongs to another executor.
            if let Some(position) = removed.iter().position(|key| key == event.key) {
                let key = removed.swap_remove(position);
                self.remove(now, vec![key], false, &mut changed);
            }
            if let Some(endpoint) = self.parse_entry(event, parse) {
                self.insert(event, endpoint, &mut changed);
            }
        }
        self.remove(now, removed, false, &mut changed);
        self.revision = Some(StoreRevision {
            revision: known.revision.max(revision.revision),
            ..revision
        });
        EndpointUpdate::delta(changed)
    }

    /// Applies an operator's drain of an executor, or its withdrawal.
    fn apply_operator_drain(
        &mut self,
        executor_key: &[u8],
        is_drained: bool,
        changed: &mut Vec<Endpoint>,
    ) {
        if is_drained {
            self.operator_drains.insert(executor_key.to_vec());
        } else {
            self.operator_drains.remove(executor_key);
        }
        let Some(entry) = self.entries.get_mut(executor_key) else {
            return;
        };
        let unchanged = EntryChange {
            key: executor_key,
            value: None,
            created: entry.created,
            modified: entry.modified,
        };
        // The withdrawal of an operator's drain also ends a drain from before a rollback.
        let restored = entry.overridden.take_if(|_| !is_drained);
        let registered = restored.unwrap_or_else(|| entry.registered.clone());
        let retained_since = entry.retained_since;
        self.insert(&unchanged, registered, changed);
        // The store still lacks an entry that it lacked before.
        if let Some(entry) = self.entries.get_mut(executor_key) {
            entry.retained_since = retained_since;
        }
    }

    /// Applies the operator's drains of a list to executors that are retained, which the list lacks.
    fn apply_operator_drains_to_retained(&mut self, changed: &mut Vec<Endpoint>) {
        let is_drained_while_retained = |key: &&Vec<u8>| {
            self.entries
                .get(*key)
                .is_some_and(|entry| entry.is_retained() && entry.is_ready())
        };
        let drained: Vec<Vec<u8>> = self
            .operator_drains
            .iter()
            .filter(is_drained_while_retained)
            .cloned()
            .collect();
        for key in drained {
            self.apply_operator_drain(&key, true, changed);
        }
    }

    /// Parses an entry; if it can't be parsed, its error is remembered.
    fn parse_entry(&mut self, entry: &EntryChange, parse: &EntryParser) -> Option<Endpoint> {
        match parse(entry.key, entry.value?) {
            Ok(endpoint) => {
                self.entry_errors.remove(entry.key);
                Some(endpoint)
            }
            Err(error) => {
                if self.entry_errors.len() < MAX_REMEMBERED_ERRORS {
                    self.entry_errors.insert(entry.key.to_vec(), error);
                }
                None
            }
        }
    }

    /// Inserts or replaces an entry and adds what this changes to `changed`.
    fn insert(&mut self, change: &EntryChange, registered: Endpoint, changed: &mut Vec<Endpoint>) {
        let is_drained_by_operator =
            self.operator_drains.contains(change.key) && registered.state == EndpointState::Ready;
        let state = if is_drained_by_operator {
            EndpointState::Draining
        } else {
            registered.state
        };
        let endpoint = with_state(&registered, state);
        self.drain_history.record(change.key, &endpoint);
        let known = self.entries.get(change.key);
        let overridden = known
            .filter(|known| known.created == change.created && known.modified == change.modified)
            .and_then(|known| known.overridden.clone());
        let previous = known.map(|known| &known.endpoint);
        // Another executor has registered under the key, so the previous one is reported as gone first.
        if let Some(previous) = previous.filter(|known| known.executor != endpoint.executor) {
            changed.push(with_state(previous, EndpointState::Gone));
        }
        if previous != Some(&endpoint) {
            changed.push(endpoint.clone());
        }
        let entry = CachedEntry {
            endpoint,
            registered,
            created: change.created,
            modified: change.modified,
            overridden,
            retained_since: None,
        };
        self.entries.insert(change.key.to_vec(), entry);
    }

    /// Removes entries that the store no longer has. Ready executors are retained for now if many disappear together
    /// or if the store `is_rollback`.
    fn remove(
        &mut self,
        now: f64,
        keys: Vec<Vec<u8>>,
        is_rollback: bool,
        changed: &mut Vec<Endpoint>,
    ) {
        // The removal of a draining executor is expected.
        let is_unexpected = |entry: &CachedEntry| entry.is_ready() && !entry.is_retained();
        let unexpected = keys
            .iter()
            .filter(|key| self.entries.get(*key).is_some_and(is_unexpected))
            .count();
        let is_mass_expiry = self.mass_expiry.record(now, unexpected, self.entries.len());
        for key in keys {
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if (is_mass_expiry || is_rollback) && entry.is_ready() {
                entry.retained_since.get_or_insert(now);
                continue;
            }
            changed.push(with_state(&entry.endpoint, EndpointState::Gone));
            self.entries.remove(&key);
        }
    }
}
