//! What a configuration run measured.

use super::meter::Spent;

/// The window over which the bytes of reads are averaged, in seconds.
pub const READ_WINDOW_S: f64 = 5.0;

/// What a run measured. A time is `None` if the wait for it timed out or its phase was not run.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    pub idle: Spent,
    pub daily: Spent,
    pub daily_in_force_s: Option<f64>,
    /// How long the writer took for the burst.
    pub burst_write_s: f64,
    pub burst_in_force_s: Option<f64>,
    /// Most bytes a second that any front end received for configuration in the seconds round the burst.
    pub burst_bytes_per_s: Option<f64>,
    pub member_failure_in_force_s: Option<f64>,
    pub cut_in_force_s: Option<f64>,
    pub cut_heal_s: Option<f64>,
    pub compaction_heal_s: Option<f64>,
    pub return_heal_s: Option<f64>,
    /// The same where their snapshots are older than the burst.
    pub return_after_burst_s: Option<f64>,
    /// Until when after the write a call was admitted somewhere that the change forbids.
    pub revoked_used_s: Option<f64>,
    /// Highest mean bytes a second that any front end read while it caught up.
    pub read_bytes_per_s: f64,
    /// Most bytes that any front end received in one catch-up.
    pub most_caught_up_bytes: u64,
    pub store_heap_bytes: f64,
    /// What was missing where when a part gave up.
    pub missing: Vec<String>,
}
