//! Reading the fields of a frame: little-endian, without padding.

use crate::codes::{endpoint_state, status};
use crate::error::{FrameError, MalformedFrame};
use orchidtally_dispatch_policy::interface::{DispatchStatus, Endpoint, EndpointState, ExecutorId};

/// Nanoseconds in a second.
const NANOSECONDS: f64 = 1e9;

/// A cursor over part of a frame.
#[derive(Clone)]
pub(crate) struct Fields<'a> {
    bytes: &'a [u8],
    position: usize,
    /// Position of the part in its frame.
    base: usize,
    /// Number of the record.
    record: usize,
}

impl<'a> Fields<'a> {
    /// A cursor over bytes that begin at `base` of their frame and belong to a record.
    pub(crate) fn new(bytes: &'a [u8], base: usize, record: usize) -> Self {
        Fields {
            bytes,
            position: 0,
            base,
            record,
        }
    }

    /// An error at the cursor.
    pub(crate) fn error(&self, reason: FrameError) -> MalformedFrame {
        MalformedFrame {
            record: self.record,
            byte: self.base + self.position,
            reason,
        }
    }

    /// An error at the first byte of the part.
    pub(crate) fn error_at_start(&self, reason: FrameError) -> MalformedFrame {
        MalformedFrame {
            record: self.record,
            byte: self.base,
            reason,
        }
    }

    /// Whether nothing is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// The next `length` bytes.
    pub(crate) fn bytes(&mut self, length: usize) -> Result<&'a [u8], MalformedFrame> {
        let rest = &self.bytes[self.position..];
        let Some(bytes) = rest.get(..length) else {
            return Err(self.error(FrameError::TooShort {
                wanted: length,
                left: rest.len(),
            }));
        };
        self.position += length;
        Ok(bytes)
    }

    /// The next `length` bytes as a cursor of their own, for a record.
    pub(crate) fn part(
        &mut self,
        length: usize,
        record: usize,
    ) -> Result<Fields<'a>, MalformedFrame> {
        let base = self.base + self.position;
        Ok(Fields::new(self.bytes(length)?, base, record))
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

    /// A time in seconds, sent in nanoseconds.
    pub(crate) fn seconds(&mut self) -> Result<f64, MalformedFrame> {
        Ok(self.u64()? as f64 / NANOSECONDS)
    }

    /// Address and port of an executor.
    pub(crate) fn executor(&mut self) -> Result<ExecutorId, MalformedFrame> {
        let address: [u8; 4] = self.array()?;
        Ok(ExecutorId(address.into(), self.u16()?))
    }

    /// How a dispatch, a load command or a health check ended.
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

    /// The fields of a load report.
    pub(crate) fn load_report(&mut self) -> Result<Vec<f32>, MalformedFrame> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }

    /// An entry of an endpoint list.
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
            // 0 stands for long ago.
            started_at: if started_at > 0.0 {
                started_at
            } else {
                f64::NEG_INFINITY
            },
        })
    }
}
