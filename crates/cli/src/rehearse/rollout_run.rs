//! A rollout during a rehearsal. The coordinator runs as a separate process and is killed and restarted on the way; the
//! new version behaves as the options say. The result is derived from the coordinator's history and the records of the
//! test servers.

use bytes::Bytes;
use clap::ValueEnum;
use http::Method;
use orchidtally_coordinator::OperatorRequest;
use orchidtally_deployment::reader::Document;
use orchidtally_invariants::TrafficRecord;
use orchidtally_rollout::coordinator::Event;
use orchidtally_socket_io::http::fetch;
use orchidtally_test_servers::executor::{Program, digest, echo};
use orchidtally_test_servers::{TestEnvironment, reserve_address};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The function that is rolled out.
pub const FUNCTION: &str = "mist";
/// The packages of both versions.
const OLD_PACKAGE: &[u8] = b"mist, first version";
const NEW_PACKAGE: &[u8] = b"mist, second version";
/// Time limit of a request to the coordinator.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The state of a rollout that never started.
const NEVER_STARTED: &str = "never started";
/// Time within which a rollback has to take effect at all front ends, in seconds.
const MAX_ROLLBACK_TIME: f64 = 5.0;

/// When the rollout starts, as a share of the scenario's duration like the constants below.
const START_AT: f64 = 0.05;
/// When the coordinator is killed.
const KILL_AT: f64 = 0.3;
/// When a version that fails later begins to fail.
const FAIL_AT: f64 = 0.45;
/// When the operator rolls back a rollout that is still running.
const ROLL_BACK_AT: f64 = 0.85;

/// The built-in plan.
pub const PLAN: &str = r#"{
  name: "misting", function: "mist", from: "stable", to: "next",
  loadsPerSecond: 0.8, keepFrom: "30s", falseAlarm: 0.005,
  gates: { slow: { ratio: 1.5 }, slowTail: { ratio: 2 } },
  steps: [
    { share: 0.1, leastTime: "1s", leastEvidence: 10 },
    { share: 0.4, leastTime: "2s", leastEvidence: 50 },
    { share: 1, leastTime: "2s", leastEvidence: 50 },
  ],
}"#;

/// Behaviour of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum NewVersion {
    /// Behaves like the old version.
    Fine,
    /// Fails half of its dispatches from the start.
    Fails,
    /// Begins to fail half of its dispatches in the middle of the scenario.
    FailsLater,
    /// Takes three times as long as the old version.
    Slow,
    /// The bytes in the store do not match the version's digest.
    OtherBytes,
}

/// The options of the rollout.
pub struct Options {
    /// The text of the plan.
    pub plan: String,
    /// The behaviour of the new version.
    pub new: NewVersion,
}

/// The result of the rollout.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Observed {
    /// The last phase, or [`NEVER_STARTED`].
    pub state: String,
    /// Seconds between the rollback and the sending of the last invocation that the new version executed; `None` if the
    /// rollout was not rolled back.
    pub back_in_s: Option<f64>,
    /// Executions for which the loaded digest differs from the requested one.
    pub digest_mismatches: u64,
    /// Dispatches that the new version executed.
    pub ran_new: u64,
    /// Lines for the report: the history, errors and the dispatches of the new version.
    #[serde(skip)]
    pub report_lines: Vec<String>,
}

impl Observed {
    /// Whether the rollout started, loaded no wrong bytes and, if rolled back, was rolled back in time.
    pub fn succeeded(&self) -> bool {
        // A rollout that never started has tested nothing.
        self.state != NEVER_STARTED
            && self.digest_mismatches == 0
            && self.back_in_s.is_none_or(|s| s <= MAX_ROLLBACK_TIME)
    }
}

/// Why an operator's request to the coordinator failed. It is displayed as its cause.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    /// The request can't be encoded as JSON.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// The coordinator gave no response.
    #[error(transparent)]
    NoResponse(#[from] io::Error),
    /// The coordinator rejected the request.
    #[error("{reason}")]
    Rejected { reason: String },
}

/// The name in a plan; empty if there is none. The coordinator validates the plan.
fn plan_name(plan: &str) -> String {
    let document = Document::new(plan);
    let value = document.parse();
    let name = value.as_ref().and_then(|v| match v {
        jsonc_parser::ast::Value::Object(o) => o.get_string("name").map(|s| s.value.to_string()),
        _ => None,
    });
    name.unwrap_or_default()
}

