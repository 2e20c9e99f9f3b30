//! Performs what the engine commands: dispatches, orders, probes and final answers.

use super::exchange::{Dispatch, Timing};
use super::invocation::{Client, ExecutorResponse, FinalAnswer, InvocationContext};
use super::{Router, number, seconds};
use crate::pool::{ConnectionLimits, Pool};
use async_executor::Task;
use orchidtally_deployment::Version;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::{AdmissionError, Engine, FailureReason, Host};
use orchidtally_executor_protocol::v1;
use orchidtally_executor_protocol::{HEALTH_CHECK, frame};
use orchidtally_rollout::frontend::{AnswerOutcome, may_migrate};
use orchidtally_rollout::{Cohort, RolloutAssignment};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Instant;
use tracing::{debug, info, warn};

/// An invocation with less time left than this, in seconds, is not moved to another version.
const MIN_TIME_TO_MIGRATE: f64 = 0.05;
/// Numbers that an invocation's dispatches may have had before it was moved; those after it go on from here.
const MAX_DISPATCHES: u32 = 256;

/// An invocation of a rolled-back version, to be admitted again for the old one.
pub(super) struct Migration {
    client: Client,
    to: Version,
    dispatched: u32,
}

/// A function's version by name, for orders.
pub(super) struct VersionName {
    function: Rc<str>,
    digest: Rc<str>,
    pub(super) at: Instant,
}

/// Performs what the engine commands.
pub struct ActionExecutor {
    router: Weak<Router>,
    pub(super) clients: HashMap<u32, Client>,
    /// Dispatches that are out; dropping one abandons its stream.
    pub(super) dispatch_tasks: HashMap<(u32, u8), Task<()>>,
    pub(super) pools: HashMap<ExecutorId, Rc<Pool>>,
    /// Names of versions that were invoked lately, by key: orders name them.
    pub(super) version_names: HashMap<u64, VersionName>,
    /// The client whose invocation is being admitted.
    admitting: Option<Client>,
    /// The payload of the dispatch that is being reported as ended.
    pub(super) executor_response: Option<ExecutorResponse>,
    /// How long that dispatch took.
    pub(super) timing: Option<Timing>,
    pub(super) migrations: Vec<Migration>,
    endpoint_subscription: Option<Task<()>>,
    /// The time of the engine's present call.
    pub(super) now: f64,
}

impl ActionExecutor {
    pub(super) fn new(router: Weak<Router>) -> ActionExecutor {
        ActionExecutor {
            router,
            clients: HashMap::new(),
            dispatch_tasks: HashMap::new(),
            pools: HashMap::new(),
            version_names: HashMap::new(),
            admitting: None,
            executor_response: None,
            timing: None,
            migrations: vec![],
            endpoint_subscription: None,
            now: 0.0,
        }
    }

    fn pool(&mut self, router: &Rc<Router>, to: ExecutorId) -> Rc<Pool> {
        let bounds = &router.deployment.limits;
        let limits = ConnectionLimits {
            streams_per_connection: bounds.max_streams_per_connection,
            connections: bounds.max_connections_per_executor,
            connect_time: seconds(bounds.connect_timeout),
            idle_close: seconds(bounds.idle_timeout),
            header_bytes: bounds.max_header_bytes,
        };
        let new = || Pool::new(SocketAddr::new(to.0, to.1), limits, router.spawner());
        self.pools.entry(to).or_insert_with(new).clone()
    }

    pub(super) fn remember_version(&mut self, key: u64, function: Rc<str>, digest: Rc<str>) {
        self.version_names.insert(
            key,
            VersionName {
                function,
                digest,
                at: Instant::now(),
            },
        );
    }

    pub(super) fn admit(
        &mut self,
        engine: &mut Engine,
        now: f64,
        client: Client,
    ) -> Result<u32, AdmissionError> {
        self.remember_version(
            client.request.function,
            client.work.function.clone(),
            client.work.digest.clone(),
        );
        let request = client.request.clone();
        self.admitting = Some(client);
        let admitted_invocation = engine.admit(now, &request, self);
        if admitted_invocation.is_ok() {
            self.admitting = None;
        }
        admitted_invocation
    }

