//! The reference model: records of accepted invocations, dispatches and load commands, and a check of each action
//! against the five rules.

use super::executor_number;
use orchidtally_dispatch_policy::interface::*;

/// An action of the policy, with executors identified by their numbers.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedAction {
    /// Invocation and executor.
    Dispatch(u32, usize),
    /// Invocation.
    Reject(u32),
    /// Invocation.
    Fail(u32),
    /// Invocation and number of the dispatch.
    Cancel(u32, u8),
    /// Executor and function.
    Load(usize, u64),
}

pub struct SentDispatch {
    pub executor: usize,
    /// The executor's cell when it was sent.
    pub cell: u16,
    pub sent_at: f64,
    /// `None` while it is in flight.
    pub status: Option<DispatchStatus>,
}

pub struct AcceptedInvocation {
    pub invocation: Invocation,
    pub dispatches: Vec<SentDispatch>,
    pub answered_at: Option<f64>,
}

impl AcceptedInvocation {
    /// Returns the number of its first dispatch in flight.
    pub fn in_flight(&self) -> Option<usize> {
        self.dispatches
            .iter()
            .position(|dispatch| dispatch.status.is_none())
    }
}

pub struct Executor {
    pub is_ready: bool,
    pub started_at: f64,
    pub zone: u8,
    pub cell: u16,
    /// Number of dispatches that succeeded there.
    pub succeeded: u32,
}

pub struct LoadCommand {
    pub sent_at: f64,
    pub executor: usize,
    pub function: u64,
    /// Whether its result is outstanding.
    pub is_open: bool,
}

/// The model's records, which are kept independently of the policy.
pub struct ReferenceModel {
    pub policy: PolicyConfig,
    pub now: f64,
    pub executors: Vec<Executor>,
    pub accepted: Vec<AcceptedInvocation>,
    pub load_commands: Vec<LoadCommand>,
    /// Arrival times of the invocations that grant load commands.
    pub arrivals: Vec<f64>,
    /// Times at which timers fire.
    pub timers: Vec<f64>,
    pub actions: Vec<RecordedAction>,
}

impl ReferenceModel {
    fn open(&self, invocation: u32) -> &AcceptedInvocation {
        let accepted = self
            .accepted
            .iter()
            .find(|accepted| accepted.invocation.id == invocation)
            .expect("an action refers to an invocation that was never accepted");
        assert!(
            accepted.answered_at.is_none(),
            "rule 1: {invocation} already has its final answer"
        );
        accepted
    }

    fn get_mut(&mut self, invocation: u32) -> &mut AcceptedInvocation {
        self.accepted
            .iter_mut()
            .find(|accepted| accepted.invocation.id == invocation)
            .unwrap()
    }

    fn close(&mut self, invocation: u32) {
        self.get_mut(invocation).answered_at = Some(self.now);
    }

    fn trigger_type(&self, accepted: &AcceptedInvocation) -> &TriggerType {
        &self.policy.trigger_types[accepted.invocation.trigger_type]
    }

    fn may_have_run(dispatch: &SentDispatch) -> bool {
        dispatch.status.is_none_or(|status| !status.never_ran())
    }

    fn slow_start_weight(&self, executor: usize) -> f64 {
        let age =
            (self.now - self.executors[executor].started_at) / self.policy.slow_start_duration;
        (self.policy.slow_start_initial_weight
            + (1.0 - self.policy.slow_start_initial_weight) * age)
            .min(1.0)
    }

    fn check_dispatch(&self, invocation: u32, executor: usize) {
        let accepted = self.open(invocation);
        let in_flight = accepted
            .dispatches
            .iter()
            .filter(|dispatch| dispatch.status.is_none());
        assert!(
            in_flight.count() == 0 || self.policy.allows_hedging,
            "rule 2: two dispatches of {invocation} in flight"
        );
        assert!(
            accepted.dispatches.len() < usize::from(self.policy.max_dispatches),
            "more dispatches than max_dispatches"
        );
        self.check_repeat(accepted, executor);
        assert!(
            self.executors[executor].is_ready,
            "rule 3: dispatch to an executor that is draining or gone"
        );
        self.check_slow_start_budget(executor);
    }

