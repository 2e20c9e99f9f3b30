//! Decides which endpoint lists to believe.
//!
//! Every complete answer is evaluated whatever its serial, and an executor that it reports as draining or gone is
//! withdrawn at once. A serial alone is no proof of the age of the records: if lists with an older serial were ignored,
//! a single datagram with a wrong, newer serial would hide every correct list after it.

use crate::current_endpoint::{CurrentEndpoint, plausible_start};
use crate::serial::compare_serials;
use crate::withdrawals::Withdrawals;
use crate::{
    DiscoveredEndpoint, EndedWithdrawal, EndpointList, InitialEndpoints, PartialEndpointList,
    ReadyReport, ReportOrigin, WithdrawalReport,
};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The number of consecutive answers with an older serial after which the serial of the view is considered wrong.
///
/// Failure mode: after a serial that jumped ahead, the view would never change again.
/// Risk: the answers may be correct but outdated. That is why a list with an older serial makes no executor ready that
/// was reported as draining or gone.
const REQUIRED_OLDER_ANSWERS: u32 = 3;

/// The effect of an answer on the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOutcome {
    /// The list agrees with the view, which is now as fresh as the query.
    Confirmed,
    /// The list changed endpoints, and the view is now as fresh as the query.
    Changed,
    /// The list is older than the view, by its serial or by the time of its query. Only the executors that it reports as
    /// draining were updated.
    Older {
        /// Whether any endpoint changed.
        changed: bool,
    },
}

impl ListOutcome {
    /// Whether the answer changed endpoints.
    pub fn has_changes(self) -> bool {
        matches!(
            self,
            ListOutcome::Changed | ListOutcome::Older { changed: true }
        )
    }

    /// Whether the view is now as fresh as the query.
    pub fn confirms(self) -> bool {
        !matches!(self, ListOutcome::Older { .. })
    }
}

/// The latest reported start time of the endpoints; negative infinity if there is none.
fn latest_start(endpoints: &[DiscoveredEndpoint]) -> f64 {
    endpoints
        .iter()
        .map(|discovered| discovered.endpoint.started_at)
        .fold(f64::NEG_INFINITY, f64::max)
}

/// The report of an answer that an executor is draining or gone.
fn answer_report(
    now: f64,
    serial: u32,
    state: EndpointState,
    started_at: Option<f64>,
) -> WithdrawalReport {
    WithdrawalReport {
        origin: ReportOrigin::Answer,
        state,
        serial,
        started_at,
        received_at: now,
    }
}

/// The executors that the initial list reports as draining or gone.
fn initial_withdrawals(now: f64, initial: &InitialEndpoints) -> Withdrawals {
    let report = |state: EndpointState, started_at: f64| WithdrawalReport {
        origin: ReportOrigin::InitialList,
        state,
        serial: initial.serial,
        started_at: Some(started_at),
        received_at: now,
    };
    let mut withdrawals = Withdrawals::default();
    for executor in &initial.withdrawn {
        withdrawals.record(&executor.name, report(executor.state, executor.started_at));
    }
    for DiscoveredEndpoint { name, endpoint, .. } in &initial.endpoints {
        if endpoint.state != EndpointState::Ready {
            withdrawals.record(name, report(endpoint.state, endpoint.started_at));
        }
    }
    withdrawals
}

/// The current view of the executors and its freshness. All times are in seconds on the caller's clock.
#[derive(Clone, Debug)]
pub struct EndpointView {
    serial: u32,
    created_at: f64,
    /// When the query was sent whose answer the view reflects; negative infinity before the first answer.
    queried_at: f64,
    endpoints: BTreeMap<String, CurrentEndpoint>,
    withdrawals: Withdrawals,
    /// The withdrawals that the last list ended.
    ended_withdrawals: Vec<EndedWithdrawal>,
    /// The number of consecutive answers with an older serial.
    older_answers: u32,
}

