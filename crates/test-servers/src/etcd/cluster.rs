//! The cluster's membership and leadership: which members run, which regions are partitioned, who leads with a
//! majority, and the view that a member without a leader still has. Does no I/O; times are
//! in seconds on the caller's clock.

use super::store::{Store, View};
use std::collections::BTreeSet;

/// The number of a region. Each member and each client belongs to one region.
pub type Region = u32;

#[derive(Debug)]
struct Member {
    region: Region,
    is_running: bool,
    /// The view at the time when the member lost its leader; `None` while it follows one.
    stale_view: Option<View>,
}

#[derive(Debug)]
pub(super) struct Cluster {
    members: Vec<Member>,
    /// Pairs of regions that can't reach each other, with the lower number first.
    cuts: BTreeSet<(Region, Region)>,
    leader: Option<usize>,
    /// The Raft term, which increases with every election.
    term: u64,
    /// When the current leader's election completes; it can't commit before.
    elected_at: f64,
}

impl Cluster {
    /// Creates a cluster with one member per entry of `regions`. The first member is the leader from the start.
    pub fn new(regions: &[Region]) -> Cluster {
        let member = |&region| Member {
            region,
            is_running: true,
            stale_view: None,
        };
        let members = regions.iter().map(member).collect();
        Cluster {
            members,
            cuts: BTreeSet::new(),
            leader: Some(0),
            term: 1,
            elected_at: f64::NEG_INFINITY,
        }
    }

    pub fn regions(&self) -> BTreeSet<Region> {
        self.members.iter().map(|m| m.region).collect()
    }

    pub fn region(&self, member: usize) -> Region {
        self.members[member].region
    }

    pub fn is_running(&self, member: usize) -> bool {
        self.members[member].is_running
    }

    pub fn set_running(&mut self, member: usize, is_running: bool) {
        self.members[member].is_running = is_running;
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.members.len())
            .filter(|&m| self.is_running(m))
            .collect()
    }

    pub fn is_cut(&self, a: Region, b: Region) -> bool {
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    pub fn cut(&mut self, a: Region, b: Region) {
        if a != b {
            self.cuts.insert((a.min(b), a.max(b)));
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    /// Whether the member reaches a leader that has a majority and whose election is complete.
    pub fn has_leader(&self, member: usize, now: f64) -> bool {
        now >= self.elected_at && self.follows(member)
    }

    /// Whether the cluster has a leader that can commit at `now`.
    pub fn can_commit(&self, now: f64) -> bool {
        self.leader.is_some() && now >= self.elected_at
    }

    /// The member's view of the store. A stale view never exceeds the store's revision, which a restore
    /// may have lowered.
    pub fn view(&self, member: usize, store: &Store) -> View {
        let newest = store.view();
        match self.members[member].stale_view {
            Some(view) => View {
                revision: view.revision.min(newest.revision),
                ..view
            },
            None => newest,
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let both_run = self.members[a].is_running && self.members[b].is_running;
        both_run && !self.is_cut(self.members[a].region, self.members[b].region)
    }

    fn follows(&self, member: usize) -> bool {
        self.leader
            .is_some_and(|leader| self.reaches(leader, member))
    }

    fn has_majority(&self, candidate: usize) -> bool {
        let reached = (0..self.members.len())
            .filter(|&m| self.reaches(candidate, m))
            .count();
        2 * reached > self.members.len()
    }

    /// Recomputes leadership and views after a member stopped or started or a partition changed. A leader that still
    /// has a majority stays; otherwise the first member with a majority is elected, which takes `election_time`
    /// seconds. A member that reaches a leader again has the leader's state at once, as after a snapshot transfer.
    pub fn update(&mut self, now: f64, store: &mut Store, election_time: f64) {
        if !self.leader.is_some_and(|leader| self.has_majority(leader)) {
            self.leader = (0..self.members.len()).find(|&m| self.has_majority(m));
            if self.leader.is_some() {
                self.term += 1;
                self.elected_at = now + election_time;
                // A new leader doesn't know when the leases were last renewed, so it gives each its full time to live.
                store.leases.extend_all(self.elected_at);
            }
        }
        for member in 0..self.members.len() {
            let follows = self.follows(member);
            let stale_view = &mut self.members[member].stale_view;
            if follows {
                *stale_view = None;
            } else {
                stale_view.get_or_insert(store.view());
            }
        }
        // A stale member that missed a compaction still serves reads of the compacted revisions.
        store.pin(
            self.members
                .iter()
                .filter_map(|m| m.stale_view)
                .map(|v| v.compacted)
                .min(),
        );
        store.notify();
    }
}
