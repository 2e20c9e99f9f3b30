//! Measures how evenly dispatches are spread over the executors. The measures use the executors' records alone: their
//! readiness and concurrency, the arrival and end of dispatches, and the loading and unloading of replicas.

use crate::TrafficRecord;
use serde::Serialize;
use std::collections::{HashSet, VecDeque};

/// The window, in seconds, over which dispatches to one executor are counted to detect a herd.
const HERD_WINDOW: f64 = 0.25;
/// Dispatches to one executor are a herd if they exceed its fair share by this many square roots of the share plus this
/// many dispatches.
const HERD_EXCESS: f64 = 4.0;
/// An executor has a long queue if it holds more dispatches than this multiple of its concurrency.
const LONG_QUEUE: f64 = 2.0;

/// The result of [`measure_spread`]. Shares and ratios are plain fractions; `docs/design/spread.md` defines each.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SpreadReport {
    /// Executors that became ready.
    pub executors: usize,
    /// Dispatches that arrived.
    pub dispatches: u64,
    /// Herds: bursts in which one executor gets many more dispatches than its fair share.
    pub herds: u64,
    /// The time of the last dispatch that was part of a herd.
    #[serde(skip)]
    pub last_herd: Option<f64>,
    /// The fraction of the executors' ready time in which an executor was idle while another had a long queue.
    pub idle_beside_queue: f64,
    /// The highest ratio of an executor's dispatches to its fair share in each second, averaged over the seconds.
    #[serde(rename = "peak_over_fair")]
    pub peak_to_fair_share: f64,
    /// Replicas that were loaded.
    #[serde(rename = "copies")]
    pub loaded_replicas: u64,
    /// Replicas that were loaded although another replica of the function was loaded, or being loaded, at that moment.
    #[serde(rename = "copies_elsewhere")]
    pub replicas_loaded_elsewhere: u64,
}

#[derive(Clone, Default)]
struct ExecutorState {
    /// The number of invocations that it runs at a time; `None` while it is not ready.
    concurrency: Option<f64>,
    /// The number of dispatches that arrived and have not ended.
    pending: f64,
    /// Arrival times of the dispatches within the herd window.
    recent: VecDeque<f64>,
    /// An excess of dispatches up to this time belongs to the herd that was already counted.
    herd_until: f64,
    arrivals_this_second: f64,
    /// Whether it was ready when the current second began.
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
    /// The start of the current second.
    second: f64,
    /// Arrival times of the dispatches to all executors within the herd window.
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

    /// Accounts for the time up to `at`, during which the state of every executor is constant.
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
            // An excess that continues belongs to the same herd.
            let is_new = at > executor.herd_until;
            executor.herd_until = at + HERD_WINDOW;
            self.report.herds += u64::from(is_new);
            self.report.last_herd = Some(at);
        }
    }

    /// Records the start of a load; `is_measured` states whether it is counted in the report.
    fn load_started(&mut self, index: usize, function: &str, is_measured: bool) {
        let mut executors = self.executors.iter();
        let is_elsewhere = executors.any(|executor| executor.replicas.contains(function));
        self.executor(index).replicas.insert(function.to_owned());
        if is_measured {
            self.report.loaded_replicas += 1;
            self.report.replicas_loaded_elsewhere += u64::from(is_elsewhere);
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

/// Removes the times up to and including `limit` from the front.
fn drop_until(times: &mut VecDeque<f64>, limit: f64) {
    while times.front().is_some_and(|&time| time <= limit) {
        times.pop_front();
    }
}

/// Measures the spread from the time `from` on; earlier records only determine the state of the executors at that time.
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
    report.peak_to_fair_share = accumulator.peak_sum / accumulator.peak_count.max(1) as f64;
    report
}
