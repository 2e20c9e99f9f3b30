//! The age of the endpoint view: when the source was last known to have the same list, and whether the process stalled
//! since.

use super::Router;
use async_io::Timer;
use orchidtally_engine::stall_detector::MAX_OBSERVATION_INTERVAL;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

impl Router {
    /// The source has answered a request that was sent at `requested_at`: the list was current then.
    pub fn on_endpoints_confirmed(&self, requested_at: f64) {
        self.run_engine(|engine, now, action_executor| {
            engine.on_view_confirmed(now, requested_at, action_executor)
        });
    }

    /// The source has not answered the request that was sent at `requested_at`.
    pub fn on_endpoint_request_unanswered(&self, requested_at: f64) {
        self.run_engine(|engine, now, _| engine.on_view_request_unanswered(now, requested_at));
    }

    /// The earliest time at which bytes that are read now can have arrived: they may have waited during a process stall.
    pub fn arrived_by(&self) -> f64 {
        let now = self.now();
        self.stall_detector.borrow().earliest_arrival(now)
    }

    /// Reads the time, and notifies the engine of a process stall that ends now.
    pub(super) fn observe_clock(&self) -> f64 {
        let now = self.now();
        if let Some(seconds) = self.stall_detector.borrow_mut().take_longest_stall() {
            warn!(
                seconds,
                "process stall detected: nothing is dispatched on a stale endpoint list until its source has answered"
            );
            self.engine.borrow_mut().on_process_stall(now);
        }
        now
    }

    /// Reads the clock often enough to distinguish a process stall from idleness. Never returns.
    pub async fn watch_clock(self: Rc<Self>) {
        loop {
            Timer::after(Duration::from_secs_f64(MAX_OBSERVATION_INTERVAL)).await;
            self.observe_clock();
        }
    }
}
