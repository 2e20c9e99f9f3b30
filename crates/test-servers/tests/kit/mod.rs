//! Helpers shared by the tests of the etcd cluster: a cluster in three regions, clients and watchers.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use bytes::Bytes;
use futures_lite::future;
use orchidtally_etcd::grpc::UNAVAILABLE;
use orchidtally_etcd::rpc::watch_request::RequestUnion;
use orchidtally_etcd::rpc::*;
use orchidtally_etcd::{
    Client, ClientError, PUT, RANGE, WATCH, Watch, WatchEvent, client::BidirectionalStream,
};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::EtcdServer;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The region of each member: two regions with two members each, and one with a single member.
pub const REGIONS: [u32; 5] = [0, 0, 1, 1, 2];
pub const ANSWER_TIME: Duration = Duration::from_secs(5);
/// The time limit of a test case in seconds, generous enough for a loaded machine.
pub const CASE_TIME: f64 = 60.0;

pub fn run_with_timeout<T>(environment: &TestEnvironment, work: impl Future<Output = T>) -> T {
    let late = async {
        environment.sleep(CASE_TIME).await;
        panic!("the test case did not finish within {CASE_TIME} s");
    };
    async_io::block_on(environment.tasks.run(future::or(work, late)))
}

pub fn cluster(seed: u64) -> (TestEnvironment, Rc<EtcdServer>) {
    let environment = TestEnvironment::new(seed);
    let server = EtcdServer::start_in_regions(&environment, &REGIONS).unwrap();
    server.timing.election_time.set(0.2);
    server.timing.request_timeout.set(0.4);
    (environment, server)
}

pub fn client(environment: &TestEnvironment, to: SocketAddr) -> Client {
    Client::new(vec![to], environment.tasks.clone())
}

pub async fn put(client: &Client, key: &str, value: &str) -> Result<PutResponse, ClientError> {
    let key = Bytes::from(key.to_owned());
    let put = PutRequest {
        key,
        value: Bytes::from(value.to_owned()),
        ..PutRequest::default()
    };
    client.unary(PUT, &put, ANSWER_TIME).await
}

pub async fn get(
    client: &Client,
    key: &str,
    serializable: bool,
) -> Result<RangeResponse, ClientError> {
    let key = Bytes::from(key.to_owned());
    client
        .unary(
            RANGE,
            &RangeRequest {
                key,
                serializable,
                ..RangeRequest::default()
            },
            ANSWER_TIME,
        )
        .await
}

pub fn value(found: &RangeResponse) -> Option<String> {
    Some(String::from_utf8(found.kvs.first()?.value.to_vec()).unwrap())
}

pub fn is_unavailable<T>(result: &Result<T, ClientError>) -> bool {
    matches!(result, Err(ClientError::Rejected(status)) if status.code == UNAVAILABLE)
}

pub fn revision(header: Option<ResponseHeader>) -> i64 {
    header.unwrap().revision
}

pub struct Watcher {
    pub watch: Watch,
    pub stream: BidirectionalStream<WatchResponse>,
}

impl Watcher {
    pub async fn begin(client: &Client, prefix: &str, from: i64) -> Watcher {
        let mut watch = Watch::new(prefix.as_bytes().to_vec(), from);
        let stream = client
            .open_stream(WATCH, &watch.request(), ANSWER_TIME)
            .await
            .unwrap();
        let mut watcher = Watcher { watch, stream };
        assert_eq!(watcher.next().await, [WatchEvent::Created]);
        watcher
    }

    pub async fn next(&mut self) -> Vec<WatchEvent> {
        self.watch.on_response(self.stream.next().await.unwrap())
    }

    /// Waits until at least `wanted` events have been received, and returns their number.
    pub async fn events(&mut self, wanted: usize) -> usize {
        let mut received = 0;
        while received < wanted {
            for event in self.next().await {
                if let WatchEvent::Events { events, .. } = event {
                    received += events.len();
                }
            }
        }
        received
    }

    /// Requests a progress notification and returns its revision.
    pub async fn progress(&mut self) -> i64 {
        let request = RequestUnion::ProgressRequest(WatchProgressRequest {});
        self.stream
            .send(&WatchRequest {
                request_union: Some(request),
            })
            .unwrap();
        loop {
            if let Some(WatchEvent::Progress { header, .. }) = self.next().await.first() {
                return header.revision;
            }
        }
    }
}

/// Puts a key directly into the replicated state, whichever members run, and returns the new revision.
pub fn put_directly(server: &EtcdServer, key: &str) -> i64 {
    let put = PutRequest {
        key: Bytes::from(key.to_owned()),
        value: "v".into(),
        ..PutRequest::default()
    };
    revision(server.store.borrow_mut().put(&put).unwrap().header)
}
