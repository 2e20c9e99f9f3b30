//! The platform's frames between clients and front ends: `length:4 type:1 stream:4 payload`, big-endian.
//!
//! An incremental decoder and an encoder; no sockets. The protocol is that of the platform's page PROTOCOL.md.

use thiserror::Error;

/// The greatest length of a frame; it counts all that follows the length field.
pub const MAX_FRAME_LENGTH: usize = 262_144;
/// The least length of a frame: its type and stream.
const MIN_FRAME_LENGTH: usize = 5;
/// Bytes of the length field.
const LENGTH_BYTES: usize = 4;
/// The longest request body in bytes.
pub const MAX_BODY_LENGTH: usize = 16 * 1024;
/// The payloads of longer frames are skipped: no invocation that can be admitted has one. It is a body and as much
/// again for its fields.
const MAX_BUFFERED_LENGTH: usize = 2 * MAX_BODY_LENGTH;

/// Type of a frame from a client: an invocation on a new stream.
pub const INVOKE: u8 = 7;
/// Type of a frame to a client: the answer on a stream, or on stream 0 an error that belongs to no invocation.
pub const RESPONSE: u8 = 8;
/// Type of a frame from a client: it waits for this stream no longer.
pub const CANCEL: u8 = 9;
/// Type of a frame from a client: whether the front end is ready.
pub const READINESS_QUERY: u8 = 1;
/// Type of a frame to a client: the answer to a readiness query.
pub const READINESS: u8 = 2;
/// Type of a frame to a client, on stream 0: no new invocation may use this connection.
pub const GO_AWAY: u8 = 3;

/// Code of a response: the executor's answer is in the body.
pub const SUCCEEDED: u8 = 1;
/// Code of a response: not run, a retry does no harm.
pub const THROTTLED: u8 = 2;
/// Code of a response: failed; it may have run.
pub const ERRORED: u8 = 3;
/// Code of a readiness answer: ready.
pub const READY_CODE: u8 = 1;
/// Code of a readiness answer: not ready.
pub const NOT_READY_CODE: u8 = 2;

/// Why a client's bytes are no valid protocol; nothing on that connection can be trusted from here on. The text is sent
/// to the client, so it is part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The length of a frame does not cover its type and stream.
    #[error("the length of a frame is under 5")]
    FrameTooShort,
    /// The length of a frame exceeds `MAX_FRAME_LENGTH`.
    #[error("the length of a frame is over 262144")]
    FrameTooLong,
    /// The payload ends within the fields.
    #[error("the fields are cut short")]
    TruncatedFields,
    /// The name or the value of a field is not UTF-8.
    #[error("a field is not text")]
    FieldNotUtf8,
    /// Two fields have the same name.
    #[error("a field stands twice")]
    DuplicateField,
    /// The stream of an invocation is not higher than all before it.
    #[error("a stream's number was used before")]
    ReusedStream,
    /// Clients don't send frames of this type.
    #[error("a frame of a type that clients don't send")]
    UnexpectedFrameType,
}

/// A frame that was decoded.
#[derive(Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Its type.
    pub kind: u8,
    /// Its stream; 0 belongs to the connection.
    pub stream: u32,
    /// Its payload; `None` if it exceeds what is buffered.
    pub payload: Option<&'a [u8]>,
}

/// An incremental decoder. It buffers one frame at most, besides the bytes that were pushed last.
#[derive(Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// The position of the next frame in `bytes`.
    position: usize,
    /// Bytes of a skipped payload that are still to come.
    skip: usize,
}

/// The big-endian number in the first bytes, four at most.
fn big_endian(bytes: &[u8]) -> u32 {
    bytes.iter().take(4).fold(0, |n, &b| n << 8 | u32::from(b))
}

impl Decoder {
    /// Adds bytes that were read.
    pub fn push(&mut self, bytes: &[u8]) {
        let skipped = self.skip.min(bytes.len());
        self.skip -= skipped;
        self.bytes.drain(..std::mem::take(&mut self.position));
        self.bytes.extend_from_slice(&bytes[skipped..]);
    }

