//! What the front end holds in memory, by owner, and what the system counts for the process.

use std::fs;

/// Bytes that the front end holds at the will of its peers, by owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldBytes {
    /// Partial frames and pending invocations of clients.
    pub client_input: usize,
    /// Responses that clients have not read yet.
    pub client_output: usize,
    /// Data of open invocations.
    pub invocations: usize,
    /// Partial lines of executors.
    pub executor_input: usize,
    /// Commands that executors have not read yet.
    pub executor_output: usize,
}

impl HeldBytes {
    /// The sum over all owners.
    #[cfg(test)]
    pub fn total(&self) -> usize {
        self.client_input
            + self.client_output
            + self.invocations
            + self.executor_input
            + self.executor_output
    }
}

/// Memory of this process as the system counts it, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResidentMemory {
    /// Resident memory now.
    pub current: usize,
    /// The highest resident memory so far.
    pub peak: usize,
}

impl ResidentMemory {
    /// Reads the figures of this process; `None` where the system does not provide them.
    pub fn read() -> Option<ResidentMemory> {
        ResidentMemory::parse(&fs::read_to_string("/proc/self/status").ok()?)
    }

    /// Parses the content of `/proc/PID/status`.
    fn parse(status: &str) -> Option<ResidentMemory> {
        let bytes = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key))?;
            let kibibytes: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
            Some(kibibytes * 1024)
        };
        Some(ResidentMemory {
            current: bytes("VmRSS:")?,
            peak: bytes("VmHWM:")?,
        })
    }
}

#[cfg(test)]
#[path = "tests/memory_use.rs"]
mod tests;
