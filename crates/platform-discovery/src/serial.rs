//! Comparison of the serials of endpoint lists, which wrap around (RFC 1982).

use std::cmp::Ordering;

/// Compares two serials; the greater one is newer.
pub(crate) fn compare_serials(serial: u32, other: u32) -> Ordering {
    (serial.wrapping_sub(other) as i32).cmp(&0)
}
