//! The endpoint lists that the test resolver has had, as a platform tells them: a complete list, then its changes.

use super::executor::Executor;
use super::resolver::ListedEndpoint;
use orchidtally_invariants::EndpointState;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::rc::Rc;

/// An executor on a list, with the start time that the list has for it.
#[derive(Clone)]
pub(super) struct PastEndpoint {
    pub(super) listed: ListedEndpoint,
    /// The start time in milliseconds of the Unix clock.
    pub(super) started_ms: u64,
}

/// All lists so far. The list at position `n` has the serial `n + 1`.
pub(super) struct ListHistory {
    lists: Vec<Vec<PastEndpoint>>,
}

impl ListHistory {
    /// Creates a history with the first list.
    pub(super) fn new(first: Vec<PastEndpoint>) -> ListHistory {
        ListHistory { lists: vec![first] }
    }

    /// Adds the next list.
    pub(super) fn push(&mut self, list: Vec<PastEndpoint>) {
        self.lists.push(list);
    }

    /// Replaces the latest list, whose executors may have restarted.
    pub(super) fn replace_latest(&mut self, list: Vec<PastEndpoint>) {
        self.lists.pop();
        self.lists.push(list);
    }

    /// The serial of the latest list.
    pub(super) fn serial(&self) -> u32 {
        self.lists.len() as u32
    }

    /// The list from `changes` changes ago, or the first one, with its serial.
    pub(super) fn list_before(&self, changes: usize) -> (u32, &[PastEndpoint]) {
        let index = (self.lists.len() - 1).saturating_sub(changes);
        (index as u32 + 1, &self.lists[index])
    }

    /// The numbers of all executors that a list has had.
    pub(super) fn executors(&self) -> BTreeSet<usize> {
        let endpoints = self.lists.iter().flatten();
        endpoints
            .map(|endpoint| endpoint.listed.executor.number)
            .collect()
    }

    /// The updates of the initial list of a front end: the first list, then what each later one changed.
    pub(super) fn updates(&self, front_end: u32) -> Vec<Value> {
        let mut before: &[PastEndpoint] = &[];
        let mut updates = vec![];
        for (index, list) in self.lists.iter().enumerate() {
            let changed = list
                .iter()
                .filter(|endpoint| !is_unchanged(before, endpoint))
                .map(|endpoint| host(endpoint, endpoint.listed.state, front_end));
            let removed = before
                .iter()
                .filter(|endpoint| find(list, &endpoint.listed.executor).is_none())
                .map(|endpoint| host(endpoint, EndpointState::Gone, front_end));
            let hosts: Vec<Value> = changed.chain(removed).collect();
            let serial = index + 1;
            let endpoints = json!({"seq": serial, "whole": index == 0, "hosts": hosts});
            updates.push(json!({"index": serial, "endpoints": endpoints}));
            before = list;
        }
        updates
    }
}

fn find<'a>(list: &'a [PastEndpoint], executor: &Executor) -> Option<&'a PastEndpoint> {
    list.iter()
        .find(|endpoint| endpoint.listed.executor.number == executor.number)
}

fn is_unchanged(before: &[PastEndpoint], endpoint: &PastEndpoint) -> bool {
    find(before, &endpoint.listed.executor).is_some_and(|earlier| {
        earlier.listed.state == endpoint.listed.state && earlier.started_ms == endpoint.started_ms
    })
}

fn host(endpoint: &PastEndpoint, state: EndpointState, front_end: u32) -> Value {
    let executor: &Rc<Executor> = &endpoint.listed.executor;
    let health = match state {
        EndpointState::Ready => "SERVING",
        EndpointState::Draining => "DRAINING",
        EndpointState::Gone => "DELETED",
    };
    json!({"host": executor.name, "dial": executor.address_for(front_end), "site": "east", "class": "std",
        "block": executor.cell, "health": health, "share": 4, "born_ms": endpoint.started_ms})
}
