//! A store, a watch with faults (disconnected, duplicated, late, compacted, rolled back) and a cache that follows it, in
//! random order.

use bytes::Bytes;
use orchidtally_dispatch_policy::interface::{
    Endpoint, EndpointState, EndpointUpdateKind, ExecutorId,
};
use orchidtally_etcd::rpc::{
    DeleteRangeRequest, Event, KeyValue, PutRequest, RangeRequest, WatchResponse,
};
use orchidtally_etcd::{Watch, WatchEvent, range_end};
use orchidtally_membership::{
    EndpointCache, EndpointUpdate, EntryChange, EntryError, NextRequest, StoreRevision,
};
use orchidtally_test_servers::etcd::Store;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, Ipv4Addr};

pub const PREFIX: &[u8] = b"/executors/";
pub const EXECUTORS: u8 = 12;

pub fn read(key: &[u8], value: &[u8]) -> Result<Endpoint, EntryError> {
    let n: u8 = std::str::from_utf8(&key[PREFIX.len()..])
        .unwrap()
        .parse()
        .unwrap();
    let text = std::str::from_utf8(value).unwrap();
    let (standing, since) = text.split_once(' ').ok_or(EntryError::MissingState)?;
    Ok(Endpoint {
        executor: ExecutorId(IpAddr::V4(Ipv4Addr::new(10, 0, 0, n)), 7),
        zone: 0,
        kind: 0,
        cell: 0,
        state: if standing == "ready" {
            EndpointState::Ready
        } else {
            EndpointState::Draining
        },
        weight: 1.0,
        started_at: since
            .parse()
            .map_err(|_| EntryError::NotANumber { field: "since" })?,
    })
}

pub fn change(kv: &KeyValue, deleted: bool) -> EntryChange<'_> {
    EntryChange {
        key: &kv.key,
        value: (!deleted).then_some(&kv.value[..]),
        created: kv.create_revision,
        modified: kv.mod_revision,
    }
}

pub struct World {
    random: SmallRng,
    now: f64,
    pub store: Store,
    pub cache: EndpointCache,
    watch: Option<Watch>,
    /// Responses in flight to the watcher.
    down: VecDeque<WatchResponse>,
    sent: i64,
    /// The last reported endpoint of each executor.
    pub told: BTreeMap<(IpAddr, u16), Endpoint>,
    /// Executors that were reported as draining, by their start; and how many of them became ready again.
    drained: BTreeSet<(IpAddr, u64)>,
    pub undrained: u32,
    pub lists: u32,
    starts: BTreeMap<Bytes, u32>,
}

impl World {
    pub fn new(seed: u64) -> World {
        World {
            random: SmallRng::seed_from_u64(seed),
            now: 0.0,
            store: Store::new(1),
            cache: EndpointCache::new(0.0),
            watch: None,
            down: VecDeque::new(),
            sent: 0,
            told: BTreeMap::new(),
            drained: BTreeSet::new(),
            undrained: 0,
            lists: 0,
            starts: BTreeMap::new(),
        }
    }

    fn key(&mut self) -> Bytes {
        let n = self.random.random_range(0..EXECUTORS);
        [PREFIX, n.to_string().as_bytes()].concat().into()
    }

    fn apply(&mut self, update: Option<EndpointUpdate>) {
        let Some(update) = update else { return };
        if update.kind == EndpointUpdateKind::Full {
            self.told.clear();
        }
        for row in update.endpoints {
            let start = (row.executor.0, row.started_at as u64);
            match row.state {
                EndpointState::Draining => {
                    self.drained.insert(start);
                }
                EndpointState::Ready if self.drained.remove(&start) => self.undrained += 1,
                _ => {}
            }
            self.told.insert((row.executor.0, row.executor.1), row);
        }
    }

    /// The store sends all events that the watch hasn't been sent.
    fn serve(&mut self) {
        let Some(watch) = &self.watch else { return };
        let from = self.sent.max(watch.next_revision());
        let answer = WatchResponse {
            header: self.store.header(),
            watch_id: 1,
            ..Default::default()
        };
        match self.store.events(from, PREFIX, &range_end(PREFIX)) {
            Err(least) => self.down.push_back(WatchResponse {
                canceled: true,
                compact_revision: least,
                ..answer
            }),
            Ok(events) => {
                let parts: Vec<Vec<Event>> = events.chunks(2).map(<[Event]>::to_vec).collect();
                let last = parts.len();
                for (n, events) in parts.into_iter().enumerate() {
                    self.down.push_back(WatchResponse {
                        events,
                        fragment: n + 1 < last,
                        ..answer.clone()
                    });
                }
                if last == 0 {
                    self.down.push_back(answer);
                }
                self.sent = self.store.revision + 1;
            }
        }
    }