/// A rollout that runs beside the scenario's traffic.
pub struct RolloutRun {
    environment: TestEnvironment,
    plan: String,
    /// The name of the rollout, from the plan.
    name: String,
    new: NewVersion,
    /// The share of the new version's dispatches that fail.
    failure_share: Cell<f64>,
    /// The coordinator's address.
    at: SocketAddr,
    /// The coordinator's state folder.
    state: PathBuf,
    /// The coordinator's process, while it runs.
    child: RefCell<Option<Child>>,
    history: RefCell<Vec<Event>>,
    /// Errors for the report.
    errors: RefCell<Vec<String>>,
}

impl RolloutRun {
    /// A rollout whose coordinator is not started yet.
    pub fn new(environment: &TestEnvironment, options: &Options) -> io::Result<RolloutRun> {
        let at = reserve_address()?;
        let state =
            std::env::temp_dir().join(format!("orchidtally-rollout-{}", std::process::id()));
        // Removes the folder of an earlier process with the same id, if there is one.
        let _ = std::fs::remove_dir_all(&state);
        Ok(RolloutRun {
            environment: environment.clone(),
            plan: options.plan.clone(),
            name: plan_name(&options.plan),
            new: options.new,
            failure_share: Cell::new(if options.new == NewVersion::Fails {
                0.5
            } else {
                0.0
            }),
            at,
            state,
            child: RefCell::default(),
            history: RefCell::default(),
            errors: RefCell::default(),
        })
    }

