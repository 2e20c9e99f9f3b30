//! Rule 2: no effect twice, and an answer that says that asking again is harmless is true.

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
    /// Whether it provably never ran.
    fn was_refused(&self) -> bool {
        matches!(self.ended, Some((_, DispatchOutcome::Rejected))) && !self.ran
    }
}

/// An effect of a token.
struct TokenEffect {
    at: f64,
    executor: usize,
}

/// What executors recorded.
#[derive(Default)]
struct Observations<'r> {
    dispatches: HashMap<&'r str, Vec<Dispatch>>,
    /// Invocations in the order of their first dispatch.
    order: Vec<&'r str>,
    trigger_types: HashMap<&'r str, &'r TriggerType>,
    /// The token of each invocation that has one, and the effects of each token.
    token_of: HashMap<&'r str, &'r str>,
    token_effects: HashMap<&'r str, Vec<TokenEffect>>,
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
                    self.token_of.insert(invocation, idempotency_key);
                }
                if !self.dispatches.contains_key(invocation.as_str()) {
                    self.order.push(invocation);
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
                if let Some(token) = self.token_of.get(invocation.as_str()) {
                    let effect = TokenEffect {
                        at: *at,
                        executor: *executor,
                    };
                    self.token_effects.entry(token).or_default().push(effect);
                }
            }
            TrafficRecord::DispatchEnded {
                at,
                executor,
                invocation,
                number,
                outcome: ending,
            } => {
                let dispatches = self.dispatches.entry(invocation).or_default();
                let is_same = |d: &&mut Dispatch| {
                    d.executor == *executor && d.number == *number && d.ended.is_none()
                };
                if let Some(dispatch) = dispatches.iter_mut().find(is_same) {
                    dispatch.ended = Some((*at, *ending));
                }
            }
            _ => {}
        }
    }
}

/// The check of the rule.
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
    check.dispatches();
    check.tokens();
    check.throttled_answers(records);
    check.rule
}

impl Check<'_> {
    fn is_same_group(&self, group: DeduplicationScope, a: usize, b: usize) -> bool {
        match group {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => {
                self.executors[a].zone == self.executors[b].zone
            }
            DeduplicationScope::Cell => self.executors[a].cell == self.executors[b].cell,
        }
    }

    fn dispatches(&mut self) {
        for invocation in std::mem::take(&mut self.observations.order) {
            let Some(&trigger_type) = self.observations.trigger_types.get(invocation) else {
                continue;
            };
            let dispatches = self
                .observations
                .dispatches
                .remove(invocation)
                .unwrap_or_default();
            for (index, dispatch) in dispatches.iter().enumerate() {
                self.dispatch(invocation, trigger_type, dispatch, &dispatches[..index]);
            }
            let runs = dispatches.iter().filter(|dispatch| dispatch.ran).count();
            let may_have_run = dispatches.iter().any(|dispatch| !dispatch.was_refused());
            if trigger_type.idempotency == Idempotency::NonIdempotent && may_have_run {
                self.rule
                    .check(runs <= 1, || format!("{invocation} ran {runs} times"));
            }
            self.observations.dispatches.insert(invocation, dispatches);
        }
    }

    fn dispatch(
        &mut self,
        invocation: &str,
        trigger_type: &TriggerType,
        dispatch: &Dispatch,
        earlier: &[Dispatch],
    ) {
        let transit = self.limits.max_transit_time;
        let may_have_run = earlier.iter().find(|earlier| !earlier.was_refused());
        let holds = match (trigger_type.idempotency, may_have_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::Keyed, Some(earlier)) => {
                self.is_same_group(
                    trigger_type.deduplication_scope,
                    earlier.executor,
                    dispatch.executor,
                ) && dispatch.at <= earlier.at + trigger_type.deduplication_window + transit
            }
        };
        self.rule.check(holds, || {
            format!(
                "{invocation}: dispatch {} at executor {} after one that may have run",
                dispatch.number, dispatch.executor
            )
        });
        let delayed = |executor| {
            self.paused_reads
                .may_have_delayed(executor, dispatch.at, transit)
        };
        // A dispatch that was abandoned is seen to end a little later than it was.
        let is_out = |earlier: &Dispatch| {
            let until = earlier.ended.map_or(f64::INFINITY, |(at, _)| at);
            earlier.executor != dispatch.executor
                && until > dispatch.at + transit
                && !delayed(earlier.executor)
        };
        // Nor is it known when a dispatch was sent that an executor reads after a pause.
        let both = !delayed(dispatch.executor) && earlier.iter().any(is_out);
        self.rule.check(self.limits.allows_hedging || !both, || {
            format!("{invocation}: two dispatches out at {:.3}", dispatch.at)
        });
    }

    /// No token has its effect twice within its group and window.
    fn tokens(&mut self) {
        for (token, effects) in std::mem::take(&mut self.observations.token_effects) {
            let invocation = self
                .observations
                .token_of
                .iter()
                .find(|(_, other)| **other == token);
            let trigger_type =
                invocation.and_then(|(name, _)| self.observations.trigger_types.get(name));
            let Some(&trigger_type) =
                trigger_type.filter(|known| known.idempotency == Idempotency::Keyed)
            else {
                continue;
            };
            for (index, later) in effects.iter().enumerate() {
                let twice = effects[..index].iter().any(|earlier| {
                    self.is_same_group(
                        trigger_type.deduplication_scope,
                        earlier.executor,
                        later.executor,
                    ) && later.at
                        < earlier.at + trigger_type.deduplication_window
                            - self.limits.max_transit_time
                });
                self.rule.check(!twice, || {
                    format!("token {token} had its effect twice within one group")
                });
            }
        }
    }

    /// A throttled answer says that asking again is harmless.
    fn throttled_answers(&mut self, records: &[&TrafficRecord]) {
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
            let is_tokened_everywhere = trigger_type.idempotency == Idempotency::Keyed
                && trigger_type.deduplication_scope == DeduplicationScope::All;
            if trigger_type.idempotency == Idempotency::Idempotent || is_tokened_everywhere {
                continue;
            }
            let dispatches = &self.observations.dispatches[invocation.as_str()];
            let may_have_run = dispatches.iter().any(|dispatch| !dispatch.was_refused());
            self.rule.check(!may_have_run, || {
                format!("{invocation} was throttled at {at:.3} and may have run")
            });
        }
    }
}
