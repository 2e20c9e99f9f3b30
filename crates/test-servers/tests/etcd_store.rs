//! The stand-in's store as a value: what ranges give, transactions as a whole, compaction and restore.

use bytes::Bytes;
use orchidtally_etcd::grpc::OUT_OF_RANGE;
use orchidtally_etcd::range_end;
use orchidtally_etcd::rpc::compare::{CompareResult, CompareTarget, TargetUnion};
use orchidtally_etcd::rpc::request_op::Request;
use orchidtally_etcd::rpc::response_op::Response;
use orchidtally_etcd::rpc::*;
use orchidtally_test_servers::etcd::{MAX_OPERATIONS, Store};

const INVALID_ARGUMENT: u32 = 3;
const NOT_FOUND: u32 = 5;

fn put(key: &str, value: &str) -> PutRequest {
    PutRequest {
        key: Bytes::from(key.to_owned()),
        value: Bytes::from(value.to_owned()),
        ..Default::default()
    }
}

fn put_op(key: &str, value: &str) -> RequestOp {
    RequestOp {
        request: Some(Request::RequestPut(put(key, value))),
    }
}

fn under(prefix: &str) -> RangeRequest {
    RangeRequest {
        key: Bytes::from(prefix.to_owned()),
        range_end: range_end(prefix.as_bytes()).into(),
        ..RangeRequest::default()
    }
}

fn keys(response: &RangeResponse) -> Vec<String> {
    response
        .kvs
        .iter()
        .map(|kv| String::from_utf8(kv.key.to_vec()).unwrap())
        .collect()
}

/// Keys a to e at revisions 2 to 6, of which b was changed again at 7.
fn letters() -> Store {
    let mut store = Store::new(1);
    for key in ["k/a", "k/b", "k/c", "k/d", "k/e"] {
        store.put(&put(key, "first")).unwrap();
    }
    store.put(&put("k/b", "second")).unwrap();
    store
}

#[test]
fn a_range_is_bounded_by_revisions_while_its_count_is_of_all_keys() {
    let store = letters();
    let since = RangeRequest {
        min_mod_revision: 6,
        ..under("k/")
    };
    let found = store.range(&since).unwrap();
    assert_eq!(keys(&found), ["k/b", "k/e"]);
    assert_eq!((found.count, found.more), (5, false), "as etcd counts");
    let until = RangeRequest {
        max_mod_revision: 4,
        ..under("k/")
    };
    assert_eq!(keys(&store.range(&until).unwrap()), ["k/a", "k/c"]);
    let created = RangeRequest {
        min_create_revision: 3,
        max_create_revision: 4,
        ..under("k/")
    };
    assert_eq!(keys(&store.range(&created).unwrap()), ["k/b", "k/c"]);
    let limited = RangeRequest {
        min_mod_revision: 4,
        limit: 2,
        ..under("k/")
    };
    let found = store.range(&limited).unwrap();
    assert_eq!(
        (keys(&found), found.more, found.count),
        (vec!["k/b".into(), "k/c".into()], true, 5)
    );
}

#[test]
fn keys_only_and_count_only_leave_out_what_they_say() {
    let store = letters();
    let found = store
        .range(&RangeRequest {
            keys_only: true,
            ..under("k/")
        })
        .unwrap();
    assert_eq!(found.kvs.len(), 5);
    assert!(
        found
            .kvs
            .iter()
            .all(|kv| kv.value.is_empty() && kv.mod_revision > 0)
    );
    let found = store
        .range(&RangeRequest {
            count_only: true,
            ..under("k/")
        })
        .unwrap();
    assert_eq!((found.kvs.len(), found.count, found.more), (0, 5, false));
}

#[test]
fn ranges_end_where_they_say_also_when_nothing_lies_between() {
    let store = letters();
    let range = |key: &'static [u8], end: &'static [u8]| {
        let request = RangeRequest {
            key: key.into(),
            range_end: end.into(),
            ..Default::default()
        };
        store.range(&request).map(|found| keys(&found))
    };
    assert_eq!(range(b"k/b", b"").unwrap(), ["k/b"]);
    assert_eq!(range(b"k/b", b"k/d").unwrap(), ["k/b", "k/c"]);
    assert_eq!(range(b"k/d", b"\0").unwrap(), ["k/d", "k/e"]);
    assert!(
        range(b"k/d", b"k/b").unwrap().is_empty(),
        "an end before the start"
    );
    assert!(
        range(b"k/d", b"k/d").unwrap().is_empty(),
        "an end at the start"
    );
    assert_eq!(range(b"", b"").unwrap_err().code, INVALID_ARGUMENT);
}

