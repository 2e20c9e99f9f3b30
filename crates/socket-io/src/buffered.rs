//! Buffered sockets for an event loop: they never block, count the bytes handed to the kernel and keep those that it did
//! not take yet.

use mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};

/// A connection and the bytes that wait to be written on it. Their number is bounded by the owner.
pub struct BufferedSocket {
    /// The socket.
    pub stream: TcpStream,
    out: Vec<u8>,
    /// Bytes at the front of `out` that were handed to the kernel.
    flushed: usize,
    /// Bytes handed to the kernel since the start.
    written: u64,
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// So many bytes were read.
    Bytes(usize),
    /// Nothing can be read now.
    Nothing,
    /// The peer has closed its side.
    End,
}

impl BufferedSocket {
    /// Wraps a socket and disables Nagle's algorithm.
    pub fn new(stream: TcpStream) -> BufferedSocket {
        // The option fails on a socket that was reset already; the next read tells so.
        let _ = stream.set_nodelay(true);
        BufferedSocket {
            stream,
            out: vec![],
            flushed: 0,
            written: 0,
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
                Ok(0) => Ok(ReadOutcome::End),
                Ok(n) => Ok(ReadOutcome::Bytes(n)),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(ReadOutcome::Nothing),
                Err(e) => Err(e),
            };
        }
    }

    /// The buffer to which bytes to be written are appended.
    pub fn out(&mut self) -> &mut Vec<u8> {
        &mut self.out
    }

    /// The number of bytes that wait to be handed to the kernel.
    pub fn waiting(&self) -> usize {
        self.out.len() - self.flushed
    }

    /// The number of bytes handed to the kernel so far.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Removes the waiting bytes from a position of the connection on, as `written` counts them.
    pub fn take_back(&mut self, from: u64) {
        let kept = from.saturating_sub(self.written) as usize;
        self.out.truncate(self.flushed + kept);
    }

    /// Hands over as many waiting bytes as the kernel takes.
    ///
    /// # Errors
    /// The connection broke.
    pub fn flush(&mut self) -> io::Result<()> {
        while self.flushed < self.out.len() {
            match self.stream.write(&self.out[self.flushed..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.flushed += n;
                    self.written += n as u64;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.out.drain(..std::mem::take(&mut self.flushed));
                    return Ok(());
                }
                Err(e) => return Err(e),
            }
        }
        self.out = Vec::new();
        self.flushed = 0;
        Ok(())
    }
}
