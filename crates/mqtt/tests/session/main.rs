//! Tests of the session against a reference server that keeps its state, with connections that break between any two
//! packets and simulated time.

mod server;

use bytes::Bytes;
use orchidtally_mqtt::packet::*;
use orchidtally_mqtt::session::{ConnectionError, Delivery, Event, Session, SessionOptions};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use server::{Server, payload_number};
use std::collections::{BTreeMap, VecDeque};

fn options(version: Version) -> SessionOptions {
    SessionOptions {
        version,
        client_id: "c".into(),
        username: None,
        password: None,
        keep_alive: 20,
        session_expiry: 3_600,
        receive_maximum: 3,
        max_packet_size: 100_000,
        topic_alias_maximum: 2,
        will: None,
        subscriptions: vec![Subscription {
            filter: "in/#".into(),
            qos: Qos::ExactlyOnce,
            no_local: false,
            retain_as_published: false,
            retain_handling: 0,
        }],
        max_queued_publishes: 50,
        requests_confirmation: false,
    }
}

#[derive(Clone, Debug)]
enum Step {
    Publish(Qos),
    Deliver(Qos),
    /// Transfers up to this many packets to the server and to the client, then breaks the connection.
    BreakConnection(usize, usize),
    Transfer,
    Acknowledge,
}

fn step() -> impl Strategy<Value = Step> {
    let qos = || prop_oneof![Just(Qos::AtLeastOnce), Just(Qos::ExactlyOnce)];
    prop_oneof![
        3 => qos().prop_map(Step::Publish),
        3 => qos().prop_map(Step::Deliver),
        2 => (0usize..4, 0usize..4).prop_map(|(a, b)| Step::BreakConnection(a, b)),
        2 => Just(Step::Transfer),
        3 => Just(Step::Acknowledge),
    ]
}

struct Harness {
    session: Session,
    server: Server,
    now: f64,
    unacknowledged: VecDeque<Delivery>,
    /// By payload: the number of deliveries, and whether an acknowledgement was sent.
    delivered: BTreeMap<u32, (u32, bool)>,
    published: BTreeMap<u64, u32>,
    sent: BTreeMap<u64, (u32, Qos)>,
}

impl Harness {
    fn transfer_to_server(&mut self, n: usize) {
        for _ in 0..n {
            let Some(packet) = self.session.next_packet() else {
                return;
            };
            self.server.receive(packet);
        }
    }

    fn transfer_to_client(&mut self, n: usize) {
        for _ in 0..n {
            let Some(packet) = self.server.to_client.pop_front() else {
                return;
            };
            for event in self.session.received(self.now, packet).unwrap() {
                match event {
                    Event::Delivered(d) => {
                        let seen = self
                            .delivered
                            .entry(payload_number(&d.payload))
                            .or_default();
                        seen.0 += 1;
                        assert!(seen.0 == 1 || d.dup, "a redelivery has the DUP flag");
                        self.unacknowledged.push_back(d);
                    }
                    Event::Published { token, code: 0 } => {
                        *self.published.entry(token).or_default() += 1
                    }
                    Event::Published { .. } => panic!("the server rejected no message"),
                    Event::Subscribed { refused } => assert!(refused.is_empty()),
                    Event::Connected { .. }
                    | Event::Confirmed { .. }
                    | Event::Resumed
                    | Event::Recorded { .. } => {}
                }
            }
        }
    }

