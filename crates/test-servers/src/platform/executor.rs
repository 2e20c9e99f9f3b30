//! Executors on the platform's lines.

use super::Incarnations;
use super::executor_faults::{Faults, ResponseFault};
use crate::fault_proxy::FaultProxy;
use crate::{TestEnvironment, unused_address};
use async_channel::Sender;
use async_executor::Task;
use async_io::Async;
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufReadExt, AsyncWriteExt, StreamExt, future};
use orchidtally_invariants::{DispatchOutcome, TrafficRecord};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// An executor with an address for each front end.
pub struct Executor {
    /// Its number in the fleet.
    pub number: usize,
    /// Its name in the list.
    pub name: String,
    /// Executors of a cell share the tokens they have seen.
    pub cell: u16,
    /// Where it listens for each front end.
    pub addresses: Vec<SocketAddr>,
    /// What each front end's connections pass through, where a script wants that.
    pub proxies: RefCell<Vec<Rc<FaultProxy>>>,
    /// Faults that a script sets.
    pub faults: Faults,
    /// Whether it takes no new dispatches.
    pub draining: Cell<bool>,
    /// How long it takes to load a function, in seconds.
    pub load_time: f64,
    /// The work of an invocation, in seconds.
    pub work_time: f64,
    /// When it last started; minus infinity for long ago.
    pub started_at: Cell<f64>,
    /// How long slow start lasts, in seconds.
    pub slow_start_duration: f64,
    /// Dispatches within a second that overload it during slow start.
    pub overload_limit: usize,
    arrived: RefCell<Vec<f64>>,
    is_overloaded: Cell<bool>,
    stage: TestEnvironment,
    incarnations: Rc<Incarnations>,
    tokens: Rc<RefCell<HashMap<(u16, String), f64>>>,
    token_window: f64,
    /// When the copy of a function stands.
    copies: RefCell<HashMap<String, f64>>,
    numbers: RefCell<HashMap<String, u32>>,
}

/// A dispatch in hand; dropped before its end it was abandoned.
struct InHand {
    executor: Rc<Executor>,
    invocation: String,
    number: u32,
    ended: bool,
}

impl InHand {
    fn end(&mut self, ending: DispatchOutcome) {
        if !std::mem::replace(&mut self.ended, true) {
            self.executor.stage.record(TrafficRecord::DispatchEnded {
                at: self.executor.stage.now(),
                executor: self.executor.number,
                invocation: self.invocation.clone(),
                number: self.number,
                outcome: ending,
            });
        }
    }
}

impl Drop for InHand {
    fn drop(&mut self) {
        self.end(DispatchOutcome::Abandoned);
    }
}

fn line(word: &str, id: &str, fields: Value, body: &Value) -> Vec<u8> {
    format!("{}\n", json!({"t": word, "i": id, "f": fields, "b": body})).into_bytes()
}

/// The ends of one connection from a front end.
#[derive(Clone)]
struct FrontEndConnection {
    front_end: u32,
    stream: Rc<Async<TcpStream>>,
    answers: Sender<Vec<u8>>,
}

impl FrontEndConnection {
    fn cut(&self) {
        // One that is gone already needs no more.
        let _ = self.stream.get_ref().shutdown(Shutdown::Both);
    }

    async fn put(&self, line: Vec<u8>) {
        // Nobody is there to hear it once the connection has ended.
        let _ = self.answers.send(line).await;
    }
}

/// Executors with an address for each front end, in cells of two; they serve as long as the stage's tasks run.
pub fn executors(
    stage: &TestEnvironment,
    incarnations: &Rc<Incarnations>,
    count: usize,
    front_ends: u32,
    token_window: f64,
) -> std::io::Result<Vec<Rc<Executor>>> {
    let tokens = Rc::new(RefCell::new(HashMap::new()));
    let make = |number: usize| {
        let listen = |_| Async::<TcpListener>::bind(unused_address());
        let listeners = (0..front_ends)
            .map(listen)
            .collect::<std::io::Result<Vec<_>>>()?;
        let at = listeners
            .iter()
            .map(|l| l.get_ref().local_addr())
            .collect::<std::io::Result<_>>()?;
        let executor = Rc::new(Executor {
            number,
            name: format!("s-{number:08x}"),
            cell: (number / 2) as u16,
            addresses: at,
            proxies: RefCell::default(),
            faults: Faults::default(),
            draining: Cell::default(),
            load_time: 0.05,
            work_time: 0.01,
            started_at: Cell::new(f64::NEG_INFINITY),
            slow_start_duration: 1.0,
            overload_limit: 30,
            arrived: RefCell::default(),
            is_overloaded: Cell::default(),
            stage: stage.clone(),
            incarnations: incarnations.clone(),
            tokens: tokens.clone(),
            token_window,
            copies: RefCell::default(),
            numbers: RefCell::default(),
        });
        for (front_end, listener) in (0..front_ends).zip(listeners) {
            stage
                .spawn(executor.clone().serve(front_end, listener))
                .detach();
        }
        Ok(executor)
    };
    (0..count).map(make).collect()
}

