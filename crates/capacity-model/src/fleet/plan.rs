//! What one run of the fleet plays.

use super::assumptions::{LANES_PER_CALL_RATE, WAITING_PER_LANE};
use super::executor::Capacity;
use super::scenario::Scenario;
use super::{Fault, Policy};
use crate::size::Size;
use std::ops::Range;

/// Simulated time begins here, so that the policy's clock is far from zero.
pub(super) const START: f64 = 1_000.0;

/// What is run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Size of the fleet.
    pub size: Size,
    /// The course of the run.
    pub scenario: Scenario,
    /// Policy of the front ends.
    pub policy: Policy,
    /// Whether the settings of the front ends say which zones form a region.
    pub regions_known: bool,
    /// Simulated seconds at the start of the warm-up in which calls of popular functions are thinned.
    pub warm_up_thinned: f64,
    /// Simulated seconds of the whole warm-up.
    pub warm_up: f64,
    /// Simulated seconds that are measured.
    pub seconds: f64,
    /// Seed of every random draw.
    pub seed: u64,
    /// Fault that is injected, if any.
    pub fault: Option<Fault>,
}

impl Plan {
    /// The simulated times that are measured.
    pub(super) fn window(&self) -> Range<f64> {
        let start = START + self.warm_up;
        start..start + self.seconds
    }

    /// What each executor can hold and run.
    pub fn capacity(&self) -> Capacity {
        let executors = self.size.executors as f64;
        let lanes = (LANES_PER_CALL_RATE * self.size.calls_per_s / executors)
            .ceil()
            .max(1.0) as usize;
        let copies = (self.size.instances as f64 / executors).ceil().max(1.0) as usize;
        Capacity {
            lanes,
            waiting: WAITING_PER_LANE * lanes,
            copies,
        }
    }
}
