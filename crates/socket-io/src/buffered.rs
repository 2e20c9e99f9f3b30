//! Buffered sockets for an event loop: they never block, count the bytes handed to the kernel and keep those that it did
//! not take yet.

use mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};

/// A connection and the bytes that wait to be written on it. Their number is bounded by the owner.
pub struct BufferedSocket {
    /// The socket.
    pub stream: TcpStream,
    write_buffer: Vec<u8>,
    /// Bytes at the front of `out` that were handed to the kernel.
    flushed: usize,
    /// Bytes handed to the kernel since the start.
    bytes_written: u64,
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// So many bytes were read.
    Bytes(usize),
    /// Nothing can be read now.
    WouldBlock,
    /// The peer has closed its side.
    EndOfStream,
}

impl BufferedSocket {
    /// Wraps a socket and disables Nagle's algorithm.
    pub fn new(stream: TcpStream) -> BufferedSocket {
        // The option fails on a socket that was reset already; the next read tells so.
        let _ = stream.set_nodelay(true);
        BufferedSocket {
            stream,
            write_buffer: vec![],
            flushed: 0,
            bytes_written: 0,
        }
    }

    /// Whether a connection attempt has succeeded by now.
    ///
    /// # Errors
    /// The attempt has failed.
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

    /// Reads once.
    ///
    /// # Errors
    /// The connection broke.
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

    /// The buffer to which bytes to be written are appended.
    pub fn write_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.write_buffer
    }

    /// The number of bytes that wait to be handed to the kernel.
    pub fn pending_bytes(&self) -> usize {
        self.write_buffer.len() - self.flushed
    }

    /// The number of bytes handed to the kernel so far.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written
    }

    /// Removes the waiting bytes from a position of the connection on, as `written` counts them.
    pub fn discard_unsent(&mut self, from: u64) {
        let kept = from.saturating_sub(self.bytes_written) as usize;
        self.write_buffer.truncate(self.flushed + kept);
    }

    /// Hands over as many waiting bytes as the kernel takes.
    ///
    /// # Errors
    /// The connection broke.
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
