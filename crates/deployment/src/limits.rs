//! The `limits` section: a front end's limits on clients and on connections to executors.

use crate::TriggerTypeSettings;
use crate::reader::Fields;
use orchidtally_dispatch_policy::interface::TriggerType;
use std::ops::RangeInclusive;

/// The keys of the section; some of them are read into the policy's configuration.
pub(crate) const LIMIT_KEYS: [&str; 17] = [
    "maxDispatches",
    "secondCopies",
    "cancel",
    "maxRetryAfter",
    "openInvocations",
    "connections",
    "headerBytes",
    "bodyBytes",
    "heldBodyBytes",
    "answerBytes",
    "senderTime",
    "answerMargin",
    "answerTime",
    "streamsPerConnection",
    "connectionsPerExecutor",
    "connectTime",
    "idleClose",
];

/// The sizes of header buffers, in bytes, that the HTTP libraries support.
const HEADER_BYTES_RANGE: RangeInclusive<f64> = 8_192.0..=1e6;

/// Request bodies of the largest size that may be held at a time, unless the file says how many bytes.
const HELD_BODIES: f64 = 64.0;

/// The limits of a front end. Times are in seconds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The most invocations without a final answer.
    pub max_open_invocations: usize,
    /// The most connections from clients.
    pub max_connections: usize,
    /// The most bytes of a request's headers.
    pub max_header_bytes: u32,
    /// The most bytes of a request's body.
    pub max_body_bytes: usize,
    /// The most bytes of all request bodies that are being received or belong to open invocations.
    pub max_held_body_bytes: usize,
    /// The most bytes of a response's body.
    pub max_response_bytes: usize,
    /// The time limit for receiving a request's headers, and then its body.
    pub request_read_timeout: f64,
    /// How long before the client timeout a response is sent at the latest.
    pub response_margin: f64,
    /// The additional margin for each open invocation, since responses that are due together are sent one by one.
    pub response_margin_per_open: f64,
    /// The most HTTP/2 streams on one connection to an executor.
    pub max_streams_per_connection: usize,
    /// The most connections to one executor.
    pub max_connections_per_executor: usize,
    /// The time limit for connecting to an executor.
    pub connect_timeout: f64,
    /// The time after which an idle connection to an executor is closed.
    pub idle_timeout: f64,
    /// The time after which a load command without an answer is considered failed.
    pub load_command_timeout: f64,
}

/// Reads the limits.
pub(crate) fn read_limits(limits: &Fields, loading: &Fields) -> Limits {
    let count = |key, range, default: u32| {
        let read = limits.optional(key, |place| place.integer(range));
        read.unwrap_or(default) as usize
    };
    let bytes = |key, default| {
        let read = limits.optional(key, |place| place.bytes(1.0..=1e10));
        read.unwrap_or(default)
    };
    let time = |key, max, default| {
        let read = limits.optional(key, |place| place.seconds(0.001..=max));
        read.unwrap_or(default)
    };
    let header_bytes =
        |bytes: f64| bytes.clamp(*HEADER_BYTES_RANGE.start(), *HEADER_BYTES_RANGE.end()) as u32;
    let max_body_bytes = bytes("bodyBytes", 1_048_576.0);
    Limits {
        max_open_invocations: count("openInvocations", 1..=10_000_000, 20_000),
        max_connections: count("connections", 1..=1_000_000, 10_000),
        max_header_bytes: header_bytes(bytes("headerBytes", 16_384.0)),
        max_body_bytes: max_body_bytes as usize,
        max_held_body_bytes: bytes("heldBodyBytes", HELD_BODIES * max_body_bytes) as usize,
        max_response_bytes: bytes("answerBytes", 4_194_304.0) as usize,
        request_read_timeout: time("senderTime", 600.0, 10.0),
        response_margin: time("answerMargin", 5.0, 0.025),
        response_margin_per_open: limits
            .optional("answerTime", |place| place.seconds(0.0..=0.01))
            .unwrap_or(40e-6),
        max_streams_per_connection: count("streamsPerConnection", 1..=100_000, 100),
        max_connections_per_executor: count("connectionsPerExecutor", 1..=10_000, 4),
        connect_timeout: time("connectTime", 60.0, 0.25),
        idle_timeout: time("idleClose", 86_400.0, 15.0),
        load_command_timeout: loading
            .optional("answerWithin", |place| place.seconds(0.01..=3_600.0))
            .unwrap_or(10.0),
    }
}

/// Checks that each client timeout is longer than twice the response margin.
pub(crate) fn check_response_margin(
    fields: &Fields,
    limits: &Limits,
    names: &[TriggerTypeSettings],
    trigger_types: &[TriggerType],
) {
    let too_short = names
        .iter()
        .zip(trigger_types)
        .find(|(_, trigger_type)| trigger_type.client_timeout <= 2.0 * limits.response_margin);
    if let Some((settings, trigger_type)) = too_short {
        fields.at("answerMargin").fault(format!(
            "leaves no time: the client timeout of '{}' is {} s, more than twice the margin is wanted",
            settings.name, trigger_type.client_timeout
        ));
    }
}
