//! Runs a scenario: front ends as separate processes, clients and test servers on one thread.

mod faults;
mod injection;
mod misbehaving_clients;
mod processes;
mod setup;
mod traffic;

use super::endpoint_store::EndpointStore;
use super::messages::Messages;
use super::rollout_run::{self, RolloutRun};
use super::scenario::Scenario;
use orchidtally_deployment::Deployment;
use orchidtally_invariants::{self as invariants, Limits, TrafficRecord};
use orchidtally_test_servers::client::TestClient;
use orchidtally_test_servers::executor::Executor;
use orchidtally_test_servers::publisher::Publisher;
use orchidtally_test_servers::store::PackageStore;
use orchidtally_test_servers::{TestEnvironment, TimedFault};
use processes::fetch_state;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::rc::Rc;

/// Seconds within which a front end has to accept connections after its start.
const START_TIMEOUT: f64 = 10.0;
/// Seconds until clients stop using a front end that was killed, and between taking a front end out of use and its
/// termination signal.
const FAILURE_DETECTION_TIME: f64 = 0.3;
/// Seconds for which the traffic rises before the scenario begins.
const WARM_UP: f64 = 3.0;
/// Seconds that a message may take on this machine, where front ends and test servers share the cores.
const MAX_TRANSIT_TIME: f64 = 0.35;
/// Seconds that front ends need to receive the endpoint list after their start.
const ENDPOINT_LIST_DELAY: f64 = 0.3;
/// Seconds that the answers to messages may take after the scenario.
const MESSAGE_ANSWER_TIME: f64 = 20.0;
/// The number that selects a broker that delivers messages twice as the violation to inject.
const DUPLICATE_MESSAGES_RULE: u8 = 6;
/// The share of each trigger type in the traffic.
const TRIGGER_TYPE_SHARES: [f64; 4] = [0.45, 0.2, 0.25, 0.1];

/// The options of a rehearsal.
pub struct Options {
    /// The seed of all random choices.
    pub seed: u64,
    /// The rule of which a violation is injected, if any.
    pub inject_violation: Option<u8>,
    /// The log filter of the front ends.
    pub front_end_log: String,
    /// The rollout to run, if any.
    pub rollout: Option<rollout_run::Options>,
    /// Whether MQTT messages are published.
    pub messages: bool,
    /// Whether front ends read the endpoint list from etcd instead of the publisher.
    pub etcd: bool,
}

/// The records of a rehearsal and what is needed to check them.
pub struct Outcome {
    /// The limits that the rules are checked against.
    pub limits: Limits,
    /// The executors.
    pub fleet: Vec<invariants::Executor>,
    /// The recorded traffic.
    pub records: Vec<TrafficRecord>,
    /// Remarks for the report.
    pub notes: Vec<String>,
    /// The result of the rollout, if one was run.
    pub rollout: Option<rollout_run::Observed>,
    /// The etcd server, if the endpoint list came from it.
    pub endpoint_store: Option<Rc<EndpointStore>>,
    /// Endpoint lists that front ends had to read again.
    pub relists: u64,
}

/// A front end's process and the clients that send to it.
struct FrontEnd {
    index: u32,
    at: SocketAddr,
    child: RefCell<Option<Child>>,
    /// Whether clients send to it.
    in_use: Cell<bool>,
    clients: Vec<Rc<TestClient>>,
    /// Seconds that its wall clock is ahead.
    clock_ahead: f64,
    /// Seconds that its wall clock is stepped in the middle of the scenario; 0 for none.
    clock_step: f64,
}

