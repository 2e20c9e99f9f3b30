//! The rules, what they send, and what a dispatch or an order may do.

use super::*;

impl Dispatcher {
    /// Goes through the rules for what the input touched and for every function with invocations waiting, and
    /// asks to be woken for what is left: soon for what waits, later for what is out, else not at all.
    pub(super) fn settle(&mut self, out: &mut dyn Actions) {
        self.touched.extend(&self.book.pending);
        // Where most wait comes first, so that scarce room and loads serve the most.
        self.touched
            .sort_by_key(|&f| self.book.functions[f].waiting.len());
        while let Some(f) = self.touched.pop() {
            while RULES.iter().any(|rule| rule(self, f, out)) {}
        }
        let soon = self.now + self.beat;
        let due = match self.book.pending.is_empty() {
            false => soon,
            true if self.fleet.out_count > 0 => self.judge_at.max(soon),
            true => f64::INFINITY,
        };
        let due = if self.policy.polls_endpoints {
            due.min(self.watch_at.max(self.now))
        } else {
            due
        };
        if due < self.wake_at {
            self.wake_at = due;
            out.set_timer(due - self.now, 0);
        }
    }

    /// Nothing is held that can't be answered any more, or not in time where a throttling reply is harmless.
    pub(super) fn give_up(&mut self, f: usize, out: &mut dyn Actions) -> bool {
        // While a placement is under way, its answer is waited for; else what is late stays so.
        let function = &self.book.functions[f];
        let settled =
            function.placement.is_none() || function.known.iter().any(|k| k.until > self.now);
        let hopeless = |&&i: &&usize| {
            let inv = &self.book.invs[i];
            // Half the patience at the most: an estimate that throttled everything would never be put right.
            let left = self.usual[inv.ty].min(0.5 * inv.patience);
            let late = settled && self.now + left > inv.at + inv.patience;
            inv.sent >= self.policy.max_dispatches
                || self.now + 2.0 * self.beat >= inv.timeout_at
                || (inv.ran.is_some() && !self.may_repeat_where(i, |_| true))
                || late && self.may_throttle(i)
        };
        let Some(&i) = self.book.functions[f].waiting.iter().find(hopeless) else {
            return false;
        };
        self.answer(i, out);
        true
    }

    /// Newest first: it has its whole latency objective before it.
    pub(super) fn send_to_known(
        &mut self,
        f: usize,
        with_room: bool,
        out: &mut dyn Actions,
    ) -> bool {
        // Where none has a place for the best of them, none of the many that may wait need be looked at.
        self.book.functions[f].known.refresh(&self.fleet);
        let (function, room) = (&self.book.functions[f], self.room(1.0));
        let open = |k: &Known| {
            k.until > self.now && self.takes_more(k.x, room) && (!with_room || self.has_lane(f, k))
        };
        if with_room && !self.is_spread(f) || !function.known.iter().any(open) {
            return false;
        }
        let to = |&i: &usize| Some((i, self.least_busy_known(f, i, with_room)?));
        let found = self.book.functions[f].waiting.iter().rev().find_map(to);
        found.is_some_and(|(i, x)| self.dispatch(i, x, false, out))
    }

    /// With none that has room, one further instance is placed, one placement at a time.
    pub(super) fn place(&mut self, f: usize, out: &mut dyn Actions) -> bool {
        let function = &self.book.functions[f];
        if let Some(p) = function.placement {
            if self.fleet.ready[p.x] && !self.fleet.suspect[p.x] && self.now < p.patience_at {
                return false;
            }
            self.placed(f, p.x, p.by_order, false);
            return true;
        }
        let free = |&&i: &&usize| self.book.invs[i].ran.is_none() || self.is_idempotent(i);
        // Else one that is bound to its group: guards it against waiting there for what nobody loads.
        let first = function
            .waiting
            .iter()
            .find(free)
            .or(function.waiting.first());
        let Some(&i) = first.filter(|_| self.now >= function.next_at) else {
            return false;
        };
        let Some(x) = self.placement_target(f, Some(i)) else {
            return false;
        };
        let function = &self.book.functions[f];
        // Guards against copies for what only crowding holds up. A cold one without a turn has no room.
        let (most, work) = (SPREAD * self.busy(x), self.usual[self.book.invs[i].ty]);
        // Not one whose time is over: with many functions it is long until they are swept.
        let stands =
            |k: &&Known| k.until > self.now && !self.fleet.suspect[k.x] && self.has_lane(f, k);
        let bears = |x: usize| {
            self.busy(x) < most && self.cold_room(x, work) && self.may_repeat(i, x, None)
        };
        if self.is_spread(f) && function.known.iter().filter(stands).any(|k| bears(k.x)) {
            return false;
        }
        let worth_it =
            self.policy.rejects_unloaded || self.policy.load_command_cost < ORDER_PRICE_THRESHOLD;
        let by_order = self.policy.allows_load_commands && worth_it && self.order(f, x, out);
        if !by_order
            && (self.policy.allows_load_commands && self.policy.rejects_unloaded
                || !self.dispatch(i, x, true, out))
        {
            return false;
        }
        self.book.functions[f].begin_placement(x, by_order, self.now, PLACEMENT_TIMEOUT);
        true
    }

