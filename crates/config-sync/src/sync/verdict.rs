//! Decides whether an invocation may use an entry, at admission and again right before its bytes are sent.

use super::ConfigSync;
use crate::schema::Schema;
use crate::view::{Record, View, WhenStale};

/// Whether an invocation may use an entry now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It may use the entry.
    Serve,
    /// The entry must not be used when stale, and wasn't proven current recently enough.
    RefuseStale {
        /// Seconds since the entry was last proven current; infinite if it never was since the start.
        age: f64,
    },
    /// The entry forbids its use, or was deleted since the invocation was admitted.
    RefuseNotAllowed,
    /// There is no such entry.
    Unknown,
    /// No configuration is loaded yet, neither from a snapshot nor from the store.
    NotLoaded,
}

impl<S: Schema> ConfigSync<S> {
    /// Whether a new invocation may use an entry. `now` has to be read right before this call, so that a process that
    /// was paused refuses stale entries even before it has received anything from the store.
    pub fn admits(&self, now: f64, key: &str) -> Verdict {
        if !self.is_loaded() {
            return Verdict::NotLoaded;
        }
        match self.applier.view().get(key) {
            None => Verdict::Unknown,
            Some(record) => self.check_record(now, key, record),
        }
    }

    /// Whether an invocation that was admitted under the view `admitted` may still use the entry, to be checked right
    /// before its bytes are sent. The invocation keeps the view under which it was admitted, except that revocations
    /// since then and staleness apply to it.
    pub fn still_admitted(&self, now: f64, admitted: &View<S::Entry>, key: &str) -> Verdict {
        let Some(known) = admitted.get(key) else {
            return Verdict::Unknown;
        };
        let Some(current) = self.applier.view().get(key) else {
            return Verdict::RefuseNotAllowed;
        };
        match self.check_record(now, key, current) {
            Verdict::Serve => self.check_record(now, key, known),
            refusal => refusal,
        }
    }

    fn check_record(&self, now: f64, key: &str, record: &Record<S::Entry>) -> Verdict {
        if !self.schema.is_allowed(&record.entry) {
            return Verdict::RefuseNotAllowed;
        }
        if record.when_stale == WhenStale::Serve {
            return Verdict::Serve;
        }
        let age = now - self.entry_fresh_as_of(key);
        if age <= self.settings.freshness_bound {
            Verdict::Serve
        } else {
            Verdict::RefuseStale { age }
        }
    }

    /// The time as of which the entry is proven current. An entry whose newest transaction was rejected is older than
    /// the view.
    fn entry_fresh_as_of(&self, key: &str) -> f64 {
        let view = self.freshness.as_of();
        self.applier
            .blocked_as_of(key)
            .map_or(view, |blocked| blocked.min(view))
    }
}
