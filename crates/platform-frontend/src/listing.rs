//! Lists of executors, as the resolver tells them.

use crate::connections::Executor;
use crate::front::{Front, RESOLVER};
use crate::host_state::ViewStamp;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_platform_discovery::DiscoveredEndpoint;
use tracing::{info, warn};

impl Front {
    pub fn resolve(&mut self, now: f64) {
        let (named, left_out) = (self.places.name_counts(), self.places.ignored_endpoints);
        let reading = self.resolver.read(now, &mut self.places);
        if reading.more {
            self.again.push_back(RESOLVER);
        }
        if reading.confirmed {
            let fresh_at = self.resolver.view().fresh_at();
            self.host.view = ViewStamp {
                serial: self.resolver.view().serial(),
                fresh_at,
            };
            self.engine.on_view_confirmed(now, fresh_at, &mut self.host);
        }
        if reading.changed {
            let rows = self.resolver.view().endpoints();
            self.list(now, rows);
        }
        if named != self.places.name_counts() || left_out != self.places.ignored_endpoints {
            let ((locations, kinds), left_out) =
                (self.places.name_counts(), self.places.ignored_endpoints);
            warn!(
                locations,
                kinds, left_out, "lists name locations or kinds that the settings don't"
            );
        }
    }

    /// Tells that no list can be had, and that one can again where nothing else tells so.
    pub fn watch_resolver(&mut self, now: f64) {
        let quiet = self.resolver.is_quiet();
        if std::mem::replace(&mut self.resolver.reported_quiet, quiet) != quiet {
            let age = now - self.host.view.fresh_at;
            info!(quiet, age, "the resolver");
            let kind = if quiet {
                EndpointUpdateKind::Failed
            } else {
                EndpointUpdateKind::Delta
            };
            self.engine
                .on_endpoint_update(now, kind, &[], &mut self.host);
        }
    }

    /// A whole list of executors: what is not in it is gone.
    pub fn list(&mut self, now: f64, entries: Vec<DiscoveredEndpoint>) {
        self.host
            .executors
            .values_mut()
            .for_each(|e| e.listed = false);
        let mut moved: Vec<usize> = vec![];
        let rows: Vec<Endpoint> = entries.iter().map(|e| e.endpoint.clone()).collect();
        for entry in entries {
            let known = self
                .host
                .executors
                .entry(entry.endpoint.executor)
                .or_insert_with(|| Executor {
                    name: entry.name,
                    address: entry.address,
                    connections: vec![],
                    listed: true,
                    reach: f64::INFINITY,
                });
            known.listed = true;
            if known.address != entry.address {
                known.address = entry.address;
                moved.extend(&known.connections);
            }
        }
        for executor in self.host.executors.values().filter(|e| !e.listed) {
            info!(executor = executor.name, "gone");
            moved.extend(&executor.connections);
        }
        for connection in moved {
            // What is queued there goes over another, or nowhere.
            self.host.connections[connection].retired = true;
            self.host.touch_connection(connection);
        }
        let ready = rows
            .iter()
            .filter(|r| r.state == EndpointState::Ready)
            .count();
        let (serial, age) = (self.resolver.view().serial(), now - self.host.view.fresh_at);
        let youngest = rows
            .iter()
            .map(|r| now - r.started_at)
            .fold(f64::INFINITY, f64::min);
        info!(
            executors = rows.len(),
            ready, serial, age, youngest, "the roster"
        );
        self.engine
            .on_endpoint_update(now, EndpointUpdateKind::Full, &rows, &mut self.host);
        self.host
            .executors
            .retain(|_, e| e.listed || !e.connections.is_empty());
    }
}
