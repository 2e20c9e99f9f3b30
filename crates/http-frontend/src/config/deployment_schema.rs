//! The schema of the gateway's configuration entries, with the checks that apply to the same values in the deployment
//! file.

use super::overlay::FUNCTIONS;
use orchidtally_config_sync::schema::{
    FunctionSpec, GatewayEntry, InvalidEntry, TriggerTypeSpec, Violation,
};
use orchidtally_config_sync::{EntryKey, GatewaySchema, Schema, View};
use orchidtally_deployment::{check_digest, check_function_name};

/// The gateway's schema with the checks of the deployment file.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSchema {
    /// How long before the client timeout an answer is sent, in seconds.
    pub answer_margin: f64,
}

impl Schema for DeploymentSchema {
    type Entry = GatewayEntry;

    fn parse(&self, key: &EntryKey, spec: serde_json::Value) -> Result<GatewayEntry, InvalidEntry> {
        let entry = GatewaySchema.parse(key, spec)?;
        match &entry {
            GatewayEntry::Function(function) => check_function(key, function)?,
            GatewayEntry::TriggerType(trigger_type) => self.check_trigger_type(trigger_type)?,
            GatewayEntry::Quota(_) => {}
        }
        Ok(entry)
    }

    fn check(&self, candidate: &View<GatewayEntry>, changed: &[EntryKey]) -> Vec<Violation> {
        GatewaySchema.check(candidate, changed)
    }

    fn is_allowed(&self, entry: &GatewayEntry) -> bool {
        GatewaySchema.is_allowed(entry)
    }
}

impl DeploymentSchema {
    fn check_trigger_type(&self, spec: &TriggerTypeSpec) -> Result<(), InvalidEntry> {
        let min_timeout = 2.0 * self.answer_margin;
        if spec.timeout > min_timeout {
            return Ok(());
        }
        let reason = format!(
            "the timeout of {} s leaves no time: answers leave {min_timeout} s earlier",
            spec.timeout
        );
        Err(InvalidEntry::new(
            reason,
            "raise the timeout, or lower 'limits.answerMargin' in the deployment file",
        ))
    }
}

fn check_function(key: &EntryKey, spec: &FunctionSpec) -> Result<(), InvalidEntry> {
    let name = key.name();
    check_function_name(name).map_err(|expected| {
        InvalidEntry::new(
            format!("'{name}' is no name of a function"),
            format!("write it under {FUNCTIONS}/ with {expected}"),
        )
    })?;
    for version in &spec.versions {
        check_digest(&version.digest).map_err(|expected| {
            InvalidEntry::new(
                format!("'{}' is no digest", version.digest),
                format!("give 'sha256:...': {expected}"),
            )
        })?;
    }
    Ok(())
}
