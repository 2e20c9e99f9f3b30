//! What is open, and the connections that lines and frames go over. What comes of a dispatch that can't be sent is
//! told to the engine after its present turn.

use crate::clients::Client;
use crate::held::Held;
use crate::links::{self, BACKLOG, Executor, Link, Queued};
use mio::net::TcpStream;
use mio::{Interest, Registry};
use orchidtally::interface::ExecutorId;
use orchidtally_engine::evidence::Transport;
use orchidtally_lines as lines;
use orchidtally_terms::Grounds;
use slab::Slab;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

/// Prefixes of the tags of orders and probes: no id of an invocation, 16 hex digits, begins so.
pub const ORDER: &str = "order-";
pub const PROBE: &str = "probe-";

/// An invocation that was taken.
pub struct Work {
    pub client: usize,
    pub stream: u32,
    /// The client's id for it.
    pub id: Rc<str>,
    pub trigger_type: usize,
    pub function: Rc<str>,
    pub token: Option<String>,
    pub body: Vec<u8>,
    pub timeout_at: f64,
    /// The moment at which a dispatch of it was last given up, here and not by the executor.
    pub given_up_at: f64,
}

/// An order to load that is out.
pub struct Order {
    pub to: ExecutorId,
    pub function: u64,
    pub copies: u8,
    pub begun: f64,
    pub link: usize,
}

pub struct Floor {
    pub now: f64,
    pub registry: Registry,
    pub trigger_types: Vec<String>,
    pub streams: usize,
    pub connect_time: f64,
    /// What counts as one moment.
    pub tick: f64,
    /// Connections to executors at the most.
    pub most_links: usize,
    pub clients: Slab<Client>,
    pub links: Slab<Link>,
    pub executors: BTreeMap<ExecutorId, Executor>,
    pub works: HashMap<u32, Work>,
    /// Bytes of the bodies that are kept.
    pub kept: usize,
    /// Ids of what is open.
    pub ids: HashSet<Rc<str>>,
    /// Where a dispatch is out.
    pub outs: HashMap<(u32, u8), usize>,
    pub held: Held,
    pub orders: BTreeMap<u64, Order>,
    pub next_tag: u64,
    /// Dispatches and orders that could not be sent.
    pub unsent: Vec<(u32, u8, Transport)>,
    pub undone: Vec<(u64, Transport)>,
    pub dirty_clients: Vec<usize>,
    pub dirty_links: Vec<usize>,
    /// Connections with cancels that are not handed over, and those that took them not whole, with the reason.
    pub cancelled: Vec<usize>,
    pub cut: Vec<(usize, String)>,
    /// The invocation that is being taken.
    pub taking: Option<Work>,
    /// The body of the answer that is being told.
    pub brought: Vec<u8>,
    pub longest_stay_away: f64,
}

impl Floor {
    pub fn new(now: f64, registry: Registry, grounds: &Grounds, most_links: usize) -> Floor {
        Floor {
            now,
            registry,
            trigger_types: grounds.trigger_types.clone(),
            streams: grounds.streams,
            connect_time: grounds.connect_time,
            tick: grounds.terms.tick,
            most_links,
            clients: Slab::new(),
            links: Slab::new(),
            executors: BTreeMap::new(),
            works: HashMap::new(),
            kept: 0,
            ids: HashSet::new(),
            outs: HashMap::new(),
            held: Held::default(),
            orders: BTreeMap::new(),
            next_tag: 1,
            unsent: vec![],
            undone: vec![],
            dirty_clients: vec![],
            dirty_links: vec![],
            cancelled: vec![],
            cut: vec![],
            taking: None,
            brought: vec![],
            longest_stay_away: grounds.terms.max_retry_after,
        }
    }

    pub fn touch_client(&mut self, slot: usize) {
        if let Some(client) = self.clients.get_mut(slot) {
            client.idle_since = self.now;
            if !std::mem::replace(&mut client.dirty, true) {
                self.dirty_clients.push(slot);
            }
        }
    }

    pub fn touch_link(&mut self, slot: usize) {
        if self.links.get_mut(slot).is_some_and(|l| !std::mem::replace(&mut l.dirty, true)) {
            self.dirty_links.push(slot);
        }
    }

    /// The invocation is over for its client.
    pub fn drop_work(&mut self, inv: u32) -> Option<Work> {
        let work = self.works.remove(&inv)?;
        self.kept -= work.body.len();
        self.ids.remove(&work.id);
        if let Some(client) = self.clients.get_mut(work.client) {
            client.open.remove(&work.stream);
        }
        Some(work)
    }

