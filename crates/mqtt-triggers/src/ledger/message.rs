//! A message in the ledger, and how far it has come.

use super::{Answer, DeliveryId, Idempotency, Record, StoredMessage};
use std::rc::Rc;

/// A message and the steps that were completed for it.
#[derive(Clone, Debug)]
pub(super) struct Message {
    pub(super) idempotency: Idempotency,
    pub(super) packet_id: Option<u16>,
    pub(super) is_qos2: bool,
    /// How often the message has been delivered.
    pub(super) delivery_count: u32,
    pub(super) stored: Rc<StoredMessage>,
    /// `Record::Accepted` is on the disk.
    pub(super) is_persisted: bool,
    /// `Record::Owned` is being written, and is on the disk.
    pub(super) is_claiming: bool,
    pub(super) is_owned: bool,
    /// The invocation may have been dispatched.
    pub(super) was_dispatched: bool,
    pub(super) answer: Option<Answer>,
    /// `Record::Answered` is being written, and is on the disk.
    pub(super) is_answer_pending: bool,
    pub(super) is_answered: bool,
    /// The packet identifier of the answer, once it was chosen.
    pub(super) reply_id: Option<u16>,
    /// The broker has recorded the answer, and that is on the disk.
    pub(super) is_reply_recorded: bool,
    pub(super) is_reply_released: bool,
    /// `Record::Done` is being written.
    pub(super) is_ending: bool,
}

impl Message {
    /// A message that was just accepted.
    pub(super) fn accepted(
        idempotency: Idempotency,
        delivery: DeliveryId,
        delivery_count: u32,
        stored: Rc<StoredMessage>,
        answer: Option<Answer>,
    ) -> Message {
        Message {
            idempotency,
            packet_id: delivery.packet_id,
            is_qos2: delivery.is_qos2,
            delivery_count,
            stored,
            is_persisted: true,
            is_claiming: false,
            // A broker never delivers a message of QoS 0 again.
            is_owned: delivery.packet_id.is_none(),
            was_dispatched: false,
            // A message that is set aside is answered once its copy is published.
            is_answered: answer
                .as_ref()
                .is_some_and(|answer| !answer.is_dead_lettered()),
            answer,
            is_answer_pending: false,
            reply_id: None,
            is_reply_recorded: false,
            is_reply_released: false,
            is_ending: false,
        }
    }

    /// The records that lead to this state, in a valid order.
    pub(super) fn records(&self, message_id: u64) -> Vec<Record> {
        let answer = || self.answer.clone();
        let answered_at_once = answer().filter(|_| self.is_answered && !self.was_dispatched);
        let dead_letter = answer().filter(Answer::is_dead_lettered);
        let accepted = Record::Accepted {
            message_id,
            idempotency: self.idempotency,
            packet_id: self.packet_id,
            is_qos2: self.is_qos2,
            delivery_count: self.delivery_count,
            stored: self.stored.clone(),
            answer: answered_at_once.or(dead_letter),
        };
        let is_non_idempotent = self.idempotency == Idempotency::NonIdempotent;
        let records = [
            Some(accepted),
            (self.is_owned && self.packet_id.is_some()).then_some(Record::Owned { message_id }),
            (self.was_dispatched && is_non_idempotent)
                .then_some(Record::Dispatching { message_id }),
            answer()
                .filter(|_| self.is_answered && self.is_owned)
                .map(|answer| Record::Answered { message_id, answer }),
            self.reply_id
                .map(|id| Record::Publishing { message_id, id }),
            self.is_reply_released
                .then_some(Record::Released { message_id }),
        ];
        records.into_iter().flatten().collect()
    }
}
