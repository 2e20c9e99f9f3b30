//! Events of a scenario: failures, and the endpoint updates that follow from them.

use super::assumptions::*;
use super::topology::Topology;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;

/// The region that is cut off, and the zone and rack that are lost.
const CUT_REGION: u8 = 2;
const LOST_ZONE: u8 = 0;

/// The course of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing fails.
    Calm,
    /// A rack loses its switch for good.
    RackLost,
    /// A zone loses its power, with its front ends, and comes back cold.
    ZoneLost,
    /// A region is cut off from the others and from the store.
    RegionCut,
    /// A day's restarts, one after the other.
    Restarts,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 5] = [
        Scenario::Calm,
        Scenario::RackLost,
        Scenario::ZoneLost,
        Scenario::RegionCut,
        Scenario::Restarts,
    ];

    /// Its name in rows and progress.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Calm => "calm",
            Scenario::RackLost => "rack_lost",
            Scenario::ZoneLost => "zone_lost",
            Scenario::RegionCut => "region_cut",
            Scenario::Restarts => "restarts",
        }
    }

    /// How many times as long as the calm run it is measured: of outages that end, what comes after them is seen too.
    /// From 9 seconds of a calm run on, a lost zone outlasts the leases of its executors.
    pub fn length(self) -> f64 {
        match self {
            Scenario::Calm | Scenario::RackLost | Scenario::Restarts => 1.0,
            Scenario::ZoneLost | Scenario::RegionCut => 2.5,
        }
    }

    /// When what is lost or cut off is so, within the measured window.
    pub fn outage(self, window: &Range<f64>) -> Range<f64> {
        let length = window.end - window.start;
        let at = |share: f64| window.start + share * length;
        match self {
            Scenario::Calm | Scenario::Restarts => window.end..window.end,
            Scenario::RackLost => at(0.1)..f64::INFINITY,
            Scenario::ZoneLost => at(0.05)..at(0.65),
            Scenario::RegionCut => at(0.05)..at(0.85),
        }
    }

    /// The steps of it, in order of time.
    pub fn steps(self, topology: &Topology, window: &Range<f64>, seed: u64) -> Vec<Step> {
        let outage = self.outage(window);
        let mut steps = match self {
            Scenario::Calm => vec![],
            Scenario::RackLost => {
                let rack = topology.racks[0];
                let executors = (0..topology.executors.len())
                    .filter(|&executor| topology.racks[executor] == rack);
                outage_steps(executors.map(Machine::Executor).collect(), &outage)
            }
            Scenario::ZoneLost => outage_steps(machines_of_zone(topology, LOST_ZONE), &outage),
            Scenario::RegionCut => cut_steps(topology, &outage),
            Scenario::Restarts => restart_steps(topology, window, seed),
        };
        steps.sort_by(|a, b| a.at.total_cmp(&b.at));
        steps
    }
}

/// The region that a scenario cuts off.
pub fn cut_region(scenario: Scenario) -> Option<u8> {
    (scenario == Scenario::RegionCut).then_some(CUT_REGION)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Machine {
    FrontEnd(usize),
    Executor(usize),
}

/// How a machine goes down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// Its process ends: connections are reset and refused.
    Restarting,
    /// Nothing comes back from it any more.
    Silent,
}

/// State of executors in an endpoint update of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Ready,
    Gone,
}

/// A change of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Down(Vec<Machine>, Down),
    Up(Vec<Machine>),
    /// A region is cut off from the others.
    Cut(u8),
    Healed,
    /// The store sends an endpoint update; front ends that are cut off from it do not get it.
    EndpointUpdate(Vec<usize>, Listed),
    /// The front ends of a region have, or have not, a part of what is strictly shared.
    BudgetShare(u8, bool),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: f64,
    pub change: Change,
}

fn machines_of_zone(topology: &Topology, zone: u8) -> Vec<Machine> {
    let front_ends =
        (0..topology.front_ends.len()).filter(|&n| topology.front_ends[n].zone == zone);
    let executors =
        (0..topology.executors.len()).filter(|&executor| topology.executors[executor].zone == zone);
    front_ends
        .map(Machine::FrontEnd)
        .chain(executors.map(Machine::Executor))
        .collect()
}

