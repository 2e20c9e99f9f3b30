//! `orchidtally journal`: inspects and compacts a journal folder.

use crate::{BAD_INPUT, COULD_NOT_RUN, NEGATIVE_RESULT, fail};
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
    /// Check a journal for damage and for an incomplete append at its end. Changes nothing.
    Check { folder: PathBuf },
    /// Print the snapshot and the entries since, one per line; binary entries in hexadecimal.
    Show { folder: PathBuf },
    /// Replace a journal's entries with a snapshot. Journals of coordinators, MQTT triggers and durable invocations are
    /// supported.
    Compact { folder: PathBuf },
}

/// Prints the error of a journal and returns the exit code for it.
fn journal_failure(folder: &Path, error: &std::io::Error) -> u8 {
    eprintln!("{error}");
    match error.kind() {
        ErrorKind::InvalidData => NEGATIVE_RESULT,
        ErrorKind::NotFound => fail(
            BAD_INPUT,
            format!("{}: there is no journal", folder.display()),
        ),
        _ => COULD_NOT_RUN,
    }
}

/// An entry as a line: as it is if it is printable text, in hexadecimal otherwise.
fn format_entry(bytes: &[u8]) -> String {
    match std::str::from_utf8(bytes) {
        Ok(text) if !text.contains(char::is_control) => text.into(),
        _ => bytes.iter().map(|b| format!("{b:02x}")).collect(),
    }
}

/// Decodes the snapshot and the entries of a journal; `None` if one of them is not a record of type `R`.
fn records_of_kind<R: DeserializeOwned>(recovered: &Recovered) -> Option<Vec<R>> {
    let mut records: Vec<R> = match &recovered.snapshot {
        Some(state) => serde_json::from_slice(state).ok()?,
        None => vec![],
    };
    for entry in &recovered.entries {
        records.push(serde_json::from_slice(entry).ok()?);
    }
    Some(records)
}

/// The snapshot that replaces all entries; `None` if the journal is of no known kind.
fn snapshot(recovered: &Recovered) -> Option<Vec<u8>> {
    if let Some(records) = records_of_kind::<ledger::Record>(recovered) {
        // The recovery actions are dropped: only a front end can carry them out.
        let (ledger, _) = Ledger::recover(&records, u32::MAX, 0.0);
        return serde_json::to_vec(&ledger.snapshot()).ok();
    }
    if let Some(records) = records_of_kind::<durable_invocations::Record>(recovered) {
        let all =
            DurableInvocations::new(f64::INFINITY, usize::MAX, usize::MAX).with_records(&records);
        return serde_json::to_vec(&all.records()).ok();
    }
    // A coordinator writes its complete state with each entry, so the last one is the snapshot.
    let last = recovered.entries.last()?;
    serde_json::from_slice::<CoordinatorState>(last).ok()?;
    Some(last.clone())
}

/// Runs a journal command.
pub fn run(arguments: Arguments) -> Result<(), u8> {
    match arguments.command {
        Command::Check { folder } => {
            let recovered = inspect(&folder).map_err(|e| journal_failure(&folder, &e))?;
            let bytes: usize = recovered.entries.iter().map(Vec::len).sum();
            let snapshot = recovered.snapshot.map_or("no snapshot".into(), |s| {
                format!("a snapshot of {} bytes", s.len())
            });
            println!(
                "whole: {snapshot}, {} entries of {bytes} bytes since",
                recovered.entries.len()
            );
            if recovered.truncated_bytes > 0 {
                println!(
                    "the last {} bytes are an incomplete append; they are dropped when the journal is opened",
                    recovered.truncated_bytes
                );
            }
        }
        Command::Show { folder } => {
            let recovered = inspect(&folder).map_err(|e| journal_failure(&folder, &e))?;
            recovered
                .snapshot
                .iter()
                .for_each(|s| println!("snapshot {}", format_entry(s)));
            recovered
                .entries
                .iter()
                .enumerate()
                .for_each(|(n, e)| println!("{n} {}", format_entry(e)));
        }
        Command::Compact { folder } => {
            // `Journal::open` creates a missing folder; `inspect` reports it as an error instead.
            inspect(&folder).map_err(|e| journal_failure(&folder, &e))?;
            let (mut journal, recovered) =
                Journal::open(&folder).map_err(|e| journal_failure(&folder, &e))?;
            if recovered.entries.is_empty() {
                println!("nothing to compact");
                return Ok(());
            }
            let Some(state) = snapshot(&recovered) else {
                eprintln!(
                    "{}: unknown kind of journal; left unchanged",
                    folder.display()
                );
                return Err(NEGATIVE_RESULT);
            };
            let before = journal.length();
            journal
                .snapshot(&state)
                .map_err(|e| journal_failure(&folder, &e))?;
            println!(
                "{before} bytes of entries compacted into a snapshot of {} bytes",
                state.len()
            );
        }
    }
    Ok(())
}
