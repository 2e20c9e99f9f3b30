//! Resource usage of other processes, from `/proc`.

use std::io;
use thiserror::Error;

const NANOSECONDS_PER_S: f64 = 1e9;
const BYTES_PER_KB: f64 = 1024.0;
/// The line of `/proc/PID/status` with anonymous resident memory: heap and stacks.
const ANONYMOUS_MEMORY: &str = "RssAnon:";

/// Why a process could not be measured.
#[derive(Debug, Error)]
pub enum MeterError {
    #[error("the processor time of process {process} can't be read: {why}; has it ended?")]
    Cpu { process: u32, why: io::Error },
    #[error("the memory of process {process} can't be read: {why}; has it ended?")]
    Memory { process: u32, why: io::Error },
}

/// Processor time of a process so far, in seconds: of all threads that it has now. The sums of `/proc/PID/stat` count in
/// steps of 10 ms, which is more than control uses in some seconds; those of `schedstat` count nanoseconds.
pub fn cpu_s(process: u32) -> Result<f64, MeterError> {
    let nanoseconds = || -> io::Result<f64> {
        let mut sum = 0.0;
        for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
            let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
            let first = text
                .split_whitespace()
                .next()
                .and_then(|time| time.parse::<f64>().ok());
            sum += first.ok_or_else(|| io::Error::other(format!("'{text}' is no schedstat")))?;
        }
        Ok(sum)
    };
    nanoseconds()
        .map(|sum| sum / NANOSECONDS_PER_S)
        .map_err(|why| MeterError::Cpu { process, why })
}

/// Anonymous resident memory of a process, in bytes.
pub fn anonymous_bytes(process: u32) -> Result<f64, MeterError> {
    let why = |why| MeterError::Memory { process, why };
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).map_err(why)?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(ANONYMOUS_MEMORY));
    let kilobytes =
        line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<f64>().ok());
    let missing = || why(io::Error::other(format!("no line '{ANONYMOUS_MEMORY}'")));
    Ok(kilobytes.ok_or_else(missing)? * BYTES_PER_KB)
}

fn mean(
    processes: &[u32],
    figure: impl Fn(u32) -> Result<f64, MeterError>,
) -> Result<f64, MeterError> {
    let figures: Result<Vec<f64>, MeterError> =
        processes.iter().map(|process| figure(*process)).collect();
    Ok(figures?.iter().sum::<f64>() / processes.len().max(1) as f64)
}

/// Mean processor time of several processes so far, in seconds.
pub fn mean_cpu_s(processes: &[u32]) -> Result<f64, MeterError> {
    mean(processes, cpu_s)
}

/// Mean anonymous resident memory of several processes, in bytes.
pub fn mean_anonymous_bytes(processes: &[u32]) -> Result<f64, MeterError> {
    mean(processes, anonymous_bytes)
}
