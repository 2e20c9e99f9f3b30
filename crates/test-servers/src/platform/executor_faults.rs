//! Faults of executors on the platform's protocol.

use crate::TimedFault;
use std::cell::Cell;

/// A fault in an executor's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// The connection is closed before the function is loaded or executed.
    ResetUnread,
    /// The connection is closed in the middle of the response.
    CutShort,
    /// The response is replaced by bytes that are not a valid line of the protocol.
    Garbage,
    /// The response body is not valid base64.
    InvalidBody,
    /// The response is sent twice.
    Duplicated,
    /// The response is not sent.
    Dropped,
}

/// The faults that a test can inject into an executor.
#[derive(Default)]
pub struct Faults {
    /// No connection is served and no request is processed while this is active.
    pub(super) silent: TimedFault,
    /// The fault in responses, and its probability for each dispatch.
    pub response_fault: Cell<Option<(ResponseFault, f64)>>,
}
