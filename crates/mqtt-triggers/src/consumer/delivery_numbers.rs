//! Maps messages to the session's deliveries and back.

use std::collections::BTreeMap;

/// The delivery numbers of messages, in both directions.
#[derive(Default)]
pub(super) struct DeliveryNumbers {
    delivery_of: BTreeMap<u64, u64>,
    message_of: BTreeMap<u64, u64>,
}

impl DeliveryNumbers {
    pub(super) fn insert(&mut self, message_id: u64, delivery: u64) {
        self.delivery_of.insert(message_id, delivery);
        self.message_of.insert(delivery, message_id);
    }

    pub(super) fn remove(&mut self, message_id: u64) {
        if let Some(delivery) = self.delivery_of.remove(&message_id) {
            self.message_of.remove(&delivery);
        }
    }

    /// The delivery number of a message; `None` after the connection on which it arrived is lost.
    pub(super) fn delivery(&self, message_id: u64) -> Option<u64> {
        self.delivery_of.get(&message_id).copied()
    }

    /// The message id of a delivery.
    pub(super) fn message(&self, delivery: u64) -> Option<u64> {
        self.message_of.get(&delivery).copied()
    }
}
