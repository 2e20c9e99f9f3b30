//! A fleet in simulated time: many engines, each with its own part of one stream of arrivals, and executors that
//! load copies, run so many at a time and queue the rest. What the executors see is noted for the invariant checker.

// Each program that plays it uses a part.
#![allow(dead_code)]

mod world;

use orchidtally_dispatch_policy::interface::*;
use orchidtally_dispatch_policy::random::SeededRandom;
use orchidtally_engine::DispatchPolicy;
use orchidtally_engine::{Engine, FailureReason, Host, InvocationRequest, ResponseMetadata};
use orchidtally_invariants as invariants;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use world::{Executor, Job, What, World};

pub const LANES: u32 = 4;
const WORK: f64 = 0.1;
const LOAD_TIME: f64 = 0.5;
const KEEP: f64 = 8.0;
const TRANSIT: f64 = 0.001;
/// What a full waiting room answers 'full' beyond.
const ROOM: usize = 32;

/// What is played.
#[derive(Clone)]
pub struct Play {
    pub front_ends: usize,
    pub executors: usize,
    /// Of what the executors can do, by lanes and work.
    pub load: f64,
    pub functions: usize,
    pub length: f64,
    /// When a third of the executors are replaced by cold ones, and seven in ten front ends start anew.
    pub replaced_at: Option<f64>,
    pub restarted_at: Option<f64>,
    pub seed: u64,
}

/// In hand at each executor, as it truly is: for references that see it.
pub type Truth = Rc<RefCell<Vec<u32>>>;
/// Makes what decides at a front end, by its terms, its seed and the true state; `None`: the module.
pub type Maker = dyn Fn(&PolicyConfig, u64, &Truth) -> Option<Box<dyn DispatchPolicy>>;

/// One front end's side of the world.
struct Side {
    fe: usize,
    life: u32,
    world: Rc<RefCell<World>>,
    functions: BTreeMap<u32, (u64, f64)>,
    taking: (u64, f64),
    ids: Vec<ExecutorId>,
}

impl Side {
    fn x(&self, id: ExecutorId) -> usize {
        self.ids.iter().position(|&i| i == id).unwrap_or(usize::MAX)
    }

    fn given_up(&mut self, inv: u32) {
        self.functions.remove(&inv);
        self.world.borrow_mut().given_up += 1;
    }
}

impl Host for Side {
    fn admitted(&mut self, inv: u32) {
        self.functions.insert(inv, self.taking);
    }
    fn dispatch(&mut self, inv: u32, n: u8, to: ExecutorId, _: f64) {
        let (fe, life, x) = (self.fe, self.life, self.x(to));
        let Some(&(function, _)) = self.functions.get(&inv) else {
            return;
        };
        let mut world = self.world.borrow_mut();
        let at = world.now + TRANSIT;
        world.at(
            at,
            What::Reaches {
                fe,
                life,
                inv,
                n,
                x,
                function,
            },
        );
    }
    fn cancel(&mut self, _: u32, _: u8) {}
    fn succeeded(&mut self, inv: u32, _: u8) {
        let Some((_, came)) = self.functions.remove(&inv) else {
            return;
        };
        let mut world = self.world.borrow_mut();
        world.succeeded += 1;
        world.in_time += u64::from(world.now <= came + OBJECTIVE);
    }
    fn rejected(&mut self, inv: u32, _: f64, _: bool) {
        self.given_up(inv);
    }
    fn failed(&mut self, inv: u32, _: FailureReason, _: bool) {
        self.given_up(inv);
    }
    fn load(&mut self, _: ExecutorId, _: u64, _: u8) {}
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}

const OBJECTIVE: f64 = 1.5;

