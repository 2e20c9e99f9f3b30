//! A test resolver that serves the endpoint list over DNS.

use super::Incarnations;
use super::executor::Executor;
use super::list_history::{ListHistory, PastEndpoint};
use crate::{TestEnvironment, TimedFault, unused_address};
use async_io::Async;
use orchidtally_invariants::{EndpointState, TrafficRecord};
use serde_json::{Value, json};
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, PacketFlag, ResourceRecord};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::rc::Rc;

/// An executor and its state in the endpoint list.
#[derive(Clone)]
pub struct ListedEndpoint {
    /// The executor.
    pub executor: Rc<Executor>,
    /// Its state in the endpoint list.
    pub state: EndpointState,
}

/// A fault in the resolver's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// No answer is sent.
    Dropped,
    /// The answer's id differs from the query's.
    WrongId,
    /// The answer is marked as truncated.
    Truncated,
    /// The second half of the answer is missing.
    CutShort,
    /// The answer has the response code SERVFAIL.
    ServerFailure,
    /// The answer has the previous list with its serial.
    PreviousList,
    /// The answer has the list from this many changes ago with its serial.
    OutdatedList(usize),
    /// The answer has the entries of the previous list under the current serial.
    PreviousRows,
    /// The answer has the current list under a serial that is higher by this number.
    SerialJump(u32),
    /// The answer is delayed beyond the next query, so that later answers overtake it.
    Delayed,
    /// The answer is delayed by this many milliseconds.
    DelayedBy(u32),
    /// The answer is sent twice.
    Duplicated,
    /// The TXT record of the first executor is malformed.
    UnreadableText,
    /// The state of the first executor is inverted.
    WrongState,
}

/// The resolver, with a separate address for each front end.
pub struct Resolver {
    environment: TestEnvironment,
    incarnations: Rc<Incarnations>,
    rows: RefCell<Vec<ListedEndpoint>>,
    history: RefCell<ListHistory>,
    /// The fault in answers, and its probability for each query.
    pub answer_fault: Cell<Option<(AnswerFault, f64)>>,
    /// No query is answered while this is active.
    outage: TimedFault,
    notified: RefCell<HashMap<(u64, usize), EndpointState>>,
    /// If set, only this address answers.
    only_address: Cell<Option<SocketAddr>>,
}

const SERVICE: &str = "_data._tcp.farm.lan";

impl Resolver {
    /// Creates a resolver that lists all executors as ready.
    pub fn new(
        environment: &TestEnvironment,
        incarnations: &Rc<Incarnations>,
        executors: &[Rc<Executor>],
    ) -> Rc<Resolver> {
        let ready = |e: &Rc<Executor>| ListedEndpoint {
            executor: e.clone(),
            state: EndpointState::Ready,
        };
        let rows: Vec<ListedEndpoint> = executors.iter().map(ready).collect();
        let history = ListHistory::new(past_endpoints(environment, &rows));
        Rc::new(Resolver {
            environment: environment.clone(),
            incarnations: incarnations.clone(),
            rows: RefCell::new(rows),
            history: RefCell::new(history),
            answer_fault: Cell::default(),
            outage: TimedFault::default(),
            notified: RefCell::default(),
            only_address: Cell::default(),
        })
    }

    /// Changes the list and increments its serial.
    pub fn change(&self, change: impl FnOnce(&mut Vec<ListedEndpoint>)) {
        change(&mut self.rows.borrow_mut());
        self.history.borrow_mut().push(self.current_endpoints());
    }

    /// The entries of the current list, with the start times that their executors have now.
    fn current_endpoints(&self) -> Vec<PastEndpoint> {
        past_endpoints(&self.environment, &self.rows.borrow())
    }

    /// Records the list as known to all front ends after `after` seconds, unless no query is answered at that time.
    pub fn count_as_notified_after(self: &Rc<Self>, after: f64, front_ends: u32) {
        let resolver = self.clone();
        let recording = async move {
            resolver.environment.sleep(after).await;
            if !resolver.outage.is_active(resolver.environment.now()) {
                (0..front_ends).for_each(|j| resolver.record_notified(j));
            }
        };
        self.environment.spawn(recording).detach();
    }

    /// Stops answering at all addresses but `at`.
    pub fn answer_only_at(&self, at: SocketAddr) {
        self.only_address.set(Some(at));
    }

