//! A front end's part in triggers, as a value: the session with the broker, the rules, admission and the ledger put
//! together. Packets, answers, word from the journal and the time come in; packets, entries for the journal and
//! dispatches go out. It does no I/O, so that the same code is run against a disk and a network that are made up.

use crate::admission::{Admission, Decided, Waiting};
use crate::ledger::{Answer, Do, Effect, Held, Ledger, Record, Work};
use crate::rules::{Call, Rules};
use crate::section::Section;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use orchidtally::interface;
use orchidtally_deployment::Deployment;
use orchidtally_mqtt::packet::{Packet, Properties, Property, Qos, Version};
use orchidtally_mqtt::session::{Delivery, Ended, Event, Session};
use serde::Serialize;
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};

/// Between two tries to keep what a journal refused, in seconds.
const RETRY: f64 = 0.5;
/// What waits is looked at so often at the least.
const LOOK: f64 = 0.02;
/// Of the journal's bound, the part that entries may have before they are folded.
const FOLDED_AT: f64 = 0.5;

/// What the host is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Todo {
    /// Append an entry to the journal; `kept` tells, in the same order.
    Write(Vec<u8>),
    /// Replace all that the journal holds; `replaced` tells.
    Replace(Vec<u8>),
    /// Invoke for a message; `came` with the final answer.
    Dispatch(u64),
    /// Give up an invocation, if it is still open. Nothing is told of it.
    Withdraw(u64),
}

/// What an operator should hear of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    Connected {
        session_present: bool,
    },
    Refused(Vec<(String, u8)>),
    SetAside {
        topic: String,
        why: String,
    },
    /// The broker refused an answer with this code, or would never take it.
    NotPublished {
        topic: String,
        code: Option<u8>,
    },
    /// Nothing new is taken until the journal can be written again.
    JournalFailed,
    JournalBack,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Tally {
    pub delivered: u64,
    /// Retained messages tell how things stand, not what has happened: nothing is invoked for them.
    pub retained: u64,
    pub invoked: u64,
    pub given_up: u64,
    pub set_aside: u64,
    pub answered: u64,
    pub unknown: u64,
    pub not_published: u64,
    /// Of QoS 0, and over what may wait.
    pub dropped: u64,
}

/// A delivery that waits to be taken on.
#[derive(Clone, Debug)]
struct Offered {
    packet: (Option<u16>, bool),
    effect: Effect,
    held: Held,
}

struct Poisoned {
    n: u64,
    delivery: Delivery,
    packet: (Option<u16>, bool),
    why: String,
}

/// What becomes of a published message.
#[derive(Clone, Copy, Debug)]
enum Published {
    Answer(u64),
    Copy(u64),
}

pub struct Desk {
    rules: Rules,
    version: Version,
    set_aside: Option<String>,
    hands_over: bool,
    answer_margin: f64,
    journal_bytes: u64,
    session: Session,
    admission: Admission,
    ledger: Ledger,
    offered: BTreeMap<u64, Offered>,
    /// Deliveries that can never become invocations, and why.
    poisoned: VecDeque<Poisoned>,
    /// Deliveries that came since the connection was made, until the broker has said what it had to say again.
    holding: Option<Vec<Delivery>>,
    session_present: bool,
    /// The deliveries of messages in hand, both ways.
    numbers: BTreeMap<u64, u64>,
    of_number: BTreeMap<u64, u64>,
    tokens: BTreeMap<u64, Published>,
    /// Answers for which no packet id was free.
    unidentified: VecDeque<u64>,
    todo: VecDeque<Todo>,
    notices: VecDeque<Notice>,
    /// Records that the journal has to tell of.
    outstanding: VecDeque<Record>,
    /// Records that it refused, and when that is tried again.
    unkept: VecDeque<Record>,
    /// Entries of which it will tell that they were not kept, which is known.
    not_kept: usize,
    /// How many of the records that it refused the state holds that is to replace it.
    in_snapshot: usize,
    refused_until: Option<f64>,
    replacing: bool,
    /// Bytes of entries since the last snapshot, and of that.
    entries: u64,
    snapshot: u64,
    leaving: bool,
    look_at: f64,
    tally: Tally,
}

