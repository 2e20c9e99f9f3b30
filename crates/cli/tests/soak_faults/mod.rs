//! The faults of a soak: drawn by seed, and applied to the processes and test servers of a day.

use crate::day::*;
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::platform::{AnswerFault, ResponseFault};
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use std::process::Child;
use std::rc::Rc;

pub const FRONT_ENDS: u32 = 3;

pub const EXECUTORS: usize = 6;

/// Executors that stay ready whatever is drawn.
const STAY: usize = 2;

/// A change of the list counts as told after so long.
const TOLD_WITHIN: f64 = 1.5;

/// SIGKILL comes so long after SIGTERM, and the longest client timeout of the settings.
const KILLED_AFTER: f64 = 0.7;

/// One fault of a day.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A share of the resolver's answers is odd for a while.
    OddAnswers(AnswerFault, f64, f64),
    /// The resolver answers nothing for a while.
    Silence(f64),
    /// A share of an executor's answers is spoilt from now on.
    SpoiltAnswers(usize, ResponseFault, f64),
    /// An executor's machine is not heard for a while.
    Vanish(usize, f64),
    /// An executor stands otherwise from now on.
    Change(usize, EndpointState),
    /// All connections to an executor are reset.
    Reset(usize),
    /// So many more bytes reach an executor from each front end, then the connection is reset.
    HalfLine(usize, usize),
    /// What an executor sends comes only after a while.
    StalledAnswers(usize, f64),
    /// A front end is stopped for a while.
    Stop(u32, f64),
    /// The same, and shortly after it was stopped an executor begins to drain.
    StopThroughDrain(u32, usize, f64),
    /// A front end gets SIGHUP so many times.
    HangUp(u32, u32),
    /// A front end is told to end, and killed at the earliest; another starts.
    Replace(u32),
    /// A front end is killed outright; another starts.
    Kill(u32),
}

