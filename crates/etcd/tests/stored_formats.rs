//! Compares the encoding of each etcd message that the client uses with the bytes that etcd reads and writes.
//! `messages.txt` was created from etcd's published field numbers and must not be changed.

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

/// Each line has the name of a message and its frame in hexadecimal.
const MESSAGES: &str = include_str!("stored_formats/messages.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of a message in `messages.txt`.
fn fixture(name: &str) -> Vec<u8> {
    let line = MESSAGES
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let digits = line.unwrap_or_default();
    (0..digits.len() / 2)
        .map(|n| u8::from_str_radix(&digits[2 * n..2 * n + 2], 16).unwrap())
        .collect()
}

/// Checks that a message is encoded as in `messages.txt`, and decoded from there.
fn assert_encoding<Message: prost::Message + Default + PartialEq + Debug>(
    name: &str,
    message: Message,
) {
    let bytes = fixture(name);
    assert_eq!(
        hex(&encode_frame(&message)),
        hex(&bytes),
        "{name}: the encoding differs from messages.txt"
    );
    let mut bytes = BytesMut::from(&bytes[..]);
    let read: Message = decode_frame(&mut bytes, 1 << 20)
        .unwrap()
        .expect("the frame is complete");
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
fn key_requests_and_responses_keep_their_encoding() {
    assert_encoding("range-request", range());
    assert_encoding("range-response", range_response());
    assert_encoding("put-request", put());
    assert_encoding("put-response", put_response());
    assert_encoding("delete-range-request", delete_range());
    assert_encoding("delete-range-response", delete_range_response());
    assert_encoding(
        "compaction-request",
        CompactionRequest {
            revision: 1,
            physical: true,
        },
    );
    assert_encoding(
        "compaction-response",
        CompactionResponse { header: header() },
    );
}

#[test]
fn transactions_and_responses_keep_their_encoding() {
    let compare = |result: CompareResult, target: CompareTarget, union| Compare {
        result: result.into(),
        target: target.into(),
        key: text("key"),
        target_union: Some(union),
    };
    let request = |request| RequestOp {
        request: Some(request),
    };
    let txn_request = TxnRequest {
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
    assert_encoding("transaction-request", txn_request);
    let response = |response| ResponseOp {
        response: Some(response),
    };
    let txn_response = TxnResponse {
        header: header(),
        succeeded: true,
        responses: vec![
            response(Response::ResponseRange(range_response())),
            response(Response::ResponsePut(put_response())),
            response(Response::ResponseDeleteRange(delete_range_response())),
        ],
    };
    assert_encoding("transaction-response", txn_response);
}

#[test]
fn watch_requests_and_responses_keep_their_encoding() {
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
    assert_encoding("watch-create", request(RequestUnion::CreateRequest(create)));
    assert_encoding(
        "watch-cancel",
        request(RequestUnion::CancelRequest(WatchCancelRequest {
            watch_id: 2,
        })),
    );
    assert_encoding(
        "watch-progress",
        request(RequestUnion::ProgressRequest(WatchProgressRequest {})),
    );
    let event = |kind: EventType| Event {
        r#type: kind.into(),
        kv: Some(key_value()),
        prev_kv: Some(key_value()),
    };
    let response = WatchResponse {
        header: header(),
        watch_id: 2,
        created: true,
        canceled: true,
        compact_revision: 3,
        cancel_reason: "why".into(),
        fragment: true,
        events: vec![event(EventType::Put), event(EventType::Delete)],
    };
    assert_encoding("watch-response", response);
}

#[test]
fn lease_requests_and_responses_keep_their_encoding() {
    assert_encoding("lease-grant-request", LeaseGrantRequest { ttl: 10, id: 5 });
    let response = LeaseGrantResponse {
        header: header(),
        id: 5,
        ttl: 10,
        error: "why".into(),
    };
    assert_encoding("lease-grant-response", response);
    assert_encoding("lease-keep-alive-request", LeaseKeepAliveRequest { id: 5 });
    assert_encoding(
        "lease-keep-alive-response",
        LeaseKeepAliveResponse {
            header: header(),
            id: 5,
            ttl: 10,
        },
    );
    assert_encoding("lease-revoke-request", LeaseRevokeRequest { id: 5 });
    assert_encoding(
        "lease-revoke-response",
        LeaseRevokeResponse { header: header() },
    );
}

#[test]
fn authentication_requests_and_responses_keep_their_encoding() {
    assert_encoding(
        "authenticate-request",
        AuthenticateRequest {
            name: "ann".into(),
            password: "secret".into(),
        },
    );
    assert_encoding(
        "authenticate-response",
        AuthenticateResponse {
            header: header(),
            token: "token-1".into(),
        },
    );
}

#[test]
fn paths_and_content_type_match_the_protocol() {
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
