//! Whether a call may use an entry: asked at its admission, and again right before its bytes go out.

use super::ConfigSync;
use crate::schema::Schema;
use crate::view::{Record, View, WhenStale};

/// Whether a call may use an entry now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It may.
    Serve,
    /// The entry is refused when stale, and what is known of it was last certainly current `age` seconds ago;
    /// infinite if it was not yet since the start.
    RefuseStale {
        /// In seconds.
        age: f64,
    },
    /// The entry says that it must not be used, or was deleted since the call was admitted.
    RefuseNotAllowed,
    /// There is no such entry.
    Unknown,
    /// No configuration is loaded yet: neither a snapshot nor an answer of the store.
    NotLoaded,
}

impl<S: Schema> ConfigSync<S> {
    /// Whether a call that comes now may use an entry. `now` has to be read for this very question: a process that
    /// was paused and wakes is refused before it has read anything from the store.
    pub fn admits(&self, now: f64, key: &str) -> Verdict {
        if !self.is_loaded() {
            return Verdict::NotLoaded;
        }
        match self.applier.view().get(key) {
            None => Verdict::Unknown,
            Some(record) => self.judge(now, key, record),
        }
    }

    /// Whether a call that was admitted under the view `admitted` may still use the entry; to be asked right before
    /// its bytes go out. All else of the call goes by the view that it was admitted under, but what was taken away
    /// since counts, and so does time.
    pub fn still_admitted(&self, now: f64, admitted: &View<S::Entry>, key: &str) -> Verdict {
        let Some(known) = admitted.get(key) else {
            return Verdict::Unknown;
        };
        let Some(current) = self.applier.view().get(key) else {
            return Verdict::RefuseNotAllowed;
        };
        match self.judge(now, key, current) {
            Verdict::Serve => self.judge(now, key, known),
            refusal => refusal,
        }
    }

    fn judge(&self, now: f64, key: &str, record: &Record<S::Entry>) -> Verdict {
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

    /// An entry whose newest transaction was rejected is older than the view.
    fn entry_fresh_as_of(&self, key: &str) -> f64 {
        let view = self.freshness.as_of();
        self.applier
            .blocked_as_of(key)
            .map_or(view, |blocked| blocked.min(view))
    }
}
