//! Rule 5: orders to load stay within the ration.

use super::RuleReport;
use super::paused_reads::PausedReads;
use crate::{Limits, TrafficRecord};
use std::collections::{HashMap, HashSet};

/// A message that became an invocation. When a front end took it is not seen from outside, only when it was published
/// and when its first dispatch in a life came to an executor; of a message that was never dispatched not even where.
struct TakenMessage {
    front_end: Option<u32>,
    /// It was taken between these times.
    from: f64,
    to: f64,
}

pub(super) fn check(limits: &Limits, records: &[&TrafficRecord]) -> RuleReport {
    let mut rule = RuleReport::new(5);
    if limits.ration_window <= 0.0 {
        return rule;
    }
    let front_end_of = front_ends_by_life(records);
    let messages = taken_messages(records, &front_end_of);
    let paused_reads = PausedReads::of(records);
    let mut offers: HashMap<u32, Vec<f64>> = HashMap::new();
    let mut orders: HashMap<u64, Vec<f64>> = HashMap::new();
    for &record in records {
        match record {
            TrafficRecord::Offered { at, front_end, .. } => {
                offers.entry(*front_end).or_default().push(*at)
            }
            // When an order was given that an executor read after a pause is not known.
            TrafficRecord::Ordered { at, executor, .. }
                if paused_reads.may_have_delayed(*executor, *at, limits.transit) => {}
            TrafficRecord::Ordered {
                at,
                front_end,
                life,
                copies,
                ..
            } if *copies > 0 => {
                let orders = orders.entry(*life).or_default();
                orders.push(*at);
                let front_end = front_end_of.get(life).unwrap_or(front_end);
                // Orders may have come closer together on their way, and invocations be counted late.
                let from = at - limits.ration_window;
                let given = orders
                    .iter()
                    .filter(|&&time| time > from + limits.transit)
                    .count() as f64;
                let requests = offers.get(front_end).map(Vec::as_slice).unwrap_or_default();
                let requests = requests
                    .iter()
                    .filter(|&&time| time > from - limits.transit)
                    .count();
                let is_recent = |message: &&TakenMessage| {
                    message.front_end.is_none_or(|taker| taker == *front_end)
                        && message.to > from - limits.transit
                        && message.from <= *at
                };
                let taken = (requests + messages.iter().filter(is_recent).count()) as f64;
                let granted = limits.ration_floor + limits.ration_share * taken;
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
fn front_ends_by_life(records: &[&TrafficRecord]) -> HashMap<u64, u32> {
    let told = records.iter().filter_map(|record| match record {
        TrafficRecord::Told {
            life, front_end, ..
        } => Some((*life, *front_end)),
        _ => None,
    });
    told.collect()
}

fn taken_messages(
    records: &[&TrafficRecord],
    front_end_of: &HashMap<u64, u32>,
) -> Vec<TakenMessage> {
    let mut published: HashMap<&str, f64> = HashMap::new();
    let mut reached: HashMap<(&str, u64), (u32, f64)> = HashMap::new();
    let mut dispatched: HashSet<&str> = HashSet::new();
    let mut answered: HashMap<&str, f64> = HashMap::new();
    for record in records {
        match record {
            TrafficRecord::Published { at, invocation, .. } => {
                published.insert(invocation, *at);
            }
            TrafficRecord::Reached {
                at,
                front_end,
                life,
                invocation,
                ..
            } => {
                dispatched.insert(invocation);
                let front_end = *front_end_of.get(life).unwrap_or(front_end);
                reached
                    .entry((invocation, *life))
                    .or_insert((front_end, *at));
            }
            TrafficRecord::Heard { at, invocation, .. } => {
                answered.entry(invocation).or_insert(*at);
            }
            _ => {}
        }
    }
    let message = |invocation: &str, front_end, to| {
        Some(TakenMessage {
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
