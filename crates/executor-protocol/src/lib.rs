//! The protocol between front ends and executors: its messages and their framing.
//!
//! The body of an HTTP/2 stream is one protobuf message behind its length (four bytes, big-endian), followed by the
//! payload up to the end of the stream. This crate does no I/O.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;
use std::collections::VecDeque;

/// The messages, generated from `proto/orchidtally.proto`.
#[allow(
    missing_docs,
    reason = "the comments of the protobuf file are the documentation"
)]
pub mod v1 {
    include!(concat!(env!("OUT_DIR"), "/orchidtally.v1.rs"));
}

/// The path of a stream that carries a dispatch.
pub const DISPATCH_PATH: &str = "/orchidtally.v1/dispatch";
/// The path of a stream that carries a load command.
pub const LOAD_PATH: &str = "/orchidtally.v1/order";
/// The path of a stream that asks for health and load.
pub const HEALTH_CHECK_PATH: &str = "/orchidtally.v1/probe";
/// The path of a stream that subscribes to the endpoint list.
pub const ENDPOINT_LIST_PATH: &str = "/orchidtally.v1/roster";
/// The content type of every stream; a stream of another type is rejected.
pub const CONTENT_TYPE: &str = "application/orchidtally.v1+proto";
/// The longest message, without the payload behind it, in bytes.
pub const MAX_MESSAGE_LENGTH: usize = 64 * 1024;
/// The longest update of the endpoint list, in bytes: some 200,000 endpoints.
pub const MAX_ENDPOINT_LIST_LENGTH: usize = 16 * 1024 * 1024;

/// Bytes of the length in front of a message.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Why a stream's bytes are no message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The message is longer than allowed.
    #[error("a message of {length} bytes, {max} at most")]
    TooLong {
        /// The length of the message, in bytes.
        length: usize,
        /// The longest that is allowed, in bytes.
        max: usize,
    },
    /// The stream ended before the message did.
    #[error("the stream ended {missing} bytes before its message")]
    Truncated {
        /// How many bytes are missing.
        missing: usize,
    },
    /// The bytes are no message of the expected type.
    #[error("a malformed message: {0}")]
    Malformed(#[source] prost::DecodeError),
}

/// A message with its length in front.
pub fn frame(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut bytes = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + length);
    bytes.put_u32(length as u32);
    message
        .encode(&mut bytes)
        .expect("the buffer has room for the encoded length");
    bytes.freeze()
}

/// Splits a stream's bytes into its message and payload, however they arrive. Chunks are passed on as they are; only a
/// message that lies in several of them is copied together.
#[derive(Default)]
pub struct Deframer {
    chunks: VecDeque<Bytes>,
    length: usize,
}

impl Deframer {
    /// Adds bytes that have arrived.
    pub fn push(&mut self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.length += chunk.len();
            self.chunks.push_back(chunk);
        }
    }

    /// Bytes that were added and not yet taken out.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether all bytes were taken out.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The next message; `None` until all of it has arrived.
    ///
    /// # Errors
    /// The message is longer than `max` bytes, or malformed.
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

    /// The error of a stream that has ended before its message.
    pub fn truncation_error(&self) -> FramingError {
        let length = self.peek_length().unwrap_or(0);
        let expected = LENGTH_PREFIX_BYTES + length;
        FramingError::Truncated {
            missing: expected.saturating_sub(self.length),
        }
    }

    /// The next chunk of the payload.
    pub fn next_payload_chunk(&mut self) -> Option<Bytes> {
        let chunk = self.chunks.pop_front()?;
        self.length -= chunk.len();
        Some(chunk)
    }

    fn peek_length(&self) -> Option<usize> {
        let mut length = [0; LENGTH_PREFIX_BYTES];
        let mut bytes = self.chunks.iter().flat_map(|c| c.iter().copied());
        for byte in &mut length {
            *byte = bytes.next()?;
        }
        Some(u32::from_be_bytes(length) as usize)
    }

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
                .expect("the length was checked before");
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
