//! Errors of the client.

use crate::grpc::{FrameError, Status};
use std::io;

/// Why a connection can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The client has no endpoints.
    #[error("no endpoint is configured")]
    NoEndpoint,
    /// The TCP connection couldn't be opened.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The HTTP/2 connection or stream failed.
    #[error("{0}")]
    Http2(#[from] h2::Error),
    /// The request couldn't be built, for instance because of an invalid token.
    #[error("{0}")]
    InvalidRequest(#[from] http::Error),
    /// The store ended a stream without a status.
    #[error("the stream ended without a status")]
    StreamEnded,
    /// The response of a unary request has no message.
    #[error("the response has no message")]
    EmptyResponse,
    /// The caller abandoned the connection while the request was in progress.
    #[error("the connection was abandoned")]
    Abandoned,
}

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// There is no connection, or it broke. Another endpoint may be reachable.
    #[error("the store is unreachable: {0}")]
    Unreachable(#[source] ConnectionError),
    /// The store didn't respond in time. Another endpoint may respond.
    #[error("the store did not respond in time")]
    TimedOut,
    /// The store rejected the request with this status.
    #[error("the store rejected the request: {0}")]
    Rejected(Status),
    /// The response isn't a valid message.
    #[error("invalid response from the store: {0}")]
    InvalidResponse(#[source] FrameError),
}

impl<E: Into<ConnectionError>> From<E> for ClientError {
    fn from(error: E) -> ClientError {
        ClientError::Unreachable(error.into())
    }
}
