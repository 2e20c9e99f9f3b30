//! One run: front ends, executors and the store's notices in simulated time, played by one thread.

mod changes;
mod executor_events;

use super::arrivals::{Arrival, Arrivals};
use super::assumptions::*;
use super::cpu::SampledCpu;
use super::event::{Event, Queue};
use super::executor::{Capacity, Executor, State};
use super::finding::{Counts, Finding};
use super::front_end::*;
use super::measure::{CutWindow, FinalAnswer, Ledger};
use super::plan::{Plan, START};
use super::request::{Purpose, Request};
use super::scenario::{Change, Down, Listed, Machine, Step, cut_region};
use super::topology::{Topology, executor_id, executor_number};
use super::{Policy, is_idempotent};
use crate::clock::resident_bytes;
use executor_events::Load;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_engine::baseline::{BaselinePolicy, BaselineSelection};
use orchidtally_engine::{Engine, InvocationRequest};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use slab::Slab;
use std::cell::Cell;
use std::rc::Rc;

/// A message of the store to one front end.
struct Notice {
    front_end: usize,
    incarnation: u8,
    content: NoticeContent,
}

enum NoticeContent {
    /// Changed entries of the endpoint list.
    Endpoints(Rc<[Endpoint]>),
    /// The front end has its share of the budgets again.
    BudgetShare,
}

/// A run of the fleet in simulated time.
pub struct Simulation {
    plan: Plan,
    capacity: Capacity,
    front_ends: Vec<FrontEnd>,
    executors: Vec<Executor>,
    executors_up: usize,
    /// The executors that hold or load a copy of each function.
    holders: Vec<Vec<u16>>,
    loads: Slab<Load>,
    shared: Shared,
    /// Calls that wait or run at each executor, for the reference policy that knows the true load.
    in_hand: Rc<[Cell<u32>]>,
    random: StdRng,
    cut: Option<u8>,
    steps: Vec<Step>,
    notices: Slab<Notice>,
    cpu: SampledCpu,
}

impl Simulation {
    /// Sets up a fleet whose front ends have their endpoint lists.
    pub fn new(plan: Plan) -> Simulation {
        let size = &plan.size;
        let topology = Topology::new(size.front_ends, size.executors, size.regions, size.zones);
        let window = plan.window();
        let region = cut_region(plan.scenario);
        let cut = region.map(|region| CutWindow {
            region,
            during: plan.scenario.outage(&window),
        });
        let steps = plan.scenario.steps(&topology, &window, plan.seed);
        let ledger = Ledger::new(window, cut, size.executors, size.functions);
        let mut queue = Queue::default();
        (0..)
            .zip(&steps)
            .for_each(|(number, step)| queue.push(step.at, Event::Step(number)));
        let shared = Shared {
            now: START,
            queue,
            requests: Slab::new(),
            topology,
            ledger,
            executor_incarnations: vec![0; size.executors],
            fault: plan.fault,
            faults: 0,
        };
        let mut simulation = Simulation {
            capacity: plan.capacity(),
            front_ends: Vec::with_capacity(size.front_ends),
            executors: (0..size.executors).map(|_| Executor::new()).collect(),
            executors_up: size.executors,
            holders: vec![vec![]; size.functions],
            loads: Slab::new(),
            in_hand: (0..size.executors).map(|_| Cell::new(0)).collect(),
            random: StdRng::seed_from_u64(plan.seed ^ 0x0065_7865_6375_746f),
            cut: None,
            steps,
            notices: Slab::new(),
            cpu: SampledCpu::default(),
            shared,
            plan,
        };
        for number in 0..simulation.plan.size.front_ends {
            let front_end = simulation.front_end(number, 0);
            simulation.front_ends.push(front_end);
            simulation.list_all(number);
        }
        simulation
    }

