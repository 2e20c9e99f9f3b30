//! Strategies that generate any valid packet.

use bytes::Bytes;
use orchidtally_mqtt::packet::*;
use proptest::prelude::*;

pub fn text() -> impl Strategy<Value = String> {
    "[a-zé/ ]{0,12}"
}

pub fn topic() -> impl Strategy<Value = String> {
    "[a-z/]{1,12}"
}

pub fn binary() -> impl Strategy<Value = Bytes> {
    proptest::collection::vec(any::<u8>(), 0..20).prop_map(Bytes::from)
}

pub fn qos() -> impl Strategy<Value = Qos> {
    prop_oneof![
        Just(Qos::AtMostOnce),
        Just(Qos::AtLeastOnce),
        Just(Qos::ExactlyOnce)
    ]
}

pub fn user_properties() -> impl Strategy<Value = Properties> {
    proptest::collection::vec(
        (text(), text()).prop_map(|(k, v)| Property::User(k, v)),
        0..3,
    )
}

pub fn publish_properties() -> impl Strategy<Value = Properties> {
    (
        user_properties(),
        any::<u32>(),
        topic(),
        binary(),
        1u32..268_435_455,
        1u16..,
    )
        .prop_map(|(mut list, expiry, topic, data, subscription, alias)| {
            list.extend([
                Property::MessageExpiry(expiry),
                Property::ResponseTopic(topic),
                Property::CorrelationData(data),
                Property::SubscriptionId(subscription),
                Property::SubscriptionId(1),
                Property::TopicAlias(alias),
                Property::PayloadFormat(1),
            ]);
            list
        })
        .boxed()
}

pub fn packet() -> impl Strategy<Value = Packet> {
    let ack = || {
        (1u16.., any::<u8>(), user_properties()).prop_map(|(id, code, properties)| Ack {
            id,
            code,
            properties,
        })
    };
    let reason = || {
        (any::<u8>(), user_properties()).prop_map(|(code, properties)| Reason { code, properties })
    };
    let codes = || {
        (
            1u16..,
            user_properties(),
            proptest::collection::vec(any::<u8>(), 1..4),
        )
            .prop_map(|(id, properties, codes)| Codes {
                id,
                properties,
                codes,
            })
    };
    let will = (topic(), binary(), qos(), any::<bool>(), user_properties()).prop_map(
        |(topic, payload, qos, retain, mut p)| {
            p.push(Property::WillDelay(7));
            Will {
                topic,
                payload,
                qos,
                retain,
                properties: p,
            }
        },
    );
    let connect = (
        any::<bool>(),
        any::<u16>(),
        user_properties(),
        text(),
        proptest::option::of(will),
        proptest::option::of((text(), proptest::option::of(binary()))),
    )
        .prop_map(
            |(clean, keep_alive, mut properties, client_id, will, names)| {
                properties.extend([Property::SessionExpiry(9), Property::ReceiveMaximum(3)]);
                let (username, password) = names.map_or((None, None), |(u, p)| (Some(u), p));
                Connect {
                    clean,
                    keep_alive,
                    properties,
                    client_id,
                    will,
                    username,
                    password,
                }
            },
        );
    let publish = (
        any::<bool>(),
        qos(),
        any::<bool>(),
        topic(),
        1u16..,
        publish_properties(),
        binary(),
    )
        .prop_map(|(dup, qos, retain, topic, id, properties, payload)| {
            let at_most_once = qos == Qos::AtMostOnce;
            let (dup, id) = if at_most_once { (false, 0) } else { (dup, id) };
            Publish {
                dup,
                qos,
                retain,
                topic,
                id,
                properties,
                payload,
            }
        });
    let subscription = (topic(), qos(), any::<bool>(), any::<bool>(), 0u8..3).prop_map(
        |(filter, qos, l, r, retain_handling)| Subscription {
            filter,
            qos,
            no_local: l,
            retain_as_published: r,
            retain_handling,
        },
    );
    let subscribe = (
        1u16..,
        user_properties(),
        proptest::collection::vec(subscription, 1..4),
    )
        .prop_map(|(id, properties, filters)| Subscribe {
            id,
            properties,
            filters,
        });
    let unsubscribe = (
        1u16..,
        user_properties(),
        proptest::collection::vec(topic(), 1..4),
    )
        .prop_map(|(id, properties, filters)| Unsubscribe {
            id,
            properties,
            filters,
        });
    let connack = (any::<bool>(), any::<u8>(), user_properties()).prop_map(
        |(session_present, code, properties)| ConnAck {
            session_present,
            code,
            properties,
        },
    );
    prop_oneof![
        connect.prop_map(Packet::Connect),
        connack.prop_map(Packet::ConnAck),
        publish.prop_map(Packet::Publish),
        ack().prop_map(Packet::PubAck),
        ack().prop_map(Packet::PubRec),
        ack().prop_map(Packet::PubRel),
        ack().prop_map(Packet::PubComp),
        subscribe.prop_map(Packet::Subscribe),
        codes().prop_map(Packet::SubAck),
        unsubscribe.prop_map(Packet::Unsubscribe),
        codes().prop_map(Packet::UnsubAck),
        Just(Packet::PingReq),
        Just(Packet::PingResp),
        reason().prop_map(Packet::Disconnect),
        reason().prop_map(Packet::Auth),
    ]
}
