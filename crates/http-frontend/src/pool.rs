//! Connections to one executor: opened as streams are wanted, up to a cap, shared by many dispatches, closed
//! when idle. What the end of a stream proves is told as the transport saw it; `engine::evidence` judges it.

use async_executor::LocalExecutor;
use bytes::Bytes;
use futures_channel::oneshot;
use h2::client::SendRequest;
use h2::{Ping, PingPong};
use orchidtally_engine::evidence::Transport;
use orchidtally_executor_protocol::{CONTENT_TYPE, Deframer, MAX_MESSAGE_LENGTH};
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tracing::{debug, warn};

#[derive(Clone, Copy)]
pub struct ConnectionLimits {
    pub streams_per_connection: usize,
    pub connections: usize,
    pub connect_time: Duration,
    pub idle_close: Duration,
    /// The longest message that is read back; what follows it has a bound of its own.
    pub header_bytes: u32,
}

struct Connection {
    sender: SendRequest<Bytes>,
    streams: Cell<usize>,
    closed: Cell<bool>,
    idle_since: Cell<Instant>,
    /// Bytes handed to the kernel.
    written: Rc<Cell<u64>>,
    /// None while somebody waits for an answer to one.
    ping: RefCell<Option<PingPong>>,
}

#[derive(Default)]
struct State {
    connections: Vec<Rc<Connection>>,
    connecting: usize,
    /// Those that wait for a stream; each is told to look again, or why there will be none.
    waiters: VecDeque<oneshot::Sender<Option<Transport>>>,
}

pub struct Pool {
    to: SocketAddr,
    limits: ConnectionLimits,
    spawner: Weak<LocalExecutor<'static>>,
    state: RefCell<State>,
}

/// A place for one stream on a connection; given back when dropped.
struct Lease {
    pool: Rc<Pool>,
    connection: Rc<Connection>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        let c = &self.connection;
        c.streams.set(c.streams.get() - 1);
        c.idle_since.set(Instant::now());
        self.pool.wake_one();
    }
}

/// An answer whose message has come; the payload behind it is still to be read.
pub struct Incoming {
    stream: h2::RecvStream,
    deframer: Deframer,
    sent_from: u64,
    lease: Lease,
}

impl Pool {
    pub fn new(
        to: SocketAddr,
        limits: ConnectionLimits,
        spawner: Weak<LocalExecutor<'static>>,
    ) -> Rc<Pool> {
        Rc::new(Pool {
            to,
            limits,
            spawner,
            state: RefCell::default(),
        })
    }

    /// Closes what was idle for long; tells whether nothing is left.
    pub fn sweep(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let idle = |c: &Rc<Connection>| {
            c.streams.get() == 0 && c.idle_since.get().elapsed() >= self.limits.idle_close
        };
        state.connections.retain(|c| !c.closed.get() && !idle(c));
        state.connections.is_empty() && state.connecting == 0 && state.waiters.is_empty()
    }

    fn wake_one(&self) {
        let mut state = self.state.borrow_mut();
        while let Some(waiter) = state.waiters.pop_front() {
            if waiter.send(None).is_ok() {
                return;
            }
        }
    }

    fn wake_all(&self, why: Option<Transport>) {
        let waiters = std::mem::take(&mut self.state.borrow_mut().waiters);
        for waiter in waiters {
            // One that has given up waiting needs no word.
            let _ = waiter.send(why);
        }
    }

    fn free(self: &Rc<Self>) -> Option<Lease> {
        let state = self.state.borrow();
        let free = |c: &&Rc<Connection>| {
            !c.closed.get() && c.streams.get() < self.limits.streams_per_connection
        };
        let connection = state.connections.iter().find(free)?.clone();
        connection.streams.set(connection.streams.get() + 1);
        Some(Lease {
            pool: self.clone(),
            connection,
        })
    }

