//! Taking up messages after a lost connection or a crash.

use super::{Action, Answer, Effect, Ledger, Message, Record, Repeated};
use bytes::Bytes;

/// A delivery that the broker has sent again.
#[derive(Clone, Copy, Debug)]
pub struct Redelivery<'a> {
    /// Its packet identifier.
    pub packet: u16,
    /// Its topic.
    pub topic: &'a str,
    /// Its payload.
    pub payload: &'a Bytes,
}

impl Redelivery<'_> {
    fn is_of(&self, message: &Message) -> bool {
        message.packet == Some(self.packet)
            && message.held.topic == self.topic
            && message.held.payload == *self.payload
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
        hands_over: bool,
    ) -> Vec<Action> {
        let is_unowned = |m: &Message| !m.owned && !m.owning;
        let unowned: Vec<u64> = self
            .messages
            .iter()
            .filter(|(_, m)| is_unowned(m))
            .map(|(&n, _)| n)
            .collect();
        let mut actions = vec![];
        self.repeated.clear();
        for n in unowned {
            let Some(m) = self.messages.get_mut(&n) else {
                continue;
            };
            let is_repeated =
                m.packet.is_none() || redelivered.iter().any(|delivery| delivery.is_of(m));
            let was_heard = session_present && !is_repeated && m.taken;
            if was_heard && m.confirms {
                continue;
            }
            if was_heard && !hands_over {
                m.owning = true;
                actions.push(Action::Persist(Record::Owned { n }));
                continue;
            }
            actions.extend(self.forget(n));
        }
        actions
    }

    /// Leaves a message to the broker, which gives it again.
    fn forget(&mut self, n: u64) -> Vec<Action> {
        let Some(m) = self.messages.remove(&n) else {
            return vec![];
        };
        if let Some(packet) = m.packet {
            self.repeated.insert(
                packet,
                Repeated {
                    topic: m.held.topic.clone(),
                    times: m.times,
                },
            );
        }
        let mut actions = vec![];
        if m.dispatched && m.answer.is_none() {
            actions.push(Action::Cancel(n));
        }
        actions.push(Action::Persist(Record::Done { n }));
        actions
    }

    /// The records that state what is known to be on the disk: a snapshot of the journal.
    pub fn snapshot(&self) -> Vec<Record> {
        let on_disk = self.messages.iter().filter(|(_, m)| m.taken);
        on_disk.flat_map(|(&n, m)| m.records(n)).collect()
    }

    /// The numbers and packet identifiers of QoS 2 deliveries that were taken, and of which the broker has not said
    /// yet that it has received the acknowledgement.
    pub fn unconfirmed(&self) -> impl Iterator<Item = (u64, u16)> {
        let waits = |m: &&Message| m.taken && m.confirms && !m.owned;
        self.messages
            .iter()
            .filter(move |(_, m)| waits(m))
            .filter_map(|(&n, m)| Some((n, m.packet?)))
    }

    /// Restores the ledger of a front end that crashed from the records of its journal. The actions have to be
    /// performed before the session is resumed: what the broker had not confirmed it gives again, or says so.
    pub fn recover(records: &[Record], most_times: u32, now: f64) -> (Ledger, Vec<Action>) {
        let mut ledger = Ledger::new(most_times);
        records.iter().for_each(|record| ledger.apply(record));
        let mut actions = vec![];
        for n in ledger.messages.keys().copied().collect::<Vec<u64>>() {
            actions.extend(ledger.resume(n, now));
        }
        // Guards a packet identifier that is in use against being reserved again: answers that have one come first.
        actions.sort_by_key(|action| {
            !matches!(action, Action::Publish { .. } | Action::Release { .. })
        });
        (ledger, actions)
    }

    /// The next step of a message after a crash.
    fn resume(&mut self, n: u64, now: f64) -> Vec<Action> {
        let Some(m) = self.messages.get_mut(&n) else {
            return vec![];
        };
        match m.reply_id {
            Some(id) if m.released => return vec![Action::Release { n, id }],
            Some(id) => return vec![Action::Publish { n, id, again: true }],
            None => {}
        }
        // The broker says next whose it is: it confirms the acknowledgement, or gives the message again.
        if !m.owned {
            return vec![];
        }
        let may_dispatch = match m.effect {
            Effect::Idempotent => true,
            Effect::Tokened { until } => now < until,
            Effect::NonIdempotent => !m.dispatched,
        };
        match (&m.answer, m.effect) {
            (Some(_), _) => self.proceed(n),
            (None, Effect::NonIdempotent) if may_dispatch => self.proceed(n),
            // It may have been dispatched before.
            (None, _) if may_dispatch => vec![Action::Persist(Record::Again { n })],
            (None, _) => {
                (m.answer, m.answering) = (Some(Answer::Unknown), true);
                vec![Action::Persist(Record::Answered {
                    n,
                    answer: Answer::Unknown,
                })]
            }
        }
    }
}

impl Message {
    /// The records that lead to this state, in a valid order.
    fn records(&self, n: u64) -> Vec<Record> {
        let answer = || self.answer.clone();
        let answered_at_once = answer().filter(|_| self.answered && !self.dispatched);
        let set_aside = answer().filter(Answer::is_set_aside);
        let taken = Record::Taken {
            n,
            effect: self.effect,
            packet: self.packet,
            confirms: self.confirms,
            times: self.times,
            held: self.held.clone(),
            answer: answered_at_once.or(set_aside),
        };
        let is_non_idempotent = self.effect == Effect::NonIdempotent;
        let records = [
            Some(taken),
            (self.owned && self.packet.is_some()).then_some(Record::Owned { n }),
            (self.dispatched && is_non_idempotent).then_some(Record::Dispatching { n }),
            answer()
                .filter(|_| self.answered && self.owned)
                .map(|answer| Record::Answered { n, answer }),
            self.reply_id.map(|id| Record::Publishing { n, id }),
            self.released.then_some(Record::Released { n }),
        ];
        records.into_iter().flatten().collect()
    }
}
