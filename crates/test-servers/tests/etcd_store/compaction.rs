//! The contents of a store after compaction, restore and lease expiry.

use crate::support::{keys, letters, put, under};
use orchidtally_etcd::grpc::OUT_OF_RANGE;
use orchidtally_etcd::range_end;
use orchidtally_etcd::rpc::{DeleteRangeRequest, PutRequest, RangeRequest};
use orchidtally_test_servers::etcd::Store;

#[test]
fn a_compaction_keeps_what_can_still_be_read() {
    let mut store = letters();
    store.delete(&DeleteRangeRequest {
        key: "k/c".into(),
        ..Default::default()
    });
    let bytes = store.memory_bytes();
    store.compact(store.revision).unwrap();
    assert!(
        store.memory_bytes() < bytes,
        "{} of {bytes}",
        store.memory_bytes()
    );
    assert_eq!(
        keys(&store.range(&under("k/")).unwrap()),
        ["k/a", "k/b", "k/d", "k/e"]
    );
    let old = RangeRequest {
        revision: 3,
        ..under("k/")
    };
    assert_eq!(store.range(&old).unwrap_err().code, OUT_OF_RANGE);
    assert_eq!(
        store.events(3, b"k/", &range_end(b"k/")).unwrap_err(),
        store.compacted + 1
    );
    assert!(store.compact(store.revision).is_err() && store.compact(store.revision + 1).is_err());
}

#[test]
fn a_store_that_is_set_back_has_what_it_had_with_its_leases() {
    let mut store = letters();
    let lease = store.grant(0.0, 5).id;
    store
        .put(&PutRequest {
            lease,
            ..put("l/kept", "")
        })
        .unwrap();
    let kept = store.revision;
    store.delete(&DeleteRangeRequest {
        key: "l/kept".into(),
        ..Default::default()
    });
    store
        .put(&PutRequest {
            lease,
            ..put("l/late", "")
        })
        .unwrap();
    store.restore(kept);
    assert_eq!(
        (store.revision, keys(&store.range(&under("l/")).unwrap())),
        (kept, vec!["l/kept".into()])
    );
    store.expire(6.0);
    assert!(
        store.range(&under("l/")).unwrap().kvs.is_empty(),
        "the restore attaches the key to its lease again"
    );
    assert_eq!(store.keep_alive(6.0, lease).ttl, 0);
}

#[test]
fn a_key_that_moves_to_another_lease_outlives_its_first() {
    let mut store = Store::new(1);
    let (short, long) = (store.grant(0.0, 1).id, store.grant(0.0, 100).id);
    store
        .put(&PutRequest {
            lease: short,
            ..put("l/a", "")
        })
        .unwrap();
    store
        .put(&PutRequest {
            lease: short,
            ..put("l/b", "")
        })
        .unwrap();
    store
        .put(&PutRequest {
            lease: long,
            ..put("l/a", "")
        })
        .unwrap();
    store.expire(2.0);
    assert_eq!(keys(&store.range(&under("l/")).unwrap()), ["l/a"]);
}
