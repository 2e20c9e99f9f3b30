//! Parts of a whole run side by side, each in a process of its own: their processor time, memory and event loops don't
//! mix.

use crate::report::Report;
use std::process::{Child, Command, Stdio};
use thiserror::Error;

/// Why a part gave no report.
#[derive(Debug, Error)]
pub enum PartError {
    #[error("the part '{part}' could not be started: {why}")]
    NotStarted { part: String, why: std::io::Error },
    #[error("the part '{part}' ended without a report; see its messages above")]
    NoReport { part: String },
}

/// A part that runs.
pub struct Part {
    name: String,
    child: Child,
}

impl Part {
    /// Starts this program anew with these arguments; the first names the part.
    pub fn start(arguments: &[String]) -> Result<Part, PartError> {
        let name = arguments.first().cloned().unwrap_or_default();
        let spawned = std::env::current_exe().and_then(|program| {
            Command::new(program).args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).spawn()
        });
        match spawned {
            Ok(child) => Ok(Part { name, child }),
            Err(why) => Err(PartError::NotStarted { part: name, why }),
        }
    }

    /// Waits for its report: the last line that it prints.
    pub fn report(self) -> Result<Report, PartError> {
        let name = self.name;
        let output = self.child.wait_with_output().ok();
        let text = output.and_then(|output| String::from_utf8(output.stdout).ok()).unwrap_or_default();
        let report = text.lines().last().and_then(|line| serde_json::from_str(line).ok());
        report.ok_or(PartError::NoReport { part: name })
    }
}
