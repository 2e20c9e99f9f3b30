//! Invokes for a request, and gives its answer.

use super::answer::{Answer, Problem, problem, stay_away};
use super::request::{Guard, body, function_of, header};
use super::{BODY_LEFT_OUT, CUSTOMER, INVOCATION, RECORDED, REPEAT, TIME_LEFT, TOKEN, TRIGGER_TYPE};
use crate::config::Refusal;
use crate::hub::{Asked, Brought, Final, Hub, NotTaken};
use crate::promise_store::{NotKept, PromiseStore, Promised};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use orchidtally::interface::Effect;
use orchidtally_engine::Cause;
use orchidtally_rollout::plan::Key;
use orchidtally_rollout::split::Who;
use orchidtally_trigger::promises::{Outcome, Standing};
use std::rc::Rc;

/// What an earlier invocation of a name came to.
pub(super) fn recorded(standing: Standing) -> Response<Answer> {
    let recorded = |mut response: Response<Answer>| {
        response.headers_mut().insert(HeaderName::from_static(RECORDED), HeaderValue::from_static("1"));
        response
    };
    match standing {
        Standing::Over(Outcome::Answered { status, body, whole }) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            let mut response =
                Response::new(Answer::Chunks(if body.is_empty() { [].into() } else { [body].into() }));
            if !whole {
                response
                    .headers_mut()
                    .insert(HeaderName::from_static(BODY_LEFT_OUT), HeaderValue::from_static("1"));
            }
            if status != StatusCode::OK {
                let problem = HeaderValue::from_static("application/problem+json");
                response.headers_mut().insert(CONTENT_TYPE, problem);
            }
            *response.status_mut() = status;
            recorded(response)
        }
        Standing::Over(Outcome::Unknown) => {
            let detail =
                "the front end died, or its client left, with its dispatch out: whether it ran isn't known";
            recorded(problem(StatusCode::INTERNAL_SERVER_ERROR, "unknown outcome", detail, true))
        }
        Standing::Running | Standing::New(_) => {
            problem(StatusCode::CONFLICT, "still running", "an invocation of this name is under way", true)
        }
        Standing::Full => {
            let detail = "as many invocations are kept as may be; nothing has run";
            problem(StatusCode::SERVICE_UNAVAILABLE, "throttled", detail, false)
        }
    }
}

/// A promise under a name, or what to answer where there was one.
async fn promise(
    hub: &Hub,
    promise_store: &Rc<PromiseStore>,
    name: &str,
) -> Result<Result<Promised, Response<Answer>>, Problem> {
    match promise_store.offered(hub.now(), name).await {
        Ok((Standing::New(_), Some(promised))) => Ok(Ok(promised)),
        Ok((standing, _)) => Ok(Err(recorded(standing))),
        Err(NotKept) => {
            let detail = "the journal can't be written; nothing has run";
            let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "throttled", detail);
            problem.retry_after = Some(hub.deployment.policy.max_retry_after);
            Err(problem)
        }
    }
}

/// The status and title of what the configuration doesn't let through.
fn refused_as(refusal: &Refusal) -> (StatusCode, &'static str) {
    match refusal {
        Refusal::NotAllowed { .. } => (StatusCode::FORBIDDEN, "not allowed"),
        Refusal::Stale { .. } | Refusal::NotLoaded { .. } => (StatusCode::SERVICE_UNAVAILABLE, "throttled"),
    }
}

fn not_taken(hub: &Hub, why: NotTaken) -> Problem {
    let throttled = |detail: &str, time: f64| {
        let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "throttled", detail);
        problem.retry_after = Some(time);
        problem
    };
    match why {
        NotTaken::Full => {
            throttled("as many invocations are open as may be", hub.deployment.policy.max_retry_after)
        }
        NotTaken::Leaving => throttled("this front end is ending; ask another", 0.0),
        NotTaken::Refused(refusal) => {
            let (status, title) = refused_as(&refusal);
            let mut problem = Problem::new(status, title, refusal.to_string());
            problem.retry_after = refusal.retry_after();
            problem
        }
    }
}

