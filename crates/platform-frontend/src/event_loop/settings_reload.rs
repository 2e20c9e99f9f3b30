//! Reads the settings file again after SIGHUP, for the address of another resolver.

use super::EventLoop;
use crate::log_rate_limiter::LogRateLimiter;
use crate::start::{self, StartError};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use tracing::{info, warn};

/// After SIGHUP the file is read at this interval for some time, both in seconds: it may be half replaced when the
/// signal comes, and nothing tells when it is complete. What the new resolver tells counts as told 4 s after the
/// signal.
const RELOAD_INTERVAL: f64 = 0.25;
const RELOAD_WINDOW: f64 = 3.5;
/// A file that can't be used by then is read again after pauses that double up to this many seconds, until it can be
/// used: given up, the previous resolver would be queried for good.
const MAX_RELOAD_BACKOFF: f64 = 4.0;

/// Why the file can't be used.
#[derive(Debug, Error)]
enum ReloadError {
    #[error(transparent)]
    File(#[from] StartError),
    #[error(transparent)]
    Socket(#[from] io::Error),
}

/// The reads of the file after SIGHUP.
pub(super) struct SettingsReload {
    file: PathBuf,
    /// The file is read at the interval until then, and on while it can't be used.
    window_ends_at: f64,
    /// When the file is read next; infinity for never.
    next_at: f64,
    backoff: f64,
    log_limiter: LogRateLimiter,
}

impl SettingsReload {
    /// No signal has arrived so far.
    pub(super) fn new(file: PathBuf) -> SettingsReload {
        SettingsReload {
            file,
            window_ends_at: f64::NEG_INFINITY,
            next_at: f64::INFINITY,
            backoff: RELOAD_INTERVAL,
            log_limiter: LogRateLimiter::default(),
        }
    }

    /// A signal has arrived.
    pub(super) fn begin(&mut self, now: f64) {
        self.window_ends_at = now + RELOAD_WINDOW;
        self.next_at = now;
        self.backoff = RELOAD_INTERVAL;
    }

    /// Sets when the file is read next; `was_usable` tells of the read just done.
    fn schedule_next(&mut self, now: f64, was_usable: bool) {
        if now < self.window_ends_at {
            self.next_at = now + RELOAD_INTERVAL;
        } else if was_usable {
            self.next_at = f64::INFINITY;
        } else {
            self.backoff = (2.0 * self.backoff).min(MAX_RELOAD_BACKOFF);
            self.next_at = now + self.backoff;
        }
    }

    fn read_resolver_address(&self) -> Result<SocketAddr, StartError> {
        start::read(&self.file).map(|start| start.resolver)
    }
}

impl EventLoop {
    /// Takes the resolver's address from the file if a read is due.
    pub(super) fn reload_settings(&mut self, now: f64) {
        if now < self.reload.next_at {
            return;
        }
        let applied = self.apply_resolver_address();
        if let Err(error) = &applied
            && let Some(suppressed) = self.reload.log_limiter.try_acquire(now)
        {
            let resolver = self.discovery.resolver_address();
            warn!(%error, %resolver, suppressed,
                "settings file cannot be used yet, keeping the previous resolver and retrying");
        }
        self.reload.schedule_next(now, applied.is_ok());
    }

    fn apply_resolver_address(&mut self) -> Result<(), ReloadError> {
        let address = self.reload.read_resolver_address()?;
        if address == self.discovery.resolver_address() {
            return Ok(());
        }
        self.discovery
            .switch_resolver(address, self.poll.registry())?;
        info!(resolver = %address, "switched to another resolver");
        Ok(())
    }
}
