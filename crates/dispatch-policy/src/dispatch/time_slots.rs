//! Time slots by which front ends take turns at an executor without talking to each other.

use crate::interface::MembershipView;
use crate::state::{ExecutorIndex, ExecutorTable};

/// Keeps a sum of a fraction and its complement from falling below a whole number by rounding.
const ROUNDING_MARGIN: f64 = 1e-9;

/// This front end's place among all that share an executor, from 0 up to 1, in a time slot. All front ends draw it
/// alike and each has another place: of `n` front ends with a part of `1 / n` each, just one gets to a whole.
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
