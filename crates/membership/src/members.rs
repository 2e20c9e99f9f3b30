//! By how many front ends what is to be shared is shared. Views of the count differ while front ends come and go;
//! the shares of all that live never add up to more than one.
//!
//! A front end counts with the most that it has seen within the time in which views may differ, and has no share of
//! its own until all others must have seen it. One whose lease may have expired has none either: others may count
//! without it.

use std::collections::{BTreeSet, VecDeque};

/// What views may differ by, in seconds: how late a change is seen, at the most, by a front end that counts by its
/// view.
pub const MAX_VIEW_DELAY: f64 = 3.0;
/// A view that was not renewed for so long is none.
const NO_VIEW: f64 = MAX_VIEW_DELAY;

#[derive(Clone, Debug, Default)]
pub struct Members {
    /// The deployment's figure, for when the store is away.
    stated: u32,
    /// Counts seen, with the time until which each may still be another's.
    seen: VecDeque<(f64, u32)>,
    seen_at: Option<f64>,
    /// The most ever seen.
    most: u32,
    /// Its own entry: the index, and since when it stands there.
    own: Option<(u32, f64)>,
    lease_until: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipEstimate {
    /// Front ends to share by.
    pub count: u32,
    /// Its own index; none while it owns none.
    pub index: Option<u32>,
    /// Whether it may take its share of what all share strictly: the budgets of cold executors.
    pub shares: bool,
}

impl Members {
    pub fn new(stated: u32) -> Members {
        Members {
            stated,
            most: stated,
            ..Members::default()
        }
    }

    /// The index to claim, where these are taken: the lowest free one, or after claims that were lost one of the lowest
    /// few by a draw, twice as many each time, so that many that start together don't all try for one.
    pub fn wanted(taken: &BTreeSet<u32>, draw: f64, lost: u32) -> u32 {
        let free = (0..).filter(|n| !taken.contains(n));
        let among = 1u32 << lost.min(8);
        let skip = (draw.clamp(0.0, 0.999) * f64::from(among)) as usize;
        free.skip(skip).map(|n: u32| n).next().unwrap_or(0)
    }

    /// The store took its claim.
    pub fn owns(&mut self, now: f64, index: u32, lease: f64) {
        self.own = Some((index, now));
        self.lease_until = now + lease;
    }

    /// The lease was renewed by an exchange that began at `began`: it holds from then on.
    pub fn renewed(&mut self, began: f64, lease: f64) {
        self.lease_until = self.lease_until.max(began + lease);
    }

    /// The store says that its entry is not there, or another's.
    pub fn disowned(&mut self) {
        self.own = None;
    }

    /// The front ends in the store, as of a moment no earlier than `at`: their indices.
    pub fn saw(&mut self, at: f64, indices: impl IntoIterator<Item = u32>) {
        let indices: BTreeSet<u32> = indices.into_iter().collect();
        // Indices have holes; a rota goes by the greatest.
        let count = indices.last().map_or(0, |last| last + 1);
        self.most = self.most.max(count);
        self.seen_at = Some(self.seen_at.map_or(at, |before: f64| before.max(at)));
        self.seen.push_back((at, count));
        while self.seen.len() > 1 && self.seen[1].0 <= at - 2.0 * MAX_VIEW_DELAY {
            self.seen.pop_front();
        }
    }

    pub fn figure(&self, now: f64) -> MembershipEstimate {
        let index = self.own.map(|own| own.0);
        let holds = now < self.lease_until;
        // Others count it once they have seen it.
        let known = self.own.is_some_and(|own| now >= own.1 + MAX_VIEW_DELAY) && holds;
        let current = self.seen_at.is_some_and(|at| now - at <= NO_VIEW);
        let lately = self.seen.iter().map(|s| s.1).max().unwrap_or(0);
        let own = index.map_or(0, |i| i + 1);
        let count = if current {
            lately
        } else {
            self.most.max(self.stated)
        };
        // Each that shares has been in the store for as long as a view may be old, and is there still: all of them
        // are in this view. Without one nobody can say by how many to share.
        MembershipEstimate {
            count: count.max(own).max(1),
            index,
            shares: known && current,
        }
    }
}