impl Desk {
    /// `records`: what the journal holds of a life before.
    pub fn new(
        section: &Section,
        deployment: &Deployment,
        index: u32,
        password: Option<Bytes>,
        records: &[Record],
        now: f64,
    ) -> Desk {
        let mut wish = section.wish(index);
        wish.password = password;
        let (ledger, todo) = Ledger::recover(records, section.most_times, now);
        // Without a receive maximum a 3.1.1 broker gives as many as it pleases.
        let most_waiting = match section.version {
            Version::V5 => usize::from(section.receive_maximum),
            Version::V311 => 4 * usize::from(section.receive_maximum),
        };
        let admission = Admission::new(deployment.trigger_types.len(), section.in_flight, most_waiting);
        let mut desk = Desk {
            rules: section.rules.clone(),
            version: section.version,
            set_aside: section.set_aside.clone(),
            hands_over: section.hands_over,
            answer_margin: section.answer_margin,
            journal_bytes: section.journal_bytes,
            session: Session::new(wish),
            admission,
            ledger,
            offered: BTreeMap::new(),
            poisoned: VecDeque::new(),
            holding: None,
            session_present: false,
            numbers: BTreeMap::new(),
            of_number: BTreeMap::new(),
            tokens: BTreeMap::new(),
            unidentified: VecDeque::new(),
            todo: VecDeque::new(),
            notices: VecDeque::new(),
            outstanding: VecDeque::new(),
            unkept: VecDeque::new(),
            not_kept: 0,
            in_snapshot: 0,
            refused_until: None,
            replacing: false,
            entries: 0,
            snapshot: 0,
            leaving: false,
            look_at: now,
            tally: Tally::default(),
        };
        for (n, packet) in desk.ledger.unconfirmed().collect::<Vec<_>>() {
            let number = desk.session.was_received(packet);
            desk.is_delivery(n, number);
        }
        desk.perform(now, todo);
        desk
    }

    fn is_delivery(&mut self, n: u64, number: u64) {
        self.numbers.insert(n, number);
        self.of_number.insert(number, n);
    }

    pub fn version(&self) -> Version {
        self.version
    }

    pub fn is_connected(&self) -> bool {
        self.session.is_connected()
    }

    pub fn next_packet(&mut self) -> Option<Packet> {
        self.session.next_packet()
    }

    pub fn next_todo(&mut self) -> Option<Todo> {
        self.todo.pop_front()
    }

    pub fn next_notice(&mut self) -> Option<Notice> {
        self.notices.pop_front()
    }

    pub fn held(&self, n: u64) -> Option<&Held> {
        self.ledger.held(n)
    }

    /// When the answer to a message has to be ready.
    pub fn ready_by(&self, n: u64) -> f64 {
        self.ledger.until(n) - self.answer_margin
    }

    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Messages in hand, and those that wait to be.
    pub fn in_hand(&self) -> (usize, usize) {
        (self.ledger.len(), self.offered.len())
    }

    /// A connection to the broker has been made.
    pub fn connect(&mut self, now: f64) {
        self.session.connect(now);
    }

    /// It is gone. What was not taken on is given again.
    pub fn lost(&mut self) {
        self.session.lost();
        self.holding = None;
        let waited =
            std::mem::take(&mut self.offered).into_keys().chain(self.poisoned.drain(..).map(|p| p.n));
        for n in waited {
            if let Some(number) = self.numbers.remove(&n) {
                self.of_number.remove(&number);
            }
        }
        self.admission.forget_waiting();
    }

