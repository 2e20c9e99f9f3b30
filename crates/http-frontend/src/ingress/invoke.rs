//! Invokes for a request, and gives its response.

use super::INVOCATION;
use super::answer::{Answer, Problem};
use super::headers::{InvocationHeaders, header};
use super::promise::{Offered, promise};
use super::request::{body, function_of};
use super::response::{FinalResponse, not_taken};
use crate::hub::{Asked, Hub, Revision};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use orchidtally_deployment::Function;
use orchidtally_rollout::ResolvedVersion;
use orchidtally_rollout::plan::StickyKey;
use orchidtally_rollout::split::Caller;

/// The function of an invocation, and the version that it gets.
struct Target {
    function: Function,
    resolved: ResolvedVersion,
}

pub(super) async fn invoke(
    hub: &Hub,
    request: Request<Incoming>,
) -> Result<Response<Answer>, Problem> {
    let arrived = hub.arrived_by();
    let revision = hub.revision();
    let (parts, incoming) = request.into_parts();
    let path_name = function_of(parts.uri.path())?;
    if parts.method != Method::POST {
        let detail = format!("{} is not taken here, POST is", parts.method);
        return Err(Problem::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "wrong method",
            detail,
        ));
    }
    let asked_headers = InvocationHeaders::read(&parts.headers, &revision)?;
    let is_named = asked_headers.invocation.is_some();
    let invocation = asked_headers
        .invocation
        .map_or_else(|| format!("{:016x}", rand::random::<u64>()), str::to_owned);
    let Target { function, resolved } = target(
        hub,
        &revision,
        &path_name,
        &parts.headers,
        &asked_headers,
        &invocation,
    )?;
    let InvocationHeaders {
        trigger_type,
        customer,
        token,
        time_left,
        repeat,
        ..
    } = asked_headers;
    let (payload, payload_bytes) = body(hub, incoming, content_length(&parts.headers)).await?;
    let bounds = &hub.deployment.limits;
    let asked = Asked {
        name: invocation.clone(),
        function: function.name,
        resolved,
        revision: revision.clone(),
        trigger_type: trigger_type.clone(),
        customer,
        token: token.unwrap_or_default(),
        repeat,
        timeout_at: arrived + time_left
            - bounds.response_margin
            - hub.open() as f64 * bounds.response_margin_per_open,
        payload,
        payload_bytes,
    };
    // Before it is promised: what is refused leaves no record.
    hub.check_admission(&revision, &asked.subject())
        .map_err(|why| not_taken(hub, why))?;
    let promised = match &hub.promise_store {
        Some(promise_store) if trigger_type.trigger.is_durable => {
            if !is_named {
                let detail = format!(
                    "header '{INVOCATION}' is missing; this trigger type is journalled by it"
                );
                return Err(Problem::bad(detail));
            }
            match promise(hub, promise_store, &invocation).await? {
                Offered::Promised(promised) => Some(promised),
                Offered::Known(response) => return Ok(response),
            }
        }
        _ => None,
    };
    let answer = hub.invoke(asked).await.map_err(|why| not_taken(hub, why))?;
    let FinalResponse {
        mut response,
        may_have_run,
    } = FinalResponse::of(answer);
    if let (Some(promised), Answer::Chunks(chunks)) = (promised, response.body()) {
        let body = Bytes::from(chunks.iter().flatten().copied().collect::<Vec<u8>>());
        promised
            .answered(hub.now(), may_have_run, response.status().as_u16(), &body)
            .await;
    }
    if let Ok(value) = HeaderValue::from_str(&invocation) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(INVOCATION), value);
    }
    Ok(response)
}

/// The function that a path names, perhaps with a version after '@', and the version that the invocation gets.
fn target(
    hub: &Hub,
    revision: &Revision,
    path_name: &str,
    headers: &HeaderMap,
    asked_headers: &InvocationHeaders,
    invocation: &str,
) -> Result<Target, Problem> {
    let (name, version) = match path_name.split_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (path_name, None),
    };
    let unknown = |what: String| Problem::new(StatusCode::NOT_FOUND, "unknown function", what);
    let function = revision
        .function(name)
        .ok_or_else(|| unknown(format!("no function '{name}'")))?;
    let customer = asked_headers.customer;
    // The sticky key of the split, where a rollout is on.
    let key = hub.shares.borrow().sticky_key(name).cloned();
    let key = match &key {
        None | Some(StickyKey::Invocation) => None,
        Some(StickyKey::Customer) => Some(customer.name),
        Some(StickyKey::Token) => asked_headers.token,
        Some(StickyKey::Header(name)) => header(headers, name)?,
    };
    let who = Caller {
        customer: customer.name,
        location: hub.location(),
        key: key.unwrap_or(invocation),
    };
    let resolved = hub
        .resolve(
            &function,
            version,
            asked_headers.trigger_place,
            customer.index,
            &who,
        )
        .ok_or_else(|| {
            unknown(format!(
                "function '{name}' has no version '{}'",
                version.unwrap_or("stable")
            ))
        })?;
    Ok(Target { function, resolved })
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
