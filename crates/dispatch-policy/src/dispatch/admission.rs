//! Admission control: customers' quotas, priority weights, load shedding and Retry-After.

use super::Dispatcher;
use crate::interface::{Actions, Invocation, PolicyConfig};
use crate::random::SeededRandom;
use crate::state::{FunctionIndex, InvocationIndex, OpenInvocation, Priority, TokenBucket};

/// Burst size of a customer's quota at a front end: seconds of the rate, plus a multiple of the square root of the
/// rate.
const QUOTA_BURST_SECONDS: f64 = 2.0;
const QUOTA_BURST_SQRT_FACTOR: f64 = 5.0;
/// Cost of a client's retry, in invocations of the quota.
const RETRY_COST: f64 = 0.33;
/// Smoothing factor of the moving average of priority weights.
const SMOOTHING_FACTOR: f64 = 0.015;
/// Minimum Retry-After as a fraction of the maximum. The rest is random so that clients do not retry simultaneously.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.25;
/// Upper bound of the expected latency, as a fraction of the time budget. Without the bound, an estimate that is too
/// high would cause all invocations to be rejected and would never be corrected.
const MAX_EXPECTED_LATENCY_FRACTION: f64 = 0.5;

/// A customer's quota and its unused part at this front end.
struct CustomerQuota {
    /// Invocations per second over all front ends.
    rate: f64,
    bucket: TokenBucket,
}

/// Returns the burst size of a quota at a front end, in invocations. `rate` is the front end's share of the quota, in
/// invocations per second.
fn burst_size(rate: f64) -> f64 {
    QUOTA_BURST_SECONDS * rate + QUOTA_BURST_SQRT_FACTOR * rate.sqrt()
}

/// Customers' quotas and the priority weights of invocations.
pub(super) struct Admission {
    quotas: Vec<CustomerQuota>,
    over_quota_value_factor: f64,
    bills_by_work: bool,
    max_retry_after: f64,
    mean_weight: f64,
}

impl Admission {
    /// Creates the admission control of a deployment. No quota has been used.
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

    /// Sets the quotas in invocations per second over all front ends. An existing customer keeps its unused quota, up
    /// to the new burst size.
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

    /// Returns the priority of an invocation that takes `work` seconds and is billed `billed_value`. Its weight is the
    /// billed value per second of work, reduced by a factor if the customer is over its quota. A client's retry uses a
    /// fraction of an invocation of the quota, and only while at least half of the burst is unused.
    ///
    /// Failure mode: clients that retry endlessly take capacity from other customers and from their own first requests.
    /// Risk: an occasional retry counts as over quota while the quota is almost used up.
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
        // At a low rate, a few invocations are a poor estimate of the rate. The smaller a front end's share of the
        // quota, the larger the burst is in relation to it.
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

    /// Adds a priority weight to the moving average. `recent_invocations` includes the invocation with this weight.
    pub(super) fn record_weight(&mut self, weight: f64, recent_invocations: f64) {
        let smoothing_factor = SMOOTHING_FACTOR.max(1.0 / recent_invocations);
        self.mean_weight += smoothing_factor * (weight - self.mean_weight);
    }

    /// Returns the fraction of the concurrency limit that is available to an invocation: its current priority weight
    /// relative to the mean, at most 1.
    ///
    /// Failure mode: when capacity is short, invocations of low value, because they are late or over quota, take
    /// capacity from others.
    /// Risk: they are rejected although the shortage is about to end.
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

    /// Returns a random Retry-After in seconds.
    pub(super) fn retry_after(&self, random: &mut SeededRandom) -> f64 {
        let random_fraction = (1.0 - MIN_RETRY_AFTER_FRACTION) * random.next_f64();
        (MIN_RETRY_AFTER_FRACTION + random_fraction) * self.max_retry_after
    }
}

impl Dispatcher {
    /// Returns the fraction of the concurrency limit that is available to an invocation.
    pub(super) fn capacity_fraction(&self, invocation: InvocationIndex) -> f64 {
        let invocation = &self.workload.invocations[invocation];
        let trigger_type = &self.config.trigger_types[invocation.trigger_type()];
        self.admission
            .capacity_fraction(invocation, trigger_type.late_value_fraction, self.now)
    }

    /// Rule: answers a waiting invocation that can no longer be served, or that will miss its latency objective and can
    /// be rejected safely. Returns whether it answered one.
    pub(super) fn shed_unservable(
        &mut self,
        function: FunctionIndex,
        actions: &mut dyn Actions,
    ) -> bool {
        // Late invocations wait for the result of a placement in progress if there is no warm replica. In all other
        // cases waiting does not make a late invocation timely.
        let record = &self.workload.functions[function];
        let is_lateness_final =
            record.placement().is_none() || record.unexpired_replicas(self.now).next().is_some();
        let mut waiting = record.waiting().iter().copied();
        let Some(invocation) =
            waiting.find(|&waiting| self.should_shed(waiting, is_lateness_final))
        else {
            return false;
        };
        self.answer_unserved(invocation, actions);
        true
    }

    fn should_shed(&self, index: InvocationIndex, is_lateness_final: bool) -> bool {
        let invocation = &self.workload.invocations[index];
        let expected_latency = self
            .baseline
            .latency(invocation.trigger_type())
            .min(MAX_EXPECTED_LATENCY_FRACTION * invocation.time_budget());
        let is_late =
            is_lateness_final && self.now + expected_latency > invocation.objective_ends_at();
        invocation.dispatch_count() >= self.config.max_dispatches
            || self.now + 2.0 * self.tick_interval >= invocation.timeout_at()
            || (invocation.possible_execution().is_some()
                && !self.may_repeat_anywhere(index, |_| true))
            || is_late && self.may_reject(index)
    }
}
