//! What a session reports to its host.

use crate::packet::{Properties, Qos};
use bytes::Bytes;

/// A message from the server, to be acknowledged by its number where it has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The number by which the host acknowledges it; `None` with QoS 0, which is not acknowledged.
    pub number: Option<u64>,
    /// Its packet identifier; 0 with QoS 0.
    pub id: u16,
    /// The topic to which it was published.
    pub topic: String,
    /// The payload.
    pub payload: Bytes,
    /// The quality of service with which it is delivered.
    pub qos: Qos,
    /// The server says that it may have been delivered before. That the server does not say so proves nothing.
    pub dup: bool,
    /// Whether it is a retained message, which the server sends because of the subscription.
    pub retained: bool,
    /// Its properties; empty in version 3.1.1.
    pub properties: Properties,
}

/// What has happened to a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The server has accepted the connection.
    Connected {
        /// Whether the server has kept the session.
        session_present: bool,
    },
    /// The server has answered the subscriptions.
    Subscribed {
        /// The filters that it refused, with their reason codes.
        refused: Vec<(String, u8)>,
    },
    /// A message was delivered.
    Delivered(Delivery),
    /// The server has received the acknowledgement of a delivery: it does not deliver that message again.
    Confirmed {
        /// The number of the delivery.
        number: u64,
    },
    /// After a connection was made: the server has sent again all that it had to send again.
    Resumed,
    /// A message of `Session::publish_with_id` has been recorded by the server and waits for its release.
    Recorded {
        /// The token of the message.
        token: u64,
    },
    /// A published message has been acknowledged by the server, or refused.
    Published {
        /// The token of the message.
        token: u64,
        /// The reason code; from `reason_code::FAILURE` on it was refused.
        code: u8,
    },
}

/// Why a connection has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectionError {
    /// The server refused the connection with this code.
    #[error("the server refused the connection with {0:#04x}")]
    Refused(u8),
    /// The server ended the connection with this code.
    #[error("the server ended the connection with {0:#04x}")]
    Disconnected(u8),
    /// The server violated the standard.
    #[error("the server broke the protocol: {0}")]
    Protocol(&'static str),
    /// The server did not answer in time.
    #[error("the server did not answer in time")]
    Timeout,
}

/// A message was not accepted for publishing: too many messages wait already, its packet identifier is in use, or
/// it is longer than the server accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the message can't be published: too many wait, its id is in use, or it is too long for the server"
)]
pub struct PublishRejected;
