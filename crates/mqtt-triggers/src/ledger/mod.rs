//! The order in which a message is persisted, acknowledged, dispatched and answered, so that it has one effect and
//! one answer although the front end may crash between any two of these steps.
//!
//! A front end takes a message over before its effect: the message is persisted, acknowledged, and the
//! acknowledgement confirmed (by PUBREL, or with QoS 1 by the answer to a ping that was sent after it, as a broker
//! processes the packets of a connection in order). Until then the broker may give the message to another front
//! end; from then on this front end owns it. The answer is published with QoS 2 under a packet identifier that is
//! persisted first, so that a front end that restarts continues that exchange instead of beginning another.
//!
//! The ledger does no I/O: its methods return the actions that its host has to perform, in their order.

mod record;
mod recovery;

pub(crate) use record::base64_bytes;
pub use record::{Answer, Effect, InvocationTarget, Record, Reply, StoredMessage};
pub use recovery::Redelivery;

use std::collections::BTreeMap;
use std::rc::Rc;

/// What the host has to do. Numbers are those of messages.
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
    SetAside(u64),
    /// Reserve a packet identifier for the answer; `Ledger::reply_id_reserved` with it.
    ReserveReplyId(u64),
    /// Publish the answer under its packet identifier; `again` says that it may have been published before.
    Publish { n: u64, id: u16, again: bool },
    /// Release the packet identifier of the answer, perhaps again.
    Release { n: u64, id: u16 },
    /// Cancel the invocation: the broker gives the message again.
    Cancel(u64),
}

/// How a delivery is known to the broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryId {
    /// The packet identifier; `None` with QoS 0.
    pub packet: Option<u16>,
    /// Whether the delivery has QoS 2, with which the broker says what it has received.
    pub confirms: bool,
}

/// A message and the steps that were taken for it.
#[derive(Clone, Debug)]
struct Message {
    effect: Effect,
    packet: Option<u16>,
    confirms: bool,
    /// How often the message has been taken.
    times: u32,
    held: Rc<StoredMessage>,
    /// `Record::Taken` is on the disk.
    taken: bool,
    /// `Record::Owned` is being written, and is on the disk.
    owning: bool,
    owned: bool,
    /// The invocation may have been dispatched.
    dispatched: bool,
    answer: Option<Answer>,
    /// `Record::Answered` is being written, and is on the disk.
    answering: bool,
    answered: bool,
    /// The packet identifier of the answer, once it was chosen.
    reply_id: Option<u16>,
    /// The broker has recorded the answer, and that is on the disk.
    recorded: bool,
    released: bool,
    /// `Record::Done` is being written.
    ending: bool,
}

/// A message that the broker gives again.
#[derive(Clone, Debug)]
struct Repeated {
    topic: String,
    /// How often it was taken before.
    times: u32,
}

/// The messages that a front end has taken and not yet done with.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    messages: BTreeMap<u64, Message>,
    last_number: u64,
    /// How often a message may be taken before it is set aside.
    most_times: u32,
    /// Messages that the broker gives again, by packet identifier.
    repeated: BTreeMap<u16, Repeated>,
}

fn taken_too_often(times: u32) -> Answer {
    Answer::SetAside {
        why: format!("it was taken {times} times without coming to an end"),
    }
}

