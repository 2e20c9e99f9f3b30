//! A snapshot of a store's complete configuration, as front ends write it to disk.

use super::configuration::{Configuration, Options};
use crate::config::entries;
use async_executor::LocalExecutor;
use async_io::Timer;
use orchidtally_config_sync::{SettingsError, SyncSettings};
use orchidtally_http_frontend::config::SnapshotFile;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Interval at which the snapshot file is looked for.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Why there is no snapshot.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// The settings of configuration distribution are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// No snapshot was written within this time, in seconds.
    #[error("no snapshot of the store's configuration was written within {0} s")]
    NotInTime(f64),
}

/// Reads the complete configuration without rate limit and has the snapshot written to `path`, which must not exist yet.
///
/// # Errors
/// Nothing was written within `timeout` seconds.
pub async fn write_snapshot(
    path: PathBuf,
    endpoints: &[SocketAddr],
    tasks: &Rc<LocalExecutor<'static>>,
    timeout: f64,
) -> Result<Vec<u8>, SnapshotError> {
    let settings = SyncSettings {
        read_bytes_per_second: 1e9,
        read_burst: 1e9,
        page_bytes: 1e6,
        spread: 0.0,
        snapshot_interval: 0.1,
        ..entries::settings()
    };
    let file = SnapshotFile::new(path);
    let options = Options {
        number: usize::MAX,
        endpoints,
        settings,
        start_from: None,
        snapshot: Some(file.clone()),
        seed: 0,
        on_apply: Rc::new(|_, _| {}),
    };
    let reader = Configuration::new(options, tasks)?;
    let task = reader.start(tasks);
    let began = Instant::now();
    let mut written = None;
    while written.is_none() && began.elapsed().as_secs_f64() < timeout {
        Timer::after(LOOK_INTERVAL).await;
        // A file gets its name only once it is complete.
        written = file.read().0.into_iter().next();
    }
    drop(task);
    reader.stop();
    written.ok_or(SnapshotError::NotInTime(timeout))
}
