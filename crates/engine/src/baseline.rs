//! Who decides: the module, or a baseline to measure it against. Baselines serve comparisons alone.

use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_dispatch_policy::random::SeededRandom;
use std::collections::HashMap;

/// What the engine tells to whatever decides.
pub trait Decisions {
    /// Those that share nothing by the number of front ends need not know it.
    fn living(&mut self, _now: f64, _living: MembershipView, _out: &mut dyn Actions) {}
    /// Those that know nothing of trigger types and shares have nothing to change.
    ///
    /// # Errors
    /// As told by `ConfigRefused`; then nothing is changed.
    fn set_trigger_type(
        &mut self,
        _now: f64,
        _index: usize,
        _ty: TriggerType,
    ) -> Result<(), ConfigRefused> {
        Ok(())
    }
    /// # Errors
    /// As told by `ConfigRefused`; then nothing is changed.
    fn set_quotas(&mut self, _now: f64, _quotas: Vec<f64>) -> Result<(), ConfigRefused> {
        Ok(())
    }
    fn roster(&mut self, now: f64, kind: RosterKind, rows: &[RosterRow], out: &mut dyn Actions);
    /// The roster was true at a time; those that don't mind its age need not know it.
    fn view_confirmed(&mut self, _now: f64, _at: f64, _out: &mut dyn Actions) {}
    /// The process did not run for a while.
    fn stood_still(&mut self, _now: f64) {}
    /// The source of the roster does not answer what was asked at a time.
    fn view_lost(&mut self, _now: f64, _asked_at: f64) {}
    fn invocation(&mut self, now: f64, inv: &Invocation, out: &mut dyn Actions);
    fn outcome(&mut self, now: f64, o: &Outcome, out: &mut dyn Actions);
    fn streaming(&mut self, now: f64, inv: u32, dispatch: u8, out: &mut dyn Actions);
    fn withdrawn(&mut self, now: f64, inv: u32, out: &mut dyn Actions);
    fn held(&mut self, now: f64, at: ExecutorId, key: u64, ending: Ending, out: &mut dyn Actions);
    fn ahead(&mut self, now: f64, wish: &Ahead, out: &mut dyn Actions) -> usize;
    fn timer(&mut self, now: f64, out: &mut dyn Actions);
    /// Nothing that is open is waited for past a moment.
    fn end_by(&mut self, _now: f64, _at: f64, _out: &mut dyn Actions) {}
    /// Whether what was decided still holds as its bytes leave; baselines don't mind.
    fn leaves(&mut self, _now: f64, _inv: u32, _dispatch: u8) -> bool {
        true
    }
    fn order_leaves(&mut self, _now: f64, _to: ExecutorId, _at: f64) -> bool {
        true
    }
    /// Entries in its tables, where it has any.
    fn kept(&self) -> Kept {
        Kept::default()
    }
}

impl Decisions for Dispatcher {
    fn living(&mut self, now: f64, living: MembershipView, out: &mut dyn Actions) {
        Dispatcher::living(self, now, living, out);
    }
    fn set_trigger_type(
        &mut self,
        now: f64,
        index: usize,
        ty: TriggerType,
    ) -> Result<(), ConfigRefused> {
        Dispatcher::set_trigger_type(self, now, index, ty)
    }
    fn set_quotas(&mut self, now: f64, quotas: Vec<f64>) -> Result<(), ConfigRefused> {
        Dispatcher::set_quotas(self, now, quotas)
    }
    fn roster(&mut self, now: f64, kind: RosterKind, rows: &[RosterRow], out: &mut dyn Actions) {
        Dispatcher::roster(self, now, kind, rows, out);
    }
    fn view_confirmed(&mut self, now: f64, at: f64, out: &mut dyn Actions) {
        Dispatcher::view_confirmed(self, now, at, out);
    }
    fn stood_still(&mut self, now: f64) {
        Dispatcher::stood_still(self, now);
    }
    fn view_lost(&mut self, now: f64, asked_at: f64) {
        Dispatcher::view_lost(self, now, asked_at);
    }
    fn invocation(&mut self, now: f64, inv: &Invocation, out: &mut dyn Actions) {
        Dispatcher::invocation(self, now, inv, out);
    }
    fn outcome(&mut self, now: f64, o: &Outcome, out: &mut dyn Actions) {
        Dispatcher::outcome(self, now, o, out);
    }
    fn streaming(&mut self, now: f64, inv: u32, dispatch: u8, out: &mut dyn Actions) {
        Dispatcher::streaming(self, now, inv, dispatch, out);
    }
    fn withdrawn(&mut self, now: f64, inv: u32, out: &mut dyn Actions) {
        Dispatcher::withdrawn(self, now, inv, out);
    }
    fn held(&mut self, now: f64, at: ExecutorId, key: u64, ending: Ending, out: &mut dyn Actions) {
        Dispatcher::held(self, now, at, key, ending, out);
    }
    fn ahead(&mut self, now: f64, wish: &Ahead, out: &mut dyn Actions) -> usize {
        Dispatcher::ahead(self, now, wish, out)
    }
    fn timer(&mut self, now: f64, out: &mut dyn Actions) {
        Dispatcher::timer(self, now, 0, out);
    }
    fn end_by(&mut self, now: f64, at: f64, out: &mut dyn Actions) {
        Dispatcher::end_by(self, now, at, out);
    }
    fn leaves(&mut self, now: f64, inv: u32, dispatch: u8) -> bool {
        Dispatcher::leaves(self, now, inv, dispatch)
    }
    fn order_leaves(&mut self, now: f64, to: ExecutorId, at: f64) -> bool {
        Dispatcher::order_leaves(self, now, to, at)
    }
    fn kept(&self) -> Kept {
        Dispatcher::kept(self)
    }
}

