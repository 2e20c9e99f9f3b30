//! Rule 3: a front end sends no new work to an executor once the grace period after the notification that the executor
//! drains or is gone has passed.

use super::RuleReport;
use crate::{EndpointState, Limits, TrafficRecord};
use std::collections::HashMap;

/// The latest notification about an executor to one incarnation of a front end that counts for the grace period.
struct LastNotification {
    at: f64,
    state: EndpointState,
}

pub(super) fn check(limits: &Limits, records: &[&TrafficRecord]) -> RuleReport {
    let mut rule = RuleReport::new(3);
    let mut notified: HashMap<(u64, usize), LastNotification> = HashMap::new();
    for &record in records {
        let (at, executor, incarnation, message) = match record {
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
                // A repeated notification does not restart the grace period.
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
                replicas,
                ..
            } if *replicas > 0 => (*at, *executor, *incarnation, "a load command"),
            _ => continue,
        };
        if let Some(last) = notified.get(&(incarnation, executor)) {
            let in_grace = at <= last.at + limits.drain_grace + limits.max_transit_time;
            rule.check(last.state == EndpointState::Ready || in_grace, || {
                let (after, state) = (at - last.at, last.state);
                format!(
                    "{message} arrived at executor {executor} {after:.3} s after the notification that it is {state:?}"
                )
            });
        }
    }
    rule
}
