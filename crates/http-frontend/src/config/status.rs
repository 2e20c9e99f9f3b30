//! What a host says of itself, at the front end and in the store.

use orchidtally_config_sync::{Rejection, Report, ReportedState};
use serde::Serialize;

/// How a host stands, for the front end's own status.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ConfigStatus {
    pub state: ReportedState,
    /// Whether the store's connection stands.
    pub connected: bool,
    /// Whether a view is in force.
    pub loaded: bool,
    pub generation: u64,
    pub applied_revision: i64,
    pub entries: usize,
    /// Seconds since the view was last certainly current; `None` if it never was proven since the start.
    pub age: Option<f64>,
    pub rejected: Vec<Rejection>,
    /// Why the last snapshot was not written.
    pub snapshot_fault: Option<String>,
    /// Why the newest view is not in force.
    pub apply_fault: Option<String>,
    /// Bytes over the store's connections since the start.
    pub bytes_sent: u64,
    pub bytes_received: u64,
}

/// A report as it stands in the store: the core's, and what the host adds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PublishedReport {
    #[serde(flatten)]
    pub report: Report,
    /// Why the last snapshot was not written: after a restart with the store away the front end would begin from
    /// an older one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub snapshot_fault: Option<String>,
}
