//! The HTTP interface of a coordinator, for front ends and operators.

use crate::error::ApiError;
use crate::server::{CoordinatorServer, REQUEST_TIMEOUT, now};
use crate::{OperatorRequest, RolloutStatus};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use orchidtally_rollout::coordinator::{Command, Run};
use orchidtally_rollout::forecast::{StepForecast, forecast, load_command_rate_limit};
use orchidtally_rollout::frontend::EvidenceReport;
use orchidtally_rollout::plan::{GATES, Gate};
use orchidtally_rollout::{Plan, Rollout};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::convert::Infallible;

/// The most bytes of a request body.
const MAX_BODY_LENGTH: usize = 16 * 1024 * 1024;

pub(crate) type ApiResponse = Response<Full<Bytes>>;

fn json_response(status: StatusCode, body: &impl Serialize) -> ApiResponse {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    response
}

fn error_response(error: &ApiError) -> ApiResponse {
    json_response(error.status(), &json!({ "faults": error.faults() }))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(ApiError::InvalidJson)
}

async fn read_body(body: Incoming) -> Result<Bytes, ApiError> {
    let collected = Limited::new(body, MAX_BODY_LENGTH).collect();
    orchidtally_socket_io::with_timeout(REQUEST_TIMEOUT, collected)
        .await
        .ok_or(ApiError::BodyTimeout)?
        .map(|body| body.to_bytes())
        .map_err(ApiError::UnreadableBody)
}

impl CoordinatorServer {
    pub(crate) async fn respond(
        &self,
        request: Request<Incoming>,
    ) -> Result<ApiResponse, Infallible> {
        Ok(self
            .route(request)
            .await
            .unwrap_or_else(|error| error_response(&error)))
    }

    async fn route(&self, request: Request<Incoming>) -> Result<ApiResponse, ApiError> {
        let (parts, body) = request.into_parts();
        let body = read_body(body).await?;
        let path = parts.uri.path();
        let history = path
            .strip_prefix("/v1/rollouts/")
            .and_then(|rest| rest.strip_suffix("/history"));
        match (&parts.method, path) {
            (&Method::POST, "/v1/rollouts/exchange") => self.exchange(&body),
            (&Method::POST, "/v1/rollouts/orders") => self.execute(&body),
            (&Method::GET, "/v1/rollouts") => Ok(json_response(StatusCode::OK, &self.status())),
            (&Method::GET, _) if history.is_some() => self.history(history.unwrap_or_default()),
            _ => Err(ApiError::UnknownRoute {
                method: parts.method.clone(),
                path: path.to_owned(),
            }),
        }
    }

    /// Records the report of a front end, and responds with the state of all rollouts.
    fn exchange(&self, body: &[u8]) -> Result<ApiResponse, ApiError> {
        let report: EvidenceReport = parse(body)?;
        self.coordinator.borrow_mut().record_report(now(), &report);
        let coordinator = self.coordinator.borrow();
        if let Some(epoch) = coordinator.superseded() {
            return Err(ApiError::Superseded { term: epoch.term });
        }
        Ok(json_response(StatusCode::OK, coordinator.published()))
    }

    /// Executes an operator's request.
    fn execute(&self, body: &[u8]) -> Result<ApiResponse, ApiError> {
        let command = match parse(body)? {
            OperatorRequest::Start { plan, dry_run } => {
                let plan = self.read_plan(&plan)?;
                if dry_run {
                    return Ok(self.dry_run(&plan));
                }
                self.start(plan)?
            }
            OperatorRequest::Pause { name } => Command::Pause { name },
            OperatorRequest::Resume { name } => Command::Resume { name },
            OperatorRequest::RollBack { name, reason } => Command::RollBack { name, reason },
            OperatorRequest::Advance { name, reason } => Command::Advance { name, reason },
            OperatorRequest::Finish { name } => Command::Finish { name },
        };
        self.coordinator
            .borrow_mut()
            .command(now(), &command, rand::random())?;
        if !self.persist_changes() {
            return Err(ApiError::NotPersisted);
        }
        Ok(json_response(StatusCode::OK, &self.status()))
    }

