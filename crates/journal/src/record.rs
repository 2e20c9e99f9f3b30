//! The format of the files: records with their length and checksum, and the entries within a record.

use std::io;
use std::path::Path;

/// The first bytes of each file; the last of them is the version of the format.
pub(crate) const MAGIC: [u8; 8] = *b"orchjrn2";
/// Length and checksum before each record, in bytes.
const RECORD_HEADER_LENGTH: usize = 8;
/// The longest record or snapshot, in bytes.
pub const MAX_RECORD_LENGTH: usize = 64 * 1024 * 1024;

fn checksum(length: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_be_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Encodes a record with a body.
///
/// # Errors
///
/// `InvalidInput` if the body is longer than [`MAX_RECORD_LENGTH`].
pub(crate) fn encode_record(body: &[u8]) -> io::Result<Vec<u8>> {
    if body.len() > MAX_RECORD_LENGTH {
        let message = format!(
            "an entry of {} bytes exceeds the limit of {MAX_RECORD_LENGTH} bytes",
            body.len()
        );
        return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
    }
    let length = body.len() as u32;
    let mut record = Vec::with_capacity(RECORD_HEADER_LENGTH + body.len());
    record.extend(length.to_be_bytes());
    record.extend(checksum(length, body).to_be_bytes());
    record.extend(body);
    Ok(record)
}

/// Decodes the record at the start of `bytes`; returns its body if it is complete and its checksum matches.
pub(crate) fn decode_record(bytes: &[u8]) -> Option<&[u8]> {
    let (header, rest) = bytes.split_first_chunk::<RECORD_HEADER_LENGTH>()?;
    let [a, b, c, d, expected_checksum @ ..] = *header;
    let length = u32::from_be_bytes([a, b, c, d]);
    let body = rest
        .get(..length as usize)
        .filter(|body| body.len() <= MAX_RECORD_LENGTH)?;
    (checksum(length, body) == u32::from_be_bytes(expected_checksum)).then_some(body)
}

/// Encodes the body of a record from its entries, each preceded by its length.
///
/// # Errors
///
/// If the length of an entry doesn't fit 32 bits.
pub(crate) fn join_entries(entries: &[impl AsRef<[u8]>]) -> io::Result<Vec<u8>> {
    let mut body = vec![];
    for entry in entries {
        let entry = entry.as_ref();
        let length = u32::try_from(entry.len()).map_err(io::Error::other)?;
        body.extend(length.to_be_bytes());
        body.extend(entry);
    }
    Ok(body)
}

/// Decodes the entries of a record's body.
fn split_entries(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut entries = vec![];
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let length = u32::from_be_bytes(*length) as usize;
        entries.push(rest.get(..length)?.to_vec());
        body = &rest[length..];
    }
    Some(entries)
}

/// The complete records at the start of a log file.
#[derive(Debug, Default)]
pub(crate) struct DecodedLog {
    pub(crate) entries: Vec<Vec<u8>>,
    /// Bytes of the complete records.
    pub(crate) length: usize,
}

/// Decodes the bytes of the log file `path` after its magic number.
///
/// # Errors
///
/// `InvalidData` if complete records follow an incomplete one: an interrupted append can only be the last record, so
/// this is damage, which is reported and not truncated.
pub(crate) fn decode_log(bytes: &[u8], path: &Path) -> io::Result<DecodedLog> {
    let mut log = DecodedLog::default();
    while let Some(body) = decode_record(&bytes[log.length..]) {
        let Some(entries) = split_entries(body) else {
            break;
        };
        log.entries.extend(entries);
        log.length += RECORD_HEADER_LENGTH + body.len();
    }
    let is_complete_record = |start: &usize| {
        decode_record(&bytes[*start..])
            .and_then(split_entries)
            .is_some_and(|entries| !entries.is_empty())
    };
    if let Some(next) = (log.length + 1..bytes.len()).find(is_complete_record) {
        let damaged_at = MAGIC.len() + log.length;
        let next = MAGIC.len() + next;
        return Err(invalid_data(
            path,
            &format!("damaged at byte {damaged_at}: complete records follow from byte {next}"),
        ));
    }
    Ok(log)
}

pub(crate) fn invalid_data(path: &Path, problem: &str) -> io::Error {
    let message = format!("{}: {problem}", path.display());
    io::Error::new(io::ErrorKind::InvalidData, message)
}
