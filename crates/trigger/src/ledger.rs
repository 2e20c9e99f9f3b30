//! What has to be written, said to the broker, dispatched and answered, in which order, so that a message has one
//! effect and one answer though a front end may die between any two of these.
//!
//! A message is taken over before its effect: written down, acknowledged, and the acknowledgement confirmed (by
//! PUBREL, or with QoS 1 by the answer to a ping sent after it, as a broker goes through a connection's packets in
//! order). Until then the broker may give it to another front end; from then on it is this one's alone. Its answer
//! is published with QoS 2 under a packet id that is written down first, so that a front end that comes back goes on
//! with that exchange instead of beginning another.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Effect {
    /// Running again is harmless: it may be dispatched while it is being taken over, and again after a death.
    Idempotent,
    /// So it is under its token, which is derived from the message, until that is forgotten (seconds since 1970).
    /// It is dispatched once it is this front end's: another one's executors may not know the token.
    Tokened { until: f64 },
    /// It is dispatched once it is this front end's, once.
    NonIdempotent,
}

/// The final answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", rename_all_fields = "camelCase", tag = "what")]
pub enum Answer {
    Succeeded {
        #[serde(with = "coded")]
        payload: Bytes,
    },
    Throttled,
    Errored {
        why: String,
        may_have_run: bool,
    },
    /// The front end died with its dispatch out: whether it ran is not known.
    Unknown,
    /// It can never become an invocation, or did not come to an end as often as it may; nothing has run for it.
    SetAside {
        why: String,
    },
}

/// Bytes as text.
pub(crate) mod coded {
    use super::*;

    pub fn serialize<S: Serializer>(bytes: &Bytes, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&STANDARD.encode(bytes))
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(d: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(d)?;
        STANDARD.decode(text).map(Bytes::from).map_err(serde::de::Error::custom)
    }
}

/// Where an answer goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    pub topic: String,
    #[serde(with = "coded", default, skip_serializing_if = "Bytes::is_empty")]
    pub correlation: Bytes,
}

/// What a message invokes, by names that outlive a change of the deployment file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Work {
    pub function: String,
    pub trigger_type: String,
    pub customer: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub token: String,
}

/// A message as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Held {
    /// The invocation's name.
    pub name: String,
    pub topic: String,
    #[serde(with = "coded")]
    pub payload: Bytes,
    /// None where nobody wants an answer.
    pub reply: Option<Reply>,
    pub work: Work,
    /// When its publisher gives up, in seconds since 1970.
    pub until: f64,
}

/// What the journal holds, in the order in which it was written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "what")]
pub enum Record {
    /// `packet`: the id of its delivery; none with QoS 0. `confirms`: QoS 2, where the broker says what it has.
    /// `times`: how often it was taken. An answer stands here where nothing is dispatched for it.
    Taken {
        n: u64,
        effect: Effect,
        packet: Option<u16>,
        confirms: bool,
        times: u32,
        held: Rc<Held>,
        answer: Option<Answer>,
    },
    /// The broker will give it to nobody else.
    Owned {
        n: u64,
    },
    /// It is dispatched again after a death.
    Again {
        n: u64,
    },
    /// A dispatch of a non-idempotent one goes out after this.
    Dispatching {
        n: u64,
    },
    Answered {
        n: u64,
        answer: Answer,
    },
    /// Its answer is published under this packet id.
    Publishing {
        n: u64,
        id: u16,
    },
    /// The broker has recorded the answer: only its release is said again.
    Released {
        n: u64,
    },
    Done {
        n: u64,
    },
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Write it down; `kept` once it is on the disk.
    Write(Record),
    /// Acknowledge its delivery to the broker, then have that confirmed; `confirmed` when it is.
    Acknowledge(u64),
    /// Let the broker use its delivery's packet id again.
    Complete(u64),
    /// Dispatch it by way of the module; `came` with its final answer.
    Dispatch(u64),
    /// Put a copy aside where operators find it; `aside` once it is there.
    SetAside(u64),
    /// Choose a packet id for the answer; `identified` with it.
    Identify(u64),
    /// Publish the answer under its id; `again`: it may have been published before.
    Publish { n: u64, id: u16, again: bool },
    /// Release the answer's id, perhaps again.
    Release { n: u64, id: u16 },
    /// What came of its dispatch isn't wanted any more: the broker gives it again.
    Withdraw(u64),
}