    fn reconnect(&mut self) {
        self.session.connection_lost();
        self.server.to_client.clear();
        self.session.connect(self.now);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn messages_survive_connections_that_break_anywhere(steps in proptest::collection::vec(step(), 1..60), v5: bool) {
        let version = if v5 { Version::V5 } else { Version::V311 };
        let mut harness = Harness {
            session: Session::new(options(version)),
            server: Server::default(),
            now: 0.0,
            unacknowledged: VecDeque::new(),
            delivered: BTreeMap::new(),
            published: BTreeMap::new(),
            sent: BTreeMap::new(),
        };
        harness.reconnect();
        let mut n = 0;
        for step in steps {
            n += 1;
            harness.now += 0.1;
            match step {
                Step::Publish(qos) => {
                    let token = harness.session.publish(harness.now, "out/x", n.to_string().into(), qos, vec![]).unwrap();
                    harness.sent.insert(token, (n, qos));
                }
                Step::Deliver(qos) => harness.server.queued.push_back((n, qos)),
                Step::BreakConnection(transfer_to_server, transfer_to_client) => {
                    harness.transfer_to_server(transfer_to_server);
                    harness.transfer_to_client(transfer_to_client);
                    harness.reconnect();
                    harness.unacknowledged.clear();
                }
                Step::Transfer => {
                    harness.transfer_to_server(100);
                    harness.transfer_to_client(100);
                    prop_assert!(harness.session.unacknowledged() <= 3, "the server exceeded the receive maximum");
                }
                Step::Acknowledge => {
                    if let Some(d) = harness.unacknowledged.pop_front() {
                        let was_sent = harness.session.acknowledge(harness.now, d.number.unwrap(), 0);
                        harness.delivered.get_mut(&payload_number(&d.payload)).unwrap().1 = was_sent;
                    }
                }
            }
        }
        // Without further faults all exchanges complete.
        for _ in 0..200 {
            harness.transfer_to_server(100);
            harness.server.pump();
            harness.transfer_to_client(100);
            while let Some(d) = harness.unacknowledged.pop_front() {
                prop_assert!(harness.session.acknowledge(harness.now, d.number.unwrap(), 0));
            }
        }
        prop_assert_eq!((harness.session.unacknowledged_publishes(), harness.server.in_flight.len(), harness.server.queued.len()), (0, 0, 0));
        for (token, (n, qos)) in &harness.sent {
            prop_assert_eq!(harness.published.get(token), Some(&1), "each result is reported once");
            let times = harness.server.accepted.iter().filter(|t| *t == n).count();
            prop_assert!(times == 1 || *qos == Qos::AtLeastOnce && times > 1, "{} was accepted {} times", n, times);
        }
    }
}

fn connected(version: Version) -> Session {
    let mut s = Session::new(options(version));
    s.connect(0.0);
    let ack = ConnAck {
        properties: vec![
            Property::ServerKeepAlive(8),
            Property::MaximumPacketSize(500),
        ],
        ..ConnAck::default()
    };
    assert_eq!(
        s.received(0.0, Packet::ConnAck(ack)).unwrap(),
        [Event::Connected {
            session_present: false
        }]
    );
    while s.next_packet().is_some() {}
    s
}

#[test]
fn an_unresponsive_server_times_out_and_an_idle_connection_is_pinged() {
    let mut s = Session::new(options(Version::V5));
    s.connect(0.0);
    assert_eq!(
        (s.next_tick_at(), s.tick(10.0)),
        (10.0, Err(ConnectionError::Timeout))
    );
    let mut s = connected(Version::V5);
    let answer = Packet::SubAck(Codes {
        id: 1,
        properties: vec![],
        codes: vec![0x87],
    });
    assert_eq!(
        s.received(0.1, answer).unwrap(),
        [Event::Subscribed {
            refused: vec![("in/#".into(), 0x87)]
        }]
    );
    assert_eq!(
        s.next_tick_at(),
        8.0,
        "the server's keep alive overrides the client's"
    );
    assert_eq!(s.tick(7.0), Ok(()));
    assert_eq!(s.next_packet(), None);
    s.tick(8.0).unwrap();
    assert_eq!(s.next_packet(), Some(Packet::PingReq));
    assert_eq!(s.next_tick_at(), 12.0);
    let mut answered = connected(Version::V5);
    answered
        .received(
            0.1,
            Packet::SubAck(Codes {
                id: 1,
                properties: vec![],
                codes: vec![0],
            }),
        )
        .unwrap();
    answered.tick(8.0).unwrap();
    answered.received(8.1, Packet::PingResp).unwrap();
    assert_eq!(answered.next_tick_at(), 16.0);
    assert_eq!(s.tick(12.0), Err(ConnectionError::Timeout));
}

#[test]
fn protocol_violations_of_the_server_end_the_connection() {
    let publish = |id, topic: &str, properties| {
        Packet::Publish(Publish {
            qos: Qos::AtLeastOnce,
            topic: topic.into(),
            id,
            properties,
            ..Publish::default()
        })
    };
    let error = |packets: Vec<Packet>| {
        let mut s = connected(Version::V5);
        packets
            .into_iter()
            .find_map(|harness| s.received(1.0, harness).err())
            .map(|e| e.to_string())
            .unwrap_or_default()
    };
    let four = (1..5).map(|id| publish(id, "in/a", vec![])).collect();
    assert!(error(four).contains("more deliveries than the receive maximum"));
    assert!(
        error(vec![publish(1, "in/a", vec![]), publish(1, "in/b", vec![])])
            .contains("a packet identifier that is in use")
    );
    assert!(
        error(vec![publish(1, "in/a", vec![Property::TopicAlias(3)])])
            .contains("above the maximum")
    );
    assert!(error(vec![publish(1, "", vec![Property::TopicAlias(1)])]).contains("never set"));
    assert!(error(vec![Packet::PingReq]).contains("servers must not send"));
    assert!(
        error(vec![Packet::Disconnect(Reason {
            code: 0x8e,
            properties: vec![]
        })])
        .contains("0x8e")
    );
    assert!(
        error(vec![
            publish(1, "in/a", vec![Property::TopicAlias(1)]),
            publish(2, "", vec![Property::TopicAlias(1)])
        ])
        .is_empty()
    );
    let mut s = Session::new(options(Version::V311));
    s.connect(0.0);
    assert_eq!(
        s.received(
            0.0,
            Packet::ConnAck(ConnAck {
                code: 5,
                ..ConnAck::default()
            })
        ),
        Err(ConnectionError::Refused(5))
    );
}

#[test]
fn a_message_over_the_servers_packet_size_or_the_queue_limit_is_rejected() {
    let mut s = connected(Version::V5);
    assert!(
        s.publish(0.0, "out/x", vec![0; 600].into(), Qos::AtLeastOnce, vec![])
            .is_err()
    );
    s.connection_lost();
    for _ in 0..50 {
        s.publish(1.0, "out/x", Bytes::new(), Qos::AtLeastOnce, vec![])
            .unwrap();
    }
    assert!(
        s.publish(1.0, "out/x", Bytes::new(), Qos::AtLeastOnce, vec![])
            .is_err(),
        "the queue is full"
    );
}