/// A running rehearsal.
struct Rehearsal {
    environment: TestEnvironment,
    scenario: Scenario,
    seed: u64,
    front_end_log: String,
    file: PathBuf,
    deployment: Deployment,
    limits: Limits,
    store: Rc<PackageStore>,
    publisher: Rc<Publisher>,
    executors: Vec<Rc<Executor>>,
    front_ends: Vec<Rc<FrontEnd>>,
    /// Faults of the traffic, each with the share of invocations that it affects: clients wait only a fraction of their
    /// time.
    impatient: (TimedFault, Cell<f64>),
    /// Invocations of one function.
    hot: (TimedFault, Cell<f64>),
    /// Invocations of functions that are invoked only once.
    one_time: (TimedFault, Cell<f64>),
    /// Invocations that go to a third of the front ends.
    shifted: (TimedFault, Cell<f64>),
    /// Invocations whose clients retry at once and often.
    repeating: (TimedFault, Cell<f64>),
    /// Parts of the script that still run. They have to end before the records are checked.
    running_parts: Cell<usize>,
    /// The number of invocation names given so far.
    name_count: Cell<u64>,
    /// The longest delay of the test servers' thread, in seconds.
    lag: Cell<f64>,
    rollout: Option<Rc<RolloutRun>>,
    messages: Option<Rc<Messages>>,
    endpoint_store: Option<Rc<EndpointStore>>,
    relists: Cell<u64>,
}

