//! Measures the CPU time of one front end's decisions by the number of executors, in simulated time. It also prints a
//! digest of all decisions, by which two versions of the dispatch policy can be compared with the same seed.
//!
//! `cargo run --release -p orchidtally-engine --example decision_cost -- [NAME=VALUE ...]`
//!
//! The names and their defaults are:
//!
//! - `seconds` (120): the simulated time
//! - `seed` (1)
//! - `day` (`calm`): the workload, which is `calm`, `loaded` or `faults`
//! - `executors` (36,300,1000,3000)
//! - `rate` (182): invocations per second
//! - `exponent` (1.6): the exponent of Zipf's law over 21,000 functions
//! - `regions` (0): the number of regions over which the eight zones are spread; 0 configures no regions
//!
//! The front end is one of 550. The CPU time is that of the thread in the second half of the run (Linux only) and
//! includes the simulation.

mod fleet;
mod scenario;
mod simulation;

use fleet::{change_endpoints, config, endpoint};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState, EndpointUpdateKind};
use orchidtally_dispatch_policy::random::SeededRandom;
use orchidtally_engine::{Engine, InvocationRequest};
use scenario::{Scenario, Workload};
use simulation::{LOAD_TIME, Simulation};

/// When the measurement begins, in seconds.
const START: f64 = 1_000.0;
const CLIENT_TIMEOUT: f64 = 5.0;
/// The number of invocations that a replica runs at a time.
const CONCURRENCY: f64 = 4.0;
/// The number of invocations that may be open at a time.
const MAX_OPEN: usize = 100_000;
/// The time between two changes of the endpoint list in seconds, with the workload [`Workload::Faults`].
const CHANGE_INTERVAL: f64 = 0.5;
/// The time of the first change after the start, in seconds.
const FIRST_CHANGE: f64 = 2.0;

/// The CPU time of the thread, in seconds.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = stat
        .split(' ')
        .next()
        .and_then(|text| text.parse::<f64>().ok());
    nanoseconds.unwrap_or(f64::NAN) / 1e9
}

/// The results for one number of executors.
struct Measurement {
    microseconds_per_invocation: f64,
    milliseconds_per_update: f64,
    simulation: Simulation,
    max_functions: usize,
}

/// A simulation of one front end.
struct Run<'a> {
    scenario: &'a Scenario,
    simulation: Simulation,
    engine: Engine,
    endpoints: Vec<Endpoint>,
    change_at: f64,
    max_functions: usize,
}

