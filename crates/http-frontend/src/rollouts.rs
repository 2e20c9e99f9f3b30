//! Asks the coordinators for the state of rollouts and tells them the evidence.

use crate::router::Router;
use futures_lite::future;
use http::{Method, StatusCode};
use orchidtally_rollout::Published;
use orchidtally_rollout::frontend::EvidenceReport;
use orchidtally_socket_io::http::fetch;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

pub const EXCHANGE: &str = "/v1/rollouts/exchange";
/// A coordinator that has not answered by then is asked again with the next round.
const PATIENCE: Duration = Duration::from_secs(1);

/// One round with one coordinator.
async fn exchange(at: SocketAddr, told: &EvidenceReport) -> Result<Published, String> {
    let body = serde_json::to_vec(told).map_err(|e| e.to_string())?;
    let (status, answer) = fetch(at, Method::POST, EXCHANGE, body, PATIENCE)
        .await
        .map_err(|e| e.to_string())?;
    if status != StatusCode::OK {
        return Err(format!("{status}: {}", String::from_utf8_lossy(&answer)));
    }
    serde_json::from_slice(&answer).map_err(|e| format!("its answer can't be read: {e}"))
}

/// Round after round, for as long as the front end lives.
pub async fn poll_coordinators(router: Rc<Router>) {
    let pause = Duration::from_secs_f64(router.deployment.rollout_poll_interval);
    let mut reached = true;
    loop {
        let told = router
            .shares
            .borrow_mut()
            .report(router.sender.get().incarnation);
        let rounds: Vec<_> = router
            .deployment
            .coordinators
            .iter()
            .map(|&at| (at, told.clone()))
            .collect();
        let tasks: Vec<_> = rounds
            .into_iter()
            .filter_map(|(at, told)| router.spawn(async move { (at, exchange(at, &told).await) }))
            .collect();
        let (mut newest, mut faults) = (None::<Published>, vec![]);
        for task in tasks {
            match task.await {
                (_, Ok(published)) => {
                    router.shares.borrow_mut().observe_epoch(published.epoch);
                    if newest.as_ref().is_none_or(|n| published.is_newer_than(n)) {
                        newest = Some(published);
                    }
                }
                (at, Err(fault)) => faults.push(format!("{at}: {fault}")),
            }
        }
        match (&newest, reached) {
            (None, true) => warn!(?faults, "no coordinator is to be reached; steps are held"),
            (Some(_), false) => info!("a coordinator is to be reached again"),
            _ => {}
        }
        reached = newest.is_some();
        if !reached {
            router.shares.borrow_mut().restore_report(told);
        }
        router.apply_rollouts(newest);
        future::yield_now().await;
        async_io::Timer::after(pause).await;
    }
}
