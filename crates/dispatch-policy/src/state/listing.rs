//! What a list of executors changes in the fleet.

use super::fleet::{WarmCount, put};
use super::groups::Groups;
use super::{DecayingSum, Fleet, Pause};
use crate::interface::{DeduplicationScope, Endpoint, EndpointState};
use std::collections::VecDeque;

impl Fleet {
    /// The index of a roster row's executor, which is added where it is new. An id that now stands somewhere
    /// else is another executor's; it is as cold and doubtful as the first, and what went there weighs on.
    fn index_of(&mut self, row: &Endpoint, now: f64) -> usize {
        let place = (row.zone, usize::from(row.kind), row.cell);
        let known = self.index.get(&row.executor).copied();
        if let Some(x) = known.filter(|&x| (self.zone[x], self.kind[x], self.cell[x]) == place) {
            return x;
        }
        let x = self.free.pop().unwrap_or(self.ids.len());
        self.index.insert(row.executor, x);
        put(&mut self.ids, x, row.executor);
        put(&mut self.zone, x, row.zone);
        put(&mut self.kind, x, usize::from(row.kind));
        put(&mut self.cell, x, row.cell);
        put(&mut self.ready, x, false);
        put(&mut self.weight, x, 1.0);
        put(&mut self.since, x, f64::NEG_INFINITY);
        put(&mut self.out, x, vec![]);
        put(&mut self.heard, x, f64::NEG_INFINITY);
        put(&mut self.broke_at, x, f64::NEG_INFINITY);
        put(&mut self.turned_away, x, 0);
        put(&mut self.resting, x, true);
        put(&mut self.paused, x, Pause::default());
        put(&mut self.backlog, x, (0.0, f64::NEG_INFINITY));
        put(&mut self.answers, x, VecDeque::new());
        put(&mut self.suspect, x, false);
        self.is_judged.resize(self.ids.len(), false);
        put(&mut self.trial_at, x, 0.0);
        put(&mut self.sent, x, VecDeque::new());
        put(&mut self.gone_at, x, f64::INFINITY);
        if let Some(first) = known {
            (self.ready[first], self.gone_at[first]) = (false, now);
            (self.since[x], self.broke_at[x]) = (self.since[first], self.broke_at[first]);
            self.sent[x] = self.sent[first].clone();
            self.broken.push(x);
        }
        self.carried.resize(
            self.carried.len().max(self.kind[x] + 1),
            DecayingSum::default(),
        );
        self.fellows
            .resize(self.carried.len(), DecayingSum::default());
        self.warm.resize(self.carried.len(), WarmCount::default());
        x
    }

    /// Enters roster rows, and tells of which executors all that was known is void: those that restarted,
    /// drain or are gone. A full list leaves out what is gone.
    pub fn list(&mut self, now: f64, full: bool, rows: &[Endpoint]) -> Vec<usize> {
        let before = self.ready.clone();
        let mut reweighed = false;
        if full {
            self.ready.fill(false);
            self.gone_at.iter_mut().for_each(|at| *at = at.min(now));
        }
        let mut void = vec![];
        for row in rows {
            let x = self.index_of(row, now);
            self.ready[x] = row.state == EndpointState::Ready;
            self.gone_at[x] = if row.state == EndpointState::Gone {
                now
            } else {
                f64::INFINITY
            };
            let weight = if row.weight > 0.0 && row.weight.is_finite() {
                row.weight
            } else {
                1.0
            };
            reweighed |= weight != self.weight[x];
            self.weight[x] = weight;
            if row.started_at > self.since[x] {
                self.since[x] = row.started_at;
                void.push(x);
            }
        }
        void.extend((0..before.len()).filter(|&x| before[x] && !self.ready[x]));
        let changed =
            reweighed || self.ready[..before.len()] != before || self.ready.len() > before.len();
        if changed {
            self.update_ready();
            self.update_ranked();
        }
        if changed || !void.is_empty() {
            // Every load may be another one: what was known of changes is of no use.
            self.forgotten_changes = self.changes() + 1;
            self.changed.clear();
            self.recount_cold();
        }
        void
    }

    /// Collects the ready executors by group, after a change of them.
    fn update_ready(&mut self) {
        self.ready_in_all = self.all().filter(|&x| self.ready[x]).collect();
        self.ready_count = self.ready_in_all.len();
        self.ready_in_region = self
            .ready_in_all
            .iter()
            .copied()
            .filter(|&x| self.in_region(x))
            .collect();
        self.ready_in_zone = Groups::new(&self.ready_in_all, |x| usize::from(self.zone[x]));
        self.ready_in_cell = Groups::new(&self.ready_in_all, |x| usize::from(self.cell[x]));
    }

    /// Takes every ready executor for cold until it is looked at.
    pub(super) fn recount_cold(&mut self) {
        self.all_warm = false;
        self.warm.fill(WarmCount {
            due: f64::NEG_INFINITY,
            ..WarmCount::default()
        });
        for &x in &self.ready_in_all {
            let count = &mut self.warm[self.kind[x]];
            count.ready += 1;
            count.cold.push(x);
        }
    }

    /// The ready executors of the group that one is in, or all of them.
    pub fn ready_in(&self, group: DeduplicationScope, member: Option<usize>) -> &[usize] {
        match (group, member) {
            (DeduplicationScope::All, _) | (_, None) => &self.ready_in_all,
            (DeduplicationScope::Zone, Some(x)) => self.ready_in_zone.members(self.zone[x].into()),
            (DeduplicationScope::Cell, Some(x)) => self.ready_in_cell.members(self.cell[x].into()),
        }
    }

    /// Those that are in no list since a moment, with nothing out there.
    pub fn departed(&self, since: f64) -> Vec<usize> {
        let gone = |&x: &usize| self.gone_at[x].is_finite() && self.gone_at[x] < since;
        self.all()
            .filter(gone)
            .filter(|&x| self.out[x].is_empty())
            .collect()
    }

    /// Drops an executor; its index is another's from then on.
    pub fn release(&mut self, x: usize) {
        if self.index.get(&self.ids[x]) == Some(&x) {
            self.index.remove(&self.ids[x]);
        }
        self.gone_at[x] = f64::NEG_INFINITY;
        self.free.push(x);
    }

    /// Voids what was heard of an executor. What is out there still counts, and so does what was sent.
    pub fn forget(&mut self, x: usize) {
        self.note_backlog(x, 0.0, f64::NEG_INFINITY);
        (self.paused[x], self.turned_away[x]) = (Pause::default(), 0);
        self.answers[x].clear();
        self.suspect[x] = false;
    }
}
