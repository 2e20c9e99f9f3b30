//! The description of a deployment, in JSON5.
//!
//! The description is checked as a whole: all faults are reported in one pass, with line, column, key and the expected
//! value. A valid description is decoded into the dispatch policy's `PolicyConfig` and the settings of a front end.

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

/// The placeholder for the front end's index in paths of files that front ends can't share.
const INDEX_PLACEHOLDER: &str = "{index}";

/// The fault of a path without the placeholder where there are several front ends.
const MISSING_INDEX_FAULT: &str = "there are several front ends; the path has to contain '{index}'";
