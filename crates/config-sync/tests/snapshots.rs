//! Truncated and damaged snapshots are detected, and an earlier one or none is used instead.

mod kit;

use kit::fleet::Fleet;
use kit::{function, put, quota};
use orchidtally_config_sync::{ConfigSync, GatewaySchema, SnapshotError, SyncSettings, Verdict};

/// Two snapshots of one front end, the earlier one first.
fn two_snapshots() -> (Vec<u8>, Vec<u8>) {
    let settings = SyncSettings {
        snapshot_interval: 1.0,
        ..SyncSettings::default()
    };
    let mut fleet = Fleet::new(1, settings);
    fleet.write(&[
        put("functions/f1", function("a", "refuse", true)),
        put("quotas/ann", quota(1.0)),
    ]);
    fleet.run(20.0);
    fleet.write(&[put("functions/f1", function("b", "refuse", true))]);
    fleet.run(5.0);
    fleet.write_unchecked(&[put("quotas/ann", b"{}".to_vec())]);
    fleet.run(5.0);
    let snapshots = &fleet.front_ends[0].snapshots;
    (snapshots[0].clone(), snapshots[1].clone())
}

fn core() -> ConfigSync<GatewaySchema> {
    ConfigSync::new(SyncSettings::default(), GatewaySchema, 1, 0.0).expect("the settings are valid")
}

#[test]
fn a_snapshot_truncated_at_any_byte_is_detected() {
    let (earlier, newest) = two_snapshots();
    let earlier_revision = {
        let mut core = core();
        core.restore(0.0, &[&earlier]).revision
    };
    assert!(earlier_revision.is_some());
    for length in 0..newest.len() {
        let mut core = core();
        let restored = core.restore(0.0, &[&newest[..length], &earlier]);
        assert_eq!(
            restored.revision, earlier_revision,
            "truncated after {length} bytes"
        );
        assert_eq!(restored.skipped.len(), 1);
        let mut alone = self::core();
        let restored = alone.restore(0.0, &[&newest[..length]]);
        assert_eq!(
            (restored.revision, alone.is_loaded(), alone.view().len()),
            (None, false, 0)
        );
        assert_eq!(alone.admits(0.0, "functions/f1"), Verdict::NotLoaded);
    }
    let mut core = core();
    assert!(core.restore(0.0, &[&newest, &earlier]).revision > earlier_revision);
}

#[test]
fn a_flipped_bit_is_detected() {
    let (earlier, newest) = two_snapshots();
    for byte in 0..newest.len() {
        for bit in 0..8 {
            let mut damaged = newest.clone();
            damaged[byte] ^= 1 << bit;
            let mut core = core();
            let restored = core.restore(0.0, &[&damaged, &earlier]);
            assert_eq!(restored.skipped.len(), 1, "bit {bit} of byte {byte}");
        }
    }
}

#[test]
fn other_files_and_oversized_snapshots_have_their_own_errors() {
    let mut core = core();
    let garbage = vec![7u8; 4_000];
    let restored = core.restore(0.0, &[&garbage, &[]]);
    assert_eq!(
        restored.skipped,
        [SnapshotError::NotASnapshot, SnapshotError::Truncated(0)]
    );
    let (_, newest) = two_snapshots();
    let settings = SyncSettings {
        max_entries: 1,
        ..SyncSettings::default()
    };
    let mut small =
        ConfigSync::new(settings, GatewaySchema, 1, 0.0).expect("the settings are valid");
    let restored = small.restore(0.0, &[&newest]);
    assert!(matches!(
        restored.skipped[..],
        [SnapshotError::TooLarge { entries: 2, .. }]
    ));
}

#[test]
fn a_restored_view_is_served_but_not_fresh() {
    let (_, newest) = two_snapshots();
    let mut core = core();
    core.restore(50.0, &[&newest]);
    assert_eq!(
        core.admits(50.0, "quotas/ann"),
        Verdict::Serve,
        "the last good entry"
    );
    assert_eq!(core.rejections().len(), 1);
    assert_eq!(
        core.admits(50.0, "functions/f1"),
        Verdict::RefuseStale { age: f64::INFINITY }
    );
}
