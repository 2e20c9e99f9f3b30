//! What "less loaded" means when executors are compared.

use super::Dispatcher;
use crate::interface::PolicyConfig;
use crate::state::{DecayingMean, ExecutorIndex, LoadEstimate};

/// Time constant in which a report loses its weight, in seconds.
const REPORT_TIME_CONSTANT: f64 = 10.0;
/// Weight of the newest report in the mean backlog.
const SMOOTHING_FACTOR: f64 = 0.015;
/// How much more loaded an executor in another zone counts, in costs of a dispatch to another zone.
const CROSS_ZONE_FACTOR: f64 = 20.0;

/// What load reports say in the mean, and the score that they are part of.
pub(super) struct LoadScore {
    /// Mean of the invocations reported waiting at an executor.
    mean_backlog: f64,
    /// Mean of the loads reported under way or waiting at an executor.
    pending_loads: DecayingMean,
    /// Factor on the score of executors in other zones.
    cross_zone_factor: f64,
}

impl LoadScore {
    /// A score without any report.
    pub(super) fn new(config: &PolicyConfig) -> LoadScore {
        LoadScore {
            mean_backlog: 0.0,
            pending_loads: DecayingMean::default(),
            cross_zone_factor: 1.0 + CROSS_ZONE_FACTOR * config.cross_zone_cost,
        }
    }

    /// Takes a report of invocations waiting at an executor.
    pub(super) fn record_backlog(&mut self, invocations: f64) {
        self.mean_backlog += SMOOTHING_FACTOR * (invocations - self.mean_backlog);
    }

    /// Takes a report of loads under way or waiting at an executor.
    pub(super) fn record_pending_loads(&mut self, loads: f64, now: f64) {
        self.pending_loads.add(loads, now, REPORT_TIME_CONSTANT);
    }

    /// Mean of the loads under way or waiting at an executor.
    pub(super) fn mean_pending_loads(&self, now: f64) -> f64 {
        self.pending_loads.at(now, REPORT_TIME_CONSTANT)
    }

    /// The score of an executor of some load and slow-start weight; the least is preferred. It goes by the own
    /// dispatches in flight and the backlog that the executor reported; a report fades to the mean, which also stands
    /// for an executor without a report. Of the best of several loads, it is the least score that any can have.
    pub(super) fn score(&self, load: &LoadEstimate, slow_start_weight: f64, now: f64) -> f64 {
        let reported_at = if load.backlog > self.mean_backlog {
            load.earliest_report_at
        } else {
            load.latest_report_at
        };
        let freshness = (-(now - reported_at) / REPORT_TIME_CONSTANT).exp();
        let in_flight =
            load.in_flight + self.mean_backlog + freshness * (load.backlog - self.mean_backlog);
        let zone_factor = if load.is_local {
            1.0
        } else {
            self.cross_zone_factor
        };
        zone_factor * (in_flight + 1.0) / (load.weight * slow_start_weight)
    }
}

impl Dispatcher {
    /// The load score of an executor.
    pub(super) fn load_score_of(&self, executor: ExecutorIndex) -> f64 {
        self.load_score.score(
            &self.executors.load_of(executor),
            self.slow_start_weight(executor),
            self.now,
        )
    }
}
