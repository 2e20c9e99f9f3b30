//! The resolver's DNS messages: the query for the endpoint list, and its answer.

use crate::{DiscoveredEndpoint, LocationTable, SERVICE, executor_id, started_at};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState};
use simple_dns::rdata::{RData, SRV};
use simple_dns::{CLASS, Name, Packet, PacketFlag, QCLASS, QTYPE, Question, RCODE, TYPE};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// The weight of an SRV record for a weight of one.
const WEIGHT_SCALE: f64 = 10.0;

/// A whole endpoint list, and the number of the last event in it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The serial of the SOA record.
    pub serial: u32,
    /// Every executor on the list.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// The state of an endpoint of which nothing else could be read.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStateOnly {
    /// The executor's id.
    pub name: String,
    /// Ready or draining.
    pub state: EndpointState,
}

/// An endpoint list that tells the state of every executor, but not all of the rest.
#[derive(Clone, Debug)]
pub struct PartialEndpointList {
    /// The serial of the SOA record.
    pub serial: u32,
    /// The endpoints that could be read.
    pub endpoints: Vec<DiscoveredEndpoint>,
    /// The others.
    pub state_only: Vec<EndpointStateOnly>,
    /// The table of locations with those that the endpoints name; to be taken over together with these.
    pub locations: LocationTable,
}

/// What is wrong with the records of one executor; the text names it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidRecord {
    /// There is no address.
    #[error("'{0}' has no address")]
    MissingAddress(String),
    /// There is no text record.
    #[error("'{0}' has no text")]
    MissingText(String),
    /// The text record lacks an attribute.
    #[error("'{name}' has no '{key}'")]
    MissingAttribute {
        /// The executor.
        name: String,
        /// The attribute.
        key: &'static str,
    },
    /// The start is no finite number.
    #[error("'started' of '{0}' is no number")]
    InvalidStart(String),
    /// The cell is no number that fits.
    #[error("'cell' of '{0}' is no number of a cell")]
    InvalidCell(String),
}

/// Why an answer is no whole list.
#[derive(Debug, Error)]
pub enum AnswerError {
    /// The bytes are no DNS message.
    #[error("unreadable: {0}; see what lies between here and the resolver")]
    Malformed(#[source] simple_dns::SimpleDnsError),
    /// It has another id, is a query, or answers another question.
    #[error("not the answer to what was asked; see who else sends from the resolver's address")]
    Unrelated,
    /// The resolver left something out.
    #[error("truncated; the list is longer than the resolver's answers may be")]
    Truncated,
    /// The resolver failed.
    #[error("failed: {0:?}; see the resolver's log")]
    ResolverError(RCODE),
    /// There is no SOA record.
    #[error("without a serial; the authority section needs a SOA record")]
    MissingSerial,
    /// A target's name does not tell an id and a location.
    #[error("a target without a location; names are ID.LOCATION.hosts")]
    MissingLocation,
    /// The state of every executor could be read, but not all of the rest.
    #[error("{reason}; correct that row at the resolver")]
    InvalidRecord {
        /// What is wrong with the first such executor.
        reason: InvalidRecord,
        /// What could be read.
        list: Box<PartialEndpointList>,
    },
}

/// Builds a query for the whole list under an id.
///
/// # Errors
/// The message can't be encoded.
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

/// The labels of a name in lower case.
fn labels(name: &Name) -> Vec<String> {
    name.get_labels()
        .iter()
        .map(|l| l.to_string().to_ascii_lowercase())
        .collect()
}

/// Parses the answer to the query with an id.
///
/// # Errors
/// The answer is not a whole list: what it leaves out would count as gone. `locations` is unchanged then.
pub fn parse_answer(
    bytes: &[u8],
    id_asked: u16,
    locations: &mut LocationTable,
) -> Result<EndpointList, AnswerError> {
    let packet = Packet::parse(bytes).map_err(AnswerError::Malformed)?;
    if packet.id() != id_asked || !packet.has_flags(PacketFlag::RESPONSE) {
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
        .filter_map(|r| match &r.rdata {
            RData::SOA(soa) => Some(soa.serial),
            _ => None,
        });
    let serial = serials.max().ok_or(AnswerError::MissingSerial)?;
    let mut named = locations.clone();
    let parsed = parse_records(&packet, &mut named)?;
    match parsed.first_error {
        None => {
            *locations = named;
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
                locations: named,
            });
            Err(AnswerError::InvalidRecord { reason, list })
        }
    }
}

/// Executors with priority 0 are ready, the others drain.
fn state(srv: &SRV) -> EndpointState {
    if srv.priority == 0 {
        EndpointState::Ready
    } else {
        EndpointState::Draining
    }
}

/// The addresses and attributes of the targets of a list.
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

    /// The endpoint of a target whose name begins with an executor's id and its zone; `None` if the zone can't be told
    /// apart from others.
    fn endpoint(
        &self,
        srv: &SRV,
        target: &Vec<String>,
        name: &str,
        zone: &str,
        locations: &mut LocationTable,
    ) -> Result<Option<DiscoveredEndpoint>, InvalidRecord> {
        let name_of_record = || name.to_owned();
        let ip = *self
            .addresses
            .get(target)
            .ok_or_else(|| InvalidRecord::MissingAddress(name_of_record()))?;
        let attributes = self
            .attributes
            .get(target)
            .ok_or_else(|| InvalidRecord::MissingText(name_of_record()))?;
        let attribute = |key: &'static str| {
            attributes
                .get(key)
                .and_then(|value| value.as_deref())
                .ok_or_else(|| InvalidRecord::MissingAttribute {
                    name: name_of_record(),
                    key,
                })
        };
        let started_ms = attribute("started")?
            .parse::<f64>()
            .ok()
            .filter(|started| started.is_finite())
            .ok_or_else(|| InvalidRecord::InvalidStart(name_of_record()))?;
        let cell = attribute("cell")?
            .parse()
            .map_err(|_| InvalidRecord::InvalidCell(name_of_record()))?;
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

/// What the records of a list tell.
#[derive(Default)]
struct ParsedRecords {
    endpoints: Vec<DiscoveredEndpoint>,
    /// Endpoints of which only the state could be read.
    state_only: Vec<EndpointStateOnly>,
    /// What is wrong with the first of these.
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