fn policy(front_ends: usize, index: usize) -> PolicyConfig {
    let ty = TriggerType {
        latency_objective: OBJECTIVE,
        objective_work_factor: 0.0,
        client_timeout: 6.0,
        billed_value: 1.0,
        late_value_fraction: 0.2,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0.0,
    };
    PolicyConfig {
        trigger_types: vec![ty],
        front_ends: front_ends as f64,
        front_end_index: index as f64,
        clock_tick: 0.002,
        max_dispatches: 4,
        allows_cancellation: true,
        max_retry_after: 1.0,
        // Warm at once: a cold time would bound what the measure is to find.
        slow_start_duration: 0.0,
        slow_start_initial_weight: 1.0,
        overload_factor: 2.0,
        overload_window: 1.0,
        reports_concurrency: true,
        keep_alive: KEEP,
        load_budget_floor: 2.0,
        load_budget_fraction: 0.2,
        load_budget_window: 5.0,
        backlog_field: Some(0),
        ..PolicyConfig::default()
    }
}

/// An executor's id, which is another's after it was replaced; its port is its number.
fn id(x: usize, life: u32) -> ExecutorId {
    let address = std::net::Ipv4Addr::from(0x0a00_0000 + x as u32 * 26_544 + life * 77_777);
    ExecutorId(address.into(), x as u16)
}

/// Which executor an id is of, in whatever life.
pub fn number(id: ExecutorId) -> Option<usize> {
    Some(usize::from(id.1))
}

