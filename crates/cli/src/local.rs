//! In-process executors with small built-in functions, for `serve` without a deployment file.

use bytes::Bytes;
use orchidtally_deployment::Deployment;
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::executor::{
    Catalogue, Executor, ExecutorSpec, FunctionCode, FunctionError, Program, SharedResources, echo,
};
use orchidtally_test_servers::store::PackageStore;
use sha2::{Digest, Sha256};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// A function that every local executor provides.
pub struct BuiltInFunction {
    /// The name in the path of an invocation.
    pub name: &'static str,
    code: FunctionCode,
}

impl BuiltInFunction {
    const fn new(name: &'static str, code: FunctionCode) -> BuiltInFunction {
        BuiltInFunction { name, code }
    }
}

/// The built-in functions.
pub const FUNCTIONS: [BuiltInFunction; 5] = [
    BuiltInFunction::new("echo", echo),
    BuiltInFunction::new("upper", upper),
    BuiltInFunction::new("reverse", reverse),
    BuiltInFunction::new("sha256", sha256),
    BuiltInFunction::new("count", count),
];

fn text(payload: &[Bytes]) -> Result<String, FunctionError> {
    String::from_utf8(payload.concat()).map_err(|_| FunctionError::NotUtf8)
}

fn upper(payload: &[Bytes]) -> Result<Vec<Bytes>, FunctionError> {
    Ok(vec![text(payload)?.to_uppercase().into()])
}

fn reverse(payload: &[Bytes]) -> Result<Vec<Bytes>, FunctionError> {
    Ok(vec![
        text(payload)?.chars().rev().collect::<String>().into(),
    ])
}

fn sha256(payload: &[Bytes]) -> Result<Vec<Bytes>, FunctionError> {
    let mut digest = Sha256::new();
    payload.iter().for_each(|chunk| digest.update(chunk));
    let text: String = digest
        .finalize()
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    Ok(vec![format!("{text}\n").into()])
}

fn count(payload: &[Bytes]) -> Result<Vec<Bytes>, FunctionError> {
    let bytes: usize = payload.iter().map(Bytes::len).sum();
    Ok(vec![format!("{bytes} bytes\n").into()])
}

/// The number of local executors.
const EXECUTORS: usize = 3;

/// Starts the local executors on a background thread and returns a deployment that lists them. `listen` replaces the
/// front end's default address.
pub fn deployment(listen: Option<SocketAddr>) -> io::Result<Deployment> {
    let (started_sender, started_receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let environment = TestEnvironment::new(1);
        let started = start(&environment);
        let tasks = environment.tasks.clone();
        match started {
            Ok(executors) => {
                // Can't fail: the receiver below waits for this message.
                let _ = started_sender
                    .send(Ok(executors.iter().map(|e| e.address).collect::<Vec<_>>()));
                async_io::block_on(tasks.run(futures_lite::future::pending::<()>()));
            }
            Err(e) => {
                let _ = started_sender.send(Err(e));
            }
        }
    });
    let addresses = started_receiver.recv().map_err(io::Error::other)??;
    let list: Vec<_> = addresses
        .iter()
        .map(|a| format!("{{ address: \"{a}\" }}"))
        .collect();
    let functions: Vec<_> = FUNCTIONS
        .iter()
        .map(|f| format!("{{ name: \"{}\", lanes: 8, loadTime: \"100ms\" }}", f.name))
        .collect();
    let text = format!(
        r#"{{
            name: "local",
            triggerTypes: [{{ name: "http", effect: "idempotent", objective: "500ms", timeout: "10s" }}],
            functions: [{}],
            executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{}] }},
            reports: ["backlog"],
        }}"#,
        functions.join(", "),
        list.join(", ")
    );
    let mut deployment =
        Deployment::parse(&text).map_err(|f| io::Error::other(format!("{f:?}")))?;
    if let Some(listen) = listen {
        deployment.listen = listen;
    }
    Ok(deployment)
}

fn start(environment: &TestEnvironment) -> io::Result<Vec<Rc<Executor>>> {
    let store = PackageStore::new(environment, 4.0, 32);
    let catalogue: Catalogue = Rc::new(|name| {
        let function = FUNCTIONS.iter().find(|f| f.name == name)?;
        Some(Program {
            concurrency: 8,
            load_time: 0.1,
            cpu_time: 0.001,
            run: function.code,
            ..Program::default()
        })
    });
    let start_one = |number| {
        let spec = ExecutorSpec {
            cores: 4,
            memory: 64.0,
            queue_capacity: 200,
            keep_alive: 30.0,
            report_fields: vec!["backlog".into()],
            ..ExecutorSpec::with_ample_capacity(number)
        };
        let resources = SharedResources {
            store: store.clone(),
            catalogue: catalogue.clone(),
            token_cache: Rc::default(),
            deduplication_window: 60.0,
        };
        Executor::start(
            environment,
            spec,
            orchidtally_test_servers::unused_address(),
            resources,
        )
    };
    (0..EXECUTORS).map(start_one).collect()
}
