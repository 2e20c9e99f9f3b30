//! Prewarming: replicas that are loaded or kept alive ahead of invocations.

use super::local::LocalRollout;
use super::{FrontEndInfo, TrafficSplit};
use crate::forecast::replicas_for;
use orchidtally_deployment::Version;
use std::cmp::Reverse;

/// Interval at which replicas of the old version are kept alive, as a fraction of the keep-alive time.
const RENEWAL_SHARE: f64 = 0.4;
/// The shortest keep-alive time that is assumed, in seconds.
const MIN_KEEP_ALIVE: f64 = 1.0;

/// A command to load replicas or keep them alive ahead of invocations.
#[derive(Clone, Debug)]
pub struct PrewarmCommand {
    /// The run of the rollout.
    pub run: u64,
    /// The name of the function.
    pub function: String,
    /// The version.
    pub version: Version,
    /// The number of replicas wanted; 0 only queries how many are known.
    pub replicas: usize,
    /// Whether the version is the new one of the rollout.
    pub is_new: bool,
}

/// A command with the priority of its rollout.
struct PrioritizedCommand {
    priority: u32,
    command: PrewarmCommand,
}

impl LocalRollout {
    /// Returns the number of replicas of the new version to load now. Front ends take turns at the planned rate.
    fn load_due(&mut self, front_end: FrontEndInfo, now: f64) -> Option<usize> {
        let step = self
            .rollout
            .active_step()
            .filter(|_| !self.is_ready && front_end.sends_load_commands)?;
        let plan = &self.rollout.plan;
        if let Some(to) = &self.to {
            // Failure mode: the first share of a hot function fills more than one replica.
            // Risk: a single replica would be overloaded, which counts as a regression of the version. The rate is the
            // planned one, or, if higher, an estimate that assumes equal traffic at all front ends.
            let rate = plan
                .rate
                .unwrap_or(0.0)
                .max(self.rate * f64::from(front_end.count));
            self.needed_replicas = replicas_for(rate, plan.steps[step].share, to) as usize;
        }
        if now < self.next_load_at {
            return Some(0);
        }
        self.next_load_at = now + f64::from(front_end.count) / plan.loads_per_second;
        Some(self.needed_replicas)
    }

    /// Returns whether this front end renews the replicas of the old version now. They are kept alive for as long as
    /// the rollout may be rolled back; front ends take turns, since all choose the same executors.
    fn is_renewal_due(&mut self, front_end: FrontEndInfo, now: f64) -> bool {
        if self.rollout.active_step().is_none()
            || now < self.next_renewal_at
            || !front_end.sends_load_commands
        {
            return false;
        }
        let interval = RENEWAL_SHARE * front_end.keep_alive.max(MIN_KEEP_ALIVE);
        self.next_renewal_at = now + interval;
        let turn = (now / interval) as u64 % u64::from(front_end.count.max(1));
        turn == u64::from(front_end.index)
    }
}

impl TrafficSplit {
    /// Returns the commands that are due, most urgent first. Report the result of each to
    /// [`TrafficSplit::on_prewarm_result`].
    pub fn prewarm_commands(&mut self, now: f64) -> Vec<PrewarmCommand> {
        let front_end = self.front_end;
        let mut due: Vec<PrioritizedCommand> = vec![];
        for (function, local) in &mut self.rollouts {
            if local.has_ended() || local.local_rollback.is_some() {
                continue;
            }
            let new_replicas = local.load_due(front_end, now);
            let old_replicas = local.is_renewal_due(front_end, now).then_some(1);
            for (is_new, replicas) in [(true, new_replicas), (false, old_replicas)] {
                let version = if is_new { &local.to } else { &local.from };
                let (Some(replicas), Some(version)) = (replicas, version) else {
                    continue;
                };
                let command = PrewarmCommand {
                    run: local.rollout.run,
                    function: function.clone(),
                    version: version.clone(),
                    replicas,
                    is_new,
                };
                due.push(PrioritizedCommand {
                    priority: local.rollout.plan.priority,
                    command,
                });
            }
        }
        due.sort_by(|a, b| {
            let urgency = |due: &PrioritizedCommand| Reverse((due.priority, due.command.is_new));
            urgency(a)
                .cmp(&urgency(b))
                .then_with(|| a.command.function.cmp(&b.command.function))
        });
        due.into_iter().map(|due| due.command).collect()
    }

    /// Handles the result of a command: how many replicas are known now, and whether a load command was `sent`.
    ///
    /// Failure mode: placements use up the load budget, so that no load command can be sent.
    /// Risk: the rollout would wait forever. The front end then counts as ready without a replica, and the first
    /// invocations load it, one placement at a time, in this front end's turn.
    pub fn on_prewarm_result(&mut self, command: &PrewarmCommand, known: usize, sent: bool) {
        if let Some(local) = self.rollout_of_run(command.run).filter(|_| command.is_new) {
            local.is_ready |= known >= local.needed_replicas || command.replicas > 0 && !sent;
        }
    }
}
