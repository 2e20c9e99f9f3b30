//! What changes of configuration cost, and how long they take, by how many there are: front ends that come back behind a
//! compaction, and bursts through the watch, against the store's process over loopback sockets.

use super::fit::{self, Axes};
use crate::clock;
use crate::config::entries;
use crate::config::{RunError, read_snapshot};
use crate::hollow::configuration::{Configuration, Options};
use crate::report::Slope;
use crate::size::Size;
use crate::store::{self, Answer, Command, StoreError, StoreProcess};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Changes in one transaction.
const TRANSACTION: usize = 50;
/// Between looks at what calls see.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// How long a measurement waits for its changes, in seconds.
const PATIENCE_S: f64 = 45.0;
/// Front ends that read at once report within this time; then they rest.
const SETTLE: Duration = Duration::from_millis(500);

/// What is measured.
#[derive(Clone, Debug)]
struct Setting {
    front_ends: usize,
    /// Entries that the store holds.
    entries: usize,
    /// Changes that front ends have missed when they come back.
    missed: usize,
    /// Changes of each burst that follows.
    bursts: Vec<usize>,
    seed: u64,
    /// The greatest time of a slow start, in seconds.
    spread: f64,
}

/// What a burst through the watch took.
#[derive(Clone, Copy, Debug)]
struct Burst {
    in_force_s: f64,
    /// Received by one front end.
    bytes: f64,
    /// Of one front end, in microseconds.
    cpu_us: f64,
}

/// What one setting took.
#[derive(Clone, Debug)]
struct Cost {
    return_s: f64,
    /// Received by one front end until it was back.
    return_bytes: f64,
    bursts: Vec<Burst>,
}

/// Front ends of configuration that follow one store; their tasks end when this is dropped.
struct FrontEnds {
    all: Vec<Rc<Configuration>>,
    _tasks: Vec<Task<()>>,
}

impl Drop for FrontEnds {
    fn drop(&mut self) {
        self.all.iter().for_each(|front_end| front_end.stop());
    }
}

impl FrontEnds {
    /// Starts them all at once from a snapshot.
    fn start(
        setting: &Setting,
        by_region: &[Vec<SocketAddr>],
        snapshot: &[u8],
        tasks: &Rc<LocalExecutor<'static>>,
    ) -> Result<FrontEnds, RunError> {
        let mut front_ends = FrontEnds {
            all: vec![],
            _tasks: vec![],
        };
        for number in 0..setting.front_ends {
            let mut settings = entries::settings();
            settings.spread = setting.spread;
            let options = Options {
                number,
                endpoints: &store::endpoints_of(number, by_region),
                settings,
                start_from: Some(snapshot),
                snapshot: None,
                seed: setting.seed.wrapping_mul(1_000_003) + number as u64,
                on_apply: Rc::new(|_, _| {}),
            };
            front_ends.all.push(Configuration::new(options, tasks)?);
        }
        front_ends._tasks = front_ends
            .all
            .iter()
            .map(|front_end| front_end.start(tasks))
            .collect();
        Ok(front_ends)
    }

    /// Waits until calls see a revision at all of them; the seconds since then.
    async fn until_seen(&self, revision: i64, began: Instant) -> Result<f64, RunError> {
        let sees = |front_end: &&Rc<Configuration>| front_end.view().revision() >= revision;
        loop {
            let seconds = began.elapsed().as_secs_f64();
            if self.all.iter().all(|front_end| sees(&front_end)) {
                return Ok(seconds);
            }
            if seconds > PATIENCE_S {
                let ready = self.all.iter().filter(sees).count();
                return Err(RunError::NotReady {
                    ready,
                    of: self.all.len(),
                    seconds,
                });
            }
            Timer::after(LOOK_INTERVAL).await;
        }
    }

    /// Bytes that one of them has received so far, in the mean.
    fn mean_received(&self) -> f64 {
        let all: u64 = self
            .all
            .iter()
            .map(|front_end| front_end.bytes().received)
            .sum();
        all as f64 / self.all.len() as f64
    }
}

/// The store with its writer: changes of functions one after the other.
struct Changes {
    store: StoreProcess,
    entries: usize,
    next: usize,
    version: u64,
}

