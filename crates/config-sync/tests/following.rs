//! Front ends that load the configuration, follow it and restart, while the store has no faults.

mod kit;

use kit::fleet::Fleet;
use kit::{delete, function, key, put, quota, trigger_type};
use orchidtally_config_sync::{ReportedState, SyncSettings, Verdict};

fn loaded_fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count, SyncSettings::default());
    let changes: Vec<_> = (0..40)
        .map(|n| put(&format!("functions/f{n}"), function("a", "serve", true)))
        .collect();
    fleet.write(&changes);
    fleet.run(20.0);
    fleet
}

#[test]
fn loads_everything_and_follows_changes() {
    let mut fleet = loaded_fleet(3);
    for front_end in &fleet.front_ends {
        assert_eq!(front_end.core.state(), ReportedState::Following);
        assert_eq!(front_end.core.view().len(), 40);
    }
    let revision = fleet.write(&[put("quotas/ann", quota(10.0)), delete("functions/f3")]);
    let took = fleet.run_until_applied(revision, 18.0, |_| true);
    assert!(took.is_some_and(|took| took < 1.0), "{took:?}");
    for front_end in &fleet.front_ends {
        assert_eq!(
            front_end.core.admits(fleet.now, "quotas/ann"),
            Verdict::Serve
        );
        assert_eq!(
            front_end.core.admits(fleet.now, "functions/f3"),
            Verdict::Unknown
        );
    }
}

#[test]
fn stays_fresh_while_the_store_answers() {
    let mut fleet = loaded_fleet(3);
    fleet.write(&[put("functions/f1", function("b", "refuse", true))]);
    fleet.run(5.0);
    fleet.run_with(600.0, |fleet| {
        assert_eq!(fleet.serving("functions/f1"), 3, "at {}", fleet.now);
    });
}

#[test]
fn an_invocation_keeps_its_view() {
    let mut fleet = loaded_fleet(1);
    let admitted = fleet.front_ends[0].core.view();
    fleet.write(&[put("functions/f1", function("b", "serve", true))]);
    fleet.run(2.0);
    let front_end = &fleet.front_ends[0];
    let digest =
        |view: &orchidtally_config_sync::View<_>| match &view.get("functions/f1").unwrap().entry {
            orchidtally_config_sync::schema::GatewayEntry::Function(f) => {
                f.versions[0].digest.clone()
            }
            _ => unreachable!("it is a function"),
        };
    assert!(digest(&admitted).starts_with("sha256:a"));
    assert!(digest(&front_end.core.view()).starts_with("sha256:b"));
    assert_eq!(
        front_end
            .core
            .still_admitted(fleet.now, &admitted, "functions/f1"),
        Verdict::Serve
    );
    fleet.write(&[put("functions/f1", function("b", "serve", false))]);
    fleet.run(2.0);
    let verdict = fleet.front_ends[0]
        .core
        .still_admitted(fleet.now, &admitted, "functions/f1");
    assert_eq!(verdict, Verdict::RefuseNotAllowed);
    fleet.write(&[delete("functions/f1")]);
    fleet.run(2.0);
    let verdict = fleet.front_ends[0]
        .core
        .still_admitted(fleet.now, &admitted, "functions/f1");
    assert_eq!(verdict, Verdict::RefuseNotAllowed);
}

#[test]
fn resumes_by_revision_after_a_restart_and_reads_no_entries() {
    let mut fleet = loaded_fleet(1);
    fleet.run(400.0);
    let settings = fleet.settings.clone();
    fleet.front_ends[0].restart(settings, 99, fleet.now);
    assert_eq!(fleet.front_ends[0].core.view().len(), 40);
    let revision = fleet.write(&[put("functions/f9", function("c", "serve", true))]);
    assert!(fleet.run_until_applied(revision, 18.0, |_| true).is_some());
    assert_eq!(fleet.front_ends[0].traffic.scans, 0);
    assert_eq!(fleet.front_ends[0].traffic.bucket_reads, 0);
}

