//! A deployment, a plan, and a simulation of rollouts over virtual time.

#![allow(dead_code)] // Each test file uses only some of the items.

use orchidtally_deployment::{Deployment, Function};
use orchidtally_rollout::coordinator::{Command, CommandError, CoordinatorState};
use orchidtally_rollout::frontend::{FrontEndInfo, InvocationOutcome};
use orchidtally_rollout::split::InvocationAttributes;
use orchidtally_rollout::{Cohort, Coordinator, Phase, Plan, TrafficSplit};

pub const OLD: &str = "1111111111111111111111111111111111111111111111111111111111111111";
pub const NEW: &str = "2222222222222222222222222222222222222222222222222222222222222222";

pub fn deployment() -> Deployment {
    let text = format!(
        r#"{{
            locations: ["north", "south"],
            frontEnds: {{ count: 4 }},
            triggerTypes: [
                {{ name: "look", effect: "idempotent", objective: "1s", timeout: "3s" }},
                {{ name: "act", effect: "nonIdempotent", objective: "1s", timeout: "3s" }},
            ],
            customers: [{{ name: "trial", share: 10 }}, {{ name: "other", share: 10 }}],
            functions: [{{
                name: "mist", lanes: 4, work: "50ms",
                versions: [{{ digest: "sha256:{OLD}" }}, {{ digest: "sha256:{NEW}", lanes: 2 }}],
                aliases: {{ stable: "sha256:{OLD}", next: "sha256:{NEW}" }},
            }}],
            executors: {{ list: [{{ address: "127.0.0.1:7001" }}] }},
        }}"#
    );
    Deployment::parse(&text).unwrap_or_else(|f| panic!("{f:?}"))
}

pub fn plan_text(more: &str) -> String {
    format!(
        r#"{{ name: "misting", function: "mist", to: "next", loadsPerSecond: 0.5, holdback: 0, keepFrom: "5s", {more}
            steps: [
                {{ share: 0.1, leastTime: "5s", leastEvidence: 50 }},
                {{ share: 0.5, leastTime: "5s", leastEvidence: 50 }},
                {{ share: 1, leastTime: "5s", leastEvidence: 50 }},
            ] }}"#
    )
}

pub fn plan(more: &str) -> Plan {
    Plan::read(&plan_text(more), &deployment()).unwrap_or_else(|f| panic!("{f:?}"))
}

pub fn attributes(key: &str) -> InvocationAttributes<'_> {
    InvocationAttributes {
        customer: "other",
        location: "north",
        key,
    }
}

/// A coordinator and front ends over virtual time. The two versions have their own error rates and latencies.
pub struct Simulation {
    pub now: f64,
    pub coordinator: Coordinator,
    pub traffic_splits: Vec<TrafficSplit>,
    pub function: Function,
    pub seed: u64,
    pub rate: u32,
    pub errors: [f64; 2],
    pub latency: [f64; 2],
    /// Whether the new version's error rate applies to an invocation, by trigger type, customer and front end. Other
    /// invocations have the old version's error rate.
    pub is_affected: fn(usize, usize, usize) -> bool,
    /// Fraction of the new version's invocations that take ten times longer.
    pub slow_fraction: f64,
    pub coordinator_reachable: bool,
    pub invocation_count: u32,
}

impl Simulation {
    pub fn new(count: u32) -> Simulation {
        let info = |index| FrontEndInfo {
            index,
            count,
            location: (index % 2) as u16,
            sends_load_commands: false,
            keep_alive: 8.0,
        };
        Simulation {
            now: 1_000.0,
            coordinator: Coordinator::new(CoordinatorState::default(), 7, 1_000.0),
            traffic_splits: (0..count)
                .map(|n| TrafficSplit::new(info(n), 1_000.0))
                .collect(),
            function: deployment().function("mist").unwrap(),
            seed: 1,
            rate: 100,
            errors: [0.02; 2],
            latency: [0.02; 2],
            is_affected: |_, _, _| true,
            slow_fraction: 0.0,
            coordinator_reachable: true,
            invocation_count: 0,
        }
    }

    pub fn random_unit(&mut self) -> f64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn command(&mut self, command: Command) -> Result<(), CommandError> {
        self.coordinator
            .command(self.now, &command, u64::from(self.invocation_count) + 99)
    }

    pub fn start(&mut self, plan: Plan) {
        let command = Command::Start {
            plan: Box::new(plan),
            from: OLD.into(),
            to: NEW.into(),
        };
        self.command(command).unwrap();
    }

    pub fn run_second(&mut self) {
        for n in 0..self.rate {
            let fe = n as usize % self.traffic_splits.len();
            let (ty, customer) = ((n / 3 % 2) as usize, (n / 5 % 2) as usize);
            self.invocation_count += 1;
            let name = self.invocation_count.to_string();
            let function = self.function.clone();
            let resolved = self.traffic_splits[fe]
                .resolve(&function, None, ty, customer, &attributes(&name))
                .unwrap();
            let Some(assignment) = resolved.assignment else {
                continue;
            };
            let cohort = usize::from(assignment.cohort == Cohort::Canary);
            let (error, spread) = (self.random_unit(), 0.5 + self.random_unit());
            let is_affected = (self.is_affected)(ty, customer, fe);
            let error_rate = if is_affected {
                self.errors[cohort]
            } else {
                self.errors[0]
            };
            let slow = if cohort == 1 && self.random_unit() < self.slow_fraction {
                10.0
            } else {
                1.0
            };
            let latency = self.latency[cohort] * spread * slow;
            let outcome = if error < error_rate {
                InvocationOutcome::Errored
            } else {
                InvocationOutcome::Succeeded {
                    latency,
                    warm: true,
                }
            };
            self.traffic_splits[fe].record_outcome(
                &assignment,
                outcome,
                outcome == InvocationOutcome::Errored,
            );
        }
        self.now += 1.0;
        for fe in 0..self.traffic_splits.len() {
            self.traffic_splits[fe].tick(self.now);
            if !self.coordinator_reachable {
                continue;
            }
            let report = self.traffic_splits[fe].report(fe as u64 + 1);
            self.coordinator.record_report(self.now, &report);
            // A report that is sent again, as after a lost response, counts once.
            self.coordinator.record_report(self.now, &report);
        }
        self.coordinator.tick(self.now);
        if self.coordinator_reachable {
            let (now, published, function) = (
                self.now,
                self.coordinator.published().clone(),
                self.function.clone(),
            );
            for traffic_split in &mut self.traffic_splits {
                traffic_split.adopt(now, published.clone(), |_| Some(function.clone()));
                traffic_split.tick(now);
            }
        }
    }

    pub fn run_until(&mut self, seconds: u32, done: impl Fn(&Simulation) -> bool) -> Option<u32> {
        (0..seconds).find(|_| {
            self.run_second();
            done(self)
        })
    }

    pub fn phase(&self) -> Phase {
        self.coordinator.published().rollouts["misting"].phase
    }

    pub fn reason(&self) -> String {
        self.coordinator.published().rollouts["misting"]
            .reason
            .clone()
    }
}
