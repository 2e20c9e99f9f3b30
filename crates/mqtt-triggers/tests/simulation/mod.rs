//! A simulation of consumers and a broker, with a network that fails between any two packets and disks that lose data
//! that was not synced.

use bytes::{Bytes, BytesMut};
use orchidtally_deployment::Deployment;
use orchidtally_mqtt::filter::Filter;
use orchidtally_mqtt::packet::{Packet, Version};
use orchidtally_mqtt::{decode, encode};
use orchidtally_mqtt_triggers::Consumer;
use orchidtally_mqtt_triggers::consumer::HostAction;
use orchidtally_mqtt_triggers::ledger::{Answer, Record};
use orchidtally_mqtt_triggers::settings::{TriggerSettings, read};
use orchidtally_test_servers::broker::{Action, Broker, DuplicateDelivery};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

pub const FRONT_ENDS: usize = 3;

pub fn deployment(
    version: &str,
    qos: u8,
    reassigns_unacknowledged: bool,
) -> (Deployment, TriggerSettings) {
    let text = format!(
        r#"{{
            frontEnds: {{ count: {FRONT_ENDS} }},
            triggerTypes: [
                {{ name: "act", effect: "nonIdempotent", objective: "9s", timeout: "1h" }},
                {{ name: "look", effect: "idempotent", objective: "9s", timeout: "1h" }},
                {{ name: "plan", effect: "tokened", group: "all", window: "1000s", objective: "9s", timeout: "1h" }},
            ],
            otherFunctions: {{}},
            executors: {{ list: [{{ address: "127.0.0.1:7001" }}] }},
            mqtt: {{
                broker: "127.0.0.1:1883", version: "{version}", receiveMaximum: 4, inFlight: 4, handsOver: {reassigns_unacknowledged},
                journal: {{ folder: "{{index}}", maxBytes: "64KiB" }}, setAside: {{ topic: "aside", after: 50 }},
                triggers: [
                    {{ topic: "act/{{id}}", function: "f", triggerType: "act", answer: "done/{{id}}", qos: {qos} }},
                    {{ topic: "look/{{id}}", function: "f", triggerType: "look", answer: "done/{{id}}", qos: {qos} }},
                    {{ topic: "plan/{{id}}", function: "f", triggerType: "plan", answer: "done/{{id}}", qos: {qos} }},
                    {{ topic: "json/{{id}}", function: "f", triggerType: "look", payload: "json", answer: "done/{{id}}", qos: {qos} }},
                ],
            }},
        }}"#
    );
    let (deployment, section) = read(&text).unwrap_or_else(|f| panic!("{f:?}"));
    (deployment, section.unwrap())
}

/// A fault that is injected to check that the tests detect it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedFault {
    NoFault,
    /// The disk reports writes as synced that are not, so that messages are acknowledged before they are persisted.
    ReportsUnsyncedWrites,
    /// The records of dispatches are not written.
    OmitsDispatchRecord,
    /// The broker delivers messages to two clients.
    DeliversTwice,
}

#[derive(Default)]
pub struct FrontEnd {
    pub consumer: Option<Consumer>,
    /// The journal entries on disk, and the writes that are not synced, with whether each replaces the whole journal.
    pub disk: Vec<Vec<u8>>,
    pub unsynced: VecDeque<(bool, Vec<u8>)>,
    pub connection: Option<u64>,
    pub to_broker: VecDeque<Packet>,
    pub to_consumer: VecDeque<Packet>,
    /// Open invocations by message id: the name and whether the function has run.
    pub open_invocations: BTreeMap<u64, (String, bool)>,
    pub disk_failures: u32,
    /// A write has failed: all appends fail until the journal is replaced.
    pub disk_failed: bool,
}

pub struct Simulation {
    pub random: SmallRng,
    pub now: f64,
    pub version: Version,
    pub deployment: Deployment,
    pub section: TriggerSettings,
    pub injected_fault: InjectedFault,
    pub broker: Broker,
    pub front_ends: Vec<FrontEnd>,
    pub connections: u64,
    pub effects: BTreeMap<String, u32>,
    pub crashes: u32,
}

pub fn records(disk: &[Vec<u8>]) -> Vec<Record> {
    let read = |bytes: &Vec<u8>| match bytes.first() {
        Some(b'[') => serde_json::from_slice::<Vec<Record>>(bytes).unwrap(),
        _ => vec![serde_json::from_slice::<Record>(bytes).unwrap()],
    };
    disk.iter().flat_map(read).collect()
}

