//! The cache against the store's own history, over a faulty watch.

mod kit;

use bytes::Bytes;
use kit::{EXECUTORS, PREFIX, World, change, live, read};
use orchidtally_dispatch_policy::interface::{EndpointState, EndpointUpdateKind, ExecutorId};
use orchidtally_etcd::range_end;
use orchidtally_etcd::rpc::{DeleteRangeRequest, KeyValue, PutRequest, RangeRequest};
use orchidtally_membership::{EndpointCache, EntryChange, ExecutorCounts, StoreRevision};
use orchidtally_test_servers::etcd::Store;
use std::net::{IpAddr, Ipv4Addr};

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
