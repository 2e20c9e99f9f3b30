//! What membership and the roster cost: hollow front ends against the store's process over loopback sockets.

use super::fit::{self, Axes};
use crate::clock;
use crate::hollow::control::{Bytes, ControlFrontEnd, LIST_INTERVAL_S};
use crate::report::Slope;
use crate::size::Size;
use crate::store::{self, Command, MEMBER_REGIONS, StoreError, StoreProcess, Usage};
use async_executor::{LocalExecutor, Task};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Front ends that start together.
const START_BATCH: usize = 25;
const START_INTERVAL: Duration = Duration::from_millis(100);
/// Within what time all front ends have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(45);

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub front_ends: usize,
    pub executors: usize,
    /// Changes of the roster a second.
    pub changes_per_s: usize,
    /// Real seconds of the measurement.
    pub seconds: usize,
}

/// What it cost.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Of one front end, in cores.
    pub cpu_cores: f64,
    pub sent_per_s: f64,
    pub received_per_s: f64,
    /// Bytes of one list of the executors.
    pub list_bytes: f64,
    pub heap_bytes: f64,
    /// Of one member of the store, in cores: the stand-in's process over its members.
    pub store_cpu_cores: f64,
    /// Bytes both ways at all members together.
    pub store_bytes_per_s: f64,
    pub store_heap_bytes: f64,
}

impl Cost {
    /// Bytes both ways of one front end, the lists in the long run included.
    pub fn bytes_per_s(&self) -> f64 {
        self.sent_per_s + self.received_per_s + self.list_bytes / LIST_INTERVAL_S
    }
}

/// Hollow front ends that run, with their tasks.
struct FrontEnds {
    all: Vec<Rc<ControlFrontEnd>>,
    tasks: Vec<Task<()>>,
}

impl FrontEnds {
    fn bytes(&self) -> Bytes {
        self.all.iter().map(|front_end| front_end.bytes()).sum()
    }
}

