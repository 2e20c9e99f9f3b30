//! A real `orchidtally serve` that follows a store of configuration: one that is paused for longer than its freshness bound wakes with an old view of the
//! configuration: what was taken away meanwhile is refused.

#[path = "../../http-frontend/tests/config_kit/mod.rs"]
mod config_kit;
mod serve_kit;

use config_kit::{Writer, deployment_with, executor, function, run, temp_dir, wait_until};
use orchidtally_invariants::TrafficRecord;
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::EtcdServer;
use serve_kit::{Serve, answer, file, replace};
use std::net::TcpStream;

/// Seconds that it is paused for; the kit's freshness bound is 1.5 s.
const PAUSE: f64 = 2.5;

/// Does what blocks on a thread of its own, so that store and executor go on.
async fn unblock<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let (tell, told) = async_channel::bounded(1);
    std::thread::spawn(move || tell.send_blocking(work()));
    told.recv().await.unwrap()
}

async fn answered(stream: TcpStream) -> (u16, String) {
    unblock(move || answer(stream)).await
}

fn ran(stage: &TestEnvironment, wanted: &str) -> usize {
    let is_it = |record: &&TrafficRecord| matches!(record, TrafficRecord::ExecutionStarted { invocation, .. } if invocation == wanted);
    stage.records().iter().filter(is_it).count()
}

fn named(name: &str) -> [(&str, &str); 1] {
    [("orchidtally-invocation", name)]
}

#[test]
fn what_was_taken_away_during_a_pause_is_refused_on_waking() {
    let stage = TestEnvironment::new(1);
    let etcd = EtcdServer::start(&stage, 3).unwrap();
    let snapshot = temp_dir("pause").join("s");
    // One stream at a time, so that an invocation waits behind another one for its bytes to go out.
    let limits =
        r#"limits: { streamsPerConnection: 1, connectionsPerExecutor: 1, connectTime: "10s" },"#;
    let text = deployment_with(executor(&stage), &etcd.addresses, &snapshot, limits);
    let path = file("pause.json5", &text);
    let serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    let writer = Writer::new(&stage, &etcd);
    run(&stage, async {
        writer
            .write(&[("functions/secret", Some(function(true, "refuse")))])
            .await;
        wait_until(&stage, "it may be called", async || {
            answered(serve.send("secret", &[])).await.0 == 200
        })
        .await;
        let before = serve.send("slow", &named("before"));
        wait_until(&stage, "it is out", async || ran(&stage, "before") == 1).await;
        let waiting = serve.send("secret", &named("waiting"));
        stage.sleep(0.3).await;
        serve.signal("STOP");
        writer
            .write(&[("functions/secret", Some(function(false, "refuse")))])
            .await;
        let late = serve.send("secret", &named("late"));
        stage.sleep(PAUSE).await;
        serve.signal("CONT");
        for (name, stream) in [("waiting", waiting), ("late", late)] {
            let (status, body) = answered(stream).await;
            assert!(matches!(status, 403 | 503), "{name}: {body}");
            assert!(
                body.contains("functions/secret"),
                "{name} was refused for what was taken away: {body}"
            );
            assert!(body.contains("\"mayHaveRun\":false"), "{name}: {body}");
            assert_eq!(ran(&stage, name), 0, "{name}");
        }
        assert_eq!(
            answered(before).await.0,
            200,
            "what was out before is answered"
        );
        wait_until(&stage, "it has read what changed", async || {
            answered(serve.send("secret", &[])).await.0 == 403
        })
        .await;
    });
}

#[test]
fn a_file_that_is_read_again_stands_under_what_the_store_has() {
    let stage = TestEnvironment::new(2);
    let etcd = EtcdServer::start(&stage, 3).unwrap();
    let executor = executor(&stage);
    let snapshot = temp_dir("reload-store").join("s");
    let text = deployment_with(executor, &etcd.addresses, &snapshot, "");
    let path = file("reload-store.json5", &text);
    let serve = Serve::start(&["--deployment", path.to_str().unwrap()]);
    let writer = Writer::new(&stage, &etcd);
    run(&stage, async {
        let stored = [
            ("functions/listed", Some(function(false, "serve"))),
            ("functions/stored", Some(function(true, "serve"))),
        ];
        writer.write(&stored).await;
        wait_until(&stage, "it is there", async || {
            answered(serve.send("stored", &[])).await.0 == 200
        })
        .await;
        replace(
            &path,
            &text.replace(
                r#"{ name: "slow", lanes: 32 }"#,
                r#"{ name: "other", lanes: 32 }"#,
            ),
        );
        serve.signal("HUP");
        wait_until(&stage, "the file's is there", async || {
            answered(serve.send("other", &[])).await.0 == 200
        })
        .await;
        for (function, status) in [("stored", 200), ("listed", 403), ("slow", 404)] {
            assert_eq!(
                answered(serve.send(function, &[])).await.0,
                status,
                "{function}"
            );
        }
    });
}
