//! What this process has used: processor time by the kernel's clocks, memory by `/proc`.

use rustix::time::{ClockId, clock_gettime};

fn seconds(clock: ClockId) -> f64 {
    let time = clock_gettime(clock);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Processor time of the whole process, in seconds.
pub fn process_cpu_s() -> f64 {
    seconds(ClockId::ProcessCPUTime)
}

/// Processor time of the calling thread, in seconds.
pub fn thread_cpu_s() -> f64 {
    seconds(ClockId::ThreadCPUTime)
}

/// Resident memory of the process in bytes; `None` where `/proc` does not tell it.
pub fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}
