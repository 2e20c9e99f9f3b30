//! A deployment and a plan, and rollouts over simulated time.

#![allow(dead_code)] // Each test file uses a part of it.

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

pub fn who(key: &str) -> InvocationAttributes<'_> {
    InvocationAttributes {
        customer: "other",
        location: "north",
        key,
    }
}

/// A coordinator and some front ends over simulated time; a version has a chance of errors and a latency.
pub struct World {
    pub now: f64,
    pub coordinator: Coordinator,
    pub shares: Vec<TrafficSplit>,
    pub function: Function,
    pub seed: u64,
    pub rate: u32,
    pub errors: [f64; 2],
    pub latency: [f64; 2],
    /// Of the new version's invocations only these have its errors: by trigger type, customer, front end.
    pub only: fn(usize, usize, usize) -> bool,
    /// Of the new version's, those that take ten times longer.
    pub tail: f64,
    pub reached: bool,
    pub names: u32,
}

impl World {
    pub fn new(count: u32) -> World {
        let place = |index| FrontEndInfo {
            index,
            count,
            location: (index % 2) as u16,
            sends_load_commands: false,
            keep_alive: 8.0,
        };
        World {
            now: 1_000.0,
            coordinator: Coordinator::new(CoordinatorState::default(), 7, 1_000.0),
            shares: (0..count)
                .map(|n| TrafficSplit::new(place(n), 1_000.0))
                .collect(),
            function: deployment().function("mist").unwrap(),
            seed: 1,
            rate: 100,
            errors: [0.02; 2],
            latency: [0.02; 2],
            only: |_, _, _| true,
            tail: 0.0,
            reached: true,
            names: 0,
        }
    }

    pub fn unit(&mut self) -> f64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn order(&mut self, command: Command) -> Result<(), CommandError> {
        self.coordinator
            .command(self.now, &command, u64::from(self.names) + 99)
    }

    pub fn start(&mut self, plan: Plan) {
        let command = Command::Start {
            plan: Box::new(plan),
            from: OLD.into(),
            to: NEW.into(),
        };
        self.order(command).unwrap();
    }

    pub fn second(&mut self) {
        for n in 0..self.rate {
            let fe = n as usize % self.shares.len();
            let (ty, customer) = ((n / 3 % 2) as usize, (n / 5 % 2) as usize);
            self.names += 1;
            let name = self.names.to_string();
            let function = self.function.clone();
            let resolved = self.shares[fe]
                .resolve(&function, None, ty, customer, &who(&name))
                .unwrap();
            let Some(invoked) = resolved.assignment else {
                continue;
            };
            let arm = usize::from(invoked.cohort == Cohort::Canary);
            let (error, spread) = (self.unit(), 0.5 + self.unit());
            let meant = (self.only)(ty, customer, fe);
            let random = if meant {
                self.errors[arm]
            } else {
                self.errors[0]
            };
            let slow = if arm == 1 && self.unit() < self.tail {
                10.0
            } else {
                1.0
            };
            let latency = self.latency[arm] * spread * slow;
            let outcome = if error < random {
                InvocationOutcome::Errored
            } else {
                InvocationOutcome::Succeeded {
                    latency,
                    warm: true,
                }
            };
            self.shares[fe].record_outcome(
                &invoked,
                outcome,
                outcome == InvocationOutcome::Errored,
            );
        }
        self.now += 1.0;
        for fe in 0..self.shares.len() {
            self.shares[fe].tick(self.now);
            if !self.reached {
                continue;
            }
            let told = self.shares[fe].report(fe as u64 + 1);
            self.coordinator.record_report(self.now, &told);
            // Told again, as after a lost answer, it counts once.
            self.coordinator.record_report(self.now, &told);
        }
        self.coordinator.tick(self.now);
        if self.reached {
            let (now, published, function) = (
                self.now,
                self.coordinator.published().clone(),
                self.function.clone(),
            );
            for shares in &mut self.shares {
                shares.adopt(now, published.clone(), |_| Some(function.clone()));
                shares.tick(now);
            }
        }
    }

    pub fn until(&mut self, seconds: u32, done: impl Fn(&World) -> bool) -> Option<u32> {
        (0..seconds).find(|_| {
            self.second();
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
