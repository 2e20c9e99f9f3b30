//! Hosts the core of configuration distribution (`orchidtally-config-sync`): performs its actions over the store's
//! protocol, keeps its snapshot on disk, and puts its views in force at a [`ConfigTarget`].
//!
//! [`ConfigHost`] needs no front end: whoever has an executor, a client of the store and a target can run one.
//! [`attach`] ties one to a front end's router, [`detach`] ends it with the front end.

mod admission;
mod backoff;
mod clock;
mod exchange;
mod host;
mod lease;
mod leaving;
mod overlay;
mod report;
mod router_target;
mod settings;
mod snapshot_file;
mod snapshot_writes;
mod status;
mod watch;

pub use admission::{Admission, Refusal, Subject};
pub use clock::boot_time;
pub use host::ConfigHost;
pub use overlay::{ConfigView, Overlay};
pub use router_target::{DeploymentSchema, RouterConfigHost, attach, detach, sync_settings};
pub use settings::HostSettings;
pub use snapshot_file::SnapshotFile;
pub use status::{ConfigStatus, PublishedReport};

use orchidtally_config_sync::View;
use std::error::Error;
use std::sync::Arc;

/// Why a target didn't take a view; it is offered again.
pub type ApplyError = Box<dyn Error>;

/// What views are put in force at.
pub trait ConfigTarget<E> {
    /// Puts a view in force, whole or not at all.
    ///
    /// # Errors
    /// Nothing has changed then. The host offers the newest view again every second, and reports nothing until it is
    /// taken.
    fn apply(&self, view: &Arc<View<E>>) -> Result<(), ApplyError>;
}
