//! `orchidtally journal`: looks into a folder of durable state.

use crate::{BAD_INPUT, COULD_NOT_RUN, NOT_SO, fail};
use clap::Subcommand;
use orchidtally_journal::{Journal, Recovered, inspect};
use orchidtally_mqtt_triggers::durable_invocations::{self, DurableInvocations};
use orchidtally_mqtt_triggers::ledger::{self, Ledger};
use orchidtally_rollout::coordinator::CoordinatorState;
use serde::de::DeserializeOwned;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

#[derive(clap::Args)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Tell whether a journal is whole, and what its end is like. Changes nothing.
    Check { folder: PathBuf },
    /// Print the snapshot and the entries since, one a line; what is not text as hexadecimal digits.
    Show { folder: PathBuf },
    /// Fold a journal's entries into a snapshot: a coordinator's, that of triggers, or of promises.
    Compact { folder: PathBuf },
}

/// Prints why a journal can't be used; returns the exit code.
fn journal_failure(folder: &Path, error: &std::io::Error) -> u8 {
    eprintln!("{error}");
    match error.kind() {
        ErrorKind::InvalidData => NOT_SO,
        ErrorKind::NotFound => fail(
            BAD_INPUT,
            format!("{}: there is no journal", folder.display()),
        ),
        _ => COULD_NOT_RUN,
    }
}

/// An entry as a line.
fn line(bytes: &[u8]) -> String {
    match std::str::from_utf8(bytes) {
        Ok(text) if !text.contains(char::is_control) => text.into(),
        _ => bytes.iter().map(|b| format!("{b:02x}")).collect(),
    }
}

/// The records of a journal, if all of them are of this kind.
fn records_of_kind<R: DeserializeOwned>(found: &Recovered) -> Option<Vec<R>> {
    let mut records: Vec<R> = match &found.snapshot {
        Some(state) => serde_json::from_slice(state).ok()?,
        None => vec![],
    };
    for entry in &found.entries {
        records.push(serde_json::from_slice(entry).ok()?);
    }
    Some(records)
}

/// A snapshot of the state that all entries lead to.
fn snapshot(found: &Recovered) -> Option<Vec<u8>> {
    if let Some(records) = records_of_kind::<ledger::Record>(found) {
        // The actions are for its front end.
        let (ledger, _) = Ledger::recover(&records, u32::MAX, 0.0);
        return serde_json::to_vec(&ledger.snapshot()).ok();
    }
    if let Some(records) = records_of_kind::<durable_invocations::Record>(found) {
        let all =
            DurableInvocations::new(f64::INFINITY, usize::MAX, usize::MAX).with_records(&records);
        return serde_json::to_vec(&all.records()).ok();
    }
    // Each of a coordinator's entries is its whole state.
    let last = found.entries.last()?;
    serde_json::from_slice::<CoordinatorState>(last).ok()?;
    Some(last.clone())
}

pub fn run(arguments: Arguments) -> Result<(), u8> {
    match arguments.command {
        Command::Check { folder } => {
            let found = inspect(&folder).map_err(|e| journal_failure(&folder, &e))?;
            let bytes: usize = found.entries.iter().map(Vec::len).sum();
            let snapshot = found.snapshot.map_or("no snapshot".into(), |s| {
                format!("a snapshot of {} bytes", s.len())
            });
            println!(
                "whole: {snapshot}, {} entries of {bytes} bytes since",
                found.entries.len()
            );
            if found.truncated_bytes > 0 {
                println!(
                    "{} bytes at the end are an append that was cut short; opening it drops them",
                    found.truncated_bytes
                );
            }
        }
        Command::Show { folder } => {
            let found = inspect(&folder).map_err(|e| journal_failure(&folder, &e))?;
            found
                .snapshot
                .iter()
                .for_each(|s| println!("snapshot {}", line(s)));
            found
                .entries
                .iter()
                .enumerate()
                .for_each(|(n, e)| println!("{n} {}", line(e)));
        }
        Command::Compact { folder } => {
            // Opening makes a folder where there is none, which is not meant here.
            inspect(&folder).map_err(|e| journal_failure(&folder, &e))?;
            let (mut journal, found) =
                Journal::open(&folder).map_err(|e| journal_failure(&folder, &e))?;
            if found.entries.is_empty() {
                println!("nothing to fold");
                return Ok(());
            }
            let Some(state) = snapshot(&found) else {
                eprintln!(
                    "{}: what it holds is of no known kind; it is left as it is",
                    folder.display()
                );
                return Err(NOT_SO);
            };
            let before = journal.length();
            journal
                .snapshot(&state)
                .map_err(|e| journal_failure(&folder, &e))?;
            println!(
                "{before} bytes of entries folded into a snapshot of {} bytes",
                state.len()
            );
        }
    }
    Ok(())
}
