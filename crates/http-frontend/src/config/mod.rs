//! Configuration distribution (`orchidtally-config-sync`) on sockets: performs the state machine's actions over the
//! store's protocol, keeps its snapshot on disk, and puts its views in force at a [`ConfigTarget`].
//!
//! [`ConfigHost`] needs no front end: an async executor, a client of the store and a target are enough. [`attach`]
//! connects one to a [`ConfigurableFrontEnd`]; [`Admission::detach`] ends it with the front end.

mod admission;
mod attachment;
mod backoff;
mod clock;
mod deployment_schema;
mod deregistration;
mod exchange;
mod front_end;
mod host;
mod lease;
mod lease_renewal;
mod overlay;
mod pending_view;
mod queries;
mod report;
mod session;
mod settings;
mod snapshot_file;
mod snapshot_queue;
mod snapshot_writer;
mod status;
mod target;
mod view_application;
mod watch;

pub use admission::{Admission, AdmissionDenial, Subject};
pub use attachment::{attach, sync_settings};
pub use clock::boot_time;
pub use deployment_schema::DeploymentSchema;
pub use front_end::{ConfigurableFrontEnd, FrontEndConfigHost};
pub use host::ConfigHost;
pub use overlay::{ConfigView, Overlay};
pub use settings::HostSettings;
pub use snapshot_file::SnapshotFile;
pub use status::{ConfigStatus, PublishedReport};
pub(crate) use target::MAX_TRIGGER_TYPES;
pub use target::{ApplyError, ConfigTarget};
