//! The figures of the runs beside their limits.

use super::assumptions::LOAD_TIME;
use super::{Counts, Finding, Outcome, Played, Policy, Scenario, Tally};
use crate::report::{Basis, Role, Row};

/// Given with the size: 99 in 100 cold starts within this time, and what control may take of a front end.
const COLD_START_S: f64 = 0.37;
const CONTROL_CPU_SHARE: f64 = 0.048;
const CONTROL_MEMORY_MB: f64 = 64.0;

/// The limits below are not given with the size. They are assumptions of this program.
///
/// One call in a hundred may wait for a load; one front end that saw all calls would need a tenth of that.
const COLD_START_SHARE: f64 = 0.01;
/// One load in four may be of a function that had room elsewhere: it still shortens a way or evens out load.
const BEYOND_NEED_SHARE: f64 = 0.25;
/// As many as a fleet of 36 executors and 150 functions has: three in 24 seconds.
const HERDS_PER_S: f64 = 3.0 / 24.0;
/// Each region can carry its own calls, so that a crossing is an exception.
const CROSSING_SHARE: f64 = 0.05;
const IN_TIME_SHARE: f64 = 0.99;
const REFUSED_SHARE: f64 = 0.001;
/// Through a failure: as in the engine's own tests of a fleet, and what half of that leaves for refusals.
const IN_TIME_SHARE_FAILURE: f64 = 0.95;
const REFUSED_SHARE_FAILURE: f64 = 0.025;
/// The region has a third of the calls and a third of the executors, which carry twice as many calls as come: it
/// could serve all of them on its own but for what was under way as it was cut off.
const CUT_OFF_SERVED_SHARE: f64 = 0.99;

/// The rows of all runs of the dispatch policy; the reference policies only appear on standard error.
pub fn of(outcome: &Outcome) -> Vec<Row> {
    let fewest = outcome
        .played
        .iter()
        .map(|run| run.plan.size.executors)
        .min();
    let mut rows = vec![];
    for run in outcome
        .played
        .iter()
        .filter(|run| run.plan.policy == Policy::Dispatcher)
    {
        let executors = run.plan.size.executors;
        let suffix = if Some(executors) == fewest {
            String::new()
        } else {
            format!("_{executors}")
        };
        rows.extend(of_run(run, &suffix));
    }
    let note = "resident memory of the first runs for each of their front ends, executors included: at the most";
    let row = Row::at_most(
        "fleet_memory_mb",
        Role::FrontEnd,
        "MB",
        CONTROL_MEMORY_MB,
        note,
    );
    rows.push(row.with(outcome.memory_mb.unwrap_or(f64::NAN), Basis::Measured));
    rows
}

fn of_run(run: &Played, suffix: &str) -> Vec<Row> {
    let Finding {
        counts,
        decision_cpu_us,
        ..
    } = &run.finding;
    let scenario = run.plan.scenario;
    let outage = scenario.outage(&(0.0..counts.seconds));
    let about = format!(
        "{}{} with {} executors, {} s measured in simulated time",
        scenario.name(),
        if outage.is_empty() {
            String::new()
        } else {
            format!(
                " for {:.1} s",
                outage.end.min(counts.seconds) - outage.start
            )
        },
        run.plan.size.executors,
        counts.seconds
    );
    let about = match scenario {
        Scenario::Restarts => format!("a day's {about}, thousands of times denser than on the day"),
        _ => about,
    };
    let build = Builder {
        scenario,
        suffix,
        about: &about,
    };
    let mut rows = build.for_each_scenario(counts);
    match scenario {
        Scenario::Calm => {
            rows.extend(build.calm(counts));
            let limit_us = 1e6 * CONTROL_CPU_SHARE / run.plan.size.calls_per_front_end();
            let note = "processor time of engine and policy a call, with all engines of the fleet in one \
                        process; limit: 4.8 % of a core at its calls a second";
            rows.push(build.at_most(
                "fleet_decision_cpu_us",
                "us",
                limit_us,
                *decision_cpu_us,
                note,
            ));
        }
        Scenario::RegionCut => {
            let note = "calls at the region that is cut off, served before the client timeout; limit assumed";
            rows.push(build.cut_off("region_cut_served_share", &counts.cut_off, note));
            let note =
                "the same in the second half of the cut, when what its front ends know has settled";
            rows.push(build.cut_off(
                "region_cut_settled_served_share",
                &counts.cut_off_settled,
                note,
            ));
        }
        Scenario::RackLost | Scenario::ZoneLost | Scenario::Restarts => {}
    }
    rows
}

