//! The faults of the soak test: drawn from a seeded generator and applied to the front ends' processes and the test
//! servers.

use crate::crowd::behaviours::*;
use crate::crowd::{Behaviour, Crowd};
use crate::scenario::*;
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::platform::{AnswerFault, ResponseFault};
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use std::process::Child;
use std::rc::Rc;

pub const FRONT_ENDS: u32 = 3;

pub const EXECUTORS: usize = 6;

/// The first executors, which stay ready whatever faults are drawn.
const STABLE_EXECUTORS: usize = 2;

/// Time after which a change of the endpoint list counts as announced, in seconds.
const ANNOUNCED_WITHIN: f64 = 1.5;

/// Time between SIGTERM and SIGKILL in addition to the client timeout of the settings, in seconds.
const KILL_DELAY: f64 = 0.7;

/// Clients of a crowd, fewer than a front end with 128 descriptors serves.
const CROWD: usize = 40;

/// What crowds do: nothing that an executor would receive.
const CROWD_BEHAVIOURS: [Behaviour; 6] = [
    stop_half_way,
    send_unsound,
    send_unsound_unread,
    send_many_fields,
    query_readiness_unread,
    query_readiness_read_in_drops,
];

/// A fault of the soak test. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A share of the resolver's answers has a fault for a while.
    FaultyAnswers(AnswerFault, f64, f64),
    /// The resolver does not answer for a while.
    ResolverOutage(f64),
    /// A share of an executor's responses has a fault from now on.
    InvalidResponses(usize, ResponseFault, f64),
    /// An executor's machine is silent for a while.
    ExecutorSilence(usize, f64),
    /// An executor changes its state on the endpoint list.
    StateChange(usize, EndpointState),
    /// All connections to an executor are reset.
    ConnectionReset(usize),
    /// Each front end's connection to an executor is reset after the given number of further bytes.
    ResetWithinLine(usize, usize),
    /// An executor's responses are held back for a while.
    StalledResponses(usize, f64),
    /// A front end is paused (SIGSTOP) for a while.
    Pause(u32, f64),
    /// A front end is paused for a while, and an executor begins to drain shortly after the pause began.
    DrainDuringPause(u32, usize, f64),
    /// A front end gets SIGHUP the given number of times.
    Reload(u32, u32),
    /// A front end gets SIGTERM, and SIGKILL at the earliest time that is allowed; a new one starts.
    Restart(u32),
    /// A front end is killed without SIGTERM; a new one starts.
    Kill(u32),
    /// A crowd of clients misbehaves at a front end for a while, as `CROWD_BEHAVIOURS` says under that index.
    Crowd(u32, usize, f64),
}

/// Draws a random fault.
pub fn draw(random: &mut SmallRng) -> Fault {
    let answer_faults = [
        AnswerFault::Dropped,
        AnswerFault::WrongId,
        AnswerFault::Truncated,
        AnswerFault::CutShort,
        AnswerFault::ServerFailure,
        AnswerFault::PreviousList,
        AnswerFault::PreviousRows,
        AnswerFault::SerialJump(1),
        AnswerFault::SerialJump(1_000),
        AnswerFault::Delayed,
        AnswerFault::Duplicated,
        AnswerFault::UnreadableText,
        AnswerFault::WrongState,
    ];
    let response_faults = [
        ResponseFault::ResetUnread,
        ResponseFault::CutShort,
        ResponseFault::Garbage,
        ResponseFault::InvalidBody,
        ResponseFault::Duplicated,
        ResponseFault::Dropped,
    ];
    let (front_end, executor) = (
        random.random_range(0..FRONT_ENDS),
        random.random_range(STABLE_EXECUTORS..EXECUTORS),
    );
    let time = random.random_range(0.3..1.2);
    let any_executor = random.random_range(0..EXECUTORS);
    match random.random_range(0..18) {
        0..3 => {
            let answer_fault = *answer_faults.choose(random).expect("the list is not empty");
            Fault::FaultyAnswers(answer_fault, random.random_range(0.2..0.6), time)
        }
        3 => Fault::ResolverOutage(3.0 * time),
        4 => {
            let response_fault = *response_faults
                .choose(random)
                .expect("the list is not empty");
            Fault::InvalidResponses(any_executor, response_fault, 0.05)
        }
        5 => Fault::ExecutorSilence(executor, time),
        6 => Fault::StateChange(executor, EndpointState::Draining),
        7 => Fault::StateChange(executor, EndpointState::Gone),
        8 => Fault::StateChange(executor, EndpointState::Ready),
        9 => Fault::Pause(front_end, 1.8 * time),
        10 => Fault::Reload(front_end, random.random_range(1..5)),
        11 => Fault::DrainDuringPause(front_end, executor, random.random_range(1.0..4.0)),
        12 => Fault::ConnectionReset(any_executor),
        13 => Fault::ResetWithinLine(any_executor, random.random_range(0..2_000)),
        14 => Fault::StalledResponses(any_executor, time),
        15..17 => {
            let behaviour = random.random_range(0..CROWD_BEHAVIOURS.len());
            Fault::Crowd(front_end, behaviour, time)
        }
        _ if random.random_bool(0.5) => Fault::Restart(front_end),
        _ => Fault::Kill(front_end),
    }
}

/// Failures other than broken rules.
pub type Problems = Rc<std::cell::RefCell<Vec<String>>>;

/// Takes a front end's process. Returns `None` if another fault has taken it.
fn take_process(fleet: &Fleet, j: u32) -> Option<Child> {
    fleet.processes.borrow_mut()[j as usize].take()
}

