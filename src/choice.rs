//! Every decision of orchidtally. One `Choice` serves one front end: it is started with the `Terms` of its
//! deployment and a seed, then called once for each thing that happens (`invocation`, `outcome`, `held`,
//! `roster`, `timer`, ...), and answers through the `Answers` given with each. All three stand in
//! `interface.rs`. After each input the rules of `RULES` are gone through, in order, for every function
//! that the input touched, until none fires.

use crate::chance::{Chance, agreed};
use crate::interface::*;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Interval of the heartbeat; whatever waits is looked at again that often.
const BEAT: f64 = 0.025;
/// Answer times by which an executor is judged, the quantile taken, and how far above its fellows is suspect.
const JUDGED: usize = 16;
const LEAST_JUDGED: usize = 4;
const HIGH_QUANTILE: f64 = 0.85;
const SUSPECT: f64 = 3.0;
/// A failure weighs as an answer this many times the usual.
const FAILURE: f64 = 20.0;
/// A suspect is tried again with one invocation after this share of the latency objective.
const TRIAL_PAUSE: f64 = 0.7;
/// In-flight limit of an executor: start, bounds, and the shares of the latency objective that move it.
const LIMIT_START: f64 = 8.0;
const LIMIT_MOST: f64 = 64.0;
const LIMIT_CUT: f64 = 0.9;
const NEAR_OBJECTIVE: f64 = 0.75;
/// Backoff of a failed placement, and its growth.
const BACKOFF: f64 = 0.1;
const BACKOFF_GROWTH: f64 = 1.1;
/// A placement is given this many usual load times before a second one is tried.
const PATIENCE: f64 = 2.5;
/// Cache time, as a share of the time an idle copy stays; and where no such time is told.
const CACHE_SHARE: f64 = 0.85;
const CACHE_TIME: f64 = 5.0;
/// A function is kept loaded by orders for this many keep-alive times after its last invocation.
const RENEWED_FOR: f64 = 3.0;
/// Part of the cold budget that is used, for peers that know less and for jitter on the way.
const COLD_MARGIN: f64 = 0.8;
/// Time constant of the work rate that an executor is seen to carry.
const CARRY_TIME: f64 = 5.0;
/// A second copy leaves after this share of the latency objective.
const SECOND_COPY: f64 = 0.6;

type Rule = fn(&mut Choice, usize, &mut dyn Answers) -> bool;
const RULES: [Rule; 6] = [
    Choice::give_up,
    Choice::send_to_known_with_room,
    Choice::place,
    Choice::send_to_least_busy,
    Choice::move_from_slow,
    Choice::renew,
];

#[derive(Clone, Copy)]
struct Out {
    dispatch: u8,
    x: usize,
    at: f64,
    places: bool,
    cancelled: bool,
}

struct Inv {
    id: u32,
    ty: usize,
    f: usize,
    timeout_at: f64,
    objective_at: f64,
    sent: u8,
    out: Vec<Out>,
    /// The earliest ended dispatch that may have run: where and when it was sent.
    ran: Option<(usize, f64)>,
    avoid: Option<usize>,
    closed: bool,
    streaming: bool,
}

struct Known {
    x: usize,
    until: f64,
    full: bool,
    renewing: bool,
}

struct Placement {
    x: usize,
    by_order: bool,
    patience_at: f64,
}

struct Function {
    key: u64,
    lanes: f64,
    load_time: f64,
    known: Vec<Known>,
    waiting: Vec<usize>,
    out: Vec<usize>,
    placement: Option<Placement>,
    failed: Option<usize>,
    tries: i32,
    next_at: f64,
    last_warm: Option<(usize, f64)>,
    used: f64,
}

