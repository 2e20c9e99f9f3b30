//! Process signals, collected from the first moment of the process on.

use crate::start::retry_local_failures;
use mio::Registry;
use mio::{Interest, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::io;

/// Signals that have arrived since this value was created; they wait until the front end serves.
///
/// Without a handler a signal ends the process, so this value has to be created before anything is read.
pub struct PendingSignals(Signals);

impl PendingSignals {
    /// Starts collecting SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// The handlers or their pipe could not be set up, also after retries.
    pub fn new() -> io::Result<PendingSignals> {
        retry_local_failures(|| Signals::new([SIGTERM, SIGINT, SIGHUP])).map(PendingSignals)
    }

    pub(crate) fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        registry.register(&mut self.0, token, Interest::READABLE)
    }

    /// Takes the signals that have arrived.
    pub(crate) fn take(&mut self) -> Vec<i32> {
        self.0.pending().collect()
    }
}