impl Executor {
    /// Puts a proxy before each of its addresses.
    pub fn start_proxies(&self) -> std::io::Result<()> {
        let links = self
            .addresses
            .iter()
            .map(|&at| FaultProxy::start(&self.stage, at));
        *self.proxies.borrow_mut() = links.collect::<std::io::Result<_>>()?;
        Ok(())
    }

    /// Where a front end reaches it.
    pub fn address_for(&self, front_end: u32) -> SocketAddr {
        let link = self
            .proxies
            .borrow()
            .get(front_end as usize)
            .map(|link| link.address);
        link.unwrap_or(self.addresses[front_end as usize])
    }

    /// From here on it reads nothing and takes no connection, as a machine that has vanished.
    pub fn go_silent(&self, time: f64) {
        let at = self.stage.now();
        self.faults.silent.set(at + time);
        self.stage.record(TrafficRecord::ReadsPaused {
            at,
            executor: self.number,
            until: at + time,
        });
    }

    async fn silence(&self) {
        while self.faults.silent.is_active(self.stage.now()) {
            self.stage.sleep(0.01).await;
        }
    }

    async fn serve(self: Rc<Self>, front_end: u32, listener: Async<TcpListener>) {
        while let Ok((stream, _)) = listener.accept().await {
            self.silence().await;
            self.stage
                .spawn(self.clone().attend(front_end, stream))
                .detach();
        }
    }

    async fn attend(self: Rc<Self>, front_end: u32, stream: Async<TcpStream>) {
        let (answers, queue) = async_channel::bounded::<Vec<u8>>(1_024);
        let way = FrontEndConnection {
            front_end,
            stream: Rc::new(stream),
            answers,
        };
        let writing = async {
            while let Ok(line) = queue.recv().await {
                if (&*way.stream).write_all(&line).await.is_err() {
                    return;
                }
            }
        };
        let reading = async {
            // Dropped with the connection, which abandons what is open on it.
            let mut works: HashMap<String, Task<()>> = HashMap::new();
            let mut lines = BufReader::new(&*way.stream).lines();
            while let Some(Ok(line)) = lines.next().await {
                self.silence().await;
                let Ok(message) = serde_json::from_str::<Value>(&line) else {
                    return;
                };
                let id = message["i"].as_str().unwrap_or_default().to_owned();
                works.retain(|_, work| !work.is_finished());
                match message["t"].as_str() {
                    Some("DO") => {
                        let in_hand = self.reached(front_end, &id, &message["f"]);
                        let work = self.clone().work(in_hand, message, way.clone());
                        works.insert(id, self.stage.spawn(work));
                    }
                    Some("UNDO") => drop(works.remove(&id)),
                    Some("PIN") => {
                        let order = self.clone().order(id.clone(), message, way.clone());
                        works.insert(id, self.stage.spawn(order));
                    }
                    _ => {}
                }
            }
        };
        future::or(reading, writing).await;
        way.cut();
    }

