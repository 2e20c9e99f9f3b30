//! Handles deliveries until they are admitted to the ledger.

use super::{Consumer, DECISION_INTERVAL};
use crate::admission::{Decision, WaitingMessage};
use crate::ledger::{Answer, DeliveryId, Idempotency, InvocationTarget, StoredMessage};
use crate::rules::{Invocation, Rules};
use orchidtally_deployment::Deployment;
use orchidtally_dispatch_policy::interface;
use orchidtally_mqtt::packet::Qos;
use orchidtally_mqtt::session::{ConnectionError, Delivery};

/// A delivery that waits for admission.
#[derive(Clone, Debug)]
pub(super) struct PendingMessage {
    delivery: DeliveryId,
    idempotency: Idempotency,
    message: StoredMessage,
}

/// A delivery that can never be invoked.
pub(super) struct PoisonMessage {
    pub(super) message_id: u64,
    delivery: Delivery,
    reason: String,
}

fn delivery_id(delivery: &Delivery) -> DeliveryId {
    DeliveryId {
        packet_id: delivery.number.map(|_| delivery.id),
        is_qos2: delivery.qos == Qos::ExactlyOnce,
    }
}

/// Returns whether the invocation of a message may run more than once.
fn idempotency(policy: &interface::TriggerType, now: f64) -> Idempotency {
    match (policy.idempotency, policy.deduplication_scope) {
        (interface::Idempotency::Idempotent, _) => Idempotency::Idempotent,
        (interface::Idempotency::Keyed, interface::DeduplicationScope::All) => Idempotency::Keyed {
            expires_at: now + policy.deduplication_window,
        },
        // Failure mode: executors that deduplicate only within a part of the fleet don't recognize a token on an
        // executor of another part, so that a retry could run twice. Such types are handled as non-idempotent.
        (interface::Idempotency::Keyed | interface::Idempotency::NonIdempotent, _) => {
            Idempotency::NonIdempotent
        }
    }
}

impl Consumer {
    /// The time at which the publisher of a message gives up.
    fn expires_at(&self, invocation: &Invocation, now: f64) -> f64 {
        let rule_timeout = self.rules.list[invocation.rule].timeout;
        let since_sent = invocation
            .sent_at
            .map_or(f64::INFINITY, |sent_at| sent_at + rule_timeout);
        since_sent.min(now + invocation.timeout)
    }

    /// Queues a delivery, which stays unacknowledged until it is admitted. Retained messages are acknowledged and not
    /// invoked.
    pub(super) fn handle_delivery(
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
        match self.rules.invocation(deployment, &delivery) {
            Ok(invocation) => {
                self.enqueue_invocation(now, message_id, delivery, invocation, deployment)
            }
            Err(poison) => {
                let reason = poison.to_string();
                self.poison_messages.push_back(PoisonMessage {
                    message_id,
                    delivery,
                    reason,
                });
                Ok(())
            }
        }
    }

    fn enqueue_invocation(
        &mut self,
        now: f64,
        message_id: u64,
        delivery: Delivery,
        invocation: Invocation,
        deployment: &Deployment,
    ) -> Result<(), ConnectionError> {
        let policy = &deployment.policy.trigger_types[invocation.trigger_type];
        let idempotency = idempotency(policy, now);
        let expires_at = self.expires_at(&invocation, now);
        let waiting = WaitingMessage {
            trigger_type: invocation.trigger_type,
            value: policy.billed_value,
            deadline: expires_at - self.reply_margin,
            key: invocation.key,
        };
        if !self.admission.enqueue(message_id, waiting) {
            if delivery.number.is_none() {
                self.counters.dropped += 1;
                return Ok(());
            }
            return Err(ConnectionError::Protocol(
                "more deliveries than the client can queue",
            ));
        }
        let has_key = policy.idempotency == interface::Idempotency::Keyed;
        let target = InvocationTarget {
            function: invocation.function,
            trigger_type: deployment.trigger_types[invocation.trigger_type]
                .name
                .clone(),
            customer: invocation.customer,
            token: if has_key {
                invocation.token
            } else {
                String::new()
            },
        };
        let id = delivery_id(&delivery);
        let message = StoredMessage {
            name: invocation.name,
            topic: delivery.topic,
            payload: invocation.payload,
            reply: invocation.reply,
            target,
            expires_at,
        };
        self.pending.insert(
            message_id,
            PendingMessage {
                delivery: id,
                idempotency,
                message,
            },
        );
        Ok(())
    }

    /// Admits messages up to the limits and rejects those that can't be answered in time.
    pub(super) fn decide(&mut self, now: f64) {
        self.next_decision_at = now + DECISION_INTERVAL;
        let must_wait = self.journal.is_failing()
            || self.journal.is_full()
            || self.is_draining
            || self.deferred_deliveries.is_some();
        if must_wait {
            return;
        }
        self.dead_letter_poison_messages(now);
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
                idempotency,
                message,
            } = pending;
            let actions =
                self.ledger
                    .delivered(message_id, idempotency, delivery, message.into(), answer);
            if self.ledger.answer(message_id).is_some() {
                // It has an answer already, such as a dead letter: nothing is dispatched for it.
                self.admission.cancel(message_id);
            }
            self.perform(now, actions);
        }
    }

    fn dead_letter_poison_messages(&mut self, now: f64) {
        while let Some(PoisonMessage {
            message_id,
            delivery,
            reason,
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
            let answer = Some(Answer::DeadLettered { reason });
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