impl Run<'_> {
    fn new(scenario: &Scenario, executors: u32) -> Run<'_> {
        let &Scenario {
            workload,
            seed,
            regions,
            ..
        } = scenario;
        let mut simulation = Simulation::new(workload, START, seed);
        let config = config(workload, regions);
        let mut engine = Engine::new(config, MAX_OPEN, seed, START, &mut simulation);
        let endpoints: Vec<Endpoint> = (0..executors)
            .map(|executor| endpoint(workload, executor, 0, f64::NEG_INFINITY))
            .collect();
        engine.on_endpoint_update(START, EndpointUpdateKind::Full, &endpoints, &mut simulation);
        Run {
            scenario,
            simulation,
            engine,
            endpoints,
            change_at: START + FIRST_CHANGE,
            max_functions: 0,
        }
    }

    /// Handles all events and timers up to a time.
    fn advance_to(&mut self, until: f64) {
        loop {
            let event_at = self.simulation.next_event_at();
            let timers_at = self.engine.next_deadline();
            let next_at = event_at.min(timers_at);
            if next_at > until {
                break;
            }
            self.simulation.now = self.simulation.now.max(next_at);
            if timers_at < event_at {
                let now = self.simulation.now;
                self.engine.run_due_timers(now, &mut self.simulation);
            } else if let Some(event) = self.simulation.pop_event() {
                self.simulation.handle_event(event, &mut self.engine);
            }
        }
        self.simulation.now = self.simulation.now.max(until);
    }

    fn change_endpoints_if_due(&mut self) {
        if self.scenario.workload == Workload::Faults && self.simulation.now >= self.change_at {
            self.change_at = self.simulation.now + CHANGE_INTERVAL;
            change_endpoints(&mut self.endpoints, &mut self.engine, &mut self.simulation);
        }
    }

    /// Admits an invocation of a random function, drawn according to the cumulative shares.
    fn admit(&mut self, arrivals: &mut SeededRandom, cumulative_shares: &[f64]) {
        let drawn = arrivals.next_f64();
        let function = cumulative_shares.partition_point(|&share| share <= drawn) as u64;
        self.simulation.admitting_function = function;
        let trigger_type = (arrivals.next_f64() * 4.0) as usize;
        let request = InvocationRequest {
            trigger_type: if self.scenario.workload == Workload::Calm {
                0
            } else {
                trigger_type
            },
            customer: 0,
            function,
            is_retry: false,
            is_migrated: false,
            timeout_at: self.simulation.now + CLIENT_TIMEOUT,
            expected_work: None,
            concurrency: CONCURRENCY,
            load_time: Some(LOAD_TIME),
        };
        let now = self.simulation.now;
        if self
            .engine
            .admit(now, &request, &mut self.simulation)
            .is_err()
        {
            self.simulation.failed_invocations += 1;
        }
        let functions = self.engine.table_sizes().functions;
        self.max_functions = self.max_functions.max(functions);
    }

    /// The milliseconds for a full endpoint list in which one executor has changed.
    fn measure_list_updates(&mut self) -> f64 {
        const UPDATES: u32 = 40;
        let started = cpu_seconds();
        for update in 0..UPDATES {
            let is_ready = update % 2 == 1;
            self.endpoints[0].state = if is_ready {
                EndpointState::Ready
            } else {
                EndpointState::Draining
            };
            let (now, kind) = (self.simulation.now, EndpointUpdateKind::Full);
            self.engine
                .on_endpoint_update(now, kind, &self.endpoints, &mut self.simulation);
        }
        1e3 * (cpu_seconds() - started) / f64::from(UPDATES)
    }
}

fn measure(scenario: &Scenario, executors: u32, cumulative_shares: &[f64]) -> Measurement {
    let mut run = Run::new(scenario, executors);
    let mut arrivals = SeededRandom::new(scenario.seed ^ 0x5eed);
    let end = START + scenario.seconds;
    let middle = START + scenario.seconds / 2.0;
    let (mut started, mut invocations) = (cpu_seconds(), 0u32);
    let mut arrival = START;
    loop {
        let previous = arrival;
        arrival += -(1.0 - arrivals.next_f64()).ln() / scenario.rate;
        if arrival > end {
            break;
        }
        // Only the second half is measured.
        if previous < middle && arrival >= middle {
            (started, invocations) = (cpu_seconds(), 0);
        }
        run.advance_to(arrival);
        run.change_endpoints_if_due();
        run.admit(&mut arrivals, cumulative_shares);
        invocations += 1;
    }
    Measurement {
        microseconds_per_invocation: 1e6 * (cpu_seconds() - started) / f64::from(invocations),
        milliseconds_per_update: run.measure_list_updates(),
        simulation: run.simulation,
        max_functions: run.max_functions,
    }
}

fn main() {
    let scenario = Scenario::from_arguments(std::env::args().skip(1)).unwrap_or_else(|error| {
        eprintln!("{error}");
        std::process::exit(2);
    });
    let cumulative_shares = scenario.cumulative_shares();
    println!(
        "executors   us/invoc  growth  ms/update  decided  digest            succeeded    failed  loads  functions"
    );
    let mut smallest = None;
    for &executors in &scenario.executors {
        let measured = measure(&scenario, executors, &cumulative_shares);
        let per_invocation = measured.microseconds_per_invocation;
        let growth = per_invocation / *smallest.get_or_insert(per_invocation);
        let simulation = measured.simulation;
        println!(
            "{executors:>9}  {per_invocation:>9.2}  {growth:>6.2}  {:>9.2}  {:>7}  {:016x}  {:>9}  {:>8}  {:>5}  {:>9}",
            measured.milliseconds_per_update,
            simulation.decisions,
            simulation.digest,
            simulation.succeeded,
            simulation.failed_invocations,
            simulation.loads,
            measured.max_functions
        );
    }
}
