//! Invokes for a message.

use crate::config::Refusal;
use crate::hub::{Asked, Brought, Final, Hub, NamedCustomer, NotTaken};
use bytes::Bytes;
use orchidtally_engine::Cause;
use orchidtally_rollout::plan::Key;
use orchidtally_rollout::split::Who;
use orchidtally_trigger::ledger::{Answer, StoredMessage};
use std::rc::Rc;

/// What comes of a message that the configuration doesn't let through: one that may be let through later is tried
/// again, unless it may have run.
fn refused(refusal: &Refusal, may_have_run: bool) -> Answer {
    if refusal.retry_after().is_some() && !may_have_run {
        return Answer::Throttled;
    }
    Answer::Errored { why: refusal.to_string(), may_have_run }
}

/// Invokes for a message and gives its final answer.
pub(super) async fn invoke(hub: Rc<Hub>, message: StoredMessage, ready_by: f64) -> Answer {
    let errored = |why: String| Answer::Errored { why, may_have_run: false };
    let revision = hub.revision();
    let target = &message.target;
    let Some((trigger_place, trigger_type)) = revision.trigger_type(&target.trigger_type) else {
        return errored(format!("there is no trigger type '{}' any more", target.trigger_type));
    };
    let customer = match revision.customer(&target.customer) {
        Some(customer) => customer.index,
        None if !revision.has_customers() => 0,
        None => return errored(format!("there is no customer '{}' any more", target.customer)),
    };
    let Some(function) = revision.function(&target.function) else {
        return errored(format!("there is no function '{}' any more", target.function));
    };
    if ready_by <= hub.now() {
        return Answer::Throttled;
    }
    let key = hub.shares.borrow().key(&target.function).cloned();
    let key = match &key {
        Some(Key::Customer) => &target.customer,
        Some(Key::Token) if !target.token.is_empty() => &target.token,
        _ => &message.name,
    };
    let who = Who { customer: &target.customer, location: hub.location(), key };
    let Some(resolved) = hub.resolve(&function, None, trigger_place, customer, &who) else {
        return errored(format!("function '{}' has no version 'stable'", target.function));
    };
    let asked = Asked {
        name: message.name.clone(),
        function: function.name.clone(),
        resolved,
        revision: revision.clone(),
        trigger_type: trigger_type.clone(),
        customer: NamedCustomer { index: customer, name: &target.customer },
        token: &target.token,
        repeat: false,
        timeout_at: ready_by,
        payload_bytes: message.payload.len() as u64,
        payload: vec![message.payload.clone()],
    };
    let answer = match hub.invoke(asked).await {
        Ok(answer) => answer,
        Err(NotTaken::Full | NotTaken::Leaving) => return Answer::Throttled,
        Err(NotTaken::Refused(refusal)) => return refused(&refusal, false),
    };
    match answer {
        Ok(Final::Succeeded(Brought::Whole(chunks))) => Answer::Succeeded {
            payload: match chunks.as_slice() {
                [one] => one.clone(),
                many => Bytes::from(many.concat()),
            },
        },
        Ok(Final::Succeeded(Brought::Streamed(_))) => Answer::Errored {
            why: "its answer was streamed, which a message can't be".into(),
            may_have_run: true,
        },
        Ok(Final::Throttled { .. }) => Answer::Throttled,
        Ok(Final::Refused { refusal, may_have_run }) => refused(&refusal, may_have_run),
        Ok(Final::Errored { cause, may_have_run }) => {
            let why = match cause {
                Cause::TimedOut => "no answer came in time",
                Cause::Failed => "the executor failed",
            };
            Answer::Errored { why: why.into(), may_have_run }
        }
        Err(lost) => Answer::Errored { why: lost.to_string(), may_have_run: true },
    }
}
