//! What the module keeps between inputs: plain records, and the upkeep that takes no decision.

mod book;
mod fleet;
mod groups;
mod known;
mod listing;
mod meters;
mod ranking;
mod regions;

use crate::interface::{Endpoint, EndpointUpdateKind};
pub use book::*;
pub use fleet::*;
pub use known::{Known, KnownSet, Load};
pub use meters::*;
pub use ranking::Ranking;
pub use regions::Regions;

/// Enters a list and voids what was known of executors that restarted, drain or are gone. Executors that are
/// in no list since `forgotten` and that nothing refers to any more are dropped.
pub fn take_list(
    fleet: &mut Fleet,
    book: &mut Book,
    now: f64,
    (kind, rows): (EndpointUpdateKind, &[Endpoint]),
    forgotten: f64,
) {
    let void = fleet.list(now, kind == EndpointUpdateKind::Full, rows);
    book.evict(&void);
    void.into_iter().for_each(|x| fleet.forget(x));
    let mut gone = fleet.departed(forgotten);
    gone.retain(|&x| !book.needs(x));
    book.drop_executors(&gone);
    gone.into_iter().for_each(|x| fleet.release(x));
}

/// Takes out elements drawn at random, each by a number from 0 up to 1, until two at the most are left.
pub fn leave_two(all: Vec<usize>, mut unit: impl FnMut() -> f64) -> Vec<usize> {
    let drawn: Vec<usize> = (3..=all.len())
        .rev()
        .map(|len| (unit() * len as f64) as usize)
        .collect();
    // From the last draw back: where the two that are left stood before each of them.
    let before = |place: usize, out: usize| place + usize::from(place >= out);
    let (one, other) = drawn.iter().rev().fold((0, 1), |(one, other), &out| {
        (before(one, out), before(other, out))
    });
    [one, other]
        .into_iter()
        .filter_map(|place| all.get(place).copied())
        .collect()
}