impl EndpointView {
    /// Creates the view from the initial endpoint list. The age of that list is unknown, so the view is not fresh until
    /// the first answer.
    pub fn new(now: f64, initial: &InitialEndpoints) -> EndpointView {
        // The executor that started last may have started just now, and the others that much earlier. The wall clock
        // doesn't matter, because only differences between reported start times are used.
        let latest_start = latest_start(&initial.endpoints);
        let estimated_start = |reported: f64| {
            if reported == f64::NEG_INFINITY {
                reported
            } else {
                now - (latest_start - reported)
            }
        };
        let current = |discovered: &DiscoveredEndpoint| {
            let started_at = estimated_start(discovered.endpoint.started_at);
            (
                discovered.name.clone(),
                CurrentEndpoint::new(discovered.clone(), started_at),
            )
        };
        EndpointView {
            serial: initial.serial,
            created_at: now,
            queried_at: f64::NEG_INFINITY,
            endpoints: initial.endpoints.iter().map(current).collect(),
            withdrawals: initial_withdrawals(now, initial),
            ended_withdrawals: vec![],
            older_answers: 0,
        }
    }

    /// The serial of the list that the view reflects.
    pub fn serial(&self) -> u32 {
        self.serial
    }

    /// When the query was sent whose answer the view reflects: later events may be missing from the view. Negative
    /// infinity before the first answer.
    pub fn fresh_at(&self) -> f64 {
        self.queried_at
    }

    /// The withdrawals that the last list ended: their executors were reported as draining or gone, and are ready again.
    pub fn ended_withdrawals(&self) -> &[EndedWithdrawal] {
        &self.ended_withdrawals
    }

    /// Whether an answer that repeats the last one byte for byte could change nothing but the freshness.
    pub fn is_settled(&self) -> bool {
        self.older_answers == 0
            && self.withdrawals.is_settled()
            && self
                .endpoints
                .values()
                .all(|current| current.unconfirmed.is_none())
    }

    /// The endpoints with the states that apply to dispatches. An executor whose return to ready is not confirmed yet is
    /// draining.
    pub fn endpoints(&self) -> Vec<DiscoveredEndpoint> {
        let discovered = |current: &CurrentEndpoint| {
            let mut discovered = current.listed.clone();
            discovered.endpoint.started_at = current.started_at;
            if self.withdrawals.contains(&discovered.name) {
                discovered.endpoint.state = EndpointState::Draining;
            }
            discovered
        };
        self.endpoints.values().map(discovered).collect()
    }

    /// Records that the query sent at `queried_at` was answered by a byte-for-byte repetition of the last answer.
    pub fn confirm_unchanged(&mut self, queried_at: f64) {
        self.queried_at = self.queried_at.max(queried_at);
        self.ended_withdrawals.clear();
    }

    /// Applies a complete list that answers the query sent at `queried_at`.
    pub fn apply_list(&mut self, now: f64, queried_at: f64, list: &EndpointList) -> ListOutcome {
        let order = compare_serials(list.serial, self.serial);
        let is_overtaken = queried_at < self.queried_at;
        self.ended_withdrawals.clear();
        if order == Ordering::Less && !is_overtaken {
            self.older_answers += 1;
        }
        let before = self.endpoints();
        if order == Ordering::Greater || !is_overtaken && self.may_be_replaced(order) {
            self.replace(now, list, order);
            self.queried_at = self.queried_at.max(queried_at);
            return if self.endpoints() == before {
                ListOutcome::Confirmed
            } else {
                ListOutcome::Changed
            };
        }
        self.apply_drains(now, list);
        ListOutcome::Older {
            changed: self.endpoints() != before,
        }
    }

    /// Applies a list that answers the query sent at `queried_at`, and that has only the state of some executors. Their
    /// other attributes remain as they are in the view. Of executors that the view does not contain only a drain is
    /// recorded, because an executor whose address is unknown can't be used.
    pub fn apply_partial_list(
        &mut self,
        now: f64,
        queried_at: f64,
        partial: &PartialEndpointList,
    ) -> ListOutcome {
        let mut endpoints = partial.endpoints.clone();
        for reported in &partial.state_only {
            if let Some(current) = self.endpoints.get(&reported.name) {
                let mut discovered = current.listed.clone();
                discovered.endpoint.state = reported.state;
                endpoints.push(discovered);
            } else if reported.state != EndpointState::Ready {
                let report = answer_report(now, partial.serial, reported.state, None);
                self.withdrawals.record(&reported.name, report);
            }
        }
        let list = EndpointList {
            serial: partial.serial,
            endpoints,
        };
        self.apply_list(now, queried_at, &list)
    }

