//! Runs `orchidtally serve` with a configuration store. A process that is paused for longer than its freshness bound
//! resumes with an outdated configuration, and must reject what was revoked meanwhile.

#[path = "../../http-frontend/tests/config_kit/mod.rs"]
mod config_kit;
mod serve_kit;

use config_kit::{Writer, deployment_with, executor, function, run, temp_dir, wait_until};
use orchidtally_invariants::TrafficRecord;
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::EtcdServer;
use serve_kit::{Serve, read_response, replace_file, write_file};
use std::net::TcpStream;

/// Duration of the pause in seconds. The freshness bound of `config_kit` is 1.5 s.
const PAUSE: f64 = 2.5;

/// Runs blocking work on a thread of its own, so that the store and the executor keep running.
async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = async_channel::bounded(1);
    std::thread::spawn(move || sender.send_blocking(work()));
    receiver.recv().await.unwrap()
}

async fn response(stream: TcpStream) -> (u16, String) {
    run_blocking(move || read_response(stream)).await
}

fn execution_count(environment: &TestEnvironment, expected: &str) -> usize {
    let is_start = |record: &&TrafficRecord| matches!(record, TrafficRecord::ExecutionStarted { invocation, .. } if invocation == expected);
    environment.records().iter().filter(is_start).count()
}

fn with_id(name: &str) -> [(&str, &str); 1] {
    [("orchidtally-invocation", name)]
}

#[test]
fn functions_revoked_during_a_pause_are_rejected_after_it() {
    let environment = TestEnvironment::new(1);
    let etcd = EtcdServer::start(&environment, 3).unwrap();
    let snapshot = temp_dir("pause").join("s");
    // One stream at a time, so that a second invocation waits to be sent until the first one has its response.
    let limits =
        r#"limits: { streamsPerConnection: 1, connectionsPerExecutor: 1, connectTime: "10s" },"#;
    let text = deployment_with(executor(&environment), &etcd.addresses, &snapshot, limits);
    let path = write_file("pause.json5", &text);
    let serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        writer
            .write(&[("functions/secret", Some(function(true, "refuse")))])
            .await;
        wait_until(&environment, "the function may be invoked", async || {
            response(serve.send("secret", &[])).await.0 == 200
        })
        .await;
        let before = serve.send("slow", &with_id("before"));
        wait_until(&environment, "the invocation runs", async || {
            execution_count(&environment, "before") == 1
        })
        .await;
        let waiting = serve.send("secret", &with_id("waiting"));
        environment.sleep(0.3).await;
        serve.signal("STOP");
        writer
            .write(&[("functions/secret", Some(function(false, "refuse")))])
            .await;
        let late = serve.send("secret", &with_id("late"));
        environment.sleep(PAUSE).await;
        serve.signal("CONT");
        for (name, stream) in [("waiting", waiting), ("late", late)] {
            let (status, body) = response(stream).await;
            assert!(matches!(status, 403 | 503), "{name}: {body}");
            assert!(
                body.contains("functions/secret"),
                "{name}: the rejection must name the revoked function: {body}"
            );
            assert!(body.contains("\"mayHaveRun\":false"), "{name}: {body}");
            assert_eq!(execution_count(&environment, name), 0, "{name}");
        }
        assert_eq!(
            response(before).await.0,
            200,
            "the invocation that ran before the pause gets its response"
        );
        wait_until(
            &environment,
            "the front end has read the change",
            async || response(serve.send("secret", &[])).await.0 == 403,
        )
        .await;
    });
}

#[test]
fn the_store_takes_precedence_over_a_reloaded_file() {
    let environment = TestEnvironment::new(2);
    let etcd = EtcdServer::start(&environment, 3).unwrap();
    let executor = executor(&environment);
    let snapshot = temp_dir("reload-store").join("s");
    let text = deployment_with(executor, &etcd.addresses, &snapshot, "");
    let path = write_file("reload-store.json5", &text);
    let serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    let writer = Writer::new(&environment, &etcd);
    run(&environment, async {
        let stored = [
            ("functions/listed", Some(function(false, "serve"))),
            ("functions/stored", Some(function(true, "serve"))),
        ];
        writer.write(&stored).await;
        wait_until(
            &environment,
            "the function of the store is served",
            async || response(serve.send("stored", &[])).await.0 == 200,
        )
        .await;
        replace_file(
            &path,
            &text.replace(
                r#"{ name: "slow", lanes: 32 }"#,
                r#"{ name: "other", lanes: 32 }"#,
            ),
        );
        serve.signal("HUP");
        wait_until(
            &environment,
            "the function of the file is served",
            async || response(serve.send("other", &[])).await.0 == 200,
        )
        .await;
        for (function, status) in [("stored", 200), ("listed", 403), ("slow", 404)] {
            assert_eq!(
                response(serve.send(function, &[])).await.0,
                status,
                "{function}"
            );
        }
    });
}
