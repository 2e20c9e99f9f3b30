//! The replicated state machine: keys with all their versions, and leases. It has no sockets and no clock of its own;
//! `cluster` tracks how much of it each member has seen.

use super::history::{History, KeyRange};
use super::lease::Leases;
use super::{INVALID_ARGUMENT, NOT_FOUND, refuse};
use bytes::Bytes;
use event_listener::{Event as Notification, EventListener};
use orchidtally_etcd::grpc::{OUT_OF_RANGE, Status};
use orchidtally_etcd::rpc::*;

/// The first revision of an empty store.
const FIRST_REVISION: i64 = 1;

/// The part of the history that a reader sees. Members that follow the leader see the newest state; a partitioned
/// member sees the state from when it lost the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// The last visible revision.
    pub revision: i64,
    /// The revision of the last known compaction; 0 if there is none.
    pub compacted: i64,
}

/// Keys with all their versions since the last compaction, and leases.
#[derive(Debug)]
pub struct Store {
    /// The cluster id in response headers.
    pub cluster: u64,
    /// The newest revision.
    pub revision: i64,
    /// The revision of the last compaction; 0 before the first one. Reads at older revisions are rejected.
    pub compacted: i64,
    pub(super) history: History,
    pub(super) leases: Leases,
    /// The history from this revision on is kept despite compactions, for members that have not seen them.
    pinned: Option<i64>,
    /// The member id and the Raft term in response headers.
    responder: (u64, u64),
    changed: Notification,
}

impl Store {
    /// Creates an empty store for the cluster with this id.
    pub fn new(cluster: u64) -> Store {
        Store {
            cluster,
            revision: FIRST_REVISION,
            compacted: 0,
            history: History::default(),
            leases: Leases::default(),
            pinned: None,
            responder: (1, 1),
            changed: Notification::new(),
        }
    }

    /// The header of a response from the newest state.
    pub fn header(&self) -> Option<ResponseHeader> {
        self.header_of(self.view())
    }

    pub(super) fn header_of(&self, view: View) -> Option<ResponseHeader> {
        let (member_id, raft_term) = self.responder;
        let (cluster_id, revision) = (self.cluster, view.revision);
        Some(ResponseHeader {
            cluster_id,
            member_id,
            revision,
            raft_term,
        })
    }

    /// Sets the member id and the Raft term for the following response headers.
    pub(super) fn set_responder(&mut self, member_id: u64, raft_term: u64) {
        self.responder = (member_id, raft_term);
    }

    /// The view of the newest state.
    pub fn view(&self) -> View {
        View {
            revision: self.revision,
            compacted: self.compacted,
        }
    }

    /// Returns a listener for the next change: a write, a compaction, or a change of a member's view.
    pub(super) fn next_change(&self) -> EventListener {
        self.changed.listen()
    }

    pub(super) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Reads a range from the newest state, or at the revision that the request names.
    pub fn range(&self, request: &RangeRequest) -> Result<RangeResponse, Status> {
        self.range_in(request, self.view())
    }

    /// Reads a range as a member with this view does. Fails for an empty key, a compacted or a future revision.
    pub fn range_in(&self, request: &RangeRequest, view: View) -> Result<RangeResponse, Status> {
        self.check_range(request, view)?;
        let revision = if request.revision > 0 {
            request.revision
        } else {
            view.revision
        };
        Ok(self.read_range(request, revision, view))
    }

    pub(super) fn check_range(&self, request: &RangeRequest, view: View) -> Result<(), Status> {
        check_key(&request.key)?;
        if request.revision > 0 && request.revision < view.compacted {
            return refuse(
                OUT_OF_RANGE,
                "etcdserver: mvcc: required revision has been compacted",
            );
        }
        if request.revision > view.revision {
            return refuse(
                OUT_OF_RANGE,
                "etcdserver: mvcc: required revision is a future revision",
            );
        }
        Ok(())
    }

