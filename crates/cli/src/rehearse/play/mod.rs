//! Plays a day: front ends as processes of their own, everything else on one thread beside them.

mod faults;
mod injection;
mod misbehaving_clients;
mod processes;
mod setup;
mod traffic;

use super::endpoints::Roster;
use super::messages::Messages;
use super::rolling::{self, Rolling};
use super::scenario::Scenario;
use orchidtally_deployment::Deployment;
use orchidtally_invariants::{self as invariants, Limits, TrafficRecord};
use orchidtally_test_servers::client::TestClient;
use orchidtally_test_servers::executor::Executor;
use orchidtally_test_servers::publisher::Publisher;
use orchidtally_test_servers::store::PackageStore;
use orchidtally_test_servers::{TestEnvironment, TimedFault};
use processes::state;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::rc::Rc;

/// Seconds in which a front end has to take connections after its start.
const START_TIME: f64 = 10.0;
/// Seconds after which nothing more is sent to a front end that was killed.
const NOTICE: f64 = 0.3;
/// Seconds for which the traffic rises before the day begins.
const WARM_UP: f64 = 3.0;
/// Seconds that a message may take on this machine, with front ends and test servers on the same cores.
const TRANSIT: f64 = 0.35;
/// Seconds in which front ends have the list of executors after their start.
const ROSTER_TIME: f64 = 0.3;
/// Seconds that the answers to messages may take after the day.
const MESSAGES_TIME: f64 = 20.0;
/// The number under which a broker that gives messages twice is injected.
const MESSAGES_RULE: u8 = 6;
/// The share of each trigger type in the traffic.
const SHARES: [f64; 4] = [0.45, 0.2, 0.25, 0.1];

/// The options of a rehearsal.
pub struct Options {
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// A violation of this rule is injected.
    pub inject_violation: Option<u8>,
    /// What front ends log.
    pub front_end_log: String,
    /// The rollout that is played under the day.
    pub rollout: Option<rolling::Options>,
    /// Whether messages are published too.
    pub messages: bool,
    /// Whether the list of executors comes from etcd.
    pub etcd: bool,
}

/// What a rehearsal left to be judged.
pub struct Played {
    /// What the rules are checked against.
    pub limits: Limits,
    /// The executors.
    pub fleet: Vec<invariants::Executor>,
    /// What went over the sockets.
    pub records: Vec<TrafficRecord>,
    /// Remarks for the reader.
    pub notes: Vec<String>,
    /// What became of the rollout.
    pub rollout: Option<rolling::Observed>,
    /// The list of executors in etcd.
    pub roster: Option<Rc<Roster>>,
    /// Lists that front ends had to ask for again.
    pub relists: u64,
}

struct FrontEnd {
    index: u32,
    at: SocketAddr,
    child: RefCell<Option<Child>>,
    /// The front layer sends to it.
    used: Cell<bool>,
    callers: Vec<Rc<TestClient>>,
    ahead: f64,
    step: f64,
}

struct Rehearsal {
    stage: TestEnvironment,
    scenario: Scenario,
    seed: u64,
    log: String,
    file: PathBuf,
    deployment: Deployment,
    limits: Limits,
    store: Rc<PackageStore>,
    publisher: Rc<Publisher>,
    executors: Vec<Rc<Executor>>,
    front_ends: Vec<Rc<FrontEnd>>,
    /// Clients wait a fraction of their time; how many of them.
    impatient: (TimedFault, Cell<f64>),
    hot: (TimedFault, Cell<f64>),
    one_offs: (TimedFault, Cell<f64>),
    shifted: (TimedFault, Cell<f64>),
    repeating: (TimedFault, Cell<f64>),
    /// The work of the day: it has to be over before the records are judged.
    pending: Cell<usize>,
    names: Cell<u64>,
    /// The longest that the stand-ins' thread came late to anything.
    lag: Cell<f64>,
    rolling: Option<Rc<Rolling>>,
    messages: Option<Rc<Messages>>,
    roster: Option<Rc<Roster>>,
    relists: Cell<u64>,
}

