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
    stamp: Cell<Option<StoreRevision>>,
    /// A list has to come before the next watch.
    is_stale: Cell<bool>,
    indices: RefCell<BTreeSet<u32>>,
    /// When the last question that was answered was sent.
    current_as_of: Cell<f64>,
}

impl<H: MembershipHost> FrontEndsFollower<H> {
    pub fn new(host: Rc<H>) -> FrontEndsFollower<H> {
        FrontEndsFollower {
            host,
            stamp: Cell::new(None),
            is_stale: Cell::new(false),
            indices: RefCell::default(),
            current_as_of: Cell::new(f64::NEG_INFINITY),
        }
    }

    fn saw(&self, began: f64) {
        self.current_as_of.set(began);
        self.host
            .members()
            .borrow_mut()
            .record_view(began, self.indices.borrow().iter().copied());
        self.host.on_membership_change();
    }
}

impl<H: MembershipHost> Follower for FrontEndsFollower<H> {
    fn now(&self) -> f64 {
        self.host.now()
    }

    fn next_request(&self) -> NextRequest {
        match self.stamp.get() {
            Some(stamp) if !self.is_stale.get() => NextRequest::Watch(stamp.revision + 1),
            _ => NextRequest::List,
        }
    }

    fn on_list(&self, began: f64, header: &ResponseHeader, list: &[KeyValue]) {
        *self.indices.borrow_mut() = list
            .iter()
            .filter_map(|entry| entries::index(&entry.key))
            .collect();
        self.stamp.set(Some(entries::stamp(header)));
        self.is_stale.set(false);
        self.saw(began);
    }

    fn on_events(&self, header: &ResponseHeader, events: &[Event]) {
        for change in entries::changes(events) {
            let Some(index) = entries::index(change.key) else {
                continue;
            };
            match change.value {
                Some(_) => self.indices.borrow_mut().insert(index),
                None => self.indices.borrow_mut().remove(&index),
            };
        }
        self.stamp.set(Some(entries::stamp(header)));
        // The delay of an event is unknown: the view is as old as the last answered request.
        self.saw(self.current_as_of.get());
    }

    fn on_progress(&self, began: Option<f64>, header: &ResponseHeader) {
        let stamp = entries::stamp(header);
        let is_other = |known: StoreRevision| {
            known.cluster != stamp.cluster || known.revision > stamp.revision
        };
        if self.stamp.get().is_some_and(is_other) {
            self.is_stale.set(true);
            return;
        }
        self.stamp.set(Some(stamp));
        if let Some(began) = began {
            self.saw(began);
        }
    }

    /// How old the view is, is known from when it was seen last.
    fn on_failure(&self, _began: f64) {}

    fn on_compaction(&self) {
        self.is_stale.set(true);
    }

    fn on_tick(&self) {
        self.host.on_membership_change();
    }
}
