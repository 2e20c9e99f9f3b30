//! A front end that violates the rules on purpose, to verify that the checks detect it. It speaks the executors'
//! protocol under the index of a real front end.

use crate::{ExchangeError, TestEnvironment};
use bytes::Bytes;
use orchidtally_etcd::rpc::{RangeRequest, RangeResponse, WatchResponse};
use orchidtally_etcd::{Client, ClientError, Watch, range_end};
use orchidtally_executor_protocol::{
    CONTENT_TYPE, DISPATCH_PATH, ENDPOINT_LIST_PATH, LOAD_PATH, frame, v1,
};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Its incarnation in records.
pub const INCARNATION: u64 = 0x0bad_0bad;
/// The interval between attempts to watch the endpoint list after the connection to its source has ended, in seconds.
const RETRY_INTERVAL: f64 = 0.1;
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// A front end that violates the rules.
pub struct MisbehavingFrontEnd {
    environment: TestEnvironment,
    sender: v1::Sender,
    connections: RefCell<HashMap<SocketAddr, h2::client::SendRequest<Bytes>>>,
}

impl MisbehavingFrontEnd {
    /// Creates a front end that sends under `index`, out of `count` front ends.
    pub fn new(environment: &TestEnvironment, index: u32, count: u32) -> Rc<MisbehavingFrontEnd> {
        let sender = v1::Sender {
            index,
            count,
            incarnation: INCARNATION,
        };
        Rc::new(MisbehavingFrontEnd {
            environment: environment.clone(),
            sender,
            connections: RefCell::default(),
        })
    }

    async fn send(
        &self,
        to: SocketAddr,
        path: &str,
        head: Bytes,
    ) -> Result<h2::RecvStream, ExchangeError> {
        let open = self.connections.borrow().get(&to).cloned();
        let sender = match open {
            Some(sender) => sender,
            None => {
                let stream = orchidtally_socket_io::connect(to, Duration::from_secs(1)).await?;
                let (sender, driver) = h2::client::handshake(stream).await?;
                self.environment
                    .spawn(async move {
                        // An error of the connection also fails the next request, which reports it.
                        let _ = driver.await;
                    })
                    .detach();
                self.connections.borrow_mut().insert(to, sender.clone());
                sender
            }
        };
        let request = http::Request::post(format!("http://{to}{path}"))
            .header(http::header::CONTENT_TYPE, CONTENT_TYPE)
            .body(())?;
        let ready = match sender.ready().await {
            Ok(mut ready) => ready.send_request(request, false),
            Err(e) => Err(e),
        };
        let (response, mut out) = ready.inspect_err(|_| {
            self.connections.borrow_mut().remove(&to);
        })?;
        out.send_data(head, true)?;
        Ok(response.await?.into_body())
    }

    /// Watches the endpoint list of a publisher, and requests it again when the stream ends.
    pub async fn watch_publisher(self: Rc<Self>, publisher: SocketAddr) {
        loop {
            let request = frame(&v1::RosterWatch {
                from: Some(self.sender),
            });
            if let Ok(mut updates) = self.send(publisher, ENDPOINT_LIST_PATH, request).await {
                while let Some(Ok(chunk)) = updates.data().await {
                    // Fails only if the stream has ended, which the next read reports.
                    let _ = updates.flow_control().release_capacity(chunk.len());
                }
            }
            self.connections.borrow_mut().remove(&publisher);
            self.environment.sleep(RETRY_INTERVAL).await;
        }
    }

    /// Watches the endpoint list in etcd, and lists it again when the watch ends.
    pub async fn watch_store(self: Rc<Self>, endpoints: Vec<SocketAddr>, prefix: &'static str) {
        let client = Client::new(endpoints, self.environment.tasks.clone());
        client.set_user_agent(format!("{}.{}", self.sender.index, self.sender.incarnation));
        loop {
            // Whatever the error is, the next attempt uses the next endpoint.
            let _ = self.watch_store_once(&client, prefix).await;
            client.fail_over();
            self.environment.sleep(RETRY_INTERVAL).await;
        }
    }

    async fn watch_store_once(&self, client: &Client, prefix: &str) -> Result<(), ClientError> {
        let list = RangeRequest {
            key: Bytes::copy_from_slice(prefix.as_bytes()),
            range_end: range_end(prefix.as_bytes()).into(),
            ..RangeRequest::default()
        };
        let listed: RangeResponse = client
            .unary(orchidtally_etcd::RANGE, &list, STORE_TIMEOUT)
            .await?;
        let next = listed.header.map_or(0, |header| header.revision) + 1;
        let mut watch = Watch::new(prefix.as_bytes().to_vec(), next);
        let mut updates = client
            .open_stream::<WatchResponse>(orchidtally_etcd::WATCH, &watch.request(), STORE_TIMEOUT)
            .await?;
        loop {
            if updates.next().await?.canceled {
                return Ok(());
            }
        }
    }

    /// Sends a dispatch to an executor without any check of the rules.
    pub async fn dispatch(
        &self,
        to: SocketAddr,
        invocation: &str,
        number: u32,
        function: &str,
        trigger_type: &str,
    ) {
        let head = frame(&v1::Dispatch {
            from: Some(self.sender),
            invocation: invocation.to_owned(),
            number,
            function: function.to_owned(),
            trigger_type: trigger_type.to_owned(),
            time_left: 1_000_000,
            ..v1::Dispatch::default()
        });
        // The executor records the outcome.
        if let Ok(mut answer) = self.send(to, DISPATCH_PATH, head).await {
            while let Some(Ok(_)) = answer.data().await {}
        }
    }

    /// Sends a load command for one copy of a function, whatever the load budget is.
    pub async fn send_load_command(&self, to: SocketAddr, function: &str) {
        let (kind, function) = (v1::OrderKind::Hold.into(), function.to_owned());
        let order = frame(&v1::Order {
            from: Some(self.sender),
            kind,
            function,
            copies: 1,
            ..v1::Order::default()
        });
        if let Ok(mut answer) = self.send(to, LOAD_PATH, order).await {
            while let Some(Ok(_)) = answer.data().await {}
        }
    }
}
