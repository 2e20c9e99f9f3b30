//! Random scenarios of several consumers against a broker, in which front ends crash between any two steps and restart.

mod simulation;

use bytes::Bytes;
use orchidtally_mqtt::packet::{Property, Qos, Version};
use orchidtally_test_servers::broker::Message;
use simulation::{FRONT_ENDS, InjectedFault, Simulation};

const KINDS: [&str; 4] = ["act", "look", "plan", "json"];

#[derive(Debug, Default)]
struct Findings {
    messages: u32,
    duplicate_answers: u32,
    unanswered: u32,
    duplicate_effects: u32,
    unknown: u32,
    /// Answers that state an outcome which contradicts the effects.
    incorrect: u32,
    crashes: u32,
    disk_failures: u32,
}

fn outcome(message: &Message, version: Version) -> String {
    match version {
        Version::V5 => message
            .properties
            .iter()
            .find_map(|p| match p {
                Property::User(name, value) if name == "orchidtally-outcome" => Some(value.clone()),
                _ => None,
            })
            .unwrap(),
        Version::V311 => {
            let body: serde_json::Value = serde_json::from_slice(&message.payload).unwrap();
            body["outcome"].as_str().unwrap().to_owned()
        }
    }
}

fn run_scenario(
    seed: u64,
    shape: (&str, u8, bool),
    injected_fault: InjectedFault,
    findings: &mut Findings,
) {
    let mut simulation = Simulation::new(seed, shape, injected_fault);
    let may_fail = seed.is_multiple_of(3);
    for message in 0..8 {
        let kind = KINDS[message % KINDS.len()];
        let payload = Bytes::from(format!("not json {message}"));
        let m = Message {
            topic: format!("{kind}/{message}"),
            payload,
            qos: Qos::ExactlyOnce,
            retain: false,
            properties: vec![Property::User(
                "orchidtally-invocation".into(),
                format!("{kind}-{message}"),
            )],
            expires_at: f64::INFINITY,
        };
        let actions = simulation.broker.publish(simulation.now, m);
        simulation.perform(actions);
        for _ in 0..40 {
            simulation.step(may_fail);
        }
    }
    for _ in 0..8 {
        simulation.now += 1.0;
        (0..FRONT_ENDS).for_each(|n| simulation.settle(n));
    }
    findings.crashes += simulation.crashes;
    findings.disk_failures += simulation
        .front_ends
        .iter()
        .map(|f| f.disk_failures)
        .sum::<u32>();
    let before = (
        findings.duplicate_answers,
        findings.unanswered,
        findings.duplicate_effects,
    );
    for message in 0..8 {
        let kind = KINDS[message % KINDS.len()];
        // MQTT 3.1.1 has no properties: invocation names are derived there, so that effects can't be attributed.
        let topic = format!("done/{message}");
        let answers: Vec<&Message> = simulation
            .broker
            .published
            .iter()
            .filter(|m| m.topic == topic)
            .collect();
        findings.messages += 1;
        findings.duplicate_answers += u32::from(answers.len() > 1);
        findings.unanswered += u32::from(answers.is_empty());
        if simulation.version == Version::V311 {
            continue;
        }
        let effects = simulation
            .effects
            .get(&format!("{kind}-{message}"))
            .copied()
            .unwrap_or(0);
        findings.duplicate_effects += u32::from(kind == "act" && effects > 1);
        for answer in answers {
            let outcome = outcome(answer, simulation.version);
            findings.unknown += u32::from(outcome == "unknown");
            let is_correct = match outcome.as_str() {
                "succeeded" => effects >= 1,
                "setAside" | "throttled" => effects == 0,
                "unknown" => kind == "act",
                _ => false,
            };
            findings.incorrect += u32::from(!is_correct);
        }
    }
    if injected_fault == InjectedFault::NoFault && !shape.2 {
        let now = (
            findings.duplicate_answers,
            findings.unanswered,
            findings.duplicate_effects,
        );
        assert_eq!(now, before, "seed {seed}");
        let remaining: Vec<_> = simulation
            .front_ends
            .iter()
            .map(|f| f.consumer.as_ref().unwrap().backlog())
            .collect();
        assert_eq!(
            remaining,
            vec![(0, 0); FRONT_ENDS],
            "seed {seed}: a consumer still holds messages"
        );
        assert_eq!(
            (
                simulation.broker.undelivered(),
                simulation.broker.unacknowledged()
            ),
            (0, 0),
            "seed {seed}: the broker still holds messages"
        );
    }
}

fn run_scenarios(seeds: u64, shape: (&str, u8, bool), injected_fault: InjectedFault) -> Findings {
    let mut findings = Findings::default();
    (0..seeds).for_each(|seed| run_scenario(seed, shape, injected_fault, &mut findings));
    println!("{shape:?} {injected_fault:?}: {findings:?}");
    findings
}

#[test]
fn each_message_has_one_answer_and_one_effect_despite_crashes() {
    let findings = run_scenarios(6_000, ("5", 2, false), InjectedFault::NoFault);
    assert!(
        findings.crashes > 8_000 && findings.disk_failures > 500 && findings.unknown > 50,
        "{findings:?}"
    );
    assert_eq!(
        (
            findings.duplicate_answers,
            findings.unanswered,
            findings.duplicate_effects,
            findings.incorrect
        ),
        (0, 0, 0, 0)
    );
    let findings = run_scenarios(2_000, ("5", 1, false), InjectedFault::NoFault);
    assert_eq!(
        (
            findings.duplicate_answers,
            findings.unanswered,
            findings.duplicate_effects,
            findings.incorrect
        ),
        (0, 0, 0, 0)
    );
    let findings = run_scenarios(2_000, ("3.1.1", 2, false), InjectedFault::NoFault);
    assert_eq!((findings.duplicate_answers, findings.unanswered), (0, 0));
}

#[test]
fn a_broker_that_reassigns_messages_causes_no_duplicate_effect_or_answer() {
    let findings = run_scenarios(2_000, ("5", 1, true), InjectedFault::NoFault);
    assert_eq!(
        (
            findings.duplicate_answers,
            findings.duplicate_effects,
            findings.incorrect
        ),
        (0, 0, 0)
    );
    // A front end that crashes between its acknowledgement and the confirmation leaves the message to other clients, and
    // the broker may deliver it to none. With QoS 2 the standard forbids the reassignment.
    assert!(
        findings.unanswered > 0 && 4 * findings.unanswered < findings.messages,
        "{findings:?}"
    );
}

#[test]
fn injected_faults_are_detected() {
    let unsynced = run_scenarios(200, ("5", 2, false), InjectedFault::ReportsUnsyncedWrites);
    assert!(
        unsynced.unanswered > 0 || unsynced.duplicate_effects > 0,
        "{unsynced:?}"
    );
    let omitted = run_scenarios(200, ("5", 2, false), InjectedFault::OmitsDispatchRecord);
    assert!(omitted.duplicate_effects > 0, "{omitted:?}");
    let duplicated = run_scenarios(50, ("5", 2, false), InjectedFault::DeliversTwice);
    assert!(
        duplicated.duplicate_effects > 0 && duplicated.duplicate_answers > 0,
        "{duplicated:?}"
    );
}
