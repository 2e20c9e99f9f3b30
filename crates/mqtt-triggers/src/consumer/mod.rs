//! A front end's consumer of messages as a state machine without I/O.
//!
//! It joins the session with the broker, the trigger rules, admission and the ledger. Packets, answers, results of
//! the journal and the time come in; packets, entries for the journal and invocations go out. As it does no I/O, the
//! same code is tested against a simulated disk and network. Times are in seconds since 1970.

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

/// The longest time between two decisions while messages wait, in seconds.
const DECISION_INTERVAL: f64 = 0.02;
/// The most deliveries that wait, as a multiple of the receive maximum, where the broker is not told of it: version
/// 3.1.1 has no receive maximum.
const UNANNOUNCED_RECEIVE_FACTOR: usize = 4;

/// What the host has to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum HostAction {
    /// Append an entry to the journal. Results are passed to `Consumer::journal_appended` in the same order.
    Append(Vec<u8>),
    /// Replace all that the journal holds. The result is passed to `Consumer::journal_replaced`.
    Replace(Vec<u8>),
    /// Invoke for a message. The final answer is passed to `Consumer::invocation_ended`.
    Invoke(u64),
    /// Cancel an invocation that is still open. Its answer is not passed on.
    Cancel(u64),
}

/// A front end's consumer of messages.
pub struct Consumer {
    rules: Rules,
    version: Version,
    /// The topic to which messages that are set aside are copied.
    dead_letter_topic: Option<String>,
    reassigns_unacknowledged: bool,
    reply_margin: f64,
    session: Session,
    admission: AdmissionQueue,
    ledger: Ledger,
    journal: JournalWriter,
    /// Deliveries that wait to be admitted, by message number.
    pending: BTreeMap<u64, PendingMessage>,
    /// Deliveries that can never become invocations.
    poison_messages: VecDeque<PoisonMessage>,
    /// Deliveries that arrived since the connection was made, until the broker has sent again what it had to.
    deferred_deliveries: Option<Vec<Delivery>>,
    session_present: bool,
    deliveries: DeliveryNumbers,
    /// What is being published, by the session's token.
    publications: BTreeMap<u64, Publication>,
    /// Messages whose answers wait for a free packet identifier.
    waiting_for_reply_id: VecDeque<u64>,
    host_actions: VecDeque<HostAction>,
    notices: VecDeque<Notice>,
    is_draining: bool,
    next_decision_at: f64,
    counters: Counters,
}

impl Consumer {
    /// A consumer that is not connected yet. `index` is the front end's, `records` are what its journal holds.
    pub fn new(
        section: &TriggerSettings,
        deployment: &Deployment,
        index: u32,
        password: Option<Bytes>,
        records: &[Record],
        now: f64,
    ) -> Consumer {
        let mut options = section.session_options(index);
        options.password = password;
        let (ledger, actions) = Ledger::recover(records, section.max_deliveries, now);
        let receive_maximum = usize::from(section.receive_maximum);
        let max_waiting = match section.version {
            Version::V5 => receive_maximum,
            Version::V311 => UNANNOUNCED_RECEIVE_FACTOR * receive_maximum,
        };
        let mut consumer = Consumer {
            rules: section.rules.clone(),
            version: section.version,
            dead_letter_topic: section.dead_letter_topic.clone(),
            reassigns_unacknowledged: section.reassigns_unacknowledged,
            reply_margin: section.reply_margin,
            session: Session::new(options),
            admission: AdmissionQueue::new(
                deployment.trigger_types.len(),
                section.max_in_flight,
                max_waiting,
            ),
            ledger,
            journal: JournalWriter::new(section.max_journal_bytes),
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

    /// The protocol version that is spoken with the broker.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Whether the broker has accepted the connection.
    pub fn is_connected(&self) -> bool {
        self.session.is_connected()
    }

    /// The next packet to send to the broker.
    pub fn next_packet(&mut self) -> Option<Packet> {
        self.session.next_packet()
    }

    /// The next action for the host.
    pub fn next_action(&mut self) -> Option<HostAction> {
        self.host_actions.pop_front()
    }

    /// The next notice for the operator.
    pub fn next_notice(&mut self) -> Option<Notice> {
        self.notices.pop_front()
    }

    /// A message in hand by its number.
    pub fn message(&self, message_id: u64) -> Option<&StoredMessage> {
        self.ledger.message(message_id)
    }

    /// When the answer to a message has to be ready.
    pub fn reply_deadline(&self, message_id: u64) -> f64 {
        self.ledger.expires_at(message_id) - self.reply_margin
    }

    /// What has happened so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The number of messages in hand, and of those that wait to be admitted.
    pub fn backlog(&self) -> (usize, usize) {
        (self.ledger.len(), self.pending.len())
    }

    /// The host has opened a connection to the broker.
    pub fn connect(&mut self, now: f64) {
        self.session.connect(now);
    }

    /// The connection is gone. The broker gives again what was not admitted.
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

    /// From now on no message is admitted; those in hand come to their end.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Ends the connection in order.
    pub fn disconnect(&mut self, now: f64) {
        self.session.disconnect(now);
    }

    /// The final answer of a message's invocation.
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

    /// Does what is due. After an error the connection has to be closed.
    pub fn tick(&mut self, now: f64) -> Result<(), ConnectionError> {
        if self.journal.is_snapshot_due(now) {
            let snapshot = self.journal.begin_snapshot(self.ledger.snapshot());
            self.host_actions.push_back(HostAction::Replace(snapshot));
        }
        self.decide(now);
        self.session.tick(now)
    }
}
