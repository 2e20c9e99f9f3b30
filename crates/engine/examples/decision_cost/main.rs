//! CPU time of one front end's decisions by the number of executors, in simulated time, and a digest of all
//! that was decided, by which two versions of the module are compared on the same seeds.
//!
//! `cargo run --release -p orchidtally-engine --example decision_cost -- [NAME=VALUE ...]`
//!
//! Names are `seconds` (120), `seed` (1), `day` (`calm`, `loaded` or `faults`), `executors`
//! (36,300,1000,3000), `rate` (182 calls a second), `exponent` (1.6, of Zipf's law over 21,000 functions) and
//! `regions` (0: the front end is not told of any; else the eight zones are spread over so many).
//! The front end is one of 550. CPU time is the thread's own (Linux only), of the second half, with the
//! simulation's part in it.

mod play;

use orchidtally_dispatch_policy::interface::*;
use orchidtally_dispatch_policy::random::{SeededRandom, rendezvous_hash};
use orchidtally_dispatch_policy::state::Ordered;
use orchidtally_engine::{Engine, FailureReason, Host, InvocationRequest, ResponseMetadata};
use play::{Day, Play};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const FRONT_ENDS: f64 = 550.0;
const START: f64 = 1_000.0;
const ANSWER_TIME: f64 = 0.05;
const LOAD_TIME: f64 = 0.3;
const KEEP_ALIVE: f64 = 60.0;
const ZONES: u32 = 8;

enum Event {
    Ends {
        inv: u32,
        dispatch: u8,
        x: usize,
        function: u64,
        ending: DispatchStatus,
        found: CopyState,
    },
    Held {
        to: ExecutorId,
        function: u64,
        ending: DispatchStatus,
    },
}

/// Performs what is decided, and keeps a digest of it.
struct Simulation {
    day: Day,
    now: f64,
    digest: u64,
    decided: u64,
    next: u64,
    due: BinaryHeap<Reverse<(Ordered, u64)>>,
    events: BTreeMap<u64, Event>,
    functions: BTreeMap<u32, u64>,
    taking: u64,
    /// When each copy stands and was last used.
    copies: BTreeMap<(usize, u64), (f64, f64)>,
    random: SeededRandom,
    loads: u64,
    succeeded: u64,
    given_up: u64,
}

impl Simulation {
    fn note(&mut self, values: &[u64]) {
        self.decided += 1;
        for value in values {
            self.digest = (self.digest ^ value)
                .wrapping_mul(0x0100_0000_01b3)
                .rotate_left(23);
        }
    }

    fn at(&mut self, at: f64, event: Event) {
        self.next += 1;
        self.due.push(Reverse((Ordered(at), self.next)));
        self.events.insert(self.next, event);
    }

    /// When a copy stands at an executor, and whether that is now.
    fn load(&mut self, x: usize, function: u64) -> (f64, bool) {
        let now = self.now;
        let copy = self
            .copies
            .entry((x, function))
            .or_insert((0.0, f64::NEG_INFINITY));
        if copy.1 + KEEP_ALIVE < now {
            *copy = (now + LOAD_TIME, now);
            self.loads += 1;
        }
        copy.1 = copy.0.max(now);
        (copy.1, copy.0 <= now)
    }
}

fn number(ExecutorId(address, _): ExecutorId) -> u64 {
    match address {
        std::net::IpAddr::V4(a) => u64::from(u32::from(a)),
        std::net::IpAddr::V6(_) => 0,
    }
}

fn index(id: ExecutorId) -> usize {
    (number(id) & 0xffff) as usize
}

