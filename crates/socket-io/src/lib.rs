//! Sockets: asynchronous ones on async-io in the form that the HTTP libraries take, and buffered ones for an event loop.
//!
//! Both count the bytes handed to the kernel. Also timeouts, a small HTTP client, and the classification of errors that are
//! this machine's own.

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

/// Bytes that are read at a time at most.
const READ_BUFFER_BYTES: usize = 16 * 1024;

thread_local! {
    /// The libraries' buffers may be uninitialised; a copy from this one costs less than clearing them.
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_BUFFER_BYTES].into());
}

/// A connection that counts the bytes it has handed to the kernel.
pub struct Stream {
    socket: Async<TcpStream>,
    bytes_written: Rc<Cell<u64>>,
    /// The last read left nothing behind: the next one waits for readiness instead of trying in vain.
    drained: bool,
}

impl Stream {
    /// Wraps a socket and disables Nagle's algorithm.
    ///
    /// # Errors
    /// The socket is closed already.
    pub fn new(socket: Async<TcpStream>) -> io::Result<Stream> {
        socket.get_ref().set_nodelay(true)?;
        Ok(Stream {
            socket,
            bytes_written: Rc::default(),
            drained: false,
        })
    }

    /// The count of bytes handed to the kernel, which goes on counting.
    pub fn bytes_written(&self) -> Rc<Cell<u64>> {
        self.bytes_written.clone()
    }

    /// Waits until something, or the end, can be read.
    ///
    /// # Errors
    /// The socket can't be polled.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// The socket.
    pub fn socket(&mut self) -> &mut Async<TcpStream> {
        &mut self.socket
    }

    /// The peer's address, if the socket is connected.
    pub fn peer_addr(&self) -> Option<SocketAddr> {
        self.socket.get_ref().peer_addr().ok()
    }

    /// Another handle of the socket, to abort the connection with.
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

/// Implements a write trait of one of the HTTP libraries; the traits have the same methods.
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

/// Makes the close of a socket a reset, so that its peer sees a broken connection rather than an end of file.
pub fn reset_on_close(socket: &TcpStream) {
    // A socket that is closed already needs no such option.
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// Runs a future for a time; `None` if the time runs out first.
pub async fn with_timeout<T>(timeout: Duration, operation: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::after(timeout).await;
        None
    };
    future::or(async { Some(operation.await) }, timer).await
}

/// Connects to an address within a time.
///
/// # Errors
/// The connection failed, or the time ran out (`TimedOut`).
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Stream> {
    let connected = with_timeout(timeout, Async::<TcpStream>::connect(address)).await;
    Stream::new(connected.ok_or_else(|| io::Error::from(io::ErrorKind::TimedOut))??)
}

/// Listens at an address.
///
/// # Errors
/// The address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Accepts the next connection. Transient failures, such as a lack of descriptors, are retried.
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
