//! The platform's frames between clients and front ends: `length:4 type:1 stream:4 payload`, big-endian.
//! Bytes in, frames out; no sockets.

use std::fmt;

/// What a frame's length may be; it counts all that follows it.
pub const MAX_FRAME_LENGTH: usize = 262_144;
const MIN_FRAME_LENGTH: usize = 5;
/// A body that may be asked for.
pub const MAX_BODY_LENGTH: usize = 16 * 1024;
/// Frames over this are read over without being kept: no invocation that may be taken has one. It is a body
/// and as much again for its fields.
const MAX_BUFFERED_LENGTH: usize = 2 * MAX_BODY_LENGTH;

pub const INVOKE: u8 = 7;
pub const RESPONSE: u8 = 8;
pub const CANCEL: u8 = 9;
pub const READINESS_QUERY: u8 = 1;
pub const READINESS: u8 = 2;
pub const GO_AWAY: u8 = 3;

pub const SUCCEEDED: u8 = 1;
pub const THROTTLED: u8 = 2;
pub const ERRORED: u8 = 3;
pub const READY_CODE: u8 = 1;
pub const NOT_READY_CODE: u8 = 2;

/// Why bytes can't be read; nothing on that connection can be from here on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

#[derive(Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    pub kind: u8,
    pub stream: u32,
    /// `None` where it is longer than is kept.
    pub payload: Option<&'a [u8]>,
}

/// Takes bytes as they come. It holds one frame at the most, besides what was pushed last.
#[derive(Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    at: usize,
    /// Bytes of a frame too long to keep that are still to come.
    over: usize,
}

fn word(bytes: &[u8]) -> u32 {
    bytes.iter().take(4).fold(0, |n, &b| n << 8 | u32::from(b))
}

impl Decoder {
    pub fn push(&mut self, mut bytes: &[u8]) {
        let skipped = self.over.min(bytes.len());
        self.over -= skipped;
        bytes = &bytes[skipped..];
        self.bytes.drain(..std::mem::take(&mut self.at));
        self.bytes.extend_from_slice(bytes);
    }

    /// A frame has begun that is not whole yet.
    pub fn has_partial_frame(&self) -> bool {
        self.over > 0 || self.at < self.bytes.len()
    }

    /// The next frame that has come whole; one too long to keep as soon as its head has.
    pub fn next_frame(&mut self) -> Result<Option<Frame<'_>>, ProtocolError> {
        let left = self.bytes.len() - self.at;
        if left < 4 {
            return Ok(self.starve());
        }
        let length = word(&self.bytes[self.at..]) as usize;
        if length < MIN_FRAME_LENGTH {
            return Err(ProtocolError("the length of a frame is under 5"));
        }
        if length > MAX_FRAME_LENGTH {
            return Err(ProtocolError("the length of a frame is over 262144"));
        }
        if left < 4 + MIN_FRAME_LENGTH {
            return Ok(self.starve());
        }
        let head = self.at + 4;
        let (kind, stream) = (self.bytes[head], word(&self.bytes[head + 1..]));
        if length > MAX_BUFFERED_LENGTH {
            let there = left.min(4 + length);
            self.at += there;
            self.over = 4 + length - there;
            return Ok(Some(Frame {
                kind,
                stream,
                payload: None,
            }));
        }
        if left < 4 + length {
            return Ok(self.starve());
        }
        self.at += 4 + length;
        Ok(Some(Frame {
            kind,
            stream,
            payload: Some(&self.bytes[head + MIN_FRAME_LENGTH..self.at]),
        }))
    }

    /// Gives room back where nothing is left: idle connections hold none.
    fn starve(&mut self) -> Option<Frame<'_>> {
        if self.at == self.bytes.len() {
            (self.bytes, self.at) = (Vec::new(), 0);
        }
        None
    }
}

/// Names and values.
pub type Fields<'a> = Vec<(&'a str, &'a str)>;

/// The fields at the front of a payload, and what follows them.
pub fn parse_fields(payload: &[u8]) -> Result<(Fields<'_>, &[u8]), ProtocolError> {
    let cut = ProtocolError("the fields are cut short");
    let (&count, mut rest) = payload.split_first().ok_or(cut)?;
    let mut text = |width: usize| {
        let (size, behind) = rest.split_at_checked(width).ok_or(cut)?;
        let (text, behind) = behind.split_at_checked(word(size) as usize).ok_or(cut)?;
        rest = behind;
        std::str::from_utf8(text).map_err(|_| ProtocolError("a field is not text"))
    };
    let all = (0..count)
        .map(|_| Ok((text(1)?, text(2)?)))
        .collect::<Result<Vec<_>, _>>()?;
    if (1..all.len()).any(|n| all[..n].iter().any(|f| f.0 == all[n].0)) {
        return Err(ProtocolError("a field stands twice"));
    }
    Ok((all, rest))
}

fn put_fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    // Names and values are the program's own, or were read as fields: they fit.
    out.push(fields.len() as u8);
    for (name, value) in fields {
        out.push(name.len() as u8);
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(&(value.len() as u16).to_be_bytes());
        out.extend_from_slice(value.as_bytes());
    }
}

/// Writes a frame: a code where it has one, fields where it has them, then a body.
pub fn write_frame(
    out: &mut Vec<u8>,
    kind: u8,
    stream: u32,
    code: Option<u8>,
    fields: Option<&[(&str, &str)]>,
    body: &[u8],
) {
    let from = out.len();
    out.extend_from_slice(&[0; 4]);
    out.push(kind);
    out.extend_from_slice(&stream.to_be_bytes());
    out.extend(code);
    if let Some(fields) = fields {
        put_fields(out, fields);
    }
    out.extend_from_slice(body);
    let length = (out.len() - from - 4) as u32;
    out[from..from + 4].copy_from_slice(&length.to_be_bytes());
}
