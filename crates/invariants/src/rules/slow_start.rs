//! Rule 4: a cold executor is never pushed over by front ends that know that it is cold.

use super::RuleReport;
use crate::{Limits, TrafficRecord};
use std::collections::HashMap;

/// A dispatch that reached an executor.
struct Arrival {
    at: f64,
    incarnation: u64,
}

pub(super) fn check(limits: &Limits, records: &[&TrafficRecord]) -> RuleReport {
    let mut rule = RuleReport::new(4);
    // When an executor had started, as a life of a front end was last told.
    let mut notified: HashMap<(u64, usize), f64> = HashMap::new();
    let mut arrivals: HashMap<usize, Vec<Arrival>> = HashMap::new();
    for &record in records {
        match record {
            TrafficRecord::EndpointNotified {
                incarnation,
                executor,
                started_at: since,
                ..
            } => {
                notified.insert((*incarnation, *executor), *since);
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
                // The rule looks at each dispatch to an executor whose start was told.
                let knew_of_start = notified
                    .get(&(*incarnation, *executor))
                    .is_some_and(|since| since.is_finite());
                rule.checked += u64::from(knew_of_start);
            }
            TrafficRecord::ExecutorOverloaded {
                at,
                executor,
                started_at: since,
            } => {
                let arrivals = arrivals
                    .get(executor)
                    .map(Vec::as_slice)
                    .unwrap_or_default();
                let is_recent = |arrival: &&Arrival| {
                    arrival.at >= at - limits.overload_window && arrival.at >= *since
                };
                let recent: Vec<_> = arrivals.iter().filter(is_recent).collect();
                let knew_of_start = |arrival: &&&Arrival| {
                    let notified = notified.get(&(arrival.incarnation, *executor));
                    notified.is_some_and(|notified| *notified >= since - limits.max_transit_time)
                };
                let by_told = recent.iter().filter(knew_of_start).count();
                rule.check(3 * by_told < 2 * recent.len(), || {
                    let all = recent.len();
                    format!(
                        "executor {executor} was pushed over at {at:.3}, {by_told} of {all} by those told"
                    )
                });
            }
            _ => {}
        }
    }
    rule
}
