//! Which members follow a leader: members that run, regions that can't reach each other, the quorum rule, and what a
//! member without a leader still knows. A value; times are in seconds of the caller's clock.

use super::store::{Store, View};
use std::collections::BTreeSet;

/// A region's number; members and clients have one.
pub type Region = u32;

#[derive(Debug)]
struct Member {
    region: Region,
    is_running: bool,
    /// What it knew when it lost its leader; none while it follows one.
    stale_view: Option<View>,
}

#[derive(Debug)]
pub(super) struct Cluster {
    members: Vec<Member>,
    /// Pairs of regions that can't reach each other, the lower number first.
    cuts: BTreeSet<(Region, Region)>,
    leader: Option<usize>,
    /// The raft term: grows with every election.
    term: u64,
    /// When the leader acts: its election takes time.
    leads_from: f64,
}

impl Cluster {
    /// A member in each of the regions named; the first one leads at once.
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
            leads_from: f64::NEG_INFINITY,
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

    /// Whether a member reaches a leader that has a majority, and that is elected.
    pub fn has_leader(&self, member: usize, now: f64) -> bool {
        now >= self.leads_from && self.follows(member)
    }

    /// Whether some leader can commit now.
    pub fn can_commit(&self, now: f64) -> bool {
        self.leader.is_some() && now >= self.leads_from
    }

    /// What a member knows. A store that was set back by a restore is so for its stale members too.
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

    /// Draws the consequences of members that stopped or started, and of cuts: a leader that still has a majority
    /// stays, else the first member that can have one is elected, which takes `election_time`. A member that finds
    /// a leader again has its state at once, as from a snapshot.
    pub fn update(&mut self, now: f64, store: &mut Store, election_time: f64) {
        if !self.leader.is_some_and(|leader| self.has_majority(leader)) {
            self.leader = (0..self.members.len()).find(|&m| self.has_majority(m));
            if self.leader.is_some() {
                self.term += 1;
                self.leads_from = now + election_time;
                // A new leader doesn't know when leases were renewed last.
                store.leases.extend_all(self.leads_from);
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
        // What a stale member has not heard to be compacted can still be read there.
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
