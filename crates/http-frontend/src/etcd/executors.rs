//! Follows the executors' entries.

use super::entries;
use super::follow::Follower;
use super::host::MembershipHost;
use orchidtally_etcd::rpc::{Event, KeyValue, ResponseHeader};
use orchidtally_membership::{EndpointUpdate, EntryChange, NextRequest};
use std::rc::Rc;
use tracing::debug;

/// Feeds a host's endpoint cache and notifies the host of changes.
pub(super) struct EndpointFollower<H> {
    host: Rc<H>,
}

impl<H: MembershipHost> EndpointFollower<H> {
    pub fn new(host: Rc<H>) -> EndpointFollower<H> {
        EndpointFollower { host }
    }

    fn notify_host(&self, update: Option<EndpointUpdate>) {
        if let Some(update) = update {
            self.host.on_endpoint_update(update.kind, &update.endpoints);
        }
    }
}

impl<H: MembershipHost> Follower for EndpointFollower<H> {
    fn now(&self) -> f64 {
        self.host.now()
    }

    fn next_request(&self) -> NextRequest {
        self.host.cache().borrow().next_request()
    }

    fn on_list(&self, requested_at: f64, header: &ResponseHeader, list: &[KeyValue]) {
        let now = self.host.now();
        let list: Vec<EntryChange> = list.iter().map(entries::entry_change).collect();
        let decode = |key: &[u8], value: &[u8]| {
            entries::decode_executor(self.host.deployment(), key, value, now)
        };
        let update = self.host.cache().borrow_mut().apply_list(
            now,
            entries::store_revision(header),
            &list,
            &decode,
        );
        self.notify_host(update);
        self.host.on_endpoints_confirmed(requested_at);
    }

    fn on_events(&self, header: &ResponseHeader, events: &[Event]) {
        let now = self.host.now();
        let changes = entries::changes(events);
        let decode = |key: &[u8], value: &[u8]| {
            entries::decode_executor(self.host.deployment(), key, value, now)
        };
        let update = self.host.cache().borrow_mut().apply_events(
            now,
            entries::store_revision(header),
            &changes,
            &decode,
        );
        for (key, error) in self.host.cache().borrow().entry_errors() {
            debug!(key = %String::from_utf8_lossy(key), %error, "executor entry can't be read, keeping its last valid value");
        }
        self.notify_host(update);
    }

    fn on_progress(&self, requested_at: Option<f64>, header: &ResponseHeader) {
        self.host
            .cache()
            .borrow_mut()
            .on_progress(self.host.now(), entries::store_revision(header));
        // As long as a list is needed, the cache may differ from the store.
        if let Some(requested_at) =
            requested_at.filter(|_| self.next_request() != NextRequest::List)
        {
            self.host.on_endpoints_confirmed(requested_at);
        }
    }

    fn on_failure(&self, requested_at: f64) {
        self.host.on_endpoint_request_unanswered(requested_at);
    }

    fn on_compaction(&self) {
        self.host.cache().borrow_mut().on_compaction();
    }

    fn on_tick(&self) {
        let update = self
            .host
            .cache()
            .borrow_mut()
            .remove_expired(self.host.now());
        self.notify_host(update);
    }
}
