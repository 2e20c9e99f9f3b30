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
    pub size: Size,
    pub scenario: Scenario,
    pub policy: Policy,
    /// Whether the front ends are told which zones form a region.
    pub regions_known: bool,
    /// Simulated seconds before the measurement: with popular functions thinned, and in all.
    pub warm_up_thinned: f64,
    pub warm_up: f64,
    /// Simulated seconds that are measured.
    pub seconds: f64,
    pub seed: u64,
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
