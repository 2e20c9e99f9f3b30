//! Checks whether the configuration in force admits an invocation, when it is admitted and right before the first byte
//! of a dispatch is sent.

use super::Router;
use super::invocation::{FinalAnswer, InvocationContext, RejectionReason};
use super::revision::Revision;
use crate::config::{Admission, AdmissionDenial, Subject};
use orchidtally_dispatch_policy::interface::DispatchStatus;
use orchidtally_engine::NO_METADATA;

impl Router {
    /// Sets the admission check of the configuration; only the first call has an effect.
    pub fn set_admission(&self, admission: Admission) {
        // A front end has one configuration host.
        let _ = self.admission.set(admission);
    }

    /// Checks whether an invocation under a revision may be admitted now.
    ///
    /// # Errors
    /// The configuration doesn't admit it.
    pub fn check_admission(
        &self,
        revision: &Revision,
        subject: &Subject,
    ) -> Result<(), RejectionReason> {
        let denial = self
            .admission
            .get()
            .and_then(|admission| admission.denial(revision.view.as_deref(), subject));
        denial.map_or(Ok(()), |denial| Err(RejectionReason::Denied(denial)))
    }

    /// Why a dispatch may not be sent now.
    pub(super) fn dispatch_denial(&self, context: &InvocationContext) -> Option<AdmissionDenial> {
        let trigger_type = &context.trigger_type.settings.name;
        let subject = Subject {
            function: &context.function,
            trigger_type,
            customer: &context.customer,
        };
        self.admission
            .get()?
            .denial(context.revision.view.as_deref(), &subject)
    }

    /// Handles a dispatch that was denied before its first byte was sent. The client gets the denial at once, unless
    /// another dispatch of the invocation is in flight; then it gets the result of that one.
    pub(super) fn on_dispatch_denied(&self, invocation: u32, number: u8, denial: AdmissionDenial) {
        self.run_engine(|engine, now, action_executor| {
            if let Some(task) = action_executor.dispatch_tasks.remove(&(invocation, number)) {
                task.detach();
            }
            let sent = engine.dispatch_count(invocation);
            let has_other_in_flight = (0..sent).any(|m| {
                action_executor
                    .dispatch_tasks
                    .contains_key(&(invocation, m as u8))
            });
            if !has_other_in_flight {
                // An earlier dispatch may have run: its result is not known here.
                let may_have_run = sent > 1;
                engine.on_client_cancel(now, invocation, action_executor);
                if let Some(client) = action_executor.clients.remove(&invocation) {
                    // The client may have disconnected.
                    let _ = client.reply.send(FinalAnswer::Denied {
                        denial,
                        may_have_run,
                    });
                }
            }
            engine.on_dispatch_result(
                now,
                invocation,
                number,
                DispatchStatus::NeverSent,
                NO_METADATA,
                action_executor,
            );
        });
    }
}