struct Builder<'a> {
    scenario: Scenario,
    suffix: &'a str,
    about: &'a str,
}

impl Builder<'_> {
    /// Rows of the calm run have plain names.
    fn name(&self, figure: &str) -> String {
        match self.scenario {
            Scenario::Calm => format!("{figure}{}", self.suffix),
            other => format!("{figure}_{}{}", other.name(), self.suffix),
        }
    }

    fn at_most(&self, figure: &str, unit: &str, limit: f64, measured: f64, note: &str) -> Row {
        let note = format!("{}: {note}", self.about);
        Row::at_most(&self.name(figure), Role::Fleet, unit, limit, &note)
            .with(measured, Basis::Measured)
    }

    fn at_least(&self, figure: &str, unit: &str, limit: f64, measured: f64, note: &str) -> Row {
        let note = format!("{}: {note}", self.about);
        Row::at_least(&self.name(figure), Role::Fleet, unit, limit, &note)
            .with(measured, Basis::Measured)
    }

    fn cut_off(&self, figure: &str, tally: &Tally, note: &str) -> Row {
        let name = format!("{figure}{}", self.suffix);
        let note = format!("{}: {note}", self.about);
        let served = tally.share(tally.succeeded);
        Row::at_least(&name, Role::Region, "share", CUT_OFF_SERVED_SHARE, &note)
            .with(served, Basis::Measured)
    }

    fn for_each_scenario(&self, counts: &Counts) -> Vec<Row> {
        let (in_time, refused) = match self.scenario {
            Scenario::Calm => (IN_TIME_SHARE, REFUSED_SHARE),
            _ => (IN_TIME_SHARE_FAILURE, REFUSED_SHARE_FAILURE),
        };
        let all = &counts.all;
        let cold = format!(
            "from a call to its beginning on the copy loaded for it; a load of {LOAD_TIME} s assumed"
        );
        vec![
            self.at_most(
                "cold_start_p99_s",
                "s",
                COLD_START_S,
                counts.cold_start_p99_s,
                &cold,
            ),
            self.at_least(
                "served_in_time_share",
                "share",
                in_time,
                all.share(all.in_time),
                "within the latency objective; limit assumed",
            ),
            self.at_most(
                "refused_share",
                "share",
                refused,
                all.share(all.throttled + all.refused),
                "throttled or refused; limit assumed",
            ),
        ]
    }

    fn calm(&self, counts: &Counts) -> Vec<Row> {
        let cold_share = counts.cold_starts as f64 / counts.calls_begun as f64;
        let beyond_need = counts.loads_beyond_need as f64 / counts.loads as f64;
        let herds = counts.call_herds as f64 / counts.seconds;
        let load_herds = counts.load_herds as f64 / counts.seconds;
        let crossing = counts.crossing as f64 / counts.dispatches as f64;
        vec![
            self.at_most(
                "cold_start_share",
                "share",
                COLD_START_SHARE,
                cold_share,
                "calls begun on a copy that was not loaded when they came; limit assumed",
            ),
            self.at_most(
                "copies_beyond_need_share",
                "share",
                BEYOND_NEED_SHARE,
                beyond_need,
                "loads begun while a loaded copy elsewhere had a free lane; limit assumed",
            ),
            self.at_most(
                "herds_per_s",
                "1/s",
                HERDS_PER_S,
                herds,
                "executors that get far more than their part within 0.25 s; limit: as in a small fleet",
            ),
            self.at_most(
                "load_herds_per_s",
                "1/s",
                HERDS_PER_S,
                load_herds,
                "three front ends or more that have a function loaded within 0.25 s; limit: as for herds",
            ),
            self.at_most(
                "calls_crossing_regions_share",
                "share",
                CROSSING_SHARE,
                crossing,
                "dispatches to another region; limit assumed",
            ),
        ]
    }
}
