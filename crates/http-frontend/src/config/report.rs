//! The front end's report in the store, under its own lease.

use super::ConfigTarget;
use super::host::ConfigHost;
use super::lease::Lease;
use super::status::PublishedReport;
use orchidtally_config_sync::{Report, Schema};
use orchidtally_etcd::rpc::{PutRequest, PutResponse};
use orchidtally_etcd::{ClientError, ConnectionError, PUT};
use tracing::debug;

/// The gRPC status of a request with a lease that doesn't exist.
const NOT_FOUND: u32 = 5;

impl<S: Schema, T: ConfigTarget<S::Entry>> ConfigHost<S, T> {
    /// Writes a report to the store, and passes the result to the state machine.
    pub(super) async fn put_report(&self, session: u64, report: Report) {
        let sequence = report.sequence;
        let put = self.try_put_report(session, report).await;
        if !self.is_in_session(session) {
            return;
        }
        match put {
            Ok(()) => self.feed(|core, now| core.on_reported(now, sequence)),
            Err(ClientError::Rejected(status)) => {
                debug!(%status, "the store rejected the configuration report");
                if status.code == NOT_FOUND {
                    self.lease.set(None);
                }
                self.feed(|core, now| core.on_report_failed(now, sequence));
            }
            Err(fault) => self.on_session_failure(session, &fault),
        }
    }

    async fn try_put_report(&self, session: u64, report: Report) -> Result<(), ClientError> {
        let lease = self.lease().await?;
        if !self.is_in_session(session) {
            return Err(ConnectionError::Abandoned.into());
        }
        self.store_report(report, lease).await
    }

    /// Writes a report to the store under a lease.
    pub(super) async fn store_report(
        &self,
        report: Report,
        lease: Lease,
    ) -> Result<(), ClientError> {
        let key = self
            .core
            .borrow()
            .keyspace()
            .report(&self.settings.front_end);
        let published = PublishedReport {
            report,
            snapshot_fault: self.snapshot_fault.borrow().clone(),
        };
        let value = serde_json::to_vec(&published).unwrap_or_default();
        let put = PutRequest {
            key: key.into(),
            value: value.into(),
            lease: lease.id,
            prev_kv: false,
        };
        self.client
            .unary::<PutResponse>(PUT, &put, self.settings.request_timeout)
            .await
            .map(drop)
    }
}
