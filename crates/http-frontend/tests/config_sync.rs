//! Tests of front ends that follow a configuration store on loopback sockets.

mod config_kit;

use config_kit::{FrontEnd, Writer, deployment, executor, function, run, temp_dir, wait_until};
use orchidtally_config_sync::in_force::Written;
use orchidtally_config_sync::{InForce, in_force};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::{CrashPoint, EtcdServer};
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Instant;

/// The cluster id of the test store.
const CLUSTER: u64 = 7;
/// The maximum time for a change to be in force, in seconds.
const IN_FORCE_WITHIN: f64 = 3.0;

#[test]
fn a_change_takes_effect_on_two_front_ends_without_a_restart_and_the_writer_sees_it() {
    let environment = TestEnvironment::new(1);
    let etcd = EtcdServer::start(&environment, 3).unwrap();
    let (executor, temp_dir) = (executor(&environment), temp_dir("config-two"));
    let front_ends = [1, 2].map(|n| {
        let snapshot = temp_dir.join(format!("{n}.snapshot"));
        FrontEnd::start(deployment(executor, &etcd.addresses, &snapshot), n)
    });
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        wait_until(&environment, "both report", async || {
            writer.reports().await.len() == 2
        })
        .await;
        for front_end in &front_ends {
            assert_eq!(
                (
                    front_end.status("listed").await,
                    front_end.status("added").await
                ),
                (200, 404)
            );
        }
        let live: BTreeSet<String> = writer.reports().await.into_keys().collect();
        let revision = writer
            .write(&[
                ("functions/added", Some(function(true, "serve"))),
                ("functions/listed", Some(function(false, "serve"))),
                (
                    "trigger-types/http",
                    Some(json!({ "spec": { "objective": 0.5, "timeout": 2.0 } })),
                ),
            ])
            .await;
        let written = Written {
            revision,
            generation: 0,
            cluster: CLUSTER,
            at: environment.now(),
        };
        wait_until(&environment, "in force everywhere", async || {
            let reports = writer.reports().await;
            let now = environment.now();
            in_force(&written, now, &live, &live, &reports, IN_FORCE_WITHIN) == InForce::Everywhere
        })
        .await;
        let elapsed = environment.now() - written.at;
        assert!(elapsed < IN_FORCE_WITHIN, "{elapsed} s");
        for front_end in &front_ends {
            assert_eq!(front_end.status("added").await, 200);
            let (status, body) = front_end.invoke("listed").await;
            assert_eq!(status, 403, "{body}");
            assert!(body.contains("'functions/listed' is not allowed"), "{body}");
        }
        writer
            .write(&[("functions/listed", None), ("functions/added", None)])
            .await;
        for front_end in &front_ends {
            wait_until(
                &environment,
                "the deployment file applies again",
                async || front_end.status("listed").await == 200,
            )
            .await;
            assert_eq!(front_end.status("added").await, 404);
        }
    });
}

#[test]
fn a_partly_invalid_transaction_is_rejected_completely_with_key_reason_and_remedy() {
    let environment = TestEnvironment::new(2);
    let etcd = EtcdServer::start(&environment, 1).unwrap();
    let snapshot = temp_dir("config-invalid").join("s");
    let front_end = FrontEnd::start(
        deployment(executor(&environment), &etcd.addresses, &snapshot),
        1,
    );
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        writer
            .write(&[("functions/before", Some(function(true, "serve")))])
            .await;
        wait_until(&environment, "the first function is served", async || {
            front_end.status("before").await == 200
        })
        .await;
        let mut bad = function(true, "serve");
        bad["spec"]["trigger_types"] = json!(["nowhere"]);
        let rejected = writer
            .write(&[
                ("functions/good", Some(function(true, "serve"))),
                ("functions/bad", Some(bad)),
            ])
            .await;
        writer
            .write(&[("functions/after", Some(function(true, "serve")))])
            .await;
        wait_until(&environment, "later transactions are applied", async || {
            front_end.status("after").await == 200
        })
        .await;
        assert_eq!(
            (
                front_end.status("good").await,
                front_end.status("bad").await
            ),
            (404, 404)
        );
        assert_eq!(front_end.status("before").await, 200);
        let rejection = &front_end.configuration().await["rejected"][0];
        assert_eq!(
            (&rejection["key"], &rejection["revision"]),
            (&json!("functions/bad"), &json!(rejected))
        );
        assert!(
            rejection["reason"].as_str().unwrap().contains("'nowhere'"),
            "{rejection}"
        );
        assert!(
            rejection["remedy"]
                .as_str()
                .unwrap()
                .contains("write the trigger type first"),
            "{rejection}"
        );
        wait_until(&environment, "the rejection is in the report", async || {
            let reports = writer.reports().await;
            reports
                .values()
                .any(|report| report.rejected.iter().any(|r| r.key == "functions/bad"))
        })
        .await;
        // The constraints of the deployment file also apply to entries of the store.
        let no_time = json!({ "spec": { "objective": 0.01, "timeout": 0.04 } });
        writer.write(&[("trigger-types/http", Some(no_time))]).await;
        wait_until(
            &environment,
            "the second transaction is rejected",
            async || {
                let rejection = front_end.configuration().await["rejected"].to_string();
                rejection.contains("raise the timeout, or lower 'limits.answerMargin'")
            },
        )
        .await;
        assert_eq!(front_end.status("before").await, 200);
    });
}

