//! Answers of the resolver over DNS: what is asked, and what an answer tells.

use crate::{DiscoveredEndpoint, LocationTable, SERVICE, executor_id, since};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState};
use simple_dns::rdata::{RData, SRV};
use simple_dns::{CLASS, Name, Packet, PacketFlag, QCLASS, QTYPE, Question, RCODE, TYPE};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// A whole list, and the number of the last event in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The serial of the SOA record.
    pub serial: u32,
    /// Every executor on the list.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// An executor's standing, where the rest of its row could not be read.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStateOnly {
    /// The executor's id.
    pub name: String,
    /// Ready or draining.
    pub state: EndpointState,
}

/// A list that names every executor and its standing, some of them with rows that could not be read.
#[derive(Clone, Debug)]
pub struct PartialList {
    /// The serial of the SOA record.
    pub serial: u32,
    /// The executors whose rows could be read.
    pub endpoints: Vec<DiscoveredEndpoint>,
    /// The others.
    pub state_only: Vec<EndpointStateOnly>,
    /// Locations and kinds with those that the entries name; to be taken over together with these.
    pub locations: LocationTable,
}

/// Why an answer is no whole list.
#[derive(Clone, Debug, Error)]
pub enum AnswerError {
    /// The bytes are no DNS message.
    #[error("unreadable: {0}; see what lies between here and the resolver")]
    Malformed(String),
    /// It has another id, asks instead of answering, or answers another question.
    #[error("not the answer to what was asked; see who else sends from the resolver's address")]
    Foreign,
    /// The resolver left something out.
    #[error("truncated; the list is longer than the resolver's answers may be")]
    Truncated,
    /// The resolver failed.
    #[error("failed: {0}; see the resolver's log")]
    Failed(String),
    /// There is no SOA record.
    #[error("without a serial; the authority section needs a SOA record")]
    NoSerial,
    /// A target's name does not tell an id and a location.
    #[error("a target without a location; names are ID.LOCATION.hosts")]
    NoLocation,
    /// The standing of every executor could be read, but not every row.
    #[error("{why}; correct that row at the resolver")]
    InvalidRecord {
        /// What is wrong with the first such row.
        why: String,
        /// What could be read.
        list: Box<PartialList>,
    },
}

/// Builds a query for the whole list under an id.
///
/// # Errors
/// The name of the service is none.
pub fn build_query(id: u16) -> Result<Vec<u8>, AnswerError> {
    let unreadable = |e: simple_dns::SimpleDnsError| AnswerError::Malformed(e.to_string());
    let name = Name::new(SERVICE).map_err(unreadable)?;
    let mut packet = Packet::new_query(id);
    packet.questions.push(Question::new(
        name,
        QTYPE::TYPE(TYPE::SRV),
        QCLASS::CLASS(CLASS::IN),
        false,
    ));
    packet.build_bytes_vec().map_err(unreadable)
}

/// The labels of a name as text.
fn labels(name: &Name) -> Vec<String> {
    name.get_labels()
        .iter()
        .map(|l| l.to_string().to_ascii_lowercase())
        .collect()
}

/// Reads an answer to the query with an id. An answer that is not whole in every row is no list: what it left out
/// would be taken to be gone. It names no places then either.
///
/// # Errors
/// As `AnswerFault` tells.
pub fn parse_answer(
    bytes: &[u8],
    id_asked: u16,
    places: &mut LocationTable,
) -> Result<Answer, AnswerError> {
    let packet = Packet::parse(bytes).map_err(|e| AnswerError::Malformed(e.to_string()))?;
    if packet.id() != id_asked || !packet.has_flags(PacketFlag::RESPONSE) {
        return Err(AnswerError::Foreign);
    }
    if packet.has_flags(PacketFlag::TRUNCATION) {
        return Err(AnswerError::Truncated);
    }
    if packet.rcode() != RCODE::NoError {
        return Err(AnswerError::Failed(format!("{:?}", packet.rcode())));
    }
    let service: Vec<String> = SERVICE.split('.').map(str::to_owned).collect();
    if packet.questions.iter().any(|q| labels(&q.qname) != service) {
        return Err(AnswerError::Foreign);
    }
    let serials = packet
        .name_servers
        .iter()
        .chain(&packet.answers)
        .filter_map(|r| match &r.rdata {
            RData::SOA(soa) => Some(soa.serial),
            _ => None,
        });
    let serial = serials.max().ok_or(AnswerError::NoSerial)?;
    let mut named = places.clone();
    let (entries, odd, why) = rows(&packet, &mut named)?;
    match why {
        None => {
            *places = named;
            Ok(Answer {
                serial,
                endpoints: entries,
            })
        }
        Some(why) => {
            let list = Box::new(PartialList {
                serial,
                endpoints: entries,
                state_only: odd,
                locations: named,
            });
            Err(AnswerError::InvalidRecord { why, list })
        }
    }
}

