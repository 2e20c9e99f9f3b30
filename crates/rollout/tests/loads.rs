//! Ten concurrent rollouts on front ends with real dispatchers over virtual time: the concurrent loads from the package
//! store, with and without the plan's rate of loads, and the load commands against each front end's load budget.

use orchidtally_deployment::Deployment;
use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_rollout::coordinator::{Command, CoordinatorState};
use orchidtally_rollout::frontend::FrontEndInfo;
use orchidtally_rollout::{Coordinator, Plan, TrafficSplit};
use std::collections::BTreeMap;

const FRONT_ENDS: usize = 10;
const EXECUTORS: u8 = 30;
const ROLLOUTS: usize = 10;
/// Duration of a load from the store, and interval of rounds with the coordinator, in seconds.
const LOAD_DURATION: f64 = 1.0;
const ROUND_INTERVAL: f64 = 0.5;

#[derive(Default)]
struct RecordedActions {
    now: f64,
    load_commands: Vec<(f64, ExecutorId, u64)>,
    pending: Vec<(ExecutorId, u64)>,
}

impl Actions for RecordedActions {
    fn load(&mut self, to: ExecutorId, function: u64, _: u8) {
        self.load_commands.push((self.now, to, function));
        self.pending.push((to, function));
    }
    fn dispatch(&mut self, _: u32, _: ExecutorId, _: f64) {}
    fn reject(&mut self, _: u32, _: f64, _: bool) {}
    fn fail(&mut self, _: u32) {}
    fn cancel(&mut self, _: u32, _: u8) {}
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn set_timer(&mut self, _: f64, _: u64) {}
    fn subscribe_to_endpoints(&mut self) {}
}

struct FrontEnd {
    dispatcher: Dispatcher,
    actions: RecordedActions,
    traffic_split: TrafficSplit,
}

fn digest(n: usize) -> String {
    format!("{n:064x}")
}

fn deployment(window: &str) -> Deployment {
    let functions: Vec<String> = (0..ROLLOUTS)
        .map(|n| {
            let (old, new) = (digest(2 * n), digest(2 * n + 1));
            format!(
                "{{ name: 'f{n}', loadTime: '1s', versions: [{{ digest: 'sha256:{old}' }}, {{ digest: 'sha256:{new}' }}], \
                 aliases: {{ stable: 'sha256:{old}', next: 'sha256:{new}' }} }}"
            )
        })
        .collect();
    let executors: Vec<String> = (0..EXECUTORS)
        .map(|n| format!("{{ address: '10.0.0.{n}:7000' }}"))
        .collect();
    let text = format!(
        "{{ frontEnds: {{ count: {FRONT_ENDS} }}, triggerTypes: [{{ name: 'look', effect: 'idempotent', objective: '1s', \
         timeout: '3s' }}], functions: [{}], executors: {{ list: [{}] }}, loading: {{ keepAlive: '30s', rationWindow: '{window}' }} }}",
        functions.join(", "),
        executors.join(", ")
    );
    Deployment::parse(&text).unwrap_or_else(|f| panic!("{f:?}"))
}

struct LoadStatistics {
    /// The most concurrent loads from the store, and the number of all loads.
    peak: usize,
    loads: usize,
    /// Seconds until all front ends know a replica of each rollout.
    ready: Vec<f64>,
    /// The most load commands of one front end in any window of its load budget.
    in_window: usize,
}

