//! Executors: what the roster tells of each, and what was sent there and heard.

use super::groups::Groups;
use super::ranking::Pool;
use super::{DecayingSum, Load, Pause, Regions};
use crate::interface::{DeduplicationScope, DispatchStatus, ExecutorId};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Executors, as parallel arrays under a dense index.
#[derive(Default)]
pub struct Fleet {
    pub index: HashMap<ExecutorId, usize>,
    pub ids: Vec<ExecutorId>,
    pub zone: Vec<u8>,
    pub kind: Vec<usize>,
    pub cell: Vec<u16>,
    pub ready: Vec<bool>,
    /// How many of them are.
    pub ready_count: usize,
    pub weight: Vec<f64>,
    /// Counts changes of the ready ones and of their weights: rankings hold as long as it stays.
    pub(super) version: u64,
    /// The ready ones of the front end's own region, and all others.
    pub(super) ranked: [Pool; 2],
    /// The ready ones in the order of their indices, in all, in the front end's own region and by group.
    pub(super) ready_in_all: Vec<usize>,
    pub ready_in_region: Vec<usize>,
    pub(super) ready_in_zone: Groups,
    pub(super) ready_in_cell: Groups,
    pub since: Vec<f64>,
    /// Own dispatches out there: the invocation's slot and when it was sent.
    pub out: Vec<Vec<(usize, f64)>>,
    /// Executors with any of these out.
    pub(super) busy: BTreeSet<usize>,
    /// How many of these there are at all executors together.
    pub out_count: usize,
    pub heard: Vec<f64>,
    /// When it last broke off or took no connection.
    pub broke_at: Vec<f64>,
    /// Dispatches and orders in a row that it turned away as 'full'.
    pub turned_away: Vec<usize>,
    /// Those with nothing out, and no pause that may be under way.
    pub(super) resting: Vec<bool>,
    /// What answers 'full' ask for.
    pub paused: Vec<Pause>,
    /// Invocations reported waiting, and when that was told.
    pub(super) backlog: Vec<(f64, f64)>,
    /// The latest answers: when they came, and their times in usual ones.
    pub answers: Vec<VecDeque<(f64, f64)>>,
    pub suspect: Vec<bool>,
    /// All that are suspect, and perhaps some that no longer are.
    pub(super) suspects: Vec<usize>,
    /// Executors with enough answers that count and dispatches out to be judged, and perhaps some that no
    /// longer have; how many are enough, and the seconds that an answer counts.
    pub judged: Vec<usize>,
    pub(super) is_judged: Vec<bool>,
    least_judged: usize,
    judged_for: f64,
    /// Executors that broke off lately, and perhaps some for which that is long ago.
    pub(super) broken: Vec<usize>,
    pub trial_at: Vec<f64>,
    /// Times and mean work of the latest dispatches.
    pub sent: Vec<VecDeque<(f64, f64)>>,
    /// For each kind of executor, the work that was answered lately.
    pub carried: Vec<DecayingSum>,
    /// For each kind, how many shared that.
    pub fellows: Vec<DecayingSum>,
    /// For each kind, which of the ready ones may be cold.
    pub warm: Vec<WarmCount>,
    /// Whether all ready ones were seen to be warm. Where it is not set they may be, too.
    pub all_warm: bool,
    /// Executors whose load changed, the latest ones, and how many changes there were before.
    pub(super) changed: VecDeque<usize>,
    pub(super) forgotten_changes: u64,
    /// The front end's own location.
    home: u8,
    pub(super) regions: Regions,
    /// Since when it is in no list: infinity while it is in one, minus infinity where the index is free.
    pub(super) gone_at: Vec<f64>,
    pub(super) free: Vec<usize>,
}

/// The ready executors of a kind, split into those that are warm and those that may not be yet.
#[derive(Clone, Default)]
pub struct WarmCount {
    /// How many there are.
    pub ready: usize,
    /// Those not seen to be warm, each once.
    pub cold: Vec<usize>,
    /// None of these becomes warm before.
    pub due: f64,
}

impl WarmCount {
    /// Leaves those that are cold still, and notes when the first of them can become warm; not before it is due.
    pub fn look_again(
        &mut self,
        now: f64,
        is_cold: impl Fn(usize) -> bool,
        ripe_at: impl Fn(usize) -> f64,
    ) {
        if now < self.due {
            return;
        }
        self.cold.retain(|&x| is_cold(x));
        self.due = self
            .cold
            .iter()
            .map(|&x| ripe_at(x))
            .fold(f64::INFINITY, f64::min);
    }
}

/// Sets the entry at an index, or appends it at the next one.
pub fn put<T>(all: &mut Vec<T>, x: usize, value: T) {
    if x == all.len() {
        all.push(value)
    } else {
        all[x] = value
    }
}

/// Changes of loads that are kept.
const MOST_CHANGES: usize = 4_096;

impl Fleet {
    /// None, seen from a location. One is judged by so many answers and dispatches at the least; answers
    /// count for so many seconds.
    pub fn new(home: u8, least_judged: usize, judged_for: f64) -> Fleet {
        Fleet {
            home,
            least_judged,
            judged_for,
            ..Fleet::default()
        }
    }

