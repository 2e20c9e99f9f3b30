//! The journal records of the ledger: messages, their answers, and the steps completed for them.
//!
//! Records are stored as JSON. The serialized names are part of the journal's format.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::rc::Rc;

/// Whether the invocation of a message may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Idempotency {
    /// Repeated execution is harmless: the message may be dispatched before this front end owns it, and again after a
    /// crash.
    Idempotent,
    /// Repeated execution under the message's idempotency key is harmless until the key expires. The message is
    /// dispatched only after this front end owns it, as the executors of another front end may not know the key.
    #[serde(rename = "tokened")]
    Keyed {
        /// The time at which the key expires, in seconds since 1970.
        #[serde(rename = "until")]
        expires_at: f64,
    },
    /// The message is dispatched at most once, after this front end owns it.
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
    /// There was no capacity in time. The function has not run.
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
    /// The message can never be invoked, or it was delivered too often without an answer. It is published as a dead
    /// letter and not dispatched again.
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

/// Serializes bytes as a base64 string.
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

/// The destination of an answer.
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

/// The target of an invocation, by names, which stay valid when the deployment file changes.
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

/// A message as stored in the journal.
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
    /// The destination of the answer; `None` if no answer is published.
    pub reply: Option<Reply>,
    /// The target of the invocation.
    #[serde(rename = "work")]
    pub target: InvocationTarget,
    /// The time at which the publisher gives up, in seconds since 1970.
    #[serde(rename = "until")]
    pub expires_at: f64,
}

/// A journal record. Records are read in the order in which they were written. The id of a message is unique within
/// the journal.
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
        /// Whether the delivery has QoS 2, with which the broker confirms each acknowledgement.
        #[serde(rename = "confirms")]
        is_qos2: bool,
        /// How often the message has been delivered.
        #[serde(rename = "times")]
        delivery_count: u32,
        /// The message itself.
        #[serde(rename = "held")]
        stored: Rc<StoredMessage>,
        /// The answer, if nothing is dispatched for the message.
        answer: Option<Answer>,
    },
    /// The front end owns the message: the broker does not deliver it to any other.
    Owned {
        /// The id of the message.
        #[serde(rename = "n")]
        message_id: u64,
    },
    /// The message is about to be dispatched again after a crash.
    #[serde(rename = "again")]
    Retrying {
        /// The id of the message.
        #[serde(rename = "n")]
        message_id: u64,
    },
    /// A non-idempotent message is about to be dispatched.
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
    /// The answer is about to be published under this packet identifier.
    Publishing {
        /// The id of the message.
        #[serde(rename = "n")]
        message_id: u64,
        /// The packet identifier of the answer.
        id: u16,
    },
    /// The broker has recorded the answer (PUBREC). After a crash only the PUBREL is sent again.
    Released {
        /// The id of the message.
        #[serde(rename = "n")]
        message_id: u64,
    },
    /// The message is completed.
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
