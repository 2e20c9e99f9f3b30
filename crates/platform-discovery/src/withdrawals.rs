//! Executors that are withdrawn because a list reported them as draining or gone, until their return to ready is
//! confirmed.

use crate::serial::compare_serials;
use orchidtally_dispatch_policy::interface::EndpointState;
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
/// The time in seconds between two answers of which both count as confirmations, less than between two queries.
///
/// Failure mode: a resolver that stood still answers all queries that have waited in its socket at once.
/// Risk: if answers arrive bunched, an executor is used some tenths of a second later.
const MIN_CONFIRMATION_INTERVAL: f64 = 0.12;
/// How long in seconds the withdrawal of an executor is kept after the executor disappeared from the lists.
const RETENTION: f64 = 120.0;
/// The number of withdrawals that are always kept: a fleet of 3,200 executors, replaced five times within `RETENTION`.
const MAX_WITHDRAWALS: usize = 16_384;
/// The number by which that may be exceeded before those with the oldest reports are removed together.
const MAX_EXCESS: usize = 1_024;

/// Which list reported an executor's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOrigin {
    /// The list that the front end started with.
    InitialList,
    /// An answer of the resolver.
    Answer,
}

/// A list's report that an executor is draining or gone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WithdrawalReport {
    /// Which list reported it.
    pub origin: ReportOrigin,
    /// Draining or gone.
    pub state: EndpointState,
    /// The serial of the list.
    pub serial: u32,
    /// The reported start time of the executor, in seconds on its own wall clock; `None` if it can't be read.
    pub started_at: Option<f64>,
    /// When the list was applied, in seconds on the caller's clock.
    pub received_at: f64,
}

impl WithdrawalReport {
    /// Returns the report that stands after a `later` one: the later one, with the newer serial and the later start time
    /// of the two. Without a readable start time in the later one it is unknown which start was reported.
    ///
    /// Failure mode: a report from before a restart, or one with an older serial, would let one answer end the later
    /// report's withdrawal.
    /// Risk: after a serial that jumped ahead, an executor whose drain was cancelled is used seconds later.
    fn followed_by(self, later: WithdrawalReport) -> WithdrawalReport {
        let is_older = compare_serials(later.serial, self.serial) == Ordering::Less;
        let started_at = match (self.started_at, later.started_at) {
            (Some(earlier_start), Some(later_start)) => Some(earlier_start.max(later_start)),
            (_, later_start) => later_start,
        };
        WithdrawalReport {
            serial: if is_older { self.serial } else { later.serial },
            started_at,
            ..later
        }
    }
}

/// A list's report that an executor is ready.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadyReport {
    /// The serial of the list.
    pub serial: u32,
    /// Whether that serial is older than the serial of the view.
    pub is_older_list: bool,
    /// The reported start time of the executor, in seconds on its own wall clock.
    pub started_at: f64,
    /// When the list was applied, in seconds on the caller's clock.
    pub received_at: f64,
}

/// The end of an executor's withdrawal.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedWithdrawal {
    /// The executor's name.
    pub name: String,
    /// The report that withdrew the executor.
    pub withdrawn_by: WithdrawalReport,
    /// The report that ended the withdrawal.
    pub ended_by: ReadyReport,
    /// The number of consecutive answers that reported the executor as ready.
    pub confirmations: u32,
}

/// The withdrawal of an executor.
#[derive(Clone, Copy, Debug)]
struct Withdrawal {
    /// What was last reported, by [`WithdrawalReport::followed_by`].
    report: WithdrawalReport,
    /// The number of consecutive answers since then that reported the executor as ready and count.
    ready_confirmations: u32,
    /// When the last of them was applied, in seconds on the caller's clock.
    confirmed_at: f64,
    /// The position of the last report among all reports.
    sequence: u64,
}

impl Withdrawal {
    fn new(report: WithdrawalReport, sequence: u64) -> Withdrawal {
        Withdrawal {
            report,
            sequence,
            ready_confirmations: 0,
            confirmed_at: f64::NEG_INFINITY,
        }
    }

    /// Counts an answer that reported the executor as ready, unless it came together with the one before.
    fn confirm(&mut self, received_at: f64) {
        if received_at >= self.confirmed_at + MIN_CONFIRMATION_INTERVAL {
            self.ready_confirmations += 1;
            self.confirmed_at = received_at;
        }
    }

    /// Whether the executor may be used again, after this report has been counted.
    fn is_ended_by(&self, report: &ReadyReport) -> bool {
        let has_restarted = self
            .report
            .started_at
            .is_some_and(|started_at| report.started_at > started_at);
        let is_older = report.is_older_list
            || compare_serials(report.serial, self.report.serial) == Ordering::Less;
        let required = if is_older {
            READY_CONFIRMATIONS_OLDER
        } else {
            READY_CONFIRMATIONS
        };
        has_restarted || self.ready_confirmations >= required
    }
}

/// The withdrawn executors, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Withdrawals {
    by_name: BTreeMap<String, Withdrawal>,
    /// The number of reports so far.
    reports: u64,
}

impl Withdrawals {
    /// Whether an executor is withdrawn.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// Whether a repetition of the last answer would change nothing.
    pub(crate) fn is_settled(&self) -> bool {
        self.by_name
            .values()
            .all(|withdrawal| withdrawal.ready_confirmations == 0)
    }

    /// Records a report that an executor is draining or gone.
    pub(crate) fn record(&mut self, name: &str, report: WithdrawalReport) {
        let standing = match self.by_name.get(name) {
            Some(withdrawal) => withdrawal.report.followed_by(report),
            None => report,
        };
        self.reports += 1;
        let withdrawal = Withdrawal::new(standing, self.reports);
        self.by_name.insert(name.to_owned(), withdrawal);
        if self.by_name.len() > MAX_WITHDRAWALS + MAX_EXCESS {
            self.remove_oldest_reports();
        }
    }

    /// Removes all but `MAX_WITHDRAWALS`.
    fn remove_oldest_reports(&mut self) {
        let mut sequences: Vec<u64> = self
            .by_name
            .values()
            .map(|withdrawal| withdrawal.sequence)
            .collect();
        let excess = sequences.len().saturating_sub(MAX_WITHDRAWALS);
        let (_, &mut first_kept, _) = sequences.select_nth_unstable(excess);
        self.by_name
            .retain(|_, withdrawal| withdrawal.sequence >= first_kept);
    }

    /// Handles a report that an executor is ready. Its withdrawal ends after enough consecutive reports, or at once if
    /// the executor has a later start time.
    pub(crate) fn confirm_ready(
        &mut self,
        name: &str,
        report: ReadyReport,
    ) -> Option<EndedWithdrawal> {
        let withdrawal = self.by_name.get_mut(name)?;
        withdrawal.confirm(report.received_at);
        if !withdrawal.is_ended_by(&report) {
            return None;
        }
        let withdrawn_by = withdrawal.report;
        let confirmations = withdrawal.ready_confirmations;
        self.by_name.remove(name);
        Some(EndedWithdrawal {
            name: name.to_owned(),
            withdrawn_by,
            ended_by: report,
            confirmations,
        })
    }

    /// Removes the withdrawals of unlisted executors that were last reported more than `RETENTION` ago.
    pub(crate) fn remove_expired(&mut self, now: f64, is_listed: impl Fn(&str) -> bool) {
        self.by_name.retain(|name, withdrawal| {
            is_listed(name) || now < withdrawal.report.received_at + RETENTION
        });
    }
}
