//! What the module keeps between inputs: plain records, and the upkeep that takes no decision.

use crate::chance::agreed;
use crate::interface::{Answers, ExecutorId, Group, RosterRow, Standing};
use std::collections::{BTreeSet, HashMap, VecDeque};
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
    /// Counts lists: lots hold as long as it stays.
    pub version: u64,
    pub since: Vec<f64>,
    /// Own dispatches out there: the invocation's slot and when it was sent.
    pub out: Vec<Vec<(usize, f64)>>,
    /// How many of these there are at all executors together.
    pub out_count: usize,
    pub heard: Vec<f64>,
    /// When it last broke off or took no connection.
    pub broke_at: Vec<f64>,
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
    pub carried: Vec<Faded>,
    /// For each kind, how many shared that.
    pub fellows: Vec<Faded>,
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
        self.carried.resize(self.carried.len().max(self.kind[x] + 1), Faded::default());
        self.fellows.resize(self.carried.len(), Faded::default());
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
        self.paused[x] = Pause::default();
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

    /// Takes a dispatch off those that are out.
    pub fn note_ended(&mut self, x: usize, i: usize, at: f64) {
        let before = self.out[x].len();
        self.out[x].retain(|&(other, since)| other != i || since != at);
        self.out_count -= before - self.out[x].len();
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

    /// An executor's lot for a key, the same at every front end; the smaller comes first. On average the lots
    /// of one twice the size are half as large.
    pub fn lot(&self, x: usize, key: u64, size: f64) -> f64 {
        -((self.lot_number(x, key) + 1.0) / 4_294_967_297.0).ln() / size
    }

    pub fn lot_number(&self, x: usize, key: u64) -> f64 {
        let ExecutorId(address, port) = self.ids[x];
        let number = match address {
            IpAddr::V4(a) => u64::from(u32::from_le_bytes(a.octets())) << 16,
            IpAddr::V6(a) => {
                let (network, host) = ((a.to_bits() >> 64) as u64, a.to_bits() as u64);
                host.rotate_left(16) ^ network.rotate_left(40)
            }
        };
        f64::from(agreed(key, number ^ u64::from(port)))
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
pub struct Allowance {
    pub left: f64,
    pub at: f64,
}

impl Allowance {
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
pub struct Faded(f64, f64);

impl Faded {
    pub fn add(&mut self, amount: f64, now: f64, time: f64) -> f64 {
        *self = Faded(self.at(now, time) + amount, now);
        self.0
    }

    /// Raises it to an amount.
    pub fn peak(&mut self, amount: f64, now: f64, time: f64) {
        *self = Faded(self.at(now, time).max(amount), now);
    }

    /// When it was last added to.
    pub fn since(&self) -> f64 {
        self.1
    }

    pub fn at(&self, now: f64, time: f64) -> f64 {
        self.0 * (-(now - self.1) / time).exp()
    }
}

/// Moments within a window of the past.
#[derive(Default)]
pub struct Moments(VecDeque<f64>);

impl Moments {
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

/// A dispatch that is out.
#[derive(Clone, Copy)]
pub struct Out {
    pub dispatch: u8,
    pub x: usize,
    pub at: f64,
    /// It is the placement of its function.
    pub places: bool,
    pub cancelled: bool,
}

#[derive(Default)]
pub struct Inv {
    pub id: u32,
    pub ty: usize,
    /// Billed value for each unit of work, within the objective.
    pub value: f64,
    pub past_share: bool,
    pub f: usize,
    pub timeout_at: f64,
    /// When it was taken.
    pub at: f64,
    /// From its arrival to the end of the objective or of the client's patience.
    pub patience: f64,
    pub sent: u8,
    pub out: Vec<Out>,
    /// The earliest ended dispatch that may have run: where and when it was sent.
    pub ran: Option<(usize, f64)>,
    pub closed: bool,
    pub streaming: bool,
}

/// An executor known to hold a function.
pub struct Known {
    pub x: usize,
    pub until: f64,
    pub full: bool,
}

pub struct Placement {
    pub x: usize,
    pub by_order: bool,
    pub patience_at: f64,
}

#[derive(Default)]
pub struct Function {
    pub key: u64,
    pub lanes: f64,
    pub load_time: f64,
    pub known: Vec<Known>,
    pub waiting: Vec<usize>,
    /// Invocations with a dispatch out.
    pub out: Vec<usize>,
    pub placement: Option<Placement>,
    /// Where the last placement failed.
    pub failed: Option<usize>,
    pub tries: i32,
    pub next_at: f64,
    pub last_warm: Option<(usize, f64)>,
    /// Whether an executor was seen serving it ever, and where it errored before that.
    pub served: bool,
    pub erred_at: Option<usize>,
    /// What all executors are told to hold of it.
    pub everywhere: f64,
    /// How often that was told.
    pub heard: f64,
    /// Own invocations of it lately.
    pub taken: Faded,
    /// All ready executors by their lots, while invocations wait, and the fleet's version that they are of.
    pub lots: (u64, Vec<usize>),
}

impl Function {
    /// Own dispatches of this function that are out at an executor.
    pub fn inflight(&self, invs: &[Inv], x: usize) -> f64 {
        self.out.iter().flat_map(|&i| &invs[i].out).filter(|d| d.x == x).count() as f64
    }

    /// Sets or renews an entry.
    pub fn know(&mut self, x: usize, now: f64, until: f64) {
        self.last_warm = Some((x, now));
        self.served = true;
        self.known.retain(|k| k.x != x);
        self.known.push(Known { x, until, full: false });
    }

    /// Takes what an answer tells of its crowds into the mean; the first ones weigh more.
    pub fn tell(&mut self, told: f64, weight: f64) {
        self.heard += 1.0;
        self.everywhere += weight.max(1.0 / self.heard) * (told - self.everywhere);
    }

    pub fn evict(&mut self, x: usize) {
        self.known.retain(|k| k.x != x);
        self.last_warm = self.last_warm.filter(|w| w.0 != x);
    }

    pub fn knows(&self, x: usize, now: f64) -> bool {
        self.known.iter().any(|k| k.x == x && k.until > now)
    }
}

/// Functions and invocations, each found by its id and kept in a slot.
#[derive(Default)]
pub struct Book {
    pub functions: Vec<Function>,
    pub function_index: HashMap<u64, usize>,
    /// Functions with invocations waiting.
    pub pending: BTreeSet<usize>,
    pub invs: Vec<Inv>,
    pub inv_index: HashMap<u32, usize>,
    free: Vec<usize>,
    free_functions: Vec<usize>,
    swept: usize,
}

impl Book {
    /// The slot of a function, which is added where it is new.
    pub fn function(&mut self, key: u64, lanes: f64, load_time: f64) -> usize {
        *self.function_index.entry(key).or_insert_with(|| {
            let f = self.free_functions.pop().unwrap_or(self.functions.len());
            if f == self.functions.len() {
                self.functions.push(Function::default());
            }
            self.functions[f] = Function { key, lanes, load_time, ..Function::default() };
            f
        })
    }

    /// Drops entries past their time, and functions unused since a moment, of a part of them at a time.
    pub fn sweep(&mut self, unused_since: f64, now: f64) {
        for _ in 0..(self.functions.len() / 64).max(16).min(self.functions.len()) {
            self.swept = (self.swept + 1) % self.functions.len();
            let f = &mut self.functions[self.swept];
            f.known.retain(|k| k.until > now);
            let idle = f.waiting.is_empty() && f.out.is_empty() && f.placement.is_none();
            let listed = self.function_index.get(&f.key) == Some(&self.swept);
            if idle && listed && f.known.is_empty() && f.taken.since() < unused_since {
                self.function_index.remove(&f.key);
                *f = Function::default();
                self.free_functions.push(self.swept);
            }
        }
    }

    /// Whether an open invocation may have run at an executor.
    pub fn needs(&self, x: usize) -> bool {
        self.invs.iter().any(|inv| !inv.closed && inv.ran.is_some_and(|r| r.0 == x))
    }

    /// Drops all entries of some executors.
    pub fn evict(&mut self, void: &[usize]) {
        for f in &mut self.functions {
            f.known.retain(|k| !void.contains(&k.x));
            f.last_warm.take_if(|w| void.contains(&w.0));
        }
    }

    /// Drops what functions have of executors that are no more.
    pub fn drop_executors(&mut self, gone: &[usize]) {
        for f in &mut self.functions {
            f.placement.take_if(|p| gone.contains(&p.x));
            f.failed.take_if(|x| gone.contains(x));
            f.erred_at.take_if(|x| gone.contains(x));
            f.last_warm.take_if(|w| gone.contains(&w.0));
        }
    }

    pub fn add(&mut self, inv: Inv) -> usize {
        let i = self.free.pop().unwrap_or(self.invs.len());
        self.inv_index.insert(inv.id, i);
        if i == self.invs.len() {
            self.invs.push(inv)
        } else {
            self.invs[i] = inv
        }
        i
    }

    /// Adds a dispatch to those that are out.
    pub fn send(&mut self, i: usize, x: usize, at: f64, places: bool) {
        self.unwait(i);
        let inv = &mut self.invs[i];
        inv.out.push(Out { dispatch: inv.sent, x, at, places, cancelled: false });
        inv.sent += 1;
        let out = &mut self.functions[inv.f].out;
        if !out.contains(&i) {
            out.push(i);
        }
    }

    /// Cancels what is out of an invocation, but for one dispatch.
    pub fn cancel(&mut self, i: usize, but: Option<u8>, out: &mut dyn Answers) {
        let inv = &mut self.invs[i];
        for d in inv.out.iter_mut().filter(|d| !d.cancelled && Some(d.dispatch) != but) {
            d.cancelled = true;
            out.cancel(inv.id, d.dispatch);
        }
    }

    /// Takes a dispatch that ended off those that are out.
    pub fn ended(&mut self, i: usize, dispatch: u8) -> Option<Out> {
        let at = self.invs[i].out.iter().position(|d| d.dispatch == dispatch)?;
        Some(self.invs[i].out.remove(at))
    }

    pub fn wait(&mut self, i: usize) {
        let f = self.invs[i].f;
        self.functions[f].out.retain(|&o| o != i);
        self.functions[f].waiting.push(i);
        self.pending.insert(f);
    }

    pub fn unwait(&mut self, i: usize) {
        let f = self.invs[i].f;
        self.functions[f].waiting.retain(|&w| w != i);
        if self.functions[f].waiting.is_empty() {
            self.pending.remove(&f);
            self.functions[f].lots = (0, vec![]);
        }
    }

    /// Drops an invocation that has its final answer and nothing out.
    pub fn release(&mut self, i: usize) {
        let inv = &self.invs[i];
        if inv.closed && inv.out.is_empty() && self.inv_index.remove(&inv.id).is_some() {
            self.functions[inv.f].out.retain(|&o| o != i);
            self.free.push(i);
        }
    }
}
