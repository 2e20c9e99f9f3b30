//! Compares the cache with the store after a watch with random faults.

mod kit;

use bytes::Bytes;
use kit::{EXECUTORS, PREFIX, Simulation, change, parse_entry, without_gone};
use orchidtally_dispatch_policy::interface::{EndpointState, EndpointUpdateKind, ExecutorId};
use orchidtally_etcd::range_end;
use orchidtally_etcd::rpc::{DeleteRangeRequest, KeyValue, PutRequest, RangeRequest};
use orchidtally_membership::{EndpointCache, EntryChange, ExecutorCounts, StoreRevision};
use orchidtally_test_servers::etcd::Store;
use std::net::{IpAddr, Ipv4Addr};

#[test]
fn the_cache_converges_to_the_store_despite_watch_faults() {
    let (mut lists, mut faults) = (0, 0);
    for seed in 0..3_000 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..150 {
            simulation.step(false);
        }
        // The cache keeps the last readable value of an unreadable entry, so unreadable entries are rewritten before
        // the comparison.
        for n in 0..EXECUTORS {
            let key: Bytes = [PREFIX, n.to_string().as_bytes()].concat().into();
            let is_unreadable =
                simulation.cache.entry_errors().any(|(k, _)| k == &key[..]) || n % 3 == 0;
            if is_unreadable {
                faults += 1;
                simulation
                    .store
                    .put(&PutRequest {
                        key,
                        value: "ready 900".into(),
                        ..PutRequest::default()
                    })
                    .unwrap();
            }
        }
        simulation.settle();
        lists += simulation.lists;
        // An entry that is still unreadable is in the cache only if it was readable before.
        let mut expected = simulation.expected();
        let reported = without_gone(&simulation.reported);
        let unreadable: Vec<_> = reported
            .keys()
            .filter(|k| !expected.contains_key(*k))
            .copied()
            .collect();
        for k in unreadable {
            assert_eq!(
                simulation.cache.entry_errors().count(),
                1.max(simulation.cache.entry_errors().count()),
                "seed {seed}: {k:?} is not in the store"
            );
            expected.insert(k, reported[&k].clone());
        }
        assert_eq!(reported, expected, "seed {seed}");
    }
    assert!(
        lists > 5_000 && faults > 3_000,
        "{lists} lists, {faults} faults"
    );
}

#[test]
fn a_store_rollback_makes_no_draining_executor_ready() {
    let mut rollbacks = 0;
    for seed in 0..2_000 {
        let mut simulation = Simulation::new(seed);
        // The registration in a restored backup must not make an executor ready that was reported as draining.
        for _ in 0..150 {
            let before = simulation.ready_after_drain;
            let rollbacks_before = simulation.cache.store_rollbacks();
            simulation.step(true);
            if simulation.cache.store_rollbacks() > rollbacks_before {
                assert_eq!(simulation.ready_after_drain, before, "seed {seed}");
            }
        }
        rollbacks += simulation.cache.store_rollbacks();
    }
    assert!(rollbacks > 200, "{rollbacks}");
}

fn store_and_cache(count: usize) -> (Store, EndpointCache) {
    let mut store = Store::new(1);
    for n in 0..count {
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
    let kvs = list_entries(&store);
    let list: Vec<EntryChange> = kvs.iter().map(|kv| change(kv, false)).collect();
    let update = cache.apply_list(
        0.0,
        StoreRevision {
            cluster: 1,
            revision: store.revision,
        },
        &list,
        &parse_entry,
    );
    assert_eq!(update.unwrap().endpoints.len(), count);
    (store, cache)
}

fn list_entries(store: &Store) -> Vec<KeyValue> {
    let request = RangeRequest {
        key: PREFIX.to_vec().into(),
        range_end: range_end(PREFIX).into(),
        ..Default::default()
    };
    store.range(&request).unwrap().kvs
}

fn counts(known: usize, retained: usize) -> ExecutorCounts {
    ExecutorCounts { known, retained }
}

#[test]
fn an_empty_list_removes_no_executor_that_still_responds() {
    let (store, mut cache) = store_and_cache(12);
    let revision = StoreRevision {
        cluster: 1,
        revision: store.revision + 12,
    };
    assert_eq!(
        cache.apply_list(1.0, revision, &[], &parse_entry),
        None,
        "a mass expiry removes no executor"
    );
    assert_eq!(cache.executor_counts(), counts(12, 12));
    let executor = |n: u8| ExecutorId(IpAddr::V4(Ipv4Addr::new(10, 0, 0, n)), 7);
    // The connection to one executor fails, five of the others keep responding, and the rest are silent.
    let failed = cache.on_connection_failure(&executor(0)).unwrap().endpoints;
    assert!(failed.len() == 1 && failed[0].state == EndpointState::Gone);
    let mut gone = vec![];
    for step in 0..400 {
        let now = 1.0 + 0.1 * f64::from(step);
        (1..6).for_each(|n| cache.record_response(now, &executor(n)));
        cache.on_progress(now, revision);
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
    // A single executor that disappears is removed at once.
    let (mut store, mut cache) = store_and_cache(12);
    let key: Bytes = [PREFIX, b"3"].concat().into();
    store.delete(&DeleteRangeRequest {
        key,
        ..DeleteRangeRequest::default()
    });
    let kvs = list_entries(&store);
    let list: Vec<EntryChange> = kvs.iter().map(|kv| change(kv, false)).collect();
    let update = cache
        .apply_list(
            1.0,
            StoreRevision {
                cluster: 1,
                revision: store.revision,
            },
            &list,
            &parse_entry,
        )
        .unwrap();
    assert!(
        update.kind == EndpointUpdateKind::Delta
            && update.endpoints.len() == 1
            && update.endpoints[0].state == EndpointState::Gone
    );
}
