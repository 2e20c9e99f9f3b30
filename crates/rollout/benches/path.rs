//! Measures the cost of resolving a version and counting its outcome on the path of an invocation, with and without
//! rollouts in progress.
//!
//! `cargo bench -p orchidtally-rollout --bench path`

use orchidtally_deployment::Deployment;
use orchidtally_rollout::coordinator::{Command, CoordinatorState};
use orchidtally_rollout::evidence::Cohort;
use orchidtally_rollout::frontend::{FrontEndInfo, InvocationOutcome};
use orchidtally_rollout::split::InvocationAttributes;
use orchidtally_rollout::{Coordinator, Plan, TrafficSplit};
use std::hint::black_box;
use std::time::Instant;

const FUNCTIONS: usize = 10_000;
const ROLLOUTS: usize = 100;
const INVOCATIONS: usize = 1_000_000;

fn digest(n: usize) -> String {
    format!("{n:064x}")
}

fn main() {
    let functions: Vec<String> = (0..FUNCTIONS)
        .map(|n| {
            let (old, new) = (digest(2 * n), digest(2 * n + 1));
            format!(
                "{{ name: 'f{n}', versions: [{{ digest: 'sha256:{old}' }}, {{ digest: 'sha256:{new}' }}], \
                 aliases: {{ stable: 'sha256:{old}', next: 'sha256:{new}' }} }}"
            )
        })
        .collect();
    let text = format!(
        "{{ triggerTypes: [{{ name: 'look', effect: 'idempotent', objective: '1s', timeout: '3s' }}], \
         functions: [{}], executors: {{ list: [{{ address: '127.0.0.1:7001' }}] }} }}",
        functions.join(", ")
    );
    let deployment = Deployment::parse(&text).unwrap_or_else(|f| panic!("{:?}", &f[..1]));
    let info = FrontEndInfo {
        index: 0,
        count: 1,
        location: 0,
        sends_load_commands: false,
        keep_alive: 8.0,
    };
    let names: Vec<String> = (0..FUNCTIONS).map(|n| format!("f{n}")).collect();
    let keys: Vec<String> = (0..1_000u64)
        .map(|n| format!("{:016x}", n * 0x9e37_79b9))
        .collect();
    let mut nanoseconds = vec![];
    for rollouts in [0, ROLLOUTS] {
        let mut coordinator = Coordinator::new(CoordinatorState::default(), 1, 0.0);
        for n in 0..rollouts {
            // The rollouts are of the most invoked functions.
            let plan = format!(
                "{{ name: 'r{n}', function: 'f{n}', to: 'next', loadsPerSecond: 0.1, steps: [{{ share: 0.3 }}, {{ share: 1 }}] }}"
            );
            let plan = Plan::read(&plan, &deployment).unwrap_or_else(|f| panic!("{f:?}"));
            let command = Command::Start {
                plan: Box::new(plan),
                from: digest(2 * n),
                to: digest(2 * n + 1),
            };
            coordinator
                .command(1.0, &command, n as u64 + 1)
                .unwrap_or_else(|r| panic!("{r}"));
        }
        let mut traffic_split = TrafficSplit::new(info, 0.0);
        traffic_split.adopt(2.0, coordinator.published().clone(), |name| {
            deployment.function(name)
        });
        traffic_split.tick(2.1);
        let (mut best, mut new) = (f64::INFINITY, 0);
        for _ in 0..3 {
            let started = Instant::now();
            for n in 0..INVOCATIONS {
                // Half of the invocations are of 1 % of the functions.
                let f = if n % 2 == 0 {
                    n / 2 % ROLLOUTS
                } else {
                    n % FUNCTIONS
                };
                let function = deployment
                    .function(&names[f])
                    .unwrap_or_else(|| panic!("no f{f}"));
                let key = traffic_split.sticky_key(&names[f]).is_some();
                let attributes = InvocationAttributes {
                    customer: "",
                    location: "default",
                    key: &keys[n % keys.len()],
                };
                let resolved = traffic_split
                    .resolve(&function, None, 0, 0, &attributes)
                    .unwrap_or_else(|| panic!("no version"));
                if let Some(assignment) = &resolved.assignment {
                    new += u64::from(assignment.cohort == Cohort::Canary);
                    traffic_split.record_outcome(
                        assignment,
                        InvocationOutcome::Succeeded {
                            latency: 0.02,
                            warm: true,
                        },
                        false,
                    );
                }
                black_box((key, resolved));
            }
            best = started.elapsed().as_secs_f64().min(best);
        }
        assert_eq!(
            rollouts > 0,
            new > 0,
            "the traffic is split if and only if there are rollouts"
        );
        nanoseconds.push(1e9 * best / INVOCATIONS as f64);
    }
    println!(
        "{FUNCTIONS} functions, ns an invocation to find the function, resolve its version and count its outcome"
    );
    println!("no rollout             {:>7.0}", nanoseconds[0]);
    println!("{ROLLOUTS} rollouts, half of all {:>5.0}", nanoseconds[1]);
    println!(
        "difference             {:>7.0}",
        nanoseconds[1] - nanoseconds[0]
    );
}
