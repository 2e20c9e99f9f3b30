//! The size of a run, with the design's figures as defaults, and the faults that a run can inject.

use serde::{Deserialize, Serialize};

/// What is simulated. The defaults are the size that the design has to carry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Number of front ends.
    pub front_ends: usize,
    /// Number of executors.
    pub executors: usize,
    /// Number of functions.
    pub functions: usize,
    /// Instances of functions in the whole fleet.
    pub instances: usize,
    /// Calls a second in the whole fleet.
    pub calls_per_s: f64,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones.
    pub zones: usize,
    /// Changes of configuration a day.
    pub changes_per_day: f64,
    /// Members of the control store.
    pub store_members: usize,
}

impl Default for Size {
    fn default() -> Size {
        Size {
            front_ends: 550,
            executors: 1_000,
            functions: 21_000,
            instances: 95_000,
            calls_per_s: 100_000.0,
            regions: 3,
            zones: 8,
            changes_per_day: 1_700.0,
            store_members: 5,
        }
    }
}

impl Size {
    /// Calls a second at one front end.
    pub fn calls_per_front_end(&self) -> f64 {
        self.calls_per_s / self.front_ends as f64
    }
}

/// A fault planted on purpose, to show that the run finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Injection {
    /// The store drops one change's event for one front end.
    LostChange,
    /// One front end claims a view that it does not have.
    StaleView,
    /// The store delays its answers.
    SlowStore,
}
