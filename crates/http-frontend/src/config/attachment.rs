//! Attaches the configuration store to a front end.

use super::admission::Admission;
use super::deployment_schema::DeploymentSchema;
use super::front_end::{ConfigurableFrontEnd, FrontEndConfigHost};
use super::{HostSettings, SnapshotFile};
use async_executor::LocalExecutor;
use orchidtally_config_sync::{SettingsError, SyncSettings};
use orchidtally_deployment::ConfigStoreSettings;
use orchidtally_etcd::Client;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// The settings of configuration distribution from a deployment file's section.
pub fn sync_settings(configuration: &ConfigStoreSettings) -> SyncSettings {
    let defaults = SyncSettings::default();
    SyncSettings {
        prefix: configuration.prefix.clone(),
        freshness_bound: configuration.freshness,
        in_force_limit: configuration.max_revocation_delay,
        barrier_interval: configuration.proof_interval,
        audit_interval: configuration.comparison_interval,
        read_bytes_per_second: configuration.bytes_per_second,
        read_burst: configuration.burst,
        page_bytes: defaults.page_bytes.min(configuration.burst),
        spread: configuration.max_start_delay,
        report_interval: configuration.report_interval,
        snapshot_interval: configuration.snapshot_interval,
        ..defaults
    }
}

/// Makes a front end follow the configuration store. It starts from its snapshot, and from the store's state as soon as
/// the store responds. Returns the admission check of the configuration.
///
/// # Errors
/// The settings are out of range.
pub fn attach(
    front_end: &Rc<dyn ConfigurableFrontEnd>,
    configuration: &ConfigStoreSettings,
    spawner: &Rc<LocalExecutor<'static>>,
) -> Result<Admission, SettingsError> {
    let deployment = front_end.deployment();
    let index = deployment.policy.front_end_index as u32;
    let incarnation = front_end.incarnation();
    // Each process has its own name in the store, even if another one uses, or has used, the same index.
    let mut settings = HostSettings::new(format!("{index}-{incarnation:016x}"));
    settings.snapshot = Some(SnapshotFile::new(configuration.snapshot(index)));
    settings.lease_ttl = Duration::from_secs_f64(configuration.lease_ttl);
    let client = Client::new(configuration.endpoints.clone(), spawner.clone());
    client.set_user_agent(settings.front_end.clone());
    // Spreads the front ends over the store's members.
    (0..incarnation % configuration.endpoints.len().max(1) as u64).for_each(|_| client.fail_over());
    let schema = DeploymentSchema {
        answer_margin: deployment.limits.response_margin,
    };
    let target: Weak<dyn ConfigurableFrontEnd> = Rc::downgrade(front_end);
    let sync = sync_settings(configuration);
    let host: Rc<FrontEndConfigHost> =
        FrontEndConfigHost::new(sync, schema, incarnation, settings, client, spawner, target)?;
    host.restore();
    spawner.spawn(host.clone().run()).detach();
    Ok(Admission {
        host,
        unsynced_behavior: configuration.unsynced_behavior,
        retry_after: configuration.proof_interval,
    })
}
