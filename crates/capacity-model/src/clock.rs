//! What this process has used: processor time by the kernel's clocks, memory by the allocator and by `/proc`.

use rustix::time::{ClockId, clock_gettime};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;

/// Counts what is allocated, so that a difference of memory is exact whatever the system's allocator keeps back.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

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

/// Bytes on the heap of the whole process now.
pub fn heap_bytes() -> f64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// Resident memory of the process in bytes; `None` where `/proc` does not tell it.
pub fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}
