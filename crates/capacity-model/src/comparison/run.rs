//! Plays a comparison: starts everything, waits until all follow the store, and measures.

use super::alone::{AloneOrder, AloneProcess};
use super::front_ends::{HollowFrontEnds, RealFrontEnds};
use super::gateway::{Gateway, GatewayError};
use super::meter::{self, MeterError};
use super::{Comparison, ControlCost, Plan};
use crate::clock;
use crate::hollow::configuration::client_name;
use crate::hollow::control::{self, LIST_INTERVAL_S};
use crate::hollow::snapshot::{self, SnapshotError};
use crate::store::{self, ClientUsage, Command, StoreError, StoreProcess};
use async_executor::LocalExecutor;
use async_io::Timer;
use orchidtally_config_sync::SettingsError;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Interval at which the readiness of the front ends is checked.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a comparison gave no figures.
#[derive(Debug, Error)]
pub enum ComparisonError {
    /// The store of the run failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A process of the gateway failed.
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    /// The cost of a process could not be read.
    #[error(transparent)]
    Meter(#[from] MeterError),
    /// The settings of configuration distribution are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// There is no snapshot to start from.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// Input or output failed.
    #[error(
        "deployment files, snapshots or processes can't be used: {0}; make room, or set TMPDIR"
    )]
    Io(#[from] std::io::Error),
    /// A hollow front end in a process of its own found no snapshot.
    #[error("a hollow front end in a process of its own found no snapshot to start from")]
    NoSnapshot,
    /// A hollow front end in a process of its own did not follow the store in time.
    #[error("a hollow front end in a process of its own did not follow the store in time")]
    AloneNotReady,
    /// Not every front end followed the store in time.
    #[error("{hollow} hollow and {real} real front ends followed the store within {seconds} s")]
    NotReady {
        /// Hollow front ends that followed the store.
        hollow: usize,
        /// Real front ends that followed the store.
        real: usize,
        /// Time that was waited, in seconds.
        seconds: f64,
    },
}

/// A folder of this run's own, which goes with it.
struct Folder(PathBuf);

impl Folder {
    fn new() -> std::io::Result<Folder> {
        let path = std::env::temp_dir().join(format!(
            "orchidtally-scale-{}-comparison",
            std::process::id()
        ));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What can't be removed is left to whoever clears the folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Plays the plan with this program as the real front end.
pub fn play(plan: &Plan, gateway: &Path) -> Result<Comparison, ComparisonError> {
    let folder = Folder::new()?;
    let mut store = StoreProcess::start()?;
    store.run(&Command::PutExecutors {
        count: plan.executors,
    })?;
    store.run(&Command::PutConfiguration {
        functions: plan.functions,
    })?;
    let by_region = store.addresses()?;
    let tasks = Rc::new(LocalExecutor::new());
    let work = async {
        let path = folder.0.join("first.snapshot");
        let snapshot =
            snapshot::write_snapshot(path.clone(), &by_region[0], &tasks, plan.start_timeout_s)
                .await?;
        let real = RealFrontEnds::start(plan, gateway, &folder.0, &snapshot, &by_region)?;
        let alone = start_alone(plan, &path, &by_region)?;
        let hollow = HollowFrontEnds::start(plan, &snapshot, &folder.0, &by_region, &tasks)?;
        drop(snapshot);
        let mut run = Run {
            plan,
            store: &mut store,
            hollow,
            alone,
            real,
        };
        run.until_all_follow().await?;
        run.measure().await
    };
    async_io::block_on(tasks.run(work))
}

/// Whether a client of the store belongs to one of these hollow front ends.
fn is_hollow_client(plan: &Plan, mut numbers: Range<usize>, name: &str) -> bool {
    let names_of = |number| {
        [
            client_name(number),
            control::client_name(plan.seed + number as u64),
        ]
    };
    numbers.any(|number| names_of(number).iter().any(|known| known == name))
}

/// Whether it belongs to a real one: those are called by their index and more behind a dot or a dash.
fn is_real_client(plan: &Plan, name: &str) -> bool {
    let index = name
        .split(['.', '-'])
        .next()
        .and_then(|index| index.parse().ok());
    index.is_some_and(|index: usize| plan.real_numbers().contains(&index))
}

/// Bytes that the matching clients have sent and received so far.
fn bytes_of(clients: &[ClientUsage], is_meant: impl Fn(&str) -> bool) -> f64 {
    let meant = clients.iter().filter(|client| is_meant(&client.name));
    meant
        .map(|client| (client.bytes_received + client.bytes_sent) as f64)
        .sum()
}

fn ids(processes: &[Gateway]) -> Vec<u32> {
    processes.iter().map(Gateway::process).collect()
}

/// Starts the hollow front ends that have processes of their own.
fn start_alone(
    plan: &Plan,
    snapshot: &Path,
    by_region: &[Vec<SocketAddr>],
) -> Result<Vec<AloneProcess>, ComparisonError> {
    let order = |number| AloneOrder {
        number,
        front_ends: plan.front_ends(),
        seed: plan.seed,
        endpoints: store::endpoints_of(number, by_region),
        snapshot: snapshot.into(),
        start_timeout_s: plan.start_timeout_s,
    };
    plan.alone_numbers()
        .map(|number| AloneProcess::start(&order(number)))
        .collect()
}

/// What all have used up to a moment.
struct Reading {
    at: Instant,
    clients: Vec<ClientUsage>,
    hollow_cpu_s: f64,
    alone_cpu_s: f64,
    real_cpu_s: f64,
    without_store_cpu_s: f64,
}

/// A comparison in progress.
struct Run<'r> {
    plan: &'r Plan,
    store: &'r mut StoreProcess,
    hollow: HollowFrontEnds,
    alone: Vec<AloneProcess>,
    real: RealFrontEnds,
}

impl Run<'_> {
    async fn until_all_follow(&mut self) -> Result<(), ComparisonError> {
        let (began, seconds) = (Instant::now(), self.plan.start_timeout_s);
        loop {
            let (hollow, real) = (
                self.hollow.ready(self.plan),
                self.real.ready(self.plan).await?,
            );
            if hollow == self.plan.hollow && real == self.plan.real {
                self.alone
                    .iter_mut()
                    .try_for_each(AloneProcess::until_ready)?;
                eprintln!(
                    "comparison: all follow the store after {:.1} s",
                    began.elapsed().as_secs_f64()
                );
                return Ok(());
            }
            if began.elapsed().as_secs_f64() > seconds {
                return Err(ComparisonError::NotReady {
                    hollow,
                    real,
                    seconds,
                });
            }
            Timer::after(LOOK_INTERVAL).await;
        }
    }

