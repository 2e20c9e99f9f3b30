//! `GET /v1/front-end`: what the front end says of itself.

use super::answer::Answer;
use crate::hub::Hub;
use bytes::Bytes;
use http::Response;
use http::header::{CONTENT_TYPE, HeaderValue};
use serde_json::json;

/// The rollouts as this front end has them.
fn rollouts(hub: &Hub) -> serde_json::Value {
    let shares = hub.shares.borrow();
    let published = shares.published();
    let on = |(name, r): (&String, &orchidtally_rollout::Rollout)| {
        let state =
            json!({ "phase": r.phase, "step": r.step, "number": r.number, "reason": r.reason });
        (name.clone(), state)
    };
    let rollouts: serde_json::Map<_, _> = published.rollouts.iter().map(on).collect();
    json!({ "term": published.epoch.term, "number": published.number, "rollouts": rollouts })
}

/// The roster and the front ends, where they come from etcd.
fn roster(hub: &Hub) -> serde_json::Value {
    if !matches!(
        hub.deployment.endpoint_source,
        orchidtally_deployment::EndpointSource::Etcd(_)
    ) {
        return serde_json::Value::Null;
    }
    let (cache, now) = (hub.cache.borrow(), hub.now());
    let executors = cache.executor_counts();
    let estimate = hub.members.borrow().estimate(now);
    let entry_errors: serde_json::Map<_, _> = cache
        .entry_errors()
        .map(|(key, error)| {
            let key = String::from_utf8_lossy(key).into_owned();
            (key, error.to_string().into())
        })
        .collect();
    json!({
        "age": cache.age(now),
        "revision": cache.revision(),
        "executors": executors.known,
        "held": executors.retained,
        "relists": cache.relists(),
        "wentBack": cache.store_rollbacks(),
        "faults": entry_errors,
        "frontEnds": estimate.count,
        "shares": estimate.shares,
    })
}

/// The state of triggers by messages.
fn triggers(hub: &Hub) -> serde_json::Value {
    let Some(status) = hub.triggers.get() else {
        return serde_json::Value::Null;
    };
    json!({
        "connected": status.connected,
        "inHand": status.in_hand,
        "waiting": status.waiting,
        "journalWorks": status.journal_works,
        "messages": status.counters,
    })
}

/// What the front end says of itself.
pub(super) fn status(hub: &Hub) -> Response<Answer> {
    let t = hub.tally();
    let body = json!({
        "deployment": hub.deployment.name,
        "revision": hub.revision().number,
        "index": hub.sender.get().index,
        "frontEnds": hub.sender.get().count,
        "configuration": hub.admission.get().map(|admission| admission.host().status()),
        "roster": roster(hub),
        "open": hub.open(),
        "taken": t.admitted,
        "refused": t.not_admitted,
        "succeeded": t.succeeded,
        "throttled": t.rejected,
        "errored": t.failed,
        "withdrawn": t.cancelled_by_client,
        "dispatches": t.dispatches,
        "orders": t.load_commands,
        "overdue": t.overdue,
        "indexTaken": hub.index_taken.get(),
        "rollouts": rollouts(hub),
        "mqtt": triggers(hub),
    });
    let mut response = Response::new(Answer::Chunks([Bytes::from(body.to_string())].into()));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
