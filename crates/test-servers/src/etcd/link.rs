//! A client's connection to a member. While their regions are partitioned no data passes, as over a network that drops
//! every packet; pending data arrives once the partition heals.

use super::cluster::Region;
use orchidtally_etcd::CountedStream;
use orchidtally_socket_io::Stream;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The state of a connection that the server controls from outside its stream.
#[derive(Debug)]
pub(super) struct Link {
    pub member: usize,
    pub client_region: Region,
    is_cut: Cell<bool>,
    reader: RefCell<Option<Waker>>,
    writer: RefCell<Option<Waker>>,
    /// The channel is closed when the connection is to end.
    close_channel: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Link {
    pub fn new(member: usize, client_region: Region, is_cut: bool) -> Link {
        Link {
            member,
            client_region,
            is_cut: Cell::new(is_cut),
            reader: RefCell::default(),
            writer: RefCell::default(),
            close_channel: async_channel::bounded(1),
        }
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.set(is_cut);
        if !is_cut {
            for waker in [self.reader.take(), self.writer.take()]
                .into_iter()
                .flatten()
            {
                waker.wake();
            }
        }
    }

    /// Ends the connection; wakes `closed`.
    pub fn close(&self) {
        self.close_channel.0.close();
    }

    /// Waits until the connection is to end.
    pub async fn closed(&self) {
        // Nothing is ever sent; `recv` returns when the channel is closed.
        let _ = self.close_channel.1.recv().await;
    }

    fn poll_connected(&self, cx: &mut Context<'_>, waiting: &RefCell<Option<Waker>>) -> Poll<()> {
        if !self.is_cut.get() {
            return Poll::Ready(());
        }
        *waiting.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }
}

/// The stream of a connection. Reads and writes are pending while its link is cut.
pub(super) struct LinkStream {
    /// Bytes are counted once for the member and once for the client.
    stream: CountedStream<CountedStream<Stream>>,
    link: Rc<Link>,
}

impl LinkStream {
    pub fn new(stream: CountedStream<CountedStream<Stream>>, link: Rc<Link>) -> LinkStream {
        LinkStream { stream, link }
    }
}

impl AsyncRead for LinkStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.link.poll_connected(cx, &self.link.reader));
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for LinkStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.link.poll_connected(cx, &self.link.writer));
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.link.poll_connected(cx, &self.link.writer));
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
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
