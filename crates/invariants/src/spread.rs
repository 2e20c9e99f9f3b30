//! How evenly dispatches are spread over the executors, from the executors' own records alone: when each was ready and
//! with which concurrency, which dispatches arrived and when they ended, and what was loaded.

use crate::TrafficRecord;
use serde::Serialize;
use std::collections::{HashSet, VecDeque};

/// Seconds within which dispatches to one executor may form a herd.
const HERD_WINDOW: f64 = 0.25;
/// A herd exceeds the fair part of the dispatches by so many roots of it, and as many more.
const HERD_EXCESS: f64 = 4.0;
/// An executor with more dispatches than this, in multiples of its concurrency, has a long queue.
const LONG_QUEUE: f64 = 2.0;

/// What was measured. Shares and ratios are plain numbers; `docs/design/spread.md` defines each.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SpreadReport {
    /// Executors that became ready.
    pub executors: usize,
    /// Dispatches that arrived.
    pub dispatches: u64,
    /// Herds: many more dispatches to one executor than its fair part, within a short time.
    pub herds: u64,
    /// When the last herd was.
    #[serde(skip)]
    pub last_herd: Option<f64>,
    /// Of the seconds that executors were ready, those of an idle one while another had a long queue.
    pub idle_beside_queue: f64,
    /// The mean over seconds of the most that an executor got, over its fair part.
    pub peak_over_fair: f64,
    /// Copies that were loaded.
    pub copies: u64,
    /// Copies of functions that were loaded, or being loaded, elsewhere at that moment.
    pub copies_elsewhere: u64,
}

#[derive(Clone, Default)]
struct ExecutorState {
    /// Invocations that it runs at a time; none while it is not ready.
    concurrency: Option<f64>,
    /// Dispatches that arrived and have not ended.
    pending: f64,
    /// When the latest dispatches arrived, within the herd window.
    recent: VecDeque<f64>,
    herd_until: f64,
    arrivals_this_second: f64,
    /// It was ready before the present second began.
    was_ready_all_second: bool,
    replicas: HashSet<String>,
}

impl ExecutorState {
    fn has_long_queue(&self) -> bool {
        self.concurrency
            .is_some_and(|concurrency| self.pending > LONG_QUEUE * concurrency)
    }

    fn is_idle(&self) -> bool {
        self.concurrency.is_some() && self.pending == 0.0
    }
}

#[derive(Default)]
struct SpreadAccumulator {
    executors: Vec<ExecutorState>,
    now: f64,
    /// When the present second began.
    second: f64,
    /// When the latest dispatches arrived anywhere, within the herd window.
    recent: VecDeque<f64>,
    ready_seconds: f64,
    idle_seconds: f64,
    peak_sum: f64,
    peak_count: u64,
    report: SpreadReport,
}

impl SpreadAccumulator {
    fn executor(&mut self, index: usize) -> &mut ExecutorState {
        if index >= self.executors.len() {
            self.executors.resize(index + 1, ExecutorState::default());
        }
        &mut self.executors[index]
    }

    fn total_concurrency(&self) -> f64 {
        self.executors
            .iter()
            .filter_map(|executor| executor.concurrency)
            .sum()
    }

    /// Lets time pass, in which every executor stays as it is.
    fn advance_to(&mut self, at: f64) {
        let elapsed = at - self.now;
        let count = |has: fn(&ExecutorState) -> bool| {
            self.executors.iter().filter(|state| has(state)).count() as f64
        };
        let ready = count(|executor| executor.concurrency.is_some());
        let idle = count(ExecutorState::is_idle);
        self.ready_seconds += elapsed * ready;
        if self.executors.iter().any(ExecutorState::has_long_queue) {
            self.idle_seconds += elapsed * idle;
        }
        self.now = at;
        while at >= self.second + 1.0 {
            self.end_second();
        }
    }

