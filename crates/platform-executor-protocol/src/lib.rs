//! The platform's lines between front ends and executors: a JSON object each, ended by a line feed, bodies in
//! base64. Bytes in, answers out; no sockets.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use std::fmt;

/// A line that is read to its end: a body of 16 KiB in base64 takes 22 KiB, the rest leaves room for fields.
pub const MAX_LINE_LENGTH: usize = 64 * 1024;

/// Why a line can't be read; nothing behind it on that connection can be trusted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub String);

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    Done,
    Miss,
    Full,
    Error,
    AlreadyOver,
    Healthy,
    Unhealthy,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadNote {
    #[default]
    Nothing,
    Warm,
    Cold,
    Joined,
    LoadFailed,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub kind: ResponseKind,
    pub id: String,
    pub load_note: LoadNote,
    pub function_concurrency: u32,
    pub replica_count: u32,
    /// A load report, as `name:value;name:value`; empty where there is none.
    pub load_report: String,
    pub body: Vec<u8>,
}

#[derive(Deserialize)]
struct Raw<'a> {
    #[serde(borrow)]
    t: Cow<'a, str>,
    #[serde(borrow)]
    i: Cow<'a, str>,
    #[serde(default)]
    f: Option<Figures>,
    #[serde(borrow, default)]
    b: Option<Cow<'a, str>>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Figures {
    tell: Option<String>,
    crowd: Option<Value>,
    count: Option<Value>,
    meter: Option<String>,
}

/// A figure, written as a number or as a string.
fn figure(value: Option<Value>, name: &str) -> Result<u32, ProtocolError> {
    let read = match &value {
        None | Some(Value::Null) => return Ok(0),
        Some(Value::Number(n)) => n.as_f64(),
        Some(Value::String(s)) => s.trim().parse::<f64>().ok(),
        Some(_) => None,
    };
    let fits = read.filter(|n| (0.0..=f64::from(u32::MAX)).contains(n));
    fits.map(|n| n as u32)
        .ok_or_else(|| ProtocolError(format!("'{name}' is no figure")))
}

/// One line, without its line feed.
pub fn parse_response(line: &[u8]) -> Result<Response, ProtocolError> {
    let raw: Raw = serde_json::from_slice(line)
        .map_err(|e| ProtocolError(format!("a line is no answer: {e}")))?;
    let word = match raw.t.as_ref() {
        "DONE" => ResponseKind::Done,
        "LACK" => ResponseKind::Miss,
        "WAIT" => ResponseKind::Full,
        "BROKE" => ResponseKind::Error,
        "PAST" => ResponseKind::AlreadyOver,
        "FIT" => ResponseKind::Healthy,
        "UNFIT" => ResponseKind::Unhealthy,
        _ => return Err(ProtocolError("an answer's word is unknown".into())),
    };
    let f = raw.f.unwrap_or_default();
    let tell = match f.tell.as_deref() {
        Some("warm") => LoadNote::Warm,
        Some("cold") => LoadNote::Cold,
        Some("joined") => LoadNote::Joined,
        Some("load_failed") => LoadNote::LoadFailed,
        _ => LoadNote::Nothing,
    };
    let body = match raw.b {
        Some(text) => STANDARD
            .decode(text.as_bytes())
            .map_err(|e| ProtocolError(format!("a body is no base64: {e}")))?,
        None => vec![],
    };
    Ok(Response {
        kind: word,
        id: raw.i.into_owned(),
        load_note: tell,
        function_concurrency: figure(f.crowd, "crowd")?,
        replica_count: figure(f.count, "count")?,
        load_report: f.meter.unwrap_or_default(),
        body,
    })
}

/// Values of a load report in the order of `names`; empty where it lacks one of them or holds no number.
pub fn parse_load_report(meter: &str, names: &[String]) -> Vec<f32> {
    let value = |name: &String| {
        let mut pairs = meter.split(';').filter_map(|pair| pair.split_once(':'));
        let (_, value) = pairs.find(|(key, _)| key.trim() == name)?;
        value.trim().parse::<f32>().ok().filter(|v| v.is_finite())
    };
    names
        .iter()
        .map(value)
        .collect::<Option<_>>()
        .unwrap_or_default()
}

/// Takes bytes as they come. It holds one line at the most, besides what was pushed last.
#[derive(Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    at: usize,
    /// Bytes from `at` that are known to hold no line feed.
    looked: usize,
}

impl Decoder {
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..std::mem::take(&mut self.at));
        self.bytes.extend_from_slice(bytes);
    }

    /// A line has begun that is not whole yet.
    pub fn has_partial_line(&self) -> bool {
        self.at < self.bytes.len()
    }

    pub fn next_response(&mut self) -> Result<Option<Response>, ProtocolError> {
        let rest = &self.bytes[self.at..];
        let end = rest[self.looked..]
            .iter()
            .position(|&b| b == b'\n')
            .map(|n| n + self.looked);
        match end {
            Some(end) if end <= MAX_LINE_LENGTH => {
                let read = parse_response(&rest[..end]);
                self.at += end + 1;
                self.looked = 0;
                read.map(Some)
            }
            None if rest.len() <= MAX_LINE_LENGTH => {
                self.looked = rest.len();
                if rest.is_empty() {
                    (self.bytes, self.at, self.looked) = (Vec::new(), 0, 0);
                }
                Ok(None)
            }
            _ => Err(ProtocolError(format!(
                "a line is over {MAX_LINE_LENGTH} bytes"
            ))),
        }
    }
}

/// What a dispatch carries.
pub struct Dispatch<'a> {
    pub id: &'a str,
    pub trigger_type: &'a str,
    pub function: &'a str,
    pub limit_ms: u64,
    pub idempotency_key: Option<&'a str>,
    pub body: &'a [u8],
}

fn ended(object: Value) -> Vec<u8> {
    let mut line = object.to_string().into_bytes();
    line.push(b'\n');
    line
}

pub fn dispatch(d: &Dispatch) -> Vec<u8> {
    let mut f = serde_json::json!({"cls": d.trigger_type, "item": d.function, "limit": d.limit_ms});
    if let Some(token) = d.idempotency_key {
        f["nonce"] = token.into();
    }
    ended(serde_json::json!({"t": "DO", "i": d.id, "f": f, "b": STANDARD.encode(d.body)}))
}

pub fn cancel(id: &str) -> Vec<u8> {
    ended(serde_json::json!({"t": "UNDO", "i": id}))
}

pub fn load(tag: &str, function: &str, copies: u8) -> Vec<u8> {
    ended(serde_json::json!({"t": "PIN", "i": tag, "f": {"item": function, "count": copies}}))
}

pub fn unload(function: &str) -> Vec<u8> {
    ended(serde_json::json!({"t": "UNPIN", "i": function}))
}

/// Asks for an executor's load report.
pub fn health_check(tag: &str) -> Vec<u8> {
    ended(serde_json::json!({"t": "METER", "i": tag}))
}