    /// Stops answering for `time` seconds. If that lasts longer than `counts_after` seconds, the list is recorded as
    /// known to all front ends from then on.
    pub fn stop_answering(self: &Rc<Self>, time: f64, counts_after: f64, front_ends: u32) {
        self.outage.activate_until(self.environment.now() + time);
        let resolver = self.clone();
        let counting = async move {
            resolver.environment.sleep(counts_after).await;
            while resolver.outage.is_active(resolver.environment.now()) {
                (0..front_ends).for_each(|j| resolver.record_notified(j));
                resolver.environment.sleep(0.05).await;
            }
        };
        self.environment.spawn(counting).detach();
    }

    /// Records each state in the current list that is new to the front end's current incarnation.
    fn record_notified(&self, front_end: u32) {
        self.record_notified_of(front_end, []);
    }

    /// Like [`Resolver::record_notified`], also for executors that are `also_notified` as gone.
    fn record_notified_of(&self, front_end: u32, also_notified: impl IntoIterator<Item = usize>) {
        let (at, incarnation) = (self.environment.now(), self.incarnations.of(front_end));
        let rows = self.rows.borrow();
        let mut notified = self.notified.borrow_mut();
        let listed = |n: usize| rows.iter().find(|r| r.executor.number == n);
        let mut numbers: Vec<usize> = notified
            .keys()
            .filter(|k| k.0 == incarnation)
            .map(|k| k.1)
            .collect();
        numbers.extend(rows.iter().map(|r| r.executor.number));
        numbers.extend(also_notified);
        numbers.sort_unstable();
        numbers.dedup();
        for executor in numbers {
            let row = listed(executor);
            let state = row.map_or(EndpointState::Gone, |r| r.state);
            let since = row.map_or(f64::NEG_INFINITY, |r| r.executor.started_at.get());
            if notified.insert((incarnation, executor), state) != Some(state) {
                self.environment.record(TrafficRecord::EndpointNotified {
                    at,
                    front_end,
                    incarnation,
                    executor,
                    state,
                    started_at: since,
                });
            }
        }
    }

    /// The endpoint list for a front end's initial configuration: the first list, then its changes, as a platform that
    /// tells all events. Records the states in the latest list as known to the front end.
    pub fn initial_list(&self, front_end: u32) -> Value {
        let mut history = self.history.borrow_mut();
        history.replace_latest(self.current_endpoints());
        self.record_notified_of(front_end, history.executors());
        json!({"index": history.serial(), "updates": history.updates(front_end)})
    }

    fn list(
        &self,
        id: u16,
        front_end: u32,
        fault: Option<AnswerFault>,
    ) -> Result<Vec<u8>, simple_dns::SimpleDnsError> {
        let history = self.history.borrow();
        let current = self.current_endpoints();
        let (serial, endpoints): (u32, &[PastEndpoint]) = match fault {
            Some(AnswerFault::PreviousList) => history.list_before(1),
            Some(AnswerFault::OutdatedList(changes)) => history.list_before(changes),
            Some(AnswerFault::PreviousRows) => (history.serial(), history.list_before(1).1),
            Some(AnswerFault::SerialJump(by)) => (history.serial().wrapping_add(by), &current),
            _ => (history.serial(), &current),
        };
        let targets: Vec<String> = endpoints
            .iter()
            .map(|endpoint| format!("{}.east.hosts", endpoint.listed.executor.name))
            .collect();
        let mut packet = Packet::new_reply(if fault == Some(AnswerFault::WrongId) {
            !id
        } else {
            id
        });
        packet.set_flags(PacketFlag::RESPONSE);
        match fault {
            Some(AnswerFault::Truncated) => packet.set_flags(PacketFlag::TRUNCATION),
            Some(AnswerFault::ServerFailure) => {
                *packet.rcode_mut() = simple_dns::RCODE::ServerFailure
            }
            _ => {}
        }
        for (n, (endpoint, target)) in endpoints.iter().zip(&targets).enumerate() {
            let row_fault = fault.filter(|_| n == 0);
            push_endpoint(&mut packet, endpoint, target, front_end, row_fault)?;
        }
        push_authority(&mut packet, serial)?;
        packet.build_bytes_vec_compressed()
    }

