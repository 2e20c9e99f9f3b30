//! Processor time of the engines' calls, by a sample of them: reading the clock at each would cost more than many.

use crate::clock::thread_cpu_s;

/// One of this many calls is measured.
const SAMPLED: u64 = 61;

/// Processor time spent in what is measured, extrapolated from every [`SAMPLED`]th time.
#[derive(Debug, Default)]
pub struct SampledCpu {
    entered: u64,
    seconds: f64,
    /// The calls of clients that all of it was for.
    pub calls: u64,
}

impl SampledCpu {
    pub fn measure<T>(&mut self, work: impl FnOnce() -> T) -> T {
        self.entered += 1;
        if !self.entered.is_multiple_of(SAMPLED) {
            return work();
        }
        let began = thread_cpu_s();
        let result = work();
        self.seconds += thread_cpu_s() - began;
        result
    }

    /// Microseconds a client's call; not a number before the first one.
    pub fn us_a_call(&self) -> f64 {
        1e6 * self.seconds * SAMPLED as f64 / self.calls as f64
    }
}
