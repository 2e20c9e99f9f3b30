//! CPU time of the engine and the module for one invocation, by executors and functions, in one run: each
//! front end sees the same traffic, and what is metadata is the ratio to the smallest fleet. No sockets.
//!
//! `cargo bench -p orchidtally-engine --bench scale`

use orchidtally_dispatch_policy::interface::*;
use orchidtally_dispatch_policy::random::SeededRandom;
use orchidtally_engine::{Engine, Host, InvocationRequest, ResponseMetadata};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Invocations a second of a front end that is one of few, and of one that is one of hundreds.
const BUSY_RATE: f64 = 2_000.0;
const SPARSE_RATE: f64 = 2.0;
const ANSWER_TIME: f64 = 0.02;

/// Ends each dispatch after the answer time.
#[derive(Default)]
struct BenchHost {
    now_us: u64,
    ends: BinaryHeap<Reverse<(u64, u32, u8)>>,
    load_commands: Vec<(ExecutorId, u64)>,
    succeeded: u64,
    others: u64,
}

impl Host for BenchHost {
    fn admitted(&mut self, _: u32) {}
    fn dispatch(&mut self, invocation: u32, dispatch: u8, _: ExecutorId, _: f64) {
        self.ends.push(Reverse((
            self.now_us + (ANSWER_TIME * 1e6) as u64,
            invocation,
            dispatch,
        )));
    }
    fn cancel(&mut self, _: u32, _: u8) {}
    fn succeeded(&mut self, _: u32, _: u8) {
        self.succeeded += 1;
    }
    fn rejected(&mut self, _: u32, _: f64, _: bool) {
        self.others += 1;
    }
    fn failed(&mut self, _: u32, _: orchidtally_engine::FailureReason, _: bool) {
        self.others += 1;
    }
    fn load(&mut self, to: ExecutorId, function: u64, _: u8) {
        self.load_commands.push((to, function));
    }
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}

fn policy() -> PolicyConfig {
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

fn cpu() -> f64 {
    // Wall time of a single thread that never waits stands for its CPU time; the least of several runs is taken.
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Microseconds for one invocation, and the share that succeeded.
fn run(rate: f64, executors: u32, functions: u64, invocations: u32) -> (f64, f64) {
    let mut host = BenchHost::default();
    let mut engine = Engine::new(policy(), 100_000, 1, 1_000.0, &mut host);
    let rows: Vec<Endpoint> = (0..executors)
        .map(|x| Endpoint {
            executor: ExecutorId(std::net::Ipv4Addr::from(0x0a00_0000 + x).into(), 7000),
            zone: (x % 3) as u8,
            kind: 0,
            cell: 0,
            state: EndpointState::Ready,
            weight: 1.0,
            started_at: f64::NEG_INFINITY,
        })
        .collect();
    engine.on_endpoint_update(1_000.0, EndpointUpdateKind::Full, &rows, &mut host);
    let mut random = SeededRandom::new(3);
    let (mut started, mut counted) = (0.0, 0);
    let now_at = |us: u64| 1_000.0 + us as f64 / 1e6;
    let step = (1e6 / rate) as u64;
    for n in 0..invocations {
        // The first half warms up.
        if n == invocations / 2 {
            started = cpu();
            counted = host.succeeded;
        }
        let arrival = u64::from(n) * step;
        loop {
            let end = host
                .ends
                .peek()
                .map(|Reverse(e)| e.0)
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
            for (to, function) in std::mem::take(&mut host.load_commands) {
                engine.on_load_result(
                    now_at(host.now_us),
                    to,
                    function,
                    DispatchStatus::Ok,
                    &mut host,
                );
            }
        }
        host.now_us = arrival;
        // Popularity falls as one over the rank.
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
            .expect("there is room");
        for (to, function) in std::mem::take(&mut host.load_commands) {
            engine.on_load_result(now, to, function, DispatchStatus::Ok, &mut host);
        }
    }
    let took = cpu() - started;
    let done = host.succeeded - counted;
    let all = f64::from(invocations - invocations / 2);
    (1e6 * took / all, done as f64 / all)
}

fn least(rate: f64, executors: u32, functions: u64, invocations: u32) -> (f64, f64) {
    (0..3)
        .map(|_| run(rate, executors, functions, invocations))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .expect("three runs")
}

fn main() {
    // `cargo test` runs benches too: then a small run is enough to see that it works.
    let quick =
        std::env::args().any(|a| a == "--test") || !std::env::args().any(|a| a == "--bench");
    println!("a second  executors  functions  us an invocation  ratio  succeeded");
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
    for (rate, fleets, invocations) in [
        (BUSY_RATE, &busy[..], 60_000),
        (SPARSE_RATE, &sparse[..], 2_000),
    ] {
        let mut base = None;
        for &(executors, functions) in fleets {
            let (us, succeeded) = least(
                rate,
                executors,
                functions,
                if quick { 1_000 } else { invocations },
            );
            let base = *base.get_or_insert(us);
            println!(
                "{rate:>8}  {executors:>9}  {functions:>9}  {us:>16.2}  {:>5.2}  {:>8.1} %",
                us / base,
                100.0 * succeeded
            );
            assert!(
                succeeded > 0.9,
                "the bench has to measure work that succeeds"
            );
        }
    }
}
