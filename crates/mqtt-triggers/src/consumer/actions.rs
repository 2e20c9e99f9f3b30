//! Performs the actions that the ledger returns.

use super::reply::{encode_dead_letter, encode_reply};
use super::{Consumer, HostAction, Notice};
use crate::ledger::{Action, Answer};
use orchidtally_mqtt::packet::Qos;
use std::collections::VecDeque;

/// A message that is being published.
#[derive(Clone, Copy, Debug)]
pub(super) enum Publication {
    /// The answer to a message.
    Reply(u64),
    /// A dead letter.
    DeadLetter(u64),
}

impl Publication {
    /// The id of the message for which it is published.
    pub(super) fn message(self) -> u64 {
        let (Publication::Reply(message_id) | Publication::DeadLetter(message_id)) = self;
        message_id
    }
}

impl Consumer {
    pub(super) fn perform(&mut self, now: f64, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            actions.extend(self.perform_one(now, action));
        }
    }

    /// Performs an action and returns the actions that follow from it.
    fn perform_one(&mut self, now: f64, action: Action) -> Vec<Action> {
        match action {
            Action::Persist(record) => self.persist(record),
            Action::Acknowledge(message_id) => {
                // If the connection was lost in the meantime, the broker redelivers the message.
                if let Some(delivery) = self.deliveries.delivery(message_id) {
                    self.session.acknowledge(now, delivery, 0);
                }
            }
            Action::Complete(message_id) => {
                if let Some(delivery) = self.deliveries.delivery(message_id) {
                    self.session.complete(now, delivery);
                }
            }
            Action::Dispatch(message_id) => {
                self.host_actions.push_back(HostAction::Invoke(message_id))
            }
            Action::Cancel(message_id) => {
                self.admission.cancel(message_id);
                self.host_actions.push_back(HostAction::Cancel(message_id));
            }
            Action::PublishDeadLetter(message_id) => {
                return self.publish_dead_letter(now, message_id);
            }
            Action::ReserveReplyId(message_id) => match self.session.reserve_packet_id() {
                Some(id) => return self.ledger.reply_id_reserved(message_id, id),
                None => self.waiting_for_reply_id.push_back(message_id),
            },
            Action::Publish {
                message_id,
                id,
                is_republished,
            } => return self.publish_reply(now, message_id, id, is_republished),
            Action::Release { message_id, id } => {
                let token = self.session.release(now, id);
                self.publications
                    .insert(token, Publication::Reply(message_id));
            }
        }
        vec![]
    }

    fn publish_dead_letter(&mut self, now: f64, message_id: u64) -> Vec<Action> {
        let (message, answer) = (
            self.ledger.message(message_id),
            self.ledger.answer(message_id),
        );
        let (Some(message), Some(Answer::DeadLettered { reason })) = (message, answer) else {
            return vec![];
        };
        self.counters.set_aside += 1;
        let copy = encode_dead_letter(self.version, message, reason);
        self.notices.push_back(Notice::DeadLettered {
            topic: message.topic.clone(),
            reason: reason.clone(),
        });
        let token = self.dead_letter_topic.as_ref().and_then(|topic| {
            self.session
                .publish(now, topic, copy.payload, Qos::AtLeastOnce, copy.properties)
                .ok()
        });
        match token {
            Some(token) => {
                self.publications
                    .insert(token, Publication::DeadLetter(message_id));
                vec![]
            }
            // There is no topic for dead letters, or the broker would never accept this one.
            None => self.ledger.dead_letter_published(message_id),
        }
    }

    fn publish_reply(
        &mut self,
        now: f64,
        message_id: u64,
        id: u16,
        is_republished: bool,
    ) -> Vec<Action> {
        let (message, answer) = (
            self.ledger.message(message_id),
            self.ledger.answer(message_id),
        );
        let (Some(message), Some(answer)) = (message, answer) else {
            return vec![];
        };
        let Some(reply) = &message.reply else {
            return self.ledger.reply_completed(message_id);
        };
        self.counters.unknown += u64::from(*answer == Answer::Unknown);
        let too_long = Answer::Failed {
            reason: "the answer is longer than the broker takes".into(),
            may_have_run: true,
        };
        // An answer that the session rejects is replaced by a failure that states the reason.
        let token = [answer, &too_long].into_iter().find_map(|answer| {
            let encoded = encode_reply(self.version, message, answer);
            let (payload, properties) = (encoded.payload, encoded.properties);
            self.session
                .publish_with_id(now, id, is_republished, &reply.topic, payload, properties)
                .ok()
        });
        match token {
            Some(token) => {
                self.publications
                    .insert(token, Publication::Reply(message_id));
                vec![]
            }
            None => {
                self.not_published(message_id, None);
                self.ledger.reply_completed(message_id)
            }
        }
    }
}
