//! Ten rollouts at once on front ends with real decision modules over simulated time: what their loads come to at
//! the executors' store, in pace and without, and against each front end's ration.

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
/// A load from the store, and one round with the coordinator.
const LOAD: f64 = 1.0;
const ROUND: f64 = 0.5;

#[derive(Default)]
struct Orders {
    now: f64,
    given: Vec<(f64, ExecutorId, u64)>,
    open: Vec<(ExecutorId, u64)>,
}

impl Actions for Orders {
    fn load(&mut self, to: ExecutorId, function: u64, _: u8) {
        self.given.push((self.now, to, function));
        self.open.push((to, function));
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
    orders: Orders,
    shares: TrafficSplit,
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

struct Seen {
    /// Loads at a time at the store, at the most, and in all.
    peak: usize,
    loads: usize,
    /// When each rollout's copies were known at every front end.
    ready: Vec<f64>,
    /// The most orders of one front end in any window of its ration.
    in_window: usize,
}

fn shift(paced: bool, window: &str) -> Seen {
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
        if !paced {
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
            let mut orders = Orders {
                now: 100.0,
                ..Orders::default()
            };
            let policy = PolicyConfig {
                front_end_index: n as f64,
                ..deployment.policy.clone()
            };
            let mut dispatcher = Dispatcher::new(policy, n as u64, 100.0, &mut orders);
            dispatcher.on_endpoint_update(100.0, EndpointUpdateKind::Full, &rows, &mut orders);
            let place = FrontEndInfo {
                index: n as u32,
                count: FRONT_ENDS as u32,
                location: 0,
                sends_load_commands: true,
                keep_alive: 30.0,
            };
            let mut shares = TrafficSplit::new(place, 100.0);
            shares.adopt(100.0, coordinator.published().clone(), |name| {
                deployment.function(name)
            });
            FrontEnd {
                dispatcher,
                orders,
                shares,
            }
        })
        .collect();
    // Copies at executors: loaded from then on.
    let mut copies: BTreeMap<(ExecutorId, u64), f64> = BTreeMap::new();
    let mut seen = Seen {
        peak: 0,
        loads: 0,
        ready: vec![f64::NAN; ROLLOUTS],
        in_window: 0,
    };
    let mut known = [[false; FRONT_ENDS]; ROLLOUTS];
    for step in 0..2_000 {
        let now = 100.0 + 0.1 * f64::from(step);
        for (n, fe) in front_ends.iter_mut().enumerate() {
            fe.orders.now = now;
            for (to, function) in std::mem::take(&mut fe.orders.open) {
                let at = *copies.entry((to, function)).or_insert_with(|| {
                    seen.loads += 1;
                    now + LOAD
                });
                if at <= now {
                    fe.dispatcher.on_load_result(
                        now,
                        to,
                        function,
                        DispatchStatus::Ok,
                        &mut fe.orders,
                    );
                } else {
                    fe.orders.open.push((to, function));
                }
            }
            if step % (ROUND * 10.0) as i32 != 0 {
                continue;
            }
            for ahead in fe.shares.prewarm_commands(now) {
                let v = &ahead.version;
                let wish = PrewarmRequest {
                    function: v.key,
                    concurrency: v.concurrency,
                    load_time: v.load_time,
                    replicas: ahead.replicas,
                };
                let before = fe.orders.given.len();
                let count = fe.dispatcher.prewarm(now, &wish, &mut fe.orders);
                let ordered = fe.orders.given.len() > before;
                // Without a ration to spare the first invocations would bring it; here only orders do.
                fe.shares
                    .on_prewarm_result(&ahead, count, ordered || count == 0);
                if ahead.is_new && count > 0 {
                    let rollout = ahead.run as usize - 1;
                    known[rollout][n] = true;
                    if known[rollout].iter().all(|&k| k) && seen.ready[rollout].is_nan() {
                        seen.ready[rollout] = now - 100.0;
                    }
                }
            }
        }
        seen.peak = seen
            .peak
            .max(copies.values().filter(|&&at| at > now).count());
    }
    for fe in &front_ends {
        for (n, order) in fe.orders.given.iter().enumerate() {
            let window = fe.orders.given[n..]
                .iter()
                .take_while(|o| o.0 < order.0 + 5.0)
                .count();
            seen.in_window = seen.in_window.max(window);
        }
    }
    seen
}

#[test]
fn ten_rollouts_at_once_share_the_loads_by_priority_and_crowd_no_store() {
    let (paced, unpaced, free) = (shift(true, "5s"), shift(false, "5s"), shift(false, "0s"));
    println!(
        "paced: {} loads, {} at a time at the most, ready {:?}",
        paced.loads, paced.peak, paced.ready
    );
    println!(
        "unpaced: {} loads, {} at a time at the most, ready {:?}",
        unpaced.loads, unpaced.peak, unpaced.ready
    );
    println!(
        "no ration either: {} loads, {} at a time at the most, ready {:?}",
        free.loads, free.peak, free.ready
    );
    for seen in [&paced, &unpaced] {
        // The ration's floor is 2 in 5 s, and rollouts have half of it.
        assert!(
            seen.in_window <= 1,
            "{} orders of one front end in a window",
            seen.in_window
        );
        assert!(seen.ready.iter().all(|r| r.is_finite()), "{:?}", seen.ready);
        assert!(
            seen.ready[ROLLOUTS - 1] < seen.ready[0],
            "the greatest priority comes first: {:?}",
            seen.ready
        );
    }
    assert!(
        paced.peak <= unpaced.peak && 3 * paced.peak <= free.peak,
        "{} against {}",
        paced.peak,
        free.peak
    );
}
