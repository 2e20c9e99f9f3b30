//! Invocations: what they carry, their admission, and their final answers.

use super::Router;
use super::revision::{Revision, TriggerTypeInForce};
use crate::config::{AdmissionDenial, Subject};
use bytes::Bytes;
use futures_channel::oneshot;
use orchidtally_deployment::Function;
use orchidtally_engine::{AdmissionError, FailureReason, InvocationRequest};
use orchidtally_rollout::split::InvocationAttributes;
use orchidtally_rollout::{PublishedState, ResolvedVersion, RolloutAssignment};
use std::cell::Cell;
use std::rc::Rc;
use tracing::info;

/// An invocation that was admitted.
struct AdmittedInvocation {
    /// The engine's id of it, which changes when it migrates to another version.
    invocation: Rc<Cell<u32>>,
    answer: oneshot::Receiver<FinalAnswer>,
}

/// Cancels an invocation whose client disconnects before the answer.
struct CancelGuard<'a> {
    router: &'a Router,
    invocation: Rc<Cell<u32>>,
    is_answered: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.router.cancel_invocation(self.invocation.get());
        }
    }
}

/// What all dispatches of an invocation have in common.
pub struct InvocationContext {
    /// The name of the invocation.
    pub name: String,
    /// The name of the function.
    pub function: Rc<str>,
    /// The digest of its version; empty where the function has none.
    pub digest: Rc<str>,
    /// Set where a rollout chose its version.
    pub rollout_assignment: Option<RolloutAssignment>,
    /// Set when a dispatch of it failed in a way that counts against its version.
    pub version_failed: Cell<bool>,
    /// Identifies the executor of the last dispatch; 0 before the first.
    pub last_executor: Cell<u64>,
    /// The number of dispatches before it migrated to another version.
    pub prior_dispatches: u32,
    /// The revision that it was admitted under.
    pub revision: Rc<Revision>,
    /// The trigger type, as that revision has it.
    pub trigger_type: Rc<TriggerTypeInForce>,
    /// The name of the customer; empty where there is none.
    pub customer: String,
    /// The idempotency key; empty where there is none.
    pub idempotency_key: String,
    /// The body, in chunks.
    pub payload: Vec<Bytes>,
    /// The length of the body in bytes.
    pub payload_bytes: u64,
}

/// The customer of an invocation.
#[derive(Clone, Copy, Debug)]
pub struct NamedCustomer<'a> {
    /// The index in the engine.
    pub index: usize,
    /// The name; it may be empty where the deployment has no customers.
    pub name: &'a str,
}

/// A request of an ingress to invoke a function.
pub struct IngressRequest<'a> {
    /// The name of the invocation.
    pub name: String,
    /// The name of the function.
    pub function: Rc<str>,
    /// The version that it gets.
    pub resolved: ResolvedVersion,
    /// The revision under which it was looked up.
    pub revision: Rc<Revision>,
    /// Its trigger type in that revision.
    pub trigger_type: Rc<TriggerTypeInForce>,
    /// Its customer in that revision.
    pub customer: NamedCustomer<'a>,
    /// The idempotency key; empty where there is none.
    pub idempotency_key: &'a str,
    /// Whether it is a client retry.
    pub is_retry: bool,
    /// When the final answer is due, in seconds of [`Router::now`].
    pub timeout_at: f64,
    /// The body, in chunks.
    pub payload: Vec<Bytes>,
    /// The length of the body in bytes.
    pub payload_bytes: u64,
}

impl IngressRequest<'_> {
    /// The names of the configuration entries that it uses.
    pub fn subject(&self) -> Subject<'_> {
        let trigger_type = &self.trigger_type.settings.name;
        Subject {
            function: &self.function,
            trigger_type,
            customer: self.customer.name,
        }
    }
}

/// Why an invocation was not admitted; it was not dispatched.
#[derive(Clone, Debug, PartialEq)]
pub enum RejectionReason {
    /// The limit of open invocations is reached.
    AtCapacity,
    /// The front end is shutting down.
    ShuttingDown,
    /// The configuration doesn't admit it.
    Denied(AdmissionDenial),
}

impl From<AdmissionError> for RejectionReason {
    fn from(error: AdmissionError) -> RejectionReason {
        match error {
            AdmissionError::AtCapacity => RejectionReason::AtCapacity,
            AdmissionError::ShuttingDown => RejectionReason::ShuttingDown,
        }
    }
}

/// The executor ended a streamed response before it was complete.
#[derive(Debug, thiserror::Error)]
#[error("the executor ended its response before it was complete")]
pub struct ResponseTruncated;

/// The front end dropped an invocation without a final answer. The function may have run.
#[derive(Debug, thiserror::Error)]
#[error("the front end lost track of it")]
pub struct AnswerLost;

/// The body of an executor's response.
pub enum ExecutorResponse {
    /// The complete body.
    Complete(Vec<Bytes>),
    /// The chunks as they arrive.
    Streamed(async_channel::Receiver<Result<Bytes, ResponseTruncated>>),
}

/// The final answer to the client.
pub enum FinalAnswer {
    /// The function has succeeded.
    Succeeded(ExecutorResponse),
    /// It was not dispatched in time; nothing has run.
    Rejected {
        /// Seconds after which the client may retry.
        retry_after: f64,
        /// Whether the customer is over its quota.
        over_quota: bool,
    },
    /// No executor has responded in time, or the function failed.
    Failed {
        /// The reason of the failure.
        reason: FailureReason,
        /// Whether the function may have run.
        may_have_run: bool,
    },
    /// The configuration doesn't admit it any more.
    Denied {
        /// The reason.
        denial: AdmissionDenial,
        /// Whether the function may have run.
        may_have_run: bool,
    },
}

