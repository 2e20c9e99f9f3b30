//! Errors of the adapter.

use orchidtally_platform_config::SettingsError;
use std::io;
use thiserror::Error;

/// An error that ends the adapter before the end of its input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input could not be read or the output could not be written.
    #[error("batch {batch}: {source}")]
    Io {
        /// Number of the batch, from 0.
        batch: usize,
        /// What went wrong.
        source: io::Error,
    },
    /// A batch is malformed. No reply to it was written.
    #[error("batch {batch}, {source}")]
    Malformed {
        /// Number of the batch, from 0.
        batch: usize,
        /// What is wrong, and where.
        source: MalformedFrame,
    },
}

/// An error in a frame, with its position.
#[derive(Debug, Error)]
#[error("record {record}, byte {byte}: {reason}")]
pub struct MalformedFrame {
    /// Number of the record in its batch, from 0.
    pub record: usize,
    /// Position of the byte in the frame.
    pub byte: usize,
    /// What is wrong.
    #[source]
    pub reason: FrameError,
}

/// An error in a frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The input ends within the frame.
    #[error("the input ends within the frame")]
    Truncated,
    /// A field or record is longer than the rest of its record or frame.
    #[error("{needed} bytes needed, {remaining} remaining")]
    TooShort {
        /// Length of the field or record.
        needed: usize,
        /// Number of bytes that remain.
        remaining: usize,
    },
    /// The frame is longer than its records.
    #[error("trailing bytes after {records} records")]
    TrailingBytes {
        /// Number of records.
        records: usize,
    },
    /// An event has an unknown code.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// An event refers to an instance that was not started.
    #[error("instance {0} was never started")]
    UnknownInstance(u16),
    /// The settings of an instance are invalid.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// An invocation has an unknown trigger type.
    #[error("unknown trigger type {0}")]
    UnknownTriggerType(usize),
    /// A result has an unknown status.
    #[error("unknown status {0}")]
    UnknownStatus(u8),
    /// An entry of an endpoint list has an unknown state.
    #[error("unknown endpoint state {0}")]
    UnknownEndpointState(u8),
    /// An endpoint update has an unknown mode.
    #[error("unknown endpoint update mode {0}")]
    UnknownUpdateMode(u8),
    /// The number of an endpoint list is too large.
    #[error("endpoint list number {0} is too large")]
    ListOutOfRange(usize),
    /// An endpoint update refers to a list that was not received.
    #[error("endpoint list {0} was never received")]
    MissingList(usize),
}
