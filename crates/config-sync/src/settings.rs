//! The settings of the core.

use std::ops::RangeInclusive;
use thiserror::Error;

/// Settings of one front end's core. All front ends of a store should have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct SyncSettings {
    /// Prefix of all keys in the store, `orchidtally/config/` by default.
    pub prefix: String,
    /// Time without a proof that the view is current after which entries with `"when_stale":"refuse"` are refused, in
    /// seconds.
    pub freshness_bound: f64,
    /// Time after which a revocation is in force everywhere, in seconds; above `freshness_bound`.
    pub in_force_limit: f64,
    /// Interval of barriers, which prove freshness, in seconds.
    pub barrier_interval: f64,
    /// Mean interval of digest comparisons while the watch is followed, in seconds.
    pub audit_interval: f64,
    /// Rate limit of reads, in bytes a second.
    pub read_bytes_per_second: f64,
    /// Burst of reads in bytes. In any second at most the sum of this and `read_bytes_per_second` is read, apart from
    /// answers that are larger than expected.
    pub read_burst: f64,
    /// Target size of an answer in bytes, from which the limits of reads are derived.
    pub page_bytes: f64,
    /// Duration of the slow start of reads after a connection, in seconds, which spreads the load of many front ends.
    pub spread: f64,
    /// The shortest interval of reports, in seconds.
    pub report_interval: f64,
    /// The shortest interval of snapshots, in seconds.
    pub snapshot_interval: f64,
    /// Timeout of requests, in seconds.
    pub request_timeout: f64,
    /// A watch that doesn't reach the revision of a barrier within this time is opened again, in seconds.
    pub watch_timeout: f64,
    /// Maximum number of entries in the store.
    pub max_entries: usize,
    /// Maximum number of bytes of all keys and values in the store.
    pub max_bytes: usize,
    /// Maximum number of bytes of a value.
    pub max_value_bytes: usize,
    /// Maximum number of queued changes. If there are more, they are dropped, and the entries are read at the rate
    /// limit.
    pub max_pending_changes: usize,
    /// Maximum number of bytes of queued changes.
    pub max_pending_bytes: usize,
    /// Maximum number of rejections in a report.
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

/// Why settings are invalid.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// The prefix is empty.
    #[error("the prefix is empty; set one such as 'orchidtally/config/'")]
    EmptyPrefix,
    /// A setting is out of its range.
    #[error("{name} is {value}; it has to be between {min} and {max}")]
    OutOfRange {
        /// Name of the setting.
        name: &'static str,
        /// Value of the setting.
        value: f64,
        /// The lowest allowed value.
        min: f64,
        /// The highest allowed value.
        max: f64,
    },
    /// The freshness bound leaves too little time for invocations that are admitted right before it.
    #[error(
        "freshness_bound {freshness_bound} s is not at least 1 s below in_force_limit {in_force_limit} s; lower it, \
         or raise in_force_limit"
    )]
    NoSlack {
        /// In seconds.
        freshness_bound: f64,
        /// In seconds.
        in_force_limit: f64,
    },
    /// The freshness bound allows for too few barriers: the loss of one or two would already refuse entries.
    #[error(
        "freshness_bound {freshness_bound} s is shorter than three times barrier_interval {barrier_interval} s; raise \
         it, or lower the interval"
    )]
    TooFewBarriers {
        /// In seconds.
        freshness_bound: f64,
        /// In seconds.
        barrier_interval: f64,
    },
}

/// The minimum difference between the freshness bound and the limit, in seconds: an invocation that is admitted at the
/// bound still has to be sent.
const MIN_SLACK: f64 = 1.0;
/// The minimum number of barrier intervals within the freshness bound.
const MIN_BARRIER_INTERVALS: f64 = 3.0;

impl SyncSettings {
    /// Checks all settings.
    ///
    /// # Errors
    ///
    /// The first setting that is invalid.
    pub fn checked(self) -> Result<SyncSettings, SettingsError> {
        if self.prefix.is_empty() {
            return Err(SettingsError::EmptyPrefix);
        }
        for (name, value, range) in self.ranges() {
            check_range(name, value, range)?;
        }
        let (freshness_bound, in_force_limit) = (self.freshness_bound, self.in_force_limit);
        if freshness_bound + MIN_SLACK > in_force_limit {
            return Err(SettingsError::NoSlack {
                freshness_bound,
                in_force_limit,
            });
        }
        let barrier_interval = self.barrier_interval;
        if barrier_interval * MIN_BARRIER_INTERVALS > freshness_bound {
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
    let (min, max) = (*range.start(), *range.end());
    if range.contains(&value) {
        return Ok(());
    }
    Err(SettingsError::OutOfRange {
        name,
        value,
        min,
        max,
    })
}
