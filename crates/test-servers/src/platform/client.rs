//! Test clients that speak the platform's frame protocol.

use crate::TestEnvironment;
use async_channel::Sender;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use orchidtally_invariants::{FinalAnswer, TrafficRecord};
use orchidtally_platform_client_protocol as frames;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// The allowance that the platform's rules add to time limits over sockets, in seconds.
const SOCKET_ALLOWANCE: f64 = 0.05;
/// How long a client waits for a late answer after its timeout, in seconds.
const LATE_ANSWER_TIME: f64 = 0.5;
/// How long a client waits for a second answer, which would violate the rules, in seconds.
const SECOND_ANSWER_TIME: f64 = 0.3;

/// One invocation as a client sends it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The id of the invocation, also used as its idempotency key.
    pub id: u64,
    /// The index of the trigger type in the settings, and its name.
    pub trigger_type: (usize, &'static str),
    /// The number of the function.
    pub function: u64,
    /// The client's timeout in seconds.
    pub timeout: f64,
    /// The request body, which the function echoes.
    pub body: Vec<u8>,
}

/// The status code and the body of a received answer.
type ReceivedAnswer = (u8, Vec<u8>);

struct OpenConnection {
    stream: Rc<Async<TcpStream>>,
    next_stream: Cell<u32>,
    waiting: RefCell<HashMap<u32, Sender<ReceivedAnswer>>>,
    /// The front end has sent GO_AWAY, or the connection has ended.
    is_closing: Cell<bool>,
}

/// A client of one front end. Uses one connection, and opens a new one when that has ended or got GO_AWAY.
pub struct Client {
    environment: TestEnvironment,
    front_end: u32,
    at: SocketAddr,
    open: RefCell<Option<Rc<OpenConnection>>>,
}

impl Client {
    /// Creates a client; the first invocation opens the connection.
    pub fn new(environment: &TestEnvironment, front_end: u32, at: SocketAddr) -> Rc<Client> {
        Rc::new(Client {
            environment: environment.clone(),
            front_end,
            at,
            open: RefCell::default(),
        })
    }

