//! Promises against a plain model, with front ends that die between any two records.

use bytes::Bytes;
use orchidtally_mqtt_triggers::durable_invocations::{
    DurableInvocations, DurableOutcome, InvocationState, Record,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const KEEP: f64 = 50.0;

fn fresh() -> DurableInvocations {
    DurableInvocations::new(KEEP, 6, 4)
}

/// What the plain model knows of a name: runs, and what was answered.
#[derive(Default)]
struct Name {
    runs: u32,
    running: bool,
    over: Option<(f64, DurableOutcome)>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_name_runs_twice_while_it_is_kept(steps in proptest::collection::vec((0u8..10, 0u8..8, 0.0..9.0f64), 1..80)) {
        let mut promises = fresh();
        let mut journal: Vec<Record> = vec![];
        let mut names: BTreeMap<String, Name> = BTreeMap::new();
        let mut now = 0.0;
        for (what, name, time) in steps {
            now += time;
            let name = name.to_string();
            names.values_mut().for_each(|n| {
                if n.over.as_ref().is_some_and(|o| o.0 + KEEP <= now) {
                    *n = Name::default();
                }
            });
            let known = names.values().filter(|n| n.running || n.over.is_some()).count();
            let n = names.entry(name.clone()).or_default();
            match what {
                0..=4 => match promises.begin(now, &name) {
                    InvocationState::New(record) => {
                        prop_assert!(!n.running && n.over.is_none() && known < 6);
                        // A disk that fails now and then.
                        if what == 4 {
                            promises.forget(&name);
                        } else {
                            journal.push(record);
                            (n.running, n.runs) = (true, n.runs + 1);
                        }
                    }
                    InvocationState::Running => prop_assert!(n.running),
                    InvocationState::Ended(outcome) => prop_assert_eq!(Some(&outcome), n.over.as_ref().map(|o| &o.1)),
                    InvocationState::Full => prop_assert_eq!(known, 6),
                },
                5..=6 if n.running => {
                    let body = Bytes::from(vec![b'x'; name.len() + 4 * usize::from(what == 6)]);
                    journal.push(promises.end(now, &name, true, 200, &body));
                    let whole = body.len() <= 4;
                    let body = if whole { body } else { Bytes::new() };
                    n.running = false;
                    n.over = Some((now, DurableOutcome::Answered { status: 200, body, is_complete: whole }));
                }
                7 if n.running => {
                    journal.push(promises.end(now, &name, false, 503, &Bytes::new()));
                    *n = Name::default();
                }
                8 if n.running => {
                    journal.extend(promises.client_cancelled(now, &name));
                    (n.running, n.over) = (false, Some((now, DurableOutcome::Unknown)));
                }
                9 => {
                    // Dies; every other time its journal had been folded.
                    let records = if time > 4.5 { promises.records() } else { journal.clone() };
                    promises = fresh().recover(&records, now);
                    for n in names.values_mut().filter(|n| n.running) {
                        (n.running, n.over) = (false, Some((now, DurableOutcome::Unknown)));
                    }
                    journal = promises.records();
                }
                _ => {}
            }
            prop_assert!(promises.len() <= 6);
        }
    }
}
