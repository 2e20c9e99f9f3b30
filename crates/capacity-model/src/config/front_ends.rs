//! The front ends of a configuration run: membership, roster and configuration of each, in one thread.

use super::entries;
use super::received::Sampler;
use super::tracker::Tracker;
use crate::hollow::configuration::{Configuration, OnApply, Options};
use crate::hollow::control::{Bytes, ControlFrontEnd};
use crate::hollow::snapshot::{self, SnapshotError};
use crate::store::{self, StoreError};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use orchidtally_config_sync::SettingsError;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Front ends that start together, and the pause after them.
const START_BATCH: usize = 25;
const START_INTERVAL: Duration = Duration::from_millis(100);
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a run could not go on.
#[derive(Debug, Error)]
pub enum RunError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Change(#[from] super::writer::ChangeError),
    #[error("{ready} of {of} front ends were ready within {seconds} s")]
    NotReady {
        ready: usize,
        of: usize,
        seconds: f64,
    },
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// One front end with its tasks, which end when it is dropped.
struct FrontEnd {
    control: Rc<ControlFrontEnd>,
    host: Rc<Configuration>,
    _control_tasks: Vec<Task<()>>,
    host_task: Option<Task<()>>,
}

impl Drop for FrontEnd {
    fn drop(&mut self) {
        self.host_task = None;
        self.host.stop();
    }
}

/// All of them.
pub struct FrontEnds {
    all: Vec<FrontEnd>,
    by_region: Vec<Vec<SocketAddr>>,
    /// The snapshot on the disk of a front end that restarts.
    pub snapshot: Vec<u8>,
    seed: u64,
    tasks: Rc<LocalExecutor<'static>>,
    pub tracker: Rc<RefCell<Tracker>>,
}

/// Reads the complete configuration of the store without rate limit: the snapshot that front ends start from.
///
/// # Errors
/// No snapshot was written within `timeout_s` seconds.
pub async fn read_snapshot(
    endpoints: &[SocketAddr],
    tasks: &Rc<LocalExecutor<'static>>,
    timeout_s: f64,
) -> Result<Vec<u8>, RunError> {
    let path = temporary_snapshot_path();
    let snapshot = snapshot::write_snapshot(path.clone(), endpoints, tasks, timeout_s).await;
    for name in ["", ".previous", ".new"] {
        let _ = std::fs::remove_file(format!("{}{name}", path.display()));
    }
    Ok(snapshot?)
}

/// A path that no other run on this machine uses at the same time.
fn temporary_snapshot_path() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!(
        "orchidtally-scale-{}-{number}.snapshot",
        std::process::id()
    ))
}

impl FrontEnds {
    /// Starts front ends from a snapshot.
    pub async fn start(
        count: usize,
        by_region: Vec<Vec<SocketAddr>>,
        snapshot: Vec<u8>,
        seed: u64,
        tasks: &Rc<LocalExecutor<'static>>,
    ) -> Result<FrontEnds, RunError> {
        let tracker = Rc::new(RefCell::new(Tracker::new(count)));
        let mut front_ends = FrontEnds {
            all: vec![],
            by_region,
            snapshot,
            seed,
            tasks: tasks.clone(),
            tracker,
        };
        for number in 0..count {
            let front_end = front_ends.start_one(number, count)?;
            front_ends.all.push(front_end);
            if number % START_BATCH == START_BATCH - 1 {
                Timer::after(START_INTERVAL).await;
            }
        }
        Ok(front_ends)
    }

    /// One front end's configuration after it has read its snapshot, without a connection to the store.
    pub fn configuration_only(
        endpoints: &[SocketAddr],
        snapshot: Vec<u8>,
        tasks: &Rc<LocalExecutor<'static>>,
    ) -> Result<Rc<Configuration>, RunError> {
        let options = Options {
            number: 0,
            endpoints,
            settings: entries::settings(),
            start_from: Some(&snapshot),
            snapshot: None,
            seed: 0,
            on_apply: Rc::new(|_, _| {}),
        };
        Ok(Configuration::new(options, tasks)?)
    }

