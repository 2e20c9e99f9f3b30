//! What the end of a dispatch proves. This is the one place that tells what never ran from what may have.

use orchidtally_dispatch_policy::interface::Ending;

/// How a dispatch ended on its connection, as the transport saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// The executor said it in an answer that was read whole.
    Answered(Ending),
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
pub fn ending(seen: Transport) -> Ending {
    match seen {
        Transport::Answered(ending) => ending,
        Transport::NoConnection | Transport::Unwritten => Ending::ConnectFailed,
        Transport::Saturated | Transport::Refused | Transport::AboveLast => Ending::Full,
        // Not a reset: that says of the executor that it may have just started anew.
        Transport::Malformed => Ending::Error,
        Transport::Cut => Ending::Cancelled,
        Transport::Reset | Transport::Broken => Ending::Reset,
        Transport::TimedOut => Ending::TimedOut,
        Transport::Withheld | Transport::NoResource => Ending::NeverSent,
    }
}
