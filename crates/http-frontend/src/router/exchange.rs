//! Dispatches to executors, from the first byte to the result that is reported to the engine.

use super::invocation::{ExecutorResponse, InvocationContext, ResponseTruncated};
use super::{Router, executor_number, seconds};
use crate::pool::{Incoming, Pool};
use bytes::Bytes;
use orchidtally_deployment::EndpointSource;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::transport_outcome::{self, TransportOutcome};
use orchidtally_engine::{NO_METADATA, ResponseMetadata};
use orchidtally_executor_protocol::v1;
use orchidtally_executor_protocol::{DISPATCH_PATH, frame};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, error};

/// Chunks of a streamed response that are buffered for a client that reads slowly.
const MAX_STREAM_CHUNKS: usize = 8;
/// Microseconds in a second.
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// The interval between two warnings about a duplicate index.
const INDEX_WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// A dispatch to an executor.
pub(super) struct Dispatch {
    /// The engine's id of the invocation.
    pub(super) invocation: u32,
    /// The number of the dispatch among those of the invocation.
    pub(super) number: u8,
    pub(super) executor: ExecutorId,
    pub(super) pool: Rc<Pool>,
    pub(super) context: Rc<InvocationContext>,
    /// The key of the function's version.
    pub(super) version: u64,
    /// When the client's timeout ends.
    pub(super) timeout_at: f64,
}

/// How long a dispatch took.
#[derive(Clone, Copy)]
pub(super) struct Timing {
    /// Seconds from its start to its response.
    pub(super) elapsed: f64,
    /// Whether the executor had a warm replica.
    pub(super) is_warm: bool,
}

/// How a dispatch ended.
struct DispatchEnd<'a> {
    status: DispatchStatus,
    metadata: ResponseMetadata<'a>,
    executor_response: Option<ExecutorResponse>,
    timing: Option<Timing>,
}

/// The state of the function's replica when the dispatch reached the executor.
fn replica_state(answer: &v1::Answer) -> ReplicaState {
    match answer.found() {
        v1::Found::Untold => ReplicaState::Unknown,
        v1::Found::Warm => ReplicaState::Warm,
        v1::Found::Loaded => ReplicaState::ColdStart,
        v1::Found::Waited => ReplicaState::JoinedLoad,
        v1::Found::LoadFailed => ReplicaState::LoadFailed,
    }
}

impl Router {
    fn report_dispatch_result(&self, dispatch: &Dispatch, end: DispatchEnd) {
        let (invocation, number) = (dispatch.invocation, dispatch.number);
        self.run_engine(|engine, now, action_executor| {
            action_executor.timing = end.timing;
            if let Some(task) = action_executor.dispatch_tasks.remove(&(invocation, number)) {
                task.detach();
            }
            action_executor.executor_response = end.executor_response;
            engine.on_dispatch_result(
                now,
                invocation,
                number,
                end.status,
                end.metadata,
                action_executor,
            );
            action_executor.executor_response = None;
        });
    }

    /// Records in the endpoint cache whether an exchange reached its executor. Only a list from etcd uses this.
    fn record_reachability(&self, executor: ExecutorId, outcome: Option<TransportOutcome>) {
        if !matches!(self.deployment.endpoint_source, EndpointSource::Etcd(_)) {
            return;
        }
        match outcome {
            None => self
                .cache
                .borrow_mut()
                .record_response(self.now(), &executor),
            Some(TransportOutcome::NoConnection) => {
                let update = self.cache.borrow_mut().on_connection_failure(&executor);
                if let Some(update) = update {
                    self.run_engine(|engine, now, action_executor| {
                        engine.on_endpoint_update(
                            now,
                            update.kind,
                            &update.endpoints,
                            action_executor,
                        )
                    });
                }
            }
            Some(_) => {}
        }
    }

    /// Counts and logs a response which reports that another front end uses the index of this one. Both then use the
    /// same time slots at executors in slow start.
    fn on_duplicate_index(&self, executor: ExecutorId) {
        self.duplicate_index_reports
            .set(self.duplicate_index_reports.get() + 1);
        let warned_recently = self
            .duplicate_index_warned_at
            .get()
            .is_some_and(|at| at.elapsed() < INDEX_WARNING_INTERVAL);
        if !warned_recently {
            self.duplicate_index_warned_at.set(Some(Instant::now()));
            error!(index = self.sender.get().index, executor = %executor.0, "duplicate front-end index: another front end uses it");
        }
    }

