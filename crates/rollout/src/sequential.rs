//! A sequential test that stays valid however often it is looked at.
//!
//! Given that an event (an error, a slow answer) happened in a slot, and that the versions are alike, it fell on the
//! new version with a known probability: the share. Against that hypothesis stand bets that the odds are some times
//! higher. The wealth of a bet is multiplied by the likelihood ratio of each event. Where the versions are alike its
//! expectation never grows, so that it ever exceeds 1/a with a probability of a at the most (Ville's inequality for
//! nonnegative supermartingales). A trouble may begin at any time, so that the wealth is spread over beginnings: the
//! bet that starts with block j has 1/(j(j+1)) of it. One number for each odds carries all beginnings, as a product
//! over the slots since j is a quotient of products since the start.

use crate::evidence::{Cell, Counts, Slot};
use crate::plan::{Gate, Plan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The odds that are bet on.
const ODDS: [f64; 6] = [1.25, 1.5, 2.0, 3.0, 5.0, 10.0];
/// Seconds from one beginning of bets to the next.
const BLOCK: f64 = 10.0;
/// The least probability that a bet takes for either version.
const LEAST_SHARE: f64 = 1e-4;
/// The most groups of each kind that are tested by themselves.
const MAX_GROUPS: usize = 64;

/// The greatest wealth of a bet.
const MAX_WEALTH: f64 = 1e100;

/// The events of one slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Events {
    /// The probability with which each fell on the new version, if the versions are alike.
    pub p: f64,
    /// Events of the new version.
    pub new: u64,
    /// Events of both versions.
    pub all: u64,
}

/// The e-process of one group: the wealth of all bets that have begun.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EProcess {
    /// The wealth of the bets that have begun, by odds.
    played: [f64; ODDS.len()],
    /// The number of beginnings.
    begun: u64,
}

impl EProcess {
    /// Begins one more bet.
    pub fn begin(&mut self) {
        self.begun += 1;
        let initial = 1.0 / (self.begun as f64 * (self.begun as f64 + 1.0));
        self.played.iter_mut().for_each(|wealth| *wealth += initial);
    }

    /// Adds the events of a slot.
    pub fn note(&mut self, events: Events) {
        if events.all == 0 {
            return;
        }
        let p = events.p.clamp(LEAST_SHARE, 1.0 - LEAST_SHARE);
        let (new, old) = (
            events.new as f64,
            (events.all - events.new.min(events.all)) as f64,
        );
        for (wealth, odds) in self.played.iter_mut().zip(ODDS) {
            let bet = odds * p / (odds * p + 1.0 - p);
            let gain = new * (bet / p).ln() + old * ((1.0 - bet) / (1.0 - p)).ln();
            // Beyond this it is decided; it has to stay finite.
            *wealth = (*wealth * gain.exp()).min(MAX_WEALTH);
        }
    }

    /// The factor by which the wealth has grown: the evidence that the new version is worse, as odds to 1.
    pub fn evidence(&self) -> f64 {
        let unstarted = 1.0 / (self.begun as f64 + 1.0);
        self.played.iter().map(|p| p + unstarted).sum::<f64>() / ODDS.len() as f64
    }
}

/// Invocations that are tested together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Stratum {
    /// All invocations.
    All,
    /// Those of a trigger type, by index.
    TriggerType(u16),
    /// Those of a customer, by index.
    Customer(u16),
    /// Those taken at a location, by index.
    Location(u16),
}

