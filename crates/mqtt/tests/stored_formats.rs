//! Tests that the encoding of packets stays compatible, with one example of each control packet in both versions and
//! each property that it may carry. `packets.txt` was written by version 0.2.0 and must not be changed.

use bytes::{Bytes, BytesMut};
use orchidtally_mqtt::packet::{
    Ack, Codes, ConnAck, Connect, Packet, Properties, Property, Publish, Qos, Reason, Subscribe,
    Subscription, Unsubscribe, Will,
};
use orchidtally_mqtt::{Version, decode, encode};

/// A packet name and the bytes in hexadecimal digits per line.
const PACKETS: &str = include_str!("stored_formats/packets.txt");
const MAX_LENGTH: usize = 1 << 20;

fn user_property() -> Property {
    Property::User("name".into(), "value".into())
}

fn will(properties: Properties) -> Will {
    Will {
        topic: "will/topic".into(),
        payload: Bytes::from_static(b"bye"),
        qos: Qos::ExactlyOnce,
        retain: true,
        properties,
    }
}

fn connect(properties: Properties, will_properties: Properties) -> Packet {
    Packet::Connect(Connect {
        clean: true,
        keep_alive: 60,
        properties,
        client_id: "client".into(),
        will: Some(will(will_properties)),
        username: Some("user".into()),
        password: Some(Bytes::from_static(b"secret")),
    })
}

fn publish(qos: Qos, properties: Properties) -> Packet {
    let is_acknowledged = qos != Qos::AtMostOnce;
    Packet::Publish(Publish {
        dup: is_acknowledged,
        qos,
        retain: true,
        topic: "a/b".into(),
        id: if is_acknowledged { 10 } else { 0 },
        properties,
        payload: Bytes::from_static(b"payload\x00\xff"),
    })
}

fn subscribe(properties: Properties, options: bool) -> Packet {
    let subscription = |filter: &str, qos, retain_handling| Subscription {
        filter: filter.into(),
        qos,
        no_local: options && !filter.starts_with("$share/"),
        retain_as_published: options,
        retain_handling: if options { retain_handling } else { 0 },
    };
    let filters = vec![
        subscription("a/+", Qos::AtMostOnce, 0),
        subscription("$share/group/b/#", Qos::AtLeastOnce, 1),
        subscription("c", Qos::ExactlyOnce, 2),
    ];
    Packet::Subscribe(Subscribe {
        id: 11,
        properties,
        filters,
    })
}

fn ack(code: u8, properties: Properties) -> Ack {
    Ack {
        id: 12,
        code,
        properties,
    }
}

/// Packets that both versions have; `carried` drops the properties in version 3.1.1.
fn packets(version: Version) -> Vec<(&'static str, Packet)> {
    let is_v5 = version == Version::V5;
    let carried = |properties: Properties| if is_v5 { properties } else { vec![] };
    let code = |code: u8| if is_v5 { code } else { 0 };
    let reason = || carried(vec![Property::Reason("why".into()), user_property()]);
    let unsubscribe = Unsubscribe {
        id: 13,
        properties: carried(vec![user_property()]),
        filters: vec!["a/+".into()],
    };
    let refused = ConnAck {
        session_present: false,
        code: if is_v5 { 0x87 } else { 5 },
        properties: carried(connack_properties()),
    };
    let codes = |codes| Codes {
        id: 14,
        properties: reason(),
        codes,
    };
    vec![
        (
            "connect",
            connect(carried(connect_properties()), carried(will_properties())),
        ),
        (
            "connack-accepted",
            Packet::ConnAck(ConnAck {
                session_present: true,
                ..ConnAck::default()
            }),
        ),
        ("connack-refused", Packet::ConnAck(refused)),
        ("publish-at-most-once", publish(Qos::AtMostOnce, vec![])),
        (
            "publish-at-least-once",
            publish(Qos::AtLeastOnce, carried(publish_properties())),
        ),
        ("publish-exactly-once", publish(Qos::ExactlyOnce, vec![])),
        ("puback", Packet::PubAck(ack(code(0x10), reason()))),
        ("pubrec", Packet::PubRec(ack(code(0x97), reason()))),
        ("pubrel", Packet::PubRel(ack(code(0x92), reason()))),
        ("pubcomp", Packet::PubComp(ack(0, vec![]))),
        (
            "subscribe",
            subscribe(
                carried(vec![Property::SubscriptionId(300), user_property()]),
                is_v5,
            ),
        ),
        ("suback", Packet::SubAck(codes(vec![0, 1, 2, 0x80]))),
        ("unsubscribe", Packet::Unsubscribe(unsubscribe)),
        (
            "unsuback",
            Packet::UnsubAck(codes(if is_v5 { vec![0, 0x11] } else { vec![] })),
        ),
        ("pingreq", Packet::PingReq),
        ("pingresp", Packet::PingResp),
        ("disconnect", Packet::Disconnect(Reason::default())),
    ]
}

