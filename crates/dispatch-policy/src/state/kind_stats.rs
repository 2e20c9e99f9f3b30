//! Statistics of the ready executors of each hardware kind: the work that they complete, and how many are warm.

use super::executor::Executor;
use super::{DecayingSum, ExecutorIndex, ExecutorTable};

/// Counts the ready executors of a kind, split into those known to be warm and those that may be warming up.
#[derive(Clone, Default)]
pub(super) struct WarmupCount {
    ready: usize,
    /// The executors that are not known to be warm, each once.
    warming: Vec<ExecutorIndex>,
    /// The earliest time at which one of `warming` can become warm, in seconds.
    next_check_at: f64,
}

impl WarmupCount {
    /// Adds a ready executor, which counts as warming up until the next check.
    fn add(&mut self, executor: ExecutorIndex) {
        self.ready += 1;
        self.warming.push(executor);
    }

    /// Counts a ready executor as warming up until the next check.
    fn restart(&mut self, executor: ExecutorIndex) {
        if !self.warming.contains(&executor) {
            self.warming.push(executor);
        }
    }

    fn warm(&self) -> usize {
        self.ready - self.warming.len()
    }
}

/// Statistics of the executors of one hardware kind.
#[derive(Clone, Default)]
pub(super) struct KindStats {
    /// Work that warm executors completed recently, in seconds.
    completed_work: DecayingSum,
    /// Number of warm executors among which that work was shared.
    warm_executors: DecayingSum,
    warmup: WarmupCount,
}

impl ExecutorTable {
    /// Returns true only if all ready executors are known to be warm. May return false although all are warm.
    pub fn all_are_warm(&self) -> bool {
        self.all_are_warm
    }

    /// Returns the number of ready executors of a kind that are warm. `is_warming` tells whether an executor still
    /// warms up, and `warm_at` when it will be warm, in seconds. Executors that warm up are checked again only once one
    /// of them can have become warm.
    pub fn count_warm(
        &mut self,
        kind: usize,
        now: f64,
        is_warming: impl Fn(&Executor) -> bool,
        warm_at: impl Fn(&Executor) -> f64,
    ) -> usize {
        let executors = &self.executors;
        let count = &mut self.kinds[kind].warmup;
        if now >= count.next_check_at {
            count
                .warming
                .retain(|&executor| is_warming(&executors[executor.position()]));
            count.next_check_at = count
                .warming
                .iter()
                .map(|&executor| warm_at(&executors[executor.position()]))
                .fold(f64::INFINITY, f64::min);
        }
        let warm = count.warm();
        let mut kinds = self.kinds.iter();
        self.all_are_warm = kinds.all(|kind| kind.warmup.warming.is_empty());
        warm
    }

    /// Records `work` seconds of work that a warm executor completed, and the number of warm executors of its kind.
    /// Both decay with the time constant, in seconds.
    pub fn record_completed_work(
        &mut self,
        executor: ExecutorIndex,
        warm_executors: f64,
        work: f64,
        now: f64,
        time_constant: f64,
    ) {
        let kind = &mut self.kinds[self.executors[executor.position()].kind()];
        kind.warm_executors
            .raise_to(warm_executors, now, time_constant);
        kind.completed_work.add(work, now, time_constant);
    }

    /// Returns the decayed sum of the work that warm executors of a kind completed, in seconds.
    pub fn completed_work(&self, kind: usize, now: f64, time_constant: f64) -> f64 {
        self.kinds[kind].completed_work.at(now, time_constant)
    }

    /// Returns the decayed maximum of the number of warm executors of a kind.
    pub fn warm_executors(&self, kind: usize, now: f64, time_constant: f64) -> f64 {
        self.kinds[kind].warm_executors.at(now, time_constant)
    }

    /// Adds the statistics of a kind if there are none.
    pub(super) fn add_kind(&mut self, kind: usize) {
        let kinds = self.kinds.len().max(kind + 1);
        self.kinds.resize(kinds, KindStats::default());
    }

    /// Counts an executor as warming up until the next check, if it is ready.
    pub(super) fn restart_warmup(&mut self, executor: ExecutorIndex) {
        self.all_are_warm = false;
        let record = &self.executors[executor.position()];
        let count = &mut self.kinds[record.kind()].warmup;
        count.next_check_at = f64::NEG_INFINITY;
        if record.is_ready {
            count.restart(executor);
        }
    }

    /// Counts every ready executor as warming up until the next check.
    pub(super) fn restart_all_warmups(&mut self) {
        self.all_are_warm = false;
        for kind in &mut self.kinds {
            kind.warmup = WarmupCount {
                next_check_at: f64::NEG_INFINITY,
                ..WarmupCount::default()
            };
        }
        for &executor in self.ready.all() {
            let kind = self.executors[executor.position()].kind();
            self.kinds[kind].warmup.add(executor);
        }
    }
}
