//! What the end of a dispatch proves. This is the one place that tells what never ran from what may have.

use orchidtally_dispatch_policy::interface::DispatchStatus;

/// How a dispatch ended on its connection, as the transport saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// The executor said it in an answer that was read whole.
    Answered(DispatchStatus),
    /// No connection stood in time: refused, unreachable, or no handshake.
    NoConnection,
    /// This machine could open no connection: it says nothing of the executor.
    NoResource,
    /// All connections that may be opened were full for as long as one waits for them.
    Saturated,
    /// The connection broke before a byte of the dispatch was handed to the kernel.
    Unwritten,
    /// The peer refused the stream as one it had not looked at.
    Refused,
    /// The closing peer named a lower stream as the last that it will have looked at.
    AboveLast,
    /// The stream was reset for any other reason.
    Reset,
    /// The connection ended after bytes of the dispatch were handed to the kernel.
    Broken,
    /// What came back could not be read as an answer. The executor is there, and may have run it.
    Malformed,
    /// The connection was given up or broke for another dispatch's sake, while the executor's others stand.
    Cut,
    /// Nothing came in time.
    TimedOut,
    /// It was withdrawn before it was given to a connection.
    Withheld,
}

/// Nothing but these proofs lets a dispatch count as never run: an answer that says so, and what the peer
/// can't have looked at. An end of file proves nothing: the bytes may have been read before it.
pub fn ending(seen: Transport) -> DispatchStatus {
    match seen {
        Transport::Answered(ending) => ending,
        Transport::NoConnection | Transport::Unwritten => DispatchStatus::ConnectFailed,
        Transport::Saturated | Transport::Refused | Transport::AboveLast => DispatchStatus::Full,
        // Not a reset: that says of the executor that it may have just started anew.
        Transport::Malformed => DispatchStatus::Error,
        Transport::Cut => DispatchStatus::Cancelled,
        Transport::Reset | Transport::Broken => DispatchStatus::Reset,
        Transport::TimedOut => DispatchStatus::TimedOut,
        Transport::Withheld | Transport::NoResource => DispatchStatus::NeverSent,
    }
}
