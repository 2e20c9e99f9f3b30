//! A client that uses one endpoint at a time: unary requests with a timeout, and bidirectional streams, over HTTP/2.

use crate::error::{ClientError, ConnectionError};
use crate::grpc::{CONTENT_TYPE, decode_frame, encode_frame, status};
use crate::traffic::{CountedStream, Traffic};
use async_executor::{LocalExecutor, Task};
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use h2::client::{ResponseFuture, SendRequest};
use h2::{RecvStream, SendStream};
use http::HeaderMap;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Header that makes a member end a stream when it loses its leader. Without it the member keeps sending progress at
/// its last revision, which can't be distinguished from a store in which nothing changes.
pub const REQUIRE_LEADER: &str = "hasleader";
/// Maximum length of a message in bytes; large enough for a list of about 100,000 executors.
pub const MAX_MESSAGE_LENGTH: usize = 64 * 1024 * 1024;
/// Timeout of the TCP connection and, separately, of the HTTP/2 handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An open HTTP/2 connection. It is closed once the last reference is dropped.
struct Connection {
    sender: SendRequest<Bytes>,
    _driver: Task<()>,
}

/// A client of the members of one store. It uses one endpoint until [`Client::fail_over`].
pub struct Client {
    endpoints: Vec<SocketAddr>,
    /// Index of the endpoint in use, modulo the number of endpoints.
    current: Cell<usize>,
    tasks: Rc<LocalExecutor<'static>>,
    connection: RefCell<Option<Rc<Connection>>>,
    /// The authentication token, sent with each request.
    pub token: RefCell<Option<String>>,
    /// Sent with each request, for the store's logs.
    user_agent: RefCell<String>,
    traffic: Rc<Traffic>,
}

/// A request whose first message was sent.
struct StartedRequest {
    response: ResponseFuture,
    outgoing: SendStream<Bytes>,
    connection: Rc<Connection>,
}

/// A stream of messages in both directions.
pub struct BidirectionalStream<M> {
    outgoing: SendStream<Bytes>,
    body: RecvStream,
    /// Received bytes that aren't a complete message yet.
    buffer: BytesMut,
    _message: std::marker::PhantomData<M>,
    _connection: Rc<Connection>,
}

/// Receives the next message; `None` at the end of the stream.
async fn next_message<M: Message + Default>(
    body: &mut RecvStream,
    buffer: &mut BytesMut,
) -> Result<Option<M>, ClientError> {
    loop {
        if let Some(message) =
            decode_frame(buffer, MAX_MESSAGE_LENGTH).map_err(ClientError::InvalidResponse)?
        {
            return Ok(Some(message));
        }
        match body.data().await {
            Some(Ok(chunk)) => {
                // An error means that the stream has ended, which the next read reports.
                let _ = body.flow_control().release_capacity(chunk.len());
                buffer.extend_from_slice(&chunk);
            }
            Some(Err(error)) => return Err(error.into()),
            None => return Ok(None),
        }
    }
}

impl<M: Message + Default> BidirectionalStream<M> {
    /// Sends a message.
    ///
    /// # Errors
    ///
    /// If the stream has ended.
    pub fn send(&mut self, message: &impl Message) -> Result<(), ClientError> {
        self.outgoing.send_data(encode_frame(message), false)?;
        Ok(())
    }

    /// Receives the next message.
    ///
    /// # Errors
    ///
    /// If the stream fails or ends, with its status if it has one.
    pub async fn next(&mut self) -> Result<M, ClientError> {
        if let Some(message) = next_message(&mut self.body, &mut self.buffer).await? {
            return Ok(message);
        }
        if let Some(trailers) = self.body.trailers().await? {
            check_status(&trailers)?;
        }
        Err(ConnectionError::StreamEnded.into())
    }
}

impl Client {
    /// Creates a client that connects with its first request. `tasks` drives its connections.
    pub fn new(endpoints: Vec<SocketAddr>, tasks: Rc<LocalExecutor<'static>>) -> Client {
        Client {
            endpoints,
            current: Cell::new(0),
            tasks,
            connection: RefCell::default(),
            token: RefCell::default(),
            user_agent: RefCell::default(),
            traffic: Rc::default(),
        }
    }

    /// Bytes sent and received over all connections of this client.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Sets the user agent of all further requests.
    pub fn set_user_agent(&self, name: String) {
        *self.user_agent.borrow_mut() = name;
    }

    /// The endpoint in use; `None` if there are no endpoints.
    pub fn endpoint(&self) -> Option<SocketAddr> {
        self.endpoints
            .get(self.current.get() % self.endpoints.len().max(1))
            .copied()
    }

