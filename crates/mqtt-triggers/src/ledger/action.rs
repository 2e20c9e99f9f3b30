//! What the ledger has its host do.

use super::Record;

/// What the host has to do. Messages are named by their ids.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append a record to the journal; `Ledger::persisted` once it is on the disk.
    Persist(Record),
    /// Acknowledge the delivery to the broker and have that confirmed; `Ledger::confirmed` when it is.
    Acknowledge(u64),
    /// Let the broker use the packet identifier of the delivery again.
    Complete(u64),
    /// Dispatch the invocation; `Ledger::invocation_ended` with its final answer.
    Dispatch(u64),
    /// Publish a copy where operators find it; `Ledger::set_aside` once that is done.
    PublishDeadLetter(u64),
    /// Reserve a packet identifier for the answer; `Ledger::reply_id_reserved` with it.
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
    /// Release the packet identifier of the answer, perhaps again.
    Release {
        /// The id of the message.
        message_id: u64,
        /// The packet identifier of the answer.
        id: u16,
    },
    /// Cancel the invocation: the broker delivers the message again.
    Cancel(u64),
}

/// How a delivery is known to the broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryId {
    /// The packet identifier; `None` with QoS 0.
    pub packet_id: Option<u16>,
    /// Whether the delivery has QoS 2, with which the broker says what it has received.
    pub is_qos2: bool,
}
