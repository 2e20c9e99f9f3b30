//! Dispatches and load commands after they were decided on: as their bytes leave, and how they end.

use super::{Event, Play, SEND_DELAY, SentDispatch};
use crate::fleet::LOAD_TIME;
use orchidtally_dispatch_policy::interface::*;

impl Play<'_> {
    pub(super) fn send(&mut self, invocation: u32, to: ExecutorId, time_out: f64) {
        let now = self.now();
        let open = self
            .invocations
            .get_mut(&invocation)
            .expect("a dispatch of an invocation never taken");
        let dispatch = open.dispatches.len() as u8;
        open.dispatches.push(SentDispatch {
            to,
            sent_at: now,
            ended: false,
        });
        let function = open.function;
        if self.scenario.revalidates {
            self.schedule(
                SEND_DELAY,
                Event::BytesLeave {
                    invocation,
                    dispatch,
                },
            );
        }
        let result = self
            .fleet
            .run(self.scenario, &mut self.random, to, function, now);
        if result.is_answered && result.delay < time_out {
            if self.random.chance(self.scenario.streamed) {
                self.schedule(
                    0.7 * result.delay,
                    Event::Streams {
                        invocation,
                        dispatch,
                    },
                );
            }
            let (ending, found) = (result.ending, result.found);
            self.schedule(
                result.delay,
                Event::DispatchEnds {
                    invocation,
                    dispatch,
                    ending,
                    found,
                },
            );
        } else {
            let (ending, found) = (DispatchStatus::TimedOut, ReplicaState::Unknown);
            self.schedule(
                time_out,
                Event::DispatchEnds {
                    invocation,
                    dispatch,
                    ending,
                    found,
                },
            );
        }
    }

    pub(super) fn bytes_leave(&mut self, invocation: u32, dispatch: u8) {
        let now = self.now();
        let leaves = self
            .dispatcher
            .revalidate_dispatch(now, invocation, dispatch);
        self.recorder.note(30, leaves.into());
        if !leaves && self.dropped.insert((invocation, dispatch)) {
            self.end_dispatch(
                invocation,
                dispatch,
                DispatchStatus::NeverSent,
                ReplicaState::Unknown,
            );
        }
    }

    pub(super) fn end_dispatch(
        &mut self,
        invocation: u32,
        dispatch: u8,
        ending: DispatchStatus,
        found: ReplicaState,
    ) {
        let now = self.now();
        let withheld = matches!(
            ending,
            DispatchStatus::Cancelled | DispatchStatus::NeverSent
        );
        if !withheld && self.dropped.contains(&(invocation, dispatch)) {
            return;
        }
        let Some(open) = self.invocations.get_mut(&invocation) else {
            return;
        };
        let Some(sent) = open.dispatches.get_mut(usize::from(dispatch)) else {
            return;
        };
        if std::mem::replace(&mut sent.ended, true) {
            return;
        }
        let (executor, took) = (sent.to, now - sent.sent_at);
        let is_success = ending == DispatchStatus::Ok;
        if is_success && !open.closed && now <= open.timeout_at {
            self.succeeded += 1;
        }
        open.closed |= is_success;
        let closed = open.closed;
        let report = [
            self.fleet.waiting(executor, &mut self.random),
            (self.random.unit() * 3.0) as f32,
        ];
        let has_report = self.random.chance(0.7);
        let report: &[f32] = if has_report { &report } else { &[] };
        let crowd = self.random.below(6) as u32;
        let result = DispatchResult {
            invocation,
            dispatch,
            executor,
            status: ending,
            duration: took,
            is_answered: closed,
            replica_state: found,
            function_concurrency: crowd,
            load_report: report,
        };
        self.dispatcher
            .on_dispatch_result(now, &result, &mut self.recorder);
    }

    pub(super) fn load_leaves(&mut self, to: ExecutorId, function: u64, ordered_at: f64) {
        let now = self.now();
        let leaves = self.dispatcher.revalidate_load(now, to, ordered_at);
        self.recorder.note(31, leaves.into());
        if leaves {
            self.schedule_load(to, function);
        } else {
            self.dispatcher.on_load_result(
                now,
                to,
                function,
                DispatchStatus::NeverSent,
                &mut self.recorder,
            );
        }
    }

    pub(super) fn schedule_load(&mut self, to: ExecutorId, function: u64) {
        let delay = LOAD_TIME * (0.5 + self.random.unit());
        self.schedule(delay, Event::LoadEnds { to, function });
    }

    pub(super) fn end_load(&mut self, to: ExecutorId, function: u64) {
        let now = self.now();
        let ending = self
            .fleet
            .load(self.scenario, &mut self.random, to, function, now);
        self.dispatcher
            .on_load_result(now, to, function, ending, &mut self.recorder);
    }
}