    /// Reads a range that has been checked. As in etcd, `count` includes all keys of the range, regardless of the limit
    /// and the revision filters.
    pub(super) fn read_range(
        &self,
        request: &RangeRequest,
        revision: i64,
        view: View,
    ) -> RangeResponse {
        let range = KeyRange::new(&request.key, &request.range_end);
        let mut response = RangeResponse {
            header: self.header_of(view),
            ..RangeResponse::default()
        };
        if request.count_only {
            response.count = self.history.entries_at(&range, revision).count() as i64;
            return response;
        }
        let limit = if request.limit > 0 {
            request.limit as usize
        } else {
            usize::MAX
        };
        for entry in self.history.entries_at(&range, revision) {
            response.count += 1;
            if !is_wanted(request, entry) {
                continue;
            }
            if response.kvs.len() == limit {
                response.more = true;
                continue;
            }
            let mut entry = entry.clone();
            if request.keys_only {
                entry.value = Bytes::new();
            }
            response.kvs.push(entry);
        }
        response
    }

    pub(super) fn check_put(&self, put: &PutRequest) -> Result<(), Status> {
        check_key(&put.key)?;
        if put.lease != 0 && !self.leases.contains(put.lease) {
            return refuse(NOT_FOUND, "etcdserver: requested lease not found");
        }
        Ok(())
    }

    /// Writes a put that has been checked, and returns the previous entry of the key.
    pub(super) fn write_put(&mut self, revision: i64, put: &PutRequest) -> Option<KeyValue> {
        let before = self.history.entry_at(&put.key, revision).cloned();
        let entry = KeyValue {
            key: put.key.clone(),
            create_revision: before.as_ref().map_or(revision, |b| b.create_revision),
            mod_revision: revision,
            version: before.as_ref().map_or(1, |b| b.version + 1),
            value: put.value.clone(),
            lease: put.lease,
        };
        self.leases
            .move_key(&put.key, before.as_ref().map_or(0, |b| b.lease), put.lease);
        self.history.write(revision, &put.key, Some(entry));
        before
    }

    /// Deletes a range and returns the deleted entries.
    pub(super) fn write_delete(
        &mut self,
        revision: i64,
        delete: &DeleteRangeRequest,
    ) -> Vec<KeyValue> {
        let range = KeyRange::new(&delete.key, &delete.range_end);
        let deleted: Vec<KeyValue> = self.history.entries_at(&range, revision).cloned().collect();
        for entry in &deleted {
            self.leases.move_key(&entry.key, entry.lease, 0);
            self.history.write(revision, &entry.key, None);
        }
        deleted
    }

    /// Puts one key in a new revision. Fails for an empty key or an unknown lease.
    pub fn put(&mut self, put: &PutRequest) -> Result<PutResponse, Status> {
        self.check_put(put)?;
        let before = self.write_put(self.revision + 1, put);
        self.commit();
        Ok(PutResponse {
            header: self.header(),
            prev_kv: before.filter(|_| put.prev_kv),
        })
    }

    /// Deletes a range, in a new revision if it had any keys.
    pub fn delete(&mut self, delete: &DeleteRangeRequest) -> DeleteRangeResponse {
        let entries = self.write_delete(self.revision + 1, delete);
        if !entries.is_empty() {
            self.commit();
        }
        let deleted = entries.len() as i64;
        let prev_kvs = if delete.prev_kv { entries } else { vec![] };
        DeleteRangeResponse {
            header: self.header(),
            deleted,
            prev_kvs,
        }
    }

    /// Makes the writes at the next revision visible.
    pub(super) fn commit(&mut self) {
        self.revision += 1;
        self.notify();
    }

    /// Compacts the history up to `revision`. Fails if it is already compacted or in the future.
    pub fn compact(&mut self, revision: i64) -> Result<CompactionResponse, Status> {
        if revision <= self.compacted {
            return refuse(
                OUT_OF_RANGE,
                "etcdserver: mvcc: required revision has been compacted",
            );
        }
        if revision > self.revision {
            return refuse(
                OUT_OF_RANGE,
                "etcdserver: mvcc: required revision is a future revision",
            );
        }
        self.compacted = revision;
        self.drop_compacted();
        self.notify();
        Ok(CompactionResponse {
            header: self.header(),
        })
    }