    /// What waits and was never dispatched goes to the old version, whatever its effect: nothing has run.
    pub(super) fn migrate_waiting(&mut self, engine: &mut Engine, now: f64, run: u64) {
        let Some(router) = self.router.upgrade() else {
            return;
        };
        let Some(to) = router.traffic_split.borrow().rollback_target(run) else {
            return;
        };
        let is_new = |c: &Client| {
            c.work
                .invoked
                .is_some_and(|i| i.run == run && i.cohort == Cohort::Canary)
        };
        let mut waiting: Vec<u32> = self
            .clients
            .iter()
            .filter(|(invocation, c)| is_new(c) && engine.dispatch_count(**invocation) == 0)
            .map(|(&invocation, _)| invocation)
            .collect();
        waiting.sort_unstable();
        for invocation in waiting {
            engine.on_client_cancel(now, invocation, self);
            if let Some(client) = self.clients.remove(&invocation) {
                self.migrations.push(Migration {
                    client,
                    to: to.clone(),
                    dispatched: 0,
                });
            }
        }
    }

    /// Takes an invocation anew, for another version. The change is in the log, and in the names of its dispatches.
    pub(super) fn readmit(&mut self, engine: &mut Engine, now: f64, migrations: Migration) {
        let Migration {
            client:
                Client {
                    work,
                    mut request,
                    invocation,
                    reply,
                },
            to,
            dispatched,
        } = migrations;
        info!(invocation = work.name, function = %work.function, from = %work.digest, to = %to.digest, "invocation migrated to the old version");
        (request.function, request.is_migrated) = (to.key, true);
        (
            request.concurrency,
            request.load_time,
            request.expected_work,
        ) = (to.concurrency, to.load_time, to.expected_work);
        let work = Rc::new(InvocationContext {
            name: work.name.clone(),
            function: work.function.clone(),
            digest: to.digest.clone(),
            invoked: None,
            failed: Cell::new(false),
            last: Cell::new(0),
            dispatched: work.dispatched + dispatched,
            revision: work.revision.clone(),
            trigger_type: work.trigger_type.clone(),
            customer: work.customer.clone(),
            token: work.token.clone(),
            payload: work.payload.clone(),
            payload_bytes: work.payload_bytes,
        });
        if self
            .admit(
                engine,
                now,
                Client {
                    work,
                    request,
                    invocation,
                    reply,
                },
            )
            .is_err()
            && let Some(client) = self.admitting.take()
        {
            // The front end is ending or full; asking again is harmless, or it would not have been moved.
            let _ = client.reply.send(FinalAnswer::Rejected {
                retry_after: 0.0,
                past_share: false,
            });
        }
    }

    /// Sends the final answer of an invocation to its client; no other function does. What it came to is evidence on
    /// its version.
    fn answer(&mut self, invocation: u32, answer: FinalAnswer) {
        let Some(client) = self.clients.remove(&invocation) else {
            return;
        };
        let timing = self.timing.take();
        if let (Some(invoked), Some(router)) = (client.work.invoked, self.router.upgrade())
            && let Some(to) = add_evidence(&router, &client, &invoked, &answer, timing)
            && client.request.timeout_at - router.now() > MIN_TIME_TO_MIGRATE
        {
            self.migrations.push(Migration {
                client,
                to,
                dispatched: MAX_DISPATCHES,
            });
            return;
        }
        // A client that went away meanwhile needs no answer.
        let _ = client.reply.send(answer);
    }

    fn send_load_command(
        &mut self,
        to: ExecutorId,
        function: u64,
        kind: v1::OrderKind,
        copies: u8,
    ) {
        let Some(router) = self.router.upgrade() else {
            return;
        };
        let Some(named) = self.version_names.get(&function) else {
            warn!(
                function,
                "load command skipped: function not invoked recently"
            );
            return;
        };
        let order = v1::Order {
            from: Some(router.sender.get()),
            kind: kind.into(),
            function: named.function.to_string(),
            digest: named.digest.to_string(),
            copies: copies.into(),
        };
        let pool = self.pool(&router, to);
        if let Some(task) = router.spawn(
            router
                .clone()
                .send_load_command(to, pool, order, function, self.now),
        ) {
            task.detach();
        }
    }
}

