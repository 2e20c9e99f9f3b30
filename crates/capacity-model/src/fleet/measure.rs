//! What is counted: final answers of calls, cold starts, loads, herds and crossings.

use super::assumptions::OBJECTIVE;
use std::collections::VecDeque;
use std::ops::Range;

/// Span over which requests and loads count together as a herd, in seconds: as in `orchidtally_invariants::spread`.
const HERD_TIME: f64 = 0.25;
/// A herd of calls is over the fair part by so many roots of it, and by as many more: likewise.
const HERD_OVER: f64 = 4.0;
/// A herd of loads: so many front ends have one function loaded within the span.
const LOAD_HERD: usize = 3;

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    Succeeded,
    Throttled,
    Errored,
    /// The front end had as many calls open as it may have.
    Refused,
    /// Its front end went down.
    FrontEndLost,
}

/// Calls and their final answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Calls that arrived.
    pub arrived: u64,
    /// Calls that succeeded.
    pub succeeded: u64,
    /// Succeeded within the latency objective.
    pub in_time: u64,
    /// Calls that were rejected with a Retry-After.
    pub throttled: u64,
    /// Calls that failed.
    pub errored: u64,
    /// Calls that a front end did not admit because it had too many open.
    pub refused: u64,
    /// Calls whose front end went down.
    pub front_end_lost: u64,
}

impl Tally {
    fn enter(&mut self, answer: FinalAnswer, took: f64) {
        match answer {
            FinalAnswer::Succeeded => {
                self.succeeded += 1;
                self.in_time += u64::from(took <= OBJECTIVE);
            }
            FinalAnswer::Throttled => self.throttled += 1,
            FinalAnswer::Errored => self.errored += 1,
            FinalAnswer::Refused => self.refused += 1,
            FinalAnswer::FrontEndLost => self.front_end_lost += 1,
        }
    }

    /// Calls with a final answer.
    pub fn answered(&self) -> u64 {
        self.succeeded + self.throttled + self.errored + self.refused + self.front_end_lost
    }

    /// A part of the calls that arrived; not a number where there were none.
    pub fn share(&self, part: u64) -> f64 {
        part as f64 / self.arrived as f64
    }
}

/// Detects when more requests come to one executor than chance explains.
#[derive(Default)]
struct CallHerds {
    all: VecDeque<f64>,
    of_executor: Vec<(VecDeque<f64>, f64)>,
}

fn push_recent(recent: &mut VecDeque<f64>, now: f64) -> f64 {
    recent.push_back(now);
    while recent.front().is_some_and(|&at| at <= now - HERD_TIME) {
        recent.pop_front();
    }
    recent.len() as f64
}

impl CallHerds {
    /// Whether a herd begins with this request; a herd that continues is counted once.
    fn enter(&mut self, executor: usize, now: f64, executors_up: usize) -> bool {
        let fair = push_recent(&mut self.all, now) / executors_up.max(1) as f64;
        let (recent, until) = &mut self.of_executor[executor];
        let is_herd = push_recent(recent, now) > fair + HERD_OVER * fair.sqrt() + HERD_OVER;
        let is_new = is_herd && now > *until;
        if is_herd {
            *until = now + HERD_TIME;
        }
        is_new
    }
}

/// Detects when several front ends have the same function loaded at the same time.
#[derive(Default)]
struct LoadHerds(Vec<(VecDeque<(f64, u16)>, f64)>);

impl LoadHerds {
    fn enter(&mut self, function: u32, front_end: u16, now: f64) -> bool {
        let (recent, until) = &mut self.0[function as usize];
        recent.push_back((now, front_end));
        while recent.front().is_some_and(|&(at, _)| at <= now - HERD_TIME) {
            recent.pop_front();
        }
        let mut front_ends: Vec<u16> = recent.iter().map(|&(_, front_end)| front_end).collect();
        front_ends.sort_unstable();
        front_ends.dedup();
        let is_herd = front_ends.len() >= LOAD_HERD;
        let is_new = is_herd && now > *until;
        if is_herd {
            *until = now + HERD_TIME;
        }
        is_new
    }
}

/// The region that is cut off, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct CutWindow {
    pub region: u8,
    pub during: Range<f64>,
}