    fn drop_compacted(&mut self) {
        let floor = self.pinned.unwrap_or(self.compacted).min(self.compacted);
        self.history.drop_before(floor);
    }

    /// Keeps the history from this revision on despite compactions; `None` releases it.
    pub(super) fn pin(&mut self, revision: Option<i64>) {
        if std::mem::replace(&mut self.pinned, revision) != revision {
            self.drop_compacted();
        }
    }

    /// Returns all events of a range from a revision on. Fails with the lowest watchable revision if `from` is
    /// compacted.
    pub fn events(&self, from: i64, key: &[u8], range_end: &[u8]) -> Result<Vec<Event>, i64> {
        let view = self.view();
        check_watchable(from, view)?;
        Ok(self
            .history
            .events(&KeyRange::new(key, range_end), from, view.revision)
            .cloned()
            .collect())
    }

    /// Grants a lease for `time_to_live` seconds.
    pub fn grant(&mut self, now: f64, time_to_live: i64) -> LeaseGrantResponse {
        let id = self.leases.grant(now, time_to_live);
        LeaseGrantResponse {
            header: self.header(),
            id,
            ttl: time_to_live,
            error: String::new(),
        }
    }

    /// Renews a lease. The time to live in the response is 0 if the lease has ended.
    pub fn keep_alive(&mut self, now: f64, id: i64) -> LeaseKeepAliveResponse {
        let ttl = self.leases.keep_alive(now, id);
        LeaseKeepAliveResponse {
            header: self.header(),
            id,
            ttl,
        }
    }

    /// Ends a lease and deletes its keys in one revision.
    pub fn revoke(&mut self, id: i64) {
        let keys = self.leases.remove(id).unwrap_or_default();
        if keys.is_empty() {
            return;
        }
        for key in &keys {
            self.history.write(self.revision + 1, key, None);
        }
        self.commit();
    }

    /// Ends the leases that have expired at `now`.
    pub fn expire(&mut self, now: f64) {
        for id in self.leases.ended(now) {
            self.revoke(id);
        }
    }

    /// Ends all leases, even those that their owners still renew.
    pub fn expire_all(&mut self) {
        for id in self.leases.ids() {
            self.revoke(id);
        }
    }

    /// Resets the store to an older revision, as a restore from a backup does. All later writes are lost.
    pub fn restore(&mut self, revision: i64) {
        let revision = revision.max(self.compacted).max(FIRST_REVISION);
        self.history.drop_after(revision);
        self.revision = self.revision.min(revision);
        let all = KeyRange::new(&[], &[0]);
        let entries = self.history.entries_at(&all, self.revision);
        self.leases
            .reattach(entries.map(|entry| (&entry.key, entry.lease)));
        self.notify();
    }

    /// The size of the retained keys, values and history, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.history.payload_bytes()
    }
}

pub(super) fn check_key(key: &[u8]) -> Result<(), Status> {
    if key.is_empty() {
        return refuse(INVALID_ARGUMENT, "etcdserver: key is not provided");
    }
    Ok(())
}

/// Checks that a watch can start at `from`. Fails with the lowest revision from which a watch can still start.
pub(super) fn check_watchable(from: i64, view: View) -> Result<(), i64> {
    if from > 0 && view.compacted > 0 && from <= view.compacted {
        return Err(view.compacted + 1);
    }
    Ok(())
}

fn is_wanted(request: &RangeRequest, entry: &KeyValue) -> bool {
    let within = |revision, min, max| revision >= min && (max == 0 || revision <= max);
    within(
        entry.mod_revision,
        request.min_mod_revision,
        request.max_mod_revision,
    ) && within(
        entry.create_revision,
        request.min_create_revision,
        request.max_create_revision,
    )
}
