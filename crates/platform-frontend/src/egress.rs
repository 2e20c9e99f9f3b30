//! Executors: what they answer, and what the end of a connection proves.

use crate::connections;
use crate::front::{Front, READS};
use crate::host_state::ORDER;
use orchidtally_dispatch_policy::interface::{CopyState, DispatchStatus};
use orchidtally_engine::ResponseMetadata;
use orchidtally_engine::evidence::{self, Transport};
use orchidtally_platform_executor_protocol::{LoadNote, Response, ResponseKind};
use orchidtally_socket_io::is_local_fault;
use orchidtally_socket_io::turn::ReadOutcome;
use tracing::{debug, info};

/// What the module is told of an answer's ending.
fn ending(word: ResponseKind) -> Transport {
    match word {
        ResponseKind::Done => Transport::Answered(DispatchStatus::Ok),
        ResponseKind::Miss => Transport::Answered(DispatchStatus::Miss),
        ResponseKind::Full => Transport::Answered(DispatchStatus::Full),
        ResponseKind::Error => Transport::Answered(DispatchStatus::Error),
        ResponseKind::AlreadyOver => Transport::Answered(DispatchStatus::NeverSent),
        // No answer to a dispatch or an order.
        ResponseKind::Healthy | ResponseKind::Unhealthy => Transport::Malformed,
    }
}

impl Front {
    /// Reads what there is; tells whether the connection still stands.
    pub fn read_connection(&mut self, now: f64, slot: usize) -> bool {
        let Some(connection) = self.host.connections.get_mut(slot) else {
            return false;
        };
        if !connection.connected {
            match connection.socket.is_connected() {
                Ok(false) => return true,
                Ok(true) => {
                    connection.connected = true;
                    connection.heard(now);
                    let took = now - connection.begun_at;
                    if let Some(executor) = self.host.executors.get_mut(&connection.to) {
                        executor.reach = executor.reach.min(took);
                    }
                    self.counts.connections_made += 1;
                    self.host.touch_connection(slot);
                }
                Err(fault) => {
                    let seen = match is_local_fault(&fault) {
                        true => Transport::NoResource,
                        false => Transport::NoConnection,
                    };
                    self.dissolve(now, slot, seen, &fault.to_string());
                    return false;
                }
            }
        }
        for _ in 0..READS {
            let Some(connection) = self.host.connections.get_mut(slot) else {
                return false;
            };
            match connection.socket.read(&mut self.buffer) {
                Ok(ReadOutcome::Nothing) => {
                    if connection.socket.waiting() > 0 || !connection.queue.is_empty() {
                        self.host.touch_connection(slot);
                    }
                    return true;
                }
                Ok(ReadOutcome::Bytes(n)) => {
                    connection.decoder.push(&self.buffer[..n]);
                    loop {
                        let Some(connection) = self.host.connections.get_mut(slot) else {
                            return false;
                        };
                        match connection.decoder.next_response() {
                            Ok(None) => break connection.heard(now),
                            Ok(Some(answer)) => self.answered(now, slot, answer),
                            Err(fault) => {
                                self.dissolve(now, slot, Transport::Malformed, &fault.0);
                                return false;
                            }
                        }
                    }
                }
                Ok(ReadOutcome::End) => {
                    self.dissolve(now, slot, Transport::Broken, "closed by the executor");
                    return false;
                }
                Err(fault) => {
                    self.dissolve(now, slot, Transport::Broken, &fault.to_string());
                    return false;
                }
            }
        }
        self.again.push_back(connections::token(slot));
        true
    }

