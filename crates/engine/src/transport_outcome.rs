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
    NoLocalResource,
    /// All connections that may be opened stayed full for the time that a dispatch waits for them.
    Saturated,
    /// The connection broke before a byte of the dispatch was handed to the kernel.
    NothingWritten,
    /// The peer refused the stream without processing it (REFUSED_STREAM).
    StreamRefused,
    /// The closing peer named a lower stream as the last that it processes (GOAWAY).
    AboveLastStreamId,
    /// The stream was reset for any other reason.
    StreamReset,
    /// The connection ended after bytes of the dispatch were handed to the kernel.
    ConnectionLost,
    /// The response could not be decoded. The executor is reachable, and may have run the dispatch.
    MalformedResponse,
    /// The connection was closed because of another dispatch, while the executor's other connections are open.
    ClosedForOtherDispatch,
    /// No response came in time.
    TimedOut,
    /// It was withdrawn before it was handed to a connection.
    NeverSent,
}

/// The status of a dispatch. Only two kinds of proof let it count as never run: a response that says so, and a dispatch
/// that the peer can't have processed. An end of file proves nothing: the bytes may have been read before it.
pub fn dispatch_status(outcome: TransportOutcome) -> DispatchStatus {
    match outcome {
        TransportOutcome::Answered(status) => status,
        TransportOutcome::NoConnection | TransportOutcome::NothingWritten => {
            DispatchStatus::ConnectFailed
        }
        TransportOutcome::Saturated
        | TransportOutcome::StreamRefused
        | TransportOutcome::AboveLastStreamId => DispatchStatus::Full,
        // Not a reset, which would suggest that the executor has restarted.
        TransportOutcome::MalformedResponse => DispatchStatus::Error,
        TransportOutcome::ClosedForOtherDispatch => DispatchStatus::Cancelled,
        TransportOutcome::StreamReset | TransportOutcome::ConnectionLost => DispatchStatus::Reset,
        TransportOutcome::TimedOut => DispatchStatus::TimedOut,
        TransportOutcome::NeverSent | TransportOutcome::NoLocalResource => {
            DispatchStatus::NeverSent
        }
    }
}
