//! The parts of a configuration run, one after the other.

use super::entries::{self, Function};
use super::front_ends::{FrontEnds, RunError};
use super::meter::{Meter, Spent};
use super::plan::Plan;
use super::writer::{WriterThread, Written};
use crate::hollow::configuration::client_name;
use crate::size::Injection;
use crate::store::{Answer, Command, MEMBER_REGIONS, StoreError, StoreProcess, region_of};
use async_io::Timer;
use orchidtally_config_sync::writer::EntryChange;
use std::time::{Duration, Instant};

/// The region that is cut off: the one with a single member.
const CUT_REGION: u32 = 2;
/// The front end that an injection plants its fault at.
const FAULTY: usize = 1;
/// The delay of each answer of a slow store, in seconds: above the limit itself.
const SLOW_STORE_DELAY: f64 = 20.0;
/// Between looks at what calls would be admitted, in seconds.
const ADMISSION_LOOK: f64 = 0.25;
/// How long all members are away while the history is dropped, in seconds, and what is changed meanwhile.
const AWAY_S: f64 = 2.0;
const CHANGES_AWAY: usize = 5;
/// Over so long the bytes of reads are averaged, in seconds.
pub const READ_WINDOW_S: f64 = 5.0;

/// What a run found. Times that stayed `None` were waited for in vain, or their part was not played.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    pub idle: Spent,
    pub daily: Spent,
    pub daily_in_force_s: Option<f64>,
    /// How long the writer took for the burst.
    pub burst_write_s: f64,
    pub burst_in_force_s: Option<f64>,
    /// Most bytes a second that any front end received for configuration in the seconds round the burst.
    pub burst_bytes_per_s: Option<f64>,
    pub member_failure_in_force_s: Option<f64>,
    pub cut_in_force_s: Option<f64>,
    pub cut_heal_s: Option<f64>,
    pub compaction_heal_s: Option<f64>,
    pub return_heal_s: Option<f64>,
    /// The same where their snapshots are older than the burst.
    pub return_after_burst_s: Option<f64>,
    /// Until when after the write a call was admitted somewhere that the change forbids.
    pub revoked_used_s: Option<f64>,
    /// Highest mean bytes a second that any front end read while it caught up.
    pub read_bytes_per_s: f64,
    /// Most bytes that any front end received in one catch-up.
    pub most_caught_up_bytes: u64,
    pub store_heap_bytes: f64,
    /// What was missing where when a part gave up.
    pub missing: Vec<String>,
}

/// The run as it goes on.
pub struct Run<'a> {
    pub plan: &'a Plan,
    pub store: &'a mut StoreProcess,
    pub front_ends: FrontEnds,
    pub writer: WriterThread,
    next_function: usize,
    version: u64,
}

