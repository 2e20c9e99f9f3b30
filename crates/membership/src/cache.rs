//! The roster as a store tells it by lists and watches: put together so that what the module is told never goes
//! back, no deletion is missed, and a store that lost its mind does not take the fleet with it.

use orchidtally_dispatch_policy::interface::{
    Endpoint, EndpointState, EndpointUpdateKind, ExecutorId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Entries that vanish within this time count together.
const TOGETHER: f64 = 5.0;
/// More than this part of the roster, and more than so many, vanishing together are held against what executors
/// answer: leases that expire because the store stalled look the same as a lost location.
const MANY: f64 = 0.25;
const MANY_LEAST: usize = 3;
/// One that is held is kept for so long after its last answer, and goes without one after this.
const HELD: f64 = 10.0;
/// Executors that are remembered to have drained.
const MOST_DRAINED: usize = 100_000;
/// A list is asked for so often at the least, in seconds.
pub const LIST_INTERVAL: f64 = 300.0;
/// Malformed entries that are remembered by name.
const MOST_FAULTS: usize = 1_000;

/// Where an answer of the store comes from, and how far it had come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreRevision {
    pub cluster: u64,
    pub revision: i64,
}

/// An entry as it was listed, or what a watch told of it: without a value it was deleted.
#[derive(Clone, Copy, Debug)]
pub struct Change<'a> {
    pub key: &'a [u8],
    pub value: Option<&'a [u8]>,
    pub created: i64,
    pub modified: i64,
}

#[derive(Clone, Debug)]
struct Entry {
    row: Endpoint,
    /// As the executor says it itself.
    stated: Endpoint,
    created: i64,
    modified: i64,
    /// The store has it no more, since then; it is believed to live.
    held_since: Option<f64>,
}

/// The executor's key, where a key is an operator's mark at it.
fn marked(key: &[u8]) -> Option<&[u8]> {
    key.strip_suffix(b"/drain")
}

/// What the host is to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRequest {
    List,
    /// From this revision on.
    Watch(i64),
}

/// Reads an entry's key and value, or tells why it can't be one.
pub type EntryReader<'r> = dyn Fn(&[u8], &[u8]) -> Result<Endpoint, String> + 'r;

/// What the module is to be told.
pub type EndpointUpdate = Option<(EndpointUpdateKind, Vec<Endpoint>)>;

#[derive(Debug, Default)]
pub struct EndpointCache {
    stamp: Option<StoreRevision>,
    listed: bool,
    /// A list has to come before the next watch.
    stale: bool,
    entries: BTreeMap<Vec<u8>, Entry>,
    /// Executors that an operator has drained, by key.
    marks: BTreeSet<Vec<u8>>,
    /// When entries vanished lately.
    vanished: VecDeque<f64>,
    answered: BTreeMap<(std::net::IpAddr, u16), f64>,
    faults: BTreeMap<Vec<u8>, String>,
    /// Starts of executors that were told to drain, by key, for when the store is set back to before that.
    drained: BTreeMap<Vec<u8>, f64>,
    heard_at: f64,
    listed_at: f64,
    pub relists: u64,
    /// Times that the store had gone back, or was another.
    pub went_back: u64,
}

fn at(executor: &ExecutorId) -> (std::net::IpAddr, u16) {
    (executor.0, executor.1)
}

fn gone(row: &Endpoint) -> Endpoint {
    Endpoint {
        state: EndpointState::Gone,
        ..row.clone()
    }
}

impl EndpointCache {
    pub fn new(now: f64) -> EndpointCache {
        EndpointCache {
            heard_at: now,
            ..EndpointCache::default()
        }
    }

    pub fn next(&self) -> NextRequest {
        match self.stamp {
            Some(stamp) if !self.stale => NextRequest::Watch(stamp.revision + 1),
            _ => NextRequest::List,
        }
    }

    /// Seconds since the store was last heard.
    pub fn age(&self, now: f64) -> f64 {
        now - self.heard_at
    }

    /// Entries that can't be read, with why; the last good one of each counts.
    pub fn faults(&self) -> impl Iterator<Item = (&[u8], &str)> {
        self.faults
            .iter()
            .map(|(key, why)| (key.as_slice(), why.as_str()))
    }

    /// The revision that it has heard of.
    pub fn revision(&self) -> i64 {
        self.stamp.map_or(0, |s| s.revision)
    }

    /// Those that are believed to be there, and how many of them the store has no more.
    pub fn known(&self) -> (usize, usize) {
        (
            self.entries.len(),
            self.entries
                .values()
                .filter(|e| e.held_since.is_some())
                .count(),
        )
    }

