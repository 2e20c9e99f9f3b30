//! Distribution of configuration: time until a change is in force, through faults of the store and of the network, and
//! what all of control costs a front end and the store meanwhile.

pub mod entries;
mod findings;
mod front_ends;
mod meter;
mod phases;
mod plan;
pub mod received;
mod rows;
mod tracker;
mod writer;

pub(crate) use front_ends::{RunError, read_snapshot};
pub use plan::Plan;
pub use tracker::{Missing, Tracker};
pub(crate) use writer::request;

use crate::clock;
use crate::report::Row;
use crate::store::{Command, StoreProcess};
use async_executor::LocalExecutor;
use findings::Findings;
use front_ends::FrontEnds;
use phases::Run;
use std::rc::Rc;
use writer::WriterThread;

/// What a run measured besides its [`Findings`].
#[derive(Clone, Debug, Default)]
struct Memory {
    /// Bytes of one front end's control without configuration, and of the configuration with all functions.
    control_bytes: f64,
    configuration_bytes: f64,
    /// Front ends that claim a revision whose changes their calls don't see.
    false_claims: usize,
}

/// Runs the plan and returns its rows.
pub fn run(plan: &Plan) -> Vec<Row> {
    let (mut findings, mut memory) = (Findings::default(), Memory::default());
    let played = play(plan, &mut findings, &mut memory);
    if let Err(why) = &played {
        eprintln!("config: the run ended early: {why}");
        findings.missing.push(why.to_string());
    }
    rows::rows(plan, &findings, &memory)
}

fn play(plan: &Plan, findings: &mut Findings, memory: &mut Memory) -> Result<(), RunError> {
    memory.configuration_bytes = configuration_bytes(plan)?;
    let mut store = StoreProcess::start()?;
    store.run(&Command::PutExecutors {
        count: plan.executors,
    })?;
    store.run(&Command::PutConfiguration {
        functions: plan.functions_loaded,
    })?;
    let by_region = store.addresses()?;
    let tasks = Rc::new(LocalExecutor::new());
    let work = async {
        let snapshot = read_snapshot(&by_region[0], &tasks, plan.start_timeout_s).await?;
        eprintln!(
            "config: {} front ends start with {} functions",
            plan.front_ends, plan.functions_loaded
        );
        let heap = clock::heap_bytes();
        let front_ends = FrontEnds::start(
            plan.front_ends,
            by_region.clone(),
            snapshot,
            plan.seed,
            &tasks,
        )
        .await?;
        front_ends.until_ready(plan.start_timeout_s).await?;
        let each = (clock::heap_bytes() - heap) / plan.front_ends as f64;
        let configuration_bytes =
            memory.configuration_bytes * plan.functions_loaded as f64 / plan.functions as f64;
        memory.control_bytes = (each - configuration_bytes).max(0.0);
        let writer = WriterThread::start(by_region[0].clone(), plan.timeout_s);
        let mut run = Run::new(plan, &mut store, front_ends, writer);
        let played = run.play(findings).await;
        memory.false_claims = false_claims(&run.front_ends);
        played
    };
    async_io::block_on(tasks.run(work))
}

/// The memory of one front end's configuration with all functions of the design.
fn configuration_bytes(plan: &Plan) -> Result<f64, RunError> {
    let mut store = StoreProcess::start()?;
    store.run(&Command::PutConfiguration {
        functions: plan.functions,
    })?;
    let endpoints = store.addresses()?.swap_remove(0);
    let tasks = Rc::new(LocalExecutor::new());
    let work = async {
        let snapshot = read_snapshot(&endpoints, &tasks, plan.start_timeout_s).await?;
        let heap = clock::heap_bytes();
        let front_end = FrontEnds::configuration_only(&endpoints, snapshot, &tasks)?;
        let bytes = clock::heap_bytes() - heap;
        drop(front_end);
        Ok(bytes)
    };
    async_io::block_on(tasks.run(work))
}

/// Front ends that report a revision and whose calls don't see what was changed at it.
fn false_claims(front_ends: &FrontEnds) -> usize {
    let tracker = front_ends.tracker.borrow();
    let claims = |missing: &Missing| {
        front_ends.host(missing.front_end).claimed_revision() >= missing.revision
    };
    let mut liars: Vec<usize> = tracker
        .missing(usize::MAX)
        .iter()
        .filter(|m| claims(m))
        .map(|m| m.front_end)
        .collect();
    liars.sort_unstable();
    liars.dedup();
    liars.len()
}
