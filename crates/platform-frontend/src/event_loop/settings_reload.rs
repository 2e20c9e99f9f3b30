//! Reloads the start file after SIGHUP and applies a changed resolver address.

use super::EventLoop;
use crate::log_rate_limiter::LogRateLimiter;
use crate::start::{self, StartError};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use tracing::{info, warn};

/// Seconds between two reads of the file after SIGHUP.
const RELOAD_INTERVAL: f64 = 0.25;
/// Seconds after SIGHUP for which the file is read at that interval. It may be partially replaced when the signal
/// arrives, and nothing signals its completion. The platform expects the front end to know what the new resolver lists
/// 4 s after the signal.
const RELOAD_WINDOW: f64 = 3.5;
/// The longest pause in seconds between two reads of a file that is still unusable after `RELOAD_WINDOW`. The pauses
/// double up to this value, and the retries never end: otherwise the front end would query the previous resolver
/// forever.
const MAX_RELOAD_BACKOFF: f64 = 4.0;

/// Why the file can't be applied.
#[derive(Debug, Error)]
enum ReloadError {
    #[error(transparent)]
    File(#[from] StartError),
    #[error(transparent)]
    Socket(#[from] io::Error),
}

/// The schedule for reading the start file after SIGHUP.
pub(super) struct SettingsReload {
    file: PathBuf,
    /// Until then the file is read at `RELOAD_INTERVAL`; afterwards only while it is unusable.
    window_ends_at: f64,
    /// When the file is read next, in seconds; infinity if no read is due.
    next_at: f64,
    /// The last pause between two reads, in seconds.
    backoff: f64,
    log_limiter: LogRateLimiter,
}

impl SettingsReload {
    /// Creates a schedule without any reads.
    pub(super) fn new(file: PathBuf) -> SettingsReload {
        SettingsReload {
            file,
            window_ends_at: f64::NEG_INFINITY,
            next_at: f64::INFINITY,
            backoff: RELOAD_INTERVAL,
            log_limiter: LogRateLimiter::default(),
        }
    }

    /// Starts reading the file, as a SIGHUP has arrived.
    pub(super) fn begin(&mut self, now: f64) {
        self.window_ends_at = now + RELOAD_WINDOW;
        self.next_at = now;
        self.backoff = RELOAD_INTERVAL;
    }

    /// Schedules the next read. `was_usable` is whether the file could be applied this time.
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
    /// Reads the file if that is due, and switches to its resolver.
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
