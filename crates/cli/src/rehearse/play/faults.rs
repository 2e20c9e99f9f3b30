//! What goes wrong through a day, as its script says.

use super::Rehearsal;
use crate::rehearse::scenario::{FaultKind, ScheduledFault};
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::TimedFault;
use orchidtally_test_servers::executor::Executor;
use std::cell::Cell;
use std::rc::Rc;

/// Seconds between the notice of a preemption and the end of the executor.
const PREEMPTION_NOTICE: f64 = 0.4;

/// Whether an executor is up and not draining.
fn is_available(executor: &Rc<Executor>) -> bool {
    executor.is_up() && !executor.draining.get()
}

impl Rehearsal {
    pub(super) fn drawn(&self, share: f64) -> bool {
        self.stage.random_unit() < share
    }

    /// Some of a list, without those that the script has down already.
    pub(super) fn some<T: Clone>(&self, of: &[T], share: f64, fits: impl Fn(&T) -> bool) -> Vec<T> {
        let mut fitting: Vec<T> = of.iter().filter(|x| fits(x)).cloned().collect();
        let n = ((of.len() as f64 * share).round() as usize).clamp(1, fitting.len().max(1));
        while fitting.len() > n {
            fitting.swap_remove((self.stage.random_unit() * fitting.len() as f64) as usize);
        }
        fitting
    }

    pub(super) fn perform_later(self: &Rc<Self>, from: f64, fault: ScheduledFault) {
        let rehearsal = self.clone();
        self.in_background(async move {
            rehearsal
                .stage
                .sleep(from + fault.at - rehearsal.stage.now())
                .await;
            rehearsal.apply_fault(&fault).await;
        });
    }

    fn switch(&self, which: &(TimedFault, Cell<f64>), fault: &ScheduledFault) {
        which.1.set(fault.size);
        which.0.activate_until(self.stage.now() + fault.duration);
    }

    /// Executors that are up and not draining, as many as the size of a fault says.
    fn victims(&self, fault: &ScheduledFault) -> Vec<Rc<Executor>> {
        self.some(&self.executors, fault.size, is_available)
    }

    async fn apply_fault(self: &Rc<Self>, fault: &ScheduledFault) {
        let until = self.stage.now() + fault.duration;
        match fault.kind {
            FaultKind::Crash => self.crash_executors(fault),
            FaultKind::Hang => {
                for executor in self.victims(fault) {
                    executor.faults.hangs.activate_until(until);
                }
            }
            FaultKind::FastErrors => {
                for executor in self.victims(fault) {
                    executor.faults.fails_immediately.activate_until(until);
                }
            }
            FaultKind::ExecutorsStopReading => self.pause_reads(fault, until),
            FaultKind::SlowHandshakes => {
                for executor in self.victims(fault) {
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
            FaultKind::MassRelease => self.executors.iter().for_each(|e| e.unload_all()),
            FaultKind::StoreRefuses => self.store.refusing.activate_until(until),
            FaultKind::ImpatientClients => self.switch(&self.impatient, fault),
            FaultKind::HotFunction => self.switch(&self.hot, fault),
            FaultKind::OneTimeFunctions => self.switch(&self.one_offs, fault),
            FaultKind::TrafficShift => self.switch(&self.shifted, fault),
            FaultKind::RepeatingClients => self.switch(&self.repeating, fault),
            FaultKind::KillFrontEnds => self.kill_front_ends(fault).await,
            FaultKind::RollFrontEnds => self.roll_front_ends(fault).await,
            FaultKind::Garbage => self.garbage(until).await,
            FaultKind::ClientsStopReading => self.stop_reading(until).await,
            FaultKind::SlowClients => self.slow_senders(until).await,
        }
    }

    fn crash_executors(self: &Rc<Self>, fault: &ScheduledFault) {
        for executor in self.victims(fault) {
            self.down_and_up(executor, fault.duration);
        }
    }

    fn pause_reads(&self, fault: &ScheduledFault, until: f64) {
        for executor in self.victims(fault) {
            executor.faults.reads_paused.activate_until(until);
            self.stage.record(TrafficRecord::ReadsPaused {
                at: self.stage.now(),
                executor: executor.spec.number,
                until,
            });
        }
    }

    /// Drains and restarts executors one after the other.
    async fn roll_executors(&self, fault: &ScheduledFault) {
        let executors = self.victims(fault);
        let time_each = fault.duration / executors.len() as f64;
        for executor in executors {
            self.roll(&executor, time_each.clamp(0.3, 1.2)).await;
        }
    }

    /// Takes executors away at short notice, one after the other, and brings each back.
    async fn preempt_executors(&self, fault: &ScheduledFault) {
        for executor in self.victims(fault) {
            self.notify(&executor, EndpointState::Draining);
            executor.draining.set(true);
            self.stage.sleep(PREEMPTION_NOTICE).await;
            executor.crash();
            self.notify(&executor, EndpointState::Gone);
            self.stage.sleep(fault.duration).await;
            self.bring_up(&executor);
        }
    }

    /// Crashes all executors of a location that is drawn by chance.
    fn lose_location(self: &Rc<Self>, fault: &ScheduledFault) {
        let lost = (self.stage.random_unit() * f64::from(self.scenario.locations)) as usize;
        let locations = self.scenario.locations as usize;
        for executor in &self.executors {
            if executor.spec.number % locations == lost && is_available(executor) {
                self.down_and_up(executor.clone(), fault.duration);
            }
        }
    }

    pub(super) fn notify(&self, e: &Executor, state: EndpointState) {
        if let Some(roster) = &self.roster {
            roster.change(e, state);
            return;
        }
        self.publisher
            .update_state(e.spec.number, state, e.started_at());
    }

    pub(super) fn bring_up(&self, e: &Executor) {
        if e.is_up() {
            return;
        }
        match e.restart() {
            Ok(()) => self.notify(e, EndpointState::Ready),
            Err(fault) => eprintln!("executor {} did not come up: {fault}", e.spec.number),
        }
    }

    /// A crash of which the publisher hears only once the executor is back.
    fn down_and_up(self: &Rc<Self>, e: Rc<Executor>, duration: f64) {
        e.crash();
        let rehearsal = self.clone();
        self.in_background(async move {
            rehearsal.stage.sleep(duration).await;
            rehearsal.bring_up(&e);
        });
    }

    /// A graceful restart, as a deploy makes it.
    async fn roll(&self, e: &Rc<Executor>, time: f64) {
        if !e.is_up() {
            return;
        }
        self.notify(e, EndpointState::Draining);
        e.draining.set(true);
        e.send_go_away();
        let until = self.stage.now() + time;
        while e.pending() > 0 && self.stage.now() < until {
            self.stage.sleep(0.02).await;
        }
        e.crash();
        self.stage.sleep(0.2).await;
        self.bring_up(e);
    }
}