impl Simulation {
    pub fn new(
        seed: u64,
        (version, qos, reassigns_unacknowledged): (&str, u8, bool),
        injected_fault: InjectedFault,
    ) -> Simulation {
        let (deployment, section) = deployment(version, qos, reassigns_unacknowledged);
        let mut broker = Broker::default();
        broker.faults.reassigns_unacknowledged = reassigns_unacknowledged;
        broker.faults.reverses_redelivery = seed.is_multiple_of(2);
        let duplicate_deliveries = || DuplicateDelivery::one_in(5, Filter::parse("#").unwrap());
        broker.faults.duplicate_delivery =
            (injected_fault == InjectedFault::DeliversTwice).then(duplicate_deliveries);
        let mut simulation = Simulation {
            random: SmallRng::seed_from_u64(seed),
            now: 1_000.0,
            version: section.version,
            deployment,
            section,
            injected_fault,
            broker,
            front_ends: (0..FRONT_ENDS).map(|_| FrontEnd::default()).collect(),
            connections: 0,
            effects: BTreeMap::new(),
            crashes: 0,
        };
        for n in 0..FRONT_ENDS {
            simulation.start(n);
            simulation.connect(n);
            // Every consumer has to subscribe before the first message.
            simulation.settle(n);
        }
        simulation
    }

    pub fn start(&mut self, n: usize) {
        let front_end = &mut self.front_ends[n];
        let records = records(&front_end.disk);
        front_end.consumer = Some(Consumer::new(
            &self.section,
            &self.deployment,
            n as u32,
            None,
            &records,
            self.now,
        ));
        self.process_outputs(n);
    }

    pub fn connect(&mut self, n: usize) {
        self.connections += 1;
        let front_end = &mut self.front_ends[n];
        front_end.connection = Some(self.connections);
        (front_end.to_broker, front_end.to_consumer) = Default::default();
        if let Some(consumer) = &mut front_end.consumer {
            consumer.connect(self.now);
        }
        self.process_outputs(n);
    }

    pub fn disconnect(&mut self, n: usize) {
        let front_end = &mut self.front_ends[n];
        let Some(connection) = front_end.connection.take() else {
            return;
        };
        (front_end.to_broker, front_end.to_consumer) = Default::default();
        if let Some(consumer) = &mut front_end.consumer {
            consumer.connection_lost();
        }
        let actions = self.broker.connection_closed(self.now, connection, false);
        self.perform(actions);
        self.process_outputs(n);
    }

    /// Crashes a front end. A random prefix of the unsynced writes reaches the disk, and open invocations may still run.
    pub fn crash(&mut self, n: usize) {
        self.crashes += 1;
        let front_end = &mut self.front_ends[n];
        let synced = if front_end.disk_failed {
            0
        } else {
            self.random.random_range(0..=front_end.unsynced.len())
        };
        let reports_unsynced = self.injected_fault == InjectedFault::ReportsUnsyncedWrites;
        for (is_replacement, bytes) in std::mem::take(&mut front_end.unsynced)
            .into_iter()
            .take(if reports_unsynced { 0 } else { synced })
        {
            if is_replacement {
                front_end.disk.clear();
            }
            front_end.disk.push(bytes);
        }
        (front_end.consumer, front_end.disk_failed) = (None, false);
        for (name, ran) in std::mem::take(&mut front_end.open_invocations).into_values() {
            if !ran && self.random.random() {
                *self.effects.entry(name).or_default() += 1;
            }
        }
        self.disconnect(n);
    }

