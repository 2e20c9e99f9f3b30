//! Which lists of executors to believe: every whole answer is read, whatever its serial, and what it tells of an
//! executor that drains or is gone counts at once. A serial alone proves nothing about the rows that came with it: one
//! datagram with a serial that is not its list's would hide every true list after it.

use crate::{Answer, DiscoveredEndpoint, PartialList};
use orchidtally_dispatch_policy::interface::EndpointState;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Answers in a row with an older serial after which the held serial is taken for the wrong one. Guards against a
/// serial that jumped ahead, which would leave the view as it is for good; could harm by a list that lags, which is
/// why such a list makes nobody ready that was told away.
const OLDER_IN_A_ROW: u32 = 3;
/// Answers in a row that tell an executor ready after it was told draining or gone, until it is ready again. Guards
/// against one answer that is spoilt or late; could harm an executor whose drain was taken back, by 0.6 s.
const READY_IN_A_ROW: u32 = 3;
/// The same where the answers' serial is older than the one that told it away. A resolver lags by 1.5 s at the most;
/// at five answers a second these take twice as long.
const READY_IN_A_ROW_OLDER: u32 = 16;
/// An executor told away is remembered for so many seconds after it was last on a list.
const REMEMBERED: f64 = 120.0;
/// And so many of them; past that the one told first is forgotten.
const MOST_REMEMBERED: usize = 4_096;

/// An executor is on a list so many seconds after its start: a change is told within 1.5 s, and it has to get ready
/// before. Guards executors that were slow to get ready against being taken for new at their listing (2 to 3 s were
/// seen); could harm by that much where the wall clock is ahead by no more.
const LISTED_WITHIN: f64 = 4.0;

/// What came of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOutcome {
    /// It tells what is held: the view is as fresh as the question.
    Confirmed,
    /// The rows changed, and the view is as fresh as the question.
    Changed,
    /// It is older than what is held. What it tells of executors that drain was taken.
    Older {
        /// Whether that changed any row.
        changed: bool,
    },
}

impl ListOutcome {
    /// Whether rows changed.
    pub fn changed(self) -> bool {
        matches!(
            self,
            ListOutcome::Changed | ListOutcome::Older { changed: true }
        )
    }

    /// Whether the view is as fresh as the question.
    pub fn confirms(self) -> bool {
        !matches!(self, ListOutcome::Older { .. })
    }
}

/// An executor on the list that is held.
#[derive(Clone, Debug)]
struct Held {
    entry: DiscoveredEndpoint,
    /// When it started at the latest, on the caller's clock.
    since: f64,
    /// What the last list told of it besides its standing, where that differs from the entry.
    differs: Option<DiscoveredEndpoint>,
}

impl Held {
    fn new(entry: DiscoveredEndpoint, since: f64) -> Held {
        Held {
            entry,
            since,
            differs: None,
        }
    }

    /// Takes what a list tells of the same start: its standing at once, and whatever else differs when it is told twice
    /// in a row. Guards against one spoilt record, by which an executor would be looked for elsewhere, found unreachable
    /// and taken for broken; could harm one that moves, by 0.2 s.
    fn retold(&self, told: &DiscoveredEndpoint) -> Held {
        let mut told_before = self.entry.clone();
        told_before.endpoint.state = told.endpoint.state;
        if told_before == *told {
            return Held::new(told_before, self.since);
        }
        let mut besides = told.clone();
        besides.endpoint.state = EndpointState::Ready;
        if self.differs.as_ref() == Some(&besides) {
            return Held::new(told.clone(), self.since);
        }
        Held {
            entry: told_before,
            since: self.since,
            differs: Some(besides),
        }
    }
}

/// When an executor started that was first listed at a time, and on no list as late as another. Starts are told by the
/// wall clocks of other machines, and this one's may have been stepped: a start lies between these two, or hardly before.
/// Guards executors that have just started against work for warm ones; could harm by too little work for a while.
fn listed_start(told: f64, absent_at: f64, listed_at: f64) -> f64 {
    let is_plausible = (absent_at - LISTED_WITHIN..=listed_at).contains(&told);
    if told == f64::NEG_INFINITY || is_plausible {
        told
    } else {
        listed_at
    }
}

/// The latest of some starts that may be compared with each other.
fn youngest(entries: &[DiscoveredEndpoint]) -> f64 {
    entries
        .iter()
        .map(|e| e.endpoint.started_at)
        .fold(f64::NEG_INFINITY, f64::max)
}

