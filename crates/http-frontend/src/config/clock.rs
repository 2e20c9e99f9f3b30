//! The clock of freshness.

use rustix::time::{ClockId, clock_gettime};

/// Seconds since the machine was started, those while it was suspended included (`CLOCK_BOOTTIME`). It never goes
/// back, and nobody sets it.
pub fn boot_time() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 + time.tv_nsec as f64 * 1e-9
}
