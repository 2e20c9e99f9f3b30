//! The core itself: one front end's side of configuration distribution.
//!
//! After each connection the front end asks a barrier, then compares its own digests with the store's at its own
//! applied revision; what the watch tells meanwhile waits. So nothing is applied on top of a history that isn't the
//! store's. What it can't resume by revision it reads: what changed since, then only buckets that still differ.

mod barrier;
mod catch_up;
mod publishing;
mod reading;
mod requests;
mod restoring;
mod steps;
mod timers;
mod verdict;
mod watching;

pub use restoring::Restored;
pub use verdict::Verdict;

use crate::action::Action;
use crate::applier::{Applier, Context};
use crate::backlog::Backlog;
use crate::freshness::Freshness;
use crate::keys::Keyspace;
use crate::message::RequestId;
use crate::pacing::TokenBucket;
use crate::report::ReportedState;
use crate::schema::{Rejection, Schema};
use crate::settings::{SettingsError, SyncSettings};
use crate::stored::Stored;
use crate::view::View;
use barrier::Barriers;
use publishing::Publishing;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reading::Reading;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Which store is followed, and which of its histories.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Source {
    cluster: u64,
    generation: u64,
}

/// How far the front end is with the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Disconnected,
    /// The first barrier of this connection isn't answered yet.
    AwaitingBarrier,
    /// Reading what decides, or brings, the view; changes wait.
    Reading,
    /// The view follows the watch.
    Following,
    /// The last good view stays, for this reason; it is looked again at this time.
    Halted {
        state: ReportedState,
        retry_at: f64,
    },
}

/// What has to be read before the watch is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// A comparison of digests at the applied revision.
    Verification,
    /// What changed since the applied revision, in the same history.
    CatchUp,
    /// Whatever differs; another history is taken over.
    Rebase,
}

/// One front end's core. Times are seconds of one clock that never goes back and goes on while the machine is
/// suspended (`CLOCK_BOOTTIME`).
#[derive(Debug)]
pub struct ConfigSync<S: Schema> {
    settings: SyncSettings,
    schema: S,
    keyspace: Keyspace,
    random: StdRng,
    phase: Phase,
    need: Need,
    /// The store that is followed; `None` before the first is known.
    source: Option<Source>,
    /// The store that the view comes from; `None` before anything is loaded.
    loaded: Option<Source>,
    /// The store's history was found to be another one; only digests that fit, or a higher generation, help.
    distrusts: bool,
    /// Why it halted last; it stands until the store is followed again.
    fault: Option<ReportedState>,
    stored: Stored,
    applied_revision: i64,
    applier: Applier<S::Entry>,
    /// The view that the host was told of last.
    announced: Arc<View<S::Entry>>,
    /// Keys in the entries' range that are no entries', with what is said of them; a bounded number.
    foreign_keys: BTreeMap<Vec<u8>, Rejection>,
    digest_faults: usize,
    backlog: Backlog,
    watch_is_open: bool,
    reopen_watch_at: f64,
    /// When the watch told of a change last.
    watch_told_at: f64,
    freshness: Freshness,
    barriers: Barriers,
    reading: Option<Reading>,
    read_pace: TokenBucket,
    next_request: u64,
    audit_at: f64,
    retry_blocked_at: f64,
    publishing: Publishing,
    actions: VecDeque<Action<S::Entry>>,
}

impl<S: Schema> ConfigSync<S> {
    /// A core that knows nothing yet. `seed` draws its delays; it should differ between front ends.
    pub fn new(
        settings: SyncSettings,
        schema: S,
        seed: u64,
        now: f64,
    ) -> Result<ConfigSync<S>, SettingsError> {
        let settings = settings.checked()?;
        Ok(ConfigSync {
            keyspace: Keyspace::new(settings.prefix.clone()),
            random: StdRng::seed_from_u64(seed),
            phase: Phase::Disconnected,
            need: Need::CatchUp,
            source: None,
            loaded: None,
            distrusts: false,
            fault: None,
            stored: Stored::default(),
            applied_revision: 0,
            applier: Applier::default(),
            announced: Arc::default(),
            foreign_keys: BTreeMap::new(),
            digest_faults: 0,
            backlog: Backlog::new(settings.max_pending_changes, settings.max_pending_bytes),
            watch_is_open: false,
            reopen_watch_at: f64::INFINITY,
            watch_told_at: f64::NEG_INFINITY,
            freshness: Freshness::default(),
            barriers: Barriers::default(),
            reading: None,
            read_pace: TokenBucket::new(settings.read_bytes_per_second, settings.read_burst, now),
            next_request: 0,
            audit_at: f64::INFINITY,
            retry_blocked_at: f64::INFINITY,
            publishing: Publishing::default(),
            actions: VecDeque::new(),
            settings,
            schema,
        })
    }

