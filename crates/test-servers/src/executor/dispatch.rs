//! Dispatches: taken in hand, loaded for, run, and answered with how they ended.

use super::Executor;
use super::connection::Body;
use super::copies::Unloaded;
use super::guards::{InHand, Running};
use super::program::{FunctionError, Program, package};
use bytes::Bytes;
use futures_lite::future;
use orchidtally_executor_protocol::v1;
use orchidtally_invariants::{DispatchOutcome, TrafficRecord};
use std::rc::Rc;

/// Microseconds in a second.
const MICROSECONDS: f64 = 1e6;
/// How long a scripted failure at once takes, in seconds.
const FAST_ERROR_TIME: f64 = 0.002;

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
    ) -> DispatchResponse {
        let from = dispatch.from.unwrap_or_default();
        self.stage.record(TrafficRecord::DispatchArrived {
            at: self.stage.now(),
            executor: self.spec.number,
            front_end: from.index,
            incarnation: from.incarnation,
            invocation: dispatch.invocation.clone(),
            number: dispatch.number,
            idempotency_key: dispatch.token.clone(),
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
        let output = self.run(&dispatch, body, &mut answer).await;
        let outcome = match answer.ending() {
            v1::Ending::Ok => DispatchOutcome::Succeeded,
            v1::Ending::Full | v1::Ending::Miss => DispatchOutcome::Rejected,
            v1::Ending::Error | v1::Ending::Unspecified => DispatchOutcome::Failed,
        };
        answer.streams = output.streams > 0;
        DispatchResponse {
            answer,
            output,
            in_hand,
            outcome,
        }
    }

    /// Loads, waits and runs; leaves in the answer how it ended.
    async fn run(
        self: &Rc<Self>,
        dispatch: &v1::Dispatch,
        body: &mut Body,
        answer: &mut v1::Answer,
    ) -> Output {
        match self.try_run(dispatch, body, answer).await {
            Ok(output) => {
                answer.set_ending(v1::Ending::Ok);
                output
            }
            Err(failure) => {
                failure.describe(answer);
                Output::default()
            }
        }
    }

    async fn try_run(
        self: &Rc<Self>,
        dispatch: &v1::Dispatch,
        body: &mut Body,
        answer: &mut v1::Answer,
    ) -> Result<Output, DispatchFailure> {
        let name = package(&dispatch.function, &dispatch.digest);
        let program = (self.catalogue)(&name);
        let work = program.as_ref().map_or(0.0, |program| program.work);
        if self.would_overload(work) {
            self.overload();
            future::pending::<()>().await;
        }
        self.wait_while_hanging().await;
        let program = program.ok_or(DispatchFailure::UnknownFunction)?;
        self.check_admission().await?;
        let payload = body.rest().await;
        let loads = !self.spec.rejects_unloaded;
        let found = self
            .copy(&name, &dispatch.digest, &program, loads)
            .await
            .map_err(|unloaded| self.load_failure(unloaded))?;
        let slot = self
            .slot(&name)
            .await
            .ok_or(DispatchFailure::UnloadedMeanwhile)?;
        // From here on it runs: its effect counts as done.
        self.record_execution(dispatch, &slot.digest);
        self.running.set(self.running.get() + 1);
        let _running = Running(&self.running);
        self.stage.sleep(self.run_time(&program)).await;
        if self.fails_by_chance(&program, &dispatch.trigger_type) {
            answer.set_found(found);
            return Err(DispatchFailure::ByChance);
        }
        let payload = (program.run)(&payload)?;
        answer.set_found(found);
        Ok(Output {
            payload,
            streams: program.streams,
        })
    }

    async fn wait_while_hanging(&self) {
        let hangs = &self.faults.hangs;
        while hangs.is_active(self.stage.now()) {
            self.stage.sleep(hangs.ends_at() - self.stage.now()).await;
        }
    }

    /// Whether the executor takes a dispatch of a known function, before anything is loaded for it.
    async fn check_admission(&self) -> Result<(), DispatchFailure> {
        if self.faults.fails_at_once.is_active(self.stage.now()) {
            self.stage.sleep(FAST_ERROR_TIME).await;
            return Err(DispatchFailure::FailsAtOnce);
        }
        if self.draining.get() {
            return Err(DispatchFailure::Draining);
        }
        if self.in_hand.get() > self.spec.queue + self.spec.cores {
            return Err(DispatchFailure::QueueFull);
        }
        Ok(())
    }

    fn load_failure(&self, unloaded: Unloaded) -> DispatchFailure {
        match unloaded {
            Unloaded::Failed => DispatchFailure::LoadFailed {
                is_miss: self.spec.reports_failed_load_as_miss,
            },
            Unloaded::OtherBytes => DispatchFailure::DigestDiffers,
            Unloaded::NoCapacity => DispatchFailure::NoMemory,
            Unloaded::Missing => DispatchFailure::NotLoaded,
        }
    }

    /// Records that the dispatch runs, or that its effect was deduplicated, and which version runs.
    fn record_execution(&self, dispatch: &v1::Dispatch, loaded_digest: &str) {
        let at = self.stage.now();
        let executor = self.spec.number;
        let invocation = dispatch.invocation.clone();
        let is_duplicate = !dispatch.token.is_empty()
            && !self.tokens.is_new(&dispatch.token, at, self.token_window);
        self.stage.record(if is_duplicate {
            TrafficRecord::Deduplicated {
                at,
                executor,
                invocation,
            }
        } else {
            TrafficRecord::ExecutionStarted {
                at,
                executor,
                invocation,
            }
        });
        if !dispatch.digest.is_empty() {
            self.stage.record(TrafficRecord::VersionExecuted {
                at,
                executor,
                invocation: dispatch.invocation.clone(),
                requested_digest: dispatch.digest.clone(),
                loaded_digest: loaded_digest.to_owned(),
            });
        }
    }

    /// How long this run takes among those that share the cores, in seconds; drawn at random.
    fn run_time(&self, program: &Program) -> f64 {
        let runs_per_core = (self.running.get() as f64 / self.spec.cores as f64).max(1.0);
        let (slow_chance, slow_factor) = program.slow;
        let slow = if self.stage.unit() < slow_chance {
            slow_factor
        } else {
            1.0
        };
        program.work * (0.7 + 0.6 * self.stage.unit()) * runs_per_core * slow / self.warmth()
    }

    /// Draws whether this run fails, as the program wants it of some trigger type or of all.
    fn fails_by_chance(&self, program: &Program, trigger_type: &str) -> bool {
        let may_fail = program
            .fails_for
            .as_ref()
            .is_none_or(|failing| failing == trigger_type);
        may_fail && self.stage.unit() < program.fails
    }
}

/// The answer to a dispatch, which is in hand until it is sent.
pub(super) struct DispatchResponse {
    pub(super) answer: v1::Answer,
    pub(super) output: Output,
    pub(super) in_hand: InHand,
    /// How the dispatch ends once the answer is sent.
    pub(super) outcome: DispatchOutcome,
}

/// What a dispatch gave back.
#[derive(Default)]
pub(super) struct Output {
    /// The chunks of the result.
    pub(super) payload: Vec<Bytes>,
    /// Parts in which the result is streamed; none for a whole one.
    pub(super) streams: usize,
}

/// Why a dispatch gave no result. Its text is the detail of the answer.
#[derive(Debug, thiserror::Error)]
enum DispatchFailure {
    #[error("no such function")]
    UnknownFunction,
    /// A scripted fault.
    #[error("out of order")]
    FailsAtOnce,
    #[error("draining")]
    Draining,
    #[error("the queue is full")]
    QueueFull,
    /// The store gave nothing; this counts as a miss where the executor is set so.
    #[error("")]
    LoadFailed { is_miss: bool },
    /// The store gave other bytes than the digest names.
    #[error("")]
    DigestDiffers,
    #[error("no memory")]
    NoMemory,
    #[error("not loaded")]
    NotLoaded,
    #[error("unloaded meanwhile")]
    UnloadedMeanwhile,
    /// The program is set to fail sometimes.
    #[error("this version fails")]
    ByChance,
    #[error(transparent)]
    Function(#[from] FunctionError),
}

impl DispatchFailure {
    fn ending(&self) -> v1::Ending {
        match self {
            Self::UnknownFunction
            | Self::FailsAtOnce
            | Self::LoadFailed { is_miss: false }
            | Self::ByChance
            | Self::Function(_) => v1::Ending::Error,
            Self::Draining | Self::QueueFull | Self::NoMemory | Self::UnloadedMeanwhile => {
                v1::Ending::Full
            }
            Self::LoadFailed { is_miss: true } | Self::DigestDiffers | Self::NotLoaded => {
                v1::Ending::Miss
            }
        }
    }

    /// Writes the failure into the answer.
    fn describe(&self, answer: &mut v1::Answer) {
        answer.set_ending(self.ending());
        answer.detail = self.to_string();
        if matches!(self, Self::LoadFailed { .. } | Self::DigestDiffers) {
            answer.set_found(v1::Found::LoadFailed);
        }
        answer.digest_differs = matches!(self, Self::DigestDiffers);
    }
}
