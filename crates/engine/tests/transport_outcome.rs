//! Which ends of a dispatch prove that it never ran, and which may mean that the executor has restarted.

use orchidtally_dispatch_policy::interface::DispatchStatus;
use orchidtally_engine::transport_outcome::{TransportOutcome, dispatch_status};

#[test]
fn only_proofs_count_as_never_run() {
    let table = [
        (TransportOutcome::Answered(DispatchStatus::Ok), false),
        (TransportOutcome::Answered(DispatchStatus::Error), false),
        (TransportOutcome::Answered(DispatchStatus::Full), true),
        (TransportOutcome::Answered(DispatchStatus::Miss), true),
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
    for (seen, never_ran) in table {
        assert_eq!(dispatch_status(seen).never_ran(), never_ran, "{seen:?}");
        // Only these say that the executor may have just started anew, cold: one whose answer was spoilt, or
        // that has other connections standing, is there.
        let may_be_new = [
            TransportOutcome::NoConnection,
            TransportOutcome::NothingWritten,
            TransportOutcome::StreamReset,
            TransportOutcome::ConnectionLost,
        ];
        let may_be_restarted = matches!(
            dispatch_status(seen),
            DispatchStatus::Reset | DispatchStatus::ConnectFailed
        );
        assert_eq!(may_be_restarted, may_be_new.contains(&seen), "{seen:?}");
    }
}
