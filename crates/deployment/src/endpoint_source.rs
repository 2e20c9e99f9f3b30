//! The `executors` section: the source of the endpoint list, and the networks in which executors are allowed.

use crate::names::index_of_name;
use crate::reader::{Fields, Place};
use ipnet::IpNet;
use orchidtally_dispatch_policy::interface::{
    DeduplicationScope, Endpoint, EndpointState, ExecutorId, Idempotency, TriggerType,
};
use std::net::SocketAddr;

const DEFAULT_PREFIX: &str = "/orchidtally/";
const DEFAULT_LEASE_TTL: f64 = 10.0;

/// The source of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointSource {
    /// The executors listed in the deployment file.
    Listed(Vec<Endpoint>),
    /// A publisher that streams the endpoint list and its changes.
    Publisher(SocketAddr),
    /// etcd, in which executors and front ends are registered.
    Etcd(EtcdSettings),
}

/// The etcd cluster in which endpoints and front ends are registered.
#[derive(Clone, Debug)]
pub struct EtcdSettings {
    /// The members of the cluster.
    pub endpoints: Vec<SocketAddr>,
    /// The prefix of all keys.
    pub prefix: String,
    /// Time to live of a front end's lease after its last renewal, in seconds.
    pub lease_ttl: f64,
}

/// The requirements of the trigger types on the executors that are listed.
#[derive(Clone, Copy)]
pub(crate) struct Requirements {
    /// Whether keyed invocations are deduplicated within a cell, so that each executor has to have one.
    by_cell: bool,
    /// Whether keyed invocations are deduplicated within a location, so that each location has to have an executor.
    by_zone: bool,
}

impl Requirements {
    pub(crate) fn of(trigger_types: &[TriggerType]) -> Requirements {
        let has_scope = |scope| {
            trigger_types.iter().any(|trigger_type| {
                trigger_type.idempotency == Idempotency::Keyed
                    && trigger_type.deduplication_scope == scope
            })
        };
        Requirements {
            by_cell: has_scope(DeduplicationScope::Cell),
            by_zone: has_scope(DeduplicationScope::Zone),
        }
    }
}

/// Reads the source and the allowed networks; no network means any.
pub(crate) fn read_endpoint_source(
    place: &Place,
    locations: &[String],
    kinds: &[String],
    requirements: Requirements,
) -> (EndpointSource, Vec<IpNet>) {
    let fields = place.object(&["allowedNetworks", "publisher", "list", "etcd"]);
    let allowed: Vec<IpNet> = fields
        .at("allowedNetworks")
        .list()
        .iter()
        .filter_map(|place| place.parsed("a network such as '10.0.0.0/8'", str::parse))
        .collect();
    let publisher = fields.optional("publisher", |place| {
        place.parsed("an address and port", str::parse)
    });
    let etcd = fields.optional("etcd", |place| Some(read_etcd(place)));
    let is_given = |key| fields.at(key).is_given();
    let sources = ["list", "publisher", "etcd"].into_iter();
    if place.is_given() && sources.filter(|key| is_given(key)).count() != 1 {
        place.fault("one of 'list', 'publisher' and 'etcd' is wanted");
    }
    if let Some(etcd) = etcd {
        return (EndpointSource::Etcd(etcd), allowed);
    }
    if let Some(publisher) = publisher {
        if !is_allowed(&allowed, &publisher) {
            fields
                .at("publisher")
                .fault(format!("{publisher} is in none of the allowed networks"));
        }
        return (EndpointSource::Publisher(publisher), allowed);
    }
    let mut reader = ListReader {
        locations,
        kinds,
        allowed: &allowed,
        requirements,
        endpoints: vec![],
    };
    reader.read(&fields);
    let endpoints = reader.endpoints;
    (EndpointSource::Listed(endpoints), allowed)
}

fn is_allowed(networks: &[IpNet], address: &SocketAddr) -> bool {
    networks.is_empty()
        || networks
            .iter()
            .any(|network| network.contains(&address.ip()))
}

