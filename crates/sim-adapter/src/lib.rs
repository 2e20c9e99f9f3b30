//! The adapter: the simulator's wire on one side, calls on the decision module on the other.

mod batch;
mod frame;
mod reply;

use batch::Host;
use frame::Malformed;
use reply::Reply;
use std::io::{ErrorKind, Read, Write};

/// Plays batches until the input ends. Nothing of a batch that is malformed is answered.
pub fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut reply = Reply::default();
    let mut frame = Vec::new();
    for batch in 0.. {
        let failed = |e: Malformed| format!("batch {batch}, {e}");
        let mut length = Vec::with_capacity(4);
        input
            .by_ref()
            .take(4)
            .read_to_end(&mut length)
            .map_err(|e| format!("batch {batch}: {e}"))?;
        if length.is_empty() {
            return Ok(());
        }
        let cut = |byte| {
            failed(Malformed {
                record: 0,
                byte,
                what: "the frame is cut short".into(),
            })
        };
        let length: [u8; 4] = length
            .as_slice()
            .try_into()
            .map_err(|_| cut(length.len()))?;
        let length = u32::from_le_bytes(length) as usize;
        frame.clear();
        input
            .by_ref()
            .take(length as u64)
            .read_to_end(&mut frame)
            .map_err(|e| format!("batch {batch}: {e}"))?;
        if frame.len() < length {
            return Err(cut(4 + frame.len()));
        }
        host.play(&frame, &mut reply).map_err(failed)?;
        match output
            .write_all(reply.finish())
            .and_then(|()| output.flush())
        {
            Err(e) if e.kind() == ErrorKind::BrokenPipe => return Ok(()),
            other => other.map_err(|e| format!("batch {batch}: {e}"))?,
        }
    }
    Ok(())
}
