//! What every host of the decision module needs and the module does not do: ids and dispatch numbers, the
//! table of open invocations and its bound, deadlines, one final answer whatever races, and the proof of what
//! never ran. It does no I/O and has no clock: the host hands in the time with each thing that happens.

pub mod baseline;
pub mod clock;
pub mod evidence;
mod invocation_registry;
pub mod stall_detector;

use baseline::DispatchPolicy;
use invocation_registry::{ActionExecutor, InvocationRegistry, OpenInvocation};
use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_dispatch_policy::state::Ordered;
use std::cmp::Reverse;

/// The engine answers an invocation itself if the module has left it open for this long past its timeout.
/// It never should: each such answer is counted as a fault of the program.
const OVERDUE: f64 = 0.005;

/// Why an invocation errored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// No answer came within the client timeout.
    TimedOut,
    /// An executor answered with an error, broke off, or could not be asked again.
    Failed,
}

/// What performs the module's answers. A call takes effect at once; what comes of it is told to the engine
/// later, never from within.
pub trait Host {
    /// An offer was taken under this id; nothing was performed for it yet.
    fn admitted(&mut self, inv: u32);
    fn dispatch(&mut self, inv: u32, dispatch: u8, to: ExecutorId, within: f64);
    /// Stop waiting for a dispatch: nothing that it still brings is wanted.
    fn cancel(&mut self, inv: u32, dispatch: u8);
    /// The final answers; one of these for each invocation taken, unless its client went away.
    fn succeeded(&mut self, inv: u32, dispatch: u8);
    /// `past_share`: for its customer's having had its share.
    fn rejected(&mut self, inv: u32, retry_after: f64, past_share: bool);
    fn failed(&mut self, inv: u32, cause: FailureReason, may_have_run: bool);
    fn load(&mut self, to: ExecutorId, function: u64, copies: u8);
    fn query_replicas(&mut self, to: ExecutorId, function: u64);
    fn unload(&mut self, to: ExecutorId, function: u64);
    fn health_check(&mut self, to: ExecutorId);
    fn subscribe_to_endpoints(&mut self);
}

/// What an answer tells besides its ending.
#[derive(Clone, Copy, Debug)]
pub struct ResponseMetadata<'a> {
    pub copy_state: CopyState,
    pub function_concurrency: u32,
    pub load_report: &'a [f32],
}

pub const NO_METADATA: ResponseMetadata<'static> = ResponseMetadata {
    copy_state: CopyState::Unknown,
    function_concurrency: 0,
    load_report: &[],
};

/// An invocation as a client offers it; the engine gives it its id.
#[derive(Clone, Debug)]
pub struct InvocationRequest {
    pub trigger_type: usize,
    pub customer: usize,
    pub function: u64,
    pub is_retry: bool,
    /// It was taken before, and goes to another version now.
    pub is_migrated: bool,
    pub timeout_at: f64,
    pub expected_work: Option<f64>,
    pub concurrency: f64,
    pub load_time: Option<f64>,
}

/// Why an offer was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// As many invocations are open as may be.
    AtCapacity,
    /// The front end is ending.
    ShuttingDown,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub admitted: u64,
    pub not_admitted: u64,
    pub succeeded: u64,
    pub rejected: u64,
    pub failed: u64,
    pub cancelled_by_client: u64,
    pub dispatches: u64,
    pub load_commands: u64,
    /// Final answers that the engine had to give in the module's place.
    pub overdue: u64,
}

/// One front end's decisions and what is open at it.
pub struct Engine {
    policy: Box<dyn DispatchPolicy>,
    registry: InvocationRegistry,
    next_id: u32,
    max_open: usize,
    is_draining: bool,
}

impl Engine {
    /// `most_open`: invocations that may be without a final answer at a time.
    pub fn new(
        policy: PolicyConfig,
        most_open: usize,
        seed: u64,
        now: f64,
        host: &mut dyn Host,
    ) -> Engine {
        let mut desk = InvocationRegistry {
            now,
            ..InvocationRegistry::default()
        };
        let dispatcher = Dispatcher::new(
            policy,
            seed,
            now,
            &mut ActionExecutor {
                registry: &mut desk,
                host,
            },
        );
        Engine {
            policy: Box::new(dispatcher),
            registry: desk,
            next_id: 0,
            max_open: most_open,
            is_draining: false,
        }
    }

