//! Writes the primitive data types of the standards.

use super::{CodecError, Result, VARINT_CONTINUES, VARINT_VALUE};

/// Appends a variable byte integer.
pub(super) fn put_varint(out: &mut Vec<u8>, mut value: usize) {
    loop {
        let byte = value as u8 & VARINT_VALUE;
        value >>= 7;
        if value == 0 {
            out.push(byte);
            return;
        }
        out.push(byte | VARINT_CONTINUES);
    }
}

/// Appends length-prefixed binary data.
pub(super) fn put_binary(out: &mut Vec<u8>, bytes: &[u8]) -> Result<()> {
    let length = u16::try_from(bytes.len())
        .map_err(|_| CodecError::Malformed("a field longer than 65535 bytes"))?;
    out.extend(length.to_be_bytes());
    out.extend(bytes);
    Ok(())
}
