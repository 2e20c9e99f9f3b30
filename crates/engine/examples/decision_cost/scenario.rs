//! The scenario that the command line arguments describe.

use crate::fleet::ZONES;

const FUNCTIONS: usize = 21_000;

/// The behaviour of the executors.
#[derive(Clone, Copy, PartialEq)]
pub enum Workload {
    /// All executors are identical, healthy and free of other load.
    Calm,
    /// Executors report waiting invocations of other front ends.
    Loaded,
    /// In addition to the load, executors differ in weight, drain, restart, fail and change their cell.
    Faults,
}

/// The parameters of a measurement.
pub struct Scenario {
    pub seconds: f64,
    pub seed: u64,
    pub workload: Workload,
    pub executors: Vec<u32>,
    pub rate: f64,
    pub exponent: f64,
    pub regions: u32,
}

impl Scenario {
    /// Parses `NAME=VALUE` arguments.
    ///
    /// # Errors
    /// Returns a message that names the invalid argument.
    pub fn from_arguments(arguments: impl Iterator<Item = String>) -> Result<Scenario, String> {
        let executors = vec![36, 300, 1_000, 3_000];
        let mut scenario = Scenario {
            seconds: 120.0,
            seed: 1,
            workload: Workload::Calm,
            executors,
            rate: 182.0,
            exponent: 1.6,
            regions: 0,
        };
        for argument in arguments {
            let (name, value) = argument
                .split_once('=')
                .ok_or(format!("{argument}: expected NAME=VALUE"))?;
            let number = || value.parse::<f64>().map_err(|e| format!("{argument}: {e}"));
            match (name, value) {
                ("seconds", _) => scenario.seconds = number()?,
                ("seed", _) => scenario.seed = number()? as u64,
                ("rate", _) => scenario.rate = number()?,
                ("exponent", _) => scenario.exponent = number()?,
                ("regions", _) => scenario.regions = number()?.clamp(0.0, f64::from(ZONES)) as u32,
                ("day", "calm") => scenario.workload = Workload::Calm,
                ("day", "loaded") => scenario.workload = Workload::Loaded,
                ("day", "faults") => scenario.workload = Workload::Faults,
                ("executors", _) => {
                    let all = value
                        .split(',')
                        .map(|n| n.parse().map_err(|e| format!("{argument}: {e}")));
                    scenario.executors = all.collect::<Result<_, _>>()?;
                }
                _ => return Err(format!("{argument}: unknown name or value")),
            }
        }
        Ok(scenario)
    }

    /// For each rank, the fraction of the invocations that the functions up to this rank have together.
    pub fn cumulative_shares(&self) -> Vec<f64> {
        let weights = (1..=FUNCTIONS).map(|n| (n as f64).powf(-self.exponent));
        let mut cumulative_shares: Vec<f64> = weights
            .scan(0.0, |sum, weight| {
                *sum += weight;
                Some(*sum)
            })
            .collect();
        let all = cumulative_shares[FUNCTIONS - 1];
        cumulative_shares.iter_mut().for_each(|share| *share /= all);
        cumulative_shares
    }
}
