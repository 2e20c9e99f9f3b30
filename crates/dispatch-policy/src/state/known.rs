//! The executors known to hold a function, in the order in which they were last seen to, and a search for the
//! one with the least value among them that does not look at them all.

use super::Fleet;

/// Sets up to this size are searched one by one.
const SMALL: usize = 16;
/// No entry has this place.
const NOWHERE: u32 = u32::MAX;

/// An executor known to hold a function.
#[derive(Clone, Copy)]
pub struct Known {
    pub x: usize,
    /// The moment from which on it is not relied on.
    pub until: f64,
    /// It answered that it has no room for the function.
    pub full: bool,
}

/// What an executor's load is judged by; of several executors, the best of each, so that none of them is less
/// loaded than this.
#[derive(Clone, Copy, PartialEq)]
pub struct Load {
    /// Own dispatches that are out there.
    pub held: f64,
    /// Invocations reported waiting, and when that was told: the first and the last time.
    pub waiting: f64,
    pub earliest: f64,
    pub latest: f64,
    pub weight: f64,
    /// In the front end's own location.
    pub home: bool,
}

impl Load {
    /// Of no executor.
    const NONE: Load = Load {
        held: f64::INFINITY,
        waiting: f64::INFINITY,
        earliest: f64::INFINITY,
        latest: f64::NEG_INFINITY,
        weight: 0.0,
        home: false,
    };

    fn best(&self, other: &Load) -> Load {
        Load {
            held: self.held.min(other.held),
            waiting: self.waiting.min(other.waiting),
            earliest: self.earliest.min(other.earliest),
            latest: self.latest.max(other.latest),
            weight: self.weight.max(other.weight),
            home: self.home || other.home,
        }
    }
}

/// A binary tree over the places of a large set: each node has the best load below it. The root is node 1,
/// the leaf of a place is node `leaves + place`.
struct Tree {
    leaves: usize,
    nodes: Vec<Load>,
    /// The place of each executor, by its index, and until when its entry holds.
    places: Vec<u32>,
    until: Vec<f64>,
    /// The number of the fleet's changes that the loads have in them; `None` before the first refresh.
    seen: Option<u64>,
    /// Executors added since.
    added: Vec<usize>,
}

impl Tree {
    fn set(&mut self, place: usize, load: Load) {
        let mut node = self.leaves + place;
        self.nodes[node] = load;
        while node > 1 {
            node /= 2;
            let best = self.nodes[2 * node].best(&self.nodes[2 * node + 1]);
            if std::mem::replace(&mut self.nodes[node], best) == best {
                break;
            }
        }
    }

    fn place(&self, x: usize) -> Option<usize> {
        self.places
            .get(x)
            .filter(|&&place| place != NOWHERE)
            .map(|&place| place as usize)
    }

    fn put(&mut self, x: usize, place: u32, until: f64) {
        if self.places.len() <= x {
            self.places.resize(x + 1, NOWHERE);
            self.until.resize(x + 1, f64::NEG_INFINITY);
        }
        self.places[x] = place;
        self.until[x] = until;
    }
}

/// Entries by executor, each once.
#[derive(Default)]
pub struct KnownSet {
    /// Removed entries leave a gap until there are too many of them.
    entries: Vec<Option<Known>>,
    count: usize,
    /// For a large set, once it was refreshed.
    tree: Option<Box<Tree>>,
}

impl KnownSet {
    /// Entries, those past their time included.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// In the order in which they were added last.
    pub fn iter(&self) -> impl Iterator<Item = &Known> + Clone {
        self.entries.iter().flatten()
    }

    fn place(&self, x: usize) -> Option<usize> {
        match &self.tree {
            Some(tree) => tree.place(x),
            None => self
                .entries
                .iter()
                .position(|k| k.is_some_and(|k| k.x == x)),
        }
    }

    /// Whether an executor has an entry that holds past a moment.
    pub fn holds_after(&self, x: usize, now: f64) -> bool {
        match &self.tree {
            Some(tree) => tree.until.get(x).is_some_and(|&until| until > now),
            None => self.iter().any(|k| k.x == x && k.until > now),
        }
    }

    /// An executor answered that it has no room for the function.
    pub fn set_full(&mut self, x: usize) {
        if let Some(place) = self.place(x) {
            self.entries[place].iter_mut().for_each(|k| k.full = true);
        }
    }

