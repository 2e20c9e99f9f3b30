//! What resolving and splitting costs on the path of an invocation, against resolving where no rollout is on.
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
    let place = FrontEndInfo {
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
    let mut figures = vec![];
    for on in [0, ROLLOUTS] {
        let mut coordinator = Coordinator::new(CoordinatorState::default(), 1, 0.0);
        for n in 0..on {
            // Of the functions that are invoked most.
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
        let mut shares = TrafficSplit::new(place, 0.0);
        shares.adopt(2.0, coordinator.published().clone(), |name| {
            deployment.function(name)
        });
        shares.tick(2.1);
        let (mut best, mut new) = (f64::INFINITY, 0);
        for _ in 0..3 {
            let began = Instant::now();
            for n in 0..INVOCATIONS {
                // Half of the invocations are of a hundredth of the functions.
                let f = if n % 2 == 0 {
                    n / 2 % ROLLOUTS
                } else {
                    n % FUNCTIONS
                };
                let function = deployment
                    .function(&names[f])
                    .unwrap_or_else(|| panic!("no f{f}"));
                let key = shares.sticky_key(&names[f]).is_some();
                let who = InvocationAttributes {
                    customer: "",
                    location: "default",
                    key: &keys[n % keys.len()],
                };
                let resolved = shares
                    .resolve(&function, None, 0, 0, &who)
                    .unwrap_or_else(|| panic!("no version"));
                if let Some(invoked) = &resolved.assignment {
                    new += u64::from(invoked.cohort == Cohort::Canary);
                    shares.record_outcome(
                        invoked,
                        InvocationOutcome::Succeeded {
                            latency: 0.02,
                            warm: true,
                        },
                        false,
                    );
                }
                black_box((key, resolved));
            }
            best = began.elapsed().as_secs_f64().min(best);
        }
        assert_eq!(on > 0, new > 0, "the split is on where rollouts are");
        figures.push(1e9 * best / INVOCATIONS as f64);
    }
    println!(
        "{FUNCTIONS} functions, ns an invocation to find the function, resolve it and count what it outcome to"
    );
    println!("no rollout             {:>7.0}", figures[0]);
    println!("{ROLLOUTS} rollouts, half of all {:>5.0}", figures[1]);
    println!("more by                {:>7.0}", figures[1] - figures[0]);
}