    fn reached(self: &Rc<Self>, front_end: u32, id: &str, fields: &Value) -> InHand {
        let text = |key: &str| fields[key].as_str().unwrap_or_default().to_owned();
        let number = {
            let mut numbers = self.numbers.borrow_mut();
            let number = numbers.entry(id.to_owned()).or_default();
            *number += 1;
            *number
        };
        let at = self.stage.now();
        self.stage.record(TrafficRecord::DispatchArrived {
            at,
            executor: self.number,
            front_end,
            incarnation: self.incarnations.of(front_end),
            invocation: id.to_owned(),
            number,
            idempotency_key: text("nonce"),
            trigger_type: text("cls"),
        });
        let mut arrived = self.arrived.borrow_mut();
        arrived.retain(|&t| t > at - 1.0);
        arrived.push(at);
        if at < self.started_at.get() + self.slow_start_duration
            && arrived.len() > self.overload_limit
            && !self.is_overloaded.replace(true)
        {
            self.stage.record(TrafficRecord::ExecutorOverloaded {
                at,
                executor: self.number,
                started_at: self.started_at.get(),
            });
        }
        InHand {
            executor: self.clone(),
            invocation: id.to_owned(),
            number,
            ended: false,
        }
    }

    /// Waits until a copy of the function stands; tells how it was found.
    async fn load(&self, function: &str) -> &'static str {
        let now = self.stage.now();
        let known = self.copies.borrow().get(function).copied();
        let stands_at = known.unwrap_or(now + self.load_time);
        self.copies
            .borrow_mut()
            .insert(function.to_owned(), stands_at);
        self.stage.sleep(stands_at - now).await;
        match known {
            None => "cold",
            Some(at) if at > now => "joined",
            Some(_) => "warm",
        }
    }

    async fn work(self: Rc<Self>, mut in_hand: InHand, message: Value, way: FrontEndConnection) {
        let (id, fields) = (in_hand.invocation.clone(), &message["f"]);
        if self.draining.get() {
            in_hand.end(DispatchOutcome::Rejected);
            return way.put(line("WAIT", &id, json!({}), &Value::Null)).await;
        }
        let spoil = self
            .faults
            .response_fault
            .get()
            .filter(|s| self.stage.unit() < s.1)
            .map(|s| s.0);
        if spoil == Some(ResponseFault::ResetUnread) {
            return way.cut();
        }
        let tell = self.load(fields["item"].as_str().unwrap_or_default()).await;
        let (at, executor, invocation) = (self.stage.now(), self.number, id.clone());
        let token = fields["nonce"].as_str().map(|t| (self.cell, t.to_owned()));
        let seen = token.and_then(|t| self.tokens.borrow_mut().insert(t, at));
        self.stage.record(
            match seen.is_some_and(|seen| at < seen + self.token_window) {
                true => TrafficRecord::Deduplicated {
                    at,
                    executor,
                    invocation,
                },
                false => TrafficRecord::ExecutionStarted {
                    at,
                    executor,
                    invocation,
                },
            },
        );
        self.stage.sleep(self.work_time).await;
        let notified = json!({"tell": tell, "crowd": "1"});
        let done = line("DONE", &id, notified.clone(), &message["b"]);
        match spoil {
            None => {}
            Some(ResponseFault::CutShort) => {
                way.put(done[..done.len() / 2].to_vec()).await;
                self.stage.sleep(0.01).await;
                return way.cut();
            }
            Some(ResponseFault::Garbage) => return way.put(b"\x01 noise\n".to_vec()).await,
            Some(ResponseFault::InvalidBody) => {
                return way.put(line("DONE", &id, notified, &"%%%".into())).await;
            }
            Some(ResponseFault::Duplicated) => way.put(done.clone()).await,
            Some(ResponseFault::Dropped | ResponseFault::ResetUnread) => {
                return future::pending().await;
            }
        }
        in_hand.end(DispatchOutcome::Succeeded);
        way.put(done).await;
    }

    async fn order(self: Rc<Self>, tag: String, message: Value, way: FrontEndConnection) {
        let fields = &message["f"];
        let copies = fields["count"].as_u64().unwrap_or_default() as u32;
        self.stage.record(TrafficRecord::LoadCommandArrived {
            at: self.stage.now(),
            executor: self.number,
            front_end: way.front_end,
            incarnation: self.incarnations.of(way.front_end),
            replicas: copies,
        });
        if self.draining.get() {
            return way
                .put(line("WAIT", &tag, json!({"count": 0}), &Value::Null))
                .await;
        }
        self.load(fields["item"].as_str().unwrap_or_default()).await;
        way.put(line("DONE", &tag, json!({"count": copies}), &Value::Null))
            .await;
    }
}
