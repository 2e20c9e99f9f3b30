//! The writer: transactions that keep digests consistent, repairs of digests, and whether a write is in force.

mod kit;

use kit::{delete, fleet::Fleet, function, key, put, quota, store::Store};
use orchidtally_config_sync::in_force::Written;
use orchidtally_config_sync::writer::{self, EntryChange, Operation, WriteError};
use orchidtally_config_sync::{
    GatewaySchema, InForce, Keyspace, MissingReason, Rejection, Report, ReportedState,
    RevocationState, SyncSettings, in_force,
};
use std::collections::{BTreeMap, BTreeSet};

const MAX_VALUE: usize = 16 << 10;

fn keyspace() -> Keyspace {
    Keyspace::new("config/")
}

fn planned(store: &Store, changes: &[EntryChange]) -> Result<writer::Transaction, WriteError> {
    let read = store.read(&writer::keys_to_read(&keyspace(), changes));
    writer::plan(
        &keyspace(),
        &GatewaySchema,
        changes,
        &read,
        MAX_VALUE,
        writer::DEFAULT_MAX_OPERATIONS,
    )
}

#[test]
fn digests_stay_consistent_with_entries() {
    let mut store = Store::default();
    let put_many: Vec<_> = (0..60)
        .map(|n| put(&format!("quotas/c{n}"), quota(f64::from(n))))
        .collect();
    for changes in [
        put_many,
        vec![
            delete("quotas/c3"),
            put("quotas/c4", quota(9.0)),
            delete("quotas/never-there"),
        ],
        vec![put("quotas/c3", quota(1.0))],
    ] {
        let transaction = planned(&store, &changes).expect("the changes are valid");
        assert!(store.transact(&transaction).is_some());
        let repair = writer::repair(&keyspace(), &store.read_all());
        assert!(repair.operations.is_empty(), "{repair:?}");
    }
}

#[test]
fn one_of_two_concurrent_writers_of_a_digest_has_to_retry() {
    let mut store = Store::default();
    // The second key is searched for, so that both are in the same digest group.
    let group = |name: &str| orchidtally_config_sync::keys::group_of(key(name).bucket());
    let first = "quotas/c0".to_string();
    let second = (1..)
        .map(|n| format!("quotas/c{n}"))
        .find(|name| group(name) == group(&first))
        .expect("some name is in the group");
    let one = planned(&store, &[put(&first, quota(1.0))]).expect("the changes are valid");
    let other = planned(&store, &[put(&second, quota(1.0))]).expect("the changes are valid");
    assert!(store.transact(&one).is_some());
    assert!(
        store.transact(&other).is_none(),
        "the digest would be wrong"
    );
    let other = planned(&store, &[put(&second, quota(1.0))]).expect("the changes are valid");
    assert!(store.transact(&other).is_some());
    assert!(
        writer::repair(&keyspace(), &store.read_all())
            .operations
            .is_empty()
    );
}

#[test]
fn digests_that_a_writer_did_not_update_are_repaired() {
    let mut fleet = Fleet::new(
        2,
        SyncSettings {
            audit_interval: 10.0,
            ..SyncSettings::default()
        },
    );
    fleet.write(&[
        put("functions/f1", function("a", "serve", true)),
        put("quotas/ann", quota(1.0)),
    ]);
    fleet.run(20.0);
    let store_key = fleet.keyspace.entry(&key("quotas/ann"));
    fleet.store.commit(&[Operation::Put {
        key: store_key,
        value: quota(2.0),
    }]);
    fleet.run(20.0);
    for front_end in &fleet.front_ends {
        assert_eq!(front_end.core.state(), ReportedState::Following);
        assert_eq!(
            front_end.report.as_ref().map(|report| report.digest_faults),
            Some(1)
        );
    }
    let repair = writer::repair(&fleet.keyspace, &fleet.store.read_all());
    assert_eq!(repair.operations.len(), 1);
    assert!(fleet.store.transact(&repair).is_some());
    fleet.run(30.0);
    for front_end in &fleet.front_ends {
        assert_eq!(
            front_end.report.as_ref().map(|report| report.digest_faults),
            Some(0)
        );
    }
}

