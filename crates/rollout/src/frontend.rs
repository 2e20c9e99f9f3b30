//! A front end's part: which version an invocation gets, what it came to, which copies to have loaded ahead, and
//! what to do while no coordinator is to be reached. It takes a step no sooner than a copy of the new version is
//! known here, goes back at once, and never advances by itself.

use crate::evidence::{Arm, Cell, Delta, Gathered, Tracked};
use crate::plan::{Gate, Key};
use crate::reckoning::copies_for;
use crate::sequential::Tests;
use crate::split::{self, Who};
use crate::state::{Epoch, Phase, Published, Rollout};
use orchidtally_deployment::{Function, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Without a word from a coordinator for so long a front end is by itself.
const BY_ITSELF: f64 = 3.0;
/// Troubles of one key that count as evidence in a step: one customer's own trouble must not decide.
const VOTES: u8 = 3;
const MOST_KEYS: usize = 100_000;
/// Failures of this many others at one executor lately make it the executor's trouble; how long that is looked back,
/// and how many executors are.
const OTHERS: usize = 2;
const LATELY: f64 = 5.0;
const MOST_EXECUTORS: usize = 10_000;
/// Weight of the newest second in the rate of a function.
const RATE_NEWEST: f64 = 0.2;
/// Copies of the old version are renewed this often, as parts of the time that an idle copy stays.
const RENEWED: f64 = 0.4;
/// Loads are no invocation's, so they have a cell of their own in each location.
const LOADS: u16 = u16::MAX;

/// What a front end tells a coordinator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Told {
    /// Drawn at its start, and which of the deployment's it is.
    pub front_end: u64,
    pub index: u32,
    /// Grows with each telling; one that is told again counts once.
    pub round: u64,
    /// The newest that it has heard of.
    pub epoch: Epoch,
    pub deltas: Vec<Delta>,
}

/// To what an invocation was resolved.
#[derive(Clone, Debug)]
pub struct Resolved {
    pub version: Version,
    /// Set where a rollout split it.
    pub invoked: Option<Invoked>,
}

/// An invocation that counts as evidence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Invoked {
    pub run: u64,
    pub arm: Arm,
    cell: Cell,
    share: f64,
    /// The hash of its key, where many share one.
    key: Option<u64>,
}

/// What it came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Came {
    /// `took`: the time of the dispatch that brought the answer; `warm`: its copy had been loaded before.
    Succeeded {
        took: f64,
        warm: bool,
    },
    Throttled,
    Errored,
}

/// A copy to have loaded, or kept, ahead of invocations.
#[derive(Clone, Debug)]
pub struct Ahead {
    pub run: u64,
    pub function: String,
    pub version: Version,
    /// Known copies that are wanted; none to see how many are known.
    pub copies: usize,
    /// Whether it is of the version that the rollout goes to.
    pub is_new: bool,
}

/// Whether an invocation of a version that was taken back may go to the old one: where nothing has run, or
/// where running again is harmless. Tokens are remembered by version, so a tokened one may not.
pub fn may_move(is_idempotent: bool, may_have_run: bool) -> bool {
    is_idempotent || !may_have_run
}

#[derive(Debug)]
struct Local {
    rollout: Rollout,
    from: Option<Version>,
    to: Option<Version>,
    /// The step whose share is given.
    given: Option<usize>,
    /// Copies of the new version stand for the step that is published.
    ready: bool,
    gathered: Gathered,
    /// Slots that its own test has not seen yet.
    own: Tests,
    votes: HashMap<u64, u8>,
    /// Broken connections and time-outs by executor, that counted in this step.
    broke: HashMap<u64, u8>,
    slow: BTreeMap<u16, [Tracked; 2]>,
    digest_mismatches: u64,
    took_back: Option<String>,
    taken: u64,
    rate_from: f64,
    /// Invocations of the function a second here, lately.
    rate: f64,
    /// Copies of the new version that the step needs.
    wanted: usize,
    next_load_at: f64,
    next_renewal_at: f64,
}

impl Local {
    fn is_given(&self) -> Option<usize> {
        if self.took_back.is_some() { None } else { self.given }
    }
}

