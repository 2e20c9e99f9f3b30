//! Admission: which of the messages that wait at this front end are taken next, and which can't be answered in time
//! any more. The broker keeps the rest: what is not admitted is not acknowledged, and the receive maximum bounds it.
//!
//! The limit on invocations in flight grows by one for each round of answers in time and is cut where an answer is
//! throttled (additive increase, multiplicative decrease).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The weight of the newest answer in the usual time of a trigger type.
const SMOOTHING_FACTOR: f64 = 0.05;
/// The part of a message's time left that an answer is assumed to take, where no answer of its trigger type is
/// known.
const UNKNOWN_DURATION_FRACTION: f64 = 0.25;
/// The factor by which a throttled answer cuts the limit, and the least limit.
const DECREASE_FACTOR: f64 = 0.7;
const MIN_LIMIT: f64 = 1.0;
/// What was admitted earlier than this many seconds after a cut does not cut the limit again.
const DECREASE_INTERVAL: f64 = 0.1;
/// The least time in seconds that an answer is assumed to take.
const MIN_DURATION: f64 = 1e-6;

/// A message that waits.
#[derive(Clone, Debug)]
pub struct WaitingMessage {
    /// The index of its trigger type.
    pub trigger_type: usize,
    /// What an answer in time earns.
    pub value: f64,
    /// When its publisher gives up.
    pub deadline: f64,
    /// Messages of one key are admitted in their order, one at a time.
    pub key: Option<String>,
}

/// What becomes of a message that waited, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is invoked.
    Admit(u64),
    /// It can't be answered in time: it is answered as throttled at once, as nothing has run.
    Reject(u64),
}

#[derive(Debug)]
struct InFlight {
    trigger_type: usize,
    key: Option<String>,
    admitted_at: f64,
}

/// Messages that wait, and the invocations in flight.
#[derive(Debug)]
pub struct AdmissionQueue {
    max_waiting: usize,
    waiting: BTreeMap<u64, WaitingMessage>,
    /// The waiting messages of each key, the oldest first.
    queues: BTreeMap<String, VecDeque<u64>>,
    /// Keys of which a message is in flight.
    active_keys: BTreeSet<String>,
    in_flight: BTreeMap<u64, InFlight>,
    /// The usual time of an answer in seconds, by trigger type.
    typical_durations: Vec<Option<f64>>,
    limit: f64,
    max_in_flight: f64,
    last_decrease_at: f64,
}

impl AdmissionQueue {
    /// An empty queue. `most_waiting` is the client's receive maximum.
    pub fn new(trigger_types: usize, max_in_flight: usize, max_waiting: usize) -> AdmissionQueue {
        AdmissionQueue {
            max_waiting,
            waiting: BTreeMap::new(),
            queues: BTreeMap::new(),
            active_keys: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            typical_durations: vec![None; trigger_types],
            limit: max_in_flight as f64,
            max_in_flight: max_in_flight as f64,
            last_decrease_at: f64::NEG_INFINITY,
        }
    }

    /// The number of messages that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The number of messages that were admitted and are not finished.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Offers a message under a number that grows. Returns false where as many messages wait as may: a broker that
    /// keeps to the receive maximum never comes to that.
    pub fn enqueue(&mut self, message_id: u64, message: WaitingMessage) -> bool {
        if self.waiting.len() >= self.max_waiting
            || message.trigger_type >= self.typical_durations.len()
        {
            return false;
        }
        if let Some(key) = &message.key {
            self.queues
                .entry(key.clone())
                .or_default()
                .push_back(message_id);
        }
        self.waiting.insert(message_id, message);
        true
    }

    /// The time that an answer usually takes.
    fn typical_duration(&self, message: &WaitingMessage, now: f64) -> f64 {
        let remaining = (message.deadline - now).max(0.0);
        self.typical_durations[message.trigger_type]
            .unwrap_or(UNKNOWN_DURATION_FRACTION * remaining)
    }