#[derive(Clone, Debug)]
struct Message {
    effect: Effect,
    packet: Option<u16>,
    confirms: bool,
    times: u32,
    held: Rc<Held>,
    taken: bool,
    /// It is being written that it is owned.
    owning: bool,
    owned: bool,
    /// A dispatch may be out.
    dispatched: bool,
    answer: Option<Answer>,
    /// The answer is being written, and is on the disk.
    answering: bool,
    answered: bool,
    id: Option<u16>,
    identified: bool,
    recorded: bool,
    released: bool,
    ending: bool,
}

/// The messages in hand at one front end.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    messages: BTreeMap<u64, Message>,
    next: u64,
    /// As often may a message be taken before it is set aside.
    most_times: u32,
    /// Those that the broker gives again, by packet id, with their topics and how often they were taken.
    again: BTreeMap<u16, (String, u32)>,
}

fn number(record: &Record) -> u64 {
    let (Record::Taken { n, .. }
    | Record::Owned { n }
    | Record::Again { n }
    | Record::Dispatching { n }
    | Record::Answered { n, .. }
    | Record::Publishing { n, .. }
    | Record::Released { n }
    | Record::Done { n }) = *record;
    n
}

fn too_often(times: u32) -> Answer {
    Answer::SetAside { why: format!("it was taken {times} times without coming to an end") }
}

impl Ledger {
    pub fn new(most_times: u32) -> Ledger {
        Ledger { most_times, ..Ledger::default() }
    }

    pub fn len(&self) -> usize {
        self.messages.len()
    }

    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    pub fn held(&self, n: u64) -> Option<&Held> {
        self.messages.get(&n).map(|m| &*m.held)
    }

    /// When its publisher gives up, or its token is forgotten.
    pub fn until(&self, n: u64) -> f64 {
        self.messages.get(&n).map_or(0.0, |m| match m.effect {
            Effect::Tokened { until } if m.times > 1 => m.held.until.min(until),
            _ => m.held.until,
        })
    }

    pub fn answer(&self, n: u64) -> Option<&Answer> {
        self.messages.get(&n)?.answer.as_ref()
    }

    /// A number for a message to come.
    pub fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// A message was delivered and admitted, or is answered as it is.
    pub fn delivered(
        &mut self,
        n: u64,
        effect: Effect,
        (packet, confirms): (Option<u16>, bool),
        held: Rc<Held>,
        answer: Option<Answer>,
    ) -> Vec<Do> {
        let before = packet.and_then(|p| self.again.remove(&p)).filter(|(topic, _)| *topic == held.topic);
        let times = before.map_or(1, |(_, times)| times + 1);
        let answer = answer.or_else(|| (times > self.most_times).then(|| too_often(times)));
        let record =
            Record::Taken { n, effect, packet, confirms, times, held: held.clone(), answer: answer.clone() };
        let mut todo = vec![Do::Write(record.clone())];
        self.note(&record);
        self.with(n, |m| m.taken = false);
        if effect == Effect::Idempotent && answer.is_none() {
            self.with(n, |m| m.dispatched = true);
            todo.push(Do::Dispatch(n));
        }
        todo
    }

