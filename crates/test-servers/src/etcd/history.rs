//! All versions of all keys since the last compaction, and the event log in revision order.

use bytes::Bytes;
use orchidtally_etcd::rpc::event::EventType;
use orchidtally_etcd::rpc::{Event, KeyValue};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

type KeyBounds<'a> = (Bound<&'a [u8]>, Bound<&'a [u8]>);

/// The keys that a request selects: a single key, a half-open range, or all keys from a start key on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    start: Bytes,
    end: KeyRangeEnd,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum KeyRangeEnd {
    SingleKey,
    Before(Bytes),
    Unbounded,
}

impl KeyRange {
    /// Creates a range from the `key` and `range_end` fields of an etcd request.
    pub fn new(key: &[u8], range_end: &[u8]) -> KeyRange {
        let end = match range_end {
            [] => KeyRangeEnd::SingleKey,
            [0] => KeyRangeEnd::Unbounded,
            end => KeyRangeEnd::Before(Bytes::copy_from_slice(end)),
        };
        KeyRange {
            start: Bytes::copy_from_slice(key),
            end,
        }
    }

    /// Whether the range includes a key.
    pub fn contains(&self, key: &[u8]) -> bool {
        match &self.end {
            KeyRangeEnd::SingleKey => key == self.start,
            KeyRangeEnd::Before(end) => key >= &self.start[..] && key < &end[..],
            KeyRangeEnd::Unbounded => key >= &self.start[..],
        }
    }

    /// The bounds for a lookup in an ordered map; `None` if the range is empty.
    fn bounds(&self) -> Option<KeyBounds<'_>> {
        let start = &self.start[..];
        let end = match &self.end {
            KeyRangeEnd::SingleKey => Bound::Included(start),
            KeyRangeEnd::Before(end) if start < &end[..] => Bound::Excluded(&end[..]),
            KeyRangeEnd::Before(_) => return None,
            KeyRangeEnd::Unbounded => Bound::Unbounded,
        };
        Some((Bound::Included(start), end))
    }
}

/// The state of a key from a revision on; `entry` is `None` for a deletion.
#[derive(Clone, Debug)]
struct Version {
    revision: i64,
    entry: Option<KeyValue>,
}

/// The revision of an event. Events in the store's log always have an entry.
pub(super) fn revision_of(event: &Event) -> i64 {
    event.kv.as_ref().map_or(0, |kv| kv.mod_revision)
}

/// Invariant: the versions of each key and the events in the log are ordered by revision.
#[derive(Debug, Default)]
pub(super) struct History {
    keys: BTreeMap<Bytes, Vec<Version>>,
    log: VecDeque<Event>,
}

impl History {
    /// The entry of a key at a revision; `None` if the key did not exist then.
    pub fn entry_at(&self, key: &[u8], revision: i64) -> Option<&KeyValue> {
        entry_at(self.keys.get(key)?, revision)
    }

    /// The entries of a range at a revision, in key order.
    pub fn entries_at(&self, range: &KeyRange, revision: i64) -> impl Iterator<Item = &KeyValue> {
        let versions = range
            .bounds()
            .map(|bounds| self.keys.range::<[u8], _>(bounds));
        versions
            .into_iter()
            .flatten()
            .filter_map(move |(_, versions)| entry_at(versions, revision))
    }

    /// Appends a version and its event; `entry` is `None` for a deletion. `revision` must not decrease between calls.
    pub fn write(&mut self, revision: i64, key: &Bytes, entry: Option<KeyValue>) {
        let event = match &entry {
            Some(entry) => Event {
                r#type: EventType::Put.into(),
                kv: Some(entry.clone()),
                prev_kv: None,
            },
            None => {
                let deleted = KeyValue {
                    key: key.clone(),
                    mod_revision: revision,
                    ..KeyValue::default()
                };
                Event {
                    r#type: EventType::Delete.into(),
                    kv: Some(deleted),
                    prev_kv: None,
                }
            }
        };
        self.log.push_back(event);
        self.keys
            .entry(key.clone())
            .or_default()
            .push(Version { revision, entry });
    }

    /// The events of a range with revisions from `from` to `to`, both inclusive.
    pub fn events(&self, range: &KeyRange, from: i64, to: i64) -> impl Iterator<Item = &Event> {
        let first = self.log.partition_point(|event| revision_of(event) < from);
        let until_last = move |event: &&Event| revision_of(event) <= to;
        let in_range =
            move |event: &&Event| event.kv.as_ref().is_some_and(|kv| range.contains(&kv.key));
        self.log
            .range(first..)
            .take_while(until_last)
            .filter(in_range)
    }

    /// Drops versions that no read at `floor` or later can return, and events before `floor`.
    pub fn drop_before(&mut self, floor: i64) {
        self.keys.retain(|_, versions| {
            let current = versions.partition_point(|v| v.revision <= floor);
            if current > 0 {
                let is_deleted = versions[current - 1].entry.is_none();
                versions.drain(..if is_deleted { current } else { current - 1 });
            }
            !versions.is_empty()
        });
        let first_kept = self.log.partition_point(|event| revision_of(event) < floor);
        self.log.drain(..first_kept);
    }

    /// Drops all versions and events with a revision after `last`.
    pub fn drop_after(&mut self, last: i64) {
        self.keys.retain(|_, versions| {
            versions.truncate(versions.partition_point(|v| v.revision <= last));
            !versions.is_empty()
        });
        self.log
            .truncate(self.log.partition_point(|event| revision_of(event) <= last));
    }

    /// The size in bytes of the keys and values of all retained versions, and of the version and event records. Values
    /// that a version and the log share count once; container overhead is not included.
    pub fn payload_bytes(&self) -> u64 {
        let version = |v: &Version| v.entry.as_ref().map_or(0, |kv| kv.value.len());
        let of_key = |(key, versions): (&Bytes, &Vec<Version>)| {
            key.len() + versions.iter().map(version).sum::<usize>()
        };
        let keys: usize = self.keys.iter().map(of_key).sum();
        let fixed = self.log.len() * size_of::<Event>()
            + self
                .keys
                .values()
                .map(|v| v.len() * size_of::<Version>())
                .sum::<usize>();
        (keys + fixed) as u64
    }
}

fn entry_at(versions: &[Version], revision: i64) -> Option<&KeyValue> {
    let next = versions.partition_point(|v| v.revision <= revision);
    versions[..next].last()?.entry.as_ref()
}
