//! When each change came into force at each front end, judged by what its calls see and not by what it reports.

use orchidtally_config_sync::View;
use orchidtally_config_sync::schema::GatewayEntry;
use std::collections::BTreeMap;
use std::time::Instant;

/// A change that was written.
#[derive(Clone, Debug)]
struct Change {
    key: String,
    document: Vec<u8>,
    revision: i64,
    written_at: Instant,
    /// Front ends that don't have it yet.
    missing: Vec<bool>,
    missing_count: usize,
}

/// All changes of a run.
#[derive(Debug)]
pub struct Tracker {
    front_ends: usize,
    /// By number, those that are missing somewhere.
    open: BTreeMap<u64, Change>,
    /// The newest of each key that is in force everywhere.
    closed: BTreeMap<String, Change>,
    next: u64,
    /// The longest time until a change was in force, by front end, since the last [`Tracker::take_slowest`].
    slowest: Vec<f64>,
    /// Changes that were written.
    pub written: u64,
    /// Changes that are in force at all front ends.
    pub in_force_everywhere: u64,
}

/// A change that a front end doesn't have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Missing {
    /// Index of the front end.
    pub front_end: usize,
    /// Key of the changed entry.
    pub key: String,
    /// Revision of the change.
    pub revision: i64,
}

impl Tracker {
    /// Creates a tracker for a number of front ends, without changes.
    pub fn new(front_ends: usize) -> Tracker {
        Tracker {
            front_ends,
            open: BTreeMap::new(),
            closed: BTreeMap::new(),
            next: 0,
            slowest: vec![0.0; front_ends],
            written: 0,
            in_force_everywhere: 0,
        }
    }

    /// A change was written, to be in force at all front ends. Its time counts from before the write.
    pub fn written(
        &mut self,
        key: &str,
        document: &[u8],
        revision: i64,
        written_at: Instant,
    ) -> u64 {
        let number = self.next;
        self.next += 1;
        self.written += 1;
        let change = Change {
            key: key.into(),
            document: document.into(),
            revision,
            written_at,
            missing: vec![true; self.front_ends],
            missing_count: self.front_ends,
        };
        self.open.insert(number, change);
        number
    }

    /// A front end's calls see this view now.
    pub fn applied(&mut self, front_end: usize, view: &View<GatewayEntry>) {
        self.applied_since(0, front_end, view);
    }

    /// The same for changes from this number on.
    pub fn applied_since(&mut self, first: u64, front_end: usize, view: &View<GatewayEntry>) {
        let mut finished = vec![];
        let revision = view.revision();
        let is_due = |change: &Change| change.missing[front_end] && change.revision <= revision;
        for (&number, change) in self
            .open
            .range_mut(first..)
            .filter(|(_, change)| is_due(change))
        {
            let known = view.get(&change.key);
            if known.is_none_or(|record| record.document[..] != change.document[..]) {
                continue;
            }
            let took = change.written_at.elapsed().as_secs_f64();
            self.slowest[front_end] = self.slowest[front_end].max(took);
            change.missing[front_end] = false;
            change.missing_count -= 1;
            if change.missing_count == 0 {
                finished.push(number);
            }
        }
        self.in_force_everywhere += finished.len() as u64;
        for number in finished {
            if let Some(change) = self.open.remove(&number) {
                self.close(change);
            }
        }
    }

    fn close(&mut self, change: Change) {
        let newer = self
            .closed
            .get(&change.key)
            .is_some_and(|known| known.revision > change.revision);
        if !newer {
            self.closed.insert(change.key.clone(), change);
        }
    }

    /// A front end restarts from an old snapshot: it has none of the changes, and its time counts from now.
    pub fn forget(&mut self, front_end: usize) {
        let now = Instant::now();
        let closed = std::mem::take(&mut self.closed);
        for mut change in closed.into_values() {
            change.written_at = now;
            self.open.insert(self.next, change);
            self.next += 1;
        }
        for change in self
            .open
            .values_mut()
            .filter(|change| !change.missing[front_end])
        {
            change.missing[front_end] = true;
            change.missing_count += 1;
        }
    }

    /// The longest time until a change was in force at some front ends, since the last time that it was asked.
    pub fn take_slowest(&mut self) -> f64 {
        let slowest = self.slowest.iter().copied().fold(0.0, f64::max);
        self.slowest.fill(0.0);
        slowest
    }

    /// Whether some front ends have all changes.
    pub fn is_in_force(&self, of: impl Fn(usize) -> bool) -> bool {
        self.open
            .values()
            .all(|change| !(0..self.front_ends).any(|n| of(n) && change.missing[n]))
    }

    /// Changes that are missing at a front end, at most `most` of them.
    pub fn missing(&self, most: usize) -> Vec<Missing> {
        let of = |change: &Change| -> Vec<Missing> {
            let front_ends = (0..self.front_ends).filter(|&n| change.missing[n]);
            front_ends
                .map(|front_end| Missing {
                    front_end,
                    key: change.key.clone(),
                    revision: change.revision,
                })
                .collect()
        };
        self.open.values().flat_map(of).take(most).collect()
    }

    /// Front ends that have not got all changes.
    pub fn missing_front_ends(&self) -> usize {
        (0..self.front_ends)
            .filter(|&n| self.open.values().any(|change| change.missing[n]))
            .count()
    }
}
