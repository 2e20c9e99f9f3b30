//! The phases of a configuration run in which members, a region, the history or many front ends are lost and come back.

use super::Run;
use crate::config::entries::{self, Function};
use crate::config::findings::{Findings, READ_WINDOW_S};
use crate::config::front_ends::RunError;
use crate::config::writer::Written;
use crate::store::{Answer, Command, MEMBER_REGIONS, StoreError, region_of};
use orchidtally_config_sync::writer::EntryChange;
use std::time::Instant;

/// The region that is cut off: the one with a single member.
const CUT_REGION: u32 = 2;
/// Between looks at what calls would be admitted, in seconds.
const ADMISSION_LOOK: f64 = 0.25;
/// How long all members are away while the history is dropped, in seconds, and what is changed meanwhile.
const OUTAGE_S: f64 = 2.0;
const CHANGES_DURING_OUTAGE: usize = 5;

impl Run<'_> {
    /// Two members stop in the middle of a change; the writer retries until it is committed.
    pub(super) async fn lose_members(&mut self) -> Result<Option<f64>, RunError> {
        self.store.run(&Command::CrashInNextTransaction {
            members: 2,
            committed: false,
        })?;
        self.change(1).await?;
        let slowest = self.slowest().await;
        for member in 0..crate::store::MEMBER_REGIONS.len() {
            self.store.run(&Command::RestartMember { member })?;
        }
        Ok(slowest)
    }

    /// A region is cut off while a permission is taken away and other changes are written; then it heals.
    pub(super) async fn cut_region(&mut self, findings: &mut Findings) -> Result<(), RunError> {
        let number = self.next_function;
        let key = entries::function_key(number);
        let guarded = Function {
            refused_when_stale: true,
            ..Function::version(self.version)
        };
        self.write(vec![EntryChange {
            key: key.clone(),
            document: Some(guarded.document()),
        }])
        .await?;
        if self.slowest().await.is_none() {
            return Ok(());
        }
        self.next_function = (number + 1) % self.plan.functions_loaded;
        self.store.run(&Command::CutRegion { region: CUT_REGION })?;
        let revoked = Function {
            allowed: false,
            ..guarded
        };
        let written_at = Instant::now();
        self.write(vec![EntryChange {
            key: key.clone(),
            document: Some(revoked.document()),
        }])
        .await?;
        self.change(1).await?;
        let mut used = 0.0_f64;
        while written_at.elapsed().as_secs_f64() < self.plan.cut_s {
            self.sleep(ADMISSION_LOOK).await;
            if self
                .front_ends
                .hosts()
                .any(|host| host.admits(key.as_str()))
            {
                used = written_at.elapsed().as_secs_f64();
            }
        }
        findings.revoked_used_s = Some(used);
        let reachable = |front_end| region_of(front_end) != CUT_REGION;
        if self.front_ends.tracker.borrow().is_in_force(reachable) {
            findings.cut_in_force_s = Some(self.front_ends.tracker.borrow_mut().take_slowest());
        }
        self.store.run(&Command::Heal)?;
        let (healed, peak) = self.catch_up(findings).await;
        findings.read_bytes_per_s = findings.read_bytes_per_s.max(peak);
        findings.cut_heal_s = healed;
        self.front_ends.tracker.borrow_mut().take_slowest();
        Ok(())
    }

    /// All members are away while changes are committed and the history is dropped: all watches are overtaken.
    pub(super) async fn compact(
        &mut self,
        findings: &mut Findings,
    ) -> Result<Option<f64>, RunError> {
        for member in 0..MEMBER_REGIONS.len() {
            self.store.run(&Command::StopMember { member })?;
        }
        let began = Instant::now();
        let from = self.next_function.min(
            self.plan
                .functions_loaded
                .saturating_sub(CHANGES_DURING_OUTAGE),
        );
        let changes = self.next_changes_from(from, CHANGES_DURING_OUTAGE);
        let version = self.version;
        let count = changes.len();
        let answer = self.store.ask(&Command::ChangeFunctions {
            from,
            count,
            version,
        })?;
        let Answer::Changed { revision } = answer else {
            return Err(StoreError::Failed(format!("{answer:?} instead of a revision")).into());
        };
        self.track(
            &changes,
            Written {
                revision,
                began,
                answered: Instant::now(),
            },
        );
        self.store.run(&Command::Compact)?;
        self.sleep(OUTAGE_S).await;
        for member in 0..MEMBER_REGIONS.len() {
            self.store.run(&Command::RestartMember { member })?;
        }
        let (healed, peak) = self.catch_up(findings).await;
        findings.read_bytes_per_s = findings.read_bytes_per_s.max(peak);
        self.front_ends.tracker.borrow_mut().take_slowest();
        Ok(healed)
    }

    /// Many front ends restart at once from old snapshots, whose history has been compacted.
    pub(super) async fn come_back(
        &mut self,
        findings: &mut Findings,
    ) -> Result<Option<f64>, RunError> {
        for number in 0..self.plan.returning {
            self.front_ends.restart(number)?;
        }
        let (healed, peak) = self.catch_up(findings).await;
        findings.read_bytes_per_s = findings.read_bytes_per_s.max(peak);
        Ok(healed)
    }

    /// Waits until all front ends have all changes: the seconds that it took, and the highest mean bytes a second that
    /// any front end received meanwhile.
    async fn catch_up(&self, findings: &mut Findings) -> (Option<f64>, f64) {
        let began = Instant::now();
        let mut peak = 0.0_f64;
        let at_start = self.front_ends.received_for_configuration();
        let mut before = at_start.clone();
        loop {
            let window = Instant::now();
            let waited = self
                .front_ends
                .until_in_force(READ_WINDOW_S, |_| true)
                .await;
            // What was not read for a whole window is averaged over one all the same.
            let seconds = window.elapsed().as_secs_f64().max(READ_WINDOW_S);
            let received = self.front_ends.received_for_configuration();
            let highest = received
                .iter()
                .zip(&before)
                .map(|(now, then)| now.saturating_sub(*then))
                .max();
            peak = peak.max(highest.unwrap_or(0) as f64 / seconds);
            let most = received
                .iter()
                .zip(&at_start)
                .map(|(now, then)| now.saturating_sub(*then))
                .max();
            findings.most_caught_up_bytes = findings.most_caught_up_bytes.max(most.unwrap_or(0));
            before = received;
            let took = began.elapsed().as_secs_f64();
            if waited.is_some() {
                return (Some(took), peak);
            }
            if took > self.plan.timeout_s {
                return (None, peak);
            }
        }
    }
}
