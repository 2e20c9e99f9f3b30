//! Carries messages: the connection to the broker, the journal's thread and the invocations round a `Consumer`, which
//! decides.

mod connection;
mod invoke;
mod triggers;

pub use triggers::{Triggers, records};

use crate::hub::Hub;
use async_executor::Task;
use bytes::Bytes;
use connection::{Connection, Input, MOST_OUT, Outbox, Wire, connect, read, write};
use futures_lite::future;
use invoke::invoke;
use orchidtally_deployment::Deployment;
use orchidtally_journal::Group;
use orchidtally_mqtt::encode;
use orchidtally_trigger::consumer::{Counters, HostAction, Notice};
use orchidtally_trigger::{Consumer, Section};
use std::collections::HashMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tracing::{debug, error, info, warn};

/// Inputs that wait to be gone through; the socket is not read meanwhile.
const INPUTS: usize = 1_024;
/// The files of TLS are looked at so often, in seconds.
const FILES_LOOKED_AT: f64 = 3.0;
/// Between tries to connect, from the first to the longest, in seconds; each varies by half.
const PAUSE: (f64, f64) = (0.1, 5.0);

/// From the journal's thread.
enum Word {
    Kept(bool),
    Replaced(bool),
}

/// What a front end says of its triggers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standing {
    pub counters: Counters,
    pub connected: bool,
    pub in_hand: usize,
    pub waiting: usize,
    pub journal_works: bool,
}

struct Carrier {
    hub: Rc<Hub>,
    section: Rc<Section>,
    consumer: Consumer,
    journal: Group,
    inputs: async_channel::Sender<Input>,
    words: async_channel::Sender<Word>,
    connection: Option<Connection>,
    connecting: Option<Task<()>>,
    connections: u64,
    connect_at: f64,
    pause: f64,
    invocations: HashMap<u64, Task<()>>,
    journal_works: bool,
    /// When the files of TLS were changed, as of the connection that stands, and when that is looked at next.
    files: Option<SystemTime>,
    look_at: f64,
    /// The deployment by which messages are judged, and the revision that it is of.
    present: (u64, Rc<Deployment>),
}

impl Carrier {
    fn lost(&mut self, why: &str) {
        let Some(_) = self.connection.take() else { return };
        warn!(broker = %self.section.broker, why, "the connection to the broker is gone");
        self.consumer.connection_lost();
        self.later();
    }

    fn later(&mut self) {
        self.connect_at = self.hub.now() + self.pause * (0.5 + rand::random::<f64>());
        self.pause = (2.0 * self.pause).min(PAUSE.1);
    }

    /// When the newest of the files of TLS was changed.
    fn files_changed(&self) -> Option<SystemTime> {
        let tls = self.section.tls.as_ref()?;
        let identity = tls.identity.iter().flat_map(|(a, b)| [a, b]);
        let changed = |path: &PathBuf| std::fs::metadata(path).and_then(|m| m.modified()).ok();
        identity.chain([&tls.authorities]).filter_map(changed).max()
    }

    /// Ends a connection whose certificates were replaced; the next one has the new ones.
    fn look_at_files(&mut self, now: f64) {
        if now < self.look_at || self.section.tls.is_none() {
            return;
        }
        self.look_at = now + FILES_LOOKED_AT;
        if self.connection.is_some() && self.files_changed() != self.files {
            info!("the files of TLS have changed: connecting anew");
            self.consumer.disconnect(now);
            self.perform();
            self.connection = None;
            self.consumer.connection_lost();
            self.connect_at = now;
        }
    }

    /// The deployment as the revision in force has it, with trigger types at the places that rules know.
    fn present_deployment(&mut self) -> Rc<Deployment> {
        let revision = self.hub.revision();
        if self.present.0 != revision.number {
            self.present = (revision.number, Rc::new(revision.aligned_to(&self.hub.deployment)));
        }
        self.present.1.clone()
    }

    fn start_connecting(&mut self) {
        self.files = self.files_changed();
        let (section, inputs) = (self.section.clone(), self.inputs.clone());
        let work = async move {
            let connected = connect(&section).await;
            // Nobody listens where the front end has ended.
            let _ = inputs.send(Input::Connected(connected)).await;
        };
        self.connecting = self.hub.spawn(work);
    }

