//! What one run of the fleet found.

use super::measure::{Ledger, Tally};

/// What a run found; of which `counts` are the same for the same plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// What was counted.
    pub counts: Counts,
    /// Processor time of the engine and the policy a call, in microseconds.
    pub decision_cpu_us: f64,
    /// Functions that the tables of a front end hold at the end, in the mean.
    pub functions_in_tables: f64,
    /// Resident memory of the process at the end of the run.
    pub resident_bytes: Option<u64>,
}

/// What is counted in a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Simulated seconds that were measured.
    pub seconds: f64,
    /// All calls.
    pub all: Tally,
    /// Calls at the region that was cut off, during the cut.
    pub cut_off: Tally,
    /// Those of them in the second half of the cut.
    pub cut_off_settled: Tally,
    /// Calls at the other regions during the cut.
    pub not_cut_off: Tally,
    /// Difference between the calls that arrived and their final answers.
    pub unanswered: u64,
    /// Non-idempotent calls that were begun more than once.
    pub ran_twice: u64,
    /// Final answers to calls that already had one.
    pub answered_twice: u64,
    /// Calls that an executor began.
    pub calls_begun: u64,
    /// Calls that waited for a load.
    pub cold_starts: u64,
    /// Median of the time from arrival to beginning of cold starts, in seconds; NaN if there were none.
    pub cold_start_p50_s: f64,
    /// 99th percentile of the time from arrival to beginning of cold starts, in seconds; NaN if there were none.
    pub cold_start_p99_s: f64,
    /// Dispatches to executors.
    pub dispatches: u64,
    /// Dispatches to another region.
    pub crossing: u64,
    /// Dispatches that executors rejected as full.
    pub rejected: u64,
    /// Loads that executors began.
    pub loads: u64,
    /// Loads that began while a loaded copy elsewhere had a free lane.
    pub loads_beyond_need: u64,
    /// Times at which an executor got far more calls than its part.
    pub call_herds: u64,
    /// Times at which several front ends had the same function loaded.
    pub load_herds: u64,
    /// Copies in all executors at the end.
    pub copies: u64,
    /// Events of the simulation.
    pub events: u64,
}

impl Counts {
    /// The counts of a run that has ended.
    pub(super) fn of(mut ledger: Ledger, copies: u64, events: u64) -> Counts {
        ledger.cold_starts.sort_by(f64::total_cmp);
        let cold = &ledger.cold_starts;
        let quantile = |share: f64| {
            let rank = (cold.len() as f64 * share) as usize;
            cold.get(rank.min(cold.len().saturating_sub(1)))
                .copied()
                .unwrap_or(f64::NAN)
        };
        Counts {
            seconds: ledger.length(),
            all: ledger.all,
            cut_off: ledger.cut_off,
            cut_off_settled: ledger.cut_off_settled,
            not_cut_off: ledger.not_cut_off,
            unanswered: ledger.all.arrived.abs_diff(ledger.all.answered()),
            ran_twice: ledger.ran_twice,
            answered_twice: ledger.answered_twice,
            calls_begun: ledger.calls_begun,
            cold_starts: cold.len() as u64,
            cold_start_p50_s: quantile(0.5),
            cold_start_p99_s: quantile(0.99),
            dispatches: ledger.dispatches,
            crossing: ledger.crossing,
            rejected: ledger.rejected,
            loads: ledger.loads,
            loads_beyond_need: ledger.loads_beyond_need,
            call_herds: ledger.call_herd_count,
            load_herds: ledger.load_herd_count,
            copies,
            events,
        }
    }
}
