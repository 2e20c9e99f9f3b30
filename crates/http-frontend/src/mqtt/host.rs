//! Performs the actions of a consumer: packets, journal entries and invocations.

use super::connection::{
    BrokerStream, Connection, Input, MAX_OUTBOX_BYTES, Outbox, connect, read, write,
};
use super::invoke::invoke;
use super::tls_files::TlsFiles;
use crate::router::{Router, TriggerStatus};
use async_executor::Task;
use orchidtally_deployment::Deployment;
use orchidtally_journal::GroupCommit;
use orchidtally_mqtt::encode;
use orchidtally_mqtt_triggers::consumer::{HostAction, Notice};
use orchidtally_mqtt_triggers::{Consumer, TriggerSettings};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tracing::{error, info, warn};

/// Seconds until the first reconnect attempt; each delay varies by half of it.
const FIRST_RETRY: f64 = 0.1;
/// The longest delay between two attempts, in seconds.
const LONGEST_RETRY: f64 = 5.0;
/// How long sending the last packets may take at shutdown.
const CLOSE_TIME: Duration = Duration::from_millis(500);

/// A result of the journal's thread: whether it succeeded.
pub(super) enum JournalResult {
    Appended(bool),
    Replaced(bool),
}

/// The deployment against which messages are validated.
struct DeploymentInForce {
    revision: u64,
    deployment: Rc<Deployment>,
}

/// A consumer with the connection, journal and invocations that it controls.
pub(super) struct ConsumerHost {
    router: Rc<Router>,
    section: Rc<TriggerSettings>,
    pub(super) consumer: Consumer,
    journal: GroupCommit,
    inputs: async_channel::Sender<Input>,
    journal_results: async_channel::Sender<JournalResult>,
    connection: Option<Connection>,
    connecting: Option<Task<()>>,
    connection_count: u64,
    connect_at: f64,
    retry_after: f64,
    invocations: HashMap<u64, Task<()>>,
    journal_works: bool,
    tls_files: TlsFiles,
    in_force: DeploymentInForce,
}

impl ConsumerHost {
    pub(super) fn new(
        router: Rc<Router>,
        section: Rc<TriggerSettings>,
        consumer: Consumer,
        journal: GroupCommit,
        inputs: async_channel::Sender<Input>,
        journal_results: async_channel::Sender<JournalResult>,
    ) -> ConsumerHost {
        let now = router.now();
        ConsumerHost {
            tls_files: TlsFiles::new(&section, now),
            in_force: DeploymentInForce {
                revision: 1,
                deployment: router.deployment.clone(),
            },
            router,
            section,
            consumer,
            journal,
            inputs,
            journal_results,
            connection: None,
            connecting: None,
            connection_count: 0,
            connect_at: now,
            retry_after: FIRST_RETRY,
            invocations: HashMap::new(),
            journal_works: true,
        }
    }

    /// Whether the connection uses TLS.
    pub(super) fn uses_tls(&self) -> bool {
        self.tls_files.are_used()
    }

    /// When the next tick is due without any input.
    pub(super) fn next_tick_at(&self) -> f64 {
        let is_idle = self.connection.is_none() && self.connecting.is_none();
        let connect_at = if is_idle {
            self.connect_at
        } else {
            f64::INFINITY
        };
        self.consumer.next_tick_at().min(connect_at)
    }

    /// Runs what is due.
    pub(super) fn tick(&mut self) {
        let now = self.router.now();
        if let Err(ended) = self.consumer.tick(now) {
            self.lost(&ended.to_string());
        }
        if self.connection.is_none() && self.connecting.is_none() && now >= self.connect_at {
            self.start_connecting();
        }
        self.check_tls_files(now);
        self.perform();
        self.report();
    }

    /// Ends a connection whose certificates were replaced; the next one uses the new ones.
    fn check_tls_files(&mut self, now: f64) {
        let is_due = self.tls_files.is_check_due(now);
        if is_due && self.connection.is_some() && self.tls_files.have_changed() {
            info!("TLS files changed, reconnecting");
            self.consumer.disconnect(now);
            self.perform();
            self.connection = None;
            self.consumer.connection_lost();
            self.connect_at = now;
        }
    }