    /// Has a copy loaded ahead of invocations where fewer executors than wanted are known to serve it,
    /// else renews the one whose time is over first; from what the ration leaves over, one order at a time.
    /// Tells how many are known. Guards a version that traffic is about to come to against a rush of
    /// placements; it could harm where orders are scarce, so a part of them is left to those.
    pub fn prewarm(&mut self, now: f64, wish: &PrewarmRequest, out: &mut dyn Actions) -> usize {
        self.now = now;
        let f = self.book.function(
            wish.function,
            wish.concurrency,
            wish.load_time.unwrap_or(LOAD_TIME),
        );
        self.touched.push(f);
        self.settle(out); // ends a placement past its patience
        let spare = self.ration_left(AHEAD);
        let function = &self.book.functions[f];
        let known = function
            .known
            .iter()
            .filter(|k| k.until > now && self.fleet.ready[k.x]);
        let (count, oldest) = (
            known.clone().count(),
            known.min_by(|a, b| a.until.total_cmp(&b.until)),
        );
        let due = |k: &&Known| wish.replicas > 0 && k.until < now + RENEWED * self.cache_time;
        let renewed = oldest.filter(due).map(|k| k.x);
        if !spare
            || !self.policy.allows_load_commands
            || function.placement.is_some()
            || now < function.next_at
        {
            return count;
        }
        let x = if count < wish.replicas {
            self.placement_target(f, None)
        } else {
            renewed
        };
        let ordered = x.filter(|&x| self.order(f, x, out));
        if let Some(x) = ordered.filter(|_| count < wish.replicas) {
            self.book.functions[f].begin_placement(x, true, now, PLACEMENT_TIMEOUT);
        }
        count
    }

    /// A placement has come to its end; a failed one alone is tried again, after a growing pause.
    pub(super) fn placed(&mut self, f: usize, x: usize, by_order: bool, well: bool) {
        let function = &mut self.book.functions[f];
        if let Some(tries) = function.end_placement(x, by_order, well) {
            function.next_at = self.now + BACKOFF * BACKOFF_GROWTH.powi(tries - 1);
        }
    }

    /// What is out at an executor long silent gets another dispatch: a copy where granted, else after a
    /// cancel if it is suspect too. Guards against hangs and lost links, not slowness: copies feed a crowd.
    pub(super) fn move_from_slow(&mut self, f: usize, out: &mut dyn Actions) -> bool {
        for n in 0..self.book.functions[f].out.len() {
            let i = self.book.functions[f].out[n];
            let inv = &self.book.invs[i];
            let ty = &self.policy.trigger_types[inv.ty];
            let &[d] = inv.out.as_slice() else { continue };
            let silent =
                self.fleet.heard[d.x] < d.at && self.now - d.at > SILENCE * ty.latency_objective;
            let moved =
                silent && (self.policy.allows_hedging && !d.places || self.fleet.suspect[d.x]);
            if inv.closed
                || inv.streaming
                || d.cancelled
                || ty.idempotency == Idempotency::NonIdempotent
                || !moved
            {
                continue;
            }
            if self.policy.allows_hedging {
                self.book.functions[f].known.refresh(&self.fleet);
                if let Some(x) = self
                    .least_busy_known(f, i, true)
                    .filter(|&x| !self.fleet.suspect[x])
                {
                    return self.dispatch(i, x, false, out);
                }
                continue;
            }
            let elsewhere = |x: usize| x != d.x && !self.fleet.suspect[x];
            let left = self.policy.allows_cancellation && inv.sent < self.policy.max_dispatches;
            if left && self.may_repeat_where(i, elsewhere) {
                self.book.cancel(i, None, out);
                return true;
            }
        }
        false
    }