pub struct Choice {
    terms: Terms,
    chance: Chance,
    now: f64,
    beats: u64,
    // Executors, under a dense index.
    index: HashMap<ExecutorId, usize>,
    ids: Vec<ExecutorId>,
    zone: Vec<u8>,
    kind: Vec<u8>,
    cell: Vec<u16>,
    ready: Vec<bool>,
    weight: Vec<f64>,
    since: Vec<f64>,
    inflight: Vec<u32>,
    limit: Vec<f64>,
    backlog: Vec<f64>,
    answers: Vec<VecDeque<f64>>,
    outstanding: Vec<Vec<(usize, f64)>>,
    suspect: Vec<bool>,
    trial_at: Vec<f64>,
    sent: Vec<VecDeque<(f64, f64)>>,
    carry: Vec<(f64, f64)>,
    /// Work rate that fellows of each kind were seen to carry, at the most.
    carried: Vec<f64>,
    // Trigger types.
    usual: Vec<f64>,
    functions: Vec<Function>,
    function_index: HashMap<u64, usize>,
    pending: BTreeSet<usize>,
    touched: Vec<usize>,
    invs: Vec<Inv>,
    free: Vec<usize>,
    inv_index: HashMap<u32, usize>,
    taken: VecDeque<f64>,
    orders: VecDeque<f64>,
    load_ratio: f64,
}

impl Choice {
    pub fn new(terms: Terms, seed: u64, now: f64, out: &mut dyn Answers) -> Self {
        let usual = terms.trigger_types.iter().map(|t| t.objective / 4.0).collect();
        let choice = Choice {
            terms,
            chance: Chance::new(seed),
            now,
            beats: 0,
            index: HashMap::new(),
            ids: vec![],
            zone: vec![],
            kind: vec![],
            cell: vec![],
            ready: vec![],
            weight: vec![],
            since: vec![],
            inflight: vec![],
            limit: vec![],
            backlog: vec![],
            answers: vec![],
            outstanding: vec![],
            suspect: vec![],
            trial_at: vec![],
            sent: vec![],
            carry: vec![],
            carried: vec![],
            usual,
            functions: vec![],
            function_index: HashMap::new(),
            pending: BTreeSet::new(),
            touched: vec![],
            invs: vec![],
            free: vec![],
            inv_index: HashMap::new(),
            taken: VecDeque::new(),
            orders: VecDeque::new(),
            load_ratio: 1.0,
        };
        if choice.terms.roster_asked {
            out.watch_roster();
        }
        out.wake(choice.beat(), 0);
        choice
    }

    pub fn has_trigger_type(&self, ty: usize) -> bool {
        ty < self.terms.trigger_types.len()
    }

    // ---- Inputs ----

    pub fn roster(&mut self, now: f64, kind: RosterKind, rows: &[RosterRow], out: &mut dyn Answers) {
        self.now = now;
        if kind == RosterKind::Full {
            self.ready.fill(false);
        }
        for row in rows {
            let x = self.executor(row);
            self.ready[x] = row.standing == Standing::Ready;
            self.weight[x] = if row.weight > 0.0 && row.weight.is_finite() { row.weight } else { 1.0 };
            if row.since > self.since[x] {
                self.since[x] = row.since;
                self.forget(x);
            }
        }
        for x in 0..self.ids.len() {
            if !self.ready[x] {
                self.forget(x);
            }
        }
        self.settle_pending(out);
    }

    pub fn invocation(&mut self, now: f64, inv: &Invocation, out: &mut dyn Answers) {
        self.now = now;
        self.taken.push_back(now);
        let f = self.function(inv);
        let ty = &self.terms.trigger_types[inv.trigger_type];
        let objective = (ty.objective + ty.stretch * inv.work.unwrap_or(0.0)).min(ty.timeout);
        let record = Inv {
            id: inv.id,
            ty: inv.trigger_type,
            f,
            timeout_at: inv.timeout_at,
            objective_at: now + objective,
            sent: 0,
            out: vec![],
            ran: None,
            avoid: None,
            closed: false,
            streaming: false,
        };
        let i = self.free.pop().unwrap_or(self.invs.len());
        if i == self.invs.len() {
            self.invs.push(record);
        } else {
            self.invs[i] = record;
        }
        self.inv_index.insert(inv.id, i);
        self.functions[f].used = now;
        self.wait(i);
        self.settle(out);
    }

