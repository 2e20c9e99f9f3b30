//! The description of a deployment, in JSON5.
//!
//! It is checked as a whole: every fault is reported in one pass, with line, column, key and what would be right. A
//! sound description is decoded once, into the policy's `PolicyConfig` and into what the program needs besides.

mod changes;
mod configuration;
mod customers;
mod deployment;
mod endpoint_source;
mod front_ends;
mod functions;
mod journal;
mod limits;
mod names;
mod policy;
pub mod reader;
mod regions;
mod rollouts;
mod trigger_types;

pub use changes::restart_needed;
pub use configuration::{ConfigStoreSettings, UnsyncedBehavior};
pub use deployment::Deployment;
pub use endpoint_source::{EndpointSource, EtcdSettings};
pub use functions::{Function, Version, check_digest, check_function_name, function_key};
pub use journal::JournalSettings;
pub use limits::Limits;
pub use reader::DeploymentFault;
pub use trigger_types::TriggerTypeSettings;

/// Stands for the front end's index in the paths of files that each front end has for itself.
const INDEX_PLACEHOLDER: &str = "{index}";

/// The fault of a path that several front ends would share.
const MISSING_INDEX_FAULT: &str =
    "there are several front ends; '{index}' has to stand in it for each one's own";
