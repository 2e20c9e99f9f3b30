//! The `configuration` section: the store that functions, customers' shares and trigger types come from while the
//! front end runs. Without it there is none.

use crate::reader::{Fields, Place};
use crate::sections::optional;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What stands for the front end's index in the path of its snapshot.
const INDEX: &str = "{index}";
/// Endpoints of the store at most.
const MAX_ENDPOINTS: usize = 16;
/// The freshness bound has to lie so far below the limit, in seconds: what was admitted at the bound still has to
/// get its bytes out.
const LEAST_SLACK: f64 = 1.0;
/// Proofs of freshness that have to fit into the freshness bound.
const LEAST_PROOFS: f64 = 3.0;

/// What holds before anything was read: neither a snapshot nor the store's answer is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithoutView {
    /// Invocations are refused.
    Refuse,
    /// What the deployment file says goes on to hold.
    Serve,
}

/// The store of configuration and how it is followed. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    pub endpoints: Vec<SocketAddr>,
    /// All keys begin so.
    pub prefix: String,
    snapshot: String,
    /// An entry that is refused when stale is refused once the view wasn't proven current for so long.
    pub freshness: f64,
    /// A change that takes away is in force everywhere after so long.
    pub in_force_within: f64,
    /// Between two proofs of freshness.
    pub prove_every: f64,
    /// Between two comparisons with the store while nothing else asks for one.
    pub compare_every: f64,
    /// Between two reports at least.
    pub report_every: f64,
    /// Between two snapshots at least.
    pub snapshot_every: f64,
    /// The greatest drawn delay before reading after a connection, so that front ends don't read together.
    pub spread: f64,
    /// The pace of reads, in bytes a second, and what may be read at once after a pause, in bytes.
    pub bytes_per_second: f64,
    pub burst: f64,
    /// The front end's own lease in the store: its report goes when the lease ends.
    pub lease: f64,
    pub without_view: WithoutView,
}

impl Configuration {
    /// The path of one front end's snapshot.
    pub fn snapshot(&self, index: u32) -> PathBuf {
        self.snapshot.replace(INDEX, &index.to_string()).into()
    }
}

/// Reads the section, if it is there.
pub(crate) fn configuration(top: &Fields, front_ends: u32) -> Option<Configuration> {
    if !top.at("configuration").is_given() {
        return None;
    }
    let fields = optional(
        top,
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
    let time = |key, range, absent| fields.maybe(key, |p| p.seconds(range)).unwrap_or(absent);
    let without_view = [
        ("refuse", WithoutView::Refuse),
        ("serve", WithoutView::Serve),
    ];
    let read = Configuration {
        endpoints: endpoints(&store.at("endpoints")),
        prefix: prefix(&store),
        snapshot: snapshot(&fields.at("snapshot"), front_ends).unwrap_or_default(),
        freshness: time("freshness", 1.0..=3_600.0, 15.0),
        in_force_within: time("inForceWithin", 2.0..=3_600.0, 18.0),
        prove_every: time("proveEvery", 0.1..=600.0, 3.0),
        compare_every: time("compareEvery", 1.0..=86_400.0, 300.0),
        report_every: time("reportEvery", 0.1..=600.0, 2.0),
        snapshot_every: time("snapshotEvery", 0.1..=86_400.0, 300.0),
        spread: time("spread", 0.0..=600.0, 3.0),
        bytes_per_second: fields
            .maybe("bytesPerSecond", |p| p.bytes(1_000.0..=1e9))
            .unwrap_or(9_000.0),
        burst: fields
            .maybe("burst", |p| p.bytes(1_000.0..=1e9))
            .unwrap_or(2_500.0),
        lease: time("lease", 2.0..=3_600.0, 10.0),
        without_view: fields
            .maybe("withoutView", |p| p.one_of(&without_view))
            .unwrap_or(WithoutView::Refuse),
    };
    check_times(&fields, &read);
    Some(read)
}

fn endpoints(place: &Place) -> Vec<SocketAddr> {
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
        .filter_map(|p| p.parsed("an address and port", str::parse))
        .collect()
}

fn prefix(store: &Fields) -> String {
    let prefix = store
        .maybe("prefix", Place::text)
        .unwrap_or_else(|| "orchidtally/config/".into());
    if !prefix.ends_with('/') {
        store.at("prefix").fault("has to end with '/'");
    }
    prefix
}

fn snapshot(place: &Place, front_ends: u32) -> Option<String> {
    let path = place.text()?;
    if front_ends > 1 && !path.contains(INDEX) {
        place
            .fault("there are several front ends; '{index}' has to stand in it for each one's own");
    }
    Some(path)
}

fn check_times(fields: &Fields, read: &Configuration) {
    let Configuration {
        freshness,
        in_force_within,
        prove_every,
        ..
    } = *read;
    if freshness + LEAST_SLACK > in_force_within {
        fields.at("freshness").fault(format!(
            "{freshness} s is not {LEAST_SLACK} s below 'inForceWithin' of {in_force_within} s; lower it, or raise that"
        ));
    }
    if prove_every * LEAST_PROOFS > freshness {
        fields.at("proveEvery").fault(format!(
            "{LEAST_PROOFS} proofs every {prove_every} s don't fit into 'freshness' of {freshness} s; ask more often, or raise that"
        ));
    }
}
