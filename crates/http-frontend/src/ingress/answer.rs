//! Response bodies, and problem documents for errors.

use super::RETRY_AFTER_MS;
use crate::router::ResponseTruncated;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use serde_json::json;
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The body of a response.
pub enum ResponseBody {
    /// A complete body.
    Chunks(VecDeque<Bytes>),
    /// The chunks of a streamed response, as they arrive.
    Streamed(Pin<Box<async_channel::Receiver<Result<Bytes, ResponseTruncated>>>>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        use futures_lite::stream::Stream;
        Poll::Ready(match self.get_mut() {
            ResponseBody::Chunks(chunks) => chunks.pop_front().map(|c| Ok(Frame::data(c))),
            ResponseBody::Streamed(chunks) => {
                ready!(chunks.as_mut().poll_next(cx)).map(|chunk| chunk.map(Frame::data))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Chunks(chunks) if chunks.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Chunks(chunks) => {
                SizeHint::with_exact(chunks.iter().map(|c| c.len() as u64).sum())
            }
            ResponseBody::Streamed(_) => SizeHint::default(),
        }
    }
}

/// An error in a request, or the reason why its invocation is rejected.
pub(super) struct Problem {
    status: StatusCode,
    title: &'static str,
    detail: String,
    pub(super) retry_after: Option<f64>,
}

impl Problem {
    pub(super) fn new(
        status: StatusCode,
        title: &'static str,
        detail: impl Into<String>,
    ) -> Problem {
        Problem {
            status,
            title,
            detail: detail.into(),
            retry_after: None,
        }
    }

    pub(super) fn bad_request(detail: impl Into<String>) -> Problem {
        Problem::new(
            StatusCode::BAD_REQUEST,
            "the invocation is malformed",
            detail,
        )
    }

    /// The response to the request. It states that the function has not run, as a request with a problem is never
    /// dispatched.
    pub(super) fn response(self) -> Response<ResponseBody> {
        let mut response = problem(self.status, self.title, &self.detail, false);
        if let Some(time) = self.retry_after {
            set_retry_after(response.headers_mut(), time);
        }
        response
    }
}

pub(super) fn problem(
    status: StatusCode,
    title: &str,
    detail: &str,
    may_have_run: bool,
) -> Response<ResponseBody> {
    let body = json!({
        "type": "about:blank",
        "title": title,
        "status": status.as_u16(),
        "detail": detail,
        "mayHaveRun": may_have_run,
    });
    let mut response = Response::new(ResponseBody::Chunks([Bytes::from(body.to_string())].into()));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    response
}

pub(super) fn set_retry_after(headers: &mut HeaderMap, time: f64) {
    headers.insert(RETRY_AFTER, HeaderValue::from(time.ceil().max(1.0) as u64));
    headers.insert(
        HeaderName::from_static(RETRY_AFTER_MS),
        HeaderValue::from((time * 1e3).ceil() as u64),
    );
}
