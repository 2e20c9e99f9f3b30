//! The end of a front end: its lease is given back, and its last report says that it has ended.

use super::ConfigTarget;
use super::host::ConfigHost;
use super::lease::Lease;
use orchidtally_config_sync::{Report, ReportedState, Schema};
use orchidtally_etcd::rpc::{LeaseRevokeRequest, LeaseRevokeResponse};
use orchidtally_etcd::{ClientError, LEASE_REVOKE};
use std::time::Duration;
use tracing::{info, warn};

/// An end waits for the store no longer than this, in all.
const LEAVE_TIME: Duration = Duration::from_secs(1);
/// The last report stands for so many times the limit within which a change has to be in force: as long as a writer
/// waits for a change that it wrote right before.
const LAST_REPORT_LIMITS: f64 = 2.0;

impl<S: Schema + 'static, T: ConfigTarget<S::Entry> + 'static> ConfigHost<S, T> {
    /// Gives the connection up for good, as a front end that ends does once it serves nothing any more: writers learn
    /// that it is gone, and not missing. A store that does not answer is not waited for longer than a second.
    pub async fn leave(&self) {
        let was_connected = self.status().connected;
        self.stop();
        // Without a lease there is no report that anybody could wait for.
        let Some(lease) = self.lease.take().filter(|_| was_connected) else {
            return;
        };
        match orchidtally_socket_io::with_timeout(LEAVE_TIME, self.tell_end(lease)).await {
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

    /// The lease goes first: a report that is still under way goes with it, or is refused.
    async fn tell_end(&self, lease: Lease) -> Result<(), ClientError> {
        let revoke = LeaseRevokeRequest { id: lease.id };
        self.client
            .unary::<LeaseRevokeResponse>(LEASE_REVOKE, &revoke, LEAVE_TIME)
            .await?;
        let limit = self.core.borrow().settings().in_force_limit;
        let granted = self
            .grant_lease(Duration::from_secs_f64(LAST_REPORT_LIMITS * limit))
            .await?;
        let last = Report {
            state: ReportedState::Ended,
            ..self.core.borrow().report()
        };
        self.store_report(last, granted).await
    }
}
