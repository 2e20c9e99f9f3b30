//! The keys of entries, digests, the generation and front ends' reports in the store.
//!
//! ```text
//! <prefix>entries/<bucket, 4 hex digits>/<kind>/<name>   one JSON document
//! <prefix>digests/<group, 2 hex digits>                  digests of the group's buckets
//! <prefix>generation                                     {"format":1,"generation":N}
//! <prefix>reports/<front end>                            a report, under the front end's own lease
//! ```
//!
//! A bucket is a contiguous range of keys, so that a single range request can read it.

use std::fmt;
use std::sync::Arc;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets over which entries are distributed by a hash of their key. The number is part of [`FORMAT`] 1.
pub const BUCKET_COUNT: usize = 1_024;
/// Number of buckets whose digests share a key of the store.
pub const BUCKETS_PER_GROUP: usize = 32;
/// Number of keys that contain digests.
pub const GROUP_COUNT: usize = BUCKET_COUNT / BUCKETS_PER_GROUP;
/// Maximum length of a key in bytes: of its kind, slash and name together.
pub const MAX_KEY_BYTES: usize = 256;
/// The format of keys and values that this crate reads and writes.
pub const FORMAT: u32 = 1;

/// Why a text isn't the key of an entry.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EntryKeyError {
    /// The text has no slash.
    #[error("'{0}' has no kind; write it as KIND/NAME, such as functions/resize")]
    MissingKind(String),
    /// The kind or the name is empty.
    #[error("'{0}' has an empty kind or name; write it as KIND/NAME, such as functions/resize")]
    Empty(String),
    /// The text is longer than [`MAX_KEY_BYTES`]; its length in bytes.
    #[error("the key has {0} bytes; at most {MAX_KEY_BYTES} are allowed, choose a shorter name")]
    TooLong(usize),
    /// The text has a control character.
    #[error("the key contains a control character; use printable characters only")]
    ControlCharacter,
}

/// The logical key of an entry, `KIND/NAME`; cheap to clone.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryKey(Arc<str>);

impl EntryKey {
    /// Parses `KIND/NAME`. The name may have further slashes.
    ///
    /// # Errors
    ///
    /// If the text isn't of this form.
    pub fn parse(text: &str) -> Result<EntryKey, EntryKeyError> {
        let Some((kind, name)) = text.split_once('/') else {
            return Err(EntryKeyError::MissingKind(
                text.chars().take(MAX_KEY_BYTES).collect(),
            ));
        };
        if kind.is_empty() || name.is_empty() {
            return Err(EntryKeyError::Empty(
                text.chars().take(MAX_KEY_BYTES).collect(),
            ));
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(EntryKeyError::TooLong(text.len()));
        }
        if text.chars().any(char::is_control) {
            return Err(EntryKeyError::ControlCharacter);
        }
        Ok(EntryKey(text.into()))
    }

    /// The key of an entry of this kind and name.
    ///
    /// # Errors
    ///
    /// As for [`EntryKey::parse`].
    pub fn new(kind: &str, name: &str) -> Result<EntryKey, EntryKeyError> {
        EntryKey::parse(&format!("{kind}/{name}"))
    }

    /// The key as text, `KIND/NAME`.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The part before the first slash.
    pub fn kind(&self) -> &str {
        self.0.split_once('/').map_or("", |(kind, _)| kind)
    }

    /// The part after the first slash.
    pub fn name(&self) -> &str {
        self.0.split_once('/').map_or("", |(_, name)| name)
    }

    /// The bucket of the entry, below [`BUCKET_COUNT`].
    pub fn bucket(&self) -> usize {
        bucket_of(&self.0)
    }
}

impl fmt::Debug for EntryKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Display for EntryKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::borrow::Borrow<str> for EntryKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// The bucket of a logical key, below [`BUCKET_COUNT`].
pub fn bucket_of(key: &str) -> usize {
    (xxh3_64(key.as_bytes()) % BUCKET_COUNT as u64) as usize
}

/// The digest group that a bucket belongs to, below [`GROUP_COUNT`].
pub fn group_of(bucket: usize) -> usize {
    bucket / BUCKETS_PER_GROUP
}

