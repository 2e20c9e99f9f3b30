//! Tests of trigger rules: the invocations that messages map to, and the rules that are rejected.

use bytes::Bytes;
use orchidtally_deployment::Deployment;
use orchidtally_mqtt::packet::{Property, Qos};
use orchidtally_mqtt::session::Delivery;
use orchidtally_mqtt_triggers::ledger::Reply;
use orchidtally_mqtt_triggers::{Pattern, PoisonReason, Rules};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn deployment() -> Deployment {
    let text = r#"{
        triggerTypes: [
            { name: "setpoint", effect: "nonIdempotent", objective: "1s", timeout: "5s" },
            { name: "watch", effect: "idempotent", objective: "1s", timeout: "5s", streams: true },
        ],
        customers: [{ name: "rose", share: 10 }],
        functions: [{ name: "mist" }, { name: "shade" }],
        executors: { list: [{ address: "127.0.0.1:7001" }] },
    }"#;
    Deployment::parse(text).unwrap_or_else(|f| panic!("{f:?}"))
}

const RULES: &str = r#"{ triggers: [
    { topic: "house/{house}/set/{function}", function: "{function}", triggerType: "setpoint", customer: "rose",
      key: "{house}", timeLeft: "2s", payload: "json", maxBytes: "64B", answer: "house/{house}/done/{function}" },
    { topic: "ask/{customer}/{rest...}", function: "mist", triggerType: "setpoint", customer: "{customer}", answer: "response" },
    { topic: "log", function: "shade", triggerType: "watch", customer: "rose", answer: "none" },
] }"#;

fn message(topic: &str, payload: &str, properties: Vec<Property>) -> Delivery {
    Delivery {
        number: Some(1),
        id: 1,
        topic: topic.into(),
        payload: Bytes::copy_from_slice(payload.as_bytes()),
        qos: Qos::AtLeastOnce,
        dup: false,
        retained: false,
        properties,
    }
}

#[test]
fn messages_map_to_invocations_with_their_names_timeouts_and_replies() {
    let d = deployment();
    let rules = Rules::read(RULES, &d).unwrap_or_else(|f| panic!("{f:?}"));
    let correlation = Bytes::from_static(b"7");
    let properties = vec![
        Property::MessageExpiry(1),
        Property::CorrelationData(correlation.clone()),
    ];
    let invocation = rules
        .invocation(&d, &message("house/9/set/mist", "{}", properties))
        .unwrap();
    assert_eq!(
        (
            invocation.rule,
            invocation.function.as_str(),
            invocation.key.as_deref()
        ),
        (0, "mist", Some("9"))
    );
    assert_eq!(
        (invocation.customer.as_str(), invocation.timeout),
        ("rose", 1.0),
        "the lesser of the message expiry and the rule's timeout"
    );
    assert_eq!(
        invocation.reply,
        Some(Reply {
            topic: "house/9/done/mist".into(),
            correlation
        })
    );
    let response = |topic: &str| vec![Property::ResponseTopic(topic.into())];
    let invocation = rules
        .invocation(&d, &message("ask/rose/a/b", "x", response("me/1")))
        .unwrap();
    assert_eq!(
        (invocation.reply, invocation.timeout),
        (
            Some(Reply {
                topic: "me/1".into(),
                correlation: Bytes::new()
            }),
            5.0
        )
    );
    assert_eq!(
        rules
            .invocation(&d, &message("log", "x", vec![]))
            .unwrap()
            .reply,
        None
    );
    for (m, expected) in [
        (message("other", "", vec![]), PoisonReason::NoRule),
        (
            message(
                "house/9/set/mist",
                &format!("\"{}\"", "a".repeat(70)),
                vec![],
            ),
            PoisonReason::TooLong { bytes: 72, max: 64 },
        ),
        (
            message("house/9/set/nothing", "{}", vec![]),
            PoisonReason::UnknownFunction("nothing".into()),
        ),
        (
            message("ask/tulip/a", "", response("me")),
            PoisonReason::UnknownCustomer("tulip".into()),
        ),
        (
            message("ask/rose/a", "", vec![]),
            PoisonReason::NoResponseTopic,
        ),
        (
            message("ask/rose/a", "", response("ask/rose/b")),
            PoisonReason::Loop("ask/rose/b".into()),
        ),
    ] {
        assert_eq!(rules.invocation(&d, &m), Err(expected));
    }
    let error = rules
        .invocation(&d, &message("house/9/set/mist", "{", vec![]))
        .unwrap_err();
    assert!(
        error
            .to_string()
            .starts_with("the payload is not JSON: EOF"),
        "{error}"
    );
}

