//! Periodic work: connection and load command timeouts, clock adjustment, and the status log.

use super::EventLoop;
use crate::client_connection::CloseCause;
use crate::executor_connection::CloseReason;
use crate::memory_use::ResidentMemory;
use crate::source::EventSource;
use orchidtally_engine::transport_outcome::TransportOutcome;
use orchidtally_platform_client_protocol as protocol;
use tracing::{info, warn};

/// Seconds between two sweeps, each of which checks all connections for timeouts.
pub(super) const SWEEP_INTERVAL: f64 = 0.025;
/// Seconds between two adjustments of the process clock to the wall clock.
const CLOCK_INTERVAL: f64 = 1.0;
/// Seconds between two readings of the process's memory.
const MEMORY_INTERVAL: f64 = 1.0;
/// The fraction of the memory limit above which resident memory is logged at each reading.
const HIGH_MEMORY_FRACTION: f64 = 0.5;
/// Seconds between two status log lines.
const STATUS_INTERVAL: f64 = 10.0;

/// When each kind of periodic work is due, in seconds.
pub(super) struct MaintenanceSchedule {
    next_sweep_at: f64,
    next_clock_adjustment_at: f64,
    next_memory_reading_at: f64,
    next_status_at: f64,
}

impl MaintenanceSchedule {
    /// Creates the schedule of a front end that starts at `now`.
    pub(super) fn new(now: f64) -> MaintenanceSchedule {
        MaintenanceSchedule {
            next_sweep_at: now,
            next_clock_adjustment_at: now + CLOCK_INTERVAL,
            next_memory_reading_at: now + MEMORY_INTERVAL,
            next_status_at: now + STATUS_INTERVAL,
        }
    }

    /// Disables sweeps.
    #[cfg(test)]
    pub(super) fn postpone_sweeps(&mut self) {
        self.next_sweep_at = f64::INFINITY;
    }

    /// When the next sweep is due, in seconds.
    pub(super) fn next_sweep_at(&self) -> f64 {
        self.next_sweep_at
    }

    /// Returns whether a sweep is due. If so, schedules the next one.
    fn take_sweep(&mut self, now: f64) -> bool {
        let is_due = now >= self.next_sweep_at;
        if is_due {
            self.next_sweep_at = now + SWEEP_INTERVAL;
        }
        is_due
    }

    /// Returns whether a clock adjustment is due. If so, schedules the next one.
    fn take_clock_adjustment(&mut self, now: f64) -> bool {
        let is_due = now > self.next_clock_adjustment_at;
        if is_due {
            self.next_clock_adjustment_at = now + CLOCK_INTERVAL;
        }
        is_due
    }

    /// Returns whether a reading of the process's memory is due. If so, schedules the next one.
    fn take_memory_reading(&mut self, now: f64) -> bool {
        let is_due = now > self.next_memory_reading_at;
        if is_due {
            self.next_memory_reading_at = now + MEMORY_INTERVAL;
        }
        is_due
    }

    /// Returns whether a status line is due. If so, schedules the next one.
    fn take_status(&mut self, now: f64) -> bool {
        let is_due = now > self.next_status_at;
        if is_due {
            self.next_status_at = now + STATUS_INTERVAL;
        }
        is_due
    }
}

impl EventLoop {
    /// Performs the periodic work that is due.
    pub(super) fn run_maintenance(&mut self, now: f64) {
        self.discovery.query_if_due(now);
        self.report_resolver_reachability(now);
        if !self.maintenance.take_sweep(now) {
            return;
        }
        if self.maintenance.take_clock_adjustment(now) {
            self.host.adjust_to_wall_clock();
        }
        if self.maintenance.take_memory_reading(now) {
            self.check_memory();
        }
        if self.maintenance.take_status(now) {
            self.log_status();
        }
        self.close_overdue_clients(now);
        if self.listener.must_retry() {
            self.accept(now);
        }
        self.host.remove_delivered_cancels(now);
        self.close_overdue_executor_connections(now);
        while let Some(tag) = self
            .host
            .expired_load_command(now, self.settings.load_command_timeout)
        {
            self.finish_load_command(now, tag, TransportOutcome::TimedOut, 0);
        }
        self.reload_settings(now);
        self.stop_accepting(now);
    }

    fn log_status(&self) {
        info!(
            counters = ?self.engine.counters(),
            connections = ?self.counters,
            open = self.engine.open_invocations(),
            tables = ?self.engine.table_sizes(),
            clients = self.host.clients.len(),
            executor_connections = self.host.pool.connection_count(),
            held = ?self.host.held_bytes(),
            resident = ?ResidentMemory::read(),
            "status"
        );
    }

    /// Warns if the process holds much of its memory limit, with what it holds for whom.
    fn check_memory(&self) {
        let Some(resident) = ResidentMemory::read() else {
            return;
        };
        let limit = self.memory_bytes;
        if resident.current as f64 <= HIGH_MEMORY_FRACTION * limit as f64 {
            return;
        }
        warn!(
            resident = resident.current,
            peak = resident.peak,
            limit,
            held = ?self.host.held_bytes(),
            tables = ?self.engine.table_sizes(),
            clients = self.host.clients.len(),
            open = self.engine.open_invocations(),
            "resident memory is above half of the limit"
        );
    }

    /// Begins to close client connections whose timeouts have expired, and completes closes that are due.
    fn close_overdue_clients(&mut self, now: f64) {
        let overdue: Vec<(usize, &'static str)> = self
            .host
            .clients
            .iter()
            // The rest of a frame may have arrived and wait for the client's turn.
            .filter(|&(slot, _)| !self.ready_clients.contains(EventSource::Client(slot)))
            .filter_map(|(slot, client)| Some((slot, client.timeout_reason(now)?)))
            .collect();
        for (slot, reason) in overdue {
            self.counters.protocol_errors += 1;
            if let Some(client) = self
                .host
                .clients
                .get_mut(slot)
                .filter(|client| client.socket.pending_bytes() == 0)
            {
                client.respond(0, protocol::ERRORED, &[], reason.as_bytes());
            }
            self.close_client_after_flush(now, slot, CloseCause::TimedOut(reason));
        }
        let due: Vec<usize> = self
            .host
            .clients
            .iter()
            .filter(|(_, client)| client.close_is_due(now))
            .map(|(slot, _)| slot)
            .collect();
        for slot in due {
            self.close_client(now, slot, CloseCause::LingerEnded);
        }
    }

    fn close_overdue_executor_connections(&mut self, now: f64) {
        let idle_timeout = self.settings.idle_timeout;
        let overdue: Vec<(usize, CloseReason)> = self
            .host
            .pool
            .connections()
            .filter_map(|(slot, connection)| {
                Some((slot, connection.close_reason(now, idle_timeout)?))
            })
            .collect();
        for (slot, reason) in overdue {
            self.close_executor_connection(now, slot, reason.evidence, reason.text);
        }
    }
}
