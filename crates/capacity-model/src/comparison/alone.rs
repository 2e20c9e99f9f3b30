//! Hollow front ends alone in processes of their own. Many in one process are waked together and share its memory; what
//! one costs alone tells that from what hollow front ends leave out.

use super::front_ends::configuration;
use super::run::ComparisonError;
use crate::hollow::control::ControlFrontEnd;
use crate::parts;
use async_executor::LocalExecutor;
use async_io::Timer;
use orchidtally_http_frontend::config::SnapshotFile;
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// The exit code of such a process at the end of its standard input.
const EXIT_CODE: u8 = 0;
/// What such a process prints once its front end follows the store.
const READY: &str = "ready";

/// Parameters of such a process: the first line of its standard input, as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AloneOrder {
    pub number: usize,
    pub front_ends: usize,
    pub seed: u64,
    pub endpoints: Vec<SocketAddr>,
    /// The snapshot that it starts from; it writes its own ones beside it.
    pub snapshot: PathBuf,
    /// The process ends if it does not follow the store within this time, in seconds.
    pub start_timeout_s: f64,
}

/// Runs the hollow front end that standard input describes, until standard input ends.
///
/// # Errors
/// There is no such order, or the front end does not follow the store in time.
pub fn serve() -> Result<(), ComparisonError> {
    let mut line = String::new();
    io::stdin().lock().read_line(&mut line)?;
    // The run may be gone before this front end follows the store.
    parts::end_with_input(EXIT_CODE);
    let order: AloneOrder = serde_json::from_str(&line).map_err(io::Error::other)?;
    let tasks = Rc::new(LocalExecutor::new());
    // Read as a real front end reads it, since the allocator keeps what that leaves behind.
    let (snapshots, _) = SnapshotFile::new(order.snapshot.clone()).read();
    let snapshot = snapshots
        .into_iter()
        .next()
        .ok_or(ComparisonError::NoSnapshot)?;
    let folder = order.snapshot.parent().unwrap_or(Path::new("."));
    let AloneOrder {
        number,
        front_ends,
        seed,
        endpoints,
        ..
    } = &order;
    let control = ControlFrontEnd::new(endpoints, *front_ends, seed + *number as u64, &tasks);
    let configuration = configuration(*seed, *number, &snapshot, folder, endpoints, &tasks)?;
    drop(snapshot);
    let _started = (control.start(&tasks), configuration.start(&tasks));
    let began = Instant::now();
    let work = async {
        while !(control.is_ready() && configuration.follows()) {
            if began.elapsed().as_secs_f64() > order.start_timeout_s {
                return Err(ComparisonError::AloneNotReady);
            }
            Timer::after(LOOK_INTERVAL).await;
        }
        writeln!(io::stdout(), "{READY}")?;
        std::future::pending().await
    };
    async_io::block_on(tasks.run(work))
}

/// Such a process. It ends when this is dropped, and when this process ends, however that does.
pub(super) struct AloneProcess {
    child: Child,
    out: BufReader<ChildStdout>,
}

impl AloneProcess {
    /// Starts this program again as one hollow front end.
    pub fn start(order: &AloneOrder) -> Result<AloneProcess, ComparisonError> {
        let mut child = std::process::Command::new(std::env::current_exe()?)
            .arg("hollow")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let out = BufReader::new(child.stdout.take().ok_or(ComparisonError::AloneNotReady)?);
        let mut process = AloneProcess { child, out };
        let mut line = serde_json::to_string(order).map_err(io::Error::other)?;
        line.push('\n');
        let input = process
            .child
            .stdin
            .as_mut()
            .ok_or(ComparisonError::AloneNotReady)?;
        input.write_all(line.as_bytes())?;
        Ok(process)
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it follows the store; it ends by itself if that takes too long.
    pub fn until_ready(&mut self) -> Result<(), ComparisonError> {
        let mut line = String::new();
        self.out.read_line(&mut line)?;
        if line.trim() == READY {
            Ok(())
        } else {
            Err(ComparisonError::AloneNotReady)
        }
    }
}

impl Drop for AloneProcess {
    fn drop(&mut self) {
        // At the end of its standard input it ends.
        self.child.stdin = None;
        let _ = self.child.wait();
    }
}