    pub fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, packet) => {
                    if let Some(front_end) = self
                        .front_ends
                        .iter_mut()
                        .find(|f| f.connection == Some(to))
                    {
                        front_end.to_consumer.push_back(packet);
                    }
                }
                Action::Close(to) => {
                    if let Some(n) = self
                        .front_ends
                        .iter()
                        .position(|f| f.connection == Some(to))
                    {
                        self.disconnect(n);
                    }
                }
            }
        }
    }

    /// Processes the outputs of a consumer: journal entries, invocations and packets.
    pub fn process_outputs(&mut self, n: usize) {
        let injected_fault = self.injected_fault;
        let front_end = &mut self.front_ends[n];
        let Some(consumer) = &mut front_end.consumer else {
            return;
        };
        while let Some(action) = consumer.next_action() {
            match action {
                HostAction::Append(bytes) => {
                    let is_omitted = injected_fault == InjectedFault::OmitsDispatchRecord
                        && String::from_utf8_lossy(&bytes).contains("\"dispatching\"");
                    if is_omitted {
                        // An empty write keeps the results in order.
                        front_end.unsynced.push_back((false, b"[]".to_vec()));
                    } else {
                        front_end.unsynced.push_back((false, bytes));
                    }
                    if injected_fault == InjectedFault::ReportsUnsyncedWrites {
                        consumer.journal_appended(self.now, true);
                    }
                }
                HostAction::Replace(bytes) => {
                    front_end.unsynced.push_back((true, bytes));
                    if injected_fault == InjectedFault::ReportsUnsyncedWrites {
                        consumer.journal_replaced(self.now, true);
                    }
                }
                HostAction::Invoke(message_id) => {
                    let name = consumer
                        .message(message_id)
                        .map_or_else(String::new, |h| h.name.clone());
                    front_end.open_invocations.insert(message_id, (name, false));
                }
                HostAction::Cancel(message_id) => {
                    if let Some((name, false)) = front_end.open_invocations.remove(&message_id)
                        && self.random.random()
                    {
                        *self.effects.entry(name).or_default() += 1;
                    }
                }
            }
        }
        while let Some(packet) = consumer.next_packet() {
            // Each packet is encoded and decoded.
            let mut bytes = BytesMut::from(&encode(&packet, self.version).unwrap()[..]);
            let (_, packet) = decode(&mut bytes, self.version, 1_000_000)
                .unwrap()
                .unwrap();
            if front_end.connection.is_some() {
                front_end.to_broker.push_back(packet);
            }
        }
    }

    pub fn deliver_to_broker(&mut self, n: usize) {
        let front_end = &mut self.front_ends[n];
        let (Some(connection), Some(packet)) =
            (front_end.connection, front_end.to_broker.pop_front())
        else {
            return;
        };
        let actions = self
            .broker
            .handle_packet(self.now, connection, self.version, packet);
        self.perform(actions);
    }

    pub fn deliver_to_consumer(&mut self, n: usize) {
        let front_end = &mut self.front_ends[n];
        let (Some(consumer), Some(packet)) =
            (&mut front_end.consumer, front_end.to_consumer.pop_front())
        else {
            return;
        };
        if let Err(ended) = consumer.received(self.now, packet, &self.deployment) {
            panic!("the consumer rejected a packet of the broker: {ended}");
        }
        self.process_outputs(n);
    }

    /// Syncs the next write, or fails it.
    pub fn sync(&mut self, n: usize, may_fail: bool) {
        let fails = may_fail && self.random.random_range(0..12) == 0;
        let reports_unsynced = self.injected_fault == InjectedFault::ReportsUnsyncedWrites;
        let front_end = &mut self.front_ends[n];
        let (Some(consumer), Some((is_replacement, bytes))) =
            (&mut front_end.consumer, front_end.unsynced.pop_front())
        else {
            return;
        };
        let fails = fails || front_end.disk_failed && !is_replacement;
        front_end.disk_failed = fails;
        if fails {
            front_end.disk_failures += 1;
        } else {
            if is_replacement {
                front_end.disk.clear();
            }
            front_end.disk.push(bytes);
        }
        match is_replacement {
            _ if reports_unsynced => {}
            true => consumer.journal_replaced(self.now, !fails),
            false => consumer.journal_appended(self.now, !fails),
        }
        self.process_outputs(n);
    }

    pub fn advance_invocation(&mut self, n: usize) {
        let front_end = &mut self.front_ends[n];
        let Some((&message_id, (name, ran))) = front_end.open_invocations.iter_mut().next() else {
            return;
        };
        if !std::mem::replace(ran, true) {
            *self.effects.entry(name.clone()).or_default() += 1;
            return;
        }
        front_end.open_invocations.remove(&message_id);
        if let Some(consumer) = &mut front_end.consumer {
            consumer.invocation_ended(
                self.now,
                message_id,
                Answer::Succeeded {
                    payload: Bytes::from_static(b"well"),
                },
            );
        }
        self.process_outputs(n);
    }

    pub fn tick_consumer(&mut self, n: usize) {
        let front_end = &mut self.front_ends[n];
        if let Some(consumer) = &mut front_end.consumer
            && consumer.tick(self.now).is_err()
        {
            self.disconnect(n);
        }
        self.process_outputs(n);
    }

    /// Runs a front end without faults for several rounds.
    pub fn settle(&mut self, n: usize) {
        if self.front_ends[n].consumer.is_none() {
            self.start(n);
        }
        if self.front_ends[n].connection.is_none() {
            self.connect(n);
        }
        for _ in 0..20 {
            self.tick_consumer(n);
            for step in [
                Simulation::deliver_to_broker,
                Simulation::deliver_to_consumer,
                Simulation::advance_invocation,
            ] {
                for _ in 0..10 {
                    step(self, n);
                }
            }
            for _ in 0..10 {
                self.sync(n, false);
            }
        }
    }

    pub fn step(&mut self, may_fail: bool) {
        let n = self.random.random_range(0..FRONT_ENDS);
        self.now += 0.01;
        match self.random.random_range(0..100) {
            0..=27 => self.deliver_to_broker(n),
            28..=55 => self.deliver_to_consumer(n),
            56..=75 => self.sync(n, may_fail),
            76..=87 => self.advance_invocation(n),
            88..=91 => self.tick_consumer(n),
            92..=93 => self.disconnect(n),
            94..=95 => self.crash(n),
            _ if self.front_ends[n].consumer.is_none() => self.start(n),
            _ if self.front_ends[n].connection.is_none() => self.connect(n),
            _ => {}
        }
    }
}