    pub fn outcome(&mut self, now: f64, o: &Outcome, out: &mut dyn Answers) {
        self.now = now;
        let (Some(&i), Some(&x)) = (self.inv_index.get(&o.inv), self.index.get(&o.executor)) else { return };
        let Some(at) = self.invs[i].out.iter().position(|d| d.dispatch == o.dispatch) else { return };
        let done = self.invs[i].out.remove(at);
        let (f, ty) = (self.invs[i].f, self.invs[i].ty);
        self.inflight[x] -= 1;
        self.outstanding[x].retain(|&(other, at)| other != i || at != done.at);
        if let Some(&waiting) = self.terms.backlog_field.and_then(|field| o.report.get(field)) {
            self.backlog[x] = f64::from(waiting).max(0.0);
        }
        self.learn(x, ty, &done, o);
        match o.ending {
            Ending::Ok => self.know(f, x),
            Ending::Full => {
                self.functions[f].known.iter_mut().filter(|k| k.x == x).for_each(|k| k.full = true)
            }
            Ending::TimedOut | Ending::ConnectFailed | Ending::Reset | Ending::Miss => self.evict(f, x),
            Ending::Error | Ending::Cancelled | Ending::NeverSent => {}
        }
        if done.places {
            self.placed(f, x, o.ending == Ending::Ok);
        }
        let inv = &mut self.invs[i];
        if !o.ending.never_ran() && inv.ran.is_none_or(|(_, at)| done.at < at) {
            inv.ran = Some((x, done.at));
        }
        inv.avoid = Some(x);
        if o.closed || o.ending == Ending::Ok {
            self.close(i, out);
        } else if inv.out.is_empty() && !inv.closed {
            self.wait(i);
        }
        self.release(i);
        self.touched.push(f);
        self.settle_pending(out);
    }

    pub fn streaming(&mut self, now: f64, inv: u32, _dispatch: u8, _took: f64, _out: &mut dyn Answers) {
        self.now = now;
        if let Some(&i) = self.inv_index.get(&inv) {
            self.invs[i].streaming = true;
        }
    }

    pub fn withdrawn(&mut self, now: f64, inv: u32, out: &mut dyn Answers) {
        self.now = now;
        if let Some(&i) = self.inv_index.get(&inv) {
            self.close(i, out);
            self.release(i);
        }
    }

    /// The answer to an order to load.
    pub fn held(
        &mut self,
        now: f64,
        executor: ExecutorId,
        function: u64,
        ending: Ending,
        took: f64,
        _copies: u8,
        out: &mut dyn Answers,
    ) {
        self.now = now;
        let (Some(&f), Some(&x)) = (self.function_index.get(&function), self.index.get(&executor)) else {
            return;
        };
        if ending == Ending::Ok {
            let ratio = took / self.functions[f].load_time;
            if ratio > 0.2 {
                self.load_ratio += 0.1 * (ratio - self.load_ratio);
            }
            self.know(f, x);
        } else {
            self.evict(f, x);
            if matches!(ending, Ending::ConnectFailed | Ending::Reset) {
                self.distrust(x);
            }
        }
        if self.functions[f].placement.as_ref().is_some_and(|p| p.by_order && p.x == x) {
            self.placed(f, x, ending == Ending::Ok);
        }
        self.touched.push(f);
        self.settle(out);
    }

    pub fn probed(
        &mut self,
        now: f64,
        _x: ExecutorId,
        _ending: Ending,
        _report: &[f32],
        _out: &mut dyn Answers,
    ) {
        self.now = now;
    }

    pub fn timer(&mut self, now: f64, _mark: u64, out: &mut dyn Answers) {
        self.now = now;
        self.beats += 1;
        out.wake(self.beat(), 0);
        let old = now - self.terms.ration_window;
        while self.taken.front().is_some_and(|&t| t <= old) {
            self.taken.pop_front();
        }
        if self.beats.is_multiple_of(4) {
            self.judge();
            self.touched.extend(0..self.functions.len());
        }
        self.settle_pending(out);
    }

    // ---- The rules, in their order ----

    /// Nothing is held that can't be answered any more, or not in time where a throttling reply is harmless.
    fn give_up(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        let hopeless = |&&i: &&usize| {
            let inv = &self.invs[i];
            let known = self.functions[f].known.iter().any(|k| self.ready[k.x] && k.until > self.now);
            let late = known && self.now + self.usual[inv.ty] > inv.objective_at;
            inv.sent >= self.terms.max_dispatches
                || self.now + 2.0 * self.beat() >= inv.timeout_at
                || (inv.ran.is_some() && !(0..self.ids.len()).any(|x| self.may_repeat(i, x)))
                || late && self.may_throttle(i)
        };
        let Some(&i) = self.functions[f].waiting.iter().find(hopeless) else { return false };
        self.answer(i, out);
        self.release(i);
        true
    }

