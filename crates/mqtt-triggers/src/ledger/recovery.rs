//! Continues messages after a lost connection or a crash.

use super::{Action, Answer, Idempotency, Ledger, Message, Record, RedeliveredMessage};
use bytes::Bytes;

/// A delivery that the broker sent after the session was resumed.
#[derive(Clone, Copy, Debug)]
pub struct Redelivery<'a> {
    /// Its packet identifier.
    pub packet_id: u16,
    /// Its topic.
    pub topic: &'a str,
    /// Its payload.
    pub payload: &'a Bytes,
}

impl Redelivery<'_> {
    fn is_of(&self, message: &Message) -> bool {
        message.packet_id == Some(self.packet_id)
            && message.stored.topic == self.topic
            && message.stored.payload == *self.payload
    }
}

impl Ledger {
    /// Handles the end of the broker's redeliveries after a lost connection or a crash.
    ///
    /// A QoS 1 message that the broker does not redeliver was acknowledged: the broker has received the PUBACK. A QoS 2
    /// message keeps its exchange until its completion is persisted. `reassigns_unacknowledged` says that the broker may
    /// deliver an unacknowledged QoS 1 message to another client of a shared subscription, which the standard allows
    /// (but not with QoS 2). The message is left to that client then, and gets no answer if there is no such client.
    pub fn session_resumed(
        &mut self,
        session_present: bool,
        redelivered: &[Redelivery],
        reassigns_unacknowledged: bool,
    ) -> Vec<Action> {
        let is_unowned = |message: &Message| !message.is_owned && !message.is_claiming;
        let unowned: Vec<u64> = self
            .messages
            .iter()
            .filter(|(_, message)| is_unowned(message))
            .map(|(&message_id, _)| message_id)
            .collect();
        let mut actions = vec![];
        self.redelivered_messages.clear();
        for message_id in unowned {
            let Some(message) = self.messages.get_mut(&message_id) else {
                continue;
            };
            let is_repeated = message.packet_id.is_none()
                || redelivered.iter().any(|delivery| delivery.is_of(message));
            let was_acknowledged = session_present && !is_repeated && message.is_persisted;
            if was_acknowledged && message.is_qos2 {
                continue;
            }
            if was_acknowledged && !reassigns_unacknowledged {
                message.is_claiming = true;
                actions.push(Action::Persist(Record::Owned { message_id }));
                continue;
            }
            actions.extend(self.forget(message_id));
        }
        actions
    }

    /// Removes a message that the broker redelivers, and cancels its invocation.
    fn forget(&mut self, message_id: u64) -> Vec<Action> {
        let Some(message) = self.messages.remove(&message_id) else {
            return vec![];
        };
        if let Some(packet_id) = message.packet_id {
            self.redelivered_messages.insert(
                packet_id,
                RedeliveredMessage {
                    topic: message.stored.topic.clone(),
                    delivery_count: message.delivery_count,
                },
            );
        }
        let mut actions = vec![];
        if message.was_dispatched && message.answer.is_none() {
            actions.push(Action::Cancel(message_id));
        }
        actions.push(Action::Persist(Record::Done { message_id }));
        actions
    }

    /// Returns the records of a journal snapshot, which restore the state that is known to be on disk.
    pub fn snapshot(&self) -> Vec<Record> {
        let on_disk = self
            .messages
            .iter()
            .filter(|(_, message)| message.is_persisted);
        on_disk
            .flat_map(|(&message_id, message)| message.records(message_id))
            .collect()
    }

    /// Returns the message ids and packet identifiers of the QoS 2 deliveries that are persisted and whose
    /// acknowledgements the broker has not confirmed.
    pub fn unconfirmed(&self) -> impl Iterator<Item = (u64, u16)> {
        let waits =
            |message: &&Message| message.is_persisted && message.is_qos2 && !message.is_owned;
        self.messages
            .iter()
            .filter(move |(_, message)| waits(message))
            .filter_map(|(&message_id, message)| Some((message_id, message.packet_id?)))
    }

    /// Restores a ledger from the records of its journal. The returned actions have to be performed before the session
    /// is resumed. Messages whose acknowledgements were not confirmed wait for the broker to confirm them or to
    /// redeliver the messages.
    pub fn recover(records: &[Record], max_deliveries: u32, now: f64) -> (Ledger, Vec<Action>) {
        let mut ledger = Ledger::new(max_deliveries);
        records.iter().for_each(|record| ledger.apply(record));
        let mut actions = vec![];
        for message_id in ledger.messages.keys().copied().collect::<Vec<u64>>() {
            actions.extend(ledger.resume(message_id, now));
        }
        // Failure mode: a new answer could reserve a packet identifier that an answer from before the crash still uses.
        // Answers that have an identifier therefore come first.
        actions.sort_by_key(|action| {
            !matches!(action, Action::Publish { .. } | Action::Release { .. })
        });
        (ledger, actions)
    }

    /// Returns the next step of a message after a crash.
    fn resume(&mut self, message_id: u64, now: f64) -> Vec<Action> {
        let Some(message) = self.messages.get_mut(&message_id) else {
            return vec![];
        };
        match message.reply_id {
            Some(id) if message.is_reply_released => {
                return vec![Action::Release { message_id, id }];
            }
            Some(id) => {
                return vec![Action::Publish {
                    message_id,
                    id,
                    is_republished: true,
                }];
            }
            None => {}
        }
        // The broker decides next: it confirms the acknowledgement, or redelivers the message.
        if !message.is_owned {
            return vec![];
        }
        let may_dispatch = match message.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { expires_at } => now < expires_at,
            Idempotency::NonIdempotent => !message.was_dispatched,
        };
        match (&message.answer, message.idempotency) {
            (Some(_), _) => self.proceed(message_id),
            (None, Idempotency::NonIdempotent) if may_dispatch => self.proceed(message_id),
            // It may have been dispatched before.
            (None, _) if may_dispatch => vec![Action::Persist(Record::Retrying { message_id })],
            (None, _) => {
                (message.answer, message.is_answer_pending) = (Some(Answer::Unknown), true);
                vec![Action::Persist(Record::Answered {
                    message_id,
                    answer: Answer::Unknown,
                })]
            }
        }
    }
}
