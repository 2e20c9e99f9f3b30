//! Front ends that follow a store of configuration on loopback sockets.

mod config_kit;

use config_kit::{FrontEnd, Writer, deployment, executor, folder, function, on, until};
use orchidtally_config_sync::in_force::Written;
use orchidtally_config_sync::{InForce, in_force};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::{CrashPoint, EtcdServer};
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Instant;

/// The cluster's id of the kit's store.
const CLUSTER: u64 = 7;
/// What a change may take to be in force in these tests, in seconds.
const IN_FORCE_WITHIN: f64 = 3.0;

#[test]
fn a_change_is_in_force_at_two_front_ends_without_a_restart_and_the_writer_sees_it() {
    let stage = TestEnvironment::new(1);
    let etcd = EtcdServer::start(&stage, 3).unwrap();
    let (executor, folder) = (executor(&stage), folder("config-two"));
    let front_ends = [1, 2].map(|n| {
        let snapshot = folder.join(format!("{n}.snapshot"));
        FrontEnd::start(deployment(executor, &etcd.addresses, &snapshot), n)
    });
    let writer = Writer::new(&stage, &etcd);
    on(&stage, async {
        until(&stage, "both report", async || {
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
            at: stage.now(),
        };
        until(&stage, "in force everywhere", async || {
            let reports = writer.reports().await;
            let now = stage.now();
            in_force(&written, now, &live, &live, &reports, IN_FORCE_WITHIN) == InForce::Everywhere
        })
        .await;
        let took = stage.now() - written.at;
        assert!(took < IN_FORCE_WITHIN, "{took} s");
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
            until(&stage, "the file counts again", async || {
                front_end.status("listed").await == 200
            })
            .await;
            assert_eq!(front_end.status("added").await, 404);
        }
    });
}