    /// Nothing new is taken; what is in hand comes to its end.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    pub fn disconnect(&mut self, now: f64) {
        self.session.disconnect(now);
    }

    /// A packet from the broker. After a fault the connection is to be closed.
    pub fn received(&mut self, now: f64, packet: Packet, deployment: &Deployment) -> Result<(), Ended> {
        for event in self.session.received(now, packet)? {
            match event {
                Event::Connected { session_present } => {
                    self.session_present = session_present;
                    self.holding = Some(vec![]);
                    self.notices.push_back(Notice::Connected { session_present });
                }
                Event::Subscribed { refused } => {
                    if !refused.is_empty() {
                        self.notices.push_back(Notice::Refused(refused));
                    }
                }
                Event::Delivered(d) => match &mut self.holding {
                    Some(holding) => holding.push(d),
                    None => self.take(now, d, deployment)?,
                },
                Event::Resumed => {
                    let holding = self.holding.take().unwrap_or_default();
                    let again: Vec<_> =
                        holding.iter().map(|d| (d.id, d.topic.as_str(), &d.payload)).collect();
                    let todo = self.ledger.resumed(self.session_present, &again, self.hands_over);
                    self.perform(now, todo);
                    for d in holding {
                        self.take(now, d, deployment)?;
                    }
                }
                Event::Confirmed { number } => {
                    match self.of_number.get(&number) {
                        Some(&n) if !self.ledger.owns(n) => {
                            let todo = self.ledger.confirmed(n);
                            self.perform(now, todo);
                        }
                        // It is written down already, or done with.
                        _ => self.session.complete(now, number),
                    }
                }
                Event::Recorded { token } => {
                    if let Some(&Published::Answer(n)) = self.tokens.get(&token) {
                        let todo = self.ledger.recorded(n);
                        self.perform(now, todo);
                    }
                }
                Event::Published { token, code } => self.published(now, token, code),
            }
        }
        self.decide(now);
        Ok(())
    }

    fn published(&mut self, now: f64, token: u64, code: u8) {
        let Some(published) = self.tokens.remove(&token) else { return };
        let (Published::Answer(n) | Published::Copy(n)) = published;
        // 0x10: nobody subscribes to it, which is the publisher's affair.
        if code >= 0x80 {
            self.not_published(n, Some(code));
        }
        let todo = match published {
            Published::Copy(n) => self.ledger.aside(n),
            Published::Answer(n) => {
                self.tally.answered += u64::from(code < 0x80);
                self.ledger.completed(n)
            }
        };
        self.perform(now, todo);
        if let Some(n) = self.unidentified.pop_front() {
            self.perform(now, vec![Do::Identify(n)]);
        }
    }

    fn not_published(&mut self, n: u64, code: Option<u8>) {
        self.tally.not_published += 1;
        let reply = self.ledger.held(n).and_then(|h| h.reply.as_ref());
        let topic = reply.map_or_else(String::new, |r| r.topic.clone());
        self.notices.push_back(Notice::NotPublished { topic, code });
    }

    /// What a message becomes. It waits unacknowledged until it is taken on.
    fn take(&mut self, now: f64, d: Delivery, deployment: &Deployment) -> Result<(), Ended> {
        self.tally.delivered += 1;
        if d.retained {
            self.tally.retained += 1;
            if let Some(number) = d.number {
                self.session.acknowledge(now, number, 0);
            }
            return Ok(());
        }
        let n = self.ledger.number();
        if let Some(number) = d.number {
            self.is_delivery(n, number);
        }
        let packet = (d.number.map(|_| d.id), d.qos == Qos::ExactlyOnce);
        match self.rules.call(deployment, &d) {
            Ok(call) => self.offer(now, n, (d, call), packet, deployment),
            Err(poison) => {
                self.poisoned.push_back(Poisoned { n, delivery: d, packet, why: poison.to_string() });
                Ok(())
            }
        }
    }

    fn offer(
        &mut self,
        now: f64,
        n: u64,
        (d, call): (Delivery, Call),
        packet: (Option<u16>, bool),
        deployment: &Deployment,
    ) -> Result<(), Ended> {
        let terms = &deployment.policy.trigger_types[call.trigger_type];
        let effect = match (terms.effect, terms.group) {
            (interface::Effect::Idempotent, _) => Effect::Idempotent,
            (interface::Effect::Tokened, interface::Group::All) => {
                Effect::Tokened { until: now + terms.window }
            }
            // A token that is remembered in a part of the fleet protects within that alone.
            (interface::Effect::Tokened | interface::Effect::NonIdempotent, _) => Effect::NonIdempotent,
        };
        let whole = self.rules.list[call.rule].time_left;
        let until = call.sent_at.map_or(f64::INFINITY, |at| at + whole).min(now + call.time_left);
        let tokened = terms.effect == interface::Effect::Tokened;
        let held = Held {
            name: call.name,
            topic: d.topic,
            payload: call.payload,
            reply: call.answer,
            work: Work {
                function: call.function,
                trigger_type: deployment.trigger_types[call.trigger_type].name.clone(),
                customer: call.customer,
                token: if tokened { call.token } else { String::new() },
            },
            until,
        };
        let waiting = Waiting {
            trigger_type: call.trigger_type,
            value: terms.billed_value,
            until: until - self.answer_margin,
            key: call.key,
        };
        if !self.admission.offered(n, waiting) {
            if d.number.is_none() {
                self.tally.dropped += 1;
                return Ok(());
            }
            return Err(Ended::Protocol("more deliveries than can be held"));
        }
        self.offered.insert(n, Offered { packet, effect, held });
        Ok(())
    }

    /// What can never become an invocation is answered as soon as that can be written down.
    fn put_aside(&mut self, now: f64) {
        while let Some(Poisoned { n, delivery: d, packet, why }) = self.poisoned.pop_front() {
            let held = Held {
                name: Rules::name(&d),
                reply: self.rules.reply(&d),
                topic: d.topic,
                payload: d.payload,
                work: Work::default(),
                until: now,
            };
            let answer = Some(Answer::SetAside { why });
            let todo = self.ledger.delivered(n, Effect::NonIdempotent, packet, held.into(), answer);
            self.perform(now, todo);
        }
    }

    /// Takes on what is to be taken on now; what can't be answered in time is answered at once.
    fn decide(&mut self, now: f64) {
        self.look_at = now + LOOK;
        let over = self.entries + self.snapshot > self.journal_bytes;
        if self.refused_until.is_some() || self.leaving || over || self.holding.is_some() {
            return;
        }
        self.put_aside(now);
        for decided in self.admission.decide(now) {
            let (Decided::TakeOn(n) | Decided::GiveUp(n)) = decided;
            let Some(o) = self.offered.remove(&n) else { continue };
            let answer = match decided {
                Decided::TakeOn(_) => None,
                Decided::GiveUp(_) => Some(Answer::Throttled),
            };
            self.tally.invoked += u64::from(answer.is_none());
            self.tally.given_up += u64::from(answer.is_some());
            let todo = self.ledger.delivered(n, o.effect, o.packet, o.held.into(), answer);
            if self.ledger.answer(n).is_some() {
                // Set aside: nothing is dispatched for it.
                self.admission.dropped(n);
            }
            self.perform(now, todo);
        }
    }

    /// The final answer of a message's invocation.
    pub fn came(&mut self, now: f64, n: u64, answer: Answer) {
        self.admission.ended(now, n, answer == Answer::Throttled);
        let todo = self.ledger.came(n, answer);
        self.perform(now, todo);
        self.decide(now);
    }

    fn write(&mut self, record: Record) {
        if self.refused_until.is_some() {
            self.unkept.push_back(record);
            return;
        }
        let bytes = serde_json::to_vec(&record).unwrap_or_default();
        self.entries += bytes.len() as u64 + 12;
        self.outstanding.push_back(record);
        self.todo.push_back(Todo::Write(bytes));
    }

    /// The journal has kept the next of the entries given to it, or can't.
    pub fn kept(&mut self, now: f64, well: bool) {
        if self.not_kept > 0 {
            self.not_kept -= 1;
            return;
        }
        let Some(record) = self.outstanding.pop_front() else { return };
        if well {
            self.settle(now, &record);
            return;
        }
        // Nor is what was handed over after it. They stay in their order, before what comes now.
        self.not_kept = self.outstanding.len();
        self.unkept.push_back(record);
        self.unkept.append(&mut self.outstanding);
        self.refuse(now);
    }

    fn refuse(&mut self, now: f64) {
        if self.refused_until.is_none() {
            self.notices.push_back(Notice::JournalFailed);
        }
        self.refused_until = Some(now + RETRY);
        self.look_at = now;
    }

    /// All that the journal holds has been replaced, or not. Guards promises against a disk that is full or was not
    /// synced: what such a journal holds is not known, so all that is in hand is written anew elsewhere.
    pub fn replaced(&mut self, now: f64, well: bool) {
        self.replacing = false;
        if !well {
            self.refuse(now);
            return;
        }
        if self.refused_until.take().is_some() {
            self.notices.push_back(Notice::JournalBack);
        }
        // What came while it was replaced is not in there.
        let mut kept = std::mem::take(&mut self.unkept);
        for record in kept.split_off(self.in_snapshot.min(kept.len())) {
            self.write(record);
        }
        for record in kept {
            self.settle(now, &record);
        }
        self.decide(now);
    }

    fn settle(&mut self, now: f64, record: &Record) {
        if let Record::Done { n } = record {
            // Guards a place in flight against a message that was given again before it was dispatched.
            self.admission.dropped(*n);
            if let Some(number) = self.numbers.remove(n) {
                self.of_number.remove(&number);
            }
        }
        let todo = self.ledger.kept(record);
        self.perform(now, todo);
    }

    fn perform(&mut self, now: f64, todo: Vec<Do>) {
        let mut todo = VecDeque::from(todo);
        while let Some(next) = todo.pop_front() {
            match next {
                Do::Write(record) => self.write(record),
                Do::Acknowledge(n) => {
                    // Where the connection was lost meanwhile the broker gives it again.
                    if let Some(&number) = self.numbers.get(&n) {
                        self.session.acknowledge(now, number, 0);
                    }
                }
                Do::Complete(n) => {
                    if let Some(&number) = self.numbers.get(&n) {
                        self.session.complete(now, number);
                    }
                }
                Do::Dispatch(n) => self.todo.push_back(Todo::Dispatch(n)),
                Do::Withdraw(n) => {
                    self.admission.dropped(n);
                    self.todo.push_back(Todo::Withdraw(n));
                }
                Do::SetAside(n) => todo.extend(self.copy_aside(now, n)),
                Do::Identify(n) => match self.session.reserve() {
                    Some(id) => todo.extend(self.ledger.identified(n, id)),
                    None => self.unidentified.push_back(n),
                },
                Do::Publish { n, id, again } => todo.extend(self.publish(now, n, id, again)),
                Do::Release { n, id } => {
                    let token = self.session.release(now, id);
                    self.tokens.insert(token, Published::Answer(n));
                }
            }
        }
    }

    fn copy_aside(&mut self, now: f64, n: u64) -> Vec<Do> {
        let (Some(held), Some(Answer::SetAside { why })) = (self.ledger.held(n), self.ledger.answer(n))
        else {
            return vec![];
        };
        self.tally.set_aside += 1;
        let (from, why) = (held.topic.clone(), why.clone());
        let properties = vec![
            Property::User("orchidtally-topic".into(), from.clone()),
            Property::User("orchidtally-why".into(), why.clone()),
        ];
        let payload = match self.version {
            Version::V5 => held.payload.clone(),
            Version::V311 => {
                let told =
                    json!({ "topic": from, "why": why, "payloadBase64": STANDARD.encode(&held.payload) });
                told.to_string().into()
            }
        };
        self.notices.push_back(Notice::SetAside { topic: from, why });
        let published = self
            .set_aside
            .clone()
            .and_then(|to| self.session.publish(now, &to, payload, Qos::AtLeastOnce, properties).ok());
        match published {
            Some(token) => {
                self.tokens.insert(token, Published::Copy(n));
                vec![]
            }
            // There is no place for it, or it would never be taken there.
            None => self.ledger.aside(n),
        }
    }

    fn publish(&mut self, now: f64, n: u64, id: u16, again: bool) -> Vec<Do> {
        let (Some(held), Some(answer)) = (self.ledger.held(n), self.ledger.answer(n)) else { return vec![] };
        let Some(reply) = held.reply.clone() else { return self.ledger.completed(n) };
        self.tally.unknown += u64::from(*answer == Answer::Unknown);
        let (payload, properties) = said(self.version, held, answer);
        let too_long =
            Answer::Errored { why: "the answer is longer than the broker takes".into(), may_have_run: true };
        let (short, short_properties) = said(self.version, held, &too_long);
        let first = self.session.publish_as(now, id, again, &reply.topic, payload, properties);
        match first
            .or_else(|_| self.session.publish_as(now, id, again, &reply.topic, short, short_properties))
        {
            Ok(token) => {
                self.tokens.insert(token, Published::Answer(n));
                vec![]
            }
            Err(_) => {
                self.not_published(n, None);
                self.ledger.completed(n)
            }
        }
    }

    fn state(&self) -> Vec<u8> {
        let mut records = self.ledger.records();
        records.extend(self.outstanding.iter().chain(&self.unkept).cloned());
        serde_json::to_vec(&records).unwrap_or_default()
    }

    pub fn due_at(&self) -> f64 {
        let looks = !self.offered.is_empty() || !self.poisoned.is_empty() || self.refused_until.is_some();
        let look_at = if looks { self.look_at } else { f64::INFINITY };
        self.session.due_at().min(look_at)
    }

    /// What is due by the time.
    pub fn turn(&mut self, now: f64) -> Result<(), Ended> {
        let full = self.entries as f64 > FOLDED_AT * self.journal_bytes as f64;
        let again = self.refused_until.is_some_and(|at| now >= at) && self.not_kept == 0;
        if (again || full && self.refused_until.is_none()) && !self.replacing {
            let state = self.state();
            self.in_snapshot = self.unkept.len();
            (self.entries, self.snapshot, self.replacing) = (0, state.len() as u64, true);
            self.todo.push_back(Todo::Replace(state));
        }
        self.decide(now);
        self.session.turn(now)
    }
}

