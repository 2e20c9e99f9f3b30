//! A rollout within a rehearsed day: a coordinator as a process of its own, killed outright on the way, and a new
//! version that is as the options have it. What came of it is read off the stand-ins' records.

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
const OLD: &[u8] = b"mist, first version";
const NEW: &[u8] = b"mist, second version";
const TIMEOUT: Duration = Duration::from_secs(2);
const NEVER: &str = "never started";
/// Within this a rollout that is taken back has to be at an end everywhere, in seconds.
const BACK_WITHIN: f64 = 5.0;

/// Of the day: when the rollout begins, the coordinator is killed, and a version that fails later begins to. An
/// operator takes it back at the last.
const BEGINS: f64 = 0.05;
const KILLED: f64 = 0.3;
const FAILS: f64 = 0.45;
const BY_HAND: f64 = 0.85;

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

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum NewVersion {
    /// As good as the old one.
    Fine,
    /// Fails often, from the first on.
    Fails,
    /// Begins to fail in the middle of the day.
    FailsLater,
    /// Takes three times as long.
    Slow,
    /// The store has other bytes than its digest names.
    OtherBytes,
}

/// The options of the rollout that is played under a day.
pub struct Options {
    /// The text of the plan.
    pub plan: String,
    /// What the new version is like.
    pub new: NewVersion,
}

/// What came of the rollout.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Observed {
    pub state: String,
    /// From the moment at which it was taken back until the last invocation offered after it that came to the
    /// new version; none where it was not taken back.
    pub back_in_s: Option<f64>,
    pub digest_mismatches: u64,
    /// Dispatches of the new version that ran.
    pub ran_new: u64,
    #[serde(skip)]
    pub notified: Vec<String>,
}

impl Observed {
    /// Whether it came to the end that it should.
    pub fn is_well(&self) -> bool {
        // A rehearsal whose rollout never began has tried nothing.
        self.state != NEVER
            && self.digest_mismatches == 0
            && self.back_in_s.is_none_or(|s| s <= BACK_WITHIN)
    }
}

/// An order to the coordinator that it did not take. The text is that of the cause.
#[derive(Debug, thiserror::Error)]
enum OrderError {
    /// The order can't be written as JSON.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// The coordinator gave no response.
    #[error(transparent)]
    NoResponse(#[from] io::Error),
    /// The coordinator rejected the order.
    #[error("{reason}")]
    Rejected { reason: String },
}

/// The name that a plan gives; whether it is sound is the coordinator's to say.
fn name(plan: &str) -> String {
    let document = Document::new(plan);
    let value = document.parse();
    let name = value.as_ref().and_then(|v| match v {
        jsonc_parser::ast::Value::Object(o) => o.get_string("name").map(|s| s.value.to_string()),
        _ => None,
    });
    name.unwrap_or_default()
}

/// A rollout that is played under a day.
pub struct Rolling {
    stage: TestEnvironment,
    plan: String,
    /// The rollout's, as the plan gives it.
    name: String,
    new: NewVersion,
    fails: Cell<f64>,
    at: SocketAddr,
    state: PathBuf,
    child: RefCell<Option<Child>>,
    history: RefCell<Vec<Event>>,
    faults: RefCell<Vec<String>>,
}

impl Rolling {
    /// A rollout whose coordinator is not started yet.
    pub fn new(stage: &TestEnvironment, options: &Options) -> io::Result<Rolling> {
        let at = reserve_address()?;
        let state =
            std::env::temp_dir().join(format!("orchidtally-rollout-{}", std::process::id()));
        // One of an earlier process with this number.
        let _ = std::fs::remove_dir_all(&state);
        Ok(Rolling {
            stage: stage.clone(),
            plan: options.plan.clone(),
            name: name(&options.plan),
            new: options.new,
            fails: Cell::new(if options.new == NewVersion::Fails {
                0.5
            } else {
                0.0
            }),
            at,
            state,
            child: RefCell::default(),
            history: RefCell::default(),
            faults: RefCell::default(),
        })
    }

