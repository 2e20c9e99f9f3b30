//! gRPC's frames: a flag, a length, a message; and its status, which comes in trailers.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::HeaderMap;
use prost::Message;
use std::fmt;

pub const CONTENT_TYPE: &str = "application/grpc";

/// Codes of gRPC that are told apart here.
pub const OUT_OF_RANGE: u32 = 11;
pub const UNAVAILABLE: u32 = 14;
pub const UNAUTHENTICATED: u32 = 16;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    pub code: u32,
    pub message: String,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "status {}: {}", self.code, self.message)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    TooLong { length: usize, most: usize },
    Compressed,
    Message(String),
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::TooLong { length, most } => {
                write!(f, "a message of {length} bytes, {most} at most")
            }
            Malformed::Compressed => f.write_str("a compressed message, which nobody asked for"),
            Malformed::Message(what) => write!(f, "a malformed message: {what}"),
        }
    }
}

pub fn frame(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut bytes = BytesMut::with_capacity(5 + length);
    bytes.put_u8(0);
    bytes.put_u32(length as u32);
    message
        .encode(&mut bytes)
        .expect("the buffer has room for the encoded length");
    bytes.freeze()
}

/// Takes the next message off what has come, once it is whole.
pub fn deframe<M: Message + Default>(
    bytes: &mut BytesMut,
    most: usize,
) -> Result<Option<M>, Malformed> {
    let Some(head) = bytes.first_chunk::<5>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if head[0] != 0 {
        return Err(Malformed::Compressed);
    }
    if length > most {
        return Err(Malformed::TooLong { length, most });
    }
    if bytes.len() < 5 + length {
        return Ok(None);
    }
    bytes.advance(5);
    let message = M::decode(bytes.split_to(length).freeze());
    message
        .map(Some)
        .map_err(|e| Malformed::Message(e.to_string()))
}

/// The status among some headers, if they have one.
pub fn status(headers: &HeaderMap) -> Option<Status> {
    let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
    let code = text("grpc-status")?.parse().ok()?;
    Some(Status {
        code,
        message: text("grpc-message").unwrap_or_default().to_owned(),
    })
}

pub fn trailers(status: &Status) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("grpc-status", status.code.into());
    // Its letters are those of a header, or it is left out.
    if let Ok(message) = http::HeaderValue::from_str(&status.message) {
        headers.insert("grpc-message", message);
    }
    headers
}
