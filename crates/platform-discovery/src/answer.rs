//! Encodes the DNS query for the endpoint list and parses the resolver's answer.

use crate::{DiscoveredEndpoint, LocationTable, SERVICE, executor_id, started_at};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState};
use simple_dns::rdata::{RData, SRV};
use simple_dns::{CLASS, Name, Packet, PacketFlag, QCLASS, QTYPE, Question, RCODE, TYPE};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// The weight of an SRV record that corresponds to an endpoint weight of 1.
const WEIGHT_SCALE: f64 = 10.0;

/// A complete endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The serial of the SOA record: the number of the last event that the list reflects.
    pub serial: u32,
    /// All executors on the list.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// The state of an executor whose other attributes could not be read.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStateOnly {
    /// The executor's name.
    pub name: String,
    /// The state: ready or draining.
    pub state: EndpointState,
}

/// An endpoint list of which the state of every executor could be read, but not all other attributes.
#[derive(Clone, Debug)]
pub struct PartialEndpointList {
    /// The serial of the SOA record.
    pub serial: u32,
    /// The endpoints that could be read completely.
    pub endpoints: Vec<DiscoveredEndpoint>,
    /// The executors of which only the state could be read.
    pub state_only: Vec<EndpointStateOnly>,
    /// The location table to which the indices of `endpoints` refer. A caller that uses the endpoints must use it too.
    pub locations: LocationTable,
}

/// What is wrong with the records of an executor. The message names the executor.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidRecord {
    /// The executor has no A record.
    #[error("'{0}' has no A record")]
    MissingAddress(String),
    /// The executor has no TXT record.
    #[error("'{0}' has no TXT record")]
    MissingText(String),
    /// The TXT record lacks an attribute.
    #[error("'{name}' has no attribute '{key}' in its TXT record")]
    MissingAttribute {
        /// The executor's name.
        name: String,
        /// The attribute's key.
        key: &'static str,
    },
    /// The start time is not a finite number.
    #[error("'started' of '{0}' is not a finite number")]
    InvalidStart(String),
    /// The cell is not a number, or is out of range.
    #[error("'cell' of '{0}' is not a number from 0 to 65535")]
    InvalidCell(String),
}

/// Why an answer is not a complete endpoint list. The message says what to check.
#[derive(Debug, Error)]
pub enum AnswerError {
    /// The bytes are not a DNS message, or a query can't be encoded.
    #[error("not a valid DNS message: {0}; check the network path to the resolver")]
    Malformed(#[source] simple_dns::SimpleDnsError),
    /// The message has another id, is a query, or answers another question.
    #[error("does not answer the query; check what else sends from the resolver's address")]
    Unrelated,
    /// The resolver truncated the answer.
    #[error("truncated; the list exceeds the resolver's maximum answer length")]
    Truncated,
    /// The resolver reported an error.
    #[error("the resolver reported {0:?}; check its log")]
    ResolverError(RCODE),
    /// There is no SOA record.
    #[error("no serial; the authority section must contain an SOA record")]
    MissingSerial,
    /// The name of a target does not contain an id and a location.
    #[error("target without a location; target names have the form ID.LOCATION.hosts")]
    MissingLocation,
    /// The state of every executor could be read, but not all other attributes.
    #[error("{reason}; correct the executor's records at the resolver")]
    InvalidRecord {
        /// What is wrong with the first executor whose records are invalid.
        reason: InvalidRecord,
        /// The part of the list that could be read.
        list: Box<PartialEndpointList>,
    },
}

/// Encodes the query for the endpoint list, with the given query id.
///
/// # Errors
/// The query can't be encoded.
pub fn build_query(id: u16) -> Result<Vec<u8>, AnswerError> {
    let name = Name::new(SERVICE).map_err(AnswerError::Malformed)?;
    let mut packet = Packet::new_query(id);
    packet.questions.push(Question::new(
        name,
        QTYPE::TYPE(TYPE::SRV),
        QCLASS::CLASS(CLASS::IN),
        false,
    ));
    packet.build_bytes_vec().map_err(AnswerError::Malformed)
}

/// The labels of a domain name, in lower case.
fn labels(name: &Name) -> Vec<String> {
    name.get_labels()
        .iter()
        .map(|label| label.to_string().to_ascii_lowercase())
        .collect()
}

/// Parses the answer to the query with the id `query_id`, and adds the names of new zones and kinds to `locations`.
///
/// # Errors
/// The answer is not a complete list. It can't be used as one, because executors that are missing from a list count as
/// gone. `locations` is unchanged in this case.
pub fn parse_answer(
    bytes: &[u8],
    query_id: u16,
    locations: &mut LocationTable,
) -> Result<EndpointList, AnswerError> {
    let packet = Packet::parse(bytes).map_err(AnswerError::Malformed)?;
    if packet.id() != query_id || !packet.has_flags(PacketFlag::RESPONSE) {
        return Err(AnswerError::Unrelated);
    }
    if packet.has_flags(PacketFlag::TRUNCATION) {
        return Err(AnswerError::Truncated);
    }
    if packet.rcode() != RCODE::NoError {
        return Err(AnswerError::ResolverError(packet.rcode()));
    }
    let service: Vec<String> = SERVICE.split('.').map(str::to_owned).collect();
    if packet.questions.iter().any(|q| labels(&q.qname) != service) {
        return Err(AnswerError::Unrelated);
    }
    let serials = packet
        .name_servers
        .iter()
        .chain(&packet.answers)
        .filter_map(|record| match &record.rdata {
            RData::SOA(soa) => Some(soa.serial),
            _ => None,
        });
    let serial = serials.max().ok_or(AnswerError::MissingSerial)?;
    let mut extended_locations = locations.clone();
    let parsed = parse_records(&packet, &mut extended_locations)?;
    match parsed.first_error {
        None => {
            *locations = extended_locations;
            Ok(EndpointList {
                serial,
                endpoints: parsed.endpoints,
            })
        }
        Some(reason) => {
            let list = Box::new(PartialEndpointList {
                serial,
                endpoints: parsed.endpoints,
                state_only: parsed.state_only,
                locations: extended_locations,
            });
            Err(AnswerError::InvalidRecord { reason, list })
        }
    }
}

/// The state of a target: a priority of 0 means ready, any other priority means draining.
fn state(srv: &SRV) -> EndpointState {
    if srv.priority == 0 {
        EndpointState::Ready
    } else {
        EndpointState::Draining
    }
}

/// The addresses and attributes of the SRV targets of an answer, by target name.
struct TargetDetails<'a> {
    addresses: HashMap<Vec<String>, IpAddr>,
    attributes: HashMap<Vec<String>, HashMap<String, Option<String>>>,
    packet: &'a Packet<'a>,
}

