//! Functions and invocations, and the dispatches that are out.

use super::{DecayingSum, Fleet, KnownSet, Ranking};
use crate::interface::{Actions, ConfigError, DispatchStatus, TableSizes};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};

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

#[derive(Clone, Copy)]
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
    pub known: KnownSet,
    pub waiting: Vec<usize>,
    /// Invocations with a dispatch out.
    pub out: Vec<usize>,
    /// How many dispatches are out at each executor.
    held: BTreeMap<usize, u32>,
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
    pub taken: DecayingSum,
    pub ranking: Ranking,
}

impl Function {
    /// Own dispatches of this function that are out at an executor.
    pub fn inflight(&self, x: usize) -> f64 {
        self.held.get(&x).copied().unwrap_or_default().into()
    }

    /// Sets or renews an entry.
    pub fn know(&mut self, x: usize, now: f64, until: f64) {
        self.last_warm = Some((x, now));
        self.served = true;
        self.known.add(x, until);
    }

    /// Takes what an answer tells of its crowds into the mean; the first ones weigh more.
    pub fn tell(&mut self, told: f64, weight: f64) {
        self.heard += 1.0;
        self.everywhere += weight.max(1.0 / self.heard) * (told - self.everywhere);
    }

    /// Enters a placement that is given some load times.
    pub fn begin_placement(&mut self, x: usize, by_order: bool, now: f64, load_times: f64) {
        let patience_at = now + load_times * self.load_time;
        self.placement = Some(Placement {
            x,
            by_order,
            patience_at,
        });
    }

    /// Ends the placement at an executor, if it is under way; tells how many failed in a row where it failed.
    pub fn end_placement(&mut self, x: usize, by_order: bool, well: bool) -> Option<i32> {
        self.placement
            .take_if(|p| p.x == x && p.by_order == by_order)?;
        self.failed = (!well).then_some(x);
        self.tries = if well { 0 } else { self.tries + 1 };
        (!well).then_some(self.tries)
    }

    pub fn evict(&mut self, x: usize) {
        self.known.remove(x);
        self.last_warm = self.last_warm.filter(|w| w.0 != x);
    }

