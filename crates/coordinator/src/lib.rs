//! The coordinator of rollouts as a process. What it decided is in its journal before anyone hears of it, so that
//! a process killed between the two says the same when it is back, under a higher term.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::future;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use orchidtally_deployment::Deployment;
use orchidtally_journal::Journal;
use orchidtally_net::Stream;
use orchidtally_rollout::coordinator::{Command, CoordinatorState};
use orchidtally_rollout::evidence::Counts;
use orchidtally_rollout::frontend::EvidenceReport;
use orchidtally_rollout::plan::GATES;
use orchidtally_rollout::reckoning::{Reckoned, orders_granted, reckon};
use orchidtally_rollout::{Coordinator, Epoch, Phase, Plan};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_hyper::rt::SmolTimer;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{error, info, warn};

/// How often the rules are gone through, and what is new is written down where nothing was decided.
const TURN: Duration = Duration::from_millis(500);
const KEPT_EVERY: u32 = 2;
/// Entries are folded into a snapshot past this many bytes.
const LONG: u64 = 8 * 1024 * 1024;
/// What a front end or an operator may send, and how long it may take.
const MOST: usize = 16 * 1024 * 1024;
const SENDER_TIME: Duration = Duration::from_secs(5);
const MOST_CONNECTIONS: usize = 2_000;

/// What an operator's tool sends.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", tag = "what")]
pub enum Order {
    /// The plan's text, as its file has it; with `dry` only the reckoning is given.
    Start {
        plan: String,
        dry: bool,
    },
    Pause {
        name: String,
    },
    Resume {
        name: String,
    },
    Back {
        name: String,
        why: String,
    },
    Advance {
        name: String,
        why: String,
    },
    Finish {
        name: String,
    },
}

/// The state of one rollout, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    pub name: String,
    pub function: String,
    pub phase: Phase,
    /// From 1; of so many.
    pub step: usize,
    pub steps: usize,
    pub share: f64,
    /// Why the next step has not come, or why it stands where it stands.
    pub reason: String,
    /// Seconds that the step has been on.
    pub time: f64,
    /// Invocations of the function a second, as front ends tell.
    pub rate: f64,
    /// Answers, errors, slow, slow tail, load failures, throttled of this step: old and new.
    pub old: Counts,
    pub new: Counts,
    /// By gate: evidence that the new version is worse, as odds to 1, and what takes back.
    pub evidence: BTreeMap<String, f64>,
    pub takes_back: f64,
}

/// Why a coordinator ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// It was stopped.
    Stopped,
    /// Another one has a higher term.
    Superseded(Epoch),
}

struct CoordinatorServer {
    deployment: Deployment,
    coordinator: RefCell<Coordinator>,
    journal: RefCell<Journal>,
    /// The journal took nothing any more: nothing may be said that it doesn't hold.
    failed: RefCell<Option<io::Error>>,
    unkept: Cell<u32>,
    connections: Cell<usize>,
}

fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

/// Reads what a journal kept: its last whole entry says everything.
pub fn recover(folder: &Path) -> io::Result<(Journal, CoordinatorState)> {
    let (journal, recovered) = Journal::open(folder)?;
    if recovered.cut > 0 {
        warn!(bytes = recovered.cut, "the journal's end was not whole and was cut off");
    }
    let last = recovered.entries.last().or(recovered.snapshot.as_ref());
    let kept = match last {
        None => CoordinatorState::default(),
        Some(bytes) => serde_json::from_slice(bytes).map_err(|e| {
            let what = format!("{}: the journal's last entry can't be read: {e}", folder.display());
            io::Error::new(io::ErrorKind::InvalidData, what)
        })?,
    };
    Ok((journal, kept))
}

/// Runs a coordinator on this thread until it is stopped or superseded.
pub fn run(
    deployment: Deployment,
    folder: &Path,
    listener: Async<TcpListener>,
    stop: async_channel::Receiver<()>,
) -> io::Result<StopReason> {
    let (journal, kept) = recover(folder)?;
    let coordinator = Coordinator::new(kept, rand::random(), now());
    info!(term = coordinator.published().epoch.term, "a coordinator begins its term");
    let server = Rc::new(CoordinatorServer {
        deployment,
        coordinator: RefCell::new(coordinator),
        journal: RefCell::new(journal),
        failed: RefCell::default(),
        unkept: Cell::new(0),
        connections: Cell::new(0),
    });
    server.keep()?;
    let spawner = Rc::new(LocalExecutor::new());
    let accepting = {
        let (server, spawner) = (server.clone(), spawner.clone());
        async move {
            loop {
                let stream = orchidtally_net::accept(&listener).await;
                if server.connections.get() < MOST_CONNECTIONS {
                    spawner.spawn(server.clone().connection(stream)).detach();
                }
            }
        }
    };
    let stopped = async {
        // A closed channel stops as a message does.
        let _ = stop.recv().await;
        Ok(StopReason::Stopped)
    };
    let work = future::or(stopped, future::or(server.turns(), accepting));
    async_io::block_on(spawner.run(work))
}

