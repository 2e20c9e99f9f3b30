//! Validates the payload of an invocation frame and converts it into an engine request.

use crate::invocation_table::OpenInvocation;
use orchidtally_dispatch_policy::interface::{Idempotency, TriggerType};
use orchidtally_engine::InvocationRequest;
use orchidtally_platform_client_protocol::{Fields, MAX_BODY_LENGTH, ProtocolError, parse_fields};
use orchidtally_platform_config::FrontEndSettings;
use thiserror::Error;

/// The longest accepted client timeout in milliseconds. A longer one, such as a day, would only occupy an open
/// invocation.
const MAX_CLIENT_TIMEOUT_MS: f64 = 600_000.0;
/// The longest accepted idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY_LENGTH: usize = 256;
/// The largest accepted `memory_mb` tag.
const MAX_MEMORY_MB: f64 = 1e7;
/// The largest accepted `lanes` tag.
const MAX_CONCURRENCY: f64 = 1e4;
/// The largest accepted `load_ms` tag, in milliseconds.
const MAX_LOAD_MS: f64 = 3.6e6;

/// Why an invocation is invalid. The text is sent to the client as the response body, so it is part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidInvocation {
    /// The frame is longer than the decoder buffers.
    #[error("the frame is too long for an invocation")]
    FrameTooLong,
    /// The payload does not start with well-formed fields.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The body is longer than `MAX_BODY_LENGTH`.
    #[error("the body is over 16 KiB")]
    BodyTooLong,
    /// The request names no trigger type.
    #[error("no 'service'")]
    MissingTriggerType,
    /// The trigger type is not configured.
    #[error("'service' names nothing that is served")]
    UnknownTriggerType,
    /// The invocation id is missing or not 16 hexadecimal digits.
    #[error("'ref' is not 16 hex digits")]
    InvalidId,
    /// The invocation id is that of an open invocation.
    #[error("'ref' is that of an open invocation")]
    DuplicateId,
    /// The invocation id is that of an ended invocation that may have run and must not run twice.
    #[error("'ref' is that of an invocation that may have run")]
    ExecutedId,
    /// The request names no function.
    #[error("no 'lookup'")]
    MissingFunction,
    /// The function id is not 16 hexadecimal digits.
    #[error("'lookup' is not 16 hex digits")]
    InvalidFunction,
    /// The client's timeout is missing or out of range.
    #[error("'allow' is no number of milliseconds that can be waited")]
    InvalidTimeout,
    /// The retry flag is neither 0 nor 1.
    #[error("'dup' is neither 1 nor absent")]
    InvalidRetryFlag,
    /// The request names a customer that is not configured.
    #[error("'project' names no customer")]
    UnknownCustomer,
    /// The idempotency key is empty or too long.
    #[error("'replay' is empty or too long")]
    InvalidIdempotencyKey,
    /// The trigger type requires an idempotency key, but the request has none.
    #[error("no 'replay', which this 'service' needs")]
    MissingIdempotencyKey,
    /// A tag is not of the form `name:value`.
    #[error("'tags' has no form that can be read")]
    InvalidTags,
    /// The value of this tag is not a number or is out of range.
    #[error("'{0}' is out of range")]
    TagOutOfRange(&'static str),
}

/// A valid invocation.
pub struct ParsedInvocation {
    /// The request for the engine.
    pub request: InvocationRequest,
    /// The data that the front end keeps while the invocation is open.
    pub invocation: OpenInvocation,
}

/// Where and when an invocation arrived.
#[derive(Clone, Copy, Debug)]
pub struct InvocationOrigin {
    /// The earliest time at which its last byte may have arrived, in seconds.
    pub arrived_at: f64,
    /// The slot of the client connection.
    pub client: usize,
    /// The stream on the client connection.
    pub stream: u32,
}

/// What is known of an invocation id that a client has chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdState {
    /// No invocation with this id is open, nor has one been dispatched that must not run twice.
    Unused,
    /// An invocation with this id is open.
    Open,
    /// An invocation with this id has ended, may have run and must not run twice.
    Executed,
}

