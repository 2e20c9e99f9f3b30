//! Reads the deployment file again while the front end runs: what can change without a restart is put in force,
//! whole or not at all.

use crate::config::ApplyError;
use crate::router::Router;
use orchidtally_deployment::{DeploymentFault, restart_needed};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use thiserror::Error;
use tracing::{error, info, warn};

/// The deployment file, and what is read of it again.
pub struct Reloads {
    pub path: PathBuf,
    /// The file's text as the front end started with it.
    pub text: String,
    /// The file's text each time that it was read again. A bounded channel of one suffices: only the newest counts.
    pub read: async_channel::Receiver<io::Result<String>>,
}

/// Why a file that was read again is not in force. The configuration before goes on to hold.
#[derive(Debug, Error)]
pub enum ReloadError {
    #[error("it can't be read: {0}; put it back, readable for this user")]
    Unreadable(#[from] io::Error),
    #[error("it has {} faults; mend them, as `orchidtally check` tells them too", .0.len())]
    Faults(Vec<DeploymentFault>),
    #[error("{} of its changes need a restart; restart this front end, or take them back", .0.len())]
    NeedsRestart(Vec<DeploymentFault>),
    #[error(transparent)]
    Refused(#[from] ApplyError),
}

impl ReloadError {
    /// Where in the file it lies, as far as that can be told.
    fn places(&self) -> &[DeploymentFault] {
        match self {
            ReloadError::Faults(places) | ReloadError::NeedsRestart(places) => places,
            ReloadError::Unreadable(_) | ReloadError::Refused(_) => &[],
        }
    }
}

/// Puts a file's text in force. `before` is the text that is in force.
fn reload(router: &Router, before: &str, read: io::Result<String>) -> Result<String, ReloadError> {
    let text = read?;
    let (deployment, _) = orchidtally_mqtt_triggers::read(&text).map_err(ReloadError::Faults)?;
    let needed = restart_needed(before, &text);
    if !needed.is_empty() {
        return Err(ReloadError::NeedsRestart(needed));
    }
    router.reconfigure(Rc::new(deployment))?;
    Ok(text)
}

/// Follows what is read again, for as long as the front end lives.
pub async fn follow(router: Rc<Router>, reloads: Reloads) {
    let Reloads {
        path,
        mut text,
        read,
    } = reloads;
    let file = path.display();
    while let Ok(newest) = read.recv().await {
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
                for place in fault.places() {
                    error!("{file}:{place}");
                }
                error!(%file, %fault, "the deployment file is not applied: the previous configuration stays in force");
            }
        }
    }
}