    /// Whether a frame has arrived in part.
    pub fn has_partial_frame(&self) -> bool {
        self.skip > 0 || self.position < self.bytes.len()
    }

    /// The next frame that has arrived whole, or the head of one whose payload is skipped.
    ///
    /// # Errors
    /// The length of the frame is out of range.
    pub fn next_frame(&mut self) -> Result<Option<Frame<'_>>, ProtocolError> {
        let left = self.bytes.len() - self.position;
        if left < LENGTH_BYTES {
            return Ok(self.release_if_empty());
        }
        let length = big_endian(&self.bytes[self.position..]) as usize;
        if length < MIN_FRAME_LENGTH {
            return Err(ProtocolError::FrameTooShort);
        }
        if length > MAX_FRAME_LENGTH {
            return Err(ProtocolError::FrameTooLong);
        }
        if left < LENGTH_BYTES + MIN_FRAME_LENGTH {
            return Ok(self.release_if_empty());
        }
        let head = self.position + LENGTH_BYTES;
        let kind = self.bytes[head];
        let stream = big_endian(&self.bytes[head + 1..]);
        if length > MAX_BUFFERED_LENGTH {
            let arrived = left.min(LENGTH_BYTES + length);
            self.position += arrived;
            self.skip = LENGTH_BYTES + length - arrived;
            return Ok(Some(Frame {
                kind,
                stream,
                payload: None,
            }));
        }
        if left < LENGTH_BYTES + length {
            return Ok(self.release_if_empty());
        }
        self.position += LENGTH_BYTES + length;
        Ok(Some(Frame {
            kind,
            stream,
            payload: Some(&self.bytes[head + MIN_FRAME_LENGTH..self.position]),
        }))
    }

    /// Releases the buffer if it is empty, so that idle connections hold none.
    fn release_if_empty(&mut self) -> Option<Frame<'_>> {
        if self.position == self.bytes.len() {
            self.bytes = Vec::new();
            self.position = 0;
        }
        None
    }
}

/// The names and values of fields.
pub type Fields<'a> = Vec<(&'a str, &'a str)>;

/// Parses the fields at the front of a payload; returns them with the body that follows.
///
/// # Errors
/// The fields are truncated, not text, or one stands twice.
pub fn parse_fields(payload: &[u8]) -> Result<(Fields<'_>, &[u8]), ProtocolError> {
    let truncated = ProtocolError::TruncatedFields;
    let (&count, mut rest) = payload.split_first().ok_or(truncated)?;
    let mut next_text = |length_bytes: usize| {
        let (length, after) = rest.split_at_checked(length_bytes).ok_or(truncated)?;
        let (text, after) = after
            .split_at_checked(big_endian(length) as usize)
            .ok_or(truncated)?;
        rest = after;
        std::str::from_utf8(text).map_err(|_| ProtocolError::FieldNotUtf8)
    };
    let fields = (0..count)
        .map(|_| Ok((next_text(1)?, next_text(2)?)))
        .collect::<Result<Vec<_>, _>>()?;
    let is_duplicate = |n: usize| fields[..n].iter().any(|(name, _)| *name == fields[n].0);
    if (1..fields.len()).any(is_duplicate) {
        return Err(ProtocolError::DuplicateField);
    }
    Ok((fields, rest))
}

fn write_fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    // Names and values are the program's own, or were parsed from fields: their lengths fit.
    out.push(fields.len() as u8);
    for (name, value) in fields {
        out.push(name.len() as u8);
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(&(value.len() as u16).to_be_bytes());
        out.extend_from_slice(value.as_bytes());
    }
}

/// Appends a frame to `out`: its code and fields, if its type has them, then its body.
pub fn write_frame(
    out: &mut Vec<u8>,
    kind: u8,
    stream: u32,
    code: Option<u8>,
    fields: Option<&[(&str, &str)]>,
    body: &[u8],
) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    out.push(kind);
    out.extend_from_slice(&stream.to_be_bytes());
    out.extend(code);
    if let Some(fields) = fields {
        write_fields(out, fields);
    }
    out.extend_from_slice(body);
    let length = (out.len() - start - LENGTH_BYTES) as u32;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}
