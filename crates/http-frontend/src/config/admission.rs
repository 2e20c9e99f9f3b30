//! Decides whether the configuration in force admits an invocation: when the invocation is admitted, and again right
//! before the first byte of a dispatch is sent.
//!
//! Failure mode: a process that was paused continues with an old view. Risk: it would run functions that are no longer
//! allowed.

use super::front_end::FrontEndConfigHost;
use super::overlay::{ConfigView, FUNCTIONS, QUOTAS, TRIGGER_TYPES};
use orchidtally_config_sync::Verdict;
use orchidtally_deployment::UnsyncedBehavior;
use std::rc::Rc;
use thiserror::Error;

/// Why the configuration doesn't admit an invocation.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum AdmissionDenial {
    /// An entry that the invocation uses is disabled.
    #[error("'{key}' is not allowed by the configuration in force; ask whoever writes it")]
    NotAllowed {
        /// The key of the entry.
        key: String,
    },
    /// The view is too old to decide whether an entry is still allowed.
    #[error(
        "whether '{key}' is still allowed was last certain {age:.1} s ago, which is too long; ask again, or another \
         front end"
    )]
    Stale {
        /// The key of the entry.
        key: String,
        /// Seconds since the view was last proven current.
        age: f64,
        /// Seconds after which a retry may help.
        retry_after: f64,
    },
    /// There is no view yet.
    #[error(
        "no configuration is loaded yet: the store is not reached and there is no snapshot; ask another front end"
    )]
    NotLoaded {
        /// Seconds after which a retry may help.
        retry_after: f64,
    },
}

impl AdmissionDenial {
    /// Seconds after which a retry may help; `None` if it won't.
    pub fn retry_after(&self) -> Option<f64> {
        match self {
            AdmissionDenial::NotAllowed { .. } => None,
            AdmissionDenial::Stale { retry_after, .. }
            | AdmissionDenial::NotLoaded { retry_after } => Some(*retry_after),
        }
    }
}

/// The names of the entries that an invocation uses.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'s> {
    /// The function.
    pub function: &'s str,
    /// The trigger type.
    pub trigger_type: &'s str,
    /// The customer; empty where invocations name none.
    pub customer: &'s str,
}

impl Subject<'_> {
    fn keys(&self) -> impl Iterator<Item = String> {
        let customer = (!self.customer.is_empty()).then(|| format!("{QUOTAS}/{}", self.customer));
        [
            format!("{FUNCTIONS}/{}", self.function),
            format!("{TRIGGER_TYPES}/{}", self.trigger_type),
        ]
        .into_iter()
        .chain(customer)
    }
}

/// Decides whether invocations are admitted by the configuration in force.
pub struct Admission {
    pub(super) host: Rc<FrontEndConfigHost>,
    pub(super) unsynced_behavior: UnsyncedBehavior,
    /// The Retry-After of clients, in seconds.
    pub(super) retry_after: f64,
}

impl Admission {
    /// The configuration host.
    pub fn host(&self) -> &Rc<FrontEndConfigHost> {
        &self.host
    }

    /// Stops the configuration host and reports to the store that the front end has ended. To be called once the front
    /// end serves no invocations.
    pub async fn detach(&self) {
        self.host.deregister().await;
    }

    /// Why an invocation may not be admitted or dispatched now; `None` if it may. `admitted` is the view under which it
    /// was admitted, if any.
    pub fn denial(
        &self,
        admitted: Option<&ConfigView>,
        subject: &Subject,
    ) -> Option<AdmissionDenial> {
        subject.keys().find_map(|key| {
            let known = admitted.filter(|view| view.get(&key).is_some());
            let verdict = match known {
                Some(view) => self.host.still_admits(view, &key),
                None => self.host.admits(&key),
            };
            self.denial_of(verdict, key)
        })
    }

    fn denial_of(&self, verdict: Verdict, key: String) -> Option<AdmissionDenial> {
        let retry_after = self.retry_after;
        match verdict {
            // An entry that the store doesn't have comes from the deployment file.
            Verdict::Serve | Verdict::Unknown => None,
            Verdict::RefuseNotAllowed => Some(AdmissionDenial::NotAllowed { key }),
            Verdict::RefuseStale { age } => Some(AdmissionDenial::Stale {
                key,
                age,
                retry_after,
            }),
            Verdict::NotLoaded if self.unsynced_behavior == UnsyncedBehavior::Serve => None,
            Verdict::NotLoaded => Some(AdmissionDenial::NotLoaded { retry_after }),
        }
    }
}
