//! The front end as a target of configuration views.

use super::deployment_schema::DeploymentSchema;
use super::host::ConfigHost;
use super::overlay::ConfigView;
use super::target::{ApplyError, ConfigTarget};
use orchidtally_config_sync::schema::GatewayEntry;
use orchidtally_deployment::Deployment;
use std::rc::Weak;
use std::sync::Arc;

/// A front end whose functions, quotas and trigger types can be replaced while it runs.
pub trait ConfigurableFrontEnd {
    /// The deployment with which the front end started.
    fn deployment(&self) -> &Deployment;

    /// Distinguishes one start of the front end from another.
    fn incarnation(&self) -> u64;

    /// Puts a view in force over the deployment file, as a whole or not at all.
    ///
    /// # Errors
    /// A value is rejected. Nothing has changed then.
    fn apply_view(&self, view: &Arc<ConfigView>) -> Result<(), ApplyError>;
}

/// The configuration host of a front end.
pub type FrontEndConfigHost = ConfigHost<DeploymentSchema, Weak<dyn ConfigurableFrontEnd>>;

impl ConfigTarget<GatewayEntry> for Weak<dyn ConfigurableFrontEnd> {
    fn apply(&self, view: &Arc<ConfigView>) -> Result<(), ApplyError> {
        match self.upgrade() {
            Some(front_end) => front_end.apply_view(view),
            None => Ok(()),
        }
    }
}
