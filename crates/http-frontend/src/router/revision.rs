//! Revisions of the settings that can change while a front end runs: functions, quotas and trigger types.
//!
//! An invocation sees one revision from its admission to its end: it references the [`Revision`] while it is looked up,
//! and its [`TriggerTypeInForce`] while it is open. The engine's index of a trigger type or a customer is reused only
//! when there is no reference to the previous one.

use crate::config::{ConfigView, Overlay};
use orchidtally_deployment::{Deployment, Function, TriggerTypeSettings};
use orchidtally_dispatch_policy::interface::TriggerType;
use std::collections::{BTreeSet, HashMap};
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// A trigger type as one revision has it.
#[derive(Debug)]
pub struct TriggerTypeInForce {
    /// Its settings for the ingress.
    pub settings: TriggerTypeSettings,
    /// Its settings for the dispatch policy.
    pub policy: TriggerType,
    /// Its index in the engine.
    pub index: usize,
}

/// A customer as one revision has it.
#[derive(Debug)]
pub struct CustomerInForce {
    /// Its index in the engine.
    pub index: usize,
    /// Its quota: invocations a second over all front ends.
    pub quota: f64,
}

/// One revision. It is immutable: a change creates another one.
#[derive(Debug)]
pub struct Revision {
    /// 1 at the start, one more with each change.
    pub number: u64,
    /// The deployment file that it comes from.
    pub deployment: Rc<Deployment>,
    /// The view of the configuration store that overlays it, where there is one.
    pub view: Option<Arc<ConfigView>>,
    pub(super) trigger_types: Vec<Rc<TriggerTypeInForce>>,
    pub(super) customers: HashMap<String, Rc<CustomerInForce>>,
}

impl Revision {
    /// A trigger type by its name, with its position among all.
    pub fn trigger_type(&self, name: &str) -> Option<(usize, &Rc<TriggerTypeInForce>)> {
        self.trigger_types
            .iter()
            .enumerate()
            .find(|(_, trigger_type)| trigger_type.settings.name == name)
    }

    /// The trigger type of invocations that name none; `None` unless there is exactly one.
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
            .map(|trigger_type| trigger_type.settings.name.as_str())
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

    /// This revision as a deployment in which the trigger types of `initial` keep their positions, removed ones
    /// included.
    /// The rules of message triggers refer to trigger types by these positions.
    pub fn aligned_to(&self, initial: &Deployment) -> Deployment {
        let mut aligned = Deployment {
            policy: initial.policy.clone(),
            ..(*self.deployment).clone()
        };
        aligned.trigger_types = initial.trigger_types.clone();
        aligned.customers = self.customers.keys().cloned().collect();
        let overlay = self.overlay();
        let stored = overlay
            .stored_functions()
            .map(|function| (function.name.clone(), function));
        aligned.functions.extend(stored);
        for (position, settings) in initial.trigger_types.iter().enumerate() {
            if let Some((_, trigger_type)) = self.trigger_type(&settings.name) {
                aligned.policy.trigger_types[position] = trigger_type.policy.clone();
                aligned.trigger_types[position] = trigger_type.settings.clone();
            }
        }
        aligned
    }
}

/// Weak references to items, by the engine's index.
#[derive(Debug)]
pub(super) struct Indices<T> {
    references: Vec<Weak<T>>,
}

impl<T> Indices<T> {
    /// The initial items, in index order.
    pub(super) fn new<'h>(initial: impl Iterator<Item = &'h Rc<T>>) -> Indices<T>
    where
        T: 'h,
    {
        Indices {
            references: initial.map(Rc::downgrade).collect(),
        }
    }

    /// The lowest index that has no reference, isn't in `assigned` and isn't used by the engine.
    pub(super) fn lowest_free(
        &self,
        assigned: &BTreeSet<usize>,
        is_used: impl Fn(usize) -> bool,
    ) -> usize {
        let is_unreferenced = |index: usize| {
            self.references
                .get(index)
                .is_none_or(|h| h.strong_count() == 0)
        };
        let is_free = |index: &usize| {
            !assigned.contains(index) && is_unreferenced(*index) && !is_used(*index)
        };
        (0..).find(is_free).unwrap_or(usize::MAX)
    }

    /// Assigns an index to an item.
    pub(super) fn assign(&mut self, index: usize, item: &Rc<T>) {
        if self.references.len() <= index {
            self.references.resize_with(index + 1, Weak::new);
        }
        self.references[index] = Rc::downgrade(item);
    }

    /// All items that are referenced.
    pub(super) fn in_use(&self) -> impl Iterator<Item = Rc<T>> {
        self.references.iter().filter_map(Weak::upgrade)
    }
}
