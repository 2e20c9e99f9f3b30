//! The dispatch policy of one front end: every decision and every tuned value. After each input the `RULES`
//! are gone through, in order, for every function that it touched; what they decide goes to `Actions`.

mod freshness;
mod judge;
mod send;

use crate::interface::*;
use crate::random::SeededRandom;
use crate::state::*;
use freshness::View;

/// Interval at which whatever waits is looked at again, and after which an unused function, or an executor
/// in no list, is forgotten: guards against ids ever new. It could harm one that comes back cold untold.
const TICK_INTERVAL: f64 = 0.025;
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
/// Usual answer time of a trigger type that was never answered, in objectives.
const FIRST_USUAL: f64 = 0.25;
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
const PLACEMENT_TIMEOUT: f64 = 5.0;
const LOAD_TIME: f64 = 1.0;
/// Cache time, as a share of the time an idle copy stays; and where no such time is told.
const CACHE_SHARE: f64 = 0.85;
const CACHE_TIME: f64 = 5.0;
/// Of the ration, the part for copies ahead; time left to one that is renewed; the price of a dear order.
const AHEAD: f64 = 0.5;
const RENEWED: f64 = 0.6;
const ORDER_PRICE_THRESHOLD: f64 = 0.02;
/// What a cold executor bears over its budget, in roots of it; time constant of the work executors carry.
const COLD_SLACK: f64 = 2.0;
const CARRY_TIME: f64 = 10.0;
/// Least share of the longest stay-away advised; the rest is chance, so that clients don't return in step.
const STAY_AWAY: f64 = 0.25;

/// The most that a customer may save up of its share at a front end, in invocations.
fn most_saved(rate: f64) -> f64 {
    SHARE_BURST * rate + SHARE_SAMPLE * rate.sqrt()
}

type Rule = fn(&mut Dispatcher, usize, &mut dyn Actions) -> bool;
const RULES: [Rule; 5] = [
    Dispatcher::give_up,
    |c, f, out| c.send_to_known(f, true, out),
    Dispatcher::place,
    |c, f, out| c.send_to_known(f, false, out), // while a placement is under way
    Dispatcher::move_from_slow,
];

#[derive(Default)]
pub struct Dispatcher {
    policy: PolicyConfig,
    /// Time slots of the budgets for cold executors, and whether this front end has a share of them.
    slot_count: f64,
    holds_share: bool,
    view: View,
    random: SeededRandom,
    now: f64,
    started: f64,
    beat: f64,
    cache_time: f64,
    fleet: Fleet,
    book: Book,
    touched: Vec<usize>, // functions
    usual: Vec<f64>,     // answer times of each trigger type, on a loaded copy
    /// When invocations were taken and orders given, over the window of the ration.
    taken: SlidingWindow,
    orders: SlidingWindow,
    shares: Vec<TokenBucket>, // of customers
    mean_value: f64,
    mean_backlog: f64,
    loads: DecayingMean, // told in reports
    lately: DecayingSum, // own invocations
    work: DecayingSum,   // and their usual answer times
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

impl Dispatcher {
    pub fn new(policy: PolicyConfig, seed: u64, now: f64, out: &mut dyn Actions) -> Self {
        let mut dispatcher = Dispatcher {
            slot_count: policy.front_ends,
            holds_share: true,
            usual: policy
                .trigger_types
                .iter()
                .map(|t| FIRST_USUAL * t.latency_objective)
                .collect(),
            shares: policy
                .quotas
                .iter()
                .map(|_| TokenBucket::full(now))
                .collect(),
            random: SeededRandom::new(seed),
            beat: TICK_INTERVAL.max(policy.clock_tick),
            cache_time: if policy.keep_alive > 0.0 {
                CACHE_SHARE * policy.keep_alive
            } else {
                CACHE_TIME
            },
            limit: LIMIT_MOST,
            typical: TYPICAL_MOST / 3.0,
            wake_at: f64::INFINITY,
            fleet: Fleet::new(policy.zone, LEAST_JUDGED, JUDGED_FOR)
                .in_regions(policy.zone_regions.clone()),
            policy,
            now,
            watch_at: now,
            started: now,
            ..Dispatcher::default()
        };
        dispatcher.settle(out);
        dispatcher
    }

    /// What is kept of executors, functions and invocations: all three level off.
    pub fn table_sizes(&self) -> TableSizes {
        self.book.kept(&self.fleet)
    }

    pub fn has_trigger_type(&self, ty: usize) -> bool {
        ty < self.policy.trigger_types.len()
    }

    /// Appends a trigger type, or replaces one that no invocation is of any more; it begins like at a start.
    /// What is open keeps the type that it was taken with.
    pub fn set_trigger_type(
        &mut self,
        now: f64,
        index: usize,
        ty: TriggerType,
    ) -> Result<(), ConfigError> {
        self.now = now;
        ty.check(index, self.policy.trigger_types.len())?;
        self.book.check_unused(index)?;
        put(&mut self.usual, index, FIRST_USUAL * ty.latency_objective);
        put(&mut self.policy.trigger_types, index, ty);
        Ok(())
    }

