//! Hosts of the configuration core without a front end round them, many in one thread, at the usual settings.

mod config_kit;

use config_kit::{Writer, function, on, until};
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
/// What a change may take to be in force, in seconds.
const IN_FORCE_WITHIN: f64 = 18.0;
/// What a front end may spend on control, in bytes a second.
const BYTES_PER_SECOND: f64 = 12_000.0;
/// Seconds over which the traffic of hosts at rest is counted.
const AT_REST: f64 = 6.0;

/// Keeps the revision in force; refuses as many views as it is told to.
#[derive(Default)]
struct Target {
    revision: Cell<i64>,
    refuses: Cell<u32>,
}

impl ConfigTarget<GatewayEntry> for Target {
    fn apply(&self, view: &Arc<View<GatewayEntry>>) -> Result<(), ApplyError> {
        if self.refuses.get() > 0 {
            self.refuses.set(self.refuses.get() - 1);
            return Err(ApplyError::TooManyTriggerTypes);
        }
        self.revision.set(view.revision());
        Ok(())
    }
}

type Host = ConfigHost<GatewaySchema, Target>;

fn host(stage: &TestEnvironment, etcd: &EtcdServer, number: u64) -> Rc<Host> {
    let client = Client::new(etcd.addresses.clone(), stage.tasks.clone());
    (0..number % 5).for_each(|_| client.fail_over());
    let settings = HostSettings::new(format!("front-end-{number}"));
    let sync = SyncSettings::default();
    ConfigHost::new(
        sync,
        GatewaySchema,
        number,
        settings,
        client,
        &stage.tasks,
        Target::default(),
    )
    .unwrap()
}

fn bytes(hosts: &[Rc<Host>]) -> f64 {
    let of = |host: &Rc<Host>| host.client().traffic().sent() + host.client().traffic().received();
    hosts.iter().map(of).sum::<u64>() as f64
}

#[test]
fn many_hosts_in_one_thread_have_a_change_in_force_and_rest_within_their_bytes() {
    let stage = TestEnvironment::new(21);
    let etcd = EtcdServer::start_in_regions(&stage, &[0, 0, 1, 1, 2]).unwrap();
    let hosts: Vec<Rc<Host>> = (0..HOSTS as u64)
        .map(|number| host(&stage, &etcd, number))
        .collect();
    hosts
        .iter()
        .for_each(|host| stage.spawn(host.clone().run()).detach());
    let writer = Writer::new(&stage, &etcd);
    on(&stage, async {
        writer
            .write(&[("functions/first", Some(function(true, "serve")))])
            .await;
        until(&stage, "all follow", async || {
            hosts.iter().all(|host| host.applied_revision() > 0)
        })
        .await;
        let begun = stage.now();
        let revision = writer
            .write(&[("functions/second", Some(function(true, "refuse")))])
            .await;
        until(&stage, "in force", async || {
            hosts.iter().all(|h| h.target().revision.get() >= revision)
        })
        .await;
        let took = stage.now() - begun;
        assert!(took < IN_FORCE_WITHIN, "{took} s");
        until(&stage, "all report it", async || {
            let reports = writer.reports().await;
            reports
                .values()
                .filter(|report| report.applied_revision >= revision)
                .count()
                == HOSTS
        })
        .await;
        let before = bytes(&hosts);
        stage.sleep(AT_REST).await;
        let a_second = (bytes(&hosts) - before) / AT_REST / HOSTS as f64;
        println!("in force after {took:.2} s, at rest {a_second:.0} bytes a second each");
        assert!(
            a_second < BYTES_PER_SECOND,
            "{a_second} bytes a second each"
        );
    });
}

#[test]
fn a_view_that_is_not_taken_is_offered_again_and_not_reported_before() {
    let stage = TestEnvironment::new(22);
    let etcd = EtcdServer::start(&stage, 1).unwrap();
    let host = host(&stage, &etcd, 0);
    stage.spawn(host.clone().run()).detach();
    let writer = Writer::new(&stage, &etcd);
    on(&stage, async {
        let first = writer
            .write(&[("functions/first", Some(function(true, "serve")))])
            .await;
        until(&stage, "in force", async || {
            host.target().revision.get() >= first
        })
        .await;
        host.target().refuses.set(2);
        let second = writer
            .write(&[("functions/second", Some(function(true, "serve")))])
            .await;
        until(&stage, "it is told", async || {
            host.status().apply_fault.is_some()
        })
        .await;
        assert!(host.target().revision.get() < second);
        until(&stage, "in force at last", async || {
            let reports = writer.reports().await;
            let is_reported = reports
                .values()
                .any(|report| report.applied_revision >= second);
            let is_in_force = host.target().revision.get() >= second;
            assert!(
                is_in_force || !is_reported,
                "a report names what is not in force"
            );
            is_reported
        })
        .await;
        assert!(host.status().apply_fault.is_none());
    });
}

#[test]
fn a_section_that_says_nothing_more_gives_the_usual_settings() {
    let text = r#"{
        triggerTypes: [{ name: "a", effect: "idempotent", objective: "1s", timeout: "1s" }],
        otherFunctions: {},
        executors: { list: [{ address: "127.0.0.1:1" }] },
        configuration: { store: { endpoints: ["127.0.0.1:2"] }, snapshot: "s" },
    }"#;
    let deployment = Deployment::parse(text).unwrap_or_else(|faults| panic!("{faults:?}"));
    let configuration = deployment.configuration.expect("it has the section");
    assert_eq!(sync_settings(&configuration), SyncSettings::default());
}
