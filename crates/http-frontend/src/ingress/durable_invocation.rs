//! Durable invocations over HTTP: the recorded outcome of an earlier invocation with the same idempotency key.

use super::answer::{Problem, ResponseBody, problem};
use super::{BODY_OMITTED, RECORDED};
use crate::durable_invocation_store::{
    DurableInvocationStore, JournalUnavailable, PersistedInvocation,
};
use crate::router::Router;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use orchidtally_mqtt_triggers::durable_invocations::{DurableOutcome, InvocationState};
use std::rc::Rc;

/// How a durable invocation begins.
pub(super) enum DurableStart {
    /// It is new, and its start is persisted.
    New(PersistedInvocation),
    /// An earlier invocation has the same name; this is the response for it.
    Recorded(Response<ResponseBody>),
}

/// Begins a durable invocation under a name.
pub(super) async fn begin_durable(
    router: &Router,
    durable_invocation_store: &Rc<DurableInvocationStore>,
    name: &str,
) -> Result<DurableStart, Problem> {
    match durable_invocation_store.begin(router.now(), name).await {
        Ok((InvocationState::New(_), Some(persisted))) => Ok(DurableStart::New(persisted)),
        Ok((state, _)) => Ok(DurableStart::Recorded(recorded_response(state))),
        Err(JournalUnavailable) => {
            let detail = "the journal can't be written; nothing has run";
            let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "throttled", detail);
            problem.retry_after = Some(router.deployment.policy.max_retry_after);
            Err(problem)
        }
    }
}

/// The response for a durable invocation that was begun before.
pub(super) fn recorded_response(state: InvocationState) -> Response<ResponseBody> {
    match state {
        InvocationState::Ended(DurableOutcome::Answered {
            status,
            body,
            is_complete,
        }) => set_flag_header(recorded_answer(status, body, is_complete), RECORDED),
        InvocationState::Ended(DurableOutcome::Unknown) => {
            let detail = "the front end died, or its client left, with its dispatch out: whether it ran isn't known";
            set_flag_header(
                problem(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "unknown outcome",
                    detail,
                    true,
                ),
                RECORDED,
            )
        }
        InvocationState::Running | InvocationState::New(_) => problem(
            StatusCode::CONFLICT,
            "still running",
            "an invocation of this name is under way",
            true,
        ),
        InvocationState::Full => {
            let detail = "as many invocations are kept as may be; nothing has run";
            problem(StatusCode::SERVICE_UNAVAILABLE, "throttled", detail, false)
        }
    }
}

fn recorded_answer(status: u16, body: Bytes, is_complete: bool) -> Response<ResponseBody> {
    let chunks = if body.is_empty() {
        [].into()
    } else {
        [body].into()
    };
    let mut response = Response::new(ResponseBody::Chunks(chunks));
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if status != StatusCode::OK {
        let problem = HeaderValue::from_static("application/problem+json");
        response.headers_mut().insert(CONTENT_TYPE, problem);
    }
    *response.status_mut() = status;
    if is_complete {
        response
    } else {
        set_flag_header(response, BODY_OMITTED)
    }
}

/// Adds a header with the value 1.
fn set_flag_header(
    mut response: Response<ResponseBody>,
    header: &'static str,
) -> Response<ResponseBody> {
    response.headers_mut().insert(
        HeaderName::from_static(header),
        HeaderValue::from_static("1"),
    );
    response
}
