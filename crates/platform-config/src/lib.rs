//! The platform's settings object, read into the `PolicyConfig` of the dispatch policy and the settings of a front end.
//!
//! The simulator's adapter and the front end on sockets read their settings here. Durations become seconds.

mod error;
mod front_end;
mod policy;
mod value;

pub use error::SettingsError;
pub use front_end::{FrontEndSettings, front_end_settings};
pub use policy::parse_policy_config;
