//! A client of one endpoint at a time: unary exchanges with a deadline, and streams both ways, over HTTP/2.

use crate::grpc::{CONTENT_TYPE, Malformed, Status, deframe, frame, status};
use crate::traffic::{Counted, Traffic};
use async_executor::{LocalExecutor, Task};
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use h2::client::SendRequest;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A stream that asks for this is ended by a member that has lost its leader; else that goes on to tell of progress in
/// what it knew before, which nobody can tell from a store in which nothing changes.
pub const REQUIRE_LEADER: &str = "hasleader";
/// The longest answer: a roster of some 100,000 entries.
pub const LONGEST: usize = 64 * 1024 * 1024;
const CONNECT_TIME: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub enum Fault {
    /// No connection, or it broke.
    Unreachable(String),
    TimedOut,
    /// The store refused, with its status.
    Refused(Status),
    Malformed(Malformed),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Unreachable(why) => write!(f, "the store is not to be reached: {why}"),
            Fault::TimedOut => f.write_str("the store did not answer in time"),
            Fault::Refused(status) => write!(f, "the store refused: {status}"),
            Fault::Malformed(what) => write!(f, "the store's answer can't be read: {what}"),
        }
    }
}

impl std::error::Error for Fault {}

fn broke(fault: impl fmt::Display) -> Fault {
    Fault::Unreachable(fault.to_string())
}

struct Connection {
    sender: SendRequest<Bytes>,
    _driver: Task<()>,
}

/// Of several endpoints the one that answered last is asked; after a failure the next.
pub struct Client {
    endpoints: Vec<SocketAddr>,
    at: Cell<usize>,
    tasks: Rc<LocalExecutor<'static>>,
    connection: RefCell<Option<Rc<Connection>>>,
    pub token: RefCell<Option<String>>,
    /// What it says of itself in each exchange, for logs.
    name: RefCell<String>,
    traffic: Rc<Traffic>,
}

/// A stream of messages both ways.
pub struct Both<M> {
    out: h2::SendStream<Bytes>,
    body: h2::RecvStream,
    bytes: BytesMut,
    _of: std::marker::PhantomData<M>,
    _connection: Rc<Connection>,
}

async fn next<M: Message + Default>(
    body: &mut h2::RecvStream,
    bytes: &mut BytesMut,
) -> Result<Option<M>, Fault> {
    loop {
        if let Some(message) = deframe(bytes, LONGEST).map_err(Fault::Malformed)? {
            return Ok(Some(message));
        }
        match body.data().await {
            Some(Ok(chunk)) => {
                // The window is given back as it is read; that the stream has ended is seen next.
                let _ = body.flow_control().release_capacity(chunk.len());
                bytes.extend_from_slice(&chunk);
            }
            Some(Err(e)) => return Err(broke(e)),
            None => return Ok(None),
        }
    }
}

impl<M: Message + Default> Both<M> {
    pub fn send(&mut self, message: &impl Message) -> Result<(), Fault> {
        self.out.send_data(frame(message), false).map_err(broke)
    }

    /// The next message; an end of the stream is a fault, with its status where it has one.
    pub async fn next(&mut self) -> Result<M, Fault> {
        match next(&mut self.body, &mut self.bytes).await? {
            Some(message) => Ok(message),
            None => {
                let trailers = self.body.trailers().await.map_err(broke)?;
                let refused = trailers.as_ref().and_then(status).filter(|s| s.code != 0);
                Err(refused.map_or_else(|| broke("the stream ended"), Fault::Refused))
            }
        }
    }
}

impl Client {
    pub fn new(endpoints: Vec<SocketAddr>, tasks: Rc<LocalExecutor<'static>>) -> Client {
        Client {
            endpoints,
            at: Cell::new(0),
            tasks,
            connection: RefCell::default(),
            token: RefCell::default(),
            name: RefCell::default(),
            traffic: Rc::default(),
        }
    }

