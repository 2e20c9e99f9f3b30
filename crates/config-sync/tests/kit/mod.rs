//! A simulated store and simulated front ends, in simulated time. Runs with the same seeds are identical.
#![allow(dead_code)] // Each test file uses only a part of the kit.

pub mod fleet;
pub mod front_end;
pub mod loaded;
pub mod store;

use orchidtally_config_sync::EntryKey;
use orchidtally_config_sync::writer::EntryChange;

pub fn key(text: &str) -> EntryKey {
    EntryKey::parse(text).expect("the test's key is valid")
}

/// The document of a function, with about 300 bytes.
pub fn function(digest: &str, when_stale: &str, allowed: bool) -> Vec<u8> {
    let padding = "0".repeat(150);
    format!(
        r#"{{"when_stale":"{when_stale}","spec":{{"allowed":{allowed},"versions":[{{"digest":"sha256:{digest}{padding}","lanes":4,"memory":256000000,"load_time":0.2,"work":0.01}}]}}}}"#
    )
    .into_bytes()
}

pub fn quota(calls_per_second: f64) -> Vec<u8> {
    format!(r#"{{"spec":{{"calls_per_second":{calls_per_second}}}}}"#).into_bytes()
}

pub fn trigger_type(objective: f64, timeout: f64) -> Vec<u8> {
    format!(r#"{{"spec":{{"objective":{objective},"timeout":{timeout}}}}}"#).into_bytes()
}

pub fn put(name: &str, document: Vec<u8>) -> EntryChange {
    EntryChange {
        key: key(name),
        document: Some(document),
    }
}

pub fn delete(name: &str) -> EntryChange {
    EntryChange {
        key: key(name),
        document: None,
    }
}