/// The client that waits for the final answer of an invocation.
pub(super) struct Client {
    pub(super) context: Rc<InvocationContext>,
    pub(super) request: InvocationRequest,
    /// The engine's id of it, which changes when it migrates to another version.
    pub(super) invocation: Rc<Cell<u32>>,
    pub(super) reply: oneshot::Sender<FinalAnswer>,
}

impl Router {
    /// Admits an invocation. The receiver gets its final answer.
    fn admit(
        &self,
        request: InvocationRequest,
        context: InvocationContext,
    ) -> Result<AdmittedInvocation, AdmissionError> {
        let (reply, answer) = oneshot::channel();
        let invocation = Rc::new(Cell::new(0));
        let client = Client {
            context: Rc::new(context),
            request,
            invocation: invocation.clone(),
            reply,
        };
        self.run_engine(|engine, now, action_executor| action_executor.admit(engine, now, client))?;
        Ok(AdmittedInvocation { invocation, answer })
    }

    /// Invokes a function and waits for the final answer. Dropping the future cancels the invocation.
    ///
    /// # Errors
    /// The invocation was not admitted: nothing of it was dispatched.
    pub async fn invoke(
        &self,
        ingress_request: IngressRequest<'_>,
    ) -> Result<Result<FinalAnswer, AnswerLost>, RejectionReason> {
        let AdmittedInvocation { invocation, answer } = self.admit_request(ingress_request)?;
        let mut guard = CancelGuard {
            router: self,
            invocation,
            is_answered: false,
        };
        let answer = answer.await;
        guard.is_answered = true;
        Ok(answer.map_err(|_| AnswerLost))
    }

    fn admit_request(
        &self,
        ingress_request: IngressRequest,
    ) -> Result<AdmittedInvocation, RejectionReason> {
        self.check_admission(&ingress_request.revision, &ingress_request.subject())?;
        let ResolvedVersion {
            version,
            assignment: rollout_assignment,
        } = ingress_request.resolved;
        let request = InvocationRequest {
            trigger_type: ingress_request.trigger_type.index,
            customer: ingress_request.customer.index,
            function: version.key,
            is_retry: ingress_request.is_retry,
            is_migrated: false,
            timeout_at: ingress_request.timeout_at,
            expected_work: version.expected_work,
            concurrency: version.concurrency,
            load_time: version.load_time,
        };
        let context = InvocationContext {
            name: ingress_request.name,
            function: ingress_request.function,
            digest: version.digest,
            rollout_assignment,
            version_failed: Cell::new(false),
            last_executor: Cell::new(0),
            prior_dispatches: 0,
            revision: ingress_request.revision,
            trigger_type: ingress_request.trigger_type,
            customer: ingress_request.customer.name.to_owned(),
            idempotency_key: ingress_request.idempotency_key.to_owned(),
            payload: ingress_request.payload,
            payload_bytes: ingress_request.payload_bytes,
        };
        Ok(self.admit(request, context)?)
    }

    /// The name of the front end's own location.
    pub fn location(&self) -> &str {
        self.deployment
            .locations
            .get(usize::from(self.deployment.policy.zone))
            .map_or("", String::as_str)
    }

    /// The version that an invocation gets, and whether it counts as evidence.
    pub fn resolve(
        &self,
        function: &Function,
        requested_version: Option<&str>,
        trigger_type: usize,
        customer: usize,
        caller: &InvocationAttributes,
    ) -> Option<ResolvedVersion> {
        self.traffic_split.borrow_mut().resolve(
            function,
            requested_version,
            trigger_type,
            customer,
            caller,
        )
    }

    /// Applies the published rollouts. Waiting invocations of a rolled-back version migrate to the old version, and
    /// versions that are due are prewarmed.
    pub fn apply_rollouts(&self, published: Option<PublishedState>) {
        let now = self.now();
        let revision = self.revision();
        let mut traffic_split = self.traffic_split.borrow_mut();
        let find = |name: &str| revision.deployment.functions.get(name).cloned();
        let mut rolled_back =
            published.map_or_else(Vec::new, |p| traffic_split.adopt(now, p, find));
        rolled_back.extend(traffic_split.tick(now));
        let due = traffic_split.prewarm_commands(now);
        drop(traffic_split);
        for &run in &rolled_back {
            info!(run, "rollout rolled back");
            self.run_engine(|engine, now, action_executor| {
                action_executor.migrate_waiting(engine, now, run)
            });
        }
        for prewarm in due {
            let prewarm_request = orchidtally_dispatch_policy::interface::PrewarmRequest {
                function: prewarm.version.key,
                concurrency: prewarm.version.concurrency,
                load_time: prewarm.version.load_time,
                replicas: prewarm.replicas,
            };
            let (is_known, is_ordered) = self.run_engine(|engine, now, action_executor| {
                action_executor.record_version_name(
                    prewarm.version.key,
                    prewarm.function.as_str().into(),
                    prewarm.version.digest.clone(),
                );
                let before = engine.counters().load_commands;
                (
                    engine.prewarm(now, &prewarm_request, action_executor),
                    engine.counters().load_commands > before,
                )
            });
            self.traffic_split
                .borrow_mut()
                .on_prewarm_result(&prewarm, is_known, is_ordered);
        }
    }

    fn cancel_invocation(&self, invocation: u32) {
        self.run_engine(|engine, now, action_executor| {
            engine.on_client_cancel(now, invocation, action_executor);
            action_executor.clients.remove(&invocation);
        });
    }
}
