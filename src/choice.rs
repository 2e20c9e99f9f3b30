//! Every decision of orchidtally. One `Choice` serves one front end: it is started with the `Terms` of its
//! deployment and a seed, then called once for each thing that happens (`invocation`, `outcome`, `held`,
//! `roster`, `timer`, ...), and answers through the `Answers` given with each. All three stand in
//! `interface.rs`. After each input the rules of `RULES` are gone through, in order, for every function
//! that the input touched, until none fires.

use crate::chance::{Chance, agreed};
use crate::interface::*;
use crate::state::{Book, Fleet, Inv, Known, Out, Placement};
use std::collections::VecDeque;

/// Interval of the heartbeat; whatever waits is looked at again that often.
const BEAT: f64 = 0.025;
/// Answers by which an executor is judged, the quantile taken, and how far above its fellows is suspect.
const JUDGED: usize = 16;
const LEAST_JUDGED: usize = 4;
/// Answers older than this say nothing of an executor any more.
const JUDGED_FOR: f64 = 5.0;
const HIGH_QUANTILE: f64 = 0.85;
const SUSPECT: f64 = 4.0;
/// Fellows are those of the same kind where so many of them can be judged.
const FELLOWS: usize = 3;
/// A failure weighs as an answer this many times the usual.
const FAILURE: f64 = 20.0;
/// A suspect is tried again with one invocation after this share of the latency objective.
const TRIAL_PAUSE: f64 = 0.7;
/// In-flight limit of an executor: start, bounds, and what a missed latency objective leaves of it.
const LIMIT_START: f64 = 8.0;
const LIMIT_MOST: f64 = 64.0;
const LIMIT_CUT: f64 = 0.9;
const LIMIT_LEAST: f64 = 3.0;
/// A copy more is loaded, lanes left over elsewhere, where an executor is this many times less busy.
const SPREAD: f64 = 3.0;
/// Weight of the newest invocation in the mean billed value, and seconds of a share that may be saved up.
const VALUE_SHARE: f64 = 0.01;
const SHARE_BURST: f64 = 2.0;
/// Orders to load that one front end has out at an executor.
const LOADS_EACH: u32 = 5;
/// Pause after an answer 'full', and how often it doubles while nothing else comes.
const FULL_PAUSE: f64 = 0.1;
const FULL_DOUBLINGS: i32 = 4;
/// Backoff of a failed placement, and its growth.
const BACKOFF: f64 = 0.1;
const BACKOFF_GROWTH: f64 = 1.1;
/// A placement is given this many usual load times before a second one is tried.
const PATIENCE: f64 = 4.0;
/// Load time where none is told and none was seen.
const LOAD_TIME: f64 = 1.0;
/// Cache time, as a share of the time an idle copy stays; and where no such time is told.
const CACHE_SHARE: f64 = 0.85;
const CACHE_TIME: f64 = 5.0;
/// Weight of the newest note on what peers have in flight of a function.
const CROWD_SHARE: f64 = 0.3;
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

pub struct Choice {
    terms: Terms,
    chance: Chance,
    now: f64,
    beats: u64,
    fleet: Fleet,
    book: Book,
    /// Functions touched by the input in hand.
    touched: Vec<usize>,
    /// The usual answer time of each trigger type, on a loaded copy.
    usual: Vec<f64>,
    /// Work rate that an executor of each kind was seen to carry for this front end, at the most.
    carried: Vec<f64>,
    /// When invocations were taken and orders given, over the window of the ration.
    taken: VecDeque<f64>,
    orders: VecDeque<f64>,
    /// Invocations left of each customer's share, and when that was brought up to date.
    shares: Vec<(f64, f64)>,
    mean_value: f64,
    /// What loads take, over what is told.
    load_ratio: f64,
}