/// What an answer is on its topic. Version 3.1.1 has no properties, so that all stands in the payload.
fn said(version: Version, held: &Held, answer: &Answer) -> (Bytes, Properties) {
    let (outcome, detail, may_have_run) = match answer {
        Answer::Succeeded { .. } => ("succeeded", "", true),
        Answer::Throttled => ("throttled", "there was no room in time; asking again is harmless", false),
        Answer::Errored { why, may_have_run } => ("errored", why.as_str(), *may_have_run),
        Answer::Unknown => {
            ("unknown", "the front end died with its dispatch out: whether it ran isn't known", true)
        }
        Answer::SetAside { why } => ("setAside", why.as_str(), false),
    };
    let mut body = json!({ "invocation": held.name, "outcome": outcome });
    if !detail.is_empty() {
        body["detail"] = detail.into();
        body["mayHaveRun"] = may_have_run.into();
    }
    match (version, answer) {
        (Version::V5, _) => {
            let payload = match answer {
                Answer::Succeeded { payload } => payload.clone(),
                _ => body.to_string().into(),
            };
            let user = |name: &str, value: &str| Property::User(name.into(), value.into());
            let mut properties =
                vec![user("orchidtally-outcome", outcome), user(crate::rules::NAME, &held.name)];
            let correlation = held.reply.as_ref().map(|r| r.correlation.clone()).unwrap_or_default();
            if !correlation.is_empty() {
                properties.push(Property::CorrelationData(correlation));
            }
            (payload, properties)
        }
        (Version::V311, Answer::Succeeded { payload }) => {
            match std::str::from_utf8(payload) {
                Ok(text) => body["payload"] = text.into(),
                Err(_) => body["payloadBase64"] = STANDARD.encode(payload).into(),
            }
            (body.to_string().into(), vec![])
        }
        (Version::V311, _) => (body.to_string().into(), vec![]),
    }
}
