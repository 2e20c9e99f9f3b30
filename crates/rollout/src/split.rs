//! The split of traffic: a hash of the sticky key is a place in the interval from 0 to 1, and the new version has the
//! part of it below a step's share. Whoever has the new version at one share has it at any greater one.

use crate::plan::{Plan, Step};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What is known of an invocation when it is resolved.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The name of the customer.
    pub customer: &'a str,
    /// The name of the front end's location.
    pub location: &'a str,
    /// The value of the plan's sticky key.
    pub key: &'a str,
}

/// The place of a key, from 0 up to 1. It differs between runs, so that the same few are not always the first to get a
/// new version.
pub fn place(run: u64, key: &str) -> f64 {
    // The 53 bits that an f64 holds exactly.
    (xxh3_64_with_seed(key.as_bytes(), run) >> 11) as f64 / (1u64 << 53) as f64
}

fn is_for(step: &Step, who: &Caller) -> bool {
    let among = |names: &[String], name: &str| names.is_empty() || names.iter().any(|n| n == name);
    among(&step.customers, who.customer) && among(&step.locations, who.location)
}

/// The probability that an invocation gets the new version at a step: the greatest share of the steps up to this one
/// that are for it, without what is held back until the end.
pub fn share(plan: &Plan, step: usize, who: &Caller) -> f64 {
    let reached = plan.steps.iter().take(step + 1);
    reached
        .filter(|s| is_for(s, who))
        .map(|s| s.share)
        .fold(0.0, f64::max)
        .min(1.0 - plan.holdback)
}

/// Whether an invocation gets the new version.
pub fn is_new(plan: &Plan, run: u64, step: usize, who: &Caller) -> bool {
    place(run, who.key) < share(plan, step, who)
}
