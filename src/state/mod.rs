//! What the module keeps between inputs: plain records, and the upkeep that takes no decision.

mod book;

use crate::chance::rendezvous_hash;
use crate::interface::{Ending, ExecutorId, Group, RosterRow, Standing};
pub use book::*;
use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;

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
    /// Counts lists: ranking hold as long as it stays.
    pub version: u64,
    pub since: Vec<f64>,
    /// Own dispatches out there: the invocation's slot and when it was sent.
    pub out: Vec<Vec<(usize, f64)>>,
    /// How many of these there are at all executors together.
    pub out_count: usize,
    pub heard: Vec<f64>,
    /// When it last broke off or took no connection.
    pub broke_at: Vec<f64>,
    /// Dispatches and orders in a row that it turned away as 'full'.
    pub turned_away: Vec<usize>,
    /// What answers 'full' ask for.
    pub paused: Vec<Pause>,
    /// Invocations reported waiting, and when that was told.
    pub backlog: Vec<(f64, f64)>,
    /// The latest answers: when they came, and their times in usual ones.
    pub answers: Vec<VecDeque<(f64, f64)>>,
    pub suspect: Vec<bool>,
    pub trial_at: Vec<f64>,
    /// Times and mean work of the latest dispatches.
    pub sent: Vec<VecDeque<(f64, f64)>>,
    /// For each kind of executor, the work that was answered lately.
    pub carried: Vec<DecayingSum>,
    /// For each kind, how many shared that.
    pub fellows: Vec<DecayingSum>,
    /// For each kind, how many ready ones are warm, until when that holds; void after a change.
    pub warm: Vec<(usize, f64)>,
    /// Since when it is in no list: infinity while it is in one, minus infinity where the index is free.
    gone_at: Vec<f64>,
    free: Vec<usize>,
}

fn put<T>(all: &mut Vec<T>, x: usize, value: T) {
    if x == all.len() { all.push(value) } else { all[x] = value }
}

impl Fleet {
    /// The index of a roster row's executor, which is added where it is new. An id that now stands somewhere
    /// else is another executor's; it is as cold and doubtful as the first, and what went there weighs on.
    fn index_of(&mut self, row: &RosterRow, now: f64) -> usize {
        let place = (row.zone, usize::from(row.kind), row.cell);
        let known = self.index.get(&row.executor).copied();
        if let Some(x) = known.filter(|&x| (self.zone[x], self.kind[x], self.cell[x]) == place) {
            return x;
        }
        let x = self.free.pop().unwrap_or(self.ids.len());
        self.index.insert(row.executor, x);
        put(&mut self.ids, x, row.executor);
        put(&mut self.zone, x, row.zone);
        put(&mut self.kind, x, usize::from(row.kind));
        put(&mut self.cell, x, row.cell);
        put(&mut self.ready, x, false);
        put(&mut self.weight, x, 1.0);
        put(&mut self.since, x, f64::NEG_INFINITY);
        put(&mut self.out, x, vec![]);
        put(&mut self.heard, x, f64::NEG_INFINITY);
        put(&mut self.broke_at, x, f64::NEG_INFINITY);
        put(&mut self.turned_away, x, 0);
        put(&mut self.paused, x, Pause::default());
        put(&mut self.backlog, x, (0.0, f64::NEG_INFINITY));
        put(&mut self.answers, x, VecDeque::new());
        put(&mut self.suspect, x, false);
        put(&mut self.trial_at, x, 0.0);
        put(&mut self.sent, x, VecDeque::new());
        put(&mut self.gone_at, x, f64::INFINITY);
        if let Some(first) = known {
            (self.ready[first], self.gone_at[first]) = (false, now);
            (self.since[x], self.broke_at[x]) = (self.since[first], self.broke_at[first]);
            self.sent[x] = self.sent[first].clone();
        }
        self.carried.resize(self.carried.len().max(self.kind[x] + 1), DecayingSum::default());
        self.fellows.resize(self.carried.len(), DecayingSum::default());
        self.warm.resize(self.carried.len(), (0, f64::NEG_INFINITY));
        x
    }

    /// Enters roster rows, and tells of which executors all that was known is void: those that restarted,
    /// drain or are gone. A full list leaves out what is gone.
    pub fn list(&mut self, now: f64, full: bool, rows: &[RosterRow]) -> Vec<usize> {
        let before = self.ready.clone();
        if full {
            self.ready.fill(false);
            self.gone_at.iter_mut().for_each(|at| *at = at.min(now));
        }
        let mut void = vec![];
        for row in rows {
            let x = self.index_of(row, now);
            self.ready[x] = row.standing == Standing::Ready;
            self.gone_at[x] = if row.standing == Standing::Gone { now } else { f64::INFINITY };
            self.weight[x] = if row.weight > 0.0 && row.weight.is_finite() { row.weight } else { 1.0 };
            if row.since > self.since[x] {
                self.since[x] = row.since;
                void.push(x);
            }
        }
        void.extend((0..before.len()).filter(|&x| before[x] && !self.ready[x]));
        self.version += 1;
        self.ready_count = self.ready.iter().filter(|&&r| r).count();
        self.warm.fill((0, f64::NEG_INFINITY));
        void
    }

    /// Those that are in no list since a moment, with nothing out there.
    pub fn departed(&self, since: f64) -> Vec<usize> {
        let gone = |&x: &usize| self.gone_at[x].is_finite() && self.gone_at[x] < since;
        self.all().filter(gone).filter(|&x| self.out[x].is_empty()).collect()
    }

    /// Drops an executor; its index is another's from then on.
    pub fn release(&mut self, x: usize) {
        if self.index.get(&self.ids[x]) == Some(&x) {
            self.index.remove(&self.ids[x]);
        }
        self.gone_at[x] = f64::NEG_INFINITY;
        self.free.push(x);
    }