fn read_etcd(place: &Place) -> EtcdSettings {
    let fields = place.object(&["endpoints", "prefix", "lease"]);
    let endpoints: Vec<SocketAddr> = fields
        .at("endpoints")
        .list()
        .iter()
        .filter_map(|place| place.parsed("an address and port", str::parse))
        .collect();
    if endpoints.is_empty() {
        fields.at("endpoints").fault("at least one is wanted");
    }
    let prefix = fields.optional("prefix", Place::text);
    let prefix = prefix.unwrap_or_else(|| DEFAULT_PREFIX.into());
    if !prefix.ends_with('/') {
        fields.at("prefix").fault("has to end with '/'");
    }
    let lease = fields.optional("lease", |place| place.seconds(2.0..=3_600.0));
    EtcdSettings {
        endpoints,
        prefix,
        lease_ttl: lease.unwrap_or(DEFAULT_LEASE_TTL),
    }
}

/// Reads the executors that the file lists.
struct ListReader<'a> {
    locations: &'a [String],
    kinds: &'a [String],
    allowed: &'a [IpNet],
    requirements: Requirements,
    /// The executors read so far.
    endpoints: Vec<Endpoint>,
}

impl ListReader<'_> {
    fn read(&mut self, fields: &Fields) {
        let list = fields.at("list");
        for place in list.list() {
            self.read_endpoint(&place);
        }
        if list.is_given() && self.endpoints.is_empty() {
            list.fault("at least one executor is wanted");
        }
        if self.requirements.by_zone && !self.endpoints.is_empty() {
            for location in self.empty_locations() {
                list.fault(format!(
                    "no executor is in '{location}', but a trigger type deduplicates tokens within locations"
                ));
            }
        }
    }

    fn read_endpoint(&mut self, place: &Place) {
        let fields = place.object(&["address", "location", "kind", "cell", "weight"]);
        let address = fields
            .at("address")
            .parsed("an address and port", str::parse::<SocketAddr>);
        let zone = index_of_name(&fields, "location", self.locations);
        let kind = index_of_name(&fields, "kind", self.kinds);
        let cell = fields.optional("cell", |place| place.integer(0..=65_535));
        if self.requirements.by_cell && !fields.at("cell").is_given() {
            fields
                .at("cell")
                .fault("is missing; a trigger type deduplicates tokens within cells");
        }
        let weight = fields.optional("weight", |place| place.number(0.001..=1e6));
        let (Some(address), Some(zone), Some(kind)) = (address, zone, kind) else {
            return;
        };
        let endpoint = Endpoint {
            executor: ExecutorId(address.ip(), address.port()),
            zone,
            kind,
            cell: cell.unwrap_or(0) as u16,
            state: EndpointState::Ready,
            weight: weight.unwrap_or(1.0),
            started_at: f64::NEG_INFINITY,
        };
        self.check(&fields, address, &endpoint);
        self.endpoints.push(endpoint);
    }

    /// Checks an executor against the allowed networks and those read before it.
    fn check(&self, fields: &Fields, address: SocketAddr, endpoint: &Endpoint) {
        if !is_allowed(self.allowed, &address) {
            fields
                .at("address")
                .fault(format!("{address} is in none of the allowed networks"));
        }
        let mut others = self.endpoints.iter();
        if others.any(|other| other.executor == endpoint.executor) {
            fields
                .at("address")
                .fault(format!("{address} is listed twice"));
        }
        if !self.requirements.by_cell {
            return;
        }
        let cell = endpoint.cell;
        let mut others = self.endpoints.iter();
        if let Some(other) = others.find(|other| other.cell == cell && other.zone != endpoint.zone)
        {
            let location = &self.locations[usize::from(other.zone)];
            fields
                .at("cell")
                .fault(format!("cell {cell} is also in location '{location}'"));
        }
    }

    /// Returns the locations without an executor.
    fn empty_locations(&self) -> impl Iterator<Item = &String> {
        let has_endpoint = |zone: usize| {
            let mut endpoints = self.endpoints.iter();
            endpoints.any(|endpoint| usize::from(endpoint.zone) == zone)
        };
        let locations = self.locations.iter().enumerate();
        locations
            .filter(move |(zone, _)| !has_endpoint(*zone))
            .map(|(_, location)| location)
    }
}