impl Changes {
    /// Commits a change of each of the next functions; the last revision.
    fn commit(&mut self, count: usize) -> Result<i64, StoreError> {
        let mut revision = 0;
        let mut left = count;
        while left > 0 {
            let some = left.min(TRANSACTION).min(self.entries - self.next);
            self.version += 1;
            let command = Command::ChangeFunctions {
                from: self.next,
                count: some,
                version: self.version,
            };
            revision = match self.store.ask(&command)? {
                Answer::Changed { revision } => revision,
                other => {
                    return Err(StoreError::Failed(format!(
                        "{other:?} instead of a revision"
                    )));
                }
            };
            self.next = (self.next + some) % self.entries;
            left -= some;
        }
        Ok(revision)
    }
}

async fn measure(setting: Setting, tasks: Rc<LocalExecutor<'static>>) -> Result<Cost, RunError> {
    let mut store = StoreProcess::start()?;
    store.run(&Command::PutConfiguration {
        functions: setting.entries,
    })?;
    let by_region = store.addresses()?;
    let snapshot = read_snapshot(&by_region[0], &tasks, PATIENCE_S).await?;
    let mut changes = Changes {
        store,
        entries: setting.entries,
        next: 0,
        version: 0,
    };
    let revision = changes.commit(setting.missed)?;
    changes.store.run(&Command::Compact)?;
    let front_ends = FrontEnds::start(&setting, &by_region, &snapshot, &tasks)?;
    // Each has read its snapshot, on a core of its own in a fleet.
    let began = Instant::now();
    let return_s = front_ends.until_seen(revision, began).await?;
    let return_bytes = front_ends.mean_received();
    let mut bursts = vec![];
    for &count in &setting.bursts {
        Timer::after(SETTLE).await;
        bursts.push(burst(&mut changes, &front_ends, count).await?);
    }
    Ok(Cost {
        return_s,
        return_bytes,
        bursts,
    })
}

async fn burst(
    changes: &mut Changes,
    front_ends: &FrontEnds,
    count: usize,
) -> Result<Burst, RunError> {
    let (received, cpu_s, began) = (
        front_ends.mean_received(),
        clock::process_cpu_s(),
        Instant::now(),
    );
    let revision = changes.commit(count)?;
    let in_force_s = front_ends.until_seen(revision, began).await?;
    let cpu_us = (clock::process_cpu_s() - cpu_s) / front_ends.all.len() as f64 * 1e6;
    Ok(Burst {
        in_force_s,
        bytes: front_ends.mean_received() - received,
        cpu_us,
    })
}

/// The sizes of each dimension.
struct Sizes {
    missed: Vec<usize>,
    entries: Vec<usize>,
    front_ends: Vec<usize>,
    bursts: Vec<usize>,
    /// What the other dimensions have meanwhile.
    usual: Setting,
}

impl Sizes {
    fn new(size: &Size, seed: u64, short: bool) -> Sizes {
        let share = |part: usize| (size.front_ends * part / 100).max(1);
        if short {
            let usual = Setting {
                front_ends: 2,
                entries: 100,
                missed: 2,
                bursts: vec![5],
                seed,
                spread: 0.0,
            };
            return Sizes {
                missed: vec![2, 4, 8],
                entries: vec![50, 100, 200],
                front_ends: vec![2, 4, 8],
                bursts: vec![5, 10, 20],
                usual,
            };
        }
        let spread = entries::settings().spread;
        let usual = Setting {
            front_ends: 5,
            entries: 500,
            missed: 20,
            bursts: vec![TRANSACTION],
            seed,
            spread,
        };
        Sizes {
            missed: vec![20, 40, 80, 140, 200],
            entries: vec![1_000, 2_000, 4_000, 8_000, 16_000],
            front_ends: vec![share(5), share(10), share(20), share(50), size.front_ends],
            bursts: vec![20, 50, 100, 200, 500],
            usual,
        }
    }
}

/// Measured costs by size.
type Costs = Vec<(usize, Cost)>;

/// Measurements that run, by size.
type Started = Vec<(usize, Task<Result<Cost, RunError>>)>;

/// Starts measuring several settings side by side: few front ends each, which mostly wait for their pace.
fn side_by_side(
    sizes: &[usize],
    setting: impl Fn(usize) -> Setting,
    tasks: &Rc<LocalExecutor<'static>>,
) -> Started {
    let start = |size: &usize| (*size, tasks.spawn(measure(setting(*size), tasks.clone())));
    sizes.iter().map(start).collect()
}

async fn finished(started: Started) -> Result<Costs, RunError> {
    let mut costs = vec![];
    for (size, task) in started {
        costs.push((size, task.await?));
    }
    Ok(costs)
}