    /// Sends a dispatch and reports its end to the engine.
    pub(super) async fn dispatch(self: Rc<Self>, dispatch: Dispatch) {
        let started_at = Instant::now();
        let denial = Cell::new(None);
        let head = || {
            let current_denial = self.dispatch_denial(&dispatch.context);
            let may_send = current_denial.is_none() && self.is_dispatch_still_valid(&dispatch);
            denial.set(current_denial);
            may_send.then(|| frame(&self.dispatch_head(&dispatch)))
        };
        let payload = &dispatch.context.payload;
        let result = dispatch
            .pool
            .exchange_if::<v1::Answer>(DISPATCH_PATH, head, payload)
            .await;
        if let Some(denial) = denial.take() {
            return self.on_dispatch_denied(dispatch.invocation, dispatch.number, denial);
        }
        self.record_reachability(dispatch.executor, result.as_ref().err().copied());
        match result {
            Ok((answer, incoming)) => {
                self.on_dispatch_response(&dispatch, started_at, answer, incoming)
                    .await
            }
            Err(outcome) => self.on_transport_failure(&dispatch, outcome),
        }
    }

    /// Revalidates a dispatch right before its first byte is sent. The dispatch may have waited for a connection:
    /// meanwhile the executor may have begun to drain, or the client timeout or the window of the idempotency key may
    /// have ended.
    fn is_dispatch_still_valid(&self, dispatch: &Dispatch) -> bool {
        let now = self.observe_clock();
        self.engine
            .borrow_mut()
            .revalidate_dispatch(now, dispatch.invocation, dispatch.number)
    }

    fn dispatch_head(&self, dispatch: &Dispatch) -> v1::Dispatch {
        let context = &dispatch.context;
        let effect = match context.trigger_type.policy.idempotency {
            Idempotency::Idempotent => v1::Effect::Idempotent,
            Idempotency::Keyed => v1::Effect::Tokened,
            Idempotency::NonIdempotent => v1::Effect::NonIdempotent,
        };
        v1::Dispatch {
            from: Some(self.sender.get()),
            invocation: context.name.clone(),
            number: context.prior_dispatches + u32::from(dispatch.number),
            digest: context.digest.to_string(),
            function: context.function.to_string(),
            trigger_type: context.trigger_type.settings.name.clone(),
            customer: context.customer.clone(),
            effect: effect.into(),
            token: context.idempotency_key.clone(),
            time_left: ((dispatch.timeout_at - self.now()).max(0.0) * MICROSECONDS_PER_SECOND)
                as u64,
            payload_bytes: context.payload_bytes,
        }
    }

    fn on_transport_failure(&self, dispatch: &Dispatch, outcome: TransportOutcome) {
        let status = transport_outcome::dispatch_status(outcome);
        debug!(invocation = dispatch.invocation, n = dispatch.number, executor = %dispatch.executor.0, ?outcome, "dispatch ended without a response");
        // A dispatch that never ran is no evidence on the version.
        if !status.never_ran() {
            self.record_version_failure(dispatch, true);
        }
        self.report_dispatch_result(
            dispatch,
            DispatchEnd {
                status,
                metadata: NO_METADATA,
                executor_response: None,
                timing: None,
            },
        );
    }

    async fn on_dispatch_response(
        &self,
        dispatch: &Dispatch,
        started_at: Instant,
        answer: v1::Answer,
        mut incoming: Incoming,
    ) {
        if answer.index_taken {
            self.on_duplicate_index(dispatch.executor);
        }
        let state = replica_state(&answer);
        if matches!(state, ReplicaState::ColdStart | ReplicaState::LoadFailed) {
            let succeeded = state == ReplicaState::ColdStart;
            self.traffic_split.borrow_mut().record_load_result(
                dispatch.version,
                succeeded,
                answer.digest_differs,
            );
        }
        let timing = || Timing {
            elapsed: started_at.elapsed().as_secs_f64(),
            is_warm: matches!(state, ReplicaState::Warm | ReplicaState::Unknown),
        };
        let (outcome, executor_response) = self
            .receive_response(dispatch, &answer, timing(), &mut incoming)
            .await;
        let metadata = ResponseMetadata {
            replica_state: state,
            function_concurrency: answer.crowd,
            load_report: &answer.report,
        };
        let status = transport_outcome::dispatch_status(outcome);
        self.report_dispatch_result(
            dispatch,
            DispatchEnd {
                status,
                metadata,
                executor_response,
                timing: Some(timing()),
            },
        );
    }

