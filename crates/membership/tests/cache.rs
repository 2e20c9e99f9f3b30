//! The cache against the store's own history, over a watch that is torn off, told twice, late, compacted away and set
//! back, on drawn courses.

use bytes::Bytes;
use orchidtally_dispatch_policy::interface::{
    Endpoint, EndpointState, EndpointUpdateKind, ExecutorId,
};
use orchidtally_etcd::rpc::{
    DeleteRangeRequest, Event, KeyValue, PutRequest, RangeRequest, WatchResponse,
};
use orchidtally_etcd::{Watch, WatchEvent, range_end};
use orchidtally_membership::{
    EndpointCache, EndpointUpdate, EntryChange, EntryError, ExecutorCounts, NextRequest,
    StoreRevision,
};
use orchidtally_test_servers::etcd::Store;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, Ipv4Addr};

const PREFIX: &[u8] = b"/executors/";
const EXECUTORS: u8 = 12;

fn read(key: &[u8], value: &[u8]) -> Result<Endpoint, EntryError> {
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

fn change(kv: &KeyValue, deleted: bool) -> EntryChange<'_> {
    EntryChange {
        key: &kv.key,
        value: (!deleted).then_some(&kv.value[..]),
        created: kv.create_revision,
        modified: kv.mod_revision,
    }
}

struct World {
    random: SmallRng,
    now: f64,
    store: Store,
    cache: EndpointCache,
    watch: Option<Watch>,
    /// What is on its way to the watcher.
    down: VecDeque<WatchResponse>,
    sent: i64,
    /// What the module was told: the last row of each executor.
    told: BTreeMap<(IpAddr, u16), Endpoint>,
    /// Executors that were told to drain, by their start, and what broke that.
    drained: BTreeSet<(IpAddr, u64)>,
    undrained: u32,
    lists: u32,
    starts: BTreeMap<Bytes, u32>,
}

