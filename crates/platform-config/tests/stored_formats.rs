//! The platform's settings object is a format of others: each key is read under its name, and into the same value.
//! `settings.json` has every key with a value that differs from what stands where it is left out.

use orchidtally_dispatch_policy::interface::{
    DeduplicationScope, Idempotency, PolicyConfig, TriggerType,
};
use orchidtally_platform_config::{FrontEndSettings, front_end_settings, parse_policy_config};
use serde_json::Value;

const SETTINGS: &str = include_str!("stored_formats/settings.json");

fn settings() -> Value {
    serde_json::from_str(SETTINGS).expect("the fixture is JSON")
}

fn front_end(settings: &Value) -> Result<FrontEndSettings, String> {
    front_end_settings(settings).map_err(|fault| fault.to_string())
}

/// The pointers to all members of objects that are no objects themselves, and to lists of texts.
fn keys(value: &Value, pointer: &str, found: &mut Vec<String>) {
    match value {
        Value::Object(members) => {
            for (key, member) in members {
                keys(member, &format!("{pointer}/{key}"), found);
            }
        }
        Value::Array(list) if list.iter().all(Value::is_object) => {
            for (index, member) in list.iter().enumerate() {
                keys(member, &format!("{pointer}/{index}"), found);
            }
        }
        _ => found.push(pointer.to_owned()),
    }
}

#[test]
fn trigger_types_have_the_values_of_their_keys() {
    let policy = parse_policy_config(SETTINGS.as_bytes()).expect("the settings are sound");
    let plain = |seconds: f64, effect, group, window| TriggerType {
        latency_objective: seconds,
        objective_work_factor: 0.0,
        client_timeout: seconds + 3.0,
        billed_value: 1.0,
        late_value_fraction: 0.0,
        idempotency: effect,
        deduplication_scope: group,
        deduplication_window: window,
    };
    let first = TriggerType {
        objective_work_factor: 0.5,
        billed_value: 2.0,
        late_value_fraction: 0.25,
        ..plain(1.0, Idempotency::Keyed, DeduplicationScope::Cell, 5.0)
    };
    let expected = [
        first,
        plain(2.0, Idempotency::Keyed, DeduplicationScope::Zone, 6.0),
        plain(3.0, Idempotency::Keyed, DeduplicationScope::All, 7.0),
        plain(4.0, Idempotency::Idempotent, DeduplicationScope::All, 0.0),
        plain(
            5.0,
            Idempotency::NonIdempotent,
            DeduplicationScope::All,
            0.0,
        ),
    ];
    assert_eq!(policy.trigger_types, expected);
}

/// All fields are named, so that one that is added has to be pinned here as well.
#[test]
fn the_policy_has_the_values_of_its_keys() {
    let PolicyConfig {
        trigger_types,
        quotas,
        over_quota_value_factor: over_share_value,
        bills_by_work: value_by_work,
        front_ends,
        front_end_index: index,
        zone,
        cross_zone_cost: crossing,
        zone_regions: regions,
        clock_tick: tick,
        max_dispatches,
        allows_hedging: second_copies,
        allows_cancellation: cancel,
        max_retry_after,
        polls_endpoints: roster_asked,
        slow_start_duration: cold,
        slow_start_initial_weight: cold_from,
        overload_factor,
        overload_window: fall,
        drain_grace,
        max_clock_skew: skew,
        allows_load_commands: orders,
        load_command_cost: order_price,
        rejects_unloaded: answers_miss,
        reports_concurrency: tells_crowd,
        keep_alive,
        load_budget_floor: ration_floor,
        load_budget_fraction: ration_share,
        load_budget_window: ration_window,
        backlog_field,
        pending_loads_field: loads_field,
    } = parse_policy_config(SETTINGS.as_bytes()).expect("the settings are sound");
    assert_eq!(
        (trigger_types.len(), quotas, regions),
        (5, vec![5.5, 6.5], vec![])
    );
    assert_eq!(
        (over_share_value, value_by_work, crossing, order_price),
        (0.125, true, 0.0625, 0.03125)
    );
    assert_eq!(
        (front_ends, index, zone, tick, skew),
        (3.0, 2.0, 1, 0.002, 0.0)
    );
    assert_eq!(
        (max_dispatches, second_copies, cancel, max_retry_after),
        (4, true, true, 1.5)
    );
    assert_eq!(
        (cold, cold_from, overload_factor, fall, drain_grace),
        (1.0, 0.75, 2.5, 3.0, 3.5)
    );
    assert_eq!(
        (roster_asked, orders, answers_miss, tells_crowd),
        (true, true, true, true)
    );
    assert_eq!(
        (keep_alive, ration_floor, ration_share, ration_window),
        (8.0, 9.0, 0.5, 10.0)
    );
    assert_eq!((backlog_field, loads_field), (Some(1), Some(2)));
}

#[test]
fn a_front_end_has_the_values_of_its_keys() {
    let settings = front_end(&settings()).expect("the settings are sound");
    assert_eq!(
        settings.trigger_types,
        ["update", "zoned", "everywhere", "read", "write"]
    );
    assert_eq!(settings.customers, ["one", "two"]);
    assert_eq!(
        (settings.zones, settings.executor_kinds),
        (
            vec!["a".into(), "b".into()],
            vec!["std".into(), "big".into()]
        )
    );
    assert_eq!(settings.load_report_fields, ["x1", "backlog", "x2"]);
    assert_eq!(
        (
            settings.max_open_invocations,
            settings.max_streams_per_connection
        ),
        (1_000, 32)
    );
    assert_eq!(
        (
            settings.connect_timeout,
            settings.idle_timeout,
            settings.load_command_timeout
        ),
        (0.25, 15.0, 11.0)
    );
}

#[test]
fn each_key_of_the_settings_is_read() {
    let whole = settings();
    let as_read = format!("{:?}", front_end(&whole).expect("the settings are sound"));
    let mut pointers = vec![];
    keys(&whole, "", &mut pointers);
    assert_eq!(pointers.len(), 68, "{pointers:#?}");
    for pointer in pointers {
        let mut without = whole.clone();
        let (place, key) = pointer.rsplit_once('/').expect("a pointer");
        without
            .pointer_mut(place)
            .and_then(Value::as_object_mut)
            .expect("an object")
            .remove(key);
        let read = front_end(&without).map(|settings| format!("{settings:?}"));
        assert_ne!(read.as_ref(), Ok(&as_read), "{pointer} makes no difference");
    }
}