#[test]
fn without_the_store_it_starts_from_its_snapshot_and_refuses_functions_that_need_a_fresh_view() {
    let environment = TestEnvironment::new(3);
    let etcd = EtcdServer::start(&environment, 3).unwrap();
    let (executor, snapshot) = (executor(&environment), temp_dir("config-away").join("s"));
    let text = deployment(executor, &etcd.addresses, &snapshot);
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        let first = FrontEnd::start(text.clone(), 1);
        let revision = writer
            .write(&[
                ("functions/kept", Some(function(true, "serve"))),
                ("functions/secret", Some(function(true, "refuse"))),
            ])
            .await;
        wait_until(&environment, "the function is served", async || {
            first.status("secret").await == 200
        })
        .await;
        environment.sleep(0.5).await;
        drop(first);
        (0..3).for_each(|member| etcd.stop(member));
        let second = FrontEnd::start(text.clone(), 2);
        assert_eq!(
            second.configuration().await["appliedRevision"].as_i64(),
            Some(revision)
        );
        assert_eq!(second.status("kept").await, 200);
        let (status, body) = second.invoke("secret").await;
        assert_eq!(status, 503, "{body}");
        assert!(body.contains("\"mayHaveRun\":false"), "{body}");
        (0..3).for_each(|member| etcd.restart(member));
        wait_until(&environment, "the view is fresh again", async || {
            second.status("secret").await == 200
        })
        .await;
        // Without a store and a snapshot it is unknown which functions are allowed.
        drop(second);
        (0..3).for_each(|member| etcd.stop(member));
        std::fs::remove_dir_all(snapshot.parent().unwrap()).unwrap();
        let third = FrontEnd::start(text, 3);
        let (status, body) = third.invoke("listed").await;
        assert_eq!(status, 503, "{body}");
        assert!(body.contains("no configuration is loaded yet"), "{body}");
        (0..3).for_each(|member| etcd.restart(member));
        wait_until(
            &environment,
            "the front end has read the store",
            async || third.status("kept").await == 200,
        )
        .await;
        // The directory of the snapshot is gone, which is reported and does not stop the front end.
        wait_until(
            &environment,
            "the snapshot fault is in the report",
            async || {
                writer
                    .raw_reports()
                    .await
                    .values()
                    .any(|report| report.get("snapshot_fault").is_some())
            },
        )
        .await;
    });
}

#[test]
fn a_store_restored_from_a_backup_is_not_followed() {
    let environment = TestEnvironment::new(4);
    let etcd = EtcdServer::start(&environment, 3).unwrap();
    let snapshot = temp_dir("config-back").join("s");
    let front_end = FrontEnd::start(
        deployment(executor(&environment), &etcd.addresses, &snapshot),
        1,
    );
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        let allowed = writer
            .write(&[("functions/f", Some(function(true, "serve")))])
            .await;
        wait_until(&environment, "the function is allowed", async || {
            front_end.status("f").await == 200
        })
        .await;
        writer
            .write(&[("functions/f", Some(function(false, "serve")))])
            .await;
        wait_until(
            &environment,
            "the function is not allowed any more",
            async || front_end.status("f").await == 403,
        )
        .await;
        etcd.store.borrow_mut().restore(allowed);
        etcd.break_connections();
        wait_until(
            &environment,
            "the front end reports the restored store",
            async || front_end.configuration().await["state"] == "store-set-back",
        )
        .await;
        assert_eq!(
            front_end.status("f").await,
            403,
            "the older permission must not apply again"
        );
        let generation = json!({ "format": 1, "generation": 1 }).to_string();
        let key = format!("{}generation", config_kit::PREFIX);
        let put = orchidtally_etcd::rpc::PutRequest {
            key: key.into(),
            value: generation.into(),
            ..Default::default()
        };
        etcd.store.borrow_mut().put(&put).unwrap();
        wait_until(
            &environment,
            "a higher generation is followed",
            async || front_end.status("f").await == 200,
        )
        .await;
    });
}

#[test]
fn a_change_survives_the_crash_of_two_of_five_members() {
    let environment = TestEnvironment::new(5);
    let etcd = EtcdServer::start_in_regions(&environment, &[0, 0, 1, 1, 2]).unwrap();
    let (executor, temp_dir) = (executor(&environment), temp_dir("config-members"));
    let front_ends = [1, 2, 3].map(|n| {
        let snapshot = temp_dir.join(format!("{n}.snapshot"));
        FrontEnd::start(deployment(executor, &etcd.addresses, &snapshot), n)
    });
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        wait_until(&environment, "all report", async || {
            writer.reports().await.len() == 3
        })
        .await;
        etcd.crash_in_next_transaction(CrashPoint::AfterCommit, 2);
        let started = Instant::now();
        writer
            .write(&[
                ("functions/a", Some(function(true, "refuse"))),
                ("functions/b", Some(function(true, "refuse"))),
            ])
            .await;
        for front_end in &front_ends {
            wait_until(&environment, "in force", async || {
                front_end.status("a").await == 200
            })
            .await;
            assert_eq!(
                front_end.status("b").await,
                200,
                "a transaction is applied completely"
            );
        }
        let elapsed = started.elapsed().as_secs_f64();
        assert!(elapsed < 18.0, "{elapsed} s");
    });
}
