//! What executors and invocations are worth: limits, shares, warmth, and who is judged by what.

use super::*;

impl Dispatcher {
    /// Executors that a function's part of the traffic would fill, with space for others, and one. What is
    /// seen here is a sample of what all front ends take, so one invocation alone tells nothing.
    pub(super) fn wanted(&self, f: usize) -> f64 {
        let seen = (self.book.functions[f].taken.at(self.now, PART_TIME) - 1.0).max(0.0);
        let in_region = self
            .has_region(f)
            .then_some(self.fleet.ready_in_region.len());
        let ready = in_region.unwrap_or(self.fleet.ready_count) as f64;
        let by_traffic = COPIES * ready * seen / (self.lately.at(self.now, PART_TIME) + SAMPLE);
        (1.0 + by_traffic.max(self.book.functions[f].everywhere / CROWD)).min(ready)
    }

    /// Where the last placement failed is left out while another executor can be expected to do better: guards
    /// what turned it away for a moment against being shut out for good, as the only one that is there. Could
    /// harm by asking it again, which waits for the growing pause between placements.
    fn may_place(&self, f: usize, x: usize) -> bool {
        let failed_last = self.book.functions[f].failed == Some(x);
        self.is_open(x) && !self.fleet.suspect[x] && !(failed_last && self.has_sound_other(x))
    }

    fn has_sound_other(&self, x: usize) -> bool {
        let broke_lately = |y: usize| self.now < self.fleet.broke_at[y] + BROKEN_FOR;
        let is_sound = |y: usize| self.is_open(y) && !self.fleet.suspect[y] && !broke_lately(y);
        self.fleet.all().any(|y| y != x && is_sound(y))
    }

    /// Whether the own region has an executor to place at: none elsewhere is taken then. Guards functions
    /// against regions cut from each other; could harm where a region has less room than traffic.
    pub(super) fn has_region(&self, f: usize) -> bool {
        self.fleet
            .ready_in_region
            .iter()
            .any(|&x| self.may_place(f, x))
    }

    pub(super) fn is_idempotent(&self, i: usize) -> bool {
        self.policy.trigger_types[self.book.invs[i].ty].idempotency == Idempotency::Idempotent
    }

    /// What an invocation is billed for a unit of work; little where its customer is past its share. A repeat
    /// takes a part of one, and only of what first tries leave: guards other customers, and its own first
    /// tries, against clients that repeat without end. Told too: whether it is past the share.
    pub(super) fn value(&mut self, inv: &Invocation) -> (f64, bool) {
        let ty = &self.policy.trigger_types[inv.trigger_type];
        let work = if self.policy.bills_by_work {
            1.0
        } else {
            self.usual[inv.trigger_type].max(1e-6)
        };
        let quota = self
            .policy
            .quotas
            .get(inv.customer)
            .map(|q| q / self.policy.front_ends);
        // A few seen tell little: the less of a share falls to one front end, the more of it may be saved up.
        let within = quota.is_none_or(|q| {
            let most = most_saved(q);
            let (cost, least) = if inv.is_retry {
                (REPEAT_COST, most / 2.0)
            } else {
                (1.0, 1.0)
            };
            self.shares[inv.customer].take(self.now, q, most, cost, least)
        });
        (
            ty.billed_value / work
                * if within {
                    1.0
                } else {
                    self.policy.over_quota_value_factor
                },
            !within,
        )
    }

    /// The part of an executor's limit that an invocation may fill: that of its billed value now in the mean.
    /// Guards the room against what earns little, late or past a customer's share, when room is short.
    pub(super) fn part(&self, i: usize) -> f64 {
        let inv = &self.book.invs[i];
        let late = self.policy.trigger_types[inv.ty].late_value_fraction;
        let left = if self.now > inv.at + inv.patience {
            late
        } else {
            1.0
        };
        (inv.value * left / self.mean_value).min(1.0)
    }