    /// A record is on the disk.
    pub fn kept(&mut self, record: &Record) -> Vec<Do> {
        let n = number(record);
        if !self.messages.contains_key(&n) {
            return vec![];
        }
        if !matches!(record, Record::Taken { .. }) {
            self.note(record);
        }
        let Some(m) = self.messages.get_mut(&n) else { return vec![] };
        match record {
            Record::Taken { .. } => {
                m.taken = true;
                if m.owned { self.is_owned(n) } else { vec![Do::Acknowledge(n)] }
            }
            Record::Owned { .. } => {
                let mut todo = if m.confirms { vec![Do::Complete(n)] } else { vec![] };
                todo.extend(self.is_owned(n));
                todo
            }
            Record::Again { .. } if m.times > self.most_times => {
                let answer = too_often(m.times);
                m.answer = Some(answer);
                self.is_owned(n)
            }
            Record::Again { .. } | Record::Dispatching { .. } => {
                m.dispatched = true;
                vec![Do::Dispatch(n)]
            }
            Record::Answered { .. } => self.has_answer(n),
            Record::Publishing { id, .. } => vec![Do::Publish { n, id: *id, again: false }],
            Record::Released { .. } => m.id.map_or_else(Vec::new, |id| vec![Do::Release { n, id }]),
            Record::Done { .. } => vec![],
        }
    }

    /// The broker gives it to nobody else from now on.
    pub fn confirmed(&mut self, n: u64) -> Vec<Do> {
        let Some(m) = self.messages.get_mut(&n).filter(|m| m.taken && !m.owned && !m.owning) else {
            return vec![];
        };
        m.owning = true;
        vec![Do::Write(Record::Owned { n })]
    }

    fn is_owned(&mut self, n: u64) -> Vec<Do> {
        let Some(m) = self.messages.get_mut(&n) else { return vec![] };
        match &m.answer {
            Some(_) if m.answered => self.has_answer(n),
            Some(_) if m.answering => vec![],
            Some(Answer::SetAside { .. }) => vec![Do::SetAside(n)],
            Some(answer) => {
                m.answering = true;
                vec![Do::Write(Record::Answered { n, answer: answer.clone() })]
            }
            None if m.dispatched => vec![],
            None if m.effect == Effect::NonIdempotent => vec![Do::Write(Record::Dispatching { n })],
            None => {
                m.dispatched = true;
                vec![Do::Dispatch(n)]
            }
        }
    }

    /// Its copy is where operators find it.
    pub fn aside(&mut self, n: u64) -> Vec<Do> {
        let Some(m) = self.messages.get_mut(&n).filter(|m| m.owned && !m.answering && !m.answered) else {
            return vec![];
        };
        let Some(answer) = m.answer.clone() else { return vec![] };
        m.answering = true;
        vec![Do::Write(Record::Answered { n, answer })]
    }

    fn has_answer(&mut self, n: u64) -> Vec<Do> {
        let Some(m) = self.messages.get_mut(&n) else { return vec![] };
        match m.held.reply {
            Some(_) => vec![Do::Identify(n)],
            None => self.end(n),
        }
    }

    /// The session was taken up again after a lost connection or a death, and the broker has said what it had to
    /// say of it: `again` are the deliveries that it gave again, by packet id, topic and payload. What it did not
    /// give again with QoS 1 it has let go of: it heard the acknowledgement. Of QoS 2 it speaks until it is told
    /// that this is written down. `hands_over`: the broker may give what is not acknowledged with QoS 1 to another
    /// client of a shared subscription, as the standard allows; then such a message is left to that one, and has
    /// no answer if there is none. With QoS 2 the standard forbids it.
    pub fn resumed(&mut self, present: bool, again: &[(u16, &str, &Bytes)], hands_over: bool) -> Vec<Do> {
        let waits = |m: &Message| !m.owned && !m.owning;
        let unowned: Vec<u64> = self.messages.iter().filter(|(_, m)| waits(m)).map(|(&n, _)| n).collect();
        let mut todo = vec![];
        self.again.clear();
        for n in unowned {
            let Some(m) = self.messages.get_mut(&n) else { continue };
            let same = |topic: &str, payload: &Bytes| topic == m.held.topic && *payload == m.held.payload;
            let given = |p: u16| again.iter().any(|&(id, topic, payload)| id == p && same(topic, payload));
            let is_again = m.packet.is_none_or(given);
            if present && !is_again && m.taken && m.confirms {
                continue;
            }
            if present && !is_again && m.taken && !hands_over {
                m.owning = true;
                todo.push(Do::Write(Record::Owned { n }));
                continue;
            }
            if let Some(packet) = m.packet {
                self.again.insert(packet, (m.held.topic.clone(), m.times));
            }
            if m.dispatched && m.answer.is_none() {
                todo.push(Do::Withdraw(n));
            }
            self.messages.remove(&n);
            todo.push(Do::Write(Record::Done { n }));
        }
        todo
    }

