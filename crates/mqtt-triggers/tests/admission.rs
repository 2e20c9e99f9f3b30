//! Admission against a plain queue under more than can be served, and its promises under drawn courses.

use orchidtally_mqtt_triggers::admission::{AdmissionQueue, Decision, WaitingMessage};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(4), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn each_message_is_decided_once_and_keys_keep_their_order(steps in proptest::collection::vec((0u8..4, 0u64..3, 0.05..2.0f64, any::<bool>()), 1..120)) {
        let mut a = AdmissionQueue::new(2, 4, 20);
        let (mut now, mut n) = (0.0, 0);
        let mut keys: BTreeMap<u64, String> = BTreeMap::new();
        let (mut offered, mut decided) = (vec![], vec![]);
        let mut flying: VecDeque<u64> = VecDeque::new();
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        for (what, key, time, throttled) in steps {
            now += time / 20.0;
            match what {
                0..=1 => {
                    n += 1;
                    let key = (key > 0).then(|| key.to_string());
                    let m = WaitingMessage { trigger_type: (n % 2) as usize, value: time, deadline: now + time, key: key.clone() };
                    if a.enqueue(n, m) {
                        offered.push(n);
                        keys.extend(key.map(|k| (n, k)));
                    }
                }
                2 => {
                    if let Some(n) = flying.pop_front() {
                        a.finished(now, n, throttled);
                    }
                }
                _ => now += time,
            }
            prop_assert!(a.waiting() <= 20);
            for d in a.decide(now) {
                let (Decision::Admit(n) | Decision::Reject(n)) = d;
                decided.push(n);
                if let Decision::Admit(n) = d {
                    if let Some(key) = keys.get(&n) {
                        prop_assert!(flying.iter().all(|f| keys.get(f) != Some(key)), "two of a key in flight");
                        prop_assert!(last.insert(key.clone(), n).is_none_or(|before| before < n), "out of order");
                    }
                    flying.push_back(n);
                }
            }
            prop_assert!(a.in_flight() <= 4 && a.in_flight() == flying.len());
        }
        now += 100.0;
        while let Some(n) = flying.pop_front() {
            a.finished(now, n, false);
        }
        decided.extend(a.decide(now).into_iter().map(|d| match d {
            Decision::Admit(n) | Decision::Reject(n) => n,
        }));
        decided.sort_unstable();
        prop_assert_eq!(decided, offered, "each once");
    }
}

/// Messages at three times of what four servers can do; what is answered in time earns its value. A broker keeps
/// what does not fit.
fn earned(first_come: bool) -> f64 {
    const SERVERS: usize = 4;
    const TIME: f64 = 0.1;
    let mut admission = AdmissionQueue::new(2, SERVERS, 60);
    let mut broker: VecDeque<(u64, WaitingMessage)> = VecDeque::new();
    let mut plain: VecDeque<u64> = VecDeque::new();
    let mut messages: BTreeMap<u64, WaitingMessage> = BTreeMap::new();
    let mut flying: Vec<(f64, u64)> = vec![];
    let (mut earned, mut n, mut seed) = (0.0, 0, 7u64);
    for step in 0..30_000 {
        let now = f64::from(step) * 0.001;
        flying.retain(|&(at, n)| {
            if at > now {
                return true;
            }
            earned += if at <= messages[&n].deadline {
                messages[&n].value
            } else {
                0.0
            };
            admission.finished(now, n, false);
            false
        });
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        if (seed >> 33) % 1_000 < 120 {
            n += 1;
            let dear = n % 5 == 0;
            let value = if dear { 5.0 } else { 1.0 };
            let m = WaitingMessage {
                trigger_type: usize::from(dear),
                value,
                deadline: now + 1.0,
                key: None,
            };
            messages.insert(n, m.clone());
            broker.push_back((n, m));
        }
        if first_come {
            plain.extend(broker.drain(..).map(|b| b.0));
            while flying.len() < SERVERS
                && let Some(n) = plain.pop_front()
            {
                flying.push((now + TIME, n));
            }
            continue;
        }
        while admission.waiting() < 60
            && let Some((n, m)) = broker.pop_front()
        {
            assert!(admission.enqueue(n, m));
        }
        for d in admission.decide(now) {
            if let Decision::Admit(n) = d {
                flying.push((now + TIME, n));
            }
        }
    }
    earned
}

#[test]
fn under_three_times_the_load_it_earns_far_more_than_first_come_first_served() {
    let (own, plain) = (earned(false), earned(true));
    println!(
        "value answered in time: {own:.0} against {plain:.0} first come first served, {:.1} times",
        own / plain
    );
    assert!(own > 5.0 * plain, "{own} against {plain}");
}

#[test]
fn throttled_answers_cut_what_is_in_flight_and_others_let_it_grow_again() {
    let mut a = AdmissionQueue::new(1, 10, 1_000);
    let mut n = 0;
    let mut round = |a: &mut AdmissionQueue, now: f64, throttled: bool| {
        for _ in 0..20 {
            n += 1;
            a.enqueue(
                n,
                WaitingMessage {
                    trigger_type: 0,
                    value: 1.0,
                    deadline: now + 60.0,
                    key: None,
                },
            );
        }
        let taken = a.decide(now);
        let on: Vec<u64> = taken
            .iter()
            .filter_map(|d| {
                if let Decision::Admit(n) = d {
                    Some(*n)
                } else {
                    None
                }
            })
            .collect();
        on.iter()
            .for_each(|&n| a.finished(now + 0.01, n, throttled));
        on.len()
    };
    let limits: Vec<usize> = (0..4).map(|r| round(&mut a, f64::from(r), true)).collect();
    assert_eq!(limits, [10, 7, 4, 3], "one cut a round");
    let last = (4..40).map(|r| round(&mut a, f64::from(r), false)).last();
    assert_eq!(last, Some(10));
}
