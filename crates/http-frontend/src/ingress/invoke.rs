//! Performs the invocation of a request.

use super::INVOCATION;
use super::answer::{Problem, ResponseBody};
use super::durable_invocation::{DurableStart, begin_durable};
use super::headers::{InvocationHeaders, header};
use super::request::{function_name, read_body};
use super::response::{FinalResponse, rejection_problem};
use crate::durable_invocation_store::PersistedInvocation;
use crate::router::{IngressRequest, RejectionReason, Revision, Router};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use orchidtally_deployment::Function;
use orchidtally_rollout::ResolvedVersion;
use orchidtally_rollout::plan::StickyKey;
use orchidtally_rollout::split::InvocationAttributes;

/// The function of an invocation, and the version that it gets.
struct Target {
    function: Function,
    resolved: ResolvedVersion,
}

/// Performs the invocation of a request and returns its response.
pub(super) async fn invoke(
    router: &Router,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Problem> {
    let arrived_at = router.arrived_by();
    let revision = router.revision();
    let (parts, incoming) = request.into_parts();
    let path_function = function_name(parts.uri.path())?;
    check_method(&parts.method)?;
    let invocation_headers = InvocationHeaders::read(&parts.headers, &revision)?;
    let is_named = invocation_headers.invocation.is_some();
    let invocation = invocation_headers
        .invocation
        .map_or_else(|| format!("{:016x}", rand::random::<u64>()), str::to_owned);
    let Target { function, resolved } = resolve_target(
        router,
        &revision,
        &path_function,
        &parts.headers,
        &invocation_headers,
        &invocation,
    )?;
    let InvocationHeaders {
        trigger_type,
        customer,
        idempotency_key,
        time_left,
        is_retry,
        ..
    } = invocation_headers;
    let body = read_body(router, incoming, content_length(&parts.headers)).await?;
    let _held = body.held;
    let limits = &router.deployment.limits;
    let ingress_request = IngressRequest {
        name: invocation.clone(),
        function: function.name,
        resolved,
        revision: revision.clone(),
        trigger_type: trigger_type.clone(),
        customer,
        idempotency_key: idempotency_key.unwrap_or_default(),
        is_retry,
        timeout_at: arrived_at + time_left
            - limits.response_margin
            - router.open_invocations() as f64 * limits.response_margin_per_open,
        payload: body.chunks,
        payload_bytes: body.length,
    };
    // Admission is checked before the start is persisted, so that a rejected invocation leaves no record.
    if router.is_draining() {
        return Err(rejection_problem(router, RejectionReason::ShuttingDown));
    }
    router
        .check_admission(&revision, &ingress_request.subject())
        .map_err(|why| rejection_problem(router, why))?;
    let persisted = if trigger_type.settings.is_durable {
        match begin_if_journaled(router, is_named, &invocation).await? {
            Some(DurableStart::New(persisted)) => Some(persisted),
            Some(DurableStart::Recorded(response)) => return Ok(response),
            None => None,
        }
    } else {
        None
    };
    let answer = router
        .invoke(ingress_request)
        .await
        .map_err(|why| rejection_problem(router, why))?;
    let final_response = FinalResponse::from_answer(answer);
    if let Some(persisted) = persisted {
        record_answer(router, persisted, &final_response).await;
    }
    let mut response = final_response.response;
    if let Ok(value) = HeaderValue::from_str(&invocation) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(INVOCATION), value);
    }
    Ok(response)
}

fn check_method(method: &Method) -> Result<(), Problem> {
    if *method == Method::POST {
        return Ok(());
    }
    let detail = format!("{method} is not taken here, POST is");
    Err(Problem::new(
        StatusCode::METHOD_NOT_ALLOWED,
        "wrong method",
        detail,
    ))
}

/// Begins a durable invocation, which the client has to name; `None` where the deployment has no journal.
async fn begin_if_journaled(
    router: &Router,
    is_named: bool,
    invocation: &str,
) -> Result<Option<DurableStart>, Problem> {
    let Some(store) = &router.durable_invocation_store else {
        return Ok(None);
    };
    if !is_named {
        let detail =
            format!("header '{INVOCATION}' is missing; this trigger type is journalled by it");
        return Err(Problem::bad_request(detail));
    }
    begin_durable(router, store, invocation).await.map(Some)
}

/// Records the final answer of a durable invocation. A streamed answer isn't recorded: its outcome stays unknown.
async fn record_answer(router: &Router, persisted: PersistedInvocation, answer: &FinalResponse) {
    let ResponseBody::Chunks(chunks) = answer.response.body() else {
        return;
    };
    let body = Bytes::from(chunks.iter().flatten().copied().collect::<Vec<u8>>());
    let status = answer.response.status().as_u16();
    persisted
        .record_answer(router.now(), answer.may_have_run, status, &body)
        .await;
}

/// Resolves the function that the path names, with an optional version after '@', to the version that the invocation
/// gets.
fn resolve_target(
    router: &Router,
    revision: &Revision,
    path_function: &str,
    headers: &HeaderMap,
    invocation_headers: &InvocationHeaders,
    invocation: &str,
) -> Result<Target, Problem> {
    let (name, version) = match path_function.split_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (path_function, None),
    };
    let unknown = |detail: String| Problem::new(StatusCode::NOT_FOUND, "unknown function", detail);
    let function = revision
        .function(name)
        .ok_or_else(|| unknown(format!("no function '{name}'")))?;
    let customer = invocation_headers.customer;
    // The sticky key of the traffic split, during a rollout.
    let key = router.traffic_split.borrow().sticky_key(name).cloned();
    let key = match &key {
        None | Some(StickyKey::Invocation) => None,
        Some(StickyKey::Customer) => Some(customer.name),
        Some(StickyKey::Token) => invocation_headers.idempotency_key,
        Some(StickyKey::Header(name)) => header(headers, name)?,
    };
    let caller = InvocationAttributes {
        customer: customer.name,
        location: router.location(),
        key: key.unwrap_or(invocation),
    };
    let resolved = router
        .resolve(
            &function,
            version,
            invocation_headers.trigger_type_position,
            customer.index,
            &caller,
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
