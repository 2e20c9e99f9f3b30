//! Load score by which executors are compared.

use super::Dispatcher;
use crate::interface::PolicyConfig;
use crate::state::{DecayingMean, ExecutorIndex, LoadEstimate};

/// Time constant with which the weight of a load report decays, in seconds.
const REPORT_TIME_CONSTANT: f64 = 10.0;
/// Smoothing factor of the moving average of reported backlogs.
const SMOOTHING_FACTOR: f64 = 0.015;
/// Penalty on the score of executors in other zones, per unit of the cross-zone cost.
const CROSS_ZONE_FACTOR: f64 = 20.0;

/// Averages of load reports, and the load score that includes them.
pub(super) struct LoadScore {
    /// Mean number of waiting invocations that executors report.
    mean_backlog: f64,
    /// Mean number of loads, in progress or waiting, that executors report.
    pending_loads: DecayingMean,
    /// Factor on the score of executors in other zones.
    cross_zone_factor: f64,
}

impl LoadScore {
    /// Creates the load score of a deployment, without any report.
    pub(super) fn new(config: &PolicyConfig) -> LoadScore {
        LoadScore {
            mean_backlog: 0.0,
            pending_loads: DecayingMean::default(),
            cross_zone_factor: 1.0 + CROSS_ZONE_FACTOR * config.cross_zone_cost,
        }
    }

    /// Adds a reported number of waiting invocations to the mean backlog.
    pub(super) fn record_backlog(&mut self, invocations: f64) {
        self.mean_backlog += SMOOTHING_FACTOR * (invocations - self.mean_backlog);
    }

    /// Adds a reported number of loads, in progress or waiting, to their mean.
    pub(super) fn record_pending_loads(&mut self, loads: f64, now: f64) {
        self.pending_loads.add(loads, now, REPORT_TIME_CONSTANT);
    }

    /// Returns the mean number of loads at an executor, in progress or waiting.
    pub(super) fn mean_pending_loads(&self, now: f64) -> f64 {
        self.pending_loads.at(now, REPORT_TIME_CONSTANT)
    }

    /// Returns the score of an executor with the given load and slow-start weight. The lowest score is preferred. The
    /// score depends on the front end's own dispatches in flight and on the backlog that the executor reported. A
    /// report decays towards the mean backlog, which is also used for an executor without a report. If `load` combines
    /// the best values of several executors, the result is a lower bound of their scores.
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
    /// Returns the load score of an executor.
    pub(super) fn load_score_of(&self, executor: ExecutorIndex) -> f64 {
        self.load_score.score(
            &self.executors.load_of(executor),
            self.slow_start_weight(executor),
            self.now,
        )
    }
}