/// When an executor was told draining or gone.
#[derive(Clone, Copy, Debug)]
struct Withdrawal {
    /// The start that it had then.
    since: f64,
    serial: u32,
    at: f64,
    /// Answers in a row that told it ready since.
    ready_votes: u32,
}

/// The executors as last told, and how fresh that is. All times are seconds on the clock of the caller.
#[derive(Clone, Debug)]
pub struct EndpointView {
    serial: u32,
    began_at: f64,
    asked_at: f64,
    entries: BTreeMap<String, Held>,
    withdrawn: BTreeMap<String, Withdrawal>,
    older_in_a_row: u32,
}

/// Serials wrap around (RFC 1982).
fn compare(serial: u32, other: u32) -> Ordering {
    (serial.wrapping_sub(other) as i32).cmp(&0)
}

impl EndpointView {
    /// The view of a start at a time: what the configuration lists. Nobody knows how old it is.
    pub fn new(now: f64, serial: u32, entries: &[DiscoveredEndpoint]) -> EndpointView {
        let draining = entries
            .iter()
            .filter(|e| e.endpoint.state != EndpointState::Ready);
        let draining: Vec<String> = draining.map(|e| e.name.clone()).collect();
        let mut view = EndpointView {
            serial,
            began_at: now,
            asked_at: f64::NEG_INFINITY,
            entries: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            older_in_a_row: 0,
        };
        // The youngest may have started just now, and the others so much earlier: whatever the wall clock here tells.
        let youngest = youngest(entries);
        let since = |told: f64| {
            if told == f64::NEG_INFINITY {
                told
            } else {
                now - (youngest - told)
            }
        };
        let held = |e: &DiscoveredEndpoint| {
            (
                e.name.clone(),
                Held::new(e.clone(), since(e.endpoint.started_at)),
            )
        };
        view.entries = entries.iter().map(held).collect();
        draining
            .iter()
            .for_each(|name| view.withdraw(f64::NEG_INFINITY, serial, name));
        view
    }

    /// The serial of the list that is held.
    pub fn serial(&self) -> u32 {
        self.serial
    }

    /// When the question went out that the view answers: what happened later may be missing.
    pub fn fresh_at(&self) -> f64 {
        self.asked_at
    }

    /// Whether an answer that repeats the last one byte for byte could change nothing but the view's freshness.
    pub fn is_settled(&self) -> bool {
        self.older_in_a_row == 0
            && self.withdrawn.values().all(|w| w.ready_votes == 0)
            && self.entries.values().all(|held| held.differs.is_none())
    }

    /// The rows as they count. One told away and ready again before its time is draining.
    pub fn endpoints(&self) -> Vec<DiscoveredEndpoint> {
        let row = |held: &Held| {
            let mut entry = held.entry.clone();
            entry.endpoint.started_at = held.since;
            if self.withdrawn.contains_key(&entry.name) {
                entry.endpoint.state = EndpointState::Draining;
            }
            entry
        };
        self.entries.values().map(row).collect()
    }

    /// The last answer came again, byte for byte, to a question that went out at a time.
    pub fn confirm_unchanged(&mut self, asked_at: f64) {
        self.asked_at = self.asked_at.max(asked_at);
    }

    /// Takes a whole list that answers a question which went out at a time.
    pub fn apply_list(&mut self, now: f64, asked_at: f64, answer: &Answer) -> ListOutcome {
        let order = compare(answer.serial, self.serial);
        let overtaken = asked_at < self.asked_at;
        if order == Ordering::Less && !overtaken {
            self.older_in_a_row += 1;
        }
        let before = self.endpoints();
        if order == Ordering::Greater || !overtaken && self.is_believed(order) {
            self.adopt(now, answer, order);
            self.asked_at = self.asked_at.max(asked_at);
            return if self.endpoints() == before {
                ListOutcome::Confirmed
            } else {
                ListOutcome::Changed
            };
        }
        self.take_drains(now, answer);
        ListOutcome::Older {
            changed: self.endpoints() != before,
        }
    }

    /// Takes a list with rows that could not be read: of those the standing counts, the rest stays as it was.
    pub fn apply_partial_list(
        &mut self,
        now: f64,
        asked_at: f64,
        list: &PartialList,
    ) -> ListOutcome {
        let mut entries = list.endpoints.clone();
        for odd in &list.state_only {
            // Nothing can be done with one of which nothing else is known.
            let Some(mut entry) = self.entries.get(&odd.name).map(|held| held.entry.clone()) else {
                continue;
            };
            entry.endpoint.state = odd.state;
            entries.push(entry);
        }
        self.apply_list(
            now,
            asked_at,
            &Answer {
                serial: list.serial,
                endpoints: entries,
            },
        )
    }

