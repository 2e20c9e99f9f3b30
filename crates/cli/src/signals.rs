//! Signals to a front end: SIGTERM and SIGINT end it, SIGHUP has its deployment file read again.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;
use std::path::PathBuf;
use tracing::{info, warn};

/// Catches the signals from now on; what comes before [`follow`] waits.
pub fn catch() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Handles the signals on a thread of its own. The first that ends the front end closes `stop`; `reload` receives a
/// message for each SIGHUP unless one is waiting already.
pub fn follow(
    signals: Signals,
    stop: async_channel::Sender<()>,
    reload: Option<async_channel::Sender<()>>,
) {
    std::thread::spawn(move || async_io::block_on(handle_signals(signals, stop, reload)));
}

async fn handle_signals(
    mut signals: Signals,
    stop: async_channel::Sender<()>,
    reload: Option<async_channel::Sender<()>>,
) {
    while let Some(signal) = signals.next().await {
        match (signal, &reload) {
            (Ok(Signal::Hup), Some(reload)) => {
                info!("reload signal received, reading the deployment file again");
                // One that waits is read after this signal as well.
                let _ = reload.try_send(());
            }
            (Ok(Signal::Hup), None) => {
                warn!(
                    "reload signal received, but there is no deployment file: start with --deployment FILE"
                );
            }
            (signal, _) => {
                info!(?signal, "termination signal received, draining");
                stop.close();
            }
        }
    }
    // Without signals nothing could end the front end later: it ends now.
    stop.close();
}

/// Reads a file on a thread of its own for each message on `reload`, and sends its text to `read`. A file system
/// that hangs blocks nothing else.
pub fn read_again(
    path: PathBuf,
    reload: async_channel::Receiver<()>,
    read: async_channel::Sender<io::Result<String>>,
) {
    std::thread::spawn(move || {
        while reload.recv_blocking().is_ok() {
            if read.send_blocking(std::fs::read_to_string(&path)).is_err() {
                return;
            }
        }
    });
}
