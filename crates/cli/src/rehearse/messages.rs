//! MQTT messages for a rehearsal: controllers publish through a broker whose connections break and which restarts once,
//! and front ends, some of which are killed, turn the messages into invocations.

use bytes::Bytes;
use orchidtally_invariants::TrafficRecord;
use orchidtally_mqtt::filter::Filter;
use orchidtally_mqtt::packet::{Property, Qos};
use orchidtally_test_servers::broker::{BrokerServer, DuplicateDelivery, Message};
use orchidtally_test_servers::{TestEnvironment, unused_address};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

/// The rate of messages, as a share of the scenario's rate of invocations.
const MESSAGE_SHARE: f64 = 0.15;
/// The share of each trigger type in the messages.
const TRIGGER_TYPE_SHARES: [(&str, f64); 3] = [("act", 0.5), ("look", 0.3), ("plan", 0.2)];
/// The number of houses in the topics.
const HOUSES: f64 = 12.0;
/// One in so many packets breaks its connection.
const PACKETS_PER_DISCONNECT: u64 = 400;
/// Topic filter of the messages of the non-idempotent trigger type, which must not be executed twice.
const NON_IDEMPOTENT_TOPICS: &str = "house/+/act/+";
/// One in so many of these messages is delivered to two front ends, if duplicates are enabled.
const DUPLICATE_INTERVAL: u64 = 20;

/// The broker, and the messages that are published beside the scenario's traffic.
pub struct Messages {
    environment: TestEnvironment,
    broker: Rc<BrokerServer>,
    folder: PathBuf,
    sent: Cell<u64>,
    /// Invocations of messages that have no answer yet.
    unanswered: RefCell<BTreeSet<String>>,
}

impl Messages {
    /// Starts the broker.
    pub fn new(environment: &TestEnvironment, seed: u64) -> io::Result<Messages> {
        let folder = std::env::temp_dir().join(format!(
            "orchidtally-messages-{}-{seed}",
            std::process::id()
        ));
        let broker = BrokerServer::start(environment, unused_address(), None)?;
        broker.broker.borrow_mut().faults.reverses_redelivery = true;
        Ok(Messages {
            environment: environment.clone(),
            broker,
            folder,
            sent: Cell::new(0),
            unanswered: RefCell::default(),
        })
    }

    /// The section `mqtt` of the deployment file.
    pub fn deployment_section(&self) -> String {
        let trigger = |(name, _): &(&str, f64)| {
            format!(
                r#"{{ topic: "house/{{house}}/{name}/{{function}}", function: "{{function}}", triggerType: "{name}",
                     answer: "response", timeLeft: "3s" }}"#
            )
        };
        let triggers: Vec<String> = TRIGGER_TYPE_SHARES.iter().map(trigger).collect();
        format!(
            r#"mqtt: {{
    broker: "{}", clientId: "front-end-{{index}}", receiveMaximum: 64, inFlight: 64, handsOver: false, keepAlive: "2s",
    journal: {{ folder: "{}/{{index}}", maxBytes: "1MiB" }}, answerMargin: "200ms",
    triggers: [ {} ],
  }},
