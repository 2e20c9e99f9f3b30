//! The snapshot on a front end's disk, from which it starts while the store is unreachable.
//!
//! Layout, all numbers big-endian:
//!
//! ```text
//! magic "OTCONFIG" | version u16 | cluster u64 | generation u64 | revision i64
//! | entries u32 | overrides u32 | length of the body u64 | body | CRC-32 of all before it u32
//! entry    = mod_revision i64 | key length u32 | document length u32 | key | document
//! override = revision of the blocked transaction i64 | entry, with document length u32::MAX if none is in force
//! ```
//!
//! Entries are those of the store. Overrides are keys whose last good document differs from the store's.

use crate::keys::EntryKey;
use crate::store_copy::{StoreCopy, StoredEntry};
use crate::view::View;
use std::sync::Arc;
use thiserror::Error;

const MAGIC: &[u8; 8] = b"OTCONFIG";
const VERSION: u16 = 1;
const HEADER_BYTES: usize = 8 + 2 + 8 + 8 + 8 + 4 + 4 + 8;
const CHECKSUM_BYTES: usize = 4;
/// The length field of an absent document.
const ABSENT: u32 = u32::MAX;

/// Why a snapshot can't be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// The file is truncated; its length in bytes.
    #[error(
        "the snapshot is truncated after {0} bytes; an earlier snapshot or the store is used instead"
    )]
    Truncated(usize),
    /// The file doesn't start with the magic number.
    #[error("the file is not a configuration snapshot; check the path")]
    NotASnapshot,
    /// The snapshot has another version of the format.
    #[error(
        "the snapshot has version {0}, but this program reads version {VERSION}; it is skipped"
    )]
    OtherVersion(u16),
    /// The checksum is wrong.
    #[error(
        "the snapshot's checksum doesn't match; an earlier snapshot or the store is used instead"
    )]
    Checksum,
    /// The body doesn't match the header.
    #[error("the snapshot's body is malformed; an earlier snapshot or the store is used instead")]
    Malformed,
    /// The snapshot exceeds the limits in the settings.
    #[error(
        "the snapshot has {entries} entries and {bytes} bytes, which exceeds the limits of this front end"
    )]
    TooLarge {
        /// Number of entries.
        entries: usize,
        /// Bytes of their keys and documents.
        bytes: usize,
    },
}

/// An entry whose last good document differs from the store's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Override {
    pub(crate) key: EntryKey,
    pub(crate) mod_revision: i64,
    /// The last good document; `None` if nothing was in force.
    pub(crate) document: Option<Arc<[u8]>>,
    /// The revision of the transaction that is rejected.
    pub(crate) blocked_revision: i64,
}

/// A decoded snapshot.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub(crate) cluster: u64,
    pub(crate) generation: u64,
    pub(crate) revision: i64,
    pub(crate) stored: StoreCopy,
    pub(crate) overrides: Vec<Override>,
}

/// The store and revision of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SnapshotOrigin {
    pub(crate) cluster: u64,
    pub(crate) generation: u64,
    pub(crate) revision: i64,
}

/// Encodes the store's entries, and the entries in force instead for blocked keys.
pub(crate) fn encode<'k, E>(
    origin: SnapshotOrigin,
    stored: &StoreCopy,
    view: &View<E>,
    blocked: impl Iterator<Item = (&'k EntryKey, i64)>,
) -> Vec<u8> {
    let mut body = Vec::with_capacity(stored.bytes() + stored.len() * 16);
    for entry in stored.iter() {
        put_entry(
            &mut body,
            &entry.key,
            entry.mod_revision,
            Some(&entry.document),
        );
    }
    let mut overrides = 0u32;
    for (key, blocked_revision) in blocked {
        body.extend_from_slice(&blocked_revision.to_be_bytes());
        let record = view.get(key.as_str());
        let mod_revision = record.map_or(0, |record| record.mod_revision);
        put_entry(
            &mut body,
            key,
            mod_revision,
            record.map(|record| &record.document),
        );
        overrides += 1;
    }
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len() + CHECKSUM_BYTES);
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&VERSION.to_be_bytes());
    bytes.extend_from_slice(&origin.cluster.to_be_bytes());
    bytes.extend_from_slice(&origin.generation.to_be_bytes());
    bytes.extend_from_slice(&origin.revision.to_be_bytes());
    bytes.extend_from_slice(&(stored.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&overrides.to_be_bytes());
    bytes.extend_from_slice(&(body.len() as u64).to_be_bytes());
    bytes.append(&mut body);
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_be_bytes());
    bytes
}

