//! Reading an executor's response.

use super::StreamLease;
use super::connection::{Pinger, transport_outcome};
use bytes::Bytes;
use orchidtally_engine::transport_outcome::TransportOutcome;
use orchidtally_executor_protocol::Deframer;
use prost::Message;
use tracing::warn;

/// An executor's response, read message by message; the payload follows the messages.
pub struct Incoming {
    pub(super) stream: h2::RecvStream,
    pub(super) deframer: Deframer,
    pub(super) written_before: u64,
    pub(super) lease: StreamLease,
}

impl Incoming {
    /// Sends pings on the connection of this response.
    pub fn pinger(&self) -> Pinger {
        Pinger(self.lease.connection.clone())
    }

    /// Reads further bytes; `false` at the end of the stream.
    async fn read_more(&mut self) -> Result<bool, TransportOutcome> {
        match self.stream.data().await {
            None => Ok(false),
            Some(Ok(chunk)) => {
                // Flow control capacity is released at once, as the callers limit what they buffer.
                let _ = self.stream.flow_control().release_capacity(chunk.len());
                self.deframer.push(chunk);
                Ok(true)
            }
            Some(Err(e)) => Err(transport_outcome(
                &e,
                self.written_before,
                &self.lease.connection,
            )),
        }
    }

    /// The next message, up to `max_length` bytes.
    ///
    /// # Errors
    /// The stream failed, or the message can't be decoded; no new stream is opened on that connection then.
    pub async fn message<M: Message + Default>(
        &mut self,
        max_length: usize,
    ) -> Result<M, TransportOutcome> {
        loop {
            let fault = match self.deframer.next_message(max_length) {
                Ok(Some(message)) => return Ok(message),
                Ok(None) if self.read_more().await? => continue,
                Ok(None) => self.deframer.truncation_error(),
                Err(fault) => fault,
            };
            // No new streams are opened on it; those in flight may still succeed.
            if !self.lease.connection.is_closed.replace(true) {
                let executor = self.lease.pool.address;
                warn!(%executor, %fault, "connection closed: a message can't be decoded");
            }
            return Err(TransportOutcome::MalformedResponse);
        }
    }

    /// The next chunk of the payload; `None` at its end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, TransportOutcome> {
        loop {
            if let Some(chunk) = self.deframer.next_payload_chunk() {
                return Ok(Some(chunk));
            }
            if !self.read_more().await? {
                return Ok(None);
            }
        }
    }

    /// The complete payload, up to `max_length` bytes.
    pub async fn read_payload(
        &mut self,
        max_length: usize,
    ) -> Result<Vec<Bytes>, TransportOutcome> {
        let (mut chunks, mut length) = (vec![], 0);
        while let Some(chunk) = self.next_chunk().await? {
            length += chunk.len();
            if length > max_length {
                warn!(executor = %self.lease.pool.address, max_length, "response exceeds the length limit");
                return Err(TransportOutcome::MalformedResponse);
            }
            chunks.push(chunk);
        }
        Ok(chunks)
    }
}
