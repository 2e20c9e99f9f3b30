//! What front ends and operators ask of a coordinator over HTTP.

use crate::server::{CoordinatorServer, SENDER_TIME, now};
use crate::{Order, Status};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use orchidtally_rollout::coordinator::{Command, Run};
use orchidtally_rollout::forecast::{StepForecast, forecast, orders_granted};
use orchidtally_rollout::frontend::EvidenceReport;
use orchidtally_rollout::plan::{GATES, Gate};
use orchidtally_rollout::{Plan, Rollout};
use serde::Serialize;
use serde_json::json;
use std::convert::Infallible;

/// The most bytes of a request's body.
const MAX_BODY: usize = 16 * 1024 * 1024;

pub(crate) type Reply = Response<Full<Bytes>>;

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
    pub(crate) async fn respond(&self, request: Request<Incoming>) -> Result<Reply, Infallible> {
        let (parts, body) = request.into_parts();
        let read = orchidtally_net::within(SENDER_TIME, Limited::new(body, MAX_BODY).collect()).await;
        let body = match read {
            Some(Ok(body)) => body.to_bytes(),
            Some(Err(e)) => return Ok(refused(StatusCode::PAYLOAD_TOO_LARGE, &[e.to_string()])),
            None => return Ok(refused(StatusCode::REQUEST_TIMEOUT, &["the body came too slowly".into()])),
        };
        let path = parts.uri.path();
        let history = path.strip_prefix("/v1/rollouts/").and_then(|p| p.strip_suffix("/history"));
        Ok(match (&parts.method, path) {
            (&Method::POST, "/v1/rollouts/exchange") => self.exchange(&body),
            (&Method::POST, "/v1/rollouts/orders") => self.order(&body).unwrap_or_else(|refusal| refusal),
            (&Method::GET, "/v1/rollouts") => reply(StatusCode::OK, &self.status()),
            (&Method::GET, _) if history.is_some() => self.history(history.unwrap_or_default()),
            _ => refused(StatusCode::NOT_FOUND, &[format!("there is no {} {path}", parts.method)]),
        })
    }

    /// A front end reports its evidence, and is told the state of all rollouts.
    fn exchange(&self, body: &[u8]) -> Reply {
        let report: EvidenceReport = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(e) => return refused(StatusCode::BAD_REQUEST, &[e.to_string()]),
        };
        self.coordinator.borrow_mut().evidence(now(), &report);
        let coordinator = self.coordinator.borrow();
        if let Some(epoch) = coordinator.superseded() {
            let what = format!("a coordinator of term {} has taken over", epoch.term);
            return refused(StatusCode::CONFLICT, &[what]);
        }
        reply(StatusCode::OK, coordinator.published())
    }

    /// An operator's order.
    fn order(&self, body: &[u8]) -> Result<Reply, Reply> {
        let order: Order =
            serde_json::from_slice(body).map_err(|e| refused(StatusCode::BAD_REQUEST, &[e.to_string()]))?;
        let command = match order {
            Order::Start { plan, dry } => {
                let plan = self.read_plan(&plan)?;
                if dry {
                    return Ok(self.dry_run(&plan));
                }
                self.start(plan)?
            }
            Order::Pause { name } => Command::Pause { name },
            Order::Resume { name } => Command::Resume { name },
            Order::Back { name, why } => Command::Back { name, why },
            Order::Advance { name, why } => Command::Advance { name, why },
            Order::Finish { name } => Command::Finish { name },
        };
        let done = self.coordinator.borrow_mut().command(now(), &command, rand::random());
        done.map_err(|error| refused(StatusCode::CONFLICT, &[error.to_string()]))?;
        if self.persist_changes() {
            Ok(reply(StatusCode::OK, &self.status()))
        } else {
            Err(refused(StatusCode::INTERNAL_SERVER_ERROR, &["the state can't be kept".into()]))
        }
    }

    fn read_plan(&self, text: &str) -> Result<Plan, Reply> {
        Plan::read(text, &self.deployment).map_err(|faults| {
            let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
            refused(StatusCode::BAD_REQUEST, &faults)
        })
    }

    /// The steps of a plan, and its loads against the ration.
    fn dry_run(&self, plan: &Plan) -> Reply {
        let steps: Vec<StepForecast> = forecast(plan, &self.deployment);
        // Without a ration there is no bound to report.
        let granted = Some(orders_granted(&self.deployment)).filter(|granted| granted.is_finite());
        let body = json!({ "steps": steps, "loadsPerSecond": plan.loads_per_second, "granted": granted });
        reply(StatusCode::OK, &body)
    }

    /// The command that starts a plan between the versions that it names now.
    fn start(&self, plan: Plan) -> Result<Command, Reply> {
        let versions = (self.digest(&plan.function, &plan.from), self.digest(&plan.function, &plan.to));
        let (Some(from), Some(to)) = versions else {
            return Err(refused(StatusCode::BAD_REQUEST, &["a version of the plan is not known".into()]));
        };
        if from == to {
            let what = format!("'{}' and '{}' name the same version by now", plan.from, plan.to);
            return Err(refused(StatusCode::CONFLICT, &[what]));
        }
        Ok(Command::Start { plan: Box::new(plan), from, to })
    }

    /// The digest of a version that is named by an alias or a digest. An alias names what it has moved to.
    fn digest(&self, function: &str, name: &str) -> Option<String> {
        let coordinator = self.coordinator.borrow();
        let aliases = coordinator.published().aliases.get(function);
        let moved = aliases.and_then(|aliases| aliases.get(name));
        let function = self.deployment.function(function)?;
        let version = function.version(moved.map_or(name, String::as_str))?;
        Some(version.digest.to_string())
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
        let rollouts: Vec<Status> = published
            .rollouts
            .iter()
            .filter_map(|(name, rollout)| Some(status_of(name, rollout, runs.get(name)?)))
            .collect();
        json!({
            "term": published.epoch.term,
            "number": published.number,
            "rollouts": rollouts,
            "aliases": published.aliases,
        })
    }
}

fn status_of(name: &str, rollout: &Rollout, run: &Run) -> Status {
    let step = rollout.split_at().and_then(|step| rollout.plan.steps.get(step));
    let is_judged = |gate: &&Gate| rollout.plan.gate(**gate).is_some();
    let evidence = |gate: &Gate| (gate.name().to_owned(), run.tests.evidence(*gate));
    Status {
        name: name.to_owned(),
        function: rollout.plan.function.clone(),
        phase: rollout.phase,
        step: rollout.step + 1,
        steps: rollout.plan.steps.len(),
        share: step.map_or(0.0, |step| step.share),
        reason: rollout.reason.clone(),
        time: run.time,
        rate: run.rate(),
        old: run.step[0],
        new: run.step[1],
        evidence: GATES.iter().filter(is_judged).map(evidence).collect(),
        takes_back: rollout.plan.threshold(),
    }
}
