//! The deployment files of front ends, hollow and real ones.

use crate::store::PREFIX;
use orchidtally_deployment::Deployment;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;

/// Zones and the kind that the store's executors name.
const ZONES: usize = 8;
const KIND: &str = "standard";
/// The networks in which the store's executors stand.
const NETWORK: &str = "127.0.0.0/8";
/// The file's only function, which the store doesn't have and nobody calls.
const FUNCTION: &str = "unused";
/// An executor for a front end whose roster is in its file; it is never called.
const UNUSED_EXECUTOR: &str = "127.0.0.1:9";

/// Reads one of the files below.
pub(super) fn parsed(text: &str) -> Deployment {
    Deployment::parse(text).expect("the deployment file of a hollow front end has no fault")
}

/// What the files of all front ends have in common. JSON is JSON5 as well.
fn common(front_ends: usize) -> Value {
    let zones: Vec<String> = (0..ZONES).map(|zone| format!("zone-{zone}")).collect();
    json!({
        "name": "scale",
        "locations": zones,
        "kinds": [KIND],
        "frontEnds": { "count": front_ends },
        "triggerTypes": [
            { "name": "http", "effect": "idempotent", "objective": "1500ms", "timeout": "6s" },
        ],
        "functions": [{ "name": FUNCTION, "lanes": 4 }],
    })
}

fn following_roster(front_ends: usize, endpoints: &[SocketAddr]) -> Value {
    let mut file = common(front_ends);
    file["executors"] = json!({
        "allowedNetworks": [NETWORK],
        "etcd": { "endpoints": endpoints, "prefix": PREFIX },
    });
    file
}

/// The deployment file of one of `front_ends` front ends that follows the store's executors and front ends.
pub fn with_roster(front_ends: usize, endpoints: &[SocketAddr]) -> String {
    following_roster(front_ends, endpoints).to_string()
}

/// The same with the store's configuration. `{index}` in the snapshot's path stands for the front end's index.
pub fn with_configuration(front_ends: usize, endpoints: &[SocketAddr], snapshot: &Path) -> String {
    let mut file = following_roster(front_ends, endpoints);
    file["configuration"] = json!({
        "store": { "endpoints": endpoints, "prefix": format!("{PREFIX}config/") },
        "snapshot": snapshot,
    });
    file.to_string()
}

/// The file of a front end that follows no store.
pub fn without_store(front_ends: usize) -> String {
    let mut file = common(front_ends);
    file["executors"] = json!({ "list": [{ "address": UNUSED_EXECUTOR }] });
    file.to_string()
}