    /// The least busy known executor with room gets the invocation.
    fn send_to_known_with_room(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        for n in 0..self.functions[f].waiting.len() {
            let i = self.functions[f].waiting[n];
            if let Some(x) = self.least_busy_known(f, i, true) {
                return self.dispatch(i, x, false, out);
            }
        }
        false
    }

    /// With none that has room, one further instance is placed, one placement at a time.
    fn place(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        let function = &self.functions[f];
        if let Some(p) = &function.placement {
            if self.ready[p.x] && !self.suspect[p.x] && self.now < p.patience_at {
                return false;
            }
            let x = p.x;
            self.placed(f, x, false);
            return true;
        }
        let Some(&i) = function.waiting.first() else { return false };
        if self.now < function.next_at {
            return false;
        }
        // A tokened invocation that may have run is bound to its group, whatever is known elsewhere.
        if self.invs[i].ran.is_some() {
            let bound = (0..self.ids.len()).filter(|&x| self.allows_dispatch(i, x) && !self.suspect[x]);
            let x = bound.min_by(|&a, &b| self.busy(a).total_cmp(&self.busy(b)));
            return x.is_some_and(|x| self.dispatch(i, x, false, out));
        }
        let Some(x) = self.placement_target(f) else { return false };
        let load = self.functions[f].load_time * self.load_ratio.max(1.0);
        let by_order = self.terms.orders && self.order(f, x, 1, out);
        if !by_order && !self.dispatch(i, x, true, out) {
            return false;
        }
        let patience_at = self.now + PATIENCE * load;
        self.functions[f].placement = Some(Placement { x, by_order, patience_at });
        true
    }

    /// While a placement is under way the rest go to the least busy known executor.
    fn send_to_least_busy(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        for n in 0..self.functions[f].waiting.len() {
            let i = self.functions[f].waiting[n];
            if let Some(x) = self.least_busy_known(f, i, false) {
                return self.dispatch(i, x, false, out);
            }
        }
        false
    }

    /// What is out at a suspect, or out for long where second copies are granted, gets another dispatch.
    fn move_from_slow(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        for n in 0..self.functions[f].out.len() {
            let i = self.functions[f].out[n];
            let inv = &self.invs[i];
            let ty = &self.terms.trigger_types[inv.ty];
            let &[d] = inv.out.as_slice() else { continue };
            let slow = self.now - d.at > SECOND_COPY * ty.objective;
            let moved = self.suspect[d.x] || self.terms.second_copies && slow && !d.places;
            if inv.closed || inv.streaming || d.cancelled || ty.effect == Effect::NonIdempotent || !moved {
                continue;
            }
            if self.terms.second_copies {
                if let Some(x) = self.least_busy_known(f, i, true).filter(|&x| x != d.x && !self.suspect[x]) {
                    return self.dispatch(i, x, false, out);
                }
            } else if self.terms.cancel && inv.sent < self.terms.max_dispatches {
                let elsewhere = |x: usize| x != d.x && !self.suspect[x] && self.may_repeat(i, x);
                if (0..self.ids.len()).any(elsewhere) {
                    self.invs[i].out[0].cancelled = true;
                    out.cancel(self.invs[i].id, d.dispatch);
                    return true;
                }
            }
        }
        false
    }

    /// The last copy known of a function still in use is kept loaded by an order.
    fn renew(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        let function = &self.functions[f];
        if !self.terms.orders || self.now > function.used + RENEWED_FOR * self.cache_time() {
            return false;
        }
        let [k] = function.known.as_slice() else { return false };
        let (x, due) = (k.x, k.until - 20.0 * self.beat());
        if k.renewing || self.now < due || self.suspect[x] || !self.order(f, x, 1, out) {
            return false;
        }
        self.functions[f].known[0].renewing = true;
        true
    }

    // ---- What every send and every final answer passes ----

    /// Effects, drains and cold executors: no dispatch goes out but through here.
    fn allows_dispatch(&self, i: usize, x: usize) -> bool {
        let inv = &self.invs[i];
        !inv.closed
            && inv.sent < self.terms.max_dispatches
            && inv.out.len() <= usize::from(self.terms.second_copies)
            && self.now + self.terms.tick < inv.timeout_at
            && self.may_repeat(i, x)
            && self.cold_room(x, self.usual[inv.ty])
    }

