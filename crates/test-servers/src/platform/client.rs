//! Clients that send the platform's frames.

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

/// By the platform's rules time limits are longer by this on sockets, in seconds.
const SOCKET_ALLOWANCE: f64 = 0.05;
/// How long a client waits for an answer after its time limit, in seconds.
const LATE_ANSWER_TIME: f64 = 0.5;
/// How long a client waits for a second answer, which would break the rules, in seconds.
const SECOND_ANSWER_TIME: f64 = 0.3;

/// One invocation as a client sends it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The id of the invocation, which is its idempotency key too.
    pub id: u64,
    /// Its place among the settings' and its name.
    pub trigger_type: (usize, &'static str),
    /// The number of the function.
    pub function: u64,
    /// The client's timeout in seconds.
    pub timeout: f64,
    /// The body, which the function echoes.
    pub body: Vec<u8>,
}

/// What a client heard: the answer's code, and its body.
type ReceivedAnswer = (u8, Vec<u8>);

struct Open {
    stream: Rc<Async<TcpStream>>,
    next: Cell<u32>,
    waiting: RefCell<HashMap<u32, Sender<ReceivedAnswer>>>,
    /// Told to send no more, or ended.
    over: Cell<bool>,
}

/// A client's way to one front end: one connection, and a new one where that is over.
pub struct Client {
    stage: TestEnvironment,
    front_end: u32,
    at: SocketAddr,
    open: RefCell<Option<Rc<Open>>>,
}

impl Client {
    /// A client without a connection yet.
    pub fn new(stage: &TestEnvironment, front_end: u32, at: SocketAddr) -> Rc<Client> {
        Rc::new(Client {
            stage: stage.clone(),
            front_end,
            at,
            open: RefCell::default(),
        })
    }

