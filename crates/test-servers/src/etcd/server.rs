//! Members on sockets, and the script's hands on them: members that stop and start, regions that are cut off.

use super::clients::{ClientCounters, Clients};
use super::cluster::{Cluster, Region};
use super::counters::{Counters, MemberCounters, Open};
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
/// Between looks at leases that may have ended, in seconds.
const EXPIRY_INTERVAL: f64 = 0.05;

/// Hears of each entry that is told to a client, with the name that the client gives itself.
pub type EventListener = Rc<dyn Fn(&str, &Event)>;

/// A store on sockets, with several members.
pub struct EtcdServer {
    pub(super) stage: TestEnvironment,
    /// Each member's address for clients of its own region.
    pub addresses: Vec<SocketAddr>,
    /// By client region, the address of each member: what comes over it counts as from that region.
    addresses_by_region: BTreeMap<Region, Vec<SocketAddr>>,
    /// The replicated state. What a script writes here is committed, whatever members run.
    pub store: RefCell<Store>,
    /// Faults that a script sets.
    pub faults: Faults,
    /// Times that a script sets.
    pub timing: Timing,
    pub(super) cluster: RefCell<Cluster>,
    pub(super) counters: Vec<MemberCounters>,
    clients: Clients,
    pub(super) messages: Cell<u64>,
    links: RefCell<BTreeMap<u64, Rc<Link>>>,
    next_link: Cell<u64>,
    /// Hears of each entry that is told to a client.
    pub on_event: RefCell<Option<EventListener>>,
}

impl EtcdServer {
    /// Starts so many members in one region. Fails where no address can be had.
    pub fn start(stage: &TestEnvironment, members: usize) -> io::Result<Rc<EtcdServer>> {
        EtcdServer::start_in_regions(stage, &vec![0; members])
    }

    /// Starts a member in each of the regions named: `[0, 0, 1, 1, 2]` are five members in three regions.
    pub fn start_in_regions(
        stage: &TestEnvironment,
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
        let served = Rc::new(EtcdServer {
            stage: stage.clone(),
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
            stage
                .spawn(served.clone().listen(listener, member, client_region))
                .detach();
        }
        stage.spawn(served.clone().expire_leases()).detach();
        Ok(served)
    }

    /// The members' addresses for clients of a region: a cut between that region and a member's holds for what comes
    /// over them. Empty for a region without members.
    pub fn addresses_from(&self, client_region: Region) -> Vec<SocketAddr> {
        self.addresses_by_region
            .get(&client_region)
            .cloned()
            .unwrap_or_default()
    }

    /// Stops a member at once, as a machine that is lost: its connections break, and new ones do.
    pub fn stop(&self, member: usize) {
        self.cluster.borrow_mut().set_running(member, false);
        self.update_cluster();
        for link in self
            .links
            .borrow()
            .values()
            .filter(|link| link.member == member)
        {
            link.break_off();
        }
    }

    /// Starts a member again, with the state that it had when it stopped until it hears of a leader.
    pub fn restart(&self, member: usize) {
        self.cluster.borrow_mut().set_running(member, true);
        self.update_cluster();
    }

    /// Cuts a region off from all others: its members, and its clients from the others' members.
    pub fn cut(&self, region: Region) {
        let others = self.cluster.borrow().regions();
        others
            .into_iter()
            .for_each(|other| self.cluster.borrow_mut().cut(region, other));
        self.update_cluster();
    }

    /// Cuts two regions off from each other; both still reach the rest.
    pub fn cut_between(&self, a: Region, b: Region) {
        self.cluster.borrow_mut().cut(a, b);
        self.update_cluster();
    }

    /// All regions reach each other again.
    pub fn heal(&self) {
        self.cluster.borrow_mut().heal();
        self.update_cluster();
    }

    /// With the next transaction so many members stop: the one that serves it, and others from the first on. The
    /// transaction is then committed as a whole or not at all, and its client hears of neither.
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

    /// Breaks all connections off.
    pub fn break_connections(&self) {
        self.links
            .borrow()
            .values()
            .for_each(|link| link.break_off());
    }

    /// What a member did so far.
    pub fn counters(&self, member: usize) -> Counters {
        self.counters[member].snapshot()
    }

    /// What all members did so far.
    pub fn total_counters(&self) -> Counters {
        let mut total = Counters::default();
        self.counters
            .iter()
            .for_each(|counters| total += counters.snapshot());
        total
    }

    /// What clients moved so far, by name.
    pub fn client_counters(&self) -> Vec<ClientCounters> {
        self.clients.snapshot()
    }

    /// Whether a member follows a leader now.
    pub fn has_leader(&self, member: usize) -> bool {
        self.cluster.borrow().has_leader(member, self.stage.now())
    }

    /// What a member sees of the store.
    pub fn view(&self, member: usize) -> View {
        self.cluster.borrow().view(member, &self.store.borrow())
    }

    fn update_cluster(&self) {
        let mut cluster = self.cluster.borrow_mut();
        let election_time = self.timing.election_time.get();
        cluster.update(
            self.stage.now(),
            &mut self.store.borrow_mut(),
            election_time,
        );
        for link in self.links.borrow().values() {
            link.set_cut(cluster.is_cut(link.client_region, cluster.region(link.member)));
        }
    }

    async fn expire_leases(self: Rc<Self>) {
        loop {
            self.stage.sleep(EXPIRY_INTERVAL).await;
            let now = self.stage.now();
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
            // The connection to a member that is stopped breaks here.
            if cluster.is_running(member) {
                let is_cut = cluster.is_cut(client_region, cluster.region(member));
                let link = Rc::new(Link::new(member, client_region, is_cut));
                self.stage
                    .spawn(self.clone().connection(stream, link))
                    .detach();
            }
        }
    }

    async fn connection(self: Rc<Self>, stream: orchidtally_socket_io::Stream, link: Rc<Link>) {
        let key = self.next_link.replace(self.next_link.get() + 1);
        self.links.borrow_mut().insert(key, link.clone());
        let counters = &self.counters[link.member];
        let open = Open::new(&counters.connections_open);
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
            // Exchanges end with their connection.
            let exchanges = async_executor::LocalExecutor::new();
            let accept = async {
                while let Some(Ok((request, respond))) = connection.accept().await {
                    client.requested(&request);
                    exchanges
                        .spawn(self.clone().exchange(link.member, request, respond))
                        .detach();
                }
            };
            exchanges.run(accept).await;
        };
        future::or(serve, link.broken()).await;
        drop(open);
        self.links.borrow_mut().remove(&key);
    }
}