async fn change_state(fleet: &Fleet, x: usize, state: EndpointState) {
    if state == EndpointState::Ready {
        if !fleet.executors[x].draining.replace(false) {
            return;
        }
        // The executor is removed first, and returns as one that has just started.
        fleet.set_endpoint_state(x, EndpointState::Gone);
        fleet.environment.sleep(0.4).await;
        fleet.executors[x].started_at.set(fleet.environment.now());
    } else {
        fleet.executors[x].draining.set(true);
    }
    fleet.set_endpoint_state(x, state);
    fleet
        .resolver
        .count_as_notified_after(ANNOUNCED_WITHIN, FRONT_ENDS);
}

/// Waits for a process to exit after SIGTERM, and kills it at the earliest time that is allowed.
async fn wait_for_exit(fleet: &Fleet, process: &mut Child, problems: &Problems) {
    let by = fleet.environment.now() + fleet.client_timeout.get() + KILL_DELAY;
    while fleet.environment.now() < by {
        if let Some(status) = process.try_wait().unwrap() {
            if status.code() != Some(0) {
                problems
                    .borrow_mut()
                    .push(format!("a front end exited with {status} after SIGTERM"));
            }
            return;
        }
        fleet.environment.sleep(0.01).await;
    }
    problems
        .borrow_mut()
        .push("a front end did not exit in time after SIGTERM and was killed".to_owned());
    process.kill().unwrap();
    process.wait().unwrap();
}

/// Pauses a front end for a while. The executor `draining`, if any, begins to drain meanwhile.
async fn pause(fleet: &Rc<Fleet>, j: u32, time: f64, draining: Option<usize>) {
    let Some(process) = take_process(fleet, j) else {
        return;
    };
    let at = fleet.environment.now();
    signal(process.id(), "STOP");
    fleet.environment.sleep(0.1).await;
    if let Some(x) = draining {
        change_state(fleet, x, EndpointState::Draining).await;
    }
    fleet.environment.sleep(time).await;
    signal(process.id(), "CONT");
    fleet.environment.record(TrafficRecord::FrontEndPaused {
        at,
        front_end: j,
        until: fleet.environment.now(),
    });
    fleet.processes.borrow_mut()[j as usize] = Some(process);
}

/// Applies a fault and waits until it is over.
pub async fn apply(fleet: Rc<Fleet>, fault: Fault, problems: Problems) {
    match fault {
        Fault::FaultyAnswers(answer_fault, share, time) => {
            fleet.resolver.answer_fault.set(Some((answer_fault, share)));
            fleet.environment.sleep(time).await;
            fleet.resolver.answer_fault.set(None);
        }
        Fault::ResolverOutage(time) => fleet.resolver.stop_answering(time, 4.5, FRONT_ENDS),
        Fault::InvalidResponses(x, response_fault, share) => fleet.executors[x]
            .faults
            .response_fault
            .set(Some((response_fault, share))),
        Fault::ExecutorSilence(x, time) => fleet.executors[x].go_silent(time),
        Fault::ConnectionReset(x) => fleet.executors[x]
            .proxies
            .borrow()
            .iter()
            .for_each(|link| link.reset()),
        Fault::ResetWithinLine(x, bytes) => {
            fleet.executors[x]
                .proxies
                .borrow()
                .iter()
                .for_each(|link| link.reset_after.set(Some(bytes)));
        }
        Fault::StalledResponses(x, time) => {
            let until = fleet.environment.now() + time;
            fleet.executors[x]
                .proxies
                .borrow()
                .iter()
                .for_each(|link| link.stalls_responses.activate_until(until));
        }
        Fault::StateChange(x, state) => change_state(&fleet, x, state).await,
        Fault::Pause(j, time) => pause(&fleet, j, time, None).await,
        Fault::DrainDuringPause(j, x, time) => pause(&fleet, j, time, Some(x)).await,
        Fault::Crowd(j, behaviour, time) => {
            let address = fleet.addresses[j as usize];
            let crowd = Crowd::start(address, CROWD, CROWD_BEHAVIOURS[behaviour]);
            fleet.environment.sleep(time).await;
            // Joins the crowd's threads without holding up the other tasks.
            std::thread::spawn(move || crowd.stop());
        }
        Fault::Reload(j, times) => {
            for _ in 0..times {
                let Some(id) = fleet.processes.borrow()[j as usize].as_ref().map(Child::id) else {
                    return;
                };
                let new_address = fleet.resolver.open(j).unwrap();
                fleet.resolver_addresses.borrow_mut()[j as usize] = new_address;
                // An incomplete file first, as a slow writer leaves it.
                std::fs::write(fleet.settings_path(j), "{").unwrap();
                signal(id, "HUP");
                fleet.environment.sleep(0.1).await;
                fleet.write_settings(j);
            }
        }
        Fault::Restart(j) => {
            let Some(mut process) = take_process(&fleet, j) else {
                return;
            };
            signal(process.id(), "TERM");
            wait_for_exit(&fleet, &mut process, &problems).await;
            fleet.start(j).await;
        }
        Fault::Kill(j) => {
            let Some(mut process) = take_process(&fleet, j) else {
                return;
            };
            fleet.environment.record(TrafficRecord::FrontEndKilled {
                at: fleet.environment.now(),
                front_end: j,
            });
            process.kill().unwrap();
            process.wait().unwrap();
            fleet.start(j).await;
        }
    }
}

fn signal(id: u32, name: &str) {
    let status = std::process::Command::new("sh")
        .args(["-c", &format!("kill -{name} {id}")])
        .status();
    assert!(status.unwrap().success());
}