/// Runs a scenario with real front ends on loopback.
///
/// # Errors
/// A front end or a test server could not be started.
pub fn execute(scenario: &Scenario, options: &Options) -> io::Result<Outcome> {
    let environment = TestEnvironment::new(options.seed);
    let tasks = environment.tasks.clone();
    let rehearsal = setup::set_up(environment, scenario, options)?;
    let result = async_io::block_on(tasks.run(rehearsal.clone().run(options.inject_violation)));
    for front_end in &rehearsal.front_ends {
        if let Some(mut child) = front_end.child.borrow_mut().take() {
            // An error means that the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    if let Some(rollout) = &rehearsal.rollout {
        rollout.shut_down();
    }
    if let Some(messages) = &rehearsal.messages {
        messages.remove_files();
    }
    // An error is ignored: a file left in the temporary folder does no harm.
    let _ = std::fs::remove_file(&rehearsal.file);
    let notes = result?;
    let per_location = |n: usize| n as u32 % scenario.locations;
    let fleet = (0..scenario.executors)
        .map(|n| invariants::Executor {
            zone: per_location(n),
            cell: setup::cell(n, scenario),
        })
        .collect();
    let records = rehearsal.environment.records();
    let rollout = rehearsal
        .rollout
        .as_ref()
        .map(|record| record.observed(&records));
    let mut limits = rehearsal.limits.clone();
    limits.max_transit_time += rehearsal.lag.get();
    let (endpoint_store, relists) = (rehearsal.endpoint_store.clone(), rehearsal.relists.get());
    Ok(Outcome {
        limits,
        fleet,
        records,
        notes,
        rollout,
        endpoint_store,
        relists,
    })
}

impl Rehearsal {
    /// Runs a part of the script in the background. The scenario is over when all parts have ended.
    fn in_background(self: &Rc<Self>, work: impl Future<Output = ()> + 'static) {
        self.running_parts.set(self.running_parts.get() + 1);
        let rehearsal = self.clone();
        let work = async move {
            work.await;
            rehearsal
                .running_parts
                .set(rehearsal.running_parts.get() - 1);
        };
        self.environment.spawn(work).detach();
    }

    /// Runs the scenario, and returns remarks for the report.
    async fn run(self: Rc<Self>, violation: Option<u8>) -> io::Result<Vec<String>> {
        self.start_all().await?;
        let from = self.environment.now() + WARM_UP;
        self.start_script(from, violation);
        let heartbeat = self.environment.spawn(self.clone().heartbeat());
        let progress = self.environment.spawn(self.clone().progress(from));
        self.clone().run_traffic(from).await;
        self.wait_for_script().await;
        drop((progress, heartbeat));
        let mut notes = self.final_reports().await;
        let lag = self.lag.get();
        if lag > MAX_TRANSIT_TIME / 4.0 {
            notes.push(format!(
                "the test servers' thread was up to {lag:.2} s late; the checks allow for it"
            ));
        }
        if self.running_parts.get() > 0 {
            notes.push(format!(
                "{} parts of the script did not end",
                self.running_parts.get()
            ));
        }
        Ok(notes)
    }

    /// Starts all processes, and waits until the front ends accept invocations.
    async fn start_all(&self) -> io::Result<()> {
        eprintln!(
            "starting {} front ends and {} executors",
            self.scenario.front_ends, self.scenario.executors
        );
        if let Some(rollout) = &self.rollout {
            rollout.start(&self.file)?;
        }
        if let Some(endpoint_store) = &self.endpoint_store {
            endpoint_store.start(&self.executors);
        }
        for front_end in &self.front_ends {
            self.start(front_end)?;
        }
        for front_end in &self.front_ends {
            self.wait_until_up(front_end).await?;
        }
        // Gives the front ends time to receive the endpoint list.
        self.environment.sleep(ENDPOINT_LIST_DELAY).await;
        Ok(())
    }

    /// Schedules all parts of the script for a scenario that begins at `from`.
    fn start_script(self: &Rc<Self>, from: f64, violation: Option<u8>) {
        let (length, rate) = (self.scenario.length, self.scenario.rate);
        for fault in self.scenario.faults.clone() {
            self.schedule_fault(from, fault);
        }
        if let Some(rule) = violation.filter(|rule| *rule <= 5) {
            let rehearsal = self.clone();
            self.in_background(async move {
                rehearsal.environment.sleep(WARM_UP + 0.25 * length).await;
                rehearsal.inject_violation(rule, from).await;
            });
        }
        if let Some(rollout) = self.rollout.clone() {
            let file = self.file.clone();
            self.in_background(async move { rollout.run(from, length, &file).await });
        }
        if let Some(endpoint_store) = self.endpoint_store.clone() {
            self.in_background(async move { endpoint_store.inject_faults(from, length).await });
        }
        if let Some(messages) = self.messages.clone() {
            let gives_twice = violation == Some(DUPLICATE_MESSAGES_RULE);
            self.in_background(async move { messages.run(from, length, rate, gives_twice).await });
        }
    }

    /// Waits until all parts of the script have ended, at most as long as open invocations and messages may take.
    async fn wait_for_script(&self) {
        let longest = self
            .deployment
            .policy
            .trigger_types
            .iter()
            .map(|t| t.client_timeout)
            .fold(0.0, f64::max);
        let answers = if self.messages.is_some() {
            MESSAGE_ANSWER_TIME
        } else {
            0.0
        };
        let until = self.environment.now() + longest + 2.0 + answers;
        while self.running_parts.get() > 0 && self.environment.now() < until {
            self.environment.sleep(0.02).await;
        }
    }

    /// Remarks from what the front ends and the store report at the end.
    async fn final_reports(&self) -> Vec<String> {
        let mut notes = vec![format!(
            "the store served {} loads and refused {}",
            self.store.completed_fetches.get(),
            self.store.refused_fetches.get()
        )];
        for front_end in &self.front_ends {
            match fetch_state(front_end.at).await {
                Ok(text) => {
                    let state: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
                    let relists = state
                        .pointer("/roster/relists")
                        .and_then(serde_json::Value::as_u64);
                    self.relists.set(self.relists.get() + relists.unwrap_or(0));
                    let overdue = state.get("overdue").and_then(serde_json::Value::as_u64);
                    if overdue != Some(0) {
                        notes.push(format!(
                            "front end {} answered {overdue:?} in the module's place",
                            front_end.index
                        ));
                    }
                }
                Err(e) => notes.push(format!(
                    "front end {} did not report its state: {e}",
                    front_end.index
                )),
            }
        }
        notes
    }

    /// Measures how late the test servers' thread runs, as a late record can't be distinguished from a late message.
    /// The checks allow for this lag.
    async fn heartbeat(self: Rc<Self>) {
        const INTERVAL: f64 = 0.01;
        loop {
            let before = self.environment.now();
            self.environment.sleep(INTERVAL).await;
            self.lag.set(
                self.lag
                    .get()
                    .max(self.environment.now() - before - INTERVAL),
            );
        }
    }

    /// Prints the active faults every 2 s.
    async fn progress(self: Rc<Self>, from: f64) {
        loop {
            self.environment.sleep(2.0).await;
            let now = self.environment.now() - from;
            let active: Vec<_> = (self.scenario.faults.iter())
                .filter(|t| t.at <= now && now < t.at + t.duration)
                .map(|t| t.kind.name())
                .collect();
            eprintln!(
                "{now:>5.1} of {:.0} s: {}",
                self.scenario.length,
                active.join(", ")
            );
        }
    }
}
