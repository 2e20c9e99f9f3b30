//! How a front end takes what a coordinator published.

use super::TrafficSplit;
use super::local::LocalRollout;
use crate::state::{Epoch, Published, Rollout};
use orchidtally_deployment::Function;

impl TrafficSplit {
    /// An epoch that was heard of otherwise.
    pub fn heard_of(&mut self, epoch: Epoch) {
        self.newest_epoch = self.newest_epoch.max(epoch);
    }

    /// Takes what a coordinator published, unless it is older than what is known. Returns the runs that were taken
    /// back by it. `find` looks functions up in the deployment.
    pub fn adopt(
        &mut self,
        now: f64,
        published: Published,
        find: impl Fn(&str) -> Option<Function>,
    ) -> Vec<u64> {
        self.heard_at = now;
        self.heard_of(published.epoch);
        if !published.is_newer_than(&self.published) {
            return vec![];
        }
        let mut taken_back = vec![];
        for rollout in published.rollouts.values() {
            if !is_superseded(rollout, &published) {
                taken_back.extend(self.adopt_rollout(now, rollout, &find));
            }
        }
        let is_published = |local: &LocalRollout| {
            published
                .rollouts
                .values()
                .any(|r| r.run == local.rollout.run)
        };
        self.locals.retain(|_, local| is_published(local));
        self.published = published;
        taken_back
    }

    /// Takes one rollout; returns the runs that were taken back by it.
    fn adopt_rollout(
        &mut self,
        now: f64,
        rollout: &Rollout,
        find: &impl Fn(&str) -> Option<Function>,
    ) -> Vec<u64> {
        let function = &rollout.plan.function;
        let before = self.locals.get(function);
        if before.is_some_and(|local| local.rollout == *rollout) {
            return vec![];
        }
        let mut taken_back = vec![];
        let is_same_run = before.is_some_and(|local| local.rollout.run == rollout.run);
        if !is_same_run {
            let replaced = before.filter(|local| local.step_in_force().is_some());
            taken_back.extend(replaced.map(|local| local.rollout.run));
            let local = LocalRollout::new(rollout.clone(), find(function), now);
            self.locals.insert(function.clone(), local);
        }
        let index = f64::from(self.place.index);
        let Some(local) = self.locals.get_mut(function) else {
            return taken_back;
        };
        let (step_before, step) = (local.rollout.split_at(), rollout.split_at());
        local.rollout = rollout.clone();
        if step != step_before || !is_same_run {
            local.begin_step();
            // Front ends load one after the other.
            local.next_load_at = now + index / rollout.plan.loads_per_second;
        }
        match step {
            None => {
                if local.given.take().is_some() {
                    taken_back.push(rollout.run);
                }
            }
            // It goes back to an earlier step at once, and to a later one when it is ready.
            Some(step) => local.given = local.given.map(|given| given.min(step)),
        }
        taken_back
    }
}

/// Of several rollouts of one function the one that is on counts, otherwise the last that was.
fn is_superseded(rollout: &Rollout, published: &Published) -> bool {
    let is_rival = |other: &Rollout| {
        other.plan.function == rollout.plan.function
            && !other.phase.is_over()
            && other.run != rollout.run
    };
    rollout.phase.is_over() && published.rollouts.values().any(is_rival)
}
