//! Why an HTTP exchange between a test client and a process under test failed.

use std::io;

/// Why an HTTP exchange has no complete response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No connection could be opened.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The connection over HTTP/1.1 failed.
    #[error(transparent)]
    Http1(#[from] hyper::Error),
    /// The connection or the stream over HTTP/2 failed.
    #[error(transparent)]
    Http2(#[from] h2::Error),
    /// The request's URI or headers are invalid.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// The address is not a valid value of the `Host` header.
    #[error(transparent)]
    Host(#[from] http::header::InvalidHeaderValue),
    /// A streamed response ended early, which is how a front end reports a failure after it has sent the status.
    #[error("the response ended early")]
    StreamBrokenOff,
}