impl Choice {
    pub fn new(terms: Terms, seed: u64, now: f64, out: &mut dyn Answers) -> Self {
        if terms.roster_asked {
            out.watch_roster();
        }
        out.wake(BEAT.max(terms.tick), 0);
        Choice {
            usual: terms.trigger_types.iter().map(|t| t.objective / 4.0).collect(),
            chance: Chance::new(seed),
            now,
            beats: 0,
            fleet: Fleet::default(),
            book: Book::default(),
            touched: vec![],
            carried: vec![],
            shares: terms.quotas.iter().map(|q| (SHARE_BURST * q / terms.front_ends, now)).collect(),
            mean_value: 0.0,
            taken: VecDeque::new(),
            orders: VecDeque::new(),
            load_ratio: 1.0,
            terms,
        }
    }

    pub fn has_trigger_type(&self, ty: usize) -> bool {
        ty < self.terms.trigger_types.len()
    }

    // ---- Inputs ----

    pub fn roster(&mut self, now: f64, kind: RosterKind, rows: &[RosterRow], out: &mut dyn Answers) {
        self.now = now;
        if kind == RosterKind::Full {
            self.fleet.ready.fill(false);
        }
        for row in rows {
            let x = self.fleet.index_of(row);
            self.carried.resize(self.carried.len().max(self.fleet.kind[x] + 1), 0.0);
            self.fleet.ready[x] = row.standing == Standing::Ready;
            self.fleet.weight[x] = if row.weight > 0.0 && row.weight.is_finite() { row.weight } else { 1.0 };
            if row.since > self.fleet.since[x] || self.fleet.limit[x] == 0.0 {
                self.fleet.since[x] = row.since;
                self.forget(x);
            }
        }
        for x in self.fleet.all() {
            if !self.fleet.ready[x] {
                self.forget(x);
            }
        }
        self.settle_pending(out);
    }

    pub fn invocation(&mut self, now: f64, inv: &Invocation, out: &mut dyn Answers) {
        self.now = now;
        self.taken.push_back(now);
        let lanes = if inv.lanes >= 1.0 { inv.lanes.floor() } else { 1.0 };
        let f = self.book.function(inv.function, lanes, inv.load_time.unwrap_or(LOAD_TIME));
        let ty = &self.terms.trigger_types[inv.trigger_type];
        let objective = (ty.objective + ty.stretch * inv.work.unwrap_or(0.0)).min(ty.timeout);
        let value = self.value(inv);
        self.mean_value += VALUE_SHARE * (value - self.mean_value);
        let i = self.book.add(Inv {
            id: inv.id,
            ty: inv.trigger_type,
            value,
            f,
            timeout_at: inv.timeout_at,
            objective_at: now + objective,
            ..Inv::default()
        });
        self.book.functions[f].used = now;
        self.book.wait(i);
        self.touched.push(f);
        self.settle(out);
    }

    pub fn outcome(&mut self, now: f64, o: &Outcome, out: &mut dyn Answers) {
        self.now = now;
        let (Some(&i), Some(&x)) = (self.book.inv_index.get(&o.inv), self.fleet.index.get(&o.executor))
        else {
            return;
        };
        let Some(at) = self.book.invs[i].out.iter().position(|d| d.dispatch == o.dispatch) else { return };
        let done = self.book.invs[i].out.remove(at);
        let (f, ty) = (self.book.invs[i].f, self.book.invs[i].ty);
        self.fleet.out[x].retain(|&(other, at)| other != i || at != done.at);
        if let Some(&waiting) = self.terms.backlog_field.and_then(|field| o.report.get(field)) {
            self.fleet.backlog[x] = f64::from(waiting).max(0.0);
        }
        if o.ending != Ending::TimedOut && o.ending != Ending::Cancelled {
            self.fleet.heard[x] = now;
        }
        self.learn(x, ty, &done, o);
        match o.ending {
            Ending::Ok => {
                let own = self.book.functions[f].inflight(&self.book.invs, x);
                self.know(f, x);
                if self.terms.tells_crowd {
                    let known = self.book.functions[f].known.last_mut().filter(|k| k.x == x);
                    let others = (f64::from(o.crowd) - own).max(0.0);
                    known.map(|k| k.others += CROWD_SHARE * (others - k.others));
                }
            }
            Ending::Full => {
                self.book.functions[f].known.iter_mut().filter(|k| k.x == x).for_each(|k| k.full = true)
            }
            Ending::TimedOut | Ending::ConnectFailed | Ending::Reset | Ending::Miss => self.evict(f, x),
            Ending::Error | Ending::Cancelled | Ending::NeverSent => {}
        }
        if done.places {
            self.placed(f, x, o.ending == Ending::Ok);
        }
        let inv = &mut self.book.invs[i];
        if !o.ending.never_ran() && inv.ran.is_none_or(|(_, at)| done.at < at) {
            inv.ran = Some((x, done.at));
        }
        inv.avoid = Some(x);
        if o.closed || o.ending == Ending::Ok {
            self.close(i, out);
        } else if inv.out.is_empty() && !inv.closed {
            self.book.wait(i);
        }
        self.book.release(i);
        self.touched.push(f);
        self.settle_pending(out);
    }

