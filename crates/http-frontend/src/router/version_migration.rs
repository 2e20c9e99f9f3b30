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
    pub(super) to: Version,
    pub(super) dispatched: u32,
}

impl ActionExecutor {
    /// Moves waiting invocations that were never dispatched to the old version, idempotent or not: nothing has run.
    pub(super) fn migrate_waiting(&mut self, engine: &mut Engine, now: f64, run: u64) {
        let Some(router) = self.router.upgrade() else {
            return;
        };
        let Some(to) = router.traffic_split.borrow().rollback_target(run) else {
            return;
        };
        let is_new = |client: &Client| {
            client
                .work
                .invoked
                .is_some_and(|i| i.run == run && i.cohort == Cohort::Canary)
        };
        let mut waiting: Vec<u32> = self
            .clients
            .iter()
            .filter(|(invocation, client)| {
                is_new(client) && engine.dispatch_count(**invocation) == 0
            })
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

    /// Admits an invocation again, for another version. The change is logged, and its dispatches carry the new digest.
    pub(super) fn readmit(&mut self, engine: &mut Engine, now: f64, migration: Migration) {
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
        } = migration;
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
            // The front end is shutting down or at capacity. A client retry is harmless: otherwise it would not be migrated.
            let _ = client.reply.send(FinalAnswer::Rejected {
                retry_after: 0.0,
                past_share: false,
            });
        }
    }
}
