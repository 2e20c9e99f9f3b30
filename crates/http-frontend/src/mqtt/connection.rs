//! The connection to the broker, plain or by TLS, with a reader task and a writer task.

use async_executor::Task;
use bytes::BytesMut;
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use futures_rustls::TlsConnector;
use futures_rustls::pki_types::pem::{self, PemObject};
use futures_rustls::pki_types::{CertificateDer, InvalidDnsNameError, PrivateKeyDer, ServerName};
use futures_rustls::rustls::{ClientConfig, RootCertStore};
use orchidtally_mqtt::packet::Packet;
use orchidtally_mqtt::{CodecError, decode};
use orchidtally_mqtt_triggers::TriggerSettings;
use orchidtally_mqtt_triggers::ledger::Answer;
use orchidtally_mqtt_triggers::settings::TlsSettings;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// The maximum number of bytes that are queued for the broker.
pub(super) const MAX_OUTBOX_BYTES: usize = 512 * 1024;
/// The timeout of a connect, and of the TLS handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A stream to the broker, plain or encrypted.
pub(super) trait BrokerStream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> BrokerStream for T {}

/// An input of the consumer.
pub(super) enum Input {
    /// The result of a connection attempt.
    Connected(Result<Box<dyn BrokerStream>, ConnectError>),
    /// A packet from the connection of this number.
    Packet(u64, Packet),
    /// The connection of this number ended.
    Disconnected(u64, ConnectionLost),
    /// The outbox has space again.
    OutboxDrained,
    /// The final answer of an invocation, by the number of its message.
    InvocationEnded(u64, Answer),
}

/// The bytes that wait to be written to the broker.
#[derive(Default)]
pub(super) struct Outbox {
    pub(super) bytes: RefCell<BytesMut>,
    pub(super) is_closing: Cell<bool>,
}

/// An open connection to the broker.
pub(super) struct Connection {
    pub(super) number: u64,
    pub(super) outbox: Rc<Outbox>,
    pub(super) wake: async_channel::Sender<()>,
    pub(super) _tasks: [Option<Task<()>>; 2],
}

/// Why there is no connection to the broker.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// The TCP connection or the TLS handshake failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A certificate or key file can't be read.
    #[error("TLS: {0}")]
    Pem(#[from] pem::Error),
    /// A certificate or key is invalid.
    #[error("TLS: {0}")]
    Certificate(#[from] futures_rustls::rustls::Error),
    /// The name in the settings is not a valid server name.
    #[error("{0}")]
    ServerName(#[from] InvalidDnsNameError),
    /// The handshake took too long.
    #[error("timed out")]
    TimedOut,
}

/// Why a connection to the broker ended.
#[derive(Debug, Error)]
pub(super) enum ConnectionLost {
    /// The broker closed it.
    #[error("the broker closed the connection")]
    Closed,
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A packet is malformed.
    #[error("{0}")]
    Codec(#[from] CodecError),
}

fn tls_connector(settings: &TlsSettings) -> Result<TlsConnector, ConnectError> {
    let mut roots = RootCertStore::empty();
    for certificate in CertificateDer::pem_file_iter(&settings.ca_certificates)? {
        roots.add(certificate?)?;
    }
    let config = ClientConfig::builder().with_root_certificates(roots);
    let config = match &settings.client_identity {
        Some((certificates, key)) => {
            let chain: Result<Vec<_>, _> = CertificateDer::pem_file_iter(certificates)?.collect();
            config.with_client_auth_cert(chain?, PrivateKeyDer::from_pem_file(key)?)?
        }
        None => config.with_no_client_auth(),
    };
    Ok(TlsConnector::from(Arc::new(config)))
}

pub(super) async fn connect(
    settings: &TriggerSettings,
) -> Result<Box<dyn BrokerStream>, ConnectError> {
    let stream = orchidtally_socket_io::connect(settings.broker, CONNECT_TIMEOUT).await?;
    let Some(tls) = &settings.tls else {
        return Ok(Box::new(stream));
    };
    // The files are read for each connection, so that replaced files are used from the next connection on.
    let connector = tls_connector(tls)?;
    let name = ServerName::try_from(tls.server_name.clone())?;
    let handshake =
        orchidtally_socket_io::with_timeout(CONNECT_TIMEOUT, connector.connect(name, stream)).await;
    Ok(Box::new(handshake.ok_or(ConnectError::TimedOut)??))
}

/// Reads packets until the connection ends.
pub(super) async fn read_packets(
    mut stream: impl AsyncRead + Unpin,
    number: u64,
    settings: Rc<TriggerSettings>,
    inputs: async_channel::Sender<Input>,
) {
    let (mut buffer, mut bytes) = (BytesMut::new(), vec![0; 16 * 1024]);
    let ended = 'all: loop {
        match stream.read(&mut bytes).await {
            Ok(0) => break ConnectionLost::Closed,
            Err(fault) => break fault.into(),
            Ok(n) => buffer.extend_from_slice(&bytes[..n]),
        }
        loop {
            match decode(
                &mut buffer,
                settings.version,
                settings.max_packet_size as usize,
            ) {
                Ok(Some((_, packet))) => {
                    if inputs.send(Input::Packet(number, packet)).await.is_err() {
                        return;
                    }
                }
                Ok(None) => break,
                Err(fault) => break 'all fault.into(),
            }
        }
    };
    // There is no receiver once the front end has ended.
    let _ = inputs.send(Input::Disconnected(number, ended)).await;
}

/// Writes the outbox until the connection ends.
pub(super) async fn write_outbox(
    mut stream: impl AsyncWrite + Unpin,
    number: u64,
    outbox: Rc<Outbox>,
    woken: async_channel::Receiver<()>,
    inputs: async_channel::Sender<Input>,
) {
    while woken.recv().await.is_ok() {
        loop {
            let bytes = outbox.bytes.borrow_mut().split().freeze();
            if bytes.is_empty() {
                break;
            }
            let full = bytes.len() >= MAX_OUTBOX_BYTES;
            let written = async {
                stream.write_all(&bytes).await?;
                stream.flush().await
            };
            if let Err(fault) = written.await {
                let _ = inputs.send(Input::Disconnected(number, fault.into())).await;
                return;
            }
            if full && inputs.send(Input::OutboxDrained).await.is_err() {
                return;
            }
        }
        if outbox.is_closing.get() {
            // The disconnect packet is sent, so a failure to close has no effect.
            let _ = stream.close().await;
            return;
        }
    }
}