fn executors_among(machines: &[Machine]) -> Vec<usize> {
    let executor = |machine: &Machine| match machine {
        Machine::Executor(executor) => Some(*executor),
        Machine::FrontEnd(_) => None,
    };
    machines.iter().filter_map(executor).collect()
}

/// Machines that are silent for a time; the store sends endpoint updates when the leases of executors expire, and when
/// they are back.
fn outage_steps(machines: Vec<Machine>, outage: &Range<f64>) -> Vec<Step> {
    let executors = executors_among(&machines);
    let mut steps = vec![Step {
        at: outage.start,
        change: Change::Down(machines.clone(), Down::Silent),
    }];
    let expires_at = outage.start + EXECUTOR_LEASE;
    if expires_at < outage.end {
        steps.push(Step {
            at: expires_at,
            change: Change::EndpointUpdate(executors.clone(), Listed::Gone),
        });
    }
    if outage.end.is_finite() {
        steps.push(Step {
            at: outage.end,
            change: Change::Up(machines),
        });
        steps.push(Step {
            at: outage.end,
            change: Change::EndpointUpdate(executors, Listed::Ready),
        });
    }
    steps
}

fn cut_steps(topology: &Topology, outage: &Range<f64>) -> Vec<Step> {
    let of_region = |executor: &usize| topology.executors[*executor].region == CUT_REGION;
    let executors: Vec<usize> = (0..topology.executors.len()).filter(of_region).collect();
    let part = executors.len() as f64 / topology.executors.len() as f64;
    let held = if part > MASS_EXPIRY_FRACTION {
        MASS_EXPIRY_RETENTION
    } else {
        0.0
    };
    let gone_at = outage.start + EXECUTOR_LEASE + held;
    let mut steps = vec![
        Step {
            at: outage.start,
            change: Change::Cut(CUT_REGION),
        },
        Step {
            at: outage.start + BUDGET_SHARE_DELAY,
            change: Change::BudgetShare(CUT_REGION, false),
        },
        Step {
            at: outage.end,
            change: Change::Healed,
        },
        Step {
            at: outage.end + BUDGET_SHARE_DELAY,
            change: Change::BudgetShare(CUT_REGION, true),
        },
    ];
    if gone_at < outage.end {
        steps.push(Step {
            at: gone_at,
            change: Change::EndpointUpdate(executors.clone(), Listed::Gone),
        });
        steps.push(Step {
            at: outage.end,
            change: Change::EndpointUpdate(executors, Listed::Ready),
        });
    }
    steps
}

/// Each restart hits any machine, front end or executor, with equal chance; no machine twice.
fn restart_steps(topology: &Topology, window: &Range<f64>, seed: u64) -> Vec<Step> {
    let front_ends = (0..topology.front_ends.len()).map(Machine::FrontEnd);
    let mut machines: Vec<Machine> = front_ends
        .chain((0..topology.executors.len()).map(Machine::Executor))
        .collect();
    let restarts = RESTARTS.min(machines.len() / 4);
    let spacing = (window.end - window.start) / (restarts + 1) as f64;
    let mut random = StdRng::seed_from_u64(seed);
    let mut steps = vec![];
    for restart in 1..=restarts {
        let drawn = random.random_range(0..machines.len());
        let machine = machines.swap_remove(drawn);
        let at = window.start + spacing * restart as f64;
        let back_at = at + RESTART_TIME;
        steps.push(Step {
            at,
            change: Change::Down(vec![machine], Down::Restarting),
        });
        steps.push(Step {
            at: back_at,
            change: Change::Up(vec![machine]),
        });
        let executors = executors_among(&[machine]);
        if !executors.is_empty() {
            steps.push(Step {
                at: back_at,
                change: Change::EndpointUpdate(executors, Listed::Ready),
            });
        }
    }
    steps
}
