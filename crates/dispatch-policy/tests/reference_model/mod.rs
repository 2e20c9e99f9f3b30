//! A slow, simple model of the five rules beside the policy: it hears every action and checks each on its own.

// Each test program uses a part.
#![allow(dead_code)]

mod fixtures;
mod model;
mod world;

// Each test program uses a part.
#[allow(unused_imports)]
pub use fixtures::*;
#[allow(unused_imports)]
pub use model::{AcceptedInvocation, RecordedAction, ReferenceModel};
#[allow(unused_imports)]
pub use world::{World, warm_world};