/// Adds the final answer of an invocation to the evidence on its version. Returns the old version where the invocation
/// may migrate to it: its own was rolled back and the answer is a failure.
fn add_evidence(
    router: &Router,
    client: &Client,
    invoked: &RolloutAssignment,
    answer: &FinalAnswer,
    timing: Option<Timing>,
) -> Option<Version> {
    let mut traffic_split = router.traffic_split.borrow_mut();
    let work = &client.work;
    let (outcome, may_have_run) = match answer {
        FinalAnswer::Succeeded(_) => {
            let Timing { took, warm } = timing.unwrap_or(Timing {
                took: 0.0,
                warm: false,
            });
            (AnswerOutcome::Succeeded { took, warm }, true)
        }
        FinalAnswer::Rejected { .. } => (AnswerOutcome::Throttled, false),
        FinalAnswer::Refused { may_have_run, .. } => (AnswerOutcome::Throttled, *may_have_run),
        FinalAnswer::Failed { may_have_run, .. } => (AnswerOutcome::Errored, *may_have_run),
    };
    if let FinalAnswer::Failed {
        cause: FailureReason::TimedOut,
        ..
    } = answer
        && work.last.get() != 0
    {
        let counts = traffic_split.record_dispatch_failure(
            router.now(),
            work.last.get(),
            client.request.function,
            true,
        );
        work.failed.set(work.failed.get() | counts);
    }
    traffic_split.record_outcome(invoked, outcome, work.failed.get());
    let has_failed = !matches!(outcome, AnswerOutcome::Succeeded { .. });
    let is_idempotent = work.trigger_type.policy.idempotency == Idempotency::Idempotent;
    let moves =
        has_failed && may_migrate(is_idempotent, may_have_run) && invoked.cohort == Cohort::Canary;
    traffic_split.rollback_target(invoked.run).filter(|_| moves)
}

impl Host for ActionExecutor {
    fn admitted(&mut self, invocation: u32) {
        if let Some(client) = self.admitting.take() {
            client.invocation.set(invocation);
            self.clients.insert(invocation, client);
        }
    }

    fn dispatch(&mut self, invocation: u32, dispatch: u8, to: ExecutorId, _within: f64) {
        let Some(router) = self.router.upgrade() else {
            return;
        };
        let Some(client) = self.clients.get(&invocation) else {
            return;
        };
        let (work, version) = (client.work.clone(), client.request.function);
        let timeout_at = client.request.timeout_at;
        work.last.set(number(to));
        let pool = self.pool(&router, to);
        let work = Dispatch {
            invocation,
            number: dispatch,
            to,
            pool,
            work,
            version,
            timeout_at,
        };
        if let Some(task) = router.spawn(router.clone().dispatch(work)) {
            self.dispatch_tasks.insert((invocation, dispatch), task);
        }
    }

    fn cancel(&mut self, invocation: u32, dispatch: u8) {
        // Dropping the task drops its stream, which resets it.
        self.dispatch_tasks.remove(&(invocation, dispatch));
    }

    fn succeeded(&mut self, invocation: u32, _dispatch: u8) {
        let executor_response = self
            .executor_response
            .take()
            .unwrap_or(ExecutorResponse::Whole(vec![]));
        self.answer(invocation, FinalAnswer::Succeeded(executor_response));
    }

    fn rejected(&mut self, invocation: u32, retry_after: f64, past_share: bool) {
        self.answer(
            invocation,
            FinalAnswer::Rejected {
                retry_after,
                past_share,
            },
        );
    }

    fn failed(&mut self, invocation: u32, cause: FailureReason, may_have_run: bool) {
        self.answer(
            invocation,
            FinalAnswer::Failed {
                cause,
                may_have_run,
            },
        );
    }

    fn load(&mut self, to: ExecutorId, function: u64, copies: u8) {
        self.send_load_command(to, function, v1::OrderKind::Hold, copies);
    }

    fn query_replicas(&mut self, to: ExecutorId, function: u64) {
        self.send_load_command(to, function, v1::OrderKind::Ask, 0);
    }

    fn unload(&mut self, to: ExecutorId, function: u64) {
        self.send_load_command(to, function, v1::OrderKind::Unload, 0);
    }

    fn health_check(&mut self, to: ExecutorId) {
        let Some(router) = self.router.upgrade() else {
            return;
        };
        let pool = self.pool(&router, to);
        let probe = frame(&v1::Probe {
            from: Some(router.sender.get()),
        });
        let work = async move {
            let answered = pool
                .exchange::<v1::ProbeAnswer>(HEALTH_CHECK, probe, &[])
                .await;
            debug!(executor = %to.0, report = ?answered.ok().map(|a| a.0.report), "health check finished");
        };
        if let Some(task) = router.spawn(work) {
            task.detach();
        }
    }

    fn subscribe_to_endpoints(&mut self) {
        let Some(router) = self.router.upgrade() else {
            return;
        };
        if let Some(task) = (router.watch_endpoints)(&router) {
            self.endpoint_subscription = Some(task);
        }
    }
}
