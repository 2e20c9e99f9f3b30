//! Reads the path and the body of a request.

use super::answer::Problem;
use super::held_bodies::HeldBody;
use super::response::rejection_problem;
use crate::router::{RejectionReason, Router};
use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use orchidtally_socket_io::with_timeout;
use std::time::Duration;

/// The function that a path names.
pub(super) fn function_name(path: &str) -> Result<String, Problem> {
    let unknown = || {
        Problem::new(
            StatusCode::NOT_FOUND,
            "no such place",
            "POST /v1/functions/{name}/invocations",
        )
    };
    let name = path
        .strip_prefix("/v1/functions/")
        .and_then(|p| p.strip_suffix("/invocations"));
    let name = name
        .filter(|n| !n.is_empty() && !n.contains('/'))
        .ok_or_else(unknown)?;
    let mut bytes = Vec::with_capacity(name.len());
    let mut rest = name.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let hex_digit = |b: Option<u8>| b.and_then(|b| char::from(b).to_digit(16));
        let (Some(high), Some(low)) = (hex_digit(rest.next()), hex_digit(rest.next())) else {
            return Err(Problem::bad_request(
                "the path has a '%' without two hexadecimal digits",
            ));
        };
        bytes.push((16 * high + low) as u8);
    }
    String::from_utf8(bytes).map_err(|_| Problem::bad_request("the function's name is not UTF-8"))
}

/// The body of a request.
pub(super) struct ReceivedBody {
    /// The body, as it was received.
    pub(super) chunks: Vec<Bytes>,
    /// The length in bytes.
    pub(super) length: u64,
    /// Counts the body as held until the invocation has ended.
    pub(super) held: HeldBody,
}

/// Reads the body of a request in chunks. `content_length` is the value of the request's header.
pub(super) async fn read_body(
    router: &Router,
    incoming: Incoming,
    content_length: Option<u64>,
) -> Result<ReceivedBody, Problem> {
    let limits = &router.deployment.limits;
    let too_large = || {
        let detail = format!("{} bytes at most are taken", limits.max_body_bytes);
        Problem::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
            detail,
        )
    };
    if content_length.is_some_and(|n| n > limits.max_body_bytes as u64) {
        return Err(too_large());
    }
    let read_all = async {
        let (mut chunks, mut length) = (vec![], 0u64);
        let mut held = router.held_bodies.begin();
        let mut incoming = incoming;
        while let Some(frame) = incoming.frame().await {
            let frame =
                frame.map_err(|e| Problem::bad_request(format!("the body broke off: {e}")))?;
            if let Ok(chunk) = frame.into_data()
                && !chunk.is_empty()
            {
                length += chunk.len() as u64;
                if length > limits.max_body_bytes as u64 {
                    return Err(too_large());
                }
                if !held.try_grow(chunk.len()) {
                    return Err(rejection_problem(router, RejectionReason::AtCapacity));
                }
                chunks.push(chunk);
            }
        }
        Ok(ReceivedBody {
            chunks,
            length,
            held,
        })
    };
    with_timeout(
        Duration::from_secs_f64(limits.request_read_timeout),
        read_all,
    )
    .await
    .unwrap_or_else(|| {
        let detail = format!("it has to be here within {} s", limits.request_read_timeout);
        Err(Problem::new(
            StatusCode::REQUEST_TIMEOUT,
            "the body came too slowly",
            detail,
        ))
    })
}
