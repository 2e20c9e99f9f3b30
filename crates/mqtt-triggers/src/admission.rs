//! Admission control: decides which waiting messages are invoked next, and rejects those that can no longer be
//! answered in time. A message is not acknowledged until it is admitted, so that the receive maximum bounds the queue
//! and the broker keeps the rest.
//!
//! The limit on invocations in flight is adapted by additive increase, multiplicative decrease: it grows by one per
//! round of successful answers and is reduced when an answer is throttled.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The weight of the newest duration in the moving average of a trigger type.
const SMOOTHING_FACTOR: f64 = 0.05;
/// The fraction of a message's remaining time that its invocation is assumed to take, as long as no duration of its
/// trigger type has been measured.
const UNKNOWN_DURATION_FRACTION: f64 = 0.25;
/// The factor by which a throttled answer reduces the limit.
const DECREASE_FACTOR: f64 = 0.7;
/// The lower bound of the limit on invocations in flight.
const MIN_LIMIT: f64 = 1.0;
/// Throttled invocations that were admitted less than this many seconds after a decrease don't cause another one.
const DECREASE_INTERVAL: f64 = 0.1;
/// The minimum duration in seconds that an invocation is assumed to take.
const MIN_DURATION: f64 = 1e-6;

/// A message that waits for admission.
#[derive(Clone, Debug)]
pub struct WaitingMessage {
    /// The index of its trigger type.
    pub trigger_type: usize,
    /// The billed value of an answer in time.
    pub value: f64,
    /// When the answer has to be ready, in seconds since 1970.
    pub deadline: f64,
    /// Messages with the same key are admitted in order and one at a time; `None` for no ordering.
    pub key: Option<String>,
}

/// A decision on a waiting message, with its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The message is to be invoked.
    Admit(u64),
    /// The message can't be answered in time: it is answered as throttled without an invocation.
    Reject(u64),
}

#[derive(Debug)]
struct InFlight {
    trigger_type: usize,
    key: Option<String>,
    admitted_at: f64,
}

/// The queue of waiting messages and the invocations in flight.
#[derive(Debug)]
pub struct AdmissionQueue {
    max_waiting: usize,
    waiting: BTreeMap<u64, WaitingMessage>,
    /// The waiting messages of each key, oldest first.
    queues: BTreeMap<String, VecDeque<u64>>,
    /// Keys with a message in flight.
    active_keys: BTreeSet<String>,
    in_flight: BTreeMap<u64, InFlight>,
    /// The moving average of the invocation duration in seconds, by trigger type; `None` until one is measured.
    typical_durations: Vec<Option<f64>>,
    limit: f64,
    max_in_flight: f64,
    last_decrease_at: f64,
}

impl AdmissionQueue {
    /// Creates an empty queue. `max_waiting` is normally the client's receive maximum.
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

    /// The number of waiting messages.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The number of admitted messages without a final answer.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Adds a message to the queue. Ids have to increase. Returns false if the queue is full, which can't happen with
    /// a broker that observes the receive maximum, or if the trigger type is unknown.
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

    /// The expected duration of the invocation in seconds.
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

    /// Whether no other message of the same key has to be admitted or finished first.
    fn is_first_of_key(&self, message_id: u64, message: &WaitingMessage) -> bool {
        message.key.as_ref().is_none_or(|key| {
            !self.active_keys.contains(key)
                && self.queues.get(key).and_then(VecDeque::front) == Some(&message_id)
        })
    }

    /// Rejects messages that can't be answered in time and admits others up to the limit, in the order of their value
    /// per second of expected duration. The newest of equal messages is preferred because it has the most time left.
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

    /// Returns the messages that can't be answered in time.
    fn overdue(&self, now: f64) -> Vec<u64> {
        let is_overdue =
            |message: &WaitingMessage| now + self.typical_duration(message, now) > message.deadline;
        self.waiting
            .iter()
            .filter(|(_, message)| is_overdue(message))
            .map(|(&message_id, _)| message_id)
            .collect()
    }

    /// Returns the message with the highest value per second of expected duration; the newest if several are equal.
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

    /// Frees the slot and the key of an admitted message that gets no answer from an invocation, because the broker
    /// redelivers it or it becomes a dead letter.
    pub fn cancel(&mut self, message_id: u64) {
        if let Some(key) = self
            .in_flight
            .remove(&message_id)
            .and_then(|message| message.key)
        {
            self.active_keys.remove(&key);
        }
    }

    /// Removes all waiting messages. Called when the connection is lost: the broker redelivers them.
    pub fn clear_waiting(&mut self) {
        self.waiting.clear();
        self.queues.clear();
    }

    /// Records the final answer of an invocation. A throttled answer reduces the limit, as there is no capacity for
    /// that many invocations; any other answer raises it and updates the expected duration.
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
