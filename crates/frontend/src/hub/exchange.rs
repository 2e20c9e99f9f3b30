//! Exchanges with executors: dispatches and orders, from their first byte to what their end proves.

use super::invocation::{Brought, CutOff, Work};
use super::{Hub, number, seconds};
use crate::pool::Pool;
use bytes::Bytes;
use orchidtally::interface::*;
use orchidtally_deployment::Source;
use orchidtally_engine::evidence::{self, Transport};
use orchidtally_engine::{NOTHING_TOLD, Told};
use orchidtally_wire::v1;
use orchidtally_wire::{DISPATCH, ORDER, frame};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, error};

/// Parts of a streamed answer that are held for a client that reads slowly.
const STREAM_PARTS: usize = 8;

impl Hub {
    fn ended(
        &self,
        (inv, n): (u32, u8),
        ending: Ending,
        told: Told,
        brought: Option<Brought>,
        took: Option<(f64, bool)>,
    ) {
        self.play(|engine, now, performer| {
            performer.took = took;
            if let Some(task) = performer.out.remove(&(inv, n)) {
                task.detach();
            }
            performer.brought = brought;
            engine.ended(now, inv, n, ending, told, performer);
            performer.brought = None;
        });
    }

    /// What a dispatch or an order told of whether an executor is there.
    fn heard_of(&self, executor: ExecutorId, seen: Option<Transport>) {
        if !matches!(self.deployment.source, Source::Etcd(_)) {
            return;
        }
        match seen {
            None => self.cache.borrow_mut().answered(self.now(), &executor),
            Some(Transport::NoConnection) => {
                let told = self.cache.borrow_mut().failed(&executor);
                if let Some((kind, rows)) = told {
                    self.play(|engine, now, performer| engine.roster(now, kind, &rows, performer));
                }
            }
            Some(_) => {}
        }
    }

    /// Two front ends with one index share a turn at each cold executor.
    fn another_has_index(&self, executor: ExecutorId) {
        self.index_taken.set(self.index_taken.get() + 1);
        let lately = self.warned_of_index.get().is_some_and(|at| at.elapsed() < Duration::from_secs(10));
        if !lately {
            self.warned_of_index.set(Some(Instant::now()));
            error!(index = self.sender.get().index, executor = %executor.0, "another front end has this one's index");
        }
    }

    pub(super) async fn dispatch(
        self: Rc<Self>,
        inv: u32,
        n: u8,
        to: ExecutorId,
        pool: Rc<Pool>,
        (work, function): (Rc<Work>, u64),
        left: f64,
    ) {
        let trigger = &work.trigger_type.trigger;
        let effect = match work.trigger_type.policy.effect {
            Effect::Idempotent => v1::Effect::Idempotent,
            Effect::Tokened => v1::Effect::Tokened,
            Effect::NonIdempotent => v1::Effect::NonIdempotent,
        };
        let head = frame(&v1::Dispatch {
            from: Some(self.sender.get()),
            invocation: work.name.clone(),
            number: work.dispatched + u32::from(n),
            digest: work.digest.to_string(),
            function: work.function.to_string(),
            trigger_type: trigger.name.clone(),
            customer: work.customer.clone(),
            effect: effect.into(),
            token: work.token.clone(),
            time_left: (left * 1e6) as u64,
            payload_bytes: work.payload_bytes,
        });
        let began = Instant::now();
        let refusal = Cell::new(None);
        let may_leave = || {
            refusal.set(self.dispatch_refusal(&work));
            let refused = refusal.take();
            let may_leave = refused.is_none();
            refusal.set(refused);
            may_leave
        };
        let exchanged = pool.exchange_if::<v1::Answer>(DISPATCH, head, &work.payload, may_leave).await;
        if let Some(refusal) = refusal.take() {
            return self.refused((inv, n), refusal);
        }
        self.heard_of(to, exchanged.as_ref().err().copied());
        let (answer, mut incoming) = match exchanged {
            Ok(exchanged) => exchanged,
            Err(seen) => {
                debug!(inv, n, executor = %to.0, ?seen, "a dispatch ended without an answer");
                // One that provably never ran says nothing of the version.
                if !evidence::ending(seen).never_ran() {
                    self.failed(&work, function, to, true);
                }
                return self.ended((inv, n), evidence::ending(seen), NOTHING_TOLD, None, None);
            }
        };
        if answer.index_taken {
            self.another_has_index(to);
        }
        let found = match answer.found() {
            v1::Found::Untold => Found::Untold,
            v1::Found::Warm => Found::Warm,
            v1::Found::Loaded => Found::Loaded,
            v1::Found::Waited => Found::Waited,
            v1::Found::LoadFailed => Found::LoadFailed,
        };
        let told = Told { found, crowd: answer.crowd, report: &answer.report };
        if matches!(found, Found::Loaded | Found::LoadFailed) {
            let well = found == Found::Loaded;
            self.shares.borrow_mut().load_ended(function, well, answer.digest_differs);
        }
        let took = || Some((began.elapsed().as_secs_f64(), matches!(found, Found::Warm | Found::Untold)));
        let (seen, brought) = match answer.ending() {
            v1::Ending::Ok if answer.streams && trigger.streams => {
                let (parts, body) = async_channel::bounded(STREAM_PARTS);
                let mine = self.play(|engine, now, performer| {
                    performer.brought = Some(Brought::Streamed(body));
                    performer.took = took();
                    let mine = engine.streaming(now, inv, n, performer);
                    performer.brought = None;
                    mine
                });
                let seen = if mine { self.pass_on(&mut incoming, parts).await } else { Transport::Reset };
                (seen, None)
            }
            v1::Ending::Ok => match incoming.whole(self.deployment.bounds.answer_bytes).await {
                Ok(chunks) => (Transport::Answered(Ending::Ok), Some(Brought::Whole(chunks))),
                Err(seen) => (seen, None),
            },
            v1::Ending::Error => {
                if found != Found::LoadFailed {
                    self.failed(&work, function, to, false);
                }
                (Transport::Answered(Ending::Error), None)
            }
            v1::Ending::Full => (Transport::Answered(Ending::Full), None),
            v1::Ending::Miss => (Transport::Answered(Ending::Miss), None),
            v1::Ending::Unspecified => (Transport::Malformed, None),
        };
        self.ended((inv, n), evidence::ending(seen), told, brought, took());
    }

