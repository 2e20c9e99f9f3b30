//! Dispatch policy of one front end. All decisions are made and all tuned values are defined in this module.
//!
//! Each input updates the affected components and then runs the rules, in order, for every function that it changed.
//! The resulting decisions are checked against the constraints and issued through [`Actions`].

mod admission;
mod baseline_latency;
mod concurrency_limit;
mod constraints;
mod load_budget;
mod load_score;
mod maintenance;
mod outlier_detection;
mod placement;
mod prewarm;
mod replica_selection;
mod results;
mod retry;
mod rules;
mod slow_start;
mod staleness;
mod time_slots;
mod traffic;

use crate::interface::{
    Actions, ConfigError, Endpoint, EndpointUpdateKind, ExecutorId, Invocation, MembershipView,
    PolicyConfig, TableSizes, TriggerType, check_quotas,
};
use crate::random::SeededRandom;
use crate::state::{ExecutorTable, FunctionIndex, OpenInvocation, Workload, apply_endpoint_update};
use admission::Admission;
use baseline_latency::BaselineLatency;
use concurrency_limit::ConcurrencyLimit;
use load_budget::LoadBudget;
use load_score::LoadScore;
use slow_start::SlowStart;
use staleness::EndpointView;
use traffic::Traffic;

/// Dispatch policy of one front end. Times are in seconds on the caller's clock, which must not go back.
pub struct Dispatcher {
    config: PolicyConfig,
    membership: MembershipView,
    random: SeededRandom,
    /// Time of the latest input.
    now: f64,
    executors: ExecutorTable,
    workload: Workload,
    /// Functions for which the rules have to run.
    dirty_functions: Vec<FunctionIndex>,
    endpoint_view: EndpointView,
    baseline: BaselineLatency,
    traffic: Traffic,
    admission: Admission,
    load_score: LoadScore,
    concurrency_limit: ConcurrencyLimit,
    slow_start: SlowStart,
    load_budget: LoadBudget,
    /// Time for which a replica is assumed to stay warm after the last evidence of it.
    replica_lifetime: f64,
    /// Interval at which waiting invocations are evaluated again.
    tick_interval: f64,
    /// Earliest time at which the rules run for all waiting functions again if they are many.
    next_full_run_at: f64,
    next_subscription_at: f64,
    next_timer_at: f64,
    next_maintenance_at: f64,
}

impl Dispatcher {
    /// Creates the policy of a front end that starts at `now`. `seed` determines all random draws.
    pub fn new(config: PolicyConfig, seed: u64, now: f64, actions: &mut dyn Actions) -> Self {
        let executors = ExecutorTable::new(config.zone, outlier_detection::SAMPLE_REQUIREMENTS)
            .with_regions(config.zone_regions.clone());
        let mut dispatcher = Dispatcher {
            membership: MembershipView {
                front_ends: config.front_ends,
                slot_count: config.front_ends,
                front_end_index: config.front_end_index,
                has_budget_share: true,
            },
            random: SeededRandom::new(seed),
            now,
            executors,
            workload: Workload::default(),
            dirty_functions: vec![],
            endpoint_view: EndpointView::new(config.drain_grace),
            baseline: BaselineLatency::new(&config.trigger_types),
            traffic: Traffic::default(),
            admission: Admission::new(&config, now),
            load_score: LoadScore::new(&config),
            concurrency_limit: ConcurrencyLimit::new(),
            slow_start: SlowStart::new(&config, now),
            load_budget: LoadBudget::new(&config),
            replica_lifetime: replica_selection::replica_lifetime(&config),
            tick_interval: rules::TICK_INTERVAL.max(config.clock_tick),
            next_full_run_at: now,
            next_subscription_at: now,
            next_timer_at: f64::INFINITY,
            next_maintenance_at: 0.0,
            config,
        };
        dispatcher.run_rules(actions);
        dispatcher
    }

