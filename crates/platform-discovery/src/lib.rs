//! The platform's endpoint lists: the initial list is JSON, later lists are DNS answers of the resolver.
//!
//! Both are converted to endpoints of the dispatch policy. [`EndpointView`] decides which lists to believe. The crate
//! opens no sockets.

mod answer;
mod current_endpoint;
mod initial_list;
mod serial;
mod view;
mod withdrawals;

pub use answer::{
    AnswerError, EndpointList, EndpointStateOnly, InvalidRecord, PartialEndpointList, build_query,
    parse_answer,
};
pub use initial_list::{
    InitialEndpoints, InitialEndpointsError, WithdrawnExecutor, initial_endpoints,
};
use orchidtally_dispatch_policy::interface::{Endpoint, ExecutorId};
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
pub use view::{EndpointView, ListOutcome};
pub use withdrawals::{EndedWithdrawal, ReadyReport, ReportOrigin, WithdrawalReport};

/// The DNS service name whose SRV targets are the executors.
pub const SERVICE: &str = "_data._tcp.farm.lan";
/// The maximum length of an answer in bytes, which is the maximum payload of a UDP datagram over IPv4. The platform's
/// specification names 8,000 bytes, but a list of hundreds of executors is longer than that.
pub const MAX_ANSWER_LENGTH: usize = 65_507;

/// An executor on an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// The executor's name on the list.
    pub name: String,
    /// The address at which the executor accepts connections.
    pub address: SocketAddr,
    /// The endpoint as the dispatch policy uses it.
    pub endpoint: Endpoint,
}

/// Returns the policy's id of an executor, which is the same at all front ends. It is a hash of the name alone, because
/// the address may later belong to another executor and may differ between front ends.
pub fn executor_id(name: &str) -> ExecutorId {
    ExecutorId(
        IpAddr::V6(Ipv6Addr::from_bits(xxhash_rust::xxh3::xxh3_128(
            name.as_bytes(),
        ))),
        0,
    )
}

/// Assigns the policy's indices to the names of zones and executor kinds. Lists may contain names that the settings do
/// not declare; these are added when they first occur.
#[derive(Clone, Debug, Default)]
pub struct LocationTable {
    zones: Vec<String>,
    kinds: Vec<String>,
    /// How often an endpoint was ignored because no index was left for its zone.
    pub ignored_endpoints: u64,
}

/// The number of names in a [`LocationTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameCounts {
    /// The number of zones.
    pub zones: usize,
    /// The number of executor kinds.
    pub kinds: usize,
}

/// The maximum number of names of each sort, since an index is one byte.
const MAX_NAMES: usize = 256;

impl LocationTable {
    /// Creates a table with the names that the settings declare, in the order of the settings.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> LocationTable {
        LocationTable {
            zones,
            kinds,
            ignored_endpoints: 0,
        }
    }

    /// Returns how many names the table contains.
    pub fn name_counts(&self) -> NameCounts {
        NameCounts {
            zones: self.zones.len(),
            kinds: self.kinds.len(),
        }
    }

    /// The index of a name, which is added if it is new; `None` if no index is left for it.
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

    /// The index of a zone; `None` if no index is left. The endpoint is ignored in that case, because two zones must not
    /// share an index.
    fn zone(&mut self, name: &str) -> Option<u8> {
        let zone = Self::index(&mut self.zones, name);
        self.ignored_endpoints += u64::from(zone.is_none());
        zone
    }

    /// The index of an executor kind. Kinds for which no index is left share the last one.
    fn kind(&mut self, name: &str) -> u8 {
        Self::index(&mut self.kinds, name).unwrap_or(u8::MAX)
    }
}

/// Converts an executor's start time from milliseconds to seconds. A start time of 0 means long ago: negative infinity.
fn started_at(started_ms: f64) -> f64 {
    if started_ms > 0.0 {
        started_ms / 1e3
    } else {
        f64::NEG_INFINITY
    }
}
