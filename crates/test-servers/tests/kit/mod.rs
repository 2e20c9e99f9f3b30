//! What the tests of the store's members share: a cluster in three regions, clients, and watchers.
#![allow(dead_code, reason = "each test file uses its part")]

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

/// Two regions with two members and one with one.
pub const REGIONS: [u32; 5] = [0, 0, 1, 1, 2];
pub const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Generous: what a loaded machine may take for any one case.
pub const CASE_TIME: f64 = 60.0;

pub fn on<T>(stage: &TestEnvironment, work: impl Future<Output = T>) -> T {
    let late = async {
        stage.sleep(CASE_TIME).await;
        panic!("the case did not end");
    };
    async_io::block_on(stage.tasks.run(future::or(work, late)))
}

pub fn cluster(seed: u64) -> (TestEnvironment, Rc<EtcdServer>) {
    let stage = TestEnvironment::new(seed);
    let served = EtcdServer::start_in_regions(&stage, &REGIONS).unwrap();
    served.timing.election_time.set(0.2);
    served.timing.request_timeout.set(0.4);
    (stage, served)
}

pub fn client(stage: &TestEnvironment, to: SocketAddr) -> Client {
    Client::new(vec![to], stage.tasks.clone())
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

    /// Waits until so many events have come, and counts them.
    pub async fn events(&mut self, wanted: usize) -> usize {
        let mut heard = 0;
        while heard < wanted {
            for told in self.next().await {
                if let WatchEvent::Events { events, .. } = told {
                    heard += events.len();
                }
            }
        }
        heard
    }

    /// The revision that the member tells when it is asked for progress.
    pub async fn progress(&mut self) -> i64 {
        let ask = RequestUnion::ProgressRequest(WatchProgressRequest {});
        self.stream
            .send(&WatchRequest {
                request_union: Some(ask),
            })
            .unwrap();
        loop {
            if let Some(WatchEvent::Progress { header, .. }) = self.next().await.first() {
                return header.revision;
            }
        }
    }
}

/// Puts a key as a script does, whatever members run.
pub fn put_here(served: &EtcdServer, key: &str) -> i64 {
    let put = PutRequest {
        key: Bytes::from(key.to_owned()),
        value: "v".into(),
        ..PutRequest::default()
    };
    revision(served.store.borrow_mut().put(&put).unwrap().header)
}
