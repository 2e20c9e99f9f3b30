//! The run's side of the store's process.

use super::command::{Answer, ClientUsage, Command, Usage};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, ChildStdout, Stdio};
use thiserror::Error;

/// Why the store's process could not be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store's process could not be started or reached.
    #[error("the store's process could not be started or reached: {0}; see its messages above")]
    Io(#[from] std::io::Error),
    /// An answer could not be decoded.
    #[error("the store's process answered with no JSON of ours: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The process ended.
    #[error("the store's process ended; see its messages above")]
    Ended,
    /// The store could not do what the run asked.
    #[error("the store could not do what the run asked: {0}")]
    Failed(String),
}

/// The store's process. It ends when this is dropped.
pub struct StoreProcess {
    child: Child,
    commands: Option<ChildStdin>,
    answers: BufReader<ChildStdout>,
}

impl StoreProcess {
    /// Starts this program again as a store.
    pub fn start() -> Result<StoreProcess, StoreError> {
        let mut child = std::process::Command::new(std::env::current_exe()?)
            .arg("store")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let commands = child.stdin.take();
        let answers = BufReader::new(child.stdout.take().ok_or(StoreError::Ended)?);
        Ok(StoreProcess {
            child,
            commands,
            answers,
        })
    }

    /// Sends a command and waits for the answer.
    pub fn ask(&mut self, command: &Command) -> Result<Answer, StoreError> {
        let mut line = serde_json::to_string(command)?;
        line.push('\n');
        let commands = self.commands.as_mut().ok_or(StoreError::Ended)?;
        commands.write_all(line.as_bytes())?;
        commands.flush()?;
        let mut answer = String::new();
        if self.answers.read_line(&mut answer)? == 0 {
            return Err(StoreError::Ended);
        }
        match serde_json::from_str(&answer)? {
            Answer::Failed { reason } => Err(StoreError::Failed(reason)),
            answer => Ok(answer),
        }
    }

    /// Performs a command whose answer has no content.
    pub fn run(&mut self, command: &Command) -> Result<(), StoreError> {
        self.ask(command).map(drop)
    }

    /// What the store's process has used so far.
    pub fn usage(&mut self) -> Result<Usage, StoreError> {
        match self.ask(&Command::Usage)? {
            Answer::Usage(usage) => Ok(usage),
            other => Err(StoreError::Failed(format!(
                "{other:?} instead of its usage"
            ))),
        }
    }

    /// What the clients have moved so far, by name.
    pub fn clients(&mut self) -> Result<Vec<ClientUsage>, StoreError> {
        match self.ask(&Command::Clients)? {
            Answer::Clients { clients } => Ok(clients),
            other => Err(StoreError::Failed(format!(
                "{other:?} instead of its clients"
            ))),
        }
    }

    /// The members' addresses by the client's region, members of that region first.
    pub fn addresses(&mut self) -> Result<Vec<Vec<SocketAddr>>, StoreError> {
        match self.ask(&Command::Addresses)? {
            Answer::Addresses { by_region } => Ok(by_region),
            other => Err(StoreError::Failed(format!(
                "{other:?} instead of its addresses"
            ))),
        }
    }
}

impl Drop for StoreProcess {
    fn drop(&mut self) {
        // The end of its standard input ends it; the rest is for one that hangs.
        self.commands = None;
        for _ in 0..100 {
            match self.child.try_wait() {
                Ok(None) => std::thread::sleep(std::time::Duration::from_millis(10)),
                _ => return,
            }
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
