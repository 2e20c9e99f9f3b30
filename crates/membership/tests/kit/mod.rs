//! A simulation of a store, a watch with faults (disconnected, duplicated, late, compacted, rolled back) and a cache
//! that follows it, with steps in random order.

// Each test binary uses a part of this module.
#![allow(dead_code)]

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

pub fn parse_entry(key: &[u8], value: &[u8]) -> Result<Endpoint, EntryError> {
    let n: u8 = std::str::from_utf8(&key[PREFIX.len()..])
        .unwrap()
        .parse()
        .unwrap();
    let text = std::str::from_utf8(value).unwrap();
    let (state, since) = text.split_once(' ').ok_or(EntryError::MissingState)?;
    Ok(Endpoint {
        executor: ExecutorId(IpAddr::V4(Ipv4Addr::new(10, 0, 0, n)), 7),
        zone: 0,
        kind: 0,
        cell: 0,
        state: if state == "ready" {
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

pub struct Simulation {
    random: SmallRng,
    now: f64,
    pub store: Store,
    pub cache: EndpointCache,
    watch: Option<Watch>,
    /// Responses of the watch that the cache hasn't received yet.
    in_flight: VecDeque<WatchResponse>,
    /// The first revision that the watch hasn't been sent.
    next_to_send: i64,
    /// The last reported endpoint of each executor.
    pub reported: BTreeMap<(IpAddr, u16), Endpoint>,
    /// Executors that were reported as draining, by address and start.
    reported_draining: BTreeSet<(IpAddr, u64)>,
    /// How often an executor was reported as ready after it was reported as draining.
    pub ready_after_drain: u32,
    pub lists: u32,
    starts: BTreeMap<Bytes, u32>,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        Simulation {
            random: SmallRng::seed_from_u64(seed),
            now: 0.0,
            store: Store::new(1),
            cache: EndpointCache::new(0.0),
            watch: None,
            in_flight: VecDeque::new(),
            next_to_send: 0,
            reported: BTreeMap::new(),
            reported_draining: BTreeSet::new(),
            ready_after_drain: 0,
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
            self.reported.clear();
        }
        for endpoint in update.endpoints {
            let start = (endpoint.executor.0, endpoint.started_at as u64);
            match endpoint.state {
                EndpointState::Draining => {
                    self.reported_draining.insert(start);
                }
                EndpointState::Ready if self.reported_draining.remove(&start) => {
                    self.ready_after_drain += 1
                }
                _ => {}
            }
            self.reported
                .insert((endpoint.executor.0, endpoint.executor.1), endpoint);
        }
    }

    /// Sends the events that the watch hasn't been sent, in fragments of two.
    fn send_events(&mut self) {
        let Some(watch) = &self.watch else { return };
        let from = self.next_to_send.max(watch.next_revision());
        let response = WatchResponse {
            header: self.store.header(),
            watch_id: 1,
            ..Default::default()
        };
        match self.store.events(from, PREFIX, &range_end(PREFIX)) {
            Err(compact_revision) => self.in_flight.push_back(WatchResponse {
                canceled: true,
                compact_revision,
                ..response
            }),
            Ok(events) => {
                let fragments: Vec<Vec<Event>> = events.chunks(2).map(<[Event]>::to_vec).collect();
                let count = fragments.len();
                for (n, events) in fragments.into_iter().enumerate() {
                    self.in_flight.push_back(WatchResponse {
                        events,
                        fragment: n + 1 < count,
                        ..response.clone()
                    });
                }
                if count == 0 {
                    self.in_flight.push_back(response);
                }
                self.next_to_send = self.store.revision + 1;
            }
        }
    }

    fn receive(&mut self) {
        let (Some(watch), Some(response)) = (&mut self.watch, self.in_flight.pop_front()) else {
            return;
        };
        for event in watch.on_response(response) {
            let revision = |h: &orchidtally_etcd::rpc::ResponseHeader| StoreRevision {
                cluster: h.cluster_id,
                revision: h.revision,
            };
            let update = match event {
                WatchEvent::Events { header, events } => {
                    let changes: Vec<EntryChange> = events
                        .iter()
                        .filter_map(|e| Some(change(e.kv.as_ref()?, e.r#type == 1)))
                        .collect();
                    self.cache
                        .apply_events(self.now, revision(&header), &changes, &parse_entry)
                }
                WatchEvent::Progress { header, .. } => {
                    self.cache.on_progress(self.now, revision(&header));
                    None
                }
                WatchEvent::Compacted { .. } => {
                    self.cache.on_compaction();
                    None
                }
                WatchEvent::Created | WatchEvent::Cancelled { .. } => None,
            };
            self.apply(update);
            if self.cache.next_request() == NextRequest::List {
                self.disconnect();
                return;
            }
        }
    }

    fn disconnect(&mut self) {
        self.watch = None;
        self.in_flight.clear();
    }

    fn connect(&mut self) {
        if self.watch.is_some() {
            return;
        }
        if self.cache.next_request() == NextRequest::List {
            self.lists += 1;
            let request = RangeRequest {
                key: PREFIX.to_vec().into(),
                range_end: range_end(PREFIX).into(),
                ..RangeRequest::default()
            };
            let response = self.store.range(&request).unwrap();
            let list: Vec<EntryChange> = response.kvs.iter().map(|kv| change(kv, false)).collect();
            let header = response.header.unwrap();
            let revision = StoreRevision {
                cluster: header.cluster_id,
                revision: header.revision,
            };
            let update = self
                .cache
                .apply_list(self.now, revision, &list, &parse_entry);
            self.apply(update);
        }
        let NextRequest::Watch(from) = self.cache.next_request() else {
            panic!("a list was just applied")
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
        (self.watch, self.next_to_send) = (Some(watch), 0);
    }

    pub fn step(&mut self, with_rollbacks: bool) {
        self.now += 0.05;
        match self.random.random_range(0..100) {
            0..=24 => {
                let key = self.key();
                // One in five writes is a restart of the executor.
                let restarts = u32::from(self.random.random_range(0..5) == 0);
                let since = self.starts.entry(key.clone()).or_default();
                *since += 100 * restarts;
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
                // An operator drains an executor, or withdraws the drain.
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
            39..=54 => self.send_events(),
            55..=79 => self.receive(),
            80..=84 => self.disconnect(),
            85..=92 => self.connect(),
            93 => {
                let revision = self.store.revision - self.random.random_range(0..3);
                // There may be nothing to compact.
                let _ = self.store.compact(revision);
            }
            94 => {
                // A message is delivered twice.
                if let Some(response) = self.in_flight.front().cloned() {
                    self.in_flight.push_front(response);
                }
            }
            95 if with_rollbacks => {
                self.store.restore(self.store.revision - 4);
                self.disconnect();
                self.cache.on_compaction();
            }
            _ => {
                let update = self.cache.remove_expired(self.now);
                self.apply(update);
            }
        }
    }

    /// Runs without faults for long enough that the cache equals the store.
    pub fn settle(&mut self) {
        for _ in 0..60 {
            self.now += 0.5;
            self.connect();
            self.send_events();
            while !self.in_flight.is_empty() {
                self.receive();
            }
            let update = self.cache.remove_expired(self.now);
            self.apply(update);
        }
    }

    /// The endpoints that the cache should have: the readable entries of the store, by executor.
    pub fn expected(&self) -> BTreeMap<(IpAddr, u16), Endpoint> {
        let request = RangeRequest {
            key: PREFIX.to_vec().into(),
            range_end: range_end(PREFIX).into(),
            ..Default::default()
        };
        let kvs = self.store.range(&request).unwrap().kvs;
        let is_drained = |key: &[u8]| kvs.iter().any(|kv| kv.key == [key, b"/drain"].concat());
        let endpoints = kvs
            .iter()
            .filter(|kv| !kv.key.ends_with(b"/drain"))
            .filter_map(|kv| {
                let endpoint = parse_entry(&kv.key, &kv.value).ok()?;
                let state = if is_drained(&kv.key) {
                    EndpointState::Draining
                } else {
                    endpoint.state
                };
                Some(Endpoint { state, ..endpoint })
            });
        endpoints
            .map(|r| ((r.executor.0, r.executor.1), r))
            .collect()
    }
}

pub fn without_gone(
    reported: &BTreeMap<(IpAddr, u16), Endpoint>,
) -> BTreeMap<(IpAddr, u16), Endpoint> {
    reported
        .iter()
        .filter(|(_, r)| r.state != EndpointState::Gone)
        .map(|(k, r)| (*k, r.clone()))
        .collect()
}
