//! Endpoint lists for tests of the view, and a view that polls.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState};
use orchidtally_platform_discovery::*;

/// Seconds between two queries.
pub const POLL_INTERVAL: f64 = 0.2;

/// An endpoint in zone 0.
pub fn discovered(n: u32, state: EndpointState, started_at: f64) -> DiscoveredEndpoint {
    let name = format!("s-{n}");
    let executor = executor_id(&name);
    let endpoint = Endpoint {
        executor,
        zone: 0,
        kind: 0,
        cell: 1,
        state,
        weight: 4.0,
        started_at,
    };
    DiscoveredEndpoint {
        name,
        address: ([10, 1, 0, n as u8], 4100).into(),
        endpoint,
    }
}

/// A list of the executors from 0 to `count`, exclusive; those in `draining` are draining, the others ready.
pub fn list(serial: u32, count: u32, draining: &[u32]) -> EndpointList {
    let state = |n| {
        if draining.contains(&n) {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        }
    };
    EndpointList {
        serial,
        endpoints: (0..count)
            .map(|n| discovered(n, state(n), f64::NEG_INFINITY))
            .collect(),
    }
}

/// An initial list with the serial and the endpoints of `list`.
pub fn initial_list(list: &EndpointList, withdrawn: Vec<WithdrawnExecutor>) -> InitialEndpoints {
    InitialEndpoints {
        serial: list.serial,
        endpoints: list.endpoints.clone(),
        withdrawn,
    }
}

/// A view that starts at `now` with these endpoints under serial 1.
pub fn view_started_at(now: f64, endpoints: Vec<DiscoveredEndpoint>) -> EndpointView {
    let list = EndpointList {
        serial: 1,
        endpoints,
    };
    EndpointView::new(now, &initial_list(&list, vec![]))
}

/// A view that receives an answer every 0.2 s.
pub struct PolledView {
    pub view: EndpointView,
    pub now: f64,
}

impl PolledView {
    pub fn new(initial: &EndpointList) -> PolledView {
        PolledView::from_initial(&initial_list(initial, vec![]))
    }

    pub fn from_initial(initial: &InitialEndpoints) -> PolledView {
        PolledView {
            view: EndpointView::new(0.0, initial),
            now: 0.0,
        }
    }

    /// Applies the answer to a query that was sent `POLL_INTERVAL` after the previous one.
    pub fn apply(&mut self, list: &EndpointList) -> ListOutcome {
        self.now += POLL_INTERVAL;
        self.view.apply_list(self.now, self.now, list)
    }

    /// The numbers of the executors that are ready.
    pub fn ready(&self) -> Vec<u32> {
        let ready = self
            .view
            .endpoints()
            .into_iter()
            .filter(|discovered| discovered.endpoint.state == EndpointState::Ready);
        ready
            .map(|discovered| discovered.name[2..].parse().expect("a number"))
            .collect()
    }
}