    /// Whether another dispatch there could have no second effect.
    fn may_repeat(&self, i: usize, x: usize) -> bool {
        let inv = &self.invs[i];
        let ty = &self.terms.trigger_types[inv.ty];
        let first = inv.out.iter().map(|d| (d.x, d.at)).chain(inv.ran).min_by(|a, b| a.1.total_cmp(&b.1));
        self.ready[x]
            && first.is_none_or(|(at, when)| match ty.effect {
                Effect::Idempotent => true,
                Effect::NonIdempotent => false,
                Effect::Tokened => {
                    let same = match ty.group {
                        Group::All => true,
                        Group::Zone => self.zone[x] == self.zone[at],
                        Group::Cell => self.cell[x] == self.cell[at],
                    };
                    same && self.now + 2.0 * self.terms.tick < when + ty.window
                }
            })
    }

    /// A cold executor's budget over the span in which it could be pushed over: this front end sends it no
    /// more than its own traffic to warm fellows of the size, scaled to what a cold one can do.
    fn cold_room(&self, x: usize, work: f64) -> bool {
        let part = self.warmth(x);
        if part >= 1.0 {
            return true;
        }
        let span = self.now - self.terms.fall - 2.0 * BEAT;
        let spent: f64 = self.sent[x].iter().filter(|s| s.0 > span).map(|s| s.1).sum();
        let carried = self.carried.get(usize::from(self.kind[x])).copied().unwrap_or(0.0);
        let budget = COLD_MARGIN * carried * part * self.terms.overload_factor * self.terms.fall;
        let no_fellow = !(0..self.ids.len()).any(|y| self.ready[y] && self.warmth(y) >= 1.0);
        spent + work <= budget || no_fellow && spent == 0.0 && self.inflight[x] == 0
    }

    fn dispatch(&mut self, i: usize, x: usize, places: bool, out: &mut dyn Answers) -> bool {
        if !self.allows_dispatch(i, x) {
            return false;
        }
        let now = self.now;
        let inv = &mut self.invs[i];
        let (f, ty) = (inv.f, inv.ty);
        inv.out.push(Out { dispatch: inv.sent, x, at: now, places, cancelled: false });
        inv.sent += 1;
        out.dispatch(inv.id, self.ids[x], inv.timeout_at - now);
        self.inflight[x] += 1;
        self.outstanding[x].push((i, now));
        self.sent[x].push_back((now, self.usual[ty]));
        while self.sent[x].front().is_some_and(|s| s.0 < now - 2.0 * self.terms.fall) {
            self.sent[x].pop_front();
        }
        if self.suspect[x] {
            self.trial_at[x] = now + TRIAL_PAUSE * self.terms.trigger_types[ty].objective;
        }
        self.unwait(i);
        let function = &mut self.functions[f];
        if !function.out.contains(&i) {
            function.out.push(i);
        }
        true
    }

    /// Drains and the ration: no order to load goes out but through here.
    fn order(&mut self, f: usize, x: usize, copies: u8, out: &mut dyn Answers) -> bool {
        let window = self.terms.ration_window;
        if window > 0.0 {
            let (now, tick) = (self.now, self.terms.tick);
            while self.orders.front().is_some_and(|&t| t < now - window - tick) {
                self.orders.pop_front();
            }
            let taken = self.taken.iter().filter(|&&t| t > now - window + tick).count();
            let most = self.terms.ration_floor + self.terms.ration_share * taken as f64;
            if (self.orders.len() + 1) as f64 > most {
                return false;
            }
        }
        if !self.ready[x] {
            return false;
        }
        self.orders.push_back(self.now);
        out.hold(self.ids[x], self.functions[f].key, copies);
        true
    }

    fn may_throttle(&self, i: usize) -> bool {
        let inv = &self.invs[i];
        let ty = &self.terms.trigger_types[inv.ty];
        let may_have_run = inv.ran.is_some() || !inv.out.is_empty();
        match ty.effect {
            Effect::Idempotent => true,
            Effect::Tokened => !may_have_run || ty.group == Group::All,
            Effect::NonIdempotent => !may_have_run,
        }
    }

