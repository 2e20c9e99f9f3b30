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
        let all: Vec<ExecutorIndex> = (0..executors.len())
            .filter(|&position| executors[position].is_ready())
            .map(ExecutorIndex::new)
            .collect();
        let zone = |executor: ExecutorIndex| executors[executor.position()].zone();
        let cell = |executor: ExecutorIndex| executors[executor.position()].cell();
        ReadySets {
            in_own_region: all
                .iter()
                .copied()
                .filter(|&executor| regions.is_own(zone(executor)))
                .collect(),
            by_zone: Groups::new(&all, |executor| usize::from(zone(executor))),
            by_cell: Groups::new(&all, |executor| usize::from(cell(executor))),
            all,
        }
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
