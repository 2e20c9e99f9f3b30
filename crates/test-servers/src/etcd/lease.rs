//! Leases and the keys that are deleted when they end. Times are in seconds on the caller's clock.

use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
struct Lease {
    time_to_live: f64,
    ends_at: f64,
    keys: BTreeSet<Bytes>,
}

#[derive(Debug, Default)]
pub(super) struct Leases {
    leases: BTreeMap<i64, Lease>,
    last_id: i64,
}

impl Leases {
    /// Grants a lease for `time_to_live` seconds and returns its id.
    pub fn grant(&mut self, now: f64, time_to_live: i64) -> i64 {
        self.last_id += 1;
        let time_to_live = time_to_live as f64;
        let lease = Lease {
            time_to_live,
            ends_at: now + time_to_live,
            keys: BTreeSet::new(),
        };
        self.leases.insert(self.last_id, lease);
        self.last_id
    }

    pub fn contains(&self, id: i64) -> bool {
        self.leases.contains_key(&id)
    }

    /// Renews a lease and returns its time to live in whole seconds; 0 if the lease doesn't exist.
    pub fn keep_alive(&mut self, now: f64, id: i64) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.ends_at = now + lease.time_to_live;
        lease.time_to_live as i64
    }

    /// Moves a key from one lease to another. Id 0 means no lease.
    pub fn move_key(&mut self, key: &Bytes, from: i64, to: i64) {
        if let Some(lease) = self.leases.get_mut(&from) {
            lease.keys.remove(key);
        }
        if let Some(lease) = self.leases.get_mut(&to) {
            lease.keys.insert(key.clone());
        }
    }

    /// Removes a lease and returns its keys; `None` if the lease doesn't exist.
    pub fn remove(&mut self, id: i64) -> Option<BTreeSet<Bytes>> {
        self.leases.remove(&id).map(|lease| lease.keys)
    }

    pub fn ended(&self, now: f64) -> Vec<i64> {
        self.leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(&id, _)| id)
            .collect()
    }

    pub fn ids(&self) -> Vec<i64> {
        self.leases.keys().copied().collect()
    }

    /// Restarts the full time to live of every lease at `now`, as a new leader does.
    pub fn extend_all(&mut self, now: f64) {
        for lease in self.leases.values_mut() {
            lease.ends_at = now + lease.time_to_live;
        }
    }

    /// Replaces the keys of all leases by those in `entries`, which are pairs of key and lease id.
    pub fn reattach<'a>(&mut self, entries: impl Iterator<Item = (&'a Bytes, i64)>) {
        self.leases
            .values_mut()
            .for_each(|lease| lease.keys.clear());
        for (key, id) in entries {
            self.move_key(key, 0, id);
        }
    }
}