    pub fn streaming(&mut self, now: f64, inv: u32, _dispatch: u8, _took: f64, _out: &mut dyn Answers) {
        self.now = now;
        if let Some(&i) = self.book.inv_index.get(&inv) {
            self.book.invs[i].streaming = true;
        }
    }

    pub fn withdrawn(&mut self, now: f64, inv: u32, out: &mut dyn Answers) {
        self.now = now;
        if let Some(&i) = self.book.inv_index.get(&inv) {
            self.close(i, out);
            self.book.release(i);
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
        let (Some(&f), Some(&x)) = (self.book.function_index.get(&function), self.fleet.index.get(&executor))
        else {
            return;
        };
        self.loads_answered(x, ending);
        if ending == Ending::Ok {
            let ratio = took / self.book.functions[f].load_time;
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
        if self.book.functions[f].placement.as_ref().is_some_and(|p| p.by_order && p.x == x) {
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
            for f in &mut self.book.functions {
                f.known.retain(|k| k.until > now);
            }
            self.touched.extend(0..self.book.functions.len());
        }
        self.settle_pending(out);
    }

    // ---- The rules, in their order ----

    /// Nothing is held that can't be answered any more, or not in time where a throttling reply is harmless.
    fn give_up(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        let hopeless = |&&i: &&usize| {
            let inv = &self.book.invs[i];
            let known =
                self.book.functions[f].known.iter().any(|k| self.fleet.ready[k.x] && k.until > self.now);
            // Half the objective at the most: an estimate that throttled everything would never be put right.
            let left = self.usual[inv.ty].min(0.5 * self.terms.trigger_types[inv.ty].objective);
            let late = known && self.now + left > inv.objective_at;
            inv.sent >= self.terms.max_dispatches
                || self.now + 2.0 * self.beat() >= inv.timeout_at
                || (inv.ran.is_some() && !self.fleet.all().any(|x| self.may_repeat(i, x)))
                || late && self.may_throttle(i)
        };
        let Some(&i) = self.book.functions[f].waiting.iter().find(hopeless) else { return false };
        self.answer(i, out);
        self.book.release(i);
        true
    }

    /// The least busy known executor with room gets the invocation.
    fn send_to_known_with_room(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        for n in (0..self.book.functions[f].waiting.len()).rev() {
            let i = self.book.functions[f].waiting[n];
            if let Some(x) = self.least_busy_known(f, i, true) {
                return self.dispatch(i, x, false, out);
            }
        }
        false
    }

    /// With none that has room, one further instance is placed, one placement at a time.
    fn place(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        let function = &self.book.functions[f];
        if let Some(p) = &function.placement {
            if self.fleet.ready[p.x] && !self.fleet.suspect[p.x] && self.now < p.patience_at {
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
        if self.book.invs[i].ran.is_some() {
            let bound = self.fleet.all().filter(|&x| self.allows_dispatch(i, x) && !self.fleet.suspect[x]);
            let x = bound.min_by(|&a, &b| self.busy(a).total_cmp(&self.busy(b)));
            return x.is_some_and(|x| self.dispatch(i, x, false, out));
        }
        let Some(x) = self.placement_target(f, self.part(i)) else { return false };
        // Guards against loading ever more copies of what only the fleet's crowding holds up.
        let known = function.known.iter().filter(|k| self.fleet.ready[k.x] && !self.fleet.suspect[k.x]);
        let idle_lanes = |k: &&Known| self.has_lane(f, k);
        if known.clone().filter(idle_lanes).any(|k| self.busy(k.x) < SPREAD * self.busy(x)) {
            return false;
        }
        let load = self.book.functions[f].load_time * self.load_ratio.max(1.0);
        let by_order = self.terms.orders && self.order(f, x, 1, out);
        if !by_order && !self.dispatch(i, x, true, out) {
            return false;
        }
        let patience_at = self.now + PATIENCE * load;
        self.book.functions[f].placement = Some(Placement { x, by_order, patience_at });
        true
    }

    /// While a placement is under way the rest go to the least busy known executor.
    fn send_to_least_busy(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        for n in (0..self.book.functions[f].waiting.len()).rev() {
            let i = self.book.functions[f].waiting[n];
            if let Some(x) = self.least_busy_known(f, i, false) {
                return self.dispatch(i, x, false, out);
            }
        }
        false
    }

    /// What is out at a suspect, or at one not heard of for long where second copies are granted, gets another
    /// dispatch. Guards against hangs and lost links; never for mere slowness, as copies feed a crowd.
    fn move_from_slow(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        for n in 0..self.book.functions[f].out.len() {
            let i = self.book.functions[f].out[n];
            let inv = &self.book.invs[i];
            let ty = &self.terms.trigger_types[inv.ty];
            let &[d] = inv.out.as_slice() else { continue };
            let silent = self.fleet.heard[d.x] < d.at && self.now - d.at > SECOND_COPY * ty.objective;
            let moved = self.fleet.suspect[d.x] || self.terms.second_copies && silent && !d.places;
            if inv.closed || inv.streaming || d.cancelled || ty.effect == Effect::NonIdempotent || !moved {
                continue;
            }
            if self.terms.second_copies {
                if let Some(x) =
                    self.least_busy_known(f, i, true).filter(|&x| x != d.x && !self.fleet.suspect[x])
                {
                    return self.dispatch(i, x, false, out);
                }
            } else if self.terms.cancel && inv.sent < self.terms.max_dispatches {
                let elsewhere = |x: usize| x != d.x && !self.fleet.suspect[x] && self.may_repeat(i, x);
                if self.fleet.all().any(elsewhere) {
                    self.book.invs[i].out[0].cancelled = true;
                    out.cancel(self.book.invs[i].id, d.dispatch);
                    return true;
                }
            }
        }
        false
    }

    /// The last copy known of a function still in use is kept loaded by an order.
    fn renew(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        let function = &self.book.functions[f];
        if !self.terms.orders || self.now > function.used + RENEWED_FOR * self.cache_time() {
            return false;
        }
        let [k] = function.known.as_slice() else { return false };
        let (x, due) = (k.x, k.until - 20.0 * self.beat());
        if k.renewing || self.now < due || self.fleet.suspect[x] || !self.order(f, x, 1, out) {
            return false;
        }
        self.book.functions[f].known[0].renewing = true;
        true
    }

    // ---- What every send and every final answer passes ----

    /// Effects, drains and cold executors: no dispatch goes out but through here.
    fn allows_dispatch(&self, i: usize, x: usize) -> bool {
        let inv = &self.book.invs[i];
        !inv.closed
            && inv.sent < self.terms.max_dispatches
            && inv.out.len() <= usize::from(self.terms.second_copies)
            && self.now + self.terms.tick < inv.timeout_at
            && self.may_repeat(i, x)
            && self.cold_room(x, self.usual[inv.ty])
    }

    /// Whether another dispatch there could have no second effect.
    fn may_repeat(&self, i: usize, x: usize) -> bool {
        let inv = &self.book.invs[i];
        let ty = &self.terms.trigger_types[inv.ty];
        let first = inv.out.iter().map(|d| (d.x, d.at)).chain(inv.ran).min_by(|a, b| a.1.total_cmp(&b.1));
        self.fleet.ready[x]
            && first.is_none_or(|(at, when)| match ty.effect {
                Effect::Idempotent => true,
                Effect::NonIdempotent => false,
                Effect::Tokened => {
                    let same = match ty.group {
                        Group::All => true,
                        Group::Zone => self.fleet.zone[x] == self.fleet.zone[at],
                        Group::Cell => self.fleet.cell[x] == self.fleet.cell[at],
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
        let spent: f64 = self.fleet.sent[x].iter().filter(|s| s.0 > span).map(|s| s.1).sum();
        let carried = self.carried.get(self.fleet.kind[x]).copied().unwrap_or(0.0);
        let budget = COLD_MARGIN * carried * part * self.terms.overload_factor * self.terms.fall;
        let no_fellow = !self.fleet.all().any(|y| self.fleet.ready[y] && self.warmth(y) >= 1.0);
        spent + work <= budget || no_fellow && spent == 0.0 && self.fleet.out[x].is_empty()
    }

    fn dispatch(&mut self, i: usize, x: usize, places: bool, out: &mut dyn Answers) -> bool {
        if !self.allows_dispatch(i, x) {
            return false;
        }
        let now = self.now;
        let inv = &mut self.book.invs[i];
        let (f, ty) = (inv.f, inv.ty);
        inv.out.push(Out { dispatch: inv.sent, x, at: now, places, cancelled: false });
        inv.sent += 1;
        out.dispatch(inv.id, self.fleet.ids[x], inv.timeout_at - now);
        self.fleet.out[x].push((i, now));
        self.fleet.sent[x].push_back((now, self.usual[ty]));
        while self.fleet.sent[x].front().is_some_and(|s| s.0 < now - 2.0 * self.terms.fall) {
            self.fleet.sent[x].pop_front();
        }
        if self.fleet.suspect[x] {
            self.fleet.trial_at[x] = now + TRIAL_PAUSE * self.terms.trigger_types[ty].objective;
        }
        self.book.unwait(i);
        let function = &mut self.book.functions[f];
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
        if !self.fleet.ready[x] {
            return false;
        }
        self.orders.push_back(self.now);
        self.fleet.loading[x] += 1;
        out.hold(self.fleet.ids[x], self.book.functions[f].key, copies);
        true
    }

    fn may_throttle(&self, i: usize) -> bool {
        let inv = &self.book.invs[i];
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
        if self.book.invs[i].closed {
            return;
        }
        if self.may_throttle(i) {
            let share = 0.25 + 0.75 * self.chance.unit();
            out.throttle(self.book.invs[i].id, share * self.terms.max_retry_after);
        } else {
            out.error(self.book.invs[i].id);
        }
        self.close(i, out);
    }

    // ---- Choosing an executor ----

    fn least_busy_known(&self, f: usize, i: usize, with_room: bool) -> Option<usize> {
        let function = &self.book.functions[f];
        let part = self.part(i);
        let fits = |k: &&Known| {
            k.until > self.now
                && self.takes_more(k.x, part)
                && (!with_room || self.has_lane(f, k))
                && (!self.fleet.suspect[k.x] || self.may_try(i, k.x))
                && self.allows_dispatch(i, k.x)
        };
        let rank = |k: &&Known| (self.book.invs[i].avoid == Some(k.x), self.busy(k.x));
        let known = function.known.iter().filter(fits);
        known.min_by(|a, b| rank(a).partial_cmp(&rank(b)).expect("busy is a number")).map(|k| k.x)
    }

    /// Room: own in-flight, and what peers are told to hold there, below the lanes of the copies.
    fn has_lane(&self, f: usize, k: &Known) -> bool {
        let function = &self.book.functions[f];
        !k.full && function.inflight(&self.book.invs, k.x) + k.others < function.lanes * k.copies
    }

    /// A suspect is tried with one idempotent invocation at a time.
    fn may_try(&self, i: usize, x: usize) -> bool {
        let ty = &self.terms.trigger_types[self.book.invs[i].ty];
        self.fleet.out[x].is_empty() && self.now >= self.fleet.trial_at[x] && ty.effect == Effect::Idempotent
    }

    /// What an invocation is billed for a unit of work; little where its customer is past its share.
    fn value(&mut self, inv: &Invocation) -> f64 {
        let ty = &self.terms.trigger_types[inv.trigger_type];
        let work = if self.terms.value_by_work { 1.0 } else { self.usual[inv.trigger_type].max(1e-6) };
        let mut within = true;
        if let Some(quota) = self.terms.quotas.get(inv.customer).map(|q| q / self.terms.front_ends) {
            let (left, at) = &mut self.shares[inv.customer];
            *left = (*left + (self.now - *at) * quota).min(SHARE_BURST * quota);
            *at = self.now;
            within = *left >= 1.0;
            *left -= if within { 1.0 } else { 0.0 };
        }
        ty.billed_value / work * if within { 1.0 } else { self.terms.over_share_value }
    }

    /// The part of an executor's limit that an invocation may fill: that of its billed value now in the mean.
    /// Guards the room against what earns little, late or past a customer's share, when room is short.
    fn part(&self, i: usize) -> f64 {
        let inv = &self.book.invs[i];
        let late = self.now > inv.objective_at;
        let left = if late { self.terms.trigger_types[inv.ty].late_share } else { 1.0 };
        (inv.value * left / self.mean_value).min(1.0)
    }

    fn takes_more(&self, x: usize, part: f64) -> bool {
        self.fleet.inflight(x) < (self.fleet.limit[x] * part).max(1.0) && self.now >= self.fleet.paused[x]
    }

    fn busy(&self, x: usize) -> f64 {
        let held = self.fleet.inflight(x) + self.fleet.backlog[x] / self.terms.front_ends;
        (held + 1.0) / (self.fleet.weight[x] * self.warmth(x))
    }

    /// The last executor known warm, else the less loaded of two. The two are drawn with the function's
    /// key for a seed, so that all front ends draw the same and share the copy that one has loaded.
    fn placement_target(&self, f: usize, part: f64) -> Option<usize> {
        let function = &self.book.functions[f];
        let fits = |&x: &usize| {
            self.fleet.ready[x]
                && !self.fleet.suspect[x]
                && function.failed != Some(x)
                && !function.knows(x, self.now)
        };
        // Where both are at their bounds the placement waits: a copy elsewhere would serve this front end alone.
        let takes = |&x: &usize| {
            self.now >= self.fleet.loads_paused[x]
                && self.fleet.loading[x] < LOADS_EACH
                && self.takes_more(x, part)
        };
        let last = function.last_warm.filter(|&(x, at)| self.now < at + self.terms.keep_alive && fits(&x));
        if let Some((x, _)) = last {
            return Some(x);
        }
        let draw = |x: usize| {
            let drawn = agreed(function.key, self.fleet.number(x));
            let share = (f64::from(drawn) + 1.0) / 4_294_967_297.0;
            -share.ln() / (self.fleet.weight[x] * self.warmth(x))
        };
        let mut fitting: Vec<usize> = self.fleet.all().filter(fits).collect();
        fitting.sort_by(|&a, &b| draw(a).total_cmp(&draw(b)));
        fitting.truncate(2);
        fitting.into_iter().filter(takes).reduce(|a, b| if self.busy(b) + 1.0 < self.busy(a) { b } else { a })
    }

    // ---- What is known of executors ----

    fn warmth(&self, x: usize) -> f64 {
        let risen = ((self.now - self.fleet.since[x]) / self.terms.cold).clamp(0.0, 1.0);
        if risen >= 1.0 { 1.0 } else { self.terms.cold_from + (1.0 - self.terms.cold_from) * risen }
    }

    fn learn(&mut self, x: usize, ty: usize, done: &Out, o: &Outcome) {
        let now = self.now;
        let loaded = done.places || matches!(o.found, Found::Loaded | Found::Waited | Found::LoadFailed);
        let objective = self.terms.trigger_types[ty].objective;
        let sample = match o.ending {
            Ending::Ok if loaded => return,
            Ending::Ok => {
                self.fleet.fulls[x] = 0;
                self.usual[ty] += 0.02 * (o.took - self.usual[ty]);
                let (rate, at) = self.fleet.carry[x];
                self.fleet.carry[x] =
                    (rate * (-(now - at) / CARRY_TIME).exp() + self.usual[ty] / CARRY_TIME, now);
                if o.took > objective {
                    // One cut for what was sent since the last one.
                    if done.at > self.fleet.cut_at[x] {
                        self.fleet.limit[x] = (self.fleet.limit[x] * LIMIT_CUT).max(LIMIT_LEAST);
                        self.fleet.cut_at[x] = now;
                    }
                } else if self.fleet.inflight(x) * 2.0 >= self.fleet.limit[x] {
                    self.fleet.limit[x] = (self.fleet.limit[x] + 1.0 / self.fleet.limit[x]).min(LIMIT_MOST);
                }
                o.took / self.usual[ty].max(1e-6)
            }
            Ending::Error if o.found == Found::LoadFailed => return,
            Ending::Error | Ending::TimedOut | Ending::Reset | Ending::ConnectFailed => FAILURE,
            Ending::Full => {
                // Guards against storms into executors that turn everything away: crowded, draining before
                // the roster says so, or without memory. Harms little where one function alone was refused.
                let pause = FULL_PAUSE * 2f64.powi(self.fleet.fulls[x].min(FULL_DOUBLINGS));
                self.fleet.fulls[x] += 1;
                self.fleet.paused[x] = now + pause;
                self.fleet.limit[x] =
                    (self.fleet.inflight(x) * LIMIT_CUT).clamp(LIMIT_LEAST, self.fleet.limit[x]);
                return;
            }
            Ending::Cancelled | Ending::NeverSent | Ending::Miss => return,
        };
        let answers = &mut self.fleet.answers[x];
        if self.fleet.suspect[x] && sample < SUSPECT {
            // A trial that went well takes the worst memory with it.
            let worst = (0..answers.len()).max_by(|&a, &b| answers[a].1.total_cmp(&answers[b].1));
            worst.map(|n| answers.remove(n));
        }
        answers.push_back((now, sample));
        if answers.len() > JUDGED {
            answers.pop_front();
        }
        if matches!(o.ending, Ending::Reset | Ending::ConnectFailed) {
            self.distrust(x);
        } else if sample >= SUSPECT || self.fleet.suspect[x] {
            self.judge();
        }
    }

    /// Guards against orders repeated to one that has no room, a queue of loads, or drains untold.
    fn loads_answered(&mut self, x: usize, ending: Ending) {
        self.fleet.loading[x] = self.fleet.loading[x].saturating_sub(1);
        if ending == Ending::Full {
            let pause = FULL_PAUSE * 2f64.powi(self.fleet.load_fulls[x].min(FULL_DOUBLINGS));
            self.fleet.load_fulls[x] += 1;
            self.fleet.loads_paused[x] = self.now + pause;
        } else {
            self.fleet.load_fulls[x] = 0;
        }
    }

    /// An executor that broke off or took no connection is suspect at once, whatever the roster says.
    fn distrust(&mut self, x: usize) {
        self.fleet.answers[x].clear();
        self.fleet.answers[x].extend([(self.now, FAILURE); LEAST_JUDGED]);
        self.fleet.trial_at[x] = self.now + 1.0;
        self.judge();
    }

    /// Judges each executor by a high quantile of its answer times against its fellows'. What is out there
    /// counts with its age. Guards against executors that hang, fail fast or have become slow.
    fn judge(&mut self) {
        let now = self.now;
        let quantile = |x: usize| {
            let usual = |&(i, at): &(usize, f64)| (now - at) / self.usual[self.book.invs[i].ty].max(1e-6);
            let unheard = self.fleet.out[x].iter().filter(|&&(_, at)| at > self.fleet.heard[x]);
            let ages = unheard.map(usual).filter(|&age| age > SUSPECT);
            let recent = self.fleet.answers[x].iter().filter(|a| now < a.0 + JUDGED_FOR).map(|a| a.1);
            let mut times: Vec<f64> = recent.chain(ages).collect();
            times.sort_by(f64::total_cmp);
            let rank = (times.len() as f64 * HIGH_QUANTILE) as usize;
            (times.len() >= LEAST_JUDGED).then(|| times[rank.min(times.len() - 1)])
        };
        let quantiles: Vec<Option<f64>> = self.fleet.all().map(quantile).collect();
        for x in self.fleet.all() {
            let fellows = |same: bool| {
                let like =
                    |&y: &usize| self.fleet.ready[y] && (!same || self.fleet.kind[y] == self.fleet.kind[x]);
                let mut found: Vec<f64> =
                    self.fleet.all().filter(like).filter_map(|y| quantiles[y]).collect();
                found.sort_by(f64::total_cmp);
                found
            };
            let mut found = fellows(true);
            if found.len() < FELLOWS {
                found = fellows(false);
            }
            let middle = found.get(found.len() / 2).copied().unwrap_or(1.0).max(1.0);
            self.fleet.suspect[x] = quantiles[x].is_some_and(|q| q > SUSPECT * middle);
        }
        for kind in 0..self.carried.len() {
            let warm = |&x: &usize| {
                self.fleet.ready[x]
                    && self.fleet.kind[x] == kind
                    && self.warmth(x) >= 1.0
                    && !self.fleet.suspect[x]
            };
            let rates: Vec<f64> = self
                .fleet
                .all()
                .filter(warm)
                .map(|x| self.fleet.carry[x].0 * (-(now - self.fleet.carry[x].1) / CARRY_TIME).exp())
                .collect();
            let mean = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
            self.carried[kind] = self.carried[kind].max(mean);
        }
    }

    /// An executor that restarted, drains or is gone: all that was known of it is void.
    fn forget(&mut self, x: usize) {
        for f in 0..self.book.functions.len() {
            self.evict(f, x);
        }
        self.fleet.limit[x] = LIMIT_START;
        self.fleet.backlog[x] = 0.0;
        self.fleet.load_fulls[x] = 0;
        self.fleet.loads_paused[x] = self.now;
        self.fleet.fulls[x] = 0;
        self.fleet.paused[x] = self.now;
        self.fleet.cut_at[x] = self.now;
        self.fleet.answers[x].clear();
        self.fleet.suspect[x] = false;
        self.fleet.carry[x] = (0.0, self.now);
    }

    // ---- What is known of functions and invocations ----

    fn cache_time(&self) -> f64 {
        if self.terms.keep_alive > 0.0 { CACHE_SHARE * self.terms.keep_alive } else { CACHE_TIME }
    }

    fn know(&mut self, f: usize, x: usize) {
        if !self.fleet.ready[x] {
            return;
        }
        let until = self.now + self.cache_time();
        let function = &mut self.book.functions[f];
        let at = function.known.iter().position(|k| k.x == x);
        let (others, copies) =
            at.map(|at| function.known.remove(at)).map_or((0.0, 1.0), |k| (k.others, k.copies));
        function.known.push(Known { x, until, full: false, renewing: false, others, copies });
        function.last_warm = Some((x, self.now));
    }

    fn evict(&mut self, f: usize, x: usize) {
        let function = &mut self.book.functions[f];
        function.known.retain(|k| k.x != x);
        function.last_warm = function.last_warm.filter(|w| w.0 != x);
    }

    /// A placement has come to its end; a failed one alone is tried again, after a growing pause.
    fn placed(&mut self, f: usize, x: usize, well: bool) {
        let function = &mut self.book.functions[f];
        function.placement = None;
        function.failed = (!well).then_some(x);
        function.tries = if well { 0 } else { function.tries + 1 };
        if !well {
            function.next_at = self.now + BACKOFF * BACKOFF_GROWTH.powi(function.tries - 1);
        }
    }

    fn close(&mut self, i: usize, out: &mut dyn Answers) {
        self.book.unwait(i);
        self.book.invs[i].closed = true;
        let inv = &mut self.book.invs[i];
        if self.terms.cancel && !inv.streaming {
            for d in inv.out.iter_mut().filter(|d| !d.cancelled) {
                d.cancelled = true;
                out.cancel(inv.id, d.dispatch);
            }
        }
    }

    fn beat(&self) -> f64 {
        BEAT.max(self.terms.tick)
    }

    fn settle_pending(&mut self, out: &mut dyn Answers) {
        self.touched.extend(&self.book.pending);
        self.settle(out);
    }

    fn settle(&mut self, out: &mut dyn Answers) {
        while let Some(f) = self.touched.pop() {
            while RULES.iter().any(|rule| rule(self, f, out)) {}
        }
    }
}
