//! The operators' platform: executors that speak its lines, a resolver that answers over DNS, clients that send
//! its frames; with faults by script. Each executor and the resolver have an address for each front end, so that
//! what came is known to be whose. What they see is noted for the witness.

use crate::{Stage, Until, any_port};
use async_channel::Sender;
use async_executor::Task;
use async_io::Async;
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, StreamExt, future};
use orchidtally_frames as frames;
use orchidtally_witness::{Answer, Ending, Record, Standing};
use serde_json::{Value, json};
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, PacketFlag, ResourceRecord};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;

/// Which life each front end is in; a new one with each start.
#[derive(Default)]
pub struct Lives(RefCell<HashMap<u32, u64>>);

impl Lives {
    pub fn begin(&self, front_end: u32) {
        *self.0.borrow_mut().entry(front_end).or_default() += 1;
    }

    fn of(&self, front_end: u32) -> u64 {
        let count = self.0.borrow().get(&front_end).copied().unwrap_or_default();
        count << 32 | u64::from(front_end)
    }
}

/// How an answer goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
    /// The connection is reset before anything is begun.
    Unread,
    /// It is reset within the answer.
    Half,
    Noise,
    /// A body that is no base64.
    BadBody,
    Twice,
    Never,
}

/// What a script may put on an executor.
#[derive(Default)]
pub struct Faults {
    silent: Until,
    /// What goes wrong with answers, and the chance that it does.
    pub spoils: Cell<Option<(Spoil, f64)>>,
}

pub struct Executor {
    pub number: usize,
    pub name: String,
    /// Executors of a cell share the tokens they have seen.
    pub cell: u16,
    /// Where each front end reaches it.
    pub at: Vec<SocketAddr>,
    pub faults: Faults,
    pub draining: Cell<bool>,
    pub load_time: f64,
    pub work: f64,
    /// When it last started; minus infinity for long ago.
    pub since: Cell<f64>,
    /// While it is cold, so many dispatches within a second push it over.
    pub cold: f64,
    pub bears: usize,
    arrived: RefCell<Vec<f64>>,
    fell: Cell<bool>,
    stage: Stage,
    lives: Rc<Lives>,
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
    fn end(&mut self, ending: Ending) {
        if !std::mem::replace(&mut self.ended, true) {
            self.executor.stage.record(Record::Ended {
                at: self.executor.stage.now(),
                executor: self.executor.number,
                invocation: self.invocation.clone(),
                number: self.number,
                ending,
            });
        }
    }
}

impl Drop for InHand {
    fn drop(&mut self) {
        self.end(Ending::Abandoned);
    }
}

fn line(word: &str, id: &str, fields: Value, body: &Value) -> Vec<u8> {
    format!("{}\n", json!({"t": word, "i": id, "f": fields, "b": body})).into_bytes()
}

/// The ends of one connection from a front end.
#[derive(Clone)]
struct Way {
    front_end: u32,
    stream: Rc<Async<TcpStream>>,
    answers: Sender<Vec<u8>>,
}

impl Way {
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
    stage: &Stage,
    lives: &Rc<Lives>,
    count: usize,
    front_ends: u32,
    token_window: f64,
) -> std::io::Result<Vec<Rc<Executor>>> {
    let tokens = Rc::new(RefCell::new(HashMap::new()));
    let make = |number: usize| {
        let listen = |_| Async::<TcpListener>::bind(any_port());
        let listeners = (0..front_ends).map(listen).collect::<std::io::Result<Vec<_>>>()?;
        let at = listeners.iter().map(|l| l.get_ref().local_addr()).collect::<std::io::Result<_>>()?;
        let executor = Rc::new(Executor {
            number,
            name: format!("s-{number:08x}"),
            cell: (number / 2) as u16,
            at,
            faults: Faults::default(),
            draining: Cell::default(),
            load_time: 0.05,
            work: 0.01,
            since: Cell::new(f64::NEG_INFINITY),
            cold: 1.0,
            bears: 30,
            arrived: RefCell::default(),
            fell: Cell::default(),
            stage: stage.clone(),
            lives: lives.clone(),
            tokens: tokens.clone(),
            token_window,
            copies: RefCell::default(),
            numbers: RefCell::default(),
        });
        for (front_end, listener) in (0..front_ends).zip(listeners) {
            stage.spawn(executor.clone().serve(front_end, listener)).detach();
        }
        Ok(executor)
    };
    (0..count).map(make).collect()
}

