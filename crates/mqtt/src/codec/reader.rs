//! Reads the primitive data types of the standards from the bytes of one packet.

use super::{Result, VARINT_BYTES, VARINT_CONTINUES, VARINT_VALUE, malformed};
use bytes::{Buf, Bytes};

/// The bytes of a packet, or of a part of it, that have not been read yet.
pub(super) struct Reader {
    bytes: Bytes,
}

impl Reader {
    pub(super) fn new(bytes: Bytes) -> Reader {
        Reader { bytes }
    }

    pub(super) fn has_remaining(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Takes all remaining bytes.
    pub(super) fn remaining(&mut self) -> Bytes {
        std::mem::take(&mut self.bytes)
    }

    pub(super) fn take(&mut self, length: usize) -> Result<Bytes> {
        if self.bytes.len() < length {
            malformed("the packet ends within a field")
        } else {
            Ok(self.bytes.split_to(length))
        }
    }

    pub(super) fn u8(&mut self) -> Result<u8> {
        Ok(self.take(1)?.get_u8())
    }

    pub(super) fn u16(&mut self) -> Result<u16> {
        Ok(self.take(2)?.get_u16())
    }

    pub(super) fn u32(&mut self) -> Result<u32> {
        Ok(self.take(4)?.get_u32())
    }

    /// Reads a byte that has to be 0 or 1.
    pub(super) fn flag(&mut self) -> Result<u8> {
        match self.u8()? {
            byte @ 0..=1 => Ok(byte),
            _ => malformed("a flag that is neither 0 nor 1"),
        }
    }

    /// Reads a two byte integer that must not be 0, such as a packet identifier.
    pub(super) fn nonzero_u16(&mut self) -> Result<u16> {
        match self.u16()? {
            0 => malformed("a zero value that the standard forbids"),
            value => Ok(value),
        }
    }

    /// Reads a variable byte integer. Encodings longer than the minimum are malformed.
    pub(super) fn varint(&mut self) -> Result<u32> {
        let mut value = 0u32;
        for position in 0..VARINT_BYTES {
            let byte = self.u8()?;
            value |= u32::from(byte & VARINT_VALUE) << (7 * position);
            if byte & VARINT_CONTINUES == 0 {
                return if position > 0 && byte == 0 {
                    malformed("a variable byte integer in more bytes than needed")
                } else {
                    Ok(value)
                };
            }
        }
        malformed("a variable byte integer of more than four bytes")
    }

    /// Reads length-prefixed binary data.
    pub(super) fn binary(&mut self) -> Result<Bytes> {
        let length = self.u16()?;
        self.take(length.into())
    }

    /// Reads a length-prefixed UTF-8 string.
    pub(super) fn text(&mut self) -> Result<String> {
        let bytes = self.binary()?;
        match std::str::from_utf8(&bytes) {
            Ok(text) if text.contains('\0') => malformed("a string with U+0000"),
            Ok(text) => Ok(text.to_owned()),
            Err(_) => malformed("a string that is not UTF-8"),
        }
    }
}
