//! Rule 3: nothing new to an executor that is known to be draining or gone, past the grace.

use super::RuleReport;
use crate::{EndpointState, Limits, TrafficRecord};
use std::collections::HashMap;

/// What a life of a front end was last told of an executor.
struct LastNotification {
    at: f64,
    state: EndpointState,
}

pub(super) fn check(limits: &Limits, records: &[&TrafficRecord]) -> RuleReport {
    let mut rule = RuleReport::new(3);
    let mut notified: HashMap<(u64, usize), LastNotification> = HashMap::new();
    for &record in records {
        let (at, executor, incarnation, what) = match record {
            TrafficRecord::EndpointNotified {
                at,
                incarnation,
                executor,
                state,
                ..
            } => {
                let key = (*incarnation, *executor);
                let was_unready = notified
                    .get(&key)
                    .is_some_and(|last| last.state != EndpointState::Ready);
                // A front end that is told again what it knew has no new grace.
                if *state == EndpointState::Ready || !was_unready {
                    notified.insert(
                        key,
                        LastNotification {
                            at: *at,
                            state: *state,
                        },
                    );
                }
                continue;
            }
            TrafficRecord::DispatchArrived {
                at,
                executor,
                incarnation,
                invocation,
                ..
            } => (*at, *executor, *incarnation, invocation.as_str()),
            TrafficRecord::LoadCommandArrived {
                at,
                executor,
                incarnation,
                replicas: copies,
                ..
            } if *copies > 0 => (*at, *executor, *incarnation, "an order"),
            _ => continue,
        };
        if let Some(last) = notified.get(&(incarnation, executor)) {
            let in_grace = at <= last.at + limits.drain_grace + limits.max_transit_time;
            rule.check(last.state == EndpointState::Ready || in_grace, || {
                let (after, state) = (at - last.at, last.state);
                format!(
                    "{what} came to executor {executor} {after:.3} s after it was told {state:?}"
                )
            });
        }
    }
    rule
}
