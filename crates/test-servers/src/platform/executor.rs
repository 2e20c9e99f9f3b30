//! Test executors that speak the platform's line protocol.

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

/// An executor with a separate address for each front end.
pub struct Executor {
    /// The executor's number in the fleet.
    pub number: usize,
    /// The executor's name in the endpoint list.
    pub name: String,
    /// The executor's cell. Executors of a cell share the idempotency keys that they have seen.
    pub cell: u16,
    /// The listening address for each front end.
    pub addresses: Vec<SocketAddr>,
    /// The fault proxy for each front end; empty unless `start_proxies` was called.
    pub proxies: RefCell<Vec<Rc<FaultProxy>>>,
    /// Faults that a test sets.
    pub faults: Faults,
    /// Whether the executor rejects new dispatches and load commands.
    pub draining: Cell<bool>,
    /// The time to load a function, in seconds.
    pub load_time: f64,
    /// The execution time of an invocation, in seconds.
    pub work_time: f64,
    /// When the executor last started; minus infinity if that is long ago.
    pub started_at: Cell<f64>,
    /// The duration of slow start, in seconds.
    pub slow_start_duration: f64,
    /// More dispatches than this within one second overload the executor during slow start.
    pub overload_limit: usize,
    arrived: RefCell<Vec<f64>>,
    is_overloaded: Cell<bool>,
    environment: TestEnvironment,
    incarnations: Rc<Incarnations>,
    tokens: Rc<RefCell<HashMap<(u16, String), f64>>>,
    token_window: f64,
    /// When each function's replica is loaded.
    copies: RefCell<HashMap<String, f64>>,
    numbers: RefCell<HashMap<String, u32>>,
}

/// A dispatch in progress. If it is dropped before `end` is called, it is recorded as abandoned.
struct ActiveDispatch {
    executor: Rc<Executor>,
    invocation: String,
    number: u32,
    ended: bool,
}

impl ActiveDispatch {
    fn end(&mut self, dispatch_outcome: DispatchOutcome) {
        if !std::mem::replace(&mut self.ended, true) {
            self.executor
                .environment
                .record(TrafficRecord::DispatchEnded {
                    at: self.executor.environment.now(),
                    executor: self.executor.number,
                    invocation: self.invocation.clone(),
                    number: self.number,
                    outcome: dispatch_outcome,
                });
        }
    }
}

impl Drop for ActiveDispatch {
    fn drop(&mut self) {
        self.end(DispatchOutcome::Abandoned);
    }
}

fn line(word: &str, id: &str, fields: Value, body: &Value) -> Vec<u8> {
    format!("{}\n", json!({"t": word, "i": id, "f": fields, "b": body})).into_bytes()
}

/// A connection from a front end, with the queue of its responses.
#[derive(Clone)]
struct FrontEndConnection {
    front_end: u32,
    stream: Rc<Async<TcpStream>>,
    answers: Sender<Vec<u8>>,
}

impl FrontEndConnection {
    fn close(&self) {
        // Fails if the connection is already closed.
        let _ = self.stream.get_ref().shutdown(Shutdown::Both);
    }

    async fn send(&self, line: Vec<u8>) {
        // Fails if the connection has ended.
        let _ = self.answers.send(line).await;
    }
}

/// Starts executors with an address for each front end, in cells of two. They serve while the environment's tasks run.
/// Fails if an address can't be bound.
pub fn executors(
    environment: &TestEnvironment,
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
            environment: environment.clone(),
            incarnations: incarnations.clone(),
            tokens: tokens.clone(),
            token_window,
            copies: RefCell::default(),
            numbers: RefCell::default(),
        });
        for (front_end, listener) in (0..front_ends).zip(listeners) {
            environment
                .spawn(executor.clone().serve(front_end, listener))
                .detach();
        }
        Ok(executor)
    };
    (0..count).map(make).collect()
}

impl Executor {
    /// Starts a fault proxy in front of each address.
    pub fn start_proxies(&self) -> std::io::Result<()> {
        let links = self
            .addresses
            .iter()
            .map(|&at| FaultProxy::start(&self.environment, at));
        *self.proxies.borrow_mut() = links.collect::<std::io::Result<_>>()?;
        Ok(())
    }

    /// The address at which a front end reaches the executor: its proxy's if there is one.
    pub fn address_for(&self, front_end: u32) -> SocketAddr {
        let link = self
            .proxies
            .borrow()
            .get(front_end as usize)
            .map(|link| link.address);
        link.unwrap_or(self.addresses[front_end as usize])
    }

    /// Stops processing requests and connections for `time` seconds, like an unreachable machine.
    pub fn go_silent(&self, time: f64) {
        let at = self.environment.now();
        self.faults.silent.activate_until(at + time);
        self.environment.record(TrafficRecord::ReadsPaused {
            at,
            executor: self.number,
            until: at + time,
        });
    }

    async fn wait_while_silent(&self) {
        while self.faults.silent.is_active(self.environment.now()) {
            self.environment.sleep(0.01).await;
        }
    }

    async fn serve(self: Rc<Self>, front_end: u32, listener: Async<TcpListener>) {
        while let Ok((stream, _)) = listener.accept().await {
            self.wait_while_silent().await;
            self.environment
                .spawn(self.clone().serve_connection(front_end, stream))
                .detach();
        }
    }

