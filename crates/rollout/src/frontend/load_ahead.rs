//! Copies that are loaded, or kept, ahead of invocations.

use super::local::LocalRollout;
use super::{FrontEndLocation, TrafficSplit};
use crate::forecast::copies_for;
use orchidtally_deployment::Version;
use std::cmp::Reverse;

/// Copies of the old version are renewed this often, as a part of the time for which an idle copy stays.
const RENEWAL_SHARE: f64 = 0.4;
/// The least such time, in seconds.
const LEAST_KEEP_ALIVE: f64 = 1.0;

/// Copies to load, or keep, ahead of invocations.
#[derive(Clone, Debug)]
pub struct PrewarmCommand {
    /// The run of the rollout.
    pub run: u64,
    /// The name of the function.
    pub function: String,
    /// The version.
    pub version: Version,
    /// The known copies that are wanted; 0 to see how many are known.
    pub copies: usize,
    /// Whether it is the new version of the rollout.
    pub is_new: bool,
}

struct Due {
    priority: u32,
    ahead: PrewarmCommand,
}

impl LocalRollout {
    /// The copies of the new version to load now. Each front end has its turn in the pace that all of them keep
    /// together.
    fn load_due(&mut self, place: FrontEndLocation, now: f64) -> Option<usize> {
        let step = self
            .rollout
            .split_at()
            .filter(|_| !self.ready && place.orders)?;
        let plan = &self.rollout.plan;
        if let Some(to) = &self.to {
            // Guards a hot function, whose first share fills more than one copy: what the plan states, or what
            // front ends like this one take between them.
            let rate = plan
                .rate
                .unwrap_or(0.0)
                .max(self.rate * f64::from(place.count));
            self.wanted = copies_for(rate, plan.steps[step].share, to) as usize;
        }
        if now < self.next_load_at {
            return Some(0);
        }
        self.next_load_at = now + f64::from(place.count) / plan.loads_per_second;
        Some(self.wanted)
    }

    /// Whether this front end renews the copies of the old version now. They are kept for as long as the rollout
    /// could still be taken back; each front end renews in its turn what all of them draw alike.
    fn is_renewal_due(&mut self, place: FrontEndLocation, now: f64) -> bool {
        if self.rollout.split_at().is_none() || now < self.next_renewal_at || !place.orders {
            return false;
        }
        let interval = RENEWAL_SHARE * place.keep_alive.max(LEAST_KEEP_ALIVE);
        self.next_renewal_at = now + interval;
        let turn = (now / interval) as u64 % u64::from(place.count.max(1));
        turn == u64::from(place.index)
    }
}

impl TrafficSplit {
    /// The copies to order now, the most urgent first. One order is given for each; `prepared` is told what came of
    /// it.
    pub fn ahead(&mut self, now: f64) -> Vec<PrewarmCommand> {
        let place = self.place;
        let mut due: Vec<Due> = vec![];
        for (function, local) in &mut self.locals {
            if local.is_over() || local.took_back.is_some() {
                continue;
            }
            let new_copies = local.load_due(place, now);
            let old_copies = local.is_renewal_due(place, now).then_some(1);
            for (is_new, copies) in [(true, new_copies), (false, old_copies)] {
                let version = if is_new { &local.to } else { &local.from };
                let (Some(copies), Some(version)) = (copies, version) else {
                    continue;
                };
                let ahead = PrewarmCommand {
                    run: local.rollout.run,
                    function: function.clone(),
                    version: version.clone(),
                    copies,
                    is_new,
                };
                due.push(Due {
                    priority: local.rollout.plan.priority,
                    ahead,
                });
            }
        }
        due.sort_by(|a, b| {
            let urgency = |due: &Due| Reverse((due.priority, due.ahead.is_new));
            urgency(a)
                .cmp(&urgency(b))
                .then_with(|| a.ahead.function.cmp(&b.ahead.function))
        });
        due.into_iter().map(|due| due.ahead).collect()
    }

    /// How many copies of a version are known here after `ahead`, and whether an order went out. Where the ration had
    /// none to spare the first invocations load the copy, one placement at a time, in this front end's turn: guards a
    /// rollout against waiting without end where placements take all orders.
    pub fn prepared(&mut self, ahead: &PrewarmCommand, known: usize, ordered: bool) {
        if let Some(local) = self.local_of(ahead.run).filter(|_| ahead.is_new) {
            local.ready |= known >= local.wanted || ahead.copies > 0 && !ordered;
        }
    }
}