    /// Returns the sizes of the tables of executors, functions and invocations. Under a bounded load the tables stop
    /// growing.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            executors: self.executors.len(),
            functions: self.workload.functions.len(),
            invocations: self.workload.invocations.len(),
        }
    }

    /// Whether the trigger type with this index exists.
    pub fn has_trigger_type(&self, trigger_type: usize) -> bool {
        trigger_type < self.config.trigger_types.len()
    }

    /// Appends a trigger type, or replaces one that has no open invocation. Its statistics start from their initial
    /// values. Open invocations keep the trigger type with which they were accepted.
    ///
    /// # Errors
    /// `InUse` if the replaced trigger type has an open invocation, and the errors of [`TriggerType::check`].
    pub fn set_trigger_type(
        &mut self,
        now: f64,
        index: usize,
        trigger_type: TriggerType,
    ) -> Result<(), ConfigError> {
        self.now = now;
        trigger_type.check(index, self.config.trigger_types.len())?;
        self.workload.invocations.check_unused(index)?;
        self.baseline.set_trigger_type(index, &trigger_type);
        if index == self.config.trigger_types.len() {
            self.config.trigger_types.push(trigger_type);
        } else {
            self.config.trigger_types[index] = trigger_type;
        }
        Ok(())
    }

    /// Sets the customers' quotas, in invocations per second over all front ends. An existing customer keeps its unused
    /// quota, up to the new burst size.
    ///
    /// # Errors
    /// `InvalidQuota` if a quota is negative or not finite.
    pub fn set_quotas(&mut self, now: f64, quotas: Vec<f64>) -> Result<(), ConfigError> {
        self.now = now;
        check_quotas(&quotas)?;
        self.admission
            .set_quotas(&quotas, now, self.membership.front_ends);
        Ok(())
    }

    /// Applies an update of the endpoint list.
    pub fn on_endpoint_update(
        &mut self,
        now: f64,
        kind: EndpointUpdateKind,
        endpoints: &[Endpoint],
        actions: &mut dyn Actions,
    ) {
        self.now = now;
        let has_failed = kind == EndpointUpdateKind::Failed;
        self.endpoint_view.on_endpoint_update(has_failed);
        if has_failed {
            self.next_subscription_at = now + staleness::subscription_retry_delay(&mut self.random);
        }
        apply_endpoint_update(
            &mut self.executors,
            &mut self.workload,
            now,
            kind,
            endpoints,
            now - maintenance::FORGET_AFTER,
        );
        self.run_rules(actions);
    }

    /// Confirms that the view of executors was current at `requested_at`: a request for the endpoint list sent at that
    /// time was answered.
    pub fn on_view_confirmed(&mut self, now: f64, requested_at: f64, actions: &mut dyn Actions) {
        self.now = now;
        self.endpoint_view.record_confirmation(requested_at);
        self.run_rules(actions);
    }

    /// Reports that the process did not run for a while, so that its view of executors may be long outdated.
    pub fn on_process_stall(&mut self, now: f64) {
        self.now = now;
        self.endpoint_view.on_process_stall(now);
    }

    /// Reports that a request for the endpoint list sent at `requested_at` has no answer. The caller keeps requesting
    /// the list.
    pub fn on_view_request_unanswered(&mut self, now: f64, requested_at: f64) {
        self.now = now;
        self.endpoint_view.record_unanswered_request(requested_at);
    }

    /// Updates the set of live front ends. A front end that may have an outdated set must not use strictly shared
    /// budgets, see [`MembershipView::has_budget_share`].
    pub fn on_membership_change(
        &mut self,
        now: f64,
        membership: MembershipView,
        actions: &mut dyn Actions,
    ) {
        self.now = now;
        self.membership = MembershipView {
            front_ends: membership.front_ends.max(1.0),
            slot_count: membership.slot_count.max(1.0),
            ..membership
        };
        self.run_rules(actions);
    }

    /// Accepts an invocation. It receives its final answer before its client timeout in any case. Its trigger type must
    /// exist.
    pub fn on_invocation(&mut self, now: f64, invocation: &Invocation, actions: &mut dyn Actions) {
        self.now = now;
        if !invocation.is_migrated {
            self.load_budget.record_invocation(now);
        }
        let function = self.find_or_insert_function(invocation);
        let trigger_type = &self.config.trigger_types[invocation.trigger_type];
        let expected_work = invocation.expected_work.unwrap_or(0.0);
        let objective = (trigger_type.latency_objective
            + trigger_type.objective_work_factor * expected_work)
            .min(trigger_type.client_timeout);
        let priority = self.admission.priority(
            invocation,
            trigger_type.billed_value,
            self.baseline.divisor(invocation.trigger_type),
            now,
            self.membership.front_ends,
        );
        let recent_invocations = self.traffic.record_invocation(now);
        self.admission
            .record_weight(priority.weight, recent_invocations);
        let baseline = self.baseline.latency(invocation.trigger_type);
        self.traffic.record_work(baseline, now);
        self.workload.functions[function].record_arrival(now, traffic::TRAFFIC_TIME_CONSTANT);
        let time_budget = objective.min(invocation.timeout_at - now);
        self.workload.admit(OpenInvocation::new(
            invocation,
            function,
            priority,
            now,
            time_budget,
        ));
        self.dirty_functions.push(function);
        self.run_rules(actions);
    }

    /// Reports that `dispatch` has started the response of an invocation. Other dispatches of the invocation are
    /// cancelled if the deployment allows it.
    pub fn on_response_started(
        &mut self,
        now: f64,
        invocation: u32,
        dispatch: u8,
        actions: &mut dyn Actions,
    ) {
        self.now = now;
        if let Some(index) = self.workload.invocations.find(invocation) {
            let invocation = self.workload.invocations.get_mut(index);
            invocation.start_streaming();
            if self.config.allows_cancellation {
                invocation.cancel_dispatches(Some(dispatch), actions);
            }
        }
    }

    /// Reports that the client has cancelled an invocation. The invocation receives no answer.
    pub fn on_client_cancel(&mut self, now: f64, invocation: u32, actions: &mut dyn Actions) {
        self.now = now;
        if let Some(index) = self.workload.invocations.find(invocation) {
            // Failure mode: clients that cancel invocations immediately after sending them cause ever more functions to
            // be loaded.
            // Risk: the load budget of the remaining clients is smaller.
            let arrived_at = self.workload.invocations[index].arrived_at();
            self.load_budget.withdraw_invocation(arrived_at);
            self.workload
                .close(index, self.config.allows_cancellation, actions);
        }
    }

    /// Starts the shutdown of the front end: no invocation waits beyond `deadline`.
    pub fn begin_shutdown(&mut self, now: f64, deadline: f64, actions: &mut dyn Actions) {
        self.now = now;
        self.workload.invocations.cap_timeouts(deadline);
        self.run_rules(actions);
    }

    /// Whether an earlier decided dispatch may still be sent. The caller asks when it is about to write the bytes.
    ///
    /// Failure mode: a connection is slow to be established or to accept bytes, and a dispatch with a time limit
    /// arrives late.
    /// Risk: a dispatch is decided repeatedly without being sent.
    pub fn revalidate_dispatch(&mut self, now: f64, invocation: u32, dispatch: u8) -> bool {
        self.now = now;
        let found = self
            .workload
            .invocations
            .find_dispatch(invocation, dispatch);
        let Some((index, in_flight)) = found else {
            return false;
        };
        let executor = in_flight.executor;
        let work = self.executors.take_sent_work(executor, in_flight.sent_at);
        let is_allowed = self.allows_dispatch(index, executor, Some(dispatch));
        if let Some(work) = work.filter(|_| is_allowed) {
            self.executors.add_sent_work(executor, now, work);
        }
        is_allowed
    }

    /// Whether a load command decided at `commanded_at` may still be sent. The command counts against the load budget
    /// from the time at which it is sent.
    pub fn revalidate_load(&mut self, now: f64, executor: ExecutorId, commanded_at: f64) -> bool {
        self.now = now;
        self.load_budget.withdraw_command(commanded_at);
        let executor = self.executors.find(executor);
        let is_allowed = executor.is_some_and(|executor| self.accepts_work(executor))
            && self.load_budget.allows_command(1.0, now);
        if is_allowed {
            self.load_budget.record_command(now);
        }
        is_allowed
    }
}
