//! What operators ask of a coordinator.

use super::{Coordinator, Run};
use crate::plan::Plan;
use crate::state::{Phase, Rollout};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Rollouts that are over and kept.
const MAX_OVER: usize = 100;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "what")]
pub enum Command {
    /// Start a rollout between two versions, by their digests.
    Start {
        plan: Box<Plan>,
        from: String,
        to: String,
    },
    /// Hold the step that is on.
    Pause { name: String },
    /// Go on after a pause.
    Resume { name: String },
    /// Take the rollout back.
    Back { name: String, why: String },
    /// Go to the next step whatever evidence is missing; gates that failed are not overridden.
    Advance { name: String, why: String },
    /// End a rollout whose last step is on.
    Finish { name: String },
}

/// Why a command was refused. Nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// A newer coordinator has this term; ask that one.
    #[error("another coordinator, of term {term}, has taken over")]
    Superseded {
        /// The term of the newer coordinator.
        term: u64,
    },
    /// The coordinator knows no rollout of this name.
    #[error("there is no rollout '{0}'")]
    Unknown(String),
    /// The rollout has ended.
    #[error("'{name}' is over: {}", .phase.name())]
    Over {
        /// The name of the rollout.
        name: String,
        /// How it ended.
        phase: Phase,
    },
    /// The rollout is in a phase that can't be paused.
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
    /// The rollout is in a phase that has no next step.
    #[error("'{name}' can't go on while it is {}", .phase.name())]
    NotAdvancing {
        /// The name of the rollout.
        name: String,
        /// Its phase.
        phase: Phase,
    },
    /// The last step of the rollout is not on yet.
    #[error("'{name}' is {}: it finishes after its last step", .phase.name())]
    NotFinishable {
        /// The name of the rollout.
        name: String,
        /// Its phase.
        phase: Phase,
    },
    /// Another rollout of the function is on.
    #[error("rollout '{rival}' of '{function}' is on ({})", .phase.name())]
    Rival {
        /// The name of the other rollout.
        rival: String,
        /// The name of the function.
        function: String,
        /// The phase of the other rollout.
        phase: Phase,
    },
}

impl Coordinator {
    /// Does what an operator asks for. `drawn` is a random number for the run that may be started.
    ///
    /// # Errors
    /// Nothing is changed then.
    pub fn command(&mut self, now: f64, command: &Command, drawn: u64) -> Result<(), CommandError> {
        self.now = now;
        if let Some(epoch) = self.superseded {
            return Err(CommandError::Superseded { term: epoch.term });
        }
        match command {
            Command::Start { plan, from, to } => self.start(plan, from, to, drawn)?,
            Command::Pause { name } => self.pause(name)?,
            Command::Resume { name } => self.resume(name)?,
            Command::Back { name, why } => {
                self.phase_of(name)?;
                self.change(name, true, why.clone(), |rollout| {
                    rollout.phase = Phase::TakenBack
                });
            }
            Command::Advance { name, why } => self.skip_step(name, why)?,
            Command::Finish { name } => match self.phase_of(name)? {
                Phase::Keeping => self.finish(name, true, "finished by an operator".into()),
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

    /// The phase of a rollout that is on.
    fn phase_of(&self, name: &str) -> Result<Phase, CommandError> {
        let found = self.state.published.rollouts.get(name);
        let phase = found
            .ok_or_else(|| CommandError::Unknown(name.to_owned()))?
            .phase;
        if phase.is_over() {
            return Err(CommandError::Over {
                name: name.to_owned(),
                phase,
            });
        }
        Ok(phase)
    }

    fn pause(&mut self, name: &str) -> Result<(), CommandError> {
        match self.phase_of(name)? {
            Phase::Planned | Phase::Shifting => {
                self.change(name, true, "paused".into(), |rollout| {
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
                self.change(name, true, "resumed".into(), |rollout| {
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

    fn skip_step(&mut self, name: &str, why: &str) -> Result<(), CommandError> {
        match self.phase_of(name)? {
            Phase::Planned | Phase::Shifting => {
                let run = self.state.runs.entry(name.to_owned()).or_default();
                run.skip = Some(format!("an operator went on: {why}"));
                Ok(())
            }
            phase => Err(CommandError::NotAdvancing {
                name: name.to_owned(),
                phase,
            }),
        }
    }

    fn start(&mut self, plan: &Plan, from: &str, to: &str, drawn: u64) -> Result<(), CommandError> {
        let rollouts = &self.state.published.rollouts;
        let rival = rollouts
            .values()
            .find(|r| !r.phase.is_over() && r.plan.function == plan.function);
        if let Some(rival) = rival {
            return Err(CommandError::Rival {
                rival: rival.plan.name.clone(),
                function: plan.function.clone(),
                phase: rival.phase,
            });
        }
        self.forget_oldest();
        let before = self.state.published.rollouts.get(&plan.name);
        let rollout = Rollout {
            plan: Arc::new(plan.clone()),
            run: drawn,
            number: before.map_or(0, |rollout| rollout.number),
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
        self.change(&plan.name, true, "started".into(), |_| {});
        Ok(())
    }

    /// Forgets the rollout that ended first, where as many are kept as may be.
    fn forget_oldest(&mut self) {
        let rollouts = &self.state.published.rollouts;
        let over: Vec<&String> = rollouts
            .iter()
            .filter(|(_, rollout)| rollout.phase.is_over())
            .map(|(name, _)| name)
            .collect();
        if over.len() < MAX_OVER {
            return;
        }
        let ended_at = |name: &str| {
            let last = self.state.runs.get(name).and_then(|run| run.history.last());
            last.map_or(0.0, |event| event.at)
        };
        let oldest = over
            .into_iter()
            .min_by(|a, b| ended_at(a).total_cmp(&ended_at(b)))
            .cloned();
        if let Some(oldest) = oldest {
            self.state.published.rollouts.remove(&oldest);
            self.state.runs.remove(&oldest);
        }
    }
}
