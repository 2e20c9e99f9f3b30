//! The host of the membership state machines: the inputs that they read from a front end, and their notifications.

use async_executor::LocalExecutor;
use orchidtally_deployment::{Deployment, EtcdSettings};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointUpdateKind};
use orchidtally_etcd::Client;
use orchidtally_membership::{EndpointCache, MembershipTracker};
use serde::Serialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// A front end that gets its executors and the other front ends from a store. It runs on one thread. Neither the cache
/// nor the members are borrowed while it is notified of a change.
pub trait MembershipHost {
    /// The time in seconds, by the host's clock.
    fn now(&self) -> f64;

    /// The deployment against which executor entries are validated.
    fn deployment(&self) -> &Deployment;

    /// The endpoint cache that the followers feed.
    fn cache(&self) -> &RefCell<EndpointCache>;

    /// The membership that the followers feed.
    fn members(&self) -> &RefCell<MembershipTracker>;

    /// The front end's own entry.
    fn front_end_entry(&self) -> FrontEndEntry;

    /// Executors have changed, or the first complete list has arrived.
    fn on_endpoint_update(&self, kind: EndpointUpdateKind, rows: &[Endpoint]);

    /// The store has answered a request that was sent at `requested_at`: the endpoint list was current then.
    fn on_endpoints_confirmed(&self, requested_at: f64);

    /// The store has not answered the request that was sent at `requested_at`, and can't be followed.
    fn on_endpoint_request_unanswered(&self, requested_at: f64);

    /// The front ends that share budgets, or this front end's share, may have changed.
    fn on_membership_change(&self);
}

/// A front end's own entry in the store, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FrontEndEntry {
    /// Distinguishes one start of a front end from another.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The name of its location.
    pub location: String,
    /// The address at which it accepts invocations.
    #[serde(rename = "at")]
    pub listen_address: Option<SocketAddr>,
}

/// The connections to a store: one each for the executors, the front ends and the own entry, so that none delays
/// another.
#[derive(Clone)]
pub struct StoreConnections {
    /// Follows the executors.
    pub executors: Rc<Client>,
    /// Follows the front ends.
    pub front_ends: Rc<Client>,
    /// Registers the front end and renews its lease.
    pub registration: Rc<Client>,
}

impl StoreConnections {
    /// Creates connections to a deployment's store, which open on first use. `name` is their user agent.
    pub fn new(
        etcd: &EtcdSettings,
        name: &str,
        tasks: &Rc<LocalExecutor<'static>>,
    ) -> StoreConnections {
        let client = || {
            let client = Client::new(etcd.endpoints.clone(), tasks.clone());
            client.set_user_agent(name.to_owned());
            Rc::new(client)
        };
        StoreConnections {
            executors: client(),
            front_ends: client(),
            registration: client(),
        }
    }

    /// All connections.
    pub fn all(&self) -> [&Client; 3] {
        [&self.executors, &self.front_ends, &self.registration]
    }
}
