//! Deregistration of a front end: its lease is revoked, and its last report states that it has ended.

use super::ConfigTarget;
use super::host::ConfigHost;
use super::lease::Lease;
use orchidtally_config_sync::{Report, ReportedState, Schema};
use orchidtally_etcd::rpc::{LeaseRevokeRequest, LeaseRevokeResponse};
use orchidtally_etcd::{ClientError, LEASE_REVOKE};
use std::time::Duration;
use tracing::{info, warn};

/// The longest time that deregistration takes.
const DEREGISTRATION_TIMEOUT: Duration = Duration::from_secs(1);
/// The time to live of the last report, in multiples of the limit within which a change has to be in force: a writer
/// waits that long for a change that it wrote right before.
const LAST_REPORT_TTL_FACTOR: f64 = 2.0;

impl<S: Schema + 'static, T: ConfigTarget<S::Entry> + 'static> ConfigHost<S, T> {
    /// Disconnects permanently once the front end has stopped serving, and reports that it has ended, so that writers
    /// don't treat it as missing. Takes at most a second if the store doesn't respond.
    pub async fn deregister(&self) {
        let was_connected = self.status().connected;
        self.stop();
        // Without a lease there is no report that a writer could wait for.
        let Some(lease) = self.lease.take().filter(|_| was_connected) else {
            return;
        };
        match orchidtally_socket_io::with_timeout(DEREGISTRATION_TIMEOUT, self.report_ended(lease))
            .await
        {
            Some(Ok(())) => {
                info!("deregistered from the configuration store")
            }
            Some(Err(fault)) => {
                warn!(%fault, "deregistration failed: writers see this front end as missing")
            }
            None => {
                warn!("deregistration timed out: writers see this front end as missing")
            }
        }
    }

    /// Revokes the lease first: a report still in flight is deleted with it, or rejected.
    async fn report_ended(&self, lease: Lease) -> Result<(), ClientError> {
        let revoke = LeaseRevokeRequest { id: lease.id };
        self.client
            .unary::<LeaseRevokeResponse>(LEASE_REVOKE, &revoke, DEREGISTRATION_TIMEOUT)
            .await?;
        let limit = self.core.borrow().settings().in_force_limit;
        let granted = self
            .grant_lease(Duration::from_secs_f64(LAST_REPORT_TTL_FACTOR * limit))
            .await?;
        let last = Report {
            state: ReportedState::Ended,
            ..self.core.borrow().report()
        };
        self.store_report(last, granted).await
    }
}
