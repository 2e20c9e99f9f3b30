//! Barriers: linearizable reads of the generation key. They prove how fresh the view is, tell when the store was set
//! back, and bring the operator's word that another history is to be followed.

use super::{ConfigSync, Need, Phase, Source};
use crate::action::Action;
use crate::keys::FORMAT;
use crate::message::{BarrierAnswer, Header, RequestId};
use crate::report::ReportedState;
use crate::schema::Schema;
use crate::writer::Generation;

/// A barrier that isn't answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenBarrier {
    id: RequestId,
    asked_at: f64,
    /// What the watch had told when it was asked: the answer's revision can't be below it in the same history.
    known_revision: i64,
}

/// When barriers are asked.
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

/// What a barrier's answer says of the store.
enum Judgement {
    /// It is the one that is followed.
    Same,
    /// Nothing is loaded yet, or the operator wants another history to be followed.
    Follow(Source),
    /// It is another history, and nobody said that it should be followed.
    SetBack,
}

impl<S: Schema> ConfigSync<S> {
    /// A barrier was answered.
    pub fn barrier_answer(&mut self, now: f64, answer: BarrierAnswer) {
        let Some(open) = self.barriers.open.filter(|open| open.id == answer.id) else {
            return;
        };
        self.barriers.open = None;
        let Some(generation) = read_generation(answer.generation.as_deref()) else {
            self.halt(now, ReportedState::UnknownFormat);
            return;
        };
        match self.judge_store(&answer.header, generation, open.known_revision) {
            Judgement::Same => self.same_store(now, &open, answer.header.revision),
            Judgement::Follow(source) => self.follow_source(now, source),
            Judgement::SetBack => {
                self.halt(now, ReportedState::StoreSetBack);
            }
        }
    }

    /// Asks barriers from now on.
    pub(super) fn start_barriers(&mut self, now: f64) {
        self.barriers = Barriers {
            open: None,
            next_at: now,
        };
    }

    pub(super) fn stop_barriers(&mut self) {
        self.barriers = Barriers::default();
    }

    /// When something is to be done about barriers.
    pub(super) fn barrier_timer(&self) -> f64 {
        match self.barriers.open {
            Some(open) => open.asked_at + self.settings.request_timeout,
            None => self.barriers.next_at,
        }
    }

    pub(super) fn run_barrier_timer(&mut self, now: f64) {
        if now < self.barrier_timer() {
            return;
        }
        // A barrier without an answer in time is asked again at once, under another number.
        self.barriers.open = None;
        let id = self.request_id();
        // The time is taken before the question is sent: what it proves, it proves as of then.
        let known_revision = self.known_revision();
        self.barriers.open = Some(OpenBarrier {
            id,
            asked_at: now,
            known_revision,
        });
        let interval = self.settings.barrier_interval;
        self.barriers.next_at = now + interval * 0.9 + self.draw(interval * 0.2);
        self.actions.push_back(Action::Barrier { id });
    }

    /// Whether the failed request was the open barrier; it is asked again after a drawn pause.
    pub(super) fn barrier_failed(&mut self, now: f64, id: RequestId) -> bool {
        if self.barriers.open.is_none_or(|open| open.id != id) {
            return false;
        }
        self.barriers.open = None;
        self.barriers.next_at = now + self.draw(self.settings.barrier_interval.min(1.0));
        true
    }

    /// The greatest revision that was seen in the history that is followed.
    fn known_revision(&self) -> i64 {
        if self.loaded != self.source {
            return 0;
        }
        self.backlog.complete_through().max(self.applied_revision)
    }

    fn judge_store(&self, header: &Header, generation: u64, known_revision: i64) -> Judgement {
        let source = Source {
            cluster: header.cluster,
            generation,
        };
        let Some(followed) = self.source else {
            return Judgement::Follow(source);
        };
        if followed == source && header.revision >= known_revision {
            return Judgement::Same;
        }
        let is_wanted = generation > followed.generation || self.loaded.is_none();
        if is_wanted {
            Judgement::Follow(source)
        } else {
            Judgement::SetBack
        }
    }

    fn same_store(&mut self, now: f64, open: &OpenBarrier, revision: i64) {
        match self.phase {
            Phase::AwaitingBarrier => self.start_reading(now, self.need),
            Phase::Halted {
                state: ReportedState::UnknownFormat,
                ..
            } => {
                self.fault = None;
                self.resume(now);
            }
            Phase::Halted { .. } => return,
            _ => {}
        }
        self.freshness.answered(open.asked_at, revision);
        self.settle_freshness();
        if self.watch_is_open && revision > self.backlog.complete_through() {
            self.request_progress();
        }
    }

    fn follow_source(&mut self, now: f64, source: Source) {
        let is_first = self.loaded.is_none();
        self.source = Some(source);
        self.distrusts = false;
        self.fault = None;
        self.close_watch();
        self.reading = None;
        self.freshness.forget_questions();
        self.start_reading(
            now,
            if is_first {
                Need::CatchUp
            } else {
                Need::Rebase
            },
        );
        self.mark_report(now);
    }
}

/// The generation that the key's value names, 0 without a key; `None` if it can't be read.
fn read_generation(value: Option<&[u8]>) -> Option<u64> {
    let Some(value) = value else { return Some(0) };
    let generation: Generation = serde_json::from_slice(value).ok()?;
    (generation.format == FORMAT).then_some(generation.generation)
}
