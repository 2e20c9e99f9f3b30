//! Simple policies for comparisons with the dispatch policy.

use crate::DispatchPolicy;
use orchidtally_dispatch_policy::interface::{
    Actions, DispatchResult, DispatchStatus, Endpoint, EndpointState, EndpointUpdateKind,
    ExecutorId, Invocation, PrewarmRequest,
};
use orchidtally_dispatch_policy::random::SeededRandom;
use std::collections::HashMap;

/// The selection rule of a baseline among the ready executors.
pub enum BaselineSelection {
    /// An executor chosen at random.
    Random,
    /// The executor with the fewest dispatches of this front end in flight; ties are broken at random.
    LeastInFlight,
    /// The less loaded of two random executors, by the true load, which no real front end can know.
    TwoChoicesByTrueLoad(Box<dyn Fn(ExecutorId) -> u32>),
}

/// A policy that dispatches each invocation once, without retries, limits or load commands.
pub struct BaselinePolicy {
    selection: BaselineSelection,
    random: SeededRandom,
    ready: Vec<ExecutorId>,
    /// The executor of each open invocation.
    dispatched_to: HashMap<u32, ExecutorId>,
    /// The number of this front end's dispatches in flight at each executor.
    in_flight: HashMap<ExecutorId, u32>,
}

/// The baseline that a front end can be started with.
pub type RandomPolicy = BaselinePolicy;

impl BaselinePolicy {
    /// Creates a policy that selects executors at random.
    pub fn new(seed: u64) -> BaselinePolicy {
        BaselinePolicy::with_selection(BaselineSelection::Random, seed)
    }

    /// Creates a policy with the given selection rule.
    pub fn with_selection(selection: BaselineSelection, seed: u64) -> BaselinePolicy {
        BaselinePolicy {
            selection,
            random: SeededRandom::new(seed),
            ready: vec![],
            dispatched_to: HashMap::new(),
            in_flight: HashMap::new(),
        }
    }

    fn random_index(&mut self) -> usize {
        (self.random.next_f64() * self.ready.len() as f64) as usize
    }

    fn select(&mut self) -> Option<ExecutorId> {
        let first_index = self.random_index();
        let second_index = self.random_index();
        let first = *self.ready.get(first_index)?;
        Some(match &self.selection {
            BaselineSelection::Random => first,
            // The search starts at a random position, so that ties are not broken by the order of the list.
            BaselineSelection::LeastInFlight => {
                let (before, from_first) = self.ready.split_at(first_index);
                let rotated = from_first.iter().chain(before).copied();
                rotated.min_by_key(|id| self.in_flight.get(id).copied().unwrap_or_default())?
            }
            BaselineSelection::TwoChoicesByTrueLoad(load) => {
                let second = *self.ready.get(second_index)?;
                if load(second) < load(first) {
                    second
                } else {
                    first
                }
            }
        })
    }

    /// Removes an invocation that has ended, and returns the executor that it was dispatched to.
    fn remove(&mut self, invocation: u32) -> Option<ExecutorId> {
        let executor = self.dispatched_to.remove(&invocation)?;
        if let Some(in_flight) = self.in_flight.get_mut(&executor) {
            *in_flight = in_flight.saturating_sub(1);
        }
        Some(executor)
    }
}

impl DispatchPolicy for BaselinePolicy {
    fn on_endpoint_update(
        &mut self,
        _: f64,
        kind: EndpointUpdateKind,
        endpoints: &[Endpoint],
        _: &mut dyn Actions,
    ) {
        if kind == EndpointUpdateKind::Full {
            self.ready.clear();
        }
        for endpoint in endpoints {
            self.ready.retain(|&id| id != endpoint.executor);
            if endpoint.state == EndpointState::Ready {
                self.ready.push(endpoint.executor);
            }
        }
        let ready = &self.ready;
        self.in_flight.retain(|id, _| ready.contains(id));
    }

    fn on_invocation(&mut self, now: f64, invocation: &Invocation, actions: &mut dyn Actions) {
        match self.select() {
            Some(executor) => {
                self.dispatched_to.insert(invocation.id, executor);
                *self.in_flight.entry(executor).or_default() += 1;
                actions.dispatch(invocation.id, executor, invocation.timeout_at - now);
            }
            None => actions.reject(invocation.id, 0.0, false),
        }
    }

    fn on_dispatch_result(&mut self, _: f64, result: &DispatchResult, actions: &mut dyn Actions) {
        let is_known = self.remove(result.invocation).is_some();
        if !is_known || result.is_answered || result.status == DispatchStatus::Ok {
            return;
        }
        if result.status.never_ran() {
            actions.reject(result.invocation, 0.0, false);
        } else {
            actions.fail(result.invocation);
        }
    }

    fn on_response_started(&mut self, _: f64, _: u32, _: u8, _: &mut dyn Actions) {}

    fn on_client_cancel(&mut self, _: f64, invocation: u32, actions: &mut dyn Actions) {
        if self.remove(invocation).is_some() {
            actions.cancel(invocation, 0);
        }
    }

    fn on_load_result(
        &mut self,
        _: f64,
        _: ExecutorId,
        _: u64,
        _: DispatchStatus,
        _: &mut dyn Actions,
    ) {
    }

    fn prewarm(&mut self, _: f64, request: &PrewarmRequest, _: &mut dyn Actions) -> usize {
        request.replicas
    }

    fn on_timer(&mut self, _: f64, _: &mut dyn Actions) {}
}