    async fn serve_connection(self: Rc<Self>, front_end: u32, stream: Async<TcpStream>) {
        let (answers, queue) = async_channel::bounded::<Vec<u8>>(1_024);
        let connection = FrontEndConnection {
            front_end,
            stream: Rc::new(stream),
            answers,
        };
        let writing = async {
            while let Ok(line) = queue.recv().await {
                if (&*connection.stream).write_all(&line).await.is_err() {
                    return;
                }
            }
        };
        let reading = async {
            // Dropped with the connection, which abandons the dispatches that are open on it.
            let mut running: HashMap<String, Task<()>> = HashMap::new();
            let mut lines = BufReader::new(&*connection.stream).lines();
            while let Some(Ok(line)) = lines.next().await {
                self.wait_while_silent().await;
                let Ok(message) = serde_json::from_str::<Value>(&line) else {
                    return;
                };
                let id = message["i"].as_str().unwrap_or_default().to_owned();
                running.retain(|_, work| !work.is_finished());
                match message["t"].as_str() {
                    Some("DO") => {
                        let dispatch = self.record_arrival(front_end, &id, &message["f"]);
                        let work = self.clone().execute(dispatch, message, connection.clone());
                        running.insert(id, self.environment.spawn(work));
                    }
                    Some("UNDO") => drop(running.remove(&id)),
                    Some("PIN") => {
                        let order = self.clone().handle_load_command(
                            id.clone(),
                            message,
                            connection.clone(),
                        );
                        running.insert(id, self.environment.spawn(order));
                    }
                    _ => {}
                }
            }
        };
        future::or(reading, writing).await;
        connection.close();
    }

    fn record_arrival(self: &Rc<Self>, front_end: u32, id: &str, fields: &Value) -> ActiveDispatch {
        let text = |key: &str| fields[key].as_str().unwrap_or_default().to_owned();
        let number = {
            let mut numbers = self.numbers.borrow_mut();
            let number = numbers.entry(id.to_owned()).or_default();
            *number += 1;
            *number
        };
        let at = self.environment.now();
        self.environment.record(TrafficRecord::DispatchArrived {
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
            self.environment.record(TrafficRecord::ExecutorOverloaded {
                at,
                executor: self.number,
                started_at: self.started_at.get(),
            });
        }
        ActiveDispatch {
            executor: self.clone(),
            invocation: id.to_owned(),
            number,
            ended: false,
        }
    }

    /// Waits until a replica of the function is loaded. Returns whether the load was new ("cold"), already in progress
    /// ("joined") or complete ("warm").
    async fn load(&self, function: &str) -> &'static str {
        let now = self.environment.now();
        let known = self.copies.borrow().get(function).copied();
        let loaded_at = known.unwrap_or(now + self.load_time);
        self.copies
            .borrow_mut()
            .insert(function.to_owned(), loaded_at);
        self.environment.sleep(loaded_at - now).await;
        match known {
            None => "cold",
            Some(at) if at > now => "joined",
            Some(_) => "warm",
        }
    }

    async fn execute(
        self: Rc<Self>,
        mut dispatch: ActiveDispatch,
        message: Value,
        connection: FrontEndConnection,
    ) {
        let (id, fields) = (dispatch.invocation.clone(), &message["f"]);
        if self.draining.get() {
            dispatch.end(DispatchOutcome::Rejected);
            return connection
                .send(line("WAIT", &id, json!({}), &Value::Null))
                .await;
        }
        let fault = self
            .faults
            .response_fault
            .get()
            .filter(|s| self.environment.random_unit() < s.1)
            .map(|s| s.0);
        if fault == Some(ResponseFault::ResetUnread) {
            return connection.close();
        }
        let load_state = self.load(fields["item"].as_str().unwrap_or_default()).await;
        let (at, executor, invocation) = (self.environment.now(), self.number, id.clone());
        let token = fields["nonce"].as_str().map(|t| (self.cell, t.to_owned()));
        let seen = token.and_then(|t| self.tokens.borrow_mut().insert(t, at));
        self.environment.record(
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
        self.environment.sleep(self.work_time).await;
        let response_fields = json!({"tell": load_state, "crowd": "1"});
        let done = line("DONE", &id, response_fields.clone(), &message["b"]);
        match fault {
            None => {}
            Some(ResponseFault::CutShort) => {
                connection.send(done[..done.len() / 2].to_vec()).await;
                self.environment.sleep(0.01).await;
                return connection.close();
            }
            Some(ResponseFault::Garbage) => return connection.send(b"\x01 noise\n".to_vec()).await,
            Some(ResponseFault::InvalidBody) => {
                return connection
                    .send(line("DONE", &id, response_fields, &"%%%".into()))
                    .await;
            }
            Some(ResponseFault::Duplicated) => connection.send(done.clone()).await,
            Some(ResponseFault::Dropped | ResponseFault::ResetUnread) => {
                return future::pending().await;
            }
        }
        dispatch.end(DispatchOutcome::Succeeded);
        connection.send(done).await;
    }

    async fn handle_load_command(
        self: Rc<Self>,
        tag: String,
        message: Value,
        connection: FrontEndConnection,
    ) {
        let fields = &message["f"];
        let copies = fields["count"].as_u64().unwrap_or_default() as u32;
        self.environment.record(TrafficRecord::LoadCommandArrived {
            at: self.environment.now(),
            executor: self.number,
            front_end: connection.front_end,
            incarnation: self.incarnations.of(connection.front_end),
            replicas: copies,
        });
        if self.draining.get() {
            return connection
                .send(line("WAIT", &tag, json!({"count": 0}), &Value::Null))
                .await;
        }
        self.load(fields["item"].as_str().unwrap_or_default()).await;
        connection
            .send(line("DONE", &tag, json!({"count": copies}), &Value::Null))
            .await;
    }
}