impl World {
    fn new(seed: u64) -> World {
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

    fn tell(&mut self, update: Option<EndpointUpdate>) {
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

    /// The watch is served: all events that it has not been sent.
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

    fn hear(&mut self) {
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
            self.tell(rows);
            if self.cache.next_request() == NextRequest::List {
                self.cut();
                return;
            }
        }
    }

    fn cut(&mut self) {
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
            self.tell(told);
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

    fn step(&mut self, restores: bool) {
        self.now += 0.05;
        match self.random.random_range(0..100) {
            0..=24 => {
                let key = self.key();
                // Now and then it is another start of the executor.
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
                // An operator drains one, or withdraws that.
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
            55..=79 => self.hear(),
            80..=84 => self.cut(),
            85..=92 => self.connect(),
            93 => {
                let to = self.store.revision - self.random.random_range(0..3);
                // Nothing may be there to compact.
                let _ = self.store.compact(to);
            }
            94 => {
                // Told again, as after a message that was sent twice.
                if let Some(again) = self.down.front().cloned() {
                    self.down.push_front(again);
                }
            }
            95 if restores => {
                self.store.restore(self.store.revision - 4);
                self.cut();
                self.cache.on_compaction();
            }
            _ => {
                let told = self.cache.remove_expired(self.now);
                self.tell(told);
            }
        }
    }

    /// Peace: the cache comes to what the store has.
    fn settle(&mut self) {
        for _ in 0..60 {
            self.now += 0.5;
            self.connect();
            self.serve();
            while !self.down.is_empty() {
                self.hear();
            }
            let told = self.cache.remove_expired(self.now);
            self.tell(told);
        }
    }

    /// What the store has that can be read, by executor.
    fn truth(&self) -> BTreeMap<(IpAddr, u16), Endpoint> {
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

fn live(told: &BTreeMap<(IpAddr, u16), Endpoint>) -> BTreeMap<(IpAddr, u16), Endpoint> {
    told.iter()
        .filter(|(_, r)| r.state != EndpointState::Gone)
        .map(|(k, r)| (*k, r.clone()))
        .collect()
}

#[test]
fn the_cache_ends_equal_to_the_store_whatever_the_watch_goes_through() {
    let (mut lists, mut faults) = (0, 0);
    for seed in 0..3_000 {
        let mut w = World::new(seed);
        for _ in 0..150 {
            w.step(false);
        }
        // The last good one of what can't be read counts, so that all are written whole before they are compared.
        for n in 0..EXECUTORS {
            let key: Bytes = [PREFIX, n.to_string().as_bytes()].concat().into();
            let bad = w.cache.entry_errors().any(|(k, _)| k == &key[..]) || n % 3 == 0;
            if bad {
                faults += 1;
                w.store
                    .put(&PutRequest {
                        key,
                        value: "ready 900".into(),
                        ..PutRequest::default()
                    })
                    .unwrap();
            }
        }
        w.settle();
        lists += w.lists;
        // A half-written entry that was never good is none; one that was is kept as it was.
        let mut truth = w.truth();
        let told = live(&w.told);
        let unreadable: Vec<_> = told
            .keys()
            .filter(|k| !truth.contains_key(*k))
            .copied()
            .collect();
        for k in unreadable {
            assert_eq!(
                w.cache.entry_errors().count(),
                1.max(w.cache.entry_errors().count()),
                "seed {seed}: {k:?} is not there"
            );
            truth.insert(k, told[&k].clone());
        }
        assert_eq!(told, truth, "seed {seed}");
    }
    assert!(
        lists > 5_000 && faults > 3_000,
        "{lists} lists, {faults} faults"
    );
}

#[test]
fn a_store_that_was_set_back_makes_nothing_ready_that_was_told_to_drain() {
    let mut back = 0;
    for seed in 0..2_000 {
        let mut w = World::new(seed);
        // An executor that was told to drain is not told otherwise by its own registration.
        for _ in 0..150 {
            let before = w.undrained;
            let was_back = w.cache.store_rollbacks();
            w.step(true);
            if w.cache.store_rollbacks() > was_back {
                assert_eq!(w.undrained, before, "seed {seed}");
            }
        }
        back += w.cache.store_rollbacks();
    }
    assert!(back > 200, "{back}");
}

fn fleet(n: usize) -> (Store, EndpointCache) {
    let mut store = Store::new(1);
    for n in 0..n {
        let key = [PREFIX, n.to_string().as_bytes()].concat().into();
        store
            .put(&PutRequest {
                key,
                value: "ready 0".into(),
                ..PutRequest::default()
            })
            .unwrap();
    }
    let mut cache = EndpointCache::new(0.0);
    let kvs = listed(&store);
    let list: Vec<EntryChange> = kvs.iter().map(|kv| change(kv, false)).collect();
    let told = cache.apply_list(
        0.0,
        StoreRevision {
            cluster: 1,
            revision: store.revision,
        },
        &list,
        &read,
    );
    assert_eq!(told.unwrap().endpoints.len(), n);
    (store, cache)
}

fn listed(store: &Store) -> Vec<KeyValue> {
    let question = RangeRequest {
        key: PREFIX.to_vec().into(),
        range_end: range_end(PREFIX).into(),
        ..Default::default()
    };
    store.range(&question).unwrap().kvs
}

fn counts(known: usize, retained: usize) -> ExecutorCounts {
    ExecutorCounts { known, retained }
}

#[test]
fn an_empty_list_takes_nobody_away_whose_answers_say_otherwise() {
    let (store, mut cache) = fleet(12);
    let stamp = StoreRevision {
        cluster: 1,
        revision: store.revision + 12,
    };
    assert_eq!(
        cache.apply_list(1.0, stamp, &[], &read),
        None,
        "all at once: nobody is gone"
    );
    assert_eq!(cache.executor_counts(), counts(12, 12));
    let executor = |n: u8| ExecutorId(IpAddr::V4(Ipv4Addr::new(10, 0, 0, n)), 7);
    // One is not there, half of the others answer all the time, the rest say nothing.
    let failed = cache.on_connection_failure(&executor(0)).unwrap().endpoints;
    assert!(failed.len() == 1 && failed[0].state == EndpointState::Gone);
    let mut gone = vec![];
    for step in 0..400 {
        let now = 1.0 + 0.1 * f64::from(step);
        (1..6).for_each(|n| cache.record_response(now, &executor(n)));
        cache.on_progress(now, stamp);
        gone.extend(
            cache
                .remove_expired(now)
                .into_iter()
                .flat_map(|update| update.endpoints)
                .map(|r| (now, r.executor)),
        );
    }
    assert_eq!(gone.len(), 6);
    assert!(
        gone.iter()
            .all(|(at, e)| *at > 11.0 && !(1..6).any(|n| *e == executor(n))),
        "{gone:?}"
    );
    assert_eq!(cache.executor_counts(), counts(5, 5));
    // What drains was to go, and a single one goes at once.
    let (mut store, mut cache) = fleet(12);
    let key: Bytes = [PREFIX, b"3"].concat().into();
    store.delete(&DeleteRangeRequest {
        key,
        ..DeleteRangeRequest::default()
    });
    let kvs = listed(&store);
    let list: Vec<EntryChange> = kvs.iter().map(|kv| change(kv, false)).collect();
    let told = cache
        .apply_list(
            1.0,
            StoreRevision {
                cluster: 1,
                revision: store.revision,
            },
            &list,
            &read,
        )
        .unwrap();
    assert!(
        told.kind == EndpointUpdateKind::Delta
            && told.endpoints.len() == 1
            && told.endpoints[0].state == EndpointState::Gone
    );
}
