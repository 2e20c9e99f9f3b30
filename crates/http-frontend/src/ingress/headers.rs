//! Reads the headers of a request.

use super::answer::Problem;
use super::{CLIENT_RETRY, CUSTOMER, IDEMPOTENCY_KEY, INVOCATION, TIME_LEFT, TRIGGER_TYPE};
use crate::router::{NamedCustomer, Revision, TriggerTypeInForce};
use http::{HeaderMap, StatusCode};
use orchidtally_dispatch_policy::interface::Idempotency;
use std::rc::Rc;

/// The maximum length of a header that contains a name, in bytes.
const MAX_NAME_LENGTH: usize = 128;

/// The value of a header that may occur once.
pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Problem::bad_request(format!(
            "header '{name}' is given twice"
        )));
    }
    let text = value
        .to_str()
        .map_err(|_| Problem::bad_request(format!("header '{name}' is not plain text")))?;
    if text.is_empty() || text.len() > MAX_NAME_LENGTH {
        return Err(Problem::bad_request(format!(
            "header '{name}' must have 1 to {MAX_NAME_LENGTH} letters"
        )));
    }
    Ok(Some(text))
}

/// The settings of an invocation in the headers of a request.
pub(super) struct InvocationHeaders<'r> {
    /// The position of the trigger type in the revision.
    pub(super) trigger_type_position: usize,
    pub(super) trigger_type: Rc<TriggerTypeInForce>,
    pub(super) customer: NamedCustomer<'r>,
    pub(super) idempotency_key: Option<&'r str>,
    /// Seconds until the client times out.
    pub(super) time_left: f64,
    /// Whether it is a client retry.
    pub(super) is_retry: bool,
    /// The name of the invocation, where the client gives one.
    pub(super) invocation: Option<&'r str>,
}

impl<'r> InvocationHeaders<'r> {
    pub(super) fn read(
        headers: &'r HeaderMap,
        revision: &Revision,
    ) -> Result<InvocationHeaders<'r>, Problem> {
        let (trigger_type_position, trigger_type) = trigger_type(headers, revision)?;
        let customer = customer(headers, revision)?;
        let policy = &trigger_type.policy;
        let idempotency_key = header(headers, IDEMPOTENCY_KEY)?;
        if policy.idempotency == Idempotency::Keyed && idempotency_key.is_none() {
            return Err(Problem::bad_request(format!(
                "header '{IDEMPOTENCY_KEY}' is missing; this trigger type is tokened"
            )));
        }
        let time_left = time_left(headers)?.map_or(policy.client_timeout, |time| {
            time.min(policy.client_timeout)
        });
        Ok(InvocationHeaders {
            trigger_type_position,
            customer,
            idempotency_key,
            time_left,
            is_retry: is_retry(headers)?,
            invocation: header(headers, INVOCATION)?,
            trigger_type,
        })
    }
}

fn trigger_type(
    headers: &HeaderMap,
    revision: &Revision,
) -> Result<(usize, Rc<TriggerTypeInForce>), Problem> {
    let found = match header(headers, TRIGGER_TYPE)? {
        Some(name) => revision.trigger_type(name).ok_or_else(|| {
            let known = revision.trigger_type_names().join(", ");
            Problem::bad_request(format!("no trigger type '{name}'; known are {known}"))
        }),
        None => revision
            .only_trigger_type()
            .ok_or_else(|| Problem::bad_request(format!("header '{TRIGGER_TYPE}' is missing"))),
    };
    found.map(|(position, trigger_type)| (position, trigger_type.clone()))
}

fn customer<'r>(headers: &'r HeaderMap, revision: &Revision) -> Result<NamedCustomer<'r>, Problem> {
    let given = header(headers, CUSTOMER)?;
    if !revision.has_customers() {
        return Ok(NamedCustomer {
            index: 0,
            name: given.unwrap_or_default(),
        });
    }
    let name =
        given.ok_or_else(|| Problem::bad_request(format!("header '{CUSTOMER}' is missing")))?;
    match revision.customer(name) {
        Some(customer) => Ok(NamedCustomer {
            index: customer.index,
            name,
        }),
        None => Err(Problem::new(
            StatusCode::FORBIDDEN,
            "unknown customer",
            format!("no customer '{name}'"),
        )),
    }
}

/// Seconds until the client times out, where the request contains them.
fn time_left(headers: &HeaderMap) -> Result<Option<f64>, Problem> {
    let Some(text) = header(headers, TIME_LEFT)? else {
        return Ok(None);
    };
    let milliseconds: u32 = text.parse().map_err(|_| {
        Problem::bad_request(format!(
            "header '{TIME_LEFT}': '{text}' is no whole number of ms"
        ))
    })?;
    Ok(Some(f64::from(milliseconds) / 1e3))
}

fn is_retry(headers: &HeaderMap) -> Result<bool, Problem> {
    match header(headers, CLIENT_RETRY)? {
        None | Some("0") => Ok(false),
        Some("1") => Ok(true),
        Some(other) => Err(Problem::bad_request(format!(
            "header '{CLIENT_RETRY}': '{other}' is neither 0 nor 1"
        ))),
    }
}
