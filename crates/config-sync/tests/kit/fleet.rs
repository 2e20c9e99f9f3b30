//! Many simulated front ends and one writer.

use super::front_end::FrontEnd;
use super::store::Store;
use orchidtally_config_sync::writer::{
    self, DEFAULT_MAX_OPERATIONS, EntryChange, Generation, Operation, ReadValue,
};
use orchidtally_config_sync::{GatewaySchema, Keyspace, SyncSettings, Verdict};

/// The step of simulated time, in seconds.
const STEP: f64 = 0.05;

pub struct Fleet {
    pub now: f64,
    pub settings: SyncSettings,
    pub store: Store,
    pub front_ends: Vec<FrontEnd>,
    pub keyspace: Keyspace,
}

impl Fleet {
    /// Creates front ends that are spread over three regions. Tests that partition the third region do so together with
    /// member 4 of the store.
    pub fn new(count: usize, settings: SyncSettings) -> Fleet {
        let keyspace = Keyspace::new(settings.prefix.clone());
        let mut fleet = Fleet {
            now: 1_000.0,
            settings,
            store: Store::default(),
            front_ends: vec![],
            keyspace,
        };
        fleet.set_generation(1);
        for index in 0..count {
            let front_end =
                FrontEnd::new(fleet.settings.clone(), index as u64, index % 3, fleet.now);
            fleet.front_ends.push(front_end);
        }
        fleet
    }

    pub fn set_generation(&mut self, generation: u64) {
        let value = Generation::new(generation).to_json();
        self.store.commit(&[Operation::Put {
            key: self.keyspace.generation(),
            value,
        }]);
    }

    /// Writes with the writer module; panics if there is no quorum, or another writer has committed meanwhile.
    pub fn write(&mut self, changes: &[EntryChange]) -> i64 {
        self.try_write(changes).expect("the write is committed")
    }

    pub fn try_write(&mut self, changes: &[EntryChange]) -> Option<i64> {
        let read = self
            .store
            .read(&writer::keys_to_read(&self.keyspace, changes));
        let max_operations = DEFAULT_MAX_OPERATIONS * 100;
        let transaction = writer::plan(
            &self.keyspace,
            &GatewaySchema,
            changes,
            &read,
            1 << 20,
            max_operations,
        )
        .expect("the test's changes are valid");
        self.store.transact(&transaction)
    }

    /// Writes documents without validation, and updates the digests.
    pub fn write_unchecked(&mut self, changes: &[EntryChange]) -> i64 {
        let mut after = self.store.read_all();
        let mut operations = vec![];
        for EntryChange { key, document } in changes {
            let key = self.keyspace.entry(key);
            match document {
                Some(value) => {
                    after.insert(
                        key.clone(),
                        ReadValue {
                            value: value.clone(),
                            mod_revision: 0,
                        },
                    );
                    operations.push(Operation::Put {
                        key,
                        value: value.clone(),
                    });
                }
                None => {
                    after.remove(&key);
                    operations.push(Operation::Delete { key });
                }
            }
        }
        operations.extend(writer::repair(&self.keyspace, &after).operations);
        self.store
            .commit(&operations)
            .expect("the write is committed")
    }

    /// Runs the simulation for `seconds`.
    pub fn run(&mut self, seconds: f64) {
        self.run_with(seconds, |_| {});
    }

    /// Runs the simulation for `seconds`, and calls `observe` after each step.
    pub fn run_with(&mut self, seconds: f64, mut observe: impl FnMut(&Fleet)) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += STEP;
            self.store.replicate();
            for front_end in &mut self.front_ends {
                front_end.step(self.now, &mut self.store);
            }
            observe(self);
        }
    }

    /// Runs until all front ends that `is_included` selects have applied the revision. Returns the seconds that this
    /// took, or `None` if it took `max_seconds` or longer.
    pub fn run_until_applied(
        &mut self,
        revision: i64,
        max_seconds: f64,
        is_included: impl Fn(&FrontEnd) -> bool,
    ) -> Option<f64> {
        let started_at = self.now;
        while self.now - started_at < max_seconds {
            let included = self.front_ends.iter().filter(|f| is_included(f));
            if included
                .into_iter()
                .all(|f| f.core.applied_revision() >= revision)
            {
                return Some(self.now - started_at);
            }
            self.run(STEP);
        }
        None
    }

    /// The number of front ends that admit invocations of a key now; paused ones aren't counted.
    pub fn serving(&self, key: &str) -> usize {
        let running = self.front_ends.iter().filter(|f| !f.is_paused);
        running
            .filter(|f| f.core.admits(self.now, key) == Verdict::Serve)
            .count()
    }

    /// The most bytes of any front end in any second from this time on.
    pub fn peak_bytes(&self, from: f64) -> usize {
        let seconds = self
            .front_ends
            .iter()
            .flat_map(|f| f.traffic.by_second.range(from as u64..));
        seconds.map(|(_, bytes)| *bytes).max().unwrap_or(0)
    }

    /// The most bytes of all front ends together in any second between these times.
    pub fn fleet_peak_bytes(&self, from: f64, until: f64) -> usize {
        let seconds = from as u64..until as u64;
        let in_second = |second: u64| {
            self.front_ends
                .iter()
                .filter_map(|f| f.traffic.by_second.get(&second))
                .sum::<usize>()
        };
        seconds.map(in_second).max().unwrap_or(0)
    }
}
