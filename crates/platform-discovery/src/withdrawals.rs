//! Executors that are withdrawn because a list reported them as draining or gone, until their return to ready is
//! confirmed.

use crate::serial::compare_serials;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The number of consecutive answers that have to report a withdrawn executor as ready before it is used again.
///
/// Failure mode: one damaged or late answer would make a draining executor ready.
/// Risk: an executor whose drain was cancelled is used 0.6 s later.
const READY_CONFIRMATIONS: u32 = 3;
/// The same number for answers whose serial is older than that of the list that withdrew the executor. A resolver lags by
/// at most 1.5 s; at five answers per second this many answers take about twice as long.
const READY_CONFIRMATIONS_OLDER: u32 = 16;
/// How long in seconds the withdrawal of an executor is kept after the executor disappeared from the lists.
const RETENTION: f64 = 120.0;
/// The maximum number of withdrawals; beyond it, the oldest one is removed.
const MAX_WITHDRAWALS: usize = 4_096;

/// The withdrawal of an executor.
#[derive(Clone, Copy, Debug)]
struct Withdrawal {
    /// The reported start time of the executor when it was withdrawn.
    started_at: f64,
    /// The serial of the list that withdrew the executor.
    serial: u32,
    /// When a list last reported the executor as draining or gone.
    recorded_at: f64,
    /// The number of consecutive answers since then that reported the executor as ready.
    ready_confirmations: u32,
}

/// The withdrawn executors, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Withdrawals(BTreeMap<String, Withdrawal>);

impl Withdrawals {
    /// Whether an executor is withdrawn.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// Whether a repetition of the last answer would change nothing.
    pub(crate) fn is_settled(&self) -> bool {
        self.0
            .values()
            .all(|withdrawal| withdrawal.ready_confirmations == 0)
    }

    /// Records that the list with a serial reported an executor as draining or gone. `started_at` is the executor's
    /// reported start time.
    pub(crate) fn record(&mut self, now: f64, serial: u32, name: &str, started_at: f64) {
        let first = Withdrawal {
            started_at,
            serial,
            recorded_at: now,
            ready_confirmations: 0,
        };
        let withdrawal = self.0.entry(name.to_owned()).or_insert(first);
        withdrawal.recorded_at = now;
        withdrawal.ready_confirmations = 0;
        if self.0.len() > MAX_WITHDRAWALS {
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

    /// Handles a list that reports an executor as ready. Its withdrawal ends after enough consecutive reports, or at once
    /// if the executor has a later start time. `is_older_list` is whether the serial of the list is older than that of
    /// the view.
    pub(crate) fn confirm_ready(
        &mut self,
        name: &str,
        started_at: f64,
        serial: u32,
        is_older_list: bool,
    ) {
        let Some(withdrawal) = self.0.get_mut(name) else {
            return;
        };
        withdrawal.ready_confirmations += 1;
        let is_older =
            is_older_list || compare_serials(serial, withdrawal.serial) == Ordering::Less;
        let required = if is_older {
            READY_CONFIRMATIONS_OLDER
        } else {
            READY_CONFIRMATIONS
        };
        if started_at > withdrawal.started_at || withdrawal.ready_confirmations >= required {
            self.0.remove(name);
        }
    }

    /// Removes the withdrawals of unlisted executors that were recorded more than `RETENTION` ago.
    pub(crate) fn remove_expired(&mut self, now: f64, is_listed: impl Fn(&str) -> bool) {
        self.0
            .retain(|name, withdrawal| is_listed(name) || now < withdrawal.recorded_at + RETENTION);
    }
}
