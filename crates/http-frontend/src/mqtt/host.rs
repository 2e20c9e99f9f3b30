//! Performs the actions of a consumer: packets, journal entries and invocations.

use super::connection::{
    BrokerStream, Connection, Input, MAX_OUTBOX_BYTES, Outbox, connect, read_packets, write_outbox,
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

/// The delay before the first reconnect attempt, in seconds. Each delay is multiplied by a random factor between 0.5
/// and 1.5.
const INITIAL_RETRY_DELAY: f64 = 0.1;
/// The longest delay between two attempts, in seconds.
const MAX_RETRY_DELAY: f64 = 5.0;
/// The timeout of sending the last packets at shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

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
    settings: Rc<TriggerSettings>,
    pub(super) consumer: Consumer,
    journal: GroupCommit,
    inputs: async_channel::Sender<Input>,
    journal_results: async_channel::Sender<JournalResult>,
    connection: Option<Connection>,
    connecting: Option<Task<()>>,
    connection_count: u64,
    reconnect_at: f64,
    retry_delay: f64,
    invocations: HashMap<u64, Task<()>>,
    journal_works: bool,
    tls_files: TlsFiles,
    in_force: DeploymentInForce,
}

impl ConsumerHost {
    pub(super) fn new(
        router: Rc<Router>,
        settings: Rc<TriggerSettings>,
        consumer: Consumer,
        journal: GroupCommit,
        inputs: async_channel::Sender<Input>,
        journal_results: async_channel::Sender<JournalResult>,
    ) -> ConsumerHost {
        let now = router.now();
        ConsumerHost {
            tls_files: TlsFiles::new(&settings, now),
            in_force: DeploymentInForce {
                revision: 1,
                deployment: router.deployment.clone(),
            },
            router,
            settings,
            consumer,
            journal,
            inputs,
            journal_results,
            connection: None,
            connecting: None,
            connection_count: 0,
            reconnect_at: now,
            retry_delay: INITIAL_RETRY_DELAY,
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
        let reconnect_at = if is_idle {
            self.reconnect_at
        } else {
            f64::INFINITY
        };
        self.consumer.next_tick_at().min(reconnect_at)
    }

    /// Runs due timers, reconnects if that is due, and performs the pending actions.
    pub(super) fn tick(&mut self) {
        let now = self.router.now();
        if let Err(ended) = self.consumer.tick(now) {
            self.on_connection_lost(&ended.to_string());
        }
        if self.connection.is_none() && self.connecting.is_none() && now >= self.reconnect_at {
            self.start_connecting();
        }
        self.check_tls_files(now);
        self.perform_actions();
        self.update_status();
    }

    /// Ends a connection whose certificates were replaced; the next one uses the new ones.
    fn check_tls_files(&mut self, now: f64) {
        let is_due = self.tls_files.is_check_due(now);
        if is_due && self.connection.is_some() && self.tls_files.have_changed() {
            info!("TLS files changed, reconnecting");
            self.consumer.disconnect(now);
            self.perform_actions();
            self.connection = None;
            self.consumer.connection_lost();
            self.reconnect_at = now;
        }
    }

    fn start_connecting(&mut self) {
        self.tls_files.record_modification_time();
        let (settings, inputs) = (self.settings.clone(), self.inputs.clone());
        let work = async move {
            let connected = connect(&settings).await;
            // There is no receiver once the front end has ended.
            let _ = inputs.send(Input::Connected(connected)).await;
        };
        self.connecting = self.router.spawn(work);
    }

    fn on_connected(&mut self, stream: Box<dyn BrokerStream>) {
        self.connection_count += 1;
        let number = self.connection_count;
        let (reader, writer) = futures_lite::io::split(stream);
        let (wake, woken) = async_channel::bounded(1);
        let outbox = Rc::new(Outbox::default());
        let read = self.router.spawn(read_packets(
            reader,
            number,
            self.settings.clone(),
            self.inputs.clone(),
        ));
        let write = self.router.spawn(write_outbox(
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

    fn on_connection_lost(&mut self, why: &str) {
        let Some(_) = self.connection.take() else {
            return;
        };
        warn!(broker = %self.settings.broker, why, "broker connection lost");
        self.consumer.connection_lost();
        self.schedule_reconnect();
    }

    fn schedule_reconnect(&mut self) {
        self.reconnect_at = self.router.now() + self.retry_delay * (0.5 + rand::random::<f64>());
        self.retry_delay = (2.0 * self.retry_delay).min(MAX_RETRY_DELAY);
    }

    /// Passes an input of a connection or an invocation to the consumer.
    pub(super) fn apply(&mut self, input: Input) {
        let now = self.router.now();
        let is_current = |number: u64| self.connection.as_ref().is_some_and(|c| c.number == number);
        match input {
            Input::Connected(stream) => {
                self.connecting = None;
                match stream {
                    Ok(stream) => self.on_connected(stream),
                    Err(fault) => {
                        warn!(broker = %self.settings.broker, %fault, "broker unreachable");
                        self.schedule_reconnect();
                    }
                }
            }
            Input::Packet(number, packet) if is_current(number) => {
                let deployment = self.deployment_in_force();
                if let Err(ended) = self.consumer.received(now, packet, &deployment) {
                    self.on_connection_lost(&ended.to_string());
                }
            }
            Input::Disconnected(number, why) if is_current(number) => {
                self.on_connection_lost(&why.to_string())
            }
            Input::Packet(..) | Input::Disconnected(..) | Input::OutboxDrained => {}
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

    fn perform_actions(&mut self) {
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
            // The journal's thread has died. The queue is never full, as it has space for the entries of all messages
            // in flight.
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
        if self.journal.snapshot(snapshot, done).is_err() {
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
                self.retry_delay = INITIAL_RETRY_DELAY;
                info!(broker = %self.settings.broker, session_present, "connected to the broker");
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
            match encode(&packet, self.settings.version) {
                Ok(encoded) => bytes.extend_from_slice(&encoded),
                Err(fault) => error!(%fault, "packet can't be encoded"),
            }
        }
        if !bytes.is_empty() {
            // A full channel already wakes the writer.
            let _ = connection.wake.try_send(());
        }
    }

    fn update_status(&self) {
        let (in_flight, waiting) = self.consumer.backlog();
        self.router.triggers.set(Some(TriggerStatus {
            counters: self.consumer.counters(),
            connected: self.consumer.is_connected(),
            in_flight,
            waiting,
            journal_works: self.journal_works,
        }));
    }

    /// Sends the last packets and closes the connection to the broker.
    pub(super) async fn close(mut self) {
        self.consumer.disconnect(self.router.now());
        self.perform_actions();
        let Some(connection) = self.connection.take() else {
            return;
        };
        connection.outbox.is_closing.set(true);
        let _ = connection.wake.try_send(());
        let [_, write] = connection._tasks;
        if let Some(write) = write {
            let _ = orchidtally_socket_io::with_timeout(CLOSE_TIMEOUT, write).await;
        }
    }
}
