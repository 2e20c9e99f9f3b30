//! Transactions: atomicity, and the choice of the branch by comparisons.

use crate::support::{INVALID_ARGUMENT, letters, put, put_op, under};
use bytes::Bytes;
use orchidtally_etcd::grpc::OUT_OF_RANGE;
use orchidtally_etcd::range_end;
use orchidtally_etcd::rpc::compare::{CompareResult, CompareTarget, TargetUnion};
use orchidtally_etcd::rpc::request_op::Request;
use orchidtally_etcd::rpc::response_op::Response;
use orchidtally_etcd::rpc::*;
use orchidtally_test_servers::etcd::MAX_OPERATIONS;

const NOT_FOUND: u32 = 5;

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
