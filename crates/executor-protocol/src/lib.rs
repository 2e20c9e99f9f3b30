//! The protocol between front ends and executors: messages and framing.
//!
//! The body of an HTTP/2 stream is one protobuf message, prefixed with its length as a 32-bit big-endian integer, and
//! followed by the payload up to the end of the stream. This crate does no I/O.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;
use std::collections::VecDeque;

/// The messages, generated from `proto/orchidtally.proto`.
#[allow(
    missing_docs,
    reason = "the comments in the protobuf file document the messages"
)]
pub mod v1 {
    include!(concat!(env!("OUT_DIR"), "/orchidtally.v1.rs"));
}

/// The request path of a dispatch.
pub const DISPATCH_PATH: &str = "/orchidtally.v1/dispatch";
/// The request path of a load command.
pub const LOAD_PATH: &str = "/orchidtally.v1/order";
/// The request path of a health check.
pub const HEALTH_CHECK_PATH: &str = "/orchidtally.v1/probe";
/// The request path of a subscription to the endpoint list.
pub const ENDPOINT_LIST_PATH: &str = "/orchidtally.v1/roster";
/// The content type of every stream; streams of another type are rejected.
pub const CONTENT_TYPE: &str = "application/orchidtally.v1+proto";
/// The maximum length of a message in bytes, without its length prefix and the payload.
pub const MAX_MESSAGE_LENGTH: usize = 64 * 1024;
/// The maximum length of an update of the endpoint list in bytes, which is enough for some 200,000 endpoints.
pub const MAX_ENDPOINT_LIST_LENGTH: usize = 16 * 1024 * 1024;

/// The size of the length prefix in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// An error in the framing or encoding of a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The message exceeds the length limit.
    #[error("message of {length} bytes exceeds the limit of {max} bytes")]
    TooLong {
        /// The length of the message, in bytes.
        length: usize,
        /// The maximum length, in bytes.
        max: usize,
    },
    /// The stream ended before the message was complete.
    #[error("stream ended {missing} bytes before the end of its message")]
    Truncated {
        /// The number of missing bytes.
        missing: usize,
    },
    /// The bytes do not encode a message of the expected type.
    #[error("malformed message: {0}")]
    Malformed(#[source] prost::DecodeError),
}

/// Encodes a message with its length prefix.
pub fn frame(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut bytes = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + length);
    bytes.put_u32(length as u32);
    message
        .encode(&mut bytes)
        .expect("the buffer has room for the encoded length");
    bytes.freeze()
}

/// Splits the bytes of a stream, which arrive in chunks of any size, into message and payload.
///
/// Payload chunks are passed on without copying; a message is copied only if it spans several chunks.
#[derive(Default)]
pub struct Deframer {
    chunks: VecDeque<Bytes>,
    length: usize,
}

impl Deframer {
    /// Appends a chunk of the stream.
    pub fn push(&mut self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.length += chunk.len();
            self.chunks.push_back(chunk);
        }
    }

    /// The number of buffered bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Removes and decodes the next message; returns `None` until it is complete.
    ///
    /// # Errors
    /// Returns an error if the message is longer than `max` bytes or malformed.
    pub fn next_message<M: Message + Default>(
        &mut self,
        max: usize,
    ) -> Result<Option<M>, FramingError> {
        let Some(length) = self.peek_length() else {
            return Ok(None);
        };
        if length > max {
            return Err(FramingError::TooLong { length, max });
        }
        if self.length < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.take_bytes(LENGTH_PREFIX_BYTES);
        let bytes = self.take_bytes(length);
        M::decode(bytes).map(Some).map_err(FramingError::Malformed)
    }

    /// The error to report if the stream has ended before its message was complete.
    pub fn truncation_error(&self) -> FramingError {
        let length = self.peek_length().unwrap_or(0);
        let expected = LENGTH_PREFIX_BYTES + length;
        FramingError::Truncated {
            missing: expected.saturating_sub(self.length),
        }
    }

    /// Removes the next buffered chunk. After [`Deframer::next_message`] has returned the message, the remaining chunks
    /// are its payload.
    pub fn next_payload_chunk(&mut self) -> Option<Bytes> {
        let chunk = self.chunks.pop_front()?;
        self.length -= chunk.len();
        Some(chunk)
    }

    /// The message length that the prefix states; `None` until the prefix is complete.
    fn peek_length(&self) -> Option<usize> {
        let mut length = [0; LENGTH_PREFIX_BYTES];
        let mut bytes = self.chunks.iter().flat_map(|c| c.iter().copied());
        for byte in &mut length {
            *byte = bytes.next()?;
        }
        Some(u32::from_be_bytes(length) as usize)
    }

    /// Removes the first `count` bytes; the caller checks that so many are buffered.
    fn take_bytes(&mut self, count: usize) -> Bytes {
        self.length -= count;
        if let Some(first) = self.chunks.front_mut().filter(|c| c.len() > count) {
            return first.split_to(count);
        }
        let mut message = BytesMut::with_capacity(count);
        while message.len() < count {
            let chunk = self
                .chunks
                .front_mut()
                .expect("the caller has checked the number of buffered bytes");
            let part = chunk.len().min(count - message.len());
            message.extend_from_slice(&chunk[..part]);
            chunk.advance(part);
            if chunk.is_empty() {
                self.chunks.pop_front();
            }
        }
        message.freeze()
    }
}
