//! Why an HTTP exchange between a test client and a process under test failed.

use std::io;

/// An HTTP exchange without a complete response. Its text is that of its source.
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
    /// A request with these fields can't be built.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// The address is no value for the field `Host`.
    #[error(transparent)]
    Host(#[from] http::header::InvalidHeaderValue),
    /// A streamed response broke off after its beginning, which is how a front end tells that it failed.
    #[error("the answer broke off")]
    StreamBrokenOff,
}
