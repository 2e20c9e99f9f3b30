//! Collects process signals from the start of the process.

use crate::start::retry_local_failures;
use mio::Registry;
use mio::{Interest, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::io;

/// Signals that have arrived since this value was created. They stay queued until the event loop takes them.
///
/// Without a handler a signal terminates the process, so create this value before reading any configuration.
pub struct PendingSignals(Signals);

impl PendingSignals {
    /// Starts collecting SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// The handlers or their pipe could not be set up after several attempts.
    pub fn new() -> io::Result<PendingSignals> {
        retry_local_failures(|| Signals::new([SIGTERM, SIGINT, SIGHUP])).map(PendingSignals)
    }

    pub(crate) fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        registry.register(&mut self.0, token, Interest::READABLE)
    }

    /// Returns the signals that have arrived since the last call.
    pub(crate) fn take(&mut self) -> Vec<i32> {
        self.0.pending().collect()
    }
}