/// Measures several numbers of front ends, one after the other.
async fn by_front_ends(
    sizes: &Sizes,
    tasks: &Rc<LocalExecutor<'static>>,
) -> Result<Costs, RunError> {
    let mut costs = vec![];
    for &front_ends in &sizes.front_ends {
        let setting = Setting {
            front_ends,
            ..sizes.usual.clone()
        };
        costs.push((front_ends, measure(setting, tasks.clone()).await?));
    }
    Ok(costs)
}

fn tell(dimension: &str, costs: &Costs) {
    for (size, cost) in costs {
        let burst = cost.bursts.first().map(|burst| burst.in_force_s);
        eprintln!(
            "slopes: {size} {dimension}: back after {:.2} s with {:.0} bytes{}",
            cost.return_s,
            cost.return_bytes,
            burst.map_or(String::new(), |seconds| format!(
                ", a burst in force after {seconds:.2} s"
            ))
        );
    }
}

/// Measures all dimensions.
pub fn run(size: &Size, seed: u64, short: bool) -> Result<Vec<Slope>, RunError> {
    let sizes = Sizes::new(size, seed, short);
    let tasks = Rc::new(LocalExecutor::new());
    let usual = || sizes.usual.clone();
    let began = Instant::now();
    let work = async {
        let missed = Setting {
            bursts: vec![],
            ..usual()
        };
        let missed = side_by_side(
            &sizes.missed,
            |count| Setting {
                missed: count,
                ..missed.clone()
            },
            &tasks,
        );
        let entries = side_by_side(
            &sizes.entries,
            |entries| Setting { entries, ..usual() },
            &tasks,
        );
        let front_ends = by_front_ends(&sizes, &tasks).await?;
        let (missed, entries) = (finished(missed).await?, finished(entries).await?);
        tell("changes missed", &missed);
        tell("entries", &entries);
        tell("front ends", &front_ends);
        // Alone, as processor time is the whole process's.
        let few = sizes.front_ends[0];
        let bursts = sizes.bursts.clone();
        let setting = Setting {
            front_ends: few,
            missed: 1,
            spread: 0.0,
            bursts,
            ..usual()
        };
        let in_bursts = measure(setting, tasks.clone()).await?.bursts;
        eprintln!(
            "slopes: configuration took {:.1} s",
            began.elapsed().as_secs_f64()
        );
        Ok(slopes(&sizes, &missed, &entries, &front_ends, &in_bursts))
    };
    async_io::block_on(tasks.run(work))
}

fn slopes(
    sizes: &Sizes,
    missed: &Costs,
    entries: &Costs,
    front_ends: &Costs,
    bursts: &[Burst],
) -> Vec<Slope> {
    let line = |figure: &str, unit: &str, dimension: &str, points: Vec<(f64, f64)>| {
        fit::line(
            Axes {
                figure,
                unit,
                dimension,
            },
            &points,
        )
    };
    let of = |costs: &Costs, value: &dyn Fn(&Cost) -> Option<f64>| -> Vec<(f64, f64)> {
        costs
            .iter()
            .filter_map(|(size, cost)| Some((*size as f64, value(cost)?)))
            .collect()
    };
    let back = |cost: &Cost| Some(cost.return_s);
    let bytes_back = |cost: &Cost| Some(cost.return_bytes);
    let in_force = |cost: &Cost| cost.bursts.first().map(|burst| burst.in_force_s);
    let by_burst = |value: fn(&Burst) -> f64| -> Vec<(f64, f64)> {
        sizes
            .bursts
            .iter()
            .zip(bursts)
            .map(|(count, burst)| (*count as f64, value(burst)))
            .collect()
    };
    let (changes, held, all, burst) = (
        "changes missed",
        "entries held",
        "front ends",
        "changes in a burst",
    );
    [
        line("time to return", "s", changes, of(missed, &back)),
        line(
            "bytes to return",
            "bytes a front end",
            changes,
            of(missed, &bytes_back),
        ),
        line("time to return", "s", held, of(entries, &back)),
        line("time to return", "s", all, of(front_ends, &back)),
        line(
            "time in force",
            "s",
            burst,
            by_burst(|burst| burst.in_force_s),
        ),
        line("time in force", "s", held, of(entries, &in_force)),
        line("time in force", "s", all, of(front_ends, &in_force)),
        line(
            "bytes of changes",
            "bytes a front end",
            burst,
            by_burst(|burst| burst.bytes),
        ),
        line(
            "CPU of changes",
            "us a front end",
            burst,
            by_burst(|burst| burst.cpu_us),
        ),
    ]
    .into_iter()
    .flatten()
    .collect()
}
