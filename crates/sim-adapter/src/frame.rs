//! Reading and writing the fields of a frame: little-endian, without padding.

use std::fmt;

/// What is wrong with the input, and where: the record's place in its batch and the byte in the frame.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed {
    pub record: usize,
    pub byte: usize,
    pub what: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "record {}, byte {}: {}",
            self.record, self.byte, self.what
        )
    }
}

/// A cursor over part of a frame.
#[derive(Clone)]
pub struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
    base: usize,
    record: usize,
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8], base: usize, record: usize) -> Self {
        Fields {
            bytes,
            at: 0,
            base,
            record,
        }
    }

    pub fn fault(&self, what: impl Into<String>) -> Malformed {
        Malformed {
            record: self.record,
            byte: self.base + self.at,
            what: what.into(),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.at == self.bytes.len()
    }

    pub fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        let rest = &self.bytes[self.at..];
        if rest.len() < n {
            return Err(self.fault(format!("{n} bytes wanted, {} left", rest.len())));
        }
        self.at += n;
        Ok(&rest[..n])
    }

    /// The next `n` bytes as a cursor of their own.
    pub fn part(&mut self, n: usize, record: usize) -> Result<Fields<'a>, Malformed> {
        let base = self.base + self.at;
        Ok(Fields::new(self.take(n)?, base, record))
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        Ok(self
            .take(N)?
            .try_into()
            .expect("take gives as many bytes as asked"))
    }

    pub fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(self.array::<1>()?[0])
    }
    pub fn u16(&mut self) -> Result<u16, Malformed> {
        self.array().map(u16::from_le_bytes)
    }
    pub fn u32(&mut self) -> Result<u32, Malformed> {
        self.array().map(u32::from_le_bytes)
    }
    pub fn u64(&mut self) -> Result<u64, Malformed> {
        self.array().map(u64::from_le_bytes)
    }
    pub fn f32(&mut self) -> Result<f32, Malformed> {
        self.array().map(f32::from_le_bytes)
    }
    pub fn seconds(&mut self) -> Result<f64, Malformed> {
        Ok(self.u64()? as f64 / 1e9)
    }
    pub fn executor(
        &mut self,
    ) -> Result<orchidtally_dispatch_policy::interface::ExecutorId, Malformed> {
        let address: [u8; 4] = self.array()?;
        Ok(orchidtally_dispatch_policy::interface::ExecutorId(
            address.into(),
            self.u16()?,
        ))
    }
}