    /// All front ends together have a place at each executor, however small the part: guards a trigger type
    /// that was never answered, and so is thought slow and worth little, against never being served.
    pub(super) fn room(&self, part: f64) -> Room {
        // An equal part is too little where traffic is several times the mean, and few answers let it grow
        // slowly: guards both after a cut. It could harm where answers are quick and executors full.
        let ready = self.fleet.ready_count.max(1) as f64;
        let own = OWN_WORK * self.work.at(self.now, PART_TIME) / PART_TIME / ready;
        let limit = (self.limit.max(own) * part).max(1.0 / self.policy.front_ends);
        // Under one place at each, what is out at all of them counts: guards little traffic against waiting
        // for its turn at the few executors that it knows; it could harm one that all of it goes to.
        let at_all = limit < 1.0;
        Room {
            limit: if at_all { limit * ready } else { limit },
            at_all,
        }
    }

    pub(super) fn takes_more(&self, x: usize, Room { limit, at_all }: Room) -> bool {
        let held = if at_all {
            self.fleet.out_count as f64
        } else {
            self.fleet.inflight(x)
        };
        // A turn is less than one, so that it decides only about the last place.
        let turn = || held < (limit + self.slot_share(x, (self.now / TURN) as u64)).floor();
        let free = self.now >= self.fleet.paused[x].until;
        free && (held < limit.floor() || held < limit + 1.0 && turn())
    }

    /// Own in-flight and what it reported waiting; that fades to the mean, as for what was never heard.
    pub(super) fn busy(&self, x: usize) -> f64 {
        self.busy_by(&self.fleet.load(x), self.warmth(x))
    }

    /// The same by a load; of several executors it is the least that any of them could be.
    pub(super) fn busy_by(&self, load: &Load, warmth: f64) -> f64 {
        let told_at = if load.waiting > self.mean_backlog {
            load.earliest
        } else {
            load.latest
        };
        let fresh = (-(self.now - told_at) / REPORT_TIME).exp();
        let held = load.held + self.mean_backlog + fresh * (load.waiting - self.mean_backlog);
        let far = if load.home {
            1.0
        } else {
            1.0 + FAR * self.policy.cross_zone_cost
        };
        far * (held + 1.0) / (load.weight * warmth)
    }

    /// The last executor known warm, else the less loaded of two, drawn with the function's key for a seed:
    /// all front ends draw the same and share the copy that one has loaded. It has room for what is placed.
    pub(super) fn placement_target(&mut self, f: usize, placed: Option<usize>) -> Option<usize> {
        // As many as are wanted fit among so many and those that can't. For one that may have run that is any
        // number: all are ranked. It has to stay rare, and does: those known in its group come first.
        let wanted = self.wanted(f).max(2.0) as usize;
        let bound =
            placed.is_some_and(|i| self.book.invs[i].ran.is_some() && !self.is_idempotent(i));
        let any_may_be_unfit = bound || !self.view_is_fresh();
        let function = &mut self.book.functions[f];
        let unfit = function.known.len() + 1 + self.fleet.unfit_bound(any_may_be_unfit);
        self.fleet
            .rank(&mut function.ranking, function.key, wanted + unfit);
        let function = &self.book.functions[f];
        let anywhere = bound || !self.has_region(f);
        let may_run = |x: usize| placed.is_none_or(|i| self.may_repeat(i, x, None));
        let is_new = |x: usize| self.may_place(f, x) && !function.knows(x, self.now);
        let fits = |&x: &usize| (anywhere || self.fleet.in_region(x)) && is_new(x) && may_run(x);
        let last = function
            .last_warm
            .filter(|&(x, at)| self.now < at + self.policy.keep_alive && fits(&x));
        if let Some((x, _)) = last {
            return Some(x);
        }
        // Where all are at their bounds the placement waits: a copy elsewhere serves one front end only.
        let cold = |x| placed.is_none_or(|i| self.cold_room(x, self.usual[self.book.invs[i].ty]));
        let room = self.room(placed.map_or(1.0, |i| self.part(i)));
        let fitting = function.ranking.iter().filter(fits).take(wanted);
        let rest = |x| !room.at_all && self.fleet.all_warm && self.fleet.rests(x);
        let fitting = fitting
            .filter(|&x| rest(x) || self.takes_more(x, room) && cold(x))
            .collect();
        let fitting = leave_two(fitting, || self.random.unit());
        // Front ends that a report parts each have a copy loaded: guards executors that load all they can.
        let margin = SECOND + SECOND_BY_LOADS * self.loads.at(self.now, REPORT_TIME);
        fitting.into_iter().reduce(|a, b| {
            if margin * self.busy(b) < self.busy(a) {
                b
            } else {
                a
            }
        })
    }

