//! An anytime-valid sequential test (e-process): repeated evaluation doesn't raise its false positive rate.
//!
//! Under the null hypothesis that the versions behave alike, an event (an error, a slow answer) in a slot falls on the
//! new version with a known probability: the share. The test bets against this hypothesis that the odds are some factor
//! higher. Each event multiplies the wealth of a bet by its likelihood ratio. Under the null hypothesis the expected
//! wealth never grows, so that it ever exceeds 1/a with probability of at most a (Ville's inequality for nonnegative
//! supermartingales). A regression may begin at any time, so the wealth is spread over start times: the bet that starts
//! with block j has 1/(j(j+1)) of it. One number for each factor represents all start times, since a product over the
//! slots since j is a quotient of products since the start.

use crate::evidence::{Counts, Slot, StratumKey};
use crate::plan::{Gate, Plan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The factors of the odds on which bets are placed.
const ODDS: [f64; 6] = [1.25, 1.5, 2.0, 3.0, 5.0, 10.0];
/// Interval at which bets start, in seconds.
const BLOCK_DURATION: f64 = 10.0;
/// The least probability of either version in a bet.
const MIN_SHARE: f64 = 1e-4;
/// The most strata of each kind that are tested separately.
const MAX_STRATA: usize = 64;

/// The highest wealth of a bet.
const MAX_WEALTH: f64 = 1e100;

/// The events of one slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Events {
    /// The probability that each event falls on the new version, if the versions behave alike.
    pub p: f64,
    /// Events of the new version.
    pub new: u64,
    /// Events of both versions.
    pub all: u64,
}

/// The e-process of one stratum: the wealth of all bets that have started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EProcess {
    /// Wealth of the bets that have started, by factor of the odds.
    #[serde(rename = "played")]
    wealth: [f64; ODDS.len()],
    /// Number of start times so far.
    #[serde(rename = "begun")]
    bets_started: u64,
}

impl EProcess {
    /// Starts another bet.
    pub fn start_bet(&mut self) {
        self.bets_started += 1;
        let initial = 1.0 / (self.bets_started as f64 * (self.bets_started as f64 + 1.0));
        self.wealth.iter_mut().for_each(|wealth| *wealth += initial);
    }

    /// Records the events of a slot.
    pub fn record(&mut self, events: Events) {
        if events.all == 0 {
            return;
        }
        let p = events.p.clamp(MIN_SHARE, 1.0 - MIN_SHARE);
        let (new, old) = (
            events.new as f64,
            (events.all - events.new.min(events.all)) as f64,
        );
        for (wealth, odds) in self.wealth.iter_mut().zip(ODDS) {
            let bet = odds * p / (odds * p + 1.0 - p);
            let gain = new * (bet / p).ln() + old * ((1.0 - bet) / (1.0 - p)).ln();
            // The limit only keeps the wealth finite: any threshold is exceeded long before.
            *wealth = (*wealth * gain.exp()).min(MAX_WEALTH);
        }
    }

    /// Returns the factor by which the wealth has grown: the evidence that the new version is worse, as odds to 1.
    pub fn evidence(&self) -> f64 {
        let unstarted = 1.0 / (self.bets_started as f64 + 1.0);
        self.wealth.iter().map(|p| p + unstarted).sum::<f64>() / ODDS.len() as f64
    }
}

/// A stratum whose invocations are tested together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Stratum {
    /// All invocations.
    All,
    /// The invocations of a trigger type, by index.
    TriggerType(u16),
    /// The invocations of a customer, by index.
    Customer(u16),
    /// The invocations at a location, by index.
    Location(u16),
}

impl Stratum {
    fn containing(key: StratumKey) -> [Stratum; 4] {
        [
            Stratum::All,
            Stratum::TriggerType(key.trigger_type),
            Stratum::Customer(key.customer),
            Stratum::Location(key.location),
        ]
    }

    fn kind(self) -> usize {
        match self {
            Stratum::All => 0,
            Stratum::TriggerType(_) => 1,
            Stratum::Customer(_) => 2,
            Stratum::Location(_) => 3,
        }
    }
}

/// The weights of the kinds of strata: half of the wealth is bet on all invocations, the rest is split evenly.
const KIND_WEIGHTS: [f64; 4] = [0.5, 1.0 / 6.0, 1.0 / 6.0, 1.0 / 6.0];

/// One gate's test.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct GateTest {
    /// By stratum, in the order in which they first had events.
    #[serde(rename = "groups")]
    strata: Vec<(Stratum, EProcess)>,
}

