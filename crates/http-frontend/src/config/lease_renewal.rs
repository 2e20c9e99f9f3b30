//! Grants and renews the front end's lease in the store. Its report is deleted with the lease.

use super::ConfigTarget;
use super::host::ConfigHost;
use super::lease::Lease;
use async_io::Timer;
use orchidtally_config_sync::Schema;
use orchidtally_etcd::BidirectionalStream;
use orchidtally_etcd::rpc::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
};
use orchidtally_etcd::{ClientError, LEASE_GRANT, LEASE_KEEP_ALIVE};
use std::time::Duration;
use tracing::warn;

/// Renewals within the time to live of a lease.
const RENEWALS_PER_TTL: u32 = 3;

impl<S: Schema, T: ConfigTarget<S::Entry>> ConfigHost<S, T> {
    /// The current lease, or a new one.
    pub(super) async fn lease(&self) -> Result<Lease, ClientError> {
        if let Some(lease) = self
            .lease
            .get()
            .filter(|lease| self.now() < lease.valid_until)
        {
            return Ok(lease);
        }
        let lease = self.grant_lease(self.settings.lease_ttl).await?;
        self.lease.set(Some(lease));
        Ok(lease)
    }

    /// Grants a new lease.
    pub(super) async fn grant_lease(&self, time_to_live: Duration) -> Result<Lease, ClientError> {
        let requested_at = self.now();
        let request = LeaseGrantRequest {
            ttl: time_to_live.as_secs().max(1) as i64,
            id: 0,
        };
        let granted: LeaseGrantResponse = self
            .client
            .unary(LEASE_GRANT, &request, self.settings.request_timeout)
            .await?;
        Ok(Lease {
            id: granted.id,
            valid_until: requested_at + granted.ttl as f64,
        })
    }

    /// Renews the lease for as long as the session lasts.
    pub(super) async fn renew_lease_until_disconnected(&self, session: u64) {
        let mut renewal_stream: Option<BidirectionalStream<LeaseKeepAliveResponse>> = None;
        while self.is_in_session(session) {
            Timer::after(self.settings.lease_ttl / RENEWALS_PER_TTL).await;
            let Some(lease) = self.lease.get().filter(|_| self.is_in_session(session)) else {
                continue;
            };
            match self.renew(lease, &mut renewal_stream).await {
                Ok(Some(renewed)) => self.lease.set(Some(renewed)),
                Ok(None) => self.on_lease_expired(),
                Err(fault) => {
                    self.on_session_failure(session, &fault);
                    return;
                }
            }
        }
    }

    /// Renews a lease over the open stream, or a new one; `None` if the lease has expired.
    async fn renew(
        &self,
        lease: Lease,
        renewal_stream: &mut Option<BidirectionalStream<LeaseKeepAliveResponse>>,
    ) -> Result<Option<Lease>, ClientError> {
        let requested_at = self.now();
        let request = LeaseKeepAliveRequest { id: lease.id };
        let stream = match renewal_stream {
            Some(stream) => {
                stream.send(&request)?;
                stream
            }
            None => renewal_stream.insert(
                self.client
                    .open_stream(LEASE_KEEP_ALIVE, &request, self.settings.request_timeout)
                    .await?,
            ),
        };
        let response =
            orchidtally_socket_io::with_timeout(self.settings.request_timeout, stream.next()).await;
        let response = response.unwrap_or(Err(ClientError::TimedOut))?;
        let renewed = Lease {
            id: lease.id,
            valid_until: requested_at + response.ttl as f64,
        };
        Ok((response.ttl > 0).then_some(renewed))
    }

    /// The lease has expired, and the report with it: it is written again under a new lease.
    fn on_lease_expired(&self) {
        warn!(
            "lease of the configuration report expired while this front end runs: reporting again"
        );
        self.lease.set(None);
        let sequence = self.core.borrow().report().sequence;
        self.feed(|core, now| core.on_report_failed(now, sequence));
    }
}
