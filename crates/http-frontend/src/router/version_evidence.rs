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
    invoked: &RolloutAssignment,
    answer: &FinalAnswer,
    timing: Option<Timing>,
) -> Option<Version> {
    let mut traffic_split = router.traffic_split.borrow_mut();
    let work = &client.work;
    let (outcome, may_have_run) = match answer {
        FinalAnswer::Succeeded(_) => {
            let Timing { took, warm } = timing.unwrap_or(Timing {
                took: 0.0,
                warm: false,
            });
            (
                InvocationOutcome::Succeeded {
                    latency: took,
                    warm,
                },
                true,
            )
        }
        FinalAnswer::Rejected { .. } => (InvocationOutcome::Throttled, false),
        FinalAnswer::Refused { may_have_run, .. } => (InvocationOutcome::Throttled, *may_have_run),
        FinalAnswer::Failed { may_have_run, .. } => (InvocationOutcome::Errored, *may_have_run),
    };
    if let FinalAnswer::Failed {
        cause: FailureReason::TimedOut,
        ..
    } = answer
        && work.last.get() != 0
    {
        let counts = traffic_split.record_dispatch_failure(
            router.now(),
            work.last.get(),
            client.request.function,
            true,
        );
        work.failed.set(work.failed.get() | counts);
    }
    traffic_split.record_outcome(invoked, outcome, work.failed.get());
    let has_failed = !matches!(outcome, InvocationOutcome::Succeeded { .. });
    let is_idempotent = work.trigger_type.policy.idempotency == Idempotency::Idempotent;
    let moves =
        has_failed && may_migrate(is_idempotent, may_have_run) && invoked.cohort == Cohort::Canary;
    traffic_split.rollback_target(invoked.run).filter(|_| moves)
}
