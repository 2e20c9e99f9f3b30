//! Sends the evidence on rollouts to the coordinators, and receives the published state of the rollouts.

use crate::router::Router;
use futures_lite::future;
use http::{Method, StatusCode};
use orchidtally_rollout::PublishedState;
use orchidtally_rollout::frontend::EvidenceReport;
use orchidtally_socket_io::http::fetch;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tracing::{info, warn};

/// The path of an exchange at a coordinator.
pub const EXCHANGE_PATH: &str = "/v1/rollouts/exchange";
/// The timeout of a request; a coordinator that has not answered by then is polled again in the next round.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a coordinator could not be polled.
#[derive(Debug, Error)]
enum ExchangeError {
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    #[error("{0}")]
    Request(#[source] std::io::Error),
    #[error("{status}: {body}")]
    Status { status: StatusCode, body: String },
    #[error("the response can't be decoded: {0}")]
    Decode(#[source] serde_json::Error),
}

/// Exchanges a report for the published state with one coordinator.
async fn exchange(
    address: SocketAddr,
    report: &EvidenceReport,
) -> Result<PublishedState, ExchangeError> {
    let body = serde_json::to_vec(report).map_err(ExchangeError::Encode)?;
    let (status, answer) = fetch(address, Method::POST, EXCHANGE_PATH, body, REQUEST_TIMEOUT)
        .await
        .map_err(ExchangeError::Request)?;
    if status != StatusCode::OK {
        let body = String::from_utf8_lossy(&answer).into_owned();
        return Err(ExchangeError::Status { status, body });
    }
    serde_json::from_slice(&answer).map_err(ExchangeError::Decode)
}

/// Polls all coordinators at the poll interval. Never returns.
pub async fn poll_coordinators(router: Rc<Router>) {
    let interval = Duration::from_secs_f64(router.deployment.rollout_poll_interval);
    let mut is_reachable = true;
    loop {
        let report = router
            .traffic_split
            .borrow_mut()
            .report(router.sender.get().incarnation);
        let requests: Vec<_> = router
            .deployment
            .coordinators
            .iter()
            .map(|&address| (address, report.clone()))
            .collect();
        let tasks: Vec<_> = requests
            .into_iter()
            .filter_map(|(address, report)| {
                router.spawn(async move { (address, exchange(address, &report).await) })
            })
            .collect();
        let (mut newest, mut faults) = (None::<PublishedState>, vec![]);
        for task in tasks {
            match task.await {
                (_, Ok(published)) => {
                    router
                        .traffic_split
                        .borrow_mut()
                        .observe_epoch(published.epoch);
                    if newest.as_ref().is_none_or(|n| published.is_newer_than(n)) {
                        newest = Some(published);
                    }
                }
                (address, Err(fault)) => faults.push(format!("{address}: {fault}")),
            }
        }
        match (&newest, is_reachable) {
            (None, true) => warn!(
                ?faults,
                "no coordinator reachable; rollout steps are paused"
            ),
            (Some(_), false) => info!("coordinator reachable again"),
            _ => {}
        }
        is_reachable = newest.is_some();
        if !is_reachable {
            router.traffic_split.borrow_mut().restore_report(report);
        }
        router.apply_rollouts(newest);
        future::yield_now().await;
        async_io::Timer::after(interval).await;
    }
}