    /// A front end that has just started and knows nothing.
    fn front_end(&mut self, number: usize, incarnation: u8) -> FrontEnd {
        let place = self.shared.topology.front_ends[number];
        let regions = if self.plan.regions_known {
            self.shared.topology.regions.clone()
        } else {
            vec![]
        };
        let policy = policy(self.plan.size.front_ends, number, place, regions);
        let seed = self.plan.seed.wrapping_mul(1_000_003)
            + (number * 256 + usize::from(incarnation)) as u64;
        let mut state = HostState::new(number as u16, incarnation, place, self.plan.size.executors);
        let now = self.shared.now;
        let engine = match self.plan.policy {
            Policy::Dispatcher => {
                let mut host = HollowHost {
                    state: &mut state,
                    shared: &mut self.shared,
                };
                Engine::new(policy, MOST_OPEN, seed, now, &mut host)
            }
            Policy::Random => {
                Engine::with_baseline(Box::new(BaselinePolicy::new(seed)), MOST_OPEN, now)
            }
            Policy::TwoByTrueLoad => {
                let in_hand = self.in_hand.clone();
                let load = move |id| executor_number(id).map_or(u32::MAX, |x| in_hand[x].get());
                let policy = BaselinePolicy::with_selection(
                    BaselineSelection::TwoChoicesByTrueLoad(Box::new(load)),
                    seed,
                );
                Engine::with_baseline(Box::new(policy), MOST_OPEN, now)
            }
        };
        FrontEnd { engine, state }
    }

    /// Runs the simulation until each call must have its final answer.
    pub fn run(mut self) -> Finding {
        let window = self.plan.window();
        let size = &self.plan.size;
        let thinned_until = START + self.plan.warm_up_thinned;
        let mut arrivals = Arrivals::new(
            self.plan.seed,
            size.calls_per_s,
            size.functions,
            START,
            thinned_until,
        );
        let mut next = arrivals.draw();
        let ends_at = window.end + CLIENT_TIMEOUT + 1.0;
        loop {
            let event_at = self.shared.queue.next_at();
            if next.at < window.end && next.at <= event_at {
                self.shared.now = next.at;
                self.arrives(&next);
                next = arrivals.draw();
            } else if event_at > ends_at {
                return self.found();
            } else if let Some((at, event)) = self.shared.queue.pop() {
                self.shared.now = at;
                self.happens(event);
            }
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Reaches(key) => self.reaches(key),
            Event::Loaded(key) => self.loaded(key),
            Event::Ends(key) => self.ends(key),
            Event::Answers(key) => self.answers(key),
            Event::Wakes(front_end) => self.wakes(front_end as usize),
            Event::Notice(key) => self.notice(key),
            Event::Step(number) => {
                let change = self.steps[number as usize].change.clone();
                self.changes(&change);
            }
        }
    }

    /// Calls the engine of a front end and reschedules its timer.
    fn play<T>(
        &mut self,
        front_end: usize,
        input: impl FnOnce(&mut Engine, f64, &mut HollowHost) -> T,
    ) -> T {
        let now = self.shared.now;
        let FrontEnd { engine, state } = &mut self.front_ends[front_end];
        let mut host = HollowHost {
            state,
            shared: &mut self.shared,
        };
        let result = self.cpu.measure(|| input(engine, now, &mut host));
        let due_at = engine.next_deadline().max(now);
        if due_at < state.wakes_at {
            state.wakes_at = due_at;
            self.shared
                .queue
                .push(due_at, Event::Wakes(front_end as u32));
        }
        result
    }

    fn wakes(&mut self, front_end: usize) {
        let state = &mut self.front_ends[front_end].state;
        // An earlier timer may have taken this one's place.
        if state.is_up && state.wakes_at == self.shared.now {
            state.wakes_at = f64::INFINITY;
            self.play(front_end, |engine, now, host| {
                engine.run_due_timers(now, host)
            });
        }
    }