    /// The final answer of its invocation.
    pub fn came(&mut self, n: u64, answer: Answer) -> Vec<Do> {
        let Some(m) = self.messages.get_mut(&n).filter(|m| m.answer.is_none()) else { return vec![] };
        // Guards what is said of a message whose dispatch was out when a front end died: that it has not run this
        // time proves nothing.
        let before = m.times > 1 && m.effect != Effect::NonIdempotent;
        m.answer = Some(match (answer, m.effect) {
            (Answer::Throttled, Effect::Tokened { .. }) if before => Answer::Unknown,
            (Answer::Errored { why, may_have_run }, _) => {
                Answer::Errored { why, may_have_run: may_have_run || before }
            }
            (answer, _) => answer,
        });
        // Nobody may hear an answer to what another front end may answer too.
        if m.owned && m.taken { self.is_owned(n) } else { vec![] }
    }

    /// It is written down that nobody else is given it.
    pub fn owns(&self, n: u64) -> bool {
        self.messages.get(&n).is_none_or(|m| m.owned)
    }

    /// A packet id for its answer, which no other exchange has.
    pub fn identified(&mut self, n: u64, id: u16) -> Vec<Do> {
        let Some(m) = self.messages.get_mut(&n).filter(|m| m.answered && !m.identified) else {
            return vec![];
        };
        (m.identified, m.id) = (true, Some(id));
        vec![Do::Write(Record::Publishing { n, id })]
    }

    /// The broker has recorded the answer (PUBREC).
    pub fn recorded(&mut self, n: u64) -> Vec<Do> {
        let Some(m) = self.messages.get_mut(&n).filter(|m| m.identified && !m.recorded) else {
            return vec![];
        };
        m.recorded = true;
        vec![Do::Write(Record::Released { n })]
    }

    /// The broker has let go of the answer's packet id (PUBCOMP), or will never take the answer.
    pub fn completed(&mut self, n: u64) -> Vec<Do> {
        self.end(n)
    }

    fn end(&mut self, n: u64) -> Vec<Do> {
        let Some(m) = self.messages.get_mut(&n).filter(|m| !m.ending) else { return vec![] };
        m.ending = true;
        vec![Do::Write(Record::Done { n })]
    }

    /// What a record says of its message.
    fn note(&mut self, record: &Record) {
        match record {
            Record::Taken { n, effect, packet, confirms, times, held, answer } => {
                self.next = self.next.max(*n);
                let message = Message {
                    effect: *effect,
                    packet: *packet,
                    confirms: *confirms,
                    times: *times,
                    held: held.clone(),
                    taken: true,
                    owning: false,
                    // A broker never gives one of QoS 0 again.
                    owned: packet.is_none(),
                    dispatched: false,
                    // What is to be set aside is answered once it is.
                    answered: answer.as_ref().is_some_and(|a| !matches!(a, Answer::SetAside { .. })),
                    answer: answer.clone(),
                    answering: false,
                    id: None,
                    identified: false,
                    recorded: false,
                    released: false,
                    ending: false,
                };
                self.messages.insert(*n, message);
            }
            Record::Owned { n } => self.with(*n, |m| m.owned = true),
            Record::Again { n } => self.with(*n, |m| m.times += 1),
            Record::Dispatching { n } => self.with(*n, |m| m.dispatched = true),
            Record::Answered { n, answer } => self.with(*n, |m| {
                (m.owned, m.answered, m.answer) = (true, true, Some(answer.clone()));
            }),
            Record::Publishing { n, id } => self.with(*n, |m| (m.identified, m.id) = (true, Some(*id))),
            Record::Released { n } => self.with(*n, |m| (m.recorded, m.released) = (true, true)),
            Record::Done { n } => {
                self.messages.remove(n);
            }
        }
    }

