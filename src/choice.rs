//! Every decision of orchidtally. One `Choice` serves one front end: it is started with the `Terms` of its
//! deployment and a seed, then called once for each thing that happens (`invocation`, `outcome`, `held`,
//! `roster`, `timer`, ...), and answers through the `Answers` given with each. All three stand in
//! `interface.rs`. After each input the rules of `RULES` are gone through, in order, for every function
//! that the input touched, until none fires.

use crate::chance::Chance;
use crate::interface::*;
use crate::state::*;

/// Interval at which whatever waits is looked at again, and after which an unused function, or an executor
/// in no list, is forgotten: guards against ids ever new. It could harm one that comes back cold untold.
const BEAT: f64 = 0.025;
const FORGOTTEN: f64 = 120.0;
/// Functions kept; past that the unused give way at once: some 10 MB of the 32 that a front end may have.
const MOST_FUNCTIONS: usize = 16_384;
/// Mean pause after a failed subscription to the roster.
const WATCH_PAUSE: f64 = 1.0;
/// Answers that judge an executor, the least of them, their age at the most, the quantile, its fellows'
/// middle, and how far above that is suspect; an unanswered one weighs this many times the usual at the most.
/// A failure weighs more than any: guards against one that fails fast while the middle is high, since a bound
/// that goes by the middle would pass over a fixed weight. Where most fail none is suspect.
const JUDGED: usize = 16;
const LEAST_JUDGED: usize = 4;
const JUDGED_FOR: f64 = 5.0;
const HIGH_QUANTILE: f64 = 0.85;
const MIDDLE: f64 = 0.45;
const SUSPECT: f64 = 12.0;
const FAILURE: f64 = 20.0;
const FAILED: f64 = f64::INFINITY;
/// In-flight limit at an executor: cut, least of all front ends together, growth a second, most; the
/// median answer in objectives that cuts it, the step by which that is tracked; how long a turn lasts.
const LIMIT_CUT: f64 = 0.6;
const LIMIT_LEAST: f64 = 9.0;
const LIMIT_GROWTH: f64 = 0.15;
const LIMIT_MOST: f64 = 10.0;
const TYPICAL_MOST: f64 = 0.3;
const TYPICAL_STEP: f64 = 1.1;
const TURN: f64 = 0.1;
/// The limit is never under this many times the own traffic out at usual times: as much waits for loads.
const OWN_WORK: f64 = 4.0;
/// Weight of the newest value in means over the traffic, and in what a function's crowds tell.
const NEWEST: f64 = 0.015;
const NEWEST_CROWD: f64 = 0.3;
/// Of a customer's share, the seconds and the root that may be saved up, and what a repeat takes of one.
const SHARE_BURST: f64 = 2.0;
const SHARE_SAMPLE: f64 = 5.0;
const REPEAT_COST: f64 = 0.33;
/// Times less busy that one has to be: for a copy with lanes left elsewhere; for the second of two drawn, at
/// the least and for each load that executors have under way or waiting in the mean.
const SPREAD: f64 = 3.0;
const SECOND: f64 = 1.5;
const SECOND_BY_LOADS: f64 = 0.5;
/// Time over which parts of the traffic are taken, what is added for its being a sample, copies for each
/// executor that a part would fill, and invocations of one function that an executor should hold.
const PART_TIME: f64 = 8.0;
const SAMPLE: f64 = 8.0;
const COPIES: f64 = 1.3;
const CROWD: f64 = 3.0;
/// Time in which a report fades; how much busier an executor elsewhere counts, by what a crossing costs.
const REPORT_TIME: f64 = 10.0;
const FAR: f64 = 20.0;
/// After this share of the latency objective a silent executor's work is moved, and a suspect tried again.
const SILENCE: f64 = 0.6;
/// Pause after a reset or a failed connection; so long what answers again may be as cold as one just started.
const DISTRUST: f64 = 1.0;
const BROKEN_FOR: f64 = 8.0;
/// Pause after an answer 'full', and how often it doubles while nothing else comes. Guards against storms
/// into executors that turn everything away, crowded or draining.
const FULL_PAUSE: f64 = 0.1;
const FULL_DOUBLINGS: i32 = 4;
/// Backoff of a failed placement, its growth, load times that one is given; load time where none is told.
const BACKOFF: f64 = 0.1;
const BACKOFF_GROWTH: f64 = 1.1;
const PATIENCE: f64 = 5.0;
const LOAD_TIME: f64 = 1.0;
/// Cache time, as a share of the time an idle copy stays; and where no such time is told.
const CACHE_SHARE: f64 = 0.85;
const CACHE_TIME: f64 = 5.0;
/// Of the ration, the part for copies ahead; time left to one that is renewed; the price of a dear order.
const AHEAD: f64 = 0.5;
const RENEWED: f64 = 0.6;
const DEAR: f64 = 0.02;
/// What a cold executor bears over its budget, in roots of it; time constant of the work executors carry.
const COLD_SLACK: f64 = 3.0;
const CARRY_TIME: f64 = 10.0;
/// Least share of the longest stay-away advised; the rest is chance, so that clients don't return in step.
const STAY_AWAY: f64 = 0.25;

type Rule = fn(&mut Choice, usize, &mut dyn Answers) -> bool;
const RULES: [Rule; 5] = [
    Choice::give_up,
    |c, f, out| c.send_to_known(f, true, out),
    Choice::place,
    |c, f, out| c.send_to_known(f, false, out), // while a placement is under way
    Choice::move_from_slow,
];

