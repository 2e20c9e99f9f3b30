//! Applies the faults of a scenario.

use super::Rehearsal;
use crate::rehearse::scenario::{FaultKind, ScheduledFault};
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::TimedFault;
use orchidtally_test_servers::executor::Executor;
use std::cell::Cell;
use std::rc::Rc;

/// Seconds between the notice of a preemption and the executor's crash.
const PREEMPTION_NOTICE: f64 = 0.4;

/// Whether an executor is up and not draining.
fn is_available(executor: &Rc<Executor>) -> bool {
    executor.is_up() && !executor.draining.get()
}

impl Rehearsal {
    /// Returns true with a probability of `share`.
    pub(super) fn chance(&self, share: f64) -> bool {
        self.environment.random_unit() < share
    }

    /// Draws a share of a list, at least one, from the elements that fit.
    pub(super) fn sample<T: Clone>(
        &self,
        of: &[T],
        share: f64,
        fits: impl Fn(&T) -> bool,
    ) -> Vec<T> {
        let mut fitting: Vec<T> = of.iter().filter(|x| fits(x)).cloned().collect();
        let n = ((of.len() as f64 * share).round() as usize).clamp(1, fitting.len().max(1));
        while fitting.len() > n {
            fitting.swap_remove((self.environment.random_unit() * fitting.len() as f64) as usize);
        }
        fitting
    }

    /// Applies a fault at its time in a scenario that begins at `from`.
    pub(super) fn schedule_fault(self: &Rc<Self>, from: f64, fault: ScheduledFault) {
        let rehearsal = self.clone();
        self.in_background(async move {
            rehearsal
                .environment
                .sleep(from + fault.at - rehearsal.environment.now())
                .await;
            rehearsal.apply_fault(&fault).await;
        });
    }

    /// Activates a fault of the traffic.
    fn activate(&self, timed_fault: &(TimedFault, Cell<f64>), fault: &ScheduledFault) {
        timed_fault.1.set(fault.size);
        timed_fault
            .0
            .activate_until(self.environment.now() + fault.duration);
    }

    /// Draws the executors that a fault affects from those that are up and not draining.
    fn draw_executors(&self, fault: &ScheduledFault) -> Vec<Rc<Executor>> {
        self.sample(&self.executors, fault.size, is_available)
    }

    async fn apply_fault(self: &Rc<Self>, fault: &ScheduledFault) {
        let until = self.environment.now() + fault.duration;
        match fault.kind {
            FaultKind::Crash => self.crash_executors(fault),
            FaultKind::Hang => {
                for executor in self.draw_executors(fault) {
                    executor.faults.hangs.activate_until(until);
                }
            }
            FaultKind::FastErrors => {
                for executor in self.draw_executors(fault) {
                    executor.faults.fails_immediately.activate_until(until);
                }
            }
            FaultKind::ExecutorsStopReading => self.pause_reads(fault, until),
            FaultKind::SlowHandshakes => {
                for executor in self.draw_executors(fault) {
                    executor.faults.slow_handshakes.activate_until(until);
                }
            }
            FaultKind::LateReports => {
                for executor in &self.executors {
                    executor.faults.delayed_reports.activate_until(until);
                }
            }
            FaultKind::RollingDeploy => self.roll_executors(fault).await,
            FaultKind::Preemption => self.preempt_executors(fault).await,
            FaultKind::LoseLocation => self.lose_location(fault),
            FaultKind::StaleEndpoints => self.publisher.delay_changes_until(until),
            FaultKind::PublisherDisconnect => self.publisher.disconnect_all(),
            FaultKind::MassRelease => self
                .executors
                .iter()
                .for_each(|executor| executor.unload_all()),
            FaultKind::StoreRefuses => self.store.refusing.activate_until(until),
            FaultKind::ImpatientClients => self.activate(&self.impatient, fault),
            FaultKind::HotFunction => self.activate(&self.hot, fault),
            FaultKind::OneTimeFunctions => self.activate(&self.one_time, fault),
            FaultKind::TrafficShift => self.activate(&self.shifted, fault),
            FaultKind::RepeatingClients => self.activate(&self.repeating, fault),
            FaultKind::KillFrontEnds => self.kill_front_ends(fault).await,
            FaultKind::RollFrontEnds => self.roll_front_ends(fault).await,
            FaultKind::Garbage => self.send_garbage(until).await,
            FaultKind::ClientsStopReading => self.flood_without_reading(until).await,
            FaultKind::SlowClients => self.send_slowly(until).await,
        }
    }

