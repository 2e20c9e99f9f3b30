//! Applies endpoint updates to the tables.

use super::executor::{BacklogReport, Executor, set_or_push};
use super::ready_sets::ReadySets;
use super::{Backoff, ExecutorIndex, ExecutorTable, Workload};
use crate::interface::{Endpoint, EndpointState, EndpointUpdateKind};

/// Applies an endpoint update and clears what was observed of executors that restarted, started to drain or are gone.
/// Executors that have been in no list since before `removed_before`, in seconds, are removed from the tables unless
/// they have dispatches in flight or an invocation without a final answer may have run there.
pub fn apply_endpoint_update(
    executors: &mut ExecutorTable,
    workload: &mut Workload,
    now: f64,
    kind: EndpointUpdateKind,
    endpoints: &[Endpoint],
    removed_before: f64,
) {
    let is_full = kind == EndpointUpdateKind::Full;
    let invalidated = executors.apply_endpoints(now, is_full, endpoints);
    workload.functions.evict_executors(&invalidated);
    for executor in invalidated {
        executors.clear_observations(executor);
    }
    let mut removed = executors.removed_before(removed_before);
    removed.retain(|&executor| !workload.invocations.may_have_run_at(executor));
    workload.functions.remove_references(&removed);
    for executor in removed {
        executors.release(executor);
    }
}

impl ExecutorTable {
    /// Returns the index of an endpoint's executor; a new executor is added. If the zone, kind or cell of a known
    /// address changed, another executor uses the address now. It takes over the start time, the last connection
    /// failure and the recent work of the executor that it replaces, because it may be as cold and as unreliable, and
    /// work that was sent to the address still loads it.
    fn find_or_insert(&mut self, endpoint: &Endpoint, now: f64) -> ExecutorIndex {
        let known = self.find(endpoint.executor);
        if let Some(executor) = known.filter(|&executor| self[executor].matches_location(endpoint))
        {
            return executor;
        }
        let index = self
            .free
            .pop()
            .unwrap_or_else(|| ExecutorIndex::new(self.executors.len()));
        self.by_id.insert(endpoint.executor, index);
        let mut executor = Executor::new(endpoint);
        // The list of candidates refers to the slot, so the flag stays with the slot when it is reused.
        if let Some(previous) = self.executors.get(index.position()) {
            executor.outlier.is_candidate = previous.outlier.is_candidate;
        }
        if let Some(replaced) = known {
            let replaced = &mut self.executors[replaced.position()];
            replaced.is_ready = false;
            replaced.removed_at = now;
            executor.started_at = replaced.started_at;
            executor.last_failure_at = replaced.last_failure_at;
            executor.recent_work = replaced.recent_work.clone();
            self.outliers.add_failed(index);
        }
        let kind = executor.kind();
        set_or_push(&mut self.executors, index, executor);
        self.add_kind(kind);
        index
    }

    /// Applies the endpoints of an update and returns the executors whose observations are no longer valid: those that
    /// restarted, started to drain or are gone. A full list removes every executor that it does not contain.
    pub fn apply_endpoints(
        &mut self,
        now: f64,
        is_full: bool,
        endpoints: &[Endpoint],
    ) -> Vec<ExecutorIndex> {
        let mut was_ready = Vec::with_capacity(self.executors.len());
        for executor in &mut self.executors {
            was_ready.push(executor.is_ready);
            if is_full {
                executor.is_ready = false;
                executor.removed_at = executor.removed_at.min(now);
            }
        }
        let mut has_new_weights = false;
        let mut invalidated = vec![];
        for endpoint in endpoints {
            let index = self.find_or_insert(endpoint, now);
            let executor = &mut self.executors[index.position()];
            executor.is_ready = endpoint.state == EndpointState::Ready;
            executor.removed_at = if endpoint.state == EndpointState::Gone {
                now
            } else {
                f64::INFINITY
            };
            let weight = valid_weight(endpoint.weight);
            has_new_weights |= weight != executor.weight;
            executor.weight = weight;
            if endpoint.started_at > executor.started_at {
                executor.started_at = endpoint.started_at;
                invalidated.push(index);
            }
        }
        let is_ready: Vec<bool> = self.executors.iter().map(Executor::is_ready).collect();
        let stopped = (0..was_ready.len())
            .filter(|&position| was_ready[position] && !is_ready[position])
            .map(ExecutorIndex::new);
        invalidated.extend(stopped);
        let has_changed = has_new_weights || is_ready != was_ready;
        if has_changed {
            self.ready = ReadySets::new(&self.executors, &self.regions);
            self.update_ranking_pools();
        }
        if has_changed || !invalidated.is_empty() {
            // Any load may have changed, so the log of changes is no longer complete.
            self.load_changes.invalidate();
            self.restart_all_warmups();
        }
        invalidated
    }

    /// Returns the executors that have been in no list since before a time and that have nothing in flight.
    fn removed_before(&self, before: f64) -> Vec<ExecutorIndex> {
        let is_removed = |&executor: &ExecutorIndex| {
            let executor = &self[executor];
            executor.removed_at.is_finite()
                && executor.removed_at < before
                && executor.in_flight.is_empty()
        };
        self.indices().filter(is_removed).collect()
    }

    /// Removes an executor. Its index may be reused for another executor.
    fn release(&mut self, index: ExecutorIndex) {
        let executor = &mut self.executors[index.position()];
        executor.removed_at = f64::NEG_INFINITY;
        let id = executor.id();
        if self.by_id.get(&id) == Some(&index) {
            self.by_id.remove(&id);
        }
        self.free.push(index);
    }

    /// Clears an executor's backlog report, backoff, rejections and latency samples. Its dispatches in flight and the
    /// record of recently sent work are kept.
    pub fn clear_observations(&mut self, index: ExecutorIndex) {
        let executor = &mut self.executors[index.position()];
        executor.backlog = BacklogReport::NONE;
        executor.full_backoff = Backoff::default();
        executor.consecutive_rejections = 0;
        executor.outlier.samples.clear();
        executor.outlier.is_ejected = false;
        self.load_changes.record(index);
    }
}

fn valid_weight(weight: f64) -> f64 {
    if weight > 0.0 && weight.is_finite() {
        weight
    } else {
        1.0
    }
}
