//! Tests that each key of a deployment file is read under its name. `every_key.json` contains every key, including those
//! of the `mqtt` section, in general with a value that differs from the default.

use orchidtally_deployment::{EndpointSource, Limits};
use orchidtally_mqtt_triggers::read;
use serde_json::{Value, json};

const EVERY_KEY: &str = include_str!("deployment_keys/every_key.json");

/// Keys whose value in the fixture is the default. Removing them changes nothing; the values of other keys cover them.
const WITH_DEFAULT: [&str; 5] = [
    "/loading/orders",
    "/mqtt/version",
    "/mqtt/triggers/2/answer",
    "/mqtt/triggers/2/payload",
    "/mqtt/triggers/2/qos",
];

fn every_key() -> Value {
    serde_json::from_str(EVERY_KEY).expect("the fixture is JSON")
}

/// Returns the debug output of the parsed file, which differs if a value differs, or its faults.
fn read_as(file: &Value) -> Result<String, Vec<String>> {
    let read = read(&file.to_string());
    read.map(|read| format!("{read:?}"))
        .map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

/// Collects the JSON pointers to all members of objects.
fn pointers(value: &Value, pointer: &str, found: &mut Vec<String>) {
    if let Value::Object(members) = value {
        for (key, member) in members {
            let pointer = format!("{pointer}/{key}");
            pointers(member, &pointer, found);
            found.push(pointer);
        }
    }
    if let Value::Array(list) = value {
        for (index, member) in list.iter().enumerate() {
            pointers(member, &format!("{pointer}/{index}"), found);
        }
    }
}

#[test]
fn each_key_of_a_deployment_file_is_read() {
    let complete = every_key();
    let expected = read_as(&complete).expect("the fixture is valid");
    let mut all = vec![];
    pointers(&complete, "", &mut all);
    assert_eq!(all.len(), 197, "{all:#?}");
    for pointer in all {
        let mut reduced = complete.clone();
        let (place, key) = pointer.rsplit_once('/').expect("a pointer");
        reduced
            .pointer_mut(place)
            .and_then(Value::as_object_mut)
            .expect("an object")
            .remove(key);
        let makes_no_difference = read_as(&reduced) == Ok(expected.clone());
        assert_eq!(
            makes_no_difference,
            WITH_DEFAULT.contains(&pointer.as_str()),
            "{pointer}"
        );
    }
}

#[test]
fn a_misspelt_key_is_reported_at_each_place() {
    let complete = every_key();
    let mut all = vec![];
    pointers(&complete, "", &mut all);
    all.retain(|pointer| !pointer.contains("/aliases/"));
    for pointer in all {
        let mut misspelt = complete.clone();
        let (place, key) = pointer.rsplit_once('/').expect("a pointer");
        let members = misspelt
            .pointer_mut(place)
            .and_then(Value::as_object_mut)
            .expect("an object");
        let value = members.remove(key).expect("the key exists");
        members.insert(format!("{key}X"), value);
        let faults = read_as(&misspelt).expect_err(&pointer);
        let expected = format!("{key}X: unknown key, is '{key}' meant?");
        assert!(
            faults.iter().any(|fault| fault.contains(&expected)),
            "{pointer}: {faults:?}"
        );
    }
}

#[test]
fn limits_have_the_values_of_their_keys() {
    let (deployment, _) = read(EVERY_KEY).expect("the fixture is valid");
    let Limits {
        max_open_invocations: open_invocations,
        max_connections: connections,
        max_header_bytes: header_bytes,
        max_body_bytes: body_bytes,
        max_held_body_bytes: held_body_bytes,
        max_response_bytes: answer_bytes,
        request_read_timeout: sender_time,
        response_margin: reply_margin,
        response_margin_per_open: answer_time,
        max_streams_per_connection: streams_per_connection,
        max_connections_per_executor: connections_per_executor,
        connect_timeout: connect_time,
        idle_timeout: idle_close,
        load_command_timeout: order_time,
    } = deployment.limits;
    assert_eq!(
        (open_invocations, connections, header_bytes),
        (101, 102, 16_000)
    );
    assert_eq!(
        (body_bytes, held_body_bytes, answer_bytes),
        (8 << 20, 80 << 20, 9 << 20)
    );
    assert_eq!(
        (sender_time, reply_margin, answer_time),
        (11.0, 0.03, 0.002)
    );
    assert_eq!((streams_per_connection, connections_per_executor), (32, 5));
    assert_eq!((connect_time, idle_close, order_time), (0.15, 16.0, 12.0));
}

#[test]
fn the_policy_has_the_values_of_its_keys() {
    let (deployment, _) = read(EVERY_KEY).expect("the fixture is valid");
    let policy = deployment.policy;
    assert_eq!(
        (
            policy.front_ends,
            policy.front_end_index,
            policy.max_clock_skew,
            policy.clock_tick
        ),
        (3.0, 2.0, 0.25, 0.004)
    );
    assert_eq!(
        (policy.zone, policy.zone_regions),
        (1, vec![Some(0), Some(1)])
    );
    assert_eq!(
        (
            policy.cross_zone_cost,
            policy.over_quota_value_factor,
            policy.bills_by_work
        ),
        (0.0625, 0.125, true)
    );
    assert_eq!(
        (
            policy.max_dispatches,
            policy.allows_hedging,
            policy.allows_cancellation
        ),
        (3, true, false)
    );
    assert_eq!(
        (policy.max_retry_after, policy.quotas),
        (1.5, vec![100.5, 50.5])
    );
    assert_eq!(
        (
            policy.slow_start_duration,
            policy.slow_start_initial_weight,
            policy.overload_factor,
            policy.overload_window
        ),
        (12.0, 0.75, 2.5, 3.0)
    );
    assert_eq!(
        (
            policy.allows_load_commands,
            policy.rejects_unloaded,
            policy.reports_concurrency
        ),
        (true, true, false)
    );
    assert_eq!((policy.keep_alive, policy.load_budget_floor), (20.0, 9.0));
    assert_eq!(
        (policy.load_budget_fraction, policy.load_budget_window),
        (0.5, 6.0)
    );
    assert_eq!(
        (policy.backlog_field, policy.pending_loads_field),
        (Some(1), Some(2))
    );
}

#[test]
fn the_configuration_store_and_the_broker_have_the_values_of_their_keys() {
    let (deployment, section) = read(EVERY_KEY).expect("the fixture is valid");
    let store = deployment
        .configuration
        .expect("the fixture has a configuration section");
    assert_eq!(
        (
            store.freshness,
            store.max_revocation_delay,
            store.proof_interval
        ),
        (16.0, 19.0, 4.0)
    );
    assert_eq!(
        (
            store.comparison_interval,
            store.report_interval,
            store.snapshot_interval
        ),
        (200.0, 5.0, 201.0)
    );
    assert_eq!(
        (
            store.max_start_delay,
            store.bytes_per_second,
            store.burst,
            store.lease_ttl
        ),
        (6.0, 10e3, 20e3, 13.0)
    );
    let broker = section.expect("the fixture has an mqtt section");
    assert_eq!(
        (
            broker.keep_alive,
            broker.session_expiry,
            broker.receive_maximum
        ),
        (14, 7_200, 104)
    );
    assert_eq!(
        (
            broker.max_in_flight,
            broker.max_packet_size,
            broker.reassigns_unacknowledged
        ),
        (105, 3 << 20, false)
    );
    assert_eq!(
        (
            broker.max_journal_bytes,
            broker.max_deliveries,
            broker.reply_margin
        ),
        (2 << 20, 6, 0.2)
    );
    assert_eq!(broker.dead_letter_topic.as_deref(), Some("ops/set-aside"));
}

#[test]
fn executors_come_from_a_publisher_or_from_etcd_by_their_keys() {
    let with = |executors: Value| {
        let mut file = every_key();
        file["executors"] = executors;
        read(&file.to_string())
            .expect("the file is valid")
            .0
            .endpoint_source
    };
    let source = with(json!({"publisher": "127.0.0.1:7390"}));
    assert!(
        matches!(source, EndpointSource::Publisher(at) if at.to_string() == "127.0.0.1:7390"),
        "{source:?}"
    );
    let source = with(
        json!({"etcd": {"endpoints": ["127.0.0.1:2379"], "prefix": "/pinned/", "lease": "11s"}}),
    );
    let EndpointSource::Etcd(etcd) = source else {
        panic!("{source:?}")
    };
    assert_eq!(
        (etcd.endpoints.len(), etcd.prefix.as_str(), etcd.lease_ttl),
        (1, "/pinned/", 11.0)
    );
}
