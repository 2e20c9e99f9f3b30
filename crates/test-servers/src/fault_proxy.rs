//! A TCP proxy that does to connections what networks do: it stalls them, cuts a message in two, resets, and is late to
//! make a connection.

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

/// Bytes that are read at a time, at the most.
const CHUNK: usize = 4 * 1024;
/// Between looks whether a stall is over, in seconds.
const POLL: f64 = 0.005;

/// One proxy before one server. Its faults hold for all connections over it, or for those that it had when the script
/// asked for them.
pub struct FaultProxy {
    stage: TestEnvironment,
    /// Where clients connect.
    pub address: SocketAddr,
    server: SocketAddr,
    /// Nothing passes from clients until then, on any connection; it is delivered afterwards.
    pub stalls_requests: TimedFault,
    /// The same of what servers send.
    pub stalls_answers: TimedFault,
    /// A connection is made to the server so many seconds after the client's.
    pub dial_delay: Cell<f64>,
    /// So many more bytes from clients pass, then the connection over which the next one comes is reset.
    pub reset_after: Cell<Option<usize>>,
    /// Of connections that are taken now.
    generation: Cell<u64>,
    /// Connections of generations before this one are frozen.
    frozen_before: Cell<u64>,
    /// Tells present connections to end by a reset.
    resets: RefCell<Vec<Sender<()>>>,
    /// Connections that it has taken so far.
    pub taken: Cell<u64>,
}

impl FaultProxy {
    /// Starts a proxy before a server.
    pub fn start(stage: &TestEnvironment, server: SocketAddr) -> io::Result<Rc<FaultProxy>> {
        let listener = Async::<TcpListener>::bind(unused_address())?;
        let proxy = Rc::new(FaultProxy {
            stage: stage.clone(),
            address: listener.get_ref().local_addr()?,
            server,
            stalls_requests: TimedFault::default(),
            stalls_answers: TimedFault::default(),
            dial_delay: Cell::new(0.0),
            reset_after: Cell::new(None),
            generation: Cell::new(1),
            frozen_before: Cell::new(0),
            resets: RefCell::default(),
            taken: Cell::new(0),
        });
        let me = proxy.clone();
        let accept = async move {
            while let Ok((client, _)) = listener.accept().await {
                me.taken.set(me.taken.get() + 1);
                let connection = me.clone().carry(client, me.generation.get());
                me.stage.spawn(connection).detach();
            }
        };
        stage.spawn(accept).detach();
        Ok(proxy)
    }

    /// Nothing passes on the present connections any more, for good, and nobody is told: a lost network path.
    pub fn freeze(&self) {
        self.generation.set(self.generation.get() + 1);
        self.frozen_before.set(self.generation.get());
    }

    /// Resets the present connections on the client's side.
    pub fn reset(&self) {
        for connection in self.resets.borrow_mut().drain(..) {
            // One that has ended already hears nothing.
            let _ = connection.try_send(());
        }
    }

    /// Carries a client's connection until both sides have ended it, or it is reset.
    async fn carry(self: Rc<Self>, client: Async<TcpStream>, generation: u64) {
        self.stage.sleep(self.dial_delay.get()).await;
        let Ok(server) = Async::<TcpStream>::connect(self.server).await else {
            return;
        };
        let (reset, is_reset) = async_channel::bounded(1);
        self.resets
            .borrow_mut()
            .retain(|connection| !connection.is_closed());
        self.resets.borrow_mut().push(reset.clone());
        let to_server = self.pass(&client, &server, generation, Some(&reset));
        let to_client = self.pass(&server, &client, generation, None);
        let carried = async {
            future::zip(to_server, to_client).await;
            false
        };
        let broken_off = async { is_reset.recv().await.is_ok() };
        if future::or(carried, broken_off).await {
            // Closed without lingering a connection sends a reset; one that has ended already needs none.
            let _ = socket2::SockRef::from(client.get_ref()).set_linger(Some(Duration::ZERO));
        }
    }

    /// Passes one direction's bytes on to its end. `reset` is given for the direction from the client.
    async fn pass(
        &self,
        mut from: &Async<TcpStream>,
        mut to: &Async<TcpStream>,
        generation: u64,
        reset: Option<&Sender<()>>,
    ) {
        let mut chunk = vec![0; CHUNK];
        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            let stalled = if reset.is_some() {
                &self.stalls_requests
            } else {
                &self.stalls_answers
            };
            self.hold_back(generation, stalled).await;
            let passes = if reset.is_some() {
                self.let_pass(length)
            } else {
                length
            };
            if to.write_all(&chunk[..passes]).await.is_err() {
                break;
            }
            if let Some(reset) = reset.filter(|_| passes < length) {
                // It may be told so already.
                let _ = reset.try_send(());
                return future::pending().await;
            }
        }
        // The peer may have closed it already.
        let _ = to.get_ref().shutdown(Shutdown::Write);
    }

    /// Waits while the script lets nothing pass.
    async fn hold_back(&self, generation: u64, stalled: &TimedFault) {
        while generation < self.frozen_before.get() || stalled.is_active(self.stage.now()) {
            self.stage.sleep(POLL).await;
        }
    }

    /// How many of some bytes pass before a reset that the script wants.
    fn let_pass(&self, length: usize) -> usize {
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