    /// One that goes by a baseline, for comparisons.
    pub fn with_baseline(
        dispatcher: Box<dyn DispatchPolicy>,
        most_open: usize,
        now: f64,
    ) -> Engine {
        Engine {
            policy: dispatcher,
            registry: InvocationRegistry {
                now,
                ..InvocationRegistry::default()
            },
            next_id: 0,
            max_open: most_open,
            is_draining: false,
        }
    }

    pub fn counters(&self) -> Counters {
        self.registry.counters
    }

    /// Entries in the module's tables.
    pub fn table_sizes(&self) -> TableSizes {
        self.policy.table_sizes()
    }

    /// Invocations without a final answer.
    pub fn open_invocations(&self) -> usize {
        self.registry.unanswered
    }

    /// Takes nothing new from now on.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Nothing that is open is waited for past a moment, as if its client gave up then: the process ends.
    pub fn begin_shutdown(&mut self, now: f64, at: f64, host: &mut dyn Host) {
        for (&inv, open) in self
            .registry
            .invocations
            .iter_mut()
            .filter(|(_, o)| !o.is_answered && o.timeout_at > at)
        {
            open.timeout_at = at;
            let out = (0..)
                .zip(&open.dispatches)
                .filter(|(_, s)| s.status.is_none());
            self.registry
                .deadlines
                .extend(out.map(|(n, _)| Reverse((Ordered(at), inv, Some(n)))));
            self.registry
                .deadlines
                .push(Reverse((Ordered(at + OVERDUE), inv, None)));
        }
        self.run_policy(now, host, |dispatcher, now, out| {
            dispatcher.begin_shutdown(now, at, out)
        });
    }

    /// When `turn` is next to be called.
    pub fn next_deadline(&self) -> f64 {
        let deadline = self.registry.deadlines.peek().map(|Reverse((at, ..))| at.0);
        let wake = self.registry.policy_timer_at;
        deadline
            .unwrap_or(f64::INFINITY)
            .min(wake.unwrap_or(f64::INFINITY))
    }

    /// Calls the module, then tells it what came of its own answers.
    fn run_policy(
        &mut self,
        now: f64,
        host: &mut dyn Host,
        input: impl FnOnce(&mut dyn DispatchPolicy, f64, &mut ActionExecutor),
    ) {
        self.registry.now = now.max(self.registry.now);
        let now = self.registry.now;
        input(
            &mut *self.policy,
            now,
            &mut ActionExecutor {
                registry: &mut self.registry,
                host,
            },
        );
        while let Some((inv, dispatch)) = self.registry.ended_locally.pop_front() {
            self.report_result(inv, dispatch, NO_METADATA, host);
        }
        self.registry.prune_deadlines();
    }

    fn report_result(
        &mut self,
        inv: u32,
        dispatch: u8,
        told: ResponseMetadata,
        host: &mut dyn Host,
    ) {
        let Some(open) = self.registry.invocations.get(&inv) else {
            return;
        };
        let Some(sent) = open.dispatches.get(usize::from(dispatch)) else {
            return;
        };
        let Some(ending) = sent.status else { return };
        let now = self.registry.now;
        let outcome = DispatchResult {
            invocation: inv,
            dispatch,
            executor: sent.executor,
            status: ending,
            duration: now - sent.sent_at,
            is_answered: open.is_answered,
            copy_state: told.copy_state,
            function_concurrency: told.function_concurrency,
            load_report: told.load_report,
        };
        self.policy.on_dispatch_result(
            now,
            &outcome,
            &mut ActionExecutor {
                registry: &mut self.registry,
                host,
            },
        );
        self.registry.remove_if_complete(inv);
    }

    /// Takes an invocation; from here on it is owed a final answer.
    pub fn admit(
        &mut self,
        now: f64,
        offer: &InvocationRequest,
        host: &mut dyn Host,
    ) -> Result<u32, AdmissionError> {
        if self.is_draining || self.registry.unanswered >= self.max_open {
            self.registry.counters.not_admitted += 1;
            return Err(if self.is_draining {
                AdmissionError::ShuttingDown
            } else {
                AdmissionError::AtCapacity
            });
        }
        while self.registry.invocations.contains_key(&self.next_id) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = self.next_id;
        self.next_id = id.wrapping_add(1);
        self.registry.counters.admitted += 1;
        self.registry.unanswered += 1;
        let (timeout_at, trigger_type) = (offer.timeout_at, offer.trigger_type);
        let open = OpenInvocation {
            timeout_at,
            trigger_type,
            dispatches: vec![],
            streaming_dispatch: None,
            is_answered: false,
        };
        self.registry.invocations.insert(id, open);
        self.registry
            .deadlines
            .push(Reverse((Ordered(offer.timeout_at + OVERDUE), id, None)));
        host.admitted(id);
        let inv = Invocation {
            id,
            trigger_type: offer.trigger_type,
            customer: offer.customer,
            function: offer.function,
            is_retry: offer.is_retry,
            is_migrated: offer.is_migrated,
            timeout_at: offer.timeout_at,
            expected_work: offer.expected_work,
            concurrency: offer.concurrency,
            load_time: offer.load_time,
        };
        self.run_policy(now, host, |dispatcher, now, out| {
            dispatcher.on_invocation(now, &inv, out)
        });
        Ok(id)
    }

