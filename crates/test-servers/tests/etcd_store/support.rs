//! Request builders and a small test store.

use bytes::Bytes;
use orchidtally_etcd::range_end;
use orchidtally_etcd::rpc::request_op::Request;
use orchidtally_etcd::rpc::{PutRequest, RangeRequest, RangeResponse, RequestOp};
use orchidtally_test_servers::etcd::Store;

pub const INVALID_ARGUMENT: u32 = 3;

pub fn put(key: &str, value: &str) -> PutRequest {
    PutRequest {
        key: Bytes::from(key.to_owned()),
        value: Bytes::from(value.to_owned()),
        ..Default::default()
    }
}

pub fn put_op(key: &str, value: &str) -> RequestOp {
    RequestOp {
        request: Some(Request::RequestPut(put(key, value))),
    }
}

pub fn under(prefix: &str) -> RangeRequest {
    RangeRequest {
        key: Bytes::from(prefix.to_owned()),
        range_end: range_end(prefix.as_bytes()).into(),
        ..RangeRequest::default()
    }
}

pub fn keys(response: &RangeResponse) -> Vec<String> {
    response
        .kvs
        .iter()
        .map(|kv| String::from_utf8(kv.key.to_vec()).unwrap())
        .collect()
}

/// A store with the keys `k/a` to `k/e` created at revisions 2 to 6, and `k/b` modified at revision 7.
pub fn letters() -> Store {
    let mut store = Store::new(1);
    for key in ["k/a", "k/b", "k/c", "k/d", "k/e"] {
        store.put(&put(key, "first")).unwrap();
    }
    store.put(&put("k/b", "second")).unwrap();
    store
}
