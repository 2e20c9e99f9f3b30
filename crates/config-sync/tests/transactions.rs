//! Transactions are applied atomically, and rejected ones are reported.

mod kit;

use kit::fleet::Fleet;
use kit::{delete, function, put, quota, trigger_type};
use orchidtally_config_sync::{SyncSettings, Verdict};

fn loaded_fleet() -> Fleet {
    let mut fleet = Fleet::new(2, SyncSettings::default());
    fleet.write(&[
        put("functions/f1", function("a", "serve", true)),
        put("functions/f2", function("a", "serve", true)),
        put("functions/guarded", function("a", "refuse", true)),
        put("quotas/ann", quota(1.0)),
        put("trigger-types/web", trigger_type(0.5, 10.0)),
    ]);
    fleet.run(20.0);
    assert_eq!(fleet.front_ends[0].core.view().len(), 5);
    fleet
}

fn mod_revision(fleet: &Fleet, key: &str) -> i64 {
    fleet.front_ends[0]
        .core
        .view()
        .get(key)
        .map_or(0, |record| record.mod_revision)
}

#[test]
fn a_partly_invalid_transaction_is_rejected_atomically_until_repaired() {
    let mut fleet = loaded_fleet();
    let before = fleet.front_ends[0].core.view();
    let rejected = fleet.write_unchecked(&[
        put("functions/f1", function("b", "serve", true)),
        put("functions/new", function("b", "serve", true)),
        put("trigger-types/web", trigger_type(5.0, 2.0)),
        delete("functions/f2"),
    ]);
    let other = fleet.write(&[put("quotas/ann", quota(2.0))]);
    fleet.run(5.0);
    for key in ["functions/f1", "functions/f2", "trigger-types/web"] {
        let known = before.get(key).map(|record| record.mod_revision);
        assert_eq!(
            Some(mod_revision(&fleet, key)),
            known,
            "{key} keeps its last good entry"
        );
    }
    assert_eq!(mod_revision(&fleet, "functions/new"), 0);
    assert_eq!(
        mod_revision(&fleet, "quotas/ann"),
        other,
        "other transactions are applied"
    );
    for front_end in &fleet.front_ends {
        assert_eq!(
            front_end.core.admits(fleet.now, "functions/f2"),
            Verdict::Serve
        );
        let report = front_end.report.as_ref().expect("the front end reports");
        assert!(report.applied_revision >= other);
        assert_eq!(report.rejected.len(), 1, "{report:?}");
        let rejection = &report.rejected[0];
        assert_eq!(
            (rejection.key.as_str(), rejection.revision),
            ("trigger-types/web", rejected)
        );
        assert!(
            rejection.reason.contains("below the latency objective"),
            "{rejection:?}"
        );
        assert!(!rejection.remedy.is_empty());
    }
    // Once the invalid key is rewritten, the other changes of the transaction come into force with it.
    let repaired = fleet.write(&[put("trigger-types/web", trigger_type(0.5, 2.0))]);
    fleet.run(5.0);
    assert_eq!(mod_revision(&fleet, "trigger-types/web"), repaired);
    assert_eq!(mod_revision(&fleet, "functions/f1"), rejected);
    assert_eq!(mod_revision(&fleet, "functions/new"), rejected);
    assert_eq!(mod_revision(&fleet, "functions/f2"), 0);
    assert!(
        fleet.front_ends[0]
            .report
            .as_ref()
            .unwrap()
            .rejected
            .is_empty()
    );
}

#[test]
fn entries_that_a_rejected_transaction_may_revoke_are_refused_when_stale() {
    let mut fleet = loaded_fleet();
    fleet.write_unchecked(&[
        put("functions/guarded", function("a", "refuse", false)),
        put(
            "quotas/ann",
            br#"{"spec":{"calls_per_second":-1}}"#.to_vec(),
        ),
    ]);
    let written_at = fleet.now;
    fleet.run_with(60.0, |fleet| {
        let may_serve = fleet.now - written_at <= 18.0;
        assert!(
            may_serve || fleet.serving("functions/guarded") == 0,
            "{} s",
            fleet.now - written_at
        );
        assert_eq!(fleet.serving("functions/f1"), 2);
    });
    fleet.write(&[put("quotas/ann", quota(3.0))]);
    fleet.run(3.0);
    let verdict = fleet.front_ends[0]
        .core
        .admits(fleet.now, "functions/guarded");
    assert_eq!(verdict, Verdict::RefuseNotAllowed);
}

