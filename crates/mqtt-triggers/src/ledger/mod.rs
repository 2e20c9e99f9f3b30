//! The ledger orders the steps that persist, acknowledge, dispatch and answer a message, so that the message has one
//! effect and one answer even if the front end crashes between any two steps.
//!
//! A front end owns a message before it dispatches it: it persists the message, acknowledges it, and waits for the
//! confirmation of the acknowledgement. The confirmation is the PUBREL, or with QoS 1 the response to a ping sent after
//! the acknowledgement, as a broker processes the packets of a connection in order. Until then the broker may deliver
//! the message to another front end. Only idempotent messages are dispatched earlier. The answer is published with
//! QoS 2 under a packet identifier that is persisted first, so that a restarted front end continues the same exchange
//! instead of publishing a second answer.
//!
//! The ledger does no I/O: its methods return the actions that the host has to perform, in this order.

mod action;
mod message;
mod record;
mod recovery;

pub use action::{Action, DeliveryId};
use message::Message;
pub(crate) use record::base64_bytes;
pub use record::{Answer, Idempotency, InvocationTarget, Record, Reply, StoredMessage};
pub use recovery::Redelivery;

use std::collections::BTreeMap;
use std::rc::Rc;

/// A message that was left to the broker, which redelivers it.
#[derive(Clone, Debug)]
struct RedeliveredMessage {
    topic: String,
    /// The number of earlier deliveries.
    delivery_count: u32,
}

/// The messages that a front end has accepted and not yet completed.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    messages: BTreeMap<u64, Message>,
    last_id: u64,
    /// The number of deliveries after which a message becomes a dead letter.
    max_deliveries: u32,
    /// Messages that the broker redelivers, by packet identifier.
    redelivered_messages: BTreeMap<u16, RedeliveredMessage>,
}

fn too_many_deliveries(delivery_count: u32) -> Answer {
    Answer::DeadLettered {
        reason: format!("it was taken {delivery_count} times without coming to an end"),
    }
}

impl Ledger {
    /// Creates an empty ledger. A message delivered more than `max_deliveries` times becomes a dead letter.
    pub fn new(max_deliveries: u32) -> Ledger {
        Ledger {
            max_deliveries,
            ..Ledger::default()
        }
    }

    /// The number of messages in the ledger.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Whether there is no message in the ledger.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Returns a message by its id.
    pub fn message(&self, message_id: u64) -> Option<&StoredMessage> {
        self.messages
            .get(&message_id)
            .map(|message| &*message.stored)
    }

    /// The time at which the publisher gives up or, if that is earlier, a redelivered message's idempotency key expires.
    /// In seconds since 1970; 0 for an unknown message.
    pub fn expires_at(&self, message_id: u64) -> f64 {
        self.messages
            .get(&message_id)
            .map_or(0.0, |message| match message.idempotency {
                Idempotency::Keyed { expires_at } if message.delivery_count > 1 => {
                    message.stored.expires_at.min(expires_at)
                }
                _ => message.stored.expires_at,
            })
    }

    /// Returns the final answer to a message, if there is one.
    pub fn answer(&self, message_id: u64) -> Option<&Answer> {
        self.messages.get(&message_id)?.answer.as_ref()
    }

    /// Whether the ownership of the message is persisted, or the message is completed.
    pub fn is_owned(&self, message_id: u64) -> bool {
        self.messages
            .get(&message_id)
            .is_none_or(|message| message.is_owned)
    }

    /// Allocates the id of the next message.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Accepts a delivered message. Without an answer it is invoked.
    pub fn delivered(
        &mut self,
        message_id: u64,
        idempotency: Idempotency,
        delivery: DeliveryId,
        stored: Rc<StoredMessage>,
        answer: Option<Answer>,
    ) -> Vec<Action> {
        let DeliveryId { packet_id, is_qos2 } = delivery;
        let before = packet_id
            .and_then(|id| self.redelivered_messages.remove(&id))
            .filter(|r| r.topic == stored.topic);
        let delivery_count = before.map_or(1, |before| before.delivery_count + 1);
        let answer = answer.or_else(|| {
            (delivery_count > self.max_deliveries).then(|| too_many_deliveries(delivery_count))
        });
        let is_answered = answer.is_some();
        let record = Record::Accepted {
            message_id,
            idempotency,
            packet_id,
            is_qos2,
            delivery_count,
            stored,
            answer,
        };
        let mut actions = vec![Action::Persist(record.clone())];
        self.apply(&record);
        self.update(message_id, |message| message.is_persisted = false);
        if idempotency == Idempotency::Idempotent && !is_answered {
            self.update(message_id, |message| message.was_dispatched = true);
            actions.push(Action::Dispatch(message_id));
        }
        actions
    }