#[test]
fn invalid_changes_are_rejected_with_a_reason() {
    let store = Store::default();
    let twice = [put("quotas/a", quota(1.0)), delete("quotas/a")];
    assert_eq!(
        planned(&store, &twice),
        Err(WriteError::ChangedTwice(key("quotas/a")))
    );
    let invalid = [put("quotas/a", b"{}".to_vec())];
    assert!(matches!(
        planned(&store, &invalid),
        Err(WriteError::Invalid { .. })
    ));
    let long = [put("quotas/a", vec![b' '; MAX_VALUE + 1])];
    assert!(matches!(
        planned(&store, &long),
        Err(WriteError::Invalid { .. })
    ));
    let many: Vec<_> = (0..200)
        .map(|n| put(&format!("quotas/c{n}"), quota(1.0)))
        .collect();
    assert!(matches!(
        planned(&store, &many),
        Err(WriteError::TooManyOperations {
            max_operations: 128,
            ..
        })
    ));
    let mut damaged = Store::default();
    let digest = keyspace().digest(orchidtally_config_sync::keys::group_of(
        key("quotas/a").bucket(),
    ));
    damaged.commit(&[Operation::Put {
        key: digest,
        value: vec![1, 2, 3],
    }]);
    assert!(matches!(
        planned(&damaged, &[put("quotas/a", quota(1.0))]),
        Err(WriteError::MalformedDigest(_))
    ));
}

fn report(applied_revision: i64) -> Report {
    Report {
        sequence: 1,
        applied_revision,
        generation: 1,
        cluster: 7,
        state: ReportedState::Following,
        rejected: vec![],
        rejected_omitted: 0,
        digest_faults: 0,
    }
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| name.to_string()).collect()
}

const WRITTEN: Written = Written {
    revision: 50,
    generation: 1,
    cluster: 7,
    at: 100.0,
};

#[test]
fn a_write_is_in_force_everywhere_once_all_front_ends_report_it() {
    let reports = BTreeMap::from([("a".into(), report(50)), ("b".into(), report(51))]);
    let (at_write, live) = (names(&["a"]), names(&["a", "b"]));
    assert_eq!(
        in_force(&WRITTEN, 101.0, &at_write, &live, &reports, 18.0),
        InForce::Everywhere
    );
}

#[test]
fn a_front_end_that_has_ended_is_not_missing() {
    let last = Report {
        state: ReportedState::Ended,
        ..report(40)
    };
    let reports = BTreeMap::from([("has-it".into(), report(50)), ("ended".into(), last)]);
    let at_write = names(&["ended", "has-it"]);
    for live in [names(&["has-it"]), names(&["ended", "has-it"])] {
        assert_eq!(
            in_force(&WRITTEN, 101.0, &at_write, &live, &reports, 18.0),
            InForce::Everywhere
        );
    }
    assert_eq!(
        orchidtally_config_sync::in_force::ended(&reports),
        ["ended"]
    );
    let lost = BTreeMap::from([("has-it".into(), report(50))]);
    let answer = in_force(&WRITTEN, 101.0, &at_write, &names(&["has-it"]), &lost, 18.0);
    assert!(matches!(answer, InForce::Missing { missing, .. } if missing.len() == 1));
}

