//! Counts the TCP payload of connections in bytes, which includes HTTP/2 frames and headers.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes sent and received over one or several connections; the counts only increase.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl Traffic {
    /// Bytes handed to the kernel.
    pub fn sent(&self) -> u64 {
        self.sent.get()
    }

    /// Bytes read from the kernel.
    pub fn received(&self) -> u64 {
        self.received.get()
    }

    fn add_sent(&self, bytes: usize) {
        self.sent.set(self.sent.get() + bytes as u64);
    }

    fn add_received(&self, bytes: usize) {
        self.received.set(self.received.get() + bytes as u64);
    }
}

/// A stream whose bytes are counted.
pub struct CountedStream<S> {
    stream: S,
    traffic: Rc<Traffic>,
}

impl<S> CountedStream<S> {
    /// Counts the bytes of `stream` in `traffic`, which other streams may share.
    pub fn new(stream: S, traffic: Rc<Traffic>) -> CountedStream<S> {
        CountedStream { stream, traffic }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.traffic.add_received(buffer.filled().len() - before);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.traffic.add_sent(written);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        if let Poll::Ready(Ok(written)) = polled {
            self.traffic.add_sent(written);
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
