//! Checks whether the configuration in force admits an invocation, when it is admitted and right before the first byte
//! of a dispatch is sent.

use super::Router;
use super::invocation::{FinalAnswer, InvocationContext, RejectionReason};
use super::revision::Revision;
use crate::config::{Admission, Refusal, Subject};
use orchidtally_dispatch_policy::interface::DispatchStatus;
use orchidtally_engine::NO_METADATA;

impl Router {
    /// Sets what decides whether the configuration admits an invocation; only the first call has an effect.
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
        let refusal = self
            .admission
            .get()
            .and_then(|admission| admission.refusal(revision.view.as_deref(), subject));
        refusal.map_or(Ok(()), |refusal| Err(RejectionReason::Refused(refusal)))
    }

    /// Why a dispatch may not be sent now.
    pub(super) fn dispatch_refusal(&self, work: &InvocationContext) -> Option<Refusal> {
        let trigger_type = &work.trigger_type.trigger.name;
        let subject = Subject {
            function: &work.function,
            trigger_type,
            customer: &work.customer,
        };
        self.admission
            .get()?
            .refusal(work.revision.view.as_deref(), &subject)
    }

    /// A dispatch was withheld: its invocation is answered at once, unless another dispatch of it is in flight, whose
    /// answer goes to the client.
    pub(super) fn on_dispatch_refused(&self, invocation: u32, number: u8, refusal: Refusal) {
        self.run_engine(|engine, now, action_executor| {
            if let Some(task) = action_executor.dispatch_tasks.remove(&(invocation, number)) {
                task.detach();
            }
            let sent = engine.dispatch_count(invocation);
            let another_in_flight = (0..sent).any(|m| {
                action_executor
                    .dispatch_tasks
                    .contains_key(&(invocation, m as u8))
            });
            if !another_in_flight {
                // An earlier one may have run: how it ended isn't known here.
                let may_have_run = sent > 1;
                engine.on_client_cancel(now, invocation, action_executor);
                if let Some(client) = action_executor.clients.remove(&invocation) {
                    // A client that went away meanwhile needs no answer.
                    let _ = client.reply.send(FinalAnswer::Refused {
                        refusal,
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
