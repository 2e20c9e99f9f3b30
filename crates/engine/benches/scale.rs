//! CPU time of the engine and the dispatch policy per invocation, by the number of executors and functions, without
//! sockets.
//!
//! All fleets are measured in one run with the same traffic; the meaningful result is the ratio to the smallest fleet.
//!
//! `cargo bench -p orchidtally-engine --bench scale`

use orchidtally_dispatch_policy::interface::*;
use orchidtally_dispatch_policy::random::SeededRandom;
use orchidtally_engine::{Engine, Host, InvocationRequest, ResponseMetadata};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Invocations per second at a front end of a small group, and at one of hundreds.
const BUSY_RATE: f64 = 2_000.0;
const SPARSE_RATE: f64 = 2.0;
/// The duration of a dispatch in seconds.
const RESPONSE_TIME: f64 = 0.02;

/// Ends each dispatch after [`RESPONSE_TIME`].
#[derive(Default)]
struct BenchHost {
    now_us: u64,
    ends: BinaryHeap<Reverse<(u64, u32, u8)>>,
    load_commands: Vec<(ExecutorId, u64)>,
    succeeded: u64,
    not_succeeded: u64,
}

impl Host for BenchHost {
    fn admitted(&mut self, _: u32) {}
    fn dispatch(&mut self, invocation: u32, dispatch: u8, _: ExecutorId, _: f64) {
        self.ends.push(Reverse((
            self.now_us + (RESPONSE_TIME * 1e6) as u64,
            invocation,
            dispatch,
        )));
    }
    fn cancel(&mut self, _: u32, _: u8) {}
    fn succeeded(&mut self, _: u32, _: u8) {
        self.succeeded += 1;
    }
    fn rejected(&mut self, _: u32, _: f64, _: bool) {
        self.not_succeeded += 1;
    }
    fn failed(&mut self, _: u32, _: orchidtally_engine::FailureReason, _: bool) {
        self.not_succeeded += 1;
    }
    fn load(&mut self, executor: ExecutorId, function: u64, _: u8) {
        self.load_commands.push((executor, function));
    }
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}

fn config() -> PolicyConfig {
    let trigger_type = TriggerType {
        latency_objective: 0.5,
        objective_work_factor: 0.0,
        client_timeout: 5.0,
        billed_value: 1.0,
        late_value_fraction: 0.2,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0.0,
    };
    PolicyConfig {
        trigger_types: vec![trigger_type],
        front_ends: 4.0,
        clock_tick: 0.002,
        max_dispatches: 4,
        allows_cancellation: true,
        max_retry_after: 1.0,
        slow_start_duration: 15.0,
        slow_start_initial_weight: 0.2,
        overload_factor: 2.0,
        overload_window: 1.0,
        allows_load_commands: true,
        reports_concurrency: true,
        keep_alive: 10.0,
        load_budget_floor: 2.0,
        load_budget_fraction: 0.2,
        load_budget_window: 5.0,
        backlog_field: Some(0),
        pending_loads_field: None,
        ..PolicyConfig::default()
    }
}

