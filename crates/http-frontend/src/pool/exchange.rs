//! Requests to an executor: a message and a payload on a stream of their own.

use super::connection::transport_outcome;
use super::{Incoming, Pool};
use bytes::Bytes;
use orchidtally_engine::transport_outcome::TransportOutcome;
use orchidtally_executor_protocol::{CONTENT_TYPE, Deframer, MAX_MESSAGE_LENGTH};
use prost::Message;
use std::rc::Rc;
use tracing::warn;

impl Pool {
    /// Sends a message and a payload on a stream of their own and reads the response message.
    pub async fn exchange<M: Message + Default>(
        self: &Rc<Self>,
        path: &str,
        head: Bytes,
        payload: &[Bytes],
    ) -> Result<(M, Incoming), TransportOutcome> {
        self.exchange_if(path, || Some(head), payload).await
    }

    /// Like [`Pool::exchange`], with a message that is built right before it is sent. If `head` returns `None`, nothing
    /// is sent and the outcome is [`TransportOutcome::NeverSent`].
    pub async fn exchange_if<M: Message + Default>(
        self: &Rc<Self>,
        path: &str,
        head: impl FnOnce() -> Option<Bytes>,
        payload: &[Bytes],
    ) -> Result<(M, Incoming), TransportOutcome> {
        let mut incoming = self.send(path, head, payload).await?;
        let message = incoming.message(MAX_MESSAGE_LENGTH).await?;
        Ok((message, incoming))
    }

    /// Like [`Pool::exchange_if`], but returns the response without reading its message.
    pub async fn send(
        self: &Rc<Self>,
        path: &str,
        head: impl FnOnce() -> Option<Bytes>,
        payload: &[Bytes],
    ) -> Result<Incoming, TransportOutcome> {
        let lease = self.acquire_stream().await?;
        let Some(head) = head() else {
            return Err(TransportOutcome::NeverSent);
        };
        let written_before = lease.connection.written.get();
        let classify = |e: &h2::Error| transport_outcome(e, written_before, &lease.connection);
        let request = http::Request::post(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, CONTENT_TYPE)
            .body(())
            .map_err(|_| TransportOutcome::NeverSent)?;
        let mut sender = lease.connection.sender.clone();
        let (response, mut send_stream) = sender
            .send_request(request, false)
            .map_err(|e| classify(&e))?;
        // The chunks are queued without copying; the peer's flow control window determines when they are sent.
        let last = payload.len();
        send_stream
            .send_data(head, last == 0)
            .map_err(|e| classify(&e))?;
        for (n, chunk) in payload.iter().enumerate() {
            send_stream
                .send_data(chunk.clone(), n + 1 == last)
                .map_err(|e| classify(&e))?;
        }
        let response = response.await.map_err(|e| classify(&e))?;
        if response.status() != http::StatusCode::OK {
            warn!(executor = %self.address, status = %response.status(), path, "executor rejected a message");
            return Err(TransportOutcome::MalformedResponse);
        }
        Ok(Incoming {
            stream: response.into_body(),
            deframer: Deframer::default(),
            written_before,
            lease,
        })
    }
}