    /// Effects, drains and cold executors: no dispatch is made, nor leaves (by its number), but through here.
    pub(super) fn allows_dispatch(&self, i: usize, x: usize, leaving: Option<u8>) -> bool {
        let inv = &self.book.invs[i];
        let others = inv
            .out
            .iter()
            .filter(|d| Some(d.dispatch) != leaving)
            .count();
        !inv.closed
            && inv.sent - u8::from(leaving.is_some()) < self.policy.max_dispatches
            && others <= usize::from(self.policy.allows_hedging)
            && self.now + self.policy.clock_tick < inv.timeout_at
            && self.is_open(x)
            && self.may_repeat(i, x, leaving)
            && self.cold_room(x, self.usual[inv.ty])
    }

    /// Whether another dispatch there could have no second effect.
    pub(super) fn may_repeat(&self, i: usize, x: usize, leaving: Option<u8>) -> bool {
        let ty = &self.policy.trigger_types[self.book.invs[i].ty];
        let harmless = |(at, when): (usize, f64)| match ty.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed if !self.fleet.same_group(ty.deduplication_scope, x, at) => false,
            Idempotency::Keyed => {
                self.now < when + ty.deduplication_window - 2.0 * self.policy.clock_tick
            }
        };
        self.book.first_sent(i, leaving).is_none_or(harmless)
    }

    /// The same of any executor that fits; it is looked for only where one can be.
    fn may_repeat_where(&self, i: usize, fits: impl Fn(usize) -> bool) -> bool {
        let ty = &self.policy.trigger_types[self.book.invs[i].ty];
        let group = if ty.idempotency == Idempotency::Keyed {
            ty.deduplication_scope
        } else {
            DeduplicationScope::All
        };
        let ready = self
            .fleet
            .ready_in(group, self.book.first_sent(i, None).map(|first| first.0));
        ready
            .iter()
            .any(|&x| fits(x) && self.is_open(x) && self.may_repeat(i, x, None))
    }

    /// A cold executor's budget over the span in which it could be pushed over: this front end's part, what's
    /// less than a whole invocation by turns. They last longer by what clocks may differ, so that in no such
    /// span more than two add up: guards against front ends whose clocks number them unlike.
    pub(super) fn cold_room(&self, x: usize, work: f64) -> bool {
        if self.fleet.all_warm || self.warmth(x) >= 1.0 {
            return true;
        }
        // Guards against front ends that see each other come and go late: their parts would exceed the whole.
        // One that started anew knows not what it sent before: it sits out the span that is under way.
        if !self.holds_share
            || self.now < self.started + self.policy.overload_window + 2.0 * TICK_INTERVAL
        {
            return false;
        }
        let span = self.now - self.policy.overload_window - 2.0 * TICK_INTERVAL;
        let slot = (self.now / (self.policy.overload_window + self.policy.max_clock_skew)) as u64;
        let whole = (self.budget_share(x, work) + self.slot_share(x, slot)).floor();
        self.fleet.sent_since(x, span) / work + 1.0 <= whole
    }

    /// Its place, from 0 up to 1, among the time slots of an executor that all front ends draw alike.
    pub(super) fn slot_share(&self, x: usize, slot: u64) -> f64 {
        let drawn = (self.policy.front_end_index + self.fleet.rendezvous_number(x, slot)) as u64;
        (drawn % self.slot_count as u64) as f64 / self.slot_count + 1e-9
    }

    /// A front end's part of that budget, in invocations: its part of the traffic to a warm fellow, scaled to
    /// what a cold one can do. All front ends together have a turn for one at least.
    fn budget_share(&self, x: usize, work: f64) -> f64 {
        let (now, kind) = (self.now, self.fleet.kind[x]);
        // One just started has seen a part of the time only.
        let seen = CARRY_TIME * (1.0 - (-(now - self.started) / CARRY_TIME).exp()).max(0.1);
        let fellows = self.fleet.fellows[kind].at(now, CARRY_TIME).max(1.0);
        let carried = self.fleet.carried[kind].at(now, CARRY_TIME) / seen / fellows;
        let budget =
            carried * self.warmth(x) * self.policy.overload_factor * self.policy.overload_window
                / work;
        // Turns of two slots may fall into one span: guards it against both, where they exceed what it bears.
        let all = (budget * self.policy.front_ends).max(1.0);
        (budget * (0.5 + 0.5 * COLD_SLACK / all.sqrt()).min(1.0)).max(1.0 / self.slot_count)
    }

    fn dispatch(&mut self, i: usize, x: usize, places: bool, out: &mut dyn Actions) -> bool {
        if !self.allows_dispatch(i, x, None) {
            return false;
        }
        let &Inv {
            id, ty, timeout_at, ..
        } = &self.book.invs[i];
        out.dispatch(id, self.fleet.ids[x], timeout_at - self.now);
        self.fleet.note_sent(
            x,
            i,
            self.now,
            self.usual[ty],
            2.0 * self.policy.overload_window,
        );
        if self.fleet.suspect[x] {
            self.fleet.trial_at[x] =
                self.now + SILENCE * self.policy.trigger_types[ty].latency_objective;
        }
        self.book.send(i, x, self.now, places);
        true
    }

    /// Whether the ration, or a part of it, has an order left; a tick to the safe side at either end.
    pub(super) fn ration_left(&mut self, part: f64) -> bool {
        let (since, tick) = (
            self.now - self.policy.load_budget_window,
            self.policy.clock_tick,
        );
        let ordered = self.orders.after(since - tick);
        let granted = self.policy.load_budget_floor
            + self.policy.load_budget_fraction * self.taken.after(since + tick);
        self.policy.load_budget_window <= 0.0 || ordered + 1.0 <= part * granted
    }

    /// Drains and the ration: no order to load goes out but through here.
    pub(super) fn order(&mut self, f: usize, x: usize, out: &mut dyn Actions) -> bool {
        if !self.is_open(x) || !self.ration_left(1.0) {
            return false;
        }
        self.orders.add(self.now);
        out.load(self.fleet.ids[x], self.book.functions[f].key, 1);
        true
    }

    fn may_throttle(&self, i: usize) -> bool {
        let inv = &self.book.invs[i];
        let ty = &self.policy.trigger_types[inv.ty];
        let harmless = ty.idempotency == Idempotency::Idempotent
            || ty.idempotency == Idempotency::Keyed
                && ty.deduplication_scope == DeduplicationScope::All;
        harmless || inv.ran.is_none() && inv.out.is_empty()
    }

    /// The one place of final answers other than succeeded ones.
    fn answer(&mut self, i: usize, out: &mut dyn Actions) {
        if self.may_throttle(i) {
            let share = STAY_AWAY + (1.0 - STAY_AWAY) * self.random.unit();
            let inv = &self.book.invs[i];
            out.reject(inv.id, share * self.policy.max_retry_after, inv.past_share);
        } else {
            out.fail(self.book.invs[i].id);
        }
        self.book.close(i, self.policy.allows_cancellation, out);
    }

    fn least_busy_known(&self, f: usize, i: usize, with_room: bool) -> Option<usize> {
        let (out, room) = (&self.book.invs[i].out, self.room(self.part(i)));
        let stands = |k: &Known| k.until > self.now && !out.iter().any(|d| d.x == k.x);
        let has_room =
            |k: &Known| self.takes_more(k.x, room) && (!with_room || self.has_lane(f, k));
        let is_sound = |k: &Known| !self.fleet.suspect[k.x] || self.may_try(i, k.x);
        let fits = |k: &Known| {
            stands(k) && has_room(k) && is_sound(k) && self.allows_dispatch(i, k.x, None)
        };
        let value = |k: &Known| fits(k).then(|| self.busy(k.x));
        let known = (!with_room || self.is_spread(f)).then_some(&self.book.functions[f].known)?;
        known.least(|load| self.busy_by(load, 1.0), value)
    }

    /// Whether as many executors are known as the function wants, and one in the own region where that has
    /// any: guards what went elsewhere against staying there.
    fn is_spread(&self, f: usize) -> bool {
        let known = &self.book.functions[f].known;
        let is_near =
            |k: &Known| k.until > self.now && self.fleet.in_region(k.x) || !self.has_region(f);
        known.len() as f64 + 1.0 > self.wanted(f) && known.iter().any(is_near)
    }

    /// Room: own in-flight below the lanes.
    fn has_lane(&self, f: usize, k: &Known) -> bool {
        !k.full && self.book.functions[f].inflight(k.x) < self.book.functions[f].lanes
    }

    /// A suspect is tried with one idempotent invocation at a time, and with none that was moved from there.
    fn may_try(&self, i: usize, x: usize) -> bool {
        let moved = self.book.invs[i].ran.is_some_and(|(at, _)| at == x);
        self.fleet.out[x].is_empty()
            && self.now >= self.fleet.trial_at[x]
            && self.is_idempotent(i)
            && !moved
    }
}
