//! Decides which endpoint lists to believe.
//!
//! Every whole answer is read, whatever its serial, and what it tells of an executor that drains or is gone counts at
//! once. A serial alone proves nothing about the records that came with it: one datagram with a serial that is not its
//! list's would hide every true list after it.

use crate::serial::compare_serials;
use crate::transitions::PendingTransitions;
use crate::{DiscoveredEndpoint, EndpointList, PartialEndpointList};
use orchidtally_dispatch_policy::interface::EndpointState;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Answers in a row with an older serial after which the serial of the view counts as wrong.
///
/// Failure mode: a serial that jumped ahead would leave the view as it is for good.
/// Risk: a list that lags, which is why such a list makes no executor ready that was told draining or gone.
const OLDER_CONFIRMATIONS: u32 = 3;
/// Seconds from an executor's start within which it is listed: a change is told within 1.5 s, and the executor has to get
/// ready before.
///
/// Failure mode: executors that were slow to get ready (2 to 3 s were seen) count as new when they are listed.
/// Risk: starts are wrong by this much if the wall clock is ahead by no more.
const MAX_LISTING_DELAY: f64 = 4.0;

/// What came of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOutcome {
    /// It tells what the view holds: the view is as fresh as the query.
    Confirmed,
    /// The endpoints changed, and the view is as fresh as the query.
    Changed,
    /// It is older than the view. What it tells of executors that drain was taken over.
    Older {
        /// Whether that changed any endpoint.
        changed: bool,
    },
}

impl ListOutcome {
    /// Whether endpoints changed.
    pub fn has_changes(self) -> bool {
        matches!(
            self,
            ListOutcome::Changed | ListOutcome::Older { changed: true }
        )
    }

    /// Whether the view is as fresh as the query.
    pub fn confirms(self) -> bool {
        !matches!(self, ListOutcome::Older { .. })
    }
}

/// An executor of the view.
#[derive(Clone, Debug)]
struct CurrentEndpoint {
    /// As it was listed.
    listed: DiscoveredEndpoint,
    /// When it started at the latest, on the caller's clock.
    started_at: f64,
    /// What the last list told besides its state, if that differs: it counts once it is repeated.
    unconfirmed: Option<DiscoveredEndpoint>,
}

impl CurrentEndpoint {
    fn new(listed: DiscoveredEndpoint, started_at: f64) -> CurrentEndpoint {
        CurrentEndpoint {
            listed,
            started_at,
            unconfirmed: None,
        }
    }

    /// Takes over what a list tells of the same start: the state at once, other differences when they are told twice in
    /// a row.
    ///
    /// Failure mode: by one damaged record an executor is looked for at another address, found unreachable and taken
    /// for broken.
    /// Risk: an executor that moves is found 0.2 s later.
    fn confirmed_by_repeat(&self, told: &DiscoveredEndpoint) -> CurrentEndpoint {
        let mut listed = self.listed.clone();
        listed.endpoint.state = told.endpoint.state;
        if listed == *told {
            return CurrentEndpoint::new(listed, self.started_at);
        }
        // The state is not part of the comparison.
        let mut differing = told.clone();
        differing.endpoint.state = EndpointState::Ready;
        if self.unconfirmed.as_ref() == Some(&differing) {
            return CurrentEndpoint::new(told.clone(), self.started_at);
        }
        CurrentEndpoint {
            listed,
            started_at: self.started_at,
            unconfirmed: Some(differing),
        }
    }

    fn is_ready(&self) -> bool {
        self.listed.endpoint.state == EndpointState::Ready
    }
}

/// When an executor started that was first listed at a time, and absent from a list as late as another.
///
/// Starts are told by the wall clocks of other machines, and this one's may have been stepped: a start lies between
/// these two times, or hardly before.
/// Failure mode: executors that have just started get the load of warm ones.
/// Risk: too little load for a while.
fn plausible_start(told: f64, absent_at: f64, listed_at: f64) -> f64 {
    let is_plausible = (absent_at - MAX_LISTING_DELAY..=listed_at).contains(&told);
    if told == f64::NEG_INFINITY || is_plausible {
        told
    } else {
        listed_at
    }
}

