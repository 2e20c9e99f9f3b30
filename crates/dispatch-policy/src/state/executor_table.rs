//! The table of all executors, addressed by dense indices, and the lookup structures that every change keeps up to
//! date.

use super::executor::{Executor, SentWork};
use super::kind_stats::KindStats;
use super::load_changes::LoadChanges;
use super::outlier_stats::{OutlierIndex, SampleRequirements};
use super::ranking::RankingPools;
use super::ready_sets::ReadySets;
use super::{ExecutorDispatch, ExecutorIndex, InvocationIndex, LoadEstimate, Regions};
use crate::interface::{DeduplicationScope, DispatchStatus, ExecutorId};
use std::collections::{BTreeSet, HashMap};
use std::ops::Index;

/// The executors of the fleet. Times are in seconds.
#[derive(Default)]
pub struct ExecutorTable {
    pub(super) executors: Vec<Executor>,
    pub(super) by_id: HashMap<ExecutorId, ExecutorIndex>,
    pub(super) free: Vec<ExecutorIndex>,
    pub(super) ready: ReadySets,
    pub(super) ranking_pools: RankingPools,
    /// The executors with dispatches in flight.
    busy: BTreeSet<ExecutorIndex>,
    /// Total number of dispatches in flight.
    in_flight_count: usize,
    pub(super) load_changes: LoadChanges,
    /// By hardware kind.
    pub(super) kinds: Vec<KindStats>,
    pub(super) all_are_warm: bool,
    pub(super) outliers: OutlierIndex,
    /// The zone of the front end.
    own_zone: u8,
    pub(super) regions: Regions,
}

impl Index<ExecutorIndex> for ExecutorTable {
    type Output = Executor;

    fn index(&self, executor: ExecutorIndex) -> &Executor {
        &self.executors[executor.position()]
    }
}

impl ExecutorTable {
    /// Creates an empty table for a front end in `own_zone`.
    pub fn new(own_zone: u8, requirements: SampleRequirements) -> ExecutorTable {
        ExecutorTable {
            own_zone,
            outliers: OutlierIndex::new(requirements),
            ..ExecutorTable::default()
        }
    }

    /// Returns the table with the region of each zone, indexed by zone number. The table has to be empty.
    pub fn with_regions(self, region_of_zone: Vec<Option<u8>>) -> ExecutorTable {
        ExecutorTable {
            regions: Regions::new(region_of_zone, self.own_zone),
            ..self
        }
    }

    /// Returns the number of slots, including free ones.
    pub fn len(&self) -> usize {
        self.executors.len()
    }

    /// Returns whether there are no slots.
    pub fn is_empty(&self) -> bool {
        self.executors.is_empty()
    }

    /// Returns the indices of all slots, including free ones.
    pub fn indices(&self) -> impl Iterator<Item = ExecutorIndex> + use<> {
        (0..self.executors.len()).map(ExecutorIndex::new)
    }

    /// Returns the index of the executor at an address.
    pub fn find(&self, id: ExecutorId) -> Option<ExecutorIndex> {
        self.by_id.get(&id).copied()
    }

    /// Returns the ready executors.
    pub fn ready(&self) -> &[ExecutorIndex] {
        self.ready.all()
    }

    /// Returns the number of ready executors.
    pub fn ready_count(&self) -> usize {
        self.ready.all().len()
    }

    /// Returns the ready executors in the front end's own region.
    pub fn ready_in_own_region(&self) -> &[ExecutorIndex] {
        self.ready.in_own_region()
    }

    /// Returns the ready executors that share a deduplication scope with `member`, or all ready executors if it is
    /// `None`.
    pub fn ready_in_scope(
        &self,
        scope: DeduplicationScope,
        member: Option<ExecutorIndex>,
    ) -> &[ExecutorIndex] {
        match member {
            Some(member) => self.ready.in_scope_of(scope, &self[member]),
            None => self.ready.all(),
        }
    }

    /// Returns whether an executor is in the front end's own region.
    pub fn is_in_own_region(&self, executor: ExecutorIndex) -> bool {
        self.regions.is_own_region(self[executor].zone())
    }

