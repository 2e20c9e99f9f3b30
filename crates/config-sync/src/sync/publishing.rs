//! Publishes views to the host, reports to the writer, and snapshots to the disk.

use super::ConfigSync;
use crate::action::Action;
use crate::report::Report;
use crate::schema::Schema;
use crate::snapshot::{self, SnapshotOrigin};

/// A report is sent again if it isn't acknowledged within this many report intervals.
const REPORT_TIMEOUT_INTERVALS: f64 = 3.0;

/// A report that isn't acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct OpenReport {
    sequence: u64,
    /// When the report is sent again.
    deadline: f64,
}

/// When reports and snapshots are due.
#[derive(Debug)]
pub(super) struct Publishing {
    report_due: f64,
    reported_at: f64,
    sequence: u64,
    /// The report that isn't acknowledged yet.
    open_report: Option<OpenReport>,
    snapshot_due: f64,
    snapshot_at: f64,
}

impl Default for Publishing {
    fn default() -> Publishing {
        Publishing {
            report_due: f64::INFINITY,
            reported_at: f64::NEG_INFINITY,
            sequence: 0,
            open_report: None,
            snapshot_due: f64::INFINITY,
            snapshot_at: f64::NEG_INFINITY,
        }
    }
}

impl<S: Schema> ConfigSync<S> {
    /// Handles that the report with this sequence number is in the store.
    pub fn on_reported(&mut self, _now: f64, sequence: u64) {
        if self
            .publishing
            .open_report
            .is_some_and(|open| open.sequence == sequence)
        {
            self.publishing.open_report = None;
        }
    }

    /// Handles that the report with this sequence number couldn't be put, or that its lease has expired: a new report
    /// is scheduled.
    pub fn on_report_failed(&mut self, now: f64, sequence: u64) {
        if sequence == self.publishing.sequence {
            self.publishing.open_report = None;
            self.schedule_report(now);
        }
    }

    /// The present report.
    pub fn report(&self) -> Report {
        let (rejections, omitted) = self.applier.rejections();
        let all = rejections.len() + self.invalid_keys.len() + omitted;
        let named = rejections.into_iter().chain(self.invalid_keys.values());
        let rejected: Vec<_> = named
            .take(self.settings.max_reported_rejections)
            .cloned()
            .collect();
        Report {
            sequence: self.publishing.sequence,
            applied_revision: self.applied_revision,
            generation: self.view_source.map_or(0, |source| source.generation),
            cluster: self.view_source.map_or(0, |source| source.cluster),
            state: self.state(),
            rejected_omitted: all - rejected.len(),
            rejected,
            digest_faults: self.digest_faults,
        }
    }

    /// Schedules a report after a change of its contents. Reports of front ends that saw the same change are spread
    /// over an interval.
    pub(super) fn schedule_report(&mut self, now: f64) {
        if self.publishing.report_due < f64::INFINITY {
            return;
        }
        let interval = self.settings.report_interval;
        let due = now + self.random_below(interval);
        self.publishing.report_due = due.max(self.publishing.reported_at + interval);
    }

    /// Schedules a report over a new connection, spread over an interval.
    pub(super) fn restart_reports(&mut self, now: f64) {
        self.publishing.open_report = None;
        self.publishing.report_due = f64::INFINITY;
        self.schedule_report(now);
    }

    /// Publishes a new view in force, or new rejections.
    pub(super) fn publish_change(&mut self, now: f64) {
        self.announce_view();
        self.schedule_report(now);
        self.schedule_retry(now);
        let due = self.publishing.snapshot_at + self.settings.snapshot_interval;
        self.publishing.snapshot_due = self.publishing.snapshot_due.min(due.max(now));
    }

    pub(super) fn publishing_timer(&self) -> f64 {
        self.report_timer().min(self.publishing.snapshot_due)
    }

    pub(super) fn run_publishing_timer(&mut self, now: f64) {
        if now >= self.report_timer() {
            self.send_report(now);
        }
        if now >= self.publishing.snapshot_due {
            self.write_snapshot(now);
        }
    }

    fn report_timer(&self) -> f64 {
        if !self.is_connected() {
            return f64::INFINITY;
        }
        let resend_at = self
            .publishing
            .open_report
            .map_or(f64::INFINITY, |open| open.deadline);
        self.publishing.report_due.min(resend_at)
    }

    fn send_report(&mut self, now: f64) {
        self.publishing.sequence += 1;
        let timeout = self.settings.report_interval * REPORT_TIMEOUT_INTERVALS;
        self.publishing.open_report = Some(OpenReport {
            sequence: self.publishing.sequence,
            deadline: now + timeout,
        });
        self.publishing.report_due = f64::INFINITY;
        self.publishing.reported_at = now;
        let report = self.report();
        self.actions
            .retain(|action| !matches!(action, Action::Report(_)));
        self.actions.push_back(Action::Report(report));
    }

    fn write_snapshot(&mut self, now: f64) {
        let Some(source) = self.view_source else {
            return;
        };
        self.publishing.snapshot_due = f64::INFINITY;
        self.publishing.snapshot_at = now;
        let revision = self.applied_revision;
        let origin = SnapshotOrigin {
            cluster: source.cluster,
            generation: source.generation,
            revision,
        };
        let view = self.applier.view();
        let bytes = snapshot::encode(origin, &self.stored, view, self.applier.blocked_keys());
        self.actions
            .retain(|action| !matches!(action, Action::WriteSnapshot { .. }));
        self.actions
            .push_back(Action::WriteSnapshot { revision, bytes });
    }
}
