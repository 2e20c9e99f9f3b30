//! The `configuration` section: the store from which a running front end receives functions, quotas and trigger types.
//! Without the section, the deployment file is the only source.

use crate::reader::{Fields, Place};
use crate::{INDEX_PLACEHOLDER, MISSING_INDEX_FAULT};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The most members of the store.
const MAX_ENDPOINTS: usize = 16;
/// The least difference between `inForceWithin` and the freshness bound, in seconds: an invocation that is admitted at
/// the bound still has to be dispatched.
const MIN_SLACK: f64 = 1.0;
/// The least number of proof intervals that the freshness bound has to cover.
const MIN_PROOFS: f64 = 3.0;
const DEFAULT_PREFIX: &str = "orchidtally/config/";

/// The behavior until a snapshot or the store's contents are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedBehavior {
    /// Invocations are rejected.
    Refuse,
    /// The deployment file applies.
    Serve,
}

/// The configuration store, and how a front end synchronizes with it. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigStoreSettings {
    /// The members of the store.
    pub endpoints: Vec<SocketAddr>,
    /// The prefix of all keys.
    pub prefix: String,
    /// The path of the snapshot, with a placeholder for the front end's index.
    snapshot: String,
    /// The greatest age of the view at which entries that are refused when stale still apply.
    pub freshness: f64,
    /// The time within which a revocation applies at all front ends.
    pub max_revocation_delay: f64,
    /// Interval of proofs of freshness.
    pub proof_interval: f64,
    /// Interval of comparisons with the store when no other event triggers one.
    pub comparison_interval: f64,
    /// The shortest interval between two reports.
    pub report_interval: f64,
    /// The shortest interval between two snapshots.
    pub snapshot_interval: f64,
    /// The longest random delay between connecting and reading, so that front ends don't all read at once.
    pub max_start_delay: f64,
    /// The rate limit of reads, in bytes a second.
    pub bytes_per_second: f64,
    /// The burst size of the rate limit, in bytes.
    pub burst: f64,
    /// Time to live of the lease of the front end's report.
    pub lease_ttl: f64,
    /// The behavior until a snapshot or the store's contents are read.
    pub unsynced_behavior: UnsyncedBehavior,
}

impl ConfigStoreSettings {
    /// Returns the path of one front end's snapshot.
    pub fn snapshot(&self, front_end: u32) -> PathBuf {
        self.snapshot
            .replace(INDEX_PLACEHOLDER, &front_end.to_string())
            .into()
    }
}

/// Reads the section, if it is given.
pub(crate) fn read_configuration(top: &Fields, front_ends: u32) -> Option<ConfigStoreSettings> {
    if !top.at("configuration").is_given() {
        return None;
    }
    let fields = top.optional_object(
        "configuration",
        &[
            "store",
            "snapshot",
            "freshness",
            "inForceWithin",
            "proveEvery",
            "compareEvery",
            "reportEvery",
            "snapshotEvery",
            "spread",
            "bytesPerSecond",
            "burst",
            "lease",
            "withoutView",
        ],
    );
    let store = fields.at("store").object(&["endpoints", "prefix"]);
    let time = |key, range, default| {
        fields
            .optional(key, |place| place.seconds(range))
            .unwrap_or(default)
    };
    let unsynced_behavior = [
        ("refuse", UnsyncedBehavior::Refuse),
        ("serve", UnsyncedBehavior::Serve),
    ];
    let configuration = ConfigStoreSettings {
        endpoints: read_endpoints(&store.at("endpoints")),
        prefix: read_prefix(&store),
        snapshot: read_snapshot_path(&fields.at("snapshot"), front_ends).unwrap_or_default(),
        freshness: time("freshness", 1.0..=3_600.0, 15.0),
        max_revocation_delay: time("inForceWithin", 2.0..=3_600.0, 18.0),
        proof_interval: time("proveEvery", 0.1..=600.0, 3.0),
        comparison_interval: time("compareEvery", 1.0..=86_400.0, 300.0),
        report_interval: time("reportEvery", 0.1..=600.0, 2.0),
        snapshot_interval: time("snapshotEvery", 0.1..=86_400.0, 300.0),
        max_start_delay: time("spread", 0.0..=600.0, 3.0),
        bytes_per_second: fields
            .optional("bytesPerSecond", |place| place.bytes(1_000.0..=1e9))
            .unwrap_or(9_000.0),
        burst: fields
            .optional("burst", |place| place.bytes(1_000.0..=1e9))
            .unwrap_or(2_500.0),
        lease_ttl: time("lease", 2.0..=3_600.0, 10.0),
        unsynced_behavior: fields
            .optional("withoutView", |place| place.choice(&unsynced_behavior))
            .unwrap_or(UnsyncedBehavior::Refuse),
    };
    check_times(&fields, &configuration);
    Some(configuration)
}

fn read_endpoints(place: &Place) -> Vec<SocketAddr> {
    let list = place.list();
    if list.is_empty() {
        place.fault("at least one is wanted: the address and port of each member of the store");
    }
    if list.len() > MAX_ENDPOINTS {
        place.fault(format!(
            "{} are too many, {MAX_ENDPOINTS} at most",
            list.len()
        ));
    }
    list.iter()
        .filter_map(|place| place.parsed("an address and port", str::parse))
        .collect()
}

fn read_prefix(store: &Fields) -> String {
    let prefix = store
        .optional("prefix", Place::text)
        .unwrap_or_else(|| DEFAULT_PREFIX.into());
    if !prefix.ends_with('/') {
        store.at("prefix").fault("has to end with '/'");
    }
    prefix
}

fn read_snapshot_path(place: &Place, front_ends: u32) -> Option<String> {
    let path = place.text()?;
    if front_ends > 1 && !path.contains(INDEX_PLACEHOLDER) {
        place.fault(MISSING_INDEX_FAULT);
    }
    Some(path)
}

/// Records a fault for each interval that doesn't fit into the time limit that depends on it.
fn check_times(fields: &Fields, configuration: &ConfigStoreSettings) {
    let ConfigStoreSettings {
        freshness,
        max_revocation_delay,
        proof_interval,
        ..
    } = *configuration;
    if freshness + MIN_SLACK > max_revocation_delay {
        fields.at("freshness").fault(format!(
            "{freshness} s is not {MIN_SLACK} s below 'inForceWithin' of {max_revocation_delay} s; lower it, or raise that"
        ));
    }
    if proof_interval * MIN_PROOFS > freshness {
        fields.at("proveEvery").fault(format!(
            "{MIN_PROOFS} proofs every {proof_interval} s don't fit into 'freshness' of {freshness} s; ask more often, or raise that"
        ));
    }
}