/// Packets that only version 5 has.
fn v5_packets() -> Vec<(&'static str, Packet)> {
    let disconnect = vec![
        Property::SessionExpiry(3_600),
        Property::ServerReference("elsewhere".into()),
        Property::Reason("why".into()),
    ];
    let auth = vec![
        Property::AuthMethod("method".into()),
        Property::AuthData(Bytes::from_static(b"data")),
    ];
    vec![
        (
            "disconnect-with-reason",
            Packet::Disconnect(Reason {
                code: 0x8e,
                properties: disconnect,
            }),
        ),
        (
            "auth",
            Packet::Auth(Reason {
                code: 0x18,
                properties: auth,
            }),
        ),
    ]
}

fn connect_properties() -> Properties {
    vec![
        Property::SessionExpiry(3_600),
        Property::AuthMethod("method".into()),
        Property::AuthData(Bytes::from_static(b"data")),
        Property::RequestProblemInfo(1),
        Property::RequestResponseInfo(1),
        Property::ReceiveMaximum(256),
        Property::TopicAliasMaximum(64),
        Property::MaximumPacketSize(2_097_152),
        user_property(),
    ]
}

fn will_properties() -> Properties {
    vec![
        Property::WillDelay(7),
        Property::ContentType("text/plain".into()),
        user_property(),
    ]
}

fn connack_properties() -> Properties {
    vec![
        Property::AssignedClientId("assigned".into()),
        Property::ServerKeepAlive(30),
        Property::ResponseInfo("answers/".into()),
        Property::ServerReference("elsewhere".into()),
        Property::Reason("why".into()),
        Property::MaximumQos(1),
        Property::RetainAvailable(0),
        Property::WildcardAvailable(1),
        Property::SubscriptionIdsAvailable(0),
        Property::SharedAvailable(1),
    ]
}

fn publish_properties() -> Properties {
    vec![
        Property::PayloadFormat(1),
        Property::MessageExpiry(60),
        Property::ContentType("text/plain".into()),
        Property::ResponseTopic("answers/1".into()),
        Property::CorrelationData(Bytes::from_static(b"corr")),
        Property::SubscriptionId(300),
        Property::SubscriptionId(1),
        Property::TopicAlias(5),
        user_property(),
    ]
}

fn examples() -> Vec<(String, Version, Packet)> {
    let named = |prefix: &str, version, packets: Vec<(&str, Packet)>| {
        let named = packets
            .into_iter()
            .map(|(name, packet)| (format!("{prefix}-{name}"), version, packet));
        named.collect::<Vec<_>>()
    };
    [
        named("3.1.1", Version::V311, packets(Version::V311)),
        named("5", Version::V5, packets(Version::V5)),
        named("5", Version::V5, v5_packets()),
    ]
    .concat()
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn each_packet_encodes_to_its_bytes() {
    let line = |(name, version, packet): (String, Version, Packet)| {
        format!(
            "{name} {}",
            hexadecimal(&encode(&packet, version).expect(&name))
        )
    };
    let written: Vec<String> = examples().into_iter().map(line).collect();
    assert_eq!(
        written,
        PACKETS.lines().collect::<Vec<_>>(),
        "\n{}",
        written.join("\n")
    );
}

#[test]
fn each_packet_decodes_from_its_bytes() {
    let examples = examples();
    assert_eq!(PACKETS.lines().count(), examples.len());
    for (line, (name, version, packet)) in PACKETS.lines().zip(examples) {
        let digits = line
            .strip_prefix(&name)
            .and_then(|rest| rest.strip_prefix(' '))
            .expect(&name);
        let bytes: Vec<u8> = (0..digits.len() / 2)
            .map(|n| u8::from_str_radix(&digits[2 * n..2 * n + 2], 16).unwrap())
            .collect();
        let mut buffer = BytesMut::from(&bytes[..]);
        let read = decode(&mut buffer, version, MAX_LENGTH)
            .expect(&name)
            .expect(&name);
        assert_eq!(read, (version, packet), "{name}");
        assert!(buffer.is_empty(), "{name}");
    }
}