    /// Whether a dispatch may leave now. It is asked as its bytes do, which may be long after it was decided
    /// on.
    pub fn revalidate_dispatch(&mut self, now: f64, inv: u32, dispatch: u8) -> bool {
        let sent = self
            .registry
            .invocations
            .get(&inv)
            .and_then(|o| o.dispatches.get(usize::from(dispatch)));
        sent.is_some_and(|s| s.status.is_none())
            && self
                .policy
                .revalidate_dispatch(now.max(self.registry.now), inv, dispatch)
    }

    /// The same of an order to load that was given at a moment.
    pub fn revalidate_load(&mut self, now: f64, to: ExecutorId, at: f64) -> bool {
        self.policy
            .revalidate_load(now.max(self.registry.now), to, at)
    }

    /// A dispatch has ended. What was cancelled, timed out or ended before is not heard again.
    pub fn on_dispatch_result(
        &mut self,
        now: f64,
        inv: u32,
        n: u8,
        ending: DispatchStatus,
        told: ResponseMetadata,
        host: &mut dyn Host,
    ) {
        let Some(open) = self.registry.invocations.get_mut(&inv) else {
            return;
        };
        let streamed = open.streaming_dispatch == Some(n);
        let Some(sent) = open
            .dispatches
            .get_mut(usize::from(n))
            .filter(|s| s.status.is_none())
        else {
            return;
        };
        sent.status = Some(ending);
        if ending == DispatchStatus::Ok && !streamed && self.registry.close(inv).is_some() {
            self.registry.counters.succeeded += 1;
            host.succeeded(inv, n);
        }
        self.registry.now = now.max(self.registry.now);
        self.report_result(inv, n, told, host);
        self.run_policy(now, host, |_, _, _| {});
    }

    /// The answer of a dispatch begins to stream. Tells whether it is the client's: it isn't where the
    /// invocation is over or another dispatch was first.
    pub fn on_response_started(
        &mut self,
        now: f64,
        inv: u32,
        dispatch: u8,
        host: &mut dyn Host,
    ) -> bool {
        let Some(open) = self.registry.invocations.get_mut(&inv) else {
            return false;
        };
        let out = open
            .dispatches
            .get(usize::from(dispatch))
            .is_some_and(|s| s.status.is_none());
        if open.is_answered || open.streaming_dispatch.is_some() || !out {
            return false;
        }
        open.streaming_dispatch = Some(dispatch);
        self.registry.close(inv);
        self.registry.counters.succeeded += 1;
        host.succeeded(inv, dispatch);
        self.run_policy(now, host, |dispatcher, now, out| {
            dispatcher.on_response_started(now, inv, dispatch, out)
        });
        true
    }

    /// The client has gone away: nothing is owed any more.
    pub fn on_client_cancel(&mut self, now: f64, inv: u32, host: &mut dyn Host) {
        if self.registry.close(inv).is_some() {
            self.registry.counters.cancelled_by_client += 1;
            self.run_policy(now, host, |dispatcher, now, out| {
                dispatcher.on_client_cancel(now, inv, out)
            });
            self.registry.remove_if_complete(inv);
        }
    }

    pub fn on_endpoint_update(
        &mut self,
        now: f64,
        kind: EndpointUpdateKind,
        rows: &[Endpoint],
        host: &mut dyn Host,
    ) {
        self.run_policy(now, host, |dispatcher, now, out| {
            dispatcher.on_endpoint_update(now, kind, rows, out)
        });
    }

    /// The roster was true at a time: what was asked then has been answered.
    pub fn on_view_confirmed(&mut self, now: f64, at: f64, host: &mut dyn Host) {
        self.run_policy(now, host, |dispatcher, now, out| {
            dispatcher.on_view_confirmed(now, at, out)
        });
    }

    /// The process did not run for a while: nothing leaves on the roster that it had, until it is confirmed.
    pub fn on_process_stall(&mut self, now: f64) {
        self.registry.now = now.max(self.registry.now);
        self.policy.on_process_stall(self.registry.now);
    }