    /// Opens an address at which the front end can query the list. Fails if it can't be bound.
    pub fn open(self: &Rc<Self>, front_end: u32) -> std::io::Result<SocketAddr> {
        let socket = Rc::new(Async::<UdpSocket>::bind(unused_address())?);
        let at = socket.get_ref().local_addr()?;
        let (resolver, environment) = (self.clone(), self.environment.clone());
        let serving = async move {
            let mut query = [0; 512];
            while let Ok((n, from)) = socket.recv_from(&mut query).await {
                let fault = resolver
                    .answer_fault
                    .get()
                    .filter(|o| resolver.environment.random_unit() < o.1)
                    .map(|o| o.0);
                let id = u16::from_be_bytes([query[0], query[1]]);
                let closed = resolver.only_address.get().is_some_and(|only| only != at);
                if n < 12 || closed || resolver.outage.is_active(resolver.environment.now()) {
                    continue;
                }
                if fault == Some(AnswerFault::Dropped) {
                    // A dropped answer counts as sent, so the list is recorded as known.
                    resolver.record_notified(front_end);
                    continue;
                }
                let Ok(mut list) = resolver.list(id, front_end, fault) else {
                    continue;
                };
                if fault == Some(AnswerFault::CutShort) {
                    list.truncate(list.len() / 2);
                }
                let is_notified = matches!(
                    fault,
                    None | Some(
                        AnswerFault::SerialJump(_)
                            | AnswerFault::Delayed
                            | AnswerFault::DelayedBy(_)
                            | AnswerFault::Duplicated
                            | AnswerFault::UnreadableText
                    )
                );
                if is_notified {
                    resolver.record_notified(front_end);
                }
                let (resolver, socket) = (resolver.clone(), socket.clone());
                let late = match fault {
                    Some(AnswerFault::Delayed) => 0.2 + 0.3 * resolver.environment.random_unit(),
                    Some(AnswerFault::DelayedBy(ms)) => f64::from(ms) / 1e3,
                    _ => 0.0,
                };
                if fault == Some(AnswerFault::Duplicated) {
                    let _ = socket.send_to(&list, from).await;
                }
                let sending = async move {
                    resolver.environment.sleep(late).await;
                    // Fails if the front end has closed its socket.
                    let _ = socket.send_to(&list, from).await;
                };
                if late > 0.0 {
                    environment.spawn(sending).detach()
                } else {
                    sending.await
                }
            }
        };
        self.environment.spawn(serving).detach();
        Ok(at)
    }
}

/// Adds the SOA record, which carries the serial of the list.
fn push_authority(packet: &mut Packet<'_>, serial: u32) -> Result<(), simple_dns::SimpleDnsError> {
    let name = || Name::new("farm.lan");
    let (refresh, retry, expire, minimum) = (1, 1, 1, 0);
    let soa = SOA {
        mname: name()?,
        rname: name()?,
        serial,
        refresh,
        retry,
        expire,
        minimum,
    };
    packet
        .name_servers
        .push(ResourceRecord::new(name()?, CLASS::IN, 0, RData::SOA(soa)));
    Ok(())
}

/// Adds the SRV, A and TXT records of one executor.
fn push_endpoint<'a>(
    packet: &mut Packet<'a>,
    endpoint: &PastEndpoint,
    target: &'a str,
    front_end: u32,
    fault: Option<AnswerFault>,
) -> Result<(), simple_dns::SimpleDnsError> {
    let executor = &endpoint.listed.executor;
    let target = Name::new(target)?;
    let address = executor.address_for(front_end);
    let is_inverted = fault == Some(AnswerFault::WrongState);
    let priority = u16::from((endpoint.listed.state != EndpointState::Ready) != is_inverted);
    let srv = RData::SRV(SRV {
        priority,
        weight: 40,
        port: address.port(),
        target: target.clone(),
    });
    packet
        .answers
        .push(ResourceRecord::new(Name::new(SERVICE)?, CLASS::IN, 0, srv));
    if let IpAddr::V4(ip) = address.ip() {
        let a = RData::A(A::from(ip));
        packet
            .additional_records
            .push(ResourceRecord::new(target.clone(), CLASS::IN, 0, a));
    }
    let kind = if fault == Some(AnswerFault::UnreadableText) {
        "kin"
    } else {
        "kind=std"
    };
    let cell = format!("cell={}", executor.cell);
    let started = format!("started={}", endpoint.started_ms);
    let mut txt = TXT::new();
    for text in [kind, &cell, &started] {
        txt.add_string(text)?;
    }
    let txt = RData::TXT(txt.into_owned());
    packet
        .additional_records
        .push(ResourceRecord::new(target, CLASS::IN, 0, txt));
    Ok(())
}

/// The entries of a list, with the start times that their executors have now.
fn past_endpoints(environment: &TestEnvironment, rows: &[ListedEndpoint]) -> Vec<PastEndpoint> {
    let started_ms =
        |executor: &Executor| (environment.unix_time(executor.started_at.get()) * 1e3) as u64;
    rows.iter()
        .map(|listed| PastEndpoint {
            started_ms: started_ms(&listed.executor),
            listed: listed.clone(),
        })
        .collect()
}
