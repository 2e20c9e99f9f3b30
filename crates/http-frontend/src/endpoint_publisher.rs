//! The endpoint list from a publisher over the executor protocol: a snapshot and then deltas, over one stream. Answered
//! pings on its connection confirm that the list is current. When the stream ends, the dispatch policy decides when to
//! subscribe again.

use crate::pool::{ConnectionLimits, Incoming, Pinger, Pool};
use crate::router::Router;
use async_io::Timer;
use futures_lite::future;
use orchidtally_deployment::Deployment;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::transport_outcome::TransportOutcome;
use orchidtally_executor_protocol::v1;
use orchidtally_executor_protocol::{ENDPOINT_LIST_PATH, MAX_ENDPOINT_LIST_LENGTH, frame};
use orchidtally_membership::EntryError;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// The interval of pings to the publisher.
const PING_INTERVAL: Duration = Duration::from_millis(700);
/// A publisher that has not answered a ping within this time is unreachable.
const PING_TIMEOUT: Duration = Duration::from_millis(2_800);

/// Why the subscription to a publisher ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum WatchError {
    /// There is no connection, or it broke, or a message can't be decoded.
    #[error("the connection ended: {0:?}")]
    Connection(TransportOutcome),
    /// A message is neither a snapshot nor a delta.
    #[error("message of an unknown kind; the publisher may be newer than this front end")]
    UnknownKind,
    /// The first list or the answer to a ping did not arrive in time.
    #[error("no response in time")]
    TimedOut,
}

/// Converts a row of an endpoint list to an endpoint of the deployment.
///
/// # Errors
/// The row is malformed, or its address, location or kind is unknown to the deployment.
pub fn endpoint_from_row(
    deployment: &Deployment,
    row: &v1::RosterRow,
    now: f64,
) -> Result<Endpoint, EntryError> {
    let address: SocketAddr = row.address.parse().map_err(EntryError::InvalidAddress)?;
    if !deployment.allows_address(address) {
        return Err(EntryError::AddressNotAllowed);
    }
    let position = |names: &[String], name: &str, category: &'static str| {
        let first = name.is_empty().then_some(0);
        let found = first.or_else(|| names.iter().position(|n| n == name));
        found
            .map(|n| n as u8)
            .ok_or_else(|| EntryError::UnknownName {
                category,
                name: name.to_owned(),
            })
    };
    let state = match row.standing() {
        v1::Standing::Ready => EndpointState::Ready,
        v1::Standing::Draining => EndpointState::Draining,
        v1::Standing::Gone => EndpointState::Gone,
        v1::Standing::Unspecified => return Err(EntryError::MissingState),
    };
    let since = if row.since > 0.0 {
        row.since.min(now)
    } else {
        f64::NEG_INFINITY
    };
    Ok(Endpoint {
        executor: ExecutorId(address.ip(), address.port()),
        zone: position(&deployment.locations, &row.location, "location")?,
        kind: position(&deployment.kinds, &row.kind, "kind")?,
        cell: u16::try_from(row.cell).map_err(|_| EntryError::CellOutOfRange(row.cell))?,
        state,
        weight: row.weight,
        started_at: since,
    })
}

/// Follows a publisher to the end of its connection, and reports that end to the dispatch policy.
pub async fn watch(router: Rc<Router>, address: SocketAddr) {
    let Err(error) = follow(&router, address).await;
    warn!(%address, why = %error, "endpoint publisher unreachable");
    router.run_engine(|engine, now, action_executor| {
        engine.on_endpoint_update(now, EndpointUpdateKind::Failed, &[], action_executor)
    });
}

async fn follow(
    router: &Rc<Router>,
    address: SocketAddr,
) -> Result<std::convert::Infallible, WatchError> {
    let deployment_limits = &router.deployment.limits;
    let limits = ConnectionLimits {
        max_streams_per_connection: 1,
        connections: 1,
        connect_timeout: Duration::from_secs_f64(deployment_limits.connect_timeout),
        idle_timeout: Duration::ZERO,
        max_header_bytes: deployment_limits.max_header_bytes,
    };
    let pool = Pool::new(address, limits, router.spawner());
    let request = frame(&v1::RosterWatch {
        from: Some(router.sender.get()),
    });
    let requested_at = router.now();
    let first = async {
        let mut incoming = pool.send(ENDPOINT_LIST_PATH, || Some(request), &[]).await?;
        Ok((
            incoming
                .message::<v1::RosterUpdate>(MAX_ENDPOINT_LIST_LENGTH)
                .await?,
            incoming,
        ))
    };
    let first = orchidtally_socket_io::with_timeout(PING_TIMEOUT, first)
        .await
        .ok_or(WatchError::TimedOut)?;
    let (list, incoming) = first.map_err(WatchError::Connection)?;
    info!(%address, executors = list.rows.len(), "first endpoint list received");
    apply_update(router, &list)?;
    router.on_endpoints_confirmed(requested_at);
    let pinger = incoming.pinger();
    // Updates that arrived before the answer to a ping are applied before it.
    future::or(
        apply_updates(router, incoming),
        ping_publisher(router, &pinger),
    )
    .await
}

/// Passes an update of the publisher to the dispatch policy.
fn apply_update(router: &Router, update: &v1::RosterUpdate) -> Result<(), WatchError> {
    let kind = match update.kind() {
        v1::RosterKind::FullList => EndpointUpdateKind::Full,
        v1::RosterKind::Delta => EndpointUpdateKind::Delta,
        v1::RosterKind::RosterUnspecified => return Err(WatchError::UnknownKind),
    };
    let now = router.now();
    let decode =
        |roster_row: &v1::RosterRow| match endpoint_from_row(&router.deployment, roster_row, now) {
            Ok(row) => Some(row),
            Err(error) => {
                warn!(executor = roster_row.address, %error, "executor rejected");
                None
            }
        };
    let rows: Vec<Endpoint> = update.rows.iter().filter_map(decode).collect();
    router.run_engine(|engine, now, action_executor| {
        engine.on_endpoint_update(now, kind, &rows, action_executor)
    });
    Ok(())
}

async fn apply_updates(
    router: &Router,
    mut incoming: Incoming,
) -> Result<std::convert::Infallible, WatchError> {
    loop {
        let update = incoming
            .message::<v1::RosterUpdate>(MAX_ENDPOINT_LIST_LENGTH)
            .await;
        apply_update(router, &update.map_err(WatchError::Connection)?)?;
    }
}

async fn ping_publisher(
    router: &Router,
    pinger: &Pinger,
) -> Result<std::convert::Infallible, WatchError> {
    loop {
        Timer::after(PING_INTERVAL).await;
        let requested_at = router.now();
        let answered = orchidtally_socket_io::with_timeout(PING_TIMEOUT, pinger.ping()).await;
        answered
            .ok_or(WatchError::TimedOut)?
            .map_err(WatchError::Connection)?;
        router.on_endpoints_confirmed(requested_at);
    }
}
