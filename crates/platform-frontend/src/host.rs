//! Performs the engine's answers: lines to executors, frames to clients.

use crate::host_state::{HostState, PROBE};
use orchidtally_dispatch_policy::interface::ExecutorId;
use orchidtally_engine::{FailureReason, Host};
use orchidtally_platform_client_protocol as frames;
use orchidtally_platform_executor_protocol as lines;
use tracing::info;

impl Host for HostState {
    fn admitted(&mut self, inv: u32) {
        let Some(work) = self.taking.take() else {
            return;
        };
        if let Some(client) = self.clients.get_mut(work.client) {
            client.open.insert(work.stream, inv);
        }
        self.kept += work.body.len();
        self.ids.insert(work.id.clone());
        self.invocations.insert(inv, work);
    }

    fn dispatch(&mut self, inv: u32, dispatch: u8, to: ExecutorId, _within: f64) {
        let until = self
            .invocations
            .get(&inv)
            .and_then(|w| self.given_up.get(&w.id));
        match until
            .map(|until| until - self.now)
            .filter(|&left| left > 0.0)
        {
            Some(left) => self.held.push(inv, dispatch, to, left),
            None => self.send(inv, dispatch, to, self.now),
        }
    }

    fn cancel(&mut self, inv: u32, dispatch: u8) {
        if self.held.remove(inv, dispatch) {
            return;
        }
        let Some(slot) = self.outs.remove(&(inv, dispatch)) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        let found = connection
            .open
            .iter()
            .find(|(_, o)| o.inv == inv && o.dispatch == dispatch);
        let Some((id, at)) = found.map(|(id, o)| (id.clone(), o.at)) else {
            return;
        };
        if connection.give_up(&id) {
            // One that was silent ever since, for longer than a new one takes to be made, may be dead.
            connection.retired |=
                connection.heard_at < at && self.now > at + 2.0 * self.connect_time;
            if self.cancels {
                // Ahead of what is queued. Its dispatch was made a line, so that it comes after that.
                connection
                    .socket
                    .out()
                    .extend_from_slice(&lines::cancel(&id));
                self.cancelled.push(slot);
            }
            let to = connection.to;
            self.note_given_up(&id, to);
        }
        if let Some(connection) = self.connections.get_mut(slot) {
            connection.idle_since = self.now;
        }
        self.touch_connection(slot);
    }

    fn succeeded(&mut self, inv: u32, _dispatch: u8) {
        let body = std::mem::take(&mut self.brought);
        self.answer(inv, frames::SUCCEEDED, &[], &body);
    }

    fn rejected(&mut self, inv: u32, retry_after: f64, past_share: bool) {
        if let Some(left_out) = self.answer_log.admit(self.now) {
            let invocation = self.invocations.get(&inv).map(|open| &*open.id);
            info!(invocation, retry_after, past_share, left_out, "throttled");
        }
        let ms = format!("{}", (retry_after * 1e3).round().max(0.0) as u64);
        let fields = [("cooldown", ms.as_str())];
        self.answer(
            inv,
            frames::THROTTLED,
            if retry_after > 0.0 { &fields } else { &[] },
            &[],
        );
    }

    fn failed(&mut self, inv: u32, cause: FailureReason, may_have_run: bool) {
        if let Some(left_out) = self.answer_log.admit(self.now) {
            let invocation = self.invocations.get(&inv).map(|open| &*open.id);
            info!(invocation, ?cause, may_have_run, left_out, "errored");
        }
        self.answer(inv, frames::ERRORED, &[], &[]);
    }

    fn load(&mut self, to: ExecutorId, function: u64, copies: u8) {
        self.order(to, function, copies);
    }

    fn query_replicas(&mut self, to: ExecutorId, function: u64) {
        self.order(to, function, 0);
    }

    fn unload(&mut self, to: ExecutorId, function: u64) {
        self.line(to, lines::unload(&format!("{function:016x}")));
    }

    fn health_check(&mut self, to: ExecutorId) {
        self.next_tag += 1;
        self.line(
            to,
            lines::health_check(&format!("{PROBE}{}", self.next_tag)),
        );
    }

    /// It is asked for all the time.
    fn subscribe_to_endpoints(&mut self) {}
}
