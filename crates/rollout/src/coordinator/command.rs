//! Commands of operators to a coordinator.

use super::{Coordinator, Run};
use crate::plan::Plan;
use crate::state::{Phase, Rollout};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The most ended rollouts that are stored.
const MAX_ENDED: usize = 100;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "what")]
pub enum Command {
    /// Start a rollout.
    Start {
        /// The plan.
        plan: Box<Plan>,
        /// Digest of the old version.
        from: String,
        /// Digest of the new version.
        to: String,
    },
    /// Pause the current step.
    Pause {
        /// Name of the rollout.
        name: String,
    },
    /// Resume after a pause.
    Resume {
        /// Name of the rollout.
        name: String,
    },
    /// Roll back.
    #[serde(rename = "back")]
    RollBack {
        /// Name of the rollout.
        name: String,
        /// The operator's reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Advance to the next step even if samples are missing. Failed gates are not overridden.
    Advance {
        /// Name of the rollout.
        name: String,
        /// The operator's reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Finish a rollout after its last step, without waiting.
    Finish {
        /// Name of the rollout.
        name: String,
    },
}

/// Why a command was rejected. Nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// A newer coordinator has taken over; send the command there.
    #[error("another coordinator, of term {term}, has taken over")]
    Superseded {
        /// The term of the newer coordinator.
        term: u64,
    },
    /// There is no rollout with this name.
    #[error("there is no rollout '{0}'")]
    UnknownRollout(String),
    /// The rollout has ended.
    #[error("'{name}' has ended: {}", .phase.name())]
    Ended {
        /// The name of the rollout.
        name: String,
        /// How it ended.
        phase: Phase,
    },
    /// The rollout can't be paused in its phase.
    #[error("'{name}' can't be paused while it is {}", .phase.name())]
    NotPausable {
        /// The name of the rollout.
        name: String,
        /// Its phase.
        phase: Phase,
    },
    /// The rollout is not paused.
    #[error("'{name}' is {}, not paused", .phase.name())]
    NotPaused {
        /// The name of the rollout.
        name: String,
        /// Its phase.
        phase: Phase,
    },
    /// The rollout can't advance in its phase.
    #[error("'{name}' can't advance while it is {}", .phase.name())]
    NotAdvanceable {
        /// The name of the rollout.
        name: String,
        /// Its phase.
        phase: Phase,
    },
    /// The rollout hasn't reached its last step.
    #[error("'{name}' is {}: it finishes after its last step", .phase.name())]
    NotFinishable {
        /// The name of the rollout.
        name: String,
        /// Its phase.
        phase: Phase,
    },
    /// Another rollout of the function is in progress.
    #[error("rollout '{other}' of '{function}' is in progress ({})", .phase.name())]
    AlreadyInProgress {
        /// The name of the other rollout.
        other: String,
        /// The name of the function.
        function: String,
        /// The phase of the other rollout.
        phase: Phase,
    },
}

impl Coordinator {
    /// Executes a command. `random` identifies the run that it may start.
    ///
    /// # Errors
    ///
    /// If the command isn't possible at present; nothing changes then.
    pub fn command(
        &mut self,
        now: f64,
        command: &Command,
        random: u64,
    ) -> Result<(), CommandError> {
        self.now = now;
        if let Some(epoch) = self.superseded {
            return Err(CommandError::Superseded { term: epoch.term });
        }
        match command {
            Command::Start { plan, from, to } => self.start(plan, from, to, random)?,
            Command::Pause { name } => self.pause(name)?,
            Command::Resume { name } => self.resume(name)?,
            Command::RollBack { name, reason } => {
                self.phase_of(name)?;
                self.update_rollout(name, true, reason.clone(), |rollout| {
                    rollout.phase = Phase::RolledBack
                });
            }
            Command::Advance { name, reason } => self.skip_step(name, reason)?,
            Command::Finish { name } => match self.phase_of(name)? {
                Phase::RetainingOld => self.finish(name, true, "finished by an operator".into()),
                phase => {
                    return Err(CommandError::NotFinishable {
                        name: name.clone(),
                        phase,
                    });
                }
            },
        }
        self.tick(now);
        Ok(())
    }

