//! The ready executors, by the groups that the policy asks for.

use super::executor::Executor;
use super::groups::Groups;
use super::{ExecutorIndex, Regions};
use crate::interface::DeduplicationScope;

/// The ready executors in the order of their indices: all of them, and those of each group.
#[derive(Default)]
pub(super) struct ReadySets {
    all: Vec<ExecutorIndex>,
    in_own_region: Vec<ExecutorIndex>,
    by_zone: Groups,
    by_cell: Groups,
}

impl ReadySets {
    /// Collects the sets from the records of all executors.
    pub(super) fn new(executors: &[Executor], regions: &Regions) -> ReadySets {
        let mut ready = ReadySets::default();
        // Small arrays of their own: a pass over all records costs much more in a large fleet.
        let (mut zones, mut cells) = (vec![], vec![]);
        for (position, executor) in executors.iter().enumerate() {
            zones.push(executor.zone());
            cells.push(executor.cell());
            if !executor.is_ready() {
                continue;
            }
            let index = ExecutorIndex::new(position);
            ready.all.push(index);
            if regions.is_own(executor.zone()) {
                ready.in_own_region.push(index);
            }
        }
        ready.by_zone = Groups::new(&ready.all, |executor| zones[executor.position()].into());
        ready.by_cell = Groups::new(&ready.all, |executor| cells[executor.position()].into());
        ready
    }

    /// All ready executors.
    pub(super) fn all(&self) -> &[ExecutorIndex] {
        &self.all
    }

    /// The ready executors of the front end's own region.
    pub(super) fn in_own_region(&self) -> &[ExecutorIndex] {
        &self.in_own_region
    }

    /// The ready executors that share a deduplication scope with an executor.
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
