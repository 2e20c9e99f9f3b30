//! Revisions of what can change while a front end runs: functions, customers' shares and trigger types.
//!
//! An invocation sees one revision from its admission to its end. Whoever looks something up holds the
//! [`Revision`], and what is taken holds its [`TriggerTypeInForce`]; the engine's index of a trigger type or a
//! customer is given to another one only when nobody holds the old one any more.

use crate::config::{ConfigView, Overlay};
use orchidtally_deployment::{Deployment, Function, TriggerTypeSettings};
use orchidtally_dispatch_policy::interface::TriggerType;
use std::collections::{BTreeSet, HashMap};
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// A trigger type as one revision has it.
#[derive(Debug)]
pub struct TriggerTypeInForce {
    pub trigger: TriggerTypeSettings,
    pub policy: TriggerType,
    /// Its index in the engine.
    pub index: usize,
}

/// A customer as one revision has it.
#[derive(Debug)]
pub struct CustomerInForce {
    /// Its index in the engine.
    pub index: usize,
    /// Invocations a second within its share, over all front ends.
    pub share: f64,
}

/// One revision. It is immutable: a change makes another one.
#[derive(Debug)]
pub struct Revision {
    /// 1 at the start, one more with each change.
    pub number: u64,
    /// The deployment file that it comes from.
    pub deployment: Rc<Deployment>,
    /// What the store of configuration has over it, where there is one.
    pub view: Option<Arc<ConfigView>>,
    pub(super) trigger_types: Vec<Rc<TriggerTypeInForce>>,
    pub(super) customers: HashMap<String, Rc<CustomerInForce>>,
}

impl Revision {
    /// A trigger type by its name, with its place among all.
    pub fn trigger_type(&self, name: &str) -> Option<(usize, &Rc<TriggerTypeInForce>)> {
        self.trigger_types
            .iter()
            .enumerate()
            .find(|(_, known)| known.trigger.name == name)
    }

    /// The trigger type of invocations that name none: there has to be just one.
    pub fn only_trigger_type(&self) -> Option<(usize, &Rc<TriggerTypeInForce>)> {
        self.trigger_types
            .first()
            .filter(|_| self.trigger_types.len() == 1)
            .map(|only| (0, only))
    }

    /// Names of all trigger types, in their order.
    pub fn trigger_type_names(&self) -> Vec<&str> {
        self.trigger_types
            .iter()
            .map(|known| known.trigger.name.as_str())
            .collect()
    }

    /// Whether invocations have to name a customer.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }

    /// A customer by its name.
    pub fn customer(&self, name: &str) -> Option<&Rc<CustomerInForce>> {
        self.customers.get(name)
    }

    /// A function by its name, listed or not.
    pub fn function(&self, name: &str) -> Option<Function> {
        self.overlay().function(name)
    }

    /// The deployment file with the store's entries over it.
    pub(super) fn overlay(&self) -> Overlay<'_> {
        Overlay {
            deployment: &self.deployment,
            view: self.view.as_deref(),
        }
    }

    /// This revision as a deployment in which the trigger types of `start` keep their places; one that was taken
    /// away stands there as it was. Rules of triggers by messages name trigger types by these places.
    pub fn aligned_to(&self, start: &Deployment) -> Deployment {
        let mut aligned = Deployment {
            policy: start.policy.clone(),
            ..(*self.deployment).clone()
        };
        aligned.trigger_types = start.trigger_types.clone();
        aligned.customers = self.customers.keys().cloned().collect();
        let overlay = self.overlay();
        let stored = overlay
            .stored_functions()
            .map(|function| (function.name.clone(), function));
        aligned.functions.extend(stored);
        for (place, trigger) in start.trigger_types.iter().enumerate() {
            if let Some((_, known)) = self.trigger_type(&trigger.name) {
                aligned.policy.trigger_types[place] = known.policy.clone();
                aligned.trigger_types[place] = known.trigger.clone();
            }
        }
        aligned
    }
}

/// Who holds which of the engine's indices.
#[derive(Debug)]
pub(super) struct Indices<T> {
    holders: Vec<Weak<T>>,
}

impl<T> Indices<T> {
    /// Those that are held from the start, in their order.
    pub(super) fn new<'h>(initial: impl Iterator<Item = &'h Rc<T>>) -> Indices<T>
    where
        T: 'h,
    {
        Indices {
            holders: initial.map(Rc::downgrade).collect(),
        }
    }

    /// The lowest index that nobody holds, that isn't in `assigned` and that the engine doesn't use.
    pub(super) fn lowest_free(
        &self,
        assigned: &BTreeSet<usize>,
        is_used: impl Fn(usize) -> bool,
    ) -> usize {
        let is_unheld = |index: usize| {
            self.holders
                .get(index)
                .is_none_or(|h| h.strong_count() == 0)
        };
        let is_free =
            |index: &usize| !assigned.contains(index) && is_unheld(*index) && !is_used(*index);
        (0..).find(is_free).unwrap_or(usize::MAX)
    }

    pub(super) fn hold(&mut self, index: usize, holder: &Rc<T>) {
        if self.holders.len() <= index {
            self.holders.resize_with(index + 1, Weak::new);
        }
        self.holders[index] = Rc::downgrade(holder);
    }

    /// All that are held by someone.
    pub(super) fn in_use(&self) -> impl Iterator<Item = Rc<T>> {
        self.holders.iter().filter_map(Weak::upgrade)
    }
}
