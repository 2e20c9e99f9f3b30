//! Rule 2: no side effect happens twice, and an invocation that is answered as rejected, which permits a retry, never
//! ran.

use super::RuleReport;
use super::paused_reads::PausedReads;
use crate::{
    DeduplicationScope, DispatchOutcome, Executor, FinalAnswer, Idempotency, Limits, TrafficRecord,
    TriggerType,
};
use std::collections::HashMap;

/// A dispatch as its executor recorded it.
struct Dispatch {
    at: f64,
    executor: usize,
    number: u32,
    ended: Option<(f64, DispatchOutcome)>,
    ran: bool,
}

impl Dispatch {
    /// Whether the executor's record proves that the dispatch never ran.
    fn never_ran(&self) -> bool {
        matches!(self.ended, Some((_, DispatchOutcome::Rejected))) && !self.ran
    }
}

/// An execution of an invocation that has an idempotency key.
struct KeyedExecution {
    at: f64,
    executor: usize,
}

/// The executors' records, by invocation and by idempotency key.
#[derive(Default)]
struct Observations<'r> {
    dispatches: HashMap<&'r str, Vec<Dispatch>>,
    /// The invocations in the order of their first dispatch.
    invocations: Vec<&'r str>,
    trigger_types: HashMap<&'r str, &'r TriggerType>,
    /// The idempotency key of each invocation that has one.
    idempotency_keys: HashMap<&'r str, &'r str>,
    /// The executions under each idempotency key.
    executions_by_key: HashMap<&'r str, Vec<KeyedExecution>>,
}

impl<'r> Observations<'r> {
    fn of(limits: &'r Limits, records: &[&'r TrafficRecord]) -> Observations<'r> {
        let mut observations = Observations::default();
        for &record in records {
            observations.add(limits, record);
        }
        observations
    }

    fn add(&mut self, limits: &'r Limits, record: &'r TrafficRecord) {
        match record {
            TrafficRecord::DispatchArrived {
                at,
                executor,
                invocation,
                number,
                idempotency_key,
                trigger_type,
                ..
            } => {
                let known = limits
                    .trigger_types
                    .iter()
                    .find(|known| known.name == *trigger_type);
                self.trigger_types
                    .extend(known.map(|known| (invocation.as_str(), known)));
                if !idempotency_key.is_empty() {
                    self.idempotency_keys.insert(invocation, idempotency_key);
                }
                if !self.dispatches.contains_key(invocation.as_str()) {
                    self.invocations.push(invocation);
                }
                let dispatch = Dispatch {
                    at: *at,
                    executor: *executor,
                    number: *number,
                    ended: None,
                    ran: false,
                };
                self.dispatches
                    .entry(invocation)
                    .or_default()
                    .push(dispatch);
            }
            TrafficRecord::ExecutionStarted {
                at,
                executor,
                invocation,
            } => {
                let dispatches = self.dispatches.entry(invocation).or_default();
                if let Some(dispatch) = dispatches.iter_mut().rfind(|d| d.executor == *executor) {
                    dispatch.ran = true;
                }
                if let Some(key) = self.idempotency_keys.get(invocation.as_str()) {
                    let execution = KeyedExecution {
                        at: *at,
                        executor: *executor,
                    };
                    self.executions_by_key
                        .entry(key)
                        .or_default()
                        .push(execution);
                }
            }
            TrafficRecord::DispatchEnded {
                at,
                executor,
                invocation,
                number,
                outcome,
            } => {
                let dispatches = self.dispatches.entry(invocation).or_default();
                let is_same = |d: &&mut Dispatch| {
                    d.executor == *executor && d.number == *number && d.ended.is_none()
                };
                if let Some(dispatch) = dispatches.iter_mut().find(is_same) {
                    dispatch.ended = Some((*at, *outcome));
                }
            }
            _ => {}
        }
    }
}

/// The state of a check of rule 2.
struct Check<'r> {
    rule: RuleReport,
    limits: &'r Limits,
    executors: &'r [Executor],
    observations: Observations<'r>,
    paused_reads: PausedReads,
}

pub(super) fn check(
    limits: &Limits,
    executors: &[Executor],
    records: &[&TrafficRecord],
) -> RuleReport {
    let mut check = Check {
        rule: RuleReport::new(2),
        limits,
        executors,
        observations: Observations::of(limits, records),
        paused_reads: PausedReads::of(records),
    };
    check.check_invocations();
    check.check_idempotency_keys();
    check.check_rejections(records);
    check.rule
}