impl Host for Simulation {
    fn admitted(&mut self, inv: u32) {
        self.functions.insert(inv, self.taking);
    }
    fn dispatch(&mut self, inv: u32, dispatch: u8, to: ExecutorId, within: f64) {
        self.note(&[1, inv.into(), dispatch.into(), number(to), within.to_bits()]);
        let (x, function) = (index(to), self.functions[&inv]);
        let drawn = if self.day == Day::Faults {
            self.random.unit()
        } else {
            1.0
        };
        let ending = match drawn {
            d if d < 0.004 => DispatchStatus::Error,
            d if d < 0.007 => DispatchStatus::Full,
            d if d < 0.009 => DispatchStatus::Reset,
            d if d < 0.011 => DispatchStatus::ConnectFailed,
            _ => DispatchStatus::Ok,
        };
        // Some hang.
        if self.day == Day::Faults
            && rendezvous_hash(x as u64, (self.now / 20.0) as u64).is_multiple_of(97)
        {
            return;
        }
        let (stands_at, warm) = self.load(x, function);
        let found = if warm {
            CopyState::Warm
        } else {
            CopyState::ColdLoad
        };
        let at = stands_at + ANSWER_TIME * (0.5 + self.random.unit());
        self.at(
            at,
            Event::Ends {
                inv,
                dispatch,
                x,
                function,
                ending,
                found,
            },
        );
    }
    fn cancel(&mut self, inv: u32, dispatch: u8) {
        self.note(&[2, inv.into(), dispatch.into()]);
    }
    fn succeeded(&mut self, _: u32, _: u8) {
        self.succeeded += 1;
    }
    fn rejected(&mut self, inv: u32, retry_after: f64, _: bool) {
        self.note(&[3, inv.into(), retry_after.to_bits()]);
        self.given_up += 1;
    }
    fn failed(&mut self, inv: u32, _: FailureReason, _: bool) {
        self.note(&[4, inv.into()]);
        self.given_up += 1;
    }
    fn load(&mut self, to: ExecutorId, function: u64, copies: u8) {
        self.note(&[5, number(to), function, copies.into()]);
        let (stands_at, _) = self.load(index(to), function);
        let failed = self.day == Day::Faults && self.random.unit() < 0.01;
        let ending = if failed {
            DispatchStatus::ConnectFailed
        } else {
            DispatchStatus::Ok
        };
        self.at(
            stands_at,
            Event::Held {
                to,
                function,
                ending,
            },
        );
    }
    fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
    fn unload(&mut self, _: ExecutorId, _: u64) {}
    fn health_check(&mut self, _: ExecutorId) {}
    fn subscribe_to_endpoints(&mut self) {}
}

fn policy(day: Day, regions: u32) -> PolicyConfig {
    let ty = |effect, group| TriggerType {
        latency_objective: 1.0,
        objective_work_factor: 0.0,
        client_timeout: 5.0,
        billed_value: 1.0,
        late_value_fraction: 0.2,
        idempotency: effect,
        deduplication_scope: group,
        deduplication_window: 2.0,
    };
    PolicyConfig {
        trigger_types: vec![
            ty(Idempotency::Idempotent, DeduplicationScope::All),
            ty(Idempotency::Keyed, DeduplicationScope::Zone),
            ty(Idempotency::Keyed, DeduplicationScope::Cell),
            ty(Idempotency::NonIdempotent, DeduplicationScope::All),
        ],
        front_ends: FRONT_ENDS,
        front_end_index: 17.0,
        cross_zone_cost: 0.02,
        zone_regions: (0..ZONES)
            .filter(|_| regions > 0)
            .map(|zone| Some((zone * regions / ZONES) as u8))
            .collect(),
        clock_tick: 0.002,
        max_dispatches: 4,
        allows_cancellation: true,
        max_retry_after: 1.0,
        slow_start_duration: 10.0,
        slow_start_initial_weight: 0.2,
        overload_factor: 2.0,
        overload_window: 1.0,
        allows_load_commands: day != Day::Loaded,
        keep_alive: KEEP_ALIVE,
        load_budget_floor: 20.0,
        load_budget_fraction: 0.5,
        load_budget_window: 5.0,
        backlog_field: Some(0),
        ..PolicyConfig::default()
    }
}

