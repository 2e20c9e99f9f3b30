//! Serves the members over sockets, and lets a test stop and restart members and partition regions.

use super::clients::{ClientCounters, Clients};
use super::cluster::{Cluster, Region};
use super::counters::{Counters, MemberCounters, OpenGuard};
use super::faults::{CrashPoint, Faults, PlannedCrash, Timing};
use super::link::{Link, LinkStream};
use super::store::{Store, View};
use crate::TestEnvironment;
use async_io::Async;
use futures_lite::future;
use orchidtally_etcd::rpc::Event;
use orchidtally_etcd::{CountedStream, Traffic};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// The cluster's id at the start.
const CLUSTER_ID: u64 = 7;
/// How often the server checks for expired leases, in seconds.
const EXPIRY_INTERVAL: f64 = 0.05;

/// Called with the client's `user-agent` and each entry that is sent to it.
pub type EventListener = Rc<dyn Fn(&str, &Event)>;

/// An etcd cluster of one or more members, served over sockets.
pub struct EtcdServer {
    pub(super) environment: TestEnvironment,
    /// The address of each member for clients in the member's own region.
    pub addresses: Vec<SocketAddr>,
    /// The address of each member by client region. Connections to an address count as coming from its region.
    addresses_by_region: BTreeMap<Region, Vec<SocketAddr>>,
    /// The replicated state. Writes made here directly are committed, whichever members run.
    pub store: RefCell<Store>,
    /// Faults that a test sets.
    pub faults: Faults,
    /// Timing that a test sets.
    pub timing: Timing,
    pub(super) cluster: RefCell<Cluster>,
    pub(super) counters: Vec<MemberCounters>,
    clients: Clients,
    pub(super) messages: Cell<u64>,
    links: RefCell<BTreeMap<u64, Rc<Link>>>,
    next_link: Cell<u64>,
    /// Called for each entry that is sent to a client.
    pub on_event: RefCell<Option<EventListener>>,
}

impl EtcdServer {
    /// Starts `members` members in one region. Fails if a member can't listen on an address.
    pub fn start(environment: &TestEnvironment, members: usize) -> io::Result<Rc<EtcdServer>> {
        EtcdServer::start_in_regions(environment, &vec![0; members])
    }

    /// Starts one member per entry of `regions`: `[0, 0, 1, 1, 2]` starts five members in three regions.
    pub fn start_in_regions(
        environment: &TestEnvironment,
        regions: &[Region],
    ) -> io::Result<Rc<EtcdServer>> {
        let cluster = Cluster::new(regions);
        let mut listeners = vec![];
        let mut addresses_by_region: BTreeMap<Region, Vec<SocketAddr>> = BTreeMap::new();
        for client_region in cluster.regions() {
            for member in 0..regions.len() {
                let listener = orchidtally_socket_io::listen(crate::unused_address())?;
                let address = listener.get_ref().local_addr()?;
                addresses_by_region
                    .entry(client_region)
                    .or_default()
                    .push(address);
                listeners.push((listener, member, client_region));
            }
        }
        let own_address = |(member, region): (usize, &Region)| addresses_by_region[region][member];
        let server = Rc::new(EtcdServer {
            environment: environment.clone(),
            addresses: regions.iter().enumerate().map(own_address).collect(),
            addresses_by_region,
            store: RefCell::new(Store::new(CLUSTER_ID)),
            faults: Faults::default(),
            timing: Timing::default(),
            cluster: RefCell::new(cluster),
            counters: regions.iter().map(|_| MemberCounters::default()).collect(),
            clients: Clients::default(),
            messages: Cell::new(0),
            links: RefCell::default(),
            next_link: Cell::new(0),
            on_event: RefCell::default(),
        });
        for (listener, member, client_region) in listeners {
            environment
                .spawn(server.clone().listen(listener, member, client_region))
                .detach();
        }
        environment.spawn(server.clone().expire_leases()).detach();
        Ok(server)
    }

    /// The members' addresses for clients in a region. A partition between that region and a member's region applies to
    /// connections to these addresses. Empty for a region without members.
    pub fn addresses_from(&self, client_region: Region) -> Vec<SocketAddr> {
        self.addresses_by_region
            .get(&client_region)
            .cloned()
            .unwrap_or_default()
    }

    /// Stops a member at once, like a machine failure: closes its connections and any new ones.
    pub fn stop(&self, member: usize) {
        self.cluster.borrow_mut().set_running(member, false);
        self.update_cluster();
        for link in self
            .links
            .borrow()
            .values()
            .filter(|link| link.member == member)
        {
            link.close();
        }
    }

    /// Restarts a member. Until it reaches a leader, it has the view that it had when it stopped.
    pub fn restart(&self, member: usize) {
        self.cluster.borrow_mut().set_running(member, true);
        self.update_cluster();
    }

