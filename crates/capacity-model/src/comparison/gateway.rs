//! Processes of `orchidtally serve` beside hollow front ends.

use orchidtally_config_sync::ReportedState;
use serde::Deserialize;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use thiserror::Error;

/// What the gateway's program is called.
const PROGRAM: &str = "orchidtally";
/// How to build it in the profile of this program.
const BUILD: &str = if cfg!(debug_assertions) {
    "cargo build --locked -p orchidtally-cli"
} else {
    "cargo build --release --locked -p orchidtally-cli"
};
/// Timeout of a request for a front end's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// A process that does not end by itself is killed after this many checks.
const END_LOOKS: usize = 100;
const END_LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Why real front ends could not be run.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The gateway's program does not exist.
    #[error(
        "there is no program {program} to compare hollow front ends with; build it with `{BUILD}`, or name \
         another one by --gateway",
        program = program.display()
    )]
    NotBuilt {
        /// The program.
        program: PathBuf,
    },
    /// The path of this program is unknown.
    #[error("the place of this program is not known: {0}; name the gateway's program by --gateway")]
    NoPlace(io::Error),
    /// The process could not be started.
    #[error("{program} could not be started: {why}", program = program.display())]
    NotStarted {
        /// The program.
        program: PathBuf,
        /// Reason of the operating system.
        why: io::Error,
    },
    /// The process ended or did not listen.
    #[error("a front end's process ended or did not listen; the last line of its log: {last}")]
    NotListening {
        /// Last line of its log.
        last: String,
    },
    /// The status of a front end could not be read.
    #[error("the status of a front end could not be read: {0}")]
    NoStatus(io::Error),
    /// The status of a front end has another format.
    #[error(
        "the status of a front end is not that of this version: {0}; build both programs together: `{BUILD}`"
    )]
    OtherVersion(#[from] serde_json::Error),
}

/// The gateway's program: the one named, or that beside this program.
///
/// # Errors
/// There is none.
pub fn gateway_program(named: Option<&Path>) -> Result<PathBuf, GatewayError> {
    let program = match named {
        Some(program) => program.into(),
        None => std::env::current_exe()
            .map_err(GatewayError::NoPlace)?
            .with_file_name(PROGRAM),
    };
    match program.is_file() {
        true => Ok(program),
        false => Err(GatewayError::NotBuilt { program }),
    }
}

/// The part of a front end's status that shows whether it follows the store.
#[derive(Debug, Deserialize)]
pub struct FrontEndStatus {
    roster: Option<RosterStatus>,
    configuration: Option<ConfigurationStatus>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RosterStatus {
    executors: usize,
    front_ends: usize,
}

#[derive(Debug, Deserialize)]
struct ConfigurationStatus {
    state: ReportedState,
    entries: usize,
    age: Option<f64>,
}

impl FrontEndStatus {
    /// Whether it knows all of these and its configuration is proven current.
    pub fn follows(&self, executors: usize, front_ends: usize, functions: usize) -> bool {
        let FrontEndStatus {
            roster: Some(roster),
            configuration: Some(configuration),
        } = self
        else {
            return false;
        };
        let knows_all = roster.executors == executors && roster.front_ends >= front_ends;
        let is_current =
            configuration.state == ReportedState::Following && configuration.age.is_some();
        knows_all && is_current && configuration.entries == functions
    }
}

/// One process. It ends when this is dropped, and when this process ends, however that does: its standard input is a
/// pipe from here, at whose end it ends.
pub struct Gateway {
    child: Child,
    address: SocketAddr,
}

impl Gateway {
    /// Starts `orchidtally serve` as the front end with this index, and waits until it listens. The deployment file
    /// and the log stand in `folder`.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        index: usize,
        deployment: &str,
    ) -> Result<Gateway, GatewayError> {
        let not_started = |why| GatewayError::NotStarted {
            program: program.into(),
            why,
        };
        let (file, log) = (
            folder.join(format!("{name}.json5")),
            folder.join(format!("{name}.log")),
        );
        std::fs::write(&file, deployment).map_err(not_started)?;
        let mut child = Command::new(program)
            .args(["serve", "--until-input-ends", "--listen", "127.0.0.1:0"])
            .args(["--index", &index.to_string()])
            .arg("--deployment")
            .arg(&file)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(File::create(&log).map_err(not_started)?)
            .spawn()
            .map_err(not_started)?;
        let address = child
            .stdout
            .take()
            .and_then(|out| listening_address(BufReader::new(out)));
        let mut gateway = Gateway {
            child,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        match address {
            Some(address) => gateway.address = address,
            None => {
                return Err(GatewayError::NotListening {
                    last: last_line(&log),
                });
            }
        }
        Ok(gateway)
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// The status that the front end reports.
    pub async fn status(&self) -> Result<FrontEndStatus, GatewayError> {
        let (get, path) = (http::Method::GET, "/v1/front-end");
        let asked =
            orchidtally_socket_io::http::fetch(self.address, get, path, vec![], STATUS_TIMEOUT);
        let (_, body) = asked.await.map_err(GatewayError::NoStatus)?;
        Ok(serde_json::from_slice(&body)?)
    }
}

/// The address in the first line that a front end prints.
fn listening_address(mut out: impl BufRead) -> Option<SocketAddr> {
    let mut line = String::new();
    out.read_line(&mut line).ok()?;
    line.trim()
        .strip_prefix("listening on http://")?
        .parse()
        .ok()
}

fn last_line(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    text.lines().last().unwrap_or("it is empty").into()
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The end of its standard input ends it; the rest is for one that hangs.
        self.child.stdin = None;
        for _ in 0..END_LOOKS {
            match self.child.try_wait() {
                Ok(None) => std::thread::sleep(END_LOOK_INTERVAL),
                _ => return,
            }
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
