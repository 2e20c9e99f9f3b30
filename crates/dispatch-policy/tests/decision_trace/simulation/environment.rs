//! Events besides invocations: endpoint lists, prewarming, membership changes, stalls and new settings.

use super::{Event, Simulation};
use crate::fleet::LOAD_TIME;
use crate::scenarios::base_policy;
use orchidtally_dispatch_policy::interface::*;

impl Simulation<'_> {
    pub(super) fn send_full_list(&mut self) {
        let now = self.now();
        if self.random.chance(self.scenario.failed_lists) {
            self.dispatcher.on_endpoint_update(
                now,
                EndpointUpdateKind::Failed,
                &[],
                &mut self.recorder,
            );
            return;
        }
        let endpoints = self.fleet.endpoints();
        self.dispatcher.on_endpoint_update(
            now,
            EndpointUpdateKind::Full,
            &endpoints,
            &mut self.recorder,
        );
    }

    pub(super) fn change_list(&mut self) {
        let now = self.now();
        let endpoint = self.fleet.change(self.scenario, &mut self.random, now);
        if self.random.chance(self.scenario.failed_lists) {
            self.dispatcher.on_endpoint_update(
                now,
                EndpointUpdateKind::Failed,
                &[],
                &mut self.recorder,
            );
        } else if self.random.chance(self.scenario.full_lists) {
            let endpoints = self.fleet.endpoints();
            self.dispatcher.on_endpoint_update(
                now,
                EndpointUpdateKind::Full,
                &endpoints,
                &mut self.recorder,
            );
        } else {
            self.dispatcher.on_endpoint_update(
                now,
                EndpointUpdateKind::Delta,
                &[endpoint],
                &mut self.recorder,
            );
        }
        self.schedule_next(self.scenario.list_changes, Event::ListChange);
    }

    pub(super) fn prewarm(&mut self) {
        let now = self.now();
        let function = self.random.skewed_below(self.scenario.functions) as u64 * 7_919 + 13;
        let load_time = self.random.chance(0.5).then_some(LOAD_TIME);
        let replicas = self.random.below(4);
        let request = PrewarmRequest {
            function,
            concurrency: 2.0,
            load_time,
            replicas,
        };
        let warm = self.dispatcher.prewarm(now, &request, &mut self.recorder);
        self.recorder.note(32, warm as u64);
        self.schedule_next(self.scenario.prewarms, Event::Prewarm);
    }

    pub(super) fn change_membership(&mut self) {
        let now = self.now();
        let slot_count = 1.0 + self.random.below(6) as f64;
        let view = MembershipView {
            front_ends: 1.0 + self.random.below(6) as f64,
            slot_count,
            front_end_index: self.random.below(slot_count as usize) as f64,
            has_budget_share: self.random.chance(0.8),
        };
        self.dispatcher
            .on_membership_change(now, view, &mut self.recorder);
        self.schedule_next(self.scenario.membership_changes, Event::MembershipChange);
    }

    pub(super) fn report_view(&mut self) {
        let now = self.now();
        let asked_at = now - 0.3 * self.random.unit();
        if self.random.chance(0.25) {
            self.dispatcher.on_view_request_unanswered(now, asked_at);
        } else {
            self.dispatcher
                .on_view_confirmed(now, asked_at, &mut self.recorder);
        }
        self.schedule_next(self.scenario.view_reports, Event::ViewReport);
    }

    /// Simulates a process stall: all events that were due meanwhile happen when the process resumes.
    pub(super) fn stall(&mut self) {
        let resumed_at = self.now() + 0.2 + 3.0 * self.random.unit();
        let due: Vec<(u64, u64)> = self
            .events
            .range(..(resumed_at.to_bits(), 0))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let event = self.events.remove(&key);
            self.events
                .extend(event.map(|event| ((resumed_at.to_bits(), key.1), event)));
        }
        self.recorder.now = resumed_at;
        self.dispatcher.on_process_stall(resumed_at);
        self.schedule_next(self.scenario.stalls, Event::Stall);
    }

    pub(super) fn reconfigure(&mut self) {
        let now = self.now();
        let accepted = if self.random.chance(0.5) {
            let quotas: Vec<f64> = (0..self.customers)
                .map(|_| 60.0 * self.random.unit())
                .collect();
            self.dispatcher.set_quotas(now, quotas).is_ok()
        } else {
            self.change_trigger_type(now)
        };
        self.recorder.note(33, accepted.into());
        self.schedule_next(self.scenario.reconfigurations, Event::Reconfiguration);
    }

    fn change_trigger_type(&mut self, now: f64) -> bool {
        let mut types = base_policy().trigger_types;
        let mut changed = types.swap_remove(self.random.below(types.len()));
        changed.latency_objective = 0.3 + self.random.unit();
        let index = self.random.below(self.trigger_types + 2);
        let accepted = self
            .dispatcher
            .set_trigger_type(now, index, changed)
            .is_ok();
        if accepted {
            self.trigger_types = self.trigger_types.max(index + 1);
        }
        assert_eq!(
            accepted,
            self.dispatcher.has_trigger_type(index) && accepted
        );
        accepted
    }
}
