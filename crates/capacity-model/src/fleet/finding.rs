//! What one run of the fleet found.

use super::measure::{Ledger, Tally};

/// What a run found; of which `counts` are the same for the same plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub counts: Counts,
    /// Processor time of the engine and the policy a call, in microseconds.
    pub decision_cpu_us: f64,
    /// Functions that the tables of a front end hold at the end, in the mean.
    pub functions_kept: f64,
    /// Resident memory of the process at the end of the run.
    pub resident_bytes: Option<u64>,
}

/// What is counted in a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    pub seconds: f64,
    pub all: Tally,
    pub cut_off: Tally,
    pub cut_off_settled: Tally,
    pub not_cut_off: Tally,
    pub unanswered: u64,
    pub ran_twice: u64,
    pub answered_twice: u64,
    pub calls_begun: u64,
    pub cold_starts: u64,
    /// From arrival to beginning of cold starts: the median and 99 in 100; not a number where there were none.
    pub cold_start_p50_s: f64,
    pub cold_start_p99_s: f64,
    pub dispatches: u64,
    pub crossing: u64,
    pub rejected: u64,
    pub loads: u64,
    pub loads_beyond_need: u64,
    pub call_herds: u64,
    pub load_herds: u64,
    /// Copies in all executors at the end.
    pub copies: u64,
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
