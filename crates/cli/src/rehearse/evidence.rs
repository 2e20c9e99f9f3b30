//! Decides from the records whether an injected violation took place. The conditions are stricter than those of the
//! rule checks, so that the checks have to find every violation that is accepted here.

use orchidtally_invariants::{EndpointState, Idempotency, Limits, TrafficRecord};
use orchidtally_test_servers::misbehaving_front_end;
use std::collections::{HashMap, HashSet};

/// The client whose invocations are left unanswered.
pub const UNANSWERED_CLIENT: u32 = 9_999;
/// Prefix of the names of injected invocations.
pub const INVOCATION_PREFIX: &str = "rogue-";

/// Why the records do not show the violation of a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MissingEvidence {
    #[error("no invocation was left without an answer")]
    Unanswered,
    #[error("no invocation of a non-idempotent type ran at two executors")]
    ExecutedTwice,
    #[error("the injecting front end was never notified that an executor drains")]
    DrainNotification,
    #[error(
        "no dispatch reached a draining executor after the grace and the transit time of messages"
    )]
    LateDispatch,
    #[error("the injecting front end was never notified of an executor's cold start")]
    StartNotification,
    #[error("no cold executor was overloaded mostly by the injecting front end's dispatches")]
    ColdExecutorOverloaded,
    #[error("all load commands could have been within the load budget")]
    LoadCommandsOverBudget,
    #[error("no message of a non-idempotent type ran twice")]
    MessageExecutedTwice,
}

/// Checks that the records show the violation of a rule.
///
/// # Errors
/// What is missing for the violation.
pub fn of_violation(
    rule: u8,
    limits: &Limits,
    records: &[TrafficRecord],
) -> Result<(), MissingEvidence> {
    let mut records: Vec<&TrafficRecord> = records.iter().collect();
    records.sort_by(|a, b| a.at().total_cmp(&b.at()));
    match rule {
        1 => unanswered(&records),
        2 => executed_twice(&records),
        3 => dispatched_after_drain(limits, &records),
        4 => cold_executor_overloaded(limits, &records),
        5 => over_load_budget(limits, &records),
        _ => message_executed_twice(limits, &records),
    }
}

fn ok_if(condition: bool, missing: MissingEvidence) -> Result<(), MissingEvidence> {
    if condition { Ok(()) } else { Err(missing) }
}

fn unanswered(records: &[&TrafficRecord]) -> Result<(), MissingEvidence> {
    let sent = |record: &&TrafficRecord| match record {
        TrafficRecord::InvocationSent {
            client, invocation, ..
        } if *client == UNANSWERED_CLIENT => Some(invocation.clone()),
        _ => None,
    };
    let sent: HashSet<String> = records.iter().filter_map(sent).collect();
    let timed_out = |record: &&TrafficRecord| matches!(record, TrafficRecord::ClientTimedOut { invocation, .. } if sent.contains(invocation));
    ok_if(records.iter().any(timed_out), MissingEvidence::Unanswered)
}

fn executed_twice(records: &[&TrafficRecord]) -> Result<(), MissingEvidence> {
    let mut executed_at: HashMap<&str, HashSet<usize>> = HashMap::new();
    for record in records {
        if let TrafficRecord::ExecutionStarted {
            executor,
            invocation,
            ..
        } = record
            && invocation.starts_with(INVOCATION_PREFIX)
        {
            executed_at.entry(invocation).or_default().insert(*executor);
        }
    }
    ok_if(
        executed_at.values().any(|executors| executors.len() > 1),
        MissingEvidence::ExecutedTwice,
    )
}

/// When the injecting front end was first notified that the executor drains or is gone; `None` if the last notification
/// was that it is ready.
pub fn drain_notified_at(records: &[TrafficRecord], executor: usize) -> Option<f64> {
    let mut notified: Vec<(f64, EndpointState)> = records
        .iter()
        .filter_map(|record| drain_notification(record, executor))
        .collect();
    notified.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut since = None;
    for (at, state) in notified {
        since = if state == EndpointState::Ready {
            None
        } else {
            since.or(Some(at))
        };
    }
    since
}

fn drain_notification(record: &TrafficRecord, expected: usize) -> Option<(f64, EndpointState)> {
    match record {
        TrafficRecord::EndpointNotified {
            at,
            incarnation,
            executor,
            state,
            ..
        } if *incarnation == misbehaving_front_end::INCARNATION && *executor == expected => {
            Some((*at, *state))
        }
        _ => None,
    }
}

fn dispatched_after_drain(
    limits: &Limits,
    records: &[&TrafficRecord],
) -> Result<(), MissingEvidence> {
    let mut notified_since: HashMap<usize, f64> = HashMap::new();
    let mut was_notified = false;
    for record in records {
        match record {
            TrafficRecord::EndpointNotified {
                at,
                incarnation,
                executor,
                state,
                ..
            } if *incarnation == misbehaving_front_end::INCARNATION => {
                if *state == EndpointState::Ready {
                    notified_since.remove(executor);
                } else {
                    was_notified = true;
                    notified_since.entry(*executor).or_insert(*at);
                }
            }
            TrafficRecord::DispatchArrived {
                at,
                incarnation,
                executor,
                ..
            } if *incarnation == misbehaving_front_end::INCARNATION => {
                let allowed = limits.drain_grace + limits.max_transit_time;
                if notified_since
                    .get(executor)
                    .is_some_and(|since| *at > since + allowed)
                {
                    return Ok(());
                }
            }
            _ => {}
        }
    }
    Err(if was_notified {
        MissingEvidence::LateDispatch
    } else {
        MissingEvidence::DrainNotification
    })
}

