//! The phases of a configuration run, one after the other.

mod faults;

use super::entries;
use super::findings::Findings;
use super::front_ends::{FrontEnds, RunError};
use super::meter::{Meter, Spent};
use super::plan::Plan;
use super::writer::{WriterThread, Written};
use crate::hollow::configuration::client_name;
use crate::size::Injection;
use crate::store::{Command, StoreProcess};
use async_io::Timer;
use orchidtally_config_sync::writer::EntryChange;
use std::time::{Duration, Instant};

/// The front end that an injection plants its fault at.
const FAULTY: usize = 1;
/// The delay of each answer of a slow store, in seconds: above the limit itself.
const SLOW_STORE_DELAY: f64 = 20.0;
/// A configuration run in progress.
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

    /// Runs the phases in order, up to the first in which changes did not come into force.
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
            .read_snapshot(self.plan.start_timeout_s)
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

    /// Logs the result of a phase to standard error; whether the run ends with it.
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
        let (version, functions) = (self.version, self.plan.functions_loaded);
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
            .until_in_force(self.plan.timeout_s, |_| true)
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
}