    /// Returns the phase of a rollout that hasn't ended.
    fn phase_of(&self, name: &str) -> Result<Phase, CommandError> {
        let found = self.state.published.rollouts.get(name);
        let phase = found
            .ok_or_else(|| CommandError::UnknownRollout(name.to_owned()))?
            .phase;
        if phase.has_ended() {
            return Err(CommandError::Ended {
                name: name.to_owned(),
                phase,
            });
        }
        Ok(phase)
    }

    fn pause(&mut self, name: &str) -> Result<(), CommandError> {
        match self.phase_of(name)? {
            Phase::Planned | Phase::Shifting => {
                self.update_rollout(name, true, "paused".into(), |rollout| {
                    rollout.phase = Phase::Paused
                });
                Ok(())
            }
            phase => Err(CommandError::NotPausable {
                name: name.to_owned(),
                phase,
            }),
        }
    }

    fn resume(&mut self, name: &str) -> Result<(), CommandError> {
        match self.phase_of(name)? {
            Phase::Paused => {
                self.update_rollout(name, true, "resumed".into(), |rollout| {
                    rollout.phase = Phase::Shifting
                });
                Ok(())
            }
            phase => Err(CommandError::NotPaused {
                name: name.to_owned(),
                phase,
            }),
        }
    }

    fn skip_step(&mut self, name: &str, reason: &str) -> Result<(), CommandError> {
        match self.phase_of(name)? {
            Phase::Planned | Phase::Shifting => {
                let run = self.state.runs.entry(name.to_owned()).or_default();
                run.operator_advance = Some(format!("advanced by an operator: {reason}"));
                Ok(())
            }
            phase => Err(CommandError::NotAdvanceable {
                name: name.to_owned(),
                phase,
            }),
        }
    }

    fn start(
        &mut self,
        plan: &Plan,
        from: &str,
        to: &str,
        random: u64,
    ) -> Result<(), CommandError> {
        let rollouts = &self.state.published.rollouts;
        let other = rollouts
            .values()
            .find(|r| !r.phase.has_ended() && r.plan.function == plan.function);
        if let Some(other) = other {
            return Err(CommandError::AlreadyInProgress {
                other: other.plan.name.clone(),
                function: plan.function.clone(),
                phase: other.phase,
            });
        }
        self.remove_oldest_ended();
        let before = self.state.published.rollouts.get(&plan.name);
        let rollout = Rollout {
            plan: Arc::new(plan.clone()),
            run: random,
            revision: before.map_or(0, |rollout| rollout.revision),
            phase: Phase::Planned,
            step: 0,
            from: from.to_owned(),
            to: to.to_owned(),
            reason: String::new(),
        };
        self.state
            .published
            .rollouts
            .insert(plan.name.clone(), rollout);
        let history = self
            .state
            .runs
            .remove(&plan.name)
            .map(|run| run.history)
            .unwrap_or_default();
        self.state
            .runs
            .insert(plan.name.clone(), Run::with_history(history));
        self.update_rollout(&plan.name, true, "started".into(), |_| {});
        Ok(())
    }

    /// Removes the rollout that ended first, if too many ended ones are stored.
    fn remove_oldest_ended(&mut self) {
        let rollouts = &self.state.published.rollouts;
        let ended: Vec<&String> = rollouts
            .iter()
            .filter(|(_, rollout)| rollout.phase.has_ended())
            .map(|(name, _)| name)
            .collect();
        if ended.len() < MAX_ENDED {
            return;
        }
        let ended_at = |name: &str| {
            let last = self.state.runs.get(name).and_then(|run| run.history.last());
            last.map_or(0.0, |event| event.at)
        };
        let oldest = ended
            .into_iter()
            .min_by(|a, b| ended_at(a).total_cmp(&ended_at(b)))
            .cloned();
        if let Some(oldest) = oldest {
            self.state.published.rollouts.remove(&oldest);
            self.state.runs.remove(&oldest);
        }
    }
}
