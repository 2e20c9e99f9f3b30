//! Settings at the bounds of their ranges, absent or malformed: they are read, or the error names the key.

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

/// The settings with the value at a JSON pointer replaced, or removed if `value` is `None`.
fn settings_with(pointer: &str, value: Option<Value>) -> Value {
    let mut settings = settings();
    let (parent, key) = pointer.rsplit_once('/').expect("a JSON pointer");
    let parent = settings
        .pointer_mut(parent)
        .and_then(Value::as_object_mut)
        .expect("an object in the settings");
    match value {
        Some(value) => parent.insert(key.to_owned(), value),
        None => parent.remove(key),
    };
    settings
}

fn policy(settings: &Value) -> Result<PolicyConfig, String> {
    parse_policy_config(settings.to_string().as_bytes()).map_err(|error| error.to_string())
}

#[test]
fn errors_name_keys_that_are_out_of_range_or_of_the_wrong_type() {
    let non_negative = [
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
    let out_of_bounds = bounded.map(|(pointer, value)| (pointer, json!(value)));
    let negative = non_negative
        .iter()
        .chain(bounded.iter().map(|b| &b.0))
        .map(|&pointer| (pointer, json!(-1e-9)));
    let strings = non_negative.iter().map(|&pointer| (pointer, json!("5")));
    for (pointer, value) in out_of_bounds.into_iter().chain(negative).chain(strings) {
        let error = policy(&settings_with(pointer, Some(value.clone()))).expect_err(pointer);
        let key = pointer.rsplit('/').next().expect("a key");
        assert!(error.contains(key), "{pointer} as {value}: {error}");
    }
    for pointer in non_negative {
        policy(&settings_with(pointer, Some(json!(0)))).expect(pointer);
    }
    for (pointer, value) in [
        ("/zone", 255),
        ("/limits/maxAttempts", 1),
        ("/limits/maxAttempts", 1_000),
    ] {
        policy(&settings_with(pointer, Some(json!(value)))).expect(pointer);
    }
    for pointer in [
        "/limits/maxOpen",
        "/limits/streamsPerConn",
        "/limits/connectTimeout",
        "/limits/idleClose",
    ] {
        let error = front_end_settings(&settings_with(pointer, Some(json!(-1))))
            .expect_err(pointer)
            .to_string();
        assert!(error.contains(&pointer[8..]), "{error}");
    }
}

#[test]
fn unknown_values_are_rejected_instead_of_counting_as_the_default() {
    let two_valued = [
        ("/registryMode", "push", "ask"),
        ("/valueBy", "request", "work"),
        ("/specifics/notLoaded", "load", "miss"),
    ];
    for (pointer, first, second) in two_valued {
        for value in [json!("other"), json!(7), json!(null)] {
            let error = policy(&settings_with(pointer, Some(value))).expect_err(pointer);
            assert!(
                error.contains(pointer.rsplit('/').next().expect("a key")),
                "{error}"
            );
        }
        let has_second_value = |value: Option<Value>| {
            let policy = policy(&settings_with(pointer, value)).expect(pointer);
            [
                policy.polls_endpoints,
                policy.bills_by_work,
                policy.rejects_unloaded,
            ]
            .contains(&true)
        };
        assert!(
            !has_second_value(Some(first.into()))
                && has_second_value(Some(second.into()))
                && !has_second_value(None),
            "{pointer}"
        );
    }
    for (pointer, value) in [
        ("/classes/0/semantics", "other"),
        ("/classes/0/dedupScope", "other"),
    ] {
        assert!(
            policy(&settings_with(pointer, Some(value.into())))
                .expect_err(pointer)
                .contains("unknown value")
        );
    }
}

#[test]
fn optional_keys_may_be_absent_and_unknown_keys_are_ignored() {
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
        policy(&settings_with(pointer, None)).expect(pointer);
    }
    for pointer in [
        "/tick",
        "/classes",
        "/classes/0/aim",
        "/classes/0/dedupWindow",
        "/safety/cold",
        "/limits/maxAttempts",
    ] {
        let error = policy(&settings_with(pointer, None)).expect_err(pointer);
        assert!(
            error.contains(pointer.rsplit('/').next().expect("a key")),
            "{error}"
        );
    }
    for pointer in ["/unknown", "/classes/0/unknown", "/specifics/unknown"] {
        let policy = policy(&settings_with(pointer, Some(json!({"a": []})))).expect(pointer);
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
