//! The state of a message in the ledger.

use super::{Answer, DeliveryId, Idempotency, Record, StoredMessage};
use std::rc::Rc;

/// A message and the steps completed for it.
#[derive(Clone, Debug)]
pub(super) struct Message {
    pub(super) idempotency: Idempotency,
    pub(super) packet_id: Option<u16>,
    pub(super) is_qos2: bool,
    /// How often the message has been delivered.
    pub(super) delivery_count: u32,
    pub(super) stored: Rc<StoredMessage>,
    /// `Record::Accepted` is on disk.
    pub(super) is_persisted: bool,
    /// `Record::Owned` is being written; `is_owned` says that it is on disk.
    pub(super) is_claiming: bool,
    pub(super) is_owned: bool,
    /// The invocation may have been dispatched.
    pub(super) was_dispatched: bool,
    pub(super) answer: Option<Answer>,
    /// `Record::Answered` is being written; `is_answered` says that it is on disk.
    pub(super) is_answer_pending: bool,
    pub(super) is_answered: bool,
    /// The packet identifier of the answer, once it is reserved.
    pub(super) reply_id: Option<u16>,
    /// The broker has recorded the answer (PUBREC); `is_reply_released` says that `Record::Released` is on disk.
    pub(super) is_reply_recorded: bool,
    pub(super) is_reply_released: bool,
    /// `Record::Done` is being written.
    pub(super) is_ending: bool,
}

impl Message {
    /// Creates the state after `Record::Accepted`.
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
            // A QoS 0 message is never redelivered, to this or to another front end.
            is_owned: delivery.packet_id.is_none(),
            was_dispatched: false,
            // A dead letter is answered once it is published.
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

    /// Returns records from which this state is restored, in a valid order.
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
