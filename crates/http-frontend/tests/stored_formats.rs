//! Tests that formats read by other builds and by operators' tools stay compatible: the names of headers, the entry of a
//! front end in etcd, and its report on the configuration. The texts must not be changed.

use orchidtally_config_sync::{Rejection, Report, ReportedState};
use orchidtally_http_frontend::config::{ConfigStatus, PublishedReport};
use orchidtally_http_frontend::etcd::{EXECUTORS_PREFIX, FRONT_ENDS_PREFIX, FrontEndEntry};
use orchidtally_http_frontend::ingress;
use orchidtally_mqtt_triggers::consumer::Counters;

#[test]
fn headers_have_the_names_of_the_protocol() {
    let names = [
        ingress::TRIGGER_TYPE,
        ingress::CUSTOMER,
        ingress::TIME_LEFT,
        ingress::CLIENT_RETRY,
        ingress::INVOCATION,
        ingress::RECORDED,
        ingress::BODY_OMITTED,
        ingress::IDEMPOTENCY_KEY,
        ingress::RETRY_AFTER_MS,
    ];
    let expected = [
        "orchidtally-trigger-type",
        "orchidtally-customer",
        "orchidtally-time-left",
        "orchidtally-repeat",
        "orchidtally-invocation",
        "orchidtally-recorded",
        "orchidtally-body-left-out",
        "idempotency-key",
        "orchidtally-stay-away",
    ];
    assert_eq!(names, expected);
}

#[test]
fn a_front_ends_entry_in_etcd_has_the_text_of_the_format() {
    let entry = FrontEndEntry {
        incarnation: u64::MAX,
        location: "east".into(),
        listen_address: Some("127.0.0.1:7300".parse().expect("an address")),
    };
    let text = serde_json::to_string(&entry).expect("serialization succeeds");
    assert_eq!(
        text,
        r#"{"life":18446744073709551615,"location":"east","at":"127.0.0.1:7300"}"#
    );
    let unknown = serde_json::to_string(&FrontEndEntry {
        listen_address: None,
        ..entry
    })
    .expect("serialization succeeds");
    assert_eq!(
        unknown,
        r#"{"life":18446744073709551615,"location":"east","at":null}"#
    );
    assert_eq!(
        (EXECUTORS_PREFIX, FRONT_ENDS_PREFIX),
        ("executors/", "front-ends/")
    );
}

fn rejection() -> Rejection {
    Rejection {
        key: "quotas/ann".into(),
        revision: 40,
        reason: "why".into(),
        remedy: "what to do".into(),
    }
}

#[test]
fn a_published_report_has_the_text_of_the_format() {
    let report = Report {
        sequence: 3,
        applied_revision: 41,
        generation: 1,
        cluster: 7,
        state: ReportedState::Following,
        rejected: vec![rejection()],
        rejected_omitted: 5,
        digest_faults: 6,
    };
    let published = PublishedReport {
        report,
        snapshot_fault: Some("the disk is full".into()),
    };
    let text = serde_json::to_string(&published).expect("serialization succeeds");
    assert_eq!(
        text,
        include_str!("stored_formats/published_report.json").trim_end()
    );
    let without = PublishedReport {
        snapshot_fault: None,
        ..published
    };
    assert!(
        !serde_json::to_string(&without)
            .expect("serialization succeeds")
            .contains("snapshot_fault")
    );
}

#[test]
fn the_status_of_the_configuration_has_the_text_of_the_format() {
    let status = ConfigStatus {
        state: ReportedState::CatchingUp,
        connected: true,
        loaded: false,
        generation: 1,
        applied_revision: 41,
        entries: 2,
        age: Some(0.5),
        rejected: vec![rejection()],
        snapshot_fault: Some("the disk is full".into()),
        apply_fault: None,
        bytes_sent: 3,
        bytes_received: 4,
    };
    let text = serde_json::to_string(&status).expect("serialization succeeds");
    assert_eq!(
        text,
        include_str!("stored_formats/config_status.json").trim_end()
    );
}

#[test]
fn counters_of_messages_have_the_text_of_the_format() {
    let counters = Counters {
        delivered: 1,
        retained: 2,
        invoked: 3,
        given_up: 4,
        set_aside: 5,
        answered: 6,
        unknown: 7,
        not_published: 8,
        dropped: 9,
    };
    let text = serde_json::to_string(&counters).expect("serialization succeeds");
    assert_eq!(
        text,
        include_str!("stored_formats/counters.json").trim_end()
    );
}