    fn start_connecting(&mut self) {
        self.tls_files.note();
        let (section, inputs) = (self.section.clone(), self.inputs.clone());
        let work = async move {
            let connected = connect(&section).await;
            // There is no receiver once the front end has ended.
            let _ = inputs.send(Input::Connected(connected)).await;
        };
        self.connecting = self.router.spawn(work);
    }

    fn connected(&mut self, stream: Box<dyn BrokerStream>) {
        self.connection_count += 1;
        let number = self.connection_count;
        let (reader, writer) = futures_lite::io::split(stream);
        let (wake, woken) = async_channel::bounded(1);
        let outbox = Rc::new(Outbox::default());
        let read = self.router.spawn(read(
            reader,
            number,
            self.section.clone(),
            self.inputs.clone(),
        ));
        let write = self.router.spawn(write(
            writer,
            number,
            outbox.clone(),
            woken,
            self.inputs.clone(),
        ));
        self.connection = Some(Connection {
            number,
            outbox,
            wake,
            _tasks: [read, write],
        });
        self.consumer.connect(self.router.now());
    }

    fn lost(&mut self, why: &str) {
        let Some(_) = self.connection.take() else {
            return;
        };
        warn!(broker = %self.section.broker, why, "broker connection lost");
        self.consumer.connection_lost();
        self.connect_later();
    }

    fn connect_later(&mut self) {
        self.connect_at = self.router.now() + self.retry_after * (0.5 + rand::random::<f64>());
        self.retry_after = (2.0 * self.retry_after).min(LONGEST_RETRY);
    }

    /// Passes an input of a connection or an invocation to the consumer.
    pub(super) fn apply(&mut self, input: Input) {
        let now = self.router.now();
        let is_present = |number: u64| self.connection.as_ref().is_some_and(|c| c.number == number);
        match input {
            Input::Connected(stream) => {
                self.connecting = None;
                match stream {
                    Ok(stream) => self.connected(stream),
                    Err(fault) => {
                        warn!(broker = %self.section.broker, %fault, "broker unreachable");
                        self.connect_later();
                    }
                }
            }
            Input::Packet(number, packet) if is_present(number) => {
                let deployment = self.deployment_in_force();
                if let Err(ended) = self.consumer.received(now, packet, &deployment) {
                    self.lost(&ended.to_string());
                }
            }
            Input::Lost(number, why) if is_present(number) => self.lost(&why.to_string()),
            Input::Packet(..) | Input::Lost(..) | Input::OutboxDrained => {}
            Input::InvocationEnded(message_number, answer) => {
                self.invocations.remove(&message_number);
                self.consumer.invocation_ended(now, message_number, answer);
            }
        }
    }

    /// Passes a result of the journal to the consumer.
    pub(super) fn apply_journal_result(&mut self, result: JournalResult) {
        let now = self.router.now();
        match result {
            JournalResult::Appended(succeeded) => self.consumer.journal_appended(now, succeeded),
            JournalResult::Replaced(succeeded) => self.consumer.journal_replaced(now, succeeded),
        }
    }

    /// The deployment of the revision in force, with trigger types at the positions that the rules refer to.
    fn deployment_in_force(&mut self) -> Rc<Deployment> {
        let revision = self.router.revision();
        if self.in_force.revision != revision.number {
            let deployment = Rc::new(revision.aligned_to(&self.router.deployment));
            self.in_force = DeploymentInForce {
                revision: revision.number,
                deployment,
            };
        }
        self.in_force.deployment.clone()
    }

    fn perform(&mut self) {
        while let Some(action) = self.consumer.next_action() {
            match action {
                HostAction::Append(entry) => self.append(entry),
                HostAction::Replace(snapshot) => self.replace(snapshot),
                HostAction::Invoke(message_number) => self.invoke(message_number),
                HostAction::Cancel(message_number) => {
                    self.invocations.remove(&message_number);
                }
            }
        }
        while let Some(notice) = self.consumer.next_notice() {
            self.log(notice);
        }
        self.send_packets();
    }