async fn start(
    setting: Setting,
    process: &mut StoreProcess,
    seed: u64,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<FrontEnds, StoreError> {
    let by_region = process.addresses()?;
    let mut front_ends = FrontEnds {
        all: vec![],
        tasks: vec![],
    };
    for number in 0..setting.front_ends {
        let endpoints = store::endpoints_of(number, &by_region);
        let front_end = ControlFrontEnd::new(
            &endpoints,
            setting.front_ends,
            seed + number as u64,
            executor,
        );
        front_ends.tasks.extend(front_end.start(executor));
        front_ends.all.push(front_end);
        if number % START_BATCH == START_BATCH - 1 {
            async_io::Timer::after(START_INTERVAL).await;
        }
    }
    let started = Instant::now();
    while !front_ends.all.iter().all(|front_end| front_end.is_ready()) {
        if started.elapsed() > READY_TIMEOUT {
            let ready = front_ends
                .all
                .iter()
                .filter(|front_end| front_end.is_ready())
                .count();
            let of = setting.front_ends;
            return Err(StoreError::Failed(format!(
                "{ready} of {of} front ends were ready in time"
            )));
        }
        async_io::Timer::after(Duration::from_millis(50)).await;
    }
    Ok(front_ends)
}

fn store_bytes(usage: &Usage) -> f64 {
    usage
        .members
        .iter()
        .map(|member| (member.bytes_sent + member.bytes_received) as f64)
        .sum()
}

async fn play(setting: Setting, store: &mut StoreProcess) -> Result<(), StoreError> {
    for second in 0..setting.seconds {
        let from = second * setting.changes_per_s % setting.executors;
        let count = setting.changes_per_s.min(setting.executors - from);
        if count > 0 {
            store.run(&Command::ChangeExecutors { from, count })?;
        }
        async_io::Timer::after(Duration::from_secs(1)).await;
    }
    Ok(())
}

/// Measures one setting.
pub fn measure(setting: Setting, seed: u64) -> Result<Cost, StoreError> {
    let mut store = StoreProcess::start()?;
    store.run(&Command::PutExecutors {
        count: setting.executors,
    })?;
    let executor = Rc::new(LocalExecutor::new());
    let heap_before = clock::heap_bytes();
    let store_heap_before = store.usage()?.heap_bytes;
    let work = async {
        let mut front_ends = start(setting, &mut store, seed, &executor).await?;
        let list_bytes = front_ends.all.first().map_or(0, |first| first.list_bytes()) as f64;
        // What was asked at the start is over.
        async_io::Timer::after(Duration::from_secs(1)).await;
        let (bytes, used) = (front_ends.bytes(), store.usage()?);
        let (began, cpu) = (Instant::now(), clock::process_cpu_s());
        play(setting, &mut store).await?;
        let cpu = clock::process_cpu_s() - cpu;
        let seconds = began.elapsed().as_secs_f64();
        let (bytes_after, used_after) = (front_ends.bytes(), store.usage()?);
        let count = setting.front_ends as f64;
        let members = MEMBER_REGIONS.len() as f64;
        let cost = Cost {
            cpu_cores: cpu / seconds / count,
            sent_per_s: (bytes_after.sent - bytes.sent) as f64 / seconds / count,
            received_per_s: (bytes_after.received - bytes.received) as f64 / seconds / count,
            list_bytes,
            heap_bytes: (clock::heap_bytes() - heap_before) / count,
            store_cpu_cores: (used_after.cpu_s - used.cpu_s) / seconds / members,
            store_bytes_per_s: (store_bytes(&used_after) - store_bytes(&used)) / seconds,
            store_heap_bytes: used_after.heap_bytes - store_heap_before,
        };
        front_ends.tasks.clear();
        front_ends.all.clear();
        // The executor drops what was cancelled as it goes on.
        async_io::Timer::after(Duration::from_millis(100)).await;
        Ok(cost)
    };
    async_io::block_on(executor.run(work))
}

fn log_cost(name: &str, value: usize, cost: &Cost) {
    eprintln!(
        "slopes: {value} {name}: {:.0} bytes/s (list {:.0} B), {:.3} % of a core, {:.2} MB a front end; {:.2} % of a \
         core, {:.0} bytes/s at a member",
        cost.bytes_per_s(),
        cost.list_bytes,
        100.0 * cost.cpu_cores,
        cost.heap_bytes / 1e6,
        100.0 * cost.store_cpu_cores,
        cost.store_bytes_per_s / MEMBER_REGIONS.len() as f64
    );
}

fn sweep(
    name: &str,
    values: &[usize],
    seed: u64,
    setting: impl Fn(usize) -> Setting,
) -> Result<Vec<(usize, Cost)>, StoreError> {
    let mut costs = vec![];
    for &value in values {
        let cost = measure(setting(value), seed)?;
        log_cost(name, value, &cost);
        costs.push((value, cost));
    }
    Ok(costs)
}

fn fitted(
    figure: &str,
    unit: &str,
    dimension: &str,
    costs: &[(usize, Cost)],
    value: impl Fn(&Cost) -> f64,
) -> Option<Slope> {
    let points: Vec<(f64, f64)> = costs
        .iter()
        .map(|(size, cost)| (*size as f64, value(cost)))
        .collect();
    fit::line(
        Axes {
            figure,
            unit,
            dimension,
        },
        &points,
    )
}

/// What the sizes cost, with the slopes through them.
pub struct Control {
    /// At the largest number of front ends that was measured.
    pub largest: (usize, Cost),
    pub slopes: Vec<Slope>,
}

/// Measures membership and roster by front ends, executors and changes of the roster.
pub fn run(size: &Size, seed: u64, short: bool) -> Result<Control, StoreError> {
    let seconds = if short { 1 } else { 8 };
    let share = |part: usize| (size.front_ends * part / 100).max(1);
    let (front_ends, executors, changes): (Vec<usize>, &[usize], &[usize]) = match short {
        true => (vec![4, 8, 12], &[36, 100, 300], &[0, 2, 4]),
        false => (
            vec![share(5), share(10), share(20), share(50), size.front_ends],
            &[36, 100, 300, 1_000, 3_000],
            &[0, 1, 2, 5, 10],
        ),
    };
    let executor_count = if short { 36 } else { size.executors };
    let few = if short { 6 } else { share(10) };
    let by_front_ends = sweep("front ends", &front_ends, seed, |front_ends| Setting {
        front_ends,
        executors: executor_count,
        changes_per_s: 0,
        seconds,
    })?;
    let by_executors = sweep("executors", executors, seed, |executors| Setting {
        front_ends: few,
        executors,
        changes_per_s: 0,
        seconds: seconds.div_ceil(2),
    })?;
    let by_changes = sweep("changes a second", changes, seed, |changes_per_s| Setting {
        front_ends: few,
        executors: executor_count,
        changes_per_s,
        seconds,
    })?;
    let largest = by_front_ends[by_front_ends.len() - 1];
    let slopes = front_end_slopes(&by_front_ends)
        .into_iter()
        .chain(executor_slopes(&by_executors))
        .chain(change_slopes(&by_changes))
        .flatten()
        .collect();
    Ok(Control { largest, slopes })
}

/// The lines by front ends.
fn front_end_slopes(costs: &[(usize, Cost)]) -> [Option<Slope>; 6] {
    [
        fitted(
            "control bytes",
            "bytes/s a front end",
            "front ends",
            costs,
            Cost::bytes_per_s,
        ),
        fitted(
            "control CPU",
            "cores a front end",
            "front ends",
            costs,
            |cost| cost.cpu_cores,
        ),
        fitted(
            "control memory",
            "MB a front end",
            "front ends",
            costs,
            |c| c.heap_bytes / 1e6,
        ),
        fitted("store CPU", "cores a member", "front ends", costs, |cost| {
            cost.store_cpu_cores
        }),
        fitted(
            "store bytes",
            "bytes/s, all members",
            "front ends",
            costs,
            |c| c.store_bytes_per_s,
        ),
        fitted(
            "store memory",
            "MB, the whole stand-in",
            "front ends",
            costs,
            |cost| cost.store_heap_bytes / 1e6,
        ),
    ]
}

/// The lines by executors.
fn executor_slopes(costs: &[(usize, Cost)]) -> [Option<Slope>; 3] {
    [
        fitted(
            "control bytes",
            "bytes/s a front end",
            "executors",
            costs,
            Cost::bytes_per_s,
        ),
        fitted("bytes of a list", "bytes", "executors", costs, |cost| {
            cost.list_bytes
        }),
        fitted(
            "control memory",
            "MB a front end",
            "executors",
            costs,
            |c| c.heap_bytes / 1e6,
        ),
    ]
}

/// The lines by changes of the roster a second.
fn change_slopes(costs: &[(usize, Cost)]) -> [Option<Slope>; 3] {
    [
        fitted(
            "control bytes",
            "bytes/s a front end",
            "roster changes a second",
            costs,
            |cost| cost.bytes_per_s(),
        ),
        fitted(
            "control CPU",
            "cores a front end",
            "roster changes a second",
            costs,
            |cost| cost.cpu_cores,
        ),
        fitted(
            "store CPU",
            "cores a member",
            "roster changes a second",
            costs,
            |cost| cost.store_cpu_cores,
        ),
    ]
}