    fn receive(&mut self) {
        let (Some(watch), Some(response)) = (&mut self.watch, self.down.pop_front()) else {
            return;
        };
        for told in watch.on_response(response) {
            let stamp = |h: &orchidtally_etcd::rpc::ResponseHeader| StoreRevision {
                cluster: h.cluster_id,
                revision: h.revision,
            };
            let rows = match told {
                WatchEvent::Events { header, events } => {
                    let changes: Vec<EntryChange> = events
                        .iter()
                        .filter_map(|e| Some(change(e.kv.as_ref()?, e.r#type == 1)))
                        .collect();
                    self.cache
                        .apply_events(self.now, stamp(&header), &changes, &read)
                }
                WatchEvent::Progress { header, .. } => {
                    self.cache.on_progress(self.now, stamp(&header));
                    None
                }
                WatchEvent::Compacted { .. } => {
                    self.cache.on_compaction();
                    None
                }
                WatchEvent::Created | WatchEvent::Cancelled { .. } => None,
            };
            self.apply(rows);
            if self.cache.next_request() == NextRequest::List {
                self.disconnect();
                return;
            }
        }
    }

    fn disconnect(&mut self) {
        self.watch = None;
        self.down.clear();
    }

    fn connect(&mut self) {
        if self.watch.is_some() {
            return;
        }
        if self.cache.next_request() == NextRequest::List {
            self.lists += 1;
            let question = RangeRequest {
                key: PREFIX.to_vec().into(),
                range_end: range_end(PREFIX).into(),
                ..RangeRequest::default()
            };
            let answer = self.store.range(&question).unwrap();
            let list: Vec<EntryChange> = answer.kvs.iter().map(|kv| change(kv, false)).collect();
            let header = answer.header.unwrap();
            let stamp = StoreRevision {
                cluster: header.cluster_id,
                revision: header.revision,
            };
            let told = self.cache.apply_list(self.now, stamp, &list, &read);
            self.apply(told);
        }
        let NextRequest::Watch(from) = self.cache.next_request() else {
            panic!("a list was just given")
        };
        let mut watch = Watch::new(PREFIX, from);
        watch.request();
        let created = WatchResponse {
            header: self.store.header(),
            watch_id: 1,
            created: true,
            ..Default::default()
        };
        assert_eq!(watch.on_response(created), [WatchEvent::Created]);
        (self.watch, self.sent) = (Some(watch), 0);
    }

    pub fn step(&mut self, restores: bool) {
        self.now += 0.05;
        match self.random.random_range(0..100) {
            0..=24 => {
                let key = self.key();
                // Sometimes it is another start of the executor.
                let again = u32::from(self.random.random_range(0..5) == 0);
                let since = self.starts.entry(key.clone()).or_default();
                *since += 100 * again;
                let since = *since;
                let value = match self.random.random_range(0..10) {
                    0 => "half".into(),
                    1..=2 => format!("draining {since}"),
                    _ => format!("ready {since}"),
                };
                self.store
                    .put(&PutRequest {
                        key,
                        value: value.into(),
                        ..PutRequest::default()
                    })
                    .unwrap();
            }
            25..=34 => {
                let key = self.key();
                self.store.delete(&DeleteRangeRequest {
                    key,
                    ..DeleteRangeRequest::default()
                });
            }
            35..=38 => {
                // An operator drains an executor, or withdraws that.
                let key: Bytes = [&self.key()[..], b"/drain"].concat().into();
                if self.random.random() {
                    self.store
                        .put(&PutRequest {
                            key,
                            value: "{}".into(),
                            ..PutRequest::default()
                        })
                        .unwrap();
                } else {
                    self.store.delete(&DeleteRangeRequest {
                        key,
                        ..DeleteRangeRequest::default()
                    });
                }
            }
            39..=54 => self.serve(),
            55..=79 => self.receive(),
            80..=84 => self.disconnect(),
            85..=92 => self.connect(),
            93 => {
                let to = self.store.revision - self.random.random_range(0..3);
                // There may be nothing to compact.
                let _ = self.store.compact(to);
            }
            94 => {
                // A message is delivered twice.
                if let Some(again) = self.down.front().cloned() {
                    self.down.push_front(again);
                }
            }
            95 if restores => {
                self.store.restore(self.store.revision - 4);
                self.disconnect();
                self.cache.on_compaction();
            }
            _ => {
                let told = self.cache.remove_expired(self.now);
                self.apply(told);
            }
        }
    }

    /// Runs without faults until the cache equals the store.
    pub fn settle(&mut self) {
        for _ in 0..60 {
            self.now += 0.5;
            self.connect();
            self.serve();
            while !self.down.is_empty() {
                self.receive();
            }
            let told = self.cache.remove_expired(self.now);
            self.apply(told);
        }
    }

    /// The readable entries of the store, by executor.
    pub fn truth(&self) -> BTreeMap<(IpAddr, u16), Endpoint> {
        let question = RangeRequest {
            key: PREFIX.to_vec().into(),
            range_end: range_end(PREFIX).into(),
            ..Default::default()
        };
        let kvs = self.store.range(&question).unwrap().kvs;
        let is_marked = |key: &[u8]| kvs.iter().any(|kv| kv.key == [key, b"/drain"].concat());
        let rows = kvs
            .iter()
            .filter(|kv| !kv.key.ends_with(b"/drain"))
            .filter_map(|kv| {
                let row = read(&kv.key, &kv.value).ok()?;
                let standing = if is_marked(&kv.key) {
                    EndpointState::Draining
                } else {
                    row.state
                };
                Some(Endpoint {
                    state: standing,
                    ..row
                })
            });
        rows.map(|r| ((r.executor.0, r.executor.1), r)).collect()
    }
}

pub fn live(told: &BTreeMap<(IpAddr, u16), Endpoint>) -> BTreeMap<(IpAddr, u16), Endpoint> {
    told.iter()
        .filter(|(_, r)| r.state != EndpointState::Gone)
        .map(|(k, r)| (*k, r.clone()))
        .collect()
}
