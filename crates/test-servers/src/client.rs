//! Clients that send invocations to front ends over HTTP/2 or HTTP/1.1, wait for the answer until their timeout, and
//! record the outcome.

use crate::{ExchangeError, TestEnvironment};
use bytes::Bytes;
use futures_lite::future;
use h2::client::SendRequest;
use http_body_util::{BodyExt, Full};
use orchidtally_invariants::{FinalAnswer, TrafficRecord};
use orchidtally_socket_io::Stream;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// An invocation as a client sends it.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// The id of the invocation.
    pub invocation: String,
    /// The name of the function.
    pub function: String,
    /// The index of the trigger type in the deployment's list, and its name.
    pub trigger_type: (usize, String),
    /// The customer; empty for none.
    pub customer: String,
    /// The idempotency key; empty for none.
    pub idempotency_key: String,
    /// The client timeout, in seconds.
    pub timeout: f64,
    /// Whether the client repeats an invocation that it has sent before.
    pub is_retry: bool,
    /// The body of the request.
    pub payload: Bytes,
    /// Seconds after which the client cancels the invocation if there is no answer yet; `None` to never cancel.
    pub cancel_after: Option<f64>,
}

/// The outcome of an invocation at its client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutcome {
    /// The front end answered.
    Answered {
        /// The meaning of the status.
        answer: FinalAnswer,
        /// The HTTP status.
        status: u16,
        /// The body of the response.
        body: Bytes,
        /// How long the client should wait before it retries, in seconds; 0 if the response does not say.
        retry_after: f64,
        /// Whether the response says that the function may have run.
        may_have_run: bool,
    },
    /// The connection failed, or could not be opened.
    ConnectionLost,
    /// There was no answer within the client timeout.
    TimedOut,
    /// The client cancelled the invocation before an answer.
    Cancelled,
}

/// A client of one front end.
pub struct TestClient {
    environment: TestEnvironment,
    /// The client's number in records.
    pub number: u32,
    /// The index of the front end.
    pub front_end: u32,
    /// The address of the front end.
    pub address: SocketAddr,
    /// Whether each invocation has a connection of its own over HTTP/1.1. Otherwise all share one HTTP/2 connection.
    pub uses_http1: bool,
    http2_sender: RefCell<Option<SendRequest<Bytes>>>,
}

/// Classifies a failure in the middle of a body. Where the response has a known length, or no success status, its
/// connection was lost; otherwise the front end ended a streamed response early.
fn body_failure(parts: &http::response::Parts, fault: impl Into<ExchangeError>) -> ExchangeError {
    let is_streamed = parts.status == http::StatusCode::OK
        && !parts.headers.contains_key(http::header::CONTENT_LENGTH);
    if is_streamed {
        ExchangeError::StreamBrokenOff
    } else {
        fault.into()
    }
}

/// The head and the body of a response.
type RawResponse = (http::response::Parts, Bytes);

impl TestClient {
    /// Creates a client, which connects at its first invocation. `number` is its number in records.
    pub fn new(
        environment: &TestEnvironment,
        number: u32,
        front_end: u32,
        address: SocketAddr,
        uses_http1: bool,
    ) -> Rc<TestClient> {
        Rc::new(TestClient {
            environment: environment.clone(),
            number,
            front_end,
            address,
            uses_http1,
            http2_sender: RefCell::default(),
        })
    }

    /// Sends an invocation, waits for its outcome and records it.
    pub async fn invoke(&self, client_request: &ClientRequest) -> ClientOutcome {
        let at = self.environment.now();
        let deadline = at + client_request.timeout;
        let invocation = client_request.invocation.clone();
        self.environment.record(TrafficRecord::InvocationSent {
            at,
            client: self.number,
            invocation: invocation.clone(),
            front_end: self.front_end,
            trigger_type: client_request.trigger_type.0,
            timeout_at: deadline,
        });
        let timed_out = async {
            self.environment
                .sleep(deadline - self.environment.now())
                .await;
            ClientOutcome::TimedOut
        };
        let cancelled = async {
            match client_request.cancel_after {
                Some(time) => self.environment.sleep(time).await,
                None => future::pending().await,
            }
            ClientOutcome::Cancelled
        };
        let sent = async {
            match self.send(client_request).await {
                Ok((parts, body)) => outcome_of_response(&parts, body),
                Err(ExchangeError::StreamBrokenOff) => ClientOutcome::Answered {
                    answer: FinalAnswer::Failed,
                    status: 200,
                    body: Bytes::new(),
                    retry_after: 0.0,
                    may_have_run: true,
                },
                Err(_) => ClientOutcome::ConnectionLost,
            }
        };
        let outcome = future::or(sent, future::or(cancelled, timed_out)).await;
        let at = self.environment.now();
        self.environment.record(match &outcome {
            ClientOutcome::Answered { answer, .. } => TrafficRecord::AnswerReceived {
                at,
                invocation,
                answer: *answer,
            },
            ClientOutcome::ConnectionLost => TrafficRecord::ConnectionLost { at, invocation },
            ClientOutcome::TimedOut => TrafficRecord::ClientTimedOut { at, invocation },
            ClientOutcome::Cancelled => TrafficRecord::ClientCancelled { at, invocation },
        });
        outcome
    }

