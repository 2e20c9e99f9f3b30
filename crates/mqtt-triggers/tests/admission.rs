//! Tests of admission: its invariants under random inputs, and its value under overload compared with a FIFO queue.

use orchidtally_mqtt_triggers::admission::{AdmissionQueue, Decision, WaitingMessage};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(4), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn each_message_is_decided_once_and_keys_keep_their_order(steps in proptest::collection::vec((0u8..4, 0u64..3, 0.05..2.0f64, any::<bool>()), 1..120)) {
        let mut queue = AdmissionQueue::new(2, 4, 20);
        let (mut now, mut message_id) = (0.0, 0);
        let mut keys: BTreeMap<u64, String> = BTreeMap::new();
        let (mut enqueued, mut decided) = (vec![], vec![]);
        let mut in_flight: VecDeque<u64> = VecDeque::new();
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        for (action, key, time, throttled) in steps {
            now += time / 20.0;
            match action {
                0..=1 => {
                    message_id += 1;
                    let key = (key > 0).then(|| key.to_string());
                    let message = WaitingMessage { trigger_type: (message_id % 2) as usize, value: time, deadline: now + time, key: key.clone() };
                    if queue.enqueue(message_id, message) {
                        enqueued.push(message_id);
                        keys.extend(key.map(|k| (message_id, k)));
                    }
                }
                2 => {
                    if let Some(message_id) = in_flight.pop_front() {
                        queue.finished(now, message_id, throttled);
                    }
                }
                _ => now += time,
            }
            prop_assert!(queue.waiting() <= 20);
            for decision in queue.decide(now) {
                let (Decision::Admit(message_id) | Decision::Reject(message_id)) = decision;
                decided.push(message_id);
                if let Decision::Admit(message_id) = decision {
                    if let Some(key) = keys.get(&message_id) {
                        prop_assert!(in_flight.iter().all(|f| keys.get(f) != Some(key)), "two messages with the same key in flight");
                        prop_assert!(last.insert(key.clone(), message_id).is_none_or(|before| before < message_id), "messages of a key out of order");
                    }
                    in_flight.push_back(message_id);
                }
            }
            prop_assert!(queue.in_flight() <= 4 && queue.in_flight() == in_flight.len());
        }
        now += 100.0;
        while let Some(message_id) = in_flight.pop_front() {
            queue.finished(now, message_id, false);
        }
        decided.extend(queue.decide(now).into_iter().map(|decision| match decision {
            Decision::Admit(message_id) | Decision::Reject(message_id) => message_id,
        }));
        decided.sort_unstable();
        prop_assert_eq!(decided, enqueued, "each message is decided exactly once");
    }
}

/// Simulates messages at three times the capacity of four servers and returns the total value of the answers in time.
/// The broker keeps the messages that don't fit into the queue.
fn total_value(is_fifo: bool) -> f64 {
    const SERVERS: usize = 4;
    const TIME: f64 = 0.1;
    let mut admission = AdmissionQueue::new(2, SERVERS, 60);
    let mut broker: VecDeque<(u64, WaitingMessage)> = VecDeque::new();
    let mut fifo: VecDeque<u64> = VecDeque::new();
    let mut messages: BTreeMap<u64, WaitingMessage> = BTreeMap::new();
    let mut in_flight: Vec<(f64, u64)> = vec![];
    let (mut total_value, mut message_id, mut seed) = (0.0, 0, 7u64);
    for step in 0..30_000 {
        let now = f64::from(step) * 0.001;
        in_flight.retain(|&(at, message_id)| {
            if at > now {
                return true;
            }
            total_value += if at <= messages[&message_id].deadline {
                messages[&message_id].value
            } else {
                0.0
            };
            admission.finished(now, message_id, false);
            false
        });
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        if (seed >> 33) % 1_000 < 120 {
            message_id += 1;
            let is_valuable = message_id % 5 == 0;
            let value = if is_valuable { 5.0 } else { 1.0 };
            let message = WaitingMessage {
                trigger_type: usize::from(is_valuable),
                value,
                deadline: now + 1.0,
                key: None,
            };
            messages.insert(message_id, message.clone());
            broker.push_back((message_id, message));
        }
        if is_fifo {
            fifo.extend(broker.drain(..).map(|b| b.0));
            while in_flight.len() < SERVERS
                && let Some(message_id) = fifo.pop_front()
            {
                in_flight.push((now + TIME, message_id));
            }
            continue;
        }
        while admission.waiting() < 60
            && let Some((message_id, message)) = broker.pop_front()
        {
            assert!(admission.enqueue(message_id, message));
        }
        for decision in admission.decide(now) {
            if let Decision::Admit(message_id) = decision {
                in_flight.push((now + TIME, message_id));
            }
        }
    }
    total_value
}

#[test]
fn at_three_times_the_capacity_admission_earns_far_more_than_fifo() {
    let (admission_value, fifo_value) = (total_value(false), total_value(true));
    println!(
        "value answered in time: {admission_value:.0}, FIFO {fifo_value:.0}, ratio {:.1}",
        admission_value / fifo_value
    );
    assert!(
        admission_value > 5.0 * fifo_value,
        "admission {admission_value}, FIFO {fifo_value}"
    );
}

#[test]
fn throttled_answers_reduce_the_limit_and_others_raise_it() {
    let mut queue = AdmissionQueue::new(1, 10, 1_000);
    let mut message_id = 0;
    let mut run_round = |queue: &mut AdmissionQueue, now: f64, throttled: bool| {
        for _ in 0..20 {
            message_id += 1;
            queue.enqueue(
                message_id,
                WaitingMessage {
                    trigger_type: 0,
                    value: 1.0,
                    deadline: now + 60.0,
                    key: None,
                },
            );
        }
        let decisions = queue.decide(now);
        let admitted: Vec<u64> = decisions
            .iter()
            .filter_map(|decision| {
                if let Decision::Admit(message_id) = decision {
                    Some(*message_id)
                } else {
                    None
                }
            })
            .collect();
        admitted
            .iter()
            .for_each(|&message_id| queue.finished(now + 0.01, message_id, throttled));
        admitted.len()
    };
    let limits: Vec<usize> = (0..4)
        .map(|r| run_round(&mut queue, f64::from(r), true))
        .collect();
    assert_eq!(limits, [10, 7, 4, 3], "one decrease per round");
    let last = (4..40)
        .map(|r| run_round(&mut queue, f64::from(r), false))
        .last();
    assert_eq!(last, Some(10));
}