    fn append(&mut self, entry: Vec<u8>) {
        let results = self.journal_results.clone();
        let done = move |appended: io::Result<()>| {
            if let Err(fault) = &appended {
                error!(%fault, "journal append failed");
            }
            // There is no receiver once the front end has ended.
            let _ = results.send_blocking(JournalResult::Appended(appended.is_ok()));
        };
        if self.journal.append(entry, done).is_err() {
            // The thread has died: the queue can hold an entry of every message in flight, so it is never full.
            self.consumer.journal_appended(self.router.now(), false);
        }
    }

    fn replace(&mut self, snapshot: Vec<u8>) {
        let results = self.journal_results.clone();
        let done = move |replaced: io::Result<()>| {
            if let Err(fault) = &replaced {
                error!(%fault, "journal snapshot failed");
            }
            let _ = results.send_blocking(JournalResult::Replaced(replaced.is_ok()));
        };
        if self.journal.replace(snapshot, done).is_err() {
            self.consumer.journal_replaced(self.router.now(), false);
        }
    }

    fn invoke(&mut self, message_number: u64) {
        let Some(message) = self.consumer.message(message_number).cloned() else {
            return;
        };
        let ready_by = self.consumer.reply_deadline(message_number);
        let (router, inputs) = (self.router.clone(), self.inputs.clone());
        let work = async move {
            let answer = invoke(router, message, ready_by).await;
            let _ = inputs
                .send(Input::InvocationEnded(message_number, answer))
                .await;
        };
        self.invocations
            .extend(self.router.spawn(work).map(|task| (message_number, task)));
    }

    fn log(&mut self, notice: Notice) {
        match notice {
            Notice::Connected { session_present } => {
                self.retry_after = FIRST_RETRY;
                info!(broker = %self.section.broker, session_present, "connected to the broker");
            }
            Notice::SubscriptionsRejected(filters) => {
                error!(?filters, "broker rejected subscriptions")
            }
            Notice::DeadLettered { topic, reason: why } => {
                warn!(topic, why, "message dead-lettered to the set-aside topic")
            }
            Notice::NotPublished { topic, code } => {
                warn!(topic, ?code, "broker rejected a response")
            }
            Notice::JournalFailed => {
                self.journal_works = false;
                error!("journal can't be written: no messages are accepted until it can");
            }
            Notice::JournalRecovered => {
                self.journal_works = true;
                info!("journal writable again");
            }
        }
    }

    fn send_packets(&mut self) {
        let Some(connection) = &self.connection else {
            return;
        };
        let mut bytes = connection.outbox.bytes.borrow_mut();
        while bytes.len() < MAX_OUTBOX_BYTES
            && let Some(packet) = self.consumer.next_packet()
        {
            match encode(&packet, self.section.version) {
                Ok(encoded) => bytes.extend_from_slice(&encoded),
                Err(fault) => error!(%fault, "packet can't be encoded"),
            }
        }
        if !bytes.is_empty() {
            // A full channel has woken it already.
            let _ = connection.wake.try_send(());
        }
    }

    fn report(&self) {
        let (in_hand, waiting) = self.consumer.backlog();
        self.router.triggers.set(Some(TriggerStatus {
            counters: self.consumer.counters(),
            connected: self.consumer.is_connected(),
            in_hand,
            waiting,
            journal_works: self.journal_works,
        }));
    }

    /// Disconnects from the broker in order.
    pub(super) async fn close(mut self) {
        self.consumer.disconnect(self.router.now());
        self.perform();
        let Some(connection) = self.connection.take() else {
            return;
        };
        connection.outbox.ended.set(true);
        let _ = connection.wake.try_send(());
        let [_, write] = connection._tasks;
        if let Some(write) = write {
            let _ = orchidtally_socket_io::with_timeout(CLOSE_TIME, write).await;
        }
    }
}
