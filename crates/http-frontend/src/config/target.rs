//! The target of configuration views.

use orchidtally_config_sync::View;
use orchidtally_dispatch_policy::interface::ConfigError;
use std::sync::Arc;
use thiserror::Error;

/// Trigger types that may be in force or used by open invocations at a time.
pub(crate) const MAX_TRIGGER_TYPES: usize = 1_024;

/// Why a configuration was not put in force. The previous one stays in force.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// There is no free trigger type index.
    #[error(
        "{MAX_TRIGGER_TYPES} trigger types are in force or held by open invocations; list fewer, or try again when \
         older invocations have ended"
    )]
    TooManyTriggerTypes,
    /// The dispatch policy rejects a value.
    #[error("the engine refused it: {0}")]
    Rejected(#[from] ConfigError),
}

/// A target that configuration views are applied to.
pub trait ConfigTarget<E> {
    /// Puts a view in force, as a whole or not at all.
    ///
    /// # Errors
    /// A value is rejected. Nothing has changed then. The host retries with the newest view every second, and reports
    /// nothing until that succeeds.
    fn apply(&self, view: &Arc<View<E>>) -> Result<(), ApplyError>;
}
