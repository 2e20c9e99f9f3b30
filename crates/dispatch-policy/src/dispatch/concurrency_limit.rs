//! Adaptive limit of the dispatches in flight at an executor: it grows exponentially while answers are quick, and is
//! cut by a factor when the typical latency gets close to the latency objective.

use super::Dispatcher;
use super::time_slots::slot_offset;
use super::traffic::TRAFFIC_TIME_CONSTANT;
use crate::state::ExecutorIndex;

/// Limit at the start, and the highest one, in dispatches in flight of one front end at one executor.
const MAX_LIMIT: f64 = 10.0;
/// Lowest limit of all front ends together, in dispatches in flight at one executor.
const MIN_SHARED_LIMIT: f64 = 9.0;
/// Factor of a cut.
const DECREASE_FACTOR: f64 = 0.6;
/// Growth rate, each second.
const GROWTH_RATE: f64 = 0.15;
/// Typical latency above which the limit is cut, in latency objectives.
const MAX_TYPICAL_LATENCY: f64 = 0.3;
/// Typical latency at the start, in latency objectives.
const INITIAL_TYPICAL_LATENCY: f64 = MAX_TYPICAL_LATENCY / 3.0;
/// Factor by which the estimate of the median follows each latency, up or down.
const MEDIAN_STEP: f64 = 1.1;
/// The limit is never below the own traffic in flight at baseline latencies times this: as much waits for loads.
const OWN_TRAFFIC_FACTOR: f64 = 4.0;
/// Seconds of a time slot in which a front end has its turn for a fraction of a dispatch.
const SLOT_DURATION: f64 = 0.1;

/// Seconds of the first backoff after a result `Full`.
///
/// Failure mode: storms of dispatches into executors that reject everything, because they are crowded or drain.
/// Risk: an executor that was full for a moment only is left out that long.
pub(super) const FULL_BACKOFF: f64 = 0.1;
/// How often that backoff is doubled at most while no dispatch succeeds.
pub(super) const MAX_FULL_DOUBLINGS: i32 = 4;

/// The limit, and the latencies that set it. Times are in seconds.
pub(super) struct ConcurrencyLimit {
    /// Dispatches in flight at an executor.
    limit: f64,
    /// Estimate of the median latency, in latency objectives.
    typical_latency: f64,
    decreased_at: f64,
    updated_at: f64,
}

/// Dispatches in flight that are allowed.
#[derive(Clone, Copy)]
pub(super) struct Capacity {
    limit: f64,
    /// The limit is one of the dispatches in flight at all executors together; else of those at each.
    is_fleet_wide: bool,
}

impl Capacity {
    /// Whether an executor without dispatches in flight surely has capacity left.
    pub(super) fn admits_idle(self) -> bool {
        !self.is_fleet_wide
    }
}

impl ConcurrencyLimit {
    /// The highest limit, before any latency is known.
    pub(super) fn new() -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: MAX_LIMIT,
            typical_latency: INITIAL_TYPICAL_LATENCY,
            decreased_at: 0.0,
            updated_at: 0.0,
        }
    }

    /// Estimate of the median latency, in latency objectives.
    pub(super) fn typical_latency(&self) -> f64 {
        self.typical_latency
    }

    /// Takes a latency, in latency objectives, of a dispatch that was sent at a time. The limit goes by the median: a
    /// heavy invocation or one that waited for a load says nothing about crowding. It is cut once for all that was
    /// sent since the last cut.
    ///
    /// Failure mode: overload of the executors, whatever its cause.
    /// Risk: less throughput where work takes long by nature.
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

    /// The capacity for an invocation that may fill a fraction of the limit. All front ends together have one dispatch
    /// at each executor, however small the fraction.
    ///
    /// Failure mode: a trigger type that was never answered counts as slow, and so as worth little; it would never be
    /// served. After a cut, an equal part of the limit is too little for a front end with several times the mean
    /// traffic, and its few answers let the limit grow slowly.
    /// Risk: full executors get more where answers are quick.
    fn capacity(&self, fraction: f64, own_work: f64, ready: f64, front_ends: f64) -> Capacity {
        let own_traffic = OWN_TRAFFIC_FACTOR * own_work / TRAFFIC_TIME_CONSTANT / ready;
        let limit = (self.limit.max(own_traffic) * fraction).max(1.0 / front_ends);
        // Failure mode: a front end with little traffic waits for its turn at the few executors that it knows.
        // Risk: all of its traffic may go to one executor.
        let is_fleet_wide = limit < 1.0;
        Capacity {
            limit: if is_fleet_wide { limit * ready } else { limit },
            is_fleet_wide,
        }
    }
}

impl Dispatcher {
    /// The capacity for an invocation that may fill a fraction of the concurrency limit.
    pub(super) fn capacity(&self, fraction: f64) -> Capacity {
        self.concurrency_limit.capacity(
            fraction,
            self.traffic.work(self.now),
            self.executors.ready_count().max(1) as f64,
            self.membership.front_ends,
        )
    }

    /// Whether an executor has capacity left and is not in a backoff.
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
        // The turn is a fraction of a dispatch: it decides about the last one only.
        let has_turn = || {
            let slot = (self.now / SLOT_DURATION) as u64;
            let offset = slot_offset(&self.membership, &self.executors, executor, slot);
            in_flight < (limit + offset).floor()
        };
        let is_in_backoff = self.now < self.executors[executor].backoff_until();
        !is_in_backoff && (in_flight < limit.floor() || in_flight < limit + 1.0 && has_turn())
    }
}
