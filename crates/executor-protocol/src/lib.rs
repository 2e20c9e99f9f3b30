//! The protocol between front ends and executors: its messages and how they are framed. No sockets and no
//! decisions. A stream's body is one message behind its length, then the payload up to the stream's end.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;
use std::collections::VecDeque;
use std::fmt;

/// The messages, as `proto/orchidtally.proto` gives them.
pub mod v1 {
    include!(concat!(env!("OUT_DIR"), "/orchidtally.v1.rs"));
}

pub const DISPATCH: &str = "/orchidtally.v1/dispatch";
pub const LOAD: &str = "/orchidtally.v1/order";
pub const HEALTH_CHECK: &str = "/orchidtally.v1/probe";
pub const ENDPOINTS: &str = "/orchidtally.v1/roster";
/// Each stream names it; one that names another is refused.
pub const CONTENT_TYPE: &str = "application/orchidtally.v1+proto";
/// The longest message, without the payload behind it.
pub const MAX_MESSAGE_LENGTH: usize = 64 * 1024;
/// The longest roster update: some 200,000 rows.
pub const MAX_ENDPOINT_LIST_LENGTH: usize = 16 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FramingError {
    TooLong { length: usize, most: usize },
    CutShort { missing: usize },
    Malformed(String),
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FramingError::TooLong { length, most } => {
                write!(f, "a message of {length} bytes, {most} at most")
            }
            FramingError::CutShort { missing } => {
                write!(f, "the stream ended {missing} bytes before its message")
            }
            FramingError::Malformed(what) => write!(f, "a malformed message: {what}"),
        }
    }
}

impl std::error::Error for FramingError {}

/// A message with its length in front.
pub fn frame(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut bytes = BytesMut::with_capacity(4 + length);
    bytes.put_u32(length as u32);
    message
        .encode(&mut bytes)
        .expect("the buffer has room for the encoded length");
    bytes.freeze()
}

/// Takes a stream's bytes as they come. Chunks are kept as they are; only a message that lies in several of
/// them is copied together.
#[derive(Default)]
pub struct Deframer {
    chunks: VecDeque<Bytes>,
    length: usize,
}

impl Deframer {
    pub fn push(&mut self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.length += chunk.len();
            self.chunks.push_back(chunk);
        }
    }

    /// Bytes taken in and not yet out.
    pub fn len(&self) -> usize {
        self.length
    }

    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The next message once it is here whole.
    pub fn message<M: Message + Default>(
        &mut self,
        most: usize,
    ) -> Result<Option<M>, FramingError> {
        let Some(length) = self.peek_length() else {
            return Ok(None);
        };
        if length > most {
            return Err(FramingError::TooLong { length, most });
        }
        if self.length < 4 + length {
            return Ok(None);
        }
        self.take(4);
        let bytes = self.take(length);
        M::decode(bytes)
            .map(Some)
            .map_err(|e| FramingError::Malformed(e.to_string()))
    }

    /// What is missing where the stream has ended before a message.
    pub fn cut_short(&self) -> FramingError {
        let wanted = self.peek_length().map_or(4, |length| 4 + length);
        FramingError::CutShort {
            missing: wanted.saturating_sub(self.length),
        }
    }

    /// The next chunk of the payload.
    pub fn payload(&mut self) -> Option<Bytes> {
        let chunk = self.chunks.pop_front()?;
        self.length -= chunk.len();
        Some(chunk)
    }

    fn peek_length(&self) -> Option<usize> {
        let mut length = [0; 4];
        let mut bytes = self.chunks.iter().flat_map(|c| c.iter().copied());
        for byte in &mut length {
            *byte = bytes.next()?;
        }
        Some(u32::from_be_bytes(length) as usize)
    }

    fn take(&mut self, n: usize) -> Bytes {
        self.length -= n;
        if let Some(first) = self.chunks.front_mut().filter(|c| c.len() > n) {
            return first.split_to(n);
        }
        let mut whole = BytesMut::with_capacity(n);
        while whole.len() < n {
            let chunk = self
                .chunks
                .front_mut()
                .expect("the length was checked before");
            let part = chunk.len().min(n - whole.len());
            whole.extend_from_slice(&chunk[..part]);
            chunk.advance(part);
            if chunk.is_empty() {
                self.chunks.pop_front();
            }
        }
        whole.freeze()
    }
}
