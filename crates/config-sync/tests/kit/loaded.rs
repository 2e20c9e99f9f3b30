//! A fleet that has loaded some functions.

use super::fleet::Fleet;
use super::{function, put};
use orchidtally_config_sync::SyncSettings;

/// A revocation has to be in force everywhere after this time, in seconds.
pub const IN_FORCE_LIMIT: f64 = 18.0;

/// A fleet that has loaded some functions and `functions/guarded`, which is refused when stale.
pub fn loaded_fleet(count: usize, functions: usize) -> Fleet {
    let mut fleet = Fleet::new(count, SyncSettings::default());
    let mut changes: Vec<_> = (0..functions)
        .map(|n| put(&format!("functions/f{n}"), function("a", "serve", true)))
        .collect();
    changes.push(put("functions/guarded", function("a", "refuse", true)));
    for chunk in changes.chunks(80) {
        fleet.write(chunk);
    }
    let revision = fleet.store.revision;
    let loaded = fleet.run_until_applied(revision, 900.0, |_| true);
    assert!(loaded.is_some(), "the fleet didn't load");
    fleet.run(10.0);
    fleet
}

/// The digest of a function's first version at a front end, without its prefix and padding.
pub fn digest_of(fleet: &Fleet, front_end: usize, key: &str) -> String {
    let view = fleet.front_ends[front_end].core.view();
    match view.get(key).map(|record| &record.entry) {
        Some(orchidtally_config_sync::schema::GatewayEntry::Function(f)) => f.versions[0]
            .digest
            .trim_start_matches("sha256:")
            .trim_end_matches('0')
            .to_string(),
        _ => "none".into(),
    }
}
