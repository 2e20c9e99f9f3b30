//! The engine: admission, dispatch results, shutdown and timers.

mod control_inputs;

use crate::action_executor::ActionExecutor;
use crate::invocation_registry::{InvocationRegistry, OpenInvocation};
use crate::{
    AdmissionError, Counters, DispatchPolicy, FailureReason, Host, InvocationRequest, NO_METADATA,
    ResponseMetadata,
};
use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::{
    Actions, DispatchResult, DispatchStatus, Invocation, PolicyConfig, TableSizes,
};
use std::cmp::Reverse;

/// The time in seconds past an invocation's timeout after which the engine itself answers it. The policy is required to
/// answer by the timeout, so that each such answer is counted as a bug in [`Counters::overdue`].
const OVERDUE_GRACE: f64 = 0.005;

/// The dispatch policy of one front end and its open invocations. All times are seconds on the host's clock.
pub struct Engine {
    policy: Box<dyn DispatchPolicy>,
    registry: InvocationRegistry,
    next_id: u32,
    max_open: usize,
    is_draining: bool,
}

impl Engine {
    /// Creates an engine with the dispatch policy. At most `max_open` invocations may be unanswered at a time; `seed`
    /// initialises the policy's random choices.
    pub fn new(
        config: PolicyConfig,
        max_open: usize,
        seed: u64,
        now: f64,
        host: &mut dyn Host,
    ) -> Engine {
        let mut registry = InvocationRegistry::new(now);
        let mut actions = ActionExecutor {
            registry: &mut registry,
            host,
        };
        let policy = Box::new(Dispatcher::new(config, seed, now, &mut actions));
        Engine {
            policy,
            registry,
            next_id: 0,
            max_open,
            is_draining: false,
        }
    }

    /// Creates an engine with another policy, for comparisons.
    pub fn with_baseline(policy: Box<dyn DispatchPolicy>, max_open: usize, now: f64) -> Engine {
        Engine {
            policy,
            registry: InvocationRegistry::new(now),
            next_id: 0,
            max_open,
            is_draining: false,
        }
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        self.registry.counters
    }

    /// The number of entries in each of the policy's tables.
    pub fn table_sizes(&self) -> TableSizes {
        self.policy.table_sizes()
    }

    /// The number of invocations without a final answer.
    pub fn open_invocations(&self) -> usize {
        self.registry.unanswered
    }

    /// The number of dispatches of an open invocation so far; 0 if it is not open.
    pub fn dispatch_count(&self, invocation: u32) -> usize {
        let open = self.registry.invocations.get(&invocation);
        open.map_or(0, |open| open.dispatches.len())
    }

    /// Rejects all new invocations from now on.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Prepares for the end of the process at `deadline`: limits the timeout of every open invocation to the deadline,
    /// so that all are answered by then.
    pub fn begin_shutdown(&mut self, now: f64, deadline: f64, host: &mut dyn Host) {
        let later = self
            .registry
            .invocations
            .iter_mut()
            .filter(|(_, open)| !open.is_answered && open.timeout_at > deadline);
        let mut deadlines = vec![];
        for (&invocation, open) in later {
            open.timeout_at = deadline;
            let in_flight = (0..)
                .zip(&open.dispatches)
                .filter(|(_, dispatch)| dispatch.is_in_flight());
            deadlines.extend(in_flight.map(|(number, _)| (deadline, invocation, Some(number))));
            deadlines.push((deadline + OVERDUE_GRACE, invocation, None));
        }
        for (at, invocation, dispatch) in deadlines {
            self.registry.add_deadline(at, invocation, dispatch);
        }
        self.run_policy(now, host, |policy, now, actions| {
            policy.begin_shutdown(now, deadline, actions);
        });
    }

    /// The time at which [`Engine::run_due_timers`] has to be called next; infinity if no timer is set.
    pub fn next_deadline(&self) -> f64 {
        let deadline = self
            .registry
            .deadlines
            .peek()
            .map_or(f64::INFINITY, |Reverse(deadline)| deadline.at.0);
        let policy_timer = self.registry.policy_timer_at.unwrap_or(f64::INFINITY);
        deadline.min(policy_timer)
    }