#[test]
fn overlapping_looping_and_dangling_rules_are_reported_with_their_positions() {
    let d = deployment();
    let text = r#"{ triggers: [
  { topic: "a/{x}", function: "{y}", triggerType: "setpoint", customer: "rose", answer: "b/{x}" },
  { topic: "{x}/c", function: "mist", triggerType: "setpoint", customer: "tulip", answer: "none" },
  { topic: "b/{rest...}", function: "fog", triggerType: "watch", customer: "rose" },
  { topic: "d/{x...}/e", function: "mist", triggerType: "setpont", payload: "xml" },
] }"#;
    let faults: Vec<String> = Rules::read(text, &d)
        .unwrap_err()
        .iter()
        .map(ToString::to_string)
        .collect();
    for part in [
        "2:31: triggers[0].function: the topic pattern has no placeholder 'y'",
        "2:3: triggers[0]: its answers to 'b/+' would be consumed by triggers[1]",
        "3:3: triggers[1]: '+/c' and the filter of triggers[0] overlap",
        "no customer 'tulip'",
        "4:3: triggers[2]: 'b/#' and the filter of triggers[1] overlap",
        "no function 'fog'",
        "its answers are streamed",
        "a placeholder with '...' has to be the last level",
        "'setpont' is none of 'setpoint', 'watch'",
        "triggers[3].customer: is missing",
        "'xml' is none of 'bytes', 'text', 'json'",
    ] {
        assert!(
            faults.iter().any(|t| t.contains(part)),
            "{part} is not in:\n{}",
            faults.join("\n")
        );
    }
    assert!(
        Rules::read("{ triggers: [] }", &d).unwrap_err()[0]
            .message
            .contains("at least one trigger")
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(2), failure_persistence: None, ..ProptestConfig::default() })]

    /// Arbitrary settings are either accepted or rejected with a fault in the `mqtt` section, and arbitrary messages
    /// either map to a valid invocation or are rejected, without a panic.
    #[test]
    fn arbitrary_settings_and_messages_are_handled(
        topic in "[a-c{}/+#$.]{0,12}", answer in "[a-c{}/+#]{0,8}", given in "[a-z/\u{0}]{0,8}", qos in 0u8..4,
        payload in proptest::collection::vec(any::<u8>(), 0..20), sent in "[0-9]{0,25}", user_properties in proptest::collection::vec(("[a-z-]{0,24}", "[ -~]{0,9}"), 0..4),
    ) {
        let text = format!(
            r#"{{ triggerTypes: [{{ name: "t", effect: "tokened", group: "all", window: "9s", objective: "1s", timeout: "5s" }}],
                otherFunctions: {{}}, executors: {{ list: [{{ address: "127.0.0.1:1" }}] }},
                mqtt: {{ broker: "127.0.0.1:2", journal: {{ folder: "x" }}, triggers: [
                    {{ topic: "{topic}", function: "f", triggerType: "t", answer: "{answer}", qos: {qos}, payload: "json", sentAt: "sent" }}] }} }}"#
        );
        match orchidtally_mqtt_triggers::read(&text) {
            Err(faults) => prop_assert!(!faults.is_empty() && faults.iter().all(|f| f.key.starts_with("mqtt"))),
            Ok((d, section)) => {
                let rules = section.unwrap().rules;
                let mut properties: Vec<Property> = user_properties.into_iter().map(|(k, v)| Property::User(k, v)).collect();
                properties.push(Property::User("sent".into(), sent));
                let m = Delivery { payload: payload.into(), ..message(&given, "", properties) };
                if let Ok(invocation) = rules.invocation(&d, &m) {
                    prop_assert!(rules.list[invocation.rule].topic.filter().matches(&given));
                    prop_assert!(invocation.reply.is_none_or(|a| !rules.list[0].topic.filter().matches(&a.topic)));
                    prop_assert!(serde_json::from_slice::<serde_json::Value>(&invocation.payload).is_ok());
                    prop_assert_eq!(invocation.token, rules.invocation(&d, &m).unwrap().token);
                }
            }
        }
    }

    /// Filling a pattern with the captures of a topic yields that topic.
    #[test]
    fn filling_a_pattern_with_its_captures_restores_the_topic(levels in proptest::collection::vec(("[a-c]{0,2}", 0u8..3), 1..5), rest in "[a-c/]{0,5}") {
        let last = levels.len() - 1;
        let (mut pattern, mut topic) = (vec![], vec![]);
        for (n, (text, kind)) in levels.iter().enumerate() {
            pattern.push(match kind {
                0 => text.clone(),
                1 => format!("{{n{n}}}"),
                _ if n == last => format!("{{n{n}...}}"),
                _ => format!("{{n{n}}}"),
            });
            topic.push(if n == last && *kind == 2 { rest.clone() } else { text.clone() });
        }
        let (pattern, topic) = (pattern.join("/"), topic.join("/"));
        let Ok(parsed) = Pattern::parse(&pattern) else {
            prop_assert!(pattern.is_empty());
            return Ok(());
        };
        if let Some(captures) = parsed.captures(&topic) {
            prop_assert_eq!(parsed.fill(&captures).unwrap(), topic);
        } else {
            prop_assert!(topic.is_empty(), "{} does not match {}", pattern, topic);
        }
    }
}