    pub(super) fn warmth(&self, x: usize) -> f64 {
        let age = self.now - self.policy.max_clock_skew - self.fleet.since[x];
        let risen = if age >= self.policy.slow_start_duration {
            1.0
        } else {
            (age / self.policy.slow_start_duration).max(0.0)
        };
        let risen = if self.now < self.fleet.broke_at[x] + BROKEN_FOR {
            0.0
        } else {
            risen
        };
        if risen >= 1.0 {
            1.0
        } else {
            self.policy.slow_start_initial_weight
                + (1.0 - self.policy.slow_start_initial_weight) * risen
        }
    }

    /// How many of a kind are ready and warm. The cold ones are looked at again from when the next of them
    /// can have become warm.
    fn warm(&mut self, kind: usize) -> usize {
        let mut count = std::mem::take(&mut self.fleet.warm[kind]);
        let ripe = |y: usize| {
            let risen =
                self.fleet.since[y] + self.policy.max_clock_skew + self.policy.slow_start_duration;
            risen.max(self.fleet.broke_at[y] + BROKEN_FOR) - TICK_INTERVAL
        };
        count.look_again(self.now, |y| self.warmth(y) < 1.0, ripe);
        self.fleet.set_warm(kind, count)
    }

    pub(super) fn learn(
        &mut self,
        x: usize,
        (f, ty): (usize, usize),
        done: &Out,
        o: &DispatchResult,
    ) {
        let now = self.now;
        let loaded = if o.copy_state == CopyState::Unknown {
            done.places
        } else {
            o.copy_state != CopyState::Warm
        };
        let objective = self.policy.trigger_types[ty].latency_objective;
        let sample = match o.status {
            DispatchStatus::Ok if loaded => return,
            DispatchStatus::Ok => {
                self.fleet.paused[x].end();
                self.usual[ty] += NEWEST * (o.duration - self.usual[ty]);
                if self.warmth(x) >= 1.0 {
                    let warm = self.warm(self.fleet.kind[x]) as f64;
                    self.fleet
                        .note_carried(x, warm, self.usual[ty], now, CARRY_TIME);
                }
                self.gauge(o.duration / objective, done.at);
                o.duration / self.usual[ty].max(1e-6)
            }
            DispatchStatus::Error if o.copy_state == CopyState::LoadFailed => return,
            // Where a function was never seen served, that may be its own fault, or its client's: it counts
            // once another executor serves it. Guards against clients that invoke what no executor knows.
            DispatchStatus::Error if !self.book.functions[f].served => {
                return self.book.functions[f].erred_at = Some(x);
            }
            // A client's early leaving is no executor's fault: it says that the answer would take so long.
            DispatchStatus::TimedOut => {
                if o.duration / objective > self.typical {
                    self.gauge(o.duration / objective, done.at);
                }
                (o.duration / self.usual[ty].max(1e-6)).min(FAILURE)
            }
            DispatchStatus::Error | DispatchStatus::Reset | DispatchStatus::ConnectFailed => FAILED,
            DispatchStatus::Full => {
                self.fleet.pause(x, now, FULL_PAUSE, FULL_DOUBLINGS);
                self.gauge(1.0, done.at);
                return;
            }
            // Moved from a silent executor: what it took so far is known of it. Guards against a silent one
            // that looks sound again as soon as nothing is out there.
            DispatchStatus::Cancelled if !o.is_answered => {
                (o.duration / self.usual[ty].max(1e-6)).min(FAILURE)
            }
            DispatchStatus::Cancelled | DispatchStatus::NeverSent | DispatchStatus::Miss => return,
        };
        self.fleet.remember(x, now, sample, JUDGED);
        if matches!(
            o.status,
            DispatchStatus::Reset | DispatchStatus::ConnectFailed
        ) {
            self.distrust(x);
        } else if sample >= SUSPECT || self.fleet.suspect[x] {
            self.judge();
        }
    }

