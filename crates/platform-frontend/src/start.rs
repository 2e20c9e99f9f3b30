//! The start file: the configuration that a front end reads at startup and again when the file is replaced.

use crate::memory_budget;
use orchidtally_platform_config::{FrontEndSettings, SettingsError};
use orchidtally_platform_discovery::{InitialEndpoints, InitialEndpointsError, LocationTable};
use orchidtally_socket_io::is_local_error;
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// Pause between two attempts of a system call during startup. A missing local resource may become available a moment
/// later, and the previous process may still hold the listen address.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Attempts of such a call before its error is returned.
const MAX_ATTEMPTS: usize = 100;

/// The smallest accepted memory limit in MiB.
const MIN_MEMORY_MB: f64 = 8.0;
/// The smallest accepted limit on file descriptors.
const MIN_DESCRIPTORS: f64 = 48.0;

/// The start file as stored, before validation.
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

/// The validated configuration of a front end.
pub struct StartConfig {
    /// The name of this front end.
    pub name: String,
    /// The address on which client connections are accepted.
    pub listen: SocketAddr,
    /// The seed of the policy's random number generator.
    pub seed: u64,
    /// The memory limit in bytes.
    pub memory_bytes: usize,
    /// The limit on open file descriptors.
    pub max_descriptors: usize,
    /// The resolver's address.
    pub resolver: SocketAddr,
    /// The initial endpoint list.
    pub initial_list: InitialEndpoints,
    /// The zones and executor kinds that the settings and the initial endpoint list name.
    pub locations: LocationTable,
    /// The settings of the engine, the dispatch policy and the connections.
    pub settings: FrontEndSettings,
}

/// Why a start file can't be used. The text says how to correct it.
#[derive(Debug, Error)]
pub enum StartError {
    /// The file can't be read.
    #[error("cannot read {file}: {source}; it must be a readable file")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the read.
        source: io::Error,
    },
    /// The content is not a JSON object with the required keys.
    #[error("{file}: invalid start file: {source}; it must hold one complete JSON object")]
    InvalidJson {
        /// The file.
        file: String,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// A setting is missing or invalid.
    #[error("{file}: key 'settings': {source}")]
    Settings {
        /// The file.
        file: String,
        /// The setting and why it is invalid.
        source: SettingsError,
    },
    /// The initial endpoint list is invalid.
    #[error("{file}: key 'known': {source}; it must hold the updates in the resolver's format")]
    InitialEndpoints {
        /// The file.
        file: String,
        /// Why the list is invalid.
        source: InitialEndpointsError,
    },
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("{file}: key 'seed': {source}; it must be 1 to 16 hexadecimal digits")]
    Seed {
        /// The file.
        file: String,
        /// The error of the number parser.
        source: std::num::ParseIntError,
    },
    /// A limit is below its minimum.
    #[error("{file}: key 'limits.{key}': {value} is below the minimum of {min}")]
    LimitTooLow {
        /// The file.
        file: String,
        /// The key of the limit.
        key: &'static str,
        /// The configured value.
        value: f64,
        /// The smallest accepted value.
        min: f64,
    },
    /// An environment variable differs from the corresponding key of the file.
    #[error(
        "{variable} is '{environment}', key '{key}' is '{configured}'; make them equal, or unset the variable"
    )]
    EnvironmentMismatch {
        /// The environment variable.
        variable: &'static str,
        /// The value of the variable.
        environment: String,
        /// The key in the file.
        key: &'static str,
        /// The value of that key.
        configured: String,
    },
}

/// Reads and validates a start file.
///
/// # Errors
/// The file can't be read or is invalid. The error names the file and, for an invalid value, its key.
pub fn read(path: &Path) -> Result<StartConfig, StartError> {
    let file = path.display().to_string();
    let text = std::fs::read(path).map_err(|source| StartError::Unreadable {
        file: file.clone(),
        source,
    })?;
    parse(&file, &text)
}

/// Reads and validates the start file at startup, when there is no earlier configuration to fall back on.
///
/// A read that fails because this machine lacks a resource is retried for about five seconds.
///
/// # Errors
/// Those of `read`, after the retries.
pub fn read_at_start(path: &Path) -> Result<StartConfig, StartError> {
    retry(
        || read(path),
        |error| matches!(error, StartError::Unreadable { source, .. } if is_local_error(source)),
    )
}

/// Retries a call that fails because this machine lacks a resource or because the address is in use, for about five
/// seconds.
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
    let mut settings =
        orchidtally_platform_config::front_end_settings(&raw.settings).map_err(|source| {
            StartError::Settings {
                file: file(),
                source,
            }
        })?;
    let mut locations = LocationTable::new(settings.zones.clone(), settings.executor_kinds.clone());
    let initial_list =
        orchidtally_platform_discovery::initial_endpoints(&raw.known, &mut locations).map_err(
            |source| StartError::InitialEndpoints {
                file: file(),
                source,
            },
        )?;
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
    let memory_bytes = at_least(raw.limits.memory_mb, MIN_MEMORY_MB, "memory_mb")? << 20;
    settings.policy.max_functions = Some(memory_budget::max_functions(memory_bytes));
    Ok(StartConfig {
        name: raw.name,
        listen: raw.listen,
        seed,
        memory_bytes,
        max_descriptors: at_least(raw.limits.sockets, MIN_DESCRIPTORS, "sockets")?,
        resolver: raw.dns,
        initial_list,
        locations,
        settings,
    })
}

impl StartConfig {
    /// Checks that the environment's name and listen address, where they are set, equal those of the file.
    ///
    /// # Errors
    /// `StartError::EnvironmentMismatch` for the first one that differs.
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