fn standing(srv: &SRV) -> EndpointState {
    if srv.priority == 0 {
        EndpointState::Ready
    } else {
        EndpointState::Draining
    }
}

/// Addresses and texts of the targets.
struct Details<'a> {
    addresses: HashMap<Vec<String>, IpAddr>,
    texts: HashMap<Vec<String>, HashMap<String, Option<String>>>,
    packet: &'a Packet<'a>,
}

impl<'a> Details<'a> {
    fn new(packet: &'a Packet<'a>) -> Details<'a> {
        let (mut addresses, mut texts) = (HashMap::new(), HashMap::new());
        for record in packet.answers.iter().chain(&packet.additional_records) {
            match &record.rdata {
                RData::A(a) => {
                    addresses.insert(labels(&record.name), IpAddr::from(a.address.to_be_bytes()));
                }
                RData::TXT(txt) => {
                    texts.insert(labels(&record.name), txt.attributes());
                }
                _ => {}
            }
        }
        Details {
            addresses,
            texts,
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

    /// An executor's entry; none where its location is one too many, and what is wrong where it can't be read.
    fn entry(
        &self,
        srv: &SRV,
        target: &Vec<String>,
        name: &str,
        zone: &str,
        places: &mut LocationTable,
    ) -> Result<Option<DiscoveredEndpoint>, String> {
        let ip = *self
            .addresses
            .get(target)
            .ok_or_else(|| format!("'{name}' has no address"))?;
        let text = self
            .texts
            .get(target)
            .ok_or_else(|| format!("'{name}' has no text"))?;
        let field = |key: &str| {
            let found = text.get(key).and_then(|v| v.as_deref());
            found.ok_or_else(|| format!("'{name}' has no '{key}'"))
        };
        let started = field("started")?
            .parse::<f64>()
            .ok()
            .filter(|n| n.is_finite());
        let started = started.ok_or_else(|| format!("'started' of '{name}' is no number"))?;
        let cell = field("cell")?
            .parse()
            .map_err(|_| format!("'cell' of '{name}' is no number of a cell"))?;
        let kind = field("kind")?;
        let Some(zone) = places.zone(zone) else {
            return Ok(None);
        };
        let row = Endpoint {
            executor: executor_id(name),
            zone,
            kind: places.kind(kind),
            cell,
            state: standing(srv),
            weight: f64::from(srv.weight) / 10.0,
            started_at: since(started),
        };
        Ok(Some(DiscoveredEndpoint {
            name: name.to_owned(),
            address: SocketAddr::new(ip, srv.port),
            endpoint: row,
        }))
    }
}

/// Entries, rows of which only the standing could be read, and what is wrong with the first of these.
type Rows = (
    Vec<DiscoveredEndpoint>,
    Vec<EndpointStateOnly>,
    Option<String>,
);

fn rows(packet: &Packet, places: &mut LocationTable) -> Result<Rows, AnswerError> {
    let details = Details::new(packet);
    let (mut entries, mut odd, mut first_fault) = (vec![], vec![], None);
    for (srv, target) in details.targets() {
        let [name, zone, ..] = target.as_slice() else {
            return Err(AnswerError::NoLocation);
        };
        match details.entry(srv, &target, name, zone, places) {
            Ok(entry) => entries.extend(entry),
            Err(why) => {
                first_fault.get_or_insert(why);
                odd.push(EndpointStateOnly {
                    name: name.clone(),
                    state: standing(srv),
                });
            }
        }
    }
    Ok((entries, odd, first_fault))
}