impl Executor {
    /// From here on it reads nothing and takes no connection, as a machine that has vanished.
    pub fn fall_silent(&self, time: f64) {
        let at = self.stage.now();
        self.faults.silent.set(at + time);
        self.stage.record(Record::Deaf { at, executor: self.number, until: at + time });
    }

    async fn silence(&self) {
        while self.faults.silent.is_on(self.stage.now()) {
            self.stage.sleep(0.01).await;
        }
    }

    async fn serve(self: Rc<Self>, front_end: u32, listener: Async<TcpListener>) {
        while let Ok((stream, _)) = listener.accept().await {
            self.silence().await;
            self.stage.spawn(self.clone().attend(front_end, stream)).detach();
        }
    }

    async fn attend(self: Rc<Self>, front_end: u32, stream: Async<TcpStream>) {
        let (answers, queue) = async_channel::bounded::<Vec<u8>>(1_024);
        let way = Way { front_end, stream: Rc::new(stream), answers };
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
                let Ok(message) = serde_json::from_str::<Value>(&line) else { return };
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
        self.stage.record(Record::Reached {
            at,
            executor: self.number,
            front_end,
            life: self.lives.of(front_end),
            invocation: id.to_owned(),
            number,
            token: text("nonce"),
            trigger_type: text("cls"),
        });
        let mut arrived = self.arrived.borrow_mut();
        arrived.retain(|&t| t > at - 1.0);
        arrived.push(at);
        if at < self.since.get() + self.cold && arrived.len() > self.bears && !self.fell.replace(true) {
            self.stage.record(Record::Fell { at, executor: self.number, since: self.since.get() });
        }
        InHand { executor: self.clone(), invocation: id.to_owned(), number, ended: false }
    }

    /// Waits until a copy of the function stands; tells how it was found.
    async fn load(&self, function: &str) -> &'static str {
        let now = self.stage.now();
        let known = self.copies.borrow().get(function).copied();
        let stands_at = known.unwrap_or(now + self.load_time);
        self.copies.borrow_mut().insert(function.to_owned(), stands_at);
        self.stage.sleep(stands_at - now).await;
        match known {
            None => "cold",
            Some(at) if at > now => "joined",
            Some(_) => "warm",
        }
    }

    async fn work(self: Rc<Self>, mut in_hand: InHand, message: Value, way: Way) {
        let (id, fields) = (in_hand.invocation.clone(), &message["f"]);
        if self.draining.get() {
            in_hand.end(Ending::Refused);
            return way.put(line("WAIT", &id, json!({}), &Value::Null)).await;
        }
        let spoil = self.faults.spoils.get().filter(|s| self.stage.unit() < s.1).map(|s| s.0);
        if spoil == Some(Spoil::Unread) {
            return way.cut();
        }
        let tell = self.load(fields["item"].as_str().unwrap_or_default()).await;
        let (at, executor, invocation) = (self.stage.now(), self.number, id.clone());
        let token = fields["nonce"].as_str().map(|t| (self.cell, t.to_owned()));
        let seen = token.and_then(|t| self.tokens.borrow_mut().insert(t, at));
        self.stage.record(match seen.is_some_and(|seen| at < seen + self.token_window) {
            true => Record::Dropped { at, executor, invocation },
            false => Record::Ran { at, executor, invocation },
        });
        self.stage.sleep(self.work).await;
        let told = json!({"tell": tell, "crowd": "1"});
        let done = line("DONE", &id, told.clone(), &message["b"]);
        match spoil {
            None => {}
            Some(Spoil::Half) => {
                way.put(done[..done.len() / 2].to_vec()).await;
                self.stage.sleep(0.01).await;
                return way.cut();
            }
            Some(Spoil::Noise) => return way.put(b"\x01 noise\n".to_vec()).await,
            Some(Spoil::BadBody) => return way.put(line("DONE", &id, told, &"%%%".into())).await,
            Some(Spoil::Twice) => way.put(done.clone()).await,
            Some(Spoil::Never | Spoil::Unread) => return future::pending().await,
        }
        in_hand.end(Ending::Succeeded);
        way.put(done).await;
    }

    async fn order(self: Rc<Self>, tag: String, message: Value, way: Way) {
        let fields = &message["f"];
        let copies = fields["count"].as_u64().unwrap_or_default() as u32;
        self.stage.record(Record::Ordered {
            at: self.stage.now(),
            executor: self.number,
            front_end: way.front_end,
            life: self.lives.of(way.front_end),
            copies,
        });
        if self.draining.get() {
            return way.put(line("WAIT", &tag, json!({"count": 0}), &Value::Null)).await;
        }
        self.load(fields["item"].as_str().unwrap_or_default()).await;
        way.put(line("DONE", &tag, json!({"count": copies}), &Value::Null)).await;
    }
}

