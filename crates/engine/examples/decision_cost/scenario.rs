//! What is measured, by the arguments.

use crate::fleet::ZONES;

const FUNCTIONS: usize = 21_000;

#[derive(Clone, Copy, PartialEq)]
pub enum Day {
    /// All executors alike, sound and idle.
    Calm,
    /// They report invocations of other front ends that wait.
    Loaded,
    /// They also differ in weight, drain, restart, fail and move.
    Faults,
}

/// What is measured.
pub struct Scenario {
    pub seconds: f64,
    pub seed: u64,
    pub day: Day,
    pub executors: Vec<u32>,
    pub rate: f64,
    pub exponent: f64,
    pub regions: u32,
}

impl Scenario {
    /// Reads `NAME=VALUE` arguments.
    pub fn from_arguments(arguments: impl Iterator<Item = String>) -> Result<Scenario, String> {
        let executors = vec![36, 300, 1_000, 3_000];
        let mut scenario = Scenario {
            seconds: 120.0,
            seed: 1,
            day: Day::Calm,
            executors,
            rate: 182.0,
            exponent: 1.6,
            regions: 0,
        };
        for argument in arguments {
            let (name, value) = argument
                .split_once('=')
                .ok_or(format!("{argument}: NAME=VALUE is wanted"))?;
            let number = || value.parse::<f64>().map_err(|e| format!("{argument}: {e}"));
            match (name, value) {
                ("seconds", _) => scenario.seconds = number()?,
                ("seed", _) => scenario.seed = number()? as u64,
                ("rate", _) => scenario.rate = number()?,
                ("exponent", _) => scenario.exponent = number()?,
                ("regions", _) => scenario.regions = number()?.clamp(0.0, f64::from(ZONES)) as u32,
                ("day", "calm") => scenario.day = Day::Calm,
                ("day", "loaded") => scenario.day = Day::Loaded,
                ("day", "faults") => scenario.day = Day::Faults,
                ("executors", _) => {
                    let all = value
                        .split(',')
                        .map(|n| n.parse().map_err(|e| format!("{argument}: {e}")));
                    scenario.executors = all.collect::<Result<_, _>>()?;
                }
                _ => return Err(format!("{argument}: there is no such name or value")),
            }
        }
        Ok(scenario)
    }

    /// By the number of functions, the share that the first so many have in all invocations.
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
