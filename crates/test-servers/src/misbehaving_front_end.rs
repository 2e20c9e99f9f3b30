//! A front end that breaks the rules on purpose, so that the checks can be seen to find it. It speaks the
//! executors' protocol under the index of a real one.

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

/// The life under which it is known in records.
pub const INCARNATION: u64 = 0x0bad_0bad;
/// Between tries to follow a roster whose source broke the connection off, in seconds.
const RETRY_INTERVAL: f64 = 0.1;
const STORE_TIME: Duration = Duration::from_secs(2);

/// A front end that breaks the rules.
pub struct MisbehavingFrontEnd {
    stage: TestEnvironment,
    sender: v1::Sender,
    connections: RefCell<HashMap<SocketAddr, h2::client::SendRequest<Bytes>>>,
}

impl MisbehavingFrontEnd {
    /// One that sends under this index among so many front ends.
    pub fn new(stage: &TestEnvironment, index: u32, count: u32) -> Rc<MisbehavingFrontEnd> {
        let sender = v1::Sender {
            index,
            count,
            incarnation: INCARNATION,
        };
        Rc::new(MisbehavingFrontEnd {
            stage: stage.clone(),
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
                self.stage
                    .spawn(async move {
                        // Whoever sends next hears of it.
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

    /// Follows the roster as a front end does, and asks for it again when the publisher breaks off.
    pub async fn follow(self: Rc<Self>, publisher: SocketAddr) {
        loop {
            let ask = frame(&v1::RosterWatch {
                from: Some(self.sender),
            });
            if let Ok(mut notified) = self.send(publisher, ENDPOINT_LIST_PATH, ask).await {
                while let Some(Ok(chunk)) = notified.data().await {
                    // Fails only where the stream has ended, which the next read tells.
                    let _ = notified.flow_control().release_capacity(chunk.len());
                }
            }
            self.connections.borrow_mut().remove(&publisher);
            self.stage.sleep(RETRY_INTERVAL).await;
        }
    }

    /// Follows the roster from a store, and lists it again when the store breaks off.
    pub async fn follow_store(self: Rc<Self>, endpoints: Vec<SocketAddr>, prefix: &'static str) {
        let client = Client::new(endpoints, self.stage.tasks.clone());
        client.set_user_agent(format!("{}.{}", self.sender.index, self.sender.incarnation));
        loop {
            // Whatever ends it, the next endpoint is asked.
            let _ = self.follow_store_once(&client, prefix).await;
            client.fail_over();
            self.stage.sleep(RETRY_INTERVAL).await;
        }
    }

    async fn follow_store_once(&self, client: &Client, prefix: &str) -> Result<(), ClientError> {
        let list = RangeRequest {
            key: Bytes::copy_from_slice(prefix.as_bytes()),
            range_end: range_end(prefix.as_bytes()).into(),
            ..RangeRequest::default()
        };
        let listed: RangeResponse = client
            .unary(orchidtally_etcd::RANGE, &list, STORE_TIME)
            .await?;
        let next = listed.header.map_or(0, |header| header.revision) + 1;
        let mut watch = Watch::new(prefix.as_bytes().to_vec(), next);
        let mut notified = client
            .open_stream::<WatchResponse>(orchidtally_etcd::WATCH, &watch.request(), STORE_TIME)
            .await?;
        loop {
            if notified.next().await?.canceled {
                return Ok(());
            }
        }
    }

    /// Dispatches without asking anyone.
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
        // Whatever comes of it is on record at the executor.
        if let Ok(mut answer) = self.send(to, DISPATCH_PATH, head).await {
            while let Some(Ok(_)) = answer.data().await {}
        }
    }

    /// Sends a load command for one copy of a function, whatever the load budget is.
    pub async fn hold(&self, to: SocketAddr, function: &str) {
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