    fn arrives(&mut self, arrival: &Arrival) {
        let Some(front_end) = self.live_front_end(arrival.draw) else {
            return;
        };
        let Arrival {
            at: came, function, ..
        } = *arrival;
        let state = &mut self.front_ends[front_end].state;
        let region = state.place.region;
        let call = self.shared.ledger.record_arrival(came, region);
        state.admitting = OpenCall {
            call,
            function,
            came,
        };
        let request = InvocationRequest {
            trigger_type: if is_idempotent(function) {
                IDEMPOTENT
            } else {
                NON_IDEMPOTENT
            },
            customer: 0,
            function: u64::from(function),
            is_retry: false,
            is_migrated: false,
            timeout_at: came + CLIENT_TIMEOUT,
            expected_work: None,
            concurrency: FUNCTION_LANES,
            load_time: Some(LOAD_TIME),
        };
        let admission = self.play(front_end, |engine, now, host| {
            engine.admit(now, &request, host)
        });
        self.cpu.calls += 1;
        if admission.is_err() {
            self.shared
                .ledger
                .answered(came, came, region, FinalAnswer::Refused);
        }
    }

    /// The front end that a client's balancer chooses by a draw; the next one that is up. `None`: none is.
    fn live_front_end(&self, draw: f64) -> Option<usize> {
        let count = self.front_ends.len();
        let first = (draw * count as f64) as usize;
        (first..first + count)
            .map(|n| n % count)
            .find(|&n| self.front_ends[n].state.is_up)
    }

    /// Whether a cut parts a front end from an executor.
    fn is_cut_off(&self, front_end: u16, executor: u16) -> bool {
        let Some(region) = self.cut else { return false };
        let topology = &self.shared.topology;
        let one = topology.front_ends[usize::from(front_end)].region == region;
        let other = topology.executors[usize::from(executor)].region == region;
        one != other
    }

    /// An answer reaches its front end.
    fn answers(&mut self, key: u32) {
        let request = self.shared.requests.remove(key as usize);
        let Request {
            front_end,
            executor,
            ending,
            function,
            ..
        } = request;
        let state = &mut self.front_ends[usize::from(front_end)].state;
        if !state.is_up || state.incarnation != request.front_end_incarnation {
            return;
        }
        if matches!(
            ending,
            DispatchStatus::ConnectFailed | DispatchStatus::Reset
        ) {
            state.disconnect(usize::from(executor));
        }
        match request.purpose {
            Purpose::Call {
                invocation,
                dispatch,
                ..
            } => {
                // A second answer to one dispatch is none of its key's.
                if state.sent.get(&(invocation, dispatch)) == Some(&key) {
                    state.sent.remove(&(invocation, dispatch));
                }
                let report = request.report;
                self.play(usize::from(front_end), |engine, now, host| {
                    let metadata = orchidtally_engine::ResponseMetadata {
                        replica_state: request.found,
                        function_concurrency: request.function_concurrency,
                        load_report: &report,
                    };
                    engine.on_dispatch_result(now, invocation, dispatch, ending, metadata, host);
                });
            }
            Purpose::Order => {
                let id = executor_id(usize::from(executor));
                self.play(usize::from(front_end), |engine, now, host| {
                    engine.on_load_result(now, id, u64::from(function), ending, host);
                });
            }
        }
    }

    fn found(self) -> Finding {
        let resident_bytes = resident_bytes();
        let Simulation {
            shared,
            cpu,
            executors,
            front_ends,
            ..
        } = self;
        let kept: usize = front_ends
            .iter()
            .map(|f| f.engine.table_sizes().functions)
            .sum();
        let functions_in_tables = kept as f64 / front_ends.len() as f64;
        let copies = executors
            .iter()
            .map(|executor| executor.copies.len() as u64)
            .sum();
        let counts = Counts::of(shared.ledger, copies, shared.queue.entered());
        Finding {
            counts,
            decision_cpu_us: cpu.us_a_call(),
            functions_in_tables,
            resident_bytes,
        }
    }
}
