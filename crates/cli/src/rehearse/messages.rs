//! Controllers and their broker beside a day: messages become invocations at front ends that are killed, over
//! connections that break, by way of a broker that goes down.

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

/// Of the day's rate, the messages.
const PART: f64 = 0.15;
/// Of the messages, the share of each trigger type.
const SHARES: [(&str, f64); 3] = [("act", 0.5), ("look", 0.3), ("plan", 0.2)];
const HOUSES: f64 = 12.0;
/// A connection breaks with each so-manieth packet.
const BREAKS_EVERY: u64 = 400;
/// The topics of the messages that must not run twice, by their trigger type.
const RUN_ONCE_TOPICS: &str = "house/+/act/+";
/// Of these messages, one in so many is given to two front ends where that is wanted.
const GIVES_TWICE_EVERY: u64 = 20;

/// Messages that are published beside a day's traffic.
pub struct Messages {
    stage: TestEnvironment,
    broker: Rc<BrokerServer>,
    folder: PathBuf,
    sent: Cell<u64>,
    open: RefCell<BTreeSet<String>>,
}

impl Messages {
    /// Starts the broker.
    pub fn new(stage: &TestEnvironment, seed: u64) -> io::Result<Messages> {
        let folder = std::env::temp_dir().join(format!(
            "orchidtally-messages-{}-{seed}",
            std::process::id()
        ));
        let broker = BrokerServer::start(stage, unused_address(), None)?;
        broker.broker.borrow_mut().faults.reverses_redelivery = true;
        Ok(Messages {
            stage: stage.clone(),
            broker,
            folder,
            sent: Cell::new(0),
            open: RefCell::default(),
        })
    }

    /// The section of the deployment file.
    pub fn description(&self) -> String {
        let trigger = |(name, _): &(&str, f64)| {
            format!(
                r#"{{ topic: "house/{{house}}/{name}/{{function}}", function: "{{function}}", triggerType: "{name}",
                     answer: "response", timeLeft: "3s" }}"#
            )
        };
        let triggers: Vec<String> = SHARES.iter().map(trigger).collect();
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

    fn publish_one(&self) {
        let mut drawn = self.stage.random_unit();
        let kind = SHARES.iter().find(|s| {
            drawn -= s.1;
            drawn < 0.0
        });
        let kind = kind.map_or("act", |k| k.0);
        self.sent.set(self.sent.get() + 1);
        let invocation = format!("message-{}", self.sent.get());
        let house = (self.stage.random_unit() * HOUSES) as u32;
        let function = format!("fn-{}", (self.stage.random_unit() * 6.0) as u32);
        self.open.borrow_mut().insert(invocation.clone());
        let at = self.stage.now();
        self.stage.record(TrafficRecord::MessagePublished {
            at,
            invocation: invocation.clone(),
            trigger_type: kind.into(),
        });
        self.broker.publish(Message {
            topic: format!("house/{house}/{kind}/{function}"),
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

    fn receive(&self) {
        let published = std::mem::take(&mut self.broker.broker.borrow_mut().published);
        for message in published {
            let user = |expected: &str| {
                let value = message.properties.iter().find_map(|p| match p {
                    Property::User(name, value) if name == expected => Some(value.clone()),
                    _ => None,
                });
                value.unwrap_or_default()
            };
            let invocation = user("orchidtally-invocation");
            self.open.borrow_mut().remove(&invocation);
            let outcome = user("orchidtally-outcome");
            self.stage.record(TrafficRecord::MessageAnswered {
                at: self.stage.now(),
                invocation,
                outcome,
            });
        }
    }

    /// Lets the broker give some of the messages that must not run twice to two front ends. Of the others a second
    /// run breaks no rule, so that a day in which the fault fell on those alone would prove nothing.
    fn give_twice(&self) {
        let filter = Filter::parse(RUN_ONCE_TOPICS).expect("a valid filter");
        let fault = DuplicateDelivery::one_in(GIVES_TWICE_EVERY, filter);
        self.broker.broker.borrow_mut().faults.duplicate_delivery = Some(fault);
    }

    /// Publishes through the day, breaks connections, takes the broker down once with its state, and waits for the
    /// last answers. `twice`: it gives some messages to two front ends, which has to be found.
    pub async fn perform(self: Rc<Self>, from: f64, length: f64, rate: f64, twice: bool) {
        if twice {
            self.give_twice();
        }
        let me = self.clone();
        let network = self.stage.spawn(async move {
            me.stage.sleep(from + 0.2 * length - me.stage.now()).await;
            me.broker.resets_every.set(BREAKS_EVERY);
            me.stage.sleep(0.3 * length).await;
            if let Err(fault) = me.broker.restart(0.5, true).await {
                eprintln!("the broker did not come up again: {fault}");
            }
            me.stage.sleep(0.1 * length).await;
            me.broker.send_delay.set(0.01);
            me.stage.sleep(0.05 * length).await;
            me.broker.send_delay.set(0.0);
            me.broker.stalled.activate_until(me.stage.now() + 0.5);
            me.stage.sleep(0.15 * length).await;
            me.broker.resets_every.set(0);
        });
        let mut next = from;
        while next < from + length {
            while self.stage.now() < next {
                self.receive();
                self.stage.sleep((next - self.stage.now()).min(0.01)).await;
            }
            self.publish_one();
            next += -(1.0 - self.stage.random_unit()).ln() / (PART * rate);
        }
        network.await;
        let until = self.stage.now() + 15.0;
        while !self.open.borrow().is_empty() && self.stage.now() < until {
            self.receive();
            self.stage.sleep(0.01).await;
        }
        // One too many would come about now.
        self.stage.sleep(0.5).await;
        self.receive();
    }

    /// Removes what the rehearsal has left on the disk.
    pub fn end(&self) {
        // It lies in the temporary folder, where nobody misses it.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
