//! A TCP proxy that injects network faults: stalls, resets in the middle of a message, and delayed connections.

use crate::{TestEnvironment, TimedFault, unused_address};
use async_channel::Sender;
use async_io::Async;
use futures_lite::future;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The largest number of bytes that are read at a time.
const MAX_READ: usize = 4 * 1024;
/// The interval between checks whether a stall has ended, in seconds.
const POLL_INTERVAL: f64 = 0.005;

/// A proxy in front of one server. A fault applies to all connections, or to those that are open when the script
/// injects it.
pub struct FaultProxy {
    environment: TestEnvironment,
    /// The address at which clients connect.
    pub address: SocketAddr,
    server: SocketAddr,
    /// While active, bytes from clients are delayed on all connections and forwarded afterwards.
    pub stalls_requests: TimedFault,
    /// The same for bytes from the server.
    pub stalls_responses: TimedFault,
    /// The delay between a client's connection and the one to the server, in seconds.
    pub connect_delay: Cell<f64>,
    /// The number of bytes from clients still to be forwarded. The connection that exceeds it is reset, and this
    /// becomes `None`.
    pub reset_after: Cell<Option<usize>>,
    /// The generation of newly accepted connections.
    generation: Cell<u64>,
    /// Connections of generations before this one are frozen.
    frozen_before: Cell<u64>,
    /// Signals the open connections to reset.
    reset_signals: RefCell<Vec<Sender<()>>>,
    /// The number of connections accepted so far.
    pub accepted_connections: Cell<u64>,
}

impl FaultProxy {
    /// Starts a proxy in front of a server.
    pub fn start(environment: &TestEnvironment, server: SocketAddr) -> io::Result<Rc<FaultProxy>> {
        let listener = Async::<TcpListener>::bind(unused_address())?;
        let proxy = Rc::new(FaultProxy {
            environment: environment.clone(),
            address: listener.get_ref().local_addr()?,
            server,
            stalls_requests: TimedFault::default(),
            stalls_responses: TimedFault::default(),
            connect_delay: Cell::new(0.0),
            reset_after: Cell::new(None),
            generation: Cell::new(1),
            frozen_before: Cell::new(0),
            reset_signals: RefCell::default(),
            accepted_connections: Cell::new(0),
        });
        let proxy_clone = proxy.clone();
        let accept = async move {
            while let Ok((client, _)) = listener.accept().await {
                proxy_clone
                    .accepted_connections
                    .set(proxy_clone.accepted_connections.get() + 1);
                let connection = proxy_clone
                    .clone()
                    .proxy_connection(client, proxy_clone.generation.get());
                proxy_clone.environment.spawn(connection).detach();
            }
        };
        environment.spawn(accept).detach();
        Ok(proxy)
    }

    /// Stops forwarding on the open connections for good without closing them, as a lost network path does.
    pub fn freeze(&self) {
        self.generation.set(self.generation.get() + 1);
        self.frozen_before.set(self.generation.get());
    }

    /// Resets the open connections on the client's side.
    pub fn reset(&self) {
        for connection in self.reset_signals.borrow_mut().drain(..) {
            // Fails for a connection that has ended or is already being reset.
            let _ = connection.try_send(());
        }
    }

    /// Connects to the server and forwards both directions until both have ended, or the connection is reset.
    async fn proxy_connection(self: Rc<Self>, client: Async<TcpStream>, generation: u64) {
        self.environment.sleep(self.connect_delay.get()).await;
        let Ok(server) = Async::<TcpStream>::connect(self.server).await else {
            return;
        };
        let (reset, reset_signal) = async_channel::bounded(1);
        self.reset_signals
            .borrow_mut()
            .retain(|connection| !connection.is_closed());
        self.reset_signals.borrow_mut().push(reset.clone());
        let to_server = self.forward(&client, &server, generation, Some(&reset));
        let to_client = self.forward(&server, &client, generation, None);
        let forwarded = async {
            future::zip(to_server, to_client).await;
            false
        };
        let reset_requested = async { reset_signal.recv().await.is_ok() };
        if future::or(forwarded, reset_requested).await {
            // A close with a linger time of zero sends a reset. Setting it fails for a connection that has ended, which
            // needs none.
            let _ = socket2::SockRef::from(client.get_ref()).set_linger(Some(Duration::ZERO));
        }
    }

    /// Forwards one direction until its end. `reset` is given for the direction from the client only.
    async fn forward(
        &self,
        mut from: &Async<TcpStream>,
        mut to: &Async<TcpStream>,
        generation: u64,
        reset: Option<&Sender<()>>,
    ) {
        let mut chunk = vec![0; MAX_READ];
        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            let stalled = if reset.is_some() {
                &self.stalls_requests
            } else {
                &self.stalls_responses
            };
            self.wait_while_stalled(generation, stalled).await;
            let allowed = if reset.is_some() {
                self.use_allowance(length)
            } else {
                length
            };
            if to.write_all(&chunk[..allowed]).await.is_err() {
                break;
            }
            if let Some(reset) = reset.filter(|_| allowed < length) {
                // Fails if a reset is already signalled.
                let _ = reset.try_send(());
                return future::pending().await;
            }
        }
        // The peer may have closed it already.
        let _ = to.get_ref().shutdown(Shutdown::Write);
    }

    /// Waits while the connection is frozen or the direction is stalled.
    async fn wait_while_stalled(&self, generation: u64, stalled: &TimedFault) {
        while generation < self.frozen_before.get() || stalled.is_active(self.environment.now()) {
            self.environment.sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns how many of `length` bytes may be forwarded before a reset, and deducts them from `reset_after`.
    fn use_allowance(&self, length: usize) -> usize {
        let Some(left) = self.reset_after.get() else {
            return length;
        };
        if left >= length {
            self.reset_after.set(Some(left - length));
            return length;
        }
        self.reset_after.set(None);
        left
    }
}
