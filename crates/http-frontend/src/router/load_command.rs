//! Load commands to executors.

use super::{Router, seconds};
use crate::pool::Pool;
use orchidtally_dispatch_policy::interface::{DispatchStatus, ExecutorId};
use orchidtally_engine::transport_outcome::{self, TransportOutcome};
use orchidtally_executor_protocol::v1;
use orchidtally_executor_protocol::{LOAD_PATH, frame};
use std::rc::Rc;

impl Router {
    /// Revalidates a load command, which was issued at `issued_at`, right before it is sent.
    fn is_load_still_valid(&self, to: ExecutorId, issued_at: f64) -> bool {
        let now = self.observe_clock();
        self.engine.borrow_mut().revalidate_load(now, to, issued_at)
    }

    /// Sends a load command, query or unload command, and reports the result of a load to the engine.
    pub(super) async fn send_load_command(
        self: Rc<Self>,
        to: ExecutorId,
        pool: Rc<Pool>,
        command: v1::Order,
        function: u64,
        issued_at: f64,
    ) {
        let timeout = seconds(self.deployment.limits.load_command_timeout);
        // Queries and unload commands need no revalidation.
        let head = || {
            let may_send =
                command.kind() != v1::OrderKind::Hold || self.is_load_still_valid(to, issued_at);
            may_send.then(|| frame(&command))
        };
        let exchange = pool.exchange_if::<v1::OrderAnswer>(LOAD_PATH, head, &[]);
        let answered = orchidtally_socket_io::with_timeout(timeout, exchange).await;
        let mut digest_differs = false;
        let outcome = match answered {
            None => TransportOutcome::TimedOut,
            Some(Err(outcome)) => outcome,
            Some(Ok((answer, _))) => match answer.ending() {
                _ if answer.digest_differs => {
                    digest_differs = true;
                    TransportOutcome::Answered(DispatchStatus::Error)
                }
                v1::Ending::Ok => TransportOutcome::Answered(DispatchStatus::Ok),
                v1::Ending::Full => TransportOutcome::Answered(DispatchStatus::Full),
                v1::Ending::Error | v1::Ending::Miss => {
                    TransportOutcome::Answered(DispatchStatus::Error)
                }
                v1::Ending::Unspecified => TransportOutcome::MalformedResponse,
            },
        };
        if command.kind() == v1::OrderKind::Hold {
            let status = transport_outcome::dispatch_status(outcome);
            // An unreachable or full executor is no evidence on the version.
            if matches!(status, DispatchStatus::Ok | DispatchStatus::Error) {
                self.traffic_split.borrow_mut().record_load_result(
                    function,
                    status == DispatchStatus::Ok,
                    digest_differs,
                );
            }
            self.run_engine(|engine, now, action_executor| {
                engine.on_load_result(now, to, function, status, action_executor)
            });
        }
    }
}