/// Plays a day with real front ends on loopback.
///
/// # Errors
/// A front end or a test server could not be started.
pub fn play(scenario: &Scenario, options: &Options) -> io::Result<Played> {
    let stage = TestEnvironment::new(options.seed);
    let tasks = stage.tasks.clone();
    let rehearsal = setup::set_up(stage, scenario, options)?;
    let played = async_io::block_on(tasks.run(rehearsal.clone().perform(options.inject_violation)));
    for fe in &rehearsal.front_ends {
        if let Some(mut child) = fe.child.borrow_mut().take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    if let Some(rolling) = &rehearsal.rolling {
        rolling.end();
    }
    if let Some(messages) = &rehearsal.messages {
        messages.end();
    }
    // It lies in the temporary folder, where nobody misses it.
    let _ = std::fs::remove_file(&rehearsal.file);
    let notes = played?;
    let per_location = |n: usize| n as u32 % scenario.locations;
    let fleet = (0..scenario.executors)
        .map(|n| invariants::Executor {
            zone: per_location(n),
            cell: setup::cell(n, scenario),
        })
        .collect();
    let records = rehearsal.stage.records();
    let rollout = rehearsal
        .rolling
        .as_ref()
        .map(|record| record.observed(&records));
    let mut limits = rehearsal.limits.clone();
    limits.max_transit_time += rehearsal.lag.get();
    let (roster, relists) = (rehearsal.roster.clone(), rehearsal.relists.get());
    Ok(Played {
        limits,
        fleet,
        records,
        notes,
        rollout,
        roster,
        relists,
    })
}

impl Rehearsal {
    /// Runs a part of the day's script in the background. The day is over when all parts are.
    fn in_background(self: &Rc<Self>, work: impl Future<Output = ()> + 'static) {
        self.pending.set(self.pending.get() + 1);
        let rehearsal = self.clone();
        let work = async move {
            work.await;
            rehearsal.pending.set(rehearsal.pending.get() - 1);
        };
        self.stage.spawn(work).detach();
    }

    async fn perform(self: Rc<Self>, violation: Option<u8>) -> io::Result<Vec<String>> {
        self.start_all().await?;
        let from = self.stage.now() + WARM_UP;
        self.start_script(from, violation);
        let heartbeat = self.stage.spawn(self.clone().heartbeat());
        let progress = self.stage.spawn(self.clone().progress(from));
        self.clone().traffic(from).await;
        self.wait_for_script().await;
        drop((progress, heartbeat));
        let mut notes = self.final_reports().await;
        let lag = self.lag.get();
        if lag > TRANSIT / 4.0 {
            notes.push(format!(
                "the stand-ins' thread came up to {lag:.2} s late: that is allowed for in what is checked"
            ));
        }
        if self.pending.get() > 0 {
            notes.push(format!(
                "{} pieces of the script did not end",
                self.pending.get()
            ));
        }
        Ok(notes)
    }

    /// Starts all processes, and waits until front ends take invocations.
    async fn start_all(&self) -> io::Result<()> {
        eprintln!(
            "starting {} front ends and {} executors",
            self.scenario.front_ends, self.scenario.executors
        );
        if let Some(rolling) = &self.rolling {
            rolling.start(&self.file)?;
        }
        if let Some(roster) = &self.roster {
            roster.start(&self.executors);
        }
        for fe in &self.front_ends {
            self.start(fe)?;
        }
        for fe in &self.front_ends {
            self.until_up(fe).await?;
        }
        // So that the front ends have the list of executors.
        self.stage.sleep(ROSTER_TIME).await;
        Ok(())
    }

    /// Starts all parts of the script of a day that begins at a time.
    fn start_script(self: &Rc<Self>, from: f64, violation: Option<u8>) {
        let (length, rate) = (self.scenario.length, self.scenario.rate);
        for fault in self.scenario.faults.clone() {
            self.perform_later(from, fault);
        }
        if let Some(rule) = violation.filter(|rule| *rule <= 5) {
            let rehearsal = self.clone();
            self.in_background(async move {
                rehearsal.stage.sleep(WARM_UP + 0.25 * length).await;
                rehearsal.inject_violation(rule, from).await;
            });
        }
        if let Some(rolling) = self.rolling.clone() {
            let file = self.file.clone();
            self.in_background(async move { rolling.perform(from, length, &file).await });
        }
        if let Some(roster) = self.roster.clone() {
            self.in_background(async move { roster.perform(from, length).await });
        }
        if let Some(messages) = self.messages.clone() {
            let gives_twice = violation == Some(MESSAGES_RULE);
            self.in_background(
                async move { messages.perform(from, length, rate, gives_twice).await },
            );
        }
    }

    /// Waits until what is open is answered and all parts of the script are over, for a bounded time.
    async fn wait_for_script(&self) {
        let longest = self
            .deployment
            .policy
            .trigger_types
            .iter()
            .map(|t| t.client_timeout)
            .fold(0.0, f64::max);
        let answers = if self.messages.is_some() {
            MESSAGES_TIME
        } else {
            0.0
        };
        let until = self.stage.now() + longest + 2.0 + answers;
        while self.pending.get() > 0 && self.stage.now() < until {
            self.stage.sleep(0.02).await;
        }
    }

    /// What front ends and the store report at the end of the day.
    async fn final_reports(&self) -> Vec<String> {
        let mut notes = vec![format!(
            "the store gave {} loads and turned {} away",
            self.store.completed_fetches.get(),
            self.store.refused_fetches.get()
        )];
        for fe in &self.front_ends {
            match state(fe.at).await {
                Ok(text) => {
                    let v: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
                    let relists = v
                        .pointer("/roster/relists")
                        .and_then(serde_json::Value::as_u64);
                    self.relists.set(self.relists.get() + relists.unwrap_or(0));
                    let overdue = v.get("overdue").and_then(serde_json::Value::as_u64);
                    if overdue != Some(0) {
                        notes.push(format!(
                            "front end {} answered {overdue:?} in the module's place",
                            fe.index
                        ));
                    }
                }
                Err(e) => notes.push(format!(
                    "front end {} does not say how it stands: {e}",
                    fe.index
                )),
            }
        }
        notes
    }

    /// Measures how late the test servers' thread runs: what they record late can't be told from what was sent late.
    async fn heartbeat(self: Rc<Self>) {
        const INTERVAL: f64 = 0.01;
        loop {
            let before = self.stage.now();
            self.stage.sleep(INTERVAL).await;
            self.lag
                .set(self.lag.get().max(self.stage.now() - before - INTERVAL));
        }
    }

    async fn progress(self: Rc<Self>, from: f64) {
        loop {
            self.stage.sleep(2.0).await;
            let now = self.stage.now() - from;
            let on: Vec<_> = (self.scenario.faults.iter())
                .filter(|t| t.at <= now && now < t.at + t.duration)
                .map(|t| t.kind.name())
                .collect();
            eprintln!(
                "{now:>5.1} of {:.0} s: {}",
                self.scenario.length,
                on.join(", ")
            );
        }
    }
}
