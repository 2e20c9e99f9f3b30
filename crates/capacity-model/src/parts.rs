//! Parts of a whole run side by side, each in a process of its own: their processor time, memory and event loops don't
//! mix.

use crate::report::Report;
use std::io::Read;
use std::process::{Child, Command, Stdio};
use thiserror::Error;

/// Why a part gave no report.
#[derive(Debug, Error)]
pub enum PartError {
    /// The process of the part could not be started.
    #[error("the part '{part}' could not be started: {why}")]
    NotStarted {
        /// Name of the part.
        part: String,
        /// Reason of the operating system.
        why: std::io::Error,
    },
    /// The process ended without a report.
    #[error("the part '{part}' ended without a report; see its messages above")]
    NoReport {
        /// Name of the part.
        part: String,
    },
}

/// A part that runs. It ends when this is dropped, and when this process ends, however that does: its standard input is
/// a pipe from here.
pub struct Part {
    name: String,
    child: Child,
}

impl Part {
    /// Starts this program anew with these arguments; the first names the part.
    pub fn start(arguments: &[String]) -> Result<Part, PartError> {
        let name = arguments.first().cloned().unwrap_or_default();
        let spawned = std::env::current_exe().and_then(|program| {
            Command::new(program)
                .args(arguments)
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()
        });
        match spawned {
            Ok(child) => Ok(Part { name, child }),
            Err(why) => Err(PartError::NotStarted { part: name, why }),
        }
    }

    /// Waits for its report: the last line that it prints.
    pub fn report(mut self) -> Result<Report, PartError> {
        let mut text = String::new();
        let read = self
            .child
            .stdout
            .take()
            .map(|mut out| out.read_to_string(&mut text));
        let is_whole = matches!(read, Some(Ok(_)));
        let report = text
            .lines()
            .last()
            .and_then(|line| serde_json::from_str(line).ok());
        report
            .filter(|_| is_whole)
            .ok_or_else(|| PartError::NoReport {
                part: self.name.clone(),
            })
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        // At the end of its standard input it ends.
        self.child.stdin = None;
        let _ = self.child.wait();
    }
}

/// Ends this process once its standard input has ended, as a part does whose run is gone. What it started sees the end of
/// its own input then.
pub fn end_with_input(exit_code: u8) {
    std::thread::spawn(move || {
        // An input that can't be read has ended too.
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        std::process::exit(exit_code.into());
    });
}
