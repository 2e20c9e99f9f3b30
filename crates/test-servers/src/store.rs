//! The shared store from which executors load functions: the more fetch at a time, the slower all of them,
//! and past a bound it turns fetches away.

use crate::{TestEnvironment, TimedFault};
use std::cell::Cell;
use std::rc::Rc;

/// The store of packages.
pub struct PackageStore {
    stage: TestEnvironment,
    /// Fetches at a time that do not slow each other.
    pub smooth: f64,
    /// Fetches at a time past which further ones are refused.
    pub most: usize,
    fetching: Cell<usize>,
    /// All fetches are refused while this is active.
    pub refusing: TimedFault,
    /// Fetches that were refused.
    pub refused: Cell<u64>,
    /// Fetches that succeeded.
    pub fetched: Cell<u64>,
}

struct Fetching<'a>(&'a Cell<usize>);

impl Drop for Fetching<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl PackageStore {
    /// A store without fetches; `smooth` and `most` as in the fields.
    pub fn new(stage: &TestEnvironment, smooth: f64, most: usize) -> Rc<PackageStore> {
        Rc::new(PackageStore {
            stage: stage.clone(),
            smooth,
            most,
            fetching: Cell::new(0),
            refusing: TimedFault::default(),
            refused: Cell::new(0),
            fetched: Cell::new(0),
        })
    }

    /// Fetches what takes `time` where nobody else does. Tells whether it came.
    pub async fn fetch(&self, time: f64) -> bool {
        if self.refusing.is_active(self.stage.now()) || self.fetching.get() >= self.most {
            self.refused.set(self.refused.get() + 1);
            self.stage.sleep(0.02).await;
            return false;
        }
        self.fetching.set(self.fetching.get() + 1);
        let _fetching = Fetching(&self.fetching);
        // In steps, so that what comes later slows what is under way.
        let mut left = time;
        while left > 0.0 {
            let step = left.min(0.05);
            let slowed = (self.fetching.get() as f64 / self.smooth).max(1.0);
            self.stage.sleep(step * slowed).await;
            left -= step;
            if self.refusing.is_active(self.stage.now()) {
                self.refused.set(self.refused.get() + 1);
                return false;
            }
        }
        self.fetched.set(self.fetched.get() + 1);
        true
    }
}
