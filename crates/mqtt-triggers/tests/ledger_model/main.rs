//! Two front ends, two messages, a broker that keeps its state, and crashes at any step: every state that can be
//! reached is checked, with the ledger itself.

mod state;

use orchidtally_mqtt_triggers::ledger::{Answer, Idempotency};
use pathfinding::directed::bfs::bfs_reach;
use state::{MESSAGES, PlantedFault, Shape, State};

#[derive(Debug, Default, PartialEq)]
struct Findings {
    effects: u32,
    answers: usize,
    fewest: usize,
    unknown: bool,
}

fn all_states(shape: Shape) -> Findings {
    let mut findings = Findings {
        fewest: usize::MAX,
        ..Findings::default()
    };
    let mut states = 0u64;
    for state in bfs_reach(State::new(shape), |s| s.next(shape)) {
        states += 1;
        for message in 0..MESSAGES {
            findings.effects = findings.effects.max(state.effects[message]);
            findings.answers = findings.answers.max(state.answers[message].len());
            findings.unknown |= state.answers[message].contains(&Answer::Unknown);
            if state.is_over() {
                findings.fewest = findings.fewest.min(state.answers[message].len());
            }
        }
    }
    println!("{shape:?}: {states} states, {findings:?}");
    findings
}

const NO_FAULT: Shape = Shape {
    effect: Idempotency::NonIdempotent,
    qos2: true,
    reassigns_unacknowledged: false,
    crashes: 2,
    planted_fault: PlantedFault::Nothing,
};

#[test]
fn a_non_idempotent_message_has_one_effect_at_the_most_and_one_answer() {
    let once = Findings {
        effects: 1,
        answers: 1,
        fewest: 1,
        unknown: true,
    };
    assert_eq!(all_states(NO_FAULT), once);
    assert_eq!(
        all_states(Shape {
            qos2: false,
            ..NO_FAULT
        }),
        once
    );
    // Where the broker hands over with QoS 1: never two, but none if the front end died between the
    // acknowledgement and its confirmation.
    let handed = Shape {
        qos2: false,
        reassigns_unacknowledged: true,
        crashes: 1,
        ..NO_FAULT
    };
    assert_eq!(all_states(handed), Findings { fewest: 0, ..once });
}

#[test]
fn others_may_run_again_and_are_answered_once_with_what_they_came_to() {
    for effect in [
        Idempotency::Idempotent,
        Idempotency::Keyed { expires_at: 1e9 },
    ] {
        for qos2 in [true, false] {
            let findings = all_states(Shape {
                effect,
                qos2,
                ..NO_FAULT
            });
            assert!(findings.effects > 1, "deaths are gone through");
            assert_eq!(
                (findings.answers, findings.fewest, findings.unknown),
                (1, 1, false)
            );
        }
    }
    // A token that is forgotten by then protects nothing.
    let forgotten = all_states(Shape {
        effect: Idempotency::Keyed { expires_at: -1.0 },
        ..NO_FAULT
    });
    assert_eq!(
        forgotten,
        Findings {
            effects: 1,
            answers: 1,
            fewest: 1,
            unknown: true
        }
    );
}

#[test]
fn planted_faults_are_found() {
    let findings = |planted_fault| {
        all_states(Shape {
            planted_fault,
            crashes: 1,
            ..NO_FAULT
        })
    };
    assert_eq!(
        findings(PlantedFault::AcknowledgeFirst).fewest,
        0,
        "what is acknowledged and not written down is lost"
    );
    assert!(
        findings(PlantedFault::ForgetsDispatch).effects > 1,
        "a dispatch that is forgotten is made again"
    );
    assert!(
        findings(PlantedFault::FreshId).answers > 1,
        "an answer under another id is a second answer"
    );
    assert_eq!(
        findings(PlantedFault::CompletesFirst).fewest,
        0,
        "of a message that was let go of nobody speaks again"
    );
}
