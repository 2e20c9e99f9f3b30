//! The configuration in force: the deployment file, overlaid by the entries of the store. An entry replaces what the
//! file has under its name; where the entry is deleted, the file applies again.

use orchidtally_config_sync::View;
use orchidtally_config_sync::schema::{FunctionSpec, GatewayEntry, TriggerTypeSpec, VersionSpec};
use orchidtally_deployment::{Deployment, Function, TriggerTypeSettings, Version, function_key};
use orchidtally_dispatch_policy::interface::{DeduplicationScope, Idempotency, TriggerType};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Kinds of entries: the first part of an entry's key.
pub(super) const FUNCTIONS: &str = "functions";
pub(super) const QUOTAS: &str = "quotas";
pub(super) const TRIGGER_TYPES: &str = "trigger-types";
/// The alias that invocations without a version use.
const STABLE: &str = "stable";

/// A view of the gateway's configuration.
pub type ConfigView = View<GatewayEntry>;

/// A deployment file with the entries of a view over it.
#[derive(Clone, Copy)]
pub struct Overlay<'o> {
    /// The deployment file.
    pub deployment: &'o Deployment,
    /// The view of the store, where there is one.
    pub view: Option<&'o ConfigView>,
}

impl Overlay<'_> {
    /// All trigger types: those of the file in its order, then those that only the store has, by name.
    pub fn trigger_types(&self) -> Vec<(TriggerTypeSettings, TriggerType)> {
        let from_file = self
            .deployment
            .trigger_types
            .iter()
            .zip(&self.deployment.policy.trigger_types);
        let mut all: Vec<(TriggerTypeSettings, TriggerType)> = from_file
            .map(|(trigger, policy)| (trigger.clone(), policy.clone()))
            .collect();
        for (name, spec) in self.stored_trigger_types() {
            match all.iter_mut().find(|(trigger, _)| trigger.name == name) {
                Some((_, policy)) => {
                    (policy.latency_objective, policy.client_timeout) =
                        (spec.objective, spec.timeout)
                }
                None => all.push(new_trigger_type(name, spec)),
            }
        }
        all
    }

    /// All customers with their quotas: those of the file in its order, then those that only the store has, by name.
    pub fn customers(&self) -> Vec<(String, f64)> {
        let from_file = self.deployment.customers.iter().cloned();
        let mut all: Vec<(String, f64)> = from_file
            .zip(self.deployment.policy.quotas.iter().copied())
            .collect();
        for (name, quota) in self.stored_quotas() {
            match all.iter_mut().find(|(existing, _)| existing == name) {
                Some((_, existing)) => *existing = quota,
                None => all.push((name.into(), quota)),
            }
        }
        all
    }

    /// A function by its name.
    pub fn function(&self, name: &str) -> Option<Function> {
        let stored = self
            .view
            .and_then(|view| view.get(&format!("{FUNCTIONS}/{name}")));
        match stored.map(|record| &record.entry) {
            Some(GatewayEntry::Function(spec)) => Some(function(name, spec)),
            _ => self.deployment.function(name),
        }
    }

    /// All functions that the store has.
    pub fn stored_functions(&self) -> impl Iterator<Item = Function> {
        let of_kind = self
            .view
            .into_iter()
            .flat_map(|view| view.of_kind(FUNCTIONS));
        of_kind.filter_map(|(key, record)| match &record.entry {
            GatewayEntry::Function(spec) => Some(function(key.name(), spec)),
            GatewayEntry::Quota(_) | GatewayEntry::TriggerType(_) => None,
        })
    }

    fn stored_trigger_types(&self) -> BTreeMap<&str, &TriggerTypeSpec> {
        let of_kind = self
            .view
            .into_iter()
            .flat_map(|view| view.of_kind(TRIGGER_TYPES));
        let specs = of_kind.filter_map(|(key, record)| match &record.entry {
            GatewayEntry::TriggerType(spec) => Some((key.name(), spec)),
            GatewayEntry::Quota(_) | GatewayEntry::Function(_) => None,
        });
        specs.collect()
    }

    fn stored_quotas(&self) -> BTreeMap<&str, f64> {
        let of_kind = self.view.into_iter().flat_map(|view| view.of_kind(QUOTAS));
        let quotas = of_kind.filter_map(|(key, record)| match &record.entry {
            GatewayEntry::Quota(spec) => Some((key.name(), spec.calls_per_second)),
            GatewayEntry::TriggerType(_) | GatewayEntry::Function(_) => None,
        });
        quotas.collect()
    }
}

/// A trigger type that only the store has. It is non-idempotent, as the store doesn't state whether its invocations may
/// run twice.
fn new_trigger_type(name: &str, spec: &TriggerTypeSpec) -> (TriggerTypeSettings, TriggerType) {
    let trigger = TriggerTypeSettings {
        name: name.into(),
        streams_responses: false,
        is_durable: false,
    };
    let policy = TriggerType {
        latency_objective: spec.objective,
        objective_work_factor: 0.0,
        client_timeout: spec.timeout,
        billed_value: 1.0,
        late_value_fraction: 0.0,
        idempotency: Idempotency::NonIdempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0.0,
    };
    (trigger, policy)
}

fn function(name: &str, spec: &FunctionSpec) -> Function {
    let versions: Vec<Version> = spec
        .versions
        .iter()
        .map(|version| self::version(name, version))
        .collect();
    let position = |digest: &String| {
        spec.versions
            .iter()
            .position(|version| version.digest == *digest)
    };
    let named = spec
        .aliases
        .iter()
        .filter_map(|(alias, digest)| Some((alias.clone(), position(digest)?)));
    let mut aliases: BTreeMap<String, usize> = named.collect();
    aliases.entry(STABLE.into()).or_insert(0);
    Function {
        name: name.into(),
        versions: versions.into(),
        aliases: Rc::new(aliases),
    }
}

fn version(function: &str, spec: &VersionSpec) -> Version {
    let digest = spec.digest.strip_prefix("sha256:").unwrap_or(&spec.digest);
    Version {
        key: function_key(&format!("{function}@{digest}")),
        digest: digest.into(),
        concurrency: f64::from(spec.lanes),
        memory: spec.memory,
        load_time: spec.load_time.filter(|seconds| *seconds > 0.0),
        expected_work: spec.work,
    }
}