    /// The one place of final answers.
    pub fn answer(&mut self, inv: u32, code: u8, fields: &[(&str, &str)], body: &[u8]) {
        let Some(work) = self.drop_work(inv) else { return };
        if let Some(client) = self.clients.get_mut(work.client) {
            client.answer(work.stream, code, fields, body);
            self.touch_client(work.client);
        }
    }

    /// A connection over which a line may go: the one that stands and has the least open, unless another may
    /// be made to spread over; else one that is being made.
    fn link_for(&mut self, to: ExecutorId, id: &str) -> Result<usize, Transport> {
        let executor = self.executors.get(&to).ok_or(Transport::NoConnection)?;
        let fits = executor.links.iter().copied().filter(|&l| self.links[l].takes(id, self.streams));
        let best = fits.min_by_key(|&l| self.links[l].rank());
        let taking = executor.links.iter().filter(|&&l| !self.links[l].retired).count();
        let wanted = match best {
            Some(best) if self.links[best].is_idle() => links::LEAST,
            Some(_) => links::SPREAD,
            None => usize::MAX,
        };
        let share = (self.most_links / self.executors.len().max(1)).max(1);
        let may = taking < wanted && executor.links.len() < share;
        let room = may && (self.links.len() < self.most_links || best.is_none() && self.make_room());
        let begun = room.then(|| self.begin_link(to));
        match (best, begun) {
            (Some(best), _) => Ok(best),
            (None, Some(begun)) => begun,
            (None, None) => Err(Transport::Saturated),
        }
    }

