//! Executor discovery: polls the resolver and applies its endpoint lists.

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

/// The resolver client, with the zones and executor kinds that its lists name.
pub(super) struct EndpointDiscovery {
    resolver: ResolverClient,
    locations: LocationTable,
    /// Whether the engine was last notified that the resolver is unreachable.
    reported_unreachable: bool,
}

impl EndpointDiscovery {
    /// Creates a resolver client for `address` that starts with `view`.
    ///
    /// # Errors
    /// The socket can't be set up.
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

    /// The address of the current resolver.
    pub(super) fn resolver_address(&self) -> SocketAddr {
        self.resolver.address()
    }

    /// Whether many consecutive queries have had no confirming answer.
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

    /// Sends a query now and resets the count of unanswered queries.
    pub(super) fn query_after_stall(&mut self, now: f64) {
        self.resolver.restart_queries();
        self.resolver.query_if_due(now);
    }

    /// Switches to another resolver.
    pub(super) fn switch_resolver(
        &mut self,
        address: SocketAddr,
        registry: &Registry,
    ) -> io::Result<()> {
        self.resolver
            .switch_resolver(address, registry, EventSource::Resolver.token())
    }

    /// The serial and the freshness of the current view.
    fn view_version(&self) -> ViewVersion {
        ViewVersion {
            serial: self.resolver.view().serial(),
            fresh_at: self.resolver.view().fresh_at(),
        }
    }

    /// Reads the answers that have arrived, and warns about zones and executor kinds that the settings don't declare.
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

    /// Returns whether the resolver is unreachable if that has changed since the last call, otherwise `None`.
    fn take_reachability_change(&mut self) -> Option<bool> {
        let is_unreachable = self.resolver.is_unreachable();
        let was_reported = std::mem::replace(&mut self.reported_unreachable, is_unreachable);
        (was_reported != is_unreachable).then_some(is_unreachable)
    }
}

impl EventLoop {
    /// Reads the resolver's answers, and reports confirmed and changed views to the engine.
    pub(super) fn read_resolver(&mut self, now: f64) {
        let summary = self.discovery.read(now);
        if summary.has_more {
            self.queue_source(EventSource::Resolver, now);
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

    /// Notifies the engine when the resolver becomes unreachable or reachable again.
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

    /// Applies a complete endpoint list. Executors that are not on it are removed.
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