    /// Calls the policy with an input, then reports to it the dispatches that its own actions ended.
    fn run_policy(
        &mut self,
        now: f64,
        host: &mut dyn Host,
        input: impl FnOnce(&mut dyn DispatchPolicy, f64, &mut dyn Actions),
    ) {
        let now = self.registry.advance_to(now);
        let mut actions = ActionExecutor {
            registry: &mut self.registry,
            host,
        };
        input(&mut *self.policy, now, &mut actions);
        while let Some((invocation, dispatch)) = self.registry.ended_locally.pop_front() {
            self.report_result(invocation, dispatch, NO_METADATA, host);
        }
        self.registry.prune_deadlines();
    }

    /// Reports the result of a dispatch to the policy.
    fn report_result(
        &mut self,
        invocation: u32,
        dispatch: u8,
        metadata: ResponseMetadata,
        host: &mut dyn Host,
    ) {
        let now = self.registry.now;
        let Some(open) = self.registry.invocations.get(&invocation) else {
            return;
        };
        let Some(ended) = open.dispatch(dispatch) else {
            return;
        };
        let Some(status) = ended.status else {
            return;
        };
        let result = DispatchResult {
            invocation,
            dispatch,
            executor: ended.executor,
            status,
            duration: now - ended.sent_at,
            is_answered: open.is_answered,
            replica_state: metadata.replica_state,
            function_concurrency: metadata.function_concurrency,
            load_report: metadata.load_report,
        };
        let mut actions = ActionExecutor {
            registry: &mut self.registry,
            host,
        };
        self.policy.on_dispatch_result(now, &result, &mut actions);
        self.registry.remove_if_complete(invocation);
    }

    /// Admits an invocation and returns its id. Every admitted invocation gets a final answer, unless its client
    /// cancels.
    ///
    /// # Errors
    /// Returns an error if the limit of open invocations is reached or the front end drains.
    pub fn admit(
        &mut self,
        now: f64,
        request: &InvocationRequest,
        host: &mut dyn Host,
    ) -> Result<u32, AdmissionError> {
        self.check_admission()?;
        let id = self.unused_id();
        self.register(id, request);
        host.admitted(id);
        let invocation = Invocation {
            id,
            trigger_type: request.trigger_type,
            customer: request.customer,
            function: request.function,
            is_retry: request.is_retry,
            is_migrated: request.is_migrated,
            timeout_at: request.timeout_at,
            expected_work: request.expected_work,
            concurrency: request.concurrency,
            load_time: request.load_time,
        };
        self.run_policy(now, host, |policy, now, actions| {
            policy.on_invocation(now, &invocation, actions);
        });
        Ok(id)
    }

    fn check_admission(&mut self) -> Result<(), AdmissionError> {
        let refused = if self.is_draining {
            AdmissionError::ShuttingDown
        } else if self.registry.unanswered >= self.max_open {
            AdmissionError::AtCapacity
        } else {
            return Ok(());
        };
        self.registry.counters.not_admitted += 1;
        Err(refused)
    }

    /// Returns an id that no open invocation uses.
    fn unused_id(&mut self) -> u32 {
        while self.registry.invocations.contains_key(&self.next_id) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = self.next_id;
        self.next_id = id.wrapping_add(1);
        id
    }

    fn register(&mut self, id: u32, request: &InvocationRequest) {
        self.registry.counters.admitted += 1;
        self.registry.unanswered += 1;
        let open = OpenInvocation {
            timeout_at: request.timeout_at,
            trigger_type: request.trigger_type,
            dispatches: vec![],
            streaming_dispatch: None,
            is_answered: false,
        };
        self.registry.invocations.insert(id, open);
        self.registry
            .add_deadline(request.timeout_at + OVERDUE_GRACE, id, None);
    }