impl Ledger {
    /// An empty ledger. A message that was taken more than `most_times` times is set aside.
    pub fn new(most_times: u32) -> Ledger {
        Ledger {
            most_times,
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

    /// A message by its number.
    pub fn message(&self, n: u64) -> Option<&StoredMessage> {
        self.messages.get(&n).map(|m| &*m.held)
    }

    /// When the publisher gives up or, for a message that was taken again, its token is forgotten, in seconds since
    /// 1970.
    pub fn until(&self, n: u64) -> f64 {
        self.messages.get(&n).map_or(0.0, |m| match m.effect {
            Effect::Tokened { until } if m.times > 1 => m.held.until.min(until),
            _ => m.held.until,
        })
    }

    /// The final answer to a message, if there is one.
    pub fn answer(&self, n: u64) -> Option<&Answer> {
        self.messages.get(&n)?.answer.as_ref()
    }

    /// Whether it is persisted that the broker gives the message to nobody else, or the message is done with.
    pub fn is_owned(&self, n: u64) -> bool {
        self.messages.get(&n).is_none_or(|m| m.owned)
    }

    /// A number for the next message.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// A message was delivered and is to be invoked, or has its answer already.
    pub fn delivered(
        &mut self,
        n: u64,
        effect: Effect,
        delivery: DeliveryId,
        held: Rc<StoredMessage>,
        answer: Option<Answer>,
    ) -> Vec<Action> {
        let DeliveryId { packet, confirms } = delivery;
        let before = packet
            .and_then(|id| self.repeated.remove(&id))
            .filter(|r| r.topic == held.topic);
        let times = before.map_or(1, |before| before.times + 1);
        let answer = answer.or_else(|| (times > self.most_times).then(|| taken_too_often(times)));
        let is_answered = answer.is_some();
        let record = Record::Taken {
            n,
            effect,
            packet,
            confirms,
            times,
            held,
            answer,
        };
        let mut actions = vec![Action::Persist(record.clone())];
        self.apply(&record);
        self.update(n, |m| m.taken = false);
        if effect == Effect::Idempotent && !is_answered {
            self.update(n, |m| m.dispatched = true);
            actions.push(Action::Dispatch(n));
        }
        actions
    }

    /// A record is on the disk.
    pub fn persisted(&mut self, record: &Record) -> Vec<Action> {
        let n = record.number();
        if !self.messages.contains_key(&n) {
            return vec![];
        }
        if !matches!(record, Record::Taken { .. }) {
            self.apply(record);
        }
        let Some(m) = self.messages.get_mut(&n) else {
            return vec![];
        };
        match record {
            Record::Taken { .. } => {
                m.taken = true;
                if m.owned {
                    self.proceed(n)
                } else {
                    vec![Action::Acknowledge(n)]
                }
            }
            Record::Owned { .. } => {
                let mut actions = if m.confirms {
                    vec![Action::Complete(n)]
                } else {
                    vec![]
                };
                actions.extend(self.proceed(n));
                actions
            }
            Record::Again { .. } if m.times > self.most_times => {
                let answer = taken_too_often(m.times);
                m.answer = Some(answer);
                self.proceed(n)
            }
            Record::Again { .. } | Record::Dispatching { .. } => {
                m.dispatched = true;
                vec![Action::Dispatch(n)]
            }
            Record::Answered { .. } => self.send_reply(n),
            Record::Publishing { id, .. } => vec![Action::Publish {
                n,
                id: *id,
                again: false,
            }],
            Record::Released { .. } => m
                .reply_id
                .map_or_else(Vec::new, |id| vec![Action::Release { n, id }]),
            Record::Done { .. } => vec![],
        }
    }

    /// The broker has confirmed the acknowledgement: from now on it gives the message to nobody else.
    pub fn confirmed(&mut self, n: u64) -> Vec<Action> {
        let Some(m) = self
            .messages
            .get_mut(&n)
            .filter(|m| m.taken && !m.owned && !m.owning)
        else {
            return vec![];
        };
        m.owning = true;
        vec![Action::Persist(Record::Owned { n })]
    }

    /// The next step of a message that this front end owns.
    fn proceed(&mut self, n: u64) -> Vec<Action> {
        let Some(m) = self.messages.get_mut(&n) else {
            return vec![];
        };
        match &m.answer {
            Some(_) if m.answered => self.send_reply(n),
            Some(_) if m.answering => vec![],
            Some(Answer::SetAside { .. }) => vec![Action::SetAside(n)],
            Some(answer) => {
                m.answering = true;
                vec![Action::Persist(Record::Answered {
                    n,
                    answer: answer.clone(),
                })]
            }
            None if m.dispatched => vec![],
            None if m.effect == Effect::NonIdempotent => {
                vec![Action::Persist(Record::Dispatching { n })]
            }
            None => {
                m.dispatched = true;
                vec![Action::Dispatch(n)]
            }
        }
    }

    /// The final answer of an invocation.
    pub fn invocation_ended(&mut self, n: u64, answer: Answer) -> Vec<Action> {
        let Some(m) = self.messages.get_mut(&n).filter(|m| m.answer.is_none()) else {
            return vec![];
        };
        // Guards the answer to a message whose dispatch was out when a front end crashed: that it has not run this
        // time proves nothing.
        let may_have_run_before = m.times > 1 && m.effect != Effect::NonIdempotent;
        m.answer = Some(match (answer, m.effect) {
            (Answer::Throttled, Effect::Tokened { .. }) if may_have_run_before => Answer::Unknown,
            (Answer::Errored { why, may_have_run }, _) => Answer::Errored {
                why,
                may_have_run: may_have_run || may_have_run_before,
            },
            (answer, _) => answer,
        });
        // Nobody may receive an answer to a message that another front end may answer too.
        if m.owned && m.taken {
            self.proceed(n)
        } else {
            vec![]
        }
    }

    /// The copy of a message that is set aside is where operators find it, or there is no place for it.
    pub fn set_aside(&mut self, n: u64) -> Vec<Action> {
        let Some(m) = self
            .messages
            .get_mut(&n)
            .filter(|m| m.owned && !m.answering && !m.answered)
        else {
            return vec![];
        };
        let Some(answer) = m.answer.clone() else {
            return vec![];
        };
        m.answering = true;
        vec![Action::Persist(Record::Answered { n, answer })]
    }

    fn send_reply(&mut self, n: u64) -> Vec<Action> {
        let Some(m) = self.messages.get_mut(&n) else {
            return vec![];
        };
        match m.held.reply {
            Some(_) => vec![Action::ReserveReplyId(n)],
            None => self.reply_completed(n),
        }
    }

    /// A packet identifier was reserved for the answer; no other exchange has it.
    pub fn reply_id_reserved(&mut self, n: u64, id: u16) -> Vec<Action> {
        let Some(m) = self
            .messages
            .get_mut(&n)
            .filter(|m| m.answered && m.reply_id.is_none())
        else {
            return vec![];
        };
        m.reply_id = Some(id);
        vec![Action::Persist(Record::Publishing { n, id })]
    }

    /// The broker has recorded the answer (PUBREC).
    pub fn reply_recorded(&mut self, n: u64) -> Vec<Action> {
        let Some(m) = self
            .messages
            .get_mut(&n)
            .filter(|m| m.reply_id.is_some() && !m.recorded)
        else {
            return vec![];
        };
        m.recorded = true;
        vec![Action::Persist(Record::Released { n })]
    }

    /// The broker has completed the exchange of the answer (PUBCOMP), or will never take the answer, or nobody
    /// wants one.
    pub fn reply_completed(&mut self, n: u64) -> Vec<Action> {
        let Some(m) = self.messages.get_mut(&n).filter(|m| !m.ending) else {
            return vec![];
        };
        m.ending = true;
        vec![Action::Persist(Record::Done { n })]
    }

    /// Applies a record to the state.
    fn apply(&mut self, record: &Record) {
        match record {
            Record::Taken {
                n,
                effect,
                packet,
                confirms,
                times,
                held,
                answer,
            } => {
                self.last_number = self.last_number.max(*n);
                let message = Message {
                    effect: *effect,
                    packet: *packet,
                    confirms: *confirms,
                    times: *times,
                    held: held.clone(),
                    taken: true,
                    owning: false,
                    // A broker never gives a message of QoS 0 again.
                    owned: packet.is_none(),
                    dispatched: false,
                    // A message that is set aside is answered once its copy is published.
                    answered: answer.as_ref().is_some_and(|answer| !answer.is_set_aside()),
                    answer: answer.clone(),
                    answering: false,
                    reply_id: None,
                    recorded: false,
                    released: false,
                    ending: false,
                };
                self.messages.insert(*n, message);
            }
            Record::Owned { n } => self.update(*n, |m| m.owned = true),
            Record::Again { n } => self.update(*n, |m| m.times += 1),
            Record::Dispatching { n } => self.update(*n, |m| m.dispatched = true),
            Record::Answered { n, answer } => self.update(*n, |m| {
                (m.owned, m.answered, m.answer) = (true, true, Some(answer.clone()));
            }),
            Record::Publishing { n, id } => self.update(*n, |m| m.reply_id = Some(*id)),
            Record::Released { n } => self.update(*n, |m| (m.recorded, m.released) = (true, true)),
            Record::Done { n } => {
                self.messages.remove(n);
            }
        }
    }

    fn update(&mut self, n: u64, change: impl FnOnce(&mut Message)) {
        if let Some(m) = self.messages.get_mut(&n) {
            change(m);
        }
    }
}
