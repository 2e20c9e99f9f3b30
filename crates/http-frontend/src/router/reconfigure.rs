//! Replaces the revision in force, as a whole or not at all.

use super::Router;
use super::revision::{CustomerInForce, Indices, Revision, TriggerTypeInForce};
use crate::config::{ApplyError, ConfigView, ConfigurableFrontEnd, MAX_TRIGGER_TYPES, Overlay};
use orchidtally_deployment::Deployment;
use orchidtally_dispatch_policy::interface::check_quotas;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// The revision in force, and the references to the engine's indices.
pub(super) struct Revisions {
    current: RefCell<Rc<Revision>>,
    trigger_types: RefCell<Indices<TriggerTypeInForce>>,
    customers: RefCell<Indices<CustomerInForce>>,
}

impl Revisions {
    /// The first revision: that of the deployment file, with the positions in its lists as indices.
    pub(super) fn new(deployment: Rc<Deployment>) -> Revisions {
        let overlay = Overlay {
            deployment: &deployment,
            view: None,
        };
        let trigger_types: Vec<_> = overlay
            .trigger_types()
            .into_iter()
            .enumerate()
            .map(|(index, (settings, policy))| {
                Rc::new(TriggerTypeInForce {
                    settings,
                    policy,
                    index,
                })
            })
            .collect();
        let customers: Vec<_> = overlay
            .customers()
            .into_iter()
            .enumerate()
            .map(|(index, (name, quota))| (name, Rc::new(CustomerInForce { index, quota })))
            .collect();
        Revisions {
            trigger_types: RefCell::new(Indices::new(trigger_types.iter())),
            customers: RefCell::new(Indices::new(customers.iter().map(|(_, customer)| customer))),
            current: RefCell::new(Rc::new(Revision {
                number: 1,
                view: None,
                deployment,
                trigger_types,
                customers: customers.into_iter().collect(),
            })),
        }
    }

    pub(super) fn current(&self) -> Rc<Revision> {
        self.current.borrow().clone()
    }

    /// The longest client timeout among trigger types that are in force or used by open invocations, in seconds.
    pub(super) fn longest_timeout(&self) -> f64 {
        self.trigger_types
            .borrow()
            .in_use()
            .map(|trigger_type| trigger_type.policy.client_timeout)
            .fold(0.0, f64::max)
    }

    /// The trigger types of the next revision. An unchanged one is shared with the current revision.
    fn next_trigger_types(
        &self,
        overlay: &Overlay,
        is_used: impl Fn(usize) -> bool,
    ) -> Result<Vec<Rc<TriggerTypeInForce>>, ApplyError> {
        let (current, indices) = (self.current(), self.trigger_types.borrow());
        let mut assigned = BTreeSet::new();
        let mut next = vec![];
        for (settings, policy) in overlay.trigger_types() {
            let existing = current
                .trigger_type(&settings.name)
                .map(|(_, existing)| existing);
            if let Some(existing) = existing
                .filter(|existing| existing.settings == settings && existing.policy == policy)
            {
                next.push(existing.clone());
                continue;
            }
            let index = indices.lowest_free(&assigned, &is_used);
            if index >= MAX_TRIGGER_TYPES {
                return Err(ApplyError::TooManyTriggerTypes);
            }
            assigned.insert(index);
            next.push(Rc::new(TriggerTypeInForce {
                settings,
                policy,
                index,
            }));
        }
        Ok(next)
    }

    /// The customers of the next revision. A customer of the current revision keeps its index.
    fn next_customers(&self, overlay: &Overlay) -> HashMap<String, Rc<CustomerInForce>> {
        let (current, indices) = (self.current(), self.customers.borrow());
        let mut assigned = BTreeSet::new();
        let mut next = HashMap::new();
        for (name, quota) in overlay.customers() {
            let existing = current.customer(&name).cloned();
            let customer = existing
                .filter(|existing| existing.quota == quota)
                .unwrap_or_else(|| {
                    let existing = current.customer(&name).map(|existing| existing.index);
                    let index =
                        existing.unwrap_or_else(|| indices.lowest_free(&assigned, |_| false));
                    assigned.insert(index);
                    Rc::new(CustomerInForce { index, quota })
                });
            next.insert(name, customer);
        }
        next
    }