pub(super) async fn invoke(hub: &Hub, request: Request<Incoming>) -> Result<Response<Answer>, Problem> {
    let arrived = hub.now();
    let revision = hub.revision();
    let deployment = &hub.deployment;
    let (parts, incoming) = request.into_parts();
    let name = function_of(parts.uri.path())?;
    if parts.method != Method::POST {
        let detail = format!("{} is not taken here, POST is", parts.method);
        return Err(Problem::new(StatusCode::METHOD_NOT_ALLOWED, "wrong method", detail));
    }
    let headers = &parts.headers;
    let (trigger_place, trigger_type) = match header(headers, TRIGGER_TYPE)? {
        Some(name) => revision.trigger_type(name).ok_or_else(|| {
            let known = revision.trigger_type_names().join(", ");
            Problem::bad(format!("no trigger type '{name}'; known are {known}"))
        })?,
        None => match revision.only_trigger_type() {
            Some(only) => only,
            None => return Err(Problem::bad(format!("header '{TRIGGER_TYPE}' is missing"))),
        },
    };
    let policy = &trigger_type.policy;
    let customer = match (header(headers, CUSTOMER)?, !revision.has_customers()) {
        (given, true) => (0, given.unwrap_or_default()),
        (Some(given), false) => {
            let known = revision.customer(given).map(|customer| customer.index);
            let unknown =
                || Problem::new(StatusCode::FORBIDDEN, "unknown customer", format!("no customer '{given}'"));
            (known.ok_or_else(unknown)?, given)
        }
        (None, false) => return Err(Problem::bad(format!("header '{CUSTOMER}' is missing"))),
    };
    let token = header(headers, TOKEN)?;
    if policy.effect == Effect::Tokened && token.is_none() {
        return Err(Problem::bad(format!("header '{TOKEN}' is missing; this trigger type is tokened")));
    }
    let left = match header(headers, TIME_LEFT)? {
        None => policy.timeout,
        Some(text) => {
            let milliseconds: u32 = text.parse().map_err(|_| {
                Problem::bad(format!("header '{TIME_LEFT}': '{text}' is no whole number of ms"))
            })?;
            (f64::from(milliseconds) / 1e3).min(policy.timeout)
        }
    };
    let repeat = match header(headers, REPEAT)? {
        None | Some("0") => false,
        Some("1") => true,
        Some(other) => return Err(Problem::bad(format!("header '{REPEAT}': '{other}' is neither 0 nor 1"))),
    };
    let given = header(headers, INVOCATION)?.map(str::to_owned);
    let named = given.is_some();
    let name_of_invocation = given.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let (name, asked) = match name.split_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (name.as_str(), None),
    };
    let unknown = |what: String| Problem::new(StatusCode::NOT_FOUND, "unknown function", what);
    let function = revision.function(name).ok_or_else(|| unknown(format!("no function '{name}'")))?;
    // What the split sticks to, where a rollout is on.
    let key = hub.shares.borrow().key(name).cloned();
    let key = match &key {
        None | Some(Key::Invocation) => None,
        Some(Key::Customer) => Some(customer.1),
        Some(Key::Token) => token,
        Some(Key::Header(name)) => header(headers, name)?,
    };
    let who = Who { customer: customer.1, location: hub.location(), key: key.unwrap_or(&name_of_invocation) };
    let no_version = || unknown(format!("function '{name}' has no version '{}'", asked.unwrap_or("stable")));
    let resolved = hub.resolve(&function, asked, trigger_place, customer.0, &who).ok_or_else(no_version)?;
    let told = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
    let (payload, payload_bytes) = body(hub, incoming, told).await?;
    let bounds = &deployment.bounds;
    let asked = Asked {
        name: name_of_invocation.clone(),
        function: function.name,
        resolved,
        revision: revision.clone(),
        trigger_type: trigger_type.clone(),
        customer,
        token: token.unwrap_or_default(),
        repeat,
        timeout_at: arrived + left - bounds.answer_margin - hub.open() as f64 * bounds.answer_time,
        payload,
        payload_bytes,
    };
    // Before it is promised: what is refused leaves no record.
    hub.check_admission(&revision, &asked.subject()).map_err(|why| not_taken(hub, why))?;
    let promised = match &hub.promise_store {
        Some(promise_store) if trigger_type.trigger.journalled => {
            if !named {
                let detail =
                    format!("header '{INVOCATION}' is missing; this trigger type is journalled by it");
                return Err(Problem::bad(detail));
            }
            match promise(hub, promise_store, &name_of_invocation).await? {
                Ok(promised) => Some(promised),
                Err(before) => return Ok(before),
            }
        }
        _ => None,
    };
    let (inv, answer) = hub.take_asked(asked).map_err(|refused| not_taken(hub, refused))?;
    let mut guard = Guard { hub, inv, answered: false };
    let answer = answer.await;
    guard.answered = true;
    let mut may_have_run = true;
    let mut response = match answer {
        Ok(Final::Succeeded(brought)) => Response::new(match brought {
            Brought::Whole(chunks) => Answer::Chunks(chunks.into()),
            Brought::Streamed(parts) => Answer::Streamed(Box::pin(parts)),
        }),
        Ok(Final::Throttled { retry_after, past_share }) => {
            let (status, detail) = if past_share {
                (StatusCode::TOO_MANY_REQUESTS, "the customer has had its share; nothing has run")
            } else {
                (StatusCode::SERVICE_UNAVAILABLE, "there is no room in time; asking again is harmless")
            };
            may_have_run = false;
            let mut response = problem(status, "throttled", detail, false);
            stay_away(response.headers_mut(), retry_after);
            response
        }
        Ok(Final::Errored { cause, may_have_run: ran }) => {
            let status = match cause {
                Cause::TimedOut => StatusCode::GATEWAY_TIMEOUT,
                Cause::Failed => StatusCode::BAD_GATEWAY,
            };
            let detail = if ran { "it may have run" } else { "it has not run" };
            may_have_run = ran;
            problem(status, "errored", detail, ran)
        }
        Ok(Final::Refused { refusal, may_have_run: ran }) => {
            may_have_run = ran;
            let (status, title) = refused_as(&refusal);
            let mut response = problem(status, title, &refusal.to_string(), ran);
            if let Some(time) = refusal.retry_after() {
                stay_away(response.headers_mut(), time);
            }
            response
        }
        Err(_) => {
            let detail = "the front end lost track of it; it may have run";
            problem(StatusCode::INTERNAL_SERVER_ERROR, "errored", detail, true)
        }
    };
    if let (Some(promised), Answer::Chunks(chunks)) = (promised, response.body()) {
        let body = Bytes::from(chunks.iter().flatten().copied().collect::<Vec<u8>>());
        promised.answered(hub.now(), may_have_run, response.status().as_u16(), &body).await;
    }
    if let Ok(value) = HeaderValue::from_str(&name_of_invocation) {
        response.headers_mut().insert(HeaderName::from_static(INVOCATION), value);
    }
    Ok(response)
}
