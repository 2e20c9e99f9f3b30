//! What signals tell a front end: SIGTERM and SIGINT end it, SIGHUP has its deployment file read again.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;
use std::path::PathBuf;
use tracing::{info, warn};

/// Catches the signals from now on; what comes before [`follow`] waits.
pub fn catch() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Follows the signals on a thread of its own. `stop` is closed by the first that ends the front end; `reread` gets a
/// message for each SIGHUP, or none where one waits already.
pub fn follow(
    signals: Signals,
    stop: async_channel::Sender<()>,
    reread: Option<async_channel::Sender<()>>,
) {
    std::thread::spawn(move || async_io::block_on(attend(signals, stop, reread)));
}

async fn attend(
    mut signals: Signals,
    stop: async_channel::Sender<()>,
    reread: Option<async_channel::Sender<()>>,
) {
    while let Some(signal) = signals.next().await {
        match (signal, &reread) {
            (Ok(Signal::Hup), Some(reread)) => {
                info!("told to read the deployment file again");
                // One that waits is read after this signal as well.
                let _ = reread.try_send(());
            }
            (Ok(Signal::Hup), None) => {
                warn!(
                    "told to read the deployment file again, but there is none: start with --deployment FILE"
                );
            }
            (signal, _) => {
                info!(?signal, "told to end");
                stop.close();
            }
        }
    }
    // Without signals there is no way to be told: the front end ends.
    stop.close();
}

/// Reads a file on a thread of its own each time that `reread` says so, and gives its text to `read`. A file system
/// that hangs holds up nothing else.
pub fn read_again(
    path: PathBuf,
    reread: async_channel::Receiver<()>,
    read: async_channel::Sender<io::Result<String>>,
) {
    std::thread::spawn(move || {
        while reread.recv_blocking().is_ok() {
            if read.send_blocking(std::fs::read_to_string(&path)).is_err() {
                return;
            }
        }
    });
}
