//! Asks whether the configuration in force lets an invocation through, when it is taken and right before the bytes of
//! a dispatch go out.

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

    /// Whether an invocation under a revision may be taken now.
    ///
    /// # Errors
    /// The configuration doesn't let it through.
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

    /// Why the bytes of a dispatch may not go out now.
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

    /// A dispatch was withheld: its invocation is answered at once, unless another dispatch of it is out, whose answer
    /// is the client's.
    pub(super) fn refused(&self, (invocation, n): (u32, u8), refusal: Refusal) {
        self.run_engine(|engine, now, action_executor| {
            if let Some(task) = action_executor.dispatch_tasks.remove(&(invocation, n)) {
                task.detach();
            }
            let sent = engine.dispatch_count(invocation);
            let another_is_out = (0..sent).any(|m| {
                action_executor
                    .dispatch_tasks
                    .contains_key(&(invocation, m as u8))
            });
            if !another_is_out {
                // An earlier one may have run; it isn't known here how it ended.
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
                n,
                DispatchStatus::NeverSent,
                NO_METADATA,
                action_executor,
            );
        });
    }
}