/// How this front end stands among the others.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub index: u32,
    pub count: u32,
    pub location: u16,
    /// Whether copies are brought by orders to load; else the first invocations bring them.
    pub orders: bool,
    /// How long an idle copy stays.
    pub keep_alive: f64,
}

/// What a front end knows of all rollouts.
#[derive(Debug)]
pub struct Shares {
    place: Place,
    published: Published,
    newest: Epoch,
    /// By function.
    locals: HashMap<String, Local>,
    /// The coordinators last heard.
    heard_at: f64,
    looked_at: f64,
    round: u64,
    waiting: Vec<Delta>,
    /// By executor: when dispatches failed lately, and of which versions.
    failing: HashMap<u64, VecDeque<(f64, u64)>>,
}

impl Shares {
    pub fn new(place: Place, now: f64) -> Shares {
        Shares {
            place,
            published: Published::default(),
            newest: Epoch::default(),
            locals: HashMap::new(),
            heard_at: now,
            looked_at: now,
            round: 0,
            waiting: vec![],
            failing: HashMap::new(),
        }
    }

    pub fn published(&self) -> &Published {
        &self.published
    }

    /// The sticky key that the rollout of a function goes by, if one is on.
    pub fn key(&self, function: &str) -> Option<&Key> {
        self.locals.get(function).filter(|l| !l.rollout.phase.is_over()).map(|l| &l.rollout.plan.key)
    }

    /// Takes what a coordinator published, unless it is older than what is known. Gives the runs that were taken
    /// back by it. `find` knows the functions of the deployment file.
    pub fn adopt(
        &mut self,
        now: f64,
        published: Published,
        find: impl Fn(&str) -> Option<Function>,
    ) -> Vec<u64> {
        self.heard_at = now;
        self.newest = self.newest.max(published.epoch);
        if !published.is_newer_than(&self.published) {
            return vec![];
        }
        let mut back = vec![];
        for rollout in published.rollouts.values() {
            let function = &rollout.plan.function;
            // Of several rollouts of one function the one that is on counts, else the last that was.
            let rival = published
                .rollouts
                .values()
                .any(|r| r.plan.function == *function && !r.phase.is_over() && r.run != rollout.run);
            if rollout.phase.is_over() && rival {
                continue;
            }
            let before = self.locals.get(function);
            if before.is_some_and(|l| l.rollout == *rollout) {
                continue;
            }
            let same = before.is_some_and(|l| l.rollout.run == rollout.run);
            if !same {
                back.extend(before.filter(|l| l.is_given().is_some()).map(|l| l.rollout.run));
                if rollout.phase.is_over() && before.is_none_or(|l| !l.rollout.phase.is_over()) {
                    self.locals.remove(function);
                }
                let found = find(function);
                let version = |digest: &str| found.as_ref().and_then(|f| f.version(digest).cloned());
                let local = Local {
                    from: version(&rollout.from),
                    to: version(&rollout.to),
                    rollout: rollout.clone(),
                    given: None,
                    ready: false,
                    gathered: Gathered::default(),
                    own: Tests::default(),
                    votes: HashMap::new(),
                    broke: HashMap::new(),
                    slow: BTreeMap::new(),
                    digest_mismatches: 0,
                    took_back: None,
                    taken: 0,
                    rate_from: now,
                    rate: 0.0,
                    wanted: 1,
                    next_load_at: now,
                    next_renewal_at: now,
                };
                self.locals.insert(function.clone(), local);
            }
            let place = self.place;
            let Some(local) = self.locals.get_mut(function) else { continue };
            let (was, is) = (local.rollout.split_at(), rollout.split_at());
            local.rollout = rollout.clone();
            if is != was || !same {
                local.ready = false;
                local.votes.clear();
                local.broke.clear();
                // Front ends load by turns.
                local.next_load_at = now + f64::from(place.index) / rollout.plan.loads_per_second;
            }
            match is {
                None => {
                    if local.given.take().is_some() {
                        back.push(rollout.run);
                    }
                }
                // Back to an earlier step at once, to a later one when it is ready.
                Some(step) => local.given = local.given.map(|g| g.min(step)),
            }
        }
        let kept = |l: &Local| published.rollouts.values().any(|r| r.run == l.rollout.run);
        self.locals.retain(|_, l| kept(l));
        self.published = published;
        back
    }

