//! Why a coordinator rejects an HTTP request.

use http::{Method, StatusCode};
use orchidtally_deployment::reader::DeploymentFault;
use orchidtally_rollout::coordinator::CommandError;

/// Why a request is rejected. The messages are sent in the body of the response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ApiError {
    /// The body isn't JSON of the expected form.
    #[error("{0}")]
    InvalidJson(#[source] serde_json::Error),
    /// The body is too long, or the connection broke.
    #[error("{0}")]
    UnreadableBody(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The body didn't arrive in time.
    #[error("the request body did not arrive in time")]
    BodyTimeout,
    /// There is no such method and path.
    #[error("there is no {method} {path}")]
    UnknownRoute { method: Method, path: String },
    /// A newer coordinator has taken over.
    #[error("a coordinator of term {term} has taken over")]
    Superseded { term: u64 },
    /// The command isn't possible at present.
    #[error(transparent)]
    Command(#[from] CommandError),
    /// The command was executed, but its effect couldn't be persisted. The process exits.
    #[error("the state can't be kept")]
    NotPersisted,
    /// The plan has faults.
    #[error("the plan has {} faults", .0.len())]
    InvalidPlan(Vec<DeploymentFault>),
    /// The deployment has no version that the plan names.
    #[error("the plan names an unknown version")]
    UnknownVersion,
    /// Both names in the plan refer to the same version.
    #[error("'{from}' and '{to}' now name the same version")]
    SameVersion { from: String, to: String },
    /// There is no rollout with this name.
    #[error("there is no rollout '{0}'")]
    UnknownRollout(String),
}

impl ApiError {
    /// Returns the HTTP status of the response.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            ApiError::InvalidJson(_) | ApiError::InvalidPlan(_) | ApiError::UnknownVersion => {
                StatusCode::BAD_REQUEST
            }
            ApiError::UnreadableBody(_) => StatusCode::PAYLOAD_TOO_LARGE,
            ApiError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            ApiError::UnknownRoute { .. } | ApiError::UnknownRollout(_) => StatusCode::NOT_FOUND,
            ApiError::Superseded { .. } | ApiError::Command(_) | ApiError::SameVersion { .. } => {
                StatusCode::CONFLICT
            }
            ApiError::NotPersisted => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns the messages in the body of the response: one for each fault of a plan, otherwise a single one.
    pub(crate) fn faults(&self) -> Vec<String> {
        match self {
            ApiError::InvalidPlan(faults) => faults.iter().map(ToString::to_string).collect(),
            other => vec![other.to_string()],
        }
    }
}