    /// Sets the customers' shares. Who had one keeps what is saved up, within the new bound.
    pub fn set_quotas(&mut self, now: f64, quotas: Vec<f64>) -> Result<(), ConfigError> {
        self.now = now;
        check_quotas(&quotas)?;
        let rates = self
            .policy
            .quotas
            .iter()
            .map(|q| q / self.policy.front_ends);
        refill(&mut self.shares, now, rates, most_saved, quotas.len());
        self.policy.quotas = quotas;
        Ok(())
    }

    pub fn on_endpoint_update(
        &mut self,
        now: f64,
        kind: EndpointUpdateKind,
        rows: &[Endpoint],
        out: &mut dyn Actions,
    ) {
        self.now = now;
        self.view.set_silent(kind == EndpointUpdateKind::Failed);
        if self.view.is_silent {
            self.watch_at = now + WATCH_PAUSE * (0.5 + self.random.unit());
        }
        take_list(
            &mut self.fleet,
            &mut self.book,
            now,
            (kind, rows),
            now - FORGOTTEN,
        );
        self.settle(out);
    }

    /// The view of executors was true at a time: what was asked then has been answered.
    pub fn on_view_confirmed(&mut self, now: f64, at: f64, out: &mut dyn Actions) {
        self.now = now;
        self.view.confirm(at);
        self.settle(out);
    }

    /// The process did not run for a while: what it believes of executors may be long untrue.
    pub fn on_process_stall(&mut self, now: f64) {
        self.now = now;
        self.view.resume(now);
    }

    /// The source of the roster does not answer what was asked at a time. Whoever tells this goes on asking.
    pub fn on_view_lost(&mut self, now: f64, asked_at: f64) {
        self.now = now;
        self.view.lose(asked_at);
    }

    /// How many front ends live. What is shared strictly has to wait while one can't know that.
    pub fn on_membership_change(
        &mut self,
        now: f64,
        living: MembershipView,
        out: &mut dyn Actions,
    ) {
        self.now = now;
        (self.policy.front_ends, self.policy.front_end_index) =
            (living.front_ends.max(1.0), living.front_end_index);
        (self.slot_count, self.holds_share) = (living.slot_count.max(1.0), living.has_budget_share);
        self.settle(out);
    }

    pub fn on_invocation(&mut self, now: f64, inv: &Invocation, out: &mut dyn Actions) {
        self.now = now;
        if !inv.is_migrated {
            self.taken.add(now);
        }
        let f = self.book.function(
            inv.function,
            inv.concurrency,
            inv.load_time.unwrap_or(LOAD_TIME),
        );
        let ty = &self.policy.trigger_types[inv.trigger_type];
        let objective = (ty.latency_objective
            + ty.objective_work_factor * inv.expected_work.unwrap_or(0.0))
        .min(ty.client_timeout);
        let (value, past_share) = self.value(inv);
        self.mean_value +=
            NEWEST.max(1.0 / self.lately.add(1.0, now, PART_TIME)) * (value - self.mean_value);
        let (id, ty, timeout_at, at) = (inv.id, inv.trigger_type, inv.timeout_at, now);
        // What counts is the lesser of the latency objective and the client timeout.
        let patience = objective.min(timeout_at - now);
        let inv = Inv {
            id,
            ty,
            f,
            value,
            past_share,
            timeout_at,
            patience,
            at,
            ..Inv::default()
        };
        self.book.take(inv);
        self.book.functions[f].taken.add(1.0, now, PART_TIME);
        self.work.add(self.usual[ty], now, PART_TIME);
        self.touched.push(f);
        self.settle(out);
    }

    pub fn on_dispatch_result(&mut self, now: f64, o: &DispatchResult, out: &mut dyn Actions) {
        self.now = now;
        let Some(&i) = self.book.inv_index.get(&o.invocation) else {
            return;
        };
        let Some(done) = self.book.ended(i, o.dispatch) else {
            return;
        };
        let (x, f, ty) = (done.x, self.book.invs[i].f, self.book.invs[i].ty);
        self.fleet.note_ended(x, i, done.at, now);
        if let Some(waiting) = o.reported_value(self.policy.backlog_field) {
            self.mean_backlog += NEWEST * (waiting - self.mean_backlog);
            self.fleet.note_backlog(x, waiting, now);
        }
        if let Some(loads) = o.reported_value(self.policy.pending_loads_field) {
            self.loads.add(loads, now, REPORT_TIME);
        }
        self.fleet.note_heard(x, o.status, now);
        self.fleet.note_answer(x, o.status);
        self.learn(x, (f, ty), &done, o);
        let (until, wanted) = (now + self.cache_time, self.wanted(f));
        let function = &mut self.book.functions[f];
        match o.status {
            DispatchStatus::Ok if self.fleet.ready[x] => {
                function.know(x, now, until);
                if self.policy.reports_concurrency {
                    function.tell(f64::from(o.function_concurrency) * wanted, NEWEST_CROWD);
                }
            }
            DispatchStatus::Full => function.known.set_full(x),
            // A client that left early tells nothing of the copy.
            DispatchStatus::TimedOut
                if o.duration < SILENCE * self.policy.trigger_types[ty].latency_objective => {}
            DispatchStatus::TimedOut
            | DispatchStatus::ConnectFailed
            | DispatchStatus::Reset
            | DispatchStatus::Miss => function.evict(x),
            DispatchStatus::Ok
            | DispatchStatus::Error
            | DispatchStatus::Cancelled
            | DispatchStatus::NeverSent => {}
        }
        if done.places {
            self.placed(f, x, false, o.status == DispatchStatus::Ok);
        }
        let erred_at = &mut self.book.functions[f].erred_at;
        if let Some(y) = erred_at.take_if(|&mut y| o.status == DispatchStatus::Ok && y != x) {
            self.fleet.remember(y, now, FAILED, JUDGED);
            self.judge();
        }
        self.book.note_ran(i, &done, o.status);
        if o.is_answered || o.status == DispatchStatus::Ok {
            self.book.close(i, self.policy.allows_cancellation, out);
        } else {
            self.book.wait_again(i);
        }
        self.book.release(i);
        self.touched.push(f);
        self.settle(out);
    }

