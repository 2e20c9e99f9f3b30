//! A front end that follows etcd on sockets: an operator's drain, another start, entries that can't be read.

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

fn on<T>(environment: &TestEnvironment, work: impl Future<Output = T>) -> T {
    run_within(environment, 30.0, work)
}

fn executor(environment: &TestEnvironment, number: usize) -> Rc<Executor> {
    start_executor(environment, number, |_| {
        Some(Program {
            concurrency: 32,
            load_time: 0.02,
            work: 0.002,
            run: echo,
            ..Program::default()
        })
    })
}

struct World {
    stage: TestEnvironment,
    etcd: Rc<EtcdServer>,
    executors: Vec<Rc<Executor>>,
}

impl World {
    fn put(&self, n: usize, value: &str) {
        let key = format!("/orchidtally/executors/{}", self.executors[n].address).into();
        let put = PutRequest {
            key,
            value: Bytes::copy_from_slice(value.as_bytes()),
            ..PutRequest::default()
        };
        self.etcd.store.borrow_mut().put(&put).unwrap();
    }

    fn mark(&self, n: usize, drains: bool) {
        let key: Bytes =
            format!("/orchidtally/executors/{}/drain", self.executors[n].address).into();
        let mut store = self.etcd.store.borrow_mut();
        if drains {
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

    async fn standing(&self, at: SocketAddr) -> Value {
        let time = Duration::from_secs(2);
        let asked = orchidtally_socket_io::http::fetch(
            at,
            http::Method::GET,
            "/v1/front-end",
            vec![],
            time,
        );
        serde_json::from_slice(&asked.await.unwrap().1).unwrap()
    }

    async fn until(&self, at: SocketAddr, is_so: impl Fn(&Value) -> bool) -> Value {
        loop {
            let standing = self.standing(at).await;
            if is_so(&standing["roster"]) {
                return standing["roster"].clone();
            }
            self.stage.sleep(0.02).await;
        }
    }

    /// Where some invocations ran.
    async fn ran(&self, caller: &TestClient, label: &str) -> Vec<usize> {
        for n in 0..20 {
            let ask = ClientRequest {
                invocation: format!("{label}-{n}"),
                function: format!("f{}", n % 5),
                trigger_type: (0, "look".into()),
                time_left: 3.0,
                ..ClientRequest::default()
            };
            let heard = caller.invoke(&ask).await;
            assert!(
                matches!(heard, ClientOutcome::Answered { status: 200, .. }),
                "{label}: {heard:?}"
            );
        }
        executors_of(&self.stage, label)
    }
}

const READY: &str = r#"{"standing":"ready","since":1}"#;

#[test]
fn drains_hold_over_another_registration_and_bad_entries_change_nothing() {
    let stage = TestEnvironment::new(3);
    let etcd = EtcdServer::start(&stage, 2).unwrap();
    let executors = (0..3).map(|n| executor(&stage, n)).collect();
    let w = World {
        stage,
        etcd,
        executors,
    };
    (0..3).for_each(|n| w.put(n, READY));
    let endpoints: Vec<String> = w
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
    let at = front_end.at;
    let caller = TestClient::new(&w.stage, 0, 0, at, false);
    on(&w.stage, async {
        let heard = |revision: i64| {
            move |r: &Value| {
                r["revision"]
                    .as_i64()
                    .is_some_and(|known| known >= revision)
            }
        };
        let revision = || w.etcd.store.borrow().revision;
        w.until(at, |r| r["executors"] == 3).await;
        assert!(!w.ran(&caller, "before").await.is_empty());
        w.mark(0, true);
        w.mark(1, true);
        w.until(at, heard(revision())).await;
        assert_eq!(w.ran(&caller, "drained").await, [2]);
        // They register again, as after a lost lease; what the operator said stays.
        (0..2).for_each(|n| w.put(n, READY));
        w.until(at, heard(revision())).await;
        assert_eq!(w.ran(&caller, "again").await, [2]);
        // The last one writes nonsense: it is named, and its last good entry counts.
        w.put(2, "{\"standing\":");
        let roster = w.until(at, heard(revision())).await;
        assert_eq!(roster["faults"].as_object().unwrap().len(), 1, "{roster}");
        assert_eq!(w.ran(&caller, "nonsense").await, [2]);
        w.mark(1, false);
        w.mark(2, true);
        w.until(at, heard(revision())).await;
        assert_eq!(w.ran(&caller, "withdrawn").await, [1]);
        // The store is away for longer than a lease: what is known is served on.
        w.etcd.faults.stalled.set(w.stage.now() + 3.0);
        w.etcd.break_connections();
        w.stage.sleep(2.5).await;
        assert_eq!(w.ran(&caller, "away").await, [1]);
        let standing = w.standing(at).await;
        assert_eq!(
            standing["roster"]["shares"], false,
            "nobody can say by how many to share"
        );
        w.until(at, |r| r["shares"] == true).await;
    });
    front_end.end();
}
