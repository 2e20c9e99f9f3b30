//! Reads the endpoint list that a front end starts with: JSON updates, which are applied in order.

use crate::{DiscoveredEndpoint, LocationTable, executor_id, started_at};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// The JSON object of the initial endpoint list.
#[derive(Deserialize)]
struct InitialList {
    #[serde(rename = "index")]
    serial: u32,
    updates: Vec<Update>,
}

#[derive(Deserialize)]
struct Update {
    endpoints: HostUpdate,
}

#[derive(Deserialize)]
struct HostUpdate {
    /// Whether the update replaces all hosts of the updates before it.
    #[serde(rename = "whole")]
    is_complete: bool,
    hosts: Vec<Host>,
}

#[derive(Deserialize)]
struct Host {
    #[serde(rename = "host")]
    name: String,
    #[serde(rename = "dial")]
    address: SocketAddr,
    #[serde(rename = "site")]
    zone: String,
    #[serde(rename = "class")]
    kind: String,
    #[serde(rename = "block")]
    cell: u16,
    #[serde(rename = "health")]
    state: HostState,
    #[serde(rename = "share")]
    weight: f64,
    #[serde(default, rename = "born_ms")]
    started_ms: f64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum HostState {
    Serving,
    Draining,
    Deleted,
}

impl From<HostState> for EndpointState {
    fn from(state: HostState) -> EndpointState {
        match state {
            HostState::Serving => EndpointState::Ready,
            HostState::Draining => EndpointState::Draining,
            HostState::Deleted => EndpointState::Gone,
        }
    }
}

/// The endpoint list that a front end starts with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InitialEndpoints {
    /// The number of the last event that the list reflects.
    pub serial: u32,
    /// The executors, ordered by name.
    pub endpoints: Vec<DiscoveredEndpoint>,
    /// The executors that are not among `endpoints` although an update named them, in the order of the updates that
    /// reported them as gone or draining.
    pub withdrawn: Vec<WithdrawnExecutor>,
}

/// An executor that the updates of the initial list reported as gone, or as draining where it can't be used anyway.
#[derive(Clone, Debug, PartialEq)]
pub struct WithdrawnExecutor {
    /// The executor's name.
    pub name: String,
    /// The state that was reported last.
    pub state: EndpointState,
    /// The latest start time that the updates report, in seconds on the executor's wall clock.
    pub started_at: f64,
}

/// Why the initial endpoint list can't be read.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct InitialEndpointsError(#[from] serde_json::Error);

/// Reads the initial endpoint list by applying its updates in order.
///
/// # Errors
/// A key is missing or has an invalid value; the error names the key or the value.
pub fn initial_endpoints(
    value: &serde_json::Value,
    locations: &mut LocationTable,
) -> Result<InitialEndpoints, InitialEndpointsError> {
    let list = InitialList::deserialize(value)?;
    let mut executors = ReportedExecutors::default();
    for update in list.updates {
        executors.apply(update.endpoints, locations);
    }
    Ok(executors.into_initial_endpoints(list.serial))
}

/// What the updates so far report of an executor.
struct ReportedExecutor {
    state: EndpointState,
    /// The latest start time that an update reports.
    latest_start: f64,
    /// The number of the update that reported the state.
    update: usize,
    /// The endpoint, unless the executor is gone or no index is left for its zone.
    endpoint: Option<DiscoveredEndpoint>,
}

/// Every executor that an update has named, by name.
#[derive(Default)]
struct ReportedExecutors {
    by_name: BTreeMap<String, ReportedExecutor>,
    /// The number of updates that were applied.
    updates: usize,
}

impl ReportedExecutors {
    fn apply(&mut self, update: HostUpdate, locations: &mut LocationTable) {
        self.updates += 1;
        if update.is_complete {
            self.remove_all();
        }
        for host in update.hosts {
            self.report(host, locations);
        }
    }

    /// Marks all executors as gone, because a complete update follows.
    fn remove_all(&mut self) {
        let present = self
            .by_name
            .values_mut()
            .filter(|executor| executor.state != EndpointState::Gone);
        for executor in present {
            executor.state = EndpointState::Gone;
            executor.update = self.updates;
            executor.endpoint = None;
        }
    }

    fn report(&mut self, host: Host, locations: &mut LocationTable) {
        let latest_start = self
            .by_name
            .get(&host.name)
            .map_or(f64::NEG_INFINITY, |executor| executor.latest_start);
        let state = EndpointState::from(host.state);
        let executor = ReportedExecutor {
            state,
            latest_start: latest_start.max(started_at(host.started_ms)),
            update: self.updates,
            endpoint: discovered_endpoint(&host, locations)
                .filter(|_| state != EndpointState::Gone),
        };
        self.by_name.insert(host.name, executor);
    }

    fn into_initial_endpoints(self, serial: u32) -> InitialEndpoints {
        let mut endpoints = vec![];
        let mut withdrawn = vec![];
        for (name, executor) in self.by_name {
            if let Some(endpoint) = executor.endpoint {
                endpoints.push(endpoint);
            } else if executor.state != EndpointState::Ready {
                let started_at = executor.latest_start;
                let state = executor.state;
                withdrawn.push((
                    executor.update,
                    WithdrawnExecutor {
                        name,
                        state,
                        started_at,
                    },
                ));
            }
        }
        withdrawn.sort_by_key(|(update, _)| *update);
        InitialEndpoints {
            serial,
            endpoints,
            withdrawn: withdrawn
                .into_iter()
                .map(|(_, executor)| executor)
                .collect(),
        }
    }
}

/// Builds the endpoint of a host; `None` if no index is left for its zone.
fn discovered_endpoint(host: &Host, locations: &mut LocationTable) -> Option<DiscoveredEndpoint> {
    Some(DiscoveredEndpoint {
        name: host.name.clone(),
        address: host.address,
        endpoint: Endpoint {
            executor: executor_id(&host.name),
            zone: locations.zone(&host.zone)?,
            kind: locations.kind(&host.kind),
            cell: host.cell,
            state: host.state.into(),
            weight: host.weight,
            started_at: started_at(host.started_ms),
        },
    })
}