    async fn lease(self: &Rc<Self>) -> Result<Lease, Transport> {
        let deadline = Instant::now() + self.limits.connect_time;
        loop {
            while let Some(lease) = self.free() {
                // A connection that the peer is closing takes no new stream.
                if lease.connection.sender.clone().ready().await.is_ok() {
                    return Ok(lease);
                }
                lease.connection.closed.set(true);
            }
            let (wake, woken) = oneshot::channel();
            let opens = {
                let mut state = self.state.borrow_mut();
                state.connections.retain(|c| !c.closed.get());
                state.waiters.push_back(wake);
                let expected_streams = state.connecting * self.limits.streams_per_connection;
                let open = state.connections.len() + state.connecting;
                let opens =
                    open < self.limits.connections && state.waiters.len() > expected_streams;
                state.connecting += usize::from(opens);
                opens
            };
            if opens {
                let Some(spawner) = self.spawner.upgrade() else {
                    return Err(Transport::NoConnection);
                };
                // On its own, so that it goes on where the dispatch that began it is cancelled.
                spawner.spawn(self.clone().open()).detach();
            }
            let left = deadline.saturating_duration_since(Instant::now());
            match orchidtally_socket_io::with_timeout(left, woken).await {
                Some(Ok(None)) => {}
                Some(Ok(Some(why))) => return Err(why),
                Some(Err(_)) | None => {
                    let connecting = self.state.borrow().connecting > 0;
                    return Err(if connecting {
                        Transport::NoConnection
                    } else {
                        Transport::Saturated
                    });
                }
            }
        }
    }

    /// Opens a connection and drives it to its end.
    async fn open(self: Rc<Self>) {
        let handshake = async {
            let stream = orchidtally_socket_io::connect(self.to, self.limits.connect_time).await?;
            let written = stream.written();
            let mut builder = h2::client::Builder::new();
            builder
                .max_header_list_size(self.limits.header_bytes)
                .enable_push(false);
            builder
                .initial_window_size(1 << 20)
                .initial_connection_window_size(4 << 20);
            let (sender, mut driver) = builder
                .handshake::<_, Bytes>(stream)
                .await
                .map_err(std::io::Error::other)?;
            let ping = driver.ping_pong();
            Ok::<_, std::io::Error>((sender, driver, written, ping))
        };
        let handshaken =
            orchidtally_socket_io::with_timeout(self.limits.connect_time, handshake).await;
        self.state.borrow_mut().connecting -= 1;
        let (sender, driver, written, ping) = match handshaken {
            Some(Ok(parts)) => parts,
            failed => {
                let why = failed.map_or_else(
                    || "no handshake in time".into(),
                    |r| r.err().map(|e| e.to_string()).unwrap_or_default(),
                );
                debug!(executor = %self.to, why, "no connection");
                if self
                    .state
                    .borrow()
                    .connections
                    .iter()
                    .all(|c| c.closed.get())
                {
                    self.wake_all(Some(Transport::NoConnection));
                }
                return;
            }
        };
        let connection = Rc::new(Connection {
            sender,
            streams: Cell::new(0),
            closed: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            written,
            ping: RefCell::new(ping),
        });
        self.state.borrow_mut().connections.push(connection.clone());
        self.wake_all(None);
        let weak_connection = Rc::downgrade(&connection);
        drop(connection);
        let ended = driver.await;
        if let Some(connection) = weak_connection.upgrade() {
            connection.closed.set(true);
        }
        self.state
            .borrow_mut()
            .connections
            .retain(|c| !c.closed.get());
        match ended {
            Err(e) if !e.is_io() && !e.is_remote() => {
                warn!(executor = %self.to, fault = %e, "closed a connection for what came over it");
            }
            Err(e) => debug!(executor = %self.to, fault = %e, "a connection broke"),
            Ok(()) => {}
        }
    }

    /// Sends a message and a payload on a stream of their own and reads the message that comes back.
    pub async fn exchange<M: Message + Default>(
        self: &Rc<Self>,
        path: &str,
        head: Bytes,
        payload: &[Bytes],
    ) -> Result<(M, Incoming), Transport> {
        self.exchange_if(path, || Some(head), payload).await
    }

    /// The same, with a message that is made right before the bytes go out, or none if they are not to.
    pub async fn exchange_if<M: Message + Default>(
        self: &Rc<Self>,
        path: &str,
        head: impl FnOnce() -> Option<Bytes>,
        payload: &[Bytes],
    ) -> Result<(M, Incoming), Transport> {
        let mut incoming = self.begin(path, head, payload).await?;
        let message = incoming.message(MAX_MESSAGE_LENGTH).await?;
        Ok((message, incoming))
    }

