//! The number of front ends among which shared budgets are divided.
//!
//! While front ends join and leave, their views of the count differ. The shares of all live front ends must never add
//! up to more than one. A front end therefore divides by the highest count that it has seen within the time by which
//! views may differ, and takes no share of its own until all others must have seen it. A front end whose lease may
//! have expired takes none either, since others may no longer count it.

use std::collections::{BTreeSet, VecDeque};

/// The time by which views may differ, in seconds: the longest delay until a front end that divides by its view sees a
/// change of the membership.
pub const MAX_VIEW_DELAY: f64 = 3.0;
/// A view is no longer used if it wasn't refreshed for longer than this, in seconds.
const VIEW_EXPIRY: f64 = MAX_VIEW_DELAY;
/// After lost claims, an index is chosen among at most 2 to this power free indices.
const MAX_CLAIM_SPREAD_EXPONENT: u32 = 8;

/// A view of the front ends in the store.
#[derive(Clone, Copy, Debug)]
struct CountView {
    /// The store had these front ends at this time or later.
    at: f64,
    count: u32,
}

/// The index under which a front end has registered itself.
#[derive(Clone, Copy, Debug)]
struct OwnEntry {
    index: u32,
    claimed_at: f64,
}

/// Tracks a front end's own registration and its views of the other front ends.
#[derive(Clone, Debug, Default)]
pub struct MembershipTracker {
    /// The count in the deployment file, used while the store is unreachable.
    configured_count: u32,
    /// Recent views; any of their counts may still be in use by another front end.
    recent_views: VecDeque<CountView>,
    last_view_at: Option<f64>,
    /// The highest count of any view, and of the deployment file.
    highest_count: u32,
    own_entry: Option<OwnEntry>,
    lease_until: f64,
}

/// A front end's estimate of the membership.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipEstimate {
    /// The number of front ends by which to divide; at least 1.
    pub count: u32,
    /// The front end's own index; `None` while it is not registered.
    pub index: Option<u32>,
    /// Whether the front end may use its share of strictly shared budgets: those for executors that are warming up.
    pub has_budget_share: bool,
}

impl MembershipTracker {
    /// Creates the state of a front end that has neither a registration nor a view. `configured_count` is the count in
    /// the deployment file.
    pub fn new(configured_count: u32) -> MembershipTracker {
        MembershipTracker {
            configured_count,
            highest_count: configured_count,
            ..MembershipTracker::default()
        }
    }

    /// The index to claim while the indices `taken` are in use: the lowest free one, or, after lost claims, one of the
    /// lowest few. Their number doubles with each lost claim, so that front ends that start together don't all claim
    /// the same index. `random` is uniform in 0 to 1.
    pub fn choose_index(taken: &BTreeSet<u32>, random: f64, lost_claims: u32) -> u32 {
        let mut free = (0..).filter(|index| !taken.contains(index));
        let candidates = 1u32 << lost_claims.min(MAX_CLAIM_SPREAD_EXPONENT);
        let position = (random.clamp(0.0, 0.999) * f64::from(candidates)) as usize;
        free.nth(position).unwrap_or(0)
    }

    /// Records that the store accepted the claim of `index`, with a lease of `lease` seconds from `now`.
    pub fn on_claimed(&mut self, now: f64, index: u32, lease: f64) {
        self.own_entry = Some(OwnEntry {
            index,
            claimed_at: now,
        });
        self.lease_until = now + lease;
    }

    /// Records that the lease was renewed for `lease` seconds by a request that was sent at `sent_at`, from which on it
    /// counts, since the store may have renewed it as early as then.
    pub fn on_lease_renewed(&mut self, sent_at: f64, lease: f64) {
        self.lease_until = self.lease_until.max(sent_at + lease);
    }

    /// Records that the store no longer has the front end's own entry, or has another front end's in its place.
    pub fn on_entry_lost(&mut self) {
        self.own_entry = None;
    }

    /// Records the indices of the front ends in the store, as of the time `at` or later.
    pub fn record_view(&mut self, at: f64, indices: impl IntoIterator<Item = u32>) {
        // Indices may have gaps, and slots are numbered up to the highest index.
        let count = indices.into_iter().max().map_or(0, |highest| highest + 1);
        self.highest_count = self.highest_count.max(count);
        self.last_view_at = Some(self.last_view_at.map_or(at, |last: f64| last.max(at)));
        self.recent_views.push_back(CountView { at, count });
        let oldest_used = at - 2.0 * MAX_VIEW_DELAY;
        while self.recent_views.len() > 1 && self.recent_views[1].at <= oldest_used {
            self.recent_views.pop_front();
        }
    }

    /// The estimate at `now`, which is conservative if the last view is older than [`MAX_VIEW_DELAY`].
    pub fn estimate(&self, now: f64) -> MembershipEstimate {
        let index = self.own_entry.map(|entry| entry.index);
        let is_view_current = self.last_view_at.is_some_and(|at| now - at <= VIEW_EXPIRY);
        let count = if is_view_current {
            let counts = self.recent_views.iter().map(|view| view.count);
            counts.max().unwrap_or(0)
        } else {
            self.highest_count.max(self.configured_count)
        };
        let count_with_own = index.map_or(0, |index| index + 1);
        // A front end that uses its share has been in the store for at least the age that a view may have, and still
        // is. A current view therefore has all of them; without a current view the divisor is unknown.
        MembershipEstimate {
            count: count.max(count_with_own).max(1),
            index,
            has_budget_share: is_view_current && self.is_seen_by_all(now),
        }
    }

    /// Whether all other front ends must have seen this front end's entry, and its lease can't have expired.
    fn is_seen_by_all(&self, now: f64) -> bool {
        let is_old_enough = self
            .own_entry
            .is_some_and(|entry| now >= entry.claimed_at + MAX_VIEW_DELAY);
        is_old_enough && now < self.lease_until
    }
}
