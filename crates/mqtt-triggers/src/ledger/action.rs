//! Actions that the ledger requests from its host.

use super::Record;

/// An action that the host has to perform. Messages are identified by their ids.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append a record to the journal, and call `Ledger::persisted` once it is on disk.
    Persist(Record),
    /// Acknowledge the delivery, and call `Ledger::confirmed` once the broker has confirmed the acknowledgement.
    Acknowledge(u64),
    /// Complete the QoS 2 delivery, so that the broker may reuse its packet identifier.
    Complete(u64),
    /// Dispatch the invocation, and call `Ledger::invocation_ended` with its final answer.
    Dispatch(u64),
    /// Publish the message as a dead letter, and call `Ledger::dead_letter_published` once that is done.
    PublishDeadLetter(u64),
    /// Reserve a packet identifier for the answer, and call `Ledger::reply_id_reserved` with it.
    ReserveReplyId(u64),
    /// Publish the answer under its packet identifier.
    Publish {
        /// The id of the message.
        message_id: u64,
        /// The packet identifier of the answer.
        id: u16,
        /// Whether it may have been published before.
        is_republished: bool,
    },
    /// Send the PUBREL of the answer, which may have been sent before.
    Release {
        /// The id of the message.
        message_id: u64,
        /// The packet identifier of the answer.
        id: u16,
    },
    /// Cancel the invocation, because the broker redelivers the message.
    Cancel(u64),
}

/// How the broker identifies a delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryId {
    /// The packet identifier; `None` with QoS 0.
    pub packet_id: Option<u16>,
    /// Whether the delivery has QoS 2, with which the broker confirms each acknowledgement.
    pub is_qos2: bool,
}
