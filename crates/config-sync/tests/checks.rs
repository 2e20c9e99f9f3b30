//! Validation of settings, keys and documents.

use orchidtally_config_sync::keys::{BUCKET_COUNT, KeyRange};
use orchidtally_config_sync::schema::{FunctionSpec, QuotaSpec, TriggerTypeSpec};
use orchidtally_config_sync::{EntryKey, EntryKeyError, Keyspace, SettingsError, SyncSettings};
use serde_json::json;

#[test]
fn settings_are_validated() {
    assert!(SyncSettings::default().checked().is_ok());
    let no_slack = SyncSettings {
        freshness_bound: 17.5,
        ..SyncSettings::default()
    };
    assert!(matches!(
        no_slack.checked(),
        Err(SettingsError::NoSlack { .. })
    ));
    let slow_barriers = SyncSettings {
        barrier_interval: 6.0,
        ..SyncSettings::default()
    };
    assert!(matches!(
        slow_barriers.checked(),
        Err(SettingsError::TooFewBarriers { .. })
    ));
    let nan = SyncSettings {
        spread: f64::NAN,
        ..SyncSettings::default()
    };
    let error = nan.checked().expect_err("it is not a number");
    assert!(
        matches!(error, SettingsError::OutOfRange { name: "spread", .. }),
        "{error}"
    );
    let without_prefix = SyncSettings {
        prefix: String::new(),
        ..SyncSettings::default()
    };
    assert_eq!(without_prefix.checked(), Err(SettingsError::EmptyPrefix));
}

#[test]
fn keys_are_validated_and_belong_to_one_bucket() {
    let key = EntryKey::parse("functions/a/b").expect("a name may contain slashes");
    assert_eq!((key.kind(), key.name()), ("functions", "a/b"));
    assert!(matches!(
        EntryKey::parse("functions"),
        Err(EntryKeyError::MissingKind(_))
    ));
    assert!(matches!(
        EntryKey::parse("functions/"),
        Err(EntryKeyError::Empty(_))
    ));
    assert!(matches!(
        EntryKey::parse("f/\n"),
        Err(EntryKeyError::ControlCharacter)
    ));
    assert!(matches!(
        EntryKey::new("f", &"x".repeat(300)),
        Err(EntryKeyError::TooLong(302))
    ));
    let keyspace = Keyspace::new("p/");
    let within = |range: &KeyRange, key: &[u8]| key >= &range.start[..] && key < &range.end[..];
    for n in 0..500 {
        let key = EntryKey::new("functions", &format!("f{n}")).expect("the key is valid");
        let store_key = keyspace.entry(&key);
        assert!(within(&keyspace.entries(), &store_key));
        let buckets =
            (0..BUCKET_COUNT).filter(|bucket| within(&keyspace.bucket(*bucket), &store_key));
        assert_eq!(buckets.collect::<Vec<_>>(), [key.bucket()]);
        assert_eq!(keyspace.parse_entry(&store_key), Some(key));
    }
    assert_eq!(keyspace.parse_entry(b"p/entries/0000/functions"), None);
    assert_eq!(
        keyspace.parse_entry(b"p/entries/\xff\xfe/functions/a"),
        None
    );
}

#[test]
fn functions_are_validated() {
    let valid = json!({"versions": [{"digest": "a", "work": 0.1}], "aliases": {"stable": "a"}});
    assert!(FunctionSpec::parse(valid).is_ok_and(|function| function.allowed));
    for (spec, reason) in [
        (json!({"versions": []}), "versions is empty"),
        (
            json!({"versions": [{"digest": "a"}], "lane": 1}),
            "unknown field",
        ),
        (
            json!({"versions": [{"digest": "a", "lanes": 0}]}),
            "lanes is 0",
        ),
        (
            json!({"versions": [{"digest": "a", "memory": 1e14}]}),
            "memory is",
        ),
        (
            json!({"versions": [{"digest": "a", "load_time": -1}]}),
            "load_time is -1",
        ),
        (
            json!({"versions": [{"digest": "a", "work": 0}]}),
            "work is 0",
        ),
        (
            json!({"versions": [{"digest": "a"}, {"digest": "a"}]}),
            "two versions",
        ),
        (
            json!({"versions": [{"digest": "a"}], "aliases": {"x": "b"}}),
            "which no version has",
        ),
        (json!({"versions": [{"digest": ""}]}), "digest is empty"),
        (json!([1]), "spec:"),
    ] {
        let invalid = FunctionSpec::parse(spec.clone()).expect_err(&spec.to_string());
        assert!(
            invalid.reason.contains(reason),
            "{spec}: {}",
            invalid.reason
        );
        assert!(!invalid.remedy.is_empty());
    }
}

#[test]
fn quotas_and_trigger_types_are_validated() {
    assert!(
        QuotaSpec::parse(json!({"calls_per_second": 0})).is_ok_and(|quota| !quota.is_allowed())
    );
    assert!(QuotaSpec::parse(json!({"calls_per_second": -1})).is_err());
    assert!(QuotaSpec::parse(json!({})).is_err());
    assert!(TriggerTypeSpec::parse(json!({"objective": 0.5, "timeout": 0.5})).is_ok());
    let below = TriggerTypeSpec::parse(json!({"objective": 2, "timeout": 1}))
        .expect_err("the timeout is below the objective");
    assert!(below.reason.contains("below the latency objective"));
    assert!(TriggerTypeSpec::parse(json!({"objective": 0, "timeout": 1})).is_err());
}
