//! Rule 1: every invocation gets exactly one final answer before its client timeout.
//!
//! The rule has three exceptions. An invocation whose front end was killed needs no answer. An invocation whose client
//! cancelled needs no answer, but none of its dispatches may arrive at an executor later than the cancellation margin.
//! An invocation whose client timeout expired while its front end was paused has to be answered shortly after the front
//! end resumes, because a paused process can't answer earlier.

use super::paused_reads::PausedReads;
use super::{RuleReport, Verdict};
use crate::{FinalAnswer, Limits, TrafficRecord};
use std::collections::HashMap;

/// A front end that was killed at most this many seconds before an invocation was sent counts as killed for that
/// invocation: the client may have sent it to the killed process.
const KILL_MARGIN: f64 = 1.0;

/// Seconds after a paused front end resumes within which it answers overdue invocations.
const RESUME_GRACE: f64 = 0.1;

pub(super) fn check(
    limits: &Limits,
    records: &[&TrafficRecord],
    verdict: &mut Verdict,
) -> RuleReport {
    let mut rule = RuleReport::new(1);
    let mut arrivals: HashMap<&str, Vec<f64>> = HashMap::new();
    let paused_reads = PausedReads::of(records);
    let mut ends: HashMap<&str, Vec<&TrafficRecord>> = HashMap::new();
    let mut killed: HashMap<u32, Vec<f64>> = HashMap::new();
    let mut paused: HashMap<u32, Vec<(f64, f64)>> = HashMap::new();
    for &record in records {
        match record {
            TrafficRecord::AnswerReceived { invocation, .. }
            | TrafficRecord::ConnectionLost { invocation, .. }
            | TrafficRecord::ClientCancelled { invocation, .. }
            | TrafficRecord::ClientTimedOut { invocation, .. } => {
                ends.entry(invocation).or_default().push(record)
            }
            // A dispatch that the executor read after a pause may have been sent long before.
            TrafficRecord::DispatchArrived { at, executor, .. }
                if paused_reads.may_have_delayed(*executor, *at, limits.max_transit_time) => {}
            TrafficRecord::DispatchArrived { at, invocation, .. } => {
                arrivals.entry(invocation).or_default().push(*at)
            }
            TrafficRecord::FrontEndKilled { at, front_end } => {
                killed.entry(*front_end).or_default().push(*at)
            }
            TrafficRecord::FrontEndPaused {
                at,
                front_end,
                until,
            } => {
                paused.entry(*front_end).or_default().push((*at, *until));
            }
            _ => {}
        }
    }
    for &record in records {
        let TrafficRecord::InvocationSent {
            at,
            invocation,
            front_end,
            timeout_at,
            ..
        } = record
        else {
            continue;
        };
        verdict.invocations += 1;
        let ends = ends
            .get(invocation.as_str())
            .map(Vec::as_slice)
            .unwrap_or_default();
        let was_killed = |by: f64| {
            let times = killed.get(front_end).map(Vec::as_slice).unwrap_or_default();
            times
                .iter()
                .any(|&time| (at - KILL_MARGIN..=by).contains(&time))
        };
        let pauses = paused.get(front_end).map(Vec::as_slice).unwrap_or_default();
        let was_paused = |from: f64, to: f64| {
            pauses
                .iter()
                .any(|pause| pause.0 <= from && to <= pause.1 + RESUME_GRACE)
        };
        match ends {
            [
                TrafficRecord::AnswerReceived {
                    at: answered_at,
                    answer,
                    ..
                },
            ] => {
                verdict.count(*answer);
                let pause = pauses
                    .iter()
                    .find(|(from, to)| (*from..=to + RESUME_GRACE).contains(timeout_at));
                let due = pause.map_or(*timeout_at, |(_, to)| timeout_at.max(to + RESUME_GRACE));
                rule.check(*answered_at <= due, || {
                    format!(
                        "{invocation} was answered {:.3} s after its client timeout",
                        answered_at - timeout_at
                    )
                });
            }
            [
                TrafficRecord::ClientCancelled {
                    at: cancelled_at, ..
                },
            ] => {
                verdict.cancelled_by_client += 1;
                if let Some(margin) = limits.cancellation_margin {
                    let pause = pauses
                        .iter()
                        .find(|(from, to)| (*from..=*to).contains(cancelled_at));
                    let cancellation_seen_at = pause.map_or(*cancelled_at, |(_, to)| *to);
                    let latest_arrival = cancellation_seen_at + margin + limits.max_transit_time;
                    let arrivals = arrivals
                        .get(invocation.as_str())
                        .map(Vec::as_slice)
                        .unwrap_or_default();
                    rule.check(arrivals.iter().all(|&at| at <= latest_arrival), || {
                        format!("{invocation}: a dispatch arrived over {margin} s after its client cancelled at {cancelled_at:.3}")
                    });
                }
            }
            // The front end was paused from the timeout until the client gave up, so that it could not answer late.
            [TrafficRecord::ClientTimedOut { at: ended_at, .. }]
                if was_paused(*timeout_at, *ended_at) =>
            {
                verdict.lost_to_failures += 1
            }
            [
                TrafficRecord::ConnectionLost { at: ended_at, .. }
                | TrafficRecord::ClientTimedOut { at: ended_at, .. },
            ] if was_killed(*ended_at) => verdict.lost_to_failures += 1,
            [TrafficRecord::ConnectionLost { at: ended_at, .. }] => rule.check(false, || {
                format!("{invocation}: the connection broke at {ended_at:.3} without an answer")
            }),
            [TrafficRecord::ClientTimedOut { .. }] | [] => {
                rule.check(false, || {
                    format!("{invocation} was not answered by {timeout_at:.3}")
                });
            }
            several => rule.check(false, || {
                format!("{invocation} had {} outcomes instead of one", several.len())
            }),
        }
    }
    rule
}

impl Verdict {
    fn count(&mut self, answer: FinalAnswer) {
        match answer {
            FinalAnswer::Succeeded => self.succeeded += 1,
            FinalAnswer::Rejected => self.rejected += 1,
            FinalAnswer::Failed => self.failed += 1,
            FinalAnswer::NotAdmitted => {}
        }
    }
}