/// The latest start of some endpoints.
fn latest_start(endpoints: &[DiscoveredEndpoint]) -> f64 {
    endpoints
        .iter()
        .map(|discovered| discovered.endpoint.started_at)
        .fold(f64::NEG_INFINITY, f64::max)
}

/// The current view of the executors, and how fresh it is. All times are seconds on the clock of the caller.
#[derive(Clone, Debug)]
pub struct EndpointView {
    serial: u32,
    created_at: f64,
    /// When the query was sent that the view answers.
    queried_at: f64,
    endpoints: BTreeMap<String, CurrentEndpoint>,
    transitions: PendingTransitions,
    /// Answers in a row with an older serial.
    older_confirmations: u32,
}

impl EndpointView {
    /// The view of a start now: what the configuration lists. Nobody knows how old that is.
    pub fn new(now: f64, serial: u32, endpoints: &[DiscoveredEndpoint]) -> EndpointView {
        // The latest to start may have started just now, and the others so much earlier, whatever the wall clock tells.
        let latest_start = latest_start(endpoints);
        let estimated_start = |told: f64| {
            if told == f64::NEG_INFINITY {
                told
            } else {
                now - (latest_start - told)
            }
        };
        let held = |discovered: &DiscoveredEndpoint| {
            let started_at = estimated_start(discovered.endpoint.started_at);
            (
                discovered.name.clone(),
                CurrentEndpoint::new(discovered.clone(), started_at),
            )
        };
        let mut view = EndpointView {
            serial,
            created_at: now,
            queried_at: f64::NEG_INFINITY,
            endpoints: endpoints.iter().map(held).collect(),
            transitions: PendingTransitions::default(),
            older_confirmations: 0,
        };
        for discovered in endpoints {
            if discovered.endpoint.state != EndpointState::Ready {
                view.record_transition(f64::NEG_INFINITY, serial, &discovered.name);
            }
        }
        view
    }

    /// The serial of the list that the view holds.
    pub fn serial(&self) -> u32 {
        self.serial
    }

    /// When the query was sent that the view answers: what happened later may be missing.
    pub fn fresh_at(&self) -> f64 {
        self.queried_at
    }

    /// Whether an answer that repeats the last one byte for byte could change nothing but the freshness.
    pub fn is_settled(&self) -> bool {
        self.older_confirmations == 0
            && self.transitions.is_settled()
            && self
                .endpoints
                .values()
                .all(|held| held.unconfirmed.is_none())
    }

    /// The endpoints as they count. One whose return to ready is not confirmed counts as draining.
    pub fn endpoints(&self) -> Vec<DiscoveredEndpoint> {
        let discovered = |held: &CurrentEndpoint| {
            let mut discovered = held.listed.clone();
            discovered.endpoint.started_at = held.started_at;
            if self.transitions.contains(&discovered.name) {
                discovered.endpoint.state = EndpointState::Draining;
            }
            discovered
        };
        self.endpoints.values().map(discovered).collect()
    }

    /// The last answer was repeated, byte for byte, for a query that was sent at a time.
    pub fn confirm_unchanged(&mut self, queried_at: f64) {
        self.queried_at = self.queried_at.max(queried_at);
    }

    /// Applies a whole list that answers a query which was sent at a time.
    pub fn apply_list(&mut self, now: f64, queried_at: f64, answer: &EndpointList) -> ListOutcome {
        let order = compare_serials(answer.serial, self.serial);
        let is_overtaken = queried_at < self.queried_at;
        if order == Ordering::Less && !is_overtaken {
            self.older_confirmations += 1;
        }
        let before = self.endpoints();
        if order == Ordering::Greater || !is_overtaken && self.is_credible(order) {
            self.replace(now, answer, order);
            self.queried_at = self.queried_at.max(queried_at);
            return if self.endpoints() == before {
                ListOutcome::Confirmed
            } else {
                ListOutcome::Changed
            };
        }
        self.apply_drains(now, answer);
        ListOutcome::Older {
            changed: self.endpoints() != before,
        }
    }