#[test]
fn a_transaction_half_of_which_is_invalid_is_rejected_whole_with_key_reason_and_remedy() {
    let stage = TestEnvironment::new(2);
    let etcd = EtcdServer::start(&stage, 1).unwrap();
    let snapshot = folder("config-invalid").join("s");
    let front_end = FrontEnd::start(deployment(executor(&stage), &etcd.addresses, &snapshot), 1);
    let writer = Writer::new(&stage, &etcd);
    on(&stage, async {
        writer
            .write(&[("functions/before", Some(function(true, "serve")))])
            .await;
        until(&stage, "the first", async || {
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
        until(&stage, "others go on", async || {
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
        let told = &front_end.configuration().await["rejected"][0];
        assert_eq!(
            (&told["key"], &told["revision"]),
            (&json!("functions/bad"), &json!(rejected))
        );
        assert!(
            told["reason"].as_str().unwrap().contains("'nowhere'"),
            "{told}"
        );
        assert!(
            told["remedy"]
                .as_str()
                .unwrap()
                .contains("write the trigger type first"),
            "{told}"
        );
        until(&stage, "it is in the store's report", async || {
            let reports = writer.reports().await;
            reports
                .values()
                .any(|report| report.rejected.iter().any(|r| r.key == "functions/bad"))
        })
        .await;
        // What the deployment file asks for holds in the store as well.
        let no_time = json!({ "spec": { "objective": 0.01, "timeout": 0.04 } });
        writer.write(&[("trigger-types/http", Some(no_time))]).await;
        until(&stage, "the second rejection", async || {
            let told = front_end.configuration().await["rejected"].to_string();
            told.contains("raise the timeout, or lower 'limits.answerMargin'")
        })
        .await;
        assert_eq!(front_end.status("before").await, 200);
    });
}

#[test]
fn with_the_store_away_it_starts_from_its_snapshot_and_refuses_what_may_have_been_taken_away() {
    let stage = TestEnvironment::new(3);
    let etcd = EtcdServer::start(&stage, 3).unwrap();
    let (executor, snapshot) = (executor(&stage), folder("config-away").join("s"));
    let text = deployment(executor, &etcd.addresses, &snapshot);
    let writer = Writer::new(&stage, &etcd);
    on(&stage, async {
        let first = FrontEnd::start(text.clone(), 1);
        let revision = writer
            .write(&[
                ("functions/kept", Some(function(true, "serve"))),
                ("functions/secret", Some(function(true, "refuse"))),
            ])
            .await;
        until(&stage, "it is there", async || {
            first.status("secret").await == 200
        })
        .await;
        stage.sleep(0.5).await;
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
        until(&stage, "it is proven current again", async || {
            second.status("secret").await == 200
        })
        .await;
        // Neither store nor snapshot: nothing says what may be called.
        drop(second);
        (0..3).for_each(|member| etcd.stop(member));
        std::fs::remove_dir_all(snapshot.parent().unwrap()).unwrap();
        let third = FrontEnd::start(text, 3);
        let (status, body) = third.invoke("listed").await;
        assert_eq!(status, 503, "{body}");
        assert!(body.contains("no configuration is loaded yet"), "{body}");
        (0..3).for_each(|member| etcd.restart(member));
        until(&stage, "it has read the store", async || {
            third.status("kept").await == 200
        })
        .await;
        // Its folder is gone: that is told, and ends nothing.
        until(
            &stage,
            "the snapshot's fault is told in the store",
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
fn a_store_that_was_set_back_is_not_followed() {
    let stage = TestEnvironment::new(4);
    let etcd = EtcdServer::start(&stage, 3).unwrap();
    let snapshot = folder("config-back").join("s");
    let front_end = FrontEnd::start(deployment(executor(&stage), &etcd.addresses, &snapshot), 1);
    let writer = Writer::new(&stage, &etcd);
    on(&stage, async {
        let allowed = writer
            .write(&[("functions/f", Some(function(true, "serve")))])
            .await;
        until(&stage, "allowed", async || {
            front_end.status("f").await == 200
        })
        .await;
        writer
            .write(&[("functions/f", Some(function(false, "serve")))])
            .await;
        until(&stage, "taken away", async || {
            front_end.status("f").await == 403
        })
        .await;
        etcd.store.borrow_mut().restore(allowed);
        etcd.break_connections();
        until(&stage, "it says so", async || {
            front_end.configuration().await["state"] == "store-set-back"
        })
        .await;
        assert_eq!(
            front_end.status("f").await,
            403,
            "the older permission is not back"
        );
        let generation = json!({ "format": 1, "generation": 1 }).to_string();
        let key = format!("{}generation", config_kit::PREFIX);
        let put = orchidtally_etcd::rpc::PutRequest {
            key: key.into(),
            value: generation.into(),
            ..Default::default()
        };
        etcd.store.borrow_mut().put(&put).unwrap();
        until(&stage, "a higher generation is followed", async || {
            front_end.status("f").await == 200
        })
        .await;
    });
}

#[test]
fn two_of_five_members_die_in_the_middle_of_a_change() {
    let stage = TestEnvironment::new(5);
    let etcd = EtcdServer::start_in_regions(&stage, &[0, 0, 1, 1, 2]).unwrap();
    let (executor, folder) = (executor(&stage), folder("config-members"));
    let front_ends = [1, 2, 3].map(|n| {
        let snapshot = folder.join(format!("{n}.snapshot"));
        FrontEnd::start(deployment(executor, &etcd.addresses, &snapshot), n)
    });
    let writer = Writer::new(&stage, &etcd);
    on(&stage, async {
        until(&stage, "all report", async || {
            writer.reports().await.len() == 3
        })
        .await;
        etcd.crash_in_next_transaction(CrashPoint::AfterCommit, 2);
        let begun = Instant::now();
        writer
            .write(&[
                ("functions/a", Some(function(true, "refuse"))),
                ("functions/b", Some(function(true, "refuse"))),
            ])
            .await;
        for front_end in &front_ends {
            until(&stage, "in force", async || {
                front_end.status("a").await == 200
            })
            .await;
            assert_eq!(front_end.status("b").await, 200, "both or neither");
        }
        let took = begun.elapsed().as_secs_f64();
        assert!(took < 18.0, "{took} s");
    });
}
