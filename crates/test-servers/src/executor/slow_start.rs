//! Slow start: an executor's capacity grows from a fraction to its whole after a start, and overload in that time takes
//! it down.

use super::Executor;
use orchidtally_invariants::TrafficRecord;
use tracing::warn;

impl Executor {
    /// The available fraction of the executor's capacity, from `ExecutorSpec::slow_start_initial_weight` up to 1.
    pub(super) fn slow_start_factor(&self) -> f64 {
        let age = (self.environment.now() - self.started_at.get()) / self.spec.slow_start_duration;
        (self.spec.slow_start_initial_weight + (1.0 - self.spec.slow_start_initial_weight) * age)
            .min(1.0)
    }

    /// Counts work that arrives during slow start, and returns whether the sum over the window exceeds the limit.
    pub(super) fn would_overload(&self, work: f64) -> bool {
        let (now, slow_start_factor) = (self.environment.now(), self.slow_start_factor());
        if slow_start_factor >= 1.0 {
            return false;
        }
        let mut recent_work = self.recent_work.borrow_mut();
        recent_work.push_back((now, work));
        while recent_work
            .front()
            .is_some_and(|a| a.0 < now - self.spec.overload_window)
        {
            recent_work.pop_front();
        }
        let sum: f64 = recent_work.iter().map(|a| a.1).sum();
        // One or two invocations never overload it, however long they run.
        let limit = self.spec.overload_factor
            * slow_start_factor
            * self.spec.cores as f64
            * self.spec.overload_window;
        recent_work.len() > 2 && sum > limit
    }

    /// Crashes the executor and restarts it after `ExecutorSpec::downtime`.
    pub(super) fn overload(&self) {
        if self.is_restarting.replace(true) {
            return;
        }
        self.overload_count.set(self.overload_count.get() + 1);
        let (at, started_at) = (self.environment.now(), self.started_at.get());
        self.environment.record(TrafficRecord::ExecutorOverloaded {
            at,
            executor: self.spec.number,
            started_at,
        });
        let Some(executor) = self.weak_self.upgrade() else {
            return;
        };
        self.environment
            .spawn(async move {
                executor.crash();
                executor.environment.sleep(executor.spec.downtime).await;
                executor.is_restarting.set(false);
                if let Err(e) = executor.restart() {
                    warn!(executor = %executor.address, fault = %e, "restart failed");
                }
            })
            .detach();
    }
}
