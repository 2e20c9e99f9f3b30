//! The deployment, and the top level of its file.

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

/// The most locations, and the most kinds of executors.
const MAX_NAMES: usize = 250;
/// The default listen address.
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

/// The contents of a deployment file.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The name of the deployment.
    pub name: String,
    /// The address on which the front end accepts clients.
    pub listen: SocketAddr,
    /// The configuration of the dispatch policy.
    pub policy: PolicyConfig,
    /// Further settings of the trigger types, in the order of `policy.trigger_types`.
    pub trigger_types: Vec<TriggerTypeSettings>,
    /// Names of customers, in the order of `policy.quotas`.
    pub customers: Vec<String>,
    /// The listed functions, by name.
    pub functions: HashMap<Rc<str>, Function>,
    /// The template of unlisted functions; `None` if they are rejected.
    pub other_functions: Option<Function>,
    /// Names of locations, by index. The policy calls this index a zone.
    pub locations: Vec<String>,
    /// Names of kinds of executors, by index.
    pub kinds: Vec<String>,
    /// The source of the endpoint list.
    pub endpoint_source: EndpointSource,
    /// The networks in which executors are allowed; empty for any.
    pub allowed_networks: Vec<IpNet>,
    /// The coordinators that are polled for rollouts. Reports pass the newest term on to each of them.
    pub coordinators: Vec<SocketAddr>,
    /// The polling interval of coordinators in seconds.
    pub rollout_poll_interval: f64,
    /// The configuration store, if there is one.
    pub configuration: Option<ConfigStoreSettings>,
    /// The journal of durable invocations, if there is one.
    pub journal: Option<JournalSettings>,
    /// The limits of the front end.
    pub limits: Limits,
}

impl Deployment {
    /// Parses a deployment file.
    ///
    /// # Errors
    ///
    /// All faults, in the order of the text.
    pub fn parse(text: &str) -> Result<Deployment, Vec<DeploymentFault>> {
        Deployment::parse_with(text, |_, _| ()).map(|(deployment, ())| deployment)
    }

    /// Parses a deployment file, and its `mqtt` section with `read_mqtt`; the faults of both are returned together.
    ///
    /// # Errors
    ///
    /// All faults, in the order of the text.
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

    /// Finds a function by its name; an unlisted one is created from the template.
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

    /// Finds the index of a trigger type by its name.
    pub fn trigger_type(&self, name: &str) -> Option<usize> {
        self.trigger_types
            .iter()
            .position(|trigger_type| trigger_type.name == name)
    }

    /// Returns whether executors are allowed at an address.
    pub fn allows_address(&self, address: SocketAddr) -> bool {
        let mut networks = self.allowed_networks.iter();
        self.allowed_networks.is_empty() || networks.any(|network| network.contains(&address.ip()))
    }
}

/// Reads all sections but `mqtt`. For each missing or invalid value it records a fault and continues with a default.
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