    fn crash_executors(self: &Rc<Self>, fault: &ScheduledFault) {
        for executor in self.draw_executors(fault) {
            self.crash_and_restart(executor, fault.duration);
        }
    }

    /// Makes executors stop reading from their sockets, and records it for the check of load commands.
    fn pause_reads(&self, fault: &ScheduledFault, until: f64) {
        for executor in self.draw_executors(fault) {
            executor.faults.reads_paused.activate_until(until);
            self.environment.record(TrafficRecord::ReadsPaused {
                at: self.environment.now(),
                executor: executor.spec.number,
                until,
            });
        }
    }

    /// Drains and restarts executors in sequence.
    async fn roll_executors(&self, fault: &ScheduledFault) {
        let executors = self.draw_executors(fault);
        let time_each = fault.duration / executors.len() as f64;
        for executor in executors {
            self.restart_gracefully(&executor, time_each.clamp(0.3, 1.2))
                .await;
        }
    }

    /// Drains and crashes executors at short notice in sequence, and restarts each after the fault's duration.
    async fn preempt_executors(&self, fault: &ScheduledFault) {
        for executor in self.draw_executors(fault) {
            self.notify(&executor, EndpointState::Draining);
            executor.draining.set(true);
            self.environment.sleep(PREEMPTION_NOTICE).await;
            executor.crash();
            self.notify(&executor, EndpointState::Gone);
            self.environment.sleep(fault.duration).await;
            self.restart_executor(&executor);
        }
    }

    /// Crashes all executors of a random location.
    fn lose_location(self: &Rc<Self>, fault: &ScheduledFault) {
        let lost = (self.environment.random_unit() * f64::from(self.scenario.locations)) as usize;
        let locations = self.scenario.locations as usize;
        for executor in &self.executors {
            if executor.spec.number % locations == lost && is_available(executor) {
                self.crash_and_restart(executor.clone(), fault.duration);
            }
        }
    }

    /// Changes the state of an executor in the endpoint list.
    pub(super) fn notify(&self, executor: &Executor, state: EndpointState) {
        if let Some(endpoint_store) = &self.endpoint_store {
            endpoint_store.set_state(executor, state);
            return;
        }
        self.publisher
            .update_state(executor.spec.number, state, executor.started_at());
    }

    /// Restarts an executor that is down, and lists it as ready.
    pub(super) fn restart_executor(&self, executor: &Executor) {
        if executor.is_up() {
            return;
        }
        match executor.restart() {
            Ok(()) => self.notify(executor, EndpointState::Ready),
            Err(fault) => eprintln!("executor {} did not restart: {fault}", executor.spec.number),
        }
    }

    /// Crashes an executor and restarts it after `duration`. The endpoint list changes only after the restart.
    fn crash_and_restart(self: &Rc<Self>, executor: Rc<Executor>, duration: f64) {
        executor.crash();
        let rehearsal = self.clone();
        self.in_background(async move {
            rehearsal.environment.sleep(duration).await;
            rehearsal.restart_executor(&executor);
        });
    }

    /// Restarts an executor gracefully, as a deployment does: drains it for at most `time` seconds first.
    async fn restart_gracefully(&self, executor: &Rc<Executor>, time: f64) {
        if !executor.is_up() {
            return;
        }
        self.notify(executor, EndpointState::Draining);
        executor.draining.set(true);
        executor.send_go_away();
        let until = self.environment.now() + time;
        while executor.pending() > 0 && self.environment.now() < until {
            self.environment.sleep(0.02).await;
        }
        executor.crash();
        self.environment.sleep(0.2).await;
        self.restart_executor(executor);
    }
}
