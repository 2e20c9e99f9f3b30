//! A front end's message consumer as a state machine without I/O.
//!
//! The consumer combines the broker session, the trigger rules, admission and the ledger. Its inputs are packets,
//! answers, results of journal writes and the time; its outputs are packets, journal entries and invocations. Because it
//! does no I/O, tests run the same code against a simulated disk and network. Times are in seconds since 1970.

mod actions;
mod delivery_numbers;
mod events;
mod intake;
mod journal_writer;
mod notice;
mod reply;

pub use notice::{Counters, Notice};

use crate::admission::AdmissionQueue;
use crate::ledger::{Answer, Ledger, Record, StoredMessage};
use crate::rules::Rules;
use crate::settings::TriggerSettings;
use actions::Publication;
use bytes::Bytes;
use delivery_numbers::DeliveryNumbers;
use intake::{PendingMessage, PoisonMessage};
use journal_writer::JournalWriter;
use orchidtally_deployment::Deployment;
use orchidtally_mqtt::packet::{Packet, Version};
use orchidtally_mqtt::session::{ConnectionError, Delivery, Session};
use std::collections::{BTreeMap, VecDeque};

/// The maximum time between two admission decisions while messages wait, in seconds.
const DECISION_INTERVAL: f64 = 0.02;
/// The maximum number of waiting deliveries with MQTT 3.1.1, as a multiple of the configured receive maximum. That
/// version can't announce a receive maximum, so that the broker may exceed it.
const UNANNOUNCED_RECEIVE_FACTOR: usize = 4;

/// An action that the host has to perform, in the order in which the consumer returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum HostAction {
    /// Append an entry to the journal and pass the result to `Consumer::journal_appended`, in the same order.
    Append(Vec<u8>),
    /// Replace the content of the journal and pass the result to `Consumer::journal_replaced`.
    Replace(Vec<u8>),
    /// Invoke the function for the message with this id and pass the final answer to `Consumer::invocation_ended`.
    Invoke(u64),
    /// Cancel the open invocation of the message with this id. Its answer is ignored.
    Cancel(u64),
}

/// A front end's message consumer.
pub struct Consumer {
    rules: Rules,
    version: Version,
    /// The topic to which dead letters are published.
    dead_letter_topic: Option<String>,
    reassigns_unacknowledged: bool,
    reply_margin: f64,
    session: Session,
    admission: AdmissionQueue,
    ledger: Ledger,
    journal: JournalWriter,
    /// Deliveries that wait for admission, by message id.
    pending: BTreeMap<u64, PendingMessage>,
    /// Deliveries that can never be invoked.
    poison_messages: VecDeque<PoisonMessage>,
    /// Deliveries that arrive between the connection and the end of the broker's redeliveries; `None` after that.
    deferred_deliveries: Option<Vec<Delivery>>,
    session_present: bool,
    deliveries: DeliveryNumbers,
    /// Messages that are being published, by session token.
    publications: BTreeMap<u64, Publication>,
    /// Ids of messages whose answers wait for a free packet identifier.
    waiting_for_reply_id: VecDeque<u64>,
    host_actions: VecDeque<HostAction>,
    notices: VecDeque<Notice>,
    is_draining: bool,
    next_decision_at: f64,
    counters: Counters,
}

