//! Executors that a list told draining or gone, and their confirmed return to ready.

use crate::serial::compare_serials;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Answers in a row that have to tell an executor ready after it was told draining or gone.
///
/// Failure mode: one answer that is damaged or late.
/// Risk: an executor whose drain was taken back is used 0.6 s later.
const READY_CONFIRMATIONS: u32 = 3;
/// The same if the serial of the answers is older than that of the list which told it draining or gone. A resolver lags by
/// 1.5 s at most; at five answers a second these take twice as long.
const READY_CONFIRMATIONS_OLDER: u32 = 16;
/// Seconds for which a transition is kept after its executor was last on a list.
const RETENTION: f64 = 120.0;
/// Transitions that are kept; past that the oldest is forgotten.
const MAX_TRANSITIONS: usize = 4_096;

/// The last time that an executor was told draining or gone.
#[derive(Clone, Copy, Debug)]
struct PendingTransition {
    /// The start of the executor that was told draining or gone.
    started_at: f64,
    /// The serial of the list that told so.
    serial: u32,
    /// When it was told so last.
    recorded_at: f64,
    /// Answers in a row that have told it ready since.
    ready_confirmations: u32,
}

/// Executors that were told draining or gone, by name, and not ready again so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingTransitions(BTreeMap<String, PendingTransition>);

impl PendingTransitions {
    /// Whether an executor was told draining or gone, and not ready again.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// Whether a repetition of the last answer would change nothing.
    pub(crate) fn is_settled(&self) -> bool {
        self.0
            .values()
            .all(|transition| transition.ready_confirmations == 0)
    }

    /// Records that an executor, which started at a time, was told draining or gone by the list with a serial.
    pub(crate) fn record(&mut self, now: f64, serial: u32, name: &str, started_at: f64) {
        let first = PendingTransition {
            started_at,
            serial,
            recorded_at: now,
            ready_confirmations: 0,
        };
        let transition = self.0.entry(name.to_owned()).or_insert(first);
        transition.recorded_at = now;
        transition.ready_confirmations = 0;
        if self.0.len() > MAX_TRANSITIONS {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .0
            .iter()
            .min_by(|(_, a), (_, b)| a.recorded_at.total_cmp(&b.recorded_at))
            .map(|(name, _)| name.clone());
        if let Some(name) = oldest {
            self.0.remove(&name);
        }
    }

    /// A list tells an executor ready. Its transition ends after several such answers, or with another start.
    /// `is_older_list` tells whether the list has an older serial than the view.
    pub(crate) fn confirm_ready(
        &mut self,
        name: &str,
        started_at: f64,
        serial: u32,
        is_older_list: bool,
    ) {
        let Some(transition) = self.0.get_mut(name) else {
            return;
        };
        transition.ready_confirmations += 1;
        let is_older =
            is_older_list || compare_serials(serial, transition.serial) == Ordering::Less;
        let wanted = if is_older {
            READY_CONFIRMATIONS_OLDER
        } else {
            READY_CONFIRMATIONS
        };
        if started_at > transition.started_at || transition.ready_confirmations >= wanted {
            self.0.remove(name);
        }
    }

    /// Forgets the transitions of executors that are not listed and were recorded long ago.
    pub(crate) fn forget_old(&mut self, now: f64, is_listed: impl Fn(&str) -> bool) {
        self.0
            .retain(|name, transition| is_listed(name) || now < transition.recorded_at + RETENTION);
    }
}
