//! HTTP/1.1 and HTTP/2 on one port: a request becomes an invocation, and its final answer a response.
//!
//! A body is read in chunks, which are forwarded without copying. It is complete before the invocation is admitted, so
//! that a slow client occupies neither a stream nor a dispatch.

mod answer;
mod durable_invocation;
mod headers;
mod held_bodies;
mod invoke;
mod request;
mod response;
mod status;

pub use answer::ResponseBody;
pub use held_bodies::HeldBodies;

use crate::router::Router;
use answer::{Problem, problem};
use async_executor::LocalExecutor;
use durable_invocation::recorded_response;
use futures_lite::future;
use futures_lite::io::AsyncWriteExt;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper_util::server::conn::auto;
use invoke::invoke;
use orchidtally_socket_io::{Stream, with_timeout};
use smol_hyper::rt::SmolTimer;
use status::status_response;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tracing::{debug, warn};

/// The most concurrent requests on one HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 1_000;

/// The header that names the trigger type.
pub const TRIGGER_TYPE: &str = "orchidtally-trigger-type";
/// The header that names the customer.
pub const CUSTOMER: &str = "orchidtally-customer";
/// The header with the milliseconds until the client times out.
pub const TIME_LEFT: &str = "orchidtally-time-left";
/// The header that is `1` for a client retry.
pub const CLIENT_RETRY: &str = "orchidtally-repeat";
/// The header with the invocation's name in logs and traces; a random one is used where the client gives none.
pub const INVOCATION: &str = "orchidtally-invocation";
/// The header that is `1` where the answer is that of an earlier invocation with the same name.
pub const RECORDED: &str = "orchidtally-recorded";
/// The header that is `1` where the body of such an answer was too long to be retained.
pub const BODY_OMITTED: &str = "orchidtally-body-left-out";
/// The header with the idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header with the milliseconds after which to retry; `Retry-After` has whole seconds only.
pub const RETRY_AFTER_MS: &str = "orchidtally-stay-away";

async fn handle_request(
    router: Rc<Router>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    if request.method() == Method::GET && request.uri().path() == "/v1/front-end" {
        return Ok(status_response(&router));
    }
    let requested_invocation = request
        .uri()
        .path()
        .strip_prefix("/v1/invocations/")
        .filter(|_| request.method() == Method::GET);
    if let (Some(name), Some(durable_invocation_store)) =
        (requested_invocation, &router.durable_invocation_store)
    {
        let unknown = || {
            problem(
                StatusCode::NOT_FOUND,
                "unknown invocation",
                "none of this name is kept here",
                false,
            )
        };
        return Ok(durable_invocation_store
            .state(name)
            .map_or_else(unknown, recorded_response));
    }
    Ok(invoke(&router, request)
        .await
        .unwrap_or_else(Problem::response))
}

/// Spawns tasks of the HTTP library on this thread.
#[derive(Clone)]
struct Spawner(Weak<LocalExecutor<'static>>);

impl<F: Future<Output: 'static> + 'static> hyper::rt::Executor<F> for Spawner {
    fn execute(&self, work: F) {
        if let Some(spawner) = self.0.upgrade() {
            spawner.spawn(work).detach();
        }
    }
}

/// Counts a connection as open until it is dropped.
pub struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    /// Counts one more open connection.
    pub fn new(open: &Rc<Cell<usize>>) -> ConnectionGuard {
        open.set(open.get() + 1);
        ConnectionGuard(open.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Answers a connection beyond the connection limit, and closes it.
pub async fn reject_connection(mut stream: Stream) {
    const UNAVAILABLE_RESPONSE: &[u8] =
        b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    let send_response = async {
        let socket = stream.socket();
        socket.write_all(UNAVAILABLE_RESPONSE).await?;
        socket.close().await
    };
    // The client may have disconnected.
    let _ = with_timeout(Duration::from_secs(1), send_response).await;
}

/// Serves one connection until it ends, or until `draining` closes and its open requests are answered.
pub async fn serve(
    router: Rc<Router>,
    stream: Stream,
    draining: async_channel::Receiver<()>,
    _open: ConnectionGuard,
) {
    let time = Duration::from_secs_f64(router.deployment.limits.request_read_timeout);
    let peer = stream.peer_addr();
    if with_timeout(time, stream.readable()).await.is_none() {
        debug!(?peer, "connection closed: no request received");
        return;
    }
    let builder = connection_builder(&router, time);
    let has_received_request = Rc::new(Cell::new(false));
    let service = {
        let (router, has_received_request) = (router.clone(), has_received_request.clone());
        hyper::service::service_fn(move |request| {
            has_received_request.set(true);
            handle_request(router.clone(), request)
        })
    };
    let mut connection = pin!(builder.serve_connection(stream, service));
    let header_timeout = async {
        async_io::Timer::after(2 * time).await;
        if has_received_request.get() {
            future::pending().await
        } else {
            None
        }
    };
    let shutdown = async {
        // No message is ever sent; closing the channel is the signal.
        let _ = draining.recv().await;
        None
    };
    let ended = future::or(
        async { Some(connection.as_mut().await) },
        future::or(header_timeout, shutdown),
    )
    .await;
    let ended = match ended {
        Some(ended) => ended,
        None if draining.is_closed() => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
        None => {
            warn!(?peer, "connection closed: request headers timed out");
            return;
        }
    };
    if let Err(fault) = ended {
        log_connection_error(peer, &*fault);
    }
}

/// Creates a connection builder with the deployment's limits; `time` is the timeout of request headers and of
/// keep-alive pings.
fn connection_builder(router: &Router, time: Duration) -> auto::Builder<Spawner> {
    let limits = &router.deployment.limits;
    let mut builder = auto::Builder::new(Spawner(router.spawner()));
    builder
        .http1()
        .timer(SmolTimer::new())
        .header_read_timeout(time)
        .max_buf_size(limits.max_header_bytes as usize);
    builder
        .http2()
        .timer(SmolTimer::new())
        .max_header_list_size(limits.max_header_bytes)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .keep_alive_interval(Some(time))
        .keep_alive_timeout(time);
    builder
}

fn log_connection_error(peer: Option<SocketAddr>, fault: &(dyn std::error::Error + 'static)) {
    let is_disconnect = fault
        .downcast_ref::<hyper::Error>()
        .is_some_and(|error| error.is_incomplete_message() || error.is_canceled());
    if is_disconnect {
        debug!(?peer, %fault, "client disconnected")
    } else {
        warn!(?peer, %fault, "connection closed")
    }
}
