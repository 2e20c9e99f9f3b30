//! Reads what a client sent: headers, path and body.

use super::answer::Problem;
use crate::hub::Hub;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use orchidtally_net::within;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The longest value of a header that names something, in bytes.
const LONGEST_NAME: usize = 128;

pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(Problem::bad(format!("header '{name}' is given twice")));
    }
    let text = value.to_str().map_err(|_| Problem::bad(format!("header '{name}' is not plain text")))?;
    if text.is_empty() || text.len() > LONGEST_NAME {
        return Err(Problem::bad(format!("header '{name}' must have 1 to {LONGEST_NAME} letters")));
    }
    Ok(Some(text))
}

/// The function that a path names.
pub(super) fn function_of(path: &str) -> Result<String, Problem> {
    let unknown =
        || Problem::new(StatusCode::NOT_FOUND, "no such place", "POST /v1/functions/{name}/invocations");
    let name = path.strip_prefix("/v1/functions/").and_then(|p| p.strip_suffix("/invocations"));
    let name = name.filter(|n| !n.is_empty() && !n.contains('/')).ok_or_else(unknown)?;
    let mut bytes = Vec::with_capacity(name.len());
    let mut rest = name.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digit = |b: Option<u8>| b.and_then(|b| char::from(b).to_digit(16));
        let (Some(high), Some(low)) = (digit(rest.next()), digit(rest.next())) else {
            return Err(Problem::bad("the path has a '%' without two hexadecimal digits"));
        };
        bytes.push((16 * high + low) as u8);
    }
    String::from_utf8(bytes).map_err(|_| Problem::bad("the function's name is not UTF-8"))
}

/// Withdraws an invocation whose client goes away before it is answered.
pub(crate) struct Guard<'a> {
    pub hub: &'a Hub,
    pub inv: Rc<Cell<u32>>,
    pub answered: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.hub.withdraw(self.inv.get());
        }
    }
}

pub(super) async fn body(hub: &Hub, body: Incoming, told: Option<u64>) -> Result<(Vec<Bytes>, u64), Problem> {
    let b = &hub.deployment.bounds;
    let too_large = || {
        let detail = format!("{} bytes at most are taken", b.body_bytes);
        Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large", detail)
    };
    if told.is_some_and(|n| n > b.body_bytes as u64) {
        return Err(too_large());
    }
    let gather = async {
        let (mut chunks, mut length) = (vec![], 0u64);
        let mut body = body;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| Problem::bad(format!("the body broke off: {e}")))?;
            if let Ok(chunk) = frame.into_data()
                && !chunk.is_empty()
            {
                length += chunk.len() as u64;
                if length > b.body_bytes as u64 {
                    return Err(too_large());
                }
                chunks.push(chunk);
            }
        }
        Ok((chunks, length))
    };
    within(Duration::from_secs_f64(b.sender_time), gather).await.unwrap_or_else(|| {
        let detail = format!("it has to be here within {} s", b.sender_time);
        Err(Problem::new(StatusCode::REQUEST_TIMEOUT, "the body came too slowly", detail))
    })
}
