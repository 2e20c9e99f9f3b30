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
    /// Front ends of three regions; the third region's side of the store is member 4.
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

    /// Writes by the writer's module; panics if another writer was faster.
    pub fn write(&mut self, changes: &[EntryChange]) -> i64 {
        self.try_write(changes).expect("a quorum takes the write")
    }

    pub fn try_write(&mut self, changes: &[EntryChange]) -> Option<i64> {
        let read = self
            .store
            .read(&writer::keys_to_read(&self.keyspace, changes));
        let most = DEFAULT_MAX_OPERATIONS * 100;
        let transaction = writer::plan(
            &self.keyspace,
            &GatewaySchema,
            changes,
            &read,
            1 << 20,
            most,
        )
        .expect("the test's changes are sound");
        self.store.transact(&transaction)
    }

    /// Writes documents that the writer's module would refuse, with digests in step.
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
            .expect("a quorum takes the write")
    }

    /// Runs for so many seconds.
    pub fn run(&mut self, seconds: f64) {
        self.run_with(seconds, |_| {});
    }

    /// Runs, and looks at the fleet after each step.
    pub fn run_with(&mut self, seconds: f64, mut look: impl FnMut(&Fleet)) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += STEP;
            self.store.replicate();
            for front_end in &mut self.front_ends {
                front_end.step(self.now, &mut self.store);
            }
            look(self);
        }
    }

    /// Runs until all of some front ends have applied a revision; the seconds it took, or `None`.
    pub fn run_until_applied(
        &mut self,
        revision: i64,
        most: f64,
        of: impl Fn(&FrontEnd) -> bool,
    ) -> Option<f64> {
        let began = self.now;
        while self.now - began < most {
            let all = self.front_ends.iter().filter(|f| of(f));
            if all
                .into_iter()
                .all(|f| f.core.applied_revision() >= revision)
            {
                return Some(self.now - began);
            }
            self.run(STEP);
        }
        None
    }

    /// How many front ends serve calls of a key now, paused ones not counted.
    pub fn serving(&self, key: &str) -> usize {
        let running = self.front_ends.iter().filter(|f| !f.is_paused);
        running
            .filter(|f| f.core.admits(self.now, key) == Verdict::Serve)
            .count()
    }

    /// The greatest bytes of any front end in any second from this time on.
    pub fn peak_bytes(&self, from: f64) -> usize {
        let seconds = self
            .front_ends
            .iter()
            .flat_map(|f| f.traffic.by_second.range(from as u64..));
        seconds.map(|(_, bytes)| *bytes).max().unwrap_or(0)
    }

    /// The greatest bytes of all front ends together in any second from this time on.
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