#[test]
fn missing_front_ends_are_listed_with_the_reason() {
    let rejection = Rejection {
        key: "quotas/x".into(),
        revision: 50,
        reason: "bad".into(),
        remedy: "mend".into(),
    };
    let older = Rejection {
        revision: 40,
        ..rejection.clone()
    };
    let reports = BTreeMap::from([
        ("behind".into(), report(49)),
        (
            "foreign".into(),
            Report {
                generation: 2,
                ..report(90)
            },
        ),
        (
            "has-it".into(),
            Report {
                rejected: vec![older],
                ..report(50)
            },
        ),
        ("lost".into(), report(60)),
        (
            "omits".into(),
            Report {
                rejected_omitted: 3,
                ..report(50)
            },
        ),
        (
            "rejects".into(),
            Report {
                rejected: vec![rejection],
                ..report(50)
            },
        ),
    ]);
    let live = names(&["behind", "foreign", "has-it", "new", "omits", "rejects"]);
    let at_write = names(&["lost", "has-it"]);
    let answer = |now: f64| in_force(&WRITTEN, now, &at_write, &live, &reports, 18.0);
    let InForce::Missing {
        missing,
        revocations,
    } = answer(110.0)
    else {
        panic!("front ends are missing")
    };
    assert_eq!(revocations, RevocationState::NotBefore(118.0));
    let found: Vec<(&str, &MissingReason)> = missing
        .iter()
        .map(|m| (m.front_end.as_str(), &m.reason))
        .collect();
    let behind = MissingReason::Behind {
        applied_revision: 49,
        state: ReportedState::Following,
    };
    let expected = [
        ("behind", &behind),
        (
            "foreign",
            &MissingReason::OtherStore {
                generation: 2,
                cluster: 7,
            },
        ),
        ("lost", &MissingReason::LeaseLost),
        ("new", &MissingReason::NotReported),
        ("omits", &MissingReason::PossiblyRejected { omitted: 3 }),
        (
            "rejects",
            &MissingReason::Rejected {
                keys: vec!["quotas/x".into()],
            },
        ),
    ];
    assert_eq!(found, expected);
    let InForce::Missing { revocations, .. } = answer(118.0) else {
        panic!("front ends are missing")
    };
    assert_eq!(revocations, RevocationState::InForce);
}

#[test]
fn reports_of_a_fleet_show_when_a_write_is_in_force() {
    let mut fleet = Fleet::new(5, SyncSettings::default());
    fleet.write(&[put("functions/f1", function("a", "refuse", true))]);
    fleet.run(20.0);
    fleet.front_ends[4].partition = None;
    let revision = fleet.write(&[put("functions/f1", function("a", "refuse", false))]);
    let written = Written {
        revision,
        generation: 1,
        cluster: fleet.store.cluster,
        at: fleet.now,
    };
    let at_write: BTreeSet<String> = (0..5).map(|n| format!("fe-{n}")).collect();
    let check = |fleet: &Fleet, live: usize| {
        let reports = fleet.front_ends.iter().enumerate();
        let reports = reports
            .filter_map(|(n, f)| Some((format!("fe-{n}"), f.report.clone()?)))
            .collect();
        let live = (0..live).map(|n| format!("fe-{n}")).collect();
        in_force(&written, fleet.now, &at_write, &live, &reports, 18.0)
    };
    assert!(matches!(check(&fleet, 5), InForce::Missing { missing, .. } if missing.len() == 5));
    fleet.run(6.0);
    let InForce::Missing { missing, .. } = check(&fleet, 5) else {
        panic!("one front end is disconnected")
    };
    assert_eq!(missing.len(), 1, "{missing:?}");
    assert!(matches!(missing[0].reason, MissingReason::Behind { .. }));
    fleet.run(12.1);
    let answer = check(&fleet, 4);
    assert!(
        matches!(
            answer,
            InForce::Missing {
                revocations: RevocationState::InForce,
                ..
            }
        ),
        "{answer:?}"
    );
    assert_eq!(
        fleet.serving("functions/f1"),
        0,
        "the revocation is in force at all front ends"
    );
    fleet.front_ends[4].partition = Some(0);
    fleet.run(18.0);
    assert_eq!(check(&fleet, 5), InForce::Everywhere);
}
