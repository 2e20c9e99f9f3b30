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
const RENEWALS: u32 = 3;

impl<S: Schema, T: ConfigTarget<S::Entry>> ConfigHost<S, T> {
    /// The current lease, or a new one.
    pub(super) async fn lease(&self) -> Result<Lease, ClientError> {
        if let Some(lease) = self.lease.get().filter(|lease| self.now() < lease.until) {
            return Ok(lease);
        }
        let lease = self.grant_lease(self.settings.lease).await?;
        self.lease.set(Some(lease));
        Ok(lease)
    }

    /// Grants a new lease.
    pub(super) async fn grant_lease(&self, time_to_live: Duration) -> Result<Lease, ClientError> {
        let asked_at = self.now();
        let question = LeaseGrantRequest {
            ttl: time_to_live.as_secs().max(1) as i64,
            id: 0,
        };
        let granted: LeaseGrantResponse = self
            .client
            .unary(LEASE_GRANT, &question, self.settings.request_timeout)
            .await?;
        Ok(Lease {
            id: granted.id,
            until: asked_at + granted.ttl as f64,
        })
    }

    /// Renews the lease for as long as the session lasts.
    pub(super) async fn keep_lease(&self, session: u64) {
        let mut renewing: Option<BidirectionalStream<LeaseKeepAliveResponse>> = None;
        while self.is_in_session(session) {
            Timer::after(self.settings.lease / RENEWALS).await;
            let Some(lease) = self.lease.get().filter(|_| self.is_in_session(session)) else {
                continue;
            };
            match self.renew(lease, &mut renewing).await {
                Ok(Some(renewed)) => self.lease.set(Some(renewed)),
                Ok(None) => self.lease_lost(),
                Err(fault) => {
                    self.session_failed(session, &fault);
                    return;
                }
            }
        }
    }

    /// Renews a lease over the open stream, or a new one; `None` if the lease has expired.
    async fn renew(
        &self,
        lease: Lease,
        renewing: &mut Option<BidirectionalStream<LeaseKeepAliveResponse>>,
    ) -> Result<Option<Lease>, ClientError> {
        let asked_at = self.now();
        let question = LeaseKeepAliveRequest { id: lease.id };
        let stream = match renewing {
            Some(stream) => {
                stream.send(&question)?;
                stream
            }
            None => renewing.insert(
                self.client
                    .open_stream(LEASE_KEEP_ALIVE, &question, self.settings.request_timeout)
                    .await?,
            ),
        };
        let answer =
            orchidtally_socket_io::with_timeout(self.settings.request_timeout, stream.next()).await;
        let answer = answer.unwrap_or(Err(ClientError::TimedOut))?;
        let renewed = Lease {
            id: lease.id,
            until: asked_at + answer.ttl as f64,
        };
        Ok((answer.ttl > 0).then_some(renewed))
    }

    /// The lease has expired, and the report with it: it is written again under a new lease.
    fn lease_lost(&self) {
        warn!(
            "lease of the configuration report expired while this front end runs: reporting again"
        );
        self.lease.set(None);
        let sequence = self.core.borrow().report().sequence;
        self.feed(|core, now| core.on_report_failed(now, sequence));
    }
}
