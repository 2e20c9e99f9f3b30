//! Sockets for a single thread that goes through whatever is ready, a turn at a time: they never block, count
//! what was handed to the kernel and keep what it did not take yet.

use mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};

/// A connection and what is waiting to be written on it. Its owner bounds that.
pub struct BufferedSocket {
    pub stream: TcpStream,
    out: Vec<u8>,
    at: usize,
    written: u64,
}

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    Bytes(usize),
    /// Nothing is there now.
    Nothing,
    End,
}

impl BufferedSocket {
    pub fn new(stream: TcpStream) -> BufferedSocket {
        // One that was reset already needs no option; the next read tells.
        let _ = stream.set_nodelay(true);
        BufferedSocket {
            stream,
            out: vec![],
            at: 0,
            written: 0,
        }
    }

    /// Whether a connection that was begun stands now; an error if there will be none.
    pub fn is_connected(&self) -> io::Result<bool> {
        if let Some(fault) = self.stream.take_error()? {
            return Err(fault);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

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

    /// Where to append what is to be written.
    pub fn out(&mut self) -> &mut Vec<u8> {
        &mut self.out
    }

    /// Bytes that wait to be handed to the kernel.
    pub fn waiting(&self) -> usize {
        self.out.len() - self.at
    }

    /// Bytes handed to the kernel so far.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Takes back what was appended from a byte of the connection on, as `written` counts them, of which nothing was
    /// handed over.
    pub fn take_back(&mut self, from: u64) {
        let kept = from.saturating_sub(self.written) as usize;
        self.out.truncate(self.at + kept);
    }

    /// Hands over what the kernel takes.
    pub fn flush(&mut self) -> io::Result<()> {
        while self.at < self.out.len() {
            match self.stream.write(&self.out[self.at..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.at += n;
                    self.written += n as u64;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.out.drain(..std::mem::take(&mut self.at));
                    return Ok(());
                }
                Err(e) => return Err(e),
            }
        }
        (self.out, self.at) = (Vec::new(), 0);
        Ok(())
    }
}