    /// Voids what was heard of an executor. What is out there still counts, and so does what was sent.
    pub fn forget(&mut self, x: usize) {
        self.backlog[x] = (0.0, f64::NEG_INFINITY);
        (self.paused[x], self.turned_away[x]) = (Pause::default(), 0);
        self.answers[x].clear();
        self.suspect[x] = false;
    }

    /// Notes a dispatch, and what it weighs for the next `kept` seconds.
    pub fn note_sent(&mut self, x: usize, i: usize, now: f64, work: f64, kept: f64) {
        self.out[x].push((i, now));
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
    pub fn note_ended(&mut self, x: usize, i: usize, at: f64) {
        let before = self.out[x].len();
        self.out[x].retain(|&(other, since)| other != i || since != at);
        self.out_count -= before - self.out[x].len();
    }

    /// Notes how a dispatch or an order ended.
    pub fn note_answer(&mut self, x: usize, ending: Ending) {
        match ending {
            Ending::Full => self.turned_away[x] += 1,
            Ending::Ok => self.turned_away[x] = 0,
            _ => {}
        }
    }

    /// Work sent since a moment that is still kept.
    pub fn sent_since(&self, x: usize, since: f64) -> f64 {
        self.sent[x].iter().filter(|s| s.0 > since).map(|s| s.1).sum()
    }

    /// Keeps an answer among the latest `most`.
    pub fn remember(&mut self, x: usize, now: f64, sample: f64, most: usize) {
        self.answers[x].push_back((now, sample));
        if self.answers[x].len() > most {
            self.answers[x].pop_front();
        }
    }

    pub fn all(&self) -> std::ops::Range<usize> {
        0..self.ids.len()
    }

    pub fn inflight(&self, x: usize) -> f64 {
        self.out[x].len() as f64
    }

    /// Weighted rendezvous hashing: an executor's rank for a key, the same at every front end; the smaller comes
    /// first. On average the ranks of an executor of twice the weight are half as large.
    pub fn rendezvous_rank(&self, x: usize, key: u64) -> f64 {
        -((self.rendezvous_number(x, key) + 1.0) / 4_294_967_297.0).ln() / self.weight[x]
    }

    pub fn rendezvous_number(&self, x: usize, key: u64) -> f64 {
        let ExecutorId(address, port) = self.ids[x];
        let number = match address {
            IpAddr::V4(a) => u64::from(u32::from_le_bytes(a.octets())) << 16,
            IpAddr::V6(a) => {
                let (network, host) = ((a.to_bits() >> 64) as u64, a.to_bits() as u64);
                host.rotate_left(16) ^ network.rotate_left(40)
            }
        };
        f64::from(rendezvous_hash(key, number ^ u64::from(port)))
    }

    pub fn same_group(&self, group: Group, x: usize, y: usize) -> bool {
        match group {
            Group::All => true,
            Group::Zone => self.zone[x] == self.zone[y],
            Group::Cell => self.cell[x] == self.cell[y],
        }
    }
}

/// A pause that doubles with each refusal in a row.
#[derive(Clone, Copy, Default)]
pub struct Pause {
    refusals: i32,
    pub until: f64,
}

impl Pause {
    pub fn grow(&mut self, now: f64, first: f64, doublings: i32) {
        self.until = now + first * 2f64.powi(self.refusals.min(doublings));
        self.refusals += 1;
    }

    pub fn end(&mut self) {
        self.refusals = 0;
    }
}

/// An allowance that fills at a rate up to a most.
pub struct TokenBucket {
    pub left: f64,
    pub at: f64,
}

impl TokenBucket {
    /// Takes a cost where so much at the least is left, and tells whether it was.
    pub fn take(&mut self, now: f64, rate: f64, most: f64, cost: f64, least: f64) -> bool {
        self.left = (self.left + (now - self.at) * rate).min(most);
        self.at = now;
        let granted = self.left >= least;
        self.left -= if granted { cost } else { 0.0 };
        granted
    }
}

/// A sum that fades over time.
#[derive(Clone, Copy, Default)]
pub struct DecayingSum(f64, f64);

impl DecayingSum {
    pub fn add(&mut self, amount: f64, now: f64, time: f64) -> f64 {
        *self = DecayingSum(self.at(now, time) + amount, now);
        self.0
    }

    /// Raises it to an amount.
    pub fn peak(&mut self, amount: f64, now: f64, time: f64) {
        *self = DecayingSum(self.at(now, time).max(amount), now);
    }

    /// When it was last added to.
    pub fn since(&self) -> f64 {
        self.1
    }

    pub fn at(&self, now: f64, time: f64) -> f64 {
        self.0 * (-(now - self.1) / time).exp()
    }
}

/// SlidingWindow within a window of the past.
#[derive(Default)]
pub struct SlidingWindow(VecDeque<f64>);

impl SlidingWindow {
    pub fn add(&mut self, now: f64) {
        self.0.push_back(now);
    }

    /// Takes one back.
    pub fn remove(&mut self, moment: f64) {
        if let Ok(n) = self.0.binary_search_by(|t| t.total_cmp(&moment)) {
            self.0.remove(n);
        }
    }

    /// How many came after `since`; earlier ones are dropped.
    pub fn after(&mut self, since: f64) -> f64 {
        while self.0.front().is_some_and(|&t| t <= since) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }
}

/// A number by which things are sorted.
#[derive(Clone, Copy, PartialEq)]
pub struct Ordered(pub f64);

impl Eq for Ordered {}
impl PartialOrd for Ordered {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Ordered {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The value at a share of the sorted list.
pub fn quantile(mut values: Vec<f64>, share: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * share) as usize;
    values.get(rank.min(values.len().saturating_sub(1))).copied()
}
