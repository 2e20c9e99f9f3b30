//! A simulated store of five members, with the features of etcd that the core depends on: revisions, ranges at a
//! revision, transactions, compaction, a quorum, members that lag, and rollback by an operator.

use orchidtally_config_sync::keys::KeyRange;
use orchidtally_config_sync::writer::{Operation, ReadValue, ReadValues, Transaction};
use orchidtally_config_sync::{Change, Header, RangeEntry, RequestFailure};
use std::collections::BTreeMap;

pub const MEMBERS: usize = 5;

#[derive(Clone, Debug)]
struct Version {
    mod_revision: i64,
    value: Option<Vec<u8>>,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub is_alive: bool,
    /// Only members of the same partition reach each other.
    pub partition: u8,
    /// Whether the member no longer applies the log, although it answers requests.
    pub is_stuck: bool,
    /// The revision up to which the member has applied the log.
    pub revision: i64,
}

#[derive(Clone, Debug)]
pub struct Store {
    pub cluster: u64,
    pub revision: i64,
    pub compacted: i64,
    pub members: Vec<Member>,
    keys: BTreeMap<Vec<u8>, Vec<Version>>,
    log: BTreeMap<i64, Vec<Change>>,
    pub ranges_served: usize,
}

impl Default for Store {
    fn default() -> Store {
        let member = Member {
            is_alive: true,
            partition: 0,
            is_stuck: false,
            revision: 1,
        };
        Store {
            cluster: 7,
            revision: 1,
            compacted: 0,
            members: vec![member; MEMBERS],
            keys: BTreeMap::new(),
            log: BTreeMap::new(),
            ranges_served: 0,
        }
    }
}

impl Store {
    pub fn has_quorum(&self, member: usize) -> bool {
        let contacted = &self.members[member];
        let reached = self
            .members
            .iter()
            .filter(|other| other.is_alive && other.partition == contacted.partition);
        contacted.is_alive && reached.count() > MEMBERS / 2
    }

    /// Lets the members of the quorum apply the whole log.
    pub fn replicate(&mut self) {
        for member in 0..MEMBERS {
            if self.has_quorum(member) && !self.members[member].is_stuck {
                self.members[member].revision = self.revision;
            }
        }
    }

    pub fn header(&self, member: usize) -> Header {
        Header {
            cluster: self.cluster,
            revision: self.members[member].revision,
        }
    }

    /// Commits without guards, through any quorum; `None` if there is no quorum.
    pub fn commit(&mut self, operations: &[Operation]) -> Option<i64> {
        if !(0..MEMBERS).any(|member| self.has_quorum(member)) {
            return None;
        }
        self.revision += 1;
        let mod_revision = self.revision;
        let mut changes = vec![];
        for operation in operations {
            let (key, value) = match operation {
                Operation::Put { key, value } => (key.clone(), Some(value.clone())),
                Operation::Delete { key } => (key.clone(), None),
            };
            if value.is_none() && self.get(&key).is_none() {
                continue;
            }
            self.keys.entry(key.clone()).or_default().push(Version {
                mod_revision,
                value: value.clone(),
            });
            changes.push(Change {
                key,
                value,
                mod_revision,
            });
        }
        self.log.insert(mod_revision, changes);
        self.replicate();
        Some(mod_revision)
    }

    /// Commits if all guards hold.
    pub fn transact(&mut self, transaction: &Transaction) -> Option<i64> {
        let is_met = |key: &[u8], mod_revision: i64| {
            self.get(key).map_or(0, |known| known.mod_revision) == mod_revision
        };
        if !transaction
            .guards
            .iter()
            .all(|guard| is_met(&guard.key, guard.mod_revision))
        {
            return None;
        }
        self.commit(&transaction.operations)
    }

    pub fn get(&self, key: &[u8]) -> Option<ReadValue> {
        self.value_at(key, i64::MAX).map(|entry| ReadValue {
            value: entry.value,
            mod_revision: entry.mod_revision,
        })
    }

    pub fn read(&self, keys: &[Vec<u8>]) -> ReadValues {
        keys.iter()
            .filter_map(|key| Some((key.clone(), self.get(key)?)))
            .collect()
    }

    pub fn read_all(&self) -> ReadValues {
        let keys: Vec<Vec<u8>> = self.keys.keys().cloned().collect();
        self.read(&keys)
    }

    fn value_at(&self, key: &[u8], revision: i64) -> Option<RangeEntry> {
        let version = self
            .keys
            .get(key)?
            .iter()
            .rev()
            .find(|version| version.mod_revision <= revision)?;
        let value = version.value.clone()?;
        Some(RangeEntry {
            key: key.to_vec(),
            value,
            mod_revision: version.mod_revision,
        })
    }

    /// A linearizable range.
    pub fn range(
        &mut self,
        member: usize,
        range: &KeyRange,
        at_revision: i64,
        min_mod_revision: i64,
        limit: usize,
    ) -> Result<(Header, Vec<RangeEntry>, bool), RequestFailure> {
        if !self.has_quorum(member) {
            return Err(RequestFailure::Unavailable);
        }
        if at_revision > self.revision {
            return Err(RequestFailure::FutureRevision);
        }
        if at_revision > 0 && at_revision < self.compacted {
            return Err(RequestFailure::Compacted);
        }
        self.ranges_served += 1;
        let revision = if at_revision == 0 {
            self.revision
        } else {
            at_revision
        };
        let keys = self
            .keys
            .range(range.start.clone()..range.end.clone())
            .map(|(key, _)| key);
        let mut entries: Vec<RangeEntry> = keys
            .filter_map(|key| self.value_at(key, revision))
            .filter(|entry| entry.mod_revision >= min_mod_revision)
            .take(limit + 1)
            .collect();
        let more = entries.len() > limit;
        entries.truncate(limit);
        Ok((
            Header {
                cluster: self.cluster,
                revision: self.revision,
            },
            entries,
            more,
        ))
    }

    /// The changes that a watch at a member has to send from a revision on, with one batch for each transaction. The
    /// error is the revision up to which the log is compacted.
    pub fn events(
        &self,
        member: usize,
        range: &KeyRange,
        from: i64,
    ) -> Result<Vec<(i64, Vec<Change>)>, i64> {
        if from <= self.compacted && from <= self.members[member].revision {
            return Err(self.compacted);
        }
        let until = self.members[member].revision;
        if from > until {
            return Ok(vec![]);
        }
        let within = |change: &&Change| change.key >= range.start && change.key < range.end;
        let batches = self.log.range(from..=until).map(|(revision, changes)| {
            (
                *revision,
                changes.iter().filter(within).cloned().collect::<Vec<_>>(),
            )
        });
        Ok(batches.filter(|(_, changes)| !changes.is_empty()).collect())
    }

    pub fn compact(&mut self, revision: i64) {
        self.compacted = revision;
        self.log = self.log.split_off(&(revision + 1));
    }

    /// Restores an older state under the same cluster id, as an operator may do.
    pub fn roll_back(&mut self, revision: i64) {
        for versions in self.keys.values_mut() {
            versions.retain(|version| version.mod_revision <= revision);
        }
        self.log.split_off(&(revision + 1));
        self.revision = revision;
        for member in &mut self.members {
            member.revision = revision;
        }
    }

    /// Advances the revision by a write of another user of the store.
    pub fn touch(&mut self) {
        self.commit(&[Operation::Put {
            key: b"other/key".to_vec(),
            value: vec![1],
        }]);
    }
}
