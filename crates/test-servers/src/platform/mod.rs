//! The operators' platform: executors that speak its lines, a resolver that answers over DNS, clients that send
//! its frames; with faults by script. Each executor and the resolver have an address for each front end, so that
//! what came is known to be whose. What they see is noted for the invariant checker.

mod client;
mod executor;
mod executor_faults;
mod resolver;

pub use client::{Client, ClientRequest};
pub use executor::{Executor, executors};
pub use executor_faults::{Faults, ResponseFault};
pub use resolver::{AnswerFault, ListedEndpoint, Resolver};

use std::cell::RefCell;
use std::collections::HashMap;

/// The incarnation of each front end; a new one with each start.
#[derive(Default)]
pub struct Incarnations(RefCell<HashMap<u32, u64>>);

impl Incarnations {
    /// Begins a new incarnation of a front end.
    pub fn begin(&self, front_end: u32) {
        *self.0.borrow_mut().entry(front_end).or_default() += 1;
    }

    pub(crate) fn of(&self, front_end: u32) -> u64 {
        let count = self.0.borrow().get(&front_end).copied().unwrap_or_default();
        count << 32 | u64::from(front_end)
    }
}
