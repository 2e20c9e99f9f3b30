//! What goes wrong through a day, as its script says.

use super::Rehearsal;
use crate::rehearse::scenario::{FaultKind, ScheduledFault};
use orchidtally_invariants::{EndpointState, TrafficRecord};
use orchidtally_test_servers::TimedFault;
use orchidtally_test_servers::executor::Executor;
use std::cell::Cell;
use std::rc::Rc;

impl Rehearsal {
    pub(super) fn drawn(&self, share: f64) -> bool {
        self.stage.unit() < share
    }

    /// Some of a list, without those that the script has down already.
    pub(super) fn some<T: Clone>(&self, of: &[T], share: f64, fits: impl Fn(&T) -> bool) -> Vec<T> {
        let mut fitting: Vec<T> = of.iter().filter(|x| fits(x)).cloned().collect();
        let n = ((of.len() as f64 * share).round() as usize).clamp(1, fitting.len().max(1));
        while fitting.len() > n {
            fitting.swap_remove((self.stage.unit() * fitting.len() as f64) as usize);
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
        which.0.set(self.stage.now() + fault.duration);
    }

    async fn apply_fault(self: &Rc<Self>, fault: &ScheduledFault) {
        let until = self.stage.now() + fault.duration;
        let up = |e: &Rc<Executor>| e.is_up() && !e.draining.get();
        match fault.kind {
            FaultKind::Crash => {
                for e in self.some(&self.executors, fault.size, up) {
                    self.down_and_up(e, fault.duration);
                }
            }
            FaultKind::Hang => {
                self.some(&self.executors, fault.size, up)
                    .iter()
                    .for_each(|e| e.faults.hangs.set(until));
            }
            FaultKind::FastErrors => {
                self.some(&self.executors, fault.size, up)
                    .iter()
                    .for_each(|e| e.faults.fails_at_once.set(until));
            }
            FaultKind::ExecutorsStopReading => {
                for e in self.some(&self.executors, fault.size, up) {
                    e.faults.reads_paused.set(until);
                    let at = self.stage.now();
                    self.stage.record(TrafficRecord::ReadsPaused {
                        at,
                        executor: e.spec.number,
                        until,
                    });
                }
            }
            FaultKind::SlowHandshakes => {
                self.some(&self.executors, fault.size, up)
                    .iter()
                    .for_each(|e| e.faults.slow_handshakes.set(until));
            }
            FaultKind::LateReports => self
                .executors
                .iter()
                .for_each(|e| e.faults.delayed_reports.set(until)),
            FaultKind::RollingDeploy => {
                let some = self.some(&self.executors, fault.size, up);
                let each = fault.duration / some.len() as f64;
                for e in some {
                    self.roll(&e, each.clamp(0.3, 1.2)).await;
                }
            }
            FaultKind::Preemption => {
                for e in self.some(&self.executors, fault.size, up) {
                    self.notify(&e, EndpointState::Draining);
                    e.draining.set(true);
                    self.stage.sleep(0.4).await;
                    e.crash();
                    self.notify(&e, EndpointState::Gone);
                    self.stage.sleep(fault.duration).await;
                    self.bring_up(&e);
                }
            }
            FaultKind::LoseLocation => {
                let lost = (self.stage.unit() * f64::from(self.scenario.locations)) as usize;
                let locations = self.scenario.locations as usize;
                for e in self
                    .executors
                    .iter()
                    .filter(|e| e.spec.number % locations == lost && up(e))
                {
                    self.down_and_up(e.clone(), fault.duration);
                }
            }
            FaultKind::StaleEndpoints => self.publisher.hold_back_until(until),
            FaultKind::PublisherDisconnect => self.publisher.disconnect_all(),
            FaultKind::MassRelease => self.executors.iter().for_each(|e| e.drop_copies()),
            FaultKind::StoreRefuses => self.store.refusing.set(until),
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

    pub(super) fn notify(&self, e: &Executor, state: EndpointState) {
        if let Some(roster) = &self.roster {
            roster.change(e, state);
            return;
        }
        self.publisher.change(e.spec.number, state, e.started_at());
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