/// An executor as the list tells it.
#[derive(Clone)]
pub struct Row {
    pub executor: Rc<Executor>,
    pub standing: Standing,
}

/// How an answer of the resolver goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Odd {
    Lost,
    Foreign,
    Truncated,
    Cut,
    Failed,
    /// The list before this one.
    Stale,
}

pub struct Resolver {
    stage: Stage,
    lives: Rc<Lives>,
    rows: RefCell<Vec<Row>>,
    before: RefCell<(u32, Vec<Row>)>,
    serial: Cell<u32>,
    /// What goes wrong with answers, and the chance that it does.
    pub odd: Cell<Option<(Odd, f64)>>,
    told: RefCell<HashMap<(u64, usize), Standing>>,
}

const SERVICE: &str = "_data._tcp.farm.lan";

impl Resolver {
    pub fn new(stage: &Stage, lives: &Rc<Lives>, executors: &[Rc<Executor>]) -> Rc<Resolver> {
        let ready = |e: &Rc<Executor>| Row { executor: e.clone(), standing: Standing::Ready };
        let rows: Vec<Row> = executors.iter().map(ready).collect();
        Rc::new(Resolver {
            stage: stage.clone(),
            lives: lives.clone(),
            before: RefCell::new((1, rows.clone())),
            rows: RefCell::new(rows),
            serial: Cell::new(1),
            odd: Cell::default(),
            told: RefCell::default(),
        })
    }