"#,
            self.broker.address,
            self.folder.display(),
            triggers.join(", ")
        )
    }

    /// Publishes a message of a random trigger type, house and function.
    fn publish_one(&self) {
        let mut remainder = self.environment.random_unit();
        let trigger_type = TRIGGER_TYPE_SHARES.iter().find(|s| {
            remainder -= s.1;
            remainder < 0.0
        });
        let trigger_type = trigger_type.map_or("act", |k| k.0);
        self.sent.set(self.sent.get() + 1);
        let invocation = format!("message-{}", self.sent.get());
        let house = (self.environment.random_unit() * HOUSES) as u32;
        let function = format!("fn-{}", (self.environment.random_unit() * 6.0) as u32);
        self.unanswered.borrow_mut().insert(invocation.clone());
        let at = self.environment.now();
        self.environment.record(TrafficRecord::MessagePublished {
            at,
            invocation: invocation.clone(),
            trigger_type: trigger_type.into(),
        });
        self.broker.publish(Message {
            topic: format!("house/{house}/{trigger_type}/{function}"),
            payload: Bytes::from_static(b"setpoint"),
            qos: Qos::ExactlyOnce,
            retain: false,
            properties: vec![
                Property::ResponseTopic(format!("answers/{house}")),
                Property::CorrelationData(invocation.clone().into()),
                Property::User("orchidtally-invocation".into(), invocation),
            ],
            expires_at: f64::INFINITY,
        });
    }

    /// Records the answers that front ends have published.
    fn receive(&self) {
        let published = std::mem::take(&mut self.broker.broker.borrow_mut().published);
        for message in published {
            let user_property = |expected: &str| {
                let value = message.properties.iter().find_map(|p| match p {
                    Property::User(name, value) if name == expected => Some(value.clone()),
                    _ => None,
                });
                value.unwrap_or_default()
            };
            let invocation = user_property("orchidtally-invocation");
            self.unanswered.borrow_mut().remove(&invocation);
            let outcome = user_property("orchidtally-outcome");
            self.environment.record(TrafficRecord::MessageAnswered {
                at: self.environment.now(),
                invocation,
                outcome,
            });
        }
    }

    /// Makes the broker deliver some messages of the non-idempotent type to two front ends. A second execution of the
    /// other types breaks no rule, so a run in which only those are duplicated would prove nothing.
    fn enable_duplicates(&self) {
        let filter = Filter::parse(NON_IDEMPOTENT_TOPICS).expect("a valid filter");
        let fault = DuplicateDelivery::one_in(DUPLICATE_INTERVAL, filter);
        self.broker.broker.borrow_mut().faults.duplicate_delivery = Some(fault);
    }

    /// Publishes for the duration of the scenario, breaks connections, restarts the broker once with its state, and
    /// waits at most 15 s for the last answers. With `with_duplicates` some messages are delivered to two front ends, a
    /// violation that the check has to find.
    pub async fn run(self: Rc<Self>, from: f64, length: f64, rate: f64, with_duplicates: bool) {
        if with_duplicates {
            self.enable_duplicates();
        }
        let this = self.clone();
        let network = self.environment.spawn(async move {
            this.environment
                .sleep(from + 0.2 * length - this.environment.now())
                .await;
            this.broker.resets_every.set(PACKETS_PER_DISCONNECT);
            this.environment.sleep(0.3 * length).await;
            if let Err(fault) = this.broker.restart(0.5, true).await {
                eprintln!("the broker did not restart: {fault}");
            }
            this.environment.sleep(0.1 * length).await;
            this.broker.send_delay.set(0.01);
            this.environment.sleep(0.05 * length).await;
            this.broker.send_delay.set(0.0);
            this.broker
                .stalled
                .activate_until(this.environment.now() + 0.5);
            this.environment.sleep(0.15 * length).await;
            this.broker.resets_every.set(0);
        });
        let mut next = from;
        while next < from + length {
            while self.environment.now() < next {
                self.receive();
                self.environment
                    .sleep((next - self.environment.now()).min(0.01))
                    .await;
            }
            self.publish_one();
            next += -(1.0 - self.environment.random_unit()).ln() / (MESSAGE_SHARE * rate);
        }
        network.await;
        let until = self.environment.now() + 15.0;
        while !self.unanswered.borrow().is_empty() && self.environment.now() < until {
            self.receive();
            self.environment.sleep(0.01).await;
        }
        // Leaves time for surplus answers to arrive.
        self.environment.sleep(0.5).await;
        self.receive();
    }

    /// Removes the front ends' journals.
    pub fn remove_files(&self) {
        // An error is ignored: a folder left in the temporary folder does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
