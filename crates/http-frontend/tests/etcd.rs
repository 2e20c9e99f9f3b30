//! Tests a front end that follows etcd on sockets: drains by an operator, repeated registrations and unreadable entries.

mod front_end_kit;

use bytes::Bytes;
use front_end_kit::{FrontEndThread, executors_of, run_within, start_executor, start_options};
use orchidtally_deployment::Deployment;
use orchidtally_etcd::rpc::{DeleteRangeRequest, PutRequest};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use orchidtally_test_servers::etcd::EtcdServer;
use orchidtally_test_servers::executor::{Executor, Program, echo};
use serde_json::Value;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

fn run<T>(environment: &TestEnvironment, work: impl Future<Output = T>) -> T {
    run_within(environment, 30.0, work)
}

fn executor(environment: &TestEnvironment, number: usize) -> Rc<Executor> {
    start_executor(environment, number, |_| {
        Some(Program {
            concurrency: 32,
            load_time: 0.02,
            cpu_time: 0.002,
            run: echo,
            ..Program::default()
        })
    })
}

struct TestBed {
    environment: TestEnvironment,
    etcd: Rc<EtcdServer>,
    executors: Vec<Rc<Executor>>,
}

impl TestBed {
    fn put(&self, n: usize, value: &str) {
        let key = format!("/orchidtally/executors/{}", self.executors[n].address).into();
        let put = PutRequest {
            key,
            value: Bytes::copy_from_slice(value.as_bytes()),
            ..PutRequest::default()
        };
        self.etcd.store.borrow_mut().put(&put).unwrap();
    }

    fn set_drain(&self, n: usize, is_draining: bool) {
        let key: Bytes =
            format!("/orchidtally/executors/{}/drain", self.executors[n].address).into();
        let mut store = self.etcd.store.borrow_mut();
        if is_draining {
            store
                .put(&PutRequest {
                    key,
                    value: "{}".into(),
                    ..PutRequest::default()
                })
                .unwrap();
        } else {
            store.delete(&DeleteRangeRequest {
                key,
                ..DeleteRangeRequest::default()
            });
        }
    }

    async fn front_end_status(&self, at: SocketAddr) -> Value {
        let time = Duration::from_secs(2);
        let response = orchidtally_socket_io::http::fetch(
            at,
            http::Method::GET,
            "/v1/front-end",
            vec![],
            time,
        );
        serde_json::from_slice(&response.await.unwrap().1).unwrap()
    }

    async fn until(&self, at: SocketAddr, condition: impl Fn(&Value) -> bool) -> Value {
        loop {
            let front_end_status = self.front_end_status(at).await;
            if condition(&front_end_status["roster"]) {
                return front_end_status["roster"].clone();
            }
            self.environment.sleep(0.02).await;
        }
    }

    /// Invokes some functions and returns the executors on which they ran.
    async fn executors_used(&self, client: &TestClient, label: &str) -> Vec<usize> {
        for n in 0..20 {
            let request = ClientRequest {
                invocation: format!("{label}-{n}"),
                function: format!("f{}", n % 5),
                trigger_type: (0, "look".into()),
                timeout: 3.0,
                ..ClientRequest::default()
            };
            let outcome = client.invoke(&request).await;
            assert!(
                matches!(outcome, ClientOutcome::Answered { status: 200, .. }),
                "{label}: {outcome:?}"
            );
        }
        executors_of(&self.environment, label)
    }
}

const READY: &str = r#"{"standing":"ready","since":1}"#;

#[test]
fn drains_survive_a_new_registration_and_unreadable_entries_are_ignored() {
    let environment = TestEnvironment::new(3);
    let etcd = EtcdServer::start(&environment, 2).unwrap();
    let executors = (0..3).map(|n| executor(&environment, n)).collect();
    let test_bed = TestBed {
        environment,
        etcd,
        executors,
    };
    (0..3).for_each(|n| test_bed.put(n, READY));
    let endpoints: Vec<String> = test_bed
        .etcd
        .addresses
        .iter()
        .map(|a| format!("\"{a}\""))
        .collect();
    let text = format!(
        r#"{{ triggerTypes: [{{ name: "look", effect: "idempotent", objective: "2s", timeout: "3s" }}],
            otherFunctions: {{ lanes: 32, loadTime: "100ms" }},
            executors: {{ etcd: {{ endpoints: [{}], lease: "2s" }} }} }}"#,
        endpoints.join(", ")
    );
    let front_end = FrontEndThread::spawn(move |listening| {
        let deployment = Deployment::parse(&text).unwrap_or_else(|f| panic!("{f:?}"));
        let start = start_options(deployment, 5, listening.stopped);
        orchidtally_http_frontend::run(start, listening.listener)
    });
    let at = front_end.address;
    let client = TestClient::new(&test_bed.environment, 0, 0, at, false);
    run(&test_bed.environment, async {
        let has_revision = |revision: i64| {
            move |r: &Value| {
                r["revision"]
                    .as_i64()
                    .is_some_and(|known| known >= revision)
            }
        };
        let revision = || test_bed.etcd.store.borrow().revision;
        test_bed.until(at, |r| r["executors"] == 3).await;
        assert!(!test_bed.executors_used(&client, "before").await.is_empty());
        test_bed.set_drain(0, true);
        test_bed.set_drain(1, true);
        test_bed.until(at, has_revision(revision())).await;
        assert_eq!(test_bed.executors_used(&client, "drained").await, [2]);
        // The executors register again, as after a lost lease. The operator's drains stay in effect.
        (0..2).for_each(|n| test_bed.put(n, READY));
        test_bed.until(at, has_revision(revision())).await;
        assert_eq!(test_bed.executors_used(&client, "again").await, [2]);
        // The last executor writes an unreadable entry: it is reported, and the last valid entry stays in effect.
        test_bed.put(2, "{\"standing\":");
        let roster = test_bed.until(at, has_revision(revision())).await;
        assert_eq!(roster["faults"].as_object().unwrap().len(), 1, "{roster}");
        assert_eq!(test_bed.executors_used(&client, "nonsense").await, [2]);
        test_bed.set_drain(1, false);
        test_bed.set_drain(2, true);
        test_bed.until(at, has_revision(revision())).await;
        assert_eq!(test_bed.executors_used(&client, "withdrawn").await, [1]);
        // The store is unavailable for longer than a lease: the front end serves from the known list.
        test_bed
            .etcd
            .faults
            .stalled
            .activate_until(test_bed.environment.now() + 3.0);
        test_bed.etcd.break_connections();
        test_bed.environment.sleep(2.5).await;
        assert_eq!(test_bed.executors_used(&client, "away").await, [1]);
        let front_end_status = test_bed.front_end_status(at).await;
        assert_eq!(
            front_end_status["roster"]["shares"], false,
            "the number of front ends that share the executors is unknown"
        );
        test_bed.until(at, |r| r["shares"] == true).await;
    });
    front_end.end();
}
