//! Lines to executors: over which connection each goes, and when it leaves.

use crate::connections::{self, BACKLOG, Connection, Queued, Unwritten};
use crate::host_state::{HostState, ORDER, Order, SendRevalidation, ViewStamp};
use crate::log_budget::LogBudget;
use mio::Interest;
use mio::net::TcpStream;
use orchidtally_dispatch_policy::interface::ExecutorId;
use orchidtally_engine::evidence::Transport;
use orchidtally_platform_executor_protocol as lines;
use orchidtally_socket_io::is_local_fault;
use std::rc::Rc;
use tracing::{debug, info, warn};

/// Pause after this machine could open no connection.
const RETRY_PAUSE: f64 = 0.02;
/// Age of the view, in seconds, past which each dispatch is logged.
const OLD_VIEW: f64 = 1.0;

/// Logs a dispatch with the serial and the age of the list that it rests on.
fn log_dispatch(
    budget: &mut LogBudget,
    now: f64,
    view: &ViewStamp,
    (invocation, dispatch): (&str, u8),
    executor: Option<&str>,
) {
    let (serial, age) = (view.serial, now - view.fresh_at);
    if age > OLD_VIEW
        && let Some(left_out) = budget.admit(now)
    {
        info!(
            invocation,
            dispatch, executor, serial, age, left_out, "a dispatch leaves on an old list"
        );
    }
    debug!(
        invocation,
        dispatch, executor, serial, age, "a dispatch leaves"
    );
}

impl HostState {
    /// Reads the clock anew. A process that stood still has to hear of the executors before it sends to any.
    pub fn read_clock(&mut self, departures: &mut dyn SendRevalidation) {
        self.now = self.clock.read().max(self.now);
        if let Some(seconds) = self.clock.take_standstill() {
            warn!(
                seconds,
                view_age = self.now - self.view.fresh_at,
                "the process stood still"
            );
            departures.on_process_stall(self.now);
            self.stood_still = true;
        }
    }

    /// A connection over which a line may go: the one that stands and has the least open, unless another may
    /// be made to spread over; else one that is being made.
    pub fn connection_for(&mut self, to: ExecutorId, id: &str) -> Result<usize, Transport> {
        let executor = self.executors.get(&to).ok_or(Transport::NoConnection)?;
        let takes =
            |&l: &usize| self.connections[l].takes(id, self.streams, self.now, self.idle_close);
        let fits = executor.connections.iter().copied().filter(takes);
        let best = fits.min_by_key(|&l| self.connections[l].rank());
        let taking = executor
            .connections
            .iter()
            .filter(|&&l| !self.connections[l].retired)
            .count();
        let wanted = match best {
            Some(best) if self.connections[best].is_idle() => connections::LEAST,
            Some(_) => connections::SPREAD,
            None => usize::MAX,
        };
        let share = (self.most_connections / self.executors.len().max(1)).max(1);
        let may = taking < wanted && executor.connections.len() < share;
        let room = may
            && (self.connections.len() < self.most_connections
                || best.is_none() && self.make_room());
        let begun = room.then(|| self.begin_connection(to));
        match (best, begun) {
            (Some(best), _) => Ok(best),
            (None, Some(begun)) => begun,
            (None, None) => Err(Transport::Saturated),
        }
    }

