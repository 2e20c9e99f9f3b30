//! One example of each message of etcd's protocol that is used, as bytes that etcd reads and writes. `messages.txt` was
//! made from the published numbers of the fields and must not be changed.

use bytes::{Bytes, BytesMut};
use orchidtally_etcd::grpc::{CONTENT_TYPE, decode_frame, encode_frame};
use orchidtally_etcd::rpc::compare::{CompareResult, CompareTarget, TargetUnion};
use orchidtally_etcd::rpc::event::EventType;
use orchidtally_etcd::rpc::request_op::Request;
use orchidtally_etcd::rpc::response_op::Response;
use orchidtally_etcd::rpc::watch_request::RequestUnion;
use orchidtally_etcd::rpc::{
    AuthenticateRequest, AuthenticateResponse, CompactionRequest, CompactionResponse, Compare,
    DeleteRangeRequest, DeleteRangeResponse, Event, KeyValue, LeaseGrantRequest,
    LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse, LeaseRevokeRequest,
    LeaseRevokeResponse, PutRequest, PutResponse, RangeRequest, RangeResponse, RequestOp,
    ResponseHeader, ResponseOp, TxnRequest, TxnResponse, WatchCancelRequest, WatchCreateRequest,
    WatchProgressRequest, WatchRequest, WatchResponse,
};
use std::fmt::Debug;

/// A name and the bytes in hexadecimal digits on each line.
const MESSAGES: &str = include_str!("stored_formats/messages.txt");

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of an example.
fn committed(name: &str) -> Vec<u8> {
    let line = MESSAGES
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let digits = line.unwrap_or_default();
    (0..digits.len() / 2)
        .map(|n| u8::from_str_radix(&digits[2 * n..2 * n + 2], 16).unwrap())
        .collect()
}

/// Checks that a message is written as its example, and read from it.
fn check<Message: prost::Message + Default + PartialEq + Debug>(name: &str, message: Message) {
    let bytes = committed(name);
    assert_eq!(
        hexadecimal(&encode_frame(&message)),
        hexadecimal(&bytes),
        "{name} as it is written now"
    );
    let mut bytes = BytesMut::from(&bytes[..]);
    let read: Message = decode_frame(&mut bytes, 1 << 20)
        .unwrap()
        .expect("the example is whole");
    assert_eq!(read, message, "{name}");
    assert!(bytes.is_empty());
}

