//! The resolver, which tells the list of executors over DNS.

use super::Incarnations;
use super::executor::Executor;
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

/// An executor as the list tells it.
#[derive(Clone)]
pub struct ListedEndpoint {
    pub executor: Rc<Executor>,
    pub standing: EndpointState,
}

/// How an answer of the resolver goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    Lost,
    Foreign,
    Truncated,
    Cut,
    Failed,
    /// The list before this one.
    Stale,
    /// The rows of the list before this one, under the present serial.
    OldRows,
    /// This list under a serial that is so much higher.
    Ahead(u32),
    /// Sent long after the next query, so that later ones overtake it.
    Late,
    /// Sent so many milliseconds late.
    LateBy(u32),
    /// Sent twice.
    Doubled,
    /// One executor's text is unreadable.
    OddText,
    /// One executor's standing is the other one.
    OddStanding,
}

pub struct Resolver {
    stage: TestEnvironment,
    lives: Rc<Incarnations>,
    rows: RefCell<Vec<ListedEndpoint>>,
    before: RefCell<(u32, Vec<ListedEndpoint>)>,
    serial: Cell<u32>,
    /// What goes wrong with answers, and the chance that it does.
    pub odd: Cell<Option<(AnswerFault, f64)>>,
    /// Nothing is answered until then; since when.
    away: TimedFault,
    told: RefCell<HashMap<(u64, usize), EndpointState>>,
    /// The one address that answers, where the others no longer do.
    only: Cell<Option<SocketAddr>>,
}

const SERVICE: &str = "_data._tcp.farm.lan";

impl Resolver {
    pub fn new(
        stage: &TestEnvironment,
        lives: &Rc<Incarnations>,
        executors: &[Rc<Executor>],
    ) -> Rc<Resolver> {
        let ready = |e: &Rc<Executor>| ListedEndpoint {
            executor: e.clone(),
            standing: EndpointState::Ready,
        };
        let rows: Vec<ListedEndpoint> = executors.iter().map(ready).collect();
        Rc::new(Resolver {
            stage: stage.clone(),
            lives: lives.clone(),
            before: RefCell::new((1, rows.clone())),
            rows: RefCell::new(rows),
            serial: Cell::new(1),
            odd: Cell::default(),
            away: TimedFault::default(),
            told: RefCell::default(),
            only: Cell::default(),
        })
    }

    /// An event: some executors stand otherwise from now on.
    pub fn change(&self, change: impl FnOnce(&mut Vec<ListedEndpoint>)) {
        *self.before.borrow_mut() = (self.serial.get(), self.rows.borrow().clone());
        change(&mut self.rows.borrow_mut());
        self.serial.set(self.serial.get() + 1);
    }

    /// What happened so long ago counts as told, unless nobody is answered at all.
    pub fn tell_later(self: &Rc<Self>, after: f64, front_ends: u32) {
        let me = self.clone();
        let telling = async move {
            me.stage.sleep(after).await;
            if !me.away.is_on(me.stage.now()) {
                (0..front_ends).for_each(|j| me.tell(j));
            }
        };
        self.stage.spawn(telling).detach();
    }

    /// Nobody answers at the other addresses from now on.
    pub fn close_all_but(&self, at: SocketAddr) {
        self.only.set(Some(at));
    }

    /// Answers nothing for a time. Whatever it would have told counts as told at the latest `counts_after` after that
    /// began.
    pub fn go_away(self: &Rc<Self>, time: f64, counts_after: f64, front_ends: u32) {
        self.away.set(self.stage.now() + time);
        let me = self.clone();
        let counting = async move {
            me.stage.sleep(counts_after).await;
            while me.away.is_on(me.stage.now()) {
                (0..front_ends).for_each(|j| me.tell(j));
                me.stage.sleep(0.05).await;
            }
        };
        self.stage.spawn(counting).detach();
    }

    /// What a front end is told now, as far as it is new to its present life.
    fn tell(&self, front_end: u32) {
        let (at, life) = (self.stage.now(), self.lives.of(front_end));
        let rows = self.rows.borrow();
        let mut told = self.told.borrow_mut();
        let listed = |n: usize| rows.iter().find(|r| r.executor.number == n);
        let mut numbers: Vec<usize> = told.keys().filter(|k| k.0 == life).map(|k| k.1).collect();
        numbers.extend(rows.iter().map(|r| r.executor.number));
        numbers.sort_unstable();
        numbers.dedup();
        for executor in numbers {
            let row = listed(executor);
            let standing = row.map_or(EndpointState::Gone, |r| r.standing);
            let since = row.map_or(f64::NEG_INFINITY, |r| r.executor.since.get());
            if told.insert((life, executor), standing) != Some(standing) {
                self.stage.record(TrafficRecord::EndpointNotified {
                    at,
                    front_end,
                    incarnation: life,
                    executor,
                    state: standing,
                    started_at: since,
                });
            }
        }
    }

    fn started(&self, executor: &Executor) -> u64 {
        (self.stage.wall(executor.since.get()) * 1e3) as u64
    }