    fn check_repeat(&self, accepted: &AcceptedInvocation, executor: usize) {
        let invocation = accepted.invocation.id;
        let mut dispatches = accepted.dispatches.iter();
        let Some(first) = dispatches.find(|dispatch| Self::may_have_run(dispatch)) else {
            return;
        };
        let trigger_type = self.trigger_type(accepted);
        match trigger_type.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                panic!("rule 2: {invocation} may have run and was dispatched again")
            }
            Idempotency::Keyed => {
                assert_eq!(
                    first.cell, self.executors[executor].cell,
                    "rule 2: outside the deduplication scope"
                );
                assert!(
                    self.now <= first.sent_at + trigger_type.deduplication_window,
                    "rule 2: past the deduplication window"
                );
            }
        }
    }

    fn check_slow_start_budget(&self, executor: usize) {
        let weight = self.slow_start_weight(executor);
        if weight < 1.0 {
            // All invocations have the same expected work, so dispatches are counted. The number of all successes is an
            // upper bound of the work that a peer completes, over the shortest time in which a rate is measured. One
            // further dispatch is allowed for a turn.
            let succeeded: u32 = self.executors.iter().map(|other| other.succeeded).sum();
            let budget = self.policy.overload_factor
                * weight
                * self.policy.overload_window
                * f64::from(succeeded)
                + 1.0;
            let window_start = self.now - self.policy.overload_window;
            let all = self.accepted.iter().flat_map(|other| &other.dispatches);
            let sent = 1 + all
                .filter(|sent| sent.executor == executor && sent.sent_at > window_start)
                .count();
            assert!(
                sent as f64 <= budget,
                "rule 4: {sent} sent to a warming executor, {budget} granted"
            );
        }
    }
}

impl Actions for ReferenceModel {
    fn dispatch(&mut self, invocation: u32, executor: ExecutorId, timeout: f64) {
        let executor = executor_number(executor);
        self.check_dispatch(invocation, executor);
        let (now, cell) = (self.now, self.executors[executor].cell);
        let accepted = self.get_mut(invocation);
        assert!(
            timeout > 0.0 && now + timeout <= accepted.invocation.timeout_at + 1e-6,
            "the timeout ends after the client's"
        );
        accepted.dispatches.push(SentDispatch {
            executor,
            cell,
            sent_at: now,
            status: None,
        });
        self.actions
            .push(RecordedAction::Dispatch(invocation, executor));
    }

    fn reject(&mut self, invocation: u32, retry_after: f64, _over_quota: bool) {
        let accepted = self.open(invocation);
        let trigger_type = self.trigger_type(accepted);
        let is_safe = trigger_type.idempotency == Idempotency::Idempotent
            || trigger_type.idempotency == Idempotency::Keyed
                && trigger_type.deduplication_scope == DeduplicationScope::All
            || !accepted.dispatches.iter().any(Self::may_have_run);
        assert!(
            is_safe,
            "rule 2: {invocation} may have run and was rejected"
        );
        assert!((0.0..=self.policy.max_retry_after).contains(&retry_after));
        self.close(invocation);
        self.actions.push(RecordedAction::Reject(invocation));
    }

    fn fail(&mut self, invocation: u32) {
        self.open(invocation);
        self.close(invocation);
        self.actions.push(RecordedAction::Fail(invocation));
    }

    fn cancel(&mut self, invocation: u32, dispatch: u8) {
        assert!(
            usize::from(dispatch) < self.get_mut(invocation).dispatches.len(),
            "cancellation of a dispatch that was never sent"
        );
        self.actions
            .push(RecordedAction::Cancel(invocation, dispatch));
    }

    fn load(&mut self, executor: ExecutorId, function: u64, replicas: u8) {
        let executor = executor_number(executor);
        assert!(
            self.executors[executor].is_ready,
            "rule 3: load command to an executor that is draining or gone"
        );
        let window = self.policy.load_budget_window;
        if replicas > 0 && window > 0.0 {
            let is_recent = |at: f64| at > self.now - window;
            let recent = self
                .load_commands
                .iter()
                .filter(|command| is_recent(command.sent_at));
            let commands = 1 + recent.count();
            let accepted = self.arrivals.iter().filter(|&&at| is_recent(at)).count();
            let granted =
                self.policy.load_budget_floor + self.policy.load_budget_fraction * accepted as f64;
            assert!(
                commands as f64 <= granted,
                "rule 5: {commands} load commands, {granted} granted"
            );
        }
        self.load_commands.push(LoadCommand {
            sent_at: self.now,
            executor,
            function,
            is_open: true,
        });
        self.actions.push(RecordedAction::Load(executor, function));
    }

    fn set_timer(&mut self, delay: f64, _mark: u64) {
        self.timers.push(self.now + delay);
    }

    fn query_replicas(&mut self, _executor: ExecutorId, _function: u64) {}
    fn unload(&mut self, _executor: ExecutorId, _function: u64) {}
    fn health_check(&mut self, _executor: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}
