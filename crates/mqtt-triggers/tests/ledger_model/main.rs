//! Model checking of the ledger: explores every reachable state of two front ends, two messages and a broker that keeps
//! its state, with crashes at any step.

mod state;

use orchidtally_mqtt_triggers::ledger::{Answer, Idempotency};
use pathfinding::directed::bfs::bfs_reach;
use state::{InjectedFault, MESSAGES, Scenario, State};

#[derive(Debug, Default, PartialEq)]
struct Findings {
    effects: u32,
    answers: usize,
    min_answers: usize,
    unknown: bool,
}

fn explore(scenario: Scenario) -> Findings {
    let mut findings = Findings {
        min_answers: usize::MAX,
        ..Findings::default()
    };
    let mut states = 0u64;
    for state in bfs_reach(State::new(scenario), |s| s.next(scenario)) {
        states += 1;
        for message in 0..MESSAGES {
            findings.effects = findings.effects.max(state.effects[message]);
            findings.answers = findings.answers.max(state.answers[message].len());
            findings.unknown |= state.answers[message].contains(&Answer::Unknown);
            if state.is_final() {
                findings.min_answers = findings.min_answers.min(state.answers[message].len());
            }
        }
    }
    println!("{scenario:?}: {states} states, {findings:?}");
    findings
}

const NO_FAULT: Scenario = Scenario {
    idempotency: Idempotency::NonIdempotent,
    qos2: true,
    reassigns_unacknowledged: false,
    crashes: 2,
    injected_fault: InjectedFault::NoFault,
};

#[test]
fn a_non_idempotent_message_has_at_most_one_effect_and_one_answer() {
    let exactly_once = Findings {
        effects: 1,
        answers: 1,
        min_answers: 1,
        unknown: true,
    };
    assert_eq!(explore(NO_FAULT), exactly_once);
    assert_eq!(
        explore(Scenario {
            qos2: false,
            ..NO_FAULT
        }),
        exactly_once
    );
    // If the broker reassigns QoS 1 messages, there are never two answers, but there is none if the front end crashes
    // between the acknowledgement and its confirmation.
    let reassigned = Scenario {
        qos2: false,
        reassigns_unacknowledged: true,
        crashes: 1,
        ..NO_FAULT
    };
    assert_eq!(
        explore(reassigned),
        Findings {
            min_answers: 0,
            ..exactly_once
        }
    );
}

#[test]
fn idempotent_and_keyed_messages_may_run_again_and_are_answered_once() {
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::Keyed { expires_at: 1e9 },
    ] {
        for qos2 in [true, false] {
            let findings = explore(Scenario {
                idempotency,
                qos2,
                ..NO_FAULT
            });
            assert!(findings.effects > 1, "no crash led to a repeated execution");
            assert_eq!(
                (findings.answers, findings.min_answers, findings.unknown),
                (1, 1, false)
            );
        }
    }
    // An expired idempotency key does not allow a repeated execution.
    let expired = explore(Scenario {
        idempotency: Idempotency::Keyed { expires_at: -1.0 },
        ..NO_FAULT
    });
    assert_eq!(
        expired,
        Findings {
            effects: 1,
            answers: 1,
            min_answers: 1,
            unknown: true
        }
    );
}

#[test]
fn injected_faults_are_detected() {
    let findings = |injected_fault| {
        explore(Scenario {
            injected_fault,
            crashes: 1,
            ..NO_FAULT
        })
    };
    assert_eq!(
        findings(InjectedFault::AcknowledgesBeforePersisting).min_answers,
        0,
        "a message acknowledged before it is persisted has to be lost"
    );
    assert!(
        findings(InjectedFault::OmitsDispatchRecord).effects > 1,
        "a dispatch without a record has to be repeated"
    );
    assert!(
        findings(InjectedFault::NewPacketId).answers > 1,
        "an answer under a new packet identifier has to be a second answer"
    );
    assert_eq!(
        findings(InjectedFault::CompletesBeforeOwned).min_answers,
        0,
        "a message completed before it is owned has to be lost"
    );
}
