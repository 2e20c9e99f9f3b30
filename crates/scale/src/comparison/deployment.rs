//! The deployment files of real front ends.

use super::Plan;
use crate::store::PREFIX;
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

/// What the files of all front ends have in common. JSON is JSON5 as well.
fn common(plan: &Plan) -> Value {
    let zones: Vec<String> = (0..ZONES).map(|zone| format!("zone-{zone}")).collect();
    json!({
        "name": "scale",
        "locations": zones,
        "kinds": [KIND],
        "frontEnds": { "count": plan.front_ends() },
        "triggerTypes": [
            { "name": "http", "effect": "idempotent", "objective": "1500ms", "timeout": "6s" },
        ],
        "functions": [{ "name": FUNCTION, "lanes": 4 }],
    })
}

/// The file of a front end that follows the store: its executors, the other front ends and its configuration.
/// `{index}` in the path of the snapshot stands for the front end's index.
pub fn with_store(plan: &Plan, endpoints: &[SocketAddr], snapshot: &Path) -> String {
    let mut file = common(plan);
    file["executors"] = json!({
        "allowedNetworks": [NETWORK],
        "etcd": { "endpoints": endpoints, "prefix": PREFIX },
    });
    file["configuration"] = json!({
        "store": { "endpoints": endpoints, "prefix": format!("{PREFIX}config/") },
        "snapshot": snapshot,
    });
    file.to_string()
}

/// The file of a front end that follows no store.
pub fn without_store(plan: &Plan) -> String {
    let mut file = common(plan);
    file["executors"] = json!({ "list": [{ "address": UNUSED_EXECUTOR }] });
    file.to_string()
}
