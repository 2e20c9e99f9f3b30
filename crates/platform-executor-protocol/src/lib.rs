//! The platform's lines between front ends and executors: a JSON object each, ended by a line feed, bodies in base64.
//!
//! An incremental decoder of answers and an encoder of commands; no sockets. The protocol is that of the platform's page
//! PROTOCOL.md.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use thiserror::Error;

/// The longest line in bytes: a body of 16 KiB takes 22 KiB in base64, the rest is for the fields.
pub const MAX_LINE_LENGTH: usize = 64 * 1024;

/// Why a line is no valid answer; nothing after it on that connection can be trusted.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The line is not the JSON object of an answer.
    #[error("a line is no answer: {0}")]
    InvalidResponse(#[source] serde_json::Error),
    /// The kind of the answer is unknown.
    #[error("an answer's kind is unknown: '{0}'")]
    UnknownResponseKind(String),
    /// A field holds no number that fits.
    #[error("'{0}' is no number from 0 to 4294967295")]
    InvalidNumber(&'static str),
    /// The body is not base64.
    #[error("a body is no base64: {0}")]
    InvalidBody(#[source] base64::DecodeError),
    /// The line exceeds `MAX_LINE_LENGTH`.
    #[error("a line is over {MAX_LINE_LENGTH} bytes")]
    LineTooLong,
}

/// The kind of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// `DONE`: it ran, or the replicas stand.
    Done,
    /// `LACK`: the function is not loaded; it never ran.
    Miss,
    /// `WAIT`: the executor has no capacity; it never ran.
    Full,
    /// `BROKE`: it failed and may have run.
    Error,
    /// `PAST`: the invocation was over already; it never ran.
    AlreadyOver,
    /// `FIT`: the health check passed.
    Healthy,
    /// `UNFIT`: the health check failed.
    Unhealthy,
}

/// What the executor notes of the replica that it used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadNote {
    /// No note.
    #[default]
    Nothing,
    /// A replica stood loaded.
    Warm,
    /// The dispatch began a load.
    Cold,
    /// The dispatch waited for a load that had begun earlier.
    Joined,
    /// The load failed.
    LoadFailed,
}

/// An answer of an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Its kind.
    pub kind: ResponseKind,
    /// The id of the dispatch, or the tag of the command, that it answers.
    pub id: String,
    /// What the executor notes of the replica.
    pub load_note: LoadNote,
    /// Invocations of the same function at the executor when the dispatch arrived.
    pub function_concurrency: u32,
    /// Replicas of the function, in the answer to a load command.
    pub replica_count: u32,
    /// A load report, as `name:value;name:value`; empty if there is none.
    pub load_report: String,
    /// The response body.
    pub body: Vec<u8>,
}

/// The line as it is written.
#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    t: Cow<'a, str>,
    #[serde(borrow)]
    i: Cow<'a, str>,
    #[serde(default)]
    f: Option<LineFields>,
    #[serde(borrow, default)]
    b: Option<Cow<'a, str>>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct LineFields {
    tell: Option<String>,
    crowd: Option<Value>,
    count: Option<Value>,
    meter: Option<String>,
}

/// A number that is written as a number or as a string; 0 if it is absent.
fn parse_number(value: Option<Value>, name: &'static str) -> Result<u32, ProtocolError> {
    let number = match &value {
        None | Some(Value::Null) => return Ok(0),
        Some(Value::Number(n)) => n.as_f64(),
        Some(Value::String(s)) => s.trim().parse::<f64>().ok(),
        Some(_) => None,
    };
    number
        .filter(|n| (0.0..=f64::from(u32::MAX)).contains(n))
        .map(|n| n as u32)
        .ok_or(ProtocolError::InvalidNumber(name))
}

/// Parses an answer from a line without its line feed.
///
/// # Errors
/// The line is no valid answer.
pub fn parse_response(line: &[u8]) -> Result<Response, ProtocolError> {
    let line: Line = serde_json::from_slice(line).map_err(ProtocolError::InvalidResponse)?;
    let kind = match line.t.as_ref() {
        "DONE" => ResponseKind::Done,
        "LACK" => ResponseKind::Miss,
        "WAIT" => ResponseKind::Full,
        "BROKE" => ResponseKind::Error,
        "PAST" => ResponseKind::AlreadyOver,
        "FIT" => ResponseKind::Healthy,
        "UNFIT" => ResponseKind::Unhealthy,
        other => return Err(ProtocolError::UnknownResponseKind(other.to_owned())),
    };
    let fields = line.f.unwrap_or_default();
    let load_note = match fields.tell.as_deref() {
        Some("warm") => LoadNote::Warm,
        Some("cold") => LoadNote::Cold,
        Some("joined") => LoadNote::Joined,
        Some("load_failed") => LoadNote::LoadFailed,
        _ => LoadNote::Nothing,
    };
    let body = match line.b {
        Some(text) => STANDARD
            .decode(text.as_bytes())
            .map_err(ProtocolError::InvalidBody)?,
        None => vec![],
    };
    Ok(Response {
        kind,
        id: line.i.into_owned(),
        load_note,
        function_concurrency: parse_number(fields.crowd, "crowd")?,
        replica_count: parse_number(fields.count, "count")?,
        load_report: fields.meter.unwrap_or_default(),
        body,
    })
}

