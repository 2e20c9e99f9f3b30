//! What the end of a dispatch proves. This is the one place that separates dispatches that never ran from those that
//! may have run.

use orchidtally_dispatch_policy::interface::DispatchStatus;

/// How a dispatch ended on its connection, as the transport saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransportOutcome {
    /// The executor's response, which was read completely.
    Answered(DispatchStatus),
    /// No connection was made in time: refused, unreachable, or no handshake.
    NoConnection,
    /// This machine could not open a connection, which says nothing about the executor.
    NoResource,
    /// All connections that may be opened stayed full for the time that a dispatch waits for them.
    Saturated,
    /// The connection broke before a byte of the dispatch was handed to the kernel.
    Unwritten,
    /// The peer refused the stream without processing it (REFUSED_STREAM).
    Refused,
    /// The closing peer named a lower stream as the last that it processes (GOAWAY).
    AboveLast,
    /// The stream was reset for any other reason.
    Reset,
    /// The connection ended after bytes of the dispatch were handed to the kernel.
    Broken,
    /// The response could not be decoded. The executor is reachable, and may have run the dispatch.
    Malformed,
    /// The connection was closed because of another dispatch, while the executor's other connections are open.
    Cut,
    /// No response came in time.
    TimedOut,
    /// It was withdrawn before it was handed to a connection.
    Withheld,
}

/// The status of a dispatch. Only two kinds of proof let it count as never run: a response that says so, and a dispatch
/// that the peer can't have processed. An end of file proves nothing: the bytes may have been read before it.
pub fn dispatch_status(seen: TransportOutcome) -> DispatchStatus {
    match seen {
        TransportOutcome::Answered(ending) => ending,
        TransportOutcome::NoConnection | TransportOutcome::Unwritten => {
            DispatchStatus::ConnectFailed
        }
        TransportOutcome::Saturated | TransportOutcome::Refused | TransportOutcome::AboveLast => {
            DispatchStatus::Full
        }
        // Not a reset, which would suggest that the executor has restarted.
        TransportOutcome::Malformed => DispatchStatus::Error,
        TransportOutcome::Cut => DispatchStatus::Cancelled,
        TransportOutcome::Reset | TransportOutcome::Broken => DispatchStatus::Reset,
        TransportOutcome::TimedOut => DispatchStatus::TimedOut,
        TransportOutcome::Withheld | TransportOutcome::NoResource => DispatchStatus::NeverSent,
    }
}
