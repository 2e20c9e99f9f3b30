//! Performs the invocation of a message.

use crate::config::AdmissionDenial;
use crate::router::{
    AnswerLost, ExecutorResponse, FinalAnswer, IngressRequest, NamedCustomer, RejectionReason,
    Router,
};
use bytes::Bytes;
use orchidtally_deployment::Function;
use orchidtally_engine::FailureReason;
use orchidtally_mqtt_triggers::ledger::{Answer, StoredMessage};
use orchidtally_rollout::ResolvedVersion;
use orchidtally_rollout::plan::StickyKey;
use orchidtally_rollout::split::InvocationAttributes;
use std::rc::Rc;

/// The answer to a message that the configuration doesn't admit: rejected if it may be admitted later and has not run,
/// failed otherwise.
fn denied_answer(denial: &AdmissionDenial, may_have_run: bool) -> Answer {
    if denial.retry_after().is_some() && !may_have_run {
        return Answer::Rejected;
    }
    Answer::Failed {
        reason: denial.to_string(),
        may_have_run,
    }
}

/// Invokes the function of a message; returns the final answer.
pub(super) async fn invoke(router: Rc<Router>, message: StoredMessage, ready_by: f64) -> Answer {
    let ingress_request = match build_request(&router, &message, ready_by) {
        Ok(ingress_request) => ingress_request,
        Err(answer) => return answer,
    };
    match router.invoke(ingress_request).await {
        Ok(answer) => final_answer(answer),
        Err(RejectionReason::AtCapacity | RejectionReason::ShuttingDown) => Answer::Rejected,
        Err(RejectionReason::Denied(denial)) => denied_answer(&denial, false),
    }
}

/// The invocation that a message requests.
///
/// # Errors
/// The answer to a message that can't be invoked.
fn build_request<'m>(
    router: &Router,
    message: &'m StoredMessage,
    ready_by: f64,
) -> Result<IngressRequest<'m>, Answer> {
    let failed = |why: String| Answer::Failed {
        reason: why,
        may_have_run: false,
    };
    let revision = router.revision();
    let target = &message.target;
    let (trigger_type_position, trigger_type) =
        revision.trigger_type(&target.trigger_type).ok_or_else(|| {
            failed(format!(
                "there is no trigger type '{}' any more",
                target.trigger_type
            ))
        })?;
    let customer = match revision.customer(&target.customer) {
        Some(customer) => customer.index,
        None if !revision.has_customers() => 0,
        None => {
            return Err(failed(format!(
                "there is no customer '{}' any more",
                target.customer
            )));
        }
    };
    let function = revision.function(&target.function).ok_or_else(|| {
        failed(format!(
            "there is no function '{}' any more",
            target.function
        ))
    })?;
    if ready_by <= router.now() {
        return Err(Answer::Rejected);
    }
    let resolved = resolve(router, message, &function, trigger_type_position, customer)
        .ok_or_else(|| {
            failed(format!(
                "function '{}' has no version 'stable'",
                target.function
            ))
        })?;
    Ok(IngressRequest {
        name: message.name.clone(),
        function: function.name.clone(),
        resolved,
        revision: revision.clone(),
        trigger_type: trigger_type.clone(),
        customer: NamedCustomer {
            index: customer,
            name: &target.customer,
        },
        idempotency_key: &target.token,
        is_retry: false,
        timeout_at: ready_by,
        payload_bytes: message.payload.len() as u64,
        payload: vec![message.payload.clone()],
    })
}

/// The version that a message gets, by the sticky key of the traffic split; `None` if the function has none.
fn resolve(
    router: &Router,
    message: &StoredMessage,
    function: &Function,
    trigger_position: usize,
    customer: usize,
) -> Option<ResolvedVersion> {
    let target = &message.target;
    let sticky_key = router
        .traffic_split
        .borrow()
        .sticky_key(&target.function)
        .cloned();
    let key = match &sticky_key {
        Some(StickyKey::Customer) => &target.customer,
        Some(StickyKey::Token) if !target.token.is_empty() => &target.token,
        _ => &message.name,
    };
    let caller = InvocationAttributes {
        customer: &target.customer,
        location: router.location(),
        key,
    };
    router.resolve(function, None, trigger_position, customer, &caller)
}

/// The answer to a message.
fn final_answer(answer: Result<FinalAnswer, AnswerLost>) -> Answer {
    match answer {
        Ok(FinalAnswer::Succeeded(ExecutorResponse::Complete(chunks))) => Answer::Succeeded {
            payload: match chunks.as_slice() {
                [one] => one.clone(),
                many => Bytes::from(many.concat()),
            },
        },
        Ok(FinalAnswer::Succeeded(ExecutorResponse::Streamed(_))) => Answer::Failed {
            reason: "its answer was streamed, which a message can't be".into(),
            may_have_run: true,
        },
        Ok(FinalAnswer::Rejected { .. }) => Answer::Rejected,
        Ok(FinalAnswer::Denied {
            denial,
            may_have_run,
        }) => denied_answer(&denial, may_have_run),
        Ok(FinalAnswer::Failed {
            reason,
            may_have_run,
        }) => {
            let why = match reason {
                FailureReason::TimedOut => "no answer came in time",
                FailureReason::Failed => "the executor failed",
            };
            Answer::Failed {
                reason: why.into(),
                may_have_run,
            }
        }
        Err(lost) => Answer::Failed {
            reason: lost.to_string(),
            may_have_run: true,
        },
    }
}
