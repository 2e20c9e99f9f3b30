//! Measures the core with 21,000 functions: the time of a change, a verdict, a snapshot and a start, and the memory.
//!
//! `cargo bench -p orchidtally-config-sync`

use orchidtally_config_sync::{
    Action, BarrierAnswer, Change, ConfigSync, EntryKey, GatewaySchema, Header, Keyspace,
    RangeAnswer, RangeEntry, SyncSettings, WatchBatch,
};
use std::hint::black_box;
use std::time::Instant;

const FUNCTIONS: usize = 21_000;
const CHANGES: usize = 2_000;
const CLUSTER: u64 = 7;
/// Bytes of a page of memory, the unit of `/proc/self/statm`.
const PAGE: f64 = 4_096.0;

fn document(digest: usize) -> Vec<u8> {
    let padding = "0".repeat(150);
    format!(
        r#"{{"when_stale":"refuse","spec":{{"versions":[{{"digest":"sha256:{digest}{padding}","lanes":4,"memory":256000000,"load_time":0.2,"work":0.01}}]}}}}"#
    )
    .into_bytes()
}

fn key(n: usize) -> EntryKey {
    EntryKey::new("functions", &format!("f{n}")).expect("the key is valid")
}

fn resident_mb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0);
    pages * PAGE / 1e6
}

/// Performs the actions of the core, with a store whose entries are at revision 1.
fn perform_actions(
    core: &mut ConfigSync<GatewaySchema>,
    now: f64,
    entries: &[RangeEntry],
    snapshots: &mut Vec<Vec<u8>>,
) {
    let header = Header {
        cluster: CLUSTER,
        revision: 1,
    };
    while let Some(action) = core.poll(now) {
        match action {
            Action::Barrier { id } => core.on_barrier_answer(
                now,
                BarrierAnswer {
                    id,
                    header,
                    generation: None,
                },
            ),
            Action::Read(request) => {
                let from = entries.partition_point(|entry| entry.key < request.range.start);
                let until = entries.partition_point(|entry| entry.key < request.range.end);
                let page = (from + request.limit as usize).min(until.max(from));
                let entries_of_page = entries[from..page].to_vec();
                let more = page < until;
                core.on_range_answer(
                    now,
                    RangeAnswer {
                        id: request.id,
                        header,
                        entries: entries_of_page,
                        more,
                        bytes: 0,
                    },
                );
            }
            Action::WriteSnapshot { bytes, .. } => snapshots.push(bytes),
            _ => {}
        }
    }
}

fn main() {
    let settings = SyncSettings::default();
    let keyspace = Keyspace::new(settings.prefix.clone());
    let mut entries: Vec<RangeEntry> = (0..FUNCTIONS)
        .map(|n| RangeEntry {
            key: keyspace.entry(&key(n)),
            value: document(n),
            mod_revision: 1,
        })
        .collect();
    entries.sort_by(|a, b| a.key.cmp(&b.key));
    let before = resident_mb();
    let mut core =
        ConfigSync::new(settings.clone(), GatewaySchema, 1, 0.0).expect("the settings are valid");
    let (mut now, mut snapshots) = (0.0, vec![]);
    core.on_connected(now);
    while !core.is_loaded() {
        perform_actions(&mut core, now, &entries, &mut snapshots);
        now += 0.05;
    }
    perform_actions(&mut core, now, &entries, &mut snapshots);
    let bytes: usize = entries
        .iter()
        .map(|entry| entry.key.len() + entry.value.len())
        .sum();
    println!(
        "{FUNCTIONS} functions, {bytes} bytes of keys and documents; {} entries in force",
        core.view().len()
    );
    println!(
        "resident: {:.1} MB more, one snapshot of {} bytes among it",
        resident_mb() - before,
        snapshots[0].len()
    );

    let started_at = Instant::now();
    for n in 0..CHANGES {
        let revision = n as i64 + 2;
        let key = keyspace.entry(&key(n * 7 % FUNCTIONS));
        let changes = vec![Change {
            key,
            value: Some(document(n)),
            mod_revision: revision,
        }];
        let header = Header {
            cluster: CLUSTER,
            revision,
        };
        core.on_watch_batch(
            now,
            WatchBatch {
                header,
                changes,
                complete: true,
            },
        );
    }
    println!(
        "a change: {:.1} us",
        started_at.elapsed().as_secs_f64() * 1e6 / CHANGES as f64
    );

    let started_at = Instant::now();
    for n in 0..1_000_000usize {
        black_box(core.admits(
            now,
            if n % 2 == 0 {
                "functions/f17"
            } else {
                "functions/none"
            },
        ));
    }
    println!("a verdict: {:.3} us", started_at.elapsed().as_secs_f64());

    now += 1_000.0;
    let started_at = Instant::now();
    while let Some(action) = core.poll(now) {
        if let Action::WriteSnapshot { bytes, .. } = action {
            println!(
                "a snapshot: {:.1} ms, {} bytes",
                started_at.elapsed().as_secs_f64() * 1e3,
                bytes.len()
            );
            snapshots.push(bytes);
        }
    }
    let mut restored =
        ConfigSync::new(settings, GatewaySchema, 1, 0.0).expect("the settings are valid");
    let started_at = Instant::now();
    let from = restored.restore(0.0, &[&snapshots[snapshots.len() - 1]]);
    println!(
        "a start from it: {:.1} ms, at revision {:?}",
        started_at.elapsed().as_secs_f64() * 1e3,
        from.revision
    );
}