/// A half-open range of store keys, `[start, end)`, as in range requests and watches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// The first key.
    pub start: Vec<u8>,
    /// The first key after the range.
    pub end: Vec<u8>,
}

impl KeyRange {
    /// All keys with a prefix, which must not be empty or end in the byte 255.
    fn of_prefix(prefix: Vec<u8>) -> KeyRange {
        let mut end = prefix.clone();
        if let Some(last) = end.last_mut() {
            *last = last.saturating_add(1);
        }
        KeyRange { start: prefix, end }
    }

    /// The range from the start of this range to the end of `last`, which has to be a later range.
    pub fn through(self, last: KeyRange) -> KeyRange {
        KeyRange {
            start: self.start,
            end: last.end,
        }
    }

    /// The part of the range that follows a key.
    pub fn after(&self, key: &[u8]) -> KeyRange {
        KeyRange {
            start: [key, &[0]].concat(),
            end: self.end.clone(),
        }
    }
}

/// Builds and parses the store's keys under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keyspace {
    prefix: String,
}

impl Keyspace {
    /// The keys under `prefix`, which usually ends with a slash.
    pub fn new(prefix: impl Into<String>) -> Keyspace {
        Keyspace {
            prefix: prefix.into(),
        }
    }

    /// The prefix of all keys.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// The key of an entry in the store.
    pub fn entry(&self, key: &EntryKey) -> Vec<u8> {
        format!("{}entries/{:04x}/{}", self.prefix, key.bucket(), key).into_bytes()
    }

    /// The range that contains only the key of one entry.
    pub fn entry_alone(&self, key: &EntryKey) -> KeyRange {
        let start = self.entry(key);
        let end = [&start[..], &[0]].concat();
        KeyRange { start, end }
    }

    /// The range of all entries, which front ends watch.
    pub fn entries(&self) -> KeyRange {
        KeyRange::of_prefix(format!("{}entries/", self.prefix).into_bytes())
    }

    /// The range of one bucket's entries.
    pub fn bucket(&self, bucket: usize) -> KeyRange {
        KeyRange::of_prefix(format!("{}entries/{bucket:04x}/", self.prefix).into_bytes())
    }

    /// The key of the digests of a group of buckets.
    pub fn digest(&self, group: usize) -> Vec<u8> {
        format!("{}digests/{group:02x}", self.prefix).into_bytes()
    }

    /// The range of all digests.
    pub fn digests(&self) -> KeyRange {
        KeyRange::of_prefix(format!("{}digests/", self.prefix).into_bytes())
    }

    /// The key of the generation, which barriers read.
    pub fn generation(&self) -> Vec<u8> {
        format!("{}generation", self.prefix).into_bytes()
    }

    /// The key of a front end's report.
    pub fn report(&self, front_end: &str) -> Vec<u8> {
        format!("{}reports/{front_end}", self.prefix).into_bytes()
    }

    /// The range of all reports.
    pub fn reports(&self) -> KeyRange {
        KeyRange::of_prefix(format!("{}reports/", self.prefix).into_bytes())
    }

    /// The logical key of an entry's key in the store; `None` for other keys and keys in a wrong bucket.
    pub fn parse_entry(&self, store_key: &[u8]) -> Option<EntryKey> {
        let text = std::str::from_utf8(store_key).ok()?;
        let rest = text.strip_prefix(&self.prefix)?.strip_prefix("entries/")?;
        let (bucket, logical) = rest.split_once('/')?;
        let key = EntryKey::parse(logical).ok()?;
        (bucket == format!("{:04x}", key.bucket())).then_some(key)
    }

    /// The digest group of a key in the store.
    pub fn parse_digest(&self, store_key: &[u8]) -> Option<usize> {
        let text = std::str::from_utf8(store_key).ok()?;
        let group = text.strip_prefix(&self.prefix)?.strip_prefix("digests/")?;
        usize::from_str_radix(group, 16)
            .ok()
            .filter(|group| *group < GROUP_COUNT)
    }
}
