//! Compares durable invocations with a reference model, with crashes between any two records.

use bytes::Bytes;
use orchidtally_mqtt_triggers::durable_invocations::{
    DurableInvocations, DurableOutcome, InvocationState, Record,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const RETENTION: f64 = 50.0;

fn empty() -> DurableInvocations {
    DurableInvocations::new(RETENTION, 6, 4)
}

/// The reference model's state of a name: its executions and its outcome.
#[derive(Default)]
struct Name {
    runs: u32,
    running: bool,
    ended: Option<(f64, DurableOutcome)>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_name_runs_twice_while_it_is_retained(steps in proptest::collection::vec((0u8..10, 0u8..8, 0.0..9.0f64), 1..80)) {
        let mut invocations = empty();
        let mut journal: Vec<Record> = vec![];
        let mut names: BTreeMap<String, Name> = BTreeMap::new();
        let mut now = 0.0;
        for (what, name, time) in steps {
            now += time;
            let name = name.to_string();
            names.values_mut().for_each(|n| {
                if n.ended.as_ref().is_some_and(|o| o.0 + RETENTION <= now) {
                    *n = Name::default();
                }
            });
            let known = names.values().filter(|n| n.running || n.ended.is_some()).count();
            let n = names.entry(name.clone()).or_default();
            match what {
                0..=4 => match invocations.begin(now, &name) {
                    InvocationState::New(record) => {
                        prop_assert!(!n.running && n.ended.is_none() && known < 6);
                        // The disk fails for one input in five.
                        if what == 4 {
                            invocations.forget(&name);
                        } else {
                            journal.push(record);
                            (n.running, n.runs) = (true, n.runs + 1);
                        }
                    }
                    InvocationState::Running => prop_assert!(n.running),
                    InvocationState::Ended(outcome) => prop_assert_eq!(Some(&outcome), n.ended.as_ref().map(|o| &o.1)),
                    InvocationState::Full => prop_assert_eq!(known, 6),
                },
                5..=6 if n.running => {
                    let body = Bytes::from(vec![b'x'; name.len() + 4 * usize::from(what == 6)]);
                    journal.push(invocations.end(now, &name, true, 200, &body));
                    let is_complete = body.len() <= 4;
                    let body = if is_complete { body } else { Bytes::new() };
                    n.running = false;
                    n.ended = Some((now, DurableOutcome::Answered { status: 200, body, is_complete }));
                }
                7 if n.running => {
                    journal.push(invocations.end(now, &name, false, 503, &Bytes::new()));
                    *n = Name::default();
                }
                8 if n.running => {
                    journal.extend(invocations.client_cancelled(now, &name));
                    (n.running, n.ended) = (false, Some((now, DurableOutcome::Unknown)));
                }
                9 => {
                    // Crash; for long steps the journal was replaced by a snapshot before.
                    let records = if time > 4.5 { invocations.records() } else { journal.clone() };
                    invocations = empty().recover(&records, now);
                    for n in names.values_mut().filter(|n| n.running) {
                        (n.running, n.ended) = (false, Some((now, DurableOutcome::Unknown)));
                    }
                    journal = invocations.records();
                }
                _ => {}
            }
            prop_assert!(invocations.len() <= 6);
        }
    }
}