    /// Handles a record that is now on disk.
    pub fn persisted(&mut self, record: &Record) -> Vec<Action> {
        let message_id = record.message_id();
        if !self.messages.contains_key(&message_id) {
            return vec![];
        }
        if !matches!(record, Record::Accepted { .. }) {
            self.apply(record);
        }
        let Some(message) = self.messages.get_mut(&message_id) else {
            return vec![];
        };
        match record {
            Record::Accepted { .. } => {
                message.is_persisted = true;
                if message.is_owned {
                    self.proceed(message_id)
                } else {
                    vec![Action::Acknowledge(message_id)]
                }
            }
            Record::Owned { .. } => {
                let mut actions = if message.is_qos2 {
                    vec![Action::Complete(message_id)]
                } else {
                    vec![]
                };
                actions.extend(self.proceed(message_id));
                actions
            }
            Record::Retrying { .. } if message.delivery_count > self.max_deliveries => {
                let answer = too_many_deliveries(message.delivery_count);
                message.answer = Some(answer);
                self.proceed(message_id)
            }
            Record::Retrying { .. } | Record::Dispatching { .. } => {
                message.was_dispatched = true;
                vec![Action::Dispatch(message_id)]
            }
            Record::Answered { .. } => self.send_reply(message_id),
            Record::Publishing { id, .. } => vec![Action::Publish {
                message_id,
                id: *id,
                is_republished: false,
            }],
            Record::Released { .. } => message
                .reply_id
                .map_or_else(Vec::new, |id| vec![Action::Release { message_id, id }]),
            Record::Done { .. } => vec![],
        }
    }

    /// Handles the broker's confirmation of an acknowledgement: the broker does not deliver the message to any other
    /// front end after it.
    pub fn confirmed(&mut self, message_id: u64) -> Vec<Action> {
        let Some(message) = self
            .messages
            .get_mut(&message_id)
            .filter(|message| message.is_persisted && !message.is_owned && !message.is_claiming)
        else {
            return vec![];
        };
        message.is_claiming = true;
        vec![Action::Persist(Record::Owned { message_id })]
    }

    /// Returns the next step of a message that this front end owns.
    fn proceed(&mut self, message_id: u64) -> Vec<Action> {
        let Some(message) = self.messages.get_mut(&message_id) else {
            return vec![];
        };
        match &message.answer {
            Some(_) if message.is_answered => self.send_reply(message_id),
            Some(_) if message.is_answer_pending => vec![],
            Some(Answer::DeadLettered { .. }) => vec![Action::PublishDeadLetter(message_id)],
            Some(answer) => {
                message.is_answer_pending = true;
                vec![Action::Persist(Record::Answered {
                    message_id,
                    answer: answer.clone(),
                })]
            }
            None if message.was_dispatched => vec![],
            None if message.idempotency == Idempotency::NonIdempotent => {
                vec![Action::Persist(Record::Dispatching { message_id })]
            }
            None => {
                message.was_dispatched = true;
                vec![Action::Dispatch(message_id)]
            }
        }
    }

    /// Handles the final answer of an invocation.
    pub fn invocation_ended(&mut self, message_id: u64, answer: Answer) -> Vec<Action> {
        let Some(message) = self
            .messages
            .get_mut(&message_id)
            .filter(|message| message.answer.is_none())
        else {
            return vec![];
        };
        // Failure mode: a dispatch of an earlier delivery was in flight when a front end crashed, so that the message
        // may have run even if it has not run this time. Risk: an answer says "may have run" although nothing ran.
        let may_have_run_before =
            message.delivery_count > 1 && message.idempotency != Idempotency::NonIdempotent;
        message.answer = Some(match (answer, message.idempotency) {
            (Answer::Rejected, Idempotency::Keyed { .. }) if may_have_run_before => Answer::Unknown,
            (
                Answer::Failed {
                    reason,
                    may_have_run,
                },
                _,
            ) => Answer::Failed {
                reason,
                may_have_run: may_have_run || may_have_run_before,
            },
            (answer, _) => answer,
        });
        // The answer waits until the message is owned, as another front end may answer it before that.
        if message.is_owned && message.is_persisted {
            self.proceed(message_id)
        } else {
            vec![]
        }
    }

