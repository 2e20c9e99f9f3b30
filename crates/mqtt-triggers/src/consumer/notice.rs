//! What operators hear of a consumer.

use serde::Serialize;

/// An occurrence that an operator should hear of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The broker has accepted the connection.
    Connected {
        /// Whether the broker has kept the session.
        session_present: bool,
    },
    /// The broker refused these filters, with these reason codes.
    SubscriptionsRejected(Vec<(String, u8)>),
    /// A message was set aside.
    DeadLettered {
        /// The topic of the message.
        topic: String,
        /// The reason.
        reason: String,
    },
    /// An answer was not published.
    NotPublished {
        /// The topic of the answer.
        topic: String,
        /// The reason code with which the broker refused it; `None` where the broker would never take it.
        code: Option<u8>,
    },
    /// The journal can't be written: no message is admitted until it can.
    JournalFailed,
    /// The journal can be written again.
    JournalRecovered,
}

/// Counts of what has happened to messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Counters {
    /// Messages that the broker has delivered.
    pub delivered: u64,
    /// Retained messages among them: they state how things are, not what has happened, and nothing is invoked for
    /// them.
    pub retained: u64,
    /// Messages that were admitted.
    pub invoked: u64,
    /// Messages that were answered as throttled because they could not be answered in time.
    pub given_up: u64,
    /// Messages that were set aside.
    pub set_aside: u64,
    /// Answers that the broker has taken.
    pub answered: u64,
    /// Answers that say that the outcome is not known.
    pub unknown: u64,
    /// Answers that the broker did not take.
    pub not_published: u64,
    /// Messages of QoS 0 that were dropped because too many waited.
    pub dropped: u64,
}
