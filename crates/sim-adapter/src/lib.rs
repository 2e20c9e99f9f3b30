//! The adapter between the simulator and the dispatch policy. It decodes the simulator's frames of events, calls the
//! policy and encodes the actions.

mod codes;
mod error;
mod fields;
mod host;
mod reply;

pub use error::{AdapterError, FrameError, MalformedFrame};

use host::{FRAME_LENGTH_BYTES, Host};
use reply::Reply;
use std::io::{self, ErrorKind, Read, Write};

/// Reads batches of events and writes a reply to each, until the input ends or the output is closed.
///
/// # Errors
/// Returns `Io` if the input can't be read or the output can't be written, and `Malformed` with the first error in a
/// batch, to which no reply is written.
pub fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut reply = Reply::default();
    let mut frame = Vec::new();
    for batch in 0.. {
        if !read_frame(input, &mut frame, batch)? {
            return Ok(());
        }
        host.process_frame(&frame, &mut reply)
            .map_err(|source| AdapterError::Malformed { batch, source })?;
        match write_reply(output, &mut reply) {
            Err(error) if error.kind() == ErrorKind::BrokenPipe => return Ok(()),
            other => other.map_err(|source| AdapterError::Io { batch, source })?,
        }
    }
    Ok(())
}

/// Reads a frame without its length prefix. Returns false at the end of the input.
fn read_frame(
    input: &mut impl Read,
    frame: &mut Vec<u8>,
    batch: usize,
) -> Result<bool, AdapterError> {
    let io_error = |source| AdapterError::Io { batch, source };
    let truncated = |byte| AdapterError::Malformed {
        batch,
        source: MalformedFrame {
            record: 0,
            byte,
            reason: FrameError::Truncated,
        },
    };
    let mut length = Vec::with_capacity(FRAME_LENGTH_BYTES);
    read_up_to(input, FRAME_LENGTH_BYTES, &mut length).map_err(io_error)?;
    if length.is_empty() {
        return Ok(false);
    }
    let length: [u8; FRAME_LENGTH_BYTES] = length
        .as_slice()
        .try_into()
        .map_err(|_| truncated(length.len()))?;
    let length = u32::from_le_bytes(length) as usize;
    frame.clear();
    read_up_to(input, length, frame).map_err(io_error)?;
    if frame.len() < length {
        return Err(truncated(FRAME_LENGTH_BYTES + frame.len()));
    }
    Ok(true)
}

/// Appends the next `length` bytes of the input, or fewer if the input ends.
fn read_up_to(input: &mut impl Read, length: usize, bytes: &mut Vec<u8>) -> io::Result<()> {
    input.by_ref().take(length as u64).read_to_end(bytes)?;
    Ok(())
}

fn write_reply(output: &mut impl Write, reply: &mut Reply) -> io::Result<()> {
    output.write_all(reply.finish())?;
    output.flush()
}
