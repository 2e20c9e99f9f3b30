//! A fleet that serves already.

use super::{Said, World};
use orchidtally_dispatch_policy::interface::*;

/// A fleet on which function 1 is known at one executor, and that executor.
pub fn warm(policy: PolicyConfig, executors: usize) -> (World, usize) {
    let mut w = World::new(policy, executors);
    let inv = w.invoke(0, 1, 5.0);
    w.load_all(DispatchStatus::Ok);
    let Some(&Said::Dispatch(_, x)) = w.plain.said.last() else {
        panic!("nothing was sent")
    };
    w.end(inv, 0, DispatchStatus::Ok);
    (w, x)
}