    fn end_second(&mut self) {
        let ready = self
            .executors
            .iter()
            .filter(|executor| executor.was_ready_all_second);
        let arrivals = ready
            .clone()
            .fold(0.0, |sum, executor| sum + executor.arrivals_this_second);
        let concurrency = ready.clone().fold(0.0, |sum, executor| {
            sum + executor.concurrency.unwrap_or_default()
        });
        let over_fair_share = ready.map(|executor| {
            let own = executor.concurrency.unwrap_or(1.0);
            executor.arrivals_this_second * concurrency / (arrivals * own).max(1e-9)
        });
        if arrivals > 0.0 {
            self.peak_sum += over_fair_share.fold(0.0, f64::max);
            self.peak_count += 1;
        }
        self.second += 1.0;
        for executor in &mut self.executors {
            executor.arrivals_this_second = 0.0;
            executor.was_ready_all_second = executor.concurrency.is_some();
        }
    }

    fn dispatch_arrived(&mut self, at: f64, index: usize) {
        self.report.dispatches += 1;
        let since = at - HERD_WINDOW;
        self.recent.push_back(at);
        drop_until(&mut self.recent, since);
        let (all, concurrency) = (self.recent.len() as f64, self.total_concurrency());
        let executor = self.executor(index);
        executor.pending += 1.0;
        executor.arrivals_this_second += 1.0;
        executor.recent.push_back(at);
        drop_until(&mut executor.recent, since);
        let fair_share = all * executor.concurrency.unwrap_or_default() / concurrency.max(1e-9);
        if executor.recent.len() as f64 > fair_share + HERD_EXCESS * fair_share.sqrt() + HERD_EXCESS
        {
            // One that goes on is the same herd.
            let is_new = at > executor.herd_until;
            executor.herd_until = at + HERD_WINDOW;
            self.report.herds += u64::from(is_new);
            self.report.last_herd = Some(at);
        }
    }

    /// A load of a function begins; `is_measured` if it is in the measured time.
    fn load_started(&mut self, index: usize, function: &str, is_measured: bool) {
        let mut executors = self.executors.iter();
        let is_elsewhere = executors.any(|executor| executor.replicas.contains(function));
        self.executor(index).replicas.insert(function.to_owned());
        if is_measured {
            self.report.copies += 1;
            self.report.copies_elsewhere += u64::from(is_elsewhere);
        }
    }

    fn observe(&mut self, record: &TrafficRecord, from: f64) {
        let at = record.at();
        match record {
            TrafficRecord::ExecutorReady {
                executor,
                concurrency,
                ..
            } => {
                *self.executor(*executor) = ExecutorState {
                    concurrency: Some(f64::from(*concurrency)),
                    ..ExecutorState::default()
                };
                self.report.executors += 1;
            }
            TrafficRecord::ExecutorDown { executor, .. } => {
                *self.executor(*executor) = ExecutorState::default();
            }
            TrafficRecord::DispatchArrived { executor, .. } if at >= from => {
                self.dispatch_arrived(at, *executor);
            }
            TrafficRecord::DispatchArrived { executor, .. } => {
                self.executor(*executor).pending += 1.0;
            }
            TrafficRecord::DispatchEnded { executor, .. } => {
                let executor = self.executor(*executor);
                executor.pending = (executor.pending - 1.0).max(0.0);
            }
            TrafficRecord::LoadStarted {
                executor, function, ..
            } => self.load_started(*executor, function, at >= from),
            TrafficRecord::ReplicaUnloaded {
                executor, function, ..
            } => {
                self.executor(*executor).replicas.remove(function);
            }
            _ => {}
        }
    }
}

/// Drops times up to a moment.
fn drop_until(times: &mut VecDeque<f64>, moment: f64) {
    while times.front().is_some_and(|&time| time <= moment) {
        times.pop_front();
    }
}

/// Measures the spread over the records from a moment on; earlier ones only tell the state at that moment.
pub fn measure_spread(records: &[TrafficRecord], from: f64) -> SpreadReport {
    let mut records: Vec<&TrafficRecord> = records.iter().collect();
    records.sort_by(|a, b| a.at().total_cmp(&b.at()));
    let mut accumulator = SpreadAccumulator {
        now: from,
        second: from,
        ..SpreadAccumulator::default()
    };
    for record in records {
        if record.at() > from {
            accumulator.advance_to(record.at());
        }
        accumulator.observe(record, from);
    }
    let mut report = accumulator.report;
    report.idle_beside_queue = accumulator.idle_seconds / accumulator.ready_seconds.max(1e-9);
    report.peak_over_fair = accumulator.peak_sum / accumulator.peak_count.max(1) as f64;
    report
}
