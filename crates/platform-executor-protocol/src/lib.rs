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
pub struct Unreadable(pub String);

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    Done,
    Lack,
    Wait,
    Broke,
    Past,
    Fit,
    Unfit,
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
    pub word: ResponseKind,
    pub id: String,
    pub tell: LoadNote,
    pub crowd: u32,
    pub count: u32,
    /// A load report, as `name:value;name:value`; empty where there is none.
    pub meter: String,
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
fn figure(value: Option<Value>, name: &str) -> Result<u32, Unreadable> {
    let read = match &value {
        None | Some(Value::Null) => return Ok(0),
        Some(Value::Number(n)) => n.as_f64(),
        Some(Value::String(s)) => s.trim().parse::<f64>().ok(),
        Some(_) => None,
    };
    let fits = read.filter(|n| (0.0..=f64::from(u32::MAX)).contains(n));
    fits.map(|n| n as u32)
        .ok_or_else(|| Unreadable(format!("'{name}' is no figure")))
}

/// One line, without its line feed.
pub fn answer(line: &[u8]) -> Result<Response, Unreadable> {
    let raw: Raw = serde_json::from_slice(line)
        .map_err(|e| Unreadable(format!("a line is no answer: {e}")))?;
    let word = match raw.t.as_ref() {
        "DONE" => ResponseKind::Done,
        "LACK" => ResponseKind::Lack,
        "WAIT" => ResponseKind::Wait,
        "BROKE" => ResponseKind::Broke,
        "PAST" => ResponseKind::Past,
        "FIT" => ResponseKind::Fit,
        "UNFIT" => ResponseKind::Unfit,
        _ => return Err(Unreadable("an answer's word is unknown".into())),
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
            .map_err(|e| Unreadable(format!("a body is no base64: {e}")))?,
        None => vec![],
    };
    Ok(Response {
        word,
        id: raw.i.into_owned(),
        tell,
        crowd: figure(f.crowd, "crowd")?,
        count: figure(f.count, "count")?,
        meter: f.meter.unwrap_or_default(),
        body,
    })
}

/// Values of a load report in the order of `names`; empty where it lacks one of them or holds no number.
pub fn report(meter: &str, names: &[String]) -> Vec<f32> {
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
    pub fn is_within(&self) -> bool {
        self.at < self.bytes.len()
    }

    pub fn read(&mut self) -> Result<Option<Response>, Unreadable> {
        let rest = &self.bytes[self.at..];
        let end = rest[self.looked..]
            .iter()
            .position(|&b| b == b'\n')
            .map(|n| n + self.looked);
        match end {
            Some(end) if end <= MAX_LINE_LENGTH => {
                let read = answer(&rest[..end]);
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
            _ => Err(Unreadable(format!(
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
    pub token: Option<&'a str>,
    pub body: &'a [u8],
}

fn ended(object: Value) -> Vec<u8> {
    let mut line = object.to_string().into_bytes();
    line.push(b'\n');
    line
}

pub fn dispatch(d: &Dispatch) -> Vec<u8> {
    let mut f = serde_json::json!({"cls": d.trigger_type, "item": d.function, "limit": d.limit_ms});
    if let Some(token) = d.token {
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
