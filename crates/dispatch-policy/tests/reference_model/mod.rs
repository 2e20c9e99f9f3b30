//! A slow, simple model of the five rules beside the policy: it hears every action and checks each on its own.

// Each test program uses a part.
#![allow(dead_code)]

mod fixtures;
mod harness;
mod model;

// Each test program uses a part.
#[allow(unused_imports)]
pub use fixtures::*;
#[allow(unused_imports)]
pub use harness::{Harness, warm_harness};
#[allow(unused_imports)]
pub use model::{AcceptedInvocation, RecordedAction, ReferenceModel};