    /// What was decided is asked again as its bytes leave: guards what is bounded in time against connections
    /// that are slow to be made or to take bytes. Could harm by a dispatch that is decided on over and over.
    pub fn revalidate_dispatch(&mut self, now: f64, inv: u32, dispatch: u8) -> bool {
        self.now = now;
        let Some((i, d)) = self.book.out_of(inv, dispatch) else {
            return false;
        };
        let work = self.fleet.take_sent(d.x, d.at);
        let leaves = self.allows_dispatch(i, d.x, Some(dispatch));
        self.fleet.sent[d.x].extend(work.filter(|_| leaves).map(|work| (now, work)));
        leaves
    }

    /// The same of an order to load, given at a moment; it counts against the ration when it leaves.
    pub fn revalidate_load(&mut self, now: f64, to: ExecutorId, at: f64) -> bool {
        self.now = now;
        self.orders.remove(at);
        let open = self.fleet.index.get(&to).is_some_and(|&x| self.is_open(x));
        (open && self.ration_left(1.0))
            .then(|| self.orders.add(now))
            .is_some()
    }

    /// The front end is about to end: nothing is waited for past a moment.
    pub fn begin_shutdown(&mut self, now: f64, at: f64, out: &mut dyn Actions) {
        self.now = now;
        self.book
            .invs
            .iter_mut()
            .for_each(|inv| inv.timeout_at = inv.timeout_at.min(at));
        self.settle(out);
    }

    /// The answer has begun to stream: this dispatch is the client's, any other is not wanted.
    pub fn on_response_started(&mut self, now: f64, inv: u32, dispatch: u8, out: &mut dyn Actions) {
        self.now = now;
        if let Some(&i) = self.book.inv_index.get(&inv) {
            self.book.invs[i].streaming = true;
            if self.policy.allows_cancellation {
                self.book.cancel(i, Some(dispatch), out);
            }
        }
    }

    pub fn on_client_cancel(&mut self, now: f64, inv: u32, out: &mut dyn Actions) {
        self.now = now;
        if let Some(&i) = self.book.inv_index.get(&inv) {
            // It grants no order to load: guards against clients that take back what they just asked.
            self.taken.remove(self.book.invs[i].at);
            self.book.close(i, self.policy.allows_cancellation, out);
        }
    }

    /// The answer to an order to load.
    pub fn on_load_result(
        &mut self,
        now: f64,
        at: ExecutorId,
        key: u64,
        ending: DispatchStatus,
        out: &mut dyn Actions,
    ) {
        self.now = now;
        let Some(&f) = self.book.function_index.get(&key) else {
            return;
        };
        let Some(&x) = self.fleet.index.get(&at) else {
            return;
        };
        self.fleet.note_answer(x, ending);
        if ending == DispatchStatus::Ok && self.fleet.ready[x] {
            self.book.functions[f].know(x, now, now + self.cache_time);
        } else {
            self.book.functions[f].evict(x);
            if matches!(
                ending,
                DispatchStatus::ConnectFailed | DispatchStatus::Reset
            ) {
                self.distrust(x);
            }
        }
        self.placed(f, x, true, ending == DispatchStatus::Ok);
        self.touched.push(f);
        self.settle(out);
    }

    pub fn on_timer(&mut self, now: f64, _mark: u64, out: &mut dyn Actions) {
        self.now = now;
        if now + 1e-6 < self.wake_at {
            return;
        }
        self.wake_at = f64::INFINITY;
        if self.policy.polls_endpoints && now >= self.watch_at {
            self.watch_at = f64::INFINITY;
            out.subscribe_to_endpoints();
        }
        if now >= self.judge_at {
            self.judge_at = now + 4.0 * self.beat;
            self.judge();
            self.taken.after(now - self.policy.load_budget_window);
            let crowded = self.book.function_index.len() > MOST_FUNCTIONS;
            self.book
                .sweep(if crowded { now } else { now - FORGOTTEN }, now);
            self.touched
                .extend(self.fleet.invocations_out().map(|i| self.book.invs[i].f));
        }
        self.settle(out);
    }
}
