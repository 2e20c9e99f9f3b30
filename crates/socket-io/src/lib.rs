//! Sockets on async-io in the form that the HTTP libraries take, with a count of what was handed to the
//! kernel, and the time-outs that go with them.

pub mod http;
mod own_fault;
pub mod turn;

pub use own_fault::{is_local_fault, is_out_of_descriptors, is_out_of_resources};

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

/// Bytes that are read at a time at the most.
const READ: usize = 16 * 1024;

thread_local! {
    /// The libraries' buffers may be uninitialised; to read by way of this one costs less than to clear them.
    static READ_INTO: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ].into());
}

/// A connection. It counts the bytes that it has handed to the kernel.
pub struct Stream {
    socket: Async<TcpStream>,
    written: Rc<Cell<u64>>,
    /// The last read left nothing behind, so that the next one waits for word instead of trying in vain.
    drained: bool,
}

impl Stream {
    pub fn new(socket: Async<TcpStream>) -> io::Result<Stream> {
        socket.get_ref().set_nodelay(true)?;
        Ok(Stream {
            socket,
            written: Rc::default(),
            drained: false,
        })
    }

    /// Bytes handed to the kernel so far; it goes on counting.
    pub fn written(&self) -> Rc<Cell<u64>> {
        self.written.clone()
    }

    /// Something can be read, or the end.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    pub fn socket(&mut self) -> &mut Async<TcpStream> {
        &mut self.socket
    }

    pub fn peer(&self) -> Option<SocketAddr> {
        self.socket.get_ref().peer_addr().ok()
    }

    /// Another handle of the socket, to break it off with.
    pub fn breaker(&self) -> Option<TcpStream> {
        self.socket.get_ref().try_clone().ok()
    }

    fn poll_read_to(
        &mut self,
        cx: &mut Context<'_>,
        most: usize,
        take: impl FnOnce(&[u8]),
    ) -> Poll<io::Result<()>> {
        if self.drained {
            ready!(self.socket.poll_readable(cx))?;
            self.drained = false;
        }
        READ_INTO.with_borrow_mut(|bytes| {
            let most = most.min(READ);
            let n = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut bytes[..most]))?;
            self.drained = 0 < n && n < most;
            take(&bytes[..n]);
            Poll::Ready(Ok(()))
        })
    }

    fn poll_write_from(&mut self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut self.socket).poll_write(cx, buf))?;
        self.written.set(self.written.get() + n as u64);
        Poll::Ready(Ok(n))
    }

    fn poll_write_slices(
        &mut self,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut self.socket).poll_write_vectored(cx, bufs))?;
        self.written.set(self.written.get() + n as u64);
        Poll::Ready(Ok(n))
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

impl tokio::io::AsyncWrite for Stream {
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

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(cx)
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

impl hyper::rt::Write for Stream {
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

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(cx)
    }
}

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

/// Makes the close of a socket a reset, so that its peer sees a broken connection rather than an end.
pub fn break_on_close(socket: &TcpStream) {
    // A socket that is closed already needs no option.
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// `None` where the time runs out first.
pub async fn with_timeout<T>(time: Duration, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(time).await;
        None
    };
    future::or(async { Some(work.await) }, late).await
}

pub async fn connect(to: SocketAddr, time: Duration) -> io::Result<Stream> {
    let connected = with_timeout(time, Async::<TcpStream>::connect(to)).await;
    Stream::new(connected.ok_or_else(|| io::Error::from(io::ErrorKind::TimedOut))??)
}

pub fn listen(at: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(at)
}

/// The next connection. Trouble that passes, such as a lack of descriptors, is waited out.
pub async fn accept(listener: &Async<TcpListener>) -> Stream {
    const PAUSE: Duration = Duration::from_millis(20);
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if let Ok(stream) = Stream::new(socket) {
                    return stream;
                }
            }
            Err(_) => {
                Timer::after(PAUSE).await;
            }
        }
    }
}