#[test]
fn a_rejected_transaction_is_applied_once_a_later_one_makes_it_valid() {
    let mut fleet = loaded_fleet();
    let document = br#"{"spec":{"versions":[{"digest":"d"}],"trigger_types":["mail"]}}"#;
    fleet.write(&[put("functions/mailer", document.to_vec())]);
    fleet.run(3.0);
    assert_eq!(fleet.front_ends[0].core.rejections().len(), 1);
    fleet.write(&[put("trigger-types/mail", trigger_type(1.0, 10.0))]);
    fleet.run(3.0);
    assert!(fleet.front_ends[0].core.rejections().is_empty());
    assert_eq!(
        fleet.front_ends[0]
            .core
            .admits(fleet.now, "functions/mailer"),
        Verdict::Serve
    );
}

#[test]
fn a_restart_keeps_the_last_good_entries_and_the_rejection() {
    let mut fleet = loaded_fleet();
    let good_revision = mod_revision(&fleet, "functions/f1");
    fleet.write_unchecked(&[
        put("functions/f1", b"no json".to_vec()),
        delete("functions/f2"),
    ]);
    fleet.run(400.0);
    let settings = fleet.settings.clone();
    for front_end in &mut fleet.front_ends {
        front_end.partition = None;
        front_end.restart(settings.clone(), 5, fleet.now);
    }
    fleet.run(1.0);
    assert_eq!(mod_revision(&fleet, "functions/f1"), good_revision);
    assert_eq!(
        fleet.front_ends[0].core.admits(fleet.now, "functions/f2"),
        Verdict::Serve
    );
    // While the store is unreachable, entries that must not be stale are refused and all others are served.
    let verdict = fleet.front_ends[0]
        .core
        .admits(fleet.now, "functions/guarded");
    assert!(
        matches!(verdict, Verdict::RefuseStale { .. }),
        "{verdict:?}"
    );
    assert!(!fleet.front_ends[0].core.rejections().is_empty());
    for front_end in &mut fleet.front_ends {
        front_end.partition = Some(0);
    }
    fleet.run(18.0);
    assert_eq!(
        fleet.front_ends[0]
            .core
            .admits(fleet.now, "functions/guarded"),
        Verdict::Serve
    );
    assert_eq!(mod_revision(&fleet, "functions/f1"), good_revision);
    let repaired = fleet.write(&[put("functions/f1", function("c", "serve", true))]);
    fleet.run(3.0);
    assert_eq!(mod_revision(&fleet, "functions/f1"), repaired);
}

#[test]
fn reports_list_a_bounded_number_of_rejections_and_count_the_rest() {
    let mut fleet = loaded_fleet();
    for n in 0..50 {
        fleet.write_unchecked(&[put(
            &format!("functions/bad{n}"),
            br#"{"spec":{"x":1}}"#.to_vec(),
        )]);
    }
    fleet.run(5.0);
    let report = fleet.front_ends[0]
        .report
        .clone()
        .expect("the front end reports");
    assert_eq!(report.rejected.len(), 16);
    assert_eq!(report.rejected_omitted, 34);
    assert!(report.to_json().len() < 8_000, "{}", report.to_json().len());
}

#[test]
fn keys_that_are_not_of_entries_are_reported_and_ignored() {
    use orchidtally_config_sync::writer::Operation;
    let mut fleet = loaded_fleet();
    let store_key = format!("{}entries/zzzz/functions/f1", fleet.keyspace.prefix()).into_bytes();
    fleet.store.commit(&[Operation::Put {
        key: store_key.clone(),
        value: b"{}".to_vec(),
    }]);
    let revision = fleet.write(&[put("functions/f1", function("d", "serve", true))]);
    fleet.run(3.0);
    assert_eq!(mod_revision(&fleet, "functions/f1"), revision);
    assert_eq!(fleet.front_ends[0].core.rejections().len(), 1);
    fleet.store.commit(&[Operation::Delete { key: store_key }]);
    fleet.run(3.0);
    assert!(fleet.front_ends[0].core.rejections().is_empty());
}