    /// The one place of final answers other than succeeded ones.
    fn answer(&mut self, i: usize, out: &mut dyn Answers) {
        if self.invs[i].closed {
            return;
        }
        if self.may_throttle(i) {
            let share = 0.25 + 0.75 * self.chance.unit();
            out.throttle(self.invs[i].id, share * self.terms.max_retry_after);
        } else {
            out.error(self.invs[i].id);
        }
        self.close(i, out);
    }

    // ---- Choosing an executor ----

    fn least_busy_known(&self, f: usize, i: usize, with_room: bool) -> Option<usize> {
        let function = &self.functions[f];
        let fits = |k: &&Known| {
            let own = function.out.iter().flat_map(|&o| &self.invs[o].out).filter(|d| d.x == k.x).count();
            k.until > self.now
                && f64::from(self.inflight[k.x]) < self.limit[k.x]
                && (!with_room || !k.full && (own as f64) < function.lanes)
                && (!self.suspect[k.x] || self.may_try(i, k.x))
                && self.allows_dispatch(i, k.x)
        };
        let rank = |k: &&Known| (self.invs[i].avoid == Some(k.x), self.busy(k.x));
        let known = function.known.iter().filter(fits);
        known.min_by(|a, b| rank(a).partial_cmp(&rank(b)).expect("busy is a number")).map(|k| k.x)
    }

    /// A suspect is tried with one idempotent invocation at a time.
    fn may_try(&self, i: usize, x: usize) -> bool {
        let ty = &self.terms.trigger_types[self.invs[i].ty];
        self.inflight[x] == 0 && self.now >= self.trial_at[x] && ty.effect == Effect::Idempotent
    }

    fn busy(&self, x: usize) -> f64 {
        let held = f64::from(self.inflight[x]) + self.backlog[x] / self.terms.front_ends;
        (held + 1.0) / (self.weight[x] * self.warmth(x))
    }

    /// The last executor known warm, else the less loaded of two. The two are drawn with the function's
    /// key for a seed, so that all front ends draw the same and share the copy that one has loaded.
    fn placement_target(&self, f: usize) -> Option<usize> {
        let function = &self.functions[f];
        let fits = |&x: &usize| {
            self.ready[x]
                && !self.suspect[x]
                && function.failed != Some(x)
                && !function.known.iter().any(|k| k.x == x && k.until > self.now)
                && f64::from(self.inflight[x]) < self.limit[x]
        };
        let last = function.last_warm.filter(|&(x, at)| self.now < at + self.terms.keep_alive && fits(&x));
        if let Some((x, _)) = last {
            return Some(x);
        }
        let draw = |x: usize| {
            let ExecutorId([a, b, c, d], port) = self.ids[x];
            let id = u64::from(u32::from_le_bytes([a, b, c, d])) << 16 | u64::from(port);
            let share = (f64::from(agreed(function.key, id)) + 1.0) / 4_294_967_297.0;
            (self.warmth(x) < 1.0, -share.ln() / self.weight[x])
        };
        let mut fitting: Vec<usize> = (0..self.ids.len()).filter(fits).collect();
        fitting.sort_by(|&a, &b| draw(a).partial_cmp(&draw(b)).expect("draws are numbers"));
        fitting.truncate(2);
        fitting.into_iter().reduce(|a, b| if self.busy(b) + 1.0 < self.busy(a) { b } else { a })
    }

    // ---- What is known of executors ----

    fn warmth(&self, x: usize) -> f64 {
        let risen = ((self.now - self.since[x]) / self.terms.cold).clamp(0.0, 1.0);
        if risen >= 1.0 { 1.0 } else { self.terms.cold_from + (1.0 - self.terms.cold_from) * risen }
    }