impl<'a> TargetDetails<'a> {
    fn new(packet: &'a Packet<'a>) -> TargetDetails<'a> {
        let mut addresses = HashMap::new();
        let mut attributes = HashMap::new();
        for record in packet.answers.iter().chain(&packet.additional_records) {
            match &record.rdata {
                RData::A(a) => {
                    addresses.insert(labels(&record.name), IpAddr::from(a.address.to_be_bytes()));
                }
                RData::TXT(txt) => {
                    attributes.insert(labels(&record.name), txt.attributes());
                }
                _ => {}
            }
        }
        TargetDetails {
            addresses,
            attributes,
            packet,
        }
    }

    fn targets(&self) -> impl Iterator<Item = (&'a SRV<'a>, Vec<String>)> {
        self.packet
            .answers
            .iter()
            .filter_map(|record| match &record.rdata {
                RData::SRV(srv) => Some((srv, labels(&srv.target))),
                _ => None,
            })
    }

    /// Builds the endpoint of a target, given the executor's name and zone from the target name; `None` if no index is
    /// left for the zone.
    fn endpoint(
        &self,
        srv: &SRV,
        target: &Vec<String>,
        name: &str,
        zone: &str,
        locations: &mut LocationTable,
    ) -> Result<Option<DiscoveredEndpoint>, InvalidRecord> {
        let owned_name = || name.to_owned();
        let ip = *self
            .addresses
            .get(target)
            .ok_or_else(|| InvalidRecord::MissingAddress(owned_name()))?;
        let attributes = self
            .attributes
            .get(target)
            .ok_or_else(|| InvalidRecord::MissingText(owned_name()))?;
        let attribute = |key: &'static str| {
            attributes
                .get(key)
                .and_then(|value| value.as_deref())
                .ok_or_else(|| InvalidRecord::MissingAttribute {
                    name: owned_name(),
                    key,
                })
        };
        let started_ms = attribute("started")?
            .parse::<f64>()
            .ok()
            .filter(|started| started.is_finite())
            .ok_or_else(|| InvalidRecord::InvalidStart(owned_name()))?;
        let cell = attribute("cell")?
            .parse()
            .map_err(|_| InvalidRecord::InvalidCell(owned_name()))?;
        let kind = attribute("kind")?;
        let Some(zone) = locations.zone(zone) else {
            return Ok(None);
        };
        let endpoint = Endpoint {
            executor: executor_id(name),
            zone,
            kind: locations.kind(kind),
            cell,
            state: state(srv),
            weight: f64::from(srv.weight) / WEIGHT_SCALE,
            started_at: started_at(started_ms),
        };
        Ok(Some(DiscoveredEndpoint {
            name: name.to_owned(),
            address: SocketAddr::new(ip, srv.port),
            endpoint,
        }))
    }
}

/// The endpoints that the records of an answer describe.
#[derive(Default)]
struct ParsedRecords {
    endpoints: Vec<DiscoveredEndpoint>,
    /// The executors of which only the state could be read.
    state_only: Vec<EndpointStateOnly>,
    /// What is wrong with the first of them.
    first_error: Option<InvalidRecord>,
}

fn parse_records(
    packet: &Packet,
    locations: &mut LocationTable,
) -> Result<ParsedRecords, AnswerError> {
    let details = TargetDetails::new(packet);
    let mut parsed = ParsedRecords::default();
    for (srv, target) in details.targets() {
        let [name, zone, ..] = target.as_slice() else {
            return Err(AnswerError::MissingLocation);
        };
        match details.endpoint(srv, &target, name, zone, locations) {
            Ok(endpoint) => parsed.endpoints.extend(endpoint),
            Err(error) => {
                parsed.first_error.get_or_insert(error);
                parsed.state_only.push(EndpointStateOnly {
                    name: name.clone(),
                    state: state(srv),
                });
            }
        }
    }
    Ok(parsed)
}