    /// The view that is in force; empty while [`ConfigSync::is_loaded`] is false.
    pub fn view(&self) -> Arc<View<S::Entry>> {
        self.applier.view().clone()
    }

    /// Whether a snapshot or the store gave a view.
    pub fn is_loaded(&self) -> bool {
        self.loaded.is_some()
    }

    /// The time as of which the view is certainly current; negative infinity if it never was proven since the start.
    pub fn fresh_as_of(&self) -> f64 {
        self.freshness.as_of()
    }

    /// Every transaction up to this revision is applied or rejected; 0 before anything is loaded.
    pub fn applied_revision(&self) -> i64 {
        self.applied_revision
    }

    /// Whether the store is followed.
    pub fn state(&self) -> ReportedState {
        match self.phase {
            Phase::Following => ReportedState::Following,
            _ => self.fault.unwrap_or(ReportedState::CatchingUp),
        }
    }

    /// Entries whose transactions are rejected at present, oldest first, all that are kept.
    pub fn rejections(&self) -> Vec<Rejection> {
        let (rejections, _) = self.applier.rejections();
        rejections
            .into_iter()
            .chain(self.foreign_keys.values())
            .cloned()
            .collect()
    }

    /// The settings, as they were checked.
    pub fn settings(&self) -> &SyncSettings {
        &self.settings
    }

    /// The store's keys.
    pub fn keyspace(&self) -> &Keyspace {
        &self.keyspace
    }

    fn is_connected(&self) -> bool {
        self.phase != Phase::Disconnected
    }

    /// A number drawn between 0 and `most`.
    fn draw(&mut self, most: f64) -> f64 {
        self.random.random::<f64>() * most
    }

    fn request_id(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request)
    }

    /// Keeps the last good view until the store has come right.
    fn halt(&mut self, now: f64, state: ReportedState) {
        if matches!(self.phase, Phase::Halted { state: known, .. } if known == state) {
            return;
        }
        self.close_watch();
        self.reading = None;
        self.freshness.forget_questions();
        self.fault = Some(state);
        if state == ReportedState::StoreSetBack && self.loaded == self.source {
            self.distrusts = true;
            self.need = Need::Verification;
        }
        // Only a barrier tells that the format can be read again.
        let is_unknown = state == ReportedState::UnknownFormat;
        let retry_at = if is_unknown {
            f64::INFINITY
        } else {
            now + timers::HALT_RETRY
        };
        self.phase = Phase::Halted { state, retry_at };
        self.mark_report(now);
    }

    /// Applies to the view by this, after `stored` has its new values.
    fn with_applier(
        &mut self,
        revision: i64,
        apply: impl FnOnce(&mut Applier<S::Entry>, &Context<'_, S>),
    ) {
        let context = Context {
            schema: &self.schema,
            stored: &self.stored,
            max_value_bytes: self.settings.max_value_bytes,
            generation: self.loaded.map_or(0, |source| source.generation),
            revision,
            fresh_as_of: self.freshness.as_of(),
        };
        apply(&mut self.applier, &context);
    }

    /// Tells the host of the view that is in force, once for all changes that came together.
    fn announce_view(&mut self) {
        if Arc::ptr_eq(&self.announced, self.applier.view()) {
            return;
        }
        self.announced = self.applier.view().clone();
        self.actions
            .retain(|action| !matches!(action, Action::Apply(_)));
        self.actions
            .push_back(Action::Apply(self.announced.clone()));
    }
}
