//! Clients: they offer invocations to front ends over HTTP/2 or HTTP/1.1, wait as long as they said, and note
//! what they hear.

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

/// One invocation as a client offers it.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// The id of the invocation.
    pub invocation: String,
    /// The name of the function.
    pub function: String,
    /// Its place among the deployment's, and its name.
    pub trigger_type: (usize, String),
    /// The customer; empty for none.
    pub customer: String,
    /// The idempotency key; empty for none.
    pub token: String,
    /// What the client has left, in seconds.
    pub time_left: f64,
    /// Whether the client sends it again after an earlier answer.
    pub is_retry: bool,
    /// The body.
    pub payload: Bytes,
    /// It goes away after so long, answer or not.
    pub cancels_after: Option<f64>,
}

/// What came of an invocation at its client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutcome {
    /// The front end answered.
    Answered {
        /// What the status means.
        answer: FinalAnswer,
        /// The HTTP status.
        status: u16,
        /// The body of the response.
        body: Bytes,
        /// How long the client should stay away, in seconds; 0 where the response does not say.
        retry_after: f64,
        /// Whether the response says that the function may have run.
        may_have_run: bool,
    },
    /// The connection broke, or none came about.
    ConnectionLost,
    /// There was no answer within the client's time.
    TimedOut,
    /// The client left before an answer.
    Cancelled,
}

/// A client's way to one front end.
pub struct TestClient {
    stage: TestEnvironment,
    /// The client's number in records.
    pub number: u32,
    /// The index of the front end.
    pub front_end: u32,
    /// The address of the front end.
    pub address: SocketAddr,
    /// Over HTTP/1.1, on a connection for each invocation; else all share one of HTTP/2.
    pub uses_http1: bool,
    shared: RefCell<Option<SendRequest<Bytes>>>,
}

/// The meaning of a failure in the middle of a body: a response of known length was lost with its connection.
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
    /// A client without a connection yet. `plain` is for HTTP/1.1.
    pub fn new(
        stage: &TestEnvironment,
        number: u32,
        front_end: u32,
        at: SocketAddr,
        plain: bool,
    ) -> Rc<TestClient> {
        Rc::new(TestClient {
            stage: stage.clone(),
            number,
            front_end,
            address: at,
            uses_http1: plain,
            shared: RefCell::default(),
        })
    }

    /// Offers an invocation and notes what comes of it.
    pub async fn invoke(&self, ask: &ClientRequest) -> ClientOutcome {
        let at = self.stage.now();
        let until = at + ask.time_left;
        let invocation = ask.invocation.clone();
        self.stage.record(TrafficRecord::InvocationSent {
            at,
            client: self.number,
            invocation: invocation.clone(),
            front_end: self.front_end,
            trigger_type: ask.trigger_type.0,
            timeout_at: until,
        });
        let gave_up = async {
            self.stage.sleep(until - self.stage.now()).await;
            ClientOutcome::TimedOut
        };
        let left = async {
            match ask.cancels_after {
                Some(time) => self.stage.sleep(time).await,
                None => future::pending().await,
            }
            ClientOutcome::Cancelled
        };
        let sent = async {
            match self.send(ask).await {
                Ok((parts, body)) => received(&parts, body),
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
        let received = future::or(sent, future::or(left, gave_up)).await;
        let at = self.stage.now();
        self.stage.record(match &received {
            ClientOutcome::Answered { answer, .. } => TrafficRecord::AnswerReceived {
                at,
                invocation,
                answer: *answer,
            },
            ClientOutcome::ConnectionLost => TrafficRecord::ConnectionLost { at, invocation },
            ClientOutcome::TimedOut => TrafficRecord::ClientTimedOut { at, invocation },
            ClientOutcome::Cancelled => TrafficRecord::ClientCancelled { at, invocation },
        });
        received
    }

    fn request(&self, ask: &ClientRequest, place: &str) -> http::Result<http::Request<()>> {
        let mut request =
            http::Request::post(format!("{place}/v1/functions/{}/invocations", ask.function))
                .header("orchidtally-trigger-type", &ask.trigger_type.1)
                .header("orchidtally-invocation", &ask.invocation)
                .header(
                    "orchidtally-time-left",
                    ((ask.time_left * 1e3) as u64).to_string(),
                );
        if !ask.token.is_empty() {
            request = request.header("idempotency-key", &ask.token);
        }
        if !ask.customer.is_empty() {
            request = request.header("orchidtally-customer", &ask.customer);
        }
        if ask.is_retry {
            request = request.header("orchidtally-repeat", "1");
        }
        request.body(())
    }

    async fn send(&self, ask: &ClientRequest) -> Result<RawResponse, ExchangeError> {
        if self.uses_http1 {
            self.send_over_http1(ask).await
        } else {
            self.send_over_http2(ask).await
        }
    }

    async fn send_over_http1(&self, ask: &ClientRequest) -> Result<RawResponse, ExchangeError> {
        let stream = orchidtally_socket_io::connect(self.address, Duration::from_secs(2)).await?;
        let (mut sender, driver) =
            hyper::client::conn::http1::handshake::<_, Full<Bytes>>(stream).await?;
        let driver = self.stage.spawn(driver);
        let mut request = self
            .request(ask, "")?
            .map(|()| Full::new(ask.payload.clone()));
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
        if let Some(shared) = self.shared.borrow().clone() {
            return Ok(shared);
        }
        let stream: Stream =
            orchidtally_socket_io::connect(self.address, Duration::from_secs(2)).await?;
        let (sender, driver) = h2::client::handshake(stream).await?;
        self.stage
            .spawn(async move {
                // How it ended is heard by those whose streams it carried.
                let _ = driver.await;
            })
            .detach();
        *self.shared.borrow_mut() = Some(sender.clone());
        Ok(sender)
    }

    async fn send_over_http2(&self, ask: &ClientRequest) -> Result<RawResponse, ExchangeError> {
        let mut sender = match self.connect().await?.ready().await {
            Ok(sender) => sender,
            Err(_) => {
                // The connection had ended before: a new one.
                self.shared.borrow_mut().take();
                self.connect().await?.ready().await?
            }
        };
        let request = self.request(ask, &format!("http://{}", self.address))?;
        let (response, mut out) = sender.send_request(request, ask.payload.is_empty())?;
        if !ask.payload.is_empty() {
            out.send_data(ask.payload.clone(), true)?;
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

fn received(parts: &http::response::Parts, body: Bytes) -> ClientOutcome {
    let status = parts.status.as_u16();
    let may_have_run = body.windows(18).any(|w| w == b"\"mayHaveRun\":true,");
    let stay_away = parts
        .headers
        .get("orchidtally-stay-away")
        .and_then(|v| v.to_str().ok());
    let stay_away = stay_away.and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.0) / 1e3;
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
        retry_after: stay_away,
        may_have_run,
    }
}
