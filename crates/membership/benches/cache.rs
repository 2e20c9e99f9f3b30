//! Measures how long the cache takes to apply a first list, an unchanged list and a single change, by its number of
//! entries.
//!
//! `cargo bench -p orchidtally-membership --bench cache`

use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState, ExecutorId};
use orchidtally_membership::{EndpointCache, EntryChange, EntryError, StoreRevision};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

fn parse_entry(key: &[u8], value: &[u8]) -> Result<Endpoint, EntryError> {
    let text = std::str::from_utf8(key).map_err(|_| EntryError::MissingAddress)?;
    let n: u32 = text
        .rsplit('/')
        .next()
        .and_then(|t| t.parse().ok())
        .ok_or(EntryError::MissingAddress)?;
    let since = std::str::from_utf8(value)
        .ok()
        .and_then(|t| t.parse().ok())
        .ok_or(EntryError::NotANumber { field: "since" })?;
    Ok(Endpoint {
        executor: ExecutorId(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + n)), 7000),
        zone: 0,
        kind: 0,
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: since,
    })
}

fn main() {
    println!("entries   list, ms   list again, ms   one change, us");
    for entries in [10, 100, 1_000, 10_000] {
        let keys: Vec<Vec<u8>> = (0..entries)
            .map(|n| format!("/executors/{n}").into_bytes())
            .collect();
        let list: Vec<EntryChange> = keys
            .iter()
            .map(|key| EntryChange {
                key,
                value: Some(b"1"),
                created: 1,
                modified: 1,
            })
            .collect();
        let mut cache = EndpointCache::new(0.0);
        let started_at = Instant::now();
        let update = cache.apply_list(
            0.0,
            StoreRevision {
                cluster: 1,
                revision: 1,
            },
            &list,
            &parse_entry,
        );
        let first = started_at.elapsed().as_secs_f64();
        assert_eq!(update.map(|update| update.endpoints.len()), Some(entries));
        let started_at = Instant::now();
        let update = cache.apply_list(
            1.0,
            StoreRevision {
                cluster: 1,
                revision: 2,
            },
            &list,
            &parse_entry,
        );
        let unchanged = started_at.elapsed().as_secs_f64();
        assert!(update.is_none(), "the list has not changed");
        const CHANGES: usize = 2_000;
        let started_at = Instant::now();
        for n in 0..CHANGES {
            let revision = 3 + n as i64;
            let value = revision.to_string();
            let change = EntryChange {
                key: &keys[n % entries],
                value: Some(value.as_bytes()),
                created: 1,
                modified: revision,
            };
            let update = cache.apply_events(
                2.0,
                StoreRevision {
                    cluster: 1,
                    revision,
                },
                &[change],
                &parse_entry,
            );
            assert_eq!(update.map(|update| update.endpoints.len()), Some(1));
        }
        let seconds_per_change = started_at.elapsed().as_secs_f64() / CHANGES as f64;
        println!(
            "{entries:>7} {:>10.2} {:>16.2} {:>16.2}",
            1e3 * first,
            1e3 * unchanged,
            1e6 * seconds_per_change
        );
    }
}