    async fn connection(&self) -> std::io::Result<Rc<Open>> {
        let stands = self.open.borrow().clone().filter(|o| !o.over.get());
        if let Some(open) = stands {
            return Ok(open);
        }
        let stream = Rc::new(Async::<TcpStream>::connect(self.at).await?);
        let (next, waiting, over) = (Cell::new(1), RefCell::default(), Cell::new(false));
        let open = Rc::new(Open {
            stream,
            next,
            waiting,
            over,
        });
        let listening = open.clone();
        self.stage
            .spawn(async move {
                let mut decoder = frames::Decoder::default();
                let mut buffer = vec![0; 16 * 1024];
                'reading: while let Ok(n @ 1..) = (&*listening.stream).read(&mut buffer).await {
                    decoder.push(&buffer[..n]);
                    loop {
                        let frame = match decoder.next_frame() {
                            Ok(Some(frame)) => frame,
                            Ok(None) => break,
                            Err(_) => break 'reading,
                        };
                        let payload = frame.payload.unwrap_or_default();
                        match (frame.kind, payload.split_first()) {
                            (frames::GO_AWAY, _) => listening.over.set(true),
                            (frames::RESPONSE, Some((&code, rest))) => {
                                let body = frames::parse_fields(rest)
                                    .map(|f| f.1.to_vec())
                                    .unwrap_or_default();
                                let to = listening.waiting.borrow().get(&frame.stream).cloned();
                                if let Some(to) = to {
                                    // A second answer has no room there, and is noted by who looks.
                                    let _ = to.try_send((code, body));
                                }
                            }
                            _ => {}
                        }
                    }
                }
                listening.over.set(true);
                listening.waiting.borrow_mut().clear();
            })
            .detach();
        *self.open.borrow_mut() = Some(open.clone());
        Ok(open)
    }

    /// Sends an invocation and notes what comes of it; nothing where no connection came about.
    pub async fn invoke(&self, ask: &ClientRequest) -> Option<FinalAnswer> {
        self.invoke_with_timeout(ask, f64::INFINITY).await
    }

    /// The same, and withdraws the invocation if it has no answer after some seconds.
    pub async fn invoke_with_timeout(
        &self,
        ask: &ClientRequest,
        timeout: f64,
    ) -> Option<FinalAnswer> {
        let open = self.connection().await.ok()?;
        let stream = open.next.get();
        open.next.set(stream + 1);
        // Room for a second answer, so that one is seen.
        let (answer_sender, answers) = async_channel::bounded(2);
        open.waiting.borrow_mut().insert(stream, answer_sender);
        let (at, invocation) = (self.stage.now(), format!("{:016x}", ask.id));
        let until = at + ask.timeout + SOCKET_ALLOWANCE;
        self.stage.record(TrafficRecord::InvocationSent {
            at,
            client: self.front_end,
            invocation: invocation.clone(),
            front_end: self.front_end,
            trigger_type: ask.trigger_type.0,
            timeout_at: until,
        });
        let frame = invoke_frame(stream, ask);
        let received = async {
            (&*open.stream).write_all(&frame).await.ok()?;
            answers.recv().await.ok()
        };
        let timed_out = async {
            self.stage
                .sleep(until + LATE_ANSWER_TIME - self.stage.now())
                .await;
            Some((0, vec![]))
        };
        let leaves = async {
            if timeout.is_finite() {
                self.stage.sleep(timeout).await;
            } else {
                future::pending::<()>().await;
            }
            None
        };
        let answered = async { Some(future::or(received, timed_out).await) };
        let Some(received) = future::or(answered, leaves).await else {
            self.withdraw(&open, stream, invocation).await;
            return None;
        };
        let answer = self.record_answer(received, &ask.body, &invocation)?;
        self.stage.sleep(SECOND_ANSWER_TIME).await;
        if answers.try_recv().is_ok() {
            self.stage.record(TrafficRecord::AnswerReceived {
                at: self.stage.now(),
                invocation,
                answer,
            });
        }
        open.waiting.borrow_mut().remove(&stream);
        Some(answer)
    }

    /// Cancels an invocation for a client that has left.
    async fn withdraw(&self, open: &Open, stream: u32, invocation: String) {
        let mut frame = vec![];
        frames::write_frame(&mut frame, frames::CANCEL, stream, None, None, &[]);
        // The front end may have gone.
        let _ = (&*open.stream).write_all(&frame).await;
        self.stage.record(TrafficRecord::ClientCancelled {
            at: self.stage.now(),
            invocation,
        });
        open.waiting.borrow_mut().remove(&stream);
    }

    /// Records what was received, or that there was nothing; returns the final answer, where it is one.
    fn record_answer(
        &self,
        received: Option<ReceivedAnswer>,
        sent_body: &[u8],
        invocation: &str,
    ) -> Option<FinalAnswer> {
        let at = self.stage.now();
        let invocation = invocation.to_owned();
        let answer = match received {
            Some((frames::SUCCEEDED, body)) if body == sent_body => FinalAnswer::Succeeded,
            Some((frames::THROTTLED, _)) => FinalAnswer::Rejected,
            Some((frames::ERRORED, _)) => FinalAnswer::Failed,
            // What no executor made, or nothing: as if there had been no answer.
            Some(_) => {
                self.stage
                    .record(TrafficRecord::ClientTimedOut { at, invocation });
                return None;
            }
            None => {
                self.stage
                    .record(TrafficRecord::ConnectionLost { at, invocation });
                return None;
            }
        };
        self.stage.record(TrafficRecord::AnswerReceived {
            at,
            invocation,
            answer,
        });
        Some(answer)
    }
}

/// The frame that sends an invocation.
fn invoke_frame(stream: u32, ask: &ClientRequest) -> Vec<u8> {
    let invocation = format!("{:016x}", ask.id);
    let allow = format!("{}", (ask.timeout * 1e3) as u64);
    let function = format!("{:016x}", ask.function);
    let token = format!("{:032x}", ask.id);
    let fields = [
        ("service", ask.trigger_type.1),
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
        &ask.body,
    );
    frame
}