    /// Quotas by index: of customers of the next revision, and of those that an invocation still references. Empty where
    /// invocations name no customers.
    fn quotas_by_index(&self, next: &HashMap<String, Rc<CustomerInForce>>) -> Vec<f64> {
        if next.is_empty() {
            return vec![];
        }
        let in_use: Vec<_> = self.customers.borrow().in_use().collect();
        let all = in_use.iter().chain(next.values());
        let count = all
            .clone()
            .map(|customer| customer.index + 1)
            .max()
            .unwrap_or(0);
        let mut quotas = vec![0.0; count];
        all.for_each(|customer| quotas[customer.index] = customer.quota);
        quotas
    }

    fn put_in_force(&self, next: Revision) {
        let mut trigger_types = self.trigger_types.borrow_mut();
        next.trigger_types
            .iter()
            .for_each(|existing| trigger_types.assign(existing.index, existing));
        let mut customers = self.customers.borrow_mut();
        next.customers
            .values()
            .for_each(|customer| customers.assign(customer.index, customer));
        self.current.replace(Rc::new(next));
    }
}

impl Router {
    /// The revision in force. Several look-ups for one invocation have to use the same revision.
    pub fn revision(&self) -> Rc<Revision> {
        self.revisions.current()
    }

    /// The longest client timeout of any open invocation, in seconds.
    pub fn longest_timeout(&self) -> f64 {
        self.revisions.longest_timeout()
    }

    /// Puts a deployment's functions, customers and trigger types in force. Open invocations keep the revision under which
    /// they were admitted. Everything else in the deployment is ignored: it takes effect at a restart.
    ///
    /// # Errors
    /// A value is invalid, or there are too many trigger types. Nothing is changed then.
    pub fn reconfigure(&self, deployment: Rc<Deployment>) -> Result<Rc<Revision>, ApplyError> {
        let view = self.revision().view.clone();
        self.replace_revision(deployment, view)
    }

    /// Puts a view of the configuration store in force, over the deployment file.
    ///
    /// # Errors
    /// Nothing is changed then.
    pub fn put_view_in_force(&self, view: Arc<ConfigView>) -> Result<Rc<Revision>, ApplyError> {
        let deployment = self.revision().deployment.clone();
        self.replace_revision(deployment, Some(view))
    }

    fn replace_revision(
        &self,
        deployment: Rc<Deployment>,
        view: Option<Arc<ConfigView>>,
    ) -> Result<Rc<Revision>, ApplyError> {
        let overlay = Overlay {
            deployment: &deployment,
            view: view.as_deref(),
        };
        let is_used = |index| self.engine.borrow().uses_trigger_type(index);
        let trigger_types = self.revisions.next_trigger_types(&overlay, is_used)?;
        let customers = self.revisions.next_customers(&overlay);
        let quotas = self.revisions.quotas_by_index(&customers);
        check_quotas(&quotas)?;
        let current = self.revision();
        let is_added = |candidate: &&Rc<TriggerTypeInForce>| {
            !current
                .trigger_types
                .iter()
                .any(|existing| Rc::ptr_eq(existing, candidate))
        };
        // If the engine rejects a value, those that it accepted before have indices that no invocation can use.
        self.run_engine(|engine, now, _| {
            for added in trigger_types.iter().filter(is_added) {
                engine.set_trigger_type(now, added.index, added.policy.clone())?;
            }
            engine.set_quotas(now, quotas)
        })?;
        let number = current.number + 1;
        self.revisions.put_in_force(Revision {
            number,
            deployment,
            view,
            trigger_types,
            customers,
        });
        Ok(self.revision())
    }
}

impl ConfigurableFrontEnd for Router {
    fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    fn incarnation(&self) -> u64 {
        self.sender.get().incarnation
    }

    fn apply_view(&self, view: &Arc<ConfigView>) -> Result<(), ApplyError> {
        self.put_view_in_force(view.clone()).map(drop)
    }
}
