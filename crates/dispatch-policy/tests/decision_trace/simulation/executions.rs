//! Dispatches and load commands after the decision: sending them, running them and reporting their results.

use super::{Event, SEND_DELAY, SentDispatch, Simulation};
use crate::fleet::LOAD_TIME;
use orchidtally_dispatch_policy::interface::*;

impl Simulation<'_> {
    pub(super) fn send(&mut self, invocation: u32, to: ExecutorId, timeout: f64) {
        let now = self.now();
        let open = self
            .invocations
            .get_mut(&invocation)
            .expect("the dispatched invocation was never accepted");
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
                Event::SendDispatch {
                    invocation,
                    dispatch,
                },
            );
        }
        let result = self
            .fleet
            .run(self.scenario, &mut self.random, to, function, now);
        if result.is_answered && result.delay < timeout {
            if self.random.chance(self.scenario.streamed_responses) {
                self.schedule(
                    0.7 * result.delay,
                    Event::ResponseStarts {
                        invocation,
                        dispatch,
                    },
                );
            }
            let (status, copy_state) = (result.status, result.copy_state);
            self.schedule(
                result.delay,
                Event::DispatchEnds {
                    invocation,
                    dispatch,
                    status,
                    copy_state,
                },
            );
        } else {
            let (status, copy_state) = (DispatchStatus::TimedOut, ReplicaState::Unknown);
            self.schedule(
                timeout,
                Event::DispatchEnds {
                    invocation,
                    dispatch,
                    status,
                    copy_state,
                },
            );
        }
    }

    pub(super) fn revalidate_dispatch(&mut self, invocation: u32, dispatch: u8) {
        let now = self.now();
        let may_send = self
            .dispatcher
            .revalidate_dispatch(now, invocation, dispatch);
        self.recorder.note(30, may_send.into());
        if !may_send && self.dropped.insert((invocation, dispatch)) {
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
        status: DispatchStatus,
        copy_state: ReplicaState,
    ) {
        let now = self.now();
        let withheld = matches!(
            status,
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
        let (executor, duration) = (sent.to, now - sent.sent_at);
        let is_success = status == DispatchStatus::Ok;
        if is_success && !open.closed && now <= open.timeout_at {
            self.succeeded += 1;
        }
        open.closed |= is_success;
        let closed = open.closed;
        let report = [
            self.fleet.reported_backlog(executor, &mut self.random),
            (self.random.unit() * 3.0) as f32,
        ];
        let has_report = self.random.chance(0.7);
        let report: &[f32] = if has_report { &report } else { &[] };
        let function_concurrency = self.random.below(6) as u32;
        let result = DispatchResult {
            invocation,
            dispatch,
            executor,
            status,
            duration,
            is_answered: closed,
            replica_state: copy_state,
            function_concurrency,
            load_report: report,
        };
        self.dispatcher
            .on_dispatch_result(now, &result, &mut self.recorder);
    }

    pub(super) fn revalidate_load(&mut self, to: ExecutorId, function: u64, decided_at: f64) {
        let now = self.now();
        let may_send = self.dispatcher.revalidate_load(now, to, decided_at);
        self.recorder.note(31, may_send.into());
        if may_send {
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
        let status = self
            .fleet
            .load(self.scenario, &mut self.random, to, function, now);
        self.dispatcher
            .on_load_result(now, to, function, status, &mut self.recorder);
    }
}
