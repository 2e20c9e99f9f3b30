//! The clock by which the age of a view is measured.

use rustix::time::{ClockId, clock_gettime};

/// Seconds since the machine was started, including suspension (`CLOCK_BOOTTIME`). The clock is monotonic and can't be
/// set.
pub fn boot_time() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 + time.tv_nsec as f64 * 1e-9
}