    fn learn(&mut self, x: usize, ty: usize, done: &Out, o: &Outcome) {
        let now = self.now;
        let loaded = done.places || matches!(o.found, Found::Loaded | Found::Waited | Found::LoadFailed);
        let objective = self.terms.trigger_types[ty].objective;
        let sample = match o.ending {
            Ending::Ok if loaded => return,
            Ending::Ok => {
                self.usual[ty] += 0.02 * (o.took - self.usual[ty]);
                let (rate, at) = self.carry[x];
                self.carry[x] = (rate * (-(now - at) / CARRY_TIME).exp() + self.usual[ty] / CARRY_TIME, now);
                if o.took > NEAR_OBJECTIVE * objective {
                    self.limit[x] = (self.limit[x] * LIMIT_CUT).max(1.0);
                } else if f64::from(self.inflight[x]) * 2.0 >= self.limit[x] {
                    self.limit[x] = (self.limit[x] + 1.0 / self.limit[x]).min(LIMIT_MOST);
                }
                o.took / self.usual[ty].max(1e-6)
            }
            Ending::Error if o.found == Found::LoadFailed => return,
            Ending::Error | Ending::TimedOut | Ending::Reset | Ending::ConnectFailed => FAILURE,
            Ending::Full | Ending::Cancelled | Ending::NeverSent | Ending::Miss => return,
        };
        let answers = &mut self.answers[x];
        if self.suspect[x] && sample < SUSPECT {
            // A trial that went well takes the worst memory with it.
            let worst = (0..answers.len()).max_by(|&a, &b| answers[a].total_cmp(&answers[b]));
            worst.map(|n| answers.remove(n));
        }
        answers.push_back(sample);
        if answers.len() > JUDGED {
            answers.pop_front();
        }
        if matches!(o.ending, Ending::Reset | Ending::ConnectFailed) {
            self.distrust(x);
        } else if sample >= SUSPECT || self.suspect[x] {
            self.judge();
        }
    }

    /// An executor that broke off or took no connection is suspect at once, whatever the roster says.
    fn distrust(&mut self, x: usize) {
        self.answers[x].clear();
        self.answers[x].extend([FAILURE; LEAST_JUDGED]);
        self.trial_at[x] = self.now + 1.0;
        self.judge();
    }

    /// Judges each executor by a high quantile of its answer times against its fellows'. What is out there
    /// counts with its age. Guards against executors that hang, fail fast or have become slow.
    fn judge(&mut self) {
        let now = self.now;
        let quantile = |x: usize| {
            let usual = |&(i, at): &(usize, f64)| (now - at) / self.usual[self.invs[i].ty].max(1e-6);
            let ages = self.outstanding[x].iter().map(usual).filter(|&age| age > SUSPECT);
            let mut times: Vec<f64> = self.answers[x].iter().copied().chain(ages).collect();
            times.sort_by(f64::total_cmp);
            let rank = (times.len() as f64 * HIGH_QUANTILE) as usize;
            (times.len() >= LEAST_JUDGED).then(|| times[rank.min(times.len() - 1)])
        };
        let quantiles: Vec<Option<f64>> = (0..self.ids.len()).map(quantile).collect();
        let mut fellows: Vec<f64> =
            (0..self.ids.len()).filter(|&x| self.ready[x]).filter_map(|x| quantiles[x]).collect();
        fellows.sort_by(f64::total_cmp);
        let middle = fellows.get(fellows.len() / 2).copied().unwrap_or(1.0).max(1.0);
        for (x, quantile) in quantiles.iter().enumerate() {
            self.suspect[x] = quantile.is_some_and(|q| q > SUSPECT * middle);
        }
        for kind in 0..self.carried.len() {
            let warm = |&x: &usize| {
                self.ready[x]
                    && usize::from(self.kind[x]) == kind
                    && self.warmth(x) >= 1.0
                    && !self.suspect[x]
            };
            let rates: Vec<f64> = (0..self.ids.len())
                .filter(warm)
                .map(|x| self.carry[x].0 * (-(now - self.carry[x].1) / CARRY_TIME).exp())
                .collect();
            let mean = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
            self.carried[kind] = self.carried[kind].max(mean);
        }
    }

    fn executor(&mut self, row: &RosterRow) -> usize {
        if let Some(&x) = self.index.get(&row.executor) {
            return x;
        }
        let x = self.ids.len();
        self.index.insert(row.executor, x);
        self.ids.push(row.executor);
        self.zone.push(row.zone);
        self.kind.push(row.kind);
        self.cell.push(row.cell);
        self.ready.push(false);
        self.weight.push(1.0);
        self.since.push(row.since);
        self.inflight.push(0);
        self.limit.push(LIMIT_START);
        self.backlog.push(0.0);
        self.answers.push(VecDeque::new());
        self.outstanding.push(vec![]);
        self.suspect.push(false);
        self.trial_at.push(0.0);
        self.sent.push(VecDeque::new());
        self.carry.push((0.0, self.now));
        self.carried.resize(self.carried.len().max(usize::from(row.kind) + 1), 0.0);
        x
    }

