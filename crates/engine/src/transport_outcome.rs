//! The outcomes of a dispatch on its connection, and their classification. [`dispatch_status`] alone decides which
//! dispatches provably never ran and which may have run.

use orchidtally_dispatch_policy::interface::DispatchStatus;

/// The end of a dispatch as the transport observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransportOutcome {
    /// The executor's response was read completely.
    Answered(DispatchStatus),
    /// No connection could be established in time: it was refused, the host was unreachable, or the handshake did not
    /// complete.
    NoConnection,
    /// This machine lacked the resources to open a connection, which says nothing about the executor.
    NoLocalResource,
    /// All permitted connections to the executor stayed full for as long as a dispatch may wait.
    Saturated,
    /// The connection broke before a byte of the dispatch was handed to the kernel.
    NothingWritten,
    /// The peer refused the stream without processing it (REFUSED_STREAM).
    StreamRefused,
    /// The peer closed the connection and named a lower last stream id (GOAWAY), so that it did not process the stream.
    AboveLastStreamId,
    /// The stream was reset for any other reason.
    StreamReset,
    /// The connection ended after bytes of the dispatch were handed to the kernel.
    ConnectionLost,
    /// The response could not be decoded. The executor is reachable, and may have run the dispatch.
    MalformedResponse,
    /// This front end closed the connection because of another dispatch, while other connections to the executor stay
    /// open.
    ClosedForOtherDispatch,
    /// No response came in time.
    TimedOut,
    /// The dispatch was withdrawn before it was passed to a connection.
    NeverSent,
}

/// Returns the status of a dispatch with a given outcome.
///
/// A dispatch counts as never run only if the executor's response says so or the peer can't have processed it. An end
/// of file proves neither, because the executor may have read the dispatch before it closed the connection.
pub fn dispatch_status(outcome: TransportOutcome) -> DispatchStatus {
    match outcome {
        TransportOutcome::Answered(status) => status,
        TransportOutcome::NoConnection | TransportOutcome::NothingWritten => {
            DispatchStatus::ConnectFailed
        }
        TransportOutcome::Saturated
        | TransportOutcome::StreamRefused
        | TransportOutcome::AboveLastStreamId => DispatchStatus::Full,
        // `Reset` would suggest that the executor has restarted.
        TransportOutcome::MalformedResponse => DispatchStatus::Error,
        TransportOutcome::ClosedForOtherDispatch => DispatchStatus::Cancelled,
        TransportOutcome::StreamReset | TransportOutcome::ConnectionLost => DispatchStatus::Reset,
        TransportOutcome::TimedOut => DispatchStatus::TimedOut,
        TransportOutcome::NeverSent | TransportOutcome::NoLocalResource => {
            DispatchStatus::NeverSent
        }
    }
}