    /// The sections of the deployment file that describe the function and the coordinator.
    pub fn deployment_sections(&self) -> String {
        let (old, new) = (digest(OLD_PACKAGE), digest(NEW_PACKAGE));
        format!(
            r#"functions: [{{ name: "{FUNCTION}", lanes: 4, memory: "100MB", loadTime: "300ms", work: "20ms",
    versions: [{{ digest: "sha256:{old}" }}, {{ digest: "sha256:{new}" }}],
    aliases: {{ stable: "sha256:{old}", next: "sha256:{new}" }} }}],
  rollouts: {{ coordinators: ["{}"], every: "250ms" }},"#,
            self.at
        )
    }

    /// The program that the store holds under a name; `None` if the name is not a version of the function.
    pub fn program(&self, name: &str) -> Option<Program> {
        let named = name.strip_prefix(FUNCTION)?.strip_prefix('@')?;
        let is_new = named == digest(NEW_PACKAGE);
        let bytes: &[u8] = match (is_new, self.new) {
            (true, NewVersion::OtherBytes) => b"something else",
            (true, _) => NEW_PACKAGE,
            (false, _) => OLD_PACKAGE,
        };
        Some(Program {
            concurrency: 4,
            memory: 100.0,
            load_time: 0.3,
            cpu_time: if is_new && self.new == NewVersion::Slow {
                0.06
            } else {
                0.02
            },
            run: echo,
            package: Bytes::from_static(bytes),
            failure_probability: if is_new {
                self.failure_share.get()
            } else {
                0.0
            },
            ..Program::default()
        })
    }

    /// Starts the coordinator.
    pub fn start(&self, deployment: &Path) -> io::Result<()> {
        let mut command = Command::new(std::env::current_exe()?);
        command
            .args([
                "--log",
                "error",
                "rollout",
                "coordinate",
                "--until-input-ends",
                "--deployment",
            ])
            .arg(deployment)
            .arg("--state")
            .arg(&self.state)
            .args(["--listen", &self.at.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::null());
        *self.child.borrow_mut() = Some(command.spawn()?);
        Ok(())
    }

    fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            // An error means that the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills the coordinator and removes its state.
    pub fn shut_down(&self) {
        self.kill();
        // An error is ignored: a folder left in the temporary folder does no harm.
        let _ = std::fs::remove_dir_all(&self.state);
    }

    /// Sends an operator's request to the coordinator.
    async fn send(&self, request: &OperatorRequest) -> Result<(), RequestError> {
        let body = serde_json::to_vec(request)?;
        let (status, body) =
            fetch(self.at, Method::POST, "/v1/rollouts/orders", body, TIMEOUT).await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(RequestError::Rejected {
                reason: String::from_utf8_lossy(&body).into_owned(),
            })
        }
    }

    /// Repeats a request until the coordinator accepts it, for at most 5 s.
    async fn send_until_accepted(&self, request: OperatorRequest) {
        let until = self.environment.now() + 5.0;
        loop {
            match self.send(&request).await {
                Ok(()) => return,
                Err(fault) if self.environment.now() > until => {
                    self.errors.borrow_mut().push(fault.to_string());
                    return;
                }
                Err(_) => self.environment.sleep(0.1).await,
            }
        }
    }

    /// Reads the rollout's history from the coordinator; keeps the previous one if that fails.
    async fn update_history(&self) {
        let path = format!("/v1/rollouts/{}/history", self.name);
        if let Ok((status, body)) = fetch(self.at, Method::GET, &path, vec![], TIMEOUT).await
            && status.is_success()
            && let Ok(history) = serde_json::from_slice::<Vec<Event>>(&body)
        {
            *self.history.borrow_mut() = history;
        }
    }

    /// Runs the rollout in a scenario that starts at `from` and takes `length` seconds.
    pub async fn run(&self, from: f64, length: f64, deployment: &Path) {
        let moment = |part: f64| from + part * length;
        self.environment
            .sleep(moment(START_AT) - self.environment.now())
            .await;
        self.send_until_accepted(OperatorRequest::Start {
            plan: self.plan.clone(),
            dry_run: false,
        })
        .await;
        self.environment
            .sleep(moment(KILL_AT) - self.environment.now())
            .await;
        self.update_history().await;
        self.kill();
        self.environment.sleep(0.5).await;
        if let Err(fault) = self.start(deployment) {
            self.errors
                .borrow_mut()
                .push(format!("the coordinator did not restart: {fault}"));
        }
        self.environment
            .sleep(moment(FAIL_AT) - self.environment.now())
            .await;
        if self.new == NewVersion::FailsLater {
            self.failure_share.set(0.5);
        }
        self.environment
            .sleep(moment(ROLL_BACK_AT) - self.environment.now())
            .await;
        self.update_history().await;
        let is_running = self
            .history
            .borrow()
            .last()
            .is_some_and(|e| !e.phase.has_ended());
        if is_running && self.new != NewVersion::Fine {
            self.send_until_accepted(OperatorRequest::RollBack {
                name: self.name.clone(),
                reason: "the rehearsal rolls it back".into(),
            })
            .await;
        }
        self.environment
            .sleep(moment(1.0) - self.environment.now())
            .await;
        self.update_history().await;
    }

    /// Derives the result from the history and the traffic records.
    pub fn observed(&self, records: &[TrafficRecord]) -> Observed {
        let history = self.history.borrow();
        let state = history
            .last()
            .map_or(NEVER_STARTED, |e| e.phase.name())
            .to_owned();
        // The history has wall-clock times; the records' times count from the start of the test environment.
        let back = history
            .iter()
            .find(|e| e.phase == orchidtally_rollout::Phase::RolledBack);
        let back = back.map(|e| e.at - self.environment.unix_time(0.0));
        let mut observed = Observed {
            state,
            ..Observed::default()
        };
        let sent: HashMap<&str, f64> = records
            .iter()
            .filter_map(|record| match record {
                TrafficRecord::InvocationSent { at, invocation, .. } => {
                    Some((invocation.as_str(), *at))
                }
                _ => None,
            })
            .collect();
        let (new, mut last) = (digest(NEW_PACKAGE), 0.0f64);
        for record in records {
            let TrafficRecord::VersionExecuted {
                invocation,
                requested_digest: named,
                loaded_digest: loaded,
                ..
            } = record
            else {
                continue;
            };
            observed.digest_mismatches += u64::from(named != loaded);
            if *named == new {
                observed.ran_new += 1;
                last = last.max(sent.get(invocation.as_str()).copied().unwrap_or(0.0));
            }
        }
        observed.back_in_s = back.map(|back| (last - back).max(0.0));
        let first = history.first().map_or(0.0, |e| e.at);
        observed.report_lines = history
            .iter()
            .map(|e| format!("{:>6.2} s  {}: {}", e.at - first, e.phase.name(), e.reason))
            .collect();
        observed
            .report_lines
            .extend(self.errors.borrow().iter().cloned());
        observed.report_lines.push(format!(
            "{} dispatches of the new version were executed",
            observed.ran_new
        ));
        observed
    }
}
