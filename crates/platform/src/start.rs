//! What a front end is told at its start, and again when its file is replaced.

use orchidtally_resolver::{Entry, Places};
use orchidtally_terms::Grounds;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Deserialize)]
struct Told {
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

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub memory: usize,
    pub sockets: usize,
    pub resolver: SocketAddr,
    pub serial: u32,
    pub known: Vec<Entry>,
    pub places: Places,
    pub grounds: Grounds,
}

/// Reads the file whole; a fault names it and the key.
pub fn read(path: &Path) -> Result<Start, String> {
    let fault = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read(path).map_err(|e| fault(e.to_string()))?;
    parse(&text).map_err(fault)
}

pub(crate) fn parse(text: &[u8]) -> Result<Start, String> {
    let told: Told = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let grounds = orchidtally_terms::grounds(&told.settings)?;
    let mut places = Places::new(grounds.zones.clone(), grounds.kinds.clone());
    let (serial, known) =
        orchidtally_resolver::known(&told.known, &mut places).map_err(|e| format!("key 'known': {e}"))?;
    let seed = u64::from_str_radix(&told.seed, 16).map_err(|e| format!("key 'seed': {e}"))?;
    let least = |value: f64, least: f64, key: &str| match value >= least {
        true => Ok(value as usize),
        false => Err(format!("key 'limits.{key}': {value} is under {least}")),
    };
    Ok(Start {
        name: told.name,
        listen: told.listen,
        seed,
        memory: least(told.limits.memory_mb, 8.0, "memory_mb")? << 20,
        sockets: least(told.limits.sockets, 48.0, "sockets")?,
        resolver: told.dns,
        serial,
        known,
        places,
        grounds,
    })
}

impl Start {
    /// The environment tells some of it too; it has to tell the same.
    pub fn agrees(&self, name: Option<&str>, listen: Option<&str>) -> Result<(), String> {
        if let Some(name) = name.filter(|&n| n != self.name) {
            return Err(format!("LB_NAME is '{name}', key 'name' is '{}'", self.name));
        }
        let listen = listen.filter(|l| l.parse::<SocketAddr>().ok() != Some(self.listen));
        listen.map_or(Ok(()), |l| Err(format!("LB_LISTEN is '{l}', key 'listen' is '{}'", self.listen)))
    }
}
