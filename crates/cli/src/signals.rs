//! Signal handling of a front end: SIGTERM and SIGINT shut it down, SIGHUP reloads its deployment file.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;
use std::path::PathBuf;
use tracing::{info, warn};

/// Installs the signal handlers. Signals that arrive before [`spawn_handler`] is called are queued.
pub fn install() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Handles the signals on a background thread. SIGTERM and SIGINT close `stop`; each SIGHUP sends a message to `reload`
/// unless one is queued already.
pub fn spawn_handler(
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
                // If the channel is full, the queued reload reads the file after this signal.
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
    // The signal stream has ended, so no later signal could stop the front end: it stops now.
    stop.close();
}

/// Reads a file on a background thread for each message on `reload`, and sends its text to `read`. A separate thread
/// keeps a file system that hangs from blocking the front end.
pub fn spawn_file_reader(
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
