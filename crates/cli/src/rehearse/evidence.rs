//! Whether a violation that was injected took place, told from the records alone and more strictly than the checks
//! judge it: what holds here has to be found by them.

use orchidtally_invariants::{EndpointState, Idempotency, Limits, TrafficRecord};
use orchidtally_test_servers::misbehaving_front_end;
use std::collections::{HashMap, HashSet};

/// The client whose invocations nobody answers.
pub const UNANSWERED_CLIENT: u32 = 9_999;
/// What the names of invocations begin with that an injection dispatches.
pub const INVOCATION_PREFIX: &str = "rogue-";

/// What the records lack for a violation of a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MissingEvidence {
    #[error("no invocation was left without an answer")]
    Unanswered,
    #[error("no invocation of a non-idempotent type ran at two executors")]
    RanTwice,
    #[error("the injecting front end was never told that an executor drains")]
    DrainNotification,
    #[error(
        "no dispatch reached a draining executor later than the grace and what messages may take"
    )]
    LateDispatch,
    #[error("the injecting front end was never told of an executor's cold start")]
    StartNotification,
    #[error(
        "no cold executor was pushed over by dispatches that were mostly the injecting front end's"
    )]
    PushedOver,
    #[error("the orders to load that were given could all have been within the ration")]
    OrdersOverRation,
    #[error("no message of a non-idempotent type ran twice")]
    MessageRanTwice,
}

/// The evidence of a rule's injected violation, or what is missing for it.
pub fn of_violation(
    rule: u8,
    limits: &Limits,
    records: &[TrafficRecord],
) -> Result<(), MissingEvidence> {
    let mut records: Vec<&TrafficRecord> = records.iter().collect();
    records.sort_by(|a, b| a.at().total_cmp(&b.at()));
    match rule {
        1 => unanswered(&records),
        2 => ran_twice(&records),
        3 => dispatched_after_drain(limits, &records),
        4 => pushed_over(limits, &records),
        5 => over_ration(limits, &records),
        _ => message_ran_twice(limits, &records),
    }
}

fn found_or(found: bool, missing: MissingEvidence) -> Result<(), MissingEvidence> {
    if found { Ok(()) } else { Err(missing) }
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
    found_or(records.iter().any(timed_out), MissingEvidence::Unanswered)
}

fn ran_twice(records: &[&TrafficRecord]) -> Result<(), MissingEvidence> {
    let mut ran_at: HashMap<&str, HashSet<usize>> = HashMap::new();
    for record in records {
        if let TrafficRecord::ExecutionStarted {
            executor,
            invocation,
            ..
        } = record
            && invocation.starts_with(INVOCATION_PREFIX)
        {
            ran_at.entry(invocation).or_default().insert(*executor);
        }
    }
    found_or(
        ran_at.values().any(|executors| executors.len() > 1),
        MissingEvidence::RanTwice,
    )
}

/// Since when the injecting front end has been told that an executor is not to be used.
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

/// Whether the injecting front end was told of a start of an executor that is no earlier than `since`.
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

fn pushed_over(limits: &Limits, records: &[&TrafficRecord]) -> Result<(), MissingEvidence> {
    let mut notified_of_start: HashMap<usize, f64> = HashMap::new();
    let mut reached: HashMap<usize, Vec<(f64, bool)>> = HashMap::new();
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
                reached
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
                let lately = || {
                    reached
                        .get(executor)
                        .into_iter()
                        .flatten()
                        .filter(|record| record.0 >= began)
                };
                let injected = lately().filter(|record| record.1).count();
                if 3 * injected > 2 * lately().count() {
                    return Ok(());
                }
            }
            _ => {}
        }
    }
    let was_notified = notified_of_start.values().any(|since| since.is_finite());
    Err(if was_notified {
        MissingEvidence::PushedOver
    } else {
        MissingEvidence::StartNotification
    })
}

/// Counts what all front ends were offered in place of one, and leaves out executors that were deaf at any time.
fn over_ration(limits: &Limits, records: &[&TrafficRecord]) -> Result<(), MissingEvidence> {
    let deaf = |record: &&TrafficRecord| {
        if let TrafficRecord::ReadsPaused { executor, .. } = record {
            Some(*executor)
        } else {
            None
        }
    };
    let deaf: HashSet<usize> = records.iter().filter_map(deaf).collect();
    let mut orders: Vec<f64> = vec![];
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
                && !deaf.contains(executor) =>
            {
                orders.push(*at);
                let from = at - limits.load_budget_window;
                let given = orders
                    .iter()
                    .filter(|&&t| t > from + limits.max_transit_time)
                    .count();
                let taken = requests
                    .iter()
                    .filter(|&&t| t > from - limits.max_transit_time)
                    .count()
                    + published;
                if given as f64
                    > limits.load_budget_floor + limits.load_budget_fraction * taken as f64
                {
                    return Ok(());
                }
            }
            _ => {}
        }
    }
    Err(MissingEvidence::OrdersOverRation)
}

fn message_ran_twice(limits: &Limits, records: &[&TrafficRecord]) -> Result<(), MissingEvidence> {
    let has_effect_once = |name: &str| {
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
        } if has_effect_once(trigger_type) => Some(invocation.clone()),
        _ => None,
    };
    let messages: HashSet<String> = records.iter().filter_map(message).collect();
    let mut ran: HashSet<&str> = HashSet::new();
    for record in records {
        if let TrafficRecord::ExecutionStarted { invocation, .. } = record
            && messages.contains(invocation)
            && !ran.insert(invocation)
        {
            return Ok(());
        }
    }
    Err(MissingEvidence::MessageRanTwice)
}
