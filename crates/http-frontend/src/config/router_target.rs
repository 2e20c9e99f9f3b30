//! Ties a host to a front end's router.

use super::admission::Admission;
use super::host::ConfigHost;
use super::overlay::{ConfigView, FUNCTIONS};
use super::{ApplyError, ConfigTarget, HostSettings, SnapshotFile};
use crate::router::Router;
use async_executor::LocalExecutor;
use orchidtally_config_sync::schema::{
    FunctionSpec, GatewayEntry, InvalidEntry, TriggerTypeSpec, Violation,
};
use orchidtally_config_sync::{EntryKey, GatewaySchema, Schema, SettingsError, SyncSettings, View};
use orchidtally_deployment::{Configuration, check_digest, check_function_name};
use orchidtally_etcd::Client;
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// The host of a front end.
pub type RouterConfigHost = ConfigHost<DeploymentSchema, Weak<Router>>;

/// The gateway's schema with what the deployment file asks of the same values.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSchema {
    /// By so much earlier than the client timeout an answer leaves, in seconds.
    pub answer_margin: f64,
}

impl Schema for DeploymentSchema {
    type Entry = GatewayEntry;

    fn parse(&self, key: &EntryKey, spec: serde_json::Value) -> Result<GatewayEntry, InvalidEntry> {
        let entry = GatewaySchema.parse(key, spec)?;
        match &entry {
            GatewayEntry::Function(function) => check_function(key, function)?,
            GatewayEntry::TriggerType(trigger_type) => self.check_trigger_type(trigger_type)?,
            GatewayEntry::Quota(_) => {}
        }
        Ok(entry)
    }

    fn check(&self, candidate: &View<GatewayEntry>, changed: &[EntryKey]) -> Vec<Violation> {
        GatewaySchema.check(candidate, changed)
    }

    fn is_allowed(&self, entry: &GatewayEntry) -> bool {
        GatewaySchema.is_allowed(entry)
    }
}

impl DeploymentSchema {
    fn check_trigger_type(&self, spec: &TriggerTypeSpec) -> Result<(), InvalidEntry> {
        let least = 2.0 * self.answer_margin;
        if spec.timeout > least {
            return Ok(());
        }
        let reason = format!(
            "the timeout of {} s leaves no time: answers leave {least} s earlier",
            spec.timeout
        );
        Err(InvalidEntry::new(
            reason,
            "raise the timeout, or lower 'limits.answerMargin' in the deployment file",
        ))
    }
}

fn check_function(key: &EntryKey, spec: &FunctionSpec) -> Result<(), InvalidEntry> {
    let name = key.name();
    check_function_name(name).map_err(|wanted| {
        InvalidEntry::new(
            format!("'{name}' is no name of a function"),
            format!("write it under {FUNCTIONS}/ with {wanted}"),
        )
    })?;
    for version in &spec.versions {
        check_digest(&version.digest).map_err(|wanted| {
            InvalidEntry::new(
                format!("'{}' is no digest", version.digest),
                format!("give 'sha256:...': {wanted}"),
            )
        })?;
    }
    Ok(())
}

impl ConfigTarget<GatewayEntry> for Weak<Router> {
    fn apply(&self, view: &Arc<ConfigView>) -> Result<(), ApplyError> {
        if let Some(router) = self.upgrade() {
            router.put_view_in_force(view.clone())?;
        }
        Ok(())
    }
}

/// The core's settings as a deployment file's section gives them.
pub fn sync_settings(configuration: &Configuration) -> SyncSettings {
    let usual = SyncSettings::default();
    SyncSettings {
        prefix: configuration.prefix.clone(),
        freshness_bound: configuration.freshness,
        in_force_limit: configuration.in_force_within,
        barrier_interval: configuration.proof_interval,
        audit_interval: configuration.comparison_interval,
        read_bytes_per_second: configuration.bytes_per_second,
        read_burst: configuration.burst,
        page_bytes: usual.page_bytes.min(configuration.burst),
        spread: configuration.max_start_delay,
        report_interval: configuration.report_interval,
        snapshot_interval: configuration.snapshot_interval,
        ..usual
    }
}

/// Has a router follow the store of configuration: from its snapshot at once, from the store as soon as that answers.
///
/// # Errors
/// The settings are out of the core's ranges.
pub fn attach(
    router: &Rc<Router>,
    configuration: &Configuration,
    tasks: &Rc<LocalExecutor<'static>>,
) -> Result<(), SettingsError> {
    let (index, life) = (
        router.deployment.policy.front_end_index as u32,
        router.sender.get().incarnation,
    );
    // Two processes with one index, or one after the other, are two front ends to the store.
    let mut settings = HostSettings::new(format!("{index}-{life:016x}"));
    settings.snapshot = Some(SnapshotFile::new(configuration.snapshot(index)));
    settings.lease = std::time::Duration::from_secs_f64(configuration.lease);
    let client = Client::new(configuration.endpoints.clone(), tasks.clone());
    client.set_user_agent(settings.front_end.clone());
    // Front ends spread over the members.
    (0..life % configuration.endpoints.len().max(1) as u64).for_each(|_| client.fail_over());
    let schema = DeploymentSchema {
        answer_margin: router.deployment.limits.response_margin,
    };
    let target = Rc::downgrade(router);
    let sync = sync_settings(configuration);
    let host = ConfigHost::new(sync, schema, life, settings, client, tasks, target)?;
    let admission = Admission {
        host: host.clone(),
        without_view: configuration.without_view,
        retry_after: configuration.proof_interval,
    };
    if router.admission.set(admission).is_err() {
        // It is tied to a host already.
        return Ok(());
    }
    host.restore();
    tasks.spawn(host.run()).detach();
    Ok(())
}

/// Has the store of configuration know that a router's front end has ended; to be called once it serves nothing any more.
pub async fn detach(router: &Router) {
    if let Some(admission) = router.admission.get() {
        admission.host.leave().await;
    }
}
