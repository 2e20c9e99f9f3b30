//! How the memory limit of the process is divided among what peers make it hold.
//!
//! Each share has an answer to being full: an invocation is throttled, the client that holds the most input or unread
//! output is disconnected, as is the executor connection that holds the most, and a function is forgotten. The rest of
//! the limit is for the program, the endpoint list and the allocator.

use crate::memory_use::HeldBytes;
use orchidtally_dispatch_policy::state::FUNCTION_BYTES;

/// Functions that are remembered at the most, however much memory there is.
const MAX_FUNCTIONS: usize = 16_384;
/// The part of a share that may be read from sockets between two checks of what is held.
const CHECK_FRACTION: usize = 16;

/// The shares of the memory limit, and what was read since they were last checked.
pub struct MemoryBudget {
    shares: HeldBytes,
    check_interval: usize,
    bytes_since_check: usize,
}

impl MemoryBudget {
    /// Divides a memory limit in bytes.
    pub fn new(memory_bytes: usize) -> MemoryBudget {
        let eighth = memory_bytes / 8;
        MemoryBudget {
            shares: HeldBytes {
                client_input: eighth,
                client_output: eighth,
                invocations: eighth,
                executor_input: eighth / 2,
                executor_output: eighth / 2,
            },
            check_interval: eighth / CHECK_FRACTION,
            bytes_since_check: 0,
        }
    }

    /// The most bytes that each owner may hold.
    pub fn shares(&self) -> &HeldBytes {
        &self.shares
    }

    /// Records bytes that were read from a peer.
    pub fn record_read(&mut self, bytes: usize) {
        self.bytes_since_check += bytes;
    }

    /// Returns whether so much was read that what is held has to be checked now. The count then starts anew.
    pub fn take_check(&mut self) -> bool {
        let is_due = self.bytes_since_check >= self.check_interval;
        if is_due {
            self.bytes_since_check = 0;
        }
        is_due
    }
}

/// The number of functions that may be remembered under a memory limit in bytes.
pub fn max_functions(memory_bytes: usize) -> usize {
    (memory_bytes / 8 / FUNCTION_BYTES).min(MAX_FUNCTIONS)
}

/// The memory in bytes for ids of executed invocations under a memory limit in bytes.
pub fn executed_id_bytes(memory_bytes: usize) -> usize {
    memory_bytes / 64
}

/// Whether a holder may take more of a limited resource: as long as it then holds no more than what is left free.
///
/// Failure mode: a crowd takes all of a resource, and a client with a single invocation is turned away.
/// Risk: a client that holds much is turned away although some is free.
pub fn may_take(amount: usize, held: usize, held_by_all: usize, limit: usize) -> bool {
    held + amount <= limit.saturating_sub(held_by_all)
}

#[cfg(test)]
#[path = "tests/memory_budget.rs"]
mod tests;
