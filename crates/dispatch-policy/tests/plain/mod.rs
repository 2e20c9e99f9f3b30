//! A slow, plain model of the five rules. It hears every answer of the module and judges each on its own.

// Each program of tests uses a part.
#![allow(dead_code)]

pub mod given;
pub mod warm;

use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;

pub use given::*;

#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    Dispatch(u32, usize),
    Throttle(u32),
    Error(u32),
    Cancel(u32, u8),
    Hold(usize, u64),
}

pub struct Sent {
    pub x: usize,
    /// Of the executor at that time.
    pub cell: u16,
    pub at: f64,
    pub ending: Option<DispatchStatus>,
}

pub struct Taken {
    pub inv: Invocation,
    pub sent: Vec<Sent>,
    pub closed_at: Option<f64>,
}

pub struct Executor {
    pub ready: bool,
    pub since: f64,
    pub zone: u8,
    pub cell: u16,
    pub oks: u32,
}

/// The rules' bookkeeping, kept without any help of the module's.
pub struct Plain {
    pub policy: PolicyConfig,
    pub now: f64,
    pub fleet: Vec<Executor>,
    pub taken: Vec<Taken>,
    pub holds: Vec<(f64, usize, u64, bool)>,
    pub arrivals: Vec<f64>,
    pub wakes: Vec<f64>,
    pub said: Vec<Said>,
}

impl Plain {
    fn open(&self, inv: u32) -> &Taken {
        let taken = self
            .taken
            .iter()
            .find(|t| t.inv.id == inv)
            .expect("an answer to an invocation never taken");
        assert!(
            taken.closed_at.is_none(),
            "rule 1: {inv} had its final answer"
        );
        taken
    }

    fn close(&mut self, inv: u32) {
        let now = self.now;
        self.taken
            .iter_mut()
            .find(|t| t.inv.id == inv)
            .unwrap()
            .closed_at = Some(now);
    }

    fn may_have_run(sent: &Sent) -> bool {
        sent.ending.is_none_or(|e| !e.never_ran())
    }

    fn warm_part(&self, x: usize) -> f64 {
        let age = (self.now - self.fleet[x].since) / self.policy.slow_start_duration;
        (self.policy.slow_start_initial_weight
            + (1.0 - self.policy.slow_start_initial_weight) * age)
            .min(1.0)
    }

    fn judge_dispatch(&self, inv: u32, x: usize) {
        let taken = self.open(inv);
        let ty = &self.policy.trigger_types[taken.inv.trigger_type];
        let out = taken.sent.iter().filter(|s| s.ending.is_none()).count();
        assert!(
            out == 0 || self.policy.allows_hedging,
            "rule 2: two dispatches of {inv} out"
        );
        assert!(
            taken.sent.len() < usize::from(self.policy.max_dispatches),
            "the dispatch limit"
        );
        if let Some(first) = taken.sent.iter().find(|s| Self::may_have_run(s)) {
            match ty.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("rule 2: {inv} may have run and was dispatched again")
                }
                Idempotency::Keyed => {
                    assert_eq!(first.cell, self.fleet[x].cell, "rule 2: outside the group");
                    assert!(
                        self.now <= first.at + ty.deduplication_window,
                        "rule 2: past the window"
                    );
                }
            }
        }
        assert!(
            self.fleet[x].ready,
            "rule 3: a dispatch to an executor told draining or gone"
        );
        let part = self.warm_part(x);
        if part < 1.0 {
            // All invocations here weigh the same, so counts will do. No fellow carried more than all the
            // answers there were, over the shortest time in which a rate is taken; a turn is one more.
            let oks: u32 = self.fleet.iter().map(|e| e.oks).sum();
            let budget =
                self.policy.overload_factor * part * self.policy.overload_window * f64::from(oks)
                    + 1.0;
            let all = self.taken.iter().flat_map(|t| &t.sent);
            let sent = 1 + all
                .filter(|s| s.x == x && s.at > self.now - self.policy.overload_window)
                .count();
            assert!(
                sent as f64 <= budget,
                "rule 4: {sent} sent to a cold executor, {budget} granted"
            );
        }
    }
}

