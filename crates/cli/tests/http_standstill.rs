//! A real `orchidtally serve` that is stopped while an executor is told to drain: what it knew before is asked anew
//! before anything goes out.

#[path = "../../http-frontend/tests/config_kit/mod.rs"]
mod config_kit;
mod serve_kit;

use config_kit::{on, until};
use orchidtally_etcd::rpc::PutRequest;
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::etcd::EtcdServer;
use orchidtally_test_servers::executor::{Executor, ExecutorSpec, Program, SharedResources, echo};
use orchidtally_test_servers::publisher::{PublishedEndpoint, Publisher};
use orchidtally_test_servers::store::PackageStore;
use orchidtally_test_servers::{TestEnvironment, unused_address};
use serve_kit::{Serve, answer, file};
use std::net::TcpStream;
use std::rc::Rc;

/// For how long the process is stopped, in seconds: longer than any grace.
const STOPPED_FOR: f64 = 3.0;
/// Requests that wait in its sockets when it goes on. Each is for a function of its own: with only eight functions, drawn
/// ports placed all of them at one executor about once in 130 runs, and "both serve" failed.
const WAITING_REQUESTS: usize = 24;

fn executor(stage: &TestEnvironment, number: usize) -> Rc<Executor> {
    let program = || Program {
        concurrency: 32,
        load_time: 0.02,
        cpu_time: 0.002,
        run: echo,
        ..Program::default()
    };
    let around = SharedResources {
        store: PackageStore::new(stage, 8.0, 8),
        catalogue: Rc::new(move |_| Some(program())),
        token_cache: Rc::default(),
        deduplication_window: 5.0,
    };
    Executor::start(
        stage,
        ExecutorSpec::with_ample_capacity(number),
        unused_address(),
        around,
    )
    .unwrap()
}

async fn answered(stream: TcpStream) -> u16 {
    let (tell, told) = async_channel::bounded(1);
    std::thread::spawn(move || tell.send_blocking(answer(stream).0));
    told.recv().await.unwrap()
}

/// Executors at which invocations ran whose names begin so.
fn ran_at(stage: &TestEnvironment, label: &str) -> Vec<usize> {
    let of = |record: &TrafficRecord| match record {
        TrafficRecord::ExecutionStarted {
            executor,
            invocation,
            ..
        } if invocation.starts_with(label) => Some(*executor),
        _ => None,
    };
    let mut ran: Vec<usize> = stage.records().iter().filter_map(of).collect();
    ran.sort_unstable();
    ran.dedup();
    ran
}

fn send(serve: &Serve, label: &str, n: usize) -> TcpStream {
    let name = format!("{label}-{n}");
    serve.send(&format!("f{n}"), &[("orchidtally-invocation", &name)])
}

/// Stops the process, lets `drain` tell that the first executor drains, and counts where requests run that waited.
fn drains_during_a_stop(stage: &TestEnvironment, source: &str, name: &str, drain: impl FnOnce()) {
    let text = format!(
        r#"{{ triggerTypes: [{{ name: "look", effect: "idempotent", objective: "2s", timeout: "8s" }}],
            otherFunctions: {{ lanes: 32, loadTime: "100ms" }}, executors: {{ {source} }} }}"#
    );
    let path = file(name, &text);
    let serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    on(stage, async {
        until(stage, "it serves", async || {
            answered(serve.send("first", &[])).await == 200
        })
        .await;
        for n in 0..WAITING_REQUESTS {
            assert_eq!(answered(send(&serve, "before", n)).await, 200);
        }
        assert_eq!(ran_at(stage, "before"), [0, 1], "both serve");
        serve.signal("STOP");
        drain();
        stage.sleep(STOPPED_FOR).await;
        let waiting: Vec<TcpStream> = (0..WAITING_REQUESTS)
            .map(|n| send(&serve, "waited", n))
            .collect();
        stage.sleep(0.1).await;
        serve.signal("CONT");
        for stream in waiting {
            assert_eq!(answered(stream).await, 200);
        }
    });
    assert_eq!(
        ran_at(stage, "waited"),
        [1],
        "the other was told to drain long ago:\n{}",
        serve.log()
    );
}

#[test]
fn nothing_leaves_on_a_list_of_etcd_from_before_a_stop() {
    let stage = TestEnvironment::new(1);
    let etcd = EtcdServer::start(&stage, 1).unwrap();
    let executors: Vec<_> = (0..2).map(|n| executor(&stage, n)).collect();
    let put = |n: usize, standing: &str| {
        let key = format!("/orchidtally/executors/{}", executors[n].address).into();
        let value = format!(r#"{{"standing":"{standing}","since":1}}"#).into();
        etcd.store
            .borrow_mut()
            .put(&PutRequest {
                key,
                value,
                ..PutRequest::default()
            })
            .unwrap();
    };
    (0..2).for_each(|n| put(n, "ready"));
    let source = format!(
        r#"etcd: {{ endpoints: ["{}"], lease: "10s" }}"#,
        etcd.addresses[0]
    );
    drains_during_a_stop(&stage, &source, "stop-etcd.json5", || {
        // The store is slow to tell it, so that the requests that waited are read before.
        etcd.faults
            .stalled
            .activate_until(stage.now() + STOPPED_FOR + 0.5);
        put(0, "draining");
    });
}

#[test]
fn nothing_leaves_on_a_publishers_list_from_before_a_stop() {
    let stage = TestEnvironment::new(2);
    let executors: Vec<_> = (0..2).map(|n| executor(&stage, n)).collect();
    let row = |n: usize| PublishedEndpoint {
        executor: n,
        address: executors[n].address,
        location: String::new(),
        kind: String::new(),
        cell: 0,
        weight: 1.0,
        state: EndpointState::Ready,
        started_at: f64::NEG_INFINITY,
    };
    let publisher = Publisher::start(&stage, unused_address(), vec![row(0), row(1)]).unwrap();
    publisher.max_delay.set(0.0);
    let source = format!(r#"publisher: "{}""#, publisher.address);
    let drain = || publisher.update_state(0, EndpointState::Draining, f64::NEG_INFINITY);
    drains_during_a_stop(&stage, &source, "stop-publisher.json5", drain);
}