    pub fn knows(&self, x: usize, now: f64) -> bool {
        self.known.holds_after(x, now)
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
    /// The slot of a function, which is added where it is new, with whole lanes and one at the least.
    pub fn function(&mut self, key: u64, lanes: f64, load_time: f64) -> usize {
        let lanes = lanes.max(1.0).floor();
        *self.function_index.entry(key).or_insert_with(|| {
            let f = self.free_functions.pop().unwrap_or(self.functions.len());
            if f == self.functions.len() {
                self.functions.push(Function::default());
            }
            self.functions[f] = Function {
                key,
                lanes,
                load_time,
                ..Function::default()
            };
            f
        })
    }

    /// Drops entries past their time, and functions unused since a moment, of a part of them at a time.
    pub fn sweep(&mut self, unused_since: f64, now: f64) {
        for _ in 0..(self.functions.len() / 64)
            .max(16)
            .min(self.functions.len())
        {
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

    /// Entries in the tables, with those of a fleet.
    pub fn kept(&self, fleet: &Fleet) -> TableSizes {
        let (executors, functions) = (fleet.ids.len(), self.functions.len());
        TableSizes {
            executors,
            functions,
            invocations: self.invs.len(),
        }
    }

    /// Whether no invocation is of a trigger type, open or with a dispatch still out.
    pub fn check_unused(&self, index: usize) -> Result<(), ConfigError> {
        let used = self.inv_index.values().any(|&i| self.invs[i].ty == index);
        if used {
            Err(ConfigError::InUse { index })
        } else {
            Ok(())
        }
    }

    /// Whether an open invocation may have run at an executor.
    pub fn needs(&self, x: usize) -> bool {
        self.invs
            .iter()
            .any(|inv| !inv.closed && inv.ran.is_some_and(|r| r.0 == x))
    }

    /// Drops all entries of some executors.
    pub fn evict(&mut self, void: &[usize]) {
        let void: BTreeSet<&usize> = void.iter().collect();
        for f in self.functions.iter_mut().filter(|_| !void.is_empty()) {
            f.known.retain(|k| !void.contains(&k.x));
            f.last_warm.take_if(|w| void.contains(&w.0));
        }
    }

    /// Drops what functions have of executors that are no more.
    pub fn drop_executors(&mut self, gone: &[usize]) {
        let gone: BTreeSet<&usize> = gone.iter().collect();
        for f in self.functions.iter_mut().filter(|_| !gone.is_empty()) {
            f.placement.take_if(|p| gone.contains(&p.x));
            f.failed.take_if(|x| gone.contains(x));
            f.erred_at.take_if(|x| gone.contains(x));
            f.last_warm.take_if(|w| gone.contains(&w.0));
        }
    }

    /// Adds an invocation, which waits.
    pub fn take(&mut self, inv: Inv) {
        let i = self.free.pop().unwrap_or(self.invs.len());
        self.inv_index.insert(inv.id, i);
        if i == self.invs.len() {
            self.invs.push(inv)
        } else {
            self.invs[i] = inv
        }
        self.wait(i);
    }

    /// The invocation has its final answer, and is dropped if nothing is out. What is out is cancelled where
    /// that is granted, unless it streams.
    pub fn close(&mut self, i: usize, cancel: bool, out: &mut dyn Actions) {
        self.unwait(i);
        self.invs[i].closed = true;
        if cancel && !self.invs[i].streaming {
            self.cancel(i, None, out);
        }
        self.release(i);
    }

    /// A dispatch that is out and not cancelled, and its invocation's slot, by the invocation's id.
    pub fn out_of(&self, inv: u32, dispatch: u8) -> Option<(usize, Out)> {
        let i = *self.inv_index.get(&inv)?;
        let out = self.invs[i]
            .out
            .iter()
            .find(|d| !d.cancelled && d.dispatch == dispatch);
        out.map(|d| (i, *d))
    }

    /// Adds a dispatch to those that are out.
    pub fn send(&mut self, i: usize, x: usize, at: f64, places: bool) {
        self.unwait(i);
        let inv = &mut self.invs[i];
        inv.out.push(Out {
            dispatch: inv.sent,
            x,
            at,
            places,
            cancelled: false,
        });
        inv.sent += 1;
        *self.functions[inv.f].held.entry(x).or_default() += 1;
        let out = &mut self.functions[inv.f].out;
        if !out.contains(&i) {
            out.push(i);
        }
    }

    /// Cancels what is out of an invocation, but for one dispatch.
    pub fn cancel(&mut self, i: usize, but: Option<u8>, out: &mut dyn Actions) {
        let inv = &mut self.invs[i];
        for d in inv
            .out
            .iter_mut()
            .filter(|d| !d.cancelled && Some(d.dispatch) != but)
        {
            d.cancelled = true;
            out.cancel(inv.id, d.dispatch);
        }
    }

    /// Where and when the first dispatch was sent that may have run, but for one that is only about to leave.
    pub fn first_sent(&self, i: usize, leaving: Option<u8>) -> Option<(usize, f64)> {
        let inv = &self.invs[i];
        let others = inv
            .out
            .iter()
            .filter(|d| Some(d.dispatch) != leaving)
            .map(|d| (d.x, d.at));
        others.chain(inv.ran).min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Takes a dispatch that ended off those that are out.
    pub fn ended(&mut self, i: usize, dispatch: u8) -> Option<Out> {
        let at = self.invs[i]
            .out
            .iter()
            .position(|d| d.dispatch == dispatch)?;
        let ended = self.invs[i].out.remove(at);
        let held = &mut self.functions[self.invs[i].f].held;
        if let Entry::Occupied(mut count) = held.entry(ended.x) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
        Some(ended)
    }

    /// Notes that a dispatch which ended so may have run, unless an earlier one may have.
    pub fn note_ran(&mut self, i: usize, ended: &Out, ending: DispatchStatus) {
        let ran = &mut self.invs[i].ran;
        if !ending.never_ran() && ran.is_none_or(|(_, at)| at > ended.at) {
            *ran = Some((ended.x, ended.at));
        }
    }

    /// The invocation waits, if it has no final answer and nothing out.
    pub fn wait_again(&mut self, i: usize) {
        if self.invs[i].out.is_empty() && !self.invs[i].closed {
            self.wait(i);
        }
    }

    fn wait(&mut self, i: usize) {
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
