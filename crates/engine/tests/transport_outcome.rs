//! Which outcomes prove that a dispatch never ran, and which suggest that the executor has restarted.

use orchidtally_dispatch_policy::interface::DispatchStatus;
use orchidtally_engine::transport_outcome::{TransportOutcome, dispatch_status};

#[test]
fn only_provably_unprocessed_dispatches_count_as_never_run() {
    let table = [
        (TransportOutcome::Answered(DispatchStatus::Ok), false),
        (TransportOutcome::Answered(DispatchStatus::Error), false),
        (TransportOutcome::Answered(DispatchStatus::Full), true),
        (TransportOutcome::Answered(DispatchStatus::NotLoaded), true),
        (TransportOutcome::NoConnection, true),
        (TransportOutcome::Saturated, true),
        (TransportOutcome::NothingWritten, true),
        (TransportOutcome::StreamRefused, true),
        (TransportOutcome::AboveLastStreamId, true),
        (TransportOutcome::StreamReset, false),
        (TransportOutcome::ConnectionLost, false),
        (TransportOutcome::MalformedResponse, false),
        (TransportOutcome::ClosedForOtherDispatch, false),
        (TransportOutcome::TimedOut, false),
        (TransportOutcome::NeverSent, true),
    ];
    for (outcome, never_ran) in table {
        assert_eq!(
            dispatch_status(outcome).never_ran(),
            never_ran,
            "{outcome:?}"
        );
        // Only these outcomes suggest that the executor has restarted and is cold. An executor that sent a malformed
        // response or keeps other connections open is still running.
        let restart_outcomes = [
            TransportOutcome::NoConnection,
            TransportOutcome::NothingWritten,
            TransportOutcome::StreamReset,
            TransportOutcome::ConnectionLost,
        ];
        let may_be_restarted = matches!(
            dispatch_status(outcome),
            DispatchStatus::Reset | DispatchStatus::ConnectFailed
        );
        assert_eq!(
            may_be_restarted,
            restart_outcomes.contains(&outcome),
            "{outcome:?}"
        );
    }
}
