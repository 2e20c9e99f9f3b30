//! A deployment as a whole, and its top level in the file.

use crate::configuration::{ConfigStoreSettings, read_configuration};
use crate::customers::read_customers;
use crate::endpoint_source::{EndpointSource, Requirements, read_endpoint_source};
use crate::front_ends::read_front_ends;
use crate::functions::{Function, Version, function_key, read_functions};
use crate::journal::{JournalSettings, read_journal};
use crate::limits::{LIMIT_KEYS, Limits, check_response_margin, read_limits};
use crate::names::{index_of_name, read_names};
use crate::policy::{LOADING_KEYS, PolicySections, SAFETY_KEYS};
use crate::reader::{DeploymentFault, Document, Fields, Place};
use crate::rollouts::read_rollouts;
use crate::trigger_types::{TriggerTypeSettings, read_trigger_types};
use ipnet::IpNet;
use orchidtally_dispatch_policy::interface::PolicyConfig;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Names of locations, and of kinds of executors, that can be told apart.
const MAX_NAMES: usize = 250;
/// Where a front end listens unless the file says otherwise.
const DEFAULT_LISTEN_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 7300);

/// The keys at the top level.
const SECTIONS: [&str; 23] = [
    "name",
    "listen",
    "location",
    "locations",
    "regions",
    "kinds",
    "frontEnds",
    "crossing",
    "triggerTypes",
    "customers",
    "overShareValue",
    "valueByWork",
    "functions",
    "otherFunctions",
    "executors",
    "limits",
    "safety",
    "loading",
    "reports",
    "rollouts",
    "journal",
    "mqtt",
    "configuration",
];

/// A deployment as its file describes it.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The configuration of the dispatch policy.
    pub policy: PolicyConfig,
    /// What the program needs of each trigger type besides; in the order of `policy.trigger_types`.
    pub trigger_types: Vec<TriggerTypeSettings>,
    /// Names of customers, in the order of `policy.quotas`.
    pub customers: Vec<String>,
    /// The functions that are listed, by name.
    pub functions: HashMap<Rc<str>, Function>,
    /// The template of any function that is not listed; without it such a function is unknown.
    pub other_functions: Option<Function>,
    /// Names of locations, by the index that the policy calls a zone.
    pub locations: Vec<String>,
    /// Names of kinds of executors, by index.
    pub kinds: Vec<String>,
    /// Where the endpoint list comes from.
    pub endpoint_source: EndpointSource,
    /// The networks in which executors may be; empty for any.
    pub allowed_networks: Vec<IpNet>,
    /// The coordinators that are asked for rollouts; each is told of the others' terms.
    pub coordinators: Vec<SocketAddr>,
    /// Seconds between two questions to a coordinator.
    pub rollout_poll_interval: f64,
    /// The store that changes of configuration come from, where there is one.
    pub configuration: Option<ConfigStoreSettings>,
    /// The journal of durable invocations, where there is one.
    pub journal: Option<JournalSettings>,
    /// Bounds of the front end.
    pub limits: Limits,
}

impl Deployment {
    /// Parses a description.
    ///
    /// # Errors
    /// Every fault in it, in the order of the text.
    pub fn parse(text: &str) -> Result<Deployment, Vec<DeploymentFault>> {
        Deployment::parse_with(text, |_, _| ()).map(|(deployment, ())| deployment)
    }

    /// Parses a description, and its `mqtt` section by a function of another package, in one pass over the faults.
    ///
    /// # Errors
    /// Every fault in it, in the order of the text.
    pub fn parse_with<T>(
        text: &str,
        read_mqtt: impl FnOnce(&Place, &Deployment) -> T,
    ) -> Result<(Deployment, T), Vec<DeploymentFault>> {
        let document = Document::new(text);
        let Some(value) = document.parse() else {
            return Err(document.faults());
        };
        let top = document.root(&value).object(&SECTIONS);
        let deployment = read_deployment(&top);
        let mqtt = read_mqtt(&top.at("mqtt"), &deployment);
        let faults = document.faults();
        if faults.is_empty() {
            Ok((deployment, mqtt))
        } else {
            Err(faults)
        }
    }

    /// A function by its name, listed or not.
    pub fn function(&self, name: &str) -> Option<Function> {
        let listed = self.functions.get(name).cloned();
        listed.or_else(|| {
            let template = self.other_functions.as_ref()?;
            let versions = template.versions.iter().map(|version| Version {
                key: function_key(name),
                ..version.clone()
            });
            Some(Function {
                name: name.into(),
                versions: versions.collect(),
                aliases: template.aliases.clone(),
            })
        })
    }

    /// The index of a trigger type by its name.
    pub fn trigger_type(&self, name: &str) -> Option<usize> {
        self.trigger_types
            .iter()
            .position(|trigger_type| trigger_type.name == name)
    }

    /// Whether an executor may be at an address.
    pub fn allows_address(&self, address: SocketAddr) -> bool {
        let mut networks = self.allowed_networks.iter();
        self.allowed_networks.is_empty() || networks.any(|network| network.contains(&address.ip()))
    }
}

/// Reads all sections but `mqtt`. What is missing or wrong has a stand-in, and a fault is recorded.
fn read_deployment(top: &Fields) -> Deployment {
    let name = top.optional("name", Place::text);
    let listen = top.optional("listen", |place| {
        place.parsed("an address and port", str::parse)
    });
    let locations = read_names(&top.at("locations"), "default", MAX_NAMES);
    let kinds = read_names(&top.at("kinds"), "default", MAX_NAMES);
    let zone = index_of_name(top, "location", &locations).unwrap_or(0);
    let (trigger_types, policy_trigger_types) = read_trigger_types(&top.at("triggerTypes"));
    let (customers, quotas) = read_customers(&top.at("customers"));
    let (functions, other_functions) = read_functions(top);
    let requirements = Requirements::of(&policy_trigger_types);
    let (endpoint_source, allowed_networks) =
        read_endpoint_source(&top.at("executors"), &locations, &kinds, requirements);
    let (coordinators, rollout_poll_interval) = read_rollouts(top);
    let front_ends = read_front_ends(top);
    let limit_fields = top.optional_object("limits", &LIMIT_KEYS);
    let safety = top.optional_object("safety", &SAFETY_KEYS);
    let loading = top.optional_object("loading", &LOADING_KEYS);
    let limits = read_limits(&limit_fields, &loading);
    check_response_margin(
        &limit_fields,
        &limits,
        &trigger_types,
        &policy_trigger_types,
    );
    let sections = PolicySections {
        top,
        limits: &limit_fields,
        safety: &safety,
        loading: &loading,
        front_ends: &front_ends,
        locations: &locations,
    };
    let polls_endpoints = !matches!(endpoint_source, EndpointSource::Listed(_));
    let policy = sections.read(policy_trigger_types, quotas, zone, polls_endpoints);
    Deployment {
        name: name.unwrap_or_else(|| "unnamed".into()),
        listen: listen.unwrap_or_else(|| SocketAddr::from(DEFAULT_LISTEN_ADDRESS)),
        policy,
        configuration: read_configuration(top, front_ends.count),
        journal: read_journal(top, front_ends.count, &trigger_types),
        trigger_types,
        customers,
        functions,
        other_functions,
        locations,
        kinds,
        endpoint_source,
        allowed_networks,
        coordinators,
        rollout_poll_interval,
        limits,
    }
}
