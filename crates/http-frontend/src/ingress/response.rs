//! The responses to final answers, and to invocations that are not admitted.

use super::answer::{Problem, ResponseBody, problem, set_retry_after};
use crate::config::AdmissionDenial;
use crate::router::{AnswerLost, ExecutorResponse, FinalAnswer, RejectionReason, Router};
use http::{Response, StatusCode};
use orchidtally_engine::FailureReason;

/// The response to a final answer.
pub(super) struct FinalResponse {
    pub(super) response: Response<ResponseBody>,
    /// Whether the function may have run.
    pub(super) may_have_run: bool,
}

impl FinalResponse {
    /// The response to a final answer.
    pub(super) fn from_answer(answer: Result<FinalAnswer, AnswerLost>) -> FinalResponse {
        match answer {
            Ok(FinalAnswer::Succeeded(executor_response)) => {
                let response = Response::new(match executor_response {
                    ExecutorResponse::Complete(chunks) => ResponseBody::Chunks(chunks.into()),
                    ExecutorResponse::Streamed(chunks) => ResponseBody::Streamed(Box::pin(chunks)),
                });
                FinalResponse {
                    response,
                    may_have_run: true,
                }
            }
            Ok(FinalAnswer::Rejected {
                retry_after,
                over_quota,
            }) => FinalResponse::rejected(retry_after, over_quota),
            Ok(FinalAnswer::Failed {
                reason,
                may_have_run,
            }) => FinalResponse::failed(reason, may_have_run),
            Ok(FinalAnswer::Denied {
                denial,
                may_have_run,
            }) => {
                let (status, title) = denial_status(&denial);
                let response =
                    FinalResponse::problem(status, title, &denial.to_string(), may_have_run);
                match denial.retry_after() {
                    Some(time) => response.retry_after(time),
                    None => response,
                }
            }
            Err(lost) => {
                let detail = format!("{lost}; it may have run");
                FinalResponse::problem(StatusCode::INTERNAL_SERVER_ERROR, "errored", &detail, true)
            }
        }
    }

    fn rejected(retry_after: f64, over_quota: bool) -> FinalResponse {
        let (status, detail) = if over_quota {
            (
                StatusCode::TOO_MANY_REQUESTS,
                "the customer has had its share; nothing has run",
            )
        } else {
            (
                StatusCode::SERVICE_UNAVAILABLE,
                "there is no room in time; asking again is harmless",
            )
        };
        FinalResponse::problem(status, "throttled", detail, false).retry_after(retry_after)
    }

    fn failed(reason: FailureReason, may_have_run: bool) -> FinalResponse {
        let status = match reason {
            FailureReason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            FailureReason::Failed => StatusCode::BAD_GATEWAY,
        };
        let detail = if may_have_run {
            "it may have run"
        } else {
            "it has not run"
        };
        FinalResponse::problem(status, "errored", detail, may_have_run)
    }

    fn problem(status: StatusCode, title: &str, detail: &str, may_have_run: bool) -> FinalResponse {
        FinalResponse {
            response: problem(status, title, detail, may_have_run),
            may_have_run,
        }
    }

    fn retry_after(mut self, time: f64) -> FinalResponse {
        set_retry_after(self.response.headers_mut(), time);
        self
    }
}

/// The status and title of an invocation that the configuration doesn't admit.
fn denial_status(denial: &AdmissionDenial) -> (StatusCode, &'static str) {
    match denial {
        AdmissionDenial::NotAllowed { .. } => (StatusCode::FORBIDDEN, "not allowed"),
        AdmissionDenial::Stale { .. } | AdmissionDenial::NotLoaded { .. } => {
            (StatusCode::SERVICE_UNAVAILABLE, "throttled")
        }
    }
}

/// The response to an invocation that was not admitted.
pub(super) fn rejection_problem(router: &Router, why: RejectionReason) -> Problem {
    let throttled = |detail: &str, time: f64| {
        let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "throttled", detail);
        problem.retry_after = Some(time);
        problem
    };
    match why {
        RejectionReason::AtCapacity => throttled(
            "as many invocations are open as may be",
            router.deployment.policy.max_retry_after,
        ),
        RejectionReason::ShuttingDown => throttled("this front end is ending; ask another", 0.0),
        RejectionReason::Denied(denial) => {
            let (status, title) = denial_status(&denial);
            let mut problem = Problem::new(status, title, denial.to_string());
            problem.retry_after = denial.retry_after();
            problem
        }
    }
}