    /// Sends the same, and reads nothing of what comes back.
    pub async fn begin(
        self: &Rc<Self>,
        path: &str,
        head: impl FnOnce() -> Option<Bytes>,
        payload: &[Bytes],
    ) -> Result<Incoming, Transport> {
        let lease = self.lease().await?;
        let Some(head) = head() else {
            return Err(Transport::Withheld);
        };
        let sent_from = lease.connection.written.get();
        let classify = |e: &h2::Error| seen(e, sent_from, &lease.connection);
        let request = http::Request::post(format!("http://{}{path}", self.to))
            .header(http::header::CONTENT_TYPE, CONTENT_TYPE)
            .body(())
            .map_err(|_| Transport::Withheld)?;
        let mut sender = lease.connection.sender.clone();
        let (response, mut out) = sender
            .send_request(request, false)
            .map_err(|e| classify(&e))?;
        // The chunks are handed over as they are; they go out as the peer's window lets them.
        let last = payload.len();
        out.send_data(head, last == 0).map_err(|e| classify(&e))?;
        for (n, chunk) in payload.iter().enumerate() {
            out.send_data(chunk.clone(), n + 1 == last)
                .map_err(|e| classify(&e))?;
        }
        let response = response.await.map_err(|e| classify(&e))?;
        if response.status() != http::StatusCode::OK {
            warn!(executor = %self.to, status = %response.status(), path, "an executor refused a message");
            return Err(Transport::Malformed);
        }
        Ok(Incoming {
            stream: response.into_body(),
            deframer: Deframer::default(),
            sent_from,
            lease,
        })
    }
}

/// Pings on a connection.
pub struct Pinger(Rc<Connection>);

impl Pinger {
    /// Asks whether the peer is there. Whatever it sent before its answer has come by then; a second question at a
    /// time is not taken.
    pub async fn ping(&self) -> Result<(), Transport> {
        let mut ping = self
            .0
            .ping
            .borrow_mut()
            .take()
            .ok_or(Transport::Saturated)?;
        let answered = ping.ping(Ping::opaque()).await;
        *self.0.ping.borrow_mut() = Some(ping);
        answered.map(drop).map_err(|_| Transport::Broken)
    }
}

/// What an error on a stream proves is for `evidence` to say; this names what was seen.
fn seen(e: &h2::Error, sent_from: u64, connection: &Connection) -> Transport {
    if e.is_remote() && e.is_go_away() {
        return Transport::AboveLast;
    }
    if e.is_remote() && e.is_reset() {
        let unseen = e.reason() == Some(h2::Reason::REFUSED_STREAM);
        return if unseen {
            Transport::Refused
        } else {
            Transport::Reset
        };
    }
    if connection.written.get() == sent_from {
        Transport::Unwritten
    } else {
        Transport::Broken
    }
}

impl Incoming {
    /// Pings on the connection over which this comes.
    pub fn pinger(&self) -> Pinger {
        Pinger(self.lease.connection.clone())
    }

    /// The next chunk, if any is left.
    async fn more(&mut self) -> Result<bool, Transport> {
        match self.stream.data().await {
            None => Ok(false),
            Some(Ok(chunk)) => {
                // The window is given back at once: what is kept is bounded by those who read.
                let _ = self.stream.flow_control().release_capacity(chunk.len());
                self.deframer.push(chunk);
                Ok(true)
            }
            Some(Err(e)) => Err(seen(&e, self.sent_from, &self.lease.connection)),
        }
    }

    pub async fn message<M: Message + Default>(&mut self, most: usize) -> Result<M, Transport> {
        loop {
            let fault = match self.deframer.message(most) {
                Ok(Some(message)) => return Ok(message),
                Ok(None) if self.more().await? => continue,
                Ok(None) => self.deframer.cut_short(),
                Err(fault) => fault,
            };
            // Nothing new goes over it; what is out on it may still end well.
            if !self.lease.connection.closed.replace(true) {
                let executor = self.lease.pool.to;
                warn!(%executor, %fault, "closed a connection for a message that can't be read");
            }
            return Err(Transport::Malformed);
        }
    }

    /// The next part of the payload; `None` at its end.
    pub async fn payload(&mut self) -> Result<Option<Bytes>, Transport> {
        loop {
            if let Some(chunk) = self.deframer.payload() {
                return Ok(Some(chunk));
            }
            if !self.more().await? {
                return Ok(None);
            }
        }
    }

    /// The whole payload, up to a bound.
    pub async fn whole(&mut self, most: usize) -> Result<Vec<Bytes>, Transport> {
        let (mut chunks, mut length) = (vec![], 0);
        while let Some(chunk) = self.payload().await? {
            length += chunk.len();
            if length > most {
                warn!(executor = %self.lease.pool.to, most, "an answer over the bound");
                return Err(Transport::Malformed);
            }
            chunks.push(chunk);
        }
        Ok(chunks)
    }
}