    fn connected(&mut self, stream: Box<dyn Wire>) {
        self.connections += 1;
        let number = self.connections;
        let (reading, writing) = futures_lite::io::split(stream);
        let (wake, woken) = async_channel::bounded(1);
        let outbox = Rc::new(Outbox::default());
        let read = self.hub.spawn(read(reading, number, self.section.clone(), self.inputs.clone()));
        let write = self.hub.spawn(write(writing, number, outbox.clone(), woken, self.inputs.clone()));
        self.connection = Some(Connection { number, outbox, wake, _tasks: [read, write] });
        self.consumer.connect(self.hub.now());
    }

    fn apply(&mut self, input: Input) {
        let now = self.hub.now();
        let is_this = |number: u64| self.connection.as_ref().is_some_and(|c| c.number == number);
        match input {
            Input::Connected(stream) => {
                self.connecting = None;
                match stream {
                    Ok(stream) => self.connected(stream),
                    Err(fault) => {
                        warn!(broker = %self.section.broker, %fault, "the broker is not to be reached");
                        self.later();
                    }
                }
            }
            Input::Packet(number, packet) if is_this(number) => {
                let deployment = self.present_deployment();
                if let Err(ended) = self.consumer.received(now, packet, &deployment) {
                    self.lost(&ended.to_string());
                }
            }
            Input::Lost(number, why) if is_this(number) => self.lost(&why),
            Input::Packet(..) | Input::Lost(..) | Input::Room => {}
            Input::Came(n, answer) => {
                self.invocations.remove(&n);
                self.consumer.invocation_ended(now, n, answer);
            }
        }
    }

    fn heard(&mut self, word: Word) {
        let now = self.hub.now();
        match word {
            Word::Kept(well) => self.consumer.journal_appended(now, well),
            Word::Replaced(well) => self.consumer.journal_replaced(now, well),
        }
    }

    fn perform(&mut self) {
        while let Some(action) = self.consumer.next_action() {
            match action {
                HostAction::Append(entry) => {
                    let words = self.words.clone();
                    let told = move |kept: io::Result<()>| {
                        if let Err(fault) = &kept {
                            error!(%fault, "the journal did not keep an entry");
                        }
                        // Nobody listens where the front end has ended.
                        let _ = words.send_blocking(Word::Kept(kept.is_ok()));
                    };
                    if self.journal.append(entry, told).is_err() {
                        // Its thread has died: its queue is as long as all that can be in hand.
                        self.consumer.journal_appended(self.hub.now(), false);
                    }
                }
                HostAction::Replace(state) => {
                    let words = self.words.clone();
                    let told = move |done: io::Result<()>| {
                        if let Err(fault) = &done {
                            error!(%fault, "the journal's state could not be replaced");
                        }
                        let _ = words.send_blocking(Word::Replaced(done.is_ok()));
                    };
                    if self.journal.replace(state, told).is_err() {
                        self.consumer.journal_replaced(self.hub.now(), false);
                    }
                }
                HostAction::Invoke(n) => {
                    let Some(held) = self.consumer.message(n).cloned() else { continue };
                    let (hub, inputs, ready_by) =
                        (self.hub.clone(), self.inputs.clone(), self.consumer.ready_by(n));
                    let work = async move {
                        let answer = invoke(hub, held, ready_by).await;
                        let _ = inputs.send(Input::Came(n, answer)).await;
                    };
                    self.invocations.extend(self.hub.spawn(work).map(|task| (n, task)));
                }
                HostAction::Cancel(n) => {
                    self.invocations.remove(&n);
                }
            }
        }
        while let Some(notice) = self.consumer.next_notice() {
            match notice {
                Notice::Connected { session_present } => {
                    self.pause = PAUSE.0;
                    info!(broker = %self.section.broker, session_present, "connected to the broker");
                }
                Notice::Refused(filters) => error!(?filters, "the broker refused subscriptions"),
                Notice::SetAside { topic, why } => warn!(topic, why, "a message was set aside"),
                Notice::NotPublished { topic, code } => warn!(topic, ?code, "the broker took no answer"),
                Notice::JournalFailed => {
                    self.journal_works = false;
                    error!("the journal can't be written: no message is taken until it can");
                }
                Notice::JournalBack => {
                    self.journal_works = true;
                    info!("the journal can be written again");
                }
            }
        }
        let Some(connection) = &self.connection else { return };
        let mut bytes = connection.outbox.bytes.borrow_mut();
        while bytes.len() < MOST_OUT
            && let Some(packet) = self.consumer.next_packet()
        {
            match encode(&packet, self.section.version) {
                Ok(encoded) => bytes.extend_from_slice(&encoded),
                Err(fault) => error!(%fault, "a packet could not be written"),
            }
        }
        if !bytes.is_empty() {
            // A full channel has woken it already.
            let _ = connection.wake.try_send(());
        }
    }