    fn request(
        &self,
        client_request: &ClientRequest,
        origin: &str,
    ) -> http::Result<http::Request<()>> {
        let mut request = http::Request::post(format!(
            "{origin}/v1/functions/{}/invocations",
            client_request.function
        ))
        .header("orchidtally-trigger-type", &client_request.trigger_type.1)
        .header("orchidtally-invocation", &client_request.invocation)
        .header(
            "orchidtally-time-left",
            ((client_request.timeout * 1e3) as u64).to_string(),
        );
        if !client_request.idempotency_key.is_empty() {
            request = request.header("idempotency-key", &client_request.idempotency_key);
        }
        if !client_request.customer.is_empty() {
            request = request.header("orchidtally-customer", &client_request.customer);
        }
        if client_request.is_retry {
            request = request.header("orchidtally-repeat", "1");
        }
        request.body(())
    }

    async fn send(&self, client_request: &ClientRequest) -> Result<RawResponse, ExchangeError> {
        if self.uses_http1 {
            self.send_over_http1(client_request).await
        } else {
            self.send_over_http2(client_request).await
        }
    }

    async fn send_over_http1(
        &self,
        client_request: &ClientRequest,
    ) -> Result<RawResponse, ExchangeError> {
        let stream = orchidtally_socket_io::connect(self.address, Duration::from_secs(2)).await?;
        let (mut sender, driver) =
            hyper::client::conn::http1::handshake::<_, Full<Bytes>>(stream).await?;
        let driver = self.environment.spawn(driver);
        let mut request = self
            .request(client_request, "")?
            .map(|()| Full::new(client_request.payload.clone()));
        let host = http::HeaderValue::from_str(&self.address.to_string())?;
        request.headers_mut().insert(http::header::HOST, host);
        let (parts, body) = sender.send_request(request).await?.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|e| body_failure(&parts, e))?
            .to_bytes();
        drop(driver);
        Ok((parts, body))
    }

    async fn connect(&self) -> Result<SendRequest<Bytes>, ExchangeError> {
        if let Some(sender) = self.http2_sender.borrow().clone() {
            return Ok(sender);
        }
        let stream: Stream =
            orchidtally_socket_io::connect(self.address, Duration::from_secs(2)).await?;
        let (sender, driver) = h2::client::handshake(stream).await?;
        self.environment
            .spawn(async move {
                // An error of the connection also fails its streams, which report it.
                let _ = driver.await;
            })
            .detach();
        *self.http2_sender.borrow_mut() = Some(sender.clone());
        Ok(sender)
    }

    async fn send_over_http2(
        &self,
        client_request: &ClientRequest,
    ) -> Result<RawResponse, ExchangeError> {
        let mut sender = match self.connect().await?.ready().await {
            Ok(sender) => sender,
            Err(_) => {
                // The shared connection has ended, so a new one is opened.
                self.http2_sender.borrow_mut().take();
                self.connect().await?.ready().await?
            }
        };
        let request = self.request(client_request, &format!("http://{}", self.address))?;
        let (response, mut out) =
            sender.send_request(request, client_request.payload.is_empty())?;
        if !client_request.payload.is_empty() {
            out.send_data(client_request.payload.clone(), true)?;
        }
        let (parts, mut body) = response.await?.into_parts();
        let mut complete = vec![];
        while let Some(chunk) = body.data().await {
            let chunk = chunk.map_err(|e| body_failure(&parts, e))?;
            body.flow_control().release_capacity(chunk.len())?;
            complete.extend_from_slice(&chunk);
        }
        Ok((parts, complete.into()))
    }
}

/// Maps a complete response to the outcome.
fn outcome_of_response(parts: &http::response::Parts, body: Bytes) -> ClientOutcome {
    let status = parts.status.as_u16();
    let may_have_run = body.windows(18).any(|w| w == b"\"mayHaveRun\":true,");
    let retry_after = parts
        .headers
        .get("orchidtally-stay-away")
        .and_then(|v| v.to_str().ok());
    let retry_after = retry_after
        .and_then(|v| v.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1e3;
    let answer = match status {
        200 => FinalAnswer::Succeeded,
        429 | 503 => FinalAnswer::Rejected,
        502 | 504 => FinalAnswer::Failed,
        _ => FinalAnswer::NotAdmitted,
    };
    ClientOutcome::Answered {
        answer,
        status,
        body,
        retry_after,
        may_have_run,
    }
}
