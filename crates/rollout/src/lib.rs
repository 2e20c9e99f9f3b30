//! Gradual rollouts without I/O: which version of a function an invocation gets, whether the new one is worse than the
//! old, what the next step is and when it comes, and what a front end does with what a coordinator publishes. The time
//! is passed in, and the split is a hash of the sticky key.

pub mod coordinator;
pub mod evidence;
pub mod forecast;
pub mod frontend;
pub mod plan;
pub mod sequential;
pub mod split;
pub mod state;

pub use coordinator::Coordinator;
pub use evidence::{Arm, Cell, Counts, Delta};
pub use frontend::{Invoked, Resolved, TrafficSplit};
pub use plan::Plan;
pub use state::{Epoch, Phase, Published, Rollout};
