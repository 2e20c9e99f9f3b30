//! Front ends that end: what writers see of it, and how long it may take, on loopback sockets.

mod config_kit;

use config_kit::{FrontEnd, Writer, deployment, executor, folder, function, on, until};
use orchidtally_config_sync::in_force::{Written, ended};
use orchidtally_config_sync::{InForce, Report, ReportedState, in_force};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::EtcdServer;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// The cluster's id of the kit's store.
const CLUSTER: u64 = 7;
/// The kit's limit within which changes have to be in force, in seconds.
const IN_FORCE_WITHIN: f64 = 3.0;
/// What an end may wait for a store, in seconds, with room for a busy machine.
const END_WITHIN: f64 = 1.9;

fn names(reports: &BTreeMap<String, Report>) -> BTreeSet<String> {
    reports.keys().cloned().collect()
}

/// How long the end of a front end takes, in seconds.
fn end(front_end: FrontEnd) -> f64 {
    let began = Instant::now();
    drop(front_end);
    began.elapsed().as_secs_f64()
}

#[test]
fn a_front_end_that_ends_is_gone_and_one_that_dies_is_missing() {
    let stage = TestEnvironment::new(31);
    let etcd = EtcdServer::start(&stage, 3).unwrap();
    let (executor, folder) = (executor(&stage), folder("config-leaving"));
    let [stays, ends] = [1, 2].map(|n| {
        let snapshot = folder.join(format!("{n}.snapshot"));
        FrontEnd::start(deployment(executor, &etcd.addresses, &snapshot), n)
    });
    let writer = Writer::new(&stage, &etcd);
    on(&stage, async {
        until(&stage, "both report", async || {
            writer.reports().await.len() == 2
        })
        .await;
        let at_write = names(&writer.reports().await);
        let revoked_before = revocations(&etcd);
        // The end runs beside the store, which is served by this thread.
        let ending = std::thread::spawn(move || end(ends));
        until(&stage, "its last report", async || {
            ended(&writer.reports().await).len() == 1
        })
        .await;
        assert_eq!(
            revocations(&etcd),
            revoked_before + 1,
            "its lease is given back"
        );
        let took = ending.join().unwrap();
        assert!(took < END_WITHIN, "{took} s");
        let revision = writer
            .write(&[("functions/new", Some(function(true, "serve")))])
            .await;
        let written = Written {
            revision,
            generation: 0,
            cluster: CLUSTER,
            at: stage.now(),
        };
        let asked = async || {
            let reports = writer.reports().await;
            in_force(
                &written,
                stage.now(),
                &at_write,
                &names(&reports),
                &reports,
                IN_FORCE_WITHIN,
            )
        };
        until(&stage, "in force everywhere", async || {
            asked().await == InForce::Everywhere
        })
        .await;
        let last = writer
            .reports()
            .await
            .into_values()
            .find(|report| report.state == ReportedState::Ended);
        assert!(
            last.is_some_and(|report| report.applied_revision < revision),
            "it never saw the change"
        );
        // Its last word goes as well; who asks about an old write then learns that it has lost sight of it.
        until(&stage, "the last report is over", async || {
            writer.reports().await.len() == 1
        })
        .await;
        assert!(matches!(asked().await, InForce::Missing { missing, .. } if missing.len() == 1));
        drop(stays);
    });
}

fn revocations(etcd: &EtcdServer) -> u64 {
    (0..3)
        .map(|member| etcd.counters(member).exchanges.lease_revocations)
        .sum()
}

#[test]
fn a_store_that_does_not_answer_delays_no_end() {
    let stage = TestEnvironment::new(32);
    let etcd = EtcdServer::start(&stage, 3).unwrap();
    let (executor, folder) = (executor(&stage), folder("config-leaving-silent"));
    let [silent, away] = [1, 2].map(|n| {
        let snapshot = folder.join(format!("{n}.snapshot"));
        FrontEnd::start(deployment(executor, &etcd.addresses, &snapshot), n)
    });
    let writer = Writer::new(&stage, &etcd);
    on(&stage, async {
        until(&stage, "both report", async || {
            writer.reports().await.len() == 2
        })
        .await;
        etcd.faults.stalled.activate_until(stage.now() + 10.0);
        let ending = std::thread::spawn(move || end(silent));
        until(&stage, "the end", async || ending.is_finished()).await;
        let took = ending.join().unwrap();
        assert!(took < END_WITHIN, "{took} s with a silent store");
        until(&stage, "noticed", async || {
            away.configuration().await["connected"] == false
        })
        .await;
        (0..3).for_each(|member| etcd.stop(member));
        let ending = std::thread::spawn(move || end(away));
        until(&stage, "the end", async || ending.is_finished()).await;
        let took = ending.join().unwrap();
        assert!(took < END_WITHIN, "{took} s with the store away");
    });
}
