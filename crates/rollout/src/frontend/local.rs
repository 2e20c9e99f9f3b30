//! One rollout as a front end has it.

use crate::evidence::{QuantileEstimate, SlotCollector};
use crate::sequential::Tests;
use crate::state::Rollout;
use orchidtally_deployment::{Function, Version};
use std::collections::{BTreeMap, HashMap};

/// The quantiles of the old version's time that slow answers are compared with.
#[derive(Debug, Default)]
pub(super) struct SlowThresholds {
    /// 0.9, for the gate `slow`.
    pub(super) slow: QuantileEstimate,
    /// 0.99, for the gate `slowTail`.
    pub(super) slow_tail: QuantileEstimate,
}

impl SlowThresholds {
    /// Whether enough answers were seen to compare with.
    pub(super) fn are_known(&self) -> bool {
        self.slow.known().is_some() && self.slow_tail.known().is_some()
    }
}

/// One rollout as a front end has it.
#[derive(Debug)]
pub(super) struct LocalRollout {
    pub(super) rollout: Rollout,
    /// The old and the new version, where the deployment knows them.
    pub(super) from: Option<Version>,
    pub(super) to: Option<Version>,
    /// The step whose share the new version is given.
    pub(super) given: Option<usize>,
    /// Copies of the new version are known for the step that is published.
    pub(super) ready: bool,
    pub(super) gathered: SlotCollector,
    /// The front end's own test, for when no coordinator can be reached.
    pub(super) own_tests: Tests,
    /// Events that counted in this step, by the hash of a key.
    pub(super) events_by_key: HashMap<u64, u8>,
    /// Broken connections and time-outs that counted in this step, by executor.
    pub(super) breaks_by_executor: HashMap<u64, u8>,
    /// By trigger type.
    pub(super) slow: BTreeMap<u16, SlowThresholds>,
    pub(super) digest_mismatches: u64,
    /// Why the front end took it back by itself.
    pub(super) took_back: Option<String>,
    /// Invocations taken since a time.
    pub(super) taken: u64,
    pub(super) taken_since: f64,
    /// Invocations of the function a second here, lately.
    pub(super) rate: f64,
    /// Copies of the new version that the step needs.
    pub(super) wanted: usize,
    pub(super) next_load_at: f64,
    pub(super) next_renewal_at: f64,
}

impl LocalRollout {
    pub(super) fn new(rollout: Rollout, function: Option<Function>, now: f64) -> LocalRollout {
        let version = |digest: &str| function.as_ref().and_then(|f| f.version(digest).cloned());
        LocalRollout {
            from: version(&rollout.from),
            to: version(&rollout.to),
            rollout,
            given: None,
            ready: false,
            gathered: SlotCollector::default(),
            own_tests: Tests::default(),
            events_by_key: HashMap::new(),
            breaks_by_executor: HashMap::new(),
            slow: BTreeMap::new(),
            digest_mismatches: 0,
            took_back: None,
            taken: 0,
            taken_since: now,
            rate: 0.0,
            wanted: 1,
            next_load_at: now,
            next_renewal_at: now,
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.rollout.phase.is_over()
    }

    /// The step whose share invocations get.
    pub(super) fn step_in_force(&self) -> Option<usize> {
        if self.took_back.is_some() {
            None
        } else {
            self.given
        }
    }

    /// Begins the step that is published now.
    pub(super) fn begin_step(&mut self) {
        self.ready = false;
        self.events_by_key.clear();
        self.breaks_by_executor.clear();
    }
}
