//! Handles load commands, which load a replica of a function or unload it.

use super::Executor;
use super::program::package_name;
use super::replicas::LoadFailure;
use orchidtally_executor_protocol::v1;
use orchidtally_invariants::TrafficRecord;
use std::rc::Rc;

impl Executor {
    pub(super) async fn execute_load_command(self: Rc<Self>, order: v1::Order) -> v1::OrderAnswer {
        let from = order.from.unwrap_or_default();
        let is_load = order.kind() == v1::OrderKind::Hold;
        self.environment.record(TrafficRecord::LoadCommandArrived {
            at: self.environment.now(),
            executor: self.spec.number,
            front_end: from.index,
            incarnation: from.incarnation,
            replicas: if is_load { order.copies } else { 0 },
        });
        let mut answer = v1::OrderAnswer {
            report: self.report(),
            ..v1::OrderAnswer::default()
        };
        answer.set_ending(v1::Ending::Ok);
        if is_load {
            while self.faults.hangs.is_active(self.environment.now()) {
                self.environment
                    .sleep(self.faults.hangs.ends_at() - self.environment.now())
                    .await;
            }
            let name = package_name(&order.function, &order.digest);
            let loaded = match (self.catalogue)(&name) {
                Some(_) if self.draining.get() => Err(LoadFailure::NoCapacity),
                Some(program) => self
                    .loaded_replica(&name, &order.digest, &program, true)
                    .await
                    .map(|_| ()),
                None => Err(LoadFailure::Failed),
            };
            answer.digest_differs = matches!(loaded, Err(LoadFailure::DigestMismatch));
            answer.set_ending(match loaded {
                Ok(()) => v1::Ending::Ok,
                Err(LoadFailure::Failed | LoadFailure::DigestMismatch) => v1::Ending::Error,
                Err(LoadFailure::NoCapacity | LoadFailure::Missing) => v1::Ending::Full,
            });
        } else if order.kind() == v1::OrderKind::Unload {
            let name = package_name(&order.function, &order.digest);
            let mut replicas = self.replicas.borrow_mut();
            if replicas
                .get(&name)
                .is_some_and(|c| c.loaded && c.running == 0 && c.waiting == 0)
            {
                replicas.remove(&name);
            }
        }
        let name = package_name(&order.function, &order.digest);
        answer.copies = u32::from(self.replicas.borrow().get(&name).is_some_and(|c| c.loaded));
        answer
    }
}