    /// The list as a front end's configuration has it at its start.
    pub fn known(&self, front_end: u32) -> Value {
        self.tell(front_end);
        let host = |row: &ListedEndpoint| {
            let e = &row.executor;
            let health = if row.standing == EndpointState::Ready {
                "SERVING"
            } else {
                "DRAINING"
            };
            json!({"host": e.name, "dial": e.reached_at(front_end), "site": "east", "class": "std",
                "block": e.cell, "health": health, "share": 4, "born_ms": self.started(e)})
        };
        let hosts: Vec<Value> = self.rows.borrow().iter().map(host).collect();
        let endpoints = json!({"seq": 1, "whole": true, "hosts": hosts});
        json!({"index": self.serial.get(), "updates": [{"index": 1, "endpoints": endpoints}]})
    }

    fn list(
        &self,
        id: u16,
        front_end: u32,
        odd: Option<AnswerFault>,
    ) -> Result<Vec<u8>, simple_dns::SimpleDnsError> {
        let before = self.before.borrow();
        let (serial, rows) = match odd {
            Some(AnswerFault::Stale) => (before.0, before.1.clone()),
            Some(AnswerFault::OldRows) => (self.serial.get(), before.1.clone()),
            Some(AnswerFault::Ahead(by)) => (
                self.serial.get().wrapping_add(by),
                self.rows.borrow().clone(),
            ),
            _ => (self.serial.get(), self.rows.borrow().clone()),
        };
        let targets: Vec<String> = rows
            .iter()
            .map(|r| format!("{}.east.hosts", r.executor.name))
            .collect();
        let mut packet = Packet::new_reply(if odd == Some(AnswerFault::Foreign) {
            !id
        } else {
            id
        });
        packet.set_flags(PacketFlag::RESPONSE);
        match odd {
            Some(AnswerFault::Truncated) => packet.set_flags(PacketFlag::TRUNCATION),
            Some(AnswerFault::Failed) => *packet.rcode_mut() = simple_dns::RCODE::ServerFailure,
            _ => {}
        }
        for (n, (row, target)) in rows.iter().zip(&targets).enumerate() {
            let (e, target) = (&row.executor, Name::new(target)?);
            let at = e.reached_at(front_end);
            let is_odd = |kind| n == 0 && odd == Some(kind);
            let priority = u16::from(
                (row.standing != EndpointState::Ready) != is_odd(AnswerFault::OddStanding),
            );
            let srv = SRV {
                priority,
                weight: 40,
                port: at.port(),
                target: target.clone(),
            };
            packet.answers.push(ResourceRecord::new(
                Name::new(SERVICE)?,
                CLASS::IN,
                0,
                RData::SRV(srv),
            ));
            if let IpAddr::V4(ip) = at.ip() {
                let a = RData::A(A::from(ip));
                packet.additional_records.push(ResourceRecord::new(
                    target.clone(),
                    CLASS::IN,
                    0,
                    a,
                ));
            }
            let mut txt = TXT::new();
            let figures = [
                format!("cell={}", e.cell),
                format!("started={}", self.started(e)),
            ];
            for text in [if is_odd(AnswerFault::OddText) {
                "kin"
            } else {
                "kind=std"
            }]
            .into_iter()
            .chain(figures.iter().map(String::as_str))
            {
                txt.add_string(text)?;
            }
            let txt = RData::TXT(txt.into_owned());
            packet
                .additional_records
                .push(ResourceRecord::new(target, CLASS::IN, 0, txt));
        }
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
        packet.build_bytes_vec_compressed()
    }

    /// An address at which a front end may ask from now on.
    pub fn open(self: &Rc<Self>, front_end: u32) -> std::io::Result<SocketAddr> {
        let socket = Rc::new(Async::<UdpSocket>::bind(unused_address())?);
        let at = socket.get_ref().local_addr()?;
        let (me, stage) = (self.clone(), self.stage.clone());
        let serving = async move {
            let mut query = [0; 512];
            while let Ok((n, from)) = socket.recv_from(&mut query).await {
                let odd = me.odd.get().filter(|o| me.stage.unit() < o.1).map(|o| o.0);
                let id = u16::from_be_bytes([query[0], query[1]]);
                let closed = me.only.get().is_some_and(|only| only != at);
                if n < 12 || closed || me.away.is_on(me.stage.now()) {
                    continue;
                }
                if odd == Some(AnswerFault::Lost) {
                    // It was sent, so that what it holds is told.
                    me.tell(front_end);
                    continue;
                }
                let Ok(mut list) = me.list(id, front_end, odd) else {
                    continue;
                };
                if odd == Some(AnswerFault::Cut) {
                    list.truncate(list.len() / 2);
                }
                let is_told = matches!(
                    odd,
                    None | Some(
                        AnswerFault::Ahead(_)
                            | AnswerFault::Late
                            | AnswerFault::LateBy(_)
                            | AnswerFault::Doubled
                            | AnswerFault::OddText
                    )
                );
                if is_told {
                    me.tell(front_end);
                }
                let (me, socket) = (me.clone(), socket.clone());
                let late = match odd {
                    Some(AnswerFault::Late) => 0.2 + 0.3 * me.stage.unit(),
                    Some(AnswerFault::LateBy(ms)) => f64::from(ms) / 1e3,
                    _ => 0.0,
                };
                if odd == Some(AnswerFault::Doubled) {
                    let _ = socket.send_to(&list, from).await;
                }
                let sending = async move {
                    me.stage.sleep(late).await;
                    // One who is gone asks no more.
                    let _ = socket.send_to(&list, from).await;
                };
                if late > 0.0 {
                    stage.spawn(sending).detach()
                } else {
                    sending.await
                }
            }
        };
        self.stage.spawn(serving).detach();
        Ok(at)
    }
}
