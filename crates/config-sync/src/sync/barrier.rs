//! Barriers: linearizable reads of the generation key. They prove how fresh the view is, detect that the store was
//! rolled back, and carry the operator's decision to follow another history.

use super::{ConfigSync, Phase, StoreIdentity, SyncMode};
use crate::action::Action;
use crate::keys::FORMAT;
use crate::message::{BarrierAnswer, Header, RequestId};
use crate::report::ReportedState;
use crate::schema::Schema;
use crate::writer::Generation;

/// A barrier in flight.
#[derive(Clone, Copy, Debug)]
struct OpenBarrier {
    id: RequestId,
    sent_at: f64,
    /// The revision up to which the watch had received changes when the barrier was sent. In the same history, the
    /// answer can't be below it.
    known_revision: i64,
}

/// The schedule of barriers.
#[derive(Debug)]
pub(super) struct Barriers {
    open: Option<OpenBarrier>,
    next_at: f64,
}

impl Default for Barriers {
    fn default() -> Barriers {
        Barriers {
            open: None,
            next_at: f64::INFINITY,
        }
    }
}

/// How the store that answered a barrier compares with the one that is followed.
enum StoreComparison {
    /// It is the same store and history.
    Unchanged,
    /// Nothing is loaded yet, or the operator raised the generation: this store is followed from now on.
    Adopt(StoreIdentity),
    /// It has another history, without a higher generation.
    RolledBack,
}

impl<S: Schema> ConfigSync<S> {
    /// Handles the answer to an [`Action::Barrier`].
    pub fn on_barrier_answer(&mut self, now: f64, answer: BarrierAnswer) {
        let Some(open) = self.barriers.open.filter(|open| open.id == answer.id) else {
            return;
        };
        self.barriers.open = None;
        let Some(generation) = parse_generation(answer.generation.as_deref()) else {
            self.halt(now, ReportedState::UnknownFormat);
            return;
        };
        match self.compare_store(&answer.header, generation, open.known_revision) {
            StoreComparison::Unchanged => self.on_same_store(now, &open, answer.header.revision),
            StoreComparison::Adopt(source) => self.adopt_source(now, source),
            StoreComparison::RolledBack => {
                self.halt(now, ReportedState::StoreRolledBack);
            }
        }
    }

    /// Starts to send barriers, the first one at once.
    pub(super) fn start_barriers(&mut self, now: f64) {
        self.barriers = Barriers {
            open: None,
            next_at: now,
        };
    }

    pub(super) fn stop_barriers(&mut self) {
        self.barriers = Barriers::default();
    }

    /// The time at which a barrier is due or times out.
    pub(super) fn barrier_timer(&self) -> f64 {
        match self.barriers.open {
            Some(open) => open.sent_at + self.settings.request_timeout,
            None => self.barriers.next_at,
        }
    }

    pub(super) fn run_barrier_timer(&mut self, now: f64) {
        if now < self.barrier_timer() {
            return;
        }
        // A barrier that timed out is sent again at once, under another id.
        self.barriers.open = None;
        let id = self.request_id();
        // The time is recorded before the request is sent, since the answer proves freshness as of that time.
        let known_revision = self.known_revision();
        self.barriers.open = Some(OpenBarrier {
            id,
            sent_at: now,
            known_revision,
        });
        let interval = self.settings.barrier_interval;
        self.barriers.next_at = now + interval * 0.9 + self.random_below(interval * 0.2);
        self.actions.push_back(Action::Barrier { id });
    }

    /// Schedules another barrier after a random delay if the failed request was the barrier in flight. Returns whether
    /// it was.
    pub(super) fn barrier_failed(&mut self, now: f64, id: RequestId) -> bool {
        if self.barriers.open.is_none_or(|open| open.id != id) {
            return false;
        }
        self.barriers.open = None;
        self.barriers.next_at = now + self.random_below(self.settings.barrier_interval.min(1.0));
        true
    }

    /// The highest revision that was received in the history that is followed.
    fn known_revision(&self) -> i64 {
        if self.view_source != self.source {
            return 0;
        }
        self.backlog.complete_through().max(self.applied_revision)
    }

    fn compare_store(
        &self,
        header: &Header,
        generation: u64,
        known_revision: i64,
    ) -> StoreComparison {
        let source = StoreIdentity {
            cluster: header.cluster,
            generation,
        };
        let Some(followed) = self.source else {
            return StoreComparison::Adopt(source);
        };
        if followed == source && header.revision >= known_revision {
            return StoreComparison::Unchanged;
        }
        let may_adopt = generation > followed.generation || self.view_source.is_none();
        if may_adopt {
            StoreComparison::Adopt(source)
        } else {
            StoreComparison::RolledBack
        }
    }

    fn on_same_store(&mut self, now: f64, open: &OpenBarrier, revision: i64) {
        match self.phase {
            Phase::AwaitingBarrier => self.start_session(now, self.mode),
            Phase::Halted {
                state: ReportedState::UnknownFormat,
                ..
            } => {
                self.halt_reason = None;
                self.resume(now);
            }
            Phase::Halted { .. } => return,
            _ => {}
        }
        self.freshness.on_barrier(open.sent_at, revision);
        self.update_freshness();
        if self.watch_is_open && revision > self.backlog.complete_through() {
            self.request_progress();
        }
    }

    fn adopt_source(&mut self, now: f64, source: StoreIdentity) {
        let is_first = self.view_source.is_none();
        self.source = Some(source);
        self.is_history_suspect = false;
        self.halt_reason = None;
        self.close_watch();
        self.session = None;
        self.freshness.clear_pending();
        self.start_session(
            now,
            if is_first {
                SyncMode::CatchUp
            } else {
                SyncMode::Rebase
            },
        );
        self.schedule_report(now);
    }
}

/// The generation in the key's value, 0 without a key; `None` if it can't be read.
fn parse_generation(value: Option<&[u8]>) -> Option<u64> {
    let Some(value) = value else { return Some(0) };
    let generation: Generation = serde_json::from_slice(value).ok()?;
    (generation.format == FORMAT).then_some(generation.generation)
}