    fn remove_waiting(&mut self, message_id: u64) -> Option<WaitingMessage> {
        let message = self.waiting.remove(&message_id)?;
        if let Some(key) = &message.key
            && let Some(queue) = self.queues.get_mut(key)
        {
            queue.retain(|&other| other != message_id);
            if queue.is_empty() {
                self.queues.remove(key);
            }
        }
        Some(message)
    }

    /// Whether no message of its key has to come before it.
    fn is_first_of_key(&self, message_id: u64, message: &WaitingMessage) -> bool {
        message.key.as_ref().is_none_or(|key| {
            !self.active_keys.contains(key)
                && self.queues.get(key).and_then(VecDeque::front) == Some(&message_id)
        })
    }

    /// Decides on the messages that wait: those that can't be in time are given up, and the room goes to those that
    /// earn the most for their time, the newest first, since it has all of its time before it.
    pub fn decide(&mut self, now: f64) -> Vec<Decision> {
        let mut decisions = vec![];
        for message_id in self.overdue(now) {
            self.remove_waiting(message_id);
            decisions.push(Decision::Reject(message_id));
        }
        while (self.in_flight.len() as f64) < self.limit.floor().max(MIN_LIMIT) {
            let Some(message_id) = self.highest_value_rate(now) else {
                break;
            };
            let Some(message) = self.remove_waiting(message_id) else {
                break;
            };
            let WaitingMessage {
                trigger_type, key, ..
            } = message;
            self.active_keys.extend(key.clone());
            self.in_flight.insert(
                message_id,
                InFlight {
                    trigger_type,
                    key,
                    admitted_at: now,
                },
            );
            decisions.push(Decision::Admit(message_id));
        }
        decisions
    }

    /// Messages that can't be answered in time.
    fn overdue(&self, now: f64) -> Vec<u64> {
        let is_overdue =
            |message: &WaitingMessage| now + self.typical_duration(message, now) > message.deadline;
        self.waiting
            .iter()
            .filter(|(_, message)| is_overdue(message))
            .map(|(&message_id, _)| message_id)
            .collect()
    }

    /// The message that earns the most for its time; of several the newest.
    fn highest_value_rate(&self, now: f64) -> Option<u64> {
        let value_rate = |message: &WaitingMessage| {
            message.value / self.typical_duration(message, now).max(MIN_DURATION)
        };
        let candidates = self
            .waiting
            .iter()
            .filter(|(message_id, message)| self.is_first_of_key(**message_id, message));
        let best = candidates.max_by(|a, b| {
            value_rate(a.1)
                .total_cmp(&value_rate(b.1))
                .then(a.0.cmp(b.0))
        });
        best.map(|(&message_id, _)| message_id)
    }

    /// An admitted message has no end here: the broker gives it again, or it is set aside.
    pub fn cancel(&mut self, message_id: u64) {
        if let Some(key) = self
            .in_flight
            .remove(&message_id)
            .and_then(|message| message.key)
        {
            self.active_keys.remove(&key);
        }
    }

    /// The connection is lost: the broker gives again what waits.
    pub fn clear_waiting(&mut self) {
        self.waiting.clear();
        self.queues.clear();
    }

    /// An invocation has had its final answer. A throttled one cuts the limit: there is no room for as many.
    pub fn finished(&mut self, now: f64, message_id: u64, throttled: bool) {
        let Some(message) = self.in_flight.remove(&message_id) else {
            return;
        };
        if let Some(key) = &message.key {
            self.active_keys.remove(key);
        }
        if throttled {
            if message.admitted_at > self.last_decrease_at + DECREASE_INTERVAL {
                self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
                self.last_decrease_at = now;
            }
            return;
        }
        self.limit = (self.limit + 1.0 / self.limit).min(self.max_in_flight);
        let duration = now - message.admitted_at;
        let typical_duration = &mut self.typical_durations[message.trigger_type];
        *typical_duration = Some(typical_duration.map_or(duration, |typical| {
            typical + SMOOTHING_FACTOR * (duration - typical)
        }));
    }
}