fn elapsed_seconds() -> f64 {
    // The wall time approximates the CPU time of a single thread that never waits; the least of several runs counts.
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// The microseconds per invocation, and the fraction of the invocations that succeeded.
fn run(rate: f64, executors: u32, functions: u64, invocations: u32) -> (f64, f64) {
    let mut host = BenchHost::default();
    let mut engine = Engine::new(config(), 100_000, 1, 1_000.0, &mut host);
    let endpoints: Vec<Endpoint> = (0..executors)
        .map(|number| Endpoint {
            executor: ExecutorId(std::net::Ipv4Addr::from(0x0a00_0000 + number).into(), 7000),
            zone: (number % 3) as u8,
            kind: 0,
            cell: 0,
            state: EndpointState::Ready,
            weight: 1.0,
            started_at: f64::NEG_INFINITY,
        })
        .collect();
    engine.on_endpoint_update(1_000.0, EndpointUpdateKind::Full, &endpoints, &mut host);
    let mut random = SeededRandom::new(3);
    let (mut started_at, mut succeeded_before) = (0.0, 0);
    let now_at = |us: u64| 1_000.0 + us as f64 / 1e6;
    let step = (1e6 / rate) as u64;
    for n in 0..invocations {
        // The first half is the warm-up.
        if n == invocations / 2 {
            started_at = elapsed_seconds();
            succeeded_before = host.succeeded;
        }
        let arrival = u64::from(n) * step;
        loop {
            let end = host
                .ends
                .peek()
                .map(|Reverse(end)| end.0)
                .filter(|&at| at <= arrival);
            let due = engine.next_deadline();
            let due_us = ((due - 1_000.0).max(0.0) * 1e6).ceil();
            match end {
                Some(at) if at as f64 <= due_us => {
                    let Some(Reverse((at, invocation, dispatch))) = host.ends.pop() else {
                        break;
                    };
                    host.now_us = at;
                    let metadata = ResponseMetadata {
                        replica_state: ReplicaState::Warm,
                        function_concurrency: 1,
                        load_report: &[0.5],
                    };
                    engine.on_dispatch_result(
                        now_at(at),
                        invocation,
                        dispatch,
                        DispatchStatus::Ok,
                        metadata,
                        &mut host,
                    );
                }
                _ if due_us <= arrival as f64 => {
                    host.now_us = host.now_us.max(due_us as u64);
                    engine.run_due_timers(now_at(host.now_us).max(due), &mut host);
                }
                _ => break,
            }
            for (executor, function) in std::mem::take(&mut host.load_commands) {
                engine.on_load_result(
                    now_at(host.now_us),
                    executor,
                    function,
                    DispatchStatus::Ok,
                    &mut host,
                );
            }
        }
        host.now_us = arrival;
        // The popularity of a function is inversely proportional to its rank.
        let function = (functions as f64).powf(random.next_f64()) as u64;
        let now = now_at(arrival);
        let request = InvocationRequest {
            trigger_type: 0,
            customer: 0,
            function: function.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            is_retry: false,
            is_migrated: false,
            timeout_at: now + 5.0,
            expected_work: None,
            concurrency: 4.0,
            load_time: Some(0.2),
        };
        engine
            .admit(now, &request, &mut host)
            .expect("the limit of open invocations is not reached");
        for (executor, function) in std::mem::take(&mut host.load_commands) {
            engine.on_load_result(now, executor, function, DispatchStatus::Ok, &mut host);
        }
    }
    let elapsed = elapsed_seconds() - started_at;
    let succeeded = host.succeeded - succeeded_before;
    let invocations_counted = f64::from(invocations - invocations / 2);
    (
        1e6 * elapsed / invocations_counted,
        succeeded as f64 / invocations_counted,
    )
}

fn fastest_of_three(rate: f64, executors: u32, functions: u64, invocations: u32) -> (f64, f64) {
    (0..3)
        .map(|_| run(rate, executors, functions, invocations))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .expect("three runs")
}

fn main() {
    // `cargo test` runs benches too; a small run then suffices to check that they work.
    let is_short_run = std::env::args().any(|argument| argument == "--test")
        || !std::env::args().any(|argument| argument == "--bench");
    println!("   per s  executors  functions  us/invocation  ratio  succeeded");
    let busy = [
        (10, 1_000),
        (36, 1_000),
        (100, 1_000),
        (500, 1_000),
        (1_024, 1_000),
        (100, 10),
        (100, 100_000),
    ];
    let sparse = [(36, 100), (300, 100), (1_024, 100)];
    for (rate, sizes, invocations) in [
        (BUSY_RATE, &busy[..], 60_000),
        (SPARSE_RATE, &sparse[..], 2_000),
    ] {
        let mut smallest = None;
        for &(executors, functions) in sizes {
            let (us, succeeded) = fastest_of_three(
                rate,
                executors,
                functions,
                if is_short_run { 1_000 } else { invocations },
            );
            let smallest = *smallest.get_or_insert(us);
            println!(
                "{rate:>8}  {executors:>9}  {functions:>9}  {us:>13.2}  {:>5.2}  {:>8.1} %",
                us / smallest,
                100.0 * succeeded
            );
            assert!(
                succeeded > 0.9,
                "the benchmark requires invocations that succeed"
            );
        }
    }
}
