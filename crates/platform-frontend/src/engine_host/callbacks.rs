//! Implements the engine's callbacks: lines to executors and frames to clients.

use super::{EngineHost, HEALTH_CHECK_PREFIX};
use crate::delayed_dispatches::DispatchKey;
use orchidtally_dispatch_policy::interface::ExecutorId;
use orchidtally_engine::{FailureReason, Host};
use orchidtally_platform_client_protocol as client_protocol;
use orchidtally_platform_executor_protocol as executor_protocol;
use tracing::info;

impl Host for EngineHost {
    fn admitted(&mut self, invocation: u32) {
        let Some(open) = self.pending_admission.take() else {
            return;
        };
        if let Some(client) = self.clients.get_mut(open.client) {
            client.open_invocations.insert(open.stream, invocation);
            client.open_bytes += open.held_bytes();
        }
        self.invocations.insert(invocation, open);
    }

    fn dispatch(&mut self, invocation: u32, number: u8, executor_id: ExecutorId, _within: f64) {
        let key = DispatchKey { invocation, number };
        let delay = self
            .invocations
            .get(invocation)
            .and_then(|open| self.cancels_in_transit.get(&open.id))
            .map(|until| until - self.now)
            .filter(|&delay| delay > 0.0);
        match delay {
            Some(delay) => self.delayed_dispatches.push(key, executor_id, delay, None),
            None => self.send(key, executor_id, self.now),
        }
    }

    fn cancel(&mut self, invocation: u32, number: u8) {
        let key = DispatchKey { invocation, number };
        if self.delayed_dispatches.remove(key) {
            return;
        }
        let Some(slot) = self.in_flight.remove(&key) else {
            return;
        };
        self.cancel_on_connection(slot, key);
    }

    fn succeeded(&mut self, invocation: u32, _number: u8) {
        let body = std::mem::take(&mut self.response_body);
        self.respond(invocation, client_protocol::SUCCEEDED, &[], &body);
    }

    fn rejected(&mut self, invocation: u32, retry_after: f64, over_quota: bool) {
        if let Some(suppressed) = self.result_log_limiter.try_acquire(self.now) {
            let id = self.invocations.get(invocation).map(|open| &*open.id);
            info!(
                invocation = id,
                retry_after, over_quota, suppressed, "invocation throttled"
            );
        }
        let milliseconds = format!("{}", (retry_after * 1e3).round().max(0.0) as u64);
        let cooldown = [("cooldown", milliseconds.as_str())];
        let fields: &[(&str, &str)] = if retry_after > 0.0 { &cooldown } else { &[] };
        self.record_never_ran(invocation);
        self.respond(invocation, client_protocol::THROTTLED, fields, &[]);
    }

    fn failed(&mut self, invocation: u32, reason: FailureReason, may_have_run: bool) {
        if let Some(suppressed) = self.result_log_limiter.try_acquire(self.now) {
            let id = self.invocations.get(invocation).map(|open| &*open.id);
            info!(
                invocation = id,
                ?reason,
                may_have_run,
                suppressed,
                "invocation failed"
            );
        }
        if !may_have_run {
            self.record_never_ran(invocation);
        }
        self.respond(invocation, client_protocol::ERRORED, &[], &[]);
    }

    fn load(&mut self, executor_id: ExecutorId, function: u64, replicas: u8) {
        self.issue_load_command(executor_id, function, replicas);
    }

    fn query_replicas(&mut self, executor_id: ExecutorId, function: u64) {
        self.issue_load_command(executor_id, function, 0);
    }

    fn unload(&mut self, executor_id: ExecutorId, function: u64) {
        let line = executor_protocol::encode_unload_command(&format!("{function:016x}"));
        self.send_line(executor_id, line);
    }

    fn health_check(&mut self, executor_id: ExecutorId) {
        self.next_tag += 1;
        let tag = format!("{HEALTH_CHECK_PREFIX}{}", self.next_tag);
        self.send_line(executor_id, executor_protocol::encode_health_check(&tag));
    }

    /// Does nothing, because the event loop polls the resolver continuously.
    fn subscribe_to_endpoints(&mut self) {}
}

impl EngineHost {
    /// Abandons a dispatch on its connection, and queues a cancel if the executor may have received a part of it.
    fn cancel_on_connection(&mut self, slot: usize, key: DispatchKey) {
        let Some(connection) = self.pool.connection_mut(slot) else {
            return;
        };
        let found = connection
            .in_flight
            .iter()
            .find(|(_, dispatch)| dispatch.key == key)
            .map(|(id, dispatch)| (id.clone(), dispatch.sent_at));
        let Some((id, sent_at)) = found else {
            return;
        };
        if connection.abandon(&id) {
            // The connection may be dead if nothing was read since the dispatch was sent and twice the connect timeout
            // has passed.
            connection.is_retired |= connection.last_read_at < sent_at
                && self.now > sent_at + 2.0 * self.connect_timeout;
            if self.allows_cancellation {
                // The cancel is written before the queued commands, and after its dispatch, which is already encoded.
                connection
                    .socket
                    .write_buffer()
                    .extend_from_slice(&executor_protocol::encode_cancel(&id));
                self.unflushed_cancels.push(slot);
            }
            let executor_id = connection.executor_id;
            self.record_abandoned(&id, executor_id);
        }
        if let Some(connection) = self.pool.connection_mut(slot) {
            connection.idle_since = self.now;
        }
        self.pool.mark_dirty(slot);
    }
}
