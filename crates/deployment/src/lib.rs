//! The description of a deployment, in JSON5. It is checked as a whole: every fault is told in one pass, with
//! line, column, key and what would be right. What is sound is decoded once, into the module's `PolicyConfig` and
//! into what the program needs besides.

mod changes;
mod configuration;
mod executors;
mod functions;
pub mod reader;
mod regions;
mod sections;
mod trigger_types;

pub use changes::restart_needed;
pub use configuration::{Configuration, WithoutView};
pub use functions::{check_digest, check_function_name};
use ipnet::IpNet;
use orchidtally_dispatch_policy::interface::*;
pub use reader::DeploymentFault;
use reader::{Document, Place};
use sections::deployment;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// What the program needs of a trigger type besides the module's terms, at the same place of its list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TriggerTypeSettings {
    pub name: String,
    /// The answer is passed on from its first byte.
    pub streams: bool,
    /// Invocations over HTTP are written down under their names before they are dispatched.
    pub journalled: bool,
}

/// Where that is kept, and for how long.
#[derive(Clone, Debug)]
pub struct JournalSettings {
    folder: String,
    /// With more entries and state than this nothing new is taken.
    pub max_bytes: u64,
    /// Seconds that an answer is kept, and names at the most.
    pub keep: f64,
    pub most_kept: usize,
}

impl JournalSettings {
    /// The folder of one front end.
    pub fn folder(&self, index: u32) -> PathBuf {
        self.folder.replace("{index}", &index.to_string()).into()
    }
}

/// What runs under a function's name. Copies, placements and reports are of a version.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// SHA-256 of its package in hexadecimal digits; empty where the file names none.
    pub digest: Rc<str>,
    /// The number by which all front ends know it.
    pub key: u64,
    pub lanes: f64,
    pub memory: f64,
    pub load_time: Option<f64>,
    pub work: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Function {
    pub name: Rc<str>,
    pub versions: Rc<[Version]>,
    /// Names of versions, by their place.
    pub aliases: Rc<BTreeMap<String, usize>>,
}

impl Function {
    /// A version by an alias, or by a digest with or without `sha256:` before it.
    pub fn version(&self, name: &str) -> Option<&Version> {
        let by_alias = self.aliases.get(name).and_then(|&n| self.versions.get(n));
        let digest = name.strip_prefix("sha256:").unwrap_or(name);
        by_alias.or_else(|| self.versions.iter().find(|v| *v.digest == *digest))
    }
}

#[derive(Clone, Debug)]
pub enum EndpointSource {
    /// The executors that the file lists.
    Listed(Vec<Endpoint>),
    /// A publisher that is asked for the roster and tells its changes.
    Publisher(SocketAddr),
    /// etcd, where executors and front ends have their entries.
    Etcd(EtcdSettings),
}

#[derive(Clone, Debug)]
pub struct EtcdSettings {
    pub endpoints: Vec<SocketAddr>,
    /// All keys begin so.
    pub prefix: String,
    /// Seconds that a front end's entry outlives its last word.
    pub lease: f64,
}

/// What the front end grants its clients and opens to executors.
#[derive(Clone, Debug)]
pub struct Limits {
    pub open_invocations: usize,
    pub connections: usize,
    pub header_bytes: u32,
    pub body_bytes: usize,
    pub answer_bytes: usize,
    /// In which a client has to have sent headers, and then the body.
    pub sender_time: f64,
    /// By so much earlier than the client timeout its answer leaves.
    pub answer_margin: f64,
    /// And earlier by so much for each invocation that is open: answers that fall due together go out in turn.
    pub answer_time: f64,
    pub streams_per_connection: usize,
    pub connections_per_executor: usize,
    pub connect_time: f64,
    pub idle_close: f64,
    /// An order to load that has no answer by then is given up.
    pub order_time: f64,
}

#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: String,
    pub listen: SocketAddr,
    pub policy: PolicyConfig,
    pub trigger_types: Vec<TriggerTypeSettings>,
    pub customers: Vec<String>,
    pub functions: HashMap<Rc<str>, Function>,
    /// What any function has that is not listed; without it such a function is unknown.
    pub other_functions: Option<Function>,
    pub locations: Vec<String>,
    pub kinds: Vec<String>,
    pub source: EndpointSource,
    pub allowed: Vec<IpNet>,
    /// Who is asked for rollouts; each is told of the others' terms.
    pub coordinators: Vec<SocketAddr>,
    /// How often they are asked.
    pub rollouts_asked: f64,
    /// The store that changes of configuration come from, where there is one.
    pub configuration: Option<Configuration>,
    pub journal: Option<JournalSettings>,
    pub bounds: Limits,
}

/// The number by which all front ends know a function: the first bytes of its name's SHA-256.
pub fn key(name: &str) -> u64 {
    let digest = Sha256::digest(name.as_bytes());
    u64::from_be_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}

impl Deployment {
    /// Reads a description, or tells every fault in it.
    pub fn read(text: &str) -> Result<Deployment, Vec<DeploymentFault>> {
        Deployment::read_with(text, |_, _| ()).map(|read| read.0)
    }

    /// Reads a description and with it a section that another package understands, in one pass over the faults.
    pub fn read_with<T>(
        text: &str,
        more: impl FnOnce(&Place, &Deployment) -> T,
    ) -> Result<(Deployment, T), Vec<DeploymentFault>> {
        let document = Document::new(text);
        let Some(value) = document.parse() else {
            return Err(document.faults());
        };
        let read = deployment(&document.root(&value), more);
        match (read, document.faults()) {
            (Some(read), faults) if faults.is_empty() => Ok(read),
            (None, faults) if faults.is_empty() => {
                unreachable!("nothing is left out without a fault")
            }
            (_, faults) => Err(faults),
        }
    }

    /// A function by its name, listed or not.
    pub fn function(&self, name: &str) -> Option<Function> {
        self.functions.get(name).cloned().or_else(|| {
            let other = self.other_functions.as_ref()?;
            let versions = other
                .versions
                .iter()
                .map(|v| Version {
                    key: key(name),
                    ..v.clone()
                })
                .collect();
            Some(Function {
                name: name.into(),
                versions,
                aliases: other.aliases.clone(),
            })
        })
    }

    pub fn trigger_type(&self, name: &str) -> Option<usize> {
        self.trigger_types.iter().position(|t| t.name == name)
    }

    pub fn allows(&self, address: SocketAddr) -> bool {
        self.allowed.is_empty() || self.allowed.iter().any(|net| net.contains(&address.ip()))
    }
}
