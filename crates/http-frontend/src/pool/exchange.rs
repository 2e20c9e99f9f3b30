//! Requests to an executor: a message and a payload on a stream of their own.

use super::connection::transport_outcome;
use super::{Incoming, Pool};
use bytes::Bytes;
use futures_lite::future;
use h2::SendStream;
use orchidtally_engine::transport_outcome::TransportOutcome;
use orchidtally_executor_protocol::{CONTENT_TYPE, Deframer, MAX_MESSAGE_LENGTH};
use prost::Message;
use std::rc::Rc;
use std::time::Instant;
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
        let deadline = Instant::now() + self.limits.connect_timeout;
        let lease = self.acquire_stream(deadline).await?;
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
        // The request has no meaning to the executor without its message, which leaves only now.
        wait_until_writable(&mut send_stream, deadline).await?;
        let Some(head) = head() else {
            return Err(TransportOutcome::NeverSent);
        };
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

/// Waits until the peer's limit on concurrent streams admits a stream and its flow control window is open. The library
/// queues the stream until then. When the stream is dropped, the peer gets no more than its headers and a reset.
///
/// Failure mode: a peer that serves fewer streams than this pool expects, or opens no window, lets the message wait in
/// the library, and it leaves when what was decided about it no longer holds.
/// Risk: none where the peer has room, as nothing is awaited then.
async fn wait_until_writable(
    stream: &mut SendStream<Bytes>,
    deadline: Instant,
) -> Result<(), TransportOutcome> {
    // A stream that waits for the peer's limit is assigned no capacity.
    stream.reserve_capacity(1);
    if stream.capacity() > 0 {
        return Ok(());
    }
    let writable = async {
        while stream.capacity() == 0 {
            future::poll_fn(|cx| stream.poll_capacity(cx)).await?.ok()?;
        }
        Some(())
    };
    let time_left = deadline.saturating_duration_since(Instant::now());
    match orchidtally_socket_io::with_timeout(time_left, writable).await {
        Some(Some(())) => Ok(()),
        // The connection or the stream has ended before the message left.
        Some(None) => Err(TransportOutcome::NothingWritten),
        None => Err(TransportOutcome::Saturated),
    }
}