    /// The source of the roster does not answer what was asked at a time. Whoever tells this goes on asking.
    pub fn on_view_lost(&mut self, now: f64, asked_at: f64) {
        self.registry.now = now.max(self.registry.now);
        self.policy.on_view_lost(self.registry.now, asked_at);
    }

    pub fn on_membership_change(&mut self, now: f64, living: MembershipView, host: &mut dyn Host) {
        self.run_policy(now, host, |dispatcher, now, out| {
            dispatcher.on_membership_change(now, living, out)
        });
    }

    /// Whether an invocation is of the trigger type at an index: open, or with a dispatch still out.
    pub fn uses_trigger_type(&self, index: usize) -> bool {
        self.registry
            .invocations
            .values()
            .any(|open| open.trigger_type == index)
    }

    /// Appends a trigger type (at the number of those that there are), or replaces one that is not in use.
    /// What is open keeps the type that it was taken with.
    ///
    /// # Errors
    /// As told by `ConfigRefused`; then nothing is changed.
    pub fn set_trigger_type(
        &mut self,
        now: f64,
        index: usize,
        ty: TriggerType,
    ) -> Result<(), ConfigError> {
        if self.uses_trigger_type(index) {
            return Err(ConfigError::InUse { index });
        }
        self.registry.now = now.max(self.registry.now);
        self.policy.set_trigger_type(self.registry.now, index, ty)
    }

    /// Sets the customers' shares, in invocations a second over all front ends. Customers that had one keep
    /// what they saved up, within the new bound; new ones begin like at the start.
    ///
    /// # Errors
    /// As told by `ConfigRefused`; then nothing is changed.
    pub fn set_quotas(&mut self, now: f64, quotas: Vec<f64>) -> Result<(), ConfigError> {
        self.registry.now = now.max(self.registry.now);
        self.policy.set_quotas(self.registry.now, quotas)
    }

    /// The answer to an order to load.
    pub fn on_load_result(
        &mut self,
        now: f64,
        at: ExecutorId,
        function: u64,
        ending: DispatchStatus,
        host: &mut dyn Host,
    ) {
        self.run_policy(now, host, |dispatcher, now, out| {
            dispatcher.on_load_result(now, at, function, ending, out)
        });
    }

    /// Copies wanted ahead of invocations; tells how many executors are known to serve the function.
    pub fn prewarm(&mut self, now: f64, wish: &PrewarmRequest, host: &mut dyn Host) -> usize {
        let mut known = 0;
        self.run_policy(now, host, |dispatcher, now, out| {
            known = dispatcher.prewarm(now, wish, out)
        });
        known
    }

    /// Dispatches that an invocation has had.
    pub fn dispatch_count(&self, inv: u32) -> usize {
        self.registry
            .invocations
            .get(&inv)
            .map_or(0, |o| o.dispatches.len())
    }

    /// Time-outs, the module's timer, and the last look at what should have been answered.
    pub fn run_due_timers(&mut self, now: f64, host: &mut dyn Host) {
        while let Some(&Reverse((at, inv, n))) = self.registry.deadlines.peek() {
            if at.0 > now {
                break;
            }
            self.registry.deadlines.pop();
            match n {
                Some(n) => {
                    let open = self
                        .registry
                        .invocations
                        .get(&inv)
                        .filter(|o| o.streaming_dispatch != Some(n));
                    let sent = open.and_then(|o| o.dispatches.get(usize::from(n)));
                    if sent.is_some_and(|s| s.status.is_none()) {
                        host.cancel(inv, n);
                        self.on_dispatch_result(
                            now,
                            inv,
                            n,
                            DispatchStatus::TimedOut,
                            NO_METADATA,
                            host,
                        );
                    }
                }
                None => {
                    let Some(open) = self.registry.close(inv) else {
                        continue;
                    };
                    let may_have_run = open.may_have_run();
                    self.registry.counters.failed += 1;
                    self.registry.counters.overdue += 1;
                    host.failed(inv, FailureReason::TimedOut, may_have_run);
                    self.run_policy(now, host, |dispatcher, now, out| {
                        dispatcher.on_client_cancel(now, inv, out)
                    });
                    self.registry.remove_if_complete(inv);
                }
            }
        }
        if self.registry.policy_timer_at.is_some_and(|at| at <= now) {
            self.registry.policy_timer_at = None;
            self.run_policy(now, host, |dispatcher, now, out| {
                dispatcher.on_timer(now, out)
            });
        }
    }
}