    /// The limit goes by the median answer time: a heavy invocation or one behind a load says nothing of the
    /// crowd. One cut for what was sent since the last. Guards against overload, whatever its cause; it could
    /// harm where work is long by nature.
    fn gauge(&mut self, time: f64, sent_at: f64) {
        self.typical *= if time > self.typical {
            TYPICAL_STEP
        } else {
            1.0 / TYPICAL_STEP
        };
        if self.typical <= TYPICAL_MOST {
            self.limit *= (LIMIT_GROWTH * (self.now - self.limit_at))
                .exp()
                .min(LIMIT_MOST / self.limit);
        } else if sent_at > self.cut_at {
            self.limit = (self.limit * LIMIT_CUT).max(LIMIT_LEAST / self.policy.front_ends);
            self.cut_at = self.now;
        }
        self.limit_at = self.now;
    }

    /// An executor that broke off or took no connection is suspect at once, whatever the roster says. What
    /// answers next may have just started: guards against all front ends pushing it over untold.
    pub(super) fn distrust(&mut self, x: usize) {
        self.fleet.note_broken(x, self.now, FAILED, LEAST_JUDGED);
        // Where two in a location broke and none of it was heard since, the rest of it is as doubtful.
        let first = self.fleet.first_broken_in_zone(x, self.now, BROKEN_FOR);
        if first < self.now && !self.fleet.zone_heard_after(x, first) {
            self.fleet.note_zone_broken(x, self.now);
        }
        self.fleet.trial_at[x] = self.now + DISTRUST;
        self.judge();
    }

    /// Judges each executor by a high quantile of its answer times against its fellows'. What is out there
    /// counts with its age. Guards against executors that hang, fail fast or have become slow.
    pub(super) fn judge(&mut self) {
        let now = self.now;
        self.fleet.retain_judged(now);
        let usual = |i: usize| self.usual[self.book.invs[i].ty].max(1e-6);
        let high = |x: usize| {
            let ages = self
                .fleet
                .unheard(x)
                .map(|(i, at)| (now - at) / usual(i))
                .filter(|&age| age > SUSPECT);
            let times: Vec<f64> = self.fleet.answers_at(x, now).chain(ages).collect();
            if times.len() < LEAST_JUDGED {
                None
            } else {
                quantile(times, HIGH_QUANTILE)
            }
        };
        let judged = self.fleet.judged.iter();
        let quantiles: Vec<(usize, f64)> = judged.filter_map(|&x| Some((x, high(x)?))).collect();
        let of_ready = quantiles
            .iter()
            .filter(|q| self.fleet.ready[q.0])
            .map(|q| q.1)
            .collect();
        let middle = quantile(of_ready, MIDDLE).unwrap_or(1.0);
        let far = quantiles
            .iter()
            .filter(|q| q.1 > SUSPECT * middle.max(1.0))
            .map(|q| q.0);
        let has_fellow = |x: &usize| self.fleet.ready_count > usize::from(self.fleet.ready[*x]);
        self.fleet.set_suspects(far.filter(has_fellow).collect());
    }
}
