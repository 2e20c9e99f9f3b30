//! A broker on sockets, with injected network faults.

use super::{Action, Broker, Message};
use crate::{TestEnvironment, TimedFault};
use bytes::{Bytes, BytesMut};
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use orchidtally_mqtt::packet::Version;
use orchidtally_mqtt::{decode, encode};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;

/// The size in bytes of the largest packet that is accepted.
const MAX_PACKET_SIZE: usize = 1_048_576;
/// The largest number of packets queued for a connection; further ones are dropped.
const MAX_QUEUED_PACKETS: usize = 100_000;
/// Bytes that don't form a control packet: its type is the reserved value 0, and its length is malformed.
const MALFORMED: &[u8] = &[0x00, 0xff, 0xff, 0xff, 0xff, 0xff];
/// How long a restart retries to listen at its address, in seconds.
const LISTEN_TIMEOUT: f64 = 2.0;
/// The interval between these attempts, in seconds.
const LISTEN_RETRY: f64 = 0.02;

/// Any stream, plain or encrypted.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> ByteStream for T {}

/// Wraps an accepted stream, for instance in TLS. Returns `None` if the handshake fails.
pub type StreamWrapper = Rc<
    dyn Fn(
        orchidtally_socket_io::Stream,
    ) -> futures_lite::future::BoxedLocal<Option<Box<dyn ByteStream>>>,
>;

/// A broker that listens on a socket.
pub struct BrokerServer {
    environment: TestEnvironment,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The broker.
    pub broker: RefCell<Broker>,
    /// The queues of encoded packets by connection number; `None` in a queue ends the connection.
    writers: RefCell<BTreeMap<u64, async_channel::Sender<Option<Bytes>>>>,
    last_connection: Cell<u64>,
    wrapper: Option<StreamWrapper>,
    /// While active, no packet is handled or written.
    pub stalled: TimedFault,
    /// The delay before each packet to a client, in seconds.
    pub send_delay: Cell<f64>,
    /// Every n-th packet, in either direction, resets its connection; 0 disables the fault.
    pub resets_every: Cell<u64>,
    /// The next connection is sent bytes that don't form a packet; the flag is cleared then.
    pub sends_malformed: Cell<bool>,
    packets: Cell<u64>,
    listening: RefCell<Option<async_executor::Task<()>>>,
}

impl BrokerServer {
    /// Starts a broker. Port 0 selects a free port.
    pub fn start(
        environment: &TestEnvironment,
        address: SocketAddr,
        wrapper: Option<StreamWrapper>,
    ) -> std::io::Result<Rc<BrokerServer>> {
        let listener = orchidtally_socket_io::listen(address)?;
        let server = Rc::new(BrokerServer {
            environment: environment.clone(),
            address: listener.get_ref().local_addr()?,
            broker: RefCell::default(),
            writers: RefCell::default(),
            last_connection: Cell::new(0),
            wrapper,
            stalled: TimedFault::default(),
            send_delay: Cell::new(0.0),
            resets_every: Cell::new(0),
            sends_malformed: Cell::new(false),
            packets: Cell::new(0),
            listening: RefCell::default(),
        });
        server.listen(listener);
        Ok(server)
    }

    fn listen(self: &Rc<Self>, listener: async_io::Async<std::net::TcpListener>) {
        let server = self.clone();
        let accept = async move {
            loop {
                let stream = orchidtally_socket_io::accept(&listener).await;
                server
                    .environment
                    .spawn(server.clone().serve(stream))
                    .detach();
            }
        };
        *self.listening.borrow_mut() = Some(self.environment.spawn(accept));
    }

    /// Stops the broker and starts it again after `after` seconds. `preserves_state` says whether its state survives.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened at within `LISTEN_TIMEOUT`.
    pub async fn restart(
        self: &Rc<Self>,
        after: f64,
        preserves_state: bool,
    ) -> std::io::Result<()> {
        *self.listening.borrow_mut() = None;
        self.reset_all_connections();
        if !preserves_state {
            *self.broker.borrow_mut() = Broker::default();
        }
        self.environment.sleep(after).await;
        let deadline = self.environment.now() + LISTEN_TIMEOUT;
        loop {
            match orchidtally_socket_io::listen(self.address) {
                Ok(listener) => {
                    self.listen(listener);
                    return Ok(());
                }
                Err(e) if self.environment.now() > deadline => return Err(e),
                Err(_) => self.environment.sleep(LISTEN_RETRY).await,
            }
        }
    }

