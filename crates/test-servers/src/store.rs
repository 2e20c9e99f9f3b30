//! The shared store from which executors load functions. Concurrent fetches slow each other down, and past a limit
//! further ones are refused.

use crate::{TestEnvironment, TimedFault};
use std::cell::Cell;
use std::rc::Rc;

/// A store of function packages with limited throughput.
pub struct PackageStore {
    environment: TestEnvironment,
    /// The number of concurrent fetches up to which each runs at full speed.
    pub full_speed_fetches: f64,
    /// The largest number of concurrent fetches; further ones are refused.
    pub max_fetches: usize,
    fetching: Cell<usize>,
    /// All fetches are refused while this is active.
    pub refusing: TimedFault,
    /// The number of refused fetches.
    pub refused_fetches: Cell<u64>,
    /// The number of successful fetches.
    pub completed_fetches: Cell<u64>,
}

/// Counts a fetch in progress; decrements the counter on drop.
struct Fetching<'a>(&'a Cell<usize>);

impl Drop for Fetching<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl PackageStore {
    /// Creates a store; for `full_speed_fetches` and `max_fetches` see the fields.
    pub fn new(
        environment: &TestEnvironment,
        full_speed_fetches: f64,
        max_fetches: usize,
    ) -> Rc<PackageStore> {
        Rc::new(PackageStore {
            environment: environment.clone(),
            full_speed_fetches,
            max_fetches,
            fetching: Cell::new(0),
            refusing: TimedFault::default(),
            refused_fetches: Cell::new(0),
            completed_fetches: Cell::new(0),
        })
    }

    /// Fetches a package that takes `time` seconds at full speed. Returns whether the fetch succeeded.
    pub async fn fetch(&self, time: f64) -> bool {
        if self.refusing.is_active(self.environment.now())
            || self.fetching.get() >= self.max_fetches
        {
            self.refused_fetches.set(self.refused_fetches.get() + 1);
            self.environment.sleep(0.02).await;
            return false;
        }
        self.fetching.set(self.fetching.get() + 1);
        let _fetching = Fetching(&self.fetching);
        // The fetch proceeds in steps, so that later fetches slow down those in progress.
        let mut left = time;
        while left > 0.0 {
            let step = left.min(0.05);
            let slowed = (self.fetching.get() as f64 / self.full_speed_fetches).max(1.0);
            self.environment.sleep(step * slowed).await;
            left -= step;
            if self.refusing.is_active(self.environment.now()) {
                self.refused_fetches.set(self.refused_fetches.get() + 1);
                return false;
            }
        }
        self.completed_fetches.set(self.completed_fetches.get() + 1);
        true
    }
}
