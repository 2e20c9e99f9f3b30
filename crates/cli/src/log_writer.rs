//! Writes log lines to standard error in a thread of its own, so that a reader that is slow or stuck delays nothing.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::thread;
use std::time::Duration;
use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait to be written at the most. Further ones are dropped and counted.
const MAX_WAITING_LINES: usize = 1_024;
/// Stack of the thread that writes, in bytes.
const STACK_BYTES: usize = 64 * 1024;
/// How long the end of the process waits for the last lines to be written.
const FINISH_TIMEOUT: Duration = Duration::from_millis(200);

enum Message {
    Line(Vec<u8>),
    /// Confirms that all earlier lines are written.
    Finish(SyncSender<()>),
}

/// A writer of log lines that never blocks.
///
/// Failure mode: the process that reads the log stops reading, and the front end stands still in its next log line.
/// Risk: lines are lost, which the next line that is written tells.
#[derive(Clone)]
pub struct LogWriter {
    /// `None` if the thread could not be started; lines are then written directly.
    messages: Option<SyncSender<Message>>,
    dropped: Arc<AtomicU64>,
}

/// Waits for the last lines when it is dropped, though not for longer than a moment.
pub struct FinishGuard(LogWriter);

impl LogWriter {
    /// Starts the thread that writes. The guard has to be kept until the process ends.
    pub fn start() -> (LogWriter, FinishGuard) {
        let (sender, receiver) = mpsc::sync_channel(MAX_WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = dropped.clone();
        let started = thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&receiver, &dropped_lines));
        let writer = LogWriter {
            messages: started.is_ok().then_some(sender),
            dropped,
        };
        (writer.clone(), FinishGuard(writer))
    }
}

/// Writes lines until all senders are gone. Errors are ignored, since there is no other place to report them.
fn write_lines(messages: &Receiver<Message>, dropped: &AtomicU64) {
    let mut output = io::stderr();
    for message in messages {
        match message {
            Message::Line(line) => {
                let lost = dropped.swap(0, Ordering::Relaxed);
                if lost > 0 {
                    let _ = writeln!(
                        output,
                        "{lost} log lines were lost: their reader is too slow"
                    );
                }
                let _ = output.write_all(&line);
            }
            Message::Finish(finished) => _ = finished.try_send(()),
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let Some(messages) = &self.messages else {
            return io::stderr().write(line);
        };
        if messages.try_send(Message::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = LogWriter;

    fn make_writer(&'a self) -> LogWriter {
        self.clone()
    }
}

impl Drop for FinishGuard {
    fn drop(&mut self) {
        let (finished, confirmation) = mpsc::sync_channel(1);
        let is_sent =
            |messages: &SyncSender<Message>| messages.try_send(Message::Finish(finished)).is_ok();
        if self.0.messages.as_ref().is_some_and(is_sent) {
            // A reader that is stuck does not delay the end of the process any further.
            let _ = confirmation.recv_timeout(FINISH_TIMEOUT);
        }
    }
}
