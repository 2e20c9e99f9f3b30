//! The platform defines the format of the settings object: each key must be read under its name and into the same value.
//! `settings.json` contains every key, with a value that differs from the default.

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
    front_end_settings(settings).map_err(|error| error.to_string())
}

/// Collects the JSON pointers to all values that are not objects or lists of objects.
fn collect_pointers(value: &Value, pointer: &str, pointers: &mut Vec<String>) {
    match value {
        Value::Object(members) => {
            for (key, member) in members {
                collect_pointers(member, &format!("{pointer}/{key}"), pointers);
            }
        }
        Value::Array(list) if list.iter().all(Value::is_object) => {
            for (index, member) in list.iter().enumerate() {
                collect_pointers(member, &format!("{pointer}/{index}"), pointers);
            }
        }
        _ => pointers.push(pointer.to_owned()),
    }
}

#[test]
fn trigger_types_have_the_values_of_their_keys() {
    let policy = parse_policy_config(SETTINGS.as_bytes()).expect("the settings are valid");
    let minimal =
        |objective: f64, idempotency, deduplication_scope, deduplication_window| TriggerType {
            latency_objective: objective,
            objective_work_factor: 0.0,
            client_timeout: objective + 3.0,
            billed_value: 1.0,
            late_value_fraction: 0.0,
            idempotency,
            deduplication_scope,
            deduplication_window,
        };
    let first = TriggerType {
        objective_work_factor: 0.5,
        billed_value: 2.0,
        late_value_fraction: 0.25,
        ..minimal(1.0, Idempotency::Keyed, DeduplicationScope::Cell, 5.0)
    };
    let expected = [
        first,
        minimal(2.0, Idempotency::Keyed, DeduplicationScope::Zone, 6.0),
        minimal(3.0, Idempotency::Keyed, DeduplicationScope::All, 7.0),
        minimal(4.0, Idempotency::Idempotent, DeduplicationScope::All, 0.0),
        minimal(
            5.0,
            Idempotency::NonIdempotent,
            DeduplicationScope::All,
            0.0,
        ),
    ];
    assert_eq!(policy.trigger_types, expected);
}

/// The pattern names all fields, so that this test doesn't compile until a new field is checked here.
#[test]
fn the_policy_has_the_values_of_its_keys() {
    let PolicyConfig {
        trigger_types,
        quotas,
        over_quota_value_factor,
        bills_by_work,
        front_ends,
        front_end_index,
        zone,
        cross_zone_cost,
        zone_regions,
        max_functions,
        clock_tick,
        max_dispatches,
        allows_hedging,
        allows_cancellation,
        max_retry_after,
        polls_endpoints,
        slow_start_duration,
        slow_start_initial_weight,
        overload_factor,
        overload_window,
        drain_grace,
        max_clock_skew,
        allows_load_commands,
        load_command_cost,
        rejects_unloaded,
        reports_concurrency,
        keep_alive,
        load_budget_floor,
        load_budget_fraction,
        load_budget_window,
        backlog_field,
        pending_loads_field,
    } = parse_policy_config(SETTINGS.as_bytes()).expect("the settings are valid");
    assert_eq!(
        (trigger_types.len(), quotas, zone_regions, max_functions),
        (5, vec![5.5, 6.5], vec![], None)
    );
    assert_eq!(
        (
            over_quota_value_factor,
            bills_by_work,
            cross_zone_cost,
            load_command_cost
        ),
        (0.125, true, 0.0625, 0.03125)
    );
    assert_eq!(
        (
            front_ends,
            front_end_index,
            zone,
            clock_tick,
            max_clock_skew
        ),
        (3.0, 2.0, 1, 0.002, 0.0)
    );
    assert_eq!(
        (
            max_dispatches,
            allows_hedging,
            allows_cancellation,
            max_retry_after
        ),
        (4, true, true, 1.5)
    );
    assert_eq!(
        (
            slow_start_duration,
            slow_start_initial_weight,
            overload_factor,
            overload_window,
            drain_grace
        ),
        (1.0, 0.75, 2.5, 3.0, 3.5)
    );
    assert_eq!(
        (
            polls_endpoints,
            allows_load_commands,
            rejects_unloaded,
            reports_concurrency
        ),
        (true, true, true, true)
    );
    assert_eq!(
        (
            keep_alive,
            load_budget_floor,
            load_budget_fraction,
            load_budget_window
        ),
        (8.0, 9.0, 0.5, 10.0)
    );
    assert_eq!((backlog_field, pending_loads_field), (Some(1), Some(2)));
}

#[test]
fn a_front_end_has_the_values_of_its_keys() {
    let settings = front_end(&settings()).expect("the settings are valid");
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
    let all = settings();
    let expected = format!("{:?}", front_end(&all).expect("the settings are valid"));
    let mut pointers = vec![];
    collect_pointers(&all, "", &mut pointers);
    assert_eq!(pointers.len(), 68, "{pointers:#?}");
    for pointer in pointers {
        let mut without_key = all.clone();
        let (parent, key) = pointer.rsplit_once('/').expect("a JSON pointer");
        without_key
            .pointer_mut(parent)
            .and_then(Value::as_object_mut)
            .expect("an object")
            .remove(key);
        let result = front_end(&without_key).map(|settings| format!("{settings:?}"));
        assert_ne!(result.as_ref(), Ok(&expected), "{pointer} is not read");
    }
}