impl Actions for Plain {
    fn dispatch(&mut self, inv: u32, to: ExecutorId, time_out: f64) {
        let x = number(to);
        self.judge_dispatch(inv, x);
        let (now, cell) = (self.now, self.fleet[x].cell);
        let taken = self.taken.iter_mut().find(|t| t.inv.id == inv).unwrap();
        assert!(
            time_out > 0.0 && now + time_out <= taken.inv.timeout_at + 1e-6,
            "a time-out past the client's"
        );
        taken.sent.push(Sent {
            x,
            cell,
            at: now,
            ending: None,
        });
        self.said.push(Said::Dispatch(inv, x));
    }
    fn reject(&mut self, inv: u32, retry_after: f64, _past_share: bool) {
        let taken = self.open(inv);
        let ty = &self.policy.trigger_types[taken.inv.trigger_type];
        let harmless = ty.idempotency == Idempotency::Idempotent
            || ty.idempotency == Idempotency::Keyed
                && ty.deduplication_scope == DeduplicationScope::All
            || !taken.sent.iter().any(Self::may_have_run);
        assert!(harmless, "rule 2: {inv} may have run and was throttled");
        assert!((0.0..=self.policy.max_retry_after).contains(&retry_after));
        self.close(inv);
        self.said.push(Said::Throttle(inv));
    }
    fn fail(&mut self, inv: u32) {
        self.open(inv);
        self.close(inv);
        self.said.push(Said::Error(inv));
    }
    fn cancel(&mut self, inv: u32, dispatch: u8) {
        let taken = self.taken.iter().find(|t| t.inv.id == inv).unwrap();
        assert!(
            usize::from(dispatch) < taken.sent.len(),
            "a cancel of a dispatch never made"
        );
        self.said.push(Said::Cancel(inv, dispatch));
    }
    fn load(&mut self, to: ExecutorId, function: u64, copies: u8) {
        let x = number(to);
        assert!(
            self.fleet[x].ready,
            "rule 3: an order to an executor told draining or gone"
        );
        let window = self.policy.load_budget_window;
        if copies > 0 && window > 0.0 {
            let recent = |at: f64| at > self.now - window;
            let orders = 1 + self.holds.iter().filter(|h| recent(h.0)).count();
            let taken = self.arrivals.iter().filter(|&&at| recent(at)).count();
            let most =
                self.policy.load_budget_floor + self.policy.load_budget_fraction * taken as f64;
            assert!(
                orders as f64 <= most,
                "rule 5: {orders} orders, {most} granted"
            );
        }
        self.holds.push((self.now, x, function, true));
        self.said.push(Said::Hold(x, function));
    }
    fn set_timer(&mut self, delay: f64, _mark: u64) {
        self.wakes.push(self.now + delay);
    }
    fn query_replicas(&mut self, _to: ExecutorId, _function: u64) {}
    fn unload(&mut self, _to: ExecutorId, _function: u64) {}
    fn health_check(&mut self, _to: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}

/// A front end with its fleet, to which things happen one by one.
pub struct World {
    pub dispatcher: Dispatcher,
    pub plain: Plain,
    /// What executors tell to hold of each function.
    pub crowd: u32,
    /// What they report with each answer.
    pub report: Vec<f32>,
    /// How long answers take. A quarter of the objective leaves the usual time as it was at the start.
    pub took: f64,
}

impl World {
    pub fn new(policy: PolicyConfig, executors: usize) -> World {
        World::new_at(policy, executors, 100.0)
    }

    /// One that starts at a moment.
    pub fn new_at(policy: PolicyConfig, executors: usize, now: f64) -> World {
        World::in_zones_at(policy, &vec![0; executors], now)
    }

    /// One whose executors stand in these zones.
    pub fn in_zones(policy: PolicyConfig, zones: &[u8]) -> World {
        World::in_zones_at(policy, zones, 100.0)
    }

    fn in_zones_at(policy: PolicyConfig, zones: &[u8], now: f64) -> World {
        let since = f64::NEG_INFINITY;
        let executor = |(x, &zone): (usize, &u8)| Executor {
            ready: false,
            since,
            zone,
            cell: x as u16 / 2,
            oks: 0,
        };
        let fleet = zones.iter().enumerate().map(executor).collect();
        let mut plain = Plain {
            policy: policy.clone(),
            now,
            fleet,
            taken: vec![],
            holds: vec![],
            arrivals: vec![],
            wakes: vec![],
            said: vec![],
        };
        let dispatcher = Dispatcher::new(policy, 7, now, &mut plain);
        let mut world = World {
            dispatcher,
            plain,
            crowd: 0,
            report: vec![],
            took: 0.25,
        };
        for x in 0..zones.len() {
            world.roster(x, EndpointState::Ready, f64::NEG_INFINITY);
        }
        world
    }

    pub fn roster(&mut self, x: usize, standing: EndpointState, since: f64) {
        let e = &mut self.plain.fleet[x];
        (e.ready, e.since) = (standing == EndpointState::Ready, since.max(e.since));
        let row = Endpoint {
            zone: e.zone,
            cell: e.cell,
            state: standing,
            started_at: since,
            ..row(x)
        };
        self.dispatcher.on_endpoint_update(
            self.plain.now,
            EndpointUpdateKind::Delta,
            &[row],
            &mut self.plain,
        );
    }