/// Plays it and tells what the world saw.
pub fn play(play: &Play, maker: &Maker) -> World {
    let truth: Truth = Rc::new(RefCell::new(vec![0; play.executors]));
    let world = Rc::new(RefCell::new(World {
        now: 0.0,
        next: 0,
        due: BinaryHeap::new(),
        what: BTreeMap::new(),
        executors: (0..play.executors).map(|_| Executor::default()).collect(),
        truth: truth.clone(),
        random: SeededRandom::new(play.seed),
        records: vec![],
        succeeded: 0,
        in_time: 0,
        given_up: 0,
    }));
    (0..play.executors).for_each(|x| world.borrow_mut().stands(x));
    let rate = play.load * play.executors as f64 * f64::from(LANES) / WORK;
    let mut arrivals = SeededRandom::new(play.seed ^ 0x5eed);
    let mut at = 0.0;
    while at < play.length {
        at += -(1.0 - arrivals.unit()).ln() / rate;
        // A few functions are asked for often.
        let function = (play.functions as f64).powf(arrivals.unit()) as u64;
        world.borrow_mut().at(at, What::Arrives(function));
    }
    let mut ids: Vec<ExecutorId> = (0..play.executors).map(|x| id(x, 0)).collect();
    let make = |fe: usize, life: u32, ids: &[ExecutorId]| {
        let policy = policy(play.front_ends, fe);
        let seed = play.seed.wrapping_mul(1_000_003) + fe as u64 * 64 + u64::from(life);
        let functions = BTreeMap::new();
        let mut side = Side {
            fe,
            life,
            world: world.clone(),
            functions,
            taking: (0, 0.0),
            ids: ids.to_vec(),
        };
        let now = world.borrow().now;
        let mut engine = match maker(&policy, seed, &truth) {
            Some(dispatcher) => Engine::with_baseline(dispatcher, 100_000, now),
            None => Engine::new(policy, 100_000, seed, now, &mut side),
        };
        engine.on_endpoint_update(now, EndpointUpdateKind::Full, &rows(ids), &mut side);
        (engine, side, 0.0_f64)
    };
    let mut sides: Vec<_> = (0..play.front_ends).map(|fe| make(fe, 0, &ids)).collect();
    let (mut replaced_at, mut restarted_at) = (play.replaced_at, play.restarted_at);
    loop {
        let (now, what) = {
            let mut world = world.borrow_mut();
            let Some(Reverse((at, key))) = world.due.pop() else {
                break;
            };
            world.now = at.0;
            (at.0, world.what.remove(&key))
        };
        if replaced_at.is_some_and(|at| now >= at) {
            replaced_at = None;
            for (x, replaced) in ids.iter_mut().enumerate().take(play.executors / 3) {
                world.borrow_mut().stands(x);
                *replaced = id(x, 1);
            }
            for (engine, side, _) in &mut sides {
                side.ids = ids.clone();
                engine.on_endpoint_update(now, EndpointUpdateKind::Full, &rows(&ids), side);
            }
        }
        if restarted_at.is_some_and(|at| now >= at) {
            restarted_at = None;
            (0..play.front_ends * 7 / 10).for_each(|fe| sides[fe] = make(fe, 1, &ids));
        }
        let Some(what) = what else { continue };
        let touched = match what {
            What::Arrives(function) => {
                let fe = (arrivals.unit() * play.front_ends as f64) as usize;
                let (engine, side, _) = &mut sides[fe];
                side.taking = (function, now);
                let offer = InvocationRequest {
                    trigger_type: 0,
                    customer: 0,
                    function,
                    is_retry: false,
                    is_migrated: false,
                    timeout_at: now + 6.0,
                    expected_work: None,
                    concurrency: f64::from(LANES),
                    load_time: Some(LOAD_TIME),
                };
                let _ = engine.admit(now, &offer, side);
                fe
            }
            What::Reaches {
                fe,
                life,
                inv,
                n,
                x,
                function,
            } => {
                let (found, crowd) = (CopyState::Unknown, 0);
                let mut world = world.borrow_mut();
                if x < play.executors {
                    world.reaches(
                        x,
                        Job {
                            fe,
                            life,
                            inv,
                            n,
                            function,
                            found,
                            crowd,
                        },
                    );
                } else {
                    // One that was replaced meanwhile takes no connection.
                    let (ending, waiting) = (DispatchStatus::ConnectFailed, 0.0);
                    let answer = What::Answers {
                        fe,
                        life,
                        inv,
                        n,
                        ending,
                        found,
                        crowd,
                        waiting,
                    };
                    world.at(now + TRANSIT, answer);
                }
                continue;
            }
            What::Loaded { x, life } => {
                let mut world = world.borrow_mut();
                if world.executors[x].life == life {
                    world.start(x);
                }
                continue;
            }
            What::Ends { x, life, job } => {
                let mut world = world.borrow_mut();
                if world.executors[x].life == life {
                    world.executors[x]
                        .running
                        .retain(|j| (j.fe, j.inv, j.n) != (job.fe, job.inv, job.n));
                    if let Some(copy) = world.executors[x].copies.get_mut(&job.function) {
                        copy.1 = now;
                    }
                    world.truth.borrow_mut()[x] -= 1;
                    let (executor, ending) = (x, invariants::DispatchOutcome::Succeeded);
                    let invocation = format!("{}-{}", job.fe, job.inv);
                    let number = job.n.into();
                    let ended = invariants::TrafficRecord::Ended {
                        at: now,
                        executor,
                        invocation,
                        number,
                        ending,
                    };
                    world.records.push(ended);
                    world.answer(x, &job, DispatchStatus::Ok);
                    world.start(x);
                }
                continue;
            }
            What::Answers {
                fe,
                life,
                inv,
                n,
                ending,
                found,
                crowd,
                waiting,
            } => {
                let (engine, side, _) = &mut sides[fe];
                if side.life == life {
                    let told = ResponseMetadata {
                        copy_state: found,
                        function_concurrency: crowd,
                        load_report: &[waiting],
                    };
                    engine.on_dispatch_result(now, inv, n, ending, told, side);
                }
                fe
            }
            What::Turns(fe) => {
                let (engine, side, due) = &mut sides[fe];
                *due = f64::INFINITY;
                engine.run_due_timers(now, side);
                fe
            }
        };
        let (engine, _, due) = &mut sides[touched];
        let at = engine.next_deadline();
        if at.is_finite() && at < play.length + 10.0 && (*due <= now || at < *due) {
            *due = at;
            world.borrow_mut().at(at.max(now), What::Turns(touched));
        }
    }
    drop(sides);
    let mut world = Rc::into_inner(world).expect("no side is left").into_inner();
    world.records.retain(|r| r.at() < play.length);
    world
}

fn rows(ids: &[ExecutorId]) -> Vec<Endpoint> {
    let row = |&executor: &ExecutorId| Endpoint {
        executor,
        zone: 0,
        kind: 0,
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: f64::NEG_INFINITY,
    };
    ids.iter().map(row).collect()
}
