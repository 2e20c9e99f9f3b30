//! What the ready executors of a hardware kind do together, and which of them may be warming up.

use super::executor::Executor;
use super::{DecayingSum, ExecutorIndex, ExecutorTable};

/// The ready executors of a kind, split into those seen to be warm and those that may be warming up.
#[derive(Clone, Default)]
pub(super) struct WarmupCount {
    ready: usize,
    /// Those not seen to be warm, each once.
    warming: Vec<ExecutorIndex>,
    /// None of these becomes warm before, in seconds.
    next_check_at: f64,
}

impl WarmupCount {
    /// Adds a ready executor, which counts as warming up until it is looked at.
    fn add(&mut self, executor: ExecutorIndex) {
        self.ready += 1;
        self.warming.push(executor);
    }

    /// Has an executor count as warming up again.
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
    /// Work that warm executors completed lately, in seconds.
    completed_work: DecayingSum,
    /// How many warm executors shared that.
    warm_executors: DecayingSum,
    warmup: WarmupCount,
}

impl ExecutorTable {
    /// Whether all ready executors were seen to be warm. Where this is false they may be, too.
    pub fn all_are_warm(&self) -> bool {
        self.all_are_warm
    }

    /// The number of ready executors of a kind that are warm. Those that are warming up are looked at again once
    /// one of them can have become warm.
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

    /// Notes work in seconds that a warm executor completed, and the number of warm executors of its kind.
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

    /// Work that warm executors of a kind completed lately, in seconds.
    pub fn completed_work(&self, kind: usize, now: f64, time_constant: f64) -> f64 {
        self.kinds[kind].completed_work.at(now, time_constant)
    }

    /// How many warm executors of a kind shared that.
    pub fn warm_executors(&self, kind: usize, now: f64, time_constant: f64) -> f64 {
        self.kinds[kind].warm_executors.at(now, time_constant)
    }

    /// Makes sure that there are statistics of a kind.
    pub(super) fn add_kind(&mut self, kind: usize) {
        let kinds = self.kinds.len().max(kind + 1);
        self.kinds.resize(kinds, KindStats::default());
    }

    /// Has an executor count as warming up again.
    pub(super) fn restart_warmup(&mut self, executor: ExecutorIndex) {
        self.all_are_warm = false;
        let record = &self.executors[executor.position()];
        let count = &mut self.kinds[record.kind()].warmup;
        count.next_check_at = f64::NEG_INFINITY;
        if record.is_ready {
            count.restart(executor);
        }
    }

    /// Has every ready executor count as warming up until it is looked at.
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