    /// The number of connections that were accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.last_connection.get()
    }

    /// Resets all connections.
    pub fn reset_all_connections(&self) {
        let numbers: Vec<u64> = self.writers.borrow().keys().copied().collect();
        numbers.into_iter().for_each(|number| self.close(number));
    }

    fn close(&self, number: u64) {
        if let Some(writer) = self.writers.borrow_mut().remove(&number) {
            // The queue is full if the client doesn't read. Its connection then ends once the queue is written.
            let _ = writer.try_send(None);
        }
        let actions =
            self.broker
                .borrow_mut()
                .connection_closed(self.environment.now(), number, false);
        self.perform(actions);
    }

    /// Publishes a message that comes from no client.
    pub fn publish(&self, message: Message) {
        let actions = self
            .broker
            .borrow_mut()
            .publish(self.environment.now(), message);
        self.perform(actions);
    }

    fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(number, packet) => {
                    let version = self.broker.borrow().version_of(number);
                    let Ok(bytes) = encode(&packet, version) else {
                        continue;
                    };
                    if let Some(writer) = self.writers.borrow().get(&number) {
                        let _ = writer.try_send(Some(bytes));
                    }
                }
                Action::Close(number) => self.close(number),
            }
        }
    }

    /// Counts a packet, and returns whether it resets its connection.
    fn is_reset_due(&self) -> bool {
        self.packets.set(self.packets.get() + 1);
        let interval = self.resets_every.get();
        interval > 0 && self.packets.get().is_multiple_of(interval)
    }

    async fn wait_while_stalled(&self) {
        self.environment
            .sleep(self.stalled.ends_at() - self.environment.now())
            .await;
    }

    /// Serves one connection until it ends.
    async fn serve(self: Rc<Self>, stream: orchidtally_socket_io::Stream) {
        let reset_handle = stream.abort_handle();
        let stream: Box<dyn ByteStream> = match &self.wrapper {
            Some(wrapper) => match wrapper(stream).await {
                Some(stream) => stream,
                None => return,
            },
            None => Box::new(stream),
        };
        let number = self.last_connection.get() + 1;
        self.last_connection.set(number);
        let (writer, packets) = async_channel::bounded::<Option<Bytes>>(MAX_QUEUED_PACKETS);
        let (reader, socket) = futures_lite::io::split(stream);
        if self.sends_malformed.replace(false) {
            let _ = writer.try_send(Some(Bytes::from_static(MALFORMED)));
        }
        self.writers.borrow_mut().insert(number, writer);
        let server = self.clone();
        let writing = self.environment.spawn(async move {
            server.write(socket, packets).await;
            if let Some(socket) = reset_handle {
                orchidtally_socket_io::reset_on_close(&socket);
                let _ = socket.shutdown(Shutdown::Both);
            }
        });
        self.read(reader, number).await;
        self.close(number);
        writing.await;
    }

    /// Writes packets until the connection ends.
    async fn write(
        &self,
        mut socket: impl AsyncWrite + Unpin,
        packets: async_channel::Receiver<Option<Bytes>>,
    ) {
        while let Ok(Some(bytes)) = packets.recv().await {
            self.wait_while_stalled().await;
            self.environment.sleep(self.send_delay.get()).await;
            if self.is_reset_due() || socket.write_all(&bytes).await.is_err() {
                return;
            }
        }
    }

    /// Reads packets until the connection ends.
    async fn read(&self, mut socket: impl AsyncRead + Unpin, number: u64) {
        let (mut buffer, mut bytes) = (BytesMut::new(), vec![0; 16 * 1024]);
        let mut version = Version::V5;
        loop {
            match socket.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(length) => buffer.extend_from_slice(&bytes[..length]),
            }
            loop {
                let packet = match decode(&mut buffer, version, MAX_PACKET_SIZE) {
                    Ok(Some((stated, packet))) => {
                        version = stated;
                        packet
                    }
                    Ok(None) => break,
                    Err(_) => return,
                };
                self.wait_while_stalled().await;
                if self.is_reset_due() || !self.writers.borrow().contains_key(&number) {
                    return;
                }
                let actions = self.broker.borrow_mut().handle_packet(
                    self.environment.now(),
                    number,
                    version,
                    packet,
                );
                self.perform(actions);
            }
        }
    }
}
