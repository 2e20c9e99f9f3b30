//! `GET /v1/front-end`: the status of the front end.

use super::answer::ResponseBody;
use crate::router::Router;
use bytes::Bytes;
use http::Response;
use http::header::{CONTENT_TYPE, HeaderValue};
use serde_json::json;

/// The state of the rollouts at this front end.
fn rollout_status(router: &Router) -> serde_json::Value {
    let traffic_split = router.traffic_split.borrow();
    let published = traffic_split.published();
    let rollout_state = |(name, r): (&String, &orchidtally_rollout::Rollout)| {
        let state =
            json!({ "phase": r.phase, "step": r.step, "number": r.revision, "reason": r.reason });
        (name.clone(), state)
    };
    let rollouts: serde_json::Map<_, _> = published.rollouts.iter().map(rollout_state).collect();
    json!({ "term": published.epoch.term, "number": published.revision, "rollouts": rollouts })
}

/// The endpoint list and the front ends, where they come from etcd.
fn endpoint_list_status(router: &Router) -> serde_json::Value {
    if !matches!(
        router.deployment.endpoint_source,
        orchidtally_deployment::EndpointSource::Etcd(_)
    ) {
        return serde_json::Value::Null;
    }
    let (cache, now) = (router.cache.borrow(), router.now());
    let executors = cache.executor_counts();
    let estimate = router.members.borrow().estimate(now);
    let entry_errors: serde_json::Map<_, _> = cache
        .entry_errors()
        .map(|(key, error)| {
            let key = String::from_utf8_lossy(key).into_owned();
            (key, error.to_string().into())
        })
        .collect();
    json!({
        "age": cache.response_age(now),
        "revision": cache.revision(),
        "executors": executors.known,
        "held": executors.retained,
        "relists": cache.relists(),
        "wentBack": cache.store_rollbacks(),
        "faults": entry_errors,
        "frontEnds": estimate.count,
        "shares": estimate.has_budget_share,
    })
}

/// The status of the message triggers.
fn trigger_status(router: &Router) -> serde_json::Value {
    let Some(status) = router.triggers.get() else {
        return serde_json::Value::Null;
    };
    json!({
        "connected": status.connected,
        "inHand": status.in_flight,
        "waiting": status.waiting,
        "journalWorks": status.journal_works,
        "messages": status.counters,
    })
}

/// The status of the front end, as JSON.
pub(super) fn status_response(router: &Router) -> Response<ResponseBody> {
    let counters = router.counters();
    let body = json!({
        "deployment": router.deployment.name,
        "revision": router.revision().number,
        "index": router.sender.get().index,
        "frontEnds": router.sender.get().count,
        "configuration": router.admission.get().map(|admission| admission.host().status()),
        "roster": endpoint_list_status(router),
        "open": router.open_invocations(),
        "taken": counters.admitted,
        "refused": counters.not_admitted,
        "succeeded": counters.succeeded,
        "throttled": counters.rejected,
        "errored": counters.failed,
        "withdrawn": counters.cancelled_by_client,
        "dispatches": counters.dispatches,
        "orders": counters.load_commands,
        "overdue": counters.overdue,
        "indexTaken": router.duplicate_index_reports.get(),
        "rollouts": rollout_status(router),
        "mqtt": trigger_status(router),
    });
    let mut response = Response::new(ResponseBody::Chunks([Bytes::from(body.to_string())].into()));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
