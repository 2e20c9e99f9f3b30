//! Applies configuration views to the target. Views that follow each other closely are applied together, and a rejected
//! view is retried.

use super::ConfigTarget;
use super::host::ConfigHost;
use super::pending_view::PendingView;
use orchidtally_config_sync::{Schema, View};
use std::sync::Arc;
use tracing::{debug, error};

/// Views that follow each other within this time, in seconds, are applied together. Entries that a newer view disables
/// are denied at once in any case, as each invocation is checked against the state machine.
const APPLY_INTERVAL: f64 = 0.05;
/// A view that the target rejected is applied again after this time, in seconds.
const APPLY_RETRY: f64 = 1.0;
impl<S: Schema, T: ConfigTarget<S::Entry>> ConfigHost<S, T> {
    /// Puts a view in force, at once or together with those that follow it closely.
    pub(super) fn schedule_view(&self, view: Arc<View<S::Entry>>) {
        let due = self.applied_at.get() + APPLY_INTERVAL;
        if self.now() >= due {
            self.apply_view(view);
        } else {
            self.pending_view.replace(Some(PendingView {
                view,
                retry_at: due,
            }));
        }
    }

    pub(super) fn apply_view(&self, view: Arc<View<S::Entry>>) {
        self.applied_at.set(self.now());
        match self.target.apply(&view) {
            Ok(()) => {
                debug!(revision = view.revision(), "configuration revision applied");
                self.pending_view.replace(None);
                self.apply_fault.replace(None);
            }
            Err(fault) => {
                let fault = fault.to_string();
                if self.apply_fault.borrow().as_ref() != Some(&fault) {
                    error!(
                        revision = view.revision(),
                        fault, "configuration revision can't be applied; retrying"
                    );
                }
                self.apply_fault.replace(Some(fault));
                let retry_at = self.now() + APPLY_RETRY;
                self.pending_view
                    .replace(Some(PendingView { view, retry_at }));
            }
        }
    }

    /// Applies the waiting view if it is due.
    pub(super) fn apply_pending_view(&self) {
        let is_due = |pending: &mut PendingView<S::Entry>| self.now() >= pending.retry_at;
        let due = self.pending_view.borrow_mut().take_if(is_due);
        if let Some(pending) = due {
            self.apply_view(pending.view);
        }
    }
}