    /// An epoch that was heard of otherwise.
    pub fn heard_of(&mut self, epoch: Epoch) {
        self.newest = self.newest.max(epoch);
    }

    /// The digest that an alias names now, where it has moved since the deployment file.
    pub fn alias(&self, function: &str, alias: &str) -> Option<&str> {
        self.published.aliases.get(function)?.get(alias).map(String::as_str)
    }

    /// The version that an invocation gets, once, when it is taken. `asked`: an alias or digest that it names.
    pub fn resolve(
        &mut self,
        function: &Function,
        asked: Option<&str>,
        trigger_type: usize,
        customer: usize,
        who: &Who,
    ) -> Option<Resolved> {
        let alias = asked.unwrap_or("stable");
        let named = self.published.aliases.get(&*function.name).and_then(|a| a.get(alias));
        let named = named.and_then(|digest| function.version(digest));
        let plain = named.or_else(|| function.version(alias));
        let Some(local) = self.locals.get_mut(&*function.name) else {
            return plain.map(|v| Resolved { version: v.clone(), invoked: None });
        };
        local.taken += 1;
        let plan = &local.rollout.plan;
        let on = !local.rollout.phase.is_over() && plan.alias == alias;
        let (Some(step), Some(from), Some(to), true) = (local.is_given(), &local.from, &local.to, on) else {
            return plain.map(|v| Resolved { version: v.clone(), invoked: None });
        };
        let share = split::share(plan, step, who);
        let arm = if split::place(local.rollout.run, who.key) < share { Arm::New } else { Arm::Old };
        let cell = Cell {
            trigger_type: trigger_type.min(usize::from(LOADS) - 1) as u16,
            customer: customer.min(usize::from(LOADS) - 1) as u16,
            location: self.place.location,
        };
        let key = plan.key.is_shared().then(|| xxhash_rust::xxh3::xxh3_64(who.key.as_bytes()));
        let invoked = Invoked { run: local.rollout.run, arm, cell, share, key };
        let version = if arm == Arm::New { to } else { from };
        Some(Resolved { version: version.clone(), invoked: Some(invoked) })
    }

    fn local_of(&mut self, run: u64) -> Option<&mut Local> {
        self.locals.values_mut().find(|l| l.rollout.run == run)
    }

    /// The version that a rollout came from, where it gives nothing to the new one any more.
    pub fn goes_back_to(&self, run: u64) -> Option<Version> {
        let local = self.locals.values().find(|l| l.rollout.run == run)?;
        let back = local.rollout.phase == Phase::TakenBack || local.took_back.is_some();
        local.from.clone().filter(|_| back)
    }

    /// A dispatch of a version failed at an executor, by its answer or, where it `broke`, by a reset or time-out.
    /// Tells whether that counts against the version. Guards a version whose few copies stand at a bad executor:
    /// where others fail there too it is the executor's trouble, and what breaks off counts a few times for each.
    pub fn dispatch_failed(&mut self, now: f64, executor: u64, key: u64, broke: bool) -> bool {
        if self.failing.len() >= MOST_EXECUTORS && !self.failing.contains_key(&executor) {
            self.failing.clear();
        }
        let failing = self.failing.entry(executor).or_default();
        failing.retain(|f| now - f.0 < LATELY);
        let others = failing.iter().filter(|f| f.1 != key).count();
        if failing.len() >= 32 {
            failing.pop_front();
        }
        failing.push_back((now, key));
        let is_of = |v: &Option<Version>| v.as_ref().is_some_and(|v| v.key == key);
        let Some(local) = self.locals.values_mut().find(|l| is_of(&l.from) || is_of(&l.to)) else {
            return false;
        };
        if others >= OTHERS {
            return false;
        }
        if broke {
            let votes = local.broke.entry(executor).or_default();
            *votes = votes.saturating_add(1);
            return *votes <= VOTES;
        }
        true
    }

