//! Faults of executors on the platform's protocol.

use crate::TimedFault;
use std::cell::Cell;

/// How an answer goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// The connection is reset before anything is begun.
    ResetUnread,
    /// It is reset within the answer.
    CutShort,
    /// Bytes that are no line of the protocol.
    Garbage,
    /// A body that is no base64.
    InvalidBody,
    /// The answer is sent twice.
    Duplicated,
    /// The answer is not sent.
    Dropped,
}

/// What a script may put on an executor.
#[derive(Default)]
pub struct Faults {
    /// Nothing is sent while this is active.
    pub(super) silent: TimedFault,
    /// What goes wrong with answers, and the chance that it does.
    pub response_fault: Cell<Option<(ResponseFault, f64)>>,
}
