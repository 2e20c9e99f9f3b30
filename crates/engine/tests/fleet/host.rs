//! The host of a front end's engine in the simulated fleet.

use super::world::{Event, Job, World};
use super::{LATENCY_OBJECTIVE, TRANSIT_TIME};
use orchidtally_dispatch_policy::interface::{ExecutorId, ReplicaState};
use orchidtally_engine::{FailureReason, Host};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Connects one front end to the simulated fleet.
pub struct FrontEndHost {
    pub front_end: usize,
    pub incarnation: u32,
    pub world: Rc<RefCell<World>>,
    /// The function and the arrival time of each open invocation.
    pub functions: BTreeMap<u32, (u64, f64)>,
    /// The function and the arrival time of the invocation that is being admitted.
    pub admitting: (u64, f64),
    /// The current id of each executor.
    pub executor_ids: Vec<ExecutorId>,
}

impl FrontEndHost {
    fn executor(&self, id: ExecutorId) -> usize {
        self.executor_ids
            .iter()
            .position(|&i| i == id)
            .unwrap_or(usize::MAX)
    }

    fn record_failure(&mut self, invocation: u32) {
        self.functions.remove(&invocation);
        self.world.borrow_mut().failed += 1;
    }
}

impl Host for FrontEndHost {
    fn admitted(&mut self, invocation: u32) {
        self.functions.insert(invocation, self.admitting);
    }
    fn dispatch(&mut self, invocation: u32, dispatch: u8, executor: ExecutorId, _: f64) {
        let Some(&(function, _)) = self.functions.get(&invocation) else {
            return;
        };
        let job = Job {
            front_end: self.front_end,
            incarnation: self.incarnation,
            invocation,
            dispatch,
            function,
            replica_state: ReplicaState::Unknown,
            function_concurrency: 0,
        };
        let executor = self.executor(executor);
        let mut world = self.world.borrow_mut();
        let at = world.now + TRANSIT_TIME;
        world.schedule(at, Event::DispatchArrives { executor, job });
    }
    fn cancel(&mut self, _: u32, _: u8) {}
    fn succeeded(&mut self, invocation: u32, _: u8) {
        let Some((_, arrived_at)) = self.functions.remove(&invocation) else {
            return;
        };
        let mut world = self.world.borrow_mut();
        world.succeeded += 1;
        world.within_objective += u64::from(world.now <= arrived_at + LATENCY_OBJECTIVE);
    }
    fn rejected(&mut self, invocation: u32, _: f64, _: bool) {
        self.record_failure(invocation);
    }
    fn failed(&mut self, invocation: u32, _: FailureReason, _: bool) {
        self.record_failure(invocation);
    }
    fn load(&mut self, _: ExecutorId, _: u64, _: u8) {}
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}
