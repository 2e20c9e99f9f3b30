//! Executors that were reported as draining or gone: what a restored store, later lists and a mass expiry make of them.

mod kit;

use kit::parse_entry;
use orchidtally_dispatch_policy::interface::EndpointState;
use orchidtally_membership::{EndpointCache, EndpointUpdate, EntryChange, StoreRevision};
use std::collections::BTreeMap;

/// The number of executors on a full list.
const EXECUTORS: usize = 12;

/// A cache that follows a store, and the states that it has reported.
struct FollowedStore {
    cache: EndpointCache,
    states: BTreeMap<String, EndpointState>,
}

/// An entry of the store: key, value, and the revisions of its creation and last modification.
type Entry = (String, &'static str, i64, i64);

fn key(n: usize) -> String {
    format!("/executors/{n}")
}

/// The entries of all executors, ready and never modified.
fn all_ready() -> Vec<Entry> {
    (0..EXECUTORS).map(|n| (key(n), "ready 0", 1, 1)).collect()
}

fn revision(revision: i64) -> StoreRevision {
    StoreRevision {
        cluster: 1,
        revision,
    }
}

impl FollowedStore {
    /// A cache that has a list of all executors at revision 10.
    fn new() -> FollowedStore {
        let mut store = FollowedStore {
            cache: EndpointCache::new(0.0),
            states: BTreeMap::new(),
        };
        store.list(10, &all_ready());
        store
    }

    fn list(&mut self, at: i64, entries: &[Entry]) {
        let list: Vec<EntryChange> = entries.iter().map(present).collect();
        let update = self
            .cache
            .apply_list(1.0, revision(at), &list, &parse_entry);
        self.apply(update);
    }

    fn put(&mut self, key: &str, value: &'static str, created: i64, at: i64) {
        let entry = (key.to_owned(), value, created, at);
        let event = [present(&entry)];
        let update = self
            .cache
            .apply_events(1.0, revision(at), &event, &parse_entry);
        self.apply(update);
    }

    fn delete(&mut self, key: &str, at: i64) {
        let event = [EntryChange {
            key: key.as_bytes(),
            value: None,
            created: 0,
            modified: at,
        }];
        let update = self
            .cache
            .apply_events(1.0, revision(at), &event, &parse_entry);
        self.apply(update);
    }

    fn apply(&mut self, update: Option<EndpointUpdate>) {
        for endpoint in update.into_iter().flat_map(|update| update.endpoints) {
            let name = endpoint.executor.0.to_string();
            self.states.insert(name, endpoint.state);
        }
    }

    /// The reported state of an executor.
    fn state(&self, n: usize) -> EndpointState {
        self.states[&format!("10.0.0.{n}")]
    }
}

fn present(entry: &Entry) -> EntryChange<'_> {
    EntryChange {
        key: entry.0.as_bytes(),
        value: Some(entry.1.as_bytes()),
        created: entry.2,
        modified: entry.3,
    }
}

/// Guards against a drain that a restored store undoes late: the list that showed the restore made no draining executor
/// ready, but the next one did, from the same unchanged entry.
#[test]
fn a_list_after_a_store_rollback_makes_no_draining_executor_ready() {
    let mut store = FollowedStore::new();
    store.put(&key(0), "draining 0", 1, 11);
    store.list(5, &all_ready());
    assert_eq!(store.cache.store_rollbacks(), 1);
    assert_eq!(store.state(0), EndpointState::Draining);
    for at in [5, 6] {
        store.list(at, &all_ready());
        assert_eq!(store.state(0), EndpointState::Draining, "revision {at}");
    }
    store.put(&key(0), "ready 0", 1, 7);
    assert_eq!(store.state(0), EndpointState::Ready, "it registers again");
}

/// Guards against an executor that starves after a rollback: the store has caught up, and has another value under the
/// revision of the one that was considered as draining.
#[test]
fn another_value_under_the_revision_of_a_restored_entry_counts() {
    let mut store = FollowedStore::new();
    store.put(&key(0), "draining 0", 1, 11);
    let mut restored = all_ready();
    restored[0] = (key(0), "ready 0", 1, 4);
    store.list(5, &restored);
    assert_eq!(store.state(0), EndpointState::Draining);
    restored[0] = (key(0), "ready 9", 1, 4);
    store.list(6, &restored);
    assert_eq!(store.state(0), EndpointState::Ready);
}

/// Guards against an operator who can't end a drain from before a rollback, because the store has lost the drain's key.
#[test]
fn an_operator_ends_a_drain_from_before_a_rollback_by_a_drain_and_its_withdrawal() {
    let drain = format!("{}/drain", key(0));
    let mut store = FollowedStore::new();
    store.put(&drain, "", 11, 11);
    store.list(5, &all_ready());
    assert_eq!(store.state(0), EndpointState::Draining);
    store.put(&drain, "", 6, 6);
    assert_eq!(store.state(0), EndpointState::Draining);
    store.delete(&drain, 7);
    assert_eq!(store.state(0), EndpointState::Ready);
    store.list(8, &all_ready());
    assert_eq!(store.state(0), EndpointState::Ready);
}

/// Guards against an operator who can't drain an executor that is retained after a mass expiry: the drain was ignored,
/// and the executor got work for as long as it answered.
#[test]
fn an_operator_drains_an_executor_that_is_retained_after_a_mass_expiry() {
    let drain = format!("{}/drain", key(0));
    let drained: Entry = (drain.clone(), "", 21, 21);
    let by_event = |store: &mut FollowedStore| store.put(&drain, "", 21, 21);
    let by_list = |store: &mut FollowedStore| store.list(21, std::slice::from_ref(&drained));
    let forms: [&dyn Fn(&mut FollowedStore); 2] = [&by_event, &by_list];
    for learn_of_drain in forms {
        let mut store = FollowedStore::new();
        store.list(20, &[]);
        assert_eq!(store.cache.executor_counts().retained, EXECUTORS);
        assert_eq!(store.state(0), EndpointState::Ready);
        learn_of_drain(&mut store);
        assert_ne!(store.state(0), EndpointState::Ready);
        assert_eq!(store.state(1), EndpointState::Ready);
        // Nor is it ready for a restored store that has lost the drain's key.
        store.list(15, &[]);
        assert_ne!(store.state(0), EndpointState::Ready);
        assert_eq!(store.cache.executor_counts().retained, EXECUTORS - 1);
    }
    let mut store = FollowedStore::new();
    store.list(20, &[]);
    store.put(&drain, "", 21, 21);
    store.delete(&drain, 22);
    assert_eq!(
        store.state(0),
        EndpointState::Ready,
        "the drain is withdrawn"
    );
    assert_eq!(store.cache.executor_counts().retained, EXECUTORS);
}
