//! The platform's lists of executors: what was known at the start in its JSON, later ones as answers of DNS.
//! Both become rows of the roster, and `RosterView` decides which of them to believe. No sockets.

mod answer;
mod view;

pub use answer::{Answer, AnswerError, EndpointStateOnly, PartialList, build_query, parse_answer};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState, ExecutorId};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
pub use view::{EndpointView, ListOutcome};

/// The service whose targets are the executors.
pub const SERVICE: &str = "_data._tcp.farm.lan";
/// An answer's bytes at the most: what a UDP datagram carries over IPv4. Hundreds of executors take more than
/// the 8,000 that the platform's page names.
pub const MAX_ANSWER_LENGTH: usize = 65_507;

/// A row of the roster, and where its executor is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    pub name: String,
    pub address: SocketAddr,
    pub endpoint: Endpoint,
}

/// The module's id for an executor: of its name alone, since its address may be another's later and is not
/// the same for every front end. The same at all of them.
pub fn executor_id(name: &str) -> ExecutorId {
    ExecutorId(
        IpAddr::V6(Ipv6Addr::from_bits(xxhash_rust::xxh3::xxh3_128(
            name.as_bytes(),
        ))),
        0,
    )
}

/// Names of locations and kinds, by the index that the module knows. Lists may name more than the settings do;
/// those are added as they come.
#[derive(Clone, Debug, Default)]
pub struct LocationTable {
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Rows that were left out, for being in a location past those that can be told apart.
    pub ignored_endpoints: u64,
}

/// Names told apart, by an index of one byte.
const MOST_NAMES: usize = 256;

impl LocationTable {
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> LocationTable {
        LocationTable {
            zones,
            kinds,
            ignored_endpoints: 0,
        }
    }

    /// How many names there are by now, of locations and of kinds.
    pub fn name_counts(&self) -> (usize, usize) {
        (self.zones.len(), self.kinds.len())
    }

    fn index(names: &mut Vec<String>, name: &str) -> Option<u8> {
        let known = names.iter().position(|n| n == name);
        let at = known.or_else(|| {
            let room = names.len() < MOST_NAMES;
            room.then(|| names.push(name.to_owned()))
                .map(|()| names.len() - 1)
        });
        at.and_then(|at| u8::try_from(at).ok())
    }

    /// Two locations must not be taken for one: a row for which there is none left is passed over.
    fn zone(&mut self, name: &str) -> Option<u8> {
        let zone = Self::index(&mut self.zones, name);
        self.ignored_endpoints += u64::from(zone.is_none());
        zone
    }

    /// Kinds past those that can be told apart are held for one.
    fn kind(&mut self, name: &str) -> u8 {
        Self::index(&mut self.kinds, name).unwrap_or(u8::MAX)
    }
}

/// Seconds of a start told in milliseconds; 0 means long ago.
fn since(started_ms: f64) -> f64 {
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

/// The list of the start, by name, and the number of the last event in it.
pub fn initial_endpoints(
    value: &serde_json::Value,
    places: &mut LocationTable,
) -> Result<(u32, Vec<DiscoveredEndpoint>), String> {
    let known = Known::deserialize(value).map_err(|e| e.to_string())?;
    let mut entries: BTreeMap<String, DiscoveredEndpoint> = BTreeMap::new();
    for update in known.updates {
        if update.endpoints.whole {
            entries.clear();
        }
        for host in update.endpoints.hosts {
            let standing = match host.health {
                Health::Serving => EndpointState::Ready,
                Health::Draining => EndpointState::Draining,
                Health::Deleted => EndpointState::Gone,
            };
            entries.remove(&host.host);
            let Some(zone) = places.zone(&host.site) else {
                continue;
            };
            let row = Endpoint {
                executor: executor_id(&host.host),
                zone,
                kind: places.kind(&host.class),
                cell: host.block,
                state: standing,
                weight: host.share,
                started_at: since(host.born_ms),
            };
            if standing != EndpointState::Gone {
                let entry = DiscoveredEndpoint {
                    name: host.host.clone(),
                    address: host.dial,
                    endpoint: row,
                };
                entries.insert(host.host, entry);
            }
        }
    }
    Ok((known.index, entries.into_values().collect()))
}
