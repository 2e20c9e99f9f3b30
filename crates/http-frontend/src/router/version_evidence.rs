//! Evidence on versions under rollout, from the final answers of their invocations.

use super::Router;
use super::exchange::Timing;
use super::invocation::{Client, FinalAnswer};
use orchidtally_deployment::Version;
use orchidtally_dispatch_policy::interface::Idempotency;
use orchidtally_engine::FailureReason;
use orchidtally_rollout::frontend::{InvocationOutcome, may_migrate};
use orchidtally_rollout::{Cohort, RolloutAssignment};

/// Adds the final answer of an invocation to the evidence on its version. Returns the old version where the invocation
/// may migrate to it: its own was rolled back and the answer is a failure.
pub(super) fn add_evidence(
    router: &Router,
    client: &Client,
    rollout_assignment: &RolloutAssignment,
    answer: &FinalAnswer,
    timing: Option<Timing>,
) -> Option<Version> {
    let mut traffic_split = router.traffic_split.borrow_mut();
    let context = &client.context;
    let (outcome, may_have_run) = match answer {
        FinalAnswer::Succeeded(_) => {
            let Timing { elapsed, is_warm } = timing.unwrap_or(Timing {
                elapsed: 0.0,
                is_warm: false,
            });
            (
                InvocationOutcome::Succeeded {
                    latency: elapsed,
                    warm: is_warm,
                },
                true,
            )
        }
        FinalAnswer::Rejected { .. } => (InvocationOutcome::Throttled, false),
        FinalAnswer::Denied { may_have_run, .. } => (InvocationOutcome::Throttled, *may_have_run),
        FinalAnswer::Failed { may_have_run, .. } => (InvocationOutcome::Errored, *may_have_run),
    };
    if let FinalAnswer::Failed {
        reason: FailureReason::TimedOut,
        ..
    } = answer
        && context.last_executor.get() != 0
    {
        let counts_against_version = traffic_split.record_dispatch_failure(
            router.now(),
            context.last_executor.get(),
            client.request.function,
            true,
        );
        context
            .version_failed
            .set(context.version_failed.get() | counts_against_version);
    }
    traffic_split.record_outcome(rollout_assignment, outcome, context.version_failed.get());
    let has_failed = !matches!(outcome, InvocationOutcome::Succeeded { .. });
    let is_idempotent = context.trigger_type.policy.idempotency == Idempotency::Idempotent;
    let migrates = has_failed
        && may_migrate(is_idempotent, may_have_run)
        && rollout_assignment.cohort == Cohort::Canary;
    traffic_split
        .rollback_target(rollout_assignment.run)
        .filter(|_| migrates)
}
