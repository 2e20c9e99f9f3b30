//! How the memory limit of the process is divided.

use orchidtally_dispatch_policy::state::FUNCTION_BYTES;

/// Functions that are remembered at the most, however much memory there is.
const MAX_FUNCTIONS: usize = 16_384;
/// The part of the memory limit for records of functions: one in this many bytes.
const FUNCTIONS_DIVISOR: usize = 8;

/// The number of functions that may be remembered under a memory limit in bytes.
pub fn max_functions(memory_bytes: usize) -> usize {
    (memory_bytes / FUNCTIONS_DIVISOR / FUNCTION_BYTES).min(MAX_FUNCTIONS)
}