    /// Closes the connection; further requests use the next endpoint.
    pub fn fail_over(&self) {
        self.disconnect();
        self.current.set(self.current.get() + 1);
    }

    async fn connection(&self) -> Result<Rc<Connection>, ClientError> {
        let known = self.connection.borrow().clone();
        if let Some(connection) = known {
            return Ok(connection);
        }
        let endpoint = self.endpoint().ok_or(ConnectionError::NoEndpoint)?;
        let stream = orchidtally_socket_io::connect(endpoint, CONNECT_TIMEOUT).await?;
        let stream = CountedStream::new(stream, self.traffic.clone());
        let handshake =
            orchidtally_socket_io::with_timeout(CONNECT_TIMEOUT, h2::client::handshake(stream))
                .await;
        let (sender, driver) = handshake.ok_or(ClientError::TimedOut)??;
        let driver = self.tasks.spawn(async {
            // Errors of the connection are also returned by its streams.
            let _ = driver.await;
        });
        let connection = Rc::new(Connection {
            sender,
            _driver: driver,
        });
        *self.connection.borrow_mut() = Some(connection.clone());
        Ok(connection)
    }

    /// Starts a request and sends its first message. `is_last` ends the request after this message.
    async fn start_request(
        &self,
        path: &str,
        first: Bytes,
        is_last: bool,
    ) -> Result<StartedRequest, ClientError> {
        let connection = self.connection().await?;
        let mut request = http::Request::post(format!("http://etcd{path}"))
            .header(http::header::CONTENT_TYPE, CONTENT_TYPE)
            .header(http::header::TE, "trailers")
            .header(http::header::USER_AGENT, self.user_agent.borrow().as_str());
        if !is_last {
            request = request.header(REQUIRE_LEADER, "true");
        }
        if let Some(token) = self.token.borrow().as_ref() {
            request = request.header("token", token);
        }
        let request = request.body(())?;
        let mut sender = connection.sender.clone().ready().await?;
        let (response, mut outgoing) = sender.send_request(request, false)?;
        outgoing.send_data(first, is_last)?;
        Ok(StartedRequest {
            response,
            outgoing,
            connection,
        })
    }

    /// Sends a request and waits for its response, for at most `timeout`. `path` is one of the constants of this
    /// crate, such as [`RANGE`](crate::RANGE).
    ///
    /// # Errors
    ///
    /// If the store is unreachable, doesn't respond in time, rejects the request, or sends an invalid response.
    pub async fn unary<M: Message + Default>(
        &self,
        path: &str,
        request: &impl Message,
        timeout: Duration,
    ) -> Result<M, ClientError> {
        let work = async {
            let started = self
                .start_request(path, encode_frame(request), true)
                .await?;
            let (parts, mut body) = started.response.await?.into_parts();
            check_status(&parts.headers)?;
            let mut buffer = BytesMut::new();
            let message = next_message(&mut body, &mut buffer).await?;
            if let Some(trailers) = body.trailers().await? {
                check_status(&trailers)?;
            }
            message.ok_or_else(|| ConnectionError::EmptyResponse.into())
        };
        let result = orchidtally_socket_io::with_timeout(timeout, work)
            .await
            .unwrap_or(Err(ClientError::TimedOut));
        if matches!(
            result,
            Err(ClientError::Unreachable(_) | ClientError::TimedOut)
        ) {
            self.disconnect();
        }
        result
    }

    /// Opens a bidirectional stream, sends its first message and waits for the response headers, for at most
    /// `timeout`. The store ends the stream if it loses its leader.
    ///
    /// # Errors
    ///
    /// As for [`Client::unary`].
    pub async fn open_stream<M: Message + Default>(
        &self,
        path: &str,
        first: &impl Message,
        timeout: Duration,
    ) -> Result<BidirectionalStream<M>, ClientError> {
        let work = async {
            let started = self.start_request(path, encode_frame(first), false).await?;
            let (parts, body) = started.response.await?.into_parts();
            check_status(&parts.headers)?;
            Ok(BidirectionalStream {
                outgoing: started.outgoing,
                body,
                buffer: BytesMut::new(),
                _message: std::marker::PhantomData,
                _connection: started.connection,
            })
        };
        let result = orchidtally_socket_io::with_timeout(timeout, work)
            .await
            .unwrap_or(Err(ClientError::TimedOut));
        if result.is_err() {
            self.disconnect();
        }
        future::yield_now().await;
        result
    }

    fn disconnect(&self) {
        *self.connection.borrow_mut() = None;
    }
}

/// Fails if headers or trailers have a status other than success.
fn check_status(headers: &HeaderMap) -> Result<(), ClientError> {
    match status(headers) {
        Some(status) if status.code != 0 => Err(ClientError::Rejected(status)),
        _ => Ok(()),
    }
}
