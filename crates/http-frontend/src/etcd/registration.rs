//! A front end's own entry in the store, under a unique index, and its lease.

use super::FRONT_ENDS_PREFIX;
use super::entries;
use super::follow::{INITIAL_RETRY_DELAY, REQUEST_TIMEOUT, list};
use super::host::MembershipHost;
use bytes::Bytes;
use orchidtally_deployment::EtcdSettings;
use orchidtally_etcd::rpc::compare::{CompareResult, CompareTarget, TargetUnion};
use orchidtally_etcd::rpc::request_op::Request;
use orchidtally_etcd::rpc::{
    Compare, LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    PutRequest, RequestOp, TxnRequest, TxnResponse,
};
use orchidtally_etcd::{Client, ClientError, LEASE_GRANT, LEASE_KEEP_ALIVE, TXN};
use orchidtally_membership::MembershipTracker;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, info, warn};

/// Renewals within the time to live of a lease.
const RENEWALS_PER_TTL: f64 = 4.0;

/// Registers a host and renews its entry's lease.
pub(super) struct Registration<H> {
    host: Rc<H>,
    client: Rc<Client>,
    /// The key prefix of front ends' entries.
    prefix: String,
    /// The requested time to live, in whole seconds.
    requested_ttl: i64,
}

/// A lease that the store granted.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: i64,
    /// Its time to live in seconds.
    ttl: f64,
    /// The store keeps the lease at least until then, by the host's clock.
    valid_until: f64,
}

impl<H: MembershipHost> Registration<H> {
    pub fn new(host: Rc<H>, client: Rc<Client>, etcd: &EtcdSettings) -> Registration<H> {
        let prefix = format!("{}{FRONT_ENDS_PREFIX}", etcd.prefix);
        Registration {
            host,
            client,
            prefix,
            requested_ttl: etcd.lease_ttl.ceil() as i64,
        }
    }

    /// Claims an index and renews the entry's lease; claims another one when the lease is lost. Never returns.
    pub async fn run(self) {
        let mut lost_claims = 0;
        loop {
            match self.claim(lost_claims).await {
                Ok(Some(lease)) => {
                    lost_claims = 0;
                    if let Err(fault) = self.renew_lease_until_lost(lease).await {
                        self.on_failure(&fault);
                    }
                }
                Ok(None) => lost_claims += 1,
                Err(fault) => self.on_failure(&fault),
            }
            let delay = INITIAL_RETRY_DELAY * (1.0 + 2.0 * rand::random::<f64>());
            async_io::Timer::after(Duration::from_secs_f64(delay)).await;
        }
    }

    fn on_failure(&self, fault: &ClientError) {
        warn!(endpoint = ?self.client.endpoint(), %fault, "membership lease can't be renewed");
        self.client.fail_over();
    }

    /// Writes the entry under a free index; `None` if another front end has claimed the index first.
    async fn claim(&self, lost_claims: u32) -> Result<Option<Lease>, ClientError> {
        let entries = list(&self.client, &self.prefix).await?.entries;
        let used_indices: BTreeSet<u32> = entries
            .iter()
            .filter_map(|entry| entries::front_end_index(&entry.key))
            .collect();
        let index = MembershipTracker::choose_index(&used_indices, rand::random(), lost_claims);
        let requested_at = self.host.now();
        let grant = LeaseGrantRequest {
            ttl: self.requested_ttl,
            id: 0,
        };
        let granted: LeaseGrantResponse = self
            .client
            .unary(LEASE_GRANT, &grant, REQUEST_TIMEOUT)
            .await?;
        let claim = self.claim_transaction(index, granted.id);
        let claimed: TxnResponse = self.client.unary(TXN, &claim, REQUEST_TIMEOUT).await?;
        if !claimed.succeeded {
            return Ok(None);
        }
        let ttl = granted.ttl.max(1) as f64;
        {
            let mut members = self.host.members().borrow_mut();
            members.on_claimed(self.host.now(), index, 0.0);
            members.on_lease_renewed(requested_at, ttl);
        }
        info!(index, "registered in the store");
        self.host.on_membership_change();
        Ok(Some(Lease {
            id: granted.id,
            ttl,
            valid_until: requested_at + ttl,
        }))
    }

    /// A transaction that writes the entry if its key doesn't exist.
    fn claim_transaction(&self, index: u32, lease: i64) -> TxnRequest {
        let key = Bytes::from(format!("{}{index}", self.prefix));
        let value = serde_json::json!(self.host.front_end_entry()).to_string();
        let is_free = Compare {
            result: CompareResult::Equal.into(),
            target: CompareTarget::Create.into(),
            key: key.clone(),
            target_union: Some(TargetUnion::CreateRevision(0)),
        };
        let put = PutRequest {
            key,
            value: value.into(),
            lease,
            prev_kv: false,
        };
        TxnRequest {
            compare: vec![is_free],
            success: vec![RequestOp {
                request: Some(Request::RequestPut(put)),
            }],
            failure: vec![],
        }
    }

    /// Renews a lease until it has expired in the store, or the store has not answered for the time to live.
    async fn renew_lease_until_lost(&self, mut lease: Lease) -> Result<(), ClientError> {
        let interval = Duration::from_secs_f64(lease.ttl / RENEWALS_PER_TTL);
        loop {
            async_io::Timer::after(interval).await;
            let requested_at = self.host.now();
            match self.renew(lease.id).await {
                Ok(answer) if answer.ttl > 0 => {
                    lease.valid_until = requested_at + answer.ttl as f64;
                    self.host
                        .members()
                        .borrow_mut()
                        .on_lease_renewed(requested_at, answer.ttl as f64);
                }
                Ok(_) => {
                    warn!("membership lease expired while this front end runs");
                    self.host.members().borrow_mut().on_entry_lost();
                    return Ok(());
                }
                Err(fault) if self.host.now() > lease.valid_until => {
                    self.host.members().borrow_mut().on_entry_lost();
                    return Err(fault);
                }
                Err(fault) => {
                    debug!(%fault, "lease renewal failed");
                    self.client.fail_over();
                }
            }
        }
    }

    async fn renew(&self, id: i64) -> Result<LeaseKeepAliveResponse, ClientError> {
        let request = LeaseKeepAliveRequest { id };
        let mut stream = self
            .client
            .open_stream::<LeaseKeepAliveResponse>(LEASE_KEEP_ALIVE, &request, REQUEST_TIMEOUT)
            .await?;
        orchidtally_socket_io::with_timeout(REQUEST_TIMEOUT, stream.next())
            .await
            .unwrap_or(Err(ClientError::TimedOut))
    }
}