    /// Applies a list that tells only the state of some executors: the rest of these stays as it was.
    pub fn apply_partial_list(
        &mut self,
        now: f64,
        queried_at: f64,
        list: &PartialEndpointList,
    ) -> ListOutcome {
        let mut endpoints = list.endpoints.clone();
        for told in &list.state_only {
            // Nothing can be done with an executor of which nothing else is known.
            let Some(held) = self.endpoints.get(&told.name) else {
                continue;
            };
            let mut discovered = held.listed.clone();
            discovered.endpoint.state = told.state;
            endpoints.push(discovered);
        }
        let answer = EndpointList {
            serial: list.serial,
            endpoints,
        };
        self.apply_list(now, queried_at, &answer)
    }

    /// Whether a list may replace the one that the view holds.
    fn is_credible(&self, order: Ordering) -> bool {
        order != Ordering::Less || self.older_confirmations >= OLDER_CONFIRMATIONS
    }

    /// Replaces the list that the view holds.
    fn replace(&mut self, now: f64, answer: &EndpointList, order: Ordering) {
        let replacement = self.merge(now, &answer.endpoints);
        let is_ready = |name: &String| replacement.get(name).is_some_and(CurrentEndpoint::is_ready);
        let withdrawn: Vec<String> = self
            .endpoints
            .keys()
            .filter(|name| !is_ready(name))
            .cloned()
            .collect();
        for name in &withdrawn {
            self.record_transition(now, answer.serial, name);
        }
        for held in replacement.values().filter(|held| held.is_ready()) {
            self.transitions.confirm_ready(
                &held.listed.name,
                held.listed.endpoint.started_at,
                answer.serial,
                order == Ordering::Less,
            );
        }
        self.endpoints = replacement;
        self.serial = answer.serial;
        self.older_confirmations = 0;
        self.transitions
            .forget_old(now, |name| self.endpoints.contains_key(name));
    }

    /// The endpoints of a list that arrives now, merged with what the view holds of the same starts.
    fn merge(&self, now: f64, listed: &[DiscoveredEndpoint]) -> BTreeMap<String, CurrentEndpoint> {
        let absent_at = self.queried_at.max(self.created_at);
        let mut merged: BTreeMap<String, CurrentEndpoint> = BTreeMap::new();
        for discovered in listed {
            let told_start = discovered.endpoint.started_at;
            let same_start = self
                .endpoints
                .get(&discovered.name)
                .filter(|held| held.listed.endpoint.started_at == told_start);
            let mut held = match same_start {
                Some(held) => held.confirmed_by_repeat(discovered),
                None => CurrentEndpoint::new(
                    discovered.clone(),
                    plausible_start(told_start, absent_at, now),
                ),
            };
            // An executor that is listed twice has the worse of the two states.
            if let Some(duplicate) = merged.get(&discovered.name).filter(|held| !held.is_ready()) {
                held.listed.endpoint.state = duplicate.listed.endpoint.state;
            }
            merged.insert(discovered.name.clone(), held);
        }
        merged
    }

    /// Records that an executor of the view was told draining or gone.
    fn record_transition(&mut self, now: f64, serial: u32, name: &str) {
        if let Some(held) = self.endpoints.get(name) {
            let started_at = held.listed.endpoint.started_at;
            self.transitions.record(now, serial, name, started_at);
        }
    }

    /// Takes over what a list that does not replace the view tells of executors that drain, unless it is of an earlier
    /// start.
    fn apply_drains(&mut self, now: f64, answer: &EndpointList) {
        for told in &answer.endpoints {
            let is_same_or_later_start = self
                .endpoints
                .get(&told.name)
                .is_some_and(|held| told.endpoint.started_at >= held.listed.endpoint.started_at);
            if told.endpoint.state != EndpointState::Ready && is_same_or_later_start {
                self.record_transition(now, answer.serial, &told.name);
            }
        }
    }
}
