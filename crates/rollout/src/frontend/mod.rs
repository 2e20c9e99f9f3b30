//! A front end's part of a rollout: which version an invocation gets, what it came to, which copies are loaded ahead,
//! and what to do while no coordinator can be reached.
//!
//! A front end takes a step no sooner than a copy of the new version is known here, goes back at once, and never
//! advances by itself.

mod adopt;
mod load_ahead;
mod local;
mod outcomes;
mod report;

pub use load_ahead::PrewarmCommand;
pub use outcomes::AnswerOutcome;
pub use report::EvidenceReport;

use crate::evidence::{Arm, Cell, Delta};
use crate::plan::Key;
use crate::split::{self, Caller};
use crate::state::{Epoch, Phase, Published};
use local::LocalRollout;
use orchidtally_deployment::{Function, Version};
use outcomes::FailingExecutors;
use std::collections::HashMap;

/// Loads are no invocation's, so that they have a cell of their own in each location.
const LOADS_INDEX: u16 = u16::MAX;
/// The greatest index of a trigger type or customer in a cell.
const MAX_CELL_INDEX: usize = LOADS_INDEX as usize - 1;

/// The version of an invocation.
#[derive(Clone, Debug)]
pub struct Resolved {
    /// The version.
    pub version: Version,
    /// Set where a rollout chose it.
    pub invoked: Option<Invoked>,
}

/// An invocation that counts as evidence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Invoked {
    /// The run of the rollout.
    pub run: u64,
    /// Whether it has the old or the new version.
    pub arm: Arm,
    cell: Cell,
    share: f64,
    /// The hash of its key, where many invocations share one.
    key: Option<u64>,
}

/// Whether an invocation of a version that was taken back may go to the old one: where nothing has run, or where
/// running again is harmless. Tokens are remembered by version, so that a tokened one may not.
pub fn may_move(is_idempotent: bool, may_have_run: bool) -> bool {
    is_idempotent || !may_have_run
}

/// How a front end stands among the others.
#[derive(Clone, Copy, Debug)]
pub struct FrontEndLocation {
    /// The index of the front end.
    pub index: u32,
    /// The number of front ends.
    pub count: u32,
    /// The index of its location.
    pub location: u16,
    /// Whether copies are loaded by orders; otherwise the first invocations load them.
    pub orders: bool,
    /// Seconds for which an idle copy stays.
    pub keep_alive: f64,
}

/// What a front end knows of all rollouts. Times are in seconds.
#[derive(Debug)]
pub struct TrafficSplit {
    place: FrontEndLocation,
    published: Published,
    newest_epoch: Epoch,
    /// Rollouts by the name of their function.
    locals: HashMap<String, LocalRollout>,
    /// When a coordinator was last heard.
    heard_at: f64,
    judged_at: f64,
    round: u64,
    /// Evidence that no coordinator has been told.
    unreported: Vec<Delta>,
    failing: FailingExecutors,
}

impl TrafficSplit {
    /// A front end that knows of no rollout.
    pub fn new(place: FrontEndLocation, now: f64) -> TrafficSplit {
        TrafficSplit {
            place,
            published: Published::default(),
            newest_epoch: Epoch::default(),
            locals: HashMap::new(),
            heard_at: now,
            judged_at: now,
            round: 0,
            unreported: vec![],
            failing: FailingExecutors::default(),
        }
    }

    /// What was last taken from a coordinator.
    pub fn published(&self) -> &Published {
        &self.published
    }

    /// The sticky key of the rollout of a function, if one is on.
    pub fn key(&self, function: &str) -> Option<&Key> {
        let local = self.locals.get(function).filter(|local| !local.is_over());
        local.map(|local| &local.rollout.plan.key)
    }

    /// The digest that an alias names now, where it has moved since the deployment file.
    pub fn alias(&self, function: &str, alias: &str) -> Option<&str> {
        self.published
            .aliases
            .get(function)?
            .get(alias)
            .map(String::as_str)
    }

    /// The version that an invocation gets, once, when it is taken. `asked` is an alias or digest that it names.
    pub fn resolve(
        &mut self,
        function: &Function,
        asked: Option<&str>,
        trigger_type: usize,
        customer: usize,
        who: &Caller,
    ) -> Option<Resolved> {
        let alias = asked.unwrap_or("stable");
        let moved = self
            .alias(&function.name, alias)
            .and_then(|digest| function.version(digest));
        let named = moved.or_else(|| function.version(alias));
        let unsplit = || {
            named.map(|version| Resolved {
                version: version.clone(),
                invoked: None,
            })
        };
        let Some(local) = self.locals.get_mut(&*function.name) else {
            return unsplit();
        };
        local.taken += 1;
        let plan = &local.rollout.plan;
        let is_split = !local.is_over() && plan.alias == alias;
        let versions = (&local.from, &local.to);
        let (Some(step), (Some(from), Some(to)), true) =
            (local.step_in_force(), versions, is_split)
        else {
            return unsplit();
        };
        let share = split::share(plan, step, who);
        let arm = if split::place(local.rollout.run, who.key) < share {
            Arm::New
        } else {
            Arm::Old
        };
        let cell = Cell {
            trigger_type: trigger_type.min(MAX_CELL_INDEX) as u16,
            customer: customer.min(MAX_CELL_INDEX) as u16,
            location: self.place.location,
        };
        let key = plan
            .key
            .is_shared()
            .then(|| xxhash_rust::xxh3::xxh3_64(who.key.as_bytes()));
        let invoked = Invoked {
            run: local.rollout.run,
            arm,
            cell,
            share,
            key,
        };
        let version = if arm == Arm::New { to } else { from };
        Some(Resolved {
            version: version.clone(),
            invoked: Some(invoked),
        })
    }

    fn local_of(&mut self, run: u64) -> Option<&mut LocalRollout> {
        self.locals
            .values_mut()
            .find(|local| local.rollout.run == run)
    }

    /// The version that a rollout came from, where it gives nothing to the new one any more.
    pub fn goes_back_to(&self, run: u64) -> Option<Version> {
        let local = self
            .locals
            .values()
            .find(|local| local.rollout.run == run)?;
        let is_back = local.rollout.phase == Phase::TakenBack || local.took_back.is_some();
        local.from.clone().filter(|_| is_back)
    }
}
