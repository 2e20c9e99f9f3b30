//! Codes in the simulator's protocol.

/// Codes of records that the simulator sends.
pub(crate) mod event {
    /// A timer fired.
    pub(crate) const TIMER: u8 = 1;
    /// The response of an invocation has started.
    pub(crate) const RESPONSE_STARTED: u8 = 2;
    /// The result of a health check.
    pub(crate) const HEALTH_CHECK_RESULT: u8 = 3;
    /// An instance starts.
    pub(crate) const START: u8 = 4;
    /// An invocation arrives.
    pub(crate) const INVOCATION: u8 = 5;
    /// An endpoint list is delivered to an instance.
    pub(crate) const ENDPOINT_UPDATE: u8 = 6;
    /// The result of a dispatch.
    pub(crate) const DISPATCH_RESULT: u8 = 7;
    /// The entries of an endpoint list, to which later updates of any instance refer.
    pub(crate) const ENDPOINT_LIST: u8 = 8;
    /// An event that the policy does not use.
    pub(crate) const IGNORED: u8 = 9;
    /// The result of a load command.
    pub(crate) const LOAD_RESULT: u8 = 10;
    /// A client cancels its invocation.
    pub(crate) const CLIENT_CANCEL: u8 = 11;
    /// An instance stops.
    pub(crate) const STOP: u8 = 12;
}

/// Codes of records that the adapter sends in its replies.
pub(crate) mod action {
    /// Subscribes to the endpoint list.
    pub(crate) const SUBSCRIBE: u8 = b'A';
    /// Sends an invocation to an executor.
    pub(crate) const DISPATCH: u8 = b'B';
    /// Sends a health check to an executor.
    pub(crate) const HEALTH_CHECK: u8 = b'C';
    /// Answers an invocation with an error.
    pub(crate) const FAIL: u8 = b'D';
    /// Sets a timer.
    pub(crate) const SET_TIMER: u8 = b'H';
    /// Commands an executor to load a function.
    pub(crate) const LOAD: u8 = b'I';
    /// Cancels a dispatch.
    pub(crate) const CANCEL: u8 = b'K';
    /// Commands an executor to unload a function.
    pub(crate) const UNLOAD: u8 = b'M';
    /// Answers an invocation with a rejection.
    pub(crate) const REJECT: u8 = b'N';
}

/// Statuses with which a dispatch, a load command or a health check ends.
pub(crate) mod status {
    pub(crate) const OK: u8 = 0;
    pub(crate) const MISS: u8 = 1;
    pub(crate) const NEVER_SENT: u8 = 249;
    pub(crate) const CANCELLED: u8 = 250;
    pub(crate) const RESET: u8 = 251;
    pub(crate) const CONNECT_FAILED: u8 = 252;
    pub(crate) const TIMED_OUT: u8 = 253;
    pub(crate) const FULL: u8 = 254;
    pub(crate) const ERROR: u8 = 255;
}

/// States of an executor in an endpoint list.
pub(crate) mod endpoint_state {
    pub(crate) const READY: u8 = 0;
    pub(crate) const GONE: u8 = 1;
    pub(crate) const DRAINING: u8 = 3;
}

/// Modes of an endpoint update.
pub(crate) mod update_mode {
    pub(crate) const DELTA: u8 = 0;
    pub(crate) const FULL: u8 = 1;
    pub(crate) const FULL_AFTER_SUBSCRIPTION: u8 = 2;
    pub(crate) const FAILED: u8 = 3;
}

/// The state of a replica when a dispatch arrived. It occupies the lowest bits of a result's info word; the remaining
/// bits are the concurrency of the function.
pub(crate) mod replica_state {
    /// Number of bits.
    pub(crate) const BITS: u32 = 3;
    pub(crate) const MASK: u32 = (1 << BITS) - 1;
    pub(crate) const WARM: u32 = 1;
    pub(crate) const COLD_LOAD: u32 = 2;
    pub(crate) const JOINED_LOAD: u32 = 3;
    pub(crate) const LOAD_FAILED: u32 = 4;
}

/// Bits of an invocation's options field.
pub(crate) mod invocation_option {
    /// The field with the expected work is valid.
    pub(crate) const HAS_EXPECTED_WORK: u8 = 1;
    /// The client marks the invocation as a retry.
    pub(crate) const IS_RETRY: u8 = 2;
}