    /// Returns whether two executors recognize each other's idempotency keys.
    pub fn share_scope(
        &self,
        scope: DeduplicationScope,
        one: ExecutorIndex,
        other: ExecutorIndex,
    ) -> bool {
        let (one, other) = (&self[one], &self[other]);
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => one.zone() == other.zone(),
            DeduplicationScope::Cell => one.cell() == other.cell(),
        }
    }

    /// Returns the load of an executor.
    pub fn load_of(&self, executor: ExecutorIndex) -> LoadEstimate {
        let executor = &self[executor];
        LoadEstimate {
            in_flight: executor.in_flight_count(),
            backlog: executor.backlog.invocations,
            earliest_report_at: executor.backlog.reported_at,
            latest_report_at: executor.backlog.reported_at,
            weight: executor.weight,
            is_local: executor.zone() == self.own_zone,
        }
    }

    /// Returns the total number of dispatches in flight.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight_count
    }

    /// Returns the invocation of each dispatch in flight, ordered by executor index.
    pub fn invocations_in_flight(&self) -> impl Iterator<Item = InvocationIndex> + '_ {
        self.busy
            .iter()
            .flat_map(|&executor| self[executor].in_flight())
            .map(|dispatch| dispatch.invocation)
    }

    /// Records how many invocations an executor reports as waiting.
    pub fn record_backlog(&mut self, executor: ExecutorIndex, invocations: f64, now: f64) {
        let backlog = &mut self.executors[executor.position()].backlog;
        backlog.invocations = invocations;
        backlog.reported_at = now;
        self.load_changes.record(executor);
    }

    /// Records a dispatch with `work` seconds of expected work, which stays recorded for at least `work_lifetime`
    /// seconds.
    pub fn record_dispatch(
        &mut self,
        executor: ExecutorIndex,
        invocation: InvocationIndex,
        now: f64,
        work: f64,
        work_lifetime: f64,
    ) {
        let record = &mut self.executors[executor.position()];
        record.in_flight.push(ExecutorDispatch {
            invocation,
            sent_at: now,
        });
        record.is_idle = false;
        let recent = &mut record.recent_work;
        recent.push_back(SentWork { sent_at: now, work });
        while recent
            .front()
            .is_some_and(|sent| sent.sent_at < now - work_lifetime)
        {
            recent.pop_front();
        }
        self.load_changes.record(executor);
        self.busy.insert(executor);
        self.add_outlier_candidate(executor, now);
        self.in_flight_count += 1;
    }

    /// Removes the expected work of the dispatch sent at `sent_at` from an executor's recent work and returns it.
    pub fn take_sent_work(&mut self, executor: ExecutorIndex, sent_at: f64) -> Option<f64> {
        let recent = &mut self.executors[executor.position()].recent_work;
        let position = recent.iter().position(|sent| sent.sent_at == sent_at)?;
        recent.remove(position).map(|sent| sent.work)
    }

    /// Adds expected work, in seconds, to an executor's recent work.
    pub fn add_sent_work(&mut self, executor: ExecutorIndex, sent_at: f64, work: f64) {
        let recent = &mut self.executors[executor.position()].recent_work;
        recent.push_back(SentWork { sent_at, work });
    }

    /// Records the end of an invocation's dispatch that was sent at `sent_at`.
    pub fn record_dispatch_end(
        &mut self,
        executor: ExecutorIndex,
        invocation: InvocationIndex,
        sent_at: f64,
        now: f64,
    ) {
        let ended = ExecutorDispatch {
            invocation,
            sent_at,
        };
        let record = &mut self.executors[executor.position()];
        let before = record.in_flight.len();
        record.in_flight.retain(|dispatch| *dispatch != ended);
        self.in_flight_count -= before - record.in_flight.len();
        self.load_changes.record(executor);
        if record.in_flight.is_empty() {
            self.busy.remove(&executor);
            record.is_idle = record.full_backoff.until() <= now;
        }
    }

    /// Updates an executor's last response and its count of consecutive rejections from the status of a dispatch.
    pub fn record_dispatch_status(
        &mut self,
        executor: ExecutorIndex,
        status: DispatchStatus,
        now: f64,
    ) {
        let record = &mut self.executors[executor.position()];
        record.record_response(status, now);
        record.count_rejection(status);
    }

    /// Updates an executor's count of consecutive rejections from the status of a load command.
    pub fn record_load_status(&mut self, executor: ExecutorIndex, status: DispatchStatus) {
        self.executors[executor.position()].count_rejection(status);
    }

    /// Starts a backoff after a `Full` result: `first` seconds, doubled for each consecutive one up to `max_doublings`
    /// times.
    pub fn start_full_backoff(
        &mut self,
        executor: ExecutorIndex,
        now: f64,
        first: f64,
        max_doublings: i32,
    ) {
        let record = &mut self.executors[executor.position()];
        record.full_backoff.start(now, first, max_doublings);
        record.is_idle = false;
    }

    /// Resets the duration of an executor's next backoff to the initial one.
    pub fn reset_full_backoff(&mut self, executor: ExecutorIndex) {
        self.executors[executor.position()].full_backoff.reset();
    }
}
