//! Tests of the shutdown of front ends that follow a store: what writers see, and how long it takes, on loopback sockets.

mod config_kit;

use config_kit::{FrontEnd, Writer, deployment, executor, function, run, temp_dir, wait_until};
use orchidtally_config_sync::in_force::{Written, ended};
use orchidtally_config_sync::{InForce, Report, ReportedState, in_force};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::EtcdServer;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// The cluster id of the test store.
const CLUSTER: u64 = 7;
/// The limit in the deployment of `config_kit` within which changes have to be in force, in seconds.
const IN_FORCE_WITHIN: f64 = 3.0;
/// The maximum duration of a shutdown in seconds, with a margin for a busy machine.
const END_WITHIN: f64 = 1.9;

fn names(reports: &BTreeMap<String, Report>) -> BTreeSet<String> {
    reports.keys().cloned().collect()
}

/// Stops a front end and returns the duration of the shutdown in seconds.
fn end(front_end: FrontEnd) -> f64 {
    let started = Instant::now();
    drop(front_end);
    started.elapsed().as_secs_f64()
}

#[test]
fn a_front_end_that_shuts_down_is_ended_until_its_last_report_expires() {
    let environment = TestEnvironment::new(31);
    let etcd = EtcdServer::start(&environment, 3).unwrap();
    let (executor, temp_dir) = (executor(&environment), temp_dir("config-leaving"));
    let [stays, ends] = [1, 2].map(|n| {
        let snapshot = temp_dir.join(format!("{n}.snapshot"));
        FrontEnd::start(deployment(executor, &etcd.addresses, &snapshot), n)
    });
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        wait_until(&environment, "both report", async || {
            writer.reports().await.len() == 2
        })
        .await;
        let at_write = names(&writer.reports().await);
        let revoked_before = revocations(&etcd);
        // The shutdown runs on another thread, as this one serves the store.
        let ending = std::thread::spawn(move || end(ends));
        wait_until(&environment, "the front end reports its end", async || {
            ended(&writer.reports().await).len() == 1
        })
        .await;
        assert_eq!(
            revocations(&etcd),
            revoked_before + 1,
            "the lease is revoked"
        );
        let elapsed = ending.join().unwrap();
        assert!(elapsed < END_WITHIN, "{elapsed} s");
        let revision = writer
            .write(&[("functions/new", Some(function(true, "serve")))])
            .await;
        let written = Written {
            revision,
            generation: 0,
            cluster: CLUSTER,
            at: environment.now(),
        };
        let check = async || {
            let reports = writer.reports().await;
            in_force(
                &written,
                environment.now(),
                &at_write,
                &names(&reports),
                &reports,
                IN_FORCE_WITHIN,
            )
        };
        wait_until(&environment, "in force everywhere", async || {
            check().await == InForce::Everywhere
        })
        .await;
        let last = writer
            .reports()
            .await
            .into_values()
            .find(|report| report.state == ReportedState::Ended);
        assert!(
            last.is_some_and(|report| report.applied_revision < revision),
            "the stopped front end must not have applied the change"
        );
        // The last report expires too. The front end is missing for a writer that checks an old write after that.
        wait_until(&environment, "the last report expires", async || {
            writer.reports().await.len() == 1
        })
        .await;
        assert!(matches!(check().await, InForce::Missing { missing, .. } if missing.len() == 1));
        drop(stays);
    });
}

fn revocations(etcd: &EtcdServer) -> u64 {
    (0..3)
        .map(|member| etcd.counters(member).exchanges.lease_revocations)
        .sum()
}

#[test]
fn an_unresponsive_store_does_not_delay_a_shutdown() {
    let environment = TestEnvironment::new(32);
    let etcd = EtcdServer::start(&environment, 3).unwrap();
    let (executor, temp_dir) = (executor(&environment), temp_dir("config-leaving-silent"));
    let [silent, away] = [1, 2].map(|n| {
        let snapshot = temp_dir.join(format!("{n}.snapshot"));
        FrontEnd::start(deployment(executor, &etcd.addresses, &snapshot), n)
    });
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        wait_until(&environment, "both report", async || {
            writer.reports().await.len() == 2
        })
        .await;
        etcd.faults.stalled.activate_until(environment.now() + 10.0);
        let ending = std::thread::spawn(move || end(silent));
        wait_until(&environment, "the shutdown is complete", async || {
            ending.is_finished()
        })
        .await;
        let elapsed = ending.join().unwrap();
        assert!(
            elapsed < END_WITHIN,
            "{elapsed} s with an unresponsive store"
        );
        wait_until(
            &environment,
            "the store is reported as disconnected",
            async || away.configuration().await["connected"] == false,
        )
        .await;
        (0..3).for_each(|member| etcd.stop(member));
        let ending = std::thread::spawn(move || end(away));
        wait_until(&environment, "the shutdown is complete", async || {
            ending.is_finished()
        })
        .await;
        let elapsed = ending.join().unwrap();
        assert!(elapsed < END_WITHIN, "{elapsed} s with a stopped store");
    });
}
