//! What the ledger's journal holds: messages, their answers, and the steps that were taken for them.
//!
//! Records are stored as JSON. Their names are part of the journal's format.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::rc::Rc;

/// Whether the invocation of a message may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Idempotency {
    /// Running again is harmless: the message may be dispatched before this front end owns it, and again after a
    /// crash.
    Idempotent,
    /// Running again under the message's idempotency key is harmless until the key is forgotten (seconds since 1970). The
    /// message is dispatched once this front end owns it: the executors of another one may not know the token.
    #[serde(rename = "tokened")]
    Keyed {
        /// When the key is forgotten, in seconds since 1970.
        #[serde(rename = "until")]
        expires_at: f64,
    },
    /// The message is dispatched once, after this front end owns it.
    NonIdempotent,
}

/// The final answer to a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    rename_all = "camelCase",
    rename_all_fields = "camelCase",
    tag = "what"
)]
pub enum Answer {
    /// The invocation succeeded with this response.
    Succeeded {
        /// The payload.
        #[serde(with = "base64_bytes")]
        payload: Bytes,
    },
    /// There was no capacity in time; nothing has run.
    #[serde(rename = "throttled")]
    Rejected,
    /// The invocation failed.
    #[serde(rename = "errored")]
    Failed {
        /// The reason, for the publisher.
        #[serde(rename = "why")]
        reason: String,
        /// Whether the function may have run.
        may_have_run: bool,
    },
    /// The front end crashed after the dispatch: whether the function ran is not known.
    Unknown,
    /// The message can never become an invocation, or it was delivered too often without coming to an end; nothing has
    /// run for it.
    #[serde(rename = "setAside")]
    DeadLettered {
        /// The reason, for the publisher and the operator.
        #[serde(rename = "why")]
        reason: String,
    },
}

impl Answer {
    pub(super) fn is_dead_lettered(&self) -> bool {
        matches!(self, Answer::DeadLettered { .. })
    }
}

/// Bytes as a text in base64.
pub(crate) mod base64_bytes {
    use super::*;

    pub fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(text)
            .map(Bytes::from)
            .map_err(serde::de::Error::custom)
    }
}

/// Where an answer is published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The topic.
    pub topic: String,
    /// The correlation data of the message; empty if it has none.
    #[serde(
        with = "base64_bytes",
        default,
        skip_serializing_if = "Bytes::is_empty"
    )]
    pub correlation: Bytes,
}

/// What a message invokes, by names that outlive a change of the deployment file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct InvocationTarget {
    /// The name of the function.
    pub function: String,
    /// The name of the trigger type.
    pub trigger_type: String,
    /// The name of the customer; empty where the deployment has none.
    pub customer: String,
    /// The idempotency token; empty where the trigger type has none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub token: String,
}

/// A message as the journal keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StoredMessage {
    /// The name of the invocation.
    pub name: String,
    /// The topic to which the message was published.
    pub topic: String,
    /// The payload.
    #[serde(with = "base64_bytes")]
    pub payload: Bytes,
    /// Where the answer goes; `None` where nobody wants one.
    pub reply: Option<Reply>,
    /// What the message invokes.
    #[serde(rename = "work")]
    pub target: InvocationTarget,
    /// When the publisher gives up, in seconds since 1970.
    #[serde(rename = "until")]
    pub expires_at: f64,
}

/// An entry of the journal. Entries are read in the order in which they were written. The id of a
/// message is unique within the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "what")]
pub enum Record {
    /// The message was accepted.
    #[serde(rename = "taken")]
    Accepted {
        /// The id of the message.
        #[serde(rename = "n")]
        message_id: u64,
        /// Whether its invocation may run more than once.
        #[serde(rename = "effect")]
        idempotency: Idempotency,
        /// The packet identifier of its delivery; `None` with QoS 0.
        #[serde(rename = "packet")]
        packet_id: Option<u16>,
        /// Whether the delivery has QoS 2, with which the broker says what it has received.
        #[serde(rename = "confirms")]
        is_qos2: bool,
        /// How often the message has been delivered.
        #[serde(rename = "times")]
        delivery_count: u32,
        /// The message itself.
        #[serde(rename = "held")]
        stored: Rc<StoredMessage>,
        /// The answer, where nothing is dispatched for the message.
        answer: Option<Answer>,
    },
    /// The broker delivers the message to nobody else.
    Owned {
        /// The id of the message.
        #[serde(rename = "n")]
        message_id: u64,
    },
    /// The message is dispatched again after a crash.
    #[serde(rename = "again")]
    Retrying {
        /// The id of the message.
        #[serde(rename = "n")]
        message_id: u64,
    },
    /// The dispatch of a non-idempotent message follows.
    Dispatching {
        /// The id of the message.
        #[serde(rename = "n")]
        message_id: u64,
    },
    /// The message has its final answer.
    Answered {
        /// The id of the message.
        #[serde(rename = "n")]
        message_id: u64,
        /// The final answer.
        answer: Answer,
    },
    /// The answer is published under this packet identifier.
    Publishing {
        /// The id of the message.
        #[serde(rename = "n")]
        message_id: u64,
        /// The packet identifier of the answer.
        id: u16,
    },
    /// The broker has recorded the answer: only its release is sent again.
    Released {
        /// The id of the message.
        #[serde(rename = "n")]
        message_id: u64,
    },
    /// Nothing is left to be done for the message.
    Done {
        /// The id of the message.
        #[serde(rename = "n")]
        message_id: u64,
    },
}

impl Record {
    /// The id of the message.
    pub(super) fn message_id(&self) -> u64 {
        let (Record::Accepted { message_id, .. }
        | Record::Owned { message_id }
        | Record::Retrying { message_id }
        | Record::Dispatching { message_id }
        | Record::Answered { message_id, .. }
        | Record::Publishing { message_id, .. }
        | Record::Released { message_id }
        | Record::Done { message_id }) = *self;
        message_id
    }
}
