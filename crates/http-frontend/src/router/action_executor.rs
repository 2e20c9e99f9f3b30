//! Performs the actions of the engine: dispatches, load commands, health checks and final answers.

use super::exchange::{Dispatch, Timing};
use super::invocation::{Client, ExecutorResponse, FinalAnswer};
use super::version_evidence::add_evidence;
use super::version_migration::Migration;
use super::{Router, executor_number, seconds};
use crate::pool::{ConnectionLimits, Pool};
use async_executor::Task;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::{AdmissionError, Engine, FailureReason, Host};
use orchidtally_executor_protocol::v1;
use orchidtally_executor_protocol::{HEALTH_CHECK_PATH, frame};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Instant;
use tracing::{debug, warn};

/// An invocation with less time left than this, in seconds, is not migrated to another version.
const MIN_TIME_TO_MIGRATE: f64 = 0.05;
/// Dispatch numbers that are reserved for the attempts before a migration; later dispatches are numbered from here.
const MAX_DISPATCHES: u32 = 256;

/// The names of a function and its version, for load commands.
pub(super) struct VersionName {
    function: Rc<str>,
    digest: Rc<str>,
    pub(super) last_used_at: Instant,
}

/// Performs the actions of the engine.
pub struct ActionExecutor {
    pub(super) router: Weak<Router>,
    pub(super) clients: HashMap<u32, Client>,
    /// Dispatches in flight; dropping one resets its stream.
    pub(super) dispatch_tasks: HashMap<(u32, u8), Task<()>>,
    pub(super) pools: HashMap<ExecutorId, Rc<Pool>>,
    /// Names of recently invoked versions by key; load commands carry them.
    pub(super) version_names: HashMap<u64, VersionName>,
    /// The client whose invocation is being admitted.
    pub(super) admitting: Option<Client>,
    /// The payload of the dispatch whose result is being reported.
    pub(super) executor_response: Option<ExecutorResponse>,
    /// How long that dispatch took.
    pub(super) timing: Option<Timing>,
    pub(super) migrations: Vec<Migration>,
    endpoint_subscription: Option<Task<()>>,
    /// The time of the current call of the engine.
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

    fn pool(&mut self, router: &Rc<Router>, executor: ExecutorId) -> Rc<Pool> {
        let deployment_limits = &router.deployment.limits;
        let limits = ConnectionLimits {
            max_streams_per_connection: deployment_limits.max_streams_per_connection,
            connections: deployment_limits.max_connections_per_executor,
            connect_timeout: seconds(deployment_limits.connect_timeout),
            idle_timeout: seconds(deployment_limits.idle_timeout),
            max_header_bytes: deployment_limits.max_header_bytes,
        };
        let new = || {
            Pool::new(
                SocketAddr::new(executor.0, executor.1),
                limits,
                router.spawner(),
            )
        };
        self.pools.entry(executor).or_insert_with(new).clone()
    }

    pub(super) fn record_version_name(&mut self, key: u64, function: Rc<str>, digest: Rc<str>) {
        self.version_names.insert(
            key,
            VersionName {
                function,
                digest,
                last_used_at: Instant::now(),
            },
        );
    }

    pub(super) fn admit(
        &mut self,
        engine: &mut Engine,
        now: f64,
        client: Client,
    ) -> Result<u32, AdmissionError> {
        self.record_version_name(
            client.request.function,
            client.context.function.clone(),
            client.context.digest.clone(),
        );
        let request = client.request.clone();
        self.admitting = Some(client);
        let admitted_invocation = engine.admit(now, &request, self);
        if admitted_invocation.is_ok() {
            self.admitting = None;
        }
        admitted_invocation
    }