    /// The sections of the deployment file.
    pub fn description(&self) -> String {
        let (old, new) = (digest(OLD), digest(NEW));
        format!(
            r#"functions: [{{ name: "{FUNCTION}", lanes: 4, memory: "100MB", loadTime: "300ms", work: "20ms",
    versions: [{{ digest: "sha256:{old}" }}, {{ digest: "sha256:{new}" }}],
    aliases: {{ stable: "sha256:{old}", next: "sha256:{new}" }} }}],
  rollouts: {{ coordinators: ["{}"], every: "250ms" }},"#,
            self.at
        )
    }

    /// What the store has under a name.
    pub fn program(&self, name: &str) -> Option<Program> {
        let named = name.strip_prefix(FUNCTION)?.strip_prefix('@')?;
        let is_new = named == digest(NEW);
        let bytes: &[u8] = match (is_new, self.new) {
            (true, NewVersion::OtherBytes) => b"something else",
            (true, _) => NEW,
            (false, _) => OLD,
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
            failure_probability: if is_new { self.fails.get() } else { 0.0 },
            ..Program::default()
        })
    }

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
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn end(&self) {
        self.kill();
        // It lies in the temporary folder, where nobody misses it.
        let _ = std::fs::remove_dir_all(&self.state);
    }

    async fn order(&self, order: &OperatorRequest) -> Result<(), OrderError> {
        let body = serde_json::to_vec(order)?;
        let (status, body) =
            fetch(self.at, Method::POST, "/v1/rollouts/orders", body, TIMEOUT).await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(OrderError::Rejected {
                reason: String::from_utf8_lossy(&body).into_owned(),
            })
        }
    }

    /// Until the coordinator takes it, for some seconds.
    async fn insist(&self, order: OperatorRequest) {
        let until = self.stage.now() + 5.0;
        loop {
            match self.order(&order).await {
                Ok(()) => return,
                Err(fault) if self.stage.now() > until => {
                    self.faults.borrow_mut().push(fault.to_string());
                    return;
                }
                Err(_) => self.stage.sleep(0.1).await,
            }
        }
    }

    async fn look(&self) {
        let path = format!("/v1/rollouts/{}/history", self.name);
        if let Ok((status, body)) = fetch(self.at, Method::GET, &path, vec![], TIMEOUT).await
            && status.is_success()
            && let Ok(history) = serde_json::from_slice::<Vec<Event>>(&body)
        {
            *self.history.borrow_mut() = history;
        }
    }

    pub async fn perform(&self, from: f64, length: f64, deployment: &Path) {
        let moment = |part: f64| from + part * length;
        self.stage.sleep(moment(BEGINS) - self.stage.now()).await;
        self.insist(OperatorRequest::Start {
            plan: self.plan.clone(),
            dry_run: false,
        })
        .await;
        self.stage.sleep(moment(KILLED) - self.stage.now()).await;
        self.look().await;
        self.kill();
        self.stage.sleep(0.5).await;
        if let Err(fault) = self.start(deployment) {
            self.faults
                .borrow_mut()
                .push(format!("the coordinator did not start again: {fault}"));
        }
        self.stage.sleep(moment(FAILS) - self.stage.now()).await;
        if self.new == NewVersion::FailsLater {
            self.fails.set(0.5);
        }
        self.stage.sleep(moment(BY_HAND) - self.stage.now()).await;
        self.look().await;
        let on = self
            .history
            .borrow()
            .last()
            .is_some_and(|e| !e.phase.has_ended());
        if on && self.new != NewVersion::Fine {
            self.insist(OperatorRequest::RollBack {
                name: self.name.clone(),
                reason: "the rehearsal takes it back".into(),
            })
            .await;
        }
        self.stage.sleep(moment(1.0) - self.stage.now()).await;
        self.look().await;
    }

    pub fn observed(&self, records: &[TrafficRecord]) -> Observed {
        let history = self.history.borrow();
        let state = history.last().map_or(NEVER, |e| e.phase.name()).to_owned();
        // The coordinator's clock is the machine's; the records' began with the stage.
        let back = history
            .iter()
            .find(|e| e.phase == orchidtally_rollout::Phase::RolledBack);
        let back = back.map(|e| e.at - self.stage.unix_time(0.0));
        let mut seen = Observed {
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
        let (new, mut last) = (digest(NEW), 0.0f64);
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
            seen.digest_mismatches += u64::from(named != loaded);
            if *named == new {
                seen.ran_new += 1;
                last = last.max(sent.get(invocation.as_str()).copied().unwrap_or(0.0));
            }
        }
        seen.back_in_s = back.map(|back| (last - back).max(0.0));
        let first = history.first().map_or(0.0, |e| e.at);
        seen.notified = history
            .iter()
            .map(|e| format!("{:>6.2} s  {}: {}", e.at - first, e.phase.name(), e.reason))
            .collect();
        seen.notified.extend(self.faults.borrow().iter().cloned());
        seen.notified.push(format!(
            "{} dispatches of the new version ran",
            seen.ran_new
        ));
        seen
    }
}