#[test]
fn kinds_are_distinguished() {
    let mut fleet = loaded_fleet(1);
    let names = ["quotas/a", "quotas/b/c", "quotas/z"];
    fleet.write(&names.map(|name| put(name, quota(1.0))));
    fleet.run(2.0);
    let view = fleet.front_ends[0].core.view();
    let mut found: Vec<&str> = view
        .of_kind("quotas")
        .map(|(key, _)| key.as_str())
        .collect();
    found.sort_unstable();
    assert_eq!(found, names);
    assert_eq!(view.of_kind("functions").count(), 40);
    assert_eq!(view.of_kind("function").count(), 0);
    assert_eq!(view.of_kind("zzz").count(), 0);
}

#[test]
fn a_rejected_change_creates_no_view() {
    let mut fleet = loaded_fleet(1);
    let views = fleet.front_ends[0].applied.len();
    fleet.write_unchecked(&[put("quotas/ann", b"{}".to_vec())]);
    fleet.run(5.0);
    assert_eq!(fleet.front_ends[0].applied.len(), views);
    fleet.write(&[put("quotas/ann", quota(1.0))]);
    fleet.run(5.0);
    assert_eq!(fleet.front_ends[0].applied.len(), views + 1);
}

#[test]
fn an_unreadable_generation_halts_until_it_is_readable() {
    use orchidtally_config_sync::writer::Operation;
    let mut fleet = loaded_fleet(2);
    let key = fleet.keyspace.generation();
    let generation = |value: &str| Operation::Put {
        key: key.clone(),
        value: value.as_bytes().to_vec(),
    };
    for value in [r#"{"format":2,"generation":1}"#, "no json"] {
        fleet.store.commit(&[generation(value)]);
        let revision = fleet.write(&[put(
            "functions/f1",
            function(&value.len().to_string(), "serve", true),
        )]);
        fleet.run(60.0);
        for front_end in &fleet.front_ends {
            assert_eq!(front_end.core.state(), ReportedState::UnknownFormat);
            assert_eq!(
                front_end.core.admits(fleet.now, "functions/f1"),
                Verdict::Serve
            );
            assert!(front_end.core.fresh_as_of() < fleet.now - 50.0);
        }
        fleet.set_generation(1);
        assert!(fleet.run_until_applied(revision, 18.0, |_| true).is_some());
        fleet.run(10.0);
        assert!(
            fleet
                .front_ends
                .iter()
                .all(|f| f.core.state() == ReportedState::Following)
        );
    }
    // A generation that is lower than the followed one must not roll the view back.
    fleet.set_generation(0);
    fleet.run(10.0);
    assert!(
        fleet
            .front_ends
            .iter()
            .all(|f| f.core.state() == ReportedState::StoreRolledBack)
    );
}

#[test]
fn rules_between_entries_are_enforced() {
    let mut fleet = loaded_fleet(1);
    fleet.write(&[put("trigger-types/web", trigger_type(0.5, 10.0))]);
    let document = br#"{"spec":{"versions":[{"digest":"d","work":5}],"trigger_types":["web"]}}"#;
    fleet.write(&[put("functions/slow", document.to_vec())]);
    fleet.run(3.0);
    let revision = fleet.write(&[put("trigger-types/web", trigger_type(0.5, 2.0))]);
    fleet.run(5.0);
    let front_end = &fleet.front_ends[0];
    let rejections = front_end.core.rejections();
    assert_eq!(rejections.len(), 1, "{rejections:?}");
    assert_eq!(
        (rejections[0].key.as_str(), rejections[0].revision),
        ("functions/slow", revision)
    );
    assert!(!rejections[0].remedy.is_empty());
    assert_eq!(front_end.report.as_ref().unwrap().rejected, rejections);
    let document = br#"{"spec":{"versions":[{"digest":"d","work":1}],"trigger_types":["web"]}}"#;
    fleet.write(&[put("functions/slow", document.to_vec())]);
    fleet.run(5.0);
    let core = &fleet.front_ends[0].core;
    assert!(core.rejections().is_empty(), "{:?}", core.rejections());
    let view = core.view();
    let orchidtally_config_sync::schema::GatewayEntry::TriggerType(web) =
        &view.get(key("trigger-types/web").as_str()).unwrap().entry
    else {
        panic!("the entry is not a trigger type")
    };
    assert_eq!(web.timeout, 2.0);
}
