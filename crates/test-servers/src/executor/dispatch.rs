//! Handles dispatches: admission, loading of the function, its run and the answer with the outcome.

use super::Executor;
use super::connection::Body;
use super::guards::{PendingDispatch, Running};
use super::program::{FunctionError, Program, package_name};
use super::replicas::LoadFailure;
use bytes::Bytes;
use futures_lite::future;
use orchidtally_executor_protocol::v1;
use orchidtally_invariants::{DispatchOutcome, TrafficRecord};
use std::rc::Rc;

/// Microseconds in a second.
const MICROSECONDS: f64 = 1e6;
/// Time until the answer to a dispatch while `Faults::fails_immediately` is active, in seconds.
const FAST_ERROR_TIME: f64 = 0.002;

impl Executor {
    /// Records a sender and returns whether another incarnation sent under the same index within the last second.
    fn is_index_shared(&self, from: v1::Sender) -> bool {
        let now = self.environment.now();
        let mut recent_incarnations = self.recent_incarnations.borrow_mut();
        let incarnations = recent_incarnations.entry(from.index).or_default();
        incarnations.insert(from.incarnation, now);
        incarnations.retain(|_, at| now < *at + 1.0);
        incarnations.len() > 1
    }

    /// Runs a dispatch and returns its answer. The dispatch counts as pending until
    /// `DispatchResponse::pending_dispatch` is ended or dropped.
    pub(super) async fn dispatch(
        self: Rc<Self>,
        dispatch: v1::Dispatch,
        body: &mut Body,
    ) -> DispatchResponse {
        let from = dispatch.from.unwrap_or_default();
        self.environment.record(TrafficRecord::DispatchArrived {
            at: self.environment.now(),
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
        self.pending_dispatches
            .set(self.pending_dispatches.get() + 1);
        let pending_dispatch = PendingDispatch {
            executor: self.clone(),
            invocation: dispatch.invocation.clone(),
            number: dispatch.number,
            ended: false,
        };
        let function_concurrency = self
            .replicas
            .borrow()
            .get(&package_name(&dispatch.function, &dispatch.digest))
            .map_or(0, |c| c.running + c.waiting);
        let mut answer = v1::Answer {
            crowd: function_concurrency.min(30) as u32,
            report: self.report(),
            index_taken: self.is_index_shared(from),
            ..v1::Answer::default()
        };
        let output = self.run(&dispatch, body, &mut answer).await;
        let outcome = match answer.ending() {
            v1::Ending::Ok => DispatchOutcome::Succeeded,
            v1::Ending::Full | v1::Ending::Miss => DispatchOutcome::Rejected,
            v1::Ending::Error | v1::Ending::Unspecified => DispatchOutcome::Failed,
        };
        answer.streams = output.response_parts > 0;
        DispatchResponse {
            answer,
            output,
            pending_dispatch,
            outcome,
        }
    }

    /// Loads the function if necessary and runs it; writes the ending to `answer`.
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
        let name = package_name(&dispatch.function, &dispatch.digest);
        let program = (self.catalogue)(&name);
        let work = program.as_ref().map_or(0.0, |program| program.cpu_time);
        if self.would_overload(work) {
            self.overload();
            future::pending::<()>().await;
        }
        self.wait_while_hanging().await;
        let program = program.ok_or(DispatchFailure::UnknownFunction)?;
        self.check_admission().await?;
        let payload = body.read_payload().await;
        let may_load = !self.spec.rejects_unloaded;
        let found = self
            .loaded_replica(&name, &dispatch.digest, &program, may_load)
            .await
            .map_err(|load_failure| self.load_failure(load_failure))?;
        let slot = self
            .slot(&name)
            .await
            .ok_or(DispatchFailure::UnloadedMeanwhile)?;
        // From here on the effect counts as executed, even if the run fails or is cancelled.
        self.record_execution(dispatch, &slot.digest);
        self.running.set(self.running.get() + 1);
        let _running = Running(&self.running);
        self.environment.sleep(self.run_time(&program)).await;
        if self.draws_failure(&program, &dispatch.trigger_type) {
            answer.set_found(found);
            return Err(DispatchFailure::RandomFailure);
        }
        let payload = (program.run)(&payload)?;
        answer.set_found(found);
        Ok(Output {
            payload,
            response_parts: program.response_parts,
        })
    }

    async fn wait_while_hanging(&self) {
        let hangs = &self.faults.hangs;
        while hangs.is_active(self.environment.now()) {
            self.environment
                .sleep(hangs.ends_at() - self.environment.now())
                .await;
        }
    }

    /// Decides whether a dispatch of a known function is admitted, before its function is loaded.
    async fn check_admission(&self) -> Result<(), DispatchFailure> {
        if self
            .faults
            .fails_immediately
            .is_active(self.environment.now())
        {
            self.environment.sleep(FAST_ERROR_TIME).await;
            return Err(DispatchFailure::InjectedFault);
        }
        if self.draining.get() {
            return Err(DispatchFailure::Draining);
        }
        if self.pending_dispatches.get() > self.spec.queue_capacity + self.spec.cores {
            return Err(DispatchFailure::QueueFull);
        }
        Ok(())
    }

    fn load_failure(&self, load_failure: LoadFailure) -> DispatchFailure {
        match load_failure {
            LoadFailure::Failed => DispatchFailure::LoadFailed {
                is_miss: self.spec.reports_failed_load_as_miss,
            },
            LoadFailure::DigestMismatch => DispatchFailure::DigestDiffers,
            LoadFailure::NoCapacity => DispatchFailure::NoMemory,
            LoadFailure::Missing => DispatchFailure::NotLoaded,
        }
    }

    /// Records the start of an execution, or its deduplication by idempotency key, and the version that runs.
    fn record_execution(&self, dispatch: &v1::Dispatch, loaded_digest: &str) {
        let at = self.environment.now();
        let executor = self.spec.number;
        let invocation = dispatch.invocation.clone();
        let is_duplicate = !dispatch.token.is_empty()
            && !self
                .token_cache
                .is_new(&dispatch.token, at, self.deduplication_window);
        self.environment.record(if is_duplicate {
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
            self.environment.record(TrafficRecord::VersionExecuted {
                at,
                executor,
                invocation: dispatch.invocation.clone(),
                requested_digest: dispatch.digest.clone(),
                loaded_digest: loaded_digest.to_owned(),
            });
        }
    }

    /// Draws the duration of a run in seconds. Runs take longer while they outnumber the cores, and during slow start.
    fn run_time(&self, program: &Program) -> f64 {
        let runs_per_core = (self.running.get() as f64 / self.spec.cores as f64).max(1.0);
        let (slow_chance, slow_factor) = program.slow_runs;
        let slow = if self.environment.random_unit() < slow_chance {
            slow_factor
        } else {
            1.0
        };
        program.cpu_time * (0.7 + 0.6 * self.environment.random_unit()) * runs_per_core * slow
            / self.slow_start_factor()
    }

    /// Draws whether a run fails, with the program's failure probability for this trigger type.
    fn draws_failure(&self, program: &Program, trigger_type: &str) -> bool {
        let may_fail = program
            .failing_trigger_type
            .as_ref()
            .is_none_or(|failing| failing == trigger_type);
        may_fail && self.environment.random_unit() < program.failure_probability
    }
}

/// The answer to a dispatch, which stays pending until the answer is sent.
pub(super) struct DispatchResponse {
    pub(super) answer: v1::Answer,
    pub(super) output: Output,
    pub(super) pending_dispatch: PendingDispatch,
    /// The outcome to record if the answer is sent.
    pub(super) outcome: DispatchOutcome,
}

/// The result of a run.
#[derive(Default)]
pub(super) struct Output {
    /// The result in chunks.
    pub(super) payload: Vec<Bytes>,
    /// The number of parts in which the result is streamed; 0 to send it as one message.
    pub(super) response_parts: usize,
}

/// Why a dispatch has no result. Its display text is the `detail` of the answer.
#[derive(Debug, thiserror::Error)]
enum DispatchFailure {
    #[error("no such function")]
    UnknownFunction,
    /// `Faults::fails_immediately` is active.
    #[error("out of order")]
    InjectedFault,
    #[error("draining")]
    Draining,
    #[error("the queue is full")]
    QueueFull,
    /// The fetch from the store failed; `is_miss` is `ExecutorSpec::reports_failed_load_as_miss`.
    #[error("")]
    LoadFailed { is_miss: bool },
    /// The digest of the fetched package differs from the requested one.
    #[error("")]
    DigestDiffers,
    #[error("no memory")]
    NoMemory,
    #[error("not loaded")]
    NotLoaded,
    #[error("unloaded meanwhile")]
    UnloadedMeanwhile,
    /// The run failed by `Program::failure_probability`.
    #[error("this version fails")]
    RandomFailure,
    #[error(transparent)]
    Function(#[from] FunctionError),
}

impl DispatchFailure {
    fn ending(&self) -> v1::Ending {
        match self {
            Self::UnknownFunction
            | Self::InjectedFault
            | Self::LoadFailed { is_miss: false }
            | Self::RandomFailure
            | Self::Function(_) => v1::Ending::Error,
            Self::Draining | Self::QueueFull | Self::NoMemory | Self::UnloadedMeanwhile => {
                v1::Ending::Full
            }
            Self::LoadFailed { is_miss: true } | Self::DigestDiffers | Self::NotLoaded => {
                v1::Ending::Miss
            }
        }
    }

    /// Writes the ending and details of the failure to `answer`.
    fn describe(&self, answer: &mut v1::Answer) {
        answer.set_ending(self.ending());
        answer.detail = self.to_string();
        if matches!(self, Self::LoadFailed { .. } | Self::DigestDiffers) {
            answer.set_found(v1::Found::LoadFailed);
        }
        answer.digest_differs = matches!(self, Self::DigestDiffers);
    }
}
