//! A simple reference model of the five rules. It receives every action of the policy and checks it independently.

// Each test program uses only some of the items.
#![allow(dead_code)]

mod fixtures;
mod harness;
mod model;

// Each test program uses only some of the items.
#[allow(unused_imports)]
pub use fixtures::*;
#[allow(unused_imports)]
pub use harness::{Harness, warm_harness};
#[allow(unused_imports)]
pub use model::{AcceptedInvocation, RecordedAction, ReferenceModel};