#[derive(Default)]
pub struct Choice {
    terms: Terms,
    /// By what the rota for cold executors goes, and whether this front end is in it.
    rota: f64,
    sharing: bool,
    chance: Chance,
    now: f64,
    started: f64,
    beat: f64,
    cache_time: f64,
    fleet: Fleet,
    book: Book,
    touched: Vec<usize>, // functions
    usual: Vec<f64>,     // answer times of each trigger type, on a loaded copy
    /// When invocations were taken and orders given, over the window of the ration.
    taken: Moments,
    orders: Moments,
    shares: Vec<Allowance>, // of customers
    mean_value: f64,
    mean_backlog: f64,
    loads: (Faded, Faded), // told in reports, and how many told them
    lately: Faded,         // own invocations
    work: Faded,           // and their usual answer times
    /// In-flight limit at an executor; the median answer, in objectives, that sets it; last cut, last set.
    limit: f64,
    typical: f64,
    cut_at: f64,
    limit_at: f64,
    /// When to subscribe to the roster, when the next timer rings, and when executors are judged next.
    watch_at: f64,
    wake_at: f64,
    judge_at: f64,
}

impl Choice {
    pub fn new(terms: Terms, seed: u64, now: f64, out: &mut dyn Answers) -> Self {
        let mut choice = Choice {
            rota: terms.front_ends,
            sharing: true,
            usual: terms.trigger_types.iter().map(|t| t.objective / 4.0).collect(),
            shares: terms.quotas.iter().map(|_| Allowance { left: f64::INFINITY, at: now }).collect(),
            chance: Chance::new(seed),
            beat: BEAT.max(terms.tick),
            cache_time: if terms.keep_alive > 0.0 { CACHE_SHARE * terms.keep_alive } else { CACHE_TIME },
            limit: LIMIT_MOST,
            typical: TYPICAL_MOST / 3.0,
            wake_at: f64::INFINITY,
            terms,
            now,
            watch_at: now,
            started: now,
            ..Choice::default()
        };
        choice.settle(out);
        choice
    }

    /// What is kept of executors, functions and invocations: all three level off.
    pub fn kept(&self) -> Kept {
        Kept {
            executors: self.fleet.ids.len(),
            functions: self.book.functions.len(),
            invocations: self.book.invs.len(),
        }
    }

    pub fn has_trigger_type(&self, ty: usize) -> bool {
        ty < self.terms.trigger_types.len()
    }

    pub fn roster(&mut self, now: f64, kind: RosterKind, rows: &[RosterRow], out: &mut dyn Answers) {
        self.now = now;
        if kind == RosterKind::Failed {
            self.watch_at = now + WATCH_PAUSE * (0.5 + self.chance.unit());
        }
        let void = self.fleet.list(now, kind == RosterKind::Full, rows);
        self.book.evict(&void);
        void.into_iter().for_each(|x| self.fleet.forget(x));
        let mut gone = self.fleet.departed(now - FORGOTTEN);
        gone.retain(|&x| !self.book.needs(x));
        self.book.drop_executors(&gone);
        gone.into_iter().for_each(|x| self.fleet.release(x));
        self.settle(out);
    }

    /// How many front ends live. What is shared strictly has to wait while one can't know that.
    pub fn living(&mut self, now: f64, living: Living, out: &mut dyn Answers) {
        self.now = now;
        (self.terms.front_ends, self.terms.index) = (living.front_ends.max(1.0), living.index);
        (self.rota, self.sharing) = (living.rota.max(1.0), living.shares);
        self.settle(out);
    }

    pub fn invocation(&mut self, now: f64, inv: &Invocation, out: &mut dyn Answers) {
        self.now = now;
        if !inv.moved {
            self.taken.add(now);
        }
        let lanes = if inv.lanes >= 1.0 { inv.lanes.floor() } else { 1.0 };
        let f = self.book.function(inv.function, lanes, inv.load_time.unwrap_or(LOAD_TIME));
        let ty = &self.terms.trigger_types[inv.trigger_type];
        let objective = (ty.objective + ty.stretch * inv.work.unwrap_or(0.0)).min(ty.timeout);
        let (value, past_share) = self.value(inv);
        self.mean_value += NEWEST.max(1.0 / self.lately.add(1.0, now, PART_TIME)) * (value - self.mean_value);
        let (id, ty, timeout_at) = (inv.id, inv.trigger_type, inv.timeout_at);
        // What counts is the lesser of the latency objective and the client timeout.
        let patience = objective.min(timeout_at - now);
        let i = self.book.add(Inv {
            id,
            ty,
            f,
            value,
            past_share,
            timeout_at,
            patience,
            at: now,
            ..Inv::default()
        });
        self.book.functions[f].taken.add(1.0, now, PART_TIME);
        self.work.add(self.usual[ty], now, PART_TIME);
        self.book.wait(i);
        self.touched.push(f);
        self.settle(out);
    }

