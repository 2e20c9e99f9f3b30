//! Each setting at its edges, absent and malformed: read, or named in what is told.

use orchidtally_dispatch_policy::interface::PolicyConfig;
use orchidtally_platform_config::{front_end_settings, parse_policy_config};
use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "balancers": 3, "index": 2, "zone": 1, "zones": ["a", "b"], "shapes": ["std"], "tick": 2e6,
        "registryMode": "push", "valueBy": "request", "overShareWorth": 0.1,
        "customers": [{"name": "one", "quotaRps": 5.0}],
        "classes": [{"name": "update", "aim": 1e9, "aimStretch": 0.5, "deadline": 4e9, "credit": 2.0, "lateWorth": 0.2,
            "semantics": "token", "dedupScope": "cell", "dedupWindow": 5e9}],
        "limits": {"maxAttempts": 4, "cancel": true, "retryAfter": true, "maxRetryAfter": 1e9, "secondCopies": false,
            "maxOpen": 1000, "streamsPerConn": 32, "connectTimeout": 2.5e8, "idleClose": 1.5e10},
        "safety": {"cold": 1e9, "coldFrom": 0.2, "overloadFactor": 2.0, "fall": 1e9},
        "penalties": {"crossZone": 0.02, "probe": 0.01},
        "specifics": {"loadControl": true, "notLoaded": "load", "notesPeersInHand": true, "staysLoaded": 8e9,
            "loadFloor": 2.0, "loadPart": 0.2, "loadPeriod": 5e9, "answerWithin": 1e10},
    })
}

/// The settings with one of them changed, or without it.
fn with(pointer: &str, value: Option<Value>) -> Value {
    let mut all = settings();
    let (place, key) = pointer.rsplit_once('/').expect("a pointer");
    let place = all
        .pointer_mut(place)
        .and_then(Value::as_object_mut)
        .expect("a place in the settings");
    match value {
        Some(value) => place.insert(key.to_owned(), value),
        None => place.remove(key),
    };
    all
}

fn policy(settings: &Value) -> Result<PolicyConfig, String> {
    parse_policy_config(settings.to_string().as_bytes()).map_err(|fault| fault.to_string())
}

#[test]
fn what_is_out_of_range_or_of_the_wrong_form_is_named() {
    let amounts = [
        "/tick",
        "/balancers",
        "/index",
        "/overShareWorth",
        "/customers/0/quotaRps",
        "/classes/0/aim",
        "/classes/0/aimStretch",
        "/classes/0/deadline",
        "/classes/0/credit",
        "/classes/0/lateWorth",
        "/classes/0/dedupWindow",
        "/limits/maxRetryAfter",
        "/safety/cold",
        "/safety/overloadFactor",
        "/safety/fall",
        "/penalties/crossZone",
        "/penalties/probe",
        "/specifics/staysLoaded",
        "/specifics/loadFloor",
        "/specifics/loadPart",
        "/specifics/loadPeriod",
    ];
    let bounded = [
        ("/zone", 256.0),
        ("/limits/maxAttempts", 0.0),
        ("/safety/coldFrom", 1.01),
    ];
    let far = bounded.map(|(pointer, value)| (pointer, json!(value)));
    let under = amounts
        .iter()
        .chain(bounded.iter().map(|b| &b.0))
        .map(|&pointer| (pointer, json!(-1e-9)));
    let odd = amounts.iter().map(|&pointer| (pointer, json!("5")));
    for (pointer, value) in far.into_iter().chain(under).chain(odd) {
        let fault = policy(&with(pointer, Some(value.clone()))).expect_err(pointer);
        let key = pointer.rsplit('/').next().expect("a key");
        assert!(fault.contains(key), "{pointer} as {value}: {fault}");
    }
    for pointer in amounts {
        policy(&with(pointer, Some(json!(0)))).expect(pointer);
    }
    for (pointer, value) in [
        ("/zone", 255),
        ("/limits/maxAttempts", 1),
        ("/limits/maxAttempts", 1_000),
    ] {
        policy(&with(pointer, Some(json!(value)))).expect(pointer);
    }
    for pointer in [
        "/limits/maxOpen",
        "/limits/streamsPerConn",
        "/limits/connectTimeout",
        "/limits/idleClose",
    ] {
        let fault = front_end_settings(&with(pointer, Some(json!(-1))))
            .expect_err(pointer)
            .to_string();
        assert!(fault.contains(&pointer[8..]), "{fault}");
    }
}

#[test]
fn unknown_kinds_are_named_and_not_held_for_the_usual_ones() {
    let kinds = [
        ("/registryMode", "push", "ask"),
        ("/valueBy", "request", "work"),
        ("/specifics/notLoaded", "load", "miss"),
    ];
    for (pointer, first, second) in kinds {
        for value in [json!("other"), json!(7), json!(null)] {
            let fault = policy(&with(pointer, Some(value))).expect_err(pointer);
            assert!(
                fault.contains(pointer.rsplit('/').next().expect("a key")),
                "{fault}"
            );
        }
        let of = |value: Option<Value>| {
            let policy = policy(&with(pointer, value)).expect(pointer);
            [
                policy.polls_endpoints,
                policy.bills_by_work,
                policy.rejects_unloaded,
            ]
            .contains(&true)
        };
        assert!(
            !of(Some(first.into())) && of(Some(second.into())) && !of(None),
            "{pointer}"
        );
    }
    for (pointer, value) in [
        ("/classes/0/semantics", "other"),
        ("/classes/0/dedupScope", "other"),
    ] {
        assert!(
            policy(&with(pointer, Some(value.into())))
                .expect_err(pointer)
                .contains("unknown value")
        );
    }
}

#[test]
fn what_may_be_absent_may_and_what_is_not_known_is_passed_over() {
    let optional = [
        "/balancers",
        "/index",
        "/zone",
        "/customers",
        "/overShareWorth",
        "/classes/0/aimStretch",
        "/classes/0/credit",
        "/classes/0/lateWorth",
        "/limits/cancel",
        "/limits/secondCopies",
        "/penalties",
        "/specifics/staysLoaded",
        "/specifics/loadPeriod",
        "/specifics",
    ];
    for pointer in optional {
        policy(&with(pointer, None)).expect(pointer);
    }
    for pointer in [
        "/tick",
        "/classes",
        "/classes/0/aim",
        "/classes/0/dedupWindow",
        "/safety/cold",
        "/limits/maxAttempts",
    ] {
        let fault = policy(&with(pointer, None)).expect_err(pointer);
        assert!(
            fault.contains(pointer.rsplit('/').next().expect("a key")),
            "{fault}"
        );
    }
    for pointer in ["/surprise", "/classes/0/surprise", "/specifics/surprise"] {
        let policy = policy(&with(pointer, Some(json!({"a": []})))).expect(pointer);
        assert_eq!(
            (
                policy.front_ends,
                policy.front_end_index,
                policy.zone,
                policy.trigger_types.len()
            ),
            (3.0, 2.0, 1, 1)
        );
    }
    for text in ["", "[]", "{", "7"] {
        parse_policy_config(text.as_bytes()).expect_err(text);
    }
}