    /// The final answer of an invocation; `failed`: a dispatch of it failed in a way that counts. One that was
    /// asked again and succeeded shows what the version is like all the same.
    pub fn came(&mut self, invoked: &Invoked, came: Came, failed: bool) {
        let Some(local) = self.local_of(invoked.run) else { return };
        let plan = local.rollout.plan.clone();
        let ratio = |gate| plan.gate(gate).map(|h| h.ratio);
        let mut events = [None; 2];
        let failure = failed.then_some(Gate::Errors);
        match came {
            Came::Errored => {}
            Came::Throttled => events[0] = Some(Gate::Throttled),
            Came::Succeeded { took, warm: true } => {
                let slow = local.slow.entry(invoked.cell.trigger_type).or_default();
                for (n, (gate, quantile)) in
                    [(Gate::Slow, 0.9), (Gate::SlowTail, 0.99)].into_iter().enumerate()
                {
                    let allowed = if invoked.arm == Arm::New { ratio(gate).unwrap_or(1.0) } else { 1.0 };
                    let known = slow[n].known();
                    events[n] = known.filter(|q| took > allowed * q).map(|_| gate);
                    if invoked.arm == Arm::Old {
                        slow[n].note(quantile, took);
                    }
                }
                // Until the old version's quantiles are known nothing can be told of either.
                if slow.iter().any(|q| q.known().is_none()) {
                    events = [None; 2];
                }
            }
            Came::Succeeded { warm: false, .. } => {}
        }
        let mut events = [events[0], events[1], failure];
        if let Some(key) = invoked.key.filter(|_| events.iter().any(Option::is_some)) {
            if local.votes.len() >= MOST_KEYS && !local.votes.contains_key(&key) {
                return;
            }
            let votes = local.votes.entry(key).or_default();
            *votes = votes.saturating_add(1);
            if *votes > VOTES {
                events = [None; 3];
            }
        }
        let judged =
            local.slow.get(&invoked.cell.trigger_type).is_some_and(|s| s.iter().all(|q| q.known().is_some()));
        let Some(counts) = local.gathered.at(invoked.cell, invoked.share, invoked.arm) else { return };
        counts.answers += 1;
        counts.warm += u64::from(judged && matches!(came, Came::Succeeded { warm: true, .. }));
        for gate in events.into_iter().flatten() {
            counts.events[gate.index()] += 1;
        }
    }

    /// A load of some version came to its end. For a rollout those of all other versions are the comparison: the
    /// same store gave them.
    pub fn load_ended(&mut self, key: u64, well: bool, digest_differed: bool) {
        let location = self.place.location;
        for local in self.locals.values_mut().filter(|l| !l.rollout.phase.is_over()) {
            let is_new = local.to.as_ref().is_some_and(|v| v.key == key);
            if is_new && digest_differed {
                local.digest_mismatches += 1;
            }
            let cell = Cell { trigger_type: LOADS, customer: LOADS, location };
            let arm = if is_new { Arm::New } else { Arm::Old };
            if let Some(counts) = local.gathered.at(cell, 0.0, arm) {
                counts.loads += 1;
                counts.events[Gate::LoadFailures.index()] += u64::from(!well);
            }
        }
    }

    /// The copies to order now, the most urgent first. One order each; `prepared` says what came of it.
    pub fn ahead(&mut self, now: f64) -> Vec<Ahead> {
        let place = self.place;
        let mut due: Vec<(u32, bool, Ahead)> = vec![];
        for (function, local) in &mut self.locals {
            let plan = &local.rollout.plan;
            if local.rollout.phase.is_over() || local.took_back.is_some() {
                continue;
            }
            let mut want = |is_new: bool, version: &Option<Version>, copies: usize| {
                if let Some(version) = version {
                    let ahead = Ahead {
                        run: local.rollout.run,
                        function: function.clone(),
                        version: version.clone(),
                        copies,
                        is_new,
                    };
                    due.push((plan.priority, is_new, ahead));
                }
            };
            // Each front end has its turn in the pace that all of them keep together.
            let awaited = local.rollout.split_at().is_some() && !local.ready && place.orders;
            if let (true, Some(step), Some(to)) = (awaited, local.rollout.split_at(), &local.to) {
                // Guards a hot function, whose first share fills more than one copy: what the plan states, or what
                // front ends like this one take between them.
                let rate = plan.rate.unwrap_or(0.0).max(local.rate * f64::from(place.count));
                local.wanted = copies_for(rate, plan.steps[step].share, to) as usize;
            }
            if awaited && now >= local.next_load_at {
                local.next_load_at = now + f64::from(place.count) / plan.loads_per_second;
                want(true, &local.to, local.wanted);
            } else if awaited {
                want(true, &local.to, 0);
            }
            // While it could still be taken back, the old version's copies are kept; each front end renews in its
            // turn what all of them draw alike.
            if local.rollout.split_at().is_some() && now >= local.next_renewal_at && place.orders {
                let every = RENEWED * place.keep_alive.max(1.0);
                local.next_renewal_at = now + every;
                let turn = (now / every) as u64 % u64::from(place.count.max(1));
                if turn == u64::from(place.index) {
                    want(false, &local.from, 1);
                }
            }
        }
        due.sort_by(|a, b| (b.0, b.1, &a.2.function).cmp(&(a.0, a.1, &b.2.function)));
        due.into_iter().map(|d| d.2).collect()
    }

