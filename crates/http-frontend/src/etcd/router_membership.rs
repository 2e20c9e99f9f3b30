//! The router of a front end as the host of the membership state machines.

use super::{FrontEndEntry, MembershipHost, StoreConnections, follow_store};
use crate::router::Router;
use orchidtally_deployment::{Deployment, EtcdSettings};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointUpdateKind};
use orchidtally_membership::{EndpointCache, MembershipTracker};
use std::cell::RefCell;
use std::rc::Rc;
use tracing::info;

impl MembershipHost for Router {
    fn now(&self) -> f64 {
        Router::now(self)
    }

    fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    fn cache(&self) -> &RefCell<EndpointCache> {
        &self.cache
    }

    fn members(&self) -> &RefCell<MembershipTracker> {
        &self.members
    }

    fn front_end_entry(&self) -> FrontEndEntry {
        FrontEndEntry {
            incarnation: self.sender.get().incarnation,
            location: self.location().to_owned(),
            listen_address: self.listen_address.get(),
        }
    }

    fn on_endpoint_update(&self, kind: EndpointUpdateKind, rows: &[Endpoint]) {
        if kind == EndpointUpdateKind::Full {
            info!(executors = rows.len(), "first endpoint list received");
        }
        self.run_engine(|engine, now, action_executor| {
            engine.on_endpoint_update(now, kind, rows, action_executor)
        });
    }

    fn on_endpoints_confirmed(&self, requested_at: f64) {
        Router::on_endpoints_confirmed(self, requested_at);
    }

    fn on_endpoint_request_unanswered(&self, requested_at: f64) {
        Router::on_endpoint_request_unanswered(self, requested_at);
    }

    fn on_membership_change(&self) {
        self.update_membership_view();
    }
}

/// Follows the endpoint list and the membership for the lifetime of the front end.
pub fn follow_membership(router: &Rc<Router>, etcd: &EtcdSettings) {
    let Some(tasks) = router.spawner().upgrade() else {
        return;
    };
    let name = format!(
        "{}.{}",
        router.deployment.policy.front_end_index as u32,
        router.sender.get().incarnation
    );
    let connections = StoreConnections::new(etcd, &name, &tasks);
    follow_store(router, &connections, etcd, &tasks)
        .into_iter()
        .for_each(|task| task.detach());
}