    pub fn outcome(&mut self, now: f64, o: &Outcome, out: &mut dyn Answers) {
        self.now = now;
        let Some(&i) = self.book.inv_index.get(&o.inv) else { return };
        let Some(done) = self.book.ended(i, o.dispatch) else { return };
        let x = done.x;
        let (f, ty) = (self.book.invs[i].f, self.book.invs[i].ty);
        self.fleet.note_ended(x, i, done.at);
        if let Some(&waiting) = self.terms.backlog_field.and_then(|field| o.report.get(field)) {
            let waiting = f64::from(waiting).max(0.0);
            self.mean_backlog += NEWEST * (waiting - self.mean_backlog);
            self.fleet.backlog[x] = (waiting, now);
        }
        if let Some(&loads) = self.terms.loads_field.and_then(|field| o.report.get(field)) {
            self.loads.0.add(f64::from(loads).max(0.0), now, REPORT_TIME);
            self.loads.1.add(1.0, now, REPORT_TIME);
        }
        if !matches!(o.ending, Ending::TimedOut | Ending::Cancelled | Ending::ConnectFailed | Ending::Reset) {
            self.fleet.heard[x] = now;
        }
        self.learn(x, (f, ty), &done, o);
        let (until, wanted) = (now + self.cache_time, self.wanted(f));
        let function = &mut self.book.functions[f];
        match o.ending {
            Ending::Ok if self.fleet.ready[x] => {
                function.know(x, now, until);
                if self.terms.tells_crowd {
                    function.tell(f64::from(o.crowd) * wanted, NEWEST_CROWD);
                }
            }
            Ending::Full => function.known.iter_mut().filter(|k| k.x == x).for_each(|k| k.full = true),
            // A client that left early tells nothing of the copy.
            Ending::TimedOut if o.took < SILENCE * self.terms.trigger_types[ty].objective => {}
            Ending::TimedOut | Ending::ConnectFailed | Ending::Reset | Ending::Miss => function.evict(x),
            Ending::Ok | Ending::Error | Ending::Cancelled | Ending::NeverSent => {}
        }
        if done.places {
            self.placed(f, x, false, o.ending == Ending::Ok);
        }
        let erred_at = &mut self.book.functions[f].erred_at;
        if let Some(y) = erred_at.take_if(|&mut y| o.ending == Ending::Ok && y != x) {
            self.fleet.remember(y, now, FAILED, JUDGED);
            self.judge();
        }
        let inv = &mut self.book.invs[i];
        if !o.ending.never_ran() {
            inv.ran = inv.ran.filter(|&(_, at)| at <= done.at).or(Some((x, done.at)));
        }
        if o.closed || o.ending == Ending::Ok {
            self.close(i, out);
        } else if inv.out.is_empty() && !inv.closed {
            self.book.wait(i);
        }
        self.book.release(i);
        self.touched.push(f);
        self.settle(out);
    }

    /// The answer has begun to stream: this dispatch is the client's, any other is not wanted.
    pub fn streaming(&mut self, now: f64, inv: u32, dispatch: u8, out: &mut dyn Answers) {
        self.now = now;
        if let Some(&i) = self.book.inv_index.get(&inv) {
            self.book.invs[i].streaming = true;
            if self.terms.cancel {
                self.book.cancel(i, Some(dispatch), out);
            }
        }
    }

    pub fn withdrawn(&mut self, now: f64, inv: u32, out: &mut dyn Answers) {
        self.now = now;
        if let Some(&i) = self.book.inv_index.get(&inv) {
            // It grants no order to load: guards against clients that take back what they just asked.
            self.taken.remove(self.book.invs[i].at);
            self.close(i, out);
            self.book.release(i);
        }
    }

    /// The answer to an order to load.
    pub fn held(&mut self, now: f64, at: ExecutorId, key: u64, ending: Ending, out: &mut dyn Answers) {
        self.now = now;
        let Some(&f) = self.book.function_index.get(&key) else { return };
        let Some(&x) = self.fleet.index.get(&at) else { return };
        if ending == Ending::Ok && self.fleet.ready[x] {
            self.book.functions[f].know(x, now, now + self.cache_time);
        } else {
            self.book.functions[f].evict(x);
            if matches!(ending, Ending::ConnectFailed | Ending::Reset) {
                self.distrust(x);
            }
        }
        self.placed(f, x, true, ending == Ending::Ok);
        self.touched.push(f);
        self.settle(out);
    }

    /// Has a copy loaded ahead of invocations where fewer executors than wanted are known to serve it,
    /// else renews the one whose time is over first; from what the ration leaves over, one order at a time.
    /// Tells how many are known. Guards a version that traffic is about to come to against a rush of
    /// placements; it could harm where orders are scarce, so a part of them is left to those.
    pub fn ahead(&mut self, now: f64, wish: &Ahead, out: &mut dyn Answers) -> usize {
        self.now = now;
        let f = self.book.function(
            wish.function,
            wish.lanes.max(1.0).floor(),
            wish.load_time.unwrap_or(LOAD_TIME),
        );
        self.touched.push(f);
        self.settle(out); // ends a placement past its patience
        let function = &self.book.functions[f];
        let known = function.known.iter().filter(|k| k.until > now && self.fleet.ready[k.x]);
        let (count, oldest) = (known.clone().count(), known.min_by(|a, b| a.until.total_cmp(&b.until)));
        let renewed = oldest.filter(|k| k.until < now + RENEWED * self.cache_time).map(|k| k.x);
        let span = (
            now - self.terms.ration_window - self.terms.tick,
            now - self.terms.ration_window + self.terms.tick,
        );
        let granted = AHEAD * (self.terms.ration_floor + self.terms.ration_share * self.taken.after(span.1));
        let spare = self.terms.ration_window <= 0.0 || self.orders.after(span.0) + 1.0 <= granted;
        if !spare || !self.terms.orders || function.placement.is_some() || now < function.next_at {
            return count;
        }
        let load_time = function.load_time;
        let renewed = renewed.filter(|_| wish.copies > 0);
        let x = if count < wish.copies { self.placement_target(f, None) } else { renewed };
        if let Some(x) = x
            && self.order(f, x, out)
            && count < wish.copies
        {
            let patience_at = now + PATIENCE * load_time;
            self.book.functions[f].placement = Some(Placement { x, by_order: true, patience_at });
        }
        count
    }