type Reply = Response<Full<Bytes>>;

fn reply(status: StatusCode, body: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

fn refused(status: StatusCode, faults: &[String]) -> Reply {
    reply(status, &json!({ "faults": faults }))
}

impl CoordinatorServer {
    /// Writes down all that is to be kept.
    fn keep(&self) -> io::Result<()> {
        self.coordinator.borrow_mut().take_changed();
        self.unkept.set(0);
        let bytes = serde_json::to_vec(self.coordinator.borrow().state())?;
        let mut journal = self.journal.borrow_mut();
        if journal.length() > LONG { journal.snapshot(&bytes) } else { journal.append(&bytes) }
    }

    /// To be called after every change and before anything is said of it. A failure ends the process.
    fn keep_changes(&self) -> bool {
        if self.coordinator.borrow_mut().take_changed()
            && let Err(fault) = self.keep()
        {
            error!(%fault, "the state can't be kept");
            *self.failed.borrow_mut() = Some(fault);
        }
        self.failed.borrow().is_none()
    }

    async fn turns(&self) -> io::Result<StopReason> {
        loop {
            Timer::after(TURN).await;
            self.coordinator.borrow_mut().tick(now());
            if let Some(epoch) = self.coordinator.borrow().superseded() {
                let own = self.coordinator.borrow().published().epoch.term;
                warn!(own, other = epoch.term, "another coordinator has a higher term; this one stops");
                return Ok(StopReason::Superseded(epoch));
            }
            self.unkept.set(self.unkept.get() + 1);
            if self.keep_changes() && self.unkept.get() >= KEPT_EVERY && !self.is_idle() {
                // Evidence alone: what is lost of it is counted anew.
                if let Err(fault) = self.keep() {
                    warn!(%fault, "evidence can't be kept");
                }
            }
            if let Some(fault) = self.failed.borrow_mut().take() {
                return Err(fault);
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.coordinator.borrow().published().rollouts.values().all(|r| r.phase.is_over())
    }

    async fn connection(self: Rc<Self>, stream: Stream) {
        self.connections.set(self.connections.get() + 1);
        let peer = stream.peer();
        let service = hyper::service::service_fn(|request| self.respond(request));
        let served = hyper::server::conn::http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(SENDER_TIME)
            .serve_connection(stream, service)
            .await;
        if let Err(fault) = served.map_err(|e| e.to_string()) {
            tracing::debug!(?peer, fault, "a connection ended");
        }
        self.connections.set(self.connections.get() - 1);
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Reply, Infallible> {
        let (parts, body) = request.into_parts();
        let read = orchidtally_net::within(SENDER_TIME, Limited::new(body, MOST).collect()).await;
        let body = match read {
            Some(Ok(body)) => body.to_bytes(),
            Some(Err(e)) => return Ok(refused(StatusCode::PAYLOAD_TOO_LARGE, &[e.to_string()])),
            None => return Ok(refused(StatusCode::REQUEST_TIMEOUT, &["the body came too slowly".into()])),
        };
        let path = parts.uri.path();
        let history = path.strip_prefix("/v1/rollouts/").and_then(|p| p.strip_suffix("/history"));
        Ok(match (&parts.method, path) {
            (&Method::POST, "/v1/rollouts/exchange") => self.exchange(&body),
            (&Method::POST, "/v1/rollouts/orders") => self.order(&body),
            (&Method::GET, "/v1/rollouts") => reply(StatusCode::OK, &self.status()),
            (&Method::GET, _) if history.is_some() => self.history(history.unwrap_or_default()),
            _ => refused(StatusCode::NOT_FOUND, &[format!("there is no {} {path}", parts.method)]),
        })
    }

    fn exchange(&self, body: &[u8]) -> Reply {
        let report: EvidenceReport = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(e) => return refused(StatusCode::BAD_REQUEST, &[e.to_string()]),
        };
        self.coordinator.borrow_mut().evidence(now(), &report);
        let coordinator = self.coordinator.borrow();
        if let Some(epoch) = coordinator.superseded() {
            return refused(
                StatusCode::CONFLICT,
                &[format!("a coordinator of term {} has taken over", epoch.term)],
            );
        }
        reply(StatusCode::OK, coordinator.published())
    }

    fn order(&self, body: &[u8]) -> Reply {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(e) => return refused(StatusCode::BAD_REQUEST, &[e.to_string()]),
        };
        let command = match order {
            Order::Start { plan, dry } => {
                let plan = match Plan::read(&plan, &self.deployment) {
                    Ok(plan) => plan,
                    Err(faults) => {
                        let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
                        return refused(StatusCode::BAD_REQUEST, &faults);
                    }
                };
                let steps: Vec<Reckoned> = reckon(&plan, &self.deployment);
                if dry {
                    // Without a ration there is no bound to tell.
                    let granted = Some(orders_granted(&self.deployment)).filter(|g| g.is_finite());
                    let told = json!({ "steps": steps, "loadsPerSecond": plan.loads_per_second, "granted": granted });
                    return reply(StatusCode::OK, &told);
                }
                let digest = |name: &str| {
                    // An alias names what it has moved to.
                    let moved = self.coordinator.borrow().published().aliases.get(&plan.function).cloned();
                    let moved = moved.and_then(|a| a.get(name).cloned());
                    let function = self.deployment.function(&plan.function)?;
                    let version = function.version(moved.as_deref().unwrap_or(name))?;
                    Some(version.digest.to_string())
                };
                let (Some(from), Some(to)) = (digest(&plan.from), digest(&plan.to)) else {
                    return refused(StatusCode::BAD_REQUEST, &["a version of the plan is not known".into()]);
                };
                if from == to {
                    let what = format!("'{}' and '{}' name the same version by now", plan.from, plan.to);
                    return refused(StatusCode::CONFLICT, &[what]);
                }
                Command::Start { plan: Box::new(plan), from, to }
            }
            Order::Pause { name } => Command::Pause { name },
            Order::Resume { name } => Command::Resume { name },
            Order::Back { name, why } => Command::Back { name, why },
            Order::Advance { name, why } => Command::Advance { name, why },
            Order::Finish { name } => Command::Finish { name },
        };
        let done = self.coordinator.borrow_mut().command(now(), &command, rand::random());
        match done {
            Err(error) => refused(StatusCode::CONFLICT, &[error.to_string()]),
            Ok(()) if self.keep_changes() => reply(StatusCode::OK, &self.status()),
            Ok(()) => refused(StatusCode::INTERNAL_SERVER_ERROR, &["the state can't be kept".into()]),
        }
    }

    fn history(&self, name: &str) -> Reply {
        let coordinator = self.coordinator.borrow();
        match coordinator.state().runs.get(name) {
            Some(run) => reply(StatusCode::OK, &run.history),
            None => refused(StatusCode::NOT_FOUND, &[format!("there is no rollout '{name}'")]),
        }
    }

    fn status(&self) -> serde_json::Value {
        let coordinator = self.coordinator.borrow();
        let (published, runs) = (coordinator.published(), &coordinator.state().runs);
        let list: Vec<Status> = published
            .rollouts
            .iter()
            .filter_map(|(name, r)| {
                let run = runs.get(name)?;
                let evidence =
                    |g: &orchidtally_rollout::plan::Gate| (g.name().to_owned(), run.tests.evidence(*g));
                Some(Status {
                    name: name.clone(),
                    function: r.plan.function.clone(),
                    phase: r.phase,
                    step: r.step + 1,
                    steps: r.plan.steps.len(),
                    share: r.split_at().and_then(|s| r.plan.steps.get(s)).map_or(0.0, |s| s.share),
                    reason: r.reason.clone(),
                    time: run.time,
                    rate: run.rate(),
                    old: run.step[0],
                    new: run.step[1],
                    evidence: GATES.iter().filter(|g| r.plan.gate(**g).is_some()).map(evidence).collect(),
                    takes_back: r.plan.threshold(),
                })
            })
            .collect();
        json!({ "term": published.epoch.term, "number": published.number, "rollouts": list, "aliases": published.aliases })
    }
}