fn row(day: Day, x: u32, life: u32, since: f64) -> Endpoint {
    Endpoint {
        executor: ExecutorId(
            std::net::Ipv4Addr::from(0x0a00_0000 + (life << 16) + x).into(),
            7000,
        ),
        zone: (x % ZONES) as u8,
        kind: if day == Day::Faults { (x % 3) as u8 } else { 0 },
        cell: (x / 7) as u16,
        state: EndpointState::Ready,
        weight: if day == Day::Faults {
            [1.0, 0.5, 2.0][(x % 3) as usize]
        } else {
            1.0
        },
        started_at: since,
    }
}

/// Plays a change of the roster.
fn change_roster(rows: &mut [Endpoint], engine: &mut Engine, simulation: &mut Simulation) {
    let now = simulation.now;
    let x = (simulation.random.unit() * rows.len() as f64) as usize;
    let drawn = simulation.random.unit();
    let change = match drawn {
        d if d < 0.3 => Endpoint {
            started_at: now,
            ..rows[x].clone()
        },
        d if d < 0.5 => Endpoint {
            state: EndpointState::Draining,
            ..rows[x].clone()
        },
        d if d < 0.6 => Endpoint {
            state: EndpointState::Gone,
            ..rows[x].clone()
        },
        d if d < 0.7 => Endpoint {
            cell: rows[x].cell ^ 1,
            ..rows[x].clone()
        },
        d if d < 0.8 => row(simulation.day, x as u32, (now as u32) & 0xff, now),
        _ => Endpoint {
            state: EndpointState::Ready,
            ..rows[x].clone()
        },
    };
    rows[x] = change.clone();
    match drawn {
        d if d < 0.9 => {
            engine.on_endpoint_update(now, EndpointUpdateKind::Delta, &[change], simulation)
        }
        d if d < 0.98 => engine.on_endpoint_update(now, EndpointUpdateKind::Full, rows, simulation),
        _ => engine.on_endpoint_update(now, EndpointUpdateKind::Failed, &[], simulation),
    }
}

/// The thread's CPU time, in seconds.
fn cpu() -> f64 {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    stat.split(' ')
        .next()
        .and_then(|ns| ns.parse::<f64>().ok())
        .unwrap_or(f64::NAN)
        / 1e9
}

struct Seen {
    us_a_call: f64,
    ms_a_list: f64,
    simulation: Simulation,
    most_functions: usize,
}

/// Milliseconds for a whole list in which one executor differs from the last.
fn ms_a_list(rows: &mut [Endpoint], engine: &mut Engine, simulation: &mut Simulation) -> f64 {
    const LISTS: u32 = 40;
    let started = cpu();
    for n in 0..LISTS {
        let ready = n % 2 == 1;
        rows[0].state = if ready {
            EndpointState::Ready
        } else {
            EndpointState::Draining
        };
        engine.on_endpoint_update(simulation.now, EndpointUpdateKind::Full, rows, simulation);
    }
    1e3 * (cpu() - started) / f64::from(LISTS)
}

