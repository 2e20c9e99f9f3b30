//! Reloads the deployment file while the front end runs. A reload is applied as a whole or rejected as a whole; one
//! that needs a restart is rejected.

use crate::config::ApplyError;
use crate::router::Router;
use orchidtally_deployment::{DeploymentFault, restart_needed};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use thiserror::Error;
use tracing::{error, info, warn};

/// The deployment file and its reloads.
pub struct DeploymentReloads {
    /// The path, for log messages.
    pub path: PathBuf,
    /// The text with which the front end started.
    pub initial_text: String,
    /// The text after each reload. A channel bounded to one element suffices, as only the newest text counts.
    pub texts: async_channel::Receiver<io::Result<String>>,
}

/// Why a reloaded file is not applied. The previous configuration stays in force.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The file can't be read.
    #[error("it can't be read: {0}; restore the file, readable for this user")]
    Unreadable(#[from] io::Error),
    /// The file is invalid.
    #[error("it has {} faults; fix them, `orchidtally check` lists them too", .0.len())]
    Invalid(Vec<DeploymentFault>),
    /// Some changes only take effect at a restart.
    #[error("{} of its changes need a restart; restart this front end, or revert them", .0.len())]
    NeedsRestart(Vec<DeploymentFault>),
    /// The front end rejects the configuration.
    #[error(transparent)]
    Rejected(#[from] ApplyError),
}

impl ReloadError {
    /// The faults in the file, with their locations; empty if the error is not in the file's text.
    fn deployment_faults(&self) -> &[DeploymentFault] {
        match self {
            ReloadError::Invalid(faults) | ReloadError::NeedsRestart(faults) => faults,
            ReloadError::Unreadable(_) | ReloadError::Rejected(_) => &[],
        }
    }
}

/// Applies the text of a reloaded file and returns it; `current_text` is the text in force until then.
fn reload(
    router: &Router,
    current_text: &str,
    read: io::Result<String>,
) -> Result<String, ReloadError> {
    let text = read?;
    let (deployment, _) = orchidtally_mqtt_triggers::read(&text).map_err(ReloadError::Invalid)?;
    let needed = restart_needed(current_text, &text);
    if !needed.is_empty() {
        return Err(ReloadError::NeedsRestart(needed));
    }
    router.reconfigure(Rc::new(deployment))?;
    Ok(text)
}

/// Applies reloads until their channel is closed.
pub async fn apply_reloads(router: Rc<Router>, reloads: DeploymentReloads) {
    let DeploymentReloads {
        path,
        initial_text: mut text,
        texts,
    } = reloads;
    let file = path.display();
    while let Ok(newest) = texts.recv().await {
        if router.is_draining() {
            warn!(%file, "the deployment file is not read again: this front end is shutting down");
            continue;
        }
        match reload(&router, &text, newest) {
            Ok(applied) => {
                text = applied;
                let revision = router.revision();
                let functions = revision.deployment.functions.len();
                info!(%file, revision = revision.number, functions, "the deployment file was read again and is in force");
            }
            Err(fault) => {
                for location in fault.deployment_faults() {
                    error!("{file}:{location}");
                }
                error!(%file, %fault, "the deployment file is not applied: the previous configuration stays in force");
            }
        }
    }
}