impl Stratum {
    fn of(cell: Cell) -> [Stratum; 4] {
        [
            Stratum::All,
            Stratum::TriggerType(cell.trigger_type),
            Stratum::Customer(cell.customer),
            Stratum::Location(cell.location),
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

/// The weights of the kinds of groups: half of the wealth is on all together, the rest is spread evenly.
const KIND_WEIGHTS: [f64; 4] = [0.5, 1.0 / 6.0, 1.0 / 6.0, 1.0 / 6.0];

/// One gate's test.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Test {
    /// By group, in the order in which they were first seen within their kind.
    groups: Vec<(Stratum, EProcess)>,
}

impl Test {
    /// The n-th group of a kind has 1/(n(n+1)) of its weight; the rest has not been bet.
    fn weights(&self) -> impl Iterator<Item = (f64, &EProcess)> {
        let mut seen = [0u32; KIND_WEIGHTS.len()];
        self.groups.iter().map(move |(group, process)| {
            let n = &mut seen[group.kind()];
            *n += 1;
            let part = if group.kind() == 0 {
                1.0
            } else {
                1.0 / (f64::from(*n) * f64::from(*n + 1))
            };
            (KIND_WEIGHTS[group.kind()] * part, process)
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

    /// The group with the strongest evidence.
    fn strongest(&self) -> Option<(Stratum, f64)> {
        let by_group = self
            .groups
            .iter()
            .zip(self.weights())
            .map(|((g, s), (w, _))| (*g, w * s.evidence()));
        by_group.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// The e-process of a group; `None` where too many groups of its kind are tested.
    fn process(&mut self, group: Stratum, begun: u64) -> Option<&mut EProcess> {
        if let Some(n) = self.groups.iter().position(|(g, _)| *g == group) {
            return Some(&mut self.groups[n].1);
        }
        if self
            .groups
            .iter()
            .filter(|(g, _)| g.kind() == group.kind())
            .count()
            >= MAX_GROUPS
        {
            return None;
        }
        // The earlier beginnings of a group that comes late had no events, which leaves them as they were.
        let mut process = EProcess::default();
        (0..begun).for_each(|_| process.begin());
        self.groups.push((group, process));
        self.groups.last_mut().map(|g| &mut g.1)
    }
}

/// The tests of all gates of one rollout.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tests {
    gates: BTreeMap<Gate, Test>,
    begun: u64,
    next_at: f64,
}

/// The events of a slot that a gate counts. `None` where the slot can't tell the versions apart.
pub fn events(plan: &Plan, gate: Gate, slot: &Slot) -> Option<Events> {
    let hold = plan.gate(gate)?;
    let (old, new) = (slot.old.events[gate.index()], slot.new.events[gate.index()]);
    // Where many invocations share a key, and for loads, the share is that of what was seen.
    let seen = |c: &Counts| c.exposed(gate) as f64;
    let share = if plan.key.is_shared() || gate == Gate::LoadFailures {
        seen(&slot.new) / (seen(&slot.new) + seen(&slot.old))
    } else {
        slot.share
    };
    if !(share > 0.0 && share < 1.0) {
        return None;
    }
    // The slow gates' ratio is in the threshold by which answers were counted.
    let ratio = if matches!(gate, Gate::Slow | Gate::SlowTail) {
        1.0
    } else {
        hold.ratio
    };
    Some(Events {
        p: ratio * share / (ratio * share + 1.0 - share),
        new,
        all: old + new,
    })
}

impl Tests {
    /// Adds the slots of a time that has passed. Those of an earlier time have to be added first.
    pub fn note(&mut self, plan: &Plan, now: f64, slots: &[Slot]) {
        if now >= self.next_at {
            self.next_at = now + BLOCK;
            self.begun += 1;
            self.gates
                .values_mut()
                .flat_map(|t| &mut t.groups)
                .for_each(|(_, s)| s.begin());
        }
        for hold in &plan.gates {
            let test = self.gates.entry(hold.gate).or_default();
            for slot in slots {
                let Some(events) = events(plan, hold.gate, slot).filter(|e| e.all > 0) else {
                    continue;
                };
                for group in Stratum::of(slot.cell) {
                    if let Some(process) = test.process(group, self.begun) {
                        process.note(events);
                    }
                }
            }
        }
    }

    /// The evidence of a gate that the new version is worse, as odds to 1.
    pub fn evidence(&self, gate: Gate) -> f64 {
        self.gates.get(&gate).map_or(1.0, Test::evidence)
    }

    /// The group with the strongest evidence of a gate, and that evidence.
    pub fn strongest(&self, gate: Gate) -> Option<(Stratum, f64)> {
        self.gates.get(&gate)?.strongest()
    }
}
