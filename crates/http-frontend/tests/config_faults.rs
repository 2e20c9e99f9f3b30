//! Stores that fall silent, leases that end, and front ends that reconnect, on loopback sockets.

mod config_kit;

use config_kit::{FrontEnd, Writer, deployment, executor, folder, function, on, until};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::EtcdServer;

/// A silent store has to be noticed within this time, in seconds.
const NOTICED_WITHIN: f64 = 3.0;
/// The kit's lease, in seconds.
const LEASE: f64 = 3.0;

#[test]
fn a_silent_store_is_noticed_and_left_and_what_changed_meanwhile_comes_in() {
    let stage = TestEnvironment::new(11);
    let etcd = EtcdServer::start(&stage, 3).unwrap();
    let snapshot = folder("config-silent").join("s");
    let front_end = FrontEnd::start(deployment(executor(&stage), &etcd.addresses, &snapshot), 1);
    let writer = Writer::new(&stage, &etcd);
    on(&stage, async {
        writer
            .write(&[("functions/f", Some(function(true, "refuse")))])
            .await;
        until(&stage, "it is there", async || {
            front_end.status("f").await == 200
        })
        .await;
        let silent_from = stage.now();
        etcd.faults.stalled.activate_until(silent_from + 5.0);
        until(&stage, "noticed", async || {
            front_end.configuration().await["connected"] == false
        })
        .await;
        let noticed = stage.now() - silent_from;
        assert!(noticed < NOTICED_WITHIN, "{noticed} s");
        until(&stage, "refused when too old", async || {
            front_end.status("f").await == 503
        })
        .await;
        assert_eq!(
            front_end.status("listed").await,
            200,
            "what doesn't ask for a proof goes on"
        );
        writer
            .write(&[("functions/g", Some(function(true, "serve")))])
            .await;
        let healed = stage.now();
        until(&stage, "both hold again", async || {
            front_end.status("g").await == 200 && front_end.status("f").await == 200
        })
        .await;
        let took = stage.now() - healed;
        assert!(took < 18.0, "{took} s");
    });
}

#[test]
fn the_report_stands_as_long_as_the_front_end_and_no_longer() {
    let stage = TestEnvironment::new(12);
    let etcd = EtcdServer::start(&stage, 3).unwrap();
    let snapshot = folder("config-lease").join("s");
    let front_end = FrontEnd::start(deployment(executor(&stage), &etcd.addresses, &snapshot), 1);
    let writer = Writer::new(&stage, &etcd);
    on(&stage, async {
        until(&stage, "it reports", async || {
            writer.reports().await.len() == 1
        })
        .await;
        let end = stage.now() + 2.5 * LEASE;
        while stage.now() < end {
            assert_eq!(writer.reports().await.len(), 1, "its lease is renewed");
            stage.sleep(0.2).await;
        }
        etcd.store.borrow_mut().expire_all();
        assert_eq!(writer.reports().await.len(), 0);
        until(&stage, "it reports anew", async || {
            writer.reports().await.len() == 1
        })
        .await;
        drop(front_end);
        until(&stage, "its report goes with it", async || {
            writer.reports().await.is_empty()
        })
        .await;
    });
}

#[test]
fn a_compaction_that_overtakes_the_watch_loses_no_change_and_no_deletion() {
    let stage = TestEnvironment::new(13);
    let etcd = EtcdServer::start(&stage, 3).unwrap();
    let snapshot = folder("config-compacted").join("s");
    let front_end = FrontEnd::start(deployment(executor(&stage), &etcd.addresses, &snapshot), 1);
    let writer = Writer::new(&stage, &etcd);
    on(&stage, async {
        let entries = [
            ("functions/gone", Some(function(true, "serve"))),
            ("functions/kept", Some(function(true, "serve"))),
        ];
        writer.write(&entries).await;
        until(&stage, "they are there", async || {
            front_end.status("gone").await == 200
        })
        .await;
        // It hears nothing while these are written and compacted.
        etcd.faults.stalled.activate_until(stage.now() + 4.0);
        until(&stage, "it is cut off", async || {
            front_end.configuration().await["connected"] == false
        })
        .await;
        stage.sleep(1.5).await;
        writer
            .write(&[
                ("functions/gone", None),
                ("functions/new", Some(function(true, "serve"))),
            ])
            .await;
        let revision = etcd.store.borrow().revision;
        etcd.store.borrow_mut().compact(revision).unwrap();
        until(&stage, "the new one is there", async || {
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