    /// Closes the connection that was idle for longest. Guards executors without one against never getting one
    /// where there are more of them than descriptors; could harm by a handshake for each dispatch.
    fn make_room(&mut self) -> bool {
        let idle = self
            .connections
            .iter()
            .filter(|(_, l)| l.connected && l.is_idle());
        let longest = idle
            .min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since))
            .map(|(slot, _)| slot);
        let Some(mut connection) = longest.and_then(|slot| self.connections.try_remove(slot))
        else {
            return false;
        };
        // One whose socket is gone already needs no more.
        let _ = self.registry.deregister(&mut connection.socket.stream);
        if let Some(executor) = self.executors.get_mut(&connection.to) {
            executor.connections.retain(|&l| Some(l) != longest);
        }
        true
    }

    fn begin_connection(&mut self, to: ExecutorId) -> Result<usize, Transport> {
        let executor = self.executors.get_mut(&to).ok_or(Transport::NoConnection)?;
        let seen = |fault: std::io::Error| match is_local_fault(&fault) {
            true => Transport::NoResource,
            false => Transport::NoConnection,
        };
        let mut stream = TcpStream::connect(executor.address).map_err(seen)?;
        let slot = self.connections.vacant_key();
        let both = Interest::READABLE | Interest::WRITABLE;
        self.registry
            .register(&mut stream, connections::token(slot), both)
            .map_err(|_| Transport::NoResource)?;
        self.connections
            .insert(Connection::new(to, stream, self.now, self.connect_time));
        executor.connections.push(slot);
        Ok(slot)
    }

    /// Whether a connection to the executor that was begun before a moment stands.
    pub fn stands(&self, to: ExecutorId, before: f64) -> bool {
        let connections = self.executors.get(&to).map_or(&[][..], |e| &e.connections);
        connections
            .iter()
            .any(|&l| self.connections[l].connected && self.connections[l].begun_at < before)
    }

    /// Until when a dispatch after one that is given up now, over a connection to that executor, is held: a cancel
    /// and the next dispatch go over two connections, on which nothing keeps their order.
    pub fn note_given_up(&mut self, id: &Rc<str>, to: ExecutorId) {
        let reach = self
            .executors
            .get(&to)
            .map_or(0.0, |e| e.reach)
            .min(self.connect_time);
        self.given_up
            .insert(id.clone(), self.now + reach.max(self.tick));
    }

    /// What was held back and may go now.
    pub fn release(&mut self) {
        for (inv, dispatch, to, at) in self.held.due(self.now) {
            self.send(inv, dispatch, to, at.unwrap_or(self.now));
        }
    }

    /// Puts a dispatch on a connection.
    pub fn send(&mut self, inv: u32, dispatch: u8, to: ExecutorId, at: f64) {
        let Some(id) = self.invocations.get(&inv).map(|w| w.id.clone()) else {
            return self.unsent.push((inv, dispatch, Transport::Withheld));
        };
        match self.connection_for(to, &id) {
            Ok(slot) => {
                self.connections[slot].open.insert(
                    id.clone(),
                    connections::Out {
                        inv,
                        dispatch,
                        at,
                        from: None,
                    },
                );
                self.connections[slot].queue.push_back(Queued::Dispatch(id));
                self.outs.insert((inv, dispatch), slot);
                self.touch_connection(slot);
            }
            // The machine may have what it lacks a moment later; the executor is not to blame.
            Err(Transport::NoResource) if self.now + RETRY_PAUSE < at + self.connect_time => {
                self.held.push_again(inv, dispatch, to, RETRY_PAUSE, at);
            }
            Err(why) => self.unsent.push((inv, dispatch, why)),
        }
    }

    fn send_order(&mut self, tag: u64, to: ExecutorId) {
        match self.connection_for(to, "") {
            Ok(slot) => {
                self.connections[slot].orders.insert(tag, None);
                self.connections[slot].queue.push_back(Queued::Order(tag));
                if let Some(order) = self.orders.get_mut(&tag) {
                    order.connection = slot;
                }
                self.touch_connection(slot);
            }
            Err(why) => self.undone.push((tag, why)),
        }
    }

    /// A connection ended, or takes nothing new, under what was never handed over: it goes over another, within the
    /// time that a connection may take to be made. `again`: the executor is not known to be out of reach.
    pub fn send_again(&mut self, to: ExecutorId, unwritten: Unwritten, again: bool) {
        for out in unwritten.dispatches {
            self.outs.remove(&(out.inv, out.dispatch));
            match again && self.now < out.at + self.connect_time {
                true => self.send(out.inv, out.dispatch, to, out.at),
                false => self
                    .unsent
                    .push((out.inv, out.dispatch, Transport::NoConnection)),
            }
        }
        for tag in unwritten.orders {
            let begun = self.orders.get(&tag).map_or(0.0, |o| o.begun);
            match again && self.now < begun + self.connect_time {
                true => self.send_order(tag, to),
                false => self.undone.push((tag, Transport::NoConnection)),
            }
        }
    }

    pub fn line(&mut self, to: ExecutorId, line: Vec<u8>) {
        // Nothing is owed for one that finds no connection.
        if let Ok(slot) = self.connection_for(to, "") {
            self.connections[slot].queue.push_back(Queued::Line(line));
            self.touch_connection(slot);
        }
    }

    pub fn order(&mut self, to: ExecutorId, function: u64, copies: u8) {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.orders.insert(
            tag,
            Order {
                to,
                function,
                copies,
                begun: self.now,
                connection: usize::MAX,
            },
        );
        self.send_order(tag, to);
    }

    /// Hands every cancel over. A connection that takes them not whole is cut off, which gives up all that is
    /// open on it. Guards against a dispatch that reaches an executor before the cancel of the one before it has
    /// left, so that two are out; it could harm what else is open at an executor that is slow to read.
    fn hand_over_cancels(&mut self) {
        for slot in std::mem::take(&mut self.cancelled) {
            let Some(connection) = self.connections.get_mut(slot) else {
                continue;
            };
            let fault = match connection.socket.flush() {
                Ok(()) if connection.socket.waiting() == 0 => continue,
                Ok(()) => "takes no cancel".to_owned(),
                Err(fault) => fault.to_string(),
            };
            connection.cut_off();
            self.cut.push((slot, fault));
        }
    }

    /// Makes lines of what is queued, as long as the kernel takes them, and hands them over. No dispatch and no order
    /// goes out but through here, and whether it still may is asked as its first byte leaves: a line of which the
    /// kernel took none is taken back into the queue. Guards what is bounded in time against connections that are
    /// slow to be made and executors that read nothing.
    pub fn flush_connection(
        &mut self,
        slot: usize,
        departures: &mut dyn SendRevalidation,
    ) -> std::io::Result<()> {
        self.read_clock(departures);
        self.hand_over_cancels();
        let Some(connection) = self.connections.get_mut(slot) else {
            return Ok(());
        };
        if connection.retired && !connection.is_cut && !connection.queue.is_empty() {
            // Nothing new goes over it; its executor may have moved, and another stand at its address.
            let (to, unwritten) = (connection.to, connection.take_unwritten());
            self.send_again(to, unwritten, true);
        }
        let Some(connection) = self.connections.get_mut(slot) else {
            return Ok(());
        };
        if !connection.connected || connection.is_cut {
            return Ok(());
        }
        loop {
            connection.socket.flush()?;
            if connection.socket.waiting() > 0 {
                connection.take_back();
                return Ok(());
            }
            if connection.queue.is_empty() {
                return Ok(());
            }
            while connection.socket.waiting() < BACKLOG {
                let from = connection.socket.written() + connection.socket.waiting() as u64;
                let line = match connection.queue.pop_front() {
                    None => break,
                    Some(Queued::Line(line)) => line,
                    Some(Queued::Order(tag)) => {
                        let Some(order) = self.orders.get(&tag) else {
                            continue;
                        };
                        // One that only asks loads nothing.
                        let leaves = order.copies == 0
                            || departures.revalidate_load(self.now, order.to, order.begun);
                        if !leaves {
                            connection.orders.remove(&tag);
                            self.undone.push((tag, Transport::Withheld));
                            continue;
                        }
                        connection.orders.insert(tag, Some(from));
                        lines::load(
                            &format!("{ORDER}{tag}"),
                            &format!("{:016x}", order.function),
                            order.copies,
                        )
                    }
                    Some(Queued::Dispatch(id)) => {
                        let Some(out) = connection.open.get_mut(&id) else {
                            continue;
                        };
                        let (inv, dispatch) = (out.inv, out.dispatch);
                        let leaves = departures.revalidate_dispatch(self.now, inv, dispatch);
                        let Some(work) = self.invocations.get(&inv).filter(|_| leaves) else {
                            connection.open.remove(&id);
                            self.outs.remove(&(inv, dispatch));
                            self.unsent.push((inv, dispatch, Transport::Withheld));
                            continue;
                        };
                        out.from = Some(from);
                        let executor = self.executors.get(&connection.to).map(|e| e.name.as_str());
                        log_dispatch(
                            &mut self.dispatch_log,
                            self.now,
                            &self.view,
                            (&id, dispatch),
                            executor,
                        );
                        let left = (work.timeout_at - self.now).max(0.001);
                        lines::dispatch(&lines::Dispatch {
                            id: &id,
                            trigger_type: &self.trigger_types[work.trigger_type],
                            function: &work.function,
                            limit_ms: (left * 1e3).ceil() as u64,
                            idempotency_key: work.token.as_deref(),
                            body: &work.body,
                        })
                    }
                };
                connection.socket.out().extend_from_slice(&line);
            }
        }
    }
}
