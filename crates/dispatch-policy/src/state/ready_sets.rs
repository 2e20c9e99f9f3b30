//! The ready executors, grouped by region, zone and cell.

use super::executor::Executor;
use super::groups::Groups;
use super::{ExecutorIndex, Regions};
use crate::interface::DeduplicationScope;

/// The ready executors, ordered by index: all of them and those of each group.
#[derive(Default)]
pub(super) struct ReadySets {
    all: Vec<ExecutorIndex>,
    in_own_region: Vec<ExecutorIndex>,
    by_zone: Groups,
    by_cell: Groups,
}

impl ReadySets {
    /// Builds the sets from the records of all executors.
    pub(super) fn new(executors: &[Executor], regions: &Regions) -> ReadySets {
        let mut ready = ReadySets::default();
        // Zones and cells are copied to compact arrays: in a large fleet, repeated passes over the full records cost
        // much more.
        let (mut zones, mut cells) = (vec![], vec![]);
        for (position, executor) in executors.iter().enumerate() {
            zones.push(executor.zone());
            cells.push(executor.cell());
            if !executor.is_ready() {
                continue;
            }
            let index = ExecutorIndex::new(position);
            ready.all.push(index);
            if regions.is_own_region(executor.zone()) {
                ready.in_own_region.push(index);
            }
        }
        ready.by_zone = Groups::new(&ready.all, |executor| zones[executor.position()].into());
        ready.by_cell = Groups::new(&ready.all, |executor| cells[executor.position()].into());
        ready
    }

    /// Returns all ready executors.
    pub(super) fn all(&self) -> &[ExecutorIndex] {
        &self.all
    }

    /// Returns the ready executors in the front end's own region.
    pub(super) fn in_own_region(&self) -> &[ExecutorIndex] {
        &self.in_own_region
    }

    /// Returns the ready executors that share a deduplication scope with `member`.
    pub(super) fn in_scope_of(
        &self,
        scope: DeduplicationScope,
        member: &Executor,
    ) -> &[ExecutorIndex] {
        match scope {
            DeduplicationScope::All => &self.all,
            DeduplicationScope::Zone => self.by_zone.members(member.zone().into()),
            DeduplicationScope::Cell => self.by_cell.members(member.cell().into()),
        }
    }
}
