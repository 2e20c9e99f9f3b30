//! The platform's line protocol between front ends and executors: each line is a JSON object followed by a line feed;
//! bodies are in base64.
//!
//! Provides an incremental decoder of responses and encoders of dispatches and commands; opens no sockets. The
//! platform's PROTOCOL.md specifies the protocol.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use thiserror::Error;

/// The maximum length of a line in bytes. A body of 16 KiB takes 22 KiB in base64; the rest is for the fields.
pub const MAX_LINE_LENGTH: usize = 64 * 1024;

/// Why a line is not a valid response. Nothing after it on the connection can be trusted.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The line is not a JSON object with the keys of a response.
    #[error("line is not a valid response: {0}")]
    InvalidResponse(#[source] serde_json::Error),
    /// The kind of the response is unknown.
    #[error("unknown response kind '{0}'")]
    UnknownResponseKind(String),
    /// The value of a field is not a number, or is out of range.
    #[error("field '{0}' is not a number from 0 to 4294967295")]
    InvalidNumber(&'static str),
    /// The body is not valid base64.
    #[error("body is not valid base64: {0}")]
    InvalidBody(#[source] base64::DecodeError),
    /// The line exceeds `MAX_LINE_LENGTH`.
    #[error("line exceeds {MAX_LINE_LENGTH} bytes")]
    LineTooLong,
}

/// The kind of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// `DONE`: the dispatch ran, or the replicas of the load command are loaded.
    Done,
    /// `LACK`: the function is not loaded; the dispatch did not run.
    Miss,
    /// `WAIT`: the executor has no capacity; the dispatch did not run.
    Full,
    /// `BROKE`: the dispatch failed and may have run.
    Error,
    /// `PAST`: the invocation had already ended; the dispatch did not run.
    AlreadyOver,
    /// `FIT`: the health check passed.
    Healthy,
    /// `UNFIT`: the health check failed.
    Unhealthy,
}

/// How the dispatch obtained its replica, as the executor reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadNote {
    /// The response reports nothing, or an unknown value.
    #[default]
    Nothing,
    /// A replica was already loaded.
    Warm,
    /// The dispatch started a load.
    Cold,
    /// The dispatch waited for a load that was already in progress.
    Joined,
    /// The load failed.
    LoadFailed,
}

/// A response of an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The kind of the response.
    pub kind: ResponseKind,
    /// The id of the dispatch, or the tag of the command, that the response belongs to.
    pub id: String,
    /// How the dispatch obtained its replica.
    pub load_note: LoadNote,
    /// How many invocations of the same function the executor had when the dispatch arrived; 0 if not reported.
    pub function_concurrency: u32,
    /// How many replicas of the function are loaded, in the response to a load command; 0 if not reported.
    pub replica_count: u32,
    /// The load report as `name:value;name:value`; empty if there is none.
    pub load_report: String,
    /// The response body.
    pub body: Vec<u8>,
}

/// The JSON object of a response.
#[derive(Deserialize)]
struct ResponseLine<'a> {
    #[serde(borrow, rename = "t")]
    kind: Cow<'a, str>,
    #[serde(borrow, rename = "i")]
    id: Cow<'a, str>,
    #[serde(default, rename = "f")]
    fields: Option<ResponseFields>,
    #[serde(borrow, default, rename = "b")]
    body: Option<Cow<'a, str>>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ResponseFields {
    #[serde(rename = "tell")]
    load_note: Option<String>,
    #[serde(rename = "crowd")]
    function_concurrency: Option<Value>,
    #[serde(rename = "count")]
    replica_count: Option<Value>,
    #[serde(rename = "meter")]
    load_report: Option<String>,
}

/// Parses a field whose value is a JSON number or a string that holds a number; an absent or null field is 0.
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

