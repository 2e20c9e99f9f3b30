//! The platform's endpoint lists: that of the start in JSON, later ones as DNS answers of the resolver.
//!
//! Both become endpoints of the dispatch policy. [`EndpointView`] decides which lists to believe. No sockets.

mod answer;
mod serial;
mod transitions;
mod view;

pub use answer::{
    AnswerError, EndpointList, EndpointStateOnly, InvalidRecord, PartialEndpointList, build_query,
    parse_answer,
};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState, ExecutorId};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use thiserror::Error;
pub use view::{EndpointView, ListOutcome};

/// The service whose targets are the executors.
pub const SERVICE: &str = "_data._tcp.farm.lan";
/// The longest answer in bytes: what a UDP datagram carries over IPv4. Hundreds of executors take more than the 8,000
/// that the platform's page names.
pub const MAX_ANSWER_LENGTH: usize = 65_507;

/// An executor of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// Its id on the list.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// What the policy knows of it.
    pub endpoint: Endpoint,
}

/// The policy's id for an executor, the same at every front end. It is derived from the name alone: the address may be
/// another executor's later, and is not the same for every front end.
pub fn executor_id(name: &str) -> ExecutorId {
    ExecutorId(
        IpAddr::V6(Ipv6Addr::from_bits(xxhash_rust::xxh3::xxh3_128(
            name.as_bytes(),
        ))),
        0,
    )
}

/// The names of zones and executor kinds, by the policy's index. Lists may name more than the settings declare; these are
/// added as they come.
#[derive(Clone, Debug, Default)]
pub struct LocationTable {
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Endpoints that were ignored because no index was left for their zone.
    pub ignored_endpoints: u64,
}

/// How many names a `LocationTable` holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameCounts {
    /// Names of zones.
    pub zones: usize,
    /// Names of executor kinds.
    pub kinds: usize,
}

/// Names that an index of one byte tells apart.
const MAX_NAMES: usize = 256;

impl LocationTable {
    /// The names that the settings declare, in their order.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> LocationTable {
        LocationTable {
            zones,
            kinds,
            ignored_endpoints: 0,
        }
    }

    /// How many names there are by now.
    pub fn name_counts(&self) -> NameCounts {
        NameCounts {
            zones: self.zones.len(),
            kinds: self.kinds.len(),
        }
    }

    fn index(names: &mut Vec<String>, name: &str) -> Option<u8> {
        let known = names.iter().position(|known| known == name);
        let index = match known {
            Some(index) => index,
            None if names.len() < MAX_NAMES => {
                names.push(name.to_owned());
                names.len() - 1
            }
            None => return None,
        };
        u8::try_from(index).ok()
    }

    /// The index of a zone. Two zones must not share one: without an index left the endpoint is ignored.
    fn zone(&mut self, name: &str) -> Option<u8> {
        let zone = Self::index(&mut self.zones, name);
        self.ignored_endpoints += u64::from(zone.is_none());
        zone
    }

    /// The index of an executor kind; kinds without an index of their own share the last.
    fn kind(&mut self, name: &str) -> u8 {
        Self::index(&mut self.kinds, name).unwrap_or(u8::MAX)
    }
}

/// The start of an executor in seconds, from milliseconds; 0 means long ago.
fn started_at(started_ms: f64) -> f64 {
    if started_ms > 0.0 {
        started_ms / 1e3
    } else {
        f64::NEG_INFINITY
    }
}

#[derive(Deserialize)]
struct Known {
    index: u32,
    updates: Vec<Update>,
}

#[derive(Deserialize)]
struct Update {
    endpoints: Endpoints,
}

#[derive(Deserialize)]
struct Endpoints {
    whole: bool,
    hosts: Vec<Host>,
}

#[derive(Deserialize)]
struct Host {
    host: String,
    dial: SocketAddr,
    site: String,
    class: String,
    block: u16,
    health: Health,
    share: f64,
    #[serde(default)]
    born_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Health {
    Serving,
    Draining,
    Deleted,
}

/// The endpoint list of the start.
#[derive(Clone, Debug, PartialEq)]
pub struct InitialEndpoints {
    /// The number of the last event in it.
    pub serial: u32,
    /// The executors, ordered by name.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// Why the endpoint list of the start can't be used.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct InitialEndpointsError(#[from] serde_json::Error);

/// Reads the endpoint list of the start: the updates are applied one after the other.
///
/// # Errors
/// The value has another form; the error names the key.
pub fn initial_endpoints(
    value: &serde_json::Value,
    locations: &mut LocationTable,
) -> Result<InitialEndpoints, InitialEndpointsError> {
    let known = Known::deserialize(value)?;
    let mut endpoints: BTreeMap<String, DiscoveredEndpoint> = BTreeMap::new();
    for update in known.updates {
        if update.endpoints.whole {
            endpoints.clear();
        }
        for host in update.endpoints.hosts {
            endpoints.remove(&host.host);
            if let Some(discovered) = discovered_endpoint(&host, locations)
                && discovered.endpoint.state != EndpointState::Gone
            {
                endpoints.insert(host.host, discovered);
            }
        }
    }
    Ok(InitialEndpoints {
        serial: known.index,
        endpoints: endpoints.into_values().collect(),
    })
}

/// The endpoint of a host; `None` if its zone can't be told apart from others.
fn discovered_endpoint(host: &Host, locations: &mut LocationTable) -> Option<DiscoveredEndpoint> {
    let state = match host.health {
        Health::Serving => EndpointState::Ready,
        Health::Draining => EndpointState::Draining,
        Health::Deleted => EndpointState::Gone,
    };
    Some(DiscoveredEndpoint {
        name: host.host.clone(),
        address: host.dial,
        endpoint: Endpoint {
            executor: executor_id(&host.host),
            zone: locations.zone(&host.site)?,
            kind: locations.kind(&host.class),
            cell: host.block,
            state,
            weight: host.share,
            started_at: started_at(host.born_ms),
        },
    })
}