    /// Whether a list is taken in the place of the one that is held.
    fn is_believed(&self, order: Ordering) -> bool {
        order != Ordering::Less || self.older_in_a_row >= OLDER_IN_A_ROW
    }

    /// Takes a list in the place of the one that is held.
    fn adopt(&mut self, now: f64, answer: &Answer, order: Ordering) {
        let new = self.listed(now, &answer.endpoints);
        let is_away = |name: &String| {
            new.get(name)
                .is_none_or(|n| n.entry.endpoint.state != EndpointState::Ready)
        };
        let away: Vec<String> = self
            .entries
            .keys()
            .filter(|name| is_away(name))
            .cloned()
            .collect();
        away.iter()
            .for_each(|name| self.withdraw(now, answer.serial, name));
        for held in new
            .values()
            .filter(|held| held.entry.endpoint.state == EndpointState::Ready)
        {
            self.vote_ready(&held.entry, answer.serial, order);
        }
        self.entries = new;
        (self.serial, self.older_in_a_row) = (answer.serial, 0);
        let entries = &self.entries;
        self.withdrawn
            .retain(|name, w| entries.contains_key(name) || now < w.at + REMEMBERED);
    }

    /// The rows of a list that has come now, with when each of them started.
    fn listed(&self, now: f64, entries: &[DiscoveredEndpoint]) -> BTreeMap<String, Held> {
        let absent_at = self.asked_at.max(self.began_at);
        let mut listed: BTreeMap<String, Held> = BTreeMap::new();
        for entry in entries {
            let told = entry.endpoint.started_at;
            let before = self
                .entries
                .get(&entry.name)
                .filter(|before| before.entry.endpoint.started_at == told);
            let new = || Held::new(entry.clone(), listed_start(told, absent_at, now));
            let mut held = before.map_or_else(new, |before| before.retold(entry));
            // Listed twice it stands as the worse of the two.
            if let Some(twice) = listed
                .get(&entry.name)
                .filter(|t| t.entry.endpoint.state != EndpointState::Ready)
            {
                held.entry.endpoint.state = twice.entry.endpoint.state;
            }
            listed.insert(entry.name.clone(), held);
        }
        listed
    }

    /// A list tells an executor ready; where it was told away, that takes several, or another start.
    fn vote_ready(&mut self, entry: &DiscoveredEndpoint, serial: u32, order: Ordering) {
        let Some(withdrawal) = self.withdrawn.get_mut(&entry.name) else {
            return;
        };
        withdrawal.ready_votes += 1;
        let is_older =
            order == Ordering::Less || compare(serial, withdrawal.serial) == Ordering::Less;
        let wanted = if is_older {
            READY_IN_A_ROW_OLDER
        } else {
            READY_IN_A_ROW
        };
        if entry.endpoint.started_at > withdrawal.since || withdrawal.ready_votes >= wanted {
            self.withdrawn.remove(&entry.name);
        }
    }

    /// An executor on the held list was told draining or gone.
    fn withdraw(&mut self, now: f64, serial: u32, name: &str) {
        let Some(held) = self.entries.get(name) else {
            return;
        };
        let first = Withdrawal {
            since: held.entry.endpoint.started_at,
            serial,
            at: now,
            ready_votes: 0,
        };
        let withdrawal = self.withdrawn.entry(name.to_owned()).or_insert(first);
        (withdrawal.at, withdrawal.ready_votes) = (now, 0);
        if self.withdrawn.len() > MOST_REMEMBERED {
            let first = self
                .withdrawn
                .iter()
                .min_by(|a, b| a.1.at.total_cmp(&b.1.at));
            if let Some(name) = first.map(|(name, _)| name.clone()) {
                self.withdrawn.remove(&name);
            }
        }
    }

    /// What a list that is not taken as a whole tells of executors that drain, unless it is of an earlier start.
    fn take_drains(&mut self, now: f64, answer: &Answer) {
        for told in answer
            .endpoints
            .iter()
            .filter(|e| e.endpoint.state != EndpointState::Ready)
        {
            let held = self.entries.get(&told.name);
            if held.is_some_and(|held| told.endpoint.started_at >= held.entry.endpoint.started_at) {
                self.withdraw(now, answer.serial, &told.name);
            }
        }
    }
}
