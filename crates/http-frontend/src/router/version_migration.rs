//! Migrates invocations of a rolled-back version to the old one.

use super::action_executor::ActionExecutor;
use super::invocation::{Client, FinalAnswer, InvocationContext};
use orchidtally_deployment::Version;
use orchidtally_engine::Engine;
use orchidtally_rollout::Cohort;
use std::cell::Cell;
use std::rc::Rc;
use tracing::info;

/// An invocation of a rolled-back version, to be admitted again for the old one.
pub(super) struct Migration {
    pub(super) client: Client,
    pub(super) target_version: Version,
    pub(super) prior_dispatches: u32,
}

impl ActionExecutor {
    /// Migrates waiting invocations that were never dispatched to the old version. Non-idempotent ones migrate as well,
    /// as nothing has run.
    pub(super) fn migrate_waiting(&mut self, engine: &mut Engine, now: f64, run: u64) {
        let Some(router) = self.router.upgrade() else {
            return;
        };
        let Some(target_version) = router.traffic_split.borrow().rollback_target(run) else {
            return;
        };
        let runs_rolled_back_version = |client: &Client| {
            client
                .context
                .rollout_assignment
                .is_some_and(|i| i.run == run && i.cohort == Cohort::Canary)
        };
        let mut waiting: Vec<u32> = self
            .clients
            .iter()
            .filter(|(invocation, client)| {
                runs_rolled_back_version(client) && engine.dispatch_count(**invocation) == 0
            })
            .map(|(&invocation, _)| invocation)
            .collect();
        waiting.sort_unstable();
        for invocation in waiting {
            engine.on_client_cancel(now, invocation, self);
            if let Some(client) = self.clients.remove(&invocation) {
                self.migrations.push(Migration {
                    client,
                    target_version: target_version.clone(),
                    prior_dispatches: 0,
                });
            }
        }
    }

    /// Admits an invocation again, for another version. The change is logged, and its dispatches carry the new digest.
    pub(super) fn readmit(&mut self, engine: &mut Engine, now: f64, migration: Migration) {
        let Migration {
            client:
                Client {
                    context,
                    mut request,
                    invocation,
                    reply,
                },
            target_version,
            prior_dispatches,
        } = migration;
        info!(invocation = context.name, function = %context.function, from = %context.digest, to = %target_version.digest, "invocation migrated to the old version");
        (request.function, request.is_migrated) = (target_version.key, true);
        (
            request.concurrency,
            request.load_time,
            request.expected_work,
        ) = (
            target_version.concurrency,
            target_version.load_time,
            target_version.expected_work,
        );
        let context = Rc::new(InvocationContext {
            name: context.name.clone(),
            function: context.function.clone(),
            digest: target_version.digest.clone(),
            rollout_assignment: None,
            version_failed: Cell::new(false),
            last_executor: Cell::new(0),
            prior_dispatches: context.prior_dispatches + prior_dispatches,
            revision: context.revision.clone(),
            trigger_type: context.trigger_type.clone(),
            customer: context.customer.clone(),
            idempotency_key: context.idempotency_key.clone(),
            payload: context.payload.clone(),
            payload_bytes: context.payload_bytes,
        });
        if self
            .admit(
                engine,
                now,
                Client {
                    context,
                    request,
                    invocation,
                    reply,
                },
            )
            .is_err()
            && let Some(client) = self.admitting.take()
        {
            // The front end is shutting down or at capacity. A client retry is safe, as only invocations that may run
            // again are migrated.
            let _ = client.reply.send(FinalAnswer::Rejected {
                retry_after: 0.0,
                over_quota: false,
            });
        }
    }
}