    /// Bytes sent and received over all of this client's connections so far.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    pub fn says(&self, name: String) {
        *self.name.borrow_mut() = name;
    }

    pub fn endpoint(&self) -> Option<SocketAddr> {
        self.endpoints
            .get(self.at.get() % self.endpoints.len().max(1))
            .copied()
    }

    /// The next exchange goes to the next endpoint.
    pub fn fail_over(&self) {
        *self.connection.borrow_mut() = None;
        self.at.set(self.at.get() + 1);
    }

    async fn connection(&self) -> Result<Rc<Connection>, Fault> {
        let known = self.connection.borrow().clone();
        if let Some(connection) = known {
            return Ok(connection);
        }
        let at = self
            .endpoint()
            .ok_or_else(|| broke("no endpoint is known"))?;
        let stream = orchidtally_socket_io::connect(at, CONNECT_TIME)
            .await
            .map_err(broke)?;
        let stream = Counted::new(stream, self.traffic.clone());
        let shaken =
            orchidtally_socket_io::with_timeout(CONNECT_TIME, h2::client::handshake(stream)).await;
        let (sender, driver) = shaken.ok_or(Fault::TimedOut)?.map_err(broke)?;
        let driver = self.tasks.spawn(async {
            // What breaks it is seen by its streams.
            let _ = driver.await;
        });
        let connection = Rc::new(Connection {
            sender,
            _driver: driver,
        });
        *self.connection.borrow_mut() = Some(connection.clone());
        Ok(connection)
    }

    async fn begin(
        &self,
        path: &str,
        first: Bytes,
        ends: bool,
    ) -> Result<
        (
            h2::client::ResponseFuture,
            h2::SendStream<Bytes>,
            Rc<Connection>,
        ),
        Fault,
    > {
        let connection = self.connection().await?;
        let mut request = http::Request::post(format!("http://etcd{path}"))
            .header(http::header::CONTENT_TYPE, CONTENT_TYPE)
            .header(http::header::TE, "trailers")
            .header(http::header::USER_AGENT, self.name.borrow().as_str());
        if !ends {
            request = request.header(REQUIRE_LEADER, "true");
        }
        if let Some(token) = self.token.borrow().as_ref() {
            request = request.header("token", token);
        }
        let request = request.body(()).map_err(broke)?;
        let mut sender = connection.sender.clone().ready().await.map_err(broke)?;
        let (response, mut out) = sender.send_request(request, false).map_err(broke)?;
        out.send_data(first, ends).map_err(broke)?;
        Ok((response, out, connection))
    }

    /// One question and its answer.
    pub async fn unary<M: Message + Default>(
        &self,
        path: &str,
        question: &impl Message,
        time: Duration,
    ) -> Result<M, Fault> {
        let work = async {
            let (response, _out, _connection) = self.begin(path, frame(question), true).await?;
            let (parts, mut body) = response.await.map_err(broke)?.into_parts();
            if let Some(refused) = status(&parts.headers).filter(|s| s.code != 0) {
                return Err(Fault::Refused(refused));
            }
            let mut bytes = BytesMut::new();
            let answer = next(&mut body, &mut bytes).await?;
            let trailers = body.trailers().await.map_err(broke)?;
            if let Some(refused) = trailers.as_ref().and_then(status).filter(|s| s.code != 0) {
                return Err(Fault::Refused(refused));
            }
            answer.ok_or_else(|| broke("an answer without a message"))
        };
        let done = orchidtally_socket_io::with_timeout(time, work)
            .await
            .unwrap_or(Err(Fault::TimedOut));
        if matches!(done, Err(Fault::Unreachable(_) | Fault::TimedOut)) {
            *self.connection.borrow_mut() = None;
        }
        done
    }

    /// A stream both ways, begun with a message.
    pub async fn both<M: Message + Default>(
        &self,
        path: &str,
        first: &impl Message,
        time: Duration,
    ) -> Result<Both<M>, Fault> {
        let work = async {
            let (response, out, connection) = self.begin(path, frame(first), false).await?;
            let (parts, body) = response.await.map_err(broke)?.into_parts();
            if let Some(refused) = status(&parts.headers).filter(|s| s.code != 0) {
                return Err(Fault::Refused(refused));
            }
            let _of = std::marker::PhantomData;
            Ok(Both {
                out,
                body,
                bytes: BytesMut::new(),
                _of,
                _connection: connection,
            })
        };
        let done = orchidtally_socket_io::with_timeout(time, work)
            .await
            .unwrap_or(Err(Fault::TimedOut));
        if done.is_err() {
            *self.connection.borrow_mut() = None;
        }
        future::yield_now().await;
        done
    }
}