    pub fn timer(&mut self, now: f64, _mark: u64, out: &mut dyn Answers) {
        self.now = now;
        if now + 1e-6 < self.wake_at {
            return;
        }
        self.wake_at = f64::INFINITY;
        if self.terms.roster_asked && now >= self.watch_at {
            self.watch_at = f64::INFINITY;
            out.watch_roster();
        }
        if now >= self.judge_at {
            self.judge_at = now + 4.0 * self.beat;
            self.judge();
            self.taken.after(now - self.terms.ration_window);
            let crowded = self.book.function_index.len() > MOST_FUNCTIONS;
            self.book.sweep(if crowded { now } else { now - FORGOTTEN }, now);
            self.touched.extend(self.fleet.out.iter().flatten().map(|&(i, _)| self.book.invs[i].f));
        }
        self.settle(out);
    }

    /// Nothing is held that can't be answered any more, or not in time where a throttling reply is harmless.
    fn give_up(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        // While a placement is under way, its answer is waited for; else what is late stays so.
        let function = &self.book.functions[f];
        let settled = function.placement.is_none() || function.known.iter().any(|k| k.until > self.now);
        let hopeless = |&&i: &&usize| {
            let inv = &self.book.invs[i];
            // Half the patience at the most: an estimate that throttled everything would never be put right.
            let left = self.usual[inv.ty].min(0.5 * inv.patience);
            let late = settled && self.now + left > inv.at + inv.patience;
            inv.sent >= self.terms.max_dispatches
                || self.now + 2.0 * self.beat >= inv.timeout_at
                || (inv.ran.is_some() && !self.fleet.all().any(|x| self.may_repeat(i, x)))
                || late && self.may_throttle(i)
        };
        let Some(&i) = self.book.functions[f].waiting.iter().find(hopeless) else { return false };
        self.answer(i, out);
        self.book.release(i);
        true
    }

    /// Newest first: it has its whole latency objective before it.
    fn send_to_known(&mut self, f: usize, with_room: bool, out: &mut dyn Answers) -> bool {
        // Where none has a place for the best of them, none of the many that may wait need be looked at.
        let (function, wanted) = (&self.book.functions[f], self.wanted(f));
        let open = |k: &Known| {
            k.until > self.now && self.takes_more(k.x, 1.0) && (!with_room || self.has_lane(f, k, wanted))
        };
        if !function.known.iter().any(open) {
            return false;
        }
        let to = |&i: &usize| Some((i, self.least_busy_known(f, i, with_room)?));
        let found = self.book.functions[f].waiting.iter().rev().find_map(to);
        found.is_some_and(|(i, x)| self.dispatch(i, x, false, out))
    }

    /// With none that has room, one further instance is placed, one placement at a time.
    fn place(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        let function = &self.book.functions[f];
        if let Some(p) = &function.placement {
            if self.fleet.ready[p.x] && !self.fleet.suspect[p.x] && self.now < p.patience_at {
                return false;
            }
            let (x, by_order) = (p.x, p.by_order);
            self.placed(f, x, by_order, false);
            return true;
        }
        let free = |&&i: &&usize| self.book.invs[i].ran.is_none() || self.is_idempotent(i);
        let Some(&i) = function.waiting.iter().find(free).filter(|_| self.now >= function.next_at) else {
            return false;
        };
        let Some(x) = self.placement_target(f, Some(i)) else { return false };
        let function = &self.book.functions[f];
        // Guards against copies for what only crowding holds up. A cold one without a turn has no room.
        let (wanted, most, work) = (self.wanted(f), SPREAD * self.busy(x), self.usual[self.book.invs[i].ty]);
        let serves = |k: &Known| {
            // Not one whose time is over: with many functions it is long until they are swept.
            k.until > self.now
                && !self.fleet.suspect[k.x]
                && self.has_lane(f, k, wanted)
                && self.busy(k.x) < most
                && self.cold_room(k.x, work)
        };
        if function.known.iter().any(serves) {
            return false;
        }
        let worth_it = self.terms.answers_miss || self.terms.order_price < DEAR;
        let by_order = self.terms.orders && worth_it && self.order(f, x, out);
        if !by_order && (self.terms.orders && self.terms.answers_miss || !self.dispatch(i, x, true, out)) {
            return false;
        }
        let patience_at = self.now + PATIENCE * self.book.functions[f].load_time;
        self.book.functions[f].placement = Some(Placement { x, by_order, patience_at });
        true
    }