    /// One without executors, with the regions of locations.
    pub fn in_regions(self, of_zones: Vec<Option<u8>>) -> Fleet {
        Fleet {
            regions: Regions::new(of_zones, self.home),
            ..self
        }
    }

    /// Whether an executor stands in the front end's own region.
    pub fn in_region(&self, x: usize) -> bool {
        self.regions.is_own(self.zone[x])
    }

    fn note_change(&mut self, x: usize) {
        self.changed.push_back(x);
        if self.changed.len() > MOST_CHANGES {
            self.changed.pop_front();
            self.forgotten_changes += 1;
        }
    }

    /// How often a load changed.
    pub(super) fn changes(&self) -> u64 {
        self.forgotten_changes + self.changed.len() as u64
    }

    /// The executors whose loads changed after so many changes; `None` where that is no longer known.
    pub(super) fn changed_since(
        &self,
        changes: u64,
    ) -> Option<impl ExactSizeIterator<Item = usize> + '_> {
        let first = usize::try_from(changes.checked_sub(self.forgotten_changes)?).ok()?;
        (first <= self.changed.len()).then(|| self.changed.range(first..).copied())
    }

    /// What an executor's load is judged by.
    pub fn load(&self, x: usize) -> Load {
        let (waiting, at) = self.backlog[x];
        let (weight, home) = (self.weight[x], self.zone[x] == self.home);
        Load {
            held: self.inflight(x),
            waiting,
            earliest: at,
            latest: at,
            weight,
            home,
        }
    }

    /// Notes what an executor reports waiting.
    pub fn note_backlog(&mut self, x: usize, waiting: f64, now: f64) {
        self.backlog[x] = (waiting, now);
        self.note_change(x);
    }

    /// Notes a dispatch, and what it weighs for the next `kept` seconds.
    pub fn note_sent(&mut self, x: usize, i: usize, now: f64, work: f64, kept: f64) {
        self.out[x].push((i, now));
        self.note_change(x);
        self.busy.insert(x);
        self.resting[x] = false;
        self.note_judged(x, now);
        self.out_count += 1;
        self.sent[x].push_back((now, work));
        while self.sent[x].front().is_some_and(|s| s.0 < now - kept) {
            self.sent[x].pop_front();
        }
    }

    /// Takes what was noted of a dispatch out again; tells what it weighs.
    pub fn take_sent(&mut self, x: usize, at: f64) -> Option<f64> {
        let place = self.sent[x].iter().position(|s| s.0 == at)?;
        self.sent[x].remove(place).map(|s| s.1)
    }

    /// Takes a dispatch off those that are out.
    pub fn note_ended(&mut self, x: usize, i: usize, at: f64, now: f64) {
        let before = self.out[x].len();
        self.out[x].retain(|&(other, since)| other != i || since != at);
        self.out_count -= before - self.out[x].len();
        self.note_change(x);
        if self.out[x].is_empty() {
            self.busy.remove(&x);
            self.resting[x] = self.paused[x].until <= now;
        }
    }

    /// Notes that an executor itself ended a dispatch, if it did.
    pub fn note_heard(&mut self, x: usize, ending: DispatchStatus, now: f64) {
        let unheard = [
            DispatchStatus::TimedOut,
            DispatchStatus::Cancelled,
            DispatchStatus::ConnectFailed,
            DispatchStatus::Reset,
        ];
        if !unheard.contains(&ending) {
            self.heard[x] = now;
        }
    }

    /// Sets what was seen of a kind; tells how many of it are warm.
    pub fn set_warm(&mut self, kind: usize, count: WarmCount) -> usize {
        let warm = count.ready - count.cold.len();
        self.warm[kind] = count;
        self.all_warm = self.warm.iter().all(|count| count.cold.is_empty());
        warm
    }

    /// Notes work that a warm executor answered, and how many such there are of its kind.
    pub fn note_carried(&mut self, x: usize, warm: f64, work: f64, now: f64, time: f64) {
        let kind = self.kind[x];
        self.fellows[kind].peak(warm, now, time);
        self.carried[kind].add(work, now, time);
    }

    /// Notes how a dispatch or an order ended.
    pub fn note_answer(&mut self, x: usize, ending: DispatchStatus) {
        match ending {
            DispatchStatus::Full => self.turned_away[x] += 1,
            DispatchStatus::Ok => self.turned_away[x] = 0,
            _ => {}
        }
    }

    /// Work sent since a moment that is still kept.
    pub fn sent_since(&self, x: usize, since: f64) -> f64 {
        self.sent[x]
            .iter()
            .filter(|s| s.0 > since)
            .map(|s| s.1)
            .sum()
    }

    /// Whether it surely has nothing out and is not paused: it takes more wherever it may have one at a time.
    pub fn rests(&self, x: usize) -> bool {
        self.resting[x]
    }

    /// Pauses an executor that answered 'full'.
    pub fn pause(&mut self, x: usize, now: f64, first: f64, doublings: i32) {
        self.paused[x].grow(now, first, doublings);
        self.resting[x] = false;
    }

    /// The invocations with a dispatch out, in the order of the executors.
    pub fn invocations_out(&self) -> impl Iterator<Item = usize> + '_ {
        self.busy
            .iter()
            .flat_map(|&x| &self.out[x])
            .map(|&(i, _)| i)
    }

    /// Whether there is enough to judge an executor by. Without a new dispatch or answer that can only cease.
    fn has_enough(&self, x: usize, now: f64) -> bool {
        let missing = self.least_judged.saturating_sub(self.out[x].len());
        let answers = &self.answers[x];
        // The answers are in the order in which they came: those that count are the last ones.
        missing == 0
            || answers.len() >= missing
                && now < answers[answers.len() - missing].0 + self.judged_for
    }

    fn note_judged(&mut self, x: usize, now: f64) {
        if !self.is_judged[x] && self.has_enough(x, now) {
            self.is_judged[x] = true;
            self.judged.push(x);
        }
    }

    /// Leaves among the judged those with enough to judge them by.
    pub fn retain_judged(&mut self, now: f64) {
        let mut judged = std::mem::take(&mut self.judged);
        judged.retain(|&x| {
            self.is_judged[x] = self.has_enough(x, now);
            self.is_judged[x]
        });
        self.judged = judged;
    }

    /// Sets which executors are suspect.
    pub fn set_suspects(&mut self, suspects: Vec<usize>) {
        self.suspects.iter().for_each(|&x| self.suspect[x] = false);
        suspects.iter().for_each(|&x| self.suspect[x] = true);
        self.suspects = suspects;
    }

    /// At least as many ready ones as are suspect, or unfit for another reason where there is one.
    pub fn unfit_bound(&self, has_other_reason: bool) -> usize {
        if has_other_reason {
            self.ready_count
        } else {
            self.suspects.len()
        }
    }

    /// Notes that an executor broke off or took no connection, as so many failed answers.
    pub fn note_broken(&mut self, x: usize, now: f64, failed: f64, answers: usize) {
        self.broke_at[x] = now;
        self.broken.push(x);
        self.answers[x].clear();
        self.answers[x].extend(std::iter::repeat_n((now, failed), answers));
        self.note_judged(x, now);
        self.all_warm = false;
        let count = &mut self.warm[self.kind[x]];
        count.due = f64::NEG_INFINITY;
        if self.ready[x] && !count.cold.contains(&x) {
            count.cold.push(x);
        }
    }

    /// When the first of the executors in an executor's zone broke that did so within the last `lately` seconds; now
    /// if none did.
    pub fn first_broken_in_zone(&mut self, x: usize, now: f64, lately: f64) -> f64 {
        let (broke_at, zone) = (&self.broke_at, &self.zone);
        self.broken.retain(|&y| now < broke_at[y] + lately);
        let broken = self.broken.iter().filter(|&&y| zone[y] == zone[x]);
        broken.fold(now, |first, &y| first.min(broke_at[y]))
    }

    /// Whether any executor in an executor's zone was heard after a moment.
    pub fn zone_heard_after(&self, x: usize, moment: f64) -> bool {
        self.all()
            .any(|y| self.zone[y] == self.zone[x] && self.heard[y] > moment)
    }

    /// Notes that all executors in an executor's zone broke now.
    pub fn note_zone_broken(&mut self, x: usize, now: f64) {
        let fellows: Vec<usize> = self
            .all()
            .filter(|&y| self.zone[y] == self.zone[x])
            .collect();
        fellows.iter().for_each(|&y| self.broke_at[y] = now);
        self.broken.extend(fellows);
        self.recount_cold();
    }

    /// Invocations with a dispatch out at an executor that was not heard since, and when it was sent.
    pub fn unheard(&self, x: usize) -> impl Iterator<Item = (usize, f64)> + '_ {
        self.out[x]
            .iter()
            .copied()
            .filter(move |&(_, at)| at > self.heard[x])
    }

    /// The times of the answers that count.
    pub fn answers_at(&self, x: usize, now: f64) -> impl Iterator<Item = f64> + '_ {
        self.answers[x]
            .iter()
            .filter(move |a| now < a.0 + self.judged_for)
            .map(|a| a.1)
    }

    /// Keeps an answer among the latest `most`.
    pub fn remember(&mut self, x: usize, now: f64, sample: f64, most: usize) {
        self.answers[x].push_back((now, sample));
        if self.answers[x].len() > most {
            self.answers[x].pop_front();
        }
        self.note_judged(x, now);
    }

    pub fn all(&self) -> std::ops::Range<usize> {
        0..self.ids.len()
    }

    pub fn inflight(&self, x: usize) -> f64 {
        self.out[x].len() as f64
    }

    pub fn same_group(&self, group: DeduplicationScope, x: usize, y: usize) -> bool {
        match group {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone[x] == self.zone[y],
            DeduplicationScope::Cell => self.cell[x] == self.cell[y],
        }
    }
}
