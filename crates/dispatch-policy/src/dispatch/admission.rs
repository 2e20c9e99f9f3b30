//! Admission control: customers' quotas, priority weights, load shedding and Retry-After.

use super::Dispatcher;
use crate::interface::{Actions, Invocation, PolicyConfig};
use crate::random::SeededRandom;
use crate::state::{FunctionIndex, InvocationIndex, OpenInvocation, Priority, TokenBucket};

/// What a customer may save up of its quota at a front end: seconds of it, and square roots of its rate.
const QUOTA_BURST_SECONDS: f64 = 2.0;
const QUOTA_BURST_SQRT_FACTOR: f64 = 5.0;
/// What a client's retry takes of the quota, in invocations.
const RETRY_COST: f64 = 0.33;
/// Weight of the newest invocation in the mean priority weight.
const SMOOTHING_FACTOR: f64 = 0.015;
/// Least fraction of the longest Retry-After; the rest is random, so that clients don't return in step.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.25;
/// Fraction of the time budget that the expected latency takes at most: an estimate that had everything rejected would
/// never be corrected.
const MAX_EXPECTED_LATENCY_FRACTION: f64 = 0.5;

/// A customer's quota, and what is left of it at this front end.
struct CustomerQuota {
    /// Invocations a second over all front ends.
    rate: f64,
    bucket: TokenBucket,
}

/// The most that a customer may save up of its quota at a front end, in invocations.
fn burst_size(rate: f64) -> f64 {
    QUOTA_BURST_SECONDS * rate + QUOTA_BURST_SQRT_FACTOR * rate.sqrt()
}

/// Quotas of customers, and what invocations are worth.
pub(super) struct Admission {
    quotas: Vec<CustomerQuota>,
    over_quota_value_factor: f64,
    bills_by_work: bool,
    max_retry_after: f64,
    mean_weight: f64,
}

impl Admission {
    /// Nothing is used of any quota.
    pub(super) fn new(config: &PolicyConfig, now: f64) -> Admission {
        let mut admission = Admission {
            quotas: vec![],
            over_quota_value_factor: config.over_quota_value_factor,
            bills_by_work: config.bills_by_work,
            max_retry_after: config.max_retry_after,
            mean_weight: 0.0,
        };
        admission.set_quotas(&config.quotas, now, config.front_ends);
        admission
    }

    /// Sets the quotas in invocations a second over all front ends. A customer that had one keeps what it saved up,
    /// within the new bound.
    pub(super) fn set_quotas(&mut self, rates: &[f64], now: f64, front_ends: f64) {
        for quota in &mut self.quotas {
            let rate = quota.rate / front_ends;
            quota.bucket.refill(now, rate, burst_size(rate));
        }
        self.quotas.resize_with(rates.len(), || CustomerQuota {
            rate: 0.0,
            bucket: TokenBucket::full(now),
        });
        for (quota, &rate) in self.quotas.iter_mut().zip(rates) {
            quota.rate = rate;
        }
    }

    /// The priority of an invocation that is billed `billed_value` for so much work: what it is billed for a unit of
    /// work, and little of that where its customer is over its quota. A client's retry takes a part of the quota,
    /// and only of what first requests leave.
    ///
    /// Failure mode: clients that retry without end take capacity from other customers and from their own first
    /// requests.
    /// Risk: an occasional retry counts as over quota while the quota is nearly used up.
    pub(super) fn priority(
        &mut self,
        invocation: &Invocation,
        billed_value: f64,
        work: f64,
        now: f64,
        front_ends: f64,
    ) -> Priority {
        let work = if self.bills_by_work { 1.0 } else { work };
        let quota = self.quotas.get_mut(invocation.customer);
        // A few invocations say little about a rate: the less of a quota a front end has, the more may be saved up.
        let is_within_quota = quota.is_none_or(|quota| {
            let rate = quota.rate / front_ends;
            let burst = burst_size(rate);
            let (cost, required) = if invocation.is_retry {
                (RETRY_COST, burst / 2.0)
            } else {
                (1.0, 1.0)
            };
            quota.bucket.try_take(now, rate, burst, cost, required)
        });
        let factor = if is_within_quota {
            1.0
        } else {
            self.over_quota_value_factor
        };
        Priority {
            weight: billed_value / work * factor,
            is_over_quota: !is_within_quota,
        }
    }

    /// Takes a priority weight into the mean; `recent_invocations` includes its invocation.
    pub(super) fn record_weight(&mut self, weight: f64, recent_invocations: f64) {
        let smoothing_factor = SMOOTHING_FACTOR.max(1.0 / recent_invocations);
        self.mean_weight += smoothing_factor * (weight - self.mean_weight);
    }

    /// The fraction of the concurrency limit that an invocation may fill: that of its priority weight now in the mean.
    ///
    /// Failure mode: when capacity is short, invocations that earn little, because they are late or over quota, take
    /// it from others.
    /// Risk: they are rejected although the shortage is over a moment later.
    fn capacity_fraction(
        &self,
        invocation: &OpenInvocation,
        late_value_fraction: f64,
        now: f64,
    ) -> f64 {
        let value_left = if now > invocation.objective_ends_at() {
            late_value_fraction
        } else {
            1.0
        };
        (invocation.priority().weight * value_left / self.mean_weight).min(1.0)
    }

    /// A Retry-After in seconds.
    pub(super) fn retry_after(&self, random: &mut SeededRandom) -> f64 {
        let random_fraction = (1.0 - MIN_RETRY_AFTER_FRACTION) * random.next_f64();
        (MIN_RETRY_AFTER_FRACTION + random_fraction) * self.max_retry_after
    }
}

impl Dispatcher {
    /// The fraction of the concurrency limit that an invocation may fill.
    pub(super) fn capacity_fraction(&self, invocation: InvocationIndex) -> f64 {
        let invocation = &self.workload.invocations[invocation];
        let trigger_type = &self.config.trigger_types[invocation.trigger_type()];
        self.admission
            .capacity_fraction(invocation, trigger_type.late_value_fraction, self.now)
    }

    /// Rule: answers a waiting invocation that can no longer be served, or not in time where a rejection is safe.
    pub(super) fn shed_unservable(
        &mut self,
        function: FunctionIndex,
        actions: &mut dyn Actions,
    ) -> bool {
        // The result of a placement is waited for; without one under way, what is late stays late.
        let record = &self.workload.functions[function];
        let is_settled =
            record.placement().is_none() || record.unexpired_replicas(self.now).next().is_some();
        let mut waiting = record.waiting().iter().copied();
        let Some(invocation) = waiting.find(|&waiting| self.should_shed(waiting, is_settled))
        else {
            return false;
        };
        self.answer_unserved(invocation, actions);
        true
    }

    fn should_shed(&self, index: InvocationIndex, is_settled: bool) -> bool {
        let invocation = &self.workload.invocations[index];
        let expected_latency = self
            .baseline
            .latency(invocation.trigger_type())
            .min(MAX_EXPECTED_LATENCY_FRACTION * invocation.time_budget());
        let is_late = is_settled && self.now + expected_latency > invocation.objective_ends_at();
        invocation.dispatch_count() >= self.config.max_dispatches
            || self.now + 2.0 * self.tick_interval >= invocation.timeout_at()
            || (invocation.possible_execution().is_some()
                && !self.may_repeat_anywhere(index, |_| true))
            || is_late && self.may_reject(index)
    }
}