    /// Continues after a dead letter was published, or could not be because no topic accepts it.
    pub fn dead_letter_published(&mut self, message_id: u64) -> Vec<Action> {
        let Some(message) = self.messages.get_mut(&message_id).filter(|message| {
            message.is_owned && !message.is_answer_pending && !message.is_answered
        }) else {
            return vec![];
        };
        let Some(answer) = message.answer.clone() else {
            return vec![];
        };
        message.is_answer_pending = true;
        vec![Action::Persist(Record::Answered { message_id, answer })]
    }

    fn send_reply(&mut self, message_id: u64) -> Vec<Action> {
        let Some(message) = self.messages.get_mut(&message_id) else {
            return vec![];
        };
        match message.stored.reply {
            Some(_) => vec![Action::ReserveReplyId(message_id)],
            None => self.reply_completed(message_id),
        }
    }

    /// Handles the packet identifier reserved for the answer. No other exchange may use it.
    pub fn reply_id_reserved(&mut self, message_id: u64, id: u16) -> Vec<Action> {
        let Some(message) = self
            .messages
            .get_mut(&message_id)
            .filter(|message| message.is_answered && message.reply_id.is_none())
        else {
            return vec![];
        };
        message.reply_id = Some(id);
        vec![Action::Persist(Record::Publishing { message_id, id })]
    }

    /// Handles the broker's PUBREC for the answer.
    pub fn reply_recorded(&mut self, message_id: u64) -> Vec<Action> {
        let Some(message) = self
            .messages
            .get_mut(&message_id)
            .filter(|message| message.reply_id.is_some() && !message.is_reply_recorded)
        else {
            return vec![];
        };
        message.is_reply_recorded = true;
        vec![Action::Persist(Record::Released { message_id })]
    }

    /// Completes the message: the broker has completed the exchange of the answer (PUBCOMP) or rejected the answer, or
    /// no answer is published.
    pub fn reply_completed(&mut self, message_id: u64) -> Vec<Action> {
        let Some(message) = self
            .messages
            .get_mut(&message_id)
            .filter(|message| !message.is_ending)
        else {
            return vec![];
        };
        message.is_ending = true;
        vec![Action::Persist(Record::Done { message_id })]
    }

    /// Updates the state with a record.
    fn apply(&mut self, record: &Record) {
        match record {
            Record::Accepted {
                message_id,
                idempotency,
                packet_id,
                is_qos2,
                delivery_count,
                stored,
                answer,
            } => {
                let delivery = DeliveryId {
                    packet_id: *packet_id,
                    is_qos2: *is_qos2,
                };
                let message = Message::accepted(
                    *idempotency,
                    delivery,
                    *delivery_count,
                    stored.clone(),
                    answer.clone(),
                );
                self.last_id = self.last_id.max(*message_id);
                self.messages.insert(*message_id, message);
            }
            Record::Owned { message_id } => {
                self.update(*message_id, |message| message.is_owned = true)
            }
            Record::Retrying { message_id } => {
                self.update(*message_id, |message| message.delivery_count += 1)
            }
            Record::Dispatching { message_id } => {
                self.update(*message_id, |message| message.was_dispatched = true)
            }
            Record::Answered { message_id, answer } => self.update(*message_id, |message| {
                (message.is_owned, message.is_answered, message.answer) =
                    (true, true, Some(answer.clone()));
            }),
            Record::Publishing { message_id, id } => {
                self.update(*message_id, |message| message.reply_id = Some(*id))
            }
            Record::Released { message_id } => self.update(*message_id, |message| {
                (message.is_reply_recorded, message.is_reply_released) = (true, true)
            }),
            Record::Done { message_id } => {
                self.messages.remove(message_id);
            }
        }
    }

    fn update(&mut self, message_id: u64, change: impl FnOnce(&mut Message)) {
        if let Some(message) = self.messages.get_mut(&message_id) {
            change(message);
        }
    }
}