fn run(play: &Play, executors: u32, shares: &[f64]) -> Seen {
    let &Play {
        seconds,
        seed,
        day,
        rate,
        regions,
        ..
    } = play;
    let mut simulation = Simulation {
        day,
        now: START,
        digest: 0xcbf2_9ce4_8422_2325,
        decided: 0,
        next: 0,
        due: BinaryHeap::new(),
        events: BTreeMap::new(),
        functions: BTreeMap::new(),
        taking: 0,
        copies: BTreeMap::new(),
        random: SeededRandom::new(seed),
        loads: 0,
        succeeded: 0,
        given_up: 0,
    };
    let mut engine = Engine::new(policy(day, regions), 100_000, seed, START, &mut simulation);
    let mut rows: Vec<Endpoint> = (0..executors)
        .map(|x| row(day, x, 0, f64::NEG_INFINITY))
        .collect();
    engine.on_endpoint_update(START, EndpointUpdateKind::Full, &rows, &mut simulation);
    let mut arrivals = SeededRandom::new(seed ^ 0x5eed);
    let (mut arrival, mut change_at) = (START, START + 2.0);
    let (mut started, mut calls) = (cpu(), 0u32);
    let (middle, mut most_functions) = (START + seconds / 2.0, 0);
    loop {
        let before = arrival;
        arrival += -(1.0 - arrivals.unit()).ln() / rate;
        if arrival > START + seconds {
            break;
        }
        if before < middle && arrival >= middle {
            (started, calls) = (cpu(), 0);
        }
        loop {
            let event_at = simulation
                .due
                .peek()
                .map_or(f64::INFINITY, |Reverse((at, _))| at.0);
            let turn_at = engine.next_deadline();
            if event_at.min(turn_at) > arrival {
                break;
            }
            simulation.now = simulation.now.max(event_at.min(turn_at));
            let now = simulation.now;
            if turn_at < event_at {
                engine.run_due_timers(now, &mut simulation);
                continue;
            }
            let Some(Reverse((_, key))) = simulation.due.pop() else {
                break;
            };
            match simulation.events.remove(&key) {
                Some(Event::Ends {
                    inv,
                    dispatch,
                    x,
                    function,
                    ending,
                    found,
                }) => {
                    simulation.load(x, function);
                    let busy = rendezvous_hash(x as u64, (now / 3.0) as u64) % 8;
                    let waiting = if day == Day::Calm {
                        0.0
                    } else {
                        busy.saturating_sub(4) as f32
                    };
                    let told = ResponseMetadata {
                        copy_state: found,
                        function_concurrency: 0,
                        load_report: &[waiting],
                    };
                    engine.on_dispatch_result(now, inv, dispatch, ending, told, &mut simulation);
                }
                Some(Event::Held {
                    to,
                    function,
                    ending,
                }) => {
                    engine.on_load_result(now, to, function, ending, &mut simulation);
                }
                None => {}
            }
        }
        simulation.now = simulation.now.max(arrival);
        if day == Day::Faults && arrival >= change_at {
            change_at = arrival + 0.5;
            change_roster(&mut rows, &mut engine, &mut simulation);
        }
        let drawn = arrivals.unit();
        let function = shares.partition_point(|&s| s <= drawn) as u64;
        simulation.taking = function;
        let kind = arrivals.unit();
        let offer = InvocationRequest {
            trigger_type: if day == Day::Calm {
                0
            } else {
                (kind * 4.0) as usize
            },
            customer: 0,
            function,
            is_retry: false,
            is_migrated: false,
            timeout_at: arrival + 5.0,
            expected_work: None,
            concurrency: 4.0,
            load_time: Some(LOAD_TIME),
        };
        if engine
            .admit(simulation.now, &offer, &mut simulation)
            .is_err()
        {
            simulation.given_up += 1;
        }
        calls += 1;
        most_functions = most_functions.max(engine.table_sizes().functions);
    }
    let us_a_call = 1e6 * (cpu() - started) / f64::from(calls);
    let ms_a_list = ms_a_list(&mut rows, &mut engine, &mut simulation);
    Seen {
        us_a_call,
        ms_a_list,
        simulation,
        most_functions,
    }
}

fn main() {
    let play = Play::from_arguments(std::env::args().skip(1)).unwrap_or_else(|fault| {
        eprintln!("{fault}");
        std::process::exit(2);
    });
    let shares = play.shares();
    println!(
        "executors  us a call  growth  ms a list  decided  digest            succeeded  given up  loads  functions"
    );
    let mut base = None;
    for &executors in &play.executors {
        let Seen {
            us_a_call,
            ms_a_list,
            simulation,
            most_functions,
        } = run(&play, executors, &shares);
        let growth = us_a_call / *base.get_or_insert(us_a_call);
        let Simulation {
            decided,
            digest,
            succeeded,
            given_up,
            loads,
            ..
        } = simulation;
        println!(
            "{executors:>9}  {us_a_call:>9.2}  {growth:>6.2}  {ms_a_list:>9.2}  {decided:>7}  {digest:016x}  {succeeded:>9}  {given_up:>8}  {loads:>5}  {most_functions:>9}"
        );
    }
}
