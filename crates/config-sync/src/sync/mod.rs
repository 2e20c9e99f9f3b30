//! The core: one front end's side of configuration distribution (list-and-watch with anti-entropy by digests).
//!
//! After each connection the front end sends a barrier, then compares its digests with the store's at its own applied
//! revision; changes from the watch are queued meanwhile. This ensures that no change is applied on top of a history
//! that isn't the store's. If the watch can't resume at the applied revision, the front end reads the entries that
//! changed since then, and after that only the buckets that still differ.

mod answers;
mod barrier;
mod bucket_pages;
mod publishing;
mod range_read;
mod requests;
mod restoring;
mod session;
mod stages;
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
use crate::store_copy::StoreCopy;
use crate::view::View;
use barrier::Barriers;
use publishing::Publishing;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use session::SyncSession;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A store and one of its histories.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StoreIdentity {
    cluster: u64,
    generation: u64,
}

/// The phase of synchronization with the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Disconnected,
    /// The first barrier of this connection is in flight.
    AwaitingBarrier,
    /// A session verifies or updates the view; changes from the watch are queued.
    Synchronizing,
    /// The view follows the watch.
    Following,
    /// The last good view stays in force, for the reason `state`, until a retry at `retry_at`.
    Halted {
        state: ReportedState,
        retry_at: f64,
    },
}

/// The task of a session, which has to be complete before the watch is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SyncMode {
    /// Compare digests at the applied revision.
    Verification,
    /// Read the changes since the applied revision, in the same history.
    CatchUp,
    /// Read everything that differs, to adopt another history.
    Rebase,
}

/// One front end's core. All times are in seconds of one monotonic clock that also counts the time for which the
/// machine is suspended (`CLOCK_BOOTTIME`).
#[derive(Debug)]
pub struct ConfigSync<S: Schema> {
    settings: SyncSettings,
    schema: S,
    keyspace: Keyspace,
    random: StdRng,
    phase: Phase,
    mode: SyncMode,
    /// The store that is followed; `None` before the first is known.
    source: Option<StoreIdentity>,
    /// The store that the view comes from; `None` before anything is loaded.
    view_source: Option<StoreIdentity>,
    /// Whether the store appeared to have another history. Only matching digests or a higher generation clear this.
    is_history_suspect: bool,
    /// The reason for the last halt, until the store is followed again.
    halt_reason: Option<ReportedState>,
    stored: StoreCopy,
    applied_revision: i64,
    applier: Applier<S::Entry>,
    /// The view that was last announced to the host.
    announced: Arc<View<S::Entry>>,
    /// Keys in the range of entries that aren't those of entries, with their rejections; a bounded number.
    invalid_keys: BTreeMap<Vec<u8>, Rejection>,
    digest_faults: usize,
    backlog: Backlog,
    watch_is_open: bool,
    reopen_watch_at: f64,
    /// When the watch last delivered a change.
    last_watch_change_at: f64,
    freshness: Freshness,
    barriers: Barriers,
    session: Option<SyncSession>,
    read_limiter: TokenBucket,
    next_request: u64,
    audit_at: f64,
    retry_blocked_at: f64,
    publishing: Publishing,
    actions: VecDeque<Action<S::Entry>>,
}

impl<S: Schema> ConfigSync<S> {
    /// Creates a core without any configuration. `seed`, which determines the random delays, should differ between
    /// front ends.
    ///
    /// # Errors
    ///
    /// If a setting is out of its range.
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
            mode: SyncMode::CatchUp,
            source: None,
            view_source: None,
            is_history_suspect: false,
            halt_reason: None,
            stored: StoreCopy::default(),
            applied_revision: 0,
            applier: Applier::default(),
            announced: Arc::default(),
            invalid_keys: BTreeMap::new(),
            digest_faults: 0,
            backlog: Backlog::new(settings.max_pending_changes, settings.max_pending_bytes),
            watch_is_open: false,
            reopen_watch_at: f64::INFINITY,
            last_watch_change_at: f64::NEG_INFINITY,
            freshness: Freshness::default(),
            barriers: Barriers::default(),
            session: None,
            read_limiter: TokenBucket::new(
                settings.read_bytes_per_second,
                settings.read_burst,
                now,
            ),
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

    /// Whether a view was loaded from a snapshot or the store.
    pub fn is_loaded(&self) -> bool {
        self.view_source.is_some()
    }

    /// The time as of which the view is proven current; negative infinity if it wasn't since the start.
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
            _ => self.halt_reason.unwrap_or(ReportedState::CatchingUp),
        }
    }

    /// Entries whose transactions are rejected at present, oldest first, followed by invalid keys. Both are bounded.
    pub fn rejections(&self) -> Vec<Rejection> {
        let (rejections, _) = self.applier.rejections();
        rejections
            .into_iter()
            .chain(self.invalid_keys.values())
            .cloned()
            .collect()
    }

    /// The validated settings.
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

    /// A uniform random number between 0 and `limit`.
    fn random_below(&mut self, limit: f64) -> f64 {
        self.random.random::<f64>() * limit
    }

    fn request_id(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request)
    }

    /// Halts: the last good view stays in force until the store has recovered.
    fn halt(&mut self, now: f64, state: ReportedState) {
        if matches!(self.phase, Phase::Halted { state: known, .. } if known == state) {
            return;
        }
        self.close_watch();
        self.session = None;
        self.freshness.clear_pending();
        self.halt_reason = Some(state);
        if state == ReportedState::StoreRolledBack && self.view_source == self.source {
            self.is_history_suspect = true;
            self.mode = SyncMode::Verification;
        }
        // Only a barrier can show that the format is readable again.
        let is_unknown = state == ReportedState::UnknownFormat;
        let retry_at = if is_unknown {
            f64::INFINITY
        } else {
            now + timers::HALT_RETRY
        };
        self.phase = Phase::Halted { state, retry_at };
        self.schedule_report(now);
    }

    /// Calls the applier with the present context. `stored` has to contain the new values already.
    fn with_applier(
        &mut self,
        revision: i64,
        apply: impl FnOnce(&mut Applier<S::Entry>, &Context<'_, S>),
    ) {
        let context = Context {
            schema: &self.schema,
            stored: &self.stored,
            max_value_bytes: self.settings.max_value_bytes,
            generation: self.view_source.map_or(0, |source| source.generation),
            revision,
            fresh_as_of: self.freshness.as_of(),
        };
        apply(&mut self.applier, &context);
    }

    /// Announces the view in force to the host, if it has changed. Replaces an announcement that wasn't polled yet.
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