    /// What is out at an executor long silent gets another dispatch: a copy where granted, else after a
    /// cancel if it is suspect too. Guards against hangs and lost links, not slowness: copies feed a crowd.
    fn move_from_slow(&mut self, f: usize, out: &mut dyn Answers) -> bool {
        for n in 0..self.book.functions[f].out.len() {
            let i = self.book.functions[f].out[n];
            let inv = &self.book.invs[i];
            let ty = &self.terms.trigger_types[inv.ty];
            let &[d] = inv.out.as_slice() else { continue };
            let silent = self.fleet.heard[d.x] < d.at && self.now - d.at > SILENCE * ty.objective;
            let moved = silent && (self.terms.second_copies && !d.places || self.fleet.suspect[d.x]);
            if inv.closed || inv.streaming || d.cancelled || ty.effect == Effect::NonIdempotent || !moved {
                continue;
            }
            if self.terms.second_copies {
                if let Some(x) = self.least_busy_known(f, i, true).filter(|&x| !self.fleet.suspect[x]) {
                    return self.dispatch(i, x, false, out);
                }
                continue;
            }
            let elsewhere = |x: usize| x != d.x && !self.fleet.suspect[x] && self.may_repeat(i, x);
            if self.terms.cancel && inv.sent < self.terms.max_dispatches && self.fleet.all().any(elsewhere) {
                self.book.cancel(i, None, out);
                return true;
            }
        }
        false
    }

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
        let harmless = |(at, when): (usize, f64)| match ty.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Tokened if !self.fleet.same_group(ty.group, x, at) => false,
            Effect::Tokened => self.now < when + ty.window - 2.0 * self.terms.tick,
        };
        self.fleet.ready[x] && first.is_none_or(harmless)
    }

    /// A cold executor's budget over the span in which it could be pushed over: this front end's part, what's
    /// less than a whole invocation by turns. They last longer by what clocks may differ, so that in no such
    /// span more than two add up: guards against front ends whose clocks number them unlike.
    fn cold_room(&self, x: usize, work: f64) -> bool {
        if self.warmth(x) >= 1.0 {
            return true;
        }
        // Guards against front ends that see each other come and go late: their parts would exceed the whole.
        if !self.sharing {
            return false;
        }
        let span = self.now - self.terms.fall - 2.0 * BEAT;
        let slot = (self.now / (self.terms.fall + self.terms.skew)) as u64;
        let whole = (self.entitled(x, work) + self.turn(x, slot)).floor();
        self.fleet.sent_since(x, span) / work + 1.0 <= whole
    }

    /// Its place, from 0 up to 1, in a rota for an executor that all front ends draw alike.
    fn turn(&self, x: usize, slot: u64) -> f64 {
        let drawn = (self.terms.index + self.fleet.lot_number(x, slot)) as u64;
        (drawn % self.rota as u64) as f64 / self.rota + 1e-9
    }

    /// A front end's part of that budget, in invocations: its part of the traffic to a warm fellow, scaled to
    /// what a cold one can do. All front ends together have a turn for one at least.
    fn entitled(&self, x: usize, work: f64) -> f64 {
        let (now, kind) = (self.now, self.fleet.kind[x]);
        // One just started has seen a part of the time only.
        let seen = CARRY_TIME * (1.0 - (-(now - self.started) / CARRY_TIME).exp()).max(0.1);
        let fellows = self.fleet.fellows[kind].at(now, CARRY_TIME).max(1.0);
        let carried = self.fleet.carried[kind].at(now, CARRY_TIME) / seen / fellows;
        let budget = carried * self.warmth(x) * self.terms.overload_factor * self.terms.fall / work;
        // Turns of two slots may fall into one span: guards it against both, where they exceed what it bears.
        let all = (budget * self.terms.front_ends).max(1.0);
        (budget * (0.5 + 0.5 * COLD_SLACK / all.sqrt()).min(1.0)).max(1.0 / self.rota)
    }

    fn dispatch(&mut self, i: usize, x: usize, places: bool, out: &mut dyn Answers) -> bool {
        if !self.allows_dispatch(i, x) {
            return false;
        }
        let inv = &self.book.invs[i];
        let ty = inv.ty;
        out.dispatch(inv.id, self.fleet.ids[x], inv.timeout_at - self.now);
        self.fleet.note_sent(x, i, self.now, self.usual[ty], 2.0 * self.terms.fall);
        if self.fleet.suspect[x] {
            self.fleet.trial_at[x] = self.now + SILENCE * self.terms.trigger_types[ty].objective;
        }
        self.book.send(i, x, self.now, places);
        true
    }

    /// Drains and the ration: no order to load goes out but through here.
    fn order(&mut self, f: usize, x: usize, out: &mut dyn Answers) -> bool {
        let window = self.terms.ration_window;
        if !self.fleet.ready[x] {
            return false;
        }
        if window > 0.0 {
            // A tick to the safe side at either end.
            let ordered = self.orders.after(self.now - window - self.terms.tick);
            let taken = self.taken.after(self.now - window + self.terms.tick);
            if ordered + 1.0 > self.terms.ration_floor + self.terms.ration_share * taken {
                return false;
            }
            self.orders.add(self.now);
        }
        out.hold(self.fleet.ids[x], self.book.functions[f].key, 1);
        true
    }

    fn may_throttle(&self, i: usize) -> bool {
        let inv = &self.book.invs[i];
        let ty = &self.terms.trigger_types[inv.ty];
        let harmless =
            ty.effect == Effect::Idempotent || ty.effect == Effect::Tokened && ty.group == Group::All;
        harmless || inv.ran.is_none() && inv.out.is_empty()
    }

    /// The one place of final answers other than succeeded ones.
    fn answer(&mut self, i: usize, out: &mut dyn Answers) {
        if self.may_throttle(i) {
            let share = STAY_AWAY + (1.0 - STAY_AWAY) * self.chance.unit();
            let inv = &self.book.invs[i];
            out.throttle(inv.id, share * self.terms.max_retry_after, inv.past_share);
        } else {
            out.error(self.book.invs[i].id);
        }
        self.close(i, out);
    }

    fn least_busy_known(&self, f: usize, i: usize, with_room: bool) -> Option<usize> {
        let function = &self.book.functions[f];
        let (part, wanted) = (self.part(i), self.wanted(f));
        let fits = |k: &&Known| {
            k.until > self.now
                && !self.book.invs[i].out.iter().any(|d| d.x == k.x)
                && self.takes_more(k.x, part)
                && (!with_room || self.has_lane(f, k, wanted))
                && (!self.fleet.suspect[k.x] || self.may_try(i, k.x))
                && self.allows_dispatch(i, k.x)
        };
        let known = function.known.iter().filter(fits).map(|k| (self.busy(k.x), k.x));
        known.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, x)| x)
    }

    /// Room: own in-flight below the lanes, and as many executors known as the function wants.
    fn has_lane(&self, f: usize, k: &Known, wanted: f64) -> bool {
        let function = &self.book.functions[f];
        let held = function.inflight(&self.book.invs, k.x);
        !k.full && held < function.lanes && (function.known.len() as f64) + 1.0 > wanted
    }

    /// Executors that a function's part of the traffic would fill, with space for others, and one. What is
    /// seen here is a sample of what all front ends take, so one invocation alone tells nothing.
    fn wanted(&self, f: usize) -> f64 {
        let seen = (self.book.functions[f].taken.at(self.now, PART_TIME) - 1.0).max(0.0);
        let ready = self.fleet.ready_count as f64;
        let by_traffic = COPIES * ready * seen / (self.lately.at(self.now, PART_TIME) + SAMPLE);
        (1.0 + by_traffic.max(self.book.functions[f].everywhere / CROWD)).min(ready)
    }

    fn is_idempotent(&self, i: usize) -> bool {
        self.terms.trigger_types[self.book.invs[i].ty].effect == Effect::Idempotent
    }

    /// A suspect is tried with one idempotent invocation at a time, and with none that was moved from there.
    fn may_try(&self, i: usize, x: usize) -> bool {
        let moved = self.book.invs[i].ran.is_some_and(|(at, _)| at == x);
        self.fleet.out[x].is_empty() && self.now >= self.fleet.trial_at[x] && self.is_idempotent(i) && !moved
    }

    /// What an invocation is billed for a unit of work; little where its customer is past its share. A repeat
    /// takes a part of one, and only of what first tries leave: guards other customers, and its own first
    /// tries, against clients that repeat without end. Told too: whether it is past the share.
    fn value(&mut self, inv: &Invocation) -> (f64, bool) {
        let ty = &self.terms.trigger_types[inv.trigger_type];
        let work = if self.terms.value_by_work { 1.0 } else { self.usual[inv.trigger_type].max(1e-6) };
        let quota = self.terms.quotas.get(inv.customer).map(|q| q / self.terms.front_ends);
        let now = self.now;
        // A few seen tell little: the less of a share falls to one front end, the more of it may be saved up.
        let within = quota.is_none_or(|q| {
            let most = SHARE_BURST * q + SHARE_SAMPLE * q.sqrt();
            let (cost, least) = if inv.repeat { (REPEAT_COST, most / 2.0) } else { (1.0, 1.0) };
            self.shares[inv.customer].take(now, q, most, cost, least)
        });
        (ty.billed_value / work * if within { 1.0 } else { self.terms.over_share_value }, !within)
    }

    /// The part of an executor's limit that an invocation may fill: that of its billed value now in the mean.
    /// Guards the room against what earns little, late or past a customer's share, when room is short.
    fn part(&self, i: usize) -> f64 {
        let inv = &self.book.invs[i];
        let late = self.terms.trigger_types[inv.ty].late_share;
        let left = if self.now > inv.at + inv.patience { late } else { 1.0 };
        (inv.value * left / self.mean_value).min(1.0)
    }

    /// All front ends together have a place at each executor, however small the part: guards a trigger type
    /// that was never answered, and so is thought slow and worth little, against never being served.
    fn takes_more(&self, x: usize, part: f64) -> bool {
        // An equal part is too little where traffic is several times the mean, and few answers let it grow
        // slowly: guards both after a cut. It could harm where answers are quick and executors full.
        let ready = self.fleet.ready_count.max(1) as f64;
        let own = OWN_WORK * self.work.at(self.now, PART_TIME) / PART_TIME / ready;
        let limit = (self.limit.max(own) * part).max(1.0 / self.terms.front_ends);
        // Under one place at each, what is out at all of them counts: guards little traffic against waiting
        // for its turn at the few executors that it knows; it could harm one that all of it goes to.
        let (all, held) = (self.fleet.out_count as f64, self.fleet.inflight(x));
        let (held, limit) = if limit < 1.0 { (all, limit * ready) } else { (held, limit) };
        // A turn is less than one, so that it decides only about the last place.
        let turn = || held < (limit + self.turn(x, (self.now / TURN) as u64)).floor();
        self.now >= self.fleet.paused[x].until && (held < limit.floor() || held < limit + 1.0 && turn())
    }

    /// Own in-flight and what it reported waiting; that fades to the mean, as for what was never heard.
    fn busy(&self, x: usize) -> f64 {
        let (waiting, at) = self.fleet.backlog[x];
        let fresh = (-(self.now - at) / REPORT_TIME).exp();
        let held = self.fleet.inflight(x) + self.mean_backlog + fresh * (waiting - self.mean_backlog);
        let far = if self.fleet.zone[x] == self.terms.zone { 1.0 } else { 1.0 + FAR * self.terms.crossing };
        far * (held + 1.0) / (self.fleet.weight[x] * self.warmth(x))
    }

    /// The last executor known warm, else the less loaded of two, drawn with the function's key for a seed:
    /// all front ends draw the same and share the copy that one has loaded. It has room for what is placed.
    fn placement_target(&mut self, f: usize, placed: Option<usize>) -> Option<usize> {
        if self.book.functions[f].lots.0 != self.fleet.version {
            let key = self.book.functions[f].key;
            let mut lots: Vec<usize> = self.fleet.all().filter(|&x| self.fleet.ready[x]).collect();
            lots.sort_by_cached_key(|&x| Ordered(self.fleet.lot(x, key, self.fleet.weight[x])));
            self.book.functions[f].lots = (self.fleet.version, lots);
        }
        let function = &self.book.functions[f];
        let fits = |&x: &usize| {
            self.fleet.ready[x]
                && !self.fleet.suspect[x]
                && function.failed != Some(x)
                && !function.knows(x, self.now)
        };
        let last = function.last_warm.filter(|&(x, at)| self.now < at + self.terms.keep_alive && fits(&x));
        if let Some((x, _)) = last {
            return Some(x);
        }
        let lots = function.lots.1.iter().copied();
        let mut fitting: Vec<usize> = lots.filter(fits).take(self.wanted(f).max(2.0) as usize).collect();
        // Where all are at their bounds the placement waits: a copy elsewhere serves one front end only.
        let part = placed.map_or(1.0, |i| self.part(i));
        let cold = |x| placed.is_none_or(|i| self.cold_room(x, self.usual[self.book.invs[i].ty]));
        fitting.retain(|&x| self.takes_more(x, part) && cold(x));
        while fitting.len() > 2 {
            fitting.remove((self.chance.unit() * fitting.len() as f64) as usize);
        }
        // Front ends that a report parts each have a copy loaded: guards executors that load all they can.
        let loads = self.loads.0.at(self.now, REPORT_TIME) / self.loads.1.at(self.now, REPORT_TIME).max(1e-6);
        let margin = SECOND + SECOND_BY_LOADS * loads;
        fitting.into_iter().reduce(|a, b| if margin * self.busy(b) < self.busy(a) { b } else { a })
    }

    fn warmth(&self, x: usize) -> f64 {
        let age = self.now - self.terms.skew - self.fleet.since[x];
        let risen = if age >= self.terms.cold { 1.0 } else { (age / self.terms.cold).max(0.0) };
        let risen = if self.now < self.fleet.broke_at[x] + BROKEN_FOR { 0.0 } else { risen };
        if risen >= 1.0 { 1.0 } else { self.terms.cold_from + (1.0 - self.terms.cold_from) * risen }
    }

    /// How many of a kind are ready and warm. Counted again after a change of the roster or a broken
    /// connection, and before the next of them can have become warm.
    fn warm(&mut self, kind: usize) -> usize {
        if self.now >= self.fleet.warm[kind].1 {
            let fellow = |&y: &usize| self.fleet.ready[y] && self.fleet.kind[y] == kind;
            let (warm, cold): (Vec<_>, Vec<_>) =
                self.fleet.all().filter(fellow).partition(|&y| self.warmth(y) >= 1.0);
            let ripe = |&y: &usize| {
                let risen = self.fleet.since[y] + self.terms.skew + self.terms.cold;
                risen.max(self.fleet.broke_at[y] + BROKEN_FOR) - BEAT
            };
            self.fleet.warm[kind] = (warm.len(), cold.iter().map(ripe).fold(f64::INFINITY, f64::min));
        }
        self.fleet.warm[kind].0
    }

    fn learn(&mut self, x: usize, (f, ty): (usize, usize), done: &Out, o: &Outcome) {
        let now = self.now;
        let loaded = if o.found == Found::Untold { done.places } else { o.found != Found::Warm };
        let objective = self.terms.trigger_types[ty].objective;
        let sample = match o.ending {
            Ending::Ok if loaded => return,
            Ending::Ok => {
                self.fleet.paused[x].end();
                self.usual[ty] += NEWEST * (o.took - self.usual[ty]);
                if self.warmth(x) >= 1.0 {
                    let kind = self.fleet.kind[x];
                    let warm = self.warm(kind) as f64;
                    self.fleet.fellows[kind].peak(warm, now, CARRY_TIME);
                    self.fleet.carried[kind].add(self.usual[ty], now, CARRY_TIME);
                }
                self.gauge(o.took / objective, done.at);
                o.took / self.usual[ty].max(1e-6)
            }
            Ending::Error if o.found == Found::LoadFailed => return,
            // Where a function was never seen served, that may be its own fault, or its client's: it counts
            // once another executor serves it. Guards against clients that invoke what no executor knows.
            Ending::Error if !self.book.functions[f].served => {
                return self.book.functions[f].erred_at = Some(x);
            }
            // A client's early leaving is no executor's fault: it says that the answer would take so long.
            Ending::TimedOut => {
                if o.took / objective > self.typical {
                    self.gauge(o.took / objective, done.at);
                }
                (o.took / self.usual[ty].max(1e-6)).min(FAILURE)
            }
            Ending::Error | Ending::Reset | Ending::ConnectFailed => FAILED,
            Ending::Full => {
                self.fleet.paused[x].grow(now, FULL_PAUSE, FULL_DOUBLINGS);
                self.gauge(1.0, done.at);
                return;
            }
            // Moved from a silent executor: what it took so far is known of it. Guards against a silent one
            // that looks sound again as soon as nothing is out there.
            Ending::Cancelled if !o.closed => (o.took / self.usual[ty].max(1e-6)).min(FAILURE),
            Ending::Cancelled | Ending::NeverSent | Ending::Miss => return,
        };
        self.fleet.remember(x, now, sample, JUDGED);
        if matches!(o.ending, Ending::Reset | Ending::ConnectFailed) {
            self.distrust(x);
        } else if sample >= SUSPECT || self.fleet.suspect[x] {
            self.judge();
        }
    }

    /// The limit goes by the median answer time: a heavy invocation or one behind a load says nothing of the
    /// crowd. One cut for what was sent since the last. Guards against overload, whatever its cause; it could
    /// harm where work is long by nature.
    fn gauge(&mut self, time: f64, sent_at: f64) {
        self.typical *= if time > self.typical { TYPICAL_STEP } else { 1.0 / TYPICAL_STEP };
        if self.typical <= TYPICAL_MOST {
            self.limit *= (LIMIT_GROWTH * (self.now - self.limit_at)).exp().min(LIMIT_MOST / self.limit);
        } else if sent_at > self.cut_at {
            self.limit = (self.limit * LIMIT_CUT).max(LIMIT_LEAST / self.terms.front_ends);
            self.cut_at = self.now;
        }
        self.limit_at = self.now;
    }

    /// An executor that broke off or took no connection is suspect at once, whatever the roster says. What
    /// answers next may have just started: guards against all front ends pushing it over untold.
    fn distrust(&mut self, x: usize) {
        self.fleet.broke_at[x] = self.now;
        self.fleet.warm.fill((0, f64::NEG_INFINITY));
        // Where two in a location broke and none of it was heard since, the rest of it is as doubtful.
        let (now, fleet) = (self.now, &mut self.fleet);
        let fellow: Vec<usize> = fleet.all().filter(|&y| fleet.zone[y] == fleet.zone[x]).collect();
        let broke = fellow.iter().map(|&y| fleet.broke_at[y]).filter(|&at| now < at + BROKEN_FOR);
        let first = broke.fold(now, f64::min);
        if first < now && fellow.iter().all(|&y| fleet.heard[y] <= first) {
            fellow.iter().for_each(|&y| fleet.broke_at[y] = now);
        }
        self.fleet.answers[x].clear();
        self.fleet.answers[x].extend([(self.now, FAILED); LEAST_JUDGED]);
        self.fleet.trial_at[x] = self.now + DISTRUST;
        self.judge();
    }

    /// Judges each executor by a high quantile of its answer times against its fellows'. What is out there
    /// counts with its age. Guards against executors that hang, fail fast or have become slow.
    fn judge(&mut self) {
        let now = self.now;
        let high = |x: usize| {
            let usual = |&(i, at): &(usize, f64)| (now - at) / self.usual[self.book.invs[i].ty].max(1e-6);
            let unheard = self.fleet.out[x].iter().filter(|&&(_, at)| at > self.fleet.heard[x]);
            let ages = unheard.map(usual).filter(|&age| age > SUSPECT);
            let recent = self.fleet.answers[x].iter().filter(|a| now < a.0 + JUDGED_FOR).map(|a| a.1);
            let times: Vec<f64> = recent.chain(ages).collect();
            if times.len() < LEAST_JUDGED { None } else { quantile(times, HIGH_QUANTILE) }
        };
        let quantiles: Vec<Option<f64>> = self.fleet.all().map(high).collect();
        let ready: Vec<usize> = self.fleet.all().filter(|&x| self.fleet.ready[x]).collect();
        let middle = quantile(ready.iter().filter_map(|&x| quantiles[x]).collect(), MIDDLE).unwrap_or(1.0);
        for x in self.fleet.all() {
            let far = quantiles[x].is_some_and(|q| q > SUSPECT * middle.max(1.0));
            self.fleet.suspect[x] = far && ready.iter().any(|&y| y != x);
        }
    }

    /// A placement has come to its end; a failed one alone is tried again, after a growing pause.
    fn placed(&mut self, f: usize, x: usize, by_order: bool, well: bool) {
        let function = &mut self.book.functions[f];
        if function.placement.take_if(|p| p.x == x && p.by_order == by_order).is_none() {
            return;
        }
        function.failed = (!well).then_some(x);
        function.tries = if well { 0 } else { function.tries + 1 };
        if !well {
            function.next_at = self.now + BACKOFF * BACKOFF_GROWTH.powi(function.tries - 1);
        }
    }

    fn close(&mut self, i: usize, out: &mut dyn Answers) {
        self.book.unwait(i);
        self.book.invs[i].closed = true;
        if self.terms.cancel && !self.book.invs[i].streaming {
            self.book.cancel(i, None, out);
        }
    }

    /// Goes through the rules for what the input touched and for every function with invocations waiting, and
    /// asks to be woken for what is left: soon for what waits, later for what is out, else not at all.
    fn settle(&mut self, out: &mut dyn Answers) {
        self.touched.extend(&self.book.pending);
        // Where most wait comes first, so that scarce room and loads serve the most.
        self.touched.sort_by_key(|&f| self.book.functions[f].waiting.len());
        while let Some(f) = self.touched.pop() {
            while RULES.iter().any(|rule| rule(self, f, out)) {}
        }
        let soon = self.now + self.beat;
        let due = match self.book.pending.is_empty() {
            false => soon,
            true if self.fleet.out_count > 0 => self.judge_at.max(soon),
            true => f64::INFINITY,
        };
        let due = if self.terms.roster_asked { due.min(self.watch_at.max(self.now)) } else { due };
        if due < self.wake_at {
            self.wake_at = due;
            out.wake(due - self.now, 0);
        }
    }
}