    /// One change of the roster and one of the configuration.
    fn change(&mut self, number: usize) -> Result<(), StoreError> {
        let from = number % self.plan.executors;
        self.store
            .run(&Command::ChangeExecutors { from, count: 1 })?;
        let (from, version) = (number % self.plan.functions, number as u64 + 1);
        self.store
            .ask(&Command::ChangeFunctions {
                from,
                count: 1,
                version,
            })
            .map(drop)
    }

    fn alone_ids(&self) -> Vec<u32> {
        self.alone.iter().map(AloneProcess::process).collect()
    }

    fn read(&mut self) -> Result<Reading, ComparisonError> {
        Ok(Reading {
            at: Instant::now(),
            clients: self.store.clients()?,
            hollow_cpu_s: clock::process_cpu_s(),
            alone_cpu_s: meter::mean_cpu_s(&self.alone_ids())?,
            real_cpu_s: meter::mean_cpu_s(&ids(&self.real.with_store))?,
            without_store_cpu_s: meter::mean_cpu_s(&ids(&self.real.without_store))?,
        })
    }

    async fn measure(&mut self) -> Result<Comparison, ComparisonError> {
        // The first change has each front end write a snapshot, which none does again for five minutes.
        self.change(0)?;
        Timer::after(Duration::from_secs_f64(self.plan.settle_s)).await;
        let before = self.read()?;
        for second in 1..=self.plan.measured_s {
            self.change(second)?;
            Timer::after(Duration::from_secs(1)).await;
        }
        let after = self.read()?;
        self.costs(&before, &after)
    }

    fn costs(&self, before: &Reading, after: &Reading) -> Result<Comparison, ComparisonError> {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let bytes_per_s = |belongs: &dyn Fn(&str) -> bool, count: usize| {
            let spent = bytes_of(&after.clients, belongs) - bytes_of(&before.clients, belongs);
            spent / seconds / count as f64
        };
        let hollow_bytes_per_s = |numbers: Range<usize>| {
            bytes_per_s(
                &|name| is_hollow_client(self.plan, numbers.clone(), name),
                numbers.len(),
            )
        };
        let hollow_count = self.plan.hollow as f64;
        let resident = meter::anonymous_bytes(std::process::id())? - self.hollow.resident_before;
        let without_store = ControlCost {
            bytes_per_s: 0.0,
            cpu_cores: (after.without_store_cpu_s - before.without_store_cpu_s) / seconds,
            memory_bytes: meter::mean_anonymous_bytes(&ids(&self.real.without_store))?,
        };
        Ok(Comparison {
            hollow: ControlCost {
                bytes_per_s: hollow_bytes_per_s(0..self.plan.hollow),
                cpu_cores: (after.hollow_cpu_s - before.hollow_cpu_s) / seconds / hollow_count,
                memory_bytes: (clock::heap_bytes() - self.hollow.heap_before) / hollow_count,
            },
            alone: ControlCost {
                bytes_per_s: hollow_bytes_per_s(self.plan.alone_numbers()),
                cpu_cores: (after.alone_cpu_s - before.alone_cpu_s) / seconds,
                memory_bytes: meter::mean_anonymous_bytes(&self.alone_ids())?
                    - without_store.memory_bytes,
            },
            hollow_resident_bytes: resident / hollow_count,
            real: ControlCost {
                bytes_per_s: bytes_per_s(&|name| is_real_client(self.plan, name), self.plan.real),
                cpu_cores: (after.real_cpu_s - before.real_cpu_s) / seconds
                    - without_store.cpu_cores,
                memory_bytes: meter::mean_anonymous_bytes(&ids(&self.real.with_store))?
                    - without_store.memory_bytes,
            },
            without_store,
            list_bytes_per_s: self.hollow.list_bytes() / LIST_INTERVAL_S,
        })
    }
}
