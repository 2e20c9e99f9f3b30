//! The state of one rollout at a front end.

use crate::evidence::{QuantileEstimate, SlotCollector};
use crate::sequential::SequentialTests;
use crate::state::Rollout;
use orchidtally_deployment::{Function, Version};
use std::collections::{BTreeMap, HashMap};

/// Latency quantiles of the old version, against which slow answers are counted.
#[derive(Debug, Default)]
pub(super) struct SlowThresholds {
    /// 0.9, for the gate `slow`.
    pub(super) slow: QuantileEstimate,
    /// 0.99, for the gate `slowTail`.
    pub(super) slow_tail: QuantileEstimate,
}

impl SlowThresholds {
    /// Returns whether enough answers were recorded to compare with.
    pub(super) fn are_known(&self) -> bool {
        self.slow.value().is_some() && self.slow_tail.value().is_some()
    }
}

/// The state of one rollout at a front end.
#[derive(Debug)]
pub(super) struct LocalRollout {
    pub(super) rollout: Rollout,
    /// The old and the new version, if the deployment has them.
    pub(super) from: Option<Version>,
    pub(super) to: Option<Version>,
    /// Index of the step whose share is applied.
    pub(super) applied_step: Option<usize>,
    /// Whether there are enough replicas of the new version for the published step.
    pub(super) is_ready: bool,
    pub(super) slots: SlotCollector,
    /// The front end's own tests, for when no coordinator is reachable.
    pub(super) own_tests: SequentialTests,
    /// Number of events in this step, by the hash of the sticky key.
    pub(super) events_by_key: HashMap<u64, u8>,
    /// Number of resets and time-outs in this step, by executor.
    pub(super) disconnects_by_executor: HashMap<u64, u8>,
    /// Latency thresholds by trigger type.
    pub(super) slow: BTreeMap<u16, SlowThresholds>,
    pub(super) digest_mismatches: u64,
    /// The reason of a front end's local rollback.
    pub(super) local_rollback: Option<String>,
    /// Invocations since `invocations_since`.
    pub(super) invocations: u64,
    pub(super) invocations_since: f64,
    /// Moving average of the invocations of the function a second at this front end.
    pub(super) rate: f64,
    /// Number of replicas of the new version that the step needs.
    pub(super) needed_replicas: usize,
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
            applied_step: None,
            is_ready: false,
            slots: SlotCollector::default(),
            own_tests: SequentialTests::default(),
            events_by_key: HashMap::new(),
            disconnects_by_executor: HashMap::new(),
            slow: BTreeMap::new(),
            digest_mismatches: 0,
            local_rollback: None,
            invocations: 0,
            invocations_since: now,
            rate: 0.0,
            needed_replicas: 1,
            next_load_at: now,
            next_renewal_at: now,
        }
    }

    pub(super) fn has_ended(&self) -> bool {
        self.rollout.phase.has_ended()
    }

    /// Returns the index of the step whose share is applied; `None` after a local rollback.
    pub(super) fn effective_step(&self) -> Option<usize> {
        if self.local_rollback.is_some() {
            None
        } else {
            self.applied_step
        }
    }

    /// Begins a newly published step.
    pub(super) fn begin_step(&mut self) {
        self.is_ready = false;
        self.events_by_key.clear();
        self.disconnects_by_executor.clear();
    }
}
