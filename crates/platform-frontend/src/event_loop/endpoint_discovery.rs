//! Discovery of the executors: polls the resolver and applies its endpoint lists.

use super::EventLoop;
use crate::engine_host::ViewVersion;
use crate::resolver::{ReadSummary, ResolverClient};
use crate::source::EventSource;
use crate::start::retry_local_failures;
use mio::Registry;
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState, EndpointUpdateKind};
use orchidtally_platform_discovery::{DiscoveredEndpoint, EndpointView, LocationTable};
use std::io;
use std::net::SocketAddr;
use tracing::{info, warn};

/// The client of the resolver and what its lists name.
pub(super) struct EndpointDiscovery {
    resolver: ResolverClient,
    locations: LocationTable,
    /// The engine was told that the resolver is unreachable.
    reported_unreachable: bool,
}

impl EndpointDiscovery {
    /// Begins with the view of the start.
    pub(super) fn new(
        address: SocketAddr,
        view: EndpointView,
        locations: LocationTable,
        registry: &Registry,
    ) -> io::Result<EndpointDiscovery> {
        let token = EventSource::Resolver.token();
        let resolver =
            retry_local_failures(|| ResolverClient::new(address, view.clone(), registry, token))?;
        Ok(EndpointDiscovery {
            resolver,
            locations,
            reported_unreachable: false,
        })
    }

    /// The endpoints of the current view.
    pub(super) fn endpoints(&self) -> Vec<DiscoveredEndpoint> {
        self.resolver.view().endpoints()
    }

    /// The address that is queried.
    pub(super) fn resolver_address(&self) -> SocketAddr {
        self.resolver.address()
    }

    /// Whether many queries in a row have had no good answer.
    pub(super) fn resolver_is_unreachable(&self) -> bool {
        self.resolver.is_unreachable()
    }

    /// When the next query is due, in seconds.
    pub(super) fn next_query_at(&self) -> f64 {
        self.resolver.next_query_at()
    }

    /// Sends a query if one is due.
    pub(super) fn query_if_due(&mut self, now: f64) {
        self.resolver.query_if_due(now);
    }

    /// Sends a query now and counts unanswered queries anew.
    pub(super) fn query_after_stall(&mut self, now: f64) {
        self.resolver.restart_queries();
        self.resolver.query_if_due(now);
    }

    /// Queries another resolver from now on.
    pub(super) fn switch_resolver(
        &mut self,
        address: SocketAddr,
        registry: &Registry,
    ) -> io::Result<()> {
        self.resolver
            .switch_resolver(address, registry, EventSource::Resolver.token())
    }

    /// The serial and the time of the current view.
    fn view_version(&self) -> ViewVersion {
        ViewVersion {
            serial: self.resolver.view().serial(),
            fresh_at: self.resolver.view().fresh_at(),
        }
    }

    /// Reads the answers that have arrived, and warns of names that the settings do not declare.
    fn read(&mut self, now: f64) -> ReadSummary {
        let names_before = self.locations.name_counts();
        let ignored_before = self.locations.ignored_endpoints;
        let summary = self.resolver.read(now, &mut self.locations);
        let names = self.locations.name_counts();
        let ignored_endpoints = self.locations.ignored_endpoints;
        if names_before != names || ignored_before != ignored_endpoints {
            warn!(
                zones = names.zones,
                kinds = names.kinds,
                ignored_endpoints,
                "endpoint lists name zones or executor kinds that the settings do not declare"
            );
        }
        summary
    }

    /// Whether the resolver is unreachable, if that has changed since the last call.
    fn take_reachability_change(&mut self) -> Option<bool> {
        let is_unreachable = self.resolver.is_unreachable();
        let was_reported = std::mem::replace(&mut self.reported_unreachable, is_unreachable);
        (was_reported != is_unreachable).then_some(is_unreachable)
    }
}

impl EventLoop {
    /// Reads the answers of the resolver and applies them.
    pub(super) fn read_resolver(&mut self, now: f64) {
        let summary = self.discovery.read(now);
        if summary.has_more {
            self.unfinished_reads.push_back(EventSource::Resolver);
        }
        if summary.is_confirmed {
            let view = self.discovery.view_version();
            self.host.set_view(view);
            self.engine
                .on_view_confirmed(now, view.fresh_at, &mut self.host);
        }
        if summary.is_changed {
            let endpoints = self.discovery.endpoints();
            self.apply_endpoint_list(now, endpoints);
        }
    }

    /// Tells the engine that no list can be had, or that one can be had again.
    pub(super) fn report_resolver_reachability(&mut self, now: f64) {
        let Some(is_unreachable) = self.discovery.take_reachability_change() else {
            return;
        };
        let view_age = now - self.host.view().fresh_at;
        let kind = if is_unreachable {
            info!(view_age, "resolver unreachable");
            EndpointUpdateKind::Failed
        } else {
            info!(view_age, "resolver reachable again");
            EndpointUpdateKind::Delta
        };
        self.engine
            .on_endpoint_update(now, kind, &[], &mut self.host);
    }

    /// Applies a whole list of executors: those not on it are gone.
    pub(super) fn apply_endpoint_list(&mut self, now: f64, discovered: Vec<DiscoveredEndpoint>) {
        let endpoints: Vec<Endpoint> = discovered.iter().map(|d| d.endpoint.clone()).collect();
        self.host.pool.apply_endpoint_list(discovered);
        let ready = endpoints
            .iter()
            .filter(|endpoint| endpoint.state == EndpointState::Ready)
            .count();
        let serial = self.discovery.view_version().serial;
        let view_age = now - self.host.view().fresh_at;
        let youngest_age = endpoints
            .iter()
            .map(|endpoint| now - endpoint.started_at)
            .fold(f64::INFINITY, f64::min);
        info!(
            executors = endpoints.len(),
            ready, serial, view_age, youngest_age, "endpoint list applied"
        );
        self.engine
            .on_endpoint_update(now, EndpointUpdateKind::Full, &endpoints, &mut self.host);
        self.host.pool.remove_unlisted();
    }
}
