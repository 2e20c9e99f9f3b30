//! Follows the entries of all front ends.

use super::entries;
use super::follow::Follower;
use super::host::MembershipHost;
use orchidtally_etcd::rpc::{Event, KeyValue, ResponseHeader};
use orchidtally_membership::{NextRequest, StoreRevision};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Feeds a host's membership and notifies the host of changes.
pub(super) struct FrontEndsFollower<H> {
    host: Rc<H>,
    store_revision: Cell<Option<StoreRevision>>,
    /// A list is needed before the next watch.
    needs_list: Cell<bool>,
    indices: RefCell<BTreeSet<u32>>,
    /// When the last answered request was sent.
    current_as_of: Cell<f64>,
}

impl<H: MembershipHost> FrontEndsFollower<H> {
    pub fn new(host: Rc<H>) -> FrontEndsFollower<H> {
        FrontEndsFollower {
            host,
            store_revision: Cell::new(None),
            needs_list: Cell::new(false),
            indices: RefCell::default(),
            current_as_of: Cell::new(f64::NEG_INFINITY),
        }
    }

    fn record_view(&self, requested_at: f64) {
        self.current_as_of.set(requested_at);
        self.host
            .members()
            .borrow_mut()
            .record_view(requested_at, self.indices.borrow().iter().copied());
        self.host.on_membership_change();
    }
}

impl<H: MembershipHost> Follower for FrontEndsFollower<H> {
    fn now(&self) -> f64 {
        self.host.now()
    }

    fn next_request(&self) -> NextRequest {
        match self.store_revision.get() {
            Some(store_revision) if !self.needs_list.get() => {
                NextRequest::Watch(store_revision.revision + 1)
            }
            _ => NextRequest::List,
        }
    }

    fn on_list(&self, requested_at: f64, header: &ResponseHeader, list: &[KeyValue]) {
        *self.indices.borrow_mut() = list
            .iter()
            .filter_map(|entry| entries::front_end_index(&entry.key))
            .collect();
        self.store_revision
            .set(Some(entries::store_revision(header)));
        self.needs_list.set(false);
        self.record_view(requested_at);
    }

    fn on_events(&self, header: &ResponseHeader, events: &[Event]) {
        for change in entries::changes(events) {
            let Some(index) = entries::front_end_index(change.key) else {
                continue;
            };
            match change.value {
                Some(_) => self.indices.borrow_mut().insert(index),
                None => self.indices.borrow_mut().remove(&index),
            };
        }
        self.store_revision
            .set(Some(entries::store_revision(header)));
        // The delay of an event is unknown: the view is as old as the last answered request.
        self.record_view(self.current_as_of.get());
    }

    fn on_progress(&self, requested_at: Option<f64>, header: &ResponseHeader) {
        let store_revision = entries::store_revision(header);
        let is_inconsistent = |current: StoreRevision| {
            current.cluster != store_revision.cluster || current.revision > store_revision.revision
        };
        if self.store_revision.get().is_some_and(is_inconsistent) {
            self.needs_list.set(true);
            return;
        }
        self.store_revision.set(Some(store_revision));
        if let Some(requested_at) = requested_at {
            self.record_view(requested_at);
        }
    }

    /// The age of the view follows from the last answered request.
    fn on_failure(&self, _began: f64) {}

    fn on_compaction(&self) {
        self.needs_list.set(true);
    }

    fn on_tick(&self) {
        self.host.on_membership_change();
    }
}