    /// Sends the final answer of an invocation to its client, and adds it to the evidence on the version. An invocation
    /// that may migrate to the old version is queued for that instead.
    fn send_final_answer(&mut self, invocation: u32, answer: FinalAnswer) {
        let Some(client) = self.clients.remove(&invocation) else {
            return;
        };
        let timing = self.timing.take();
        if let (Some(rollout_assignment), Some(router)) =
            (client.context.rollout_assignment, self.router.upgrade())
            && let Some(target_version) =
                add_evidence(&router, &client, &rollout_assignment, &answer, timing)
            && client.request.timeout_at - router.now() > MIN_TIME_TO_MIGRATE
        {
            self.migrations.push(Migration {
                client,
                target_version,
                prior_dispatches: MAX_DISPATCHES,
            });
            return;
        }
        // The client may have disconnected.
        let _ = client.reply.send(answer);
    }

    fn send_load_command(
        &mut self,
        executor: ExecutorId,
        function: u64,
        kind: v1::OrderKind,
        replicas: u8,
    ) {
        let Some(router) = self.router.upgrade() else {
            return;
        };
        let Some(version_name) = self.version_names.get(&function) else {
            warn!(
                function,
                "load command skipped: function not invoked recently"
            );
            return;
        };
        let order = v1::Order {
            from: Some(router.sender.get()),
            kind: kind.into(),
            function: version_name.function.to_string(),
            digest: version_name.digest.to_string(),
            copies: replicas.into(),
        };
        let pool = self.pool(&router, executor);
        if let Some(task) = router.spawn(
            router
                .clone()
                .send_load_command(executor, pool, order, function, self.now),
        ) {
            task.detach();
        }
    }
}

impl Host for ActionExecutor {
    fn admitted(&mut self, invocation: u32) {
        if let Some(client) = self.admitting.take() {
            client.invocation.set(invocation);
            self.clients.insert(invocation, client);
        }
    }

    fn dispatch(&mut self, invocation: u32, dispatch: u8, executor: ExecutorId, _within: f64) {
        let Some(router) = self.router.upgrade() else {
            return;
        };
        let Some(client) = self.clients.get(&invocation) else {
            return;
        };
        let (context, version) = (client.context.clone(), client.request.function);
        let timeout_at = client.request.timeout_at;
        context.last_executor.set(executor_number(executor));
        let pool = self.pool(&router, executor);
        let context = Dispatch {
            invocation,
            number: dispatch,
            executor,
            pool,
            context,
            version,
            timeout_at,
        };
        if let Some(task) = router.spawn(router.clone().dispatch(context)) {
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
            .unwrap_or(ExecutorResponse::Complete(vec![]));
        self.send_final_answer(invocation, FinalAnswer::Succeeded(executor_response));
    }

    fn rejected(&mut self, invocation: u32, retry_after: f64, over_quota: bool) {
        self.send_final_answer(
            invocation,
            FinalAnswer::Rejected {
                retry_after,
                over_quota,
            },
        );
    }

    fn failed(&mut self, invocation: u32, reason: FailureReason, may_have_run: bool) {
        self.send_final_answer(
            invocation,
            FinalAnswer::Failed {
                reason,
                may_have_run,
            },
        );
    }

    fn load(&mut self, executor: ExecutorId, function: u64, replicas: u8) {
        self.send_load_command(executor, function, v1::OrderKind::Hold, replicas);
    }

    fn query_replicas(&mut self, executor: ExecutorId, function: u64) {
        self.send_load_command(executor, function, v1::OrderKind::Ask, 0);
    }

    fn unload(&mut self, executor: ExecutorId, function: u64) {
        self.send_load_command(executor, function, v1::OrderKind::Unload, 0);
    }

    fn health_check(&mut self, executor: ExecutorId) {
        let Some(router) = self.router.upgrade() else {
            return;
        };
        let pool = self.pool(&router, executor);
        let probe = frame(&v1::Probe {
            from: Some(router.sender.get()),
        });
        let context = async move {
            let answered = pool
                .exchange::<v1::ProbeAnswer>(HEALTH_CHECK_PATH, probe, &[])
                .await;
            debug!(executor = %executor.0, report = ?answered.ok().map(|a| a.0.report), "health check finished");
        };
        if let Some(task) = router.spawn(context) {
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