    fn start_one(&self, number: usize, count: usize) -> Result<FrontEnd, RunError> {
        let endpoints = store::endpoints_of(number, &self.by_region);
        let control =
            ControlFrontEnd::new(&endpoints, count, self.seed + number as u64, &self.tasks);
        let host = self.new_host(number)?;
        let _control_tasks = control.start(&self.tasks);
        let host_task = Some(host.start(&self.tasks));
        Ok(FrontEnd {
            control,
            host,
            _control_tasks,
            host_task,
        })
    }

    fn new_host(&self, number: usize) -> Result<Rc<Configuration>, SettingsError> {
        let tracker = self.tracker.clone();
        let on_apply: OnApply =
            Rc::new(move |front_end, view| tracker.borrow_mut().applied(front_end, view));
        let endpoints = store::endpoints_of(number, &self.by_region);
        let options = Options {
            number,
            endpoints: &endpoints,
            settings: entries::settings(),
            start_from: Some(&self.snapshot),
            snapshot: None,
            seed: self.seed.wrapping_mul(1_000_003) + number as u64,
            on_apply,
        };
        Configuration::new(options, &self.tasks)
    }

    /// A snapshot of what the store holds now.
    pub async fn read_snapshot(&self, timeout_s: f64) -> Result<Vec<u8>, RunError> {
        read_snapshot(&self.by_region[0], &self.tasks, timeout_s).await
    }

    /// Restarts a front end's configuration from [`FrontEnds::snapshot`].
    pub fn restart(&mut self, number: usize) -> Result<(), RunError> {
        let host = self.new_host(number)?;
        self.tracker.borrow_mut().forget(number);
        let front_end = &mut self.all[number];
        front_end.host_task = None;
        front_end.host.stop();
        front_end.host_task = Some(host.start(&self.tasks));
        front_end.host = host;
        Ok(())
    }

    pub fn count(&self) -> usize {
        self.all.len()
    }

    pub fn host(&self, number: usize) -> &Rc<Configuration> {
        &self.all[number].host
    }

    pub fn hosts(&self) -> impl Iterator<Item = &Rc<Configuration>> {
        self.all.iter().map(|front_end| &front_end.host)
    }

    /// Waits until all follow the store and have their entries.
    pub async fn until_ready(&self, timeout_s: f64) -> Result<(), RunError> {
        let began = Instant::now();
        let is_ready =
            |front_end: &&FrontEnd| front_end.control.is_ready() && front_end.host.follows();
        while !self.all.iter().all(|front_end| is_ready(&front_end)) {
            if began.elapsed().as_secs_f64() > timeout_s {
                let ready = self.all.iter().filter(is_ready).count();
                return Err(RunError::NotReady {
                    ready,
                    of: self.all.len(),
                    seconds: timeout_s,
                });
            }
            Timer::after(LOOK_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until some front ends have all changes; the seconds that it took, or `None` after `timeout_s`.
    pub async fn until_in_force(&self, timeout_s: f64, of: impl Fn(usize) -> bool) -> Option<f64> {
        let began = Instant::now();
        loop {
            let took = began.elapsed().as_secs_f64();
            if self.tracker.borrow().is_in_force(&of) {
                return Some(took);
            }
            if took > timeout_s {
                return None;
            }
            Timer::after(LOOK_INTERVAL).await;
        }
    }

    /// Takes samples of what they receive for configuration; none may be restarted meanwhile.
    pub fn sample_received(&self) -> Sampler {
        Sampler::start(self.hosts().cloned().collect(), &self.tasks)
    }

    /// Bytes over all connections of all front ends so far.
    pub fn bytes(&self) -> Bytes {
        self.all
            .iter()
            .flat_map(|front_end| [front_end.control.bytes(), front_end.host.bytes()])
            .sum()
    }

    /// Bytes of a list of all executors, in the mean over front ends.
    pub fn mean_list_bytes(&self) -> f64 {
        let lists = self
            .all
            .iter()
            .map(|front_end| front_end.control.list_bytes() as f64);
        lists.sum::<f64>() / self.all.len().max(1) as f64
    }

    /// Bytes for configuration that each front end received so far.
    pub fn received_for_configuration(&self) -> Vec<u64> {
        self.hosts().map(|host| host.bytes().received).collect()
    }
}
