//! How old the list of executors is, as the engine has to know it: when its source was asked that has answered, and
//! whether the process stood still since.

use super::Router;
use async_io::Timer;
use orchidtally_engine::stall_detector::MAX_OBSERVATION_INTERVAL;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

impl Router {
    /// The list was true when its source was asked at a time, which has answered that.
    pub fn endpoints_confirmed(&self, asked_at: f64) {
        self.run_engine(|engine, now, action_executor| {
            engine.on_view_confirmed(now, asked_at, action_executor)
        });
    }

    /// What the source was asked at a time has no answer.
    pub fn endpoints_lost(&self, asked_at: f64) {
        self.run_engine(|engine, now, _| engine.on_view_lost(now, asked_at));
    }

    /// When bytes that are read now may have come: they may have waited while the process stood still.
    pub fn arrived_by(&self) -> f64 {
        let now = self.now();
        self.stall_detector.borrow().arrival_bound(now)
    }

    /// The time; the engine hears of it if the process stood still until now.
    pub(super) fn observe_clock(&self) -> f64 {
        let now = self.now();
        if let Some(seconds) = self.stall_detector.borrow_mut().take_stall() {
            warn!(
                seconds,
                "process stall detected: nothing is dispatched on a stale endpoint list until its source has answered"
            );
            self.engine.borrow_mut().on_process_stall(now);
        }
        now
    }

    /// Looks at the clock often enough to tell a standstill from idleness, for as long as the front end lives.
    pub async fn watch_clock(self: Rc<Self>) {
        loop {
            Timer::after(Duration::from_secs_f64(MAX_OBSERVATION_INTERVAL)).await;
            self.observe_clock();
        }
    }
}
