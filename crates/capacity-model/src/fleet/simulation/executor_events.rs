//! What happens at executors: requests that reach them, loads, and calls that begin and end.

use super::Simulation;
use crate::fleet::assumptions::*;
use crate::fleet::event::Event;
use crate::fleet::executor::State;
use crate::fleet::is_idempotent;
use crate::fleet::request::{Purpose, Request};
use orchidtally_dispatch_policy::interface::{DispatchStatus, ReplicaState};
use rand::RngExt;

/// A load that is under way.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    executor: u16,
    incarnation: u8,
    function: u32,
}

impl Simulation {
    /// A request reaches an executor, or what is left of it.
    pub(super) fn reaches(&mut self, key: u32) {
        let request = self.shared.requests[key as usize];
        let executor = usize::from(request.executor);
        let is_silent = self.executors[executor].state == State::Silent;
        if is_silent || self.is_cut_off(request.front_end, request.executor) {
            return self.unheard(key);
        }
        if self.executors[executor].state == State::Refusing {
            return self.answer(key, DispatchStatus::ConnectFailed);
        }
        let incarnation = self.executors[executor].incarnation;
        if request.executor_incarnation != incarnation {
            // The connection led to the process before.
            let ending = if request.is_connected {
                DispatchStatus::Reset
            } else {
                DispatchStatus::ConnectFailed
            };
            return self.answer(key, ending);
        }
        match request.purpose {
            Purpose::Call { .. } => self.call_reaches(key, request),
            Purpose::Order => self.order_reaches(key, request),
        }
    }

    /// Nobody answers: a connection attempt or a load command times out at its front end; a call on an established
    /// connection gets no answer.
    fn unheard(&mut self, key: u32) {
        let request = &mut self.shared.requests[key as usize];
        let wait = match request.purpose {
            _ if !request.is_connected => {
                request.ending = DispatchStatus::ConnectFailed;
                CONNECT_TIME
            }
            Purpose::Order => {
                request.ending = DispatchStatus::TimedOut;
                ORDER_TIME
            }
            Purpose::Call { .. } => {
                self.shared.requests.remove(key as usize);
                return;
            }
        };
        self.shared
            .queue
            .push(self.shared.now + wait, Event::Answers(key));
    }

    /// Sends the answer to a request, which is lost where a cut lies between.
    pub(super) fn answer(&mut self, key: u32, ending: DispatchStatus) {
        let Request {
            front_end,
            executor,
            ..
        } = self.shared.requests[key as usize];
        if self.is_cut_off(front_end, executor) {
            self.shared.requests.remove(key as usize);
            return;
        }
        let topology = &self.shared.topology;
        let place = topology.executors[usize::from(executor)];
        let delay = place.delay(topology.front_ends[usize::from(front_end)]);
        let machine = &self.executors[usize::from(executor)];
        let report = [
            machine.waiting.len() as f32,
            (machine.loading + machine.loads_waiting.len()) as f32,
        ];
        let request = &mut self.shared.requests[key as usize];
        (request.ending, request.report) = (ending, report);
        if ending == DispatchStatus::Full {
            self.shared.ledger.record_rejection(self.shared.now);
        }
        self.shared
            .queue
            .push(self.shared.now + delay, Event::Answers(key));
    }

    fn call_reaches(&mut self, key: u32, request: Request) {
        let (executor, function) = (usize::from(request.executor), request.function);
        self.shared
            .ledger
            .reached(self.shared.now, executor, self.executors_up);
        if self.executors[executor].waiting.len() >= self.capacity.waiting {
            return self.answer(key, DispatchStatus::Full);
        }
        let found = match self.executors[executor]
            .copy(function)
            .map(|copy| copy.loaded_at)
        {
            Some(Some(_)) => ReplicaState::Warm,
            Some(None) => ReplicaState::JoinedLoad,
            None if self.begin_load(request.executor, function, request.front_end) => {
                ReplicaState::ColdStart
            }
            None => return self.answer(key, DispatchStatus::Full),
        };
        let machine = &mut self.executors[executor];
        let Some(copy) = machine.copy_mut(function) else {
            return;
        };
        let request = &mut self.shared.requests[key as usize];
        (request.found, request.function_concurrency) = (found, copy.calls);
        copy.calls += 1;
        machine.waiting.push_back(key);
        self.change_in_hand(executor, 1);
        self.start(executor);
    }

    fn order_reaches(&mut self, key: u32, request: Request) {
        let (executor, function) = (usize::from(request.executor), request.function);
        if self.executors[executor].has_loaded(function) {
            return self.answer(key, DispatchStatus::Ok);
        }
        let is_loading = self.executors[executor].copy(function).is_some();
        if !is_loading && !self.begin_load(request.executor, function, request.front_end) {
            return self.answer(key, DispatchStatus::Full);
        }
        if let Some(copy) = self.executors[executor].copy_mut(function) {
            copy.orders.push(key);
        }
    }

