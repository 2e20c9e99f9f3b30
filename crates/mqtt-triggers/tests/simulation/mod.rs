//! Front ends' consumers against a broker, over a network that breaks at any packet and disks that lose what was not
//! synced.

use bytes::{Bytes, BytesMut};
use orchidtally_deployment::Deployment;
use orchidtally_mqtt::filter::Filter;
use orchidtally_mqtt::packet::{Packet, Version};
use orchidtally_mqtt::{decode, encode};
use orchidtally_mqtt_triggers::Consumer;
use orchidtally_mqtt_triggers::consumer::HostAction;
use orchidtally_mqtt_triggers::ledger::{Answer, Record};
use orchidtally_mqtt_triggers::section::{TriggerSettings, read};
use orchidtally_test_servers::broker::{Action, Broker, DuplicateDelivery};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

pub const FRONT_ENDS: usize = 3;

pub fn deployment(version: &str, qos: u8, hands_over: bool) -> (Deployment, TriggerSettings) {
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
                broker: "127.0.0.1:1883", version: "{version}", receiveMaximum: 4, inFlight: 4, handsOver: {hands_over},
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

/// A fault that is planted, to see that it is found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Planted {
    Nothing,
    /// The disk says that it has kept what it has not: so do acknowledgements come before the journal.
    LyingDisk,
    /// That a dispatch goes out is never written.
    ForgetsDispatch,
    /// The broker gives a message to two.
    GivesTwice,
}

#[derive(Default)]
pub struct FrontEnd {
    pub consumer: Option<Consumer>,
    /// Entries on the disk, and what was handed over and is not synced: `None` replaces all.
    pub disk: Vec<Vec<u8>>,
    pub unsynced: VecDeque<(bool, Vec<u8>)>,
    pub connection: Option<u64>,
    pub up: VecDeque<Packet>,
    pub down: VecDeque<Packet>,
    /// Invocations that are out: by message, its name and whether it has run.
    pub out: BTreeMap<u64, (String, bool)>,
    pub fails: u32,
    /// An entry was not kept: none is until all is replaced.
    pub failed: bool,
}

pub struct World {
    pub random: SmallRng,
    pub now: f64,
    pub version: Version,
    pub deployment: Deployment,
    pub section: TriggerSettings,
    pub planted: Planted,
    pub broker: Broker,
    pub front_ends: Vec<FrontEnd>,
    pub connections: u64,
    pub effects: BTreeMap<String, u32>,
    pub kills: u32,
}

pub fn records(disk: &[Vec<u8>]) -> Vec<Record> {
    let read = |bytes: &Vec<u8>| match bytes.first() {
        Some(b'[') => serde_json::from_slice::<Vec<Record>>(bytes).unwrap(),
        _ => vec![serde_json::from_slice::<Record>(bytes).unwrap()],
    };
    disk.iter().flat_map(read).collect()
}

impl World {
    pub fn new(seed: u64, (version, qos, hands_over): (&str, u8, bool), planted: Planted) -> World {
        let (deployment, section) = deployment(version, qos, hands_over);
        let mut broker = Broker::default();
        broker.faults.reassigns_unacknowledged = hands_over;
        broker.faults.reverses_redelivery = seed.is_multiple_of(2);
        let gives_twice = || DuplicateDelivery::one_in(5, Filter::parse("#").unwrap());
        broker.faults.duplicate_delivery = (planted == Planted::GivesTwice).then(gives_twice);
        let mut world = World {
            random: SmallRng::seed_from_u64(seed),
            now: 1_000.0,
            version: section.version,
            deployment,
            section,
            planted,
            broker,
            front_ends: (0..FRONT_ENDS).map(|_| FrontEnd::default()).collect(),
            connections: 0,
            effects: BTreeMap::new(),
            kills: 0,
        };
        for n in 0..FRONT_ENDS {
            world.start(n);
            world.connect(n);
            // All have subscribed before the first message.
            world.settle(n);
        }
        world
    }

    pub fn start(&mut self, n: usize) {
        let fe = &mut self.front_ends[n];
        let records = records(&fe.disk);
        fe.consumer = Some(Consumer::new(
            &self.section,
            &self.deployment,
            n as u32,
            None,
            &records,
            self.now,
        ));
        self.work(n);
    }

    pub fn connect(&mut self, n: usize) {
        self.connections += 1;
        let fe = &mut self.front_ends[n];
        fe.connection = Some(self.connections);
        (fe.up, fe.down) = Default::default();
        if let Some(consumer) = &mut fe.consumer {
            consumer.connect(self.now);
        }
        self.work(n);
    }

    pub fn cut(&mut self, n: usize) {
        let fe = &mut self.front_ends[n];
        let Some(connection) = fe.connection.take() else {
            return;
        };
        (fe.up, fe.down) = Default::default();
        if let Some(consumer) = &mut fe.consumer {
            consumer.connection_lost();
        }
        let out = self.broker.connection_closed(self.now, connection, false);
        self.perform(out);
        self.work(n);
    }

    /// Dies: of what was not synced a part from the start may be on the disk, and what was out may yet run.
    pub fn kill(&mut self, n: usize) {
        self.kills += 1;
        let fe = &mut self.front_ends[n];
        let kept = if fe.failed {
            0
        } else {
            self.random.random_range(0..=fe.unsynced.len())
        };
        let lies = self.planted == Planted::LyingDisk;
        for (replaces, bytes) in
            std::mem::take(&mut fe.unsynced)
                .into_iter()
                .take(if lies { 0 } else { kept })
        {
            if replaces {
                fe.disk.clear();
            }
            fe.disk.push(bytes);
        }
        (fe.consumer, fe.failed) = (None, false);
        for (name, ran) in std::mem::take(&mut fe.out).into_values() {
            if !ran && self.random.random() {
                *self.effects.entry(name).or_default() += 1;
            }
        }
        self.cut(n);
    }

