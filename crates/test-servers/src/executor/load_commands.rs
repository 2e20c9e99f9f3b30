//! Orders to hold copies of a function, or to unload them.

use super::Executor;
use super::copies::Unloaded;
use super::program::package;
use orchidtally_executor_protocol::v1;
use orchidtally_invariants::TrafficRecord;
use std::rc::Rc;

impl Executor {
    pub(super) async fn order(self: Rc<Self>, order: v1::Order) -> v1::OrderAnswer {
        let from = order.from.unwrap_or_default();
        let hold = order.kind() == v1::OrderKind::Hold;
        self.stage.record(TrafficRecord::LoadCommandArrived {
            at: self.stage.now(),
            executor: self.spec.number,
            front_end: from.index,
            incarnation: from.incarnation,
            replicas: if hold { order.copies } else { 0 },
        });
        let mut answer = v1::OrderAnswer {
            report: self.report(),
            ..v1::OrderAnswer::default()
        };
        answer.set_ending(v1::Ending::Ok);
        if hold {
            while self.faults.hangs.is_active(self.stage.now()) {
                self.stage
                    .sleep(self.faults.hangs.ends_at() - self.stage.now())
                    .await;
            }
            let name = package(&order.function, &order.digest);
            let loaded = match (self.catalogue)(&name) {
                Some(_) if self.draining.get() => Err(Unloaded::NoCapacity),
                Some(program) => self
                    .copy(&name, &order.digest, &program, true)
                    .await
                    .map(|_| ()),
                None => Err(Unloaded::Failed),
            };
            answer.digest_differs = matches!(loaded, Err(Unloaded::OtherBytes));
            answer.set_ending(match loaded {
                Ok(()) => v1::Ending::Ok,
                Err(Unloaded::Failed | Unloaded::OtherBytes) => v1::Ending::Error,
                Err(Unloaded::NoCapacity | Unloaded::Missing) => v1::Ending::Full,
            });
        } else if order.kind() == v1::OrderKind::Unload {
            let name = package(&order.function, &order.digest);
            let mut copies = self.copies.borrow_mut();
            if copies
                .get(&name)
                .is_some_and(|c| c.loaded && c.running == 0 && c.held == 0)
            {
                copies.remove(&name);
            }
        }
        let name = package(&order.function, &order.digest);
        answer.copies = u32::from(self.copies.borrow().get(&name).is_some_and(|c| c.loaded));
        answer
    }
}