    /// Closes the connection that was idle for longest. Guards executors without one against never getting one
    /// where there are more of them than descriptors; could harm by a handshake for each dispatch.
    fn make_room(&mut self) -> bool {
        let idle = self.links.iter().filter(|(_, l)| l.connected && l.is_idle());
        let longest = idle.min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|(slot, _)| slot);
        let Some(mut link) = longest.and_then(|slot| self.links.try_remove(slot)) else { return false };
        // One whose socket is gone already needs no more.
        let _ = self.registry.deregister(&mut link.socket.stream);
        if let Some(executor) = self.executors.get_mut(&link.to) {
            executor.links.retain(|&l| Some(l) != longest);
        }
        true
    }

    fn begin_link(&mut self, to: ExecutorId) -> Result<usize, Transport> {
        let executor = self.executors.get_mut(&to).ok_or(Transport::NoConnection)?;
        let mut stream = TcpStream::connect(executor.address).map_err(|_| Transport::NoConnection)?;
        let slot = self.links.vacant_key();
        let both = Interest::READABLE | Interest::WRITABLE;
        self.registry.register(&mut stream, links::token(slot), both).map_err(|_| Transport::NoConnection)?;
        self.links.insert(Link::new(to, stream, self.now, self.connect_time));
        executor.links.push(slot);
        Ok(slot)
    }

    /// Whether a connection to the executor that was begun before a moment stands.
    pub fn stands(&self, to: ExecutorId, before: f64) -> bool {
        let links = self.executors.get(&to).map_or(&[][..], |e| &e.links);
        links.iter().any(|&l| self.links[l].connected && self.links[l].begun_at < before)
    }

    /// What was held back and may go now.
    pub fn release(&mut self) {
        for (inv, dispatch, to) in self.held.due(self.now, self.tick) {
            self.send(inv, dispatch, to, self.now);
        }
    }

    /// Puts a dispatch on a connection.
    pub fn send(&mut self, inv: u32, dispatch: u8, to: ExecutorId, at: f64) {
        let Some(id) = self.works.get(&inv).map(|w| w.id.clone()) else {
            return self.unsent.push((inv, dispatch, Transport::Withheld));
        };
        match self.link_for(to, &id) {
            Ok(slot) => {
                self.links[slot].open.insert(id.clone(), links::Out { inv, dispatch, at, from: None });
                self.links[slot].queue.push_back(Queued::Dispatch(id));
                self.outs.insert((inv, dispatch), slot);
                self.touch_link(slot);
            }
            Err(why) => self.unsent.push((inv, dispatch, why)),
        }
    }

    fn send_order(&mut self, tag: u64, to: ExecutorId) {
        match self.link_for(to, "") {
            Ok(slot) => {
                self.links[slot].orders.insert(tag, None);
                self.links[slot].queue.push_back(Queued::Order(tag));
                if let Some(order) = self.orders.get_mut(&tag) {
                    order.link = slot;
                }
                self.touch_link(slot);
            }
            Err(why) => self.undone.push((tag, why)),
        }
    }

    /// A connection ended under what was never handed over: it goes over another, within the time that a
    /// connection may take to be made. The executor is not told to be out of reach as long as another stands.
    pub fn send_again(&mut self, link: &mut Link, made: bool) {
        let again = made || self.stands(link.to, self.now);
        let unwritten: Vec<Rc<str>> =
            link.open.iter().filter(|(_, o)| link.is_unwritten(o.from)).map(|(id, _)| id.clone()).collect();
        for out in unwritten.iter().filter_map(|id| link.open.remove(id)) {
            self.outs.remove(&(out.inv, out.dispatch));
            match again && self.now < out.at + self.connect_time {
                true => self.send(out.inv, out.dispatch, link.to, out.at),
                false => self.unsent.push((out.inv, out.dispatch, Transport::NoConnection)),
            }
        }
        let unwritten: Vec<u64> =
            link.orders.iter().filter(|&(_, &from)| link.is_unwritten(from)).map(|(&tag, _)| tag).collect();
        for tag in unwritten {
            link.orders.remove(&tag);
            let begun = self.orders.get(&tag).map_or(0.0, |o| o.begun);
            match again && self.now < begun + self.connect_time {
                true => self.send_order(tag, link.to),
                false => self.undone.push((tag, Transport::NoConnection)),
            }
        }
    }

    pub fn line(&mut self, to: ExecutorId, line: Vec<u8>) {
        // Nothing is owed for one that finds no connection.
        if let Ok(slot) = self.link_for(to, "") {
            self.links[slot].queue.push_back(Queued::Line(line));
            self.touch_link(slot);
        }
    }

    pub fn order(&mut self, to: ExecutorId, function: u64, copies: u8) {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.orders.insert(tag, Order { to, function, copies, begun: self.now, link: usize::MAX });
        self.send_order(tag, to);
    }

    /// Hands every cancel over. A connection that takes them not whole is cut off, which gives up all that is
    /// open on it. Guards against a dispatch that reaches an executor before the cancel of the one before it has
    /// left, so that two are out; it could harm what else is open at an executor that is slow to read.
    fn hand_over_cancels(&mut self) {
        for slot in std::mem::take(&mut self.cancelled) {
            let Some(link) = self.links.get_mut(slot) else { continue };
            let fault = match link.socket.flush() {
                Ok(()) if link.socket.waiting() == 0 => continue,
                Ok(()) => "takes no cancel".to_owned(),
                Err(fault) => fault.to_string(),
            };
            link.cut_off();
            self.cut.push((slot, fault));
        }
    }

    /// Makes lines of what is queued, as long as the kernel takes them, and hands them over. No dispatch goes
    /// out but through here.
    pub fn flush_link(&mut self, slot: usize) -> std::io::Result<()> {
        self.hand_over_cancels();
        let Some(link) = self.links.get_mut(slot) else { return Ok(()) };
        if !link.connected || link.is_cut {
            return Ok(());
        }
        loop {
            while link.socket.waiting() < BACKLOG {
                let from = link.socket.written() + link.socket.waiting() as u64;
                let line = match link.queue.pop_front() {
                    None => break,
                    Some(Queued::Line(line)) => line,
                    Some(Queued::Order(tag)) => {
                        let Some(order) = self.orders.get(&tag) else { continue };
                        link.orders.insert(tag, Some(from));
                        lines::hold(
                            &format!("{ORDER}{tag}"),
                            &format!("{:016x}", order.function),
                            order.copies,
                        )
                    }
                    Some(Queued::Dispatch(id)) => {
                        let Some(out) = link.open.get_mut(&id) else { continue };
                        let Some(work) = self.works.get(&out.inv) else { continue };
                        out.from = Some(from);
                        let left = (work.timeout_at - self.now).max(0.001);
                        lines::dispatch(&lines::Dispatch {
                            id: &id,
                            trigger_type: &self.trigger_types[work.trigger_type],
                            function: &work.function,
                            limit_ms: (left * 1e3).ceil() as u64,
                            token: work.token.as_deref(),
                            body: &work.body,
                        })
                    }
                };
                link.socket.out().extend_from_slice(&line);
            }
            link.socket.flush()?;
            if link.queue.is_empty() || link.socket.waiting() >= BACKLOG {
                return Ok(());
            }
        }
    }
}

#[cfg(test)]
#[path = "floor_tests.rs"]
mod tests;
