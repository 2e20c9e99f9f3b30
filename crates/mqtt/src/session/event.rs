//! Events and errors that a session reports to its host.

use crate::packet::{Properties, Qos};
use bytes::Bytes;

/// A message from the server. The host acknowledges it by its number, if it has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The delivery number for `Session::acknowledge`; `None` with QoS 0.
    pub number: Option<u64>,
    /// The packet identifier; 0 with QoS 0.
    pub id: u16,
    /// The topic to which the message was published.
    pub topic: String,
    /// The payload.
    pub payload: Bytes,
    /// The quality of service of the delivery.
    pub qos: Qos,
    /// Whether the server marks the delivery as a possible duplicate. An unmarked delivery may be a duplicate too.
    pub dup: bool,
    /// Whether it is a retained message, sent because of a new subscription.
    pub retained: bool,
    /// The properties; empty in version 3.1.1.
    pub properties: Properties,
}

/// An event of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The server has accepted the connection.
    Connected {
        /// Whether the server has kept the session.
        session_present: bool,
    },
    /// The server has answered the SUBSCRIBE.
    Subscribed {
        /// The rejected filters with their reason codes.
        refused: Vec<(String, u8)>,
    },
    /// A message was delivered.
    Delivered(Delivery),
    /// The server has received the acknowledgement of a delivery: it does not deliver that message again.
    Confirmed {
        /// The number of the delivery.
        number: u64,
    },
    /// The server has sent all redeliveries of a new connection.
    Resumed,
    /// The server has recorded a message of `Session::publish_with_id` (PUBREC). The host has to release it.
    Recorded {
        /// The token of the message.
        token: u64,
    },
    /// The server has acknowledged or rejected a published message.
    Published {
        /// The token of the message.
        token: u64,
        /// The reason code; the message was rejected if it is `reason_code::FAILURE` or higher.
        code: u8,
    },
}

/// The reason why a connection has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectionError {
    /// The server refused the connection with this reason code.
    #[error("the server refused the connection with reason code {0:#04x}")]
    Refused(u8),
    /// The server sent a DISCONNECT with this reason code.
    #[error("the server closed the connection with reason code {0:#04x}")]
    Disconnected(u8),
    /// The server violated the standard as described.
    #[error("the server violated the protocol: {0}")]
    Protocol(&'static str),
    /// The server did not answer in time.
    #[error("the server did not answer in time")]
    Timeout,
}

/// A message can't be published: the queue is full, its packet identifier is in use, or it exceeds the server's maximum
/// packet size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the message can't be published: the queue is full, its packet identifier is in use, or it is too long for the server"
)]
pub struct PublishRejected;
