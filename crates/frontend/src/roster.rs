//! Sources of the roster. A source is a stream of lists and deltas as they are told; what to do when it ends
//! is the module's to say, which asks for it again.

use crate::hub::Hub;
use crate::pool::{Caps, Pool};
use futures_lite::stream::{Stream, StreamExt};
use orchidtally::interface::*;
use orchidtally_deployment::Deployment;
use orchidtally_wire::v1;
use orchidtally_wire::{LONGEST_ROSTER, ROSTER, frame};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// One thing that a source told.
pub type Told = (RosterKind, Vec<RosterRow>);

/// A source of the roster.
pub trait Source {
    /// What it tells from now on; the first is a full list. It ends with the connection.
    fn told(self) -> impl Stream<Item = Told>;
}

/// A publisher over the executors' protocol.
pub struct Publisher {
    pub hub: Rc<Hub>,
    pub address: SocketAddr,
}

/// A row as the module takes it, or why it can't.
pub fn row(deployment: &Deployment, row: &v1::RosterRow, now: f64) -> Result<RosterRow, String> {
    let address: SocketAddr = row.address.parse().map_err(|e| format!("{e}"))?;
    if !deployment.allows(address) {
        return Err("its address is in none of the allowed networks".into());
    }
    let place = |names: &[String], name: &str, what: &str| {
        let first = name.is_empty().then_some(0);
        let found = first.or_else(|| names.iter().position(|n| n == name));
        found.map(|n| n as u8).ok_or_else(|| format!("{what} '{name}' is not in the deployment file"))
    };
    let standing = match row.standing() {
        v1::Standing::Ready => Standing::Ready,
        v1::Standing::Draining => Standing::Draining,
        v1::Standing::Gone => Standing::Gone,
        v1::Standing::Unspecified => return Err("its standing is not told".into()),
    };
    let since = if row.since > 0.0 { row.since.min(now) } else { f64::NEG_INFINITY };
    Ok(RosterRow {
        executor: ExecutorId(address.ip(), address.port()),
        zone: place(&deployment.locations, &row.location, "location")?,
        kind: place(&deployment.kinds, &row.kind, "kind")?,
        cell: u16::try_from(row.cell).map_err(|_| format!("cell {} is over 65535", row.cell))?,
        standing,
        weight: row.weight,
        since,
    })
}

impl Source for Publisher {
    fn told(self) -> impl Stream<Item = Told> {
        let bounds = &self.hub.deployment.bounds;
        let caps = Caps {
            streams_per_connection: 1,
            connections: 1,
            connect_time: Duration::from_secs_f64(bounds.connect_time),
            idle_close: Duration::ZERO,
            header_bytes: bounds.header_bytes,
        };
        let pool = Pool::new(self.address, caps, self.hub.spawner());
        let ask = frame(&v1::RosterWatch { from: Some(self.hub.sender.get()) });
        let start = (self.hub, pool, None);
        futures_lite::stream::unfold(start, move |(hub, pool, incoming)| {
            let ask = ask.clone();
            async move {
                let (update, incoming) = match incoming {
                    None => pool.exchange::<v1::RosterUpdate>(ROSTER, ask, &[]).await.ok()?,
                    Some(mut incoming) => {
                        let read = crate::pool::Incoming::message::<v1::RosterUpdate>;
                        (read(&mut incoming, LONGEST_ROSTER).await.ok()?, incoming)
                    }
                };
                let kind = match update.kind() {
                    v1::RosterKind::FullList => RosterKind::Full,
                    v1::RosterKind::Delta => RosterKind::Delta,
                    v1::RosterKind::RosterUnspecified => return None,
                };
                let now = hub.now();
                let read = |r: &v1::RosterRow| match row(&hub.deployment, r, now) {
                    Ok(row) => Some(row),
                    Err(fault) => {
                        warn!(executor = r.address, fault, "an executor was refused");
                        None
                    }
                };
                let rows = update.rows.iter().filter_map(read).collect();
                Some(((kind, rows), (hub, pool, Some(incoming))))
            }
        })
    }
}

/// Tells the module what a publisher tells, and that it ended.
pub async fn watch(hub: Rc<Hub>, address: SocketAddr) {
    let mut told = pin!(Publisher { hub: hub.clone(), address }.told());
    let mut first = true;
    while let Some((kind, rows)) = told.next().await {
        if std::mem::take(&mut first) {
            info!(%address, executors = rows.len(), "the roster is here");
        }
        hub.play(|engine, now, performer| engine.roster(now, kind, &rows, performer));
    }
    warn!(%address, "the roster's publisher is not there");
    hub.play(|engine, now, performer| engine.roster(now, RosterKind::Failed, &[], performer));
}