    /// Adds an entry as the last, in place of the one that the executor had.
    pub fn add(&mut self, x: usize, until: f64) {
        self.remove(x);
        let place = self.entries.len();
        self.entries.push(Some(Known {
            x,
            until,
            full: false,
        }));
        self.count += 1;
        self.tree.take_if(|tree| place >= tree.leaves);
        if let Some(tree) = &mut self.tree {
            tree.put(x, place as u32, until);
            tree.added.push(x);
        }
    }

    /// Drops the entry of an executor, if it has one.
    pub fn remove(&mut self, x: usize) {
        let Some(place) = self.place(x) else { return };
        self.entries[place] = None;
        self.count -= 1;
        if let Some(tree) = &mut self.tree {
            tree.put(x, NOWHERE, f64::NEG_INFINITY);
            tree.set(place, Load::NONE);
        }
        if self.entries.len() >= 2 * self.count + SMALL {
            self.close_gaps();
        }
    }

    /// Drops all entries but those that stay.
    pub fn retain(&mut self, stays: impl Fn(&Known) -> bool) {
        if !self.iter().all(&stays) {
            self.entries.iter_mut().for_each(|k| *k = k.filter(&stays));
            self.close_gaps();
        }
    }

    fn close_gaps(&mut self) {
        self.entries.retain(Option::is_some);
        self.count = self.entries.len();
        self.tree = None;
    }

    /// Takes in what has changed at the executors. It has to be called before a search.
    pub fn refresh(&mut self, fleet: &Fleet) {
        if self.count <= SMALL {
            self.tree = None;
            return;
        }
        let entries = &self.entries;
        let tree = self.tree.get_or_insert_with(|| {
            let leaves = (entries.len() + SMALL).next_power_of_two();
            let nodes = vec![Load::NONE; 2 * leaves];
            let mut tree = Tree {
                leaves,
                nodes,
                places: vec![],
                until: vec![],
                seen: None,
                added: vec![],
            };
            (0..)
                .zip(entries)
                .for_each(|(place, k)| k.iter().for_each(|k| tree.put(k.x, place, k.until)));
            Box::new(tree)
        });
        let changed = tree
            .seen
            .and_then(|seen| fleet.changed_since(seen))
            .filter(|changed| changed.len() < entries.len());
        match changed {
            Some(changed) => {
                let added = std::mem::take(&mut tree.added);
                for x in changed.chain(added) {
                    if let Some(place) = tree.place(x) {
                        tree.set(place, fleet.load(x));
                    }
                }
            }
            None => {
                for (place, k) in entries.iter().enumerate() {
                    tree.nodes[tree.leaves + place] = k.map_or(Load::NONE, |k| fleet.load(k.x));
                }
                for node in (1..tree.leaves).rev() {
                    tree.nodes[node] = tree.nodes[2 * node].best(&tree.nodes[2 * node + 1]);
                }
                tree.added.clear();
            }
        }
        tree.seen = Some(fleet.changes());
    }

    /// The executor with the least value, the first of equal ones; entries without a value are passed over.
    /// `bound` is never above the value of an executor with that load, or of any with loads that it is the
    /// best of.
    pub fn least(
        &self,
        bound: impl Fn(&Load) -> f64,
        value: impl Fn(&Known) -> Option<f64>,
    ) -> Option<usize> {
        let Some(tree) = &self.tree else {
            let values = self.iter().filter_map(|k| Some((value(k)?, k.x)));
            return values.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, x)| x);
        };
        let mut best: Option<(f64, usize)> = None;
        // Nodes to look at, each with its bound and the first of its places; the most promising last.
        let mut nodes = vec![(bound(&tree.nodes[1]), 0, tree.leaves, 1)];
        while let Some((least, first, width, node)) = nodes.pop() {
            if best.is_some_and(|(value, place)| (value, place) <= (least, first))
                || least == f64::INFINITY
            {
                continue;
            }
            if width == 1 {
                let found = self
                    .entries
                    .get(first)
                    .and_then(Option::as_ref)
                    .and_then(&value);
                let found = found.map(|value| (value, first));
                best = found
                    .filter(|found| best.is_none_or(|best| *found < best))
                    .or(best);
                continue;
            }
            let half = width / 2;
            let left = (bound(&tree.nodes[2 * node]), first, half, 2 * node);
            let right = (
                bound(&tree.nodes[2 * node + 1]),
                first + half,
                half,
                2 * node + 1,
            );
            if right.0 < left.0 {
                nodes.extend([left, right])
            } else {
                nodes.extend([right, left])
            }
        }
        best.and_then(|(_, place)| self.entries[place]).map(|k| k.x)
    }
}