/// Counts all of one run. Calls count by when they came, all else by when it happens.
pub struct Ledger {
    window: Range<f64>,
    cut: Option<CutWindow>,
    pub all: Tally,
    /// Calls at the front ends of the region that is cut off, while it is.
    pub cut_off: Tally,
    /// Of these the ones in its second half, when what the front ends know has settled.
    pub cut_off_settled: Tally,
    /// Calls at all others meanwhile.
    pub not_cut_off: Tally,
    /// How often each call was begun, by its number.
    begun: Vec<u8>,
    /// Calls of functions that are not idempotent and were begun more than once.
    pub ran_twice: u64,
    /// Final answers to calls that had theirs already.
    pub answered_twice: u64,
    /// Calls that were begun.
    pub calls_begun: u64,
    /// From arrival to beginning, for calls served by a copy that was not loaded when they came.
    pub cold_starts: Vec<f64>,
    pub dispatches: u64,
    pub crossing: u64,
    /// Requests that executors rejected as 'full', with and without memory for the copy.
    pub rejected: u64,
    pub loads: u64,
    pub loads_beyond_need: u64,
    pub call_herd_count: u64,
    pub load_herd_count: u64,
    call_herds: CallHerds,
    load_herds: LoadHerds,
}

impl Ledger {
    pub fn new(
        window: Range<f64>,
        cut: Option<CutWindow>,
        executors: usize,
        functions: usize,
    ) -> Ledger {
        let mut call_herds = CallHerds::default();
        call_herds
            .of_executor
            .resize(executors, (VecDeque::new(), f64::NEG_INFINITY));
        let load_herds = LoadHerds(vec![(VecDeque::new(), f64::NEG_INFINITY); functions]);
        Ledger {
            window,
            cut,
            all: Tally::default(),
            cut_off: Tally::default(),
            cut_off_settled: Tally::default(),
            not_cut_off: Tally::default(),
            begun: vec![],
            ran_twice: 0,
            answered_twice: 0,
            calls_begun: 0,
            cold_starts: vec![],
            dispatches: 0,
            crossing: 0,
            rejected: 0,
            loads: 0,
            loads_beyond_need: 0,
            call_herd_count: 0,
            load_herd_count: 0,
            call_herds,
            load_herds,
        }
    }

    /// Seconds that are measured.
    pub fn length(&self) -> f64 {
        self.window.end - self.window.start
    }

    pub fn is_measured(&self, at: f64) -> bool {
        self.window.contains(&at)
    }

    fn tallies(&mut self, came: f64, region: u8) -> impl Iterator<Item = &mut Tally> {
        let is_measured = self.window.contains(&came);
        let cut = self.cut.as_ref().filter(|cut| cut.during.contains(&came));
        let is_cut_off = cut.is_some_and(|cut| cut.region == region);
        let is_settled = cut.is_some_and(|cut| came - cut.during.start >= cut.during.end - came);
        let tallies = [
            (is_measured, &mut self.all),
            (is_cut_off, &mut self.cut_off),
            (is_cut_off && is_settled, &mut self.cut_off_settled),
            (cut.is_some() && !is_cut_off, &mut self.not_cut_off),
        ];
        tallies
            .into_iter()
            .filter_map(|(counts, tally)| counts.then_some(tally))
    }

    /// Counts a call that has arrived, and returns its number.
    pub fn record_arrival(&mut self, came: f64, region: u8) -> u32 {
        self.tallies(came, region)
            .for_each(|tally| tally.arrived += 1);
        self.begun.push(0);
        self.begun.len() as u32 - 1
    }

    pub fn answered(&mut self, now: f64, came: f64, region: u8, answer: FinalAnswer) {
        self.tallies(came, region)
            .for_each(|tally| tally.enter(answer, now - came));
    }

    /// An executor begins a call, on a copy that was loaded at `loaded_at`.
    pub fn begins(&mut self, now: f64, call: u32, came: f64, loaded_at: f64, is_idempotent: bool) {
        let begun = &mut self.begun[call as usize];
        *begun = begun.saturating_add(1);
        if *begun > 1 {
            self.ran_twice += u64::from(*begun == 2 && !is_idempotent);
            return;
        }
        if self.window.contains(&came) {
            self.calls_begun += 1;
            if loaded_at > came {
                self.cold_starts.push(now - came);
            }
        }
    }

    pub fn dispatched(&mut self, now: f64, crosses: bool) {
        if self.is_measured(now) {
            self.dispatches += 1;
            self.crossing += u64::from(crosses);
        }
    }

    pub fn record_rejection(&mut self, now: f64) {
        self.rejected += u64::from(self.is_measured(now));
    }

    /// A request reaches an executor that takes it.
    pub fn reached(&mut self, now: f64, executor: usize, executors_up: usize) {
        let is_new = self.call_herds.enter(executor, now, executors_up);
        self.call_herd_count += u64::from(is_new && self.is_measured(now));
    }

    /// An executor begins to load a copy for a front end.
    pub fn loads(&mut self, now: f64, function: u32, front_end: u16, is_beyond_need: bool) {
        let is_new = self.load_herds.enter(function, front_end, now);
        if self.is_measured(now) {
            self.loads += 1;
            self.loads_beyond_need += u64::from(is_beyond_need);
            self.load_herd_count += u64::from(is_new);
        }
    }
}