    pub fn rows(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().map(|e| &e.row)
    }

    /// The revision that a watch wanted is compacted away.
    pub fn compacted(&mut self) {
        self.stale = true;
    }

    /// A sign of life: nothing has changed up to this revision.
    pub fn progressed(&mut self, now: f64, stamp: StoreRevision) {
        self.heard_at = now;
        // Guards against a store that was set back and has caught up since, which no revision tells.
        self.stale |= now - self.listed_at > LIST_INTERVAL;
        match &mut self.stamp {
            Some(known) if known.cluster == stamp.cluster && known.revision <= stamp.revision => {
                known.revision = stamp.revision;
            }
            // Another store answers, or one that was set back: its list comes before its word.
            _ => self.stale = true,
        }
    }

    /// An executor has answered a dispatch or an order.
    pub fn answered(&mut self, now: f64, executor: &ExecutorId) {
        self.answered.insert(at(executor), now);
    }

    /// A connection to it failed: one that the store has no more, and that is not there, is gone.
    pub fn failed(&mut self, executor: &ExecutorId) -> EndpointUpdate {
        let key = self
            .entries
            .iter()
            .find(|(_, e)| e.row.executor == *executor && e.held_since.is_some());
        let key = key.map(|(key, _)| key.clone())?;
        let entry = self.entries.remove(&key)?;
        Some((EndpointUpdateKind::Delta, vec![gone(&entry.row)]))
    }

    fn read(&mut self, change: &Change, read: &EntryReader) -> Option<Endpoint> {
        match read(change.key, change.value?) {
            Ok(row) => {
                self.faults.remove(change.key);
                Some(row)
            }
            Err(why) => {
                if self.faults.len() < MOST_FAULTS {
                    self.faults.insert(change.key.to_vec(), why);
                }
                None
            }
        }
    }

    /// Puts an entry in; what is new about it.
    fn put(&mut self, change: &Change, stated: Endpoint, rows: &mut Vec<Endpoint>) {
        let marked = self.marks.contains(change.key) && stated.state == EndpointState::Ready;
        let standing = if marked {
            EndpointState::Draining
        } else {
            stated.state
        };
        let row = Endpoint {
            state: standing,
            ..stated.clone()
        };
        match row.state {
            EndpointState::Draining => {
                self.drained.insert(change.key.to_vec(), row.started_at);
            }
            // Its drain was withdrawn; that of a start before stays known.
            EndpointState::Ready
                if self
                    .drained
                    .get(change.key)
                    .is_some_and(|s| *s >= row.started_at) =>
            {
                self.drained.remove(change.key);
            }
            EndpointState::Ready => {}
            EndpointState::Gone => {}
        }
        while self.drained.len() > MOST_DRAINED {
            self.drained.pop_first();
        }
        let before = self.entries.get(change.key);
        // The same address as another executor: the one before is gone first.
        if let Some(before) = before.filter(|b| b.row.executor != row.executor) {
            rows.push(gone(&before.row));
        }
        if before.is_none_or(|b| b.row != row) {
            rows.push(row.clone());
        }
        let (created, modified) = (change.created, change.modified);
        let entry = Entry {
            row,
            stated,
            created,
            modified,
            held_since: None,
        };
        self.entries.insert(change.key.to_vec(), entry);
    }

    /// Entries that the store has no more: gone at once, or held where there are many.
    fn remove(&mut self, now: f64, keys: Vec<Vec<u8>>, doubted: bool, rows: &mut Vec<Endpoint>) {
        while self.vanished.front().is_some_and(|&t| t < now - TOGETHER) {
            self.vanished.pop_front();
        }
        let known = self.entries.len() + self.vanished.len();
        // One that was told to drain was to go.
        let sudden = |e: &Entry| e.row.state == EndpointState::Ready && e.held_since.is_none();
        let count = keys
            .iter()
            .filter(|k| self.entries.get(*k).is_some_and(sudden))
            .count();
        let together = self.vanished.len() + count;
        let many = together > MANY_LEAST && together as f64 > MANY * known as f64;
        self.vanished.extend(std::iter::repeat_n(now, count));
        for key in keys {
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if (many || doubted) && entry.row.state == EndpointState::Ready {
                entry.held_since.get_or_insert(now);
                continue;
            }
            rows.push(gone(&entry.row));
            self.entries.remove(&key);
        }
    }