fn run_rollouts(rate_limited: bool, window: &str) -> LoadStatistics {
    let deployment = deployment(window);
    let rows = match &deployment.endpoint_source {
        orchidtally_deployment::EndpointSource::Listed(rows) => rows.clone(),
        other => panic!("{other:?}"),
    };
    let mut coordinator = Coordinator::new(CoordinatorState::default(), 1, 0.0);
    for n in 0..ROLLOUTS {
        let text = format!(
            "{{ name: 'r{n}', function: 'f{n}', to: 'next', priority: {n}, loadsPerSecond: 1, \
             steps: [{{ share: 0.1, leastTime: '1000s' }}, {{ share: 1 }}] }}"
        );
        let mut plan = Plan::read(&text, &deployment).unwrap_or_else(|f| panic!("{f:?}"));
        if !rate_limited {
            plan.loads_per_second = 1e9;
        }
        let command = Command::Start {
            plan: Box::new(plan),
            from: digest(2 * n),
            to: digest(2 * n + 1),
        };
        coordinator
            .command(1.0, &command, n as u64 + 1)
            .unwrap_or_else(|r| panic!("{r}"));
    }
    let mut front_ends: Vec<FrontEnd> = (0..FRONT_ENDS)
        .map(|n| {
            let mut actions = RecordedActions {
                now: 100.0,
                ..RecordedActions::default()
            };
            let policy = PolicyConfig {
                front_end_index: n as f64,
                ..deployment.policy.clone()
            };
            let mut dispatcher = Dispatcher::new(policy, n as u64, 100.0, &mut actions);
            dispatcher.on_endpoint_update(100.0, EndpointUpdateKind::Full, &rows, &mut actions);
            let info = FrontEndInfo {
                index: n as u32,
                count: FRONT_ENDS as u32,
                location: 0,
                sends_load_commands: true,
                keep_alive: 30.0,
            };
            let mut traffic_split = TrafficSplit::new(info, 100.0);
            traffic_split.adopt(100.0, coordinator.published().clone(), |name| {
                deployment.function(name)
            });
            FrontEnd {
                dispatcher,
                actions,
                traffic_split,
            }
        })
        .collect();
    // The time from which a replica is loaded, by executor and function.
    let mut replicas: BTreeMap<(ExecutorId, u64), f64> = BTreeMap::new();
    let mut statistics = LoadStatistics {
        peak: 0,
        loads: 0,
        ready: vec![f64::NAN; ROLLOUTS],
        in_window: 0,
    };
    let mut known = [[false; FRONT_ENDS]; ROLLOUTS];
    for step in 0..2_000 {
        let now = 100.0 + 0.1 * f64::from(step);
        for (n, fe) in front_ends.iter_mut().enumerate() {
            fe.actions.now = now;
            for (to, function) in std::mem::take(&mut fe.actions.pending) {
                let at = *replicas.entry((to, function)).or_insert_with(|| {
                    statistics.loads += 1;
                    now + LOAD_DURATION
                });
                if at <= now {
                    fe.dispatcher.on_load_result(
                        now,
                        to,
                        function,
                        DispatchStatus::Ok,
                        &mut fe.actions,
                    );
                } else {
                    fe.actions.pending.push((to, function));
                }
            }
            if step % (ROUND_INTERVAL * 10.0) as i32 != 0 {
                continue;
            }
            for command in fe.traffic_split.prewarm_commands(now) {
                let v = &command.version;
                let request = PrewarmRequest {
                    function: v.key,
                    concurrency: v.concurrency,
                    load_time: v.load_time,
                    replicas: command.replicas,
                };
                let before = fe.actions.load_commands.len();
                let count = fe.dispatcher.prewarm(now, &request, &mut fe.actions);
                let is_sent = fe.actions.load_commands.len() > before;
                // With an exhausted load budget, the first invocations load the replica; this test sends none.
                fe.traffic_split
                    .on_prewarm_result(&command, count, is_sent || count == 0);
                if command.is_new && count > 0 {
                    let rollout = command.run as usize - 1;
                    known[rollout][n] = true;
                    if known[rollout].iter().all(|&k| k) && statistics.ready[rollout].is_nan() {
                        statistics.ready[rollout] = now - 100.0;
                    }
                }
            }
        }
        statistics.peak = statistics
            .peak
            .max(replicas.values().filter(|&&at| at > now).count());
    }
    for fe in &front_ends {
        for (n, command) in fe.actions.load_commands.iter().enumerate() {
            let window = fe.actions.load_commands[n..]
                .iter()
                .take_while(|o| o.0 < command.0 + 5.0)
                .count();
            statistics.in_window = statistics.in_window.max(window);
        }
    }
    statistics
}

#[test]
fn ten_concurrent_rollouts_load_by_priority_without_overloading_the_store() {
    let (rate_limited, not_rate_limited, no_budget) = (
        run_rollouts(true, "5s"),
        run_rollouts(false, "5s"),
        run_rollouts(false, "0s"),
    );
    println!(
        "rate-limited: {} loads, at most {} concurrent, ready {:?}",
        rate_limited.loads, rate_limited.peak, rate_limited.ready
    );
    println!(
        "not rate-limited: {} loads, at most {} concurrent, ready {:?}",
        not_rate_limited.loads, not_rate_limited.peak, not_rate_limited.ready
    );
    println!(
        "no load budget either: {} loads, at most {} concurrent, ready {:?}",
        no_budget.loads, no_budget.peak, no_budget.ready
    );
    for statistics in [&rate_limited, &not_rate_limited] {
        // The load budget's floor is 2 load commands in 5 s, and rollouts may use half of it.
        assert!(
            statistics.in_window <= 1,
            "{} load commands of one front end in a window",
            statistics.in_window
        );
        assert!(
            statistics.ready.iter().all(|r| r.is_finite()),
            "{:?}",
            statistics.ready
        );
        assert!(
            statistics.ready[ROLLOUTS - 1] < statistics.ready[0],
            "the highest priority is ready first: {:?}",
            statistics.ready
        );
    }
    assert!(
        rate_limited.peak <= not_rate_limited.peak && 3 * rate_limited.peak <= no_budget.peak,
        "{} against {}",
        rate_limited.peak,
        no_budget.peak
    );
}
