//! Non-blocking sockets for an event loop. They count the bytes handed to the kernel and buffer those that it has not
//! accepted yet.

use mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};

/// Capacity in bytes up to which a buffer is never shrunk.
const MIN_SHRUNK_CAPACITY: usize = 4 * 1024;

/// Returns the unused memory of a buffer that is less than a quarter full.
///
/// Connections that once received or sent much would otherwise keep that memory for as long as they hold a few bytes.
pub fn shrink_if_sparse(buffer: &mut Vec<u8>) {
    if buffer.capacity() > MIN_SHRUNK_CAPACITY && buffer.len() < buffer.capacity() / 4 {
        buffer.shrink_to_fit();
    }
}

/// A connection and its write buffer. The owner has to bound the size of the buffer.
pub struct BufferedSocket {
    /// The socket.
    pub stream: TcpStream,
    write_buffer: Vec<u8>,
    /// The number of bytes at the front of `write_buffer` that were handed to the kernel.
    flushed: usize,
    /// The number of bytes handed to the kernel since the connection was opened.
    bytes_written: u64,
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The number of bytes that were read.
    Bytes(usize),
    /// No bytes can be read without blocking.
    WouldBlock,
    /// The peer has closed its side of the connection.
    EndOfStream,
}

impl BufferedSocket {
    /// Wraps a socket and disables Nagle's algorithm.
    pub fn new(stream: TcpStream) -> BufferedSocket {
        // The option fails on a socket that was already reset; the next read reports the reset.
        let _ = stream.set_nodelay(true);
        BufferedSocket {
            stream,
            write_buffer: vec![],
            flushed: 0,
            bytes_written: 0,
        }
    }

    /// Whether the connection is established; `false` while the attempt is in progress.
    ///
    /// # Errors
    /// Returns an error if the connection attempt failed.
    pub fn is_connected(&self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Reads available bytes with a single successful system call.
    ///
    /// # Errors
    /// Returns an error if the connection broke.
    pub fn read(&mut self, into: &mut [u8]) -> io::Result<ReadOutcome> {
        loop {
            return match self.stream.read(into) {
                Ok(0) => Ok(ReadOutcome::EndOfStream),
                Ok(n) => Ok(ReadOutcome::Bytes(n)),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(ReadOutcome::WouldBlock),
                Err(e) => Err(e),
            };
        }
    }

    /// The write buffer, to which the caller appends bytes; [`BufferedSocket::flush`] writes them.
    pub fn write_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.write_buffer
    }

    /// The number of buffered bytes that were not handed to the kernel yet.
    pub fn pending_bytes(&self) -> usize {
        self.write_buffer.len() - self.flushed
    }

    /// Bytes of memory that the write buffer holds.
    pub fn held_bytes(&self) -> usize {
        self.write_buffer.capacity()
    }

    /// The number of bytes handed to the kernel since the connection was opened.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written
    }

    /// Discards the pending bytes from the stream offset `from` on. Offsets count from the start of the connection, as
    /// [`BufferedSocket::bytes_written`] does.
    pub fn discard_unsent(&mut self, from: u64) {
        let kept = from.saturating_sub(self.bytes_written) as usize;
        self.write_buffer.truncate(self.flushed + kept);
        shrink_if_sparse(&mut self.write_buffer);
    }

    /// Hands as many pending bytes to the kernel as it accepts.
    ///
    /// # Errors
    /// Returns an error if the connection broke.
    pub fn flush(&mut self) -> io::Result<()> {
        while self.flushed < self.write_buffer.len() {
            match self.stream.write(&self.write_buffer[self.flushed..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.flushed += n;
                    self.bytes_written += n as u64;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.write_buffer.drain(..std::mem::take(&mut self.flushed));
                    shrink_if_sparse(&mut self.write_buffer);
                    return Ok(());
                }
                Err(e) => return Err(e),
            }
        }
        self.write_buffer = Vec::new();
        self.flushed = 0;
        Ok(())
    }
}
