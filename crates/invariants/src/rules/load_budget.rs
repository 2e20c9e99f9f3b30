//! Rule 5: load commands stay within the load budget.

use super::RuleReport;
use super::paused_reads::PausedReads;
use crate::{Limits, TrafficRecord};
use std::collections::{HashMap, HashSet};

/// A message that became an invocation.
///
/// The records don't show when a front end admitted it: only when it was published, and when its first dispatch from
/// an incarnation arrived at an executor. For a message that was never dispatched the front end is unknown as well.
struct AdmittedMessage {
    front_end: Option<u32>,
    /// The earliest and the latest time at which it may have been admitted.
    earliest: f64,
    latest: f64,
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
            // The time at which a load command was sent is unknown if the executor read it after a pause.
            TrafficRecord::LoadCommandArrived { at, executor, .. }
                if paused_reads.may_have_delayed(*executor, *at, limits.max_transit_time) => {}
            TrafficRecord::LoadCommandArrived {
                at,
                front_end,
                incarnation,
                replicas,
                ..
            } if *replicas > 0 => {
                let load_commands = load_commands.entry(*incarnation).or_default();
                load_commands.push(*at);
                let front_end = front_end_of.get(incarnation).unwrap_or(front_end);
                // Transit may shorten the time between load commands, and delay the records of invocations.
                let from = at - limits.load_budget_window;
                let sent = load_commands
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
                        && message.latest > from - limits.max_transit_time
                        && message.earliest <= *at
                };
                let admitted = (requests + messages.iter().filter(is_recent).count()) as f64;
                let budget = limits.load_budget_floor + limits.load_budget_fraction * admitted;
                rule.check(sent <= budget, || {
                    format!(
                        "front end {front_end} sent {sent} load commands by {at:.3}, {budget:.1} allowed"
                    )
                });
            }
            _ => {}
        }
    }
    rule
}

/// The front end's index by its incarnation. A front end's index may change, its incarnation doesn't.
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
    let mut first_arrivals: HashMap<(&str, u64), (u32, f64)> = HashMap::new();
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
                first_arrivals
                    .entry((invocation, *incarnation))
                    .or_insert((front_end, *at));
            }
            TrafficRecord::MessageAnswered { at, invocation, .. } => {
                answered.entry(invocation).or_insert(*at);
            }
            _ => {}
        }
    }
    let message = |invocation: &str, front_end, latest| {
        Some(AdmittedMessage {
            front_end,
            earliest: *published.get(invocation)?,
            latest,
        })
    };
    let sent = first_arrivals
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