    fn tell(&self) {
        let (in_hand, waiting) = self.consumer.in_hand();
        self.hub.triggers.set(Some(Standing {
            counters: self.consumer.counters(),
            connected: self.consumer.is_connected(),
            in_hand,
            waiting,
            journal_works: self.journal_works,
        }));
    }
}

/// Serves triggers until the front end leaves and what it had in hand is answered, or its patience ends.
pub async fn carry(hub: Rc<Hub>, triggers: Triggers, leaving: async_channel::Receiver<()>) {
    let Triggers { section, journal, records, cut, sharing } = triggers;
    if cut > 0 || !records.is_empty() {
        info!(entries = records.len(), cut, "the journal of a life before was read");
    }
    let section = Rc::new(section);
    let now = hub.now();
    let password = match section.password_file.as_ref().map(std::fs::read) {
        Some(Ok(bytes)) => Some(Bytes::from(bytes.trim_ascii_end().to_vec())),
        Some(Err(fault)) => {
            error!(%fault, file = ?section.password_file, "the broker's password can't be read");
            None
        }
        None => None,
    };
    let consumer =
        Consumer::new(&section, &hub.deployment, hub.deployment.policy.index as u32, password, &records, now);
    let (inputs, incoming) = async_channel::bounded(INPUTS);
    let most_entries = 8 * section.most_held() + 1_024;
    let (words, told) = async_channel::bounded(2 * most_entries);
    let mut carrier = Carrier {
        journal: Group::sharing(journal, most_entries, sharing),
        hub: hub.clone(),
        section,
        consumer,
        inputs,
        words,
        connection: None,
        connecting: None,
        connections: 0,
        connect_at: now,
        pause: PAUSE.0,
        invocations: HashMap::new(),
        journal_works: true,
        files: None,
        look_at: now,
        present: (1, hub.deployment.clone()),
    };
    let mut left = false;
    loop {
        let now = hub.now();
        if let Err(ended) = carrier.consumer.tick(now) {
            carrier.lost(&ended.to_string());
        }
        if carrier.connection.is_none() && carrier.connecting.is_none() && now >= carrier.connect_at {
            carrier.start_connecting();
        }
        carrier.look_at_files(now);
        carrier.perform();
        carrier.tell();
        if left && carrier.consumer.in_hand().0 == 0 {
            break;
        }
        let due = carrier.consumer.next_tick_at().min(match (&carrier.connection, &carrier.connecting) {
            (None, None) => carrier.connect_at,
            _ => f64::INFINITY,
        });
        let longest = if carrier.section.tls.is_some() { FILES_LOOKED_AT } else { 60.0 };
        let time = Duration::from_secs_f64((due - now).clamp(0.0, longest));
        let input = async { incoming.recv().await.ok().map(Ok) };
        let word = async { told.recv().await.ok().map(Err) };
        let leaves = async {
            if left {
                future::pending::<()>().await;
            }
            // Nothing is ever sent: the channel closes.
            let _ = leaving.recv().await;
            None
        };
        let next = future::or(word, future::or(input, leaves));
        match orchidtally_net::within(time, next).await {
            Some(Some(Ok(input))) => carrier.apply(input),
            Some(Some(Err(word))) => carrier.heard(word),
            Some(None) => {
                left = true;
                carrier.consumer.drain();
            }
            None => {}
        }
        // What has come together is gone through together.
        for _ in 0..INPUTS {
            let Ok(word) = told.try_recv() else { break };
            carrier.heard(word);
        }
        for _ in 0..INPUTS {
            let Ok(input) = incoming.try_recv() else { break };
            carrier.apply(input);
        }
    }
    carrier.consumer.disconnect(hub.now());
    carrier.perform();
    if let Some(connection) = carrier.connection.take() {
        connection.outbox.ended.set(true);
        let _ = connection.wake.try_send(());
        let [_, write] = connection._tasks;
        if let Some(write) = write {
            let _ = orchidtally_net::within(Duration::from_millis(500), write).await;
        }
    }
    debug!("no more messages are carried");
}
