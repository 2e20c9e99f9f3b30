//! Which ends of a dispatch prove that it never ran, and which may mean that the executor has restarted.

use orchidtally_dispatch_policy::interface::DispatchStatus;
use orchidtally_engine::evidence::{Transport, ending};

#[test]
fn only_proofs_count_as_never_run() {
    let table = [
        (Transport::Answered(DispatchStatus::Ok), false),
        (Transport::Answered(DispatchStatus::Error), false),
        (Transport::Answered(DispatchStatus::Full), true),
        (Transport::Answered(DispatchStatus::Miss), true),
        (Transport::NoConnection, true),
        (Transport::Saturated, true),
        (Transport::Unwritten, true),
        (Transport::Refused, true),
        (Transport::AboveLast, true),
        (Transport::Reset, false),
        (Transport::Broken, false),
        (Transport::Malformed, false),
        (Transport::Cut, false),
        (Transport::TimedOut, false),
        (Transport::Withheld, true),
    ];
    for (seen, never_ran) in table {
        assert_eq!(ending(seen).never_ran(), never_ran, "{seen:?}");
        // Only these say that the executor may have just started anew, cold: one whose answer was spoilt, or
        // that has other connections standing, is there.
        let may_be_new = [
            Transport::NoConnection,
            Transport::Unwritten,
            Transport::Reset,
            Transport::Broken,
        ];
        let may_be_restarted = matches!(
            ending(seen),
            DispatchStatus::Reset | DispatchStatus::ConnectFailed
        );
        assert_eq!(may_be_restarted, may_be_new.contains(&seen), "{seen:?}");
    }
}