    fn with(&mut self, n: u64, change: impl FnOnce(&mut Message)) {
        if let Some(m) = self.messages.get_mut(&n) {
            change(m);
        }
    }

    /// The records that say what is known to be on the disk, in a fitting order: a journal's snapshot.
    pub fn records(&self) -> Vec<Record> {
        let mut records = vec![];
        for (&n, m) in self.messages.iter().filter(|(_, m)| m.taken) {
            let preset = m.answer.clone().filter(|_| m.answered && !m.dispatched);
            let aside = m.answer.clone().filter(|a| matches!(a, Answer::SetAside { .. }));
            records.push(Record::Taken {
                n,
                effect: m.effect,
                packet: m.packet,
                confirms: m.confirms,
                times: m.times,
                held: m.held.clone(),
                answer: preset.or(aside),
            });
            let all = [
                (m.owned && m.packet.is_some()).then_some(Record::Owned { n }),
                (m.dispatched && m.effect == Effect::NonIdempotent).then_some(Record::Dispatching { n }),
                m.answer
                    .clone()
                    .filter(|_| m.answered && m.owned)
                    .map(|answer| Record::Answered { n, answer }),
                m.id.map(|id| Record::Publishing { n, id }),
                m.released.then_some(Record::Released { n }),
            ];
            records.extend(all.into_iter().flatten());
        }
        records
    }

    /// Packet ids of QoS 2 deliveries that were taken and of which the broker has not said yet that it knows.
    pub fn unconfirmed(&self) -> impl Iterator<Item = (u64, u16)> {
        let waits = |m: &&Message| m.taken && m.confirms && !m.owned;
        self.messages.iter().filter(move |(_, m)| waits(m)).filter_map(|(&n, m)| Some((n, m.packet?)))
    }

    /// Takes up what a front end that died had in hand, by what its journal holds. What is to be done of it is to
    /// be done before the broker takes the session up again: what that had not confirmed it gives again, or
    /// says so.
    pub fn recover(records: &[Record], most_times: u32, now: f64) -> (Ledger, Vec<Do>) {
        let mut ledger = Ledger::new(most_times);
        records.iter().for_each(|record| ledger.note(record));
        let mut todo = vec![];
        for n in ledger.messages.keys().copied().collect::<Vec<u64>>() {
            todo.extend(ledger.resume(n, now));
        }
        // Guards an id that is in use against being chosen again: those that have one come first.
        todo.sort_by_key(|d| !matches!(d, Do::Publish { .. } | Do::Release { .. }));
        (ledger, todo)
    }

    fn resume(&mut self, n: u64, now: f64) -> Vec<Do> {
        let Some(m) = self.messages.get_mut(&n) else { return vec![] };
        let safe = match m.effect {
            Effect::Idempotent => true,
            Effect::Tokened { until } => now < until,
            Effect::NonIdempotent => !m.dispatched,
        };
        match m.id {
            Some(id) if m.released => return vec![Do::Release { n, id }],
            Some(id) => return vec![Do::Publish { n, id, again: true }],
            None => {}
        }
        // Whose it is the broker says next: by confirming what was acknowledged, or by giving it again.
        if !m.owned {
            return vec![];
        }
        match (&m.answer, m.effect) {
            (Some(_), _) => self.is_owned(n),
            (None, Effect::NonIdempotent) if safe => self.is_owned(n),
            // It may have been out before.
            (None, _) if safe => vec![Do::Write(Record::Again { n })],
            (None, _) => {
                (m.answer, m.answering) = (Some(Answer::Unknown), true);
                vec![Do::Write(Record::Answered { n, answer: Answer::Unknown })]
            }
        }
    }
}
