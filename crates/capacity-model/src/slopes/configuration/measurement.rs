//! One measurement: front ends that come back behind a compaction, then bursts of changes through their watches.

use super::TRANSACTION;
use crate::clock;
use crate::config::entries;
use crate::config::{RunError, read_snapshot};
use crate::hollow::configuration::{Configuration, Options};
use crate::store::{self, Answer, Command, StoreError, StoreProcess};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which the views that calls see are checked.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// How long a measurement waits for its changes, in seconds.
const TIMEOUT_S: f64 = 45.0;
/// Time after which front ends that have caught up have sent their reports.
const SETTLE: Duration = Duration::from_millis(500);

/// What is measured.
#[derive(Clone, Debug)]
pub(super) struct Setting {
    pub front_ends: usize,
    /// Entries that the store holds.
    pub entries: usize,
    /// Changes that front ends have missed when they come back.
    pub missed: usize,
    /// Changes of each burst that follows.
    pub bursts: Vec<usize>,
    pub seed: u64,
    /// The greatest time of a slow start, in seconds.
    pub spread: f64,
}

/// What a burst through the watch took.
#[derive(Clone, Copy, Debug)]
pub(super) struct Burst {
    pub in_force_s: f64,
    /// Received by one front end.
    pub bytes: f64,
    /// Of one front end, in microseconds.
    pub cpu_us: f64,
}

/// What one setting took.
#[derive(Clone, Debug)]
pub(super) struct Cost {
    pub return_s: f64,
    /// Received by one front end until it was back.
    pub return_bytes: f64,
    pub bursts: Vec<Burst>,
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

    /// Waits until calls see a revision at all front ends; the seconds since `began`.
    async fn wait_until_applied(&self, revision: i64, began: Instant) -> Result<f64, RunError> {
        let sees = |front_end: &&Rc<Configuration>| front_end.view().revision() >= revision;
        loop {
            let seconds = began.elapsed().as_secs_f64();
            if self.all.iter().all(|front_end| sees(&front_end)) {
                return Ok(seconds);
            }
            if seconds > TIMEOUT_S {
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

/// Measures one setting against a store of its own.
pub(super) async fn measure(
    setting: Setting,
    tasks: Rc<LocalExecutor<'static>>,
) -> Result<Cost, RunError> {
    let mut store = StoreProcess::start()?;
    store.run(&Command::PutConfiguration {
        functions: setting.entries,
    })?;
    let by_region = store.addresses()?;
    let snapshot = read_snapshot(&by_region[0], &tasks, TIMEOUT_S).await?;
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
    let return_s = front_ends.wait_until_applied(revision, began).await?;
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
    let in_force_s = front_ends.wait_until_applied(revision, began).await?;
    let cpu_us = (clock::process_cpu_s() - cpu_s) / front_ends.all.len() as f64 * 1e6;
    Ok(Burst {
        in_force_s,
        bytes: front_ends.mean_received() - received,
        cpu_us,
    })
}
