//! Rule 4: front ends that know that an executor is cold never overload it.

use super::RuleReport;
use crate::{Limits, TrafficRecord};
use std::collections::HashMap;

/// The arrival of a dispatch at an executor.
struct Arrival {
    at: f64,
    incarnation: u64,
}

pub(super) fn check(limits: &Limits, records: &[&TrafficRecord]) -> RuleReport {
    let mut rule = RuleReport::new(4);
    // The start time of an executor in the latest notification to a front end's incarnation.
    let mut notified: HashMap<(u64, usize), f64> = HashMap::new();
    let mut arrivals: HashMap<usize, Vec<Arrival>> = HashMap::new();
    for &record in records {
        match record {
            TrafficRecord::EndpointNotified {
                incarnation,
                executor,
                started_at,
                ..
            } => {
                notified.insert((*incarnation, *executor), *started_at);
            }
            TrafficRecord::DispatchArrived {
                at,
                executor,
                incarnation,
                ..
            } => {
                arrivals.entry(*executor).or_default().push(Arrival {
                    at: *at,
                    incarnation: *incarnation,
                });
                // Every dispatch to an executor whose start time the front end knew counts as a check.
                let knew_of_start = notified
                    .get(&(*incarnation, *executor))
                    .is_some_and(|started_at| started_at.is_finite());
                rule.checked += u64::from(knew_of_start);
            }
            TrafficRecord::ExecutorOverloaded {
                at,
                executor,
                started_at,
            } => {
                let arrivals = arrivals
                    .get(executor)
                    .map(Vec::as_slice)
                    .unwrap_or_default();
                let is_recent = |arrival: &&Arrival| {
                    arrival.at >= at - limits.overload_window && arrival.at >= *started_at
                };
                let recent: Vec<_> = arrivals.iter().filter(is_recent).collect();
                let knew_of_start = |arrival: &&&Arrival| {
                    let notified = notified.get(&(arrival.incarnation, *executor));
                    notified
                        .is_some_and(|notified| *notified >= started_at - limits.max_transit_time)
                };
                let from_notified = recent.iter().filter(knew_of_start).count();
                // The rule is violated if front ends that knew of the start sent at least two thirds of the dispatches.
                rule.check(3 * from_notified < 2 * recent.len(), || {
                    let all = recent.len();
                    format!(
                        "executor {executor} was overloaded at {at:.3}, {from_notified} of {all} dispatches by notified front ends"
                    )
                });
            }
            _ => {}
        }
    }
    rule
}