    /// How many copies of a version are known here after `ahead`, and whether an order went out. Where the ration
    /// had none to spare the first invocations bring the copy, one placement at a time, in this front end's turn:
    /// guards a rollout against waiting without end where placements take all orders.
    pub fn prepared(&mut self, ahead: &Ahead, known: usize, ordered: bool) {
        if let Some(local) = self.local_of(ahead.run).filter(|_| ahead.is_new) {
            local.ready |= known >= local.wanted || ahead.copies > 0 && !ordered;
        }
    }

    /// What is due by the time: steps that are ready are given, and a front end that is by itself judges by itself.
    /// Gives the runs that it took back. To be called several times a second.
    pub fn turn(&mut self, now: f64) -> Vec<u64> {
        let by_itself = now - self.heard_at > BY_ITSELF;
        let (place, looked) = (self.place, now - self.looked_at >= 1.0);
        if looked {
            self.looked_at = now;
        }
        let mut back = vec![];
        for local in self.locals.values_mut() {
            let ready = local.ready || !place.orders;
            if let (Some(step), true, false) =
                (local.rollout.split_at(), ready && local.to.is_some(), by_itself)
            {
                local.given = Some(step);
            }
            if !looked || local.rollout.phase.is_over() {
                continue;
            }
            // What it has told is in its own test as well.
            let slots = local.gathered.take();
            let plan = local.rollout.plan.clone();
            local.own.note(&plan, now, &slots);
            let threshold = plan.threshold() * f64::from(place.count);
            let fails = |h: &&crate::plan::Hold| h.takes_back && local.own.evidence(h.gate) >= threshold;
            if by_itself && local.is_given().is_some() {
                let failed = plan.gates.iter().find(fails).map(|h| h.gate.name());
                let why = match (failed, local.digest_mismatches) {
                    (Some(gate), _) => Some(format!("'{gate}' is worse by its own evidence")),
                    (None, n) if n > 0 => Some("a load found bytes that the digest doesn't name".into()),
                    _ => None,
                };
                if let Some(why) = why {
                    local.took_back = Some(why);
                    back.push(local.rollout.run);
                }
            }
            let passed = (now - local.rate_from).max(1e-3);
            let delta = Delta {
                run: local.rollout.run,
                slots,
                digest_mismatches: std::mem::take(&mut local.digest_mismatches),
                took_back: local.took_back.clone(),
                ready: ready && local.given == local.rollout.split_at(),
                rate: local.taken as f64 / passed,
            };
            local.rate += RATE_NEWEST * (delta.rate - local.rate);
            (local.taken, local.rate_from) = (0, now);
            self.waiting.push(delta);
        }
        // A coordinator out of reach for long misses the oldest.
        let over = self.waiting.len().saturating_sub(MOST_WAITING);
        self.waiting.drain(..over);
        back
    }

    /// What is to be told, under the number of the next round.
    pub fn tell(&mut self, front_end: u64) -> Told {
        self.round += 1;
        Told {
            front_end,
            index: self.place.index,
            round: self.round,
            epoch: self.newest,
            deltas: std::mem::take(&mut self.waiting),
        }
    }

    /// It could not be told; it goes with the next.
    pub fn not_told(&mut self, told: Told) {
        self.waiting.splice(0..0, told.deltas);
    }
}

/// Deltas that wait for a coordinator at the most.
const MOST_WAITING: usize = 1_000;
