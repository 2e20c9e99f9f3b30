//! The traffic split. A hash of the sticky key gives a position from 0 to 1; keys below a step's share get the new
//! version. A key that has the new version at one share has it at any higher share.

use crate::plan::{Plan, Step};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The attributes of an invocation that decide its version.
#[derive(Clone, Copy, Debug)]
pub struct InvocationAttributes<'a> {
    /// The name of the customer.
    pub customer: &'a str,
    /// The name of the front end's location.
    pub location: &'a str,
    /// The value of the plan's sticky key.
    pub key: &'a str,
}

/// Returns the position of a key, in [0, 1). It differs between runs, so that the same keys aren't always the first to
/// get a new version.
pub fn position(run: u64, key: &str) -> f64 {
    // An f64 represents 53 bits exactly.
    (xxh3_64_with_seed(key.as_bytes(), run) >> 11) as f64 / (1u64 << 53) as f64
}

fn applies_to(step: &Step, caller: &InvocationAttributes) -> bool {
    let matches =
        |names: &[String], name: &str| names.is_empty() || names.iter().any(|n| n == name);
    matches(&step.customers, caller.customer) && matches(&step.locations, caller.location)
}

/// Returns the probability that an invocation gets the new version at a step: the highest share of the steps up to this
/// one that apply to it, limited by the holdback.
pub fn share(plan: &Plan, step: usize, caller: &InvocationAttributes) -> f64 {
    let reached = plan.steps.iter().take(step + 1);
    reached
        .filter(|step| applies_to(step, caller))
        .map(|step| step.share)
        .fold(0.0, f64::max)
        .min(1.0 - plan.holdback)
}

/// Returns whether an invocation gets the new version.
pub fn gets_new_version(plan: &Plan, run: u64, step: usize, caller: &InvocationAttributes) -> bool {
    position(run, caller.key) < share(plan, step, caller)
}
