//! The state that the dispatch policy keeps between inputs: records and the indices over them. Decisions are made in
//! [`dispatch`](crate::dispatch).

mod endpoint_updates;
mod executor;
mod executor_table;
mod function;
mod function_table;
mod groups;
mod index;
mod invocation_table;
mod kind_stats;
mod load_changes;
mod load_tree;
mod open_invocation;
mod outlier_stats;
mod ranking;
mod ready_sets;
mod regions;
mod sampling;
mod statistics;
mod warm_replicas;
mod workload;

pub use endpoint_updates::apply_endpoint_update;
pub use executor::{Executor, ExecutorDispatch, LoadEstimate};
pub use executor_table::ExecutorTable;
pub use function::{Function, LastWarm, Placement};
pub use function_table::{FUNCTION_BYTES, FunctionTable};
pub use index::{ExecutorIndex, FunctionIndex, InvocationIndex};
pub use invocation_table::InvocationTable;
pub use open_invocation::{InFlightDispatch, OpenInvocation, PossibleExecution, Priority};
pub use outlier_stats::SampleRequirements;
pub use ranking::Ranking;
pub use regions::Regions;
pub use sampling::draw_two;
pub use statistics::{
    Backoff, DecayingMean, DecayingSum, Ordered, SlidingWindow, TokenBucket, quantile,
};
pub use warm_replicas::{WarmReplica, WarmReplicaSet};
pub use workload::Workload;