/// Draws a fault.
pub fn draw(random: &mut SmallRng) -> Fault {
    let odd = [
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
    let spoils = [
        ResponseFault::ResetUnread,
        ResponseFault::CutShort,
        ResponseFault::Garbage,
        ResponseFault::InvalidBody,
        ResponseFault::Duplicated,
        ResponseFault::Dropped,
    ];
    let (front_end, executor) = (
        random.random_range(0..FRONT_ENDS),
        random.random_range(STAY..EXECUTORS),
    );
    let time = random.random_range(0.3..1.2);
    let any_executor = random.random_range(0..EXECUTORS);
    match random.random_range(0..16) {
        0..3 => {
            let odd = *odd.choose(random).expect("there are some");
            Fault::OddAnswers(odd, random.random_range(0.2..0.6), time)
        }
        3 => Fault::Silence(3.0 * time),
        4 => {
            let spoil = *spoils.choose(random).expect("there are some");
            Fault::SpoiltAnswers(any_executor, spoil, 0.05)
        }
        5 => Fault::Vanish(executor, time),
        6 => Fault::Change(executor, EndpointState::Draining),
        7 => Fault::Change(executor, EndpointState::Gone),
        8 => Fault::Change(executor, EndpointState::Ready),
        9 => Fault::Stop(front_end, 1.8 * time),
        10 => Fault::HangUp(front_end, random.random_range(1..5)),
        11 => Fault::StopThroughDrain(front_end, executor, random.random_range(1.0..4.0)),
        12 => Fault::Reset(any_executor),
        13 => Fault::HalfLine(any_executor, random.random_range(0..2_000)),
        14 => Fault::StalledAnswers(any_executor, time),
        _ if random.random_bool(0.5) => Fault::Replace(front_end),
        _ => Fault::Kill(front_end),
    }
}

/// What is found wrong with a day besides its rules.
pub type Wrong = Rc<std::cell::RefCell<Vec<String>>>;

/// Whether the process of a front end is there and under no other fault.
fn take(day: &Day, j: u32) -> Option<Child> {
    day.processes.borrow_mut()[j as usize].take()
}

async fn change(day: &Day, x: usize, standing: EndpointState) {
    if standing == EndpointState::Ready {
        if !day.executors[x].draining.replace(false) {
            return;
        }
        // It comes back as one that has just started, after it was gone.
        day.change(x, EndpointState::Gone);
        day.stage.sleep(0.4).await;
        day.executors[x].started_at.set(day.stage.now());
    } else {
        day.executors[x].draining.set(true);
    }
    day.change(x, standing);
    day.resolver
        .count_as_notified_after(TOLD_WITHIN, FRONT_ENDS);
}

/// Waits for the end of a process that was told to end; kills it at the earliest that it may be.
async fn ended(day: &Day, process: &mut Child, wrong: &Wrong) {
    let by = day.stage.now() + day.deadline.get() + KILLED_AFTER;
    while day.stage.now() < by {
        if let Some(status) = process.try_wait().unwrap() {
            if status.code() != Some(0) {
                wrong
                    .borrow_mut()
                    .push(format!("a front end told to end ended with {status}"));
            }
            return;
        }
        day.stage.sleep(0.01).await;
    }
    wrong
        .borrow_mut()
        .push("a front end had to be killed after its time".to_owned());
    process.kill().unwrap();
    process.wait().unwrap();
}

/// Stops a front end for a while; an executor begins to drain meanwhile.
async fn stop(day: &Rc<Day>, j: u32, time: f64, drains: Option<usize>) {
    let Some(process) = take(day, j) else { return };
    let at = day.stage.now();
    signal(process.id(), "STOP");
    day.stage.sleep(0.1).await;
    if let Some(x) = drains {
        change(day, x, EndpointState::Draining).await;
    }
    day.stage.sleep(time).await;
    signal(process.id(), "CONT");
    day.stage.record(TrafficRecord::FrontEndPaused {
        at,
        front_end: j,
        until: day.stage.now(),
    });
    day.processes.borrow_mut()[j as usize] = Some(process);
}

pub async fn inflict(day: Rc<Day>, fault: Fault, wrong: Wrong) {
    match fault {
        Fault::OddAnswers(odd, share, time) => {
            day.resolver.answer_fault.set(Some((odd, share)));
            day.stage.sleep(time).await;
            day.resolver.answer_fault.set(None);
        }
        Fault::Silence(time) => day.resolver.stop_answering(time, 4.5, FRONT_ENDS),
        Fault::SpoiltAnswers(x, spoil, share) => day.executors[x]
            .faults
            .response_fault
            .set(Some((spoil, share))),
        Fault::Vanish(x, time) => day.executors[x].go_silent(time),
        Fault::Reset(x) => day.executors[x]
            .proxies
            .borrow()
            .iter()
            .for_each(|link| link.reset()),
        Fault::HalfLine(x, bytes) => {
            day.executors[x]
                .proxies
                .borrow()
                .iter()
                .for_each(|link| link.reset_after.set(Some(bytes)));
        }
        Fault::StalledAnswers(x, time) => {
            let until = day.stage.now() + time;
            day.executors[x]
                .proxies
                .borrow()
                .iter()
                .for_each(|link| link.stalls_answers.set(until));
        }
        Fault::Change(x, standing) => change(&day, x, standing).await,
        Fault::Stop(j, time) => stop(&day, j, time, None).await,
        Fault::StopThroughDrain(j, x, time) => stop(&day, j, time, Some(x)).await,
        Fault::HangUp(j, times) => {
            for _ in 0..times {
                let Some(id) = day.processes.borrow()[j as usize].as_ref().map(Child::id) else {
                    return;
                };
                let moved = day.resolver.open(j).unwrap();
                day.dns.borrow_mut()[j as usize] = moved;
                // Half of it first, as by a slow writer.
                std::fs::write(day.file(j), "{").unwrap();
                signal(id, "HUP");
                day.stage.sleep(0.1).await;
                day.configure(j);
            }
        }
        Fault::Replace(j) => {
            let Some(mut process) = take(&day, j) else {
                return;
            };
            signal(process.id(), "TERM");
            ended(&day, &mut process, &wrong).await;
            day.start(j).await;
        }
        Fault::Kill(j) => {
            let Some(mut process) = take(&day, j) else {
                return;
            };
            day.stage.record(TrafficRecord::FrontEndKilled {
                at: day.stage.now(),
                front_end: j,
            });
            process.kill().unwrap();
            process.wait().unwrap();
            day.start(j).await;
        }
    }
}

fn signal(id: u32, name: &str) {
    let told = std::process::Command::new("sh")
        .args(["-c", &format!("kill -{name} {id}")])
        .status();
    assert!(told.unwrap().success());
}