impl Consumer {
    /// Creates a consumer that is not connected yet. `index` is the index of the front end, and `records` is the
    /// content of its journal.
    pub fn new(
        settings: &TriggerSettings,
        deployment: &Deployment,
        index: u32,
        password: Option<Bytes>,
        records: &[Record],
        now: f64,
    ) -> Consumer {
        let mut options = settings.session_options(index);
        options.password = password;
        let (ledger, actions) = Ledger::recover(records, settings.max_deliveries, now);
        let receive_maximum = usize::from(settings.receive_maximum);
        let max_waiting = match settings.version {
            Version::V5 => receive_maximum,
            Version::V311 => UNANNOUNCED_RECEIVE_FACTOR * receive_maximum,
        };
        let mut consumer = Consumer {
            rules: settings.rules.clone(),
            version: settings.version,
            dead_letter_topic: settings.dead_letter_topic.clone(),
            reassigns_unacknowledged: settings.reassigns_unacknowledged,
            reply_margin: settings.reply_margin,
            session: Session::new(options),
            admission: AdmissionQueue::new(
                deployment.trigger_types.len(),
                settings.max_in_flight,
                max_waiting,
            ),
            ledger,
            journal: JournalWriter::new(settings.max_journal_bytes),
            pending: BTreeMap::new(),
            poison_messages: VecDeque::new(),
            deferred_deliveries: None,
            session_present: false,
            deliveries: DeliveryNumbers::default(),
            publications: BTreeMap::new(),
            waiting_for_reply_id: VecDeque::new(),
            host_actions: VecDeque::new(),
            notices: VecDeque::new(),
            is_draining: false,
            next_decision_at: now,
            counters: Counters::default(),
        };
        for (message_id, packet) in consumer.ledger.unconfirmed().collect::<Vec<_>>() {
            let delivery = consumer.session.restore_received(packet);
            consumer.deliveries.insert(message_id, delivery);
        }
        consumer.perform(now, actions);
        consumer
    }

    /// The MQTT protocol version of the connection.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Whether the broker has accepted the connection.
    pub fn is_connected(&self) -> bool {
        self.session.is_connected()
    }

    /// Takes the next packet to send to the broker.
    pub fn next_packet(&mut self) -> Option<Packet> {
        self.session.next_packet()
    }

    /// Takes the next action for the host.
    pub fn next_action(&mut self) -> Option<HostAction> {
        self.host_actions.pop_front()
    }

    /// Takes the next notice for the operator.
    pub fn next_notice(&mut self) -> Option<Notice> {
        self.notices.pop_front()
    }

    /// Returns an admitted message by its id; `None` once it is completed.
    pub fn message(&self, message_id: u64) -> Option<&StoredMessage> {
        self.ledger.message(message_id)
    }

    /// The time at which the answer to a message has to be ready.
    pub fn reply_deadline(&self, message_id: u64) -> f64 {
        self.ledger.expires_at(message_id) - self.reply_margin
    }

    /// Counters since the consumer was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The number of messages in the ledger, and the number of messages that wait for admission.
    pub fn backlog(&self) -> (usize, usize) {
        (self.ledger.len(), self.pending.len())
    }

    /// Starts the session on a connection that the host has opened to the broker.
    pub fn connect(&mut self, now: f64) {
        self.session.connect(now);
    }

    /// Handles the loss of the connection. Messages that were not admitted are dropped: the broker redelivers them.
    pub fn connection_lost(&mut self) {
        self.session.connection_lost();
        self.deferred_deliveries = None;
        let pending = std::mem::take(&mut self.pending).into_keys();
        let poison = self
            .poison_messages
            .drain(..)
            .map(|message| message.message_id);
        for message_id in pending.chain(poison) {
            self.deliveries.remove(message_id);
        }
        self.admission.clear_waiting();
    }

    /// Stops the admission of messages; the admitted ones are completed.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Sends a DISCONNECT.
    pub fn disconnect(&mut self, now: f64) {
        self.session.disconnect(now);
    }

    /// Handles the final answer of a message's invocation.
    pub fn invocation_ended(&mut self, now: f64, message_id: u64, answer: Answer) {
        self.admission
            .finished(now, message_id, answer == Answer::Rejected);
        let actions = self.ledger.invocation_ended(message_id, answer);
        self.perform(now, actions);
        self.decide(now);
    }

    /// The time at which `tick` has to be called next.
    pub fn next_tick_at(&self) -> f64 {
        let must_decide = !self.pending.is_empty()
            || !self.poison_messages.is_empty()
            || self.journal.is_failing();
        let decision_at = if must_decide {
            self.next_decision_at
        } else {
            f64::INFINITY
        };
        self.session.next_tick_at().min(decision_at)
    }

    /// Performs the actions that are due: snapshots, admission and keep alive. After an error the connection has to be
    /// closed.
    pub fn tick(&mut self, now: f64) -> Result<(), ConnectionError> {
        if self.journal.is_snapshot_due(now) {
            let snapshot = self.journal.begin_snapshot(self.ledger.snapshot());
            self.host_actions.push_back(HostAction::Replace(snapshot));
        }
        self.decide(now);
        self.session.tick(now)
    }
}