/// How a baseline chooses among the ready executors.
pub enum Pick {
    /// Any of them.
    Random,
    /// The one where the fewest of its own are out; chance between equals.
    LeastBusy,
    /// The less loaded of two, by what is told of each as it truly is: no front end can know that.
    TwoByTruth(Box<dyn Fn(ExecutorId) -> u32>),
}

/// Sends each invocation once.
pub struct Plain {
    pick: Pick,
    random: SeededRandom,
    ready: Vec<ExecutorId>,
    open: HashMap<u32, ExecutorId>,
    /// How many of its own are out at each.
    out: HashMap<ExecutorId, u32>,
}

/// The baseline that a front end may be started with.
pub type Random = Plain;

impl Plain {
    /// At random.
    pub fn new(seed: u64) -> Plain {
        Plain::by(Pick::Random, seed)
    }

    pub fn by(pick: Pick, seed: u64) -> Plain {
        let (ready, open, out) = (vec![], HashMap::new(), HashMap::new());
        Plain {
            pick,
            random: SeededRandom::new(seed),
            ready,
            open,
            out,
        }
    }

    fn draw(&mut self) -> usize {
        (self.random.unit() * self.ready.len() as f64) as usize
    }

    fn choose(&mut self) -> Option<ExecutorId> {
        let (one, other) = (self.draw(), self.draw());
        let first = *self.ready.get(one)?;
        Some(match &self.pick {
            Pick::Random => first,
            // From the one drawn on, so that equals are not chosen by the order of the list.
            Pick::LeastBusy => {
                let from_there = self.ready[one..].iter().chain(&self.ready[..one]).copied();
                from_there.min_by_key(|x| self.out.get(x).copied().unwrap_or_default())?
            }
            Pick::TwoByTruth(load) => {
                let second = *self.ready.get(other)?;
                if load(second) < load(first) {
                    second
                } else {
                    first
                }
            }
        })
    }

    /// The invocation is over; tells where it was out.
    fn end(&mut self, inv: u32) -> Option<ExecutorId> {
        let to = self.open.remove(&inv)?;
        if let Some(out) = self.out.get_mut(&to) {
            *out = out.saturating_sub(1);
        }
        Some(to)
    }
}

impl Decisions for Plain {
    fn roster(&mut self, _: f64, kind: RosterKind, rows: &[RosterRow], _: &mut dyn Actions) {
        if kind == RosterKind::Full {
            self.ready.clear();
        }
        for row in rows {
            self.ready.retain(|&x| x != row.executor);
            if row.standing == Standing::Ready {
                self.ready.push(row.executor);
            }
        }
        let ready = &self.ready;
        self.out.retain(|x, _| ready.contains(x));
    }

    fn invocation(&mut self, now: f64, inv: &Invocation, out: &mut dyn Actions) {
        match self.choose() {
            Some(to) => {
                self.open.insert(inv.id, to);
                *self.out.entry(to).or_default() += 1;
                out.dispatch(inv.id, to, inv.timeout_at - now);
            }
            None => out.throttle(inv.id, 0.0, false),
        }
    }

    fn outcome(&mut self, _: f64, o: &Outcome, out: &mut dyn Actions) {
        if self.end(o.inv).is_some() && !o.closed && o.ending != Ending::Ok {
            if o.ending.never_ran() {
                out.throttle(o.inv, 0.0, false)
            } else {
                out.error(o.inv)
            }
        }
    }

    fn streaming(&mut self, _: f64, _: u32, _: u8, _: &mut dyn Actions) {}

    fn withdrawn(&mut self, _: f64, inv: u32, out: &mut dyn Actions) {
        if self.end(inv).is_some() {
            out.cancel(inv, 0);
        }
    }

    fn held(&mut self, _: f64, _: ExecutorId, _: u64, _: Ending, _: &mut dyn Actions) {}
    fn ahead(&mut self, _: f64, wish: &Ahead, _: &mut dyn Actions) -> usize {
        wish.copies
    }
    fn timer(&mut self, _: f64, _: &mut dyn Actions) {}
}
