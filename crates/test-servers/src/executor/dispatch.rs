//! Dispatches: taken in hand, loaded for, run, and answered with how they ended.

use super::Executor;
use super::connection::Body;
use super::copies::Unloaded;
use super::guards::{InHand, Running};
use super::program::package;
use bytes::Bytes;
use futures_lite::future;
use orchidtally_executor_protocol::v1;
use orchidtally_invariants::{DispatchOutcome, TrafficRecord};
use std::rc::Rc;

/// In a second.
const MICROSECONDS: f64 = 1e6;

impl Executor {
    fn index_taken(&self, from: v1::Sender) -> bool {
        let now = self.stage.now();
        let mut received = self.received.borrow_mut();
        let of = received.entry(from.index).or_default();
        of.insert(from.incarnation, now);
        of.retain(|_, at| now < *at + 1.0);
        of.len() > 1
    }

    pub(super) async fn dispatch(
        self: Rc<Self>,
        dispatch: v1::Dispatch,
        body: &mut Body,
    ) -> (v1::Answer, Vec<Bytes>, InHand, DispatchOutcome, usize) {
        let from = dispatch.from.unwrap_or_default();
        self.stage.record(TrafficRecord::DispatchArrived {
            at: self.stage.now(),
            executor: self.make.number,
            front_end: from.index,
            incarnation: from.incarnation,
            invocation: dispatch.invocation.clone(),
            number: dispatch.number,
            token: dispatch.token.clone(),
            trigger_type: dispatch.trigger_type.clone(),
        });
        self.last_time_left
            .set(dispatch.time_left as f64 / MICROSECONDS);
        self.in_hand.set(self.in_hand.get() + 1);
        let in_hand = InHand {
            executor: self.clone(),
            invocation: dispatch.invocation.clone(),
            number: dispatch.number,
            ended: false,
        };
        let function_concurrency = self
            .copies
            .borrow()
            .get(&package(&dispatch.function, &dispatch.digest))
            .map_or(0, |c| c.running + c.held);
        let mut answer = v1::Answer {
            crowd: function_concurrency.min(30) as u32,
            report: self.report(),
            index_taken: self.index_taken(from),
            ..v1::Answer::default()
        };
        let (payload, streams) = self.run(&dispatch, body, &mut answer).await;
        let ending = match answer.ending() {
            v1::Ending::Ok => DispatchOutcome::Succeeded,
            v1::Ending::Full | v1::Ending::Miss => DispatchOutcome::Rejected,
            v1::Ending::Error | v1::Ending::Unspecified => DispatchOutcome::Failed,
        };
        answer.streams = streams > 0;
        (answer, payload, in_hand, ending, streams)
    }

    /// Loads, waits and runs; leaves in the answer how it ended.
    async fn run(
        self: &Rc<Self>,
        dispatch: &v1::Dispatch,
        body: &mut Body,
        answer: &mut v1::Answer,
    ) -> (Vec<Bytes>, usize) {
        let name = package(&dispatch.function, &dispatch.digest);
        let program = (self.catalogue)(&name);
        let work = program.as_ref().map_or(0.0, |p| p.work);
        if self.is_pushed_over(work) {
            self.fall();
            future::pending::<()>().await;
        }
        let stage = &self.stage;
        while self.faults.hangs.is_active(stage.now()) {
            stage.sleep(self.faults.hangs.ends_at() - stage.now()).await;
        }
        let mut end = |ending: v1::Ending, detail: &str| {
            answer.set_ending(ending);
            answer.detail = detail.to_owned();
        };
        let Some(program) = program else {
            end(v1::Ending::Error, "no such function");
            return (vec![], 0);
        };
        if self.faults.fails_at_once.is_active(stage.now()) {
            stage.sleep(0.002).await;
            end(v1::Ending::Error, "out of order");
            return (vec![], 0);
        }
        if self.draining.get() || self.in_hand.get() > self.make.queue + self.make.cores {
            end(
                v1::Ending::Full,
                if self.draining.get() {
                    "draining"
                } else {
                    "the queue is full"
                },
            );
            return (vec![], 0);
        }
        let payload = body.rest().await;
        let found = match self
            .copy(
                &name,
                &dispatch.digest,
                &program,
                !self.make.rejects_unloaded,
            )
            .await
        {
            Ok(found) => found,
            Err(Unloaded::Failed) => {
                answer.set_found(v1::Found::LoadFailed);
                answer.set_ending(if self.make.reports_failed_load_as_miss {
                    v1::Ending::Miss
                } else {
                    v1::Ending::Error
                });
                return (vec![], 0);
            }
            Err(Unloaded::OtherBytes) => {
                answer.set_found(v1::Found::LoadFailed);
                answer.set_ending(v1::Ending::Miss);
                answer.digest_differs = true;
                return (vec![], 0);
            }
            Err(Unloaded::NoCapacity) => {
                end(v1::Ending::Full, "no memory");
                return (vec![], 0);
            }
            Err(Unloaded::Missing) => {
                end(v1::Ending::Miss, "not loaded");
                return (vec![], 0);
            }
        };
        let Some(slot) = self.slot(&name).await else {
            end(v1::Ending::Full, "unloaded meanwhile");
            return (vec![], 0);
        };
        // From here on it runs: its effect counts as done.
        let number = self.make.number;
        let (at, invocation) = (stage.now(), dispatch.invocation.clone());
        let known = !dispatch.token.is_empty()
            && !self.tokens.is_new(&dispatch.token, at, self.token_window);
        stage.record(match known {
            true => TrafficRecord::Deduplicated {
                at,
                executor: number,
                invocation,
            },
            false => TrafficRecord::ExecutionStarted {
                at,
                executor: number,
                invocation,
            },
        });
        if !dispatch.digest.is_empty() {
            let loaded = slot.digest.clone();
            stage.record(TrafficRecord::VersionExecuted {
                at,
                executor: number,
                invocation: dispatch.invocation.clone(),
                requested_digest: dispatch.digest.clone(),
                loaded_digest: loaded,
            });
        }
        self.running.set(self.running.get() + 1);
        let _running = Running(&self.running);
        let shared = (self.running.get() as f64 / self.make.cores as f64).max(1.0);
        let slow = if stage.unit() < program.slow.0 {
            program.slow.1
        } else {
            1.0
        };
        stage
            .sleep(program.work * (0.7 + 0.6 * stage.unit()) * shared * slow / self.warmth())
            .await;
        let meant = program
            .fails_for
            .as_ref()
            .is_none_or(|t| *t == dispatch.trigger_type);
        if meant && stage.unit() < program.fails {
            end(v1::Ending::Error, "this version fails");
            answer.set_found(found);
            return (vec![], 0);
        }
        match (program.run)(&payload) {
            Ok(result) => {
                answer.set_found(found);
                answer.set_ending(v1::Ending::Ok);
                (result, program.streams)
            }
            Err(fault) => {
                answer.set_ending(v1::Ending::Error);
                answer.detail = fault;
                (vec![], 0)
            }
        }
    }
}