    /// Handles the end of a dispatch. Ignores a dispatch that was cancelled, timed out or has already ended.
    pub fn on_dispatch_result(
        &mut self,
        now: f64,
        invocation: u32,
        dispatch: u8,
        status: DispatchStatus,
        metadata: ResponseMetadata,
        host: &mut dyn Host,
    ) {
        let Some(open) = self.registry.invocations.get_mut(&invocation) else {
            return;
        };
        let is_streamed = open.streaming_dispatch == Some(dispatch);
        let Some(in_flight) = open.in_flight_mut(dispatch) else {
            return;
        };
        in_flight.status = Some(status);
        let is_success = status == DispatchStatus::Ok && !is_streamed;
        if is_success && self.registry.mark_answered(invocation).is_some() {
            self.registry.counters.succeeded += 1;
            host.succeeded(invocation, dispatch);
        }
        self.registry.advance_to(now);
        self.report_result(invocation, dispatch, metadata, host);
        self.run_policy(now, host, |_, _, _| {});
    }

    /// Handles the start of a streamed response. Returns whether it becomes the client's response, which it doesn't if
    /// the invocation was already answered or another dispatch started to stream first.
    pub fn on_response_started(
        &mut self,
        now: f64,
        invocation: u32,
        dispatch: u8,
        host: &mut dyn Host,
    ) -> bool {
        let Some(open) = self.registry.invocations.get_mut(&invocation) else {
            return false;
        };
        let is_first = !open.is_answered && open.streaming_dispatch.is_none();
        if !is_first || !open.is_in_flight(dispatch) {
            return false;
        }
        open.streaming_dispatch = Some(dispatch);
        self.registry.mark_answered(invocation);
        self.registry.counters.succeeded += 1;
        host.succeeded(invocation, dispatch);
        self.run_policy(now, host, |policy, now, actions| {
            policy.on_response_started(now, invocation, dispatch, actions);
        });
        true
    }

    /// Handles a cancellation by the client, which needs no final answer any more.
    pub fn on_client_cancel(&mut self, now: f64, invocation: u32, host: &mut dyn Host) {
        if self.registry.mark_answered(invocation).is_some() {
            self.registry.counters.cancelled_by_client += 1;
            self.run_policy(now, host, |policy, now, actions| {
                policy.on_client_cancel(now, invocation, actions);
            });
            self.registry.remove_if_complete(invocation);
        }
    }

    /// Times out dispatches, fails overdue invocations and runs the policy's timer, as far as they are due at `now`.
    pub fn run_due_timers(&mut self, now: f64, host: &mut dyn Host) {
        while let Some(&Reverse(deadline)) = self.registry.deadlines.peek() {
            if deadline.at.0 > now {
                break;
            }
            self.registry.deadlines.pop();
            match deadline.dispatch {
                Some(dispatch) => self.time_out(now, deadline.invocation, dispatch, host),
                None => self.fail_overdue(now, deadline.invocation, host),
            }
        }
        if self.registry.policy_timer_at.is_some_and(|at| at <= now) {
            self.registry.policy_timer_at = None;
            self.run_policy(now, host, |policy, now, actions| {
                policy.on_timer(now, actions);
            });
        }
    }

    /// Times out a dispatch, unless it has ended or its response streams to the client.
    fn time_out(&mut self, now: f64, invocation: u32, dispatch: u8, host: &mut dyn Host) {
        let open = self.registry.invocations.get(&invocation);
        let is_waiting = open.is_some_and(|open| {
            open.streaming_dispatch != Some(dispatch) && open.is_in_flight(dispatch)
        });
        if is_waiting {
            host.cancel(invocation, dispatch);
            let status = DispatchStatus::TimedOut;
            self.on_dispatch_result(now, invocation, dispatch, status, NO_METADATA, host);
        }
    }

    /// Fails an invocation that the policy did not answer in time.
    fn fail_overdue(&mut self, now: f64, invocation: u32, host: &mut dyn Host) {
        let Some(open) = self.registry.mark_answered(invocation) else {
            return;
        };
        let may_have_run = open.may_have_run();
        self.registry.counters.failed += 1;
        self.registry.counters.overdue += 1;
        host.failed(invocation, FailureReason::TimedOut, may_have_run);
        self.run_policy(now, host, |policy, now, actions| {
            policy.on_client_cancel(now, invocation, actions);
        });
        self.registry.remove_if_complete(invocation);
    }
}
