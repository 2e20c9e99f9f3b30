//! Promises: what an earlier invocation of a name came to.

use super::answer::{Answer, Problem, problem};
use super::{BODY_LEFT_OUT, RECORDED};
use crate::hub::Hub;
use crate::promise_store::{NotKept, PromiseStore, Promised};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use orchidtally_mqtt_triggers::durable_invocations::{DurableOutcome, InvocationState};
use std::rc::Rc;

/// What comes of an invocation that is offered under a name.
pub(super) enum Offered {
    /// It is new, and persisted.
    Promised(Promised),
    /// There was one of this name: this is its answer.
    Known(Response<Answer>),
}

/// Promises an invocation under a name.
pub(super) async fn promise(
    hub: &Hub,
    promise_store: &Rc<PromiseStore>,
    name: &str,
) -> Result<Offered, Problem> {
    match promise_store.offered(hub.now(), name).await {
        Ok((InvocationState::New(_), Some(promised))) => Ok(Offered::Promised(promised)),
        Ok((standing, _)) => Ok(Offered::Known(recorded(standing))),
        Err(NotKept) => {
            let detail = "the journal can't be written; nothing has run";
            let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "throttled", detail);
            problem.retry_after = Some(hub.deployment.policy.max_retry_after);
            Err(problem)
        }
    }
}

/// The response to a request for an invocation that was promised before.
pub(super) fn recorded(standing: InvocationState) -> Response<Answer> {
    match standing {
        InvocationState::Ended(DurableOutcome::Answered {
            status,
            body,
            is_complete: whole,
        }) => mark(recorded_answer(status, body, whole), RECORDED),
        InvocationState::Ended(DurableOutcome::Unknown) => {
            let detail = "the front end died, or its client left, with its dispatch out: whether it ran isn't known";
            mark(
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

fn recorded_answer(status: u16, body: Bytes, whole: bool) -> Response<Answer> {
    let chunks = if body.is_empty() {
        [].into()
    } else {
        [body].into()
    };
    let mut response = Response::new(Answer::Chunks(chunks));
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if status != StatusCode::OK {
        let problem = HeaderValue::from_static("application/problem+json");
        response.headers_mut().insert(CONTENT_TYPE, problem);
    }
    *response.status_mut() = status;
    if whole {
        response
    } else {
        mark(response, BODY_LEFT_OUT)
    }
}

/// Adds a header with the value 1.
fn mark(mut response: Response<Answer>, header: &'static str) -> Response<Answer> {
    response.headers_mut().insert(
        HeaderName::from_static(header),
        HeaderValue::from_static("1"),
    );
    response
}