    async fn connection(&self) -> std::io::Result<Rc<OpenConnection>> {
        let existing = self.open.borrow().clone().filter(|o| !o.is_closing.get());
        if let Some(open) = existing {
            return Ok(open);
        }
        let stream = Rc::new(Async::<TcpStream>::connect(self.at).await?);
        let (next_stream, waiting, is_closing) =
            (Cell::new(1), RefCell::default(), Cell::new(false));
        let open = Rc::new(OpenConnection {
            stream,
            next_stream,
            waiting,
            is_closing,
        });
        let reader = open.clone();
        self.environment
            .spawn(async move {
                let mut decoder = frames::Decoder::default();
                let mut buffer = vec![0; 16 * 1024];
                'reading: while let Ok(n @ 1..) = (&*reader.stream).read(&mut buffer).await {
                    decoder.push(&buffer[..n]);
                    loop {
                        let frame = match decoder.next_frame() {
                            Ok(Some(frame)) => frame,
                            Ok(None) => break,
                            Err(_) => break 'reading,
                        };
                        let payload = frame.payload.unwrap_or_default();
                        match (frame.kind, payload.split_first()) {
                            (frames::GO_AWAY, _) => reader.is_closing.set(true),
                            (frames::RESPONSE, Some((&code, rest))) => {
                                let body = frames::parse_fields(rest)
                                    .map(|f| f.1.to_vec())
                                    .unwrap_or_default();
                                let to = reader.waiting.borrow().get(&frame.stream).cloned();
                                if let Some(to) = to {
                                    // Fails if the channel, which has room for a second answer, is full or closed.
                                    let _ = to.try_send((code, body));
                                }
                            }
                            _ => {}
                        }
                    }
                }
                reader.is_closing.set(true);
                reader.waiting.borrow_mut().clear();
            })
            .detach();
        *self.open.borrow_mut() = Some(open.clone());
        Ok(open)
    }

    /// Sends an invocation and records the outcome. Returns the final answer, or `None` if there is none or no
    /// connection could be opened.
    pub async fn invoke(&self, request: &ClientRequest) -> Option<FinalAnswer> {
        self.invoke_with_timeout(request, f64::INFINITY).await
    }

    /// Like `invoke`, but cancels the invocation if it has no answer after `timeout` seconds.
    pub async fn invoke_with_timeout(
        &self,
        request: &ClientRequest,
        timeout: f64,
    ) -> Option<FinalAnswer> {
        let open = self.connection().await.ok()?;
        let stream = open.next_stream.get();
        open.next_stream.set(stream + 1);
        // The channel has room for a second answer, so that a duplicate is detected.
        let (answer_sender, answers) = async_channel::bounded(2);
        open.waiting.borrow_mut().insert(stream, answer_sender);
        let (at, invocation) = (self.environment.now(), format!("{:016x}", request.id));
        let until = at + request.timeout + SOCKET_ALLOWANCE;
        self.environment.record(TrafficRecord::InvocationSent {
            at,
            client: self.front_end,
            invocation: invocation.clone(),
            front_end: self.front_end,
            trigger_type: request.trigger_type.0,
            timeout_at: until,
        });
        let frame = invoke_frame(stream, request);
        let received = async {
            (&*open.stream).write_all(&frame).await.ok()?;
            answers.recv().await.ok()
        };
        let timed_out = async {
            self.environment
                .sleep(until + LATE_ANSWER_TIME - self.environment.now())
                .await;
            Some((0, vec![]))
        };
        let client_timed_out = async {
            if timeout.is_finite() {
                self.environment.sleep(timeout).await;
            } else {
                future::pending::<()>().await;
            }
            None
        };
        let answered = async { Some(future::or(received, timed_out).await) };
        let Some(received) = future::or(answered, client_timed_out).await else {
            self.cancel(&open, stream, invocation).await;
            return None;
        };
        let answer = self.record_answer(received, &request.body, &invocation)?;
        self.environment.sleep(SECOND_ANSWER_TIME).await;
        if answers.try_recv().is_ok() {
            self.environment.record(TrafficRecord::AnswerReceived {
                at: self.environment.now(),
                invocation,
                answer,
            });
        }
        open.waiting.borrow_mut().remove(&stream);
        Some(answer)
    }

    /// Cancels an invocation whose client no longer waits for it, and records that.
    async fn cancel(&self, open: &OpenConnection, stream: u32, invocation: String) {
        let mut frame = vec![];
        frames::write_frame(&mut frame, frames::CANCEL, stream, None, None, &[]);
        // Fails if the front end has closed the connection.
        let _ = (&*open.stream).write_all(&frame).await;
        self.environment.record(TrafficRecord::ClientCancelled {
            at: self.environment.now(),
            invocation,
        });
        open.waiting.borrow_mut().remove(&stream);
    }

    /// Records the answer, or that there was none. Returns it if it is a final answer.
    fn record_answer(
        &self,
        received: Option<ReceivedAnswer>,
        sent_body: &[u8],
        invocation: &str,
    ) -> Option<FinalAnswer> {
        let at = self.environment.now();
        let invocation = invocation.to_owned();
        let answer = match received {
            Some((frames::SUCCEEDED, body)) if body == sent_body => FinalAnswer::Succeeded,
            Some((frames::THROTTLED, _)) => FinalAnswer::Rejected,
            Some((frames::ERRORED, _)) => FinalAnswer::Failed,
            // An answer that no executor produced, or none before the deadline, counts as a timeout.
            Some(_) => {
                self.environment
                    .record(TrafficRecord::ClientTimedOut { at, invocation });
                return None;
            }
            None => {
                self.environment
                    .record(TrafficRecord::ConnectionLost { at, invocation });
                return None;
            }
        };
        self.environment.record(TrafficRecord::AnswerReceived {
            at,
            invocation,
            answer,
        });
        Some(answer)
    }
}

/// Encodes the INVOKE frame of a request.
fn invoke_frame(stream: u32, request: &ClientRequest) -> Vec<u8> {
    let invocation = format!("{:016x}", request.id);
    let allow = format!("{}", (request.timeout * 1e3) as u64);
    let function = format!("{:016x}", request.function);
    let token = format!("{:032x}", request.id);
    let fields = [
        ("service", request.trigger_type.1),
        ("ref", &invocation),
        ("allow", &allow),
        ("lookup", &function),
        ("replay", &token),
        ("tags", "memory_mb:64;lanes:4;load_ms:50"),
    ];
    let mut frame = vec![];
    frames::write_frame(
        &mut frame,
        frames::INVOKE,
        stream,
        None,
        Some(&fields),
        &request.body,
    );
    frame
}