impl<'a> Run<'a> {
    pub fn new(
        plan: &'a Plan,
        store: &'a mut StoreProcess,
        front_ends: FrontEnds,
        writer: WriterThread,
    ) -> Run<'a> {
        Run {
            plan,
            store,
            front_ends,
            writer,
            next_function: 0,
            version: 0,
        }
    }

    /// Plays all parts, or those until one in which changes did not come into force.
    pub async fn play(&mut self, findings: &mut Findings) -> Result<(), RunError> {
        self.plant()?;
        findings.daily_in_force_s = self.daily(findings).await?;
        if self.stops(findings.daily_in_force_s, "single changes", findings) {
            return Ok(());
        }
        // The rest belongs to the seconds round the burst.
        let sampler = self.front_ends.sample_received();
        findings.idle = self.spend_idle().await?;
        findings.burst_in_force_s = self.burst(findings).await?;
        if self.stops(findings.burst_in_force_s, "a burst", findings) {
            return Ok(());
        }
        findings.burst_bytes_per_s = sampler.busiest(self.plan.burst_window_s).await;
        let after_burst = self
            .front_ends
            .read_snapshot(self.plan.start_patience_s)
            .await?;
        let before_burst = std::mem::replace(&mut self.front_ends.snapshot, after_burst);
        findings.member_failure_in_force_s = self.lose_members().await?;
        if self.stops(
            findings.member_failure_in_force_s,
            "two members lost",
            findings,
        ) {
            return Ok(());
        }
        self.cut_region(findings).await?;
        if self.stops(findings.cut_heal_s, "a region cut off and healed", findings) {
            return Ok(());
        }
        findings.compaction_heal_s = self.compact(findings).await?;
        if self.stops(
            findings.compaction_heal_s,
            "a compaction past all watches",
            findings,
        ) {
            return Ok(());
        }
        findings.return_heal_s = self.come_back(findings).await?;
        if self.stops(findings.return_heal_s, "front ends back at once", findings) {
            return Ok(());
        }
        self.front_ends.snapshot = before_burst;
        findings.return_after_burst_s = self.come_back(findings).await?;
        self.stops(
            findings.return_after_burst_s,
            "front ends back at once without the burst",
            findings,
        );
        findings.store_heap_bytes = self.store.usage()?.heap_bytes;
        Ok(())
    }

    fn plant(&mut self) -> Result<(), RunError> {
        let faulty = FAULTY % self.front_ends.count();
        match self.plan.injection {
            None => {}
            Some(Injection::LostChange) => {
                self.store.run(&Command::LoseEvents {
                    client: client_name(faulty),
                })?;
            }
            Some(Injection::StaleView) => self.front_ends.host(faulty).keep_old_view(),
            Some(Injection::SlowStore) => self.store.run(&Command::Delay {
                seconds: SLOW_STORE_DELAY,
            })?,
        }
        Ok(())
    }

    /// Tells of a part on standard error, and whether the run ends with it.
    fn stops(&self, took: Option<f64>, part: &str, findings: &mut Findings) -> bool {
        match took {
            Some(took) => {
                eprintln!("config: {part}: in force after {took:.2} s");
                false
            }
            None => {
                let tracker = self.front_ends.tracker.borrow();
                let missing = tracker.missing(3);
                let count = tracker.missing_front_ends();
                let names: Vec<String> = missing
                    .iter()
                    .map(|m| {
                        format!(
                            "front end {} lacks {} of revision {}",
                            m.front_end, m.key, m.revision
                        )
                    })
                    .collect();
                let text = format!(
                    "{part}: {count} front ends lack changes: {}",
                    names.join(", ")
                );
                eprintln!("config: {text}");
                findings.missing.push(text);
                true
            }
        }
    }

    async fn sleep(&self, seconds: f64) {
        Timer::after(Duration::from_secs_f64(seconds)).await;
    }

    /// Changes of the next functions.
    fn next_changes(&mut self, count: usize) -> Vec<EntryChange> {
        self.next_changes_from(self.next_function, count)
    }

    fn next_changes_from(&mut self, first: usize, count: usize) -> Vec<EntryChange> {
        self.version += 1;
        let (version, functions) = (self.version, self.plan.functions_held);
        self.next_function = (first + count) % functions;
        entries::changes(
            (first..first + count.min(functions)).map(|n| n % functions),
            version,
        )
    }

    /// Writes a change of each of the next functions in one transaction, and tracks it.
    async fn change(&mut self, count: usize) -> Result<(), RunError> {
        let changes = self.next_changes(count);
        self.write(changes).await
    }

    async fn write(&mut self, changes: Vec<EntryChange>) -> Result<(), RunError> {
        let written = self.writer.submit(changes.clone()).await?.written().await?;
        self.track(&changes, written);
        Ok(())
    }

    fn track(&self, changes: &[EntryChange], written: Written) {
        let mut tracker = self.front_ends.tracker.borrow_mut();
        let mut first = None;
        for change in changes {
            let Some(document) = &change.document else {
                continue;
            };
            let number = tracker.written(
                change.key.as_str(),
                document,
                written.revision,
                written.began,
            );
            first.get_or_insert(number);
        }
        // Some may have had it before the writer had its answer.
        let first = first.unwrap_or(0);
        self.front_ends
            .hosts()
            .for_each(|host| tracker.applied_since(first, host.number(), &host.view()));
    }

    /// Waits for all changes at all front ends; the slowest front end's time from before the write.
    async fn slowest(&self) -> Option<f64> {
        self.front_ends
            .until_in_force(self.plan.patience_s, |_| true)
            .await?;
        Some(self.front_ends.tracker.borrow_mut().take_slowest())
    }

    async fn spend_idle(&mut self) -> Result<Spent, RunError> {
        let meter = Meter::start(self)?;
        self.sleep(self.plan.idle_s).await;
        meter.stop(self)
    }

    async fn daily(&mut self, findings: &mut Findings) -> Result<Option<f64>, RunError> {
        let meter = Meter::start(self)?;
        let count = (self.plan.daily_s * self.plan.daily_rate).ceil() as usize;
        for _ in 0..count {
            self.change(1).await?;
            self.sleep(1.0 / self.plan.daily_rate).await;
        }
        findings.daily = meter.stop(self)?;
        Ok(self.slowest().await)
    }

    /// Many changes, as a release makes them, as fast as the store takes them.
    async fn burst(&mut self, findings: &mut Findings) -> Result<Option<f64>, RunError> {
        let began = Instant::now();
        let per_transaction = self.plan.burst_transaction;
        let transactions = self.plan.burst.div_ceil(per_transaction);
        let batches: Vec<Vec<EntryChange>> = (0..transactions)
            .map(|_| self.next_changes(per_transaction))
            .collect();
        let mut pending = vec![];
        for batch in &batches {
            pending.push(self.writer.submit(batch.clone()).await?);
        }
        let mut last = began;
        for (batch, write) in batches.iter().zip(pending) {
            let written = write.written().await?;
            last = last.max(written.answered);
            self.track(batch, written);
        }
        let took = last.duration_since(began).as_secs_f64();
        eprintln!(
            "config: {} changes written within {took:.2} s",
            self.plan.burst
        );
        findings.burst_write_s = took;
        Ok(self.slowest().await)
    }

    /// Two members stop in the middle of a change; the writer tries again until it stands.
    async fn lose_members(&mut self) -> Result<Option<f64>, RunError> {
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
    async fn cut_region(&mut self, findings: &mut Findings) -> Result<(), RunError> {
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
        self.next_function = (number + 1) % self.plan.functions_held;
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
    async fn compact(&mut self, findings: &mut Findings) -> Result<Option<f64>, RunError> {
        for member in 0..MEMBER_REGIONS.len() {
            self.store.run(&Command::StopMember { member })?;
        }
        let began = Instant::now();
        let from = self
            .next_function
            .min(self.plan.functions_held.saturating_sub(CHANGES_AWAY));
        let changes = self.next_changes_from(from, CHANGES_AWAY);
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
        self.sleep(AWAY_S).await;
        for member in 0..MEMBER_REGIONS.len() {
            self.store.run(&Command::RestartMember { member })?;
        }
        let (healed, peak) = self.catch_up(findings).await;
        findings.read_bytes_per_s = findings.read_bytes_per_s.max(peak);
        self.front_ends.tracker.borrow_mut().take_slowest();
        Ok(healed)
    }

    /// Many front ends start anew from their old snapshots at once, whose history is compacted away.
    async fn come_back(&mut self, findings: &mut Findings) -> Result<Option<f64>, RunError> {
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
            if took > self.plan.patience_s {
                return (None, peak);
            }
        }
    }
}
