//! Rule 5: orders to load stay within the ration.

use super::RuleReport;
use super::paused_reads::PausedReads;
use crate::{Limits, TrafficRecord};
use std::collections::{HashMap, HashSet};

/// A message that became an invocation. When a front end took it is not seen from outside, only when it was published
/// and when its first dispatch in a life came to an executor; of a message that was never dispatched not even where.
struct AdmittedMessage {
    front_end: Option<u32>,
    /// It was taken between these times.
    from: f64,
    to: f64,
}

pub(super) fn check(limits: &Limits, records: &[&TrafficRecord]) -> RuleReport {
    let mut rule = RuleReport::new(5);
    if limits.load_budget_window <= 0.0 {
        return rule;
    }
    let front_end_of = front_ends_by_incarnation(records);
    let messages = admitted_messages(records, &front_end_of);
    let paused_reads = PausedReads::of(records);
    let mut requests_by_front_end: HashMap<u32, Vec<f64>> = HashMap::new();
    let mut load_commands: HashMap<u64, Vec<f64>> = HashMap::new();
    for &record in records {
        match record {
            TrafficRecord::InvocationSent { at, front_end, .. } => requests_by_front_end
                .entry(*front_end)
                .or_default()
                .push(*at),
            // When an order was given that an executor read after a pause is not known.
            TrafficRecord::LoadCommandArrived { at, executor, .. }
                if paused_reads.may_have_delayed(*executor, *at, limits.max_transit_time) => {}
            TrafficRecord::LoadCommandArrived {
                at,
                front_end,
                incarnation,
                replicas: copies,
                ..
            } if *copies > 0 => {
                let load_commands = load_commands.entry(*incarnation).or_default();
                load_commands.push(*at);
                let front_end = front_end_of.get(incarnation).unwrap_or(front_end);
                // Orders may have come closer together on their way, and invocations be counted late.
                let from = at - limits.load_budget_window;
                let given = load_commands
                    .iter()
                    .filter(|&&time| time > from + limits.max_transit_time)
                    .count() as f64;
                let requests = requests_by_front_end
                    .get(front_end)
                    .map(Vec::as_slice)
                    .unwrap_or_default();
                let requests = requests
                    .iter()
                    .filter(|&&time| time > from - limits.max_transit_time)
                    .count();
                let is_recent = |message: &&AdmittedMessage| {
                    message
                        .front_end
                        .is_none_or(|admitted_by| admitted_by == *front_end)
                        && message.to > from - limits.max_transit_time
                        && message.from <= *at
                };
                let admitted = (requests + messages.iter().filter(is_recent).count()) as f64;
                let granted = limits.load_budget_floor + limits.load_budget_fraction * admitted;
                rule.check(given <= granted, || {
                    format!(
                        "front end {front_end} gave {given} orders by {at:.3}, {granted:.1} granted"
                    )
                });
            }
            _ => {}
        }
    }
    rule
}

/// Front ends may name themselves by an index that changes; their lives don't.
fn front_ends_by_incarnation(records: &[&TrafficRecord]) -> HashMap<u64, u32> {
    let notified = records.iter().filter_map(|record| match record {
        TrafficRecord::EndpointNotified {
            incarnation,
            front_end,
            ..
        } => Some((*incarnation, *front_end)),
        _ => None,
    });
    notified.collect()
}

fn admitted_messages(
    records: &[&TrafficRecord],
    front_end_of: &HashMap<u64, u32>,
) -> Vec<AdmittedMessage> {
    let mut published: HashMap<&str, f64> = HashMap::new();
    let mut reached: HashMap<(&str, u64), (u32, f64)> = HashMap::new();
    let mut dispatched: HashSet<&str> = HashSet::new();
    let mut answered: HashMap<&str, f64> = HashMap::new();
    for record in records {
        match record {
            TrafficRecord::MessagePublished { at, invocation, .. } => {
                published.insert(invocation, *at);
            }
            TrafficRecord::DispatchArrived {
                at,
                front_end,
                incarnation,
                invocation,
                ..
            } => {
                dispatched.insert(invocation);
                let front_end = *front_end_of.get(incarnation).unwrap_or(front_end);
                reached
                    .entry((invocation, *incarnation))
                    .or_insert((front_end, *at));
            }
            TrafficRecord::MessageAnswered { at, invocation, .. } => {
                answered.entry(invocation).or_insert(*at);
            }
            _ => {}
        }
    }
    let message = |invocation: &str, front_end, to| {
        Some(AdmittedMessage {
            front_end,
            from: *published.get(invocation)?,
            to,
        })
    };
    let sent = reached
        .iter()
        .filter_map(|((invocation, _), (front_end, at))| {
            message(invocation, Some(*front_end), *at)
        });
    let unsent = answered
        .iter()
        .filter(|(invocation, _)| !dispatched.contains(*invocation))
        .filter_map(|(invocation, at)| message(invocation, None, *at));
    sent.chain(unsent).collect()
}
