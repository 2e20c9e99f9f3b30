//! Tests of configuration hosts without front ends: many on one thread, with the default settings.

mod config_kit;

use config_kit::{Writer, function, run, wait_until};
use orchidtally_config_sync::schema::GatewayEntry;
use orchidtally_config_sync::{GatewaySchema, SyncSettings, View};
use orchidtally_deployment::Deployment;
use orchidtally_etcd::Client;
use orchidtally_http_frontend::config::{
    ApplyError, ConfigHost, ConfigTarget, HostSettings, sync_settings,
};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::EtcdServer;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

const HOSTS: usize = 30;
/// The maximum time for a change to be in force, in seconds.
const IN_FORCE_WITHIN: f64 = 18.0;
/// The maximum control traffic of a front end, in bytes per second.
const BYTES_PER_SECOND: f64 = 12_000.0;
/// The time in seconds over which the traffic of idle hosts is measured.
const AT_REST: f64 = 6.0;

/// Stores the revision in force, and rejects a given number of views first.
#[derive(Default)]
struct Target {
    revision: Cell<i64>,
    rejections: Cell<u32>,
}

impl ConfigTarget<GatewayEntry> for Target {
    fn apply(&self, view: &Arc<View<GatewayEntry>>) -> Result<(), ApplyError> {
        if self.rejections.get() > 0 {
            self.rejections.set(self.rejections.get() - 1);
            return Err(ApplyError::TooManyTriggerTypes);
        }
        self.revision.set(view.revision());
        Ok(())
    }
}

type Host = ConfigHost<GatewaySchema, Target>;

fn host(environment: &TestEnvironment, etcd: &EtcdServer, number: u64) -> Rc<Host> {
    let client = Client::new(etcd.addresses.clone(), environment.tasks.clone());
    (0..number % 5).for_each(|_| client.fail_over());
    let settings = HostSettings::new(format!("front-end-{number}"));
    let sync = SyncSettings::default();
    ConfigHost::new(
        sync,
        GatewaySchema,
        number,
        settings,
        client,
        &environment.tasks,
        Target::default(),
    )
    .unwrap()
}

fn bytes(hosts: &[Rc<Host>]) -> f64 {
    let of = |host: &Rc<Host>| host.client().traffic().sent() + host.client().traffic().received();
    hosts.iter().map(of).sum::<u64>() as f64
}

#[test]
fn many_hosts_on_one_thread_apply_a_change_in_time_and_idle_within_the_traffic_limit() {
    let environment = TestEnvironment::new(21);
    let etcd = EtcdServer::start_in_regions(&environment, &[0, 0, 1, 1, 2]).unwrap();
    let hosts: Vec<Rc<Host>> = (0..HOSTS as u64)
        .map(|number| host(&environment, &etcd, number))
        .collect();
    hosts
        .iter()
        .for_each(|host| environment.spawn(host.clone().run()).detach());
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        writer
            .write(&[("functions/first", Some(function(true, "serve")))])
            .await;
        wait_until(&environment, "all follow", async || {
            hosts.iter().all(|host| host.applied_revision() > 0)
        })
        .await;
        let started = environment.now();
        let revision = writer
            .write(&[("functions/second", Some(function(true, "refuse")))])
            .await;
        wait_until(&environment, "in force", async || {
            hosts.iter().all(|h| h.target().revision.get() >= revision)
        })
        .await;
        let elapsed = environment.now() - started;
        assert!(elapsed < IN_FORCE_WITHIN, "{elapsed} s");
        wait_until(&environment, "all report it", async || {
            let reports = writer.reports().await;
            reports
                .values()
                .filter(|report| report.applied_revision >= revision)
                .count()
                == HOSTS
        })
        .await;
        let before = bytes(&hosts);
        environment.sleep(AT_REST).await;
        let bytes_per_second = (bytes(&hosts) - before) / AT_REST / HOSTS as f64;
        println!("in force after {elapsed:.2} s, idle {bytes_per_second:.0} bytes/s per host");
        assert!(
            bytes_per_second < BYTES_PER_SECOND,
            "{bytes_per_second} bytes/s per host"
        );
    });
}

#[test]
fn a_rejected_view_is_retried_and_not_reported_before_it_is_applied() {
    let environment = TestEnvironment::new(22);
    let etcd = EtcdServer::start(&environment, 1).unwrap();
    let host = host(&environment, &etcd, 0);
    environment.spawn(host.clone().run()).detach();
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        let first = writer
            .write(&[("functions/first", Some(function(true, "serve")))])
            .await;
        wait_until(&environment, "in force", async || {
            host.target().revision.get() >= first
        })
        .await;
        host.target().rejections.set(2);
        let second = writer
            .write(&[("functions/second", Some(function(true, "serve")))])
            .await;
        wait_until(&environment, "the apply fault is reported", async || {
            host.status().apply_fault.is_some()
        })
        .await;
        assert!(host.target().revision.get() < second);
        wait_until(
            &environment,
            "the second change is in force and reported",
            async || {
                let reports = writer.reports().await;
                let is_reported = reports
                    .values()
                    .any(|report| report.applied_revision >= second);
                let is_in_force = host.target().revision.get() >= second;
                assert!(
                    is_in_force || !is_reported,
                    "the report states a revision that is not in force"
                );
                is_reported
            },
        )
        .await;
        assert!(host.status().apply_fault.is_none());
    });
}

#[test]
fn a_minimal_configuration_section_gives_the_default_settings() {
    let text = r#"{
        triggerTypes: [{ name: "a", effect: "idempotent", objective: "1s", timeout: "1s" }],
        otherFunctions: {},
        executors: { list: [{ address: "127.0.0.1:1" }] },
        configuration: { store: { endpoints: ["127.0.0.1:2"] }, snapshot: "s" },
    }"#;
    let deployment = Deployment::parse(text).unwrap_or_else(|faults| panic!("{faults:?}"));
    let configuration = deployment
        .configuration
        .expect("the deployment has a configuration section");
    assert_eq!(sync_settings(&configuration), SyncSettings::default());
}