    /// An executor that restarted, drains or is gone: all that was known of it is void.
    fn forget(&mut self, x: usize) {
        for f in 0..self.functions.len() {
            self.evict(f, x);
        }
        self.limit[x] = LIMIT_START;
        self.backlog[x] = 0.0;
        self.answers[x].clear();
        self.suspect[x] = false;
        self.carry[x] = (0.0, self.now);
    }

    // ---- What is known of functions and invocations ----

    fn function(&mut self, inv: &Invocation) -> usize {
        let lanes = if inv.lanes >= 1.0 { inv.lanes.floor() } else { 1.0 };
        if let Some(&f) = self.function_index.get(&inv.function) {
            return f;
        }
        let f = self.functions.len();
        self.function_index.insert(inv.function, f);
        self.functions.push(Function {
            key: inv.function,
            lanes,
            load_time: inv.load_time.unwrap_or(1.0),
            known: vec![],
            waiting: vec![],
            out: vec![],
            placement: None,
            failed: None,
            tries: 0,
            next_at: f64::NEG_INFINITY,
            last_warm: None,
            used: self.now,
        });
        f
    }

    fn cache_time(&self) -> f64 {
        if self.terms.keep_alive > 0.0 { CACHE_SHARE * self.terms.keep_alive } else { CACHE_TIME }
    }

    fn know(&mut self, f: usize, x: usize) {
        if !self.ready[x] {
            return;
        }
        let until = self.now + self.cache_time();
        let function = &mut self.functions[f];
        function.known.retain(|k| k.x != x);
        function.known.push(Known { x, until, full: false, renewing: false });
        function.last_warm = Some((x, self.now));
    }

    fn evict(&mut self, f: usize, x: usize) {
        let function = &mut self.functions[f];
        function.known.retain(|k| k.x != x);
        function.last_warm = function.last_warm.filter(|w| w.0 != x);
    }

    /// A placement has come to its end; a failed one alone is tried again, after a growing pause.
    fn placed(&mut self, f: usize, x: usize, well: bool) {
        let function = &mut self.functions[f];
        function.placement = None;
        function.failed = (!well).then_some(x);
        function.tries = if well { 0 } else { function.tries + 1 };
        if !well {
            function.next_at = self.now + BACKOFF * BACKOFF_GROWTH.powi(function.tries - 1);
        }
    }

    fn wait(&mut self, i: usize) {
        let f = self.invs[i].f;
        self.functions[f].out.retain(|&o| o != i);
        self.functions[f].waiting.push(i);
        self.pending.insert(f);
        self.touched.push(f);
    }

    fn unwait(&mut self, i: usize) {
        let f = self.invs[i].f;
        let waiting = &mut self.functions[f].waiting;
        waiting.retain(|&w| w != i);
        if waiting.is_empty() {
            self.pending.remove(&f);
        }
    }

    fn close(&mut self, i: usize, out: &mut dyn Answers) {
        self.unwait(i);
        self.invs[i].closed = true;
        let inv = &mut self.invs[i];
        if self.terms.cancel && !inv.streaming {
            for d in inv.out.iter_mut().filter(|d| !d.cancelled) {
                d.cancelled = true;
                out.cancel(inv.id, d.dispatch);
            }
        }
    }

    /// An invocation with its final answer and nothing out is dropped.
    fn release(&mut self, i: usize) {
        let inv = &self.invs[i];
        if inv.closed && inv.out.is_empty() && self.inv_index.remove(&inv.id).is_some() {
            self.functions[inv.f].out.retain(|&o| o != i);
            self.free.push(i);
        }
    }

    fn beat(&self) -> f64 {
        BEAT.max(self.terms.tick)
    }

    fn settle_pending(&mut self, out: &mut dyn Answers) {
        self.touched.extend(&self.pending);
        self.settle(out);
    }

    fn settle(&mut self, out: &mut dyn Answers) {
        while let Some(f) = self.touched.pop() {
            while RULES.iter().any(|rule| rule(self, f, out)) {}
        }
    }
}