/// Whether the injecting front end was notified of a start of the executor at `since` or later.
pub fn was_notified_of_start(records: &[TrafficRecord], expected: usize, since: f64) -> bool {
    records.iter().any(|record| match record {
        TrafficRecord::EndpointNotified {
            incarnation,
            executor,
            started_at: notified,
            ..
        } => {
            *incarnation == misbehaving_front_end::INCARNATION
                && *executor == expected
                && *notified >= since
        }
        _ => false,
    })
}

fn cold_executor_overloaded(
    limits: &Limits,
    records: &[&TrafficRecord],
) -> Result<(), MissingEvidence> {
    let mut notified_of_start: HashMap<usize, f64> = HashMap::new();
    let mut arrivals: HashMap<usize, Vec<(f64, bool)>> = HashMap::new();
    for record in records {
        match record {
            TrafficRecord::EndpointNotified {
                incarnation,
                executor,
                started_at: since,
                ..
            } if *incarnation == misbehaving_front_end::INCARNATION => {
                notified_of_start.insert(*executor, *since);
            }
            TrafficRecord::DispatchArrived {
                at,
                incarnation,
                executor,
                ..
            } => {
                arrivals
                    .entry(*executor)
                    .or_default()
                    .push((*at, *incarnation == misbehaving_front_end::INCARNATION));
            }
            TrafficRecord::ExecutorOverloaded {
                at,
                executor,
                started_at: since,
            } if notified_of_start.get(executor).is_some_and(|t| t >= since) => {
                let began = since.max(at - limits.overload_window);
                let recent = || {
                    arrivals
                        .get(executor)
                        .into_iter()
                        .flatten()
                        .filter(|record| record.0 >= began)
                };
                let injected = recent().filter(|record| record.1).count();
                if 3 * injected > 2 * recent().count() {
                    return Ok(());
                }
            }
            _ => {}
        }
    }
    let was_notified = notified_of_start.values().any(|since| since.is_finite());
    Err(if was_notified {
        MissingEvidence::ColdExecutorOverloaded
    } else {
        MissingEvidence::StartNotification
    })
}

/// Counts the invocations of all front ends instead of those of one, and leaves out executors that paused reading at
/// any time: both make the condition stricter than the rule's check.
fn over_load_budget(limits: &Limits, records: &[&TrafficRecord]) -> Result<(), MissingEvidence> {
    let paused_executor = |record: &&TrafficRecord| {
        if let TrafficRecord::ReadsPaused { executor, .. } = record {
            Some(*executor)
        } else {
            None
        }
    };
    let paused_executor: HashSet<usize> = records.iter().filter_map(paused_executor).collect();
    let mut load_commands: Vec<f64> = vec![];
    let mut requests: Vec<f64> = vec![];
    let mut published = 0;
    for record in records {
        match record {
            TrafficRecord::InvocationSent { at, .. } => requests.push(*at),
            TrafficRecord::MessagePublished { .. } => published += 1,
            TrafficRecord::LoadCommandArrived {
                at,
                executor,
                incarnation,
                replicas: copies,
                ..
            } if *incarnation == misbehaving_front_end::INCARNATION
                && *copies > 0
                && !paused_executor.contains(executor) =>
            {
                load_commands.push(*at);
                let from = at - limits.load_budget_window;
                let command_count = load_commands
                    .iter()
                    .filter(|&&t| t > from + limits.max_transit_time)
                    .count();
                let invocation_count = requests
                    .iter()
                    .filter(|&&t| t > from - limits.max_transit_time)
                    .count()
                    + published;
                if command_count as f64
                    > limits.load_budget_floor
                        + limits.load_budget_fraction * invocation_count as f64
                {
                    return Ok(());
                }
            }
            _ => {}
        }
    }
    Err(MissingEvidence::LoadCommandsOverBudget)
}

fn message_executed_twice(
    limits: &Limits,
    records: &[&TrafficRecord],
) -> Result<(), MissingEvidence> {
    let is_non_idempotent = |name: &str| {
        limits
            .trigger_types
            .iter()
            .any(|t| t.name == name && t.idempotency == Idempotency::NonIdempotent)
    };
    let message = |record: &&TrafficRecord| match record {
        TrafficRecord::MessagePublished {
            invocation,
            trigger_type,
            ..
        } if is_non_idempotent(trigger_type) => Some(invocation.clone()),
        _ => None,
    };
    let messages: HashSet<String> = records.iter().filter_map(message).collect();
    let mut executed: HashSet<&str> = HashSet::new();
    for record in records {
        if let TrafficRecord::ExecutionStarted { invocation, .. } = record
            && messages.contains(invocation)
            && !executed.insert(invocation)
        {
            return Ok(());
        }
    }
    Err(MissingEvidence::MessageExecutedTwice)
}
