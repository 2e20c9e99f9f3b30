//! Tests of unresponsive stores, expired leases and reconnecting front ends, on loopback sockets.

mod config_kit;

use config_kit::{FrontEnd, Writer, deployment, executor, function, run, temp_dir, wait_until};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::EtcdServer;

/// The maximum time in seconds to detect an unresponsive store.
const NOTICED_WITHIN: f64 = 3.0;
/// The lease in the deployment of `config_kit`, in seconds.
const LEASE: f64 = 3.0;

#[test]
fn an_unresponsive_store_is_detected_and_missed_changes_are_applied_later() {
    let environment = TestEnvironment::new(11);
    let etcd = EtcdServer::start(&environment, 3).unwrap();
    let snapshot = temp_dir("config-silent").join("s");
    let front_end = FrontEnd::start(
        deployment(executor(&environment), &etcd.addresses, &snapshot),
        1,
    );
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        writer
            .write(&[("functions/f", Some(function(true, "refuse")))])
            .await;
        wait_until(&environment, "the function is served", async || {
            front_end.status("f").await == 200
        })
        .await;
        let stalled_at = environment.now();
        etcd.faults.stalled.activate_until(stalled_at + 5.0);
        wait_until(
            &environment,
            "the store is reported as disconnected",
            async || front_end.configuration().await["connected"] == false,
        )
        .await;
        let detected = environment.now() - stalled_at;
        assert!(detected < NOTICED_WITHIN, "{detected} s");
        wait_until(
            &environment,
            "the function is refused when the view is too old",
            async || front_end.status("f").await == 503,
        )
        .await;
        assert_eq!(
            front_end.status("listed").await,
            200,
            "functions without a freshness requirement are served"
        );
        writer
            .write(&[("functions/g", Some(function(true, "serve")))])
            .await;
        let healed = environment.now();
        wait_until(&environment, "both functions are served", async || {
            front_end.status("g").await == 200 && front_end.status("f").await == 200
        })
        .await;
        let elapsed = environment.now() - healed;
        assert!(elapsed < 18.0, "{elapsed} s");
    });
}

#[test]
fn the_report_exists_exactly_as_long_as_the_front_end() {
    let environment = TestEnvironment::new(12);
    let etcd = EtcdServer::start(&environment, 3).unwrap();
    let snapshot = temp_dir("config-lease").join("s");
    let front_end = FrontEnd::start(
        deployment(executor(&environment), &etcd.addresses, &snapshot),
        1,
    );
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        wait_until(&environment, "the front end reports", async || {
            writer.reports().await.len() == 1
        })
        .await;
        let end = environment.now() + 2.5 * LEASE;
        while environment.now() < end {
            assert_eq!(writer.reports().await.len(), 1, "the lease is renewed");
            environment.sleep(0.2).await;
        }
        etcd.store.borrow_mut().expire_all();
        assert_eq!(writer.reports().await.len(), 0);
        wait_until(&environment, "the front end reports again", async || {
            writer.reports().await.len() == 1
        })
        .await;
        drop(front_end);
        wait_until(&environment, "the report is removed", async || {
            writer.reports().await.is_empty()
        })
        .await;
    });
}

#[test]
fn a_compaction_beyond_the_watched_revision_loses_no_change_or_deletion() {
    let environment = TestEnvironment::new(13);
    let etcd = EtcdServer::start(&environment, 3).unwrap();
    let snapshot = temp_dir("config-compacted").join("s");
    let front_end = FrontEnd::start(
        deployment(executor(&environment), &etcd.addresses, &snapshot),
        1,
    );
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        let entries = [
            ("functions/gone", Some(function(true, "serve"))),
            ("functions/kept", Some(function(true, "serve"))),
        ];
        writer.write(&entries).await;
        wait_until(&environment, "the functions are served", async || {
            front_end.status("gone").await == 200
        })
        .await;
        // The front end receives nothing while these entries are written and compacted.
        etcd.faults.stalled.activate_until(environment.now() + 4.0);
        wait_until(&environment, "the front end is disconnected", async || {
            front_end.configuration().await["connected"] == false
        })
        .await;
        environment.sleep(1.5).await;
        writer
            .write(&[
                ("functions/gone", None),
                ("functions/new", Some(function(true, "serve"))),
            ])
            .await;
        let revision = etcd.store.borrow().revision;
        etcd.store.borrow_mut().compact(revision).unwrap();
        wait_until(&environment, "the new function is served", async || {
            front_end.status("new").await == 200
        })
        .await;
        assert_eq!(
            (
                front_end.status("gone").await,
                front_end.status("kept").await
            ),
            (404, 200)
        );
    });
}