/// Parses a response from a line without its line feed.
///
/// # Errors
/// The line is not a valid response.
pub fn parse_response(line: &[u8]) -> Result<Response, ProtocolError> {
    let line: ResponseLine =
        serde_json::from_slice(line).map_err(ProtocolError::InvalidResponse)?;
    let kind = match line.kind.as_ref() {
        "DONE" => ResponseKind::Done,
        "LACK" => ResponseKind::Miss,
        "WAIT" => ResponseKind::Full,
        "BROKE" => ResponseKind::Error,
        "PAST" => ResponseKind::AlreadyOver,
        "FIT" => ResponseKind::Healthy,
        "UNFIT" => ResponseKind::Unhealthy,
        other => return Err(ProtocolError::UnknownResponseKind(other.to_owned())),
    };
    let fields = line.fields.unwrap_or_default();
    let load_note = match fields.load_note.as_deref() {
        Some("warm") => LoadNote::Warm,
        Some("cold") => LoadNote::Cold,
        Some("joined") => LoadNote::Joined,
        Some("load_failed") => LoadNote::LoadFailed,
        _ => LoadNote::Nothing,
    };
    let body = match line.body {
        Some(text) => STANDARD
            .decode(text.as_bytes())
            .map_err(ProtocolError::InvalidBody)?,
        None => vec![],
    };
    Ok(Response {
        kind,
        id: line.id.into_owned(),
        load_note,
        function_concurrency: parse_number(fields.function_concurrency, "crowd")?,
        replica_count: parse_number(fields.replica_count, "count")?,
        load_report: fields.load_report.unwrap_or_default(),
        body,
    })
}

/// Returns the values of a load report in the order of `names`; empty if one of them is missing or not a finite number.
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

/// An incremental decoder of responses. It buffers at most one line besides the bytes that were pushed last.
#[derive(Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// The position of the next line in `bytes`.
    position: usize,
    /// How many bytes from `position` on are known to contain no line feed.
    searched: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.release_read_bytes();
        self.bytes.extend_from_slice(bytes);
    }

    /// Frees the memory of lines that were returned, so that the buffer is no larger than what is left of the bytes.
    fn release_read_bytes(&mut self) {
        if self.position > 0 {
            self.bytes = self.bytes[self.position..].to_vec();
            self.position = 0;
        }
    }

    /// Bytes of memory that the decoder holds.
    pub fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Whether a line has arrived only in part.
    pub fn has_partial_line(&self) -> bool {
        self.position < self.bytes.len()
    }

    /// Returns the response in the next complete line; `None` until more bytes are pushed.
    ///
    /// # Errors
    /// The line is not a valid response, or exceeds `MAX_LINE_LENGTH`.
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
                self.release_read_bytes();
                Ok(None)
            }
            _ => Err(ProtocolError::LineTooLong),
        }
    }
}

/// A dispatch to an executor.
pub struct Dispatch<'a> {
    /// The client's id of the invocation.
    pub id: &'a str,
    /// The name of the trigger type.
    pub trigger_type: &'a str,
    /// The function.
    pub function: &'a str,
    /// How long the front end waits for the response, in milliseconds.
    pub timeout_ms: u64,
    /// The client's idempotency key, if there is one.
    pub idempotency_key: Option<&'a str>,
    /// The request body.
    pub body: &'a [u8],
}

/// Encodes a JSON object as a line, with its line feed.
fn encode_line(object: Value) -> Vec<u8> {
    let mut line = object.to_string().into_bytes();
    line.push(b'\n');
    line
}

/// Encodes a dispatch as a line.
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

/// Encodes the cancellation of a dispatch; the executor sends no response to it.
pub fn encode_cancel(id: &str) -> Vec<u8> {
    encode_line(serde_json::json!({"t": "UNDO", "i": id}))
}

/// Encodes a load command: the executor keeps at least this number of replicas of a function loaded. A number of 0 only
/// queries how many are loaded.
pub fn encode_load_command(tag: &str, function: &str, replicas: u8) -> Vec<u8> {
    encode_line(
        serde_json::json!({"t": "PIN", "i": tag, "f": {"item": function, "count": replicas}}),
    )
}

/// Encodes a command to unload the idle replicas of a function; the executor sends no response to it.
pub fn encode_unload_command(function: &str) -> Vec<u8> {
    encode_line(serde_json::json!({"t": "UNPIN", "i": function}))
}

/// Encodes a health check, whose response contains the load report.
pub fn encode_health_check(tag: &str) -> Vec<u8> {
    encode_line(serde_json::json!({"t": "METER", "i": tag}))
}