/// The values of a load report in the order of `names`; empty if it lacks one of them or one is no finite number.
pub fn parse_load_report(load_report: &str, names: &[String]) -> Vec<f32> {
    let value = |name: &String| {
        let mut pairs = load_report
            .split(';')
            .filter_map(|pair| pair.split_once(':'));
        let (_, value) = pairs.find(|(key, _)| key.trim() == name)?;
        value.trim().parse::<f32>().ok().filter(|v| v.is_finite())
    };
    names
        .iter()
        .map(value)
        .collect::<Option<_>>()
        .unwrap_or_default()
}

/// An incremental decoder. It buffers one line at most, besides the bytes that were pushed last.
#[derive(Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// The position of the next line in `bytes`.
    position: usize,
    /// Bytes from there on that are known to hold no line feed.
    searched: usize,
}

impl Decoder {
    /// Adds bytes that were read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..std::mem::take(&mut self.position));
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether a line has arrived in part.
    pub fn has_partial_line(&self) -> bool {
        self.position < self.bytes.len()
    }

    /// The next answer whose line has arrived whole.
    ///
    /// # Errors
    /// The line is no valid answer, or too long.
    pub fn next_response(&mut self) -> Result<Option<Response>, ProtocolError> {
        let rest = &self.bytes[self.position..];
        let end = rest[self.searched..]
            .iter()
            .position(|&b| b == b'\n')
            .map(|n| n + self.searched);
        match end {
            Some(end) if end <= MAX_LINE_LENGTH => {
                let response = parse_response(&rest[..end]);
                self.position += end + 1;
                self.searched = 0;
                response.map(Some)
            }
            None if rest.len() <= MAX_LINE_LENGTH => {
                self.searched = rest.len();
                if rest.is_empty() {
                    // Idle connections hold no buffer.
                    self.bytes = Vec::new();
                    self.position = 0;
                }
                Ok(None)
            }
            _ => Err(ProtocolError::LineTooLong),
        }
    }
}

/// A dispatch, as it is sent.
pub struct Dispatch<'a> {
    /// The client's id of the invocation.
    pub id: &'a str,
    /// The name of the trigger type.
    pub trigger_type: &'a str,
    /// The function.
    pub function: &'a str,
    /// For how long the front end waits, in milliseconds.
    pub timeout_ms: u64,
    /// The client's idempotency key, if there is one.
    pub idempotency_key: Option<&'a str>,
    /// The request body.
    pub body: &'a [u8],
}

/// The line of an object, with its line feed.
fn encode_line(object: Value) -> Vec<u8> {
    let mut line = object.to_string().into_bytes();
    line.push(b'\n');
    line
}

/// The line of a dispatch.
pub fn encode_dispatch(dispatch: &Dispatch) -> Vec<u8> {
    let mut fields = serde_json::json!({
        "cls": dispatch.trigger_type,
        "item": dispatch.function,
        "limit": dispatch.timeout_ms,
    });
    if let Some(key) = dispatch.idempotency_key {
        fields["nonce"] = key.into();
    }
    encode_line(serde_json::json!({
        "t": "DO",
        "i": dispatch.id,
        "f": fields,
        "b": STANDARD.encode(dispatch.body),
    }))
}

/// The line that cancels a dispatch; it gets no answer.
pub fn encode_cancel(id: &str) -> Vec<u8> {
    encode_line(serde_json::json!({"t": "UNDO", "i": id}))
}

/// The line of a load command: hold so many replicas of a function at least; 0 only queries their number.
pub fn encode_load_command(tag: &str, function: &str, replicas: u8) -> Vec<u8> {
    encode_line(
        serde_json::json!({"t": "PIN", "i": tag, "f": {"item": function, "count": replicas}}),
    )
}

/// The line that unloads the idle replicas of a function; it gets no answer.
pub fn encode_unload_command(function: &str) -> Vec<u8> {
    encode_line(serde_json::json!({"t": "UNPIN", "i": function}))
}

/// The line of a health check that asks for the load report.
pub fn encode_health_check(tag: &str) -> Vec<u8> {
    encode_line(serde_json::json!({"t": "METER", "i": tag}))
}
