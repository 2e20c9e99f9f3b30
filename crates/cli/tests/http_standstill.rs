//! Pauses `orchidtally serve` while an executor begins to drain. After the pause, the process must confirm its endpoint
//! list before it dispatches anything.

#[path = "../../http-frontend/tests/config_kit/mod.rs"]
mod config_kit;
mod serve_kit;

use config_kit::{run, wait_until};
use orchidtally_etcd::rpc::PutRequest;
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::etcd::EtcdServer;
use orchidtally_test_servers::executor::{Executor, ExecutorSpec, Program, SharedResources, echo};
use orchidtally_test_servers::publisher::{PublishedEndpoint, Publisher};
use orchidtally_test_servers::store::PackageStore;
use orchidtally_test_servers::{TestEnvironment, unused_address};
use serve_kit::{Serve, read_response, write_file};
use std::net::TcpStream;
use std::rc::Rc;

/// Duration of the pause in seconds, longer than any drain grace.
const PAUSE: f64 = 3.0;
/// Requests that wait in the process's sockets when it resumes. Each is for a different function: with only eight
/// functions, the random ports placed all of them at one executor about once in 130 runs, and the check that both
/// executors serve failed.
const WAITING_REQUESTS: usize = 24;

fn start_executor(environment: &TestEnvironment, number: usize) -> Rc<Executor> {
    let program = || Program {
        concurrency: 32,
        load_time: 0.02,
        cpu_time: 0.002,
        run: echo,
        ..Program::default()
    };
    let resources = SharedResources {
        store: PackageStore::new(environment, 8.0, 8),
        catalogue: Rc::new(move |_| Some(program())),
        token_cache: Rc::default(),
        deduplication_window: 5.0,
    };
    Executor::start(
        environment,
        ExecutorSpec::with_ample_capacity(number),
        unused_address(),
        resources,
    )
    .unwrap()
}

async fn response_status(stream: TcpStream) -> u16 {
    let (sender, receiver) = async_channel::bounded(1);
    std::thread::spawn(move || sender.send_blocking(read_response(stream).0));
    receiver.recv().await.unwrap()
}

/// The executors that ran invocations whose IDs begin with `label`.
fn executors_that_ran(environment: &TestEnvironment, label: &str) -> Vec<usize> {
    let of = |record: &TrafficRecord| match record {
        TrafficRecord::ExecutionStarted {
            executor,
            invocation,
            ..
        } if invocation.starts_with(label) => Some(*executor),
        _ => None,
    };
    let mut executors: Vec<usize> = environment.records().iter().filter_map(of).collect();
    executors.sort_unstable();
    executors.dedup();
    executors
}

fn send(serve: &Serve, label: &str, n: usize) -> TcpStream {
    let name = format!("{label}-{n}");
    serve.send(&format!("f{n}"), &[("orchidtally-invocation", &name)])
}

/// Pauses the process, calls `drain` to announce that the first executor drains, and checks that the requests that
/// waited run at the other executor only.
fn check_drain_during_pause(
    environment: &TestEnvironment,
    source: &str,
    name: &str,
    drain: impl FnOnce(),
) {
    let text = format!(
        r#"{{ triggerTypes: [{{ name: "look", effect: "idempotent", objective: "2s", timeout: "8s" }}],
            otherFunctions: {{ lanes: 32, loadTime: "100ms" }}, executors: {{ {source} }} }}"#
    );
    let path = write_file(name, &text);
    let serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    run(environment, async {
        wait_until(environment, "the front end serves", async || {
            response_status(serve.send("first", &[])).await == 200
        })
        .await;
        for n in 0..WAITING_REQUESTS {
            assert_eq!(response_status(send(&serve, "before", n)).await, 200);
        }
        assert_eq!(
            executors_that_ran(environment, "before"),
            [0, 1],
            "both executors serve"
        );
        serve.signal("STOP");
        drain();
        environment.sleep(PAUSE).await;
        let waiting: Vec<TcpStream> = (0..WAITING_REQUESTS)
            .map(|n| send(&serve, "waited", n))
            .collect();
        environment.sleep(0.1).await;
        serve.signal("CONT");
        for stream in waiting {
            assert_eq!(response_status(stream).await, 200);
        }
    });
    assert_eq!(
        executors_that_ran(environment, "waited"),
        [1],
        "a request ran at the executor that drains:\n{}",
        serve.log()
    );
}

#[test]
fn nothing_is_dispatched_on_an_etcd_list_from_before_a_pause() {
    let environment = TestEnvironment::new(1);
    let etcd = EtcdServer::start(&environment, 1).unwrap();
    let executors: Vec<_> = (0..2).map(|n| start_executor(&environment, n)).collect();
    let put = |n: usize, state: &str| {
        let key = format!("/orchidtally/executors/{}", executors[n].address).into();
        let value = format!(r#"{{"standing":"{state}","since":1}}"#).into();
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
    check_drain_during_pause(&environment, &source, "stop-etcd.json5", || {
        // The store is slow to answer, so that the front end reads the waiting requests before it learns of the drain.
        etcd.faults
            .stalled
            .activate_until(environment.now() + PAUSE + 0.5);
        put(0, "draining");
    });
}

#[test]
fn nothing_is_dispatched_on_a_publisher_list_from_before_a_pause() {
    let environment = TestEnvironment::new(2);
    let executors: Vec<_> = (0..2).map(|n| start_executor(&environment, n)).collect();
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
    let publisher = Publisher::start(&environment, unused_address(), vec![row(0), row(1)]).unwrap();
    publisher.max_delay.set(0.0);
    let source = format!(r#"publisher: "{}""#, publisher.address);
    let drain = || publisher.update_state(0, EndpointState::Draining, f64::NEG_INFINITY);
    check_drain_during_pause(&environment, &source, "stop-publisher.json5", drain);
}
