//! Framing of the platform's protocol between clients and front ends: `length:4 type:1 stream:4 payload`, big-endian.
//!
//! Provides an incremental decoder and an encoder; opens no sockets. The platform's PROTOCOL.md specifies the protocol.

use thiserror::Error;

/// The maximum length of a frame in bytes, not counting the length field itself.
pub const MAX_FRAME_LENGTH: usize = 262_144;
/// The minimum length of a frame in bytes: that of its type and stream.
const MIN_FRAME_LENGTH: usize = 5;
/// The size of the length field in bytes.
const LENGTH_BYTES: usize = 4;
/// The maximum length of a request body in bytes.
pub const MAX_BODY_LENGTH: usize = 16 * 1024;
/// The maximum length of a frame that is buffered: that of a body, and as many bytes again for the fields. The payloads
/// of longer frames are skipped, because no invocation that can be admitted is that long.
const MAX_BUFFERED_LENGTH: usize = 2 * MAX_BODY_LENGTH;

/// Frame type from clients: starts an invocation on a new stream.
pub const INVOKE: u8 = 7;
/// Frame type to clients: the response on a stream, or on stream 0 an error that belongs to no invocation.
pub const RESPONSE: u8 = 8;
/// Frame type from clients: the client no longer waits for the response on this stream.
pub const CANCEL: u8 = 9;
/// Frame type from clients: asks whether the front end is ready.
pub const READINESS_QUERY: u8 = 1;
/// Frame type to clients: the response to a readiness query.
pub const READINESS: u8 = 2;
/// Frame type to clients, on stream 0: the connection accepts no new invocations.
pub const GO_AWAY: u8 = 3;

/// Response code: the invocation succeeded, and the body is the executor's.
pub const SUCCEEDED: u8 = 1;
/// Response code: the invocation did not run, so a retry is safe.
pub const THROTTLED: u8 = 2;
/// Response code: the invocation failed and may have run.
pub const ERRORED: u8 = 3;
/// Readiness code: the front end is ready.
pub const READY_CODE: u8 = 1;
/// Readiness code: the front end is not ready.
pub const NOT_READY_CODE: u8 = 2;

/// A client's violation of the protocol. The rest of the connection's bytes can't be trusted. The message is sent to the
/// client, so its wording is part of the protocol.
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
    /// The stream of an invocation is not greater than those of all invocations before it on the connection.
    #[error("a stream's number was used before")]
    ReusedStream,
    /// The type of a frame is unknown, or only front ends send it.
    #[error("a frame of a type that clients don't send")]
    UnexpectedFrameType,
}

/// A decoded frame.
#[derive(Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The frame type.
    pub kind: u8,
    /// The stream; 0 refers to the connection itself.
    pub stream: u32,
    /// The payload; `None` if it is too long to be buffered and is skipped.
    pub payload: Option<&'a [u8]>,
}

/// An incremental frame decoder. It buffers at most one frame besides the bytes that were pushed last.
#[derive(Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// The position of the next frame in `bytes`.
    position: usize,
    /// Bytes of a skipped payload that have not arrived yet.
    skip: usize,
}

/// Decodes the big-endian number in the first four bytes, or in all of them if there are fewer.
fn big_endian(bytes: &[u8]) -> u32 {
    bytes.iter().take(4).fold(0, |n, &b| n << 8 | u32::from(b))
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        let skipped = self.skip.min(bytes.len());
        self.skip -= skipped;
        self.release_read_bytes();
        self.bytes.extend_from_slice(&bytes[skipped..]);
    }

    /// Bytes of memory that the decoder holds.
    pub fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Whether a frame has arrived only in part.
    pub fn has_partial_frame(&self) -> bool {
        self.skip > 0 || self.position < self.bytes.len()
    }

    /// Returns the next complete frame, or the header of a frame whose payload is skipped; `None` until more bytes are
    /// pushed.
    ///
    /// # Errors
    /// The length of the frame is out of range.
    pub fn next_frame(&mut self) -> Result<Option<Frame<'_>>, ProtocolError> {
        let available = self.bytes.len() - self.position;
        if available < LENGTH_BYTES {
            return Ok(self.release_read_bytes());
        }
        let length = big_endian(&self.bytes[self.position..]) as usize;
        if length < MIN_FRAME_LENGTH {
            return Err(ProtocolError::FrameTooShort);
        }
        if length > MAX_FRAME_LENGTH {
            return Err(ProtocolError::FrameTooLong);
        }
        if available < LENGTH_BYTES + MIN_FRAME_LENGTH {
            return Ok(self.release_read_bytes());
        }
        let header_start = self.position + LENGTH_BYTES;
        let kind = self.bytes[header_start];
        let stream = big_endian(&self.bytes[header_start + 1..]);
        if length > MAX_BUFFERED_LENGTH {
            let arrived = available.min(LENGTH_BYTES + length);
            self.position += arrived;
            self.skip = LENGTH_BYTES + length - arrived;
            return Ok(Some(Frame {
                kind,
                stream,
                payload: None,
            }));
        }
        if available < LENGTH_BYTES + length {
            return Ok(self.release_read_bytes());
        }
        self.position += LENGTH_BYTES + length;
        Ok(Some(Frame {
            kind,
            stream,
            payload: Some(&self.bytes[header_start + MIN_FRAME_LENGTH..self.position]),
        }))
    }

    /// Frees the memory of frames that were returned, so that the buffer is no larger than what is left of the bytes.
    /// Always returns `None`.
    fn release_read_bytes(&mut self) -> Option<Frame<'_>> {
        if self.position > 0 {
            self.bytes = self.bytes[self.position..].to_vec();
            self.position = 0;
        }
        None
    }
}

/// The names and values of fields, in the order in which they are encoded.
pub type Fields<'a> = Vec<(&'a str, &'a str)>;

/// Parses the fields at the start of a payload; returns them and the body that follows.
///
/// # Errors
/// The fields are truncated or not UTF-8, or two fields have the same name.
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
    if has_duplicate_names(&fields) {
        return Err(ProtocolError::DuplicateField);
    }
    Ok((fields, rest))
}

fn has_duplicate_names(fields: &Fields<'_>) -> bool {
    let mut names: Vec<&str> = fields.iter().map(|(name, _)| *name).collect();
    names.sort_unstable();
    names.windows(2).any(|pair| pair[0] == pair[1])
}

fn write_fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    // The casts don't truncate: names and values are constants of the program or were parsed from fields.
    out.push(fields.len() as u8);
    for (name, value) in fields {
        out.push(name.len() as u8);
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(&(value.len() as u16).to_be_bytes());
        out.extend_from_slice(value.as_bytes());
    }
}

/// Encodes a frame and appends it to `out`. `code` and `fields` are `None` for frame types that have none.
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