    fn answered(&mut self, now: f64, slot: usize, answer: Response) {
        let Some(connection) = self.host.connections.get_mut(slot) else {
            return;
        };
        (
            connection.heard_at,
            connection.idle_since,
            connection.answered,
        ) = (now, now, true);
        if let Some(tag) = answer.id.strip_prefix(ORDER).and_then(|t| t.parse().ok()) {
            return self.ordered(now, tag, ending(answer.kind), answer.replica_count);
        }
        let there = connection
            .open
            .get(answer.id.as_str())
            .is_some_and(|o| o.from.is_some());
        let Some(out) = there
            .then(|| connection.open.remove(answer.id.as_str()))
            .flatten()
        else {
            // Of one given up, a second copy, or of nothing that was asked.
            return connection.settled(&answer.id);
        };
        connection.said(now, answer.id.as_str().into());
        self.host.outs.remove(&(out.inv, out.dispatch));
        if answer.kind != ResponseKind::Done {
            let executor = self
                .host
                .executors
                .get(&connection.to)
                .map(|e| e.name.as_str());
            debug!(executor, word = ?answer.kind, tell = ?answer.load_note, after = now - out.at, "no success");
        }
        self.host.brought = answer.body;
        let found = match answer.load_note {
            LoadNote::Nothing => CopyState::Unknown,
            LoadNote::Warm => CopyState::Warm,
            LoadNote::Cold => CopyState::ColdLoad,
            LoadNote::Joined => CopyState::JoinedLoad,
            LoadNote::LoadFailed => CopyState::LoadFailed,
        };
        let report = orchidtally_platform_executor_protocol::parse_load_report(
            &answer.load_report,
            &self.settings.load_report_fields,
        );
        let told = ResponseMetadata {
            copy_state: found,
            function_concurrency: answer.function_concurrency,
            load_report: &report,
        };
        let ending = evidence::ending(ending(answer.kind));
        self.engine
            .on_dispatch_result(now, out.inv, out.dispatch, ending, told, &mut self.host);
        self.host.brought = vec![];
    }

    /// An order to load has come to its end.
    pub fn ordered(&mut self, now: f64, tag: u64, seen: Transport, count: u32) {
        let Some(order) = self.host.orders.remove(&tag) else {
            return;
        };
        if let Some(connection) = self.host.connections.get_mut(order.connection) {
            connection.orders.remove(&tag);
        }
        let ending = match evidence::ending(seen) {
            // One that only asked.
            DispatchStatus::Ok if order.copies == 0 && count == 0 => DispatchStatus::Miss,
            ending => ending,
        };
        self.engine
            .on_load_result(now, order.to, order.function, ending, &mut self.host);
    }

    /// Ends a connection to an executor, and with it all that is open on it.
    pub fn dissolve(&mut self, now: f64, slot: usize, seen: Transport, why: &str) {
        let Some(mut connection) = self.host.connections.try_remove(slot) else {
            return;
        };
        // One whose socket is gone already needs no more.
        let _ = self
            .poll
            .registry()
            .deregister(&mut connection.socket.stream);
        if let Some(executor) = self.host.executors.get_mut(&connection.to) {
            executor.connections.retain(|&l| l != slot);
            if !connection.is_idle() {
                self.counts.connections_lost += 1;
                if let Some(left_out) = self.close_log.admit(now) {
                    let (open, connected) = (connection.open.len(), connection.connected);
                    info!(
                        executor = executor.name,
                        open, connected, why, left_out, "lost a connection"
                    );
                }
            }
            if !executor.listed && executor.connections.is_empty() {
                self.host.executors.remove(&connection.to);
            }
        }
        let reachable = connection.connected || seen == Transport::NoResource;
        let again = reachable || self.host.stands(connection.to, now);
        self.host
            .send_again(connection.to, connection.take_unwritten(), again);
        for (id, out) in &connection.open {
            self.host.outs.remove(&(out.inv, out.dispatch));
            self.host.note_given_up(id, connection.to);
        }
        // An answer that breaks off was begun: the executor is there, as it is where it sent what can't be read.
        let seen = if seen == Transport::Broken && connection.decoder.has_partial_line() {
            Transport::Malformed
        } else {
            seen
        };
        self.severed.push_back((now, seen, connection));
    }

    /// Judges what ended connections leave: where another stands, the process did not end.
    pub fn judge_severed(&mut self, now: f64) {
        for _ in 0..self.severed.len() {
            let Some((at, seen, connection)) = self.severed.pop_front() else {
                return;
            };
            let stands = self.host.stands(connection.to, at);
            if seen == Transport::Broken && stands && now < at + connections::ALL_RESET {
                self.severed.push_back((at, seen, connection));
                continue;
            }
            let one_of_several = seen == Transport::Malformed || stands;
            for (out, verdict) in connection.verdicts(seen) {
                let ending = evidence::ending(if one_of_several { verdict } else { seen });
                let told = orchidtally_engine::NO_METADATA;
                self.engine.on_dispatch_result(
                    now,
                    out.inv,
                    out.dispatch,
                    ending,
                    told,
                    &mut self.host,
                );
            }
            for &tag in connection.orders.keys() {
                self.ordered(
                    now,
                    tag,
                    if one_of_several { Transport::Cut } else { seen },
                    0,
                );
            }
        }
    }
}
