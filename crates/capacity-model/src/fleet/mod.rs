//! The fleet in simulated time: cold starts, herds, crossings and what is served, calm and through failures.
//!
//! Hollow front ends run the true engine with the dispatch policy; hollow executors keep copies, lanes and loads.
//! A run is played by one thread and is the same for the same plan; several runs go side by side. What the size of
//! the design leaves open is stated in [`assumptions`].

mod arrivals;
pub mod assumptions;
mod cpu;
mod event;
mod executor;
mod finding;
mod front_end;
mod measure;
mod plan;
mod request;
mod rows;
mod scenario;
mod simulation;
mod topology;

pub use finding::{Counts, Finding};
pub use measure::Tally;
pub use plan::Plan;
pub use scenario::Scenario;
pub use simulation::Simulation;

use crate::clock::resident_bytes;
use crate::report::Row;
use crate::size::Size;
use assumptions::{NON_IDEMPOTENT_EVERY, WARM_UP, WARM_UP_THINNED};
use std::sync::{Mutex, OnceLock};
use std::thread;
use std::time::Instant;

/// Runs that go side by side at the most: each takes a thread and up to 1.3 GB of memory.
const MOST_AT_ONCE: usize = 4;
/// The second size has this many times the executors, each with a corresponding fraction of the memory and lanes.
const MORE_EXECUTORS: usize = 3;

/// The warm-up of short runs, in times of what is measured.
const WARM_UP_BY_SECONDS: f64 = 8.0;

/// Who decides at the front ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The dispatch policy of the program.
    Dispatcher,
    /// Any executor: a reference.
    Random,
    /// The less loaded of two by their true load, which no front end can know: a reference.
    TwoByTrueLoad,
}

impl Policy {
    fn name(self) -> &'static str {
        match self {
            Policy::Dispatcher => "dispatcher",
            Policy::Random => "random",
            Policy::TwoByTrueLoad => "two by true load",
        }
    }
}

/// A fault injected into the hollow machines, which the counts have to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The network delivers a dispatch twice.
    DuplicateDispatch,
    /// A front end loses a final answer.
    LostAnswer,
}

/// Whether a function may run more than once for a call.
fn is_idempotent(function: u32) -> bool {
    function % NON_IDEMPOTENT_EVERY != NON_IDEMPOTENT_EVERY - 1
}

/// A run and what it found.
#[derive(Clone, Debug)]
pub struct Played {
    /// What was played.
    pub plan: Plan,
    /// What the run found.
    pub finding: Finding,
}

/// Simulated seconds measured in the calm by default. All runs together then take some 750 seconds of processor time
/// on a busy machine of eight cores, shared by the threads that go side by side.
pub const SECONDS: f64 = 4.0;

/// Plays the fleet at two numbers of executors through the scenarios, with `seconds` of simulated time measured in the
/// calm, and returns its rows. Short runs have a short warm-up.
pub fn run(size: &Size, seed: u64, seconds: f64) -> Vec<Row> {
    let outcome = play(plans(size, seed, seconds));
    rows::of(&outcome)
}

fn plans(size: &Size, seed: u64, seconds: f64) -> Vec<Plan> {
    let more = Size {
        executors: size.executors * MORE_EXECUTORS,
        ..size.clone()
    };
    let warm_up = WARM_UP.min(WARM_UP_BY_SECONDS * seconds);
    let plan = |size: &Size, scenario, policy| Plan {
        size: size.clone(),
        scenario,
        policy,
        regions_known: true,
        warm_up_thinned: warm_up * WARM_UP_THINNED / WARM_UP,
        warm_up,
        seconds: seconds * scenario.length(),
        seed,
        fault: None,
    };
    // The longest runs begin first. A rack and the day's restarts are as many machines of more executors too.
    let of_more = [Scenario::RegionCut, Scenario::ZoneLost, Scenario::Calm];
    let of_fewer = [
        Scenario::RegionCut,
        Scenario::ZoneLost,
        Scenario::Calm,
        Scenario::RackLost,
        Scenario::Restarts,
    ];
    let mut plans: Vec<Plan> = of_more
        .map(|scenario| plan(&more, scenario, Policy::Dispatcher))
        .into();
    plans.extend(of_fewer.map(|scenario| plan(size, scenario, Policy::Dispatcher)));
    plans.extend(
        [Policy::Random, Policy::TwoByTrueLoad].map(|policy| plan(size, Scenario::Calm, policy)),
    );
    plans
}

/// What several runs found.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// In the order of their plans.
    pub played: Vec<Played>,
    /// Megabytes of memory that each front end takes at the most, taken when the first run ends and as many as go
    /// side by side are still there.
    pub memory_mb: Option<f64>,
}

/// Plays each plan, some side by side. Progress goes to standard error.
pub fn play(plans: Vec<Plan>) -> Outcome {
    let cores = thread::available_parallelism().map_or(1, |cores| cores.get());
    let at_once = cores.min(MOST_AT_ONCE).min(plans.len());
    let front_ends: usize = plans
        .iter()
        .take(at_once)
        .map(|plan| plan.size.front_ends)
        .sum();
    let before = resident_bytes();
    let waiting = Mutex::new(plans.into_iter().enumerate());
    let next = || waiting.lock().ok()?.next();
    let first_memory = OnceLock::new();
    let worker = || {
        let mut played = vec![];
        while let Some((number, plan)) = next() {
            let one = play_one(plan);
            first_memory.get_or_init(|| one.finding.resident_bytes);
            played.push((number, one));
        }
        played
    };
    let mut played: Vec<(usize, Played)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..at_once).map(|_| scope.spawn(worker)).collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("a run does not panic"))
            .collect()
    });
    played.sort_by_key(|(number, _)| *number);
    let added = first_memory
        .into_inner()
        .flatten()
        .zip(before)
        .map(|(after, before)| after.saturating_sub(before));
    Outcome {
        played: played.into_iter().map(|(_, played)| played).collect(),
        memory_mb: added.map(|bytes| bytes as f64 / 1e6 / front_ends as f64),
    }
}

fn play_one(plan: Plan) -> Played {
    let began = Instant::now();
    let finding = Simulation::new(plan.clone()).run();
    let (name, policy, executors) = (
        plan.scenario.name(),
        plan.policy.name(),
        plan.size.executors,
    );
    let took = began.elapsed().as_secs_f64();
    eprintln!("fleet: {name}, {executors} executors, {policy}: took {took:.0} s");
    eprintln!("fleet:   {finding:?}");
    Played { plan, finding }
}
