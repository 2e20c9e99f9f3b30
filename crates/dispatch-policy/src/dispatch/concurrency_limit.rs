//! Adaptive limit of the dispatches in flight at an executor. It grows exponentially while latencies are low and is
//! decreased by a factor when the median latency approaches the latency objective.

use super::Dispatcher;
use super::time_slots::slot_offset;
use super::traffic::TRAFFIC_TIME_CONSTANT;
use crate::state::ExecutorIndex;

/// Initial and highest limit, in dispatches in flight of one front end at one executor.
const MAX_LIMIT: f64 = 10.0;
/// Lowest limit of all front ends together, in dispatches in flight at one executor.
const MIN_SHARED_LIMIT: f64 = 9.0;
/// Factor by which the limit is decreased.
const DECREASE_FACTOR: f64 = 0.6;
/// Exponential growth rate per second.
const GROWTH_RATE: f64 = 0.15;
/// Median latency above which the limit is decreased, in latency objectives.
const MAX_TYPICAL_LATENCY: f64 = 0.3;
/// Initial estimate of the median latency, in latency objectives.
const INITIAL_TYPICAL_LATENCY: f64 = MAX_TYPICAL_LATENCY / 3.0;
/// Factor by which each latency raises or lowers the estimate of the median.
const MEDIAN_STEP: f64 = 1.1;
/// Lower bound of the limit, as a multiple of the dispatches that the front end's own traffic has in flight at an
/// executor at baseline latency. The margin covers dispatches that wait for loads.
const OWN_TRAFFIC_FACTOR: f64 = 4.0;
/// Length in seconds of the time slots in which front ends take turns to use the fractional part of the limit.
const SLOT_DURATION: f64 = 0.1;

/// Initial backoff after a `Full` result, in seconds.
///
/// Failure mode: front ends flood executors that reject everything because they are overloaded or draining.
/// Risk: an executor that was full only for a moment receives no dispatches during the backoff.
pub(super) const FULL_BACKOFF: f64 = 0.1;
/// Maximum number of times the backoff is doubled while no dispatch succeeds.
pub(super) const MAX_FULL_DOUBLINGS: i32 = 4;

/// Concurrency limit and the median latency that controls it. Times are in seconds.
pub(super) struct ConcurrencyLimit {
    /// Dispatches in flight at an executor.
    limit: f64,
    /// Estimate of the median latency, in latency objectives.
    typical_latency: f64,
    decreased_at: f64,
    updated_at: f64,
}

/// Number of dispatches that may be in flight.
#[derive(Clone, Copy)]
pub(super) struct Capacity {
    limit: f64,
    /// Whether the limit applies to the dispatches in flight at all executors together instead of at each executor.
    is_fleet_wide: bool,
}

impl Capacity {
    /// Whether an executor without dispatches in flight always has capacity.
    pub(super) fn admits_idle(self) -> bool {
        !self.is_fleet_wide
    }
}

impl ConcurrencyLimit {
    /// Creates the highest limit, before any latency is known.
    pub(super) fn new() -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: MAX_LIMIT,
            typical_latency: INITIAL_TYPICAL_LATENCY,
            decreased_at: 0.0,
            updated_at: 0.0,
        }
    }

    /// Returns the estimate of the median latency, in latency objectives.
    pub(super) fn typical_latency(&self) -> f64 {
        self.typical_latency
    }

    /// Updates the limit with the latency, in latency objectives, of a dispatch sent at `sent_at`. The limit follows
    /// the median because a heavy invocation or one that waited for a load does not indicate overload. A dispatch sent
    /// before the last decrease does not decrease the limit again.
    ///
    /// Failure mode: executors are overloaded, for any reason.
    /// Risk: throughput is lower if work takes long by nature.
    pub(super) fn record_latency(&mut self, latency: f64, sent_at: f64, now: f64, front_ends: f64) {
        self.typical_latency *= if latency > self.typical_latency {
            MEDIAN_STEP
        } else {
            1.0 / MEDIAN_STEP
        };
        if self.typical_latency <= MAX_TYPICAL_LATENCY {
            let growth = (GROWTH_RATE * (now - self.updated_at)).exp();
            self.limit *= growth.min(MAX_LIMIT / self.limit);
        } else if sent_at > self.decreased_at {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_SHARED_LIMIT / front_ends);
            self.decreased_at = now;
        }
        self.updated_at = now;
    }

    /// Returns the capacity for an invocation to which `fraction` of the limit is available. `own_work` is the recent
    /// work of this front end in seconds, `ready` the number of ready executors. However small the fraction is, all
    /// front ends together may have one dispatch in flight at each executor.
    ///
    /// Failure mode: a trigger type without results has a high initial baseline latency and therefore a low priority
    /// weight, so it would never be served. After a decrease, an equal share of the limit is too small for a front end
    /// with several times the mean traffic, and the few results that it gets let the limit grow slowly.
    /// Risk: executors at their limit receive more dispatches while latencies are low.
    fn capacity(&self, fraction: f64, own_work: f64, ready: f64, front_ends: f64) -> Capacity {
        let own_traffic = OWN_TRAFFIC_FACTOR * own_work / TRAFFIC_TIME_CONSTANT / ready;
        let limit = (self.limit.max(own_traffic) * fraction).max(1.0 / front_ends);
        // Failure mode: a front end with little traffic waits for its turn at the few executors that have a replica it
        // knows.
        // Risk: all of its traffic may go to one executor.
        let is_fleet_wide = limit < 1.0;
        Capacity {
            limit: if is_fleet_wide { limit * ready } else { limit },
            is_fleet_wide,
        }
    }
}

impl Dispatcher {
    /// Returns the capacity for an invocation to which `fraction` of the concurrency limit is available.
    pub(super) fn capacity(&self, fraction: f64) -> Capacity {
        self.concurrency_limit.capacity(
            fraction,
            self.traffic.work(self.now),
            self.executors.ready_count().max(1) as f64,
            self.membership.front_ends,
        )
    }

    /// Whether an executor has capacity and is not in backoff.
    pub(super) fn has_capacity(&self, executor: ExecutorIndex, capacity: Capacity) -> bool {
        let Capacity {
            limit,
            is_fleet_wide,
        } = capacity;
        let in_flight = if is_fleet_wide {
            self.executors.in_flight_count() as f64
        } else {
            self.executors[executor].in_flight_count()
        };
        // The time slot only decides about the fractional part of the limit, which is the last dispatch.
        let has_turn = || {
            let slot = (self.now / SLOT_DURATION) as u64;
            let offset = slot_offset(&self.membership, &self.executors, executor, slot);
            in_flight < (limit + offset).floor()
        };
        let is_in_backoff = self.now < self.executors[executor].backoff_until();
        !is_in_backoff && (in_flight < limit.floor() || in_flight < limit + 1.0 && has_turn())
    }
}