    pub fn invoke(&mut self, trigger_type: usize, function: u64, within: f64) -> u32 {
        let (id, now) = (self.plain.taken.len() as u32, self.plain.now);
        let inv = Invocation {
            id,
            trigger_type,
            function,
            ..invocation(now + within)
        };
        self.plain.arrivals.push(now);
        self.plain.taken.push(Taken {
            inv: inv.clone(),
            sent: vec![],
            closed_at: None,
        });
        self.dispatcher.on_invocation(now, &inv, &mut self.plain);
        id
    }

    /// The client takes an invocation back; it counts for no order from then on.
    pub fn withdraw(&mut self, inv: u32) {
        let (now, at) = (
            self.plain.now,
            self.plain.taken[inv as usize].inv.timeout_at,
        );
        self.plain.taken[inv as usize].closed_at = Some(now.min(at));
        self.plain.arrivals.pop();
        self.dispatcher.on_client_cancel(now, inv, &mut self.plain);
    }

    /// Wishes for copies ahead of invocations; tells how many are known.
    pub fn ahead(&mut self, function: u64, copies: usize) -> usize {
        let wish = PrewarmRequest {
            function,
            concurrency: 2.0,
            load_time: Some(1.0),
            replicas: copies,
        };
        self.dispatcher
            .prewarm(self.plain.now, &wish, &mut self.plain)
    }

    pub fn end(&mut self, inv: u32, dispatch: usize, ending: DispatchStatus) {
        let taken = &mut self.plain.taken[inv as usize];
        let sent = &mut taken.sent[dispatch];
        if sent.ending.replace(ending).is_some() {
            return;
        }
        let x = sent.x;
        if ending == DispatchStatus::Ok {
            self.plain.fleet[x].oks += 1;
            taken.closed_at.get_or_insert(self.plain.now);
        }
        let closed = taken.closed_at.is_some();
        let (dispatch, executor) = (dispatch as u8, id(x));
        let (took, crowd, report) = (self.took, self.crowd, &self.report[..]);
        let o = DispatchResult {
            invocation: inv,
            dispatch,
            executor,
            status: ending,
            duration: took,
            is_answered: closed,
            function_concurrency: crowd,
            load_report: report,
            ..succeeded()
        };
        self.dispatcher
            .on_dispatch_result(self.plain.now, &o, &mut self.plain);
    }

    pub fn answer_hold(&mut self, n: usize, ending: DispatchStatus) {
        let (_, x, function, open) = self.plain.holds[n];
        if open {
            self.plain.holds[n].3 = false;
            self.dispatcher.on_load_result(
                self.plain.now,
                id(x),
                function,
                ending,
                &mut self.plain,
            );
        }
    }

    /// Answers every order that is out.
    pub fn load_all(&mut self, ending: DispatchStatus) {
        (0..self.plain.holds.len()).for_each(|n| self.answer_hold(n, ending));
    }

    /// Lets time pass; timers ring, and dispatches end with their client's patience.
    pub fn pass(&mut self, seconds: f64) {
        let until = self.plain.now + seconds;
        loop {
            let due = |t: &Taken| {
                t.sent
                    .iter()
                    .position(|s| s.ending.is_none())
                    .map(|n| (t.inv.id, n, t.inv.timeout_at))
            };
            let wake = self
                .plain
                .wakes
                .iter()
                .copied()
                .fold(f64::INFINITY, f64::min);
            let out = self
                .plain
                .taken
                .iter()
                .filter_map(due)
                .min_by(|a, b| a.2.total_cmp(&b.2));
            match out {
                Some((inv, n, at)) if at <= wake && at <= until => {
                    self.plain.now = at.max(self.plain.now);
                    self.end(inv, n, DispatchStatus::TimedOut);
                }
                _ if wake <= until => {
                    self.plain.now = wake;
                    self.plain.wakes.retain(|&w| w > wake);
                    self.dispatcher.on_timer(wake, 0, &mut self.plain);
                }
                _ => break,
            }
        }
        self.plain.now = until;
    }

    pub fn sent_to(&self, x: usize) -> usize {
        self.plain
            .taken
            .iter()
            .flat_map(|t| &t.sent)
            .filter(|s| s.x == x)
            .count()
    }

    /// Every invocation taken has had its final answer in time.
    pub fn all_answered(&mut self) {
        self.pass(6.0);
        for t in &self.plain.taken {
            let at = t
                .closed_at
                .unwrap_or_else(|| panic!("rule 1: {} was never answered", t.inv.id));
            assert!(
                at <= t.inv.timeout_at + 0.008 || at <= t.inv.timeout_at.max(100.0) + 0.008,
                "rule 1: {} late",
                t.inv.id
            );
        }
    }
}
