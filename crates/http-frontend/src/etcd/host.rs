//! What follows a store: the cores of membership, and who hears of what they decide.

use async_executor::LocalExecutor;
use orchidtally_deployment::{Deployment, EtcdSettings};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointUpdateKind};
use orchidtally_etcd::Client;
use orchidtally_membership::{EndpointCache, Members};
use serde::Serialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// A front end that has its executors and the other front ends from a store. It lives on one thread. None of its
/// cores is borrowed while it is told of a change.
pub trait MembershipHost {
    /// Seconds by its own clock.
    fn now(&self) -> f64;

    /// The deployment that entries of executors are read by.
    fn deployment(&self) -> &Deployment;

    fn cache(&self) -> &RefCell<EndpointCache>;

    fn members(&self) -> &RefCell<Members>;

    /// What its own entry says.
    fn own_entry(&self) -> OwnEntry;

    /// Executors have changed, or the first whole list is here.
    fn roster_changed(&self, kind: EndpointUpdateKind, rows: &[Endpoint]);

    /// The roster as it was told was true when the store was asked at a time, which has answered that.
    fn roster_confirmed(&self, asked_at: f64);

    /// The store can't be followed: what was asked at a time has no answer.
    fn roster_lost(&self, asked_at: f64);

    /// The front ends that share budgets, or this one's part in them, may have changed.
    fn members_changed(&self);
}

/// What a front end says of itself in the store, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OwnEntry {
    /// Tells one start of a front end from another.
    pub life: u64,
    pub location: String,
    /// Where it takes invocations.
    pub at: Option<SocketAddr>,
}

/// The connections to a store: one each for the executors, the front ends and the own entry, so that none holds up
/// another.
#[derive(Clone)]
pub struct StoreConnections {
    pub roster: Rc<Client>,
    pub front_ends: Rc<Client>,
    pub registration: Rc<Client>,
}

impl StoreConnections {
    /// Connections to a deployment's store, which are not open yet. The store hears that they belong to `name`.
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
            roster: client(),
            front_ends: client(),
            registration: client(),
        }
    }

    /// All of them.
    pub fn all(&self) -> [&Client; 3] {
        [&self.roster, &self.front_ends, &self.registration]
    }
}
