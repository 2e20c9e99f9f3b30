//! Shared code of the tests with a front end on loopback sockets: the front end's thread, executors and records.

#![allow(dead_code)] // Each test file uses a part of it.

use async_io::Async;
use orchidtally_deployment::Deployment;
use orchidtally_http_frontend::{Counters, FrontEndOptions};
use orchidtally_invariants::TrafficRecord;
use orchidtally_test_servers::executor::{Executor, ExecutorSpec, Program, SharedResources};
use orchidtally_test_servers::store::PackageStore;
use orchidtally_test_servers::{TestEnvironment, unused_address};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread::JoinHandle;

/// Runs a test case to its end; the test fails after `time_limit` seconds.
pub fn run_within<T>(
    environment: &TestEnvironment,
    time_limit: f64,
    work: impl Future<Output = T>,
) -> T {
    let late = async {
        environment.sleep(time_limit).await;
        panic!("the test case exceeded its time limit");
    };
    async_io::block_on(environment.tasks.run(futures_lite::future::or(work, late)))
}

/// Starts an executor that serves the functions of this catalogue.
pub fn start_executor(
    environment: &TestEnvironment,
    number: usize,
    catalogue: impl Fn(&str) -> Option<Program> + 'static,
) -> Rc<Executor> {
    let spec = ExecutorSpec::with_ample_capacity(number);
    start_executor_with(environment, spec, catalogue)
}

/// Like [`start_executor`], with another configuration.
pub fn start_executor_with(
    environment: &TestEnvironment,
    spec: ExecutorSpec,
    catalogue: impl Fn(&str) -> Option<Program> + 'static,
) -> Rc<Executor> {
    let resources = SharedResources {
        store: PackageStore::new(environment, 8.0, 8),
        catalogue: Rc::new(catalogue),
        token_cache: Rc::default(),
        deduplication_window: 5.0,
    };
    Executor::start(environment, spec, unused_address(), resources).unwrap()
}

/// The start options of a front end without triggers, durable invocations and reloads.
pub fn start_options(
    deployment: Deployment,
    seed: u64,
    shutdown: async_channel::Receiver<()>,
) -> FrontEndOptions {
    FrontEndOptions {
        deployment,
        seed,
        clock_offset: 0.0,
        clock_step: None,
        shutdown,
        uses_random_policy: false,
        message_triggers: None,
        durable_invocation_store: None,
        reloads: None,
    }
}

/// The listener of a front end on its own thread.
pub struct Listening {
    pub listener: Async<TcpListener>,
    pub address: SocketAddr,
    /// Closed when the front end is to stop.
    pub stopped: async_channel::Receiver<()>,
}

/// A front end on its own thread.
pub struct FrontEndThread {
    pub address: SocketAddr,
    /// Dropping it stops the front end.
    pub stop: async_channel::Sender<()>,
    pub thread: JoinHandle<Counters>,
}

impl FrontEndThread {
    /// Runs a front end on an unused port.
    pub fn spawn(run: impl FnOnce(Listening) -> Counters + Send + 'static) -> FrontEndThread {
        let listener = orchidtally_http_frontend::listen(unused_address()).unwrap();
        let at = listener.get_ref().local_addr().unwrap();
        let (stop, stopped) = async_channel::bounded(1);
        let listening = Listening {
            listener,
            address: at,
            stopped,
        };
        let thread = std::thread::spawn(move || run(listening));
        FrontEndThread {
            address: at,
            stop,
            thread,
        }
    }

    /// Stops the front end gracefully and returns its counters.
    pub fn end(self) -> Counters {
        drop(self.stop);
        self.thread.join().unwrap()
    }
}

/// Returns the executors on which invocations ran whose names begin with `label`, sorted and without duplicates.
pub fn executors_of(environment: &TestEnvironment, label: &str) -> Vec<usize> {
    let executor_of = |record: &TrafficRecord| match record {
        TrafficRecord::ExecutionStarted {
            executor,
            invocation,
            ..
        } if invocation.starts_with(label) => Some(*executor),
        _ => None,
    };
    let mut executors: Vec<usize> = environment
        .records()
        .iter()
        .filter_map(executor_of)
        .collect();
    executors.sort_unstable();
    executors.dedup();
    executors
}
