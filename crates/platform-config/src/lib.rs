//! Reads the platform's settings object into the `PolicyConfig` of the dispatch policy and the settings of a front end.
//!
//! Used by the simulator adapter and by the platform's front end. Durations are converted to seconds.

mod error;
mod front_end;
mod policy;
mod value;

pub use error::SettingsError;
pub use front_end::{FrontEndSettings, front_end_settings};
pub use policy::parse_policy_config;
