//! The schema of this gateway: functions, quotas, trigger types, and the rules between them.

use super::{FunctionSpec, InvalidEntry, QuotaSpec, Schema, TriggerTypeSpec, Violation};
use crate::keys::EntryKey;
use crate::view::View;
use std::collections::BTreeSet;

/// The kind of functions, the first part of their keys.
pub const FUNCTIONS: &str = "functions";
/// The kind of customers' quotas.
pub const QUOTAS: &str = "quotas";
/// The kind of trigger types.
pub const TRIGGER_TYPES: &str = "trigger-types";

/// An entry of the gateway's configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayEntry {
    /// `functions/<name>`.
    Function(FunctionSpec),
    /// `quotas/<customer>`.
    Quota(QuotaSpec),
    /// `trigger-types/<name>`.
    TriggerType(TriggerTypeSpec),
}

/// Parses and checks the gateway's entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct GatewaySchema;

impl Schema for GatewaySchema {
    type Entry = GatewayEntry;

    fn parse(&self, key: &EntryKey, spec: serde_json::Value) -> Result<GatewayEntry, InvalidEntry> {
        match key.kind() {
            FUNCTIONS => FunctionSpec::parse(spec).map(GatewayEntry::Function),
            QUOTAS => QuotaSpec::parse(spec).map(GatewayEntry::Quota),
            TRIGGER_TYPES => TriggerTypeSpec::parse(spec).map(GatewayEntry::TriggerType),
            other => {
                let reason = format!("unknown kind '{other}'");
                let remedy =
                    format!("use one of {FUNCTIONS}, {QUOTAS}, {TRIGGER_TYPES}; delete this key");
                Err(InvalidEntry::new(reason, remedy))
            }
        }
    }

    fn check(&self, candidate: &View<GatewayEntry>, changed: &[EntryKey]) -> Vec<Violation> {
        let trigger_types: BTreeSet<&str> = changed
            .iter()
            .filter(|key| key.kind() == TRIGGER_TYPES)
            .map(EntryKey::name)
            .collect();
        if trigger_types.is_empty() {
            return changed
                .iter()
                .filter_map(|key| check_function(candidate, key))
                .collect();
        }
        // Trigger types rarely change, so all functions are searched when one does.
        let changed: BTreeSet<&EntryKey> = changed.iter().collect();
        let is_affected = |key: &EntryKey, function: &FunctionSpec| {
            changed.contains(key)
                || function
                    .trigger_types
                    .iter()
                    .any(|n| trigger_types.contains(n.as_str()))
        };
        candidate
            .iter()
            .filter(|(key, record)| match &record.entry {
                GatewayEntry::Function(function) => is_affected(key, function),
                GatewayEntry::Quota(_) | GatewayEntry::TriggerType(_) => false,
            })
            .filter_map(|(key, _)| check_function(candidate, key))
            .collect()
    }

    fn is_allowed(&self, entry: &GatewayEntry) -> bool {
        match entry {
            GatewayEntry::Function(function) => function.allowed,
            GatewayEntry::Quota(quota) => quota.is_allowed(),
            GatewayEntry::TriggerType(_) => true,
        }
    }
}

/// Checks a function against its trigger types; `None` if it is valid, or the entry isn't a function.
fn check_function(candidate: &View<GatewayEntry>, key: &EntryKey) -> Option<Violation> {
    let GatewayEntry::Function(function) = &candidate.get(key.as_str())?.entry else {
        return None;
    };
    let invalid = function
        .trigger_types
        .iter()
        .find_map(|name| check_trigger_type(candidate, function, name))?;
    Some(Violation {
        key: key.clone(),
        invalid,
    })
}

fn check_trigger_type(
    candidate: &View<GatewayEntry>,
    function: &FunctionSpec,
    name: &str,
) -> Option<InvalidEntry> {
    let known = candidate
        .get(&format!("{TRIGGER_TYPES}/{name}"))
        .map(|record| &record.entry);
    let Some(GatewayEntry::TriggerType(trigger_type)) = known else {
        let reason = format!("the function names the trigger type '{name}', which does not exist");
        return Some(InvalidEntry::new(
            reason,
            "write the trigger type first, or in the same transaction",
        ));
    };
    let works_too_long = |work: f64| work > trigger_type.timeout;
    let version = function
        .versions
        .iter()
        .find(|version| version.work.is_some_and(works_too_long))?;
    let reason = format!(
        "version '{}' takes longer than the timeout of {} s of the trigger type '{name}'",
        version.digest, trigger_type.timeout
    );
    Some(InvalidEntry::new(
        reason,
        "raise the timeout, or remove the trigger type from the function",
    ))
}