    pub fn perform(&mut self, out: Vec<Action>) {
        for out in out {
            match out {
                Action::Send(to, packet) => {
                    if let Some(fe) = self
                        .front_ends
                        .iter_mut()
                        .find(|f| f.connection == Some(to))
                    {
                        fe.down.push_back(packet);
                    }
                }
                Action::Close(to) => {
                    if let Some(n) = self
                        .front_ends
                        .iter()
                        .position(|f| f.connection == Some(to))
                    {
                        self.cut(n);
                    }
                }
            }
        }
    }

    /// What a front end does by itself: entries and packets are handed over, dispatches go out.
    pub fn work(&mut self, n: usize) {
        let planted = self.planted;
        let fe = &mut self.front_ends[n];
        let Some(consumer) = &mut fe.consumer else {
            return;
        };
        while let Some(action) = consumer.next_action() {
            match action {
                HostAction::Append(bytes) => {
                    let forgotten = planted == Planted::ForgetsDispatch
                        && String::from_utf8_lossy(&bytes).contains("\"dispatching\"");
                    if forgotten {
                        // So that it is kept in order.
                        fe.unsynced.push_back((false, b"[]".to_vec()));
                    } else {
                        fe.unsynced.push_back((false, bytes));
                    }
                    if planted == Planted::LyingDisk {
                        consumer.journal_appended(self.now, true);
                    }
                }
                HostAction::Replace(bytes) => {
                    fe.unsynced.push_back((true, bytes));
                    if planted == Planted::LyingDisk {
                        consumer.journal_replaced(self.now, true);
                    }
                }
                HostAction::Invoke(m) => {
                    let name = consumer
                        .message(m)
                        .map_or_else(String::new, |h| h.name.clone());
                    fe.out.insert(m, (name, false));
                }
                HostAction::Cancel(m) => {
                    if let Some((name, false)) = fe.out.remove(&m)
                        && self.random.random()
                    {
                        *self.effects.entry(name).or_default() += 1;
                    }
                }
            }
        }
        while let Some(packet) = consumer.next_packet() {
            // Each goes through the codec.
            let mut bytes = BytesMut::from(&encode(&packet, self.version).unwrap()[..]);
            let (_, packet) = decode(&mut bytes, self.version, 1_000_000)
                .unwrap()
                .unwrap();
            if fe.connection.is_some() {
                fe.up.push_back(packet);
            }
        }
    }

    pub fn up(&mut self, n: usize) {
        let fe = &mut self.front_ends[n];
        let (Some(connection), Some(packet)) = (fe.connection, fe.up.pop_front()) else {
            return;
        };
        let out = self
            .broker
            .handle_packet(self.now, connection, self.version, packet);
        self.perform(out);
    }

    pub fn down(&mut self, n: usize) {
        let fe = &mut self.front_ends[n];
        let (Some(consumer), Some(packet)) = (&mut fe.consumer, fe.down.pop_front()) else {
            return;
        };
        if let Err(ended) = consumer.received(self.now, packet, &self.deployment) {
            panic!("the broker and the consumer don't understand each other: {ended}");
        }
        self.work(n);
    }

    /// The disk comes to its next entry, or fails.
    pub fn sync(&mut self, n: usize, may_fail: bool) {
        let fails = may_fail && self.random.random_range(0..12) == 0;
        let lies = self.planted == Planted::LyingDisk;
        let fe = &mut self.front_ends[n];
        let (Some(consumer), Some((replaces, bytes))) = (&mut fe.consumer, fe.unsynced.pop_front())
        else {
            return;
        };
        let fails = fails || fe.failed && !replaces;
        fe.failed = fails;
        if fails {
            fe.fails += 1;
        } else {
            if replaces {
                fe.disk.clear();
            }
            fe.disk.push(bytes);
        }
        match replaces {
            _ if lies => {}
            true => consumer.journal_replaced(self.now, !fails),
            false => consumer.journal_appended(self.now, !fails),
        }
        self.work(n);
    }

    pub fn run(&mut self, n: usize) {
        let fe = &mut self.front_ends[n];
        let Some((&m, (name, ran))) = fe.out.iter_mut().next() else {
            return;
        };
        if !std::mem::replace(ran, true) {
            *self.effects.entry(name.clone()).or_default() += 1;
            return;
        }
        fe.out.remove(&m);
        if let Some(consumer) = &mut fe.consumer {
            consumer.invocation_ended(
                self.now,
                m,
                Answer::Succeeded {
                    payload: Bytes::from_static(b"well"),
                },
            );
        }
        self.work(n);
    }

    pub fn turn(&mut self, n: usize) {
        let fe = &mut self.front_ends[n];
        if let Some(consumer) = &mut fe.consumer
            && consumer.tick(self.now).is_err()
        {
            self.cut(n);
        }
        self.work(n);
    }

    /// All goes well for a while.
    pub fn settle(&mut self, n: usize) {
        if self.front_ends[n].consumer.is_none() {
            self.start(n);
        }
        if self.front_ends[n].connection.is_none() {
            self.connect(n);
        }
        for _ in 0..20 {
            self.turn(n);
            for step in [World::up, World::down, World::run] {
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
            0..=27 => self.up(n),
            28..=55 => self.down(n),
            56..=75 => self.sync(n, may_fail),
            76..=87 => self.run(n),
            88..=91 => self.turn(n),
            92..=93 => self.cut(n),
            94..=95 => self.kill(n),
            _ if self.front_ends[n].consumer.is_none() => self.start(n),
            _ if self.front_ends[n].connection.is_none() => self.connect(n),
            _ => {}
        }
    }
}
