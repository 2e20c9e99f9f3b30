//! Taking up messages after a lost connection or a crash.

use super::{Action, Answer, Idempotency, Ledger, Message, Record, RedeliveredMessage};
use bytes::Bytes;

/// A delivery that the broker has sent again.
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
    /// The session was resumed after a lost connection or a crash, and the broker has sent again what it had to
    /// send again.
    ///
    /// A delivery of QoS 1 that the broker did not send again it has let go of: it has received the
    /// acknowledgement. Of a delivery of QoS 2 it speaks until it is told that this is persisted. `hands_over` says
    /// that the broker may give a message of QoS 1 that is not acknowledged to another client of a shared
    /// subscription, as the standard allows; then such a message is left to that client, and has no answer if there
    /// is none. With QoS 2 the standard forbids it.
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

    /// Leaves a message to the broker, which gives it again.
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

    /// The records that state what is known to be on the disk: a snapshot of the journal.
    pub fn snapshot(&self) -> Vec<Record> {
        let on_disk = self
            .messages
            .iter()
            .filter(|(_, message)| message.is_persisted);
        on_disk
            .flat_map(|(&message_id, message)| message.records(message_id))
            .collect()
    }

    /// The numbers and packet identifiers of QoS 2 deliveries that were taken, and of which the broker has not said
    /// yet that it has received the acknowledgement.
    pub fn unconfirmed(&self) -> impl Iterator<Item = (u64, u16)> {
        let waits =
            |message: &&Message| message.is_persisted && message.is_qos2 && !message.is_owned;
        self.messages
            .iter()
            .filter(move |(_, message)| waits(message))
            .filter_map(|(&message_id, message)| Some((message_id, message.packet_id?)))
    }

    /// Restores the ledger of a front end that crashed from the records of its journal. The actions have to be
    /// performed before the session is resumed: what the broker had not confirmed it gives again, or says so.
    pub fn recover(records: &[Record], max_deliveries: u32, now: f64) -> (Ledger, Vec<Action>) {
        let mut ledger = Ledger::new(max_deliveries);
        records.iter().for_each(|record| ledger.apply(record));
        let mut actions = vec![];
        for message_id in ledger.messages.keys().copied().collect::<Vec<u64>>() {
            actions.extend(ledger.resume(message_id, now));
        }
        // Guards a packet identifier that is in use against being reserved again: answers that have one come first.
        actions.sort_by_key(|action| {
            !matches!(action, Action::Publish { .. } | Action::Release { .. })
        });
        (ledger, actions)
    }

    /// The next step of a message after a crash.
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
        // The broker says next whose it is: it confirms the acknowledgement, or gives the message again.
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
