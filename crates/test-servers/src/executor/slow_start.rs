//! A cold start: how warm an executor is by now, and the load that pushes it over.

use super::Executor;
use orchidtally_invariants::TrafficRecord;
use tracing::warn;

impl Executor {
    pub(super) fn warmth(&self) -> f64 {
        let age = (self.stage.now() - self.since.get()) / self.spec.slow_start_duration;
        (self.spec.slow_start_initial_weight + (1.0 - self.spec.slow_start_initial_weight) * age)
            .min(1.0)
    }

    /// Counts work that comes while it is cold; tells whether that was too much.
    pub(super) fn would_overload(&self, work: f64) -> bool {
        let (now, warmth) = (self.stage.now(), self.warmth());
        if warmth >= 1.0 {
            return false;
        }
        let mut arrived = self.arrived.borrow_mut();
        arrived.push_back((now, work));
        while arrived
            .front()
            .is_some_and(|a| a.0 < now - self.spec.overload_window)
        {
            arrived.pop_front();
        }
        let sum: f64 = arrived.iter().map(|a| a.1).sum();
        // One invocation alone pushes nothing over, however long it runs.
        let most =
            self.spec.overload_factor * warmth * self.spec.cores as f64 * self.spec.overload_window;
        arrived.len() > 2 && sum > most
    }

    pub(super) fn overload(&self) {
        if self.falling.replace(true) {
            return;
        }
        self.overload_count.set(self.overload_count.get() + 1);
        let (at, since) = (self.stage.now(), self.since.get());
        self.stage.record(TrafficRecord::ExecutorOverloaded {
            at,
            executor: self.spec.number,
            started_at: since,
        });
        let Some(me) = self.me.upgrade() else { return };
        self.stage
            .spawn(async move {
                me.crash();
                me.stage.sleep(me.spec.downtime).await;
                me.falling.set(false);
                if let Err(e) = me.restart() {
                    warn!(executor = %me.address, fault = %e, "restart failed");
                }
            })
            .detach();
    }
}