    /// Partitions a region from all others: both its members and its clients lose the members of other regions.
    pub fn cut(&self, region: Region) {
        let others = self.cluster.borrow().regions();
        others
            .into_iter()
            .for_each(|other| self.cluster.borrow_mut().cut(region, other));
        self.update_cluster();
    }

    /// Partitions two regions from each other; both still reach the other regions.
    pub fn cut_between(&self, a: Region, b: Region) {
        self.cluster.borrow_mut().cut(a, b);
        self.update_cluster();
    }

    /// Removes all partitions.
    pub fn heal(&self) {
        self.cluster.borrow_mut().heal();
        self.update_cluster();
    }

    /// Makes `members` members stop during the next transaction: the one that serves it, then other running members in
    /// order. The transaction is committed as a whole or not at all, as `point` says, and its client gets no answer.
    pub fn crash_in_next_transaction(&self, point: CrashPoint, members: usize) {
        self.faults.crash.set(Some(PlannedCrash { point, members }));
    }

    pub(super) fn crash(&self, serving: usize, members: usize) {
        let mut stopping = vec![serving];
        stopping.extend(
            self.cluster
                .borrow()
                .running()
                .into_iter()
                .filter(|&m| m != serving),
        );
        stopping.truncate(members);
        stopping.into_iter().for_each(|member| self.stop(member));
    }

    /// Closes all connections of all members.
    pub fn break_connections(&self) {
        self.links.borrow().values().for_each(|link| link.close());
    }

    /// The counters of a member since the start.
    pub fn counters(&self, member: usize) -> Counters {
        self.counters[member].snapshot()
    }

    /// The sum of all members' counters since the start.
    pub fn total_counters(&self) -> Counters {
        let mut total = Counters::default();
        self.counters
            .iter()
            .for_each(|counters| total += counters.snapshot());
        total
    }

    /// The traffic of the clients since the start, ordered by name.
    pub fn client_counters(&self) -> Vec<ClientCounters> {
        self.clients.snapshot()
    }

    /// Whether a member currently follows a leader.
    pub fn has_leader(&self, member: usize) -> bool {
        self.cluster
            .borrow()
            .has_leader(member, self.environment.now())
    }

    /// A member's current view of the store.
    pub fn view(&self, member: usize) -> View {
        self.cluster.borrow().view(member, &self.store.borrow())
    }

    fn update_cluster(&self) {
        let mut cluster = self.cluster.borrow_mut();
        let election_time = self.timing.election_time.get();
        cluster.update(
            self.environment.now(),
            &mut self.store.borrow_mut(),
            election_time,
        );
        for link in self.links.borrow().values() {
            link.set_cut(cluster.is_cut(link.client_region, cluster.region(link.member)));
        }
    }

    async fn expire_leases(self: Rc<Self>) {
        loop {
            self.environment.sleep(EXPIRY_INTERVAL).await;
            let now = self.environment.now();
            if self.cluster.borrow().can_commit(now) && !self.faults.stalled.is_active(now) {
                self.store.borrow_mut().expire(now);
            }
        }
    }

    async fn listen(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        member: usize,
        client_region: Region,
    ) {
        loop {
            let stream = orchidtally_socket_io::accept(&listener).await;
            let cluster = self.cluster.borrow();
            // A connection to a stopped member is closed here, when `stream` is dropped.
            if cluster.is_running(member) {
                let is_cut = cluster.is_cut(client_region, cluster.region(member));
                let link = Rc::new(Link::new(member, client_region, is_cut));
                self.environment
                    .spawn(self.clone().connection(stream, link))
                    .detach();
            }
        }
    }

    async fn connection(self: Rc<Self>, stream: orchidtally_socket_io::Stream, link: Rc<Link>) {
        let key = self.next_link.replace(self.next_link.get() + 1);
        self.links.borrow_mut().insert(key, link.clone());
        let counters = &self.counters[link.member];
        let open = OpenGuard::new(&counters.connections_open);
        let traffic = Rc::new(Traffic::default());
        let client = self.clients.connection(traffic.clone());
        let counted = CountedStream::new(
            CountedStream::new(stream, counters.traffic.clone()),
            traffic,
        );
        let stream = LinkStream::new(counted, link.clone());
        let serve = async {
            let Ok(mut connection) = h2::server::handshake(stream).await else {
                return;
            };
            // Dropped with the connection, which ends its exchanges.
            let exchanges = async_executor::LocalExecutor::new();
            let accept = async {
                while let Some(Ok((request, respond))) = connection.accept().await {
                    client.on_request(&request);
                    exchanges
                        .spawn(self.clone().exchange(link.member, request, respond))
                        .detach();
                }
            };
            exchanges.run(accept).await;
        };
        future::or(serve, link.closed()).await;
        drop(open);
        self.links.borrow_mut().remove(&key);
    }
}
