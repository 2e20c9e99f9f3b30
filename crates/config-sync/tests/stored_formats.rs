//! Snapshots on front ends' disks and the values in the store are stored formats: a new build has to read what an older
//! one wrote, and to write the same bytes. The examples in `stored_formats` were written by, or checked against, the
//! build of version 0.2.0 and must not be changed.

mod kit;

use kit::fleet::Fleet;
use kit::{function, key, put, quota, trigger_type};
use orchidtally_config_sync::digest::{Digests, entry_hash};
use orchidtally_config_sync::keys::{BUCKET_COUNT, bucket_of, group_of};
use orchidtally_config_sync::schema::{
    Envelope, FunctionSpec, QuotaSpec, TriggerTypeSpec, VersionSpec,
};
use orchidtally_config_sync::writer::Generation;
use orchidtally_config_sync::{
    ConfigSync, GatewaySchema, Keyspace, Report, ReportedState, SyncSettings, Verdict, WhenStale,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

const REPORTS: &str = include_str!("stored_formats/reports.jsonl");
const DOCUMENTS: &str = include_str!("stored_formats/documents.jsonl");
const GENERATION: &str = include_str!("stored_formats/generation.json");
const KEYS: &str = include_str!("stored_formats/keys.txt");

/// Decodes the value on each line, and checks that it is encoded to the same bytes.
fn decode_and_encode<Value: Serialize + DeserializeOwned>(lines: &str) -> Vec<Value> {
    let read_line = |line: &str| {
        let value: Value =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"));
        assert_eq!(serde_json::to_string(&value).unwrap(), line);
        value
    };
    lines.lines().map(read_line).collect()
}

/// The newest snapshot of a front end that follows a store with entries of all kinds, one of them rejected.
fn written_snapshot() -> Vec<u8> {
    let settings = SyncSettings {
        snapshot_interval: 1.0,
        ..SyncSettings::default()
    };
    let mut fleet = Fleet::new(1, settings);
    fleet.write(&[
        put("functions/resize", function("1f", "refuse", true)),
        put("quotas/ann", quota(1.5)),
        put("trigger-types/orders", trigger_type(0.5, 10.0)),
    ]);
    fleet.run(20.0);
    fleet.write_unchecked(&[
        put("quotas/ann", b"{}".to_vec()),
        put("quotas/bob", b"{}".to_vec()),
    ]);
    fleet.run(5.0);
    fleet.front_ends[0]
        .snapshots
        .last()
        .expect("the front end has written a snapshot")
        .clone()
}

fn core() -> ConfigSync<GatewaySchema> {
    ConfigSync::new(SyncSettings::default(), GatewaySchema, 1, 0.0).expect("the settings are valid")
}

fn fixture_snapshot() -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored_formats/snapshot.bin");
    std::fs::read(path).expect("the fixture exists")
}

#[test]
fn a_snapshot_of_an_earlier_build_is_restored() {
    let bytes = fixture_snapshot();
    let mut core = core();
    let restored = core.restore(0.0, &[&bytes]);
    assert!(restored.skipped.is_empty(), "{:?}", restored.skipped);
    let view = core.view();
    let names: Vec<&str> = view.iter().map(|(key, _)| key.as_str()).collect();
    assert_eq!(names.len(), 3, "{names:?}");
    let document = |name: &str| view.get(name).expect(name).document.to_vec();
    assert_eq!(document("functions/resize"), function("1f", "refuse", true));
    assert_eq!(document("quotas/ann"), quota(1.5), "the last good entry");
    assert_eq!(document("trigger-types/orders"), trigger_type(0.5, 10.0));
    assert_eq!(core.admits(0.0, "quotas/ann"), Verdict::Serve);
    let mut rejected: Vec<String> = core
        .rejections()
        .into_iter()
        .map(|rejection| rejection.key)
        .collect();
    rejected.sort();
    assert_eq!(rejected, ["quotas/ann", "quotas/bob"]);
}

#[test]
fn the_same_configuration_gives_the_same_snapshot() {
    let written = written_snapshot();
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("stored-formats-snapshot.bin");
    std::fs::write(&path, &written).unwrap();
    assert!(
        written == fixture_snapshot(),
        "the snapshot differs; the new one is in {}",
        path.display()
    );
}

#[test]
fn a_snapshot_begins_with_its_magic_version_and_position() {
    let bytes = fixture_snapshot();
    assert_eq!(&bytes[..10], b"OTCONFIG\x00\x01");
    assert_eq!(bytes[10..18], 7u64.to_be_bytes(), "the cluster");
    assert_eq!(bytes[18..26], 1u64.to_be_bytes(), "the generation");
    assert_eq!(bytes[34..38], 4u32.to_be_bytes(), "entries");
    assert_eq!(bytes[38..42], 2u32.to_be_bytes(), "overrides");
}

