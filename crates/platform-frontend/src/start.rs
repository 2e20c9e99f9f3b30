//! The start file: what a front end is given at its start, and again when the file is replaced.

use orchidtally_platform_config::{FrontEndSettings, SettingsError};
use orchidtally_platform_discovery::{DiscoveredEndpoint, InitialEndpointsError, LocationTable};
use orchidtally_socket_io::is_local_error;
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// Pause between two attempts of a call that the start needs. What the machine lacks may be there a moment later, and
/// the address may still be held by the previous process.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Attempts of such a call.
const MAX_ATTEMPTS: usize = 100;

/// The least memory in MiB that a front end can be granted.
const MIN_MEMORY_MB: f64 = 8.0;
/// The fewest descriptors that a front end can be granted.
const MIN_DESCRIPTORS: f64 = 48.0;

/// The file as it is written.
#[derive(Deserialize)]
struct StartFile {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: Limits,
    dns: SocketAddr,
    known: serde_json::Value,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: f64,
}

/// What a front end is started from.
pub struct StartConfig {
    /// The name of this front end.
    pub name: String,
    /// The address on which clients are accepted.
    pub listen: SocketAddr,
    /// The seed of the policy's random numbers.
    pub seed: u64,
    /// The memory granted, in bytes.
    pub memory_bytes: usize,
    /// The descriptors granted.
    pub max_descriptors: usize,
    /// The resolver's address.
    pub resolver: SocketAddr,
    /// The serial of the endpoint list of the start.
    pub initial_serial: u32,
    /// The endpoint list of the start.
    pub initial_endpoints: Vec<DiscoveredEndpoint>,
    /// The zones and executor kinds of the settings and that list.
    pub locations: LocationTable,
    /// The settings.
    pub settings: FrontEndSettings,
}

/// Why a front end can't start from its file, and what to do about it.
#[derive(Debug, Error)]
pub enum StartError {
    /// The file can't be read.
    #[error("{file}: {source}; it has to be a file that can be read")]
    Unreadable {
        /// The file.
        file: String,
        /// The failure of the read.
        source: io::Error,
    },
    /// The file does not hold the JSON object that is wanted.
    #[error("{file}: {source}; write it whole, as one JSON object")]
    InvalidJson {
        /// The file.
        file: String,
        /// What is wrong with the JSON.
        source: serde_json::Error,
    },
    /// The settings can't be used.
    #[error("{file}: key 'settings': {source}")]
    Settings {
        /// The file.
        file: String,
        /// The setting and what is wrong with it.
        source: SettingsError,
    },
    /// The endpoint list of the start can't be used.
    #[error("{file}: key 'known': {source}; write the updates as the resolver told them")]
    InitialEndpoints {
        /// The file.
        file: String,
        /// What is wrong with the list.
        source: InitialEndpointsError,
    },
    /// The seed is no number.
    #[error("{file}: key 'seed': {source}; write hex digits, 16 at the most")]
    Seed {
        /// The file.
        file: String,
        /// What is wrong with the number.
        source: std::num::ParseIntError,
    },
    /// A limit is too low.
    #[error("{file}: key 'limits.{key}': {value} is under {min}; grant at least so much")]
    LimitTooLow {
        /// The file.
        file: String,
        /// The limit.
        key: &'static str,
        /// Its value.
        value: f64,
        /// The least value.
        min: f64,
    },
    /// The environment contradicts the file.
    #[error(
        "{variable} is '{environment}', key '{key}' is '{configured}'; make them the same, or leave the variable out"
    )]
    EnvironmentMismatch {
        /// The environment variable.
        variable: &'static str,
        /// Its value.
        environment: String,
        /// The key of the file.
        key: &'static str,
        /// The value of that key.
        configured: String,
    },
}

/// Reads a start file.
///
/// # Errors
/// The file can't be read or used; the error names the file and the key.
pub fn read(path: &Path) -> Result<StartConfig, StartError> {
    let file = path.display().to_string();
    let text = std::fs::read(path).map_err(|source| StartError::Unreadable {
        file: file.clone(),
        source,
    })?;
    parse(&file, &text)
}

/// Reads the start file at the start of the process, where there is no earlier one to go on with: a read that fails for
/// want of something on this machine is retried for some seconds.
///
/// # Errors
/// As for `read`.
pub fn read_at_start(path: &Path) -> Result<StartConfig, StartError> {
    retry(
        || read(path),
        |error| matches!(error, StartError::Unreadable { source, .. } if is_local_error(source)),
    )
}

/// Retries a call that fails for want of something on this machine, or because its address is in use.
pub(crate) fn retry_local_failures<T>(call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    retry(call, |error| {
        is_local_error(error) || error.kind() == io::ErrorKind::AddrInUse
    })
}

fn retry<T, E>(
    mut call: impl FnMut() -> Result<T, E>,
    is_transient: impl Fn(&E) -> bool,
) -> Result<T, E> {
    for _ in 1..MAX_ATTEMPTS {
        match call() {
            Err(error) if is_transient(&error) => std::thread::sleep(RETRY_PAUSE),
            other => return other,
        }
    }
    call()
}

pub(crate) fn parse(file: &str, text: &[u8]) -> Result<StartConfig, StartError> {
    let file = || file.to_owned();
    let raw: StartFile =
        serde_json::from_slice(text).map_err(|source| StartError::InvalidJson {
            file: file(),
            source,
        })?;
    let settings =
        orchidtally_platform_config::front_end_settings(&raw.settings).map_err(|source| {
            StartError::Settings {
                file: file(),
                source,
            }
        })?;
    let mut locations = LocationTable::new(settings.zones.clone(), settings.executor_kinds.clone());
    let initial = orchidtally_platform_discovery::initial_endpoints(&raw.known, &mut locations)
        .map_err(|source| StartError::InitialEndpoints {
            file: file(),
            source,
        })?;
    let seed = u64::from_str_radix(&raw.seed, 16).map_err(|source| StartError::Seed {
        file: file(),
        source,
    })?;
    let at_least = |value: f64, min: f64, key| {
        if value >= min {
            Ok(value as usize)
        } else {
            Err(StartError::LimitTooLow {
                file: file(),
                key,
                value,
                min,
            })
        }
    };
    Ok(StartConfig {
        name: raw.name,
        listen: raw.listen,
        seed,
        memory_bytes: at_least(raw.limits.memory_mb, MIN_MEMORY_MB, "memory_mb")? << 20,
        max_descriptors: at_least(raw.limits.sockets, MIN_DESCRIPTORS, "sockets")?,
        resolver: raw.dns,
        initial_serial: initial.serial,
        initial_endpoints: initial.endpoints,
        locations,
        settings,
    })
}

impl StartConfig {
    /// Checks the name and the listen address of the environment, which have to be those of the file if they are set.
    ///
    /// # Errors
    /// One of them differs.
    pub fn check_environment(
        &self,
        name: Option<&str>,
        listen: Option<&str>,
    ) -> Result<(), StartError> {
        if let Some(environment) = name.filter(|&name| name != self.name) {
            return Err(StartError::EnvironmentMismatch {
                variable: "LB_NAME",
                environment: environment.to_owned(),
                key: "name",
                configured: self.name.clone(),
            });
        }
        let differs = |listen: &&str| listen.parse::<SocketAddr>().ok() != Some(self.listen);
        if let Some(environment) = listen.filter(differs) {
            return Err(StartError::EnvironmentMismatch {
                variable: "LB_LISTEN",
                environment: environment.to_owned(),
                key: "listen",
                configured: self.listen.to_string(),
            });
        }
        Ok(())
    }
}
