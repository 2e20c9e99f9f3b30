//! A small HTTP/1.1 client for occasional requests between processes; each request opens its own connection.

use crate::{connect, with_timeout};
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Full, Limited};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum length of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Sends a request and returns the status and the complete body of the response. The timeout covers the whole exchange.
///
/// # Errors
/// Returns an error if the exchange fails or the body exceeds 64 MiB, and `TimedOut` if the timeout expires.
pub async fn fetch(
    address: SocketAddr,
    method: http::Method,
    path: &str,
    body: impl Into<Bytes>,
    timeout: Duration,
) -> io::Result<(http::StatusCode, Bytes)> {
    let body = Full::new(body.into());
    let round_trip = async {
        let stream = connect(address, timeout).await?;
        let (mut sender, driver) = hyper::client::conn::http1::handshake(stream)
            .await
            .map_err(io::Error::other)?;
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(io::Error::other)?;
        let exchange = async {
            let response = sender
                .send_request(request)
                .await
                .map_err(io::Error::other)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(io::Error::other)?;
            Ok((status, body.to_bytes()))
        };
        let drive = async {
            // An error of the connection also ends the exchange, which reports it.
            let _ = driver.await;
            future::pending().await
        };
        future::or(exchange, drive).await
    };
    with_timeout(timeout, round_trip)
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
