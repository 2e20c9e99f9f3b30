//! Ties membership to a front end's hub.

use super::{MembershipHost, OwnEntry, StoreConnections, follow_store};
use crate::hub::Hub;
use orchidtally_deployment::{Deployment, EtcdSettings};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointUpdateKind};
use orchidtally_membership::{EndpointCache, Members};
use std::cell::RefCell;
use std::rc::Rc;
use tracing::info;

impl MembershipHost for Hub {
    fn now(&self) -> f64 {
        Hub::now(self)
    }

    fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    fn cache(&self) -> &RefCell<EndpointCache> {
        &self.cache
    }

    fn members(&self) -> &RefCell<Members> {
        &self.members
    }

    fn own_entry(&self) -> OwnEntry {
        OwnEntry {
            life: self.sender.get().incarnation,
            location: self.location().to_owned(),
            at: self.at.get(),
        }
    }

    fn roster_changed(&self, kind: EndpointUpdateKind, rows: &[Endpoint]) {
        if kind == EndpointUpdateKind::Full {
            info!(executors = rows.len(), "the roster is here");
        }
        self.play(|engine, now, performer| engine.on_endpoint_update(now, kind, rows, performer));
    }

    fn roster_confirmed(&self, asked_at: f64) {
        Hub::roster_confirmed(self, asked_at);
    }

    fn roster_lost(&self, asked_at: f64) {
        Hub::roster_lost(self, asked_at);
    }

    fn members_changed(&self) {
        self.count_front_ends();
    }
}

/// Keeps the roster and the membership for as long as the front end lives.
pub fn keep(hub: &Rc<Hub>, etcd: &EtcdSettings) {
    let Some(tasks) = hub.spawner().upgrade() else {
        return;
    };
    let name = format!(
        "{}.{}",
        hub.deployment.policy.front_end_index as u32,
        hub.sender.get().incarnation
    );
    let connections = StoreConnections::new(etcd, &name, &tasks);
    follow_store(hub, &connections, etcd, &tasks)
        .into_iter()
        .for_each(|task| task.detach());
}
