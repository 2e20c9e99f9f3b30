//! What may be done at which age of the view of executors. `Dispatcher::is_open` asks it of every dispatch
//! and order, when it is decided and again as its bytes leave.

use super::Dispatcher;

/// A view at most this old is fresh where no grace for drains is told.
const FRESH_FOR: f64 = 1.0;
/// What a silent source of lists would have told counts as told after so long, by the platform's protocol.
const TOLD_BY_SILENCE: f64 = 4.5;
/// A source that answers but whose answers are older than this is late: what it has told was told long ago.
/// Less than that may be a few lost answers; a silent one is known to be silent by then.
const LATE: f64 = 2.6;
/// Times that an executor may turn work away in a row, until it is taken to drain: in a view that ages, and
/// in one of which nothing is known any more. Guards drains that nobody can tell; could harm a crowded one
/// until a list comes.
const TURNED_AWAY_AGEING: usize = 4;
const TURNED_AWAY_UNKNOWN: usize = 1;

/// How far a view can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    /// Whatever it does not tell was told later than the grace ago, if at all.
    Fresh,
    /// Nothing new was heard for a while; what is missing most likely was not told to anybody.
    Ageing,
    /// What is missing counts as told.
    Unknown,
    /// The process stood still and has heard nothing since: it can't even know that there is nothing to
    /// hear.
    Suspended,
}

/// When the view of executors was true.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct View {
    /// When the question went out that it answers; none where the roster is pushed, and its source watches
    /// it.
    confirmed_at: Option<f64>,
    /// The process went on at this time after it had stood still; until something is heard that was asked
    /// after it.
    resumed_at: Option<f64>,
    /// Its source is known to be silent.
    pub(super) is_silent: bool,
}

impl View {
    /// It was true at a time.
    pub(super) fn confirm(&mut self, at: f64) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |before| before.max(at)));
        self.is_silent = false;
        self.end_suspension(at);
    }

    /// Its source does not answer what was asked at a time.
    pub(super) fn lose(&mut self, asked_at: f64) {
        self.is_silent = true;
        self.end_suspension(asked_at);
    }

    /// What became of a question that was asked at a time is known.
    fn end_suspension(&mut self, asked_at: f64) {
        self.resumed_at.take_if(|resumed| asked_at >= *resumed);
    }

    /// The process stood still until now.
    pub(super) fn resume(&mut self, now: f64) {
        self.resumed_at = self.confirmed_at.and(Some(now));
    }

    /// Lists can't be had, or can again. That nobody answers is known from questions asked while the
    /// process ran.
    pub(super) fn set_silent(&mut self, is_silent: bool) {
        self.is_silent = is_silent;
        if is_silent {
            self.resumed_at = None;
        }
    }

    /// How far it can be relied on; `grace` is the time for which work may go to an executor that was told
    /// draining.
    pub(super) fn freshness(&self, now: f64, grace: f64) -> Freshness {
        let Some(confirmed_at) = self.confirmed_at else {
            return if self.is_silent {
                Freshness::Ageing
            } else {
                Freshness::Fresh
            };
        };
        let age = now - confirmed_at;
        let fresh_for = if grace > 0.0 { grace } else { FRESH_FOR };
        match () {
            () if age <= fresh_for => Freshness::Fresh,
            () if self.resumed_at.is_some() => Freshness::Suspended,
            () if age > TOLD_BY_SILENCE || !self.is_silent && age > LATE => Freshness::Unknown,
            () => Freshness::Ageing,
        }
    }
}

impl Dispatcher {
    /// Whether every executor told ready is open.
    pub(super) fn view_is_fresh(&self) -> bool {
        self.view.freshness(self.now, self.policy.drain_grace) == Freshness::Fresh
    }

    /// Told ready, and not seen to drain as far as the view can be relied on. A process that stood still
    /// sends nothing until it has heard again: guards against decisions on a list from before; could harm
    /// by the time of one answer, or of a silence that is found out.
    pub(super) fn is_open(&self, x: usize) -> bool {
        let turned_away = self.fleet.turned_away[x];
        self.fleet.ready[x]
            && match self.view.freshness(self.now, self.policy.drain_grace) {
                Freshness::Fresh => true,
                Freshness::Ageing => turned_away < TURNED_AWAY_AGEING,
                Freshness::Unknown => turned_away < TURNED_AWAY_UNKNOWN,
                Freshness::Suspended => false,
            }
    }
}
