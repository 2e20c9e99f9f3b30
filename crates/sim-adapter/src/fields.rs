//! Decoding of the fields of a frame, which are little-endian and without padding.

use crate::codes::{endpoint_state, status};
use crate::error::{FrameError, MalformedFrame};
use orchidtally_dispatch_policy::interface::{DispatchStatus, Endpoint, EndpointState, ExecutorId};

/// Nanoseconds per second.
const NANOS_PER_SECOND: f64 = 1e9;

/// Reads fields one after the other from a part of a frame.
#[derive(Clone)]
pub(crate) struct FieldReader<'a> {
    bytes: &'a [u8],
    position: usize,
    /// Offset of the part in its frame.
    frame_offset: usize,
    /// Number of the record that errors report.
    record: usize,
}

impl<'a> FieldReader<'a> {
    /// Creates a reader of bytes that start at `frame_offset` of their frame and belong to a record.
    pub(crate) fn new(bytes: &'a [u8], frame_offset: usize, record: usize) -> Self {
        FieldReader {
            bytes,
            position: 0,
            frame_offset,
            record,
        }
    }

    /// Creates an error at the current position.
    pub(crate) fn error(&self, reason: FrameError) -> MalformedFrame {
        MalformedFrame {
            record: self.record,
            byte: self.frame_offset + self.position,
            reason,
        }
    }

    /// Creates an error at the first byte of the part.
    pub(crate) fn error_at_start(&self, reason: FrameError) -> MalformedFrame {
        MalformedFrame {
            record: self.record,
            byte: self.frame_offset,
            reason,
        }
    }

    /// Returns whether all bytes were read.
    pub(crate) fn is_empty(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// Reads the next `length` bytes.
    pub(crate) fn bytes(&mut self, length: usize) -> Result<&'a [u8], MalformedFrame> {
        let rest = &self.bytes[self.position..];
        let Some(bytes) = rest.get(..length) else {
            return Err(self.error(FrameError::TooShort {
                needed: length,
                remaining: rest.len(),
            }));
        };
        self.position += length;
        Ok(bytes)
    }

    /// Returns a reader of the next `length` bytes, which belong to a record, and skips them.
    pub(crate) fn sub_reader(
        &mut self,
        length: usize,
        record: usize,
    ) -> Result<FieldReader<'a>, MalformedFrame> {
        let frame_offset = self.frame_offset + self.position;
        Ok(FieldReader::new(self.bytes(length)?, frame_offset, record))
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], MalformedFrame> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    pub(crate) fn u8(&mut self) -> Result<u8, MalformedFrame> {
        self.array().map(u8::from_le_bytes)
    }

    pub(crate) fn u16(&mut self) -> Result<u16, MalformedFrame> {
        self.array().map(u16::from_le_bytes)
    }

    pub(crate) fn u32(&mut self) -> Result<u32, MalformedFrame> {
        self.array().map(u32::from_le_bytes)
    }

    pub(crate) fn u64(&mut self) -> Result<u64, MalformedFrame> {
        self.array().map(u64::from_le_bytes)
    }

    pub(crate) fn f32(&mut self) -> Result<f32, MalformedFrame> {
        self.array().map(f32::from_le_bytes)
    }

    /// Reads a time in nanoseconds and converts it to seconds.
    pub(crate) fn seconds(&mut self) -> Result<f64, MalformedFrame> {
        Ok(self.u64()? as f64 / NANOS_PER_SECOND)
    }

    /// Reads the address and port of an executor.
    pub(crate) fn executor(&mut self) -> Result<ExecutorId, MalformedFrame> {
        let address: [u8; 4] = self.array()?;
        Ok(ExecutorId(address.into(), self.u16()?))
    }

    /// Reads the status of a dispatch, a load command or a health check.
    pub(crate) fn status(&mut self) -> Result<DispatchStatus, MalformedFrame> {
        Ok(match self.u8()? {
            status::OK => DispatchStatus::Ok,
            status::MISS => DispatchStatus::NotLoaded,
            status::NEVER_SENT => DispatchStatus::NeverSent,
            status::CANCELLED => DispatchStatus::Cancelled,
            status::RESET => DispatchStatus::Reset,
            status::CONNECT_FAILED => DispatchStatus::ConnectFailed,
            status::TIMED_OUT => DispatchStatus::TimedOut,
            status::FULL => DispatchStatus::Full,
            status::ERROR => DispatchStatus::Error,
            other => return Err(self.error(FrameError::UnknownStatus(other))),
        })
    }

    /// Reads the fields of a load report.
    pub(crate) fn load_report(&mut self) -> Result<Vec<f32>, MalformedFrame> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }

    /// Reads an entry of an endpoint list.
    pub(crate) fn endpoint(&mut self) -> Result<Endpoint, MalformedFrame> {
        let executor = self.executor()?;
        let zone = self.u8()?;
        let kind = self.u8()?;
        let cell = self.u16()?;
        let state = match self.u8()? {
            endpoint_state::READY => EndpointState::Ready,
            endpoint_state::DRAINING => EndpointState::Draining,
            endpoint_state::GONE => EndpointState::Gone,
            other => return Err(self.error(FrameError::UnknownEndpointState(other))),
        };
        let weight = f64::from(self.f32()?);
        let started_at = self.seconds()?;
        Ok(Endpoint {
            executor,
            zone,
            kind,
            cell,
            state,
            weight,
            // 0 means that the executor started long ago.
            started_at: if started_at > 0.0 {
                started_at
            } else {
                f64::NEG_INFINITY
            },
        })
    }
}
