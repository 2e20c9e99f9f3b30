//! Sockets: an asynchronous stream on async-io with the traits of the HTTP libraries, and a buffered socket for a mio
//! event loop. Both count the bytes handed to the kernel.
//!
//! The crate also provides timeouts, a small HTTP client, and the classification of errors that are local to this
//! machine.

pub mod buffered;
pub mod http;
mod local_error;

pub use local_error::{is_local_error, is_out_of_descriptors, is_out_of_resources};

use async_io::{Async, Timer};
use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// The maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

thread_local! {
    /// Reads go through this buffer because the libraries' buffers may be uninitialised: copying the received bytes
    /// costs less than zeroing a whole buffer.
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_BUFFER_BYTES].into());
}

/// An asynchronous TCP connection that counts the bytes handed to the kernel.
pub struct Stream {
    socket: Async<TcpStream>,
    bytes_written: Rc<Cell<u64>>,
    /// Whether the last read emptied the socket's receive buffer. If so, the next read waits for readiness first and
    /// saves a system call that would return `EWOULDBLOCK`.
    drained: bool,
}

impl Stream {
    /// Wraps a socket and disables Nagle's algorithm.
    ///
    /// # Errors
    /// Returns an error if the socket is already closed.
    pub fn new(socket: Async<TcpStream>) -> io::Result<Stream> {
        socket.get_ref().set_nodelay(true)?;
        Ok(Stream {
            socket,
            bytes_written: Rc::default(),
            drained: false,
        })
    }

    /// A shared counter of the bytes handed to the kernel; it stays up to date as the stream is written to.
    pub fn bytes_written(&self) -> Rc<Cell<u64>> {
        self.bytes_written.clone()
    }

    /// Waits until bytes or the end of the stream can be read.
    ///
    /// # Errors
    /// Returns an error if the socket can't be polled.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// The underlying socket.
    pub fn socket(&mut self) -> &mut Async<TcpStream> {
        &mut self.socket
    }

    /// The peer's address, if the socket is connected.
    pub fn peer_addr(&self) -> Option<SocketAddr> {
        self.socket.get_ref().peer_addr().ok()
    }

    /// A duplicate handle of the socket, for aborting the connection while the stream is in use. `None` if the handle
    /// can't be duplicated.
    pub fn abort_handle(&self) -> Option<TcpStream> {
        self.socket.get_ref().try_clone().ok()
    }

    fn poll_read_to(
        &mut self,
        cx: &mut Context<'_>,
        max_bytes: usize,
        consume: impl FnOnce(&[u8]),
    ) -> Poll<io::Result<()>> {
        if self.drained {
            ready!(self.socket.poll_readable(cx))?;
            self.drained = false;
        }
        READ_BUFFER.with_borrow_mut(|bytes| {
            let max_bytes = max_bytes.min(READ_BUFFER_BYTES);
            let count = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut bytes[..max_bytes]))?;
            self.drained = 0 < count && count < max_bytes;
            consume(&bytes[..count]);
            Poll::Ready(Ok(()))
        })
    }

    fn poll_write_from(&mut self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.socket).poll_write(cx, buf))?;
        self.bytes_written
            .set(self.bytes_written.get() + count as u64);
        Poll::Ready(Ok(count))
    }

    fn poll_write_slices(
        &mut self,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.socket).poll_write_vectored(cx, bufs))?;
        self.bytes_written
            .set(self.bytes_written.get() + count as u64);
        Poll::Ready(Ok(count))
    }
}

impl tokio::io::AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_read_to(cx, buf.remaining(), |bytes| buf.put_slice(bytes))
    }
}

impl hyper::rt::Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_read_to(cx, buf.remaining(), |bytes| buf.put_slice(bytes))
    }
}

/// Implements a write trait of one of the HTTP libraries, whose traits have the same methods.
macro_rules! impl_vectored_write {
    ($write:path) => {
        impl $write for Stream {
            fn poll_write(
                mut self: Pin<&mut Self>,
                cx: &mut Context<'_>,
                buf: &[u8],
            ) -> Poll<io::Result<usize>> {
                self.poll_write_from(cx, buf)
            }

            fn poll_write_vectored(
                mut self: Pin<&mut Self>,
                cx: &mut Context<'_>,
                bufs: &[io::IoSlice<'_>],
            ) -> Poll<io::Result<usize>> {
                self.poll_write_slices(cx, bufs)
            }

            fn is_write_vectored(&self) -> bool {
                true
            }

            fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                Pin::new(&mut self.socket).poll_flush(cx)
            }

            fn poll_shutdown(
                mut self: Pin<&mut Self>,
                cx: &mut Context<'_>,
            ) -> Poll<io::Result<()>> {
                Pin::new(&mut self.socket).poll_close(cx)
            }
        }
    };
}

impl_vectored_write!(tokio::io::AsyncWrite);
impl_vectored_write!(hyper::rt::Write);

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_from(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(cx)
    }
}

/// Makes closing the socket reset the connection, so that the peer sees an error instead of an end of file.
pub fn reset_on_close(socket: &TcpStream) {
    // The option fails on a socket that is already closed and doesn't need it.
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// Runs a future with a timeout; returns `None` if the timeout expires first.
pub async fn with_timeout<T>(timeout: Duration, operation: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::after(timeout).await;
        None
    };
    future::or(async { Some(operation.await) }, timer).await
}

/// Connects to an address.
///
/// # Errors
/// Returns an error if the connection fails, and `TimedOut` if the timeout expires.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Stream> {
    let connected = with_timeout(timeout, Async::<TcpStream>::connect(address)).await;
    Stream::new(connected.ok_or_else(|| io::Error::from(io::ErrorKind::TimedOut))??)
}

/// Listens on an address.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Accepts the next connection. Retries after failures, such as a lack of file descriptors.
pub async fn accept(listener: &Async<TcpListener>) -> Stream {
    const RETRY_PAUSE: Duration = Duration::from_millis(20);
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if let Ok(stream) = Stream::new(socket) {
                    return stream;
                }
            }
            Err(_) => {
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}