    /// Receives the payload of a response, if it has one.
    async fn receive_response(
        &self,
        dispatch: &Dispatch,
        answer: &v1::Answer,
        timing: Timing,
        incoming: &mut Incoming,
    ) -> (TransportOutcome, Option<ExecutorResponse>) {
        let may_stream = dispatch.context.trigger_type.settings.streams_responses;
        let status = match answer.ending() {
            v1::Ending::Ok if answer.streams && may_stream => {
                return (self.stream_response(dispatch, timing, incoming).await, None);
            }
            v1::Ending::Ok => {
                let max_length = self.deployment.limits.max_response_bytes;
                return match incoming.read_payload(max_length).await {
                    Ok(chunks) => (
                        TransportOutcome::Answered(DispatchStatus::Ok),
                        Some(ExecutorResponse::Complete(chunks)),
                    ),
                    Err(outcome) => (outcome, None),
                };
            }
            v1::Ending::Error => {
                if answer.found() != v1::Found::LoadFailed {
                    self.record_version_failure(dispatch, false);
                }
                DispatchStatus::Error
            }
            v1::Ending::Full => DispatchStatus::Full,
            v1::Ending::Miss => DispatchStatus::NotLoaded,
            v1::Ending::Unspecified => return (TransportOutcome::MalformedResponse, None),
        };
        (TransportOutcome::Answered(status), None)
    }

    /// Forwards a streamed response, unless another dispatch of the invocation has answered.
    async fn stream_response(
        &self,
        dispatch: &Dispatch,
        timing: Timing,
        incoming: &mut Incoming,
    ) -> TransportOutcome {
        let (chunk_sender, body) = async_channel::bounded(MAX_STREAM_CHUNKS);
        let is_first = self.run_engine(|engine, now, action_executor| {
            action_executor.executor_response = Some(ExecutorResponse::Streamed(body));
            action_executor.timing = Some(timing);
            let is_first = engine.on_response_started(
                now,
                dispatch.invocation,
                dispatch.number,
                action_executor,
            );
            action_executor.executor_response = None;
            is_first
        });
        if is_first {
            self.forward_stream(incoming, chunk_sender).await
        } else {
            TransportOutcome::StreamReset
        }
    }

    /// Records a failed dispatch, which may count against its version.
    fn record_version_failure(&self, dispatch: &Dispatch, transport_failed: bool) {
        let executor = executor_number(dispatch.executor);
        let counts_against_version = self.traffic_split.borrow_mut().record_dispatch_failure(
            self.now(),
            executor,
            dispatch.version,
            transport_failed,
        );
        let failed = &dispatch.context.version_failed;
        failed.set(failed.get() | counts_against_version);
    }

    /// Forwards the chunks of a streamed response. A client that does not read within the read timeout is dropped.
    async fn forward_stream(
        &self,
        incoming: &mut Incoming,
        chunk_sender: async_channel::Sender<Result<Bytes, ResponseTruncated>>,
    ) -> TransportOutcome {
        let timeout = seconds(self.deployment.limits.request_read_timeout);
        loop {
            let chunk =
                match orchidtally_socket_io::with_timeout(timeout, incoming.next_chunk()).await {
                    Some(Ok(Some(chunk))) => Ok(chunk),
                    Some(Ok(None)) => return TransportOutcome::Answered(DispatchStatus::Ok),
                    Some(Err(outcome)) => {
                        let _ = orchidtally_socket_io::with_timeout(
                            timeout,
                            chunk_sender.send(Err(ResponseTruncated)),
                        )
                        .await;
                        return outcome;
                    }
                    None => {
                        let _ = orchidtally_socket_io::with_timeout(
                            timeout,
                            chunk_sender.send(Err(ResponseTruncated)),
                        )
                        .await;
                        return TransportOutcome::TimedOut;
                    }
                };
            match orchidtally_socket_io::with_timeout(timeout, chunk_sender.send(chunk)).await {
                Some(Ok(())) => {}
                // The client disconnected, or stopped reading.
                Some(Err(_)) | None => {
                    return TransportOutcome::Answered(DispatchStatus::Cancelled);
                }
            }
        }
    }
}
