//! Errors of the adapter.

use orchidtally_platform_config::SettingsError;
use std::io;
use thiserror::Error;

/// Why the adapter ended before its input did.
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
    /// A batch is malformed; nothing of it was answered.
    #[error("batch {batch}, {source}")]
    Malformed {
        /// Number of the batch, from 0.
        batch: usize,
        /// What is wrong, and where.
        source: MalformedFrame,
    },
}

/// What is wrong with a frame, and where.
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

/// What is wrong with a frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The input ends within the frame.
    #[error("the frame is cut short")]
    CutShort,
    /// A field or record is longer than what is left of its record or frame.
    #[error("{wanted} bytes wanted, {left} left")]
    TooShort {
        /// Length of the field or record.
        wanted: usize,
        /// Bytes that are left.
        left: usize,
    },
    /// The frame is longer than its records.
    #[error("bytes left over after {records} records")]
    TrailingBytes {
        /// Number of records.
        records: usize,
    },
    /// No event has the code.
    #[error("no event has code {0}")]
    UnknownEvent(u8),
    /// An event is for an instance that was not started.
    #[error("instance {0} was never started")]
    UnknownInstance(u16),
    /// The settings of an instance are invalid.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// No trigger type has the index.
    #[error("no trigger type has number {0}")]
    UnknownTriggerType(usize),
    /// No status has the code.
    #[error("no status has code {0}")]
    UnknownStatus(u8),
    /// No state of an executor has the code.
    #[error("no endpoint state has code {0}")]
    UnknownEndpointState(u8),
    /// No endpoint update has the mode.
    #[error("no endpoint update has mode {0}")]
    UnknownUpdateMode(u8),
    /// The number of an endpoint list is too large.
    #[error("no list can have number {0}")]
    UnknownList(usize),
    /// An endpoint list takes effect that was not received.
    #[error("list {0} was never given")]
    MissingList(usize),
}
