//! Progressive delivery of function versions, without I/O.
//!
//! A coordinator pools the evidence of all front ends, tests whether the new version is worse than the old one, and
//! publishes the step of each rollout. Front ends split traffic between the versions by a hash of a sticky key. Callers
//! pass the time.

pub mod coordinator;
pub mod evidence;
pub mod forecast;
pub mod frontend;
pub mod plan;
pub mod sequential;
pub mod split;
pub mod state;

pub use coordinator::Coordinator;
pub use evidence::{Cohort, Counts, EvidenceDelta, StratumKey};
pub use frontend::{ResolvedVersion, RolloutAssignment, TrafficSplit};
pub use plan::Plan;
pub use state::{Epoch, Phase, PublishedState, Rollout};