impl Check<'_> {
    fn are_in_same_scope(&self, scope: DeduplicationScope, a: usize, b: usize) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.executors[a].zone == self.executors[b].zone,
            DeduplicationScope::Cell => self.executors[a].cell == self.executors[b].cell,
        }
    }

    fn check_invocations(&mut self) {
        for invocation in std::mem::take(&mut self.observations.invocations) {
            let Some(&trigger_type) = self.observations.trigger_types.get(invocation) else {
                continue;
            };
            let dispatches = self
                .observations
                .dispatches
                .remove(invocation)
                .unwrap_or_default();
            for (index, dispatch) in dispatches.iter().enumerate() {
                self.check_dispatch(invocation, trigger_type, dispatch, &dispatches[..index]);
            }
            let runs = dispatches.iter().filter(|dispatch| dispatch.ran).count();
            let may_have_run = dispatches.iter().any(|dispatch| !dispatch.never_ran());
            if trigger_type.idempotency == Idempotency::NonIdempotent && may_have_run {
                self.rule
                    .check(runs <= 1, || format!("{invocation} ran {runs} times"));
            }
            self.observations.dispatches.insert(invocation, dispatches);
        }
    }

    fn check_dispatch(
        &mut self,
        invocation: &str,
        trigger_type: &TriggerType,
        dispatch: &Dispatch,
        earlier: &[Dispatch],
    ) {
        let transit = self.limits.max_transit_time;
        let may_have_run = earlier.iter().find(|earlier| !earlier.never_ran());
        let holds = match (trigger_type.idempotency, may_have_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::Keyed, Some(earlier)) => {
                self.are_in_same_scope(
                    trigger_type.deduplication_scope,
                    earlier.executor,
                    dispatch.executor,
                ) && dispatch.at <= earlier.at + trigger_type.deduplication_window + transit
            }
        };
        self.rule.check(holds, || {
            format!(
                "{invocation}: dispatch {} arrived at executor {} after an earlier one that may have run",
                dispatch.number, dispatch.executor
            )
        });
        let delayed = |executor| {
            self.paused_reads
                .may_have_delayed(executor, dispatch.at, transit)
        };
        // The executor sees the end of an abandoned dispatch up to one transit time after the front end abandoned it.
        let is_in_flight = |earlier: &Dispatch| {
            let until = earlier.ended.map_or(f64::INFINITY, |(at, _)| at);
            earlier.executor != dispatch.executor
                && until > dispatch.at + transit
                && !delayed(earlier.executor)
        };
        // The time at which a dispatch was sent is unknown if the executor read it after a pause.
        let overlaps = !delayed(dispatch.executor) && earlier.iter().any(is_in_flight);
        self.rule
            .check(self.limits.allows_hedging || !overlaps, || {
                format!(
                    "{invocation}: two dispatches in flight at {:.3}",
                    dispatch.at
                )
            });
    }

    /// Checks that no idempotency key is executed twice within its deduplication scope and window.
    fn check_idempotency_keys(&mut self) {
        for (key, executions) in std::mem::take(&mut self.observations.executions_by_key) {
            let invocation = self
                .observations
                .idempotency_keys
                .iter()
                .find(|(_, other)| **other == key);
            let trigger_type =
                invocation.and_then(|(name, _)| self.observations.trigger_types.get(name));
            let Some(&trigger_type) =
                trigger_type.filter(|known| known.idempotency == Idempotency::Keyed)
            else {
                continue;
            };
            for (index, later) in executions.iter().enumerate() {
                let is_repeated = executions[..index].iter().any(|earlier| {
                    self.are_in_same_scope(
                        trigger_type.deduplication_scope,
                        earlier.executor,
                        later.executor,
                    ) && later.at
                        < earlier.at + trigger_type.deduplication_window
                            - self.limits.max_transit_time
                });
                self.rule.check(!is_repeated, || {
                    format!("idempotency key {key} was executed twice within its scope and window")
                });
            }
        }
    }

    /// Checks that rejected invocations never ran. An invocation whose repetition is harmless anywhere is exempt.
    fn check_rejections(&mut self, records: &[&TrafficRecord]) {
        for &record in records {
            let TrafficRecord::AnswerReceived {
                at,
                invocation,
                answer: FinalAnswer::Rejected,
            } = record
            else {
                continue;
            };
            let Some(trigger_type) = self.observations.trigger_types.get(invocation.as_str())
            else {
                continue;
            };
            let is_keyed_everywhere = trigger_type.idempotency == Idempotency::Keyed
                && trigger_type.deduplication_scope == DeduplicationScope::All;
            if trigger_type.idempotency == Idempotency::Idempotent || is_keyed_everywhere {
                continue;
            }
            let dispatches = &self.observations.dispatches[invocation.as_str()];
            let may_have_run = dispatches.iter().any(|dispatch| !dispatch.never_ran());
            self.rule.check(!may_have_run, || {
                format!("{invocation} was rejected at {at:.3} but may have run")
            });
        }
    }
}
