//! How deliveries become messages in hand.

use super::{Consumer, DECISION_INTERVAL};
use crate::admission::{Decision, Waiting};
use crate::ledger::{Answer, DeliveryId, Idempotency, InvocationTarget, StoredMessage};
use crate::rules::{Call, Rules};
use orchidtally_deployment::Deployment;
use orchidtally_dispatch_policy::interface;
use orchidtally_mqtt::packet::Qos;
use orchidtally_mqtt::session::{ConnectionError, Delivery};

/// A delivery that waits to be admitted.
#[derive(Clone, Debug)]
pub(super) struct PendingMessage {
    delivery: DeliveryId,
    effect: Idempotency,
    message: StoredMessage,
}

/// A delivery that can never become an invocation.
pub(super) struct PoisonMessage {
    pub(super) message_id: u64,
    delivery: Delivery,
    why: String,
}

fn delivery_id(delivery: &Delivery) -> DeliveryId {
    DeliveryId {
        packet: delivery.number.map(|_| delivery.id),
        confirms: delivery.qos == Qos::ExactlyOnce,
    }
}

/// Whether the invocation of a message may run more than once.
fn effect(policy: &interface::TriggerType, now: f64) -> Idempotency {
    match (policy.idempotency, policy.deduplication_scope) {
        (interface::Idempotency::Idempotent, _) => Idempotency::Idempotent,
        (interface::Idempotency::Keyed, interface::DeduplicationScope::All) => Idempotency::Keyed {
            expires_at: now + policy.deduplication_window,
        },
        // A token that is remembered in a part of the fleet protects within that part alone.
        (interface::Idempotency::Keyed | interface::Idempotency::NonIdempotent, _) => {
            Idempotency::NonIdempotent
        }
    }
}

impl Consumer {
    /// When the publisher of a message gives up.
    fn answer_until(&self, call: &Call, now: f64) -> f64 {
        let rule_time_left = self.rules.list[call.rule].time_left;
        let since_sent = call
            .sent_at
            .map_or(f64::INFINITY, |sent_at| sent_at + rule_time_left);
        since_sent.min(now + call.time_left)
    }

    /// Takes a delivery in. It waits unacknowledged until it is admitted.
    pub(super) fn take(
        &mut self,
        now: f64,
        delivery: Delivery,
        deployment: &Deployment,
    ) -> Result<(), ConnectionError> {
        self.counters.delivered += 1;
        if delivery.retained {
            self.counters.retained += 1;
            if let Some(number) = delivery.number {
                self.session.acknowledge(now, number, 0);
            }
            return Ok(());
        }
        let message_id = self.ledger.next_id();
        if let Some(number) = delivery.number {
            self.deliveries.insert(message_id, number);
        }
        match self.rules.call(deployment, &delivery) {
            Ok(call) => self.offer(now, message_id, delivery, call, deployment),
            Err(poison) => {
                let why = poison.to_string();
                self.poison_messages.push_back(PoisonMessage {
                    message_id,
                    delivery,
                    why,
                });
                Ok(())
            }
        }
    }

    fn offer(
        &mut self,
        now: f64,
        message_id: u64,
        delivery: Delivery,
        call: Call,
        deployment: &Deployment,
    ) -> Result<(), ConnectionError> {
        let policy = &deployment.policy.trigger_types[call.trigger_type];
        let effect = effect(policy, now);
        let until = self.answer_until(&call, now);
        let waiting = Waiting {
            trigger_type: call.trigger_type,
            value: policy.billed_value,
            until: until - self.reply_margin,
            key: call.key,
        };
        if !self.admission.enqueue(message_id, waiting) {
            if delivery.number.is_none() {
                self.counters.dropped += 1;
                return Ok(());
            }
            return Err(ConnectionError::Protocol(
                "more deliveries than can be held",
            ));
        }
        let has_token = policy.idempotency == interface::Idempotency::Keyed;
        let target = InvocationTarget {
            function: call.function,
            trigger_type: deployment.trigger_types[call.trigger_type].name.clone(),
            customer: call.customer,
            token: if has_token { call.token } else { String::new() },
        };
        let id = delivery_id(&delivery);
        let message = StoredMessage {
            name: call.name,
            topic: delivery.topic,
            payload: call.payload,
            reply: call.answer,
            target,
            expires_at: until,
        };
        self.pending.insert(
            message_id,
            PendingMessage {
                delivery: id,
                effect,
                message,
            },
        );
        Ok(())
    }

    /// Admits what can be admitted now, and answers at once what can't be answered in time.
    pub(super) fn decide(&mut self, now: f64) {
        self.next_decision_at = now + DECISION_INTERVAL;
        let must_wait = self.journal.is_failing()
            || self.journal.is_full()
            || self.is_draining
            || self.postponed.is_some();
        if must_wait {
            return;
        }
        self.set_poison_messages_aside(now);
        for decision in self.admission.decide(now) {
            let (message_id, answer) = match decision {
                Decision::Admit(message_id) => (message_id, None),
                Decision::Reject(message_id) => (message_id, Some(Answer::Rejected)),
            };
            let Some(pending) = self.pending.remove(&message_id) else {
                continue;
            };
            self.counters.invoked += u64::from(answer.is_none());
            self.counters.given_up += u64::from(answer.is_some());
            let PendingMessage {
                delivery,
                effect,
                message,
            } = pending;
            let actions =
                self.ledger
                    .delivered(message_id, effect, delivery, message.into(), answer);
            if self.ledger.answer(message_id).is_some() {
                // It was set aside: nothing is dispatched for it.
                self.admission.cancel(message_id);
            }
            self.perform(now, actions);
        }
    }

    fn set_poison_messages_aside(&mut self, now: f64) {
        while let Some(PoisonMessage {
            message_id,
            delivery,
            why,
        }) = self.poison_messages.pop_front()
        {
            let id = delivery_id(&delivery);
            let message = StoredMessage {
                name: Rules::name(&delivery),
                reply: self.rules.reply(&delivery),
                topic: delivery.topic,
                payload: delivery.payload,
                target: InvocationTarget::default(),
                expires_at: now,
            };
            let answer = Some(Answer::SetAside { reason: why });
            let actions = self.ledger.delivered(
                message_id,
                Idempotency::NonIdempotent,
                id,
                message.into(),
                answer,
            );
            self.perform(now, actions);
        }
    }
}