#[test]
fn reports_keep_their_encoding() {
    let reports: Vec<Report> = decode_and_encode(REPORTS);
    let states: Vec<ReportedState> = reports.iter().map(|report| report.state).collect();
    let expected = [
        ReportedState::Following,
        ReportedState::CatchingUp,
        ReportedState::StoreRolledBack,
        ReportedState::StoreTooLarge,
        ReportedState::UnknownFormat,
        ReportedState::Ended,
    ];
    assert_eq!(states, expected);
    let first = &reports[0];
    assert_eq!(
        (
            first.sequence,
            first.applied_revision,
            first.generation,
            first.cluster
        ),
        (3, 41, 1, u64::MAX)
    );
    assert_eq!((first.rejected_omitted, first.digest_faults), (5, 6));
    let rejection = &first.rejected[0];
    assert_eq!(
        (rejection.key.as_str(), rejection.revision),
        ("quotas/ann", 40)
    );
    assert_eq!(
        (rejection.reason.as_str(), rejection.remedy.as_str()),
        ("why", "what to do")
    );
    for (report, line) in reports.iter().zip(REPORTS.lines()) {
        assert_eq!(report.to_json(), line.as_bytes());
        assert_eq!(Report::from_json(line.as_bytes()).unwrap(), *report);
    }
}

#[test]
fn the_generation_keeps_its_encoding() {
    let generation: Generation = decode_and_encode(GENERATION).remove(0);
    assert_eq!(generation, Generation::new(7));
    assert_eq!(generation.to_json(), GENERATION.trim_end().as_bytes());
}

#[test]
fn documents_of_each_kind_are_parsed() {
    let envelopes: Vec<Envelope> = DOCUMENTS
        .lines()
        .map(|line| Envelope::parse(line.as_bytes(), 1 << 20).expect(line))
        .collect();
    let when_stale: Vec<WhenStale> = envelopes
        .iter()
        .map(|envelope| envelope.when_stale)
        .collect();
    assert_eq!(
        when_stale,
        [
            WhenStale::Refuse,
            WhenStale::Serve,
            WhenStale::Serve,
            WhenStale::Serve
        ]
    );
    let mut specs = envelopes.into_iter().map(|envelope| envelope.spec);
    let mut next = || specs.next().expect("four documents");
    let version = |digest: &str, lanes, memory, load_time, work| VersionSpec {
        digest: digest.into(),
        lanes,
        memory,
        load_time,
        work,
    };
    let function = FunctionSpec {
        allowed: false,
        versions: vec![
            version("sha256:1f", 4, 1e9, Some(0.25), Some(0.5)),
            version("sha256:2f", 1, 256e6, None, None),
        ],
        aliases: [("stable".to_owned(), "sha256:1f".to_owned())].into(),
        trigger_types: vec!["orders".into()],
    };
    assert_eq!(FunctionSpec::parse(next()).unwrap(), function);
    let smallest = FunctionSpec {
        allowed: true,
        versions: vec![version("sha256:1f", 1, 256e6, None, None)],
        aliases: Default::default(),
        trigger_types: vec![],
    };
    assert_eq!(FunctionSpec::parse(next()).unwrap(), smallest);
    assert_eq!(
        QuotaSpec::parse(next()).unwrap(),
        QuotaSpec {
            calls_per_second: 12.5
        }
    );
    assert_eq!(
        TriggerTypeSpec::parse(next()).unwrap(),
        TriggerTypeSpec {
            objective: 0.5,
            timeout: 10.0
        }
    );
}

#[test]
fn specs_are_encoded_as_in_documents() {
    let envelope = |line: &str| Envelope::parse(line.as_bytes(), 1 << 20).expect(line).spec;
    let lines: Vec<&str> = DOCUMENTS.lines().collect();
    let function = FunctionSpec::parse(envelope(lines[0])).unwrap();
    let quota = QuotaSpec::parse(envelope(lines[2])).unwrap();
    let trigger_type = TriggerTypeSpec::parse(envelope(lines[3])).unwrap();
    let written = [
        serde_json::to_string(&function).unwrap(),
        serde_json::to_string(&quota).unwrap(),
        serde_json::to_string(&trigger_type).unwrap(),
    ];
    let expected = include_str!("stored_formats/specs.jsonl");
    assert_eq!(
        written.to_vec(),
        expected.lines().collect::<Vec<_>>(),
        "\n{}",
        written.join("\n")
    );
}

#[test]
fn keys_are_those_of_earlier_builds() {
    let keyspace = Keyspace::new("/ot/");
    let mut keys = vec![];
    for name in ["functions/resize", "quotas/ann", "trigger-types/orders"] {
        keys.push(keyspace.entry(&key(name)));
    }
    keys.extend([
        keyspace.digest(0),
        keyspace.digest(31),
        keyspace.generation(),
        keyspace.report("fe-3"),
    ]);
    for range in [
        keyspace.entries(),
        keyspace.bucket(255),
        keyspace.digests(),
        keyspace.reports(),
    ] {
        keys.extend([range.start, range.end]);
    }
    let written: Vec<String> = keys
        .into_iter()
        .map(|key| String::from_utf8(key).unwrap())
        .collect();
    assert_eq!(
        written,
        KEYS.lines().collect::<Vec<_>>(),
        "\n{}",
        written.join("\n")
    );
    assert_eq!(
        keyspace.parse_entry(KEYS.lines().next().unwrap().as_bytes()),
        Some(key("functions/resize"))
    );
}

#[test]
fn a_digest_group_keeps_its_encoding() {
    let name = "functions/resize";
    let bucket = bucket_of(name);
    let mut digests = Digests::default();
    digests.add(bucket, entry_hash(name, b"{}"));
    let value = digests.encode_group(group_of(bucket));
    let hex: String = value.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(
        hex,
        include_str!("stored_formats/digest_group.txt").trim_end(),
        "\n{hex}"
    );
    let mut read = Digests::default();
    assert!(read.decode_group(group_of(bucket), &value));
    assert_eq!((read, BUCKET_COUNT), (digests, 1_024));
}
