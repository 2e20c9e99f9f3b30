//! What a front end is told at its start, and again when its file is replaced.

use orchidtally_platform_config::FrontEndSettings;
use orchidtally_platform_discovery::{DiscoveredEndpoint, LocationTable};
use orchidtally_socket_io::is_local_fault;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

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

/// Calls that a start needs are tried again after this pause, so many times: what the machine lacks may be there then,
/// and the address may still be held by the process before.
pub(crate) const START_PAUSE: Duration = Duration::from_millis(50);
pub(crate) const START_TRIES: usize = 100;

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: f64,
}

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub memory: usize,
    pub sockets: usize,
    pub resolver: SocketAddr,
    pub serial: u32,
    pub known: Vec<DiscoveredEndpoint>,
    pub locations: LocationTable,
    pub settings: FrontEndSettings,
}

/// Why a front end can't start from its file, and what to do about it.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("{file}: {source}; it has to be a file that can be read")]
    Unreadable {
        file: String,
        source: std::io::Error,
    },
    #[error("{file}: {why}; write it whole, as one JSON object")]
    NotJson { file: String, why: String },
    #[error("{file}: key 'settings': {source}")]
    Settings {
        file: String,
        source: orchidtally_platform_config::SettingsError,
    },
    #[error("{file}: key 'known': {why}; write the updates as the resolver told them")]
    Known { file: String, why: String },
    #[error("{file}: key 'seed': {why}; write hex digits, 16 at the most")]
    Seed { file: String, why: String },
    #[error("{file}: key 'limits.{key}': {value} is under {least}; grant at least so much")]
    Limit {
        file: String,
        key: &'static str,
        value: f64,
        least: f64,
    },
    #[error(
        "{variable} is '{told}', key '{key}' is '{written}'; make them the same, or leave the variable out"
    )]
    Disagrees {
        variable: &'static str,
        told: String,
        key: &'static str,
        written: String,
    },
}

/// Reads the file whole; a fault names it and the key.
pub fn read(path: &Path) -> Result<Start, StartError> {
    let file = path.display().to_string();
    let text = std::fs::read(path).map_err(|source| StartError::Unreadable {
        file: file.clone(),
        source,
    })?;
    parse(&file, &text)
}

/// The same at a start, where there is no earlier file to go on with: a read that fails for want of something on this
/// machine is tried again for a while.
pub fn read_at_start(path: &Path) -> Result<Start, StartError> {
    let may_pass = |fault: &StartError| matches!(fault, StartError::Unreadable { source, .. } if is_local_fault(source));
    for _ in 1..START_TRIES {
        match read(path) {
            Err(fault) if may_pass(&fault) => std::thread::sleep(START_PAUSE),
            other => return other,
        }
    }
    read(path)
}

pub(crate) fn parse(file: &str, text: &[u8]) -> Result<Start, StartError> {
    let file = || file.to_owned();
    let written: StartFile = serde_json::from_slice(text).map_err(|e| StartError::NotJson {
        file: file(),
        why: e.to_string(),
    })?;
    let settings =
        orchidtally_platform_config::front_end_settings(&written.settings).map_err(|source| {
            StartError::Settings {
                file: file(),
                source,
            }
        })?;
    let mut places = LocationTable::new(settings.zones.clone(), settings.executor_kinds.clone());
    let (serial, known) =
        orchidtally_platform_discovery::initial_endpoints(&written.known, &mut places)
            .map_err(|why| StartError::Known { file: file(), why })?;
    let seed = u64::from_str_radix(&written.seed, 16).map_err(|e| StartError::Seed {
        file: file(),
        why: e.to_string(),
    })?;
    let least = |value: f64, least: f64, key| match value >= least {
        true => Ok(value as usize),
        false => Err(StartError::Limit {
            file: file(),
            key,
            value,
            least,
        }),
    };
    Ok(Start {
        name: written.name,
        listen: written.listen,
        seed,
        memory: least(written.limits.memory_mb, 8.0, "memory_mb")? << 20,
        sockets: least(written.limits.sockets, 48.0, "sockets")?,
        resolver: written.dns,
        serial,
        known,
        locations: places,
        settings,
    })
}

impl Start {
    /// The environment tells some of it too; it has to tell the same.
    pub fn agrees(&self, name: Option<&str>, listen: Option<&str>) -> Result<(), StartError> {
        let disagrees = |variable, told: &str, key, written| {
            Err(StartError::Disagrees {
                variable,
                told: told.to_owned(),
                key,
                written,
            })
        };
        if let Some(told) = name.filter(|&n| n != self.name) {
            return disagrees("LB_NAME", told, "name", self.name.clone());
        }
        match listen.filter(|l| l.parse::<SocketAddr>().ok() != Some(self.listen)) {
            None => Ok(()),
            Some(told) => disagrees("LB_LISTEN", told, "listen", self.listen.to_string()),
        }
    }
}