    fn failed(&self, work: &Work, function: u64, to: ExecutorId, broke: bool) {
        let counts = self.shares.borrow_mut().dispatch_failed(self.now(), number(to), function, broke);
        work.failed.set(work.failed.get() | counts);
    }

    /// Passes a streamed answer on. A client that doesn't read for the sender's time is given up.
    async fn pass_on(
        &self,
        incoming: &mut crate::pool::Incoming,
        parts: async_channel::Sender<Result<Bytes, CutOff>>,
    ) -> Transport {
        let patience = seconds(self.deployment.bounds.sender_time);
        loop {
            let part = match orchidtally_net::within(patience, incoming.payload()).await {
                Some(Ok(Some(part))) => Ok(part),
                Some(Ok(None)) => return Transport::Answered(Ending::Ok),
                Some(Err(seen)) => {
                    let _ = orchidtally_net::within(patience, parts.send(Err(CutOff))).await;
                    return seen;
                }
                None => {
                    let _ = orchidtally_net::within(patience, parts.send(Err(CutOff))).await;
                    return Transport::TimedOut;
                }
            };
            match orchidtally_net::within(patience, parts.send(part)).await {
                Some(Ok(())) => {}
                // The client went away, or stopped reading.
                Some(Err(_)) | None => return Transport::Answered(Ending::Cancelled),
            }
        }
    }

    pub(super) async fn order(
        self: Rc<Self>,
        to: ExecutorId,
        pool: Rc<Pool>,
        order: v1::Order,
        function: u64,
    ) {
        let time = seconds(self.deployment.bounds.order_time);
        let answered =
            orchidtally_net::within(time, pool.exchange::<v1::OrderAnswer>(ORDER, frame(&order), &[])).await;
        let mut differs = false;
        let seen = match answered {
            None => Transport::TimedOut,
            Some(Err(seen)) => seen,
            Some(Ok((answer, _))) => match answer.ending() {
                _ if answer.digest_differs => {
                    differs = true;
                    Transport::Answered(Ending::Error)
                }
                v1::Ending::Ok => Transport::Answered(Ending::Ok),
                v1::Ending::Full => Transport::Answered(Ending::Full),
                v1::Ending::Error | v1::Ending::Miss => Transport::Answered(Ending::Error),
                v1::Ending::Unspecified => Transport::Malformed,
            },
        };
        if order.kind() == v1::OrderKind::Hold {
            let ending = evidence::ending(seen);
            // An executor that is gone or full tells nothing of the version.
            if matches!(ending, Ending::Ok | Ending::Error) {
                self.shares.borrow_mut().load_ended(function, ending == Ending::Ok, differs);
            }
            self.play(|engine, now, performer| engine.held(now, to, function, ending, performer));
        }
    }
}
