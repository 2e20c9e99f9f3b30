//! Runs `orchidtally roster` against the test etcd server.

use orchidtally_etcd::rpc::PutRequest;
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::EtcdServer;
use std::path::PathBuf;
use std::process::{Command, Output};

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn roster(file: &PathBuf, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_orchidtally"));
    command
        .arg("roster")
        .args(arguments)
        .arg("--deployment")
        .arg(file)
        .output()
        .unwrap()
}

#[test]
fn executors_are_listed_drained_and_undrained() {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let environment = TestEnvironment::new(1);
        let etcd = EtcdServer::start(&environment, 2).unwrap();
        let put = PutRequest {
            key: "/orchidtally/executors/10.0.0.1:7000".into(),
            value: r#"{"location":"north","kind":"gpu","cell":3,"standing":"ready","since":1}"#
                .into(),
            ..PutRequest::default()
        };
        etcd.store.borrow_mut().put(&put).unwrap();
        sender.send(etcd.addresses.clone()).unwrap();
        async_io::block_on(environment.tasks.run(futures_lite::future::pending::<()>()));
    });
    let addresses = receiver.recv().unwrap();
    let endpoints: Vec<String> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
    let deployment = |executors: &str| {
        format!(
            r#"{{ triggerTypes: [{{ name: "look", effect: "idempotent", objective: "1s", timeout: "3s" }}],
                otherFunctions: {{}}, executors: {{ {executors} }} }}"#
        )
    };
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join("roster.json5");
    std::fs::write(
        &file,
        deployment(&format!(
            "etcd: {{ endpoints: [{}] }}",
            endpoints.join(", ")
        )),
    )
    .unwrap();
    let listed = text(&roster(&file, &["list"]).stdout);
    assert!(
        listed.contains("10.0.0.1:7000") && listed.contains("ready") && listed.contains("north"),
        "{listed}"
    );
    assert!(listed.contains("1 executors, 0 front ends"), "{listed}");
    let drained = roster(&file, &["drain", "10.0.0.1:7000", "--wait", "1"]);
    assert_eq!(drained.status.code(), Some(0), "{}", text(&drained.stderr));
    assert!(
        text(&drained.stdout).contains("is drained as of revision 3"),
        "{}",
        text(&drained.stdout)
    );
    let listed: serde_json::Value =
        serde_json::from_slice(&roster(&file, &["list", "--json"]).stdout).unwrap();
    assert_eq!(
        (
            &listed["executors"][0]["drained"],
            listed["executors"].as_array().unwrap().len()
        ),
        (&true.into(), 1)
    );
    let undrained = roster(&file, &["undrain", "10.0.0.1:7000"]);
    assert!(
        text(&undrained.stdout).contains("is drained no more"),
        "{}",
        text(&undrained.stdout)
    );
    assert!(text(&roster(&file, &["undrain", "10.0.0.1:7000"]).stdout).contains("was not drained"));
    let watched = text(&roster(&file, &["watch", "--seconds", "0.2"]).stdout);
    assert!(watched.contains("ready"), "{watched}");
    // A deployment with a fixed list of executors, and one whose store is unreachable.
    let other_deployment = folder.join("roster-listed.json5");
    std::fs::write(
        &other_deployment,
        deployment(r#"list: [{ address: "10.0.0.1:7000" }]"#),
    )
    .unwrap();
    assert_eq!(roster(&other_deployment, &["list"]).status.code(), Some(2));
    std::fs::write(
        &other_deployment,
        deployment(r#"etcd: { endpoints: ["127.0.0.1:1"] }"#),
    )
    .unwrap();
    let unreachable = roster(&other_deployment, &["list"]);
    assert_eq!(unreachable.status.code(), Some(3));
    assert!(
        text(&unreachable.stderr).contains("the store is unreachable"),
        "{}",
        text(&unreachable.stderr)
    );
}