    /// Whether a list may replace the view, given how its serial compares to that of the view.
    fn may_be_replaced(&self, order: Ordering) -> bool {
        order != Ordering::Less || self.older_answers >= REQUIRED_OLDER_ANSWERS
    }

    /// Replaces the view by a list whose serial compares to that of the view as `order`.
    fn replace(&mut self, now: f64, list: &EndpointList, order: Ordering) {
        let replacement = self.merge(now, &list.endpoints);
        self.record_withdrawals(now, list.serial, &replacement);
        for current in replacement.values().filter(|current| current.is_ready()) {
            let report = ReadyReport {
                serial: list.serial,
                is_older_list: order == Ordering::Less,
                started_at: current.listed.endpoint.started_at,
                received_at: now,
            };
            let ended = self.withdrawals.confirm_ready(&current.listed.name, report);
            self.ended_withdrawals.extend(ended);
        }
        self.endpoints = replacement;
        self.serial = list.serial;
        self.older_answers = 0;
        self.withdrawals
            .remove_expired(now, |name| self.endpoints.contains_key(name));
    }

    /// Returns the endpoints of a list: those that the view has with the same start time are updated, the others are new.
    fn merge(&self, now: f64, listed: &[DiscoveredEndpoint]) -> BTreeMap<String, CurrentEndpoint> {
        let absent_at = self.queried_at.max(self.created_at);
        let mut merged: BTreeMap<String, CurrentEndpoint> = BTreeMap::new();
        for discovered in listed {
            let reported_start = discovered.endpoint.started_at;
            let same_start = self
                .endpoints
                .get(&discovered.name)
                .filter(|current| current.listed.endpoint.started_at == reported_start);
            let mut current = match same_start {
                Some(current) => current.updated(discovered),
                None => CurrentEndpoint::new(
                    discovered.clone(),
                    plausible_start(reported_start, absent_at, now),
                ),
            };
            // An executor that is listed twice is ready only if both records say so.
            if let Some(duplicate) = merged
                .get(&discovered.name)
                .filter(|current| !current.is_ready())
            {
                current.listed.endpoint.state = duplicate.listed.endpoint.state;
            }
            merged.insert(discovered.name.clone(), current);
        }
        merged
    }

    /// Records the executors that are draining on a list which replaces the view, and those that the list lacks.
    fn record_withdrawals(
        &mut self,
        now: f64,
        serial: u32,
        replacement: &BTreeMap<String, CurrentEndpoint>,
    ) {
        let not_ready = replacement
            .iter()
            .filter(|(_, current)| !current.is_ready());
        for (name, current) in not_ready {
            let reported = &current.listed.endpoint;
            let started_at = reported.started_at.max(self.listed_start(name));
            let report = answer_report(now, serial, reported.state, Some(started_at));
            self.withdrawals.record(name, report);
        }
        let missing = self
            .endpoints
            .iter()
            .filter(|(name, _)| !replacement.contains_key(*name));
        for (name, current) in missing {
            let started_at = Some(current.listed.endpoint.started_at);
            let report = answer_report(now, serial, EndpointState::Gone, started_at);
            self.withdrawals.record(name, report);
        }
    }

    /// The reported start time of an executor of the view; negative infinity if the view lacks the executor.
    fn listed_start(&self, name: &str) -> f64 {
        self.endpoints
            .get(name)
            .map_or(f64::NEG_INFINITY, |current| {
                current.listed.endpoint.started_at
            })
    }

    /// Withdraws the executors that are draining on a list that does not replace the view, also those that the view
    /// lacks. Records with an earlier start time than in the view are ignored.
    fn apply_drains(&mut self, now: f64, list: &EndpointList) {
        for reported in &list.endpoints {
            let Endpoint {
                state, started_at, ..
            } = reported.endpoint;
            let has_later_start = self.listed_start(&reported.name) > started_at;
            if state != EndpointState::Ready && !has_later_start {
                let report = answer_report(now, list.serial, state, Some(started_at));
                self.withdrawals.record(&reported.name, report);
            }
        }
    }
}
