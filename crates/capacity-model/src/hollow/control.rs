//! A hollow front end's membership and roster: the true host over the true etcd client on loopback sockets, with an
//! engine that takes in what they tell.

use super::deployment;
use async_executor::{LocalExecutor, Task};
use orchidtally_deployment::{Deployment, EndpointSource, EtcdSettings};
use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::{Engine, FailureReason, Host};
use orchidtally_etcd::Client;
use orchidtally_http_frontend::etcd::{
    FrontEndEntry, MembershipHost, StoreConnections, follow_store,
};
use orchidtally_membership::{EndpointCache, MembershipTracker};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// Interval at which the membership core reads the full list of executors, in seconds.
pub use orchidtally_membership::cache::LIST_INTERVAL as LIST_INTERVAL_S;
/// Where a hollow front end would take invocations.
const LISTENS_AT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8080);

/// An engine without calls has nothing to perform.
struct NoCalls;

impl Host for NoCalls {
    fn admitted(&mut self, _invocation: u32) {}
    fn dispatch(&mut self, _invocation: u32, _dispatch: u8, _to: ExecutorId, _within: f64) {}
    fn cancel(&mut self, _invocation: u32, _dispatch: u8) {}
    fn succeeded(&mut self, _invocation: u32, _dispatch: u8) {}
    fn rejected(&mut self, _invocation: u32, _retry_after: f64, _over_quota: bool) {}
    fn failed(&mut self, _invocation: u32, _cause: FailureReason, _may_have_run: bool) {}
    fn load(&mut self, _to: ExecutorId, _function: u64, _copies: u8) {}
    fn query_replicas(&mut self, _to: ExecutorId, _function: u64) {}
    fn unload(&mut self, _to: ExecutorId, _function: u64) {}
    fn health_check(&mut self, _to: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}

/// One hollow front end's control.
pub struct ControlFrontEnd {
    started: Instant,
    deployment: Deployment,
    etcd: EtcdSettings,
    incarnation: u64,
    cache: RefCell<EndpointCache>,
    members: RefCell<MembershipTracker>,
    engine: RefCell<Engine>,
    /// Bytes received by the roster's connection when its first list was there.
    list_bytes: Cell<u64>,
    connections: StoreConnections,
}

/// The name by which the store knows the clients of a front end's membership and roster.
pub fn client_name(incarnation: u64) -> String {
    format!("control.{incarnation}")
}

/// Bytes over a front end's connections to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bytes {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

impl std::iter::Sum for Bytes {
    fn sum<I: Iterator<Item = Bytes>>(all: I) -> Bytes {
        let add = |total: Bytes, more: Bytes| Bytes {
            sent: total.sent + more.sent,
            received: total.received + more.received,
        };
        all.fold(Bytes::default(), add)
    }
}

impl ControlFrontEnd {
    /// Creates one of `front_ends` front ends; its seed is also its incarnation.
    pub fn new(
        endpoints: &[SocketAddr],
        front_ends: usize,
        seed: u64,
        tasks: &Rc<LocalExecutor<'static>>,
    ) -> Rc<ControlFrontEnd> {
        let deployment = deployment::parsed(&deployment::with_roster(front_ends, endpoints));
        let EndpointSource::Etcd(etcd) = deployment.endpoint_source.clone() else {
            unreachable!("the deployment file of a hollow front end names a store")
        };
        let engine = Engine::new(deployment.policy.clone(), 1, seed, 0.0, &mut NoCalls);
        Rc::new(ControlFrontEnd {
            started: Instant::now(),
            deployment,
            incarnation: seed,
            cache: RefCell::new(EndpointCache::new(0.0)),
            members: RefCell::new(MembershipTracker::new(front_ends as u32)),
            engine: RefCell::new(engine),
            list_bytes: Cell::new(0),
            connections: StoreConnections::new(&etcd, &client_name(seed), tasks),
            etcd,
        })
    }

    /// Starts to follow executors and front ends, and to keep its own entry, until the tasks are dropped.
    pub fn start(self: &Rc<Self>, tasks: &Rc<LocalExecutor<'static>>) -> Vec<Task<()>> {
        follow_store(self, &self.connections, &self.etcd, tasks)
    }

    /// Whether it has its list of executors and its own entry.
    pub fn is_ready(&self) -> bool {
        let owns_entry = self.members.borrow().estimate(self.now()).index.is_some();
        owns_entry && self.executors() > 0
    }

    /// Bytes of its first list of executors; 0 before it came.
    pub fn list_bytes(&self) -> u64 {
        self.list_bytes.get()
    }

    /// Executors that it knows.
    pub fn executors(&self) -> usize {
        self.cache.borrow().executor_counts().known
    }

    /// Front ends that it counts.
    pub fn front_ends(&self) -> u32 {
        self.members.borrow().estimate(self.now()).count
    }

    /// Bytes over its connections to the store so far.
    pub fn bytes(&self) -> Bytes {
        let of = |client: &Client| Bytes {
            sent: client.traffic().sent(),
            received: client.traffic().received(),
        };
        self.connections.all().into_iter().map(of).sum()
    }
}

impl MembershipHost for ControlFrontEnd {
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    fn cache(&self) -> &RefCell<EndpointCache> {
        &self.cache
    }

    fn members(&self) -> &RefCell<MembershipTracker> {
        &self.members
    }

    fn front_end_entry(&self) -> FrontEndEntry {
        FrontEndEntry {
            incarnation: self.incarnation,
            location: self.deployment.locations[0].clone(),
            listen_address: Some(LISTENS_AT),
        }
    }

    fn on_endpoint_update(&self, kind: EndpointUpdateKind, rows: &[Endpoint]) {
        if kind == EndpointUpdateKind::Full {
            self.list_bytes
                .set(self.connections.executors.traffic().received());
        }
        self.engine
            .borrow_mut()
            .on_endpoint_update(self.now(), kind, rows, &mut NoCalls);
    }

    fn on_endpoints_confirmed(&self, asked_at: f64) {
        self.engine
            .borrow_mut()
            .on_view_confirmed(self.now(), asked_at, &mut NoCalls);
    }

    fn on_endpoint_request_unanswered(&self, asked_at: f64) {
        self.engine
            .borrow_mut()
            .on_view_request_unanswered(self.now(), asked_at);
    }

    fn on_membership_change(&self) {
        let estimate = self.members.borrow().estimate(self.now());
        let view = MembershipView {
            front_ends: f64::from(estimate.count),
            slot_count: f64::from(estimate.count.next_power_of_two()),
            front_end_index: f64::from(estimate.index.unwrap_or(0)),
            has_budget_share: estimate.has_budget_share,
        };
        self.engine
            .borrow_mut()
            .on_membership_change(self.now(), view, &mut NoCalls);
    }
}
