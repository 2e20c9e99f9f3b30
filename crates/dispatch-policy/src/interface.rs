//! Inputs and outputs of the dispatch policy. All times are in seconds on the caller's clock.

pub use crate::actions::{Actions, TableSizes};
pub use crate::dispatch_result::{DispatchResult, DispatchStatus, ReplicaState};
pub use crate::endpoint::{
    Endpoint, EndpointState, EndpointUpdateKind, ExecutorId, MembershipView,
};
pub use crate::invocation::{Invocation, PrewarmRequest};
pub use crate::policy_config::{
    ConfigError, DeduplicationScope, Idempotency, PolicyConfig, TriggerType, check_quotas,
};