/// Parses and validates the payload of an invocation frame. `id_state` returns what is known of an invocation id.
///
/// # Errors
/// The first check that the payload fails.
pub fn parse_invocation(
    settings: &FrontEndSettings,
    origin: InvocationOrigin,
    payload: &[u8],
    id_state: impl Fn(&str) -> IdState,
) -> Result<ParsedInvocation, InvalidInvocation> {
    let (fields, body) = parse_fields(payload)?;
    if body.len() > MAX_BODY_LENGTH {
        return Err(InvalidInvocation::BodyTooLong);
    }
    let trigger_type_name =
        field(&fields, "service").ok_or(InvalidInvocation::MissingTriggerType)?;
    let trigger_type = settings
        .trigger_types
        .iter()
        .position(|name| name == trigger_type_name)
        .ok_or(InvalidInvocation::UnknownTriggerType)?;
    let policy = &settings.policy.trigger_types[trigger_type];
    let id = parse_client_invocation_id(&fields, id_state)?;
    let function_text = field(&fields, "lookup").ok_or(InvalidInvocation::MissingFunction)?;
    let function = parse_hex(function_text).ok_or(InvalidInvocation::InvalidFunction)?;
    let client_timeout_ms = field(&fields, "allow")
        .and_then(|text| parse_number(text, 1.0, MAX_CLIENT_TIMEOUT_MS))
        .ok_or(InvalidInvocation::InvalidTimeout)?;
    let is_retry = parse_retry_flag(&fields)?;
    let customer = parse_customer(&fields, &settings.customers)?;
    let idempotency_key = parse_idempotency_key(&fields, policy)?;
    let tags = parse_tags(field(&fields, "tags").unwrap_or_default())?;
    let timeout_at = origin.arrived_at + (client_timeout_ms / 1e3).min(policy.client_timeout);
    Ok(ParsedInvocation {
        request: InvocationRequest {
            trigger_type,
            customer,
            function,
            is_retry,
            is_migrated: false,
            timeout_at,
            expected_work: None,
            concurrency: tags.concurrency,
            load_time: tags.load_time,
        },
        invocation: OpenInvocation {
            client: origin.client,
            stream: origin.stream,
            id: id.into(),
            is_repeatable: policy.idempotency == Idempotency::Idempotent,
            trigger_type,
            function: function_text.into(),
            idempotency_key: idempotency_key.map(str::to_owned),
            body: body.to_vec(),
            timeout_at,
        },
    })
}

fn field<'a>(fields: &Fields<'a>, name: &str) -> Option<&'a str> {
    fields
        .iter()
        .find(|(key, _)| *key == name)
        .map(|(_, value)| *value)
}

fn parse_hex(text: &str) -> Option<u64> {
    let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Parses a number within inclusive bounds.
fn parse_number(text: &str, min: f64, max: f64) -> Option<f64> {
    text.parse::<f64>()
        .ok()
        .filter(|number| (min..=max).contains(number))
}

fn parse_client_invocation_id<'a>(
    fields: &Fields<'a>,
    id_state: impl Fn(&str) -> IdState,
) -> Result<&'a str, InvalidInvocation> {
    let id = field(fields, "ref")
        .filter(|id| parse_hex(id).is_some())
        .ok_or(InvalidInvocation::InvalidId)?;
    match id_state(id) {
        IdState::Unused => Ok(id),
        IdState::Open => Err(InvalidInvocation::DuplicateId),
        IdState::Executed => Err(InvalidInvocation::ExecutedId),
    }
}

fn parse_retry_flag(fields: &Fields) -> Result<bool, InvalidInvocation> {
    match field(fields, "dup") {
        None | Some("0") => Ok(false),
        Some("1") => Ok(true),
        Some(_) => Err(InvalidInvocation::InvalidRetryFlag),
    }
}

/// Returns the index of the customer. A request that names none, or arrives where no customers are configured, counts
/// against no quota: its index is one past the last.
fn parse_customer(fields: &Fields, customers: &[String]) -> Result<usize, InvalidInvocation> {
    match field(fields, "project").filter(|_| !customers.is_empty()) {
        None => Ok(customers.len()),
        Some(name) => customers
            .iter()
            .position(|customer| customer == name)
            .ok_or(InvalidInvocation::UnknownCustomer),
    }
}

fn parse_idempotency_key<'a>(
    fields: &Fields<'a>,
    trigger_type: &TriggerType,
) -> Result<Option<&'a str>, InvalidInvocation> {
    match field(fields, "replay") {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_LENGTH => {
            Err(InvalidInvocation::InvalidIdempotencyKey)
        }
        None if trigger_type.idempotency == Idempotency::Keyed => {
            Err(InvalidInvocation::MissingIdempotencyKey)
        }
        key => Ok(key),
    }
}

/// The tags of a request that affect the policy.
struct Tags {
    concurrency: f64,
    /// How long a load of the function takes in seconds, if the client declares it.
    load_time: Option<f64>,
}

fn parse_tags(text: &str) -> Result<Tags, InvalidInvocation> {
    let mut tags = Tags {
        concurrency: 1.0,
        load_time: None,
    };
    for tag in text.split(';').filter(|tag| !tag.is_empty()) {
        let (name, value) = tag.split_once(':').ok_or(InvalidInvocation::InvalidTags)?;
        match name {
            "memory_mb" => _ = parse_tag_number(value, "memory_mb", 0.0, MAX_MEMORY_MB)?,
            "lanes" => tags.concurrency = parse_tag_number(value, "lanes", 1.0, MAX_CONCURRENCY)?,
            "load_ms" => {
                let milliseconds = parse_tag_number(value, "load_ms", 0.0, MAX_LOAD_MS)?;
                tags.load_time = Some(milliseconds / 1e3);
            }
            _ => {}
        }
    }
    Ok(tags)
}

fn parse_tag_number(
    value: &str,
    name: &'static str,
    min: f64,
    max: f64,
) -> Result<f64, InvalidInvocation> {
    parse_number(value, min, max).ok_or(InvalidInvocation::TagOutOfRange(name))
}
