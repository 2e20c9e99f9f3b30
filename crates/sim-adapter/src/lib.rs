//! The adapter between the simulator and the dispatch policy: frames of events on one side, calls of the policy on
//! the other.

mod codes;
mod error;
mod fields;
mod host;
mod reply;

pub use error::{AdapterError, FrameError, MalformedFrame};

use host::{FRAME_LENGTH_BYTES, Host};
use reply::Reply;
use std::io::{self, ErrorKind, Read, Write};

/// Answers batches of events until the input ends or nobody reads the output any more.
///
/// # Errors
/// `Io` if the input can't be read or the output can't be written; `Malformed` with the first thing that is wrong with
/// a batch, of which nothing is answered.
pub fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut reply = Reply::default();
    let mut frame = Vec::new();
    for batch in 0.. {
        if !read_frame(input, &mut frame, batch)? {
            return Ok(());
        }
        host.play(&frame, &mut reply)
            .map_err(|source| AdapterError::Malformed { batch, source })?;
        match write_reply(output, &mut reply) {
            Err(error) if error.kind() == ErrorKind::BrokenPipe => return Ok(()),
            other => other.map_err(|source| AdapterError::Io { batch, source })?,
        }
    }
    Ok(())
}

/// Reads a frame without its length; returns whether there was one.
fn read_frame(
    input: &mut impl Read,
    frame: &mut Vec<u8>,
    batch: usize,
) -> Result<bool, AdapterError> {
    let io_error = |source| AdapterError::Io { batch, source };
    let cut_short = |byte| AdapterError::Malformed {
        batch,
        source: MalformedFrame {
            record: 0,
            byte,
            reason: FrameError::CutShort,
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
        .map_err(|_| cut_short(length.len()))?;
    let length = u32::from_le_bytes(length) as usize;
    frame.clear();
    read_up_to(input, length, frame).map_err(io_error)?;
    if frame.len() < length {
        return Err(cut_short(FRAME_LENGTH_BYTES + frame.len()));
    }
    Ok(true)
}

/// Appends the next bytes of the input, fewer than `length` only if it ends.
fn read_up_to(input: &mut impl Read, length: usize, bytes: &mut Vec<u8>) -> io::Result<()> {
    input.by_ref().take(length as u64).read_to_end(bytes)?;
    Ok(())
}

fn write_reply(output: &mut impl Write, reply: &mut Reply) -> io::Result<()> {
    output.write_all(reply.finish())?;
    output.flush()
}
