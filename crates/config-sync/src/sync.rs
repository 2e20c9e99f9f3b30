//! The core itself: one front end's side of configuration distribution.
//!
//! The shape of each call stands; what it does is filled in module by module.

use crate::action::Action;
use crate::message::{BarrierAnswer, Header, RangeAnswer, RequestFailure, RequestId, WatchBatch};
use crate::report::{Report, ReportedState};
use crate::schema::{Rejection, Schema};
use crate::settings::{SettingsError, SyncSettings};
use crate::snapshot::SnapshotError;
use crate::view::View;
use std::collections::VecDeque;
use std::sync::Arc;

/// Whether a call may use an entry now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Serve,
    /// The entry is refused when stale, and the view was last certainly current `age` seconds ago; infinite if it
    /// was not yet since the start.
    RefuseStale {
        age: f64,
    },
    /// The entry says that it must not be used, or was deleted since the call was admitted.
    RefuseNotAllowed,
    /// There is no such entry.
    Unknown,
    /// No configuration is loaded yet: neither a snapshot nor an answer of the store.
    NotLoaded,
}

/// What came of the snapshots on disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Restored {
    /// The revision that the front end starts from; `None` if no snapshot could be used.
    pub revision: Option<i64>,
    /// Why newer snapshots were passed over, in their order.
    pub passed_over: Vec<SnapshotError>,
}

/// One front end's core. Times are seconds of one clock that never goes back and goes on while the machine is
/// suspended (`CLOCK_BOOTTIME`).
#[derive(Debug)]
pub struct ConfigSync<S: Schema> {
    settings: SyncSettings,
    schema: S,
    view: Arc<View<S::Entry>>,
    actions: VecDeque<Action<S::Entry>>,
}

impl<S: Schema> ConfigSync<S> {
    /// A core that knows nothing yet. `seed` draws its delays; it should differ between front ends.
    pub fn new(
        settings: SyncSettings,
        schema: S,
        _seed: u64,
        _now: f64,
    ) -> Result<ConfigSync<S>, SettingsError> {
        let settings = settings.checked()?;
        Ok(ConfigSync { settings, schema, view: Arc::default(), actions: VecDeque::new() })
    }

    /// Starts from the first snapshot that can be used; to be called before [`ConfigSync::connected`]. The newest
    /// snapshot comes first.
    pub fn restore(&mut self, _now: f64, _newest_first: &[&[u8]]) -> Restored {
        Restored::default()
    }

    /// The store can be reached: requests can be sent and watches be opened.
    pub fn connected(&mut self, _now: f64) {}

    /// The store can't be reached, or the watch's connection broke. What was asked and not answered is forgotten.
    pub fn disconnected(&mut self, _now: f64) {}

    /// The watch told of changes, in the order of revisions.
    pub fn watch_batch(&mut self, _now: f64, _batch: WatchBatch) {}

    /// The watch told that all changes up to the header's revision were told.
    pub fn watch_progress(&mut self, _now: f64, _header: Header) {}

    /// The watch can't go on: what it would go on from is compacted up to this revision.
    pub fn watch_compacted(&mut self, _now: f64, _compact_revision: i64) {}

    /// The store ended the watch for another reason.
    pub fn watch_cancelled(&mut self, _now: f64) {}

    /// A read was answered.
    pub fn range_answer(&mut self, _now: f64, _answer: RangeAnswer) {}

    /// A barrier was answered.
    pub fn barrier_answer(&mut self, _now: f64, _answer: BarrierAnswer) {}

    /// A read or a barrier failed.
    pub fn request_failed(&mut self, _now: f64, _id: RequestId, _failure: RequestFailure) {}

    /// The report of this sequence stands in the store.
    pub fn reported(&mut self, _now: f64, _sequence: u64) {}

    /// The report of this sequence could not be put, or its lease is over: it is told again.
    pub fn report_failed(&mut self, _now: f64, _sequence: u64) {}

    /// What is to be done now; to be called until it gives `None`, after each call above and when
    /// [`ConfigSync::next_timer`] has come.
    pub fn poll(&mut self, _now: f64) -> Option<Action<S::Entry>> {
        self.actions.pop_front()
    }

    /// When [`ConfigSync::poll`] is to be called at the latest, in seconds; infinite if nothing is waited for.
    pub fn next_timer(&self) -> f64 {
        f64::INFINITY
    }

    /// The view that is in force; empty while [`ConfigSync::is_loaded`] is false.
    pub fn view(&self) -> Arc<View<S::Entry>> {
        self.view.clone()
    }

    /// Whether a snapshot or the store gave a view.
    pub fn is_loaded(&self) -> bool {
        false
    }

    /// Whether a call that comes now may use an entry.
    pub fn admits(&self, _now: f64, key: &str) -> Verdict {
        let Some(record) = self.view.get(key) else { return Verdict::Unknown };
        if self.schema.is_allowed(&record.entry) { Verdict::Serve } else { Verdict::RefuseNotAllowed }
    }

    /// Whether a call that was admitted under `admitted` may still use the entry; to be asked right before its bytes
    /// go out. A later view that takes the entry away counts, and so does time.
    pub fn still_admitted(&self, now: f64, _admitted: &View<S::Entry>, key: &str) -> Verdict {
        self.admits(now, key)
    }

    /// The time as of which the view is certainly current; negative infinity if it never was proven since the start.
    pub fn fresh_as_of(&self) -> f64 {
        f64::NEG_INFINITY
    }

    /// Every transaction up to this revision is applied or rejected; 0 before anything is loaded.
    pub fn applied_revision(&self) -> i64 {
        0
    }

    /// Whether the store is followed.
    pub fn state(&self) -> ReportedState {
        ReportedState::CatchingUp
    }

    /// Entries whose transactions are rejected at present, oldest first, all of them.
    pub fn rejections(&self) -> Vec<Rejection> {
        vec![]
    }

    /// What a report would say now.
    pub fn report(&self) -> Report {
        Report {
            sequence: 0,
            applied_revision: self.applied_revision(),
            generation: self.view.generation(),
            cluster: 0,
            state: self.state(),
            rejected: vec![],
            rejected_omitted: 0,
            digest_faults: 0,
        }
    }

    pub fn settings(&self) -> &SyncSettings {
        &self.settings
    }
}
