//! gRPC framing (each frame has a compression flag, a length and a message) and the gRPC status in headers or trailers.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::HeaderMap;
use prost::Message;
use std::fmt;

/// Content type of requests and responses.
pub const CONTENT_TYPE: &str = "application/grpc";

/// Status code of a revision that is compacted or in the future.
pub const OUT_OF_RANGE: u32 = 11;
/// Status code of a member without a leader.
pub const UNAVAILABLE: u32 = 14;
/// Status code of an invalid token.
pub const UNAUTHENTICATED: u32 = 16;

/// The status of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The code; 0 for success.
    pub code: u32,
    /// The store's message.
    pub message: String,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "status {}: {}", self.code, self.message)
    }
}

/// Why bytes aren't a valid frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message is too long.
    #[error("the message has {length} bytes, over the limit of {max_length}")]
    TooLong {
        /// Length of the message in bytes.
        length: usize,
        /// The longest allowed message in bytes.
        max_length: usize,
    },
    /// The message is compressed, which the client doesn't request.
    #[error("the message is compressed, although compression was not requested")]
    Compressed,
    /// The message can't be decoded.
    #[error("malformed message: {0}")]
    Malformed(#[from] prost::DecodeError),
}

/// Encodes a message as a frame.
pub fn encode_frame(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut bytes = BytesMut::with_capacity(5 + length);
    bytes.put_u8(0);
    bytes.put_u32(length as u32);
    message
        .encode(&mut bytes)
        .expect("the buffer has room for the encoded length");
    bytes.freeze()
}

/// Removes the next message from the start of `bytes`; `None` if it isn't complete yet.
///
/// # Errors
///
/// If the message is longer than `max_length`, compressed or malformed.
pub fn decode_frame<M: Message + Default>(
    bytes: &mut BytesMut,
    max_length: usize,
) -> Result<Option<M>, FrameError> {
    let Some(header) = bytes.first_chunk::<5>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    if header[0] != 0 {
        return Err(FrameError::Compressed);
    }
    if length > max_length {
        return Err(FrameError::TooLong { length, max_length });
    }
    if bytes.len() < 5 + length {
        return Ok(None);
    }
    bytes.advance(5);
    let message = M::decode(bytes.split_to(length).freeze())?;
    Ok(Some(message))
}

/// The status in headers or trailers, if they have one.
pub fn status(headers: &HeaderMap) -> Option<Status> {
    let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
    let code = text("grpc-status")?.parse().ok()?;
    Some(Status {
        code,
        message: text("grpc-message").unwrap_or_default().to_owned(),
    })
}

/// Encodes a status as trailers.
pub fn trailers(status: &Status) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("grpc-status", status.code.into());
    // A message with characters that headers can't have is omitted.
    if let Ok(message) = http::HeaderValue::from_str(&status.message) {
        headers.insert("grpc-message", message);
    }
    headers
}
