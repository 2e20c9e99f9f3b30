//! Test servers and clients for the operators' platform: executors that speak its line protocol, a resolver that
//! answers over DNS, and clients that send its frames, with injected faults. Each executor and the resolver have one
//! address per front end, so that traffic can be attributed to a front end. All traffic is recorded for the invariant
//! checker.

mod client;
mod executor;
mod executor_faults;
mod list_history;
mod resolver;

pub use client::{Client, ClientRequest};
pub use executor::{Executor, executors};
pub use executor_faults::{Faults, ResponseFault};
pub use resolver::{AnswerFault, ListedEndpoint, Resolver};

use std::cell::RefCell;
use std::collections::HashMap;

/// The current incarnation of each front end. Each start of a front end begins a new one.
#[derive(Default)]
pub struct Incarnations(RefCell<HashMap<u32, u64>>);

impl Incarnations {
    /// Begins a new incarnation of a front end.
    pub fn begin(&self, front_end: u32) {
        *self.0.borrow_mut().entry(front_end).or_default() += 1;
    }

    /// The id of a front end's incarnation: the number of its starts in the upper half, its own number in the lower.
    pub(crate) fn of(&self, front_end: u32) -> u64 {
        let count = self.0.borrow().get(&front_end).copied().unwrap_or_default();
        count << 32 | u64::from(front_end)
    }
}