    /// A whole list, at one revision.
    pub fn listed(
        &mut self,
        now: f64,
        stamp: StoreRevision,
        list: &[Change],
        read: &EntryReader,
    ) -> EndpointUpdate {
        self.heard_at = now;
        self.relists += u64::from(self.listed);
        let back = self
            .stamp
            .is_some_and(|s| s.cluster != stamp.cluster || s.revision > stamp.revision);
        self.went_back += u64::from(back);
        (self.stamp, self.stale, self.listed_at) = (Some(stamp), false, now);
        let mut rows = vec![];
        self.marks = list
            .iter()
            .filter_map(|c| marked(c.key))
            .map(<[u8]>::to_vec)
            .collect();
        for change in list.iter().filter(|c| marked(c.key).is_none()) {
            let Some(row) = self.read(change, read) else {
                continue;
            };
            // Guards what was told to drain against a store that was set back to before that: the same start of the
            // same executor does not become ready by it.
            let drained = self
                .drained
                .get(change.key)
                .is_some_and(|since| *since >= row.started_at);
            if back && row.state == EndpointState::Ready && drained {
                let row = Endpoint {
                    state: EndpointState::Draining,
                    ..row
                };
                self.put(change, row, &mut rows);
                continue;
            }
            let before = self.entries.get(change.key);
            let older =
                before.is_some_and(|b| b.created == change.created && b.modified > change.modified);
            if back || !older {
                self.put(change, row, &mut rows);
            }
        }
        let listed: BTreeSet<&[u8]> = list.iter().map(|c| c.key).collect();
        let missing: Vec<Vec<u8>> = self
            .entries
            .keys()
            .filter(|k| !listed.contains(k.as_slice()))
            .cloned()
            .collect();
        self.remove(now, missing, back, &mut rows);
        if !std::mem::replace(&mut self.listed, true) {
            let all = self.entries.values().map(|e| e.row.clone()).collect();
            return Some((EndpointUpdateKind::Full, all));
        }
        (!rows.is_empty()).then_some((EndpointUpdateKind::Delta, rows))
    }

    /// What a watch told, up to and with a revision. What was told before is let pass.
    pub fn changed(
        &mut self,
        now: f64,
        stamp: StoreRevision,
        changes: &[Change],
        read: &EntryReader,
    ) -> EndpointUpdate {
        let Some(known) = self.stamp.filter(|s| s.cluster == stamp.cluster) else {
            self.stale = true;
            return None;
        };
        self.heard_at = now;
        let (mut rows, mut removed) = (vec![], vec![]);
        for change in changes.iter().filter(|c| c.modified > known.revision) {
            if let Some(key) = marked(change.key) {
                match change.value {
                    Some(_) => self.marks.insert(key.to_vec()),
                    None => self.marks.remove(key),
                };
                // What is deleted already in this answer stays so.
                if let Some(entry) = self.entries.get(key).filter(|e| e.held_since.is_none()) {
                    let (created, modified) = (entry.created, entry.modified);
                    let again = Change {
                        key,
                        value: None,
                        created,
                        modified,
                    };
                    let stated = entry.stated.clone();
                    self.put(&again, stated, &mut rows);
                }
                continue;
            }
            match change.value {
                None => removed.push(change.key.to_vec()),
                Some(_) => {
                    // What was deleted and put again within one answer is another executor.
                    if let Some(n) = removed.iter().position(|k| k == change.key) {
                        let key = removed.swap_remove(n);
                        self.remove(now, vec![key], false, &mut rows);
                    }
                    if let Some(row) = self.read(change, read) {
                        self.put(change, row, &mut rows);
                    }
                }
            }
        }
        self.remove(now, removed, false, &mut rows);
        self.stamp = Some(StoreRevision {
            revision: known.revision.max(stamp.revision),
            ..stamp
        });
        (!rows.is_empty()).then_some((EndpointUpdateKind::Delta, rows))
    }

    /// What is held goes once nothing has been heard of it for long enough. While the store itself is silent nothing
    /// more is concluded from it.
    pub fn turn(&mut self, now: f64) -> EndpointUpdate {
        let silent = self.age(now) > HELD;
        let over = |e: &Entry| {
            let since = e.held_since?;
            let heard = self
                .answered
                .get(&at(&e.row.executor))
                .copied()
                .unwrap_or(f64::NEG_INFINITY);
            (now > since.max(heard) + HELD && !silent).then_some(())
        };
        let keys: Vec<Vec<u8>> = self
            .entries
            .iter()
            .filter(|(_, e)| over(e).is_some())
            .map(|(k, _)| k.clone())
            .collect();
        let rows: Vec<Endpoint> = keys
            .iter()
            .filter_map(|k| self.entries.remove(k))
            .map(|e| gone(&e.row))
            .collect();
        self.answered.retain(|_, t| now - *t < 10.0 * HELD);
        (!rows.is_empty()).then_some((EndpointUpdateKind::Delta, rows))
    }
}
