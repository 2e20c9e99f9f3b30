//! Rule 3: nothing new to an executor that is known to be draining or gone, past the grace.

use super::RuleReport;
use crate::{EndpointState, Limits, TrafficRecord};
use std::collections::HashMap;

/// What a life of a front end was last told of an executor.
struct LastTold {
    at: f64,
    standing: EndpointState,
}

pub(super) fn check(limits: &Limits, records: &[&TrafficRecord]) -> RuleReport {
    let mut rule = RuleReport::new(3);
    let mut told: HashMap<(u64, usize), LastTold> = HashMap::new();
    for &record in records {
        let (at, executor, life, what) = match record {
            TrafficRecord::Told {
                at,
                life,
                executor,
                standing,
                ..
            } => {
                let key = (*life, *executor);
                let was_unready = told
                    .get(&key)
                    .is_some_and(|last| last.standing != EndpointState::Ready);
                // A front end that is told again what it knew has no new grace.
                if *standing == EndpointState::Ready || !was_unready {
                    told.insert(
                        key,
                        LastTold {
                            at: *at,
                            standing: *standing,
                        },
                    );
                }
                continue;
            }
            TrafficRecord::Reached {
                at,
                executor,
                life,
                invocation,
                ..
            } => (*at, *executor, *life, invocation.as_str()),
            TrafficRecord::Ordered {
                at,
                executor,
                life,
                copies,
                ..
            } if *copies > 0 => (*at, *executor, *life, "an order"),
            _ => continue,
        };
        if let Some(last) = told.get(&(life, executor)) {
            let in_grace = at <= last.at + limits.drain_grace + limits.transit;
            rule.check(last.standing == EndpointState::Ready || in_grace, || {
                let (after, standing) = (at - last.at, last.standing);
                format!(
                    "{what} came to executor {executor} {after:.3} s after it was told {standing:?}"
                )
            });
        }
    }
    rule
}
