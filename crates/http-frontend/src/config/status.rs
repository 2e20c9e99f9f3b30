//! The status of the configuration host, at the front end and in the store.

use orchidtally_config_sync::{Rejection, Report, ReportedState};
use serde::Serialize;

/// The status of the configuration host, as part of the front end's status.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ConfigStatus {
    /// The synchronization state of the configuration.
    pub state: ReportedState,
    /// Whether the store is connected.
    pub connected: bool,
    /// Whether a view is in force.
    pub loaded: bool,
    /// The generation of the store that is followed.
    pub generation: u64,
    /// The revision up to which every transaction is applied or rejected.
    pub applied_revision: i64,
    /// The number of entries of the view.
    pub entries: usize,
    /// Seconds since the view was last proven current; `None` if it was not yet since the start.
    pub age: Option<f64>,
    /// The entries that were rejected.
    pub rejected: Vec<Rejection>,
    /// Why the last snapshot was not written.
    pub snapshot_fault: Option<String>,
    /// Why the newest view is not in force.
    pub apply_fault: Option<String>,
    /// Bytes sent to the store since the start.
    pub bytes_sent: u64,
    /// Bytes received from the store since the start.
    pub bytes_received: u64,
}

/// The report of a front end in the store.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PublishedReport {
    /// What the state machine reports.
    #[serde(flatten)]
    pub report: Report,
    /// Why the last snapshot was not written: after a restart without the store, the front end would begin from an
    /// older one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub snapshot_fault: Option<String>,
}