impl GateTest {
    /// Returns the weight of each stratum: the n-th of a kind has 1/(n(n+1)) of the kind's weight. The rest is not bet.
    fn weights(&self) -> impl Iterator<Item = (f64, &EProcess)> {
        let mut seen = [0u32; KIND_WEIGHTS.len()];
        self.strata.iter().map(move |(stratum, process)| {
            let n = &mut seen[stratum.kind()];
            *n += 1;
            let part = if stratum.kind() == 0 {
                1.0
            } else {
                1.0 / (f64::from(*n) * f64::from(*n + 1))
            };
            (KIND_WEIGHTS[stratum.kind()] * part, process)
        })
    }

    fn evidence(&self) -> f64 {
        let (mut weight, mut sum) = (0.0, 0.0);
        for (w, process) in self.weights() {
            weight += w;
            sum += w * process.evidence();
        }
        sum + (1.0 - weight)
    }

    /// Returns the stratum with the strongest evidence, and that evidence.
    fn strongest(&self) -> Option<(Stratum, f64)> {
        let by_stratum = self
            .strata
            .iter()
            .zip(self.weights())
            .map(|((stratum, process), (weight, _))| (*stratum, weight * process.evidence()));
        by_stratum.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the e-process of a stratum; `None` if too many strata of its kind are tested.
    fn process(&mut self, stratum: Stratum, blocks_started: u64) -> Option<&mut EProcess> {
        if let Some(n) = self.strata.iter().position(|(known, _)| *known == stratum) {
            return Some(&mut self.strata[n].1);
        }
        if self
            .strata
            .iter()
            .filter(|(known, _)| known.kind() == stratum.kind())
            .count()
            >= MAX_STRATA
        {
            return None;
        }
        // A stratum that appears late had no events in earlier blocks, which leaves their bets unchanged.
        let mut process = EProcess::default();
        (0..blocks_started).for_each(|_| process.start_bet());
        self.strata.push((stratum, process));
        self.strata.last_mut().map(|(_, process)| process)
    }
}

/// The tests of all gates of one rollout.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SequentialTests {
    gates: BTreeMap<Gate, GateTest>,
    #[serde(rename = "begun")]
    blocks_started: u64,
    next_at: f64,
}

/// Returns the events of a slot that a gate counts; `None` if the slot has invocations of only one version.
pub fn events(plan: &Plan, gate: Gate, slot: &Slot) -> Option<Events> {
    let policy = plan.gate(gate)?;
    let (old, new) = (slot.old.events[gate.index()], slot.new.events[gate.index()]);
    // If invocations share keys, and for loads, the actual share is used.
    let samples = |counts: &Counts| counts.sample_count(gate) as f64;
    let share = if plan.key.is_shared() || gate == Gate::LoadFailures {
        samples(&slot.new) / (samples(&slot.new) + samples(&slot.old))
    } else {
        slot.share
    };
    if !(share > 0.0 && share < 1.0) {
        return None;
    }
    // The ratio of latency gates is in the threshold by which front ends count slow answers.
    let ratio = if matches!(gate, Gate::Slow | Gate::SlowTail) {
        1.0
    } else {
        policy.ratio
    };
    Some(Events {
        p: ratio * share / (ratio * share + 1.0 - share),
        new,
        all: old + new,
    })
}

impl SequentialTests {
    /// Records the slots up to `now`, in the order of time.
    pub fn record(&mut self, plan: &Plan, now: f64, slots: &[Slot]) {
        if now >= self.next_at {
            self.next_at = now + BLOCK_DURATION;
            self.blocks_started += 1;
            self.gates
                .values_mut()
                .flat_map(|test| &mut test.strata)
                .for_each(|(_, process)| process.start_bet());
        }
        for policy in &plan.gates {
            let test = self.gates.entry(policy.gate).or_default();
            for slot in slots {
                let Some(events) = events(plan, policy.gate, slot).filter(|events| events.all > 0)
                else {
                    continue;
                };
                for stratum in Stratum::containing(slot.stratum) {
                    if let Some(process) = test.process(stratum, self.blocks_started) {
                        process.record(events);
                    }
                }
            }
        }
    }

    /// Returns the evidence of a gate that the new version is worse, as odds to 1.
    pub fn evidence(&self, gate: Gate) -> f64 {
        self.gates.get(&gate).map_or(1.0, GateTest::evidence)
    }

    /// Returns the stratum with the strongest evidence of a gate, and that evidence.
    pub fn strongest(&self, gate: Gate) -> Option<(Stratum, f64)> {
        self.gates.get(&gate)?.strongest()
    }
}
