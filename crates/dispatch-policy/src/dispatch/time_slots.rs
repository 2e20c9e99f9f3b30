//! Time slots in which front ends take turns at an executor without communicating.

use crate::interface::MembershipView;
use crate::state::{ExecutorIndex, ExecutorTable};

/// Prevents the sum of a fraction and its complement from being rounded below a whole number.
const ROUNDING_MARGIN: f64 = 1e-9;

/// Returns this front end's offset in a time slot, from 0 to below 1, among the front ends that share an executor. All
/// front ends compute the offsets in the same way and each has a different one: of `n` front ends with a share of `1/n`
/// each, exactly one reaches a whole number.
pub(super) fn slot_offset(
    membership: &MembershipView,
    executors: &ExecutorTable,
    executor: ExecutorIndex,
    slot: u64,
) -> f64 {
    let position =
        (membership.front_end_index + executors.rendezvous_number(executor, slot)) as u64;
    (position % membership.slot_count as u64) as f64 / membership.slot_count + ROUNDING_MARGIN
}
