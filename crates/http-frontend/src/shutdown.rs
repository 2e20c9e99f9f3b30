//! The graceful shutdown of the HTTP front end.
//!
//! Every ingress stops admitting at once. Then clients and messages are served to their end beside each other, up to the
//! same deadline, so that neither uses up the time of the other.

use crate::ClientConnections;
use async_executor::Task;
use async_io::Timer;
use futures_lite::future;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How long a shutdown waits beyond the longest client timeout. An invocation that was admitted before the shutdown is
/// answered within that timeout, and its response is written within this time.
const DRAIN_MARGIN: Duration = Duration::from_secs(1);
/// How often a shutdown checks for open invocations and connections.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The log target of a shutdown: the front end as a whole.
const LOG_TARGET: &str = "orchidtally_http_frontend";

/// The task that consumes messages, and the channel whose closing stops it.
pub(crate) struct MessageConsumer {
    pub(crate) task: Option<Task<()>>,
    pub(crate) stop: async_channel::Sender<()>,
}

/// Stops all admission, waits for what was admitted, up to the longest client timeout and a margin, and deregisters the
/// front end. Clients are notified by the closing of `drain`.
///
/// Failure mode: messages in flight wait for a broker that is away, and clients' requests that are admitted meanwhile are
/// cut off at the deadline.
/// Risk: clients are rejected although there would be time for their requests. They can go to another front end at once.
pub(crate) async fn shut_down(
    connections: &ClientConnections,
    consumer: MessageConsumer,
    drain: async_channel::Sender<()>,
) {
    let router = &connections.router;
    router.stop_admitting_requests();
    drop(drain);
    drop(consumer.stop);
    info!(
        target: LOG_TARGET,
        open = router.open_invocations(),
        connections = connections.open_connections.get(),
        "termination signal received, draining"
    );
    let deadline =
        Instant::now() + Duration::from_secs_f64(router.longest_timeout()) + DRAIN_MARGIN;
    future::zip(
        finish_messages(consumer.task, deadline),
        finish_requests(connections, deadline),
    )
    .await;
    // Only now: what was journalled or taken over before the shutdown had still to be admitted.
    router.stop_admitting();
    if let Some(admission) = router.admission.get() {
        admission.detach().await;
    }
}

/// Waits until the messages in flight are answered.
async fn finish_messages(consumer: Option<Task<()>>, deadline: Instant) {
    let Some(task) = consumer else {
        return;
    };
    let time_left = deadline.saturating_duration_since(Instant::now());
    let finished = orchidtally_socket_io::with_timeout(time_left, task).await;
    if finished.is_none() {
        warn!(
            target: LOG_TARGET,
            "shutdown deadline reached with messages in flight; the journal keeps them"
        );
    }
}

/// Waits until all requests are answered and their connections have ended.
async fn finish_requests(connections: &ClientConnections, deadline: Instant) {
    while connections.has_open_work() && Instant::now() < deadline {
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
    if connections.has_open_work() {
        warn!(
            target: LOG_TARGET,
            open = connections.router.open_invocations(),
            connections = connections.open_connections.get(),
            "shutdown deadline reached with open connections"
        );
    }
}
