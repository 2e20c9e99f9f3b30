//! The core's settings, checked once.

use std::ops::RangeInclusive;
use thiserror::Error;

/// Settings of one front end's core. All front ends of a store should have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct SyncSettings {
    /// Everything stands under this prefix of the store, `orchidtally/config/` by default.
    pub prefix: String,
    /// Entries with `"when_stale":"refuse"` are refused once the view wasn't proven current for so long, in seconds.
    pub freshness_bound: f64,
    /// A change that takes away is in force everywhere after so long, in seconds; above `freshness_bound`.
    pub in_force_limit: f64,
    /// Between two proofs of freshness, in seconds.
    pub barrier_interval: f64,
    /// Between two comparisons of digests while nothing else asks for one, in seconds.
    pub audit_interval: f64,
    /// The pace of reads, in bytes a second.
    pub read_bytes_per_second: f64,
    /// Bytes that may be read at once after a pause. In any one second at most this and `read_bytes_per_second` are
    /// read, but for answers that are larger than expected.
    pub read_burst: f64,
    /// Bytes that one answer should have; the limits of reads follow it by the size of entries seen so far.
    pub page_bytes: f64,
    /// The greatest drawn delay before a catch-up or a comparison after a connection, in seconds.
    pub spread: f64,
    /// Between two reports at least, in seconds.
    pub report_interval: f64,
    /// Between two snapshots at least, in seconds.
    pub snapshot_interval: f64,
    /// A request without an answer counts as failed after this time, in seconds.
    pub request_timeout: f64,
    /// A watch that doesn't come to a revision that a barrier named is begun anew after this time, in seconds.
    pub watch_timeout: f64,
    /// Entries in the store at most.
    pub max_entries: usize,
    /// Bytes of keys and values in the store at most.
    pub max_bytes: usize,
    /// Bytes of one value at most.
    pub max_value_bytes: usize,
    /// Changes of one incomplete revision that are kept at most; beyond, they are dropped and read at the pace.
    pub max_pending_changes: usize,
    /// Bytes of such changes at most.
    pub max_pending_bytes: usize,
    /// Rejected entries that a report names at most.
    pub max_reported_rejections: usize,
}

impl Default for SyncSettings {
    fn default() -> SyncSettings {
        SyncSettings {
            prefix: "orchidtally/config/".into(),
            freshness_bound: 15.0,
            in_force_limit: 18.0,
            barrier_interval: 3.0,
            audit_interval: 300.0,
            read_bytes_per_second: 9_000.0,
            read_burst: 2_500.0,
            page_bytes: 2_000.0,
            spread: 3.0,
            report_interval: 2.0,
            snapshot_interval: 300.0,
            request_timeout: 4.0,
            watch_timeout: 4.0,
            max_entries: 32_768,
            max_bytes: 32 << 20,
            max_value_bytes: 16 << 10,
            max_pending_changes: 4_096,
            max_pending_bytes: 4 << 20,
            max_reported_rejections: 16,
        }
    }
}

/// What is wrong with the settings.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// There is no prefix.
    #[error("the prefix is empty; choose one such as 'orchidtally/config/'")]
    NoPrefix,
    /// A setting lies outside of its range.
    #[error("{name} is {value}; it has to lie between {least} and {most}")]
    OutOfRange {
        /// The setting.
        name: &'static str,
        /// What it was set to.
        value: f64,
        /// The least that it may be.
        least: f64,
        /// The most that it may be.
        most: f64,
    },
    /// The freshness bound leaves no time for calls that were admitted at it.
    #[error(
        "freshness_bound {freshness_bound} s is not at least 1 s below in_force_limit {in_force_limit} s; lower it, \
         or raise the limit"
    )]
    NoSlack {
        /// In seconds.
        freshness_bound: f64,
        /// In seconds.
        in_force_limit: f64,
    },
    /// A lost barrier or two would have everything refused.
    #[error(
        "freshness_bound {freshness_bound} s leaves no room for three barriers of {barrier_interval} s; raise it, or \
         ask more often"
    )]
    TooFewBarriers {
        /// In seconds.
        freshness_bound: f64,
        /// In seconds.
        barrier_interval: f64,
    },
}

/// The least slack between the freshness bound and the limit, in seconds: a call that was admitted at the bound
/// still has to get its bytes out.
const LEAST_SLACK: f64 = 1.0;
/// Barriers that have to fit into the freshness bound.
const LEAST_BARRIERS: f64 = 3.0;

impl SyncSettings {
    /// Checks all settings; the error names the first that is out of its range.
    pub fn checked(self) -> Result<SyncSettings, SettingsError> {
        if self.prefix.is_empty() {
            return Err(SettingsError::NoPrefix);
        }
        for (name, value, range) in self.ranges() {
            check_range(name, value, range)?;
        }
        let (freshness_bound, in_force_limit) = (self.freshness_bound, self.in_force_limit);
        if freshness_bound + LEAST_SLACK > in_force_limit {
            return Err(SettingsError::NoSlack {
                freshness_bound,
                in_force_limit,
            });
        }
        let barrier_interval = self.barrier_interval;
        if barrier_interval * LEAST_BARRIERS > freshness_bound {
            return Err(SettingsError::TooFewBarriers {
                freshness_bound,
                barrier_interval,
            });
        }
        Ok(self)
    }

    fn ranges(&self) -> [(&'static str, f64, RangeInclusive<f64>); 18] {
        [
            ("freshness_bound", self.freshness_bound, 1.0..=86_400.0),
            ("in_force_limit", self.in_force_limit, 2.0..=86_400.0),
            ("barrier_interval", self.barrier_interval, 0.1..=3_600.0),
            ("audit_interval", self.audit_interval, 1.0..=86_400.0),
            (
                "read_bytes_per_second",
                self.read_bytes_per_second,
                100.0..=1e9,
            ),
            ("read_burst", self.read_burst, 100.0..=1e9),
            ("page_bytes", self.page_bytes, 100.0..=1e6),
            ("spread", self.spread, 0.0..=3_600.0),
            ("report_interval", self.report_interval, 0.1..=3_600.0),
            ("snapshot_interval", self.snapshot_interval, 0.1..=86_400.0),
            ("request_timeout", self.request_timeout, 0.1..=600.0),
            ("watch_timeout", self.watch_timeout, 0.1..=600.0),
            ("max_entries", self.max_entries as f64, 1.0..=1e7),
            ("max_bytes", self.max_bytes as f64, 1_024.0..=1e10),
            ("max_value_bytes", self.max_value_bytes as f64, 16.0..=1.5e6),
            (
                "max_pending_changes",
                self.max_pending_changes as f64,
                1.0..=1e6,
            ),
            (
                "max_pending_bytes",
                self.max_pending_bytes as f64,
                1_024.0..=1e9,
            ),
            (
                "max_reported_rejections",
                self.max_reported_rejections as f64,
                1.0..=1_000.0,
            ),
        ]
    }
}

fn check_range(
    name: &'static str,
    value: f64,
    range: RangeInclusive<f64>,
) -> Result<(), SettingsError> {
    let (least, most) = (*range.start(), *range.end());
    if range.contains(&value) {
        return Ok(());
    }
    Err(SettingsError::OutOfRange {
        name,
        value,
        least,
        most,
    })
}