fn text(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

fn header() -> Option<ResponseHeader> {
    Some(ResponseHeader {
        cluster_id: 7,
        member_id: 8,
        revision: 9,
        raft_term: 10,
    })
}

fn key_value() -> KeyValue {
    KeyValue {
        key: text("key"),
        create_revision: 1,
        mod_revision: 2,
        version: 3,
        value: text("value"),
        lease: 4,
    }
}

fn range() -> RangeRequest {
    RangeRequest {
        key: text("key"),
        range_end: text("end"),
        limit: 1,
        revision: 2,
        serializable: true,
        keys_only: true,
        count_only: true,
        min_mod_revision: 3,
        max_mod_revision: 4,
        min_create_revision: 5,
        max_create_revision: 6,
    }
}

fn put() -> PutRequest {
    PutRequest {
        key: text("key"),
        value: text("value"),
        lease: 5,
        prev_kv: true,
    }
}

fn delete_range() -> DeleteRangeRequest {
    DeleteRangeRequest {
        key: text("key"),
        range_end: text("end"),
        prev_kv: true,
    }
}

fn range_response() -> RangeResponse {
    RangeResponse {
        header: header(),
        kvs: vec![key_value()],
        more: true,
        count: 2,
    }
}

fn put_response() -> PutResponse {
    PutResponse {
        header: header(),
        prev_kv: Some(key_value()),
    }
}

fn delete_range_response() -> DeleteRangeResponse {
    DeleteRangeResponse {
        header: header(),
        deleted: 1,
        prev_kvs: vec![key_value()],
    }
}

#[test]
fn requests_for_keys_and_their_answers_keep_their_bytes() {
    check("range-request", range());
    check("range-response", range_response());
    check("put-request", put());
    check("put-response", put_response());
    check("delete-range-request", delete_range());
    check("delete-range-response", delete_range_response());
    check(
        "compaction-request",
        CompactionRequest {
            revision: 1,
            physical: true,
        },
    );
    check(
        "compaction-response",
        CompactionResponse { header: header() },
    );
}

#[test]
fn transactions_and_their_answers_keep_their_bytes() {
    let compare = |result: CompareResult, target: CompareTarget, union| Compare {
        result: result.into(),
        target: target.into(),
        key: text("key"),
        target_union: Some(union),
    };
    let request = |request| RequestOp {
        request: Some(request),
    };
    let transaction = TxnRequest {
        compare: vec![
            compare(
                CompareResult::Equal,
                CompareTarget::Version,
                TargetUnion::Version(1),
            ),
            compare(
                CompareResult::Greater,
                CompareTarget::Create,
                TargetUnion::CreateRevision(2),
            ),
            compare(
                CompareResult::Less,
                CompareTarget::Mod,
                TargetUnion::ModRevision(3),
            ),
            compare(
                CompareResult::NotEqual,
                CompareTarget::Value,
                TargetUnion::Value(text("value")),
            ),
            compare(
                CompareResult::Equal,
                CompareTarget::Lease,
                TargetUnion::Lease(4),
            ),
        ],
        success: vec![
            request(Request::RequestRange(range())),
            request(Request::RequestPut(put())),
        ],
        failure: vec![request(Request::RequestDeleteRange(delete_range()))],
    };
    check("transaction-request", transaction);
    let response = |response| ResponseOp {
        response: Some(response),
    };
    let answer = TxnResponse {
        header: header(),
        succeeded: true,
        responses: vec![
            response(Response::ResponseRange(range_response())),
            response(Response::ResponsePut(put_response())),
            response(Response::ResponseDeleteRange(delete_range_response())),
        ],
    };
    check("transaction-response", answer);
}

#[test]
fn watches_and_their_answers_keep_their_bytes() {
    let request = |union| WatchRequest {
        request_union: Some(union),
    };
    let create = WatchCreateRequest {
        key: text("key"),
        range_end: text("end"),
        start_revision: 1,
        progress_notify: true,
        prev_kv: true,
        watch_id: 2,
        fragment: true,
    };
    check("watch-create", request(RequestUnion::CreateRequest(create)));
    check(
        "watch-cancel",
        request(RequestUnion::CancelRequest(WatchCancelRequest {
            watch_id: 2,
        })),
    );
    check(
        "watch-progress",
        request(RequestUnion::ProgressRequest(WatchProgressRequest {})),
    );
    let event = |kind: EventType| Event {
        r#type: kind.into(),
        kv: Some(key_value()),
        prev_kv: Some(key_value()),
    };
    let answer = WatchResponse {
        header: header(),
        watch_id: 2,
        created: true,
        canceled: true,
        compact_revision: 3,
        cancel_reason: "why".into(),
        fragment: true,
        events: vec![event(EventType::Put), event(EventType::Delete)],
    };
    check("watch-response", answer);
}

#[test]
fn leases_and_their_answers_keep_their_bytes() {
    check("lease-grant-request", LeaseGrantRequest { ttl: 10, id: 5 });
    let granted = LeaseGrantResponse {
        header: header(),
        id: 5,
        ttl: 10,
        error: "why".into(),
    };
    check("lease-grant-response", granted);
    check("lease-keep-alive-request", LeaseKeepAliveRequest { id: 5 });
    check(
        "lease-keep-alive-response",
        LeaseKeepAliveResponse {
            header: header(),
            id: 5,
            ttl: 10,
        },
    );
    check("lease-revoke-request", LeaseRevokeRequest { id: 5 });
    check(
        "lease-revoke-response",
        LeaseRevokeResponse { header: header() },
    );
}

#[test]
fn authentication_and_its_answer_keep_their_bytes() {
    check(
        "authenticate-request",
        AuthenticateRequest {
            name: "ann".into(),
            password: "secret".into(),
        },
    );
    check(
        "authenticate-response",
        AuthenticateResponse {
            header: header(),
            token: "token-1".into(),
        },
    );
}

#[test]
fn paths_and_content_type_are_those_of_the_protocol() {
    use orchidtally_etcd::{
        AUTHENTICATE, COMPACT, DELETE_RANGE, LEASE_GRANT, LEASE_KEEP_ALIVE, LEASE_REVOKE, PUT,
        RANGE, TXN, WATCH,
    };
    let services = [
        (
            "KV",
            vec![
                (RANGE, "Range"),
                (PUT, "Put"),
                (DELETE_RANGE, "DeleteRange"),
                (TXN, "Txn"),
            ],
        ),
        ("KV", vec![(COMPACT, "Compact")]),
        ("Watch", vec![(WATCH, "Watch")]),
        (
            "Lease",
            vec![(LEASE_GRANT, "LeaseGrant"), (LEASE_REVOKE, "LeaseRevoke")],
        ),
        ("Lease", vec![(LEASE_KEEP_ALIVE, "LeaseKeepAlive")]),
        ("Auth", vec![(AUTHENTICATE, "Authenticate")]),
    ];
    for (service, methods) in services {
        for (path, method) in methods {
            assert_eq!(path, format!("/etcdserverpb.{service}/{method}"));
        }
    }
    assert_eq!(CONTENT_TYPE, "application/grpc");
}