    /// An event: some executors stand otherwise from now on.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Row>)) {
        *self.before.borrow_mut() = (self.serial.get(), self.rows.borrow().clone());
        change(&mut self.rows.borrow_mut());
        self.serial.set(self.serial.get() + 1);
    }

    /// What a front end is told now, as far as it is new to its present life.
    fn tell(&self, front_end: u32) {
        let (at, life) = (self.stage.now(), self.lives.of(front_end));
        let rows = self.rows.borrow();
        let mut told = self.told.borrow_mut();
        let listed = |n: usize| rows.iter().find(|r| r.executor.number == n);
        let mut numbers: Vec<usize> = told.keys().filter(|k| k.0 == life).map(|k| k.1).collect();
        numbers.extend(rows.iter().map(|r| r.executor.number));
        numbers.sort_unstable();
        numbers.dedup();
        for executor in numbers {
            let row = listed(executor);
            let standing = row.map_or(Standing::Gone, |r| r.standing);
            let since = row.map_or(f64::NEG_INFINITY, |r| r.executor.since.get());
            if told.insert((life, executor), standing) != Some(standing) {
                self.stage.record(Record::Told { at, front_end, life, executor, standing, since });
            }
        }
    }

    fn started(&self, executor: &Executor) -> u64 {
        (self.stage.wall(executor.since.get()) * 1e3) as u64
    }

    /// The list as a front end's configuration has it at its start.
    pub fn known(&self, front_end: u32) -> Value {
        self.tell(front_end);
        let host = |row: &Row| {
            let e = &row.executor;
            let health = if row.standing == Standing::Ready { "SERVING" } else { "DRAINING" };
            json!({"host": e.name, "dial": e.at[front_end as usize], "site": "east", "class": "std",
                "block": e.cell, "health": health, "share": 4, "born_ms": self.started(e)})
        };
        let hosts: Vec<Value> = self.rows.borrow().iter().map(host).collect();
        let endpoints = json!({"seq": 1, "whole": true, "hosts": hosts});
        json!({"index": self.serial.get(), "updates": [{"index": 1, "endpoints": endpoints}]})
    }

    fn list(&self, id: u16, front_end: u32, odd: Option<Odd>) -> Result<Vec<u8>, simple_dns::SimpleDnsError> {
        let before = self.before.borrow();
        let (serial, rows) = match odd {
            Some(Odd::Stale) => (before.0, before.1.clone()),
            _ => (self.serial.get(), self.rows.borrow().clone()),
        };
        let targets: Vec<String> = rows.iter().map(|r| format!("{}.east.hosts", r.executor.name)).collect();
        let mut packet = Packet::new_reply(if odd == Some(Odd::Foreign) { !id } else { id });
        packet.set_flags(PacketFlag::RESPONSE);
        match odd {
            Some(Odd::Truncated) => packet.set_flags(PacketFlag::TRUNCATION),
            Some(Odd::Failed) => *packet.rcode_mut() = simple_dns::RCODE::ServerFailure,
            _ => {}
        }
        for (row, target) in rows.iter().zip(&targets) {
            let (e, target) = (&row.executor, Name::new(target)?);
            let at = e.at[front_end as usize];
            let priority = u16::from(row.standing != Standing::Ready);
            let srv = SRV { priority, weight: 40, port: at.port(), target: target.clone() };
            packet.answers.push(ResourceRecord::new(Name::new(SERVICE)?, CLASS::IN, 0, RData::SRV(srv)));
            if let IpAddr::V4(ip) = at.ip() {
                let a = RData::A(A::from(ip));
                packet.additional_records.push(ResourceRecord::new(target.clone(), CLASS::IN, 0, a));
            }
            let mut txt = TXT::new();
            let figures = [format!("cell={}", e.cell), format!("started={}", self.started(e))];
            for text in ["kind=std"].into_iter().chain(figures.iter().map(String::as_str)) {
                txt.add_string(text)?;
            }
            let txt = RData::TXT(txt.into_owned());
            packet.additional_records.push(ResourceRecord::new(target, CLASS::IN, 0, txt));
        }
        let name = || Name::new("farm.lan");
        let (refresh, retry, expire, minimum) = (1, 1, 1, 0);
        let soa = SOA { mname: name()?, rname: name()?, serial, refresh, retry, expire, minimum };
        packet.name_servers.push(ResourceRecord::new(name()?, CLASS::IN, 0, RData::SOA(soa)));
        packet.build_bytes_vec_compressed()
    }

    /// An address at which a front end may ask from now on.
    pub fn open(self: &Rc<Self>, front_end: u32) -> std::io::Result<SocketAddr> {
        let socket = Async::<UdpSocket>::bind(any_port())?;
        let at = socket.get_ref().local_addr()?;
        let me = self.clone();
        let serving = async move {
            let mut query = [0; 512];
            while let Ok((n, from)) = socket.recv_from(&mut query).await {
                let odd = me.odd.get().filter(|o| me.stage.unit() < o.1).map(|o| o.0);
                let id = u16::from_be_bytes([query[0], query[1]]);
                if n < 12 || odd == Some(Odd::Lost) {
                    continue;
                }
                let Ok(mut list) = me.list(id, front_end, odd) else { continue };
                if odd == Some(Odd::Cut) {
                    list.truncate(list.len() / 2);
                }
                if odd.is_none() {
                    me.tell(front_end);
                }
                // One who is gone asks no more.
                let _ = socket.send_to(&list, from).await;
            }
        };
        self.stage.spawn(serving).detach();
        Ok(at)
    }
}

