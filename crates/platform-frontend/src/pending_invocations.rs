//! The invocations of a client connection that were read and are not admitted yet.

use std::collections::VecDeque;

/// An invocation that was read and is not admitted yet.
pub struct PendingInvocation {
    /// The earliest time at which it may have arrived, in seconds.
    pub arrived_at: f64,
    /// The stream on the connection.
    pub stream: u32,
    /// The payload; `None` if the frame is longer than the decoder buffers.
    pub payload: Option<Vec<u8>>,
}

impl PendingInvocation {
    fn payload_bytes(&self) -> usize {
        self.payload.as_ref().map_or(0, Vec::capacity)
    }
}

/// Pending invocations in the order of their streams, which is the order in which they arrived.
#[derive(Default)]
pub struct PendingInvocations {
    queue: VecDeque<PendingInvocation>,
    payload_bytes: usize,
}

impl PendingInvocations {
    /// Adds an invocation, whose stream is greater than those of all others.
    pub fn push(&mut self, invocation: PendingInvocation) {
        self.payload_bytes += invocation.payload_bytes();
        self.queue.push_back(invocation);
    }

    /// Removes and returns the first invocation.
    pub fn pop(&mut self) -> Option<PendingInvocation> {
        let invocation = self.queue.pop_front()?;
        self.payload_bytes -= invocation.payload_bytes();
        if self.queue.is_empty() {
            self.queue = VecDeque::new();
        }
        Some(invocation)
    }

    /// Removes the invocation on a stream, if it is pending.
    pub fn remove(&mut self, stream: u32) {
        let position = self
            .queue
            .binary_search_by_key(&stream, |pending| pending.stream);
        let removed = position
            .ok()
            .and_then(|position| self.queue.remove(position));
        self.payload_bytes -= removed.map_or(0, |pending| pending.payload_bytes());
    }

    /// The number of invocations.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no invocation is pending.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Bytes of the payloads.
    pub fn payload_bytes(&self) -> usize {
        self.payload_bytes
    }

    /// Bytes of memory that the invocations occupy.
    pub fn held_bytes(&self) -> usize {
        self.payload_bytes + self.queue.capacity() * size_of::<PendingInvocation>()
    }
}

#[cfg(test)]
#[path = "tests/pending_invocations.rs"]
mod tests;