    fn read_plan(&self, text: &str) -> Result<Plan, ApiError> {
        Plan::read(text, &self.deployment).map_err(ApiError::InvalidPlan)
    }

    /// Returns the forecast of a plan, and its rate of loads against the load budget.
    fn dry_run(&self, plan: &Plan) -> ApiResponse {
        let steps: Vec<StepForecast> = forecast(plan, &self.deployment);
        // Without a load budget there is no limit to report.
        let rate_limit =
            Some(load_command_rate_limit(&self.deployment)).filter(|limit| limit.is_finite());
        let body = json!({ "steps": steps, "loadsPerSecond": plan.loads_per_second, "granted": rate_limit });
        json_response(StatusCode::OK, &body)
    }

    /// Builds the command that starts a plan, with the digests to which its aliases currently point.
    fn start(&self, plan: Plan) -> Result<Command, ApiError> {
        let versions = (
            self.digest(&plan.function, &plan.from),
            self.digest(&plan.function, &plan.to),
        );
        let (Some(from), Some(to)) = versions else {
            return Err(ApiError::UnknownVersion);
        };
        if from == to {
            return Err(ApiError::SameVersion {
                from: plan.from,
                to: plan.to,
            });
        }
        Ok(Command::Start {
            plan: Box::new(plan),
            from,
            to,
        })
    }

    /// Looks up the digest of a version by an alias, which may differ from the deployment file, or by a digest.
    fn digest(&self, function: &str, name: &str) -> Option<String> {
        let coordinator = self.coordinator.borrow();
        let aliases = coordinator.published().aliases.get(function);
        let moved = aliases.and_then(|aliases| aliases.get(name));
        let function = self.deployment.function(function)?;
        let version = function.version(moved.map_or(name, String::as_str))?;
        Some(version.digest.to_string())
    }

    fn history(&self, name: &str) -> Result<ApiResponse, ApiError> {
        let coordinator = self.coordinator.borrow();
        match coordinator.state().runs.get(name) {
            Some(run) => Ok(json_response(StatusCode::OK, &run.history)),
            None => Err(ApiError::UnknownRollout(name.to_owned())),
        }
    }

    fn status(&self) -> serde_json::Value {
        let coordinator = self.coordinator.borrow();
        let (published, runs) = (coordinator.published(), &coordinator.state().runs);
        let rollouts: Vec<RolloutStatus> = published
            .rollouts
            .iter()
            .filter_map(|(name, rollout)| Some(status_of(name, rollout, runs.get(name)?)))
            .collect();
        json!({
            "term": published.epoch.term,
            "number": published.revision,
            "rollouts": rollouts,
            "aliases": published.aliases,
        })
    }
}

fn status_of(name: &str, rollout: &Rollout, run: &Run) -> RolloutStatus {
    let step = rollout
        .active_step()
        .and_then(|step| rollout.plan.steps.get(step));
    let is_enabled = |gate: &&Gate| rollout.plan.gate(**gate).is_some();
    let evidence = |gate: &Gate| (gate.name().to_owned(), run.tests.evidence(*gate));
    RolloutStatus {
        name: name.to_owned(),
        function: rollout.plan.function.clone(),
        phase: rollout.phase,
        step: rollout.step + 1,
        steps: rollout.plan.steps.len(),
        share: step.map_or(0.0, |step| step.share),
        reason: rollout.reason.clone(),
        step_duration: run.step_duration,
        rate: run.rate(),
        old: run.step_counts[0],
        new: run.step_counts[1],
        evidence: GATES.iter().filter(is_enabled).map(evidence).collect(),
        rollback_threshold: rollout.plan.threshold(),
    }
}
