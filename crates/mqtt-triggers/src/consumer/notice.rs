//! Notices and counters of a consumer for operators.

use serde::Serialize;

/// An event that is reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The broker has accepted the connection.
    Connected {
        /// Whether the broker has kept the session.
        session_present: bool,
    },
    /// The broker rejected the subscriptions to these filters, with these reason codes.
    SubscriptionsRejected(Vec<(String, u8)>),
    /// A message became a dead letter.
    DeadLettered {
        /// The topic of the message.
        topic: String,
        /// The reason.
        reason: String,
    },
    /// An answer or a dead letter could not be published.
    NotPublished {
        /// The topic of the message's answer; empty if it has none.
        topic: String,
        /// The reason code with which the broker rejected it; `None` if the session rejected it before it was sent.
        code: Option<u8>,
    },
    /// The journal can't be written. No message is admitted until it can.
    JournalFailed,
    /// The journal can be written again.
    JournalRecovered,
}

/// Counters of message outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Counters {
    /// Deliveries from the broker, including redeliveries.
    pub delivered: u64,
    /// Retained messages among the deliveries. They describe a state and not an event, so that nothing is invoked for
    /// them.
    pub retained: u64,
    /// Messages that were admitted.
    pub invoked: u64,
    /// Messages answered as throttled without an invocation because they could not be answered in time.
    pub given_up: u64,
    /// Messages that became dead letters.
    pub set_aside: u64,
    /// Answers that the broker accepted.
    pub answered: u64,
    /// Answers with an unknown outcome.
    pub unknown: u64,
    /// Answers and dead letters that could not be published.
    pub not_published: u64,
    /// QoS 0 messages that were dropped because the queue was full.
    pub dropped: u64,
}