/// One invocation as a client sends it.
#[derive(Clone, Debug)]
pub struct Ask {
    pub id: u64,
    /// Its place among the settings' and its name.
    pub trigger_type: (usize, &'static str),
    pub function: u64,
    pub allow: f64,
    pub body: Vec<u8>,
}

/// What a client heard: the answer's code, and its body.
type Heard = (u8, Vec<u8>);

struct Open {
    stream: Rc<Async<TcpStream>>,
    next: Cell<u32>,
    waiting: RefCell<HashMap<u32, Sender<Heard>>>,
    /// Told to send no more, or ended.
    over: Cell<bool>,
}

/// A client's way to one front end: one connection, and a new one where that is over.
pub struct Client {
    stage: Stage,
    front_end: u32,
    at: SocketAddr,
    open: RefCell<Option<Rc<Open>>>,
}

impl Client {
    pub fn new(stage: &Stage, front_end: u32, at: SocketAddr) -> Rc<Client> {
        Rc::new(Client { stage: stage.clone(), front_end, at, open: RefCell::default() })
    }

    async fn connection(&self) -> std::io::Result<Rc<Open>> {
        let stands = self.open.borrow().clone().filter(|o| !o.over.get());
        if let Some(open) = stands {
            return Ok(open);
        }
        let stream = Rc::new(Async::<TcpStream>::connect(self.at).await?);
        let (next, waiting, over) = (Cell::new(1), RefCell::default(), Cell::new(false));
        let open = Rc::new(Open { stream, next, waiting, over });
        let listening = open.clone();
        self.stage
            .spawn(async move {
                let mut decoder = frames::Decoder::default();
                let mut buffer = vec![0; 16 * 1024];
                'reading: while let Ok(n @ 1..) = (&*listening.stream).read(&mut buffer).await {
                    decoder.push(&buffer[..n]);
                    loop {
                        let frame = match decoder.read() {
                            Ok(Some(frame)) => frame,
                            Ok(None) => break,
                            Err(_) => break 'reading,
                        };
                        let payload = frame.payload.unwrap_or_default();
                        match (frame.kind, payload.split_first()) {
                            (frames::NO_MORE, _) => listening.over.set(true),
                            (frames::ANSWER, Some((&code, rest))) => {
                                let body = frames::fields(rest).map(|f| f.1.to_vec()).unwrap_or_default();
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
    pub async fn invoke(&self, ask: &Ask) -> Option<Answer> {
        let open = self.connection().await.ok()?;
        let stream = open.next.get();
        open.next.set(stream + 1);
        // Room for a second answer, so that one is seen.
        let (to, answers) = async_channel::bounded(2);
        open.waiting.borrow_mut().insert(stream, to);
        let (at, invocation) = (self.stage.now(), format!("{:016x}", ask.id));
        // By the platform's rules time limits are longer by so much on sockets.
        let until = at + ask.allow + 0.05;
        let (client, trigger_type) = (self.front_end, ask.trigger_type.0);
        let front_end = self.front_end;
        let offered =
            Record::Offered { at, client, invocation: invocation.clone(), front_end, trigger_type, until };
        self.stage.record(offered);
        let (allow, function) = (format!("{}", (ask.allow * 1e3) as u64), format!("{:016x}", ask.function));
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
        frames::put(&mut frame, frames::INVOKE, stream, None, Some(&fields), &ask.body);
        let heard = async {
            (&*open.stream).write_all(&frame).await.ok()?;
            answers.recv().await.ok()
        };
        let timed_out = async {
            self.stage.sleep(until + 0.5 - self.stage.now()).await;
            Some((0, vec![]))
        };
        let heard = future::or(heard, timed_out).await;
        let at = self.stage.now();
        let answer = match heard {
            Some((frames::SUCCEEDED, body)) if body == ask.body => Answer::Succeeded,
            Some((frames::THROTTLED, _)) => Answer::Throttled,
            Some((frames::ERRORED, _)) => Answer::Errored,
            // What no executor made, or nothing: as if there had been no answer.
            Some(_) => {
                self.stage.record(Record::GaveUp { at, invocation });
                return None;
            }
            None => {
                self.stage.record(Record::Lost { at, invocation });
                return None;
            }
        };
        self.stage.record(Record::Answered { at, invocation: invocation.clone(), answer });
        self.stage.sleep(0.3).await;
        if answers.try_recv().is_ok() {
            self.stage.record(Record::Answered { at: self.stage.now(), invocation, answer });
        }
        open.waiting.borrow_mut().remove(&stream);
        Some(answer)
    }
}