#[test]
fn a_transaction_applies_as_a_whole_in_one_revision() {
    let mut store = letters();
    let before = store.revision;
    let read = RequestOp {
        request: Some(Request::RequestRange(under("k/a"))),
    };
    let delete = DeleteRangeRequest {
        key: "k/c".into(),
        prev_kv: true,
        ..Default::default()
    };
    let delete = RequestOp {
        request: Some(Request::RequestDeleteRange(delete)),
    };
    let txn = TxnRequest {
        success: vec![put_op("k/a", "third"), delete, read],
        ..Default::default()
    };
    let done = store.txn(&txn).unwrap();
    assert!(done.succeeded);
    assert_eq!(store.revision, before + 1);
    let Some(Response::ResponseRange(seen)) = &done.responses[2].response else {
        panic!("{done:?}")
    };
    assert_eq!(
        &seen.kvs[0].value[..],
        b"third",
        "a read sees the writes before it"
    );
    let Some(Response::ResponseDeleteRange(deleted)) = &done.responses[1].response else {
        panic!("{done:?}")
    };
    assert_eq!(
        (deleted.deleted, &deleted.prev_kvs[0].value[..]),
        (1, &b"first"[..])
    );
    let events = store.events(before + 1, b"k/", &range_end(b"k/")).unwrap();
    assert!(
        events.len() == 2
            && events
                .iter()
                .all(|e| e.kv.as_ref().unwrap().mod_revision == before + 1)
    );
}

#[test]
fn a_transaction_with_one_bad_operation_leaves_nothing_behind() {
    let unleased = PutRequest {
        lease: 99,
        ..put("k/z", "leased")
    };
    let future = RangeRequest {
        revision: 1_000,
        ..under("k/")
    };
    let many = (0..=MAX_OPERATIONS)
        .map(|n| put_op(&format!("m/{n}"), ""))
        .collect();
    let delete = DeleteRangeRequest {
        key: "k/".into(),
        range_end: "k0".into(),
        ..Default::default()
    };
    let cases: Vec<(u32, Vec<RequestOp>)> = vec![
        (
            NOT_FOUND,
            vec![
                put_op("k/a", "new"),
                RequestOp {
                    request: Some(Request::RequestPut(unleased)),
                },
            ],
        ),
        (
            OUT_OF_RANGE,
            vec![
                put_op("k/a", "new"),
                RequestOp {
                    request: Some(Request::RequestRange(future)),
                },
            ],
        ),
        (
            INVALID_ARGUMENT,
            vec![put_op("k/a", "new"), RequestOp { request: None }],
        ),
        (
            INVALID_ARGUMENT,
            vec![put_op("k/a", "new"), put_op("k/a", "newer")],
        ),
        (
            INVALID_ARGUMENT,
            vec![put_op("k/a", "new"), put_op("", "without a key")],
        ),
        (
            INVALID_ARGUMENT,
            vec![
                put_op("k/a", "new"),
                RequestOp {
                    request: Some(Request::RequestDeleteRange(delete)),
                },
            ],
        ),
        (INVALID_ARGUMENT, many),
    ];
    for (code, success) in cases {
        let mut store = letters();
        let (revision, all) = (store.revision, store.range(&under("k/")).unwrap().kvs);
        let failed = store.txn(&TxnRequest {
            success: success.clone(),
            ..Default::default()
        });
        assert_eq!(
            failed.as_ref().map_err(|status| status.code),
            Err(code),
            "{success:?}"
        );
        assert_eq!(
            (store.revision, &store.range(&under("k/")).unwrap().kvs),
            (revision, &all),
            "{success:?}"
        );
        assert!(store.events(revision + 1, b"\0", &[0]).unwrap().is_empty());
    }
}

#[test]
fn comparisons_choose_the_branch() {
    let mut store = letters();
    let compare = |key: &str, result: CompareResult, modified| Compare {
        result: result.into(),
        target: CompareTarget::Mod.into(),
        key: Bytes::from(key.to_owned()),
        target_union: Some(TargetUnion::ModRevision(modified)),
    };
    let mut run = |compare| {
        let txn = TxnRequest {
            compare: vec![compare],
            success: vec![put_op("chosen", "success")],
            failure: vec![put_op("chosen", "failure")],
        };
        store.txn(&txn).unwrap().succeeded
    };
    assert!(run(compare("k/b", CompareResult::Equal, 7)));
    assert!(!run(compare("k/b", CompareResult::Equal, 3)));
    assert!(run(compare("k/none", CompareResult::Equal, 0)));
    assert!(run(compare("k/a", CompareResult::Less, 3)));
    assert!(!run(compare("k/a", CompareResult::NotEqual, 2)));
}

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
        "the lease has the key again"
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

/// 21,000 keys that change often, and questions that name few of them: a scan of all would take minutes.
#[test]
fn a_range_costs_what_it_names_and_not_what_the_store_holds() {
    let mut store = Store::new(1);
    for round in 0..3 {
        for n in 0..21_000 {
            store
                .put(&put(
                    &format!("functions/{n:05}"),
                    &format!("{round}{}", "x".repeat(300)),
                ))
                .unwrap();
        }
    }
    let started = std::time::Instant::now();
    for n in 0..21_000 {
        let found = store.range(&under(&format!("functions/{n:05}"))).unwrap();
        assert_eq!(found.kvs.len(), 1);
        let next = store.revision + 1;
        assert!(
            store
                .events(next, b"functions/", &range_end(b"functions/"))
                .unwrap()
                .is_empty()
        );
        let change = TxnRequest {
            success: vec![put_op("functions/00000", "value")],
            ..Default::default()
        };
        store.txn(&change).unwrap();
        assert_eq!(
            store
                .events(next, b"functions/", &range_end(b"functions/"))
                .unwrap()
                .len(),
            1
        );
    }
    let took = started.elapsed().as_secs_f64();
    assert!(took < 10.0, "{took:.1} s");
    assert!(store.memory_bytes() > 3 * 21_000 * 300);
}