fn put_entry(body: &mut Vec<u8>, key: &EntryKey, mod_revision: i64, document: Option<&Arc<[u8]>>) {
    let length = document.map_or(ABSENT, |document| document.len() as u32);
    body.extend_from_slice(&mod_revision.to_be_bytes());
    body.extend_from_slice(&(key.as_str().len() as u32).to_be_bytes());
    body.extend_from_slice(&length.to_be_bytes());
    body.extend_from_slice(key.as_str().as_bytes());
    if let Some(document) = document {
        body.extend_from_slice(document);
    }
}

/// Decodes a snapshot.
///
/// # Errors
///
/// If the bytes aren't exactly one complete snapshot of this version.
pub(crate) fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    let mut header = Reader(bytes);
    let magic = header
        .take(MAGIC.len())
        .ok_or(SnapshotError::Truncated(bytes.len()))?;
    if magic != MAGIC {
        return Err(SnapshotError::NotASnapshot);
    }
    let truncated = || SnapshotError::Truncated(bytes.len());
    let version = u16::from_be_bytes(header.array().ok_or_else(truncated)?);
    if version != VERSION {
        return Err(SnapshotError::OtherVersion(version));
    }
    let cluster = u64::from_be_bytes(header.array().ok_or_else(truncated)?);
    let generation = u64::from_be_bytes(header.array().ok_or_else(truncated)?);
    let revision = i64::from_be_bytes(header.array().ok_or_else(truncated)?);
    let entries = u32::from_be_bytes(header.array().ok_or_else(truncated)?);
    let overrides = u32::from_be_bytes(header.array().ok_or_else(truncated)?);
    let length = u64::from_be_bytes(header.array().ok_or_else(truncated)?);
    let body = checked_body(bytes, length)?;
    let mut reader = Reader(body);
    let stored = read_stored(&mut reader, entries).ok_or(SnapshotError::Malformed)?;
    let overrides = read_overrides(&mut reader, overrides).ok_or(SnapshotError::Malformed)?;
    if !reader.0.is_empty() {
        return Err(SnapshotError::Malformed);
    }
    Ok(Snapshot {
        cluster,
        generation,
        revision,
        stored,
        overrides,
    })
}

/// The body, if its length and the checksum are right.
fn checked_body(bytes: &[u8], length: u64) -> Result<&[u8], SnapshotError> {
    let overhead = (HEADER_BYTES + CHECKSUM_BYTES) as u64;
    let expected = overhead
        .checked_add(length)
        .ok_or(SnapshotError::Malformed)?;
    if (bytes.len() as u64) < expected {
        return Err(SnapshotError::Truncated(bytes.len()));
    }
    if bytes.len() as u64 > expected {
        return Err(SnapshotError::Malformed);
    }
    let (checked, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
    if crc32fast::hash(checked).to_be_bytes() != checksum {
        return Err(SnapshotError::Checksum);
    }
    Ok(&checked[HEADER_BYTES..])
}

fn read_stored(reader: &mut Reader<'_>, count: u32) -> Option<StoreCopy> {
    let mut stored = StoreCopy::default();
    for _ in 0..count {
        let RawEntry {
            key,
            mod_revision,
            document,
        } = reader.read_entry()?;
        stored.put(StoredEntry {
            key,
            document: document?,
            mod_revision,
        });
    }
    (stored.len() == count as usize).then_some(stored)
}

fn read_overrides(reader: &mut Reader<'_>, count: u32) -> Option<Vec<Override>> {
    (0..count).map(|_| reader.read_override()).collect()
}

/// An encoded entry. The document may be absent in an override.
struct RawEntry {
    key: EntryKey,
    mod_revision: i64,
    document: Option<Arc<[u8]>>,
}

/// Reads from the start of some bytes; `None` if there are too few.
struct Reader<'b>(&'b [u8]);

impl<'b> Reader<'b> {
    fn take(&mut self, count: usize) -> Option<&'b [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.take(N)?.try_into().ok()
    }

    fn read_override(&mut self) -> Option<Override> {
        let blocked_revision = i64::from_be_bytes(self.array()?);
        let RawEntry {
            key,
            mod_revision,
            document,
        } = self.read_entry()?;
        Some(Override {
            key,
            mod_revision,
            document,
            blocked_revision,
        })
    }

    fn read_entry(&mut self) -> Option<RawEntry> {
        let mod_revision = i64::from_be_bytes(self.array()?);
        let key_length = u32::from_be_bytes(self.array()?);
        let document_length = u32::from_be_bytes(self.array()?);
        let key =
            EntryKey::parse(std::str::from_utf8(self.take(key_length as usize)?).ok()?).ok()?;
        if document_length == ABSENT {
            return Some(RawEntry {
                key,
                mod_revision,
                document: None,
            });
        }
        let document = self.take(document_length as usize)?;
        Some(RawEntry {
            key,
            mod_revision,
            document: Some(document.into()),
        })
    }
}