    /// Enters a copy and loads it; false where there is no memory for it.
    fn begin_load(&mut self, executor: u16, function: u32, front_end: u16) -> bool {
        let now = self.shared.now;
        let machine = &mut self.executors[usize::from(executor)];
        let Ok(evicted) = machine.add_copy(function, now, self.capacity.copies) else {
            return false;
        };
        machine.loads_waiting.push_back(function);
        if let Some(evicted) = evicted {
            self.holders[evicted as usize].retain(|&holder| holder != executor);
        }
        let is_beyond_need = self.has_capacity_elsewhere(function, front_end);
        self.shared
            .ledger
            .loads(now, function, front_end, is_beyond_need);
        self.holders[function as usize].push(executor);
        self.next_load(executor);
        true
    }

    /// Whether an executor that the front end reaches has a loaded copy and would begin a call at once.
    fn has_capacity_elsewhere(&self, function: u32, front_end: u16) -> bool {
        let has_capacity = |&executor: &u16| {
            let machine = &self.executors[usize::from(executor)];
            machine.has_capacity(&self.capacity)
                && machine.has_loaded(function)
                && !self.is_cut_off(front_end, executor)
        };
        self.holders[function as usize].iter().any(has_capacity)
    }

    fn next_load(&mut self, executor: u16) {
        let machine = &mut self.executors[usize::from(executor)];
        if machine.loading >= LOADS_AT_A_TIME {
            return;
        }
        let Some(function) = machine.loads_waiting.pop_front() else {
            return;
        };
        machine.loading += 1;
        let key = self.loads.insert(Load {
            executor,
            incarnation: machine.incarnation,
            function,
        });
        self.shared
            .queue
            .push(self.shared.now + LOAD_TIME, Event::Loaded(key as u32));
    }

    pub(super) fn loaded(&mut self, key: u32) {
        let load = self.loads.remove(key as usize);
        let executor = usize::from(load.executor);
        let machine = &mut self.executors[executor];
        if machine.state != State::Up || machine.incarnation != load.incarnation {
            return;
        }
        machine.loading -= 1;
        let mut orders = vec![];
        if let Some(copy) = machine.copy_mut(load.function) {
            (copy.loaded_at, copy.used_at) = (Some(self.shared.now), self.shared.now);
            orders = std::mem::take(&mut copy.orders);
        }
        orders
            .into_iter()
            .for_each(|order| self.answer(order, DispatchStatus::Ok));
        self.next_load(load.executor);
        self.start(executor);
    }

    /// Begins what can run: the first that wait whose copies are loaded.
    fn start(&mut self, executor: usize) {
        let now = self.shared.now;
        while self.executors[executor].running.len() < self.capacity.lanes {
            let machine = &mut self.executors[executor];
            let requests = &self.shared.requests;
            let can_begin = |&key: &u32| {
                let request = &requests[key as usize];
                now >= request.cancelled_at || machine.has_loaded(request.function)
            };
            let Some(position) = machine.waiting.iter().position(can_begin) else {
                return;
            };
            let Some(key) = machine.waiting.remove(position) else {
                return;
            };
            let request = self.shared.requests[key as usize];
            let Some(copy) = machine.copy_mut(request.function) else {
                continue;
            };
            if now >= request.cancelled_at {
                copy.calls -= 1;
                self.shared.requests.remove(key as usize);
                self.change_in_hand(executor, -1);
                continue;
            }
            let loaded_at = copy.loaded_at.unwrap_or(now);
            machine.running.push(key);
            if let Purpose::Call { call, came, .. } = request.purpose {
                let is_idempotent = is_idempotent(request.function);
                self.shared
                    .ledger
                    .begins(now, call, came, loaded_at, is_idempotent);
            }
            let unit: f64 = self.random.random();
            let work = -(1.0 - unit).ln() * MEAN_WORK / self.executors[executor].speed(now);
            self.shared.queue.push(now + work, Event::Ends(key));
        }
    }

    pub(super) fn ends(&mut self, key: u32) {
        let request = self.shared.requests[key as usize];
        let executor = usize::from(request.executor);
        let machine = &mut self.executors[executor];
        if machine.state != State::Up || machine.incarnation != request.executor_incarnation {
            // It went down with its executor.
            self.shared.requests.remove(key as usize);
            return;
        }
        if let Some(position) = machine.running.iter().position(|&running| running == key) {
            machine.running.swap_remove(position);
        }
        if let Some(copy) = machine.copy_mut(request.function) {
            copy.calls -= 1;
            copy.used_at = self.shared.now;
        }
        self.change_in_hand(executor, -1);
        self.answer(key, DispatchStatus::Ok);
        self.start(executor);
    }

    fn change_in_hand(&mut self, executor: usize, change: i32) {
        let in_hand = &self.in_hand[executor];
        in_hand.set(in_hand.get().saturating_add_signed(change));
    }
}
