//! The configuration of a run: functions of about 300 bytes each.

use crate::store::PREFIX;
use orchidtally_config_sync::writer::{
    self, EntryChange, Generation, Operation, ReadValue, ReadValues,
};
use orchidtally_config_sync::{EntryKey, Keyspace, SyncSettings};

/// The generation of the store's configuration.
const GENERATION: u64 = 1;

/// The settings of a front end, but for the prefix those of the core.
pub fn settings() -> SyncSettings {
    SyncSettings {
        prefix: format!("{PREFIX}config/"),
        ..SyncSettings::default()
    }
}

/// The keys of configuration in the store.
pub fn keyspace() -> Keyspace {
    Keyspace::new(settings().prefix)
}

/// The key of a function by its number.
pub fn function_key(number: usize) -> EntryKey {
    EntryKey::parse(&format!("functions/function-{number}"))
        .expect("a kind and a name without control characters")
}

/// What a function's document says.
#[derive(Clone, Copy, Debug)]
pub struct Function {
    /// Version of the function.
    pub version: u64,
    /// Whether the function may be called.
    pub allowed: bool,
    /// It is refused while the view is not known to be current.
    pub refused_when_stale: bool,
}

impl Function {
    /// One that may be called.
    pub fn version(version: u64) -> Function {
        Function {
            version,
            allowed: true,
            refused_when_stale: false,
        }
    }

    /// The document, of about 300 bytes.
    pub fn document(self) -> Vec<u8> {
        let when_stale = if self.refused_when_stale {
            "refuse"
        } else {
            "serve"
        };
        let digest = format!("sha256:{:064x}", self.version);
        serde_json::json!({
            "when_stale": when_stale,
            "spec": {
                "allowed": self.allowed,
                "versions": [{
                    "digest": digest, "lanes": 4, "memory": 256_000_000, "load_time": 0.25, "work": 0.05,
                }],
                "aliases": { "stable": digest },
            },
        })
        .to_string()
        .into_bytes()
    }
}

/// A new version of each of some functions.
pub fn changes(functions: impl Iterator<Item = usize>, version: u64) -> Vec<EntryChange> {
    let change = |number| EntryChange {
        key: function_key(number),
        document: Some(Function::version(version).document()),
    };
    functions.map(change).collect()
}

/// Keys and values of the complete configuration: entries, digests and generation.
pub fn all(functions: usize) -> Vec<(Vec<u8>, Vec<u8>)> {
    let keyspace = keyspace();
    let entry = |number| {
        (
            keyspace.entry(&function_key(number)),
            Function::version(0).document(),
        )
    };
    let mut all: Vec<(Vec<u8>, Vec<u8>)> = (0..functions).map(entry).collect();
    let read: ReadValues = all
        .iter()
        .map(|(key, value)| {
            (
                key.clone(),
                ReadValue {
                    value: value.clone(),
                    mod_revision: 0,
                },
            )
        })
        .collect();
    for operation in writer::repair(&keyspace, &read).operations {
        match operation {
            Operation::Put { key, value } => all.push((key, value)),
            Operation::Delete { .. } => {}
        }
    }
    all.push((keyspace.generation(), Generation::new(GENERATION).to_json()));
    all
}
