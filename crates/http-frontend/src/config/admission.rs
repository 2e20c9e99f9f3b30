//! Whether the configuration in force lets an invocation through: asked when it is taken, and again right before the
//! bytes of a dispatch go out. A process that was paused wakes with an old view, and time has gone on.

use super::front_end::FrontEndConfigHost;
use super::overlay::{ConfigView, FUNCTIONS, QUOTAS, TRIGGER_TYPES};
use orchidtally_config_sync::Verdict;
use orchidtally_deployment::UnsyncedBehavior;
use std::rc::Rc;
use thiserror::Error;

/// Why the configuration doesn't let an invocation through. Nothing of it was dispatched.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Refusal {
    #[error("'{key}' is not allowed by the configuration in force; ask whoever writes it")]
    NotAllowed { key: String },
    #[error(
        "whether '{key}' is still allowed was last certain {age:.1} s ago, which is too long; ask again, or another \
         front end"
    )]
    Stale {
        key: String,
        age: f64,
        retry_after: f64,
    },
    #[error(
        "no configuration is loaded yet: the store is not reached and there is no snapshot; ask another front end"
    )]
    NotLoaded { retry_after: f64 },
}

impl Refusal {
    /// Seconds after which asking again may help; `None` if it won't.
    pub fn retry_after(&self) -> Option<f64> {
        match self {
            Refusal::NotAllowed { .. } => None,
            Refusal::Stale { retry_after, .. } | Refusal::NotLoaded { retry_after } => {
                Some(*retry_after)
            }
        }
    }
}

/// What an invocation uses, by name.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'s> {
    pub function: &'s str,
    pub trigger_type: &'s str,
    /// Empty where invocations name none.
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

/// Asks the core's verdict on invocations.
pub struct Admission {
    pub(super) host: Rc<FrontEndConfigHost>,
    pub(super) without_view: UnsyncedBehavior,
    /// When a client may ask again, in seconds.
    pub(super) retry_after: f64,
}

impl Admission {
    /// The configuration host that is asked.
    pub fn host(&self) -> &Rc<FrontEndConfigHost> {
        &self.host
    }

    /// Ends the configuration host and marks the front end as ended in the store; to be called once it serves nothing.
    pub async fn detach(&self) {
        self.host.leave().await;
    }

    /// Why an invocation that was admitted under a view, or under none, may not be dispatched now.
    pub fn refusal(&self, admitted: Option<&ConfigView>, subject: &Subject) -> Option<Refusal> {
        subject.keys().find_map(|key| {
            let known = admitted.filter(|view| view.get(&key).is_some());
            let verdict = match known {
                Some(view) => self.host.still_admits(view, &key),
                None => self.host.admits(&key),
            };
            self.refusal_of(verdict, key)
        })
    }

    fn refusal_of(&self, verdict: Verdict, key: String) -> Option<Refusal> {
        let retry_after = self.retry_after;
        match verdict {
            // What the store doesn't have is the deployment file's to say.
            Verdict::Serve | Verdict::Unknown => None,
            Verdict::RefuseNotAllowed => Some(Refusal::NotAllowed { key }),
            Verdict::RefuseStale { age } => Some(Refusal::Stale {
                key,
                age,
                retry_after,
            }),
            Verdict::NotLoaded if self.without_view == UnsyncedBehavior::Serve => None,
            Verdict::NotLoaded => Some(Refusal::NotLoaded { retry_after }),
        }
    }
}
