//! Adopts the state that a coordinator published.

use super::TrafficSplit;
use super::local::LocalRollout;
use crate::state::{Epoch, PublishedState, Rollout};
use orchidtally_deployment::Function;

impl TrafficSplit {
    /// Records an epoch without adopting its state.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        self.newest_epoch = self.newest_epoch.max(epoch);
    }

    /// Adopts a published state, unless it is older than the known one. Returns the runs that it rolls back. `find`
    /// looks functions up in the deployment.
    pub fn adopt(
        &mut self,
        now: f64,
        published: PublishedState,
        find: impl Fn(&str) -> Option<Function>,
    ) -> Vec<u64> {
        self.last_contact_at = now;
        self.observe_epoch(published.epoch);
        if !published.is_newer_than(&self.published) {
            return vec![];
        }
        let mut rolled_back = vec![];
        for rollout in published.rollouts.values() {
            if !is_superseded(rollout, &published) {
                rolled_back.extend(self.adopt_rollout(now, rollout, &find));
            }
        }
        let is_published = |local: &LocalRollout| {
            published
                .rollouts
                .values()
                .any(|r| r.run == local.rollout.run)
        };
        self.rollouts.retain(|_, local| is_published(local));
        self.published = published;
        rolled_back
    }

    /// Adopts the state of one rollout; returns the runs that it rolls back.
    fn adopt_rollout(
        &mut self,
        now: f64,
        rollout: &Rollout,
        find: &impl Fn(&str) -> Option<Function>,
    ) -> Vec<u64> {
        let function = &rollout.plan.function;
        let before = self.rollouts.get(function);
        if before.is_some_and(|local| local.rollout == *rollout) {
            return vec![];
        }
        let mut rolled_back = vec![];
        let is_same_run = before.is_some_and(|local| local.rollout.run == rollout.run);
        if !is_same_run {
            let replaced = before.filter(|local| local.effective_step().is_some());
            rolled_back.extend(replaced.map(|local| local.rollout.run));
            let local = LocalRollout::new(rollout.clone(), find(function), now);
            self.rollouts.insert(function.clone(), local);
        }
        let index = f64::from(self.front_end.index);
        let Some(local) = self.rollouts.get_mut(function) else {
            return rolled_back;
        };
        let (step_before, step) = (local.rollout.active_step(), rollout.active_step());
        local.rollout = rollout.clone();
        if step != step_before || !is_same_run {
            local.begin_step();
            // Front ends send load commands one after the other, at the planned rate.
            local.next_load_at = now + index / rollout.plan.loads_per_second;
        }
        match step {
            None => {
                if local.applied_step.take().is_some() {
                    rolled_back.push(rollout.run);
                }
            }
            // An earlier step applies at once, a later one once there are replicas for it.
            Some(step) => local.applied_step = local.applied_step.map(|applied| applied.min(step)),
        }
        rolled_back
    }
}

/// Returns whether another rollout of the function is in progress after this one has ended.
fn is_superseded(rollout: &Rollout, published: &PublishedState) -> bool {
    let is_successor = |other: &Rollout| {
        other.plan.function == rollout.plan.function
            && !other.phase.has_ended()
            && other.run != rollout.run
    };
    rollout.phase.has_ended() && published.rollouts.values().any(is_successor)
}
